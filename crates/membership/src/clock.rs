//! Clock that excludes the time during which the process was paused.

use hawthorntide_types::{DurationMs, TimeMs};

/// A gap between two events of at least this length counts as a pause; ticks arrive every 100 ms.
const PAUSE_THRESHOLD_MS: DurationMs = DurationMs(1_000);
/// Offset of the clock, so that subtracting the age of a tombstone does not underflow.
const ORIGIN_MS: DurationMs = DurationMs(1 << 40);

/// Monotonic clock that stops while the process is paused, so that a pause of this process does not
/// make the timeouts of other members expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct MachineClock {
    last_event_at: Option<TimeMs>,
    paused_ms: DurationMs,
}

impl MachineClock {
    /// Returns the current time of this clock and, if a pause just ended, its length.
    pub(crate) fn advance(&mut self, now: TimeMs) -> (TimeMs, Option<DurationMs>) {
        let last_event_at = self.last_event_at.unwrap_or(now);
        let now = now.max(last_event_at);
        self.last_event_at = Some(now);
        let gap = now.since(last_event_at);
        let pause = (gap >= PAUSE_THRESHOLD_MS).then_some(gap);
        if let Some(pause) = pause {
            self.paused_ms = DurationMs(self.paused_ms.get() + pause.get());
        }
        (now + ORIGIN_MS - self.paused_ms, pause)
    }
}
