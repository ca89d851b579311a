//! Logging of a process: text or JSON lines on standard error or output, rate-limited per module.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::filter::{LogLineFilter, LogLineWriter};
use flexi_logger::{DeferredNow, Logger, LoggerHandle, json_format};
use hawthorntide_admin::set_log_level;
use hawthorntide_configuration::{LogFormat, LogOutput, LogSettings};
use hawthorntide_types::ResultCode;
use log::{Level, Record};

use crate::failure::Failure;

/// Passes all levels of the crates of this project, so that the maximum level of the `log` facade
/// filters them and can be changed at run time.
const SPECIFICATION: &str = "warn, hawthorntide=trace";
/// Time window in which the lines of a module are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Timestamp format of text lines, in UTC.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// Line counts of one module in the current time window.
#[derive(Debug)]
struct ModuleLines {
    module: String,
    start: Instant,
    lines: u32,
    suppressed: u32,
}

/// Limits the log lines per second of each module, since packets of untrusted senders can trigger
/// any number of lines. Errors are never suppressed.
#[derive(Debug)]
struct LineRateLimit {
    lines_per_second: u32,
    /// Sorted by module for binary search.
    modules: Mutex<Vec<ModuleLines>>,
}

/// Starts the logger of the process, which stops when the returned handle is dropped.
pub(crate) fn start(settings: LogSettings) -> Result<LoggerHandle, Failure> {
    let format = match settings.format {
        LogFormat::Text => text_format,
        LogFormat::Json => json_format,
    };
    let limit = LineRateLimit {
        lines_per_second: settings.lines_per_second,
        modules: Mutex::new(Vec::new()),
    };
    let logger = Logger::try_with_str(SPECIFICATION)
        .map(|logger| match settings.output {
            LogOutput::Stderr => logger.log_to_stderr(),
            LogOutput::Stdout => logger.log_to_stdout(),
        })
        .map(|logger| logger.use_utc().format(format))
        .and_then(|logger| logger.filter(Box::new(limit)).start());
    let handle = logger.map_err(|error| Failure::new(ResultCode::Failure, error))?;
    set_log_level(settings.level);
    Ok(handle)
}

fn text_format(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format(TIME_FORMAT);
    write!(writer, "{time} {:<5} {}", record.level(), record.args())
}

impl LineRateLimit {
    /// Counts a line of `module`. Returns whether to write it and, if it starts a new time window,
    /// the number of lines suppressed in the previous one.
    fn admit(&self, module: &str) -> (bool, u32) {
        let mut modules = self.modules.lock().unwrap_or_else(PoisonError::into_inner);
        let position = modules.binary_search_by(|it| it.module.as_str().cmp(module));
        let index = position.unwrap_or_else(|index| {
            let window = ModuleLines {
                module: module.to_owned(),
                start: Instant::now(),
                lines: 0,
                suppressed: 0,
            };
            modules.insert(index, window);
            index
        });
        let window = &mut modules[index];
        let mut suppressed = 0;
        if window.start.elapsed() >= WINDOW {
            suppressed = std::mem::take(&mut window.suppressed);
            window.start = Instant::now();
            window.lines = 0;
        }
        window.lines = window.lines.saturating_add(1);
        let is_written = window.lines <= self.lines_per_second;
        if !is_written {
            window.suppressed = window.suppressed.saturating_add(1);
        }
        (is_written, suppressed)
    }
}

impl LogLineFilter for LineRateLimit {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        writer: &dyn LogLineWriter,
    ) -> std::io::Result<()> {
        if record.level() == Level::Error {
            return writer.write(now, record);
        }
        let (is_written, suppressed) = self.admit(record.target());
        if suppressed > 0 {
            let notice = format_args!("{suppressed} lines of {} were suppressed.", record.target())
                .to_string();
            let mut builder = Record::builder();
            builder.level(Level::Warn).target(record.target());
            writer.write(now, &builder.args(format_args!("{notice}")).build())?;
        }
        if is_written {
            return writer.write(now, record);
        }
        Ok(())
    }
}
