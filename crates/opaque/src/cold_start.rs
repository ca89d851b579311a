//! Limit on the new flows of an upstream that is still warming up.

use std::collections::VecDeque;

use hawthorntide_types::{DurationMs, TimeMs};
use serde::{Deserialize, Serialize};

/// The limit holds in every span of this length.
const WINDOW_MS: DurationMs = DurationMs(1_000);

/// New flows that a cold upstream may get in any second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ColdStartLimit(pub u32);

/// Tolerance of the platform for the new flows of cold upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartTolerance {
    /// Factor on the rate that the operator sets for a service.
    pub excess: f64,
    /// New flows in a second on top of it.
    pub slack: f64,
}

impl ColdStartTolerance {
    /// Returns the limit for a service whose cold upstreams bear `rate_per_s`; `None` if that is 0, which
    /// stands for no limit, or not a number.
    pub fn limit(self, rate_per_s: f64) -> Option<ColdStartLimit> {
        let limit = rate_per_s * self.excess + self.slack;
        let is_limited = rate_per_s > 0.0 && limit.is_finite();
        is_limited.then_some(ColdStartLimit(limit.max(0.0) as u32))
    }
}

/// Counts the new flows of the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdStartWindow {
    delivered: VecDeque<TimeMs>,
}

impl ColdStartWindow {
    /// Returns whether another new flow is within the limit.
    pub(crate) fn has_room(&mut self, now: TimeMs, limit: ColdStartLimit) -> bool {
        self.expire(now);
        self.delivered.len() < limit.0 as usize
    }

    /// Records a new flow. Flows that open before the upstream turns cold count as well.
    pub(crate) fn record(&mut self, now: TimeMs) {
        self.expire(now);
        self.delivered.push_back(now);
    }

    fn expire(&mut self, now: TimeMs) {
        let is_old = |at: &TimeMs| now.since(*at) > WINDOW_MS;
        while self.delivered.front().is_some_and(is_old) {
            self.delivered.pop_front();
        }
    }
}
