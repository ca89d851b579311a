//! Times, durations, rates, shares and sizes.

use std::ops::{Add, Sub};

use crate::newtype::number;

number! {
    /// Point in time in milliseconds; its origin is set by the edge that feeds a state machine.
    TimeMs(u64)
}
number! {
    /// Length of time in milliseconds.
    DurationMs(u64)
}
number! {
    /// Events per second.
    RatePerSecond(u32)
}
number! {
    /// Share of a whole in thousandths.
    PerMille(u16)
}
number! {
    /// Relative part of new flows that an endpoint takes, in thousandths of a full endpoint.
    Weight(u16)
}
number! {
    /// Units of concurrent work of an upstream.
    SlotCount(u32)
}
number! {
    /// Size in bytes.
    ByteCount(u64)
}

impl TimeMs {
    /// Returns the time since `earlier`, or zero when `earlier` is later.
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
    /// Weight of an endpoint that takes a full part of the new flows.
    pub const FULL: Self = Self(1000);
    /// Weight of an endpoint that takes no new flows.
    pub const NONE: Self = Self(0);
}

impl From<DurationMs> for std::time::Duration {
    fn from(duration: DurationMs) -> Self {
        Self::from_millis(duration.0)
    }
}
