//! Time of a state machine without the pauses of its process.

use hawthorntide_types::{DurationMs, TimeMs};

/// Gap between two events from which on the process counts as paused. Ticks come every 100 ms.
const PAUSE_MS: DurationMs = DurationMs(1_000);
/// Start of machine time; leaves room for the age of tombstones below it.
const ORIGIN: DurationMs = DurationMs(1 << 40);

/// Derives machine time, which stands still while the process is paused, so that no deadline of
/// another member passes only because this process did not run.
#[derive(Clone, Debug, Default)]
pub(crate) struct MachineClock {
    last: Option<TimeMs>,
    paused_ms: DurationMs,
}

impl MachineClock {
    /// Returns machine time and the length of a pause that just ended.
    pub(crate) fn advance(&mut self, now: TimeMs) -> (TimeMs, Option<DurationMs>) {
        let last = self.last.unwrap_or(now);
        let now = now.max(last);
        self.last = Some(now);
        let gap = now.since(last);
        let pause = (gap >= PAUSE_MS).then_some(gap);
        if let Some(pause) = pause {
            self.paused_ms = DurationMs(self.paused_ms.get() + pause.get());
        }
        (now + ORIGIN - self.paused_ms, pause)
    }
}
