//! Log of a process: short lines on standard error or output, as text or JSON, at a limited rate.

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

/// Lets all levels of this project through; the level of the log facade decides at run time.
const SPECIFICATION: &str = "warn, hawthorntide=trace";
/// Window of the line limit.
const WINDOW: Duration = Duration::from_secs(1);
/// Time stamp of a text line, in UTC.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// Lines of one module within the present window.
#[derive(Debug)]
struct ModuleWindow {
    module: String,
    start: Instant,
    lines: u32,
    suppressed: u32,
}

/// Limits the lines of each module, since packets of strangers can cause any number of them.
///
/// Errors are never suppressed.
#[derive(Debug)]
struct LineLimit {
    lines_per_second: u32,
    /// Sorted by module.
    modules: Mutex<Vec<ModuleWindow>>,
}

/// Starts the log of the process; it ends when the handle is dropped.
pub(crate) fn start(settings: LogSettings) -> Result<LoggerHandle, Failure> {
    let format = match settings.format {
        LogFormat::Text => text_format,
        LogFormat::Json => json_format,
    };
    let limit = LineLimit {
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

impl LineLimit {
    /// Counts a line; returns whether it is written and how many were suppressed before it.
    fn admit(&self, module: &str) -> (bool, u32) {
        let mut modules = self.modules.lock().unwrap_or_else(PoisonError::into_inner);
        let position = modules.binary_search_by(|it| it.module.as_str().cmp(module));
        let index = position.unwrap_or_else(|index| {
            let window = ModuleWindow {
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

impl LogLineFilter for LineLimit {
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
            let note = format_args!("{suppressed} lines of {} were suppressed.", record.target())
                .to_string();
            let mut builder = Record::builder();
            builder.level(Level::Warn).target(record.target());
            writer.write(now, &builder.args(format_args!("{note}")).build())?;
        }
        if is_written {
            return writer.write(now, record);
        }
        Ok(())
    }
}
