//! Estimate of the service time of the upstream for one kind of work.

use hawthorntide_types::{DurationMs, TimeMs};

/// Weight of a sample in the moving average, as a right shift: 1/8, as for the round-trip time of
/// TCP.
const MEAN_GAIN_SHIFT: i64 = 3;
/// Weight of a sample in the mean deviation, as a right shift: 1/4.
const DEVIATION_GAIN_SHIFT: i64 = 2;
/// Fixed-point units per millisecond.
const FIXED_POINT_SCALE: i64 = 64;
/// Half-life of the estimate while there are no samples. Without the decay, a high estimate would
/// cause all work with shorter deadlines to be refused, and no sample would ever correct it.
const HALF_LIFE_MS: u64 = 1000;
/// Maximum number of halvings, which limits the shift; after 40 of them the estimate is zero.
const MAX_HALVINGS: u64 = 40;

/// Exponentially weighted moving average of the service time and its mean deviation, both in
/// fixed point.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimeEstimate {
    mean: i64,
    deviation: i64,
    last_observed: Option<TimeMs>,
}

impl ServiceTimeEstimate {
    /// Adds the service time of an answered request.
    pub(crate) fn observe(&mut self, now: TimeMs, service_time: DurationMs) {
        let sample = service_time.get().min(u64::from(u32::MAX)) as i64 * FIXED_POINT_SCALE;
        if self.last_observed.is_none() {
            self.mean = sample;
            self.deviation = sample / 4;
        } else {
            let error = sample - self.mean;
            self.mean += error >> MEAN_GAIN_SHIFT;
            self.deviation += (error.abs() - self.deviation) >> DEVIATION_GAIN_SHIFT;
        }
        self.last_observed = Some(now);
    }

    /// Returns the expected time to serve `requests` with `milli_slots` thousandths of a slot, or
    /// zero without samples.
    pub(crate) fn total_time_ms(&self, now: TimeMs, requests: u64, milli_slots: u64) -> DurationMs {
        let service_time = self.decayed(now, self.mean);
        let slot_time = service_time.saturating_mul(requests).saturating_mul(1000);
        DurationMs(slot_time / milli_slots.max(1) / FIXED_POINT_SCALE as u64)
    }

    /// Returns the mean plus the mean deviation, which most requests do not exceed, or zero without
    /// samples.
    pub(crate) fn upper_estimate_ms(&self, now: TimeMs) -> DurationMs {
        let upper = self.decayed(now, self.mean + self.deviation);
        DurationMs(upper.div_ceil(FIXED_POINT_SCALE as u64))
    }

    /// Halves `value` for each half-life since the last sample.
    fn decayed(&self, now: TimeMs, value: i64) -> u64 {
        let Some(last_observed) = self.last_observed else {
            return 0;
        };
        let halvings = (now.since(last_observed).get() / HALF_LIFE_MS).min(MAX_HALVINGS);
        (value >> halvings).max(0) as u64
    }
}
