//! Class of the requests of a route, by which agents schedule them.

use hawthorntide_types::{DurationMs, Urgency, WorkKind};
use serde::{Deserialize, Serialize};

/// How agents schedule the requests of a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestClass {
    pub kind: WorkKind,
    pub urgency: Urgency,
    /// Answers within this time are as good as immediate ones.
    pub objective_ms: DurationMs,
    /// Callers give up after this time.
    pub deadline_ms: DurationMs,
}

impl Default for RequestClass {
    /// Returns the class of routes that do not set one.
    fn default() -> Self {
        Self {
            kind: WorkKind::Reservation,
            urgency: Urgency::Normal,
            objective_ms: DurationMs(500),
            deadline_ms: DurationMs(10_000),
        }
    }
}
