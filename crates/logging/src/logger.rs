//! Logger of the process.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::io::Write;
use std::panic::{PanicHookInfo, set_hook};

use displaydoc::Display;
use flexi_logger::writers::LogWriter;
use flexi_logger::{
    DeferredNow, ErrorChannel, FlexiLoggerError, FormatFunction, LogSpecification, Logger,
    LoggerHandle, json_format,
};
use hawthorntide_admin::set_log_level;
use hawthorntide_configuration::{LogFormat, LogOutput, LogSettings};
use log::{Level, Record};
use thiserror::Error;

use crate::background_writer::BackgroundWriter;
use crate::pending::LostLines;
use crate::rate_limit::LineRateLimit;
use crate::stream::StandardStream;

/// Passes all levels of the crates of this project, so that the maximum level of the `log` facade
/// filters them and can be changed at run time.
const SPECIFICATION: &str = "warn, hawthorntide=trace";
/// Timestamp format of text lines, in UTC.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// Error of starting the logger.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// cannot start the logger: {0}
    Logger(#[from] FlexiLoggerError),
    /// cannot start the thread that writes the log: {0}
    Thread(#[from] std::io::Error),
}

/// Running logger of the process. Waits for its output when dropped, as long as that accepts lines.
#[must_use]
#[expect(missing_debug_implementations, reason = "LoggerHandle has none")]
pub struct Log {
    _handle: LoggerHandle,
}

/// Output of the logger.
struct Output {
    writer: BackgroundWriter,
    format: FormatFunction,
}

impl Log {
    /// Starts the logger, which also gets the messages of panics, and the thread that writes its lines.
    pub fn spawn(settings: LogSettings) -> Result<Self, LogError> {
        let specification = LogSpecification::parse(SPECIFICATION)?;
        let log = Self::spawn_with(settings, specification)?;
        set_log_level(settings.level);
        Ok(log)
    }

    /// Starts a logger on standard error with the levels of the variable `RUST_LOG`, or with `default`. The
    /// number of lines per second is not limited.
    pub fn spawn_from_environment(default: &str) -> Result<Self, LogError> {
        let specification = LogSpecification::env_or_parse(default)?;
        let settings = LogSettings {
            lines_per_second: u32::MAX,
            ..LogSettings::default()
        };
        Self::spawn_with(settings, specification)
    }

    fn spawn_with(
        settings: LogSettings,
        specification: LogSpecification,
    ) -> Result<Self, LogError> {
        let format = match settings.format {
            LogFormat::Text => text_format,
            LogFormat::Json => json_format,
        };
        let handle = Logger::with(specification)
            .log_to_writer(Box::new(Output::open(settings.output, format)?))
            // The logger reports its own errors by blocking writes.
            .error_channel(ErrorChannel::DevNull)
            .use_utc()
            .filter(Box::new(LineRateLimit::new(settings.lines_per_second)))
            .start()?;
        set_hook(Box::new(log_panic));
        Ok(Self { _handle: handle })
    }
}

impl Output {
    fn open(output: LogOutput, format: FormatFunction) -> std::io::Result<Self> {
        let stream = match output {
            LogOutput::Stderr => StandardStream::Error,
            LogOutput::Stdout => StandardStream::Output,
        };
        let notice = move |lost: &LostLines| format_notice(format, lost);
        Ok(Self {
            writer: BackgroundWriter::spawn(stream, notice)?,
            format,
        })
    }
}

impl LogWriter for Output {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let line = format_line(self.format, now, record);
        self.writer.push(record.level(), &line);
        Ok(())
    }

    /// Does nothing: only the end of the process waits for the output.
    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn shutdown(&self) {
        self.writer.flush();
    }
}

fn format_line(format: FormatFunction, now: &mut DeferredNow, record: &Record<'_>) -> Vec<u8> {
    let mut line = Vec::with_capacity(256);
    // Writes to memory do not fail.
    let _ = format(&mut line, now, record);
    line.push(b'\n');
    line
}

fn format_notice(format: FormatFunction, lost: &LostLines) -> Vec<u8> {
    let counts = [
        ("errors", lost.errors),
        ("warnings", lost.warnings),
        ("others", lost.others),
    ];
    let mut builder = Record::builder();
    builder.level(Level::Warn).target(module_path!());
    let total = lost.total();
    let record = builder.key_values(&counts);
    let text =
        format!("log: {total} lines were lost before this one: the output did not take them.");
    format_line(
        format,
        &mut DeferredNow::new(),
        &record.args(format_args!("{text}")).build(),
    )
}

fn text_format(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format(TIME_FORMAT);
    write!(writer, "{time} {:<5} {}", record.level(), record.args())
}

/// Logs the message of a panic. By default, it would be written to standard error by a blocking write.
fn log_panic(panic: &PanicHookInfo<'_>) {
    let message = panic.payload_as_str().unwrap_or("unknown payload");
    let location = panic.location().map(ToString::to_string);
    let location = location.unwrap_or_default();
    let backtrace = Backtrace::capture();
    if backtrace.status() == BacktraceStatus::Captured {
        log::error!(location; "Panic: {message}\n{backtrace}");
    } else {
        log::error!(location; "Panic: {message}");
    }
}
