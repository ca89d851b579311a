//! Detection of crowding from the queue delay, which selects the treatment of a profile.

use hawthorntide_types::{DurationMs, TimeMs, WorkKind};

/// Length of the window over which the minimum queue delay is taken. A burst that drains within
/// the window has a low minimum; a standing queue does not.
const WINDOW_MS: u64 = 500;
/// The service is calm again after the delay has stayed below half of the target for this long.
const CALM_AFTER_MS: u64 = 2000;

/// Switches between calm and crowded with hysteresis: crowded as soon as the minimum delay of a
/// window exceeds the target, calm after it stayed below half of the target for
/// [`CALM_AFTER_MS`].
#[derive(Clone, Debug)]
pub(crate) struct CrowdingDetector {
    target_ms: DurationMs,
    window_start: TimeMs,
    min_delay_ms: [Option<DurationMs>; WorkKind::ALL.len()],
    low_since: Option<TimeMs>,
    is_crowded: bool,
    delay_ms: DurationMs,
}

impl CrowdingDetector {
    pub(crate) fn new(target_ms: DurationMs) -> Self {
        Self {
            target_ms,
            window_start: TimeMs(0),
            min_delay_ms: Default::default(),
            low_since: None,
            is_crowded: false,
            delay_ms: DurationMs(0),
        }
    }

    pub(crate) fn set_target(&mut self, target_ms: DurationMs) {
        self.target_ms = target_ms;
    }

    pub(crate) fn is_crowded(&self) -> bool {
        self.is_crowded
    }

    /// Returns the queue delay of the last complete window: the highest of the minimum delays of
    /// the kinds.
    pub(crate) fn delay_ms(&self) -> DurationMs {
        self.delay_ms
    }

    /// Records how long a request of `kind` that leaves the queue has waited.
    pub(crate) fn observe(&mut self, kind: WorkKind, delay_ms: DurationMs) {
        let minimum = &mut self.min_delay_ms[kind as usize];
        *minimum = Some(minimum.map_or(delay_ms, |minimum| minimum.min(delay_ms)));
    }

    /// Returns whether `end_window` must be called.
    pub(crate) fn is_window_over(&self, now: TimeMs) -> bool {
        now.since(self.window_start).get() >= WINDOW_MS
    }

    /// Ends the window and returns whether the state changed. `oldest_age_ms` holds the age of the
    /// oldest queued request of each kind; it is used for kinds of which no request left the queue.
    pub(crate) fn end_window(
        &mut self,
        now: TimeMs,
        oldest_age_ms: [Option<DurationMs>; WorkKind::ALL.len()],
    ) -> bool {
        let observed = std::mem::take(&mut self.min_delay_ms);
        let delay_of = |index: usize| observed[index].or(oldest_age_ms[index]);
        let delays = (0..WorkKind::ALL.len()).filter_map(delay_of);
        self.delay_ms = delays.max().unwrap_or_default();
        let window_start = self.window_start;
        self.window_start = now;
        if !self.is_crowded {
            self.is_crowded = self.delay_ms > self.target_ms;
            self.low_since = None;
            return self.is_crowded;
        }
        if self.delay_ms.get() * 2 >= self.target_ms.get().max(1) {
            self.low_since = None;
            return false;
        }
        let low_since = *self.low_since.get_or_insert(window_start);
        self.is_crowded = now.since(low_since).get() < CALM_AFTER_MS;
        !self.is_crowded
    }
}
