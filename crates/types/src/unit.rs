//! Newtypes for times, durations, rates, shares and sizes.

use std::ops::{Add, Sub};

use crate::newtype::number;

number! {
    /// Point in time, in milliseconds; the origin depends on the clock from which it was read.
    TimeMs(u64)
}
number! {
    /// Length of time in milliseconds, as in all settings that end in `_ms`.
    DurationMs(u64)
}
number! {
    /// Rate or rate limit, in events per second.
    RatePerSecond(u32)
}
number! {
    /// Share in thousandths; 1000 is the whole.
    PerMille(u16)
}
number! {
    /// Relative share of new flows that an endpoint receives, set by its agent; 1000 for a fully available
    /// endpoint.
    Weight(u16)
}
number! {
    /// Number of requests that an upstream can process concurrently.
    SlotCount(u32)
}
number! {
    /// Size or length of data in bytes.
    ByteCount(u64)
}

impl TimeMs {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl Add<DurationMs> for TimeMs {
    type Output = Self;

    fn add(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<DurationMs> for TimeMs {
    type Output = Self;

    fn sub(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl Weight {
    /// Weight of a fully available endpoint.
    pub const FULL: Self = Self(1000);
    /// Weight of an endpoint that gets no new flows.
    pub const NONE: Self = Self(0);
}

impl From<DurationMs> for std::time::Duration {
    fn from(duration: DurationMs) -> Self {
        Self::from_millis(duration.0)
    }
}
