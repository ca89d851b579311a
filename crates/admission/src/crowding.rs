//! Decides from the queue delay whether the service is calm or crowded.

use hawthorntide_types::{DurationMs, TimeMs, WorkKind};

/// Length of the window whose lowest delay counts. A burst that drains within the window leaves a
/// low delay behind; a standing queue does not.
const WINDOW_MS: u64 = 500;
/// Time that the delay has to stay low before the service counts as calm again.
const CALM_AFTER_MS: u64 = 2000;

/// Hysteresis between the calm and the crowded half of a profile.
#[derive(Clone, Debug)]
pub(crate) struct Crowding {
    target_ms: DurationMs,
    window_began: TimeMs,
    lowest_ms: [Option<DurationMs>; WorkKind::ALL.len()],
    low_since: Option<TimeMs>,
    crowded: bool,
    delay_ms: DurationMs,
}

impl Crowding {
    pub(crate) fn new(target_ms: DurationMs) -> Self {
        Self {
            target_ms,
            window_began: TimeMs(0),
            lowest_ms: Default::default(),
            low_since: None,
            crowded: false,
            delay_ms: DurationMs(0),
        }
    }

    pub(crate) fn set_target(&mut self, target_ms: DurationMs) {
        self.target_ms = target_ms;
    }

    pub(crate) fn is_crowded(&self) -> bool {
        self.crowded
    }

    /// Returns the delay of the last full window: the highest among the kinds of their lowest.
    pub(crate) fn delay_ms(&self) -> DurationMs {
        self.delay_ms
    }

    /// Takes in the delay of a request of `kind` that leaves the queue.
    pub(crate) fn observe(&mut self, kind: WorkKind, delay_ms: DurationMs) {
        let lowest = &mut self.lowest_ms[kind as usize];
        *lowest = Some(lowest.map_or(delay_ms, |lowest| lowest.min(delay_ms)));
    }

    /// Returns whether the window is over and `close` is due.
    pub(crate) fn is_due(&self, now: TimeMs) -> bool {
        now.since(self.window_began).get() >= WINDOW_MS
    }

    /// Closes the window; `oldest_ms` is the age of the oldest waiting request of each kind.
    /// Returns whether the state changed.
    pub(crate) fn close(
        &mut self,
        now: TimeMs,
        oldest_ms: [Option<DurationMs>; WorkKind::ALL.len()],
    ) -> bool {
        let observed = std::mem::take(&mut self.lowest_ms);
        let delay_of = |index: usize| observed[index].or(oldest_ms[index]);
        let delays = (0..WorkKind::ALL.len()).filter_map(delay_of);
        self.delay_ms = delays.max().unwrap_or_default();
        let window_began = self.window_began;
        self.window_began = now;
        if !self.crowded {
            self.crowded = self.delay_ms > self.target_ms;
            self.low_since = None;
            return self.crowded;
        }
        if self.delay_ms.get() * 2 >= self.target_ms.get().max(1) {
            self.low_since = None;
            return false;
        }
        let low_since = *self.low_since.get_or_insert(window_began);
        self.crowded = now.since(low_since).get() < CALM_AFTER_MS;
        !self.crowded
    }
}
