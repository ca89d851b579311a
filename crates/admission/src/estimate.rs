//! Estimate of the time that the upstream needs for one kind of work.

use hawthorntide_types::{DurationMs, TimeMs};

/// Weight of a new observation in the mean is one part in eight, as in the round trip estimate of TCP.
const MEAN_GAIN_SHIFT: i64 = 3;
/// Weight of a new observation in the deviation is one part in four.
const DEVIATION_GAIN_SHIFT: i64 = 2;
/// Fixed-point factor that keeps fractions of a millisecond.
const FRACTION: i64 = 64;
/// Without an observation for this long the estimate halves. A high estimate refuses all work
/// whose deadline is shorter, and then no observation would ever correct it.
const HALF_LIFE_MS: u64 = 1000;
/// Halvings after which nothing is left of an estimate.
const MAX_HALVINGS: u64 = 40;

/// Smoothed service time and its deviation.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTime {
    mean: i64,
    deviation: i64,
    last_observed: Option<TimeMs>,
}

impl ServiceTime {
    /// Takes in the service time of a request that was answered.
    pub(crate) fn observe(&mut self, now: TimeMs, took: DurationMs) {
        let sample = took.get().min(u64::from(u32::MAX)) as i64 * FRACTION;
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

    /// Returns the time in which `milli_slots` thousandths of a slot serve `requests`, or zero
    /// when nothing was observed.
    pub(crate) fn time_for_ms(&self, now: TimeMs, requests: u64, milli_slots: u64) -> DurationMs {
        let one = self.aged(now, self.mean);
        let slot_time = one.saturating_mul(requests).saturating_mul(1000);
        DurationMs(slot_time / milli_slots.max(1) / FRACTION as u64)
    }

    /// Returns a service time that most requests stay under, or zero when nothing was observed.
    pub(crate) fn likely_ms(&self, now: TimeMs) -> DurationMs {
        let likely = self.aged(now, self.mean + self.deviation);
        DurationMs(likely.div_ceil(FRACTION as u64))
    }

    /// Returns what is left of `value` since the last observation.
    fn aged(&self, now: TimeMs, value: i64) -> u64 {
        let Some(last_observed) = self.last_observed else {
            return 0;
        };
        let halvings = (now.since(last_observed).get() / HALF_LIFE_MS).min(MAX_HALVINGS);
        (value >> halvings).max(0) as u64
    }
}
