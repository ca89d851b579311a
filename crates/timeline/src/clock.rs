//! Hybrid logical clock: follows the wall clock and never contradicts the order of messages.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use hawthorntide_types::TimeMs;
use serde::{Deserialize, Serialize};

/// Bits of the logical counter; 65,536 events in one millisecond before the wall part moves ahead.
const LOGICAL_BITS: u32 = 16;

/// Wall clock in milliseconds and a logical counter in one ordered number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct HybridTime(pub u64);

impl HybridTime {
    /// Returns the earliest time of a millisecond.
    pub const fn from_wall_time(wall: TimeMs) -> Self {
        Self(wall.get() << LOGICAL_BITS)
    }

    /// Returns the wall clock part.
    pub const fn wall_time(self) -> TimeMs {
        TimeMs(self.0 >> LOGICAL_BITS)
    }

    /// Returns the logical counter.
    pub const fn logical(self) -> u16 {
        self.0 as u16
    }
}

impl std::fmt::Display for HybridTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.wall_time(), self.logical())
    }
}

/// Clock of one process; processes of one trial may share it.
#[derive(Debug, Default)]
pub struct HybridClock(AtomicU64);

impl HybridClock {
    /// Returns a time that is later than all times returned or observed so far.
    pub fn tick(&self, wall: TimeMs) -> HybridTime {
        self.advance(HybridTime::from_wall_time(wall), HybridTime(0))
    }

    /// Takes the time that came with a message and returns a time that is later than it.
    pub fn observe(&self, remote: HybridTime, wall: TimeMs) -> HybridTime {
        self.advance(HybridTime::from_wall_time(wall), remote)
    }

    /// Returns a later time by the wall clock of this host.
    pub fn now(&self) -> HybridTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = since_epoch.map_or(0, |duration| duration.as_millis() as u64);
        self.tick(TimeMs(wall_ms))
    }

    fn advance(&self, wall: HybridTime, remote: HybridTime) -> HybridTime {
        let next = |last: u64| wall.0.max(last + 1).max(remote.0 + 1);
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
