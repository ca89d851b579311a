//! Outlier detection: health of the upstream from observed results, and its weight.

use hawthorntide_types::{DurationMs, EndpointId, TimeMs, Weight};

/// Gain of the moving average of failures, which averages about ten results.
const FAILURE_GAIN: f64 = 0.1;
/// Failure ratio at which the weight reaches zero. Lower ratios reduce the weight linearly.
const EJECTION_FAILURE_RATIO: f64 = 0.5;
/// Half-life of the failure ratio while there are no results. The decay lets new flows eventually
/// probe an ejected upstream.
const FAILURE_HALF_LIFE_MS: f64 = 5000.0;
/// Value of a shed request in the failure ratio, in which a failure counts 1. Lower, because the
/// upstream works but lacks capacity.
const SHED_FAILURE: f64 = 0.25;
/// Gain of the moving average of the latency.
const LATENCY_GAIN: f64 = 0.05;
/// Gain by which the baseline follows a higher latency.
const BASELINE_GAIN: f64 = 0.001;
/// Ratio of the latency to its baseline above which the weight is lowered.
const SLOW_LATENCY_RATIO: f64 = 1.5;
/// Minimum of the latency factor of the weight.
const MIN_LATENCY_FACTOR: f64 = 0.25;
/// Factor for an unfavourable self-report of the upstream. The reduction is small because
/// self-reports can be late or wrong.
const HINT_FACTOR: f64 = 0.8;
/// Weight of an upstream that has just started.
const INITIAL_WEIGHT: f64 = 100.0;
/// Rate at which the weight grows: from zero to full in ten seconds.
const WEIGHT_RAMP_PER_MS: f64 = 0.1;
/// Weight below which an endpoint counts as ejected.
const EJECTED_BELOW_WEIGHT: Weight = Weight(250);
/// Weight announced by an endpoint that must not be ejected because half of the endpoints already
/// are.
const RETAINED_WEIGHT: Weight = Weight(500);

/// State reported by the upstream itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthHint {
    Serving,
    Starting,
    /// It drains and takes no new flows.
    Draining,
    Failed,
    /// The report could not be fetched.
    Missing,
}

/// Result of one call as observed by the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// Complete answer after this time.
    Answered(DurationMs),
    /// Failure, lost connection or invalid answer.
    Failed,
    DeadlineExceeded,
    /// Refused by the upstream for lack of capacity.
    Shed,
}

/// Weight that another endpoint of the service announces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnouncedWeight {
    pub endpoint: EndpointId,
    pub weight: Weight,
}

/// Health of one upstream and the weight of its endpoint.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    endpoint: EndpointId,
    failure_ratio: f64,
    latency_ms: Option<f64>,
    baseline_ms: f64,
    hint: HealthHint,
    weight: f64,
    updated: TimeMs,
    last_result: TimeMs,
}

impl UpstreamHealth {
    /// Creates the state of an upstream that starts now.
    pub fn new(now: TimeMs, endpoint: EndpointId) -> Self {
        Self {
            endpoint,
            failure_ratio: 0.0,
            latency_ms: None,
            baseline_ms: 0.0,
            hint: HealthHint::Missing,
            weight: INITIAL_WEIGHT,
            updated: now,
            last_result: now,
        }
    }

    pub fn record(&mut self, now: TimeMs, result: CallResult) {
        self.advance(now);
        let failure = match result {
            CallResult::Answered(took_ms) => {
                self.record_latency(took_ms.get() as f64);
                0.0
            }
            CallResult::Failed | CallResult::DeadlineExceeded => 1.0,
            CallResult::Shed => SHED_FAILURE,
        };
        self.failure_ratio += (failure - self.failure_ratio) * FAILURE_GAIN;
        self.last_result = now;
        self.weight = self.weight.min(self.target_weight());
    }

    /// Records the upstream's report about itself.
    pub fn record_hint(&mut self, now: TimeMs, hint: HealthHint) {
        self.advance(now);
        self.hint = hint;
        self.weight = self.weight.min(self.target_weight());
    }

    /// Resets the state after a restart of the upstream, so that its weight ramps up again. The
    /// latency baseline is kept.
    pub fn record_restart(&mut self, now: TimeMs) {
        *self = Self {
            baseline_ms: self.baseline_ms,
            ..Self::new(now, self.endpoint)
        };
    }

    /// Returns the weight to announce, given the weights of the other endpoints of the service.
    pub fn weight(&mut self, now: TimeMs, others: &[AnnouncedWeight]) -> Weight {
        self.advance(now);
        let weight = Weight(self.weight as u16);
        if weight >= EJECTED_BELOW_WEIGHT || self.may_be_ejected(weight, others) {
            return weight;
        }
        RETAINED_WEIGHT
    }

    /// Returns whether this endpoint may be ejected: at most half of the endpoints of a service
    /// are, those with the lowest weights.
    fn may_be_ejected(&self, weight: Weight, others: &[AnnouncedWeight]) -> bool {
        let is_less_healthy = |other: &&AnnouncedWeight| {
            other.weight < EJECTED_BELOW_WEIGHT
                && (other.weight, other.endpoint) < (weight, self.endpoint)
        };
        let less_healthy = others.iter().filter(is_less_healthy).count();
        less_healthy < others.len().div_ceil(2)
    }

    fn record_latency(&mut self, took_ms: f64) {
        let Some(latency_ms) = &mut self.latency_ms else {
            self.latency_ms = Some(took_ms);
            if self.baseline_ms == 0.0 {
                self.baseline_ms = took_ms;
            }
            return;
        };
        *latency_ms += (took_ms - *latency_ms) * LATENCY_GAIN;
        let latency_ms = *latency_ms;
        // The baseline follows a lower latency at once, since the first answers of a cold upstream
        // are slow.
        if latency_ms < self.baseline_ms {
            self.baseline_ms = latency_ms;
        } else {
            self.baseline_ms += (latency_ms - self.baseline_ms) * BASELINE_GAIN;
        }
    }

    fn advance(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.updated).get() as f64;
        self.updated = self.updated.max(now);
        if now.since(self.last_result).get() > 1000 {
            self.failure_ratio *= 0.5_f64.powf(elapsed_ms / FAILURE_HALF_LIFE_MS);
        }
        self.weight = (self.weight + elapsed_ms * WEIGHT_RAMP_PER_MS).min(self.target_weight());
    }

    fn target_weight(&self) -> f64 {
        let failure_factor = (1.0 - self.failure_ratio / EJECTION_FAILURE_RATIO).max(0.0);
        let slowdown = self.latency_ms.map_or(1.0, |latency_ms| {
            latency_ms / (self.baseline_ms.max(1.0) * SLOW_LATENCY_RATIO)
        });
        let latency_factor = (1.0 / slowdown.max(1.0)).max(MIN_LATENCY_FACTOR);
        let hint_factor = match self.hint {
            HealthHint::Serving | HealthHint::Missing => 1.0,
            HealthHint::Starting | HealthHint::Failed => HINT_FACTOR,
            // A false report does little harm, because at most half of a service is ejected.
            HealthHint::Draining => 0.0,
        };
        f64::from(Weight::FULL.get()) * failure_factor * latency_factor * hint_factor
    }
}
