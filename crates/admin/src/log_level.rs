//! Level of the log at run time.
//!
//! The logger of the process lets every level of this project's crates through, so that the
//! level of the log facade alone decides and any part can change it.

use hawthorntide_configuration::LogLevel;
use log::LevelFilter;

/// Changes the level of the process's log.
pub fn set_log_level(level: LogLevel) {
    log::set_max_level(match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    });
}

/// Returns the level of the process's log.
pub fn log_level() -> LogLevel {
    match log::max_level() {
        LevelFilter::Off | LevelFilter::Error => LogLevel::Error,
        LevelFilter::Warn => LogLevel::Warn,
        LevelFilter::Info => LogLevel::Info,
        LevelFilter::Debug => LogLevel::Debug,
        LevelFilter::Trace => LogLevel::Trace,
    }
}
