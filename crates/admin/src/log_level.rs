//! Reads and changes the log level at run time.
//!
//! The logger accepts every level from the crates of this project. Lines are filtered only by the
//! maximum level of the `log` facade, which can be changed from anywhere in the process.

use hawthorntide_configuration::LogLevel;
use log::LevelFilter;

/// Sets the log level of the process.
pub fn set_log_level(level: LogLevel) {
    log::set_max_level(match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    });
}

/// Returns the log level of the process; `Off` is reported as `Error`.
pub fn log_level() -> LogLevel {
    match log::max_level() {
        LevelFilter::Off | LevelFilter::Error => LogLevel::Error,
        LevelFilter::Warn => LogLevel::Warn,
        LevelFilter::Info => LogLevel::Info,
        LevelFilter::Debug => LogLevel::Debug,
        LevelFilter::Trace => LogLevel::Trace,
    }
}
