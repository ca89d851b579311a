//! Hybrid logical clock: follows the wall clock and keeps the causal order of messages.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use hawthorntide_types::TimeMs;
use serde::{Deserialize, Serialize};

/// Bits of the logical counter; more than 65,536 events in one millisecond advance the wall time.
const LOGICAL_BITS: u32 = 16;

/// Wall time in milliseconds (upper 48 bits) and a logical counter (lower 16 bits). If one event causes
/// another, its time compares as less.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct HybridTime(pub u64);

impl HybridTime {
    /// Returns the earliest hybrid time of the given millisecond.
    pub const fn from_wall_time(wall_time: TimeMs) -> Self {
        Self(wall_time.get() << LOGICAL_BITS)
    }

    pub const fn wall_time(self) -> TimeMs {
        TimeMs(self.0 >> LOGICAL_BITS)
    }

    pub const fn logical(self) -> u16 {
        self.0 as u16
    }
}

impl std::fmt::Display for HybridTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.wall_time(), self.logical())
    }
}

/// Clock of one process. Emulated processes of one trial may share a clock.
#[derive(Debug, Default)]
pub struct HybridClock(AtomicU64);

impl HybridClock {
    /// Returns a time later than all times returned or observed so far.
    pub fn tick(&self, wall_time: TimeMs) -> HybridTime {
        self.advance(HybridTime::from_wall_time(wall_time), HybridTime(0))
    }

    /// Merges the time received with a message; returns a time later than it and all earlier ones.
    pub fn observe(&self, received: HybridTime, wall_time: TimeMs) -> HybridTime {
        self.advance(HybridTime::from_wall_time(wall_time), received)
    }

    /// Like [`tick`](Self::tick), with the wall clock of this host.
    pub fn now(&self) -> HybridTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = since_epoch.map_or(0, |duration| duration.as_millis() as u64);
        self.tick(TimeMs(wall_ms))
    }

    fn advance(&self, wall_time: HybridTime, received: HybridTime) -> HybridTime {
        let next = |last: u64| wall_time.0.max(last + 1).max(received.0 + 1);
        let mut last = self.0.load(Ordering::Relaxed);
        loop {
            let exchange =
                self.0
                    .compare_exchange_weak(last, next(last), Ordering::AcqRel, Ordering::Relaxed);
            match exchange {
                Ok(_) => return HybridTime(next(last)),
                Err(newer) => last = newer,
            }
        }
    }
}
