//! Limit on the lines per second of each log target.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::DeferredNow;
use flexi_logger::filter::{LogLineFilter, LogLineWriter};
use log::{Level, Record};

/// Time window in which the lines of a module are counted.
const WINDOW: Duration = Duration::from_secs(1);

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
pub(crate) struct LineRateLimit {
    lines_per_second: u32,
    /// Sorted by module for binary search.
    modules: Mutex<Vec<ModuleLines>>,
}

impl LineRateLimit {
    pub(crate) fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_second,
            modules: Mutex::new(Vec::new()),
        }
    }

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
