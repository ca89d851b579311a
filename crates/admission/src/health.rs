//! Health of the upstream as the agent observes it, and the weight that follows from it.

use hawthorntide_types::{DurationMs, EndpointId, TimeMs, Weight};

/// Part of a new result in the failure ratio: about ten results decide.
const FAILURE_GAIN: f64 = 0.1;
/// Failure ratio at which an upstream is set aside.
const SET_ASIDE_FAILURES: f64 = 0.5;
/// Without results the failure ratio halves in this time, so that new flows probe the upstream.
const FAILURE_HALF_LIFE_MS: f64 = 5000.0;
/// Failure that a shed answer counts as; the upstream works, but has no room.
const SHED_FAILURE: f64 = 0.25;
/// Part of a new latency in the recent latency.
const RECENT_GAIN: f64 = 0.05;
/// Part of a new latency in the usual latency.
const USUAL_GAIN: f64 = 0.001;
/// Latency in relation to the usual one that lowers the weight.
const SLOW_RATIO: f64 = 1.5;
/// Lowest factor that latency alone gives.
const SLOW_FLOOR: f64 = 0.25;
/// Factor of a hint by the upstream's own reports, which lag or mislead.
const HINT_FACTOR: f64 = 0.8;
/// Weight of a started upstream.
const START_WEIGHT: f64 = 100.0;
/// Growth of the weight: from zero to full in ten seconds.
const GROWTH_PER_MS: f64 = 0.1;
/// Weight below which an endpoint counts as set aside.
const SET_ASIDE_BELOW: Weight = Weight(250);
/// Lowest weight of an endpoint of the half that must not be set aside.
const FLOOR_WEIGHT: Weight = Weight(500);

/// State that an upstream reports about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthHint {
    /// It serves.
    Serving,
    /// It starts.
    Starting,
    /// It drains and wants no new flows.
    Draining,
    /// It failed.
    Failed,
    /// Its report could not be had.
    Missing,
}

/// Result of one call as the agent saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A whole answer after this time.
    Answered(DurationMs),
    /// A failure, a lost connection or an invalid answer.
    Failed,
    /// No answer before the deadline.
    DeadlineExceeded,
    /// Refused for lack of room.
    Shed,
}

/// Weight of another endpoint of the service as announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnouncedWeight {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Announced weight.
    pub weight: Weight,
}

/// Observes one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    endpoint: EndpointId,
    failures: f64,
    recent_ms: Option<f64>,
    usual_ms: f64,
    hint: HealthHint,
    weight: f64,
    updated: TimeMs,
    last_result: TimeMs,
}

impl UpstreamHealth {
    /// Creates the health of an upstream that starts now.
    pub fn new(now: TimeMs, endpoint: EndpointId) -> Self {
        Self {
            endpoint,
            failures: 0.0,
            recent_ms: None,
            usual_ms: 0.0,
            hint: HealthHint::Missing,
            weight: START_WEIGHT,
            updated: now,
            last_result: now,
        }
    }

    /// Takes in the result of a call.
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
        self.failures += (failure - self.failures) * FAILURE_GAIN;
        self.last_result = now;
        self.weight = self.weight.min(self.target());
    }

    /// Takes in the upstream's own report.
    pub fn record_hint(&mut self, now: TimeMs, hint: HealthHint) {
        self.advance(now);
        self.hint = hint;
        self.weight = self.weight.min(self.target());
    }

    /// Takes in that the upstream was started anew; its weight ramps up again.
    pub fn restarted(&mut self, now: TimeMs) {
        *self = Self {
            usual_ms: self.usual_ms,
            ..Self::new(now, self.endpoint)
        };
    }

    /// Returns the weight to announce, given the weights of the other endpoints of the service.
    pub fn weight(&mut self, now: TimeMs, others: &[AnnouncedWeight]) -> Weight {
        self.advance(now);
        let own = Weight(self.weight as u16);
        if own >= SET_ASIDE_BELOW || self.may_be_set_aside(own, others) {
            return own;
        }
        FLOOR_WEIGHT
    }

    /// At most half of the endpoints may be set aside: the ones with the lowest weights.
    fn may_be_set_aside(&self, own: Weight, others: &[AnnouncedWeight]) -> bool {
        let is_worse = |other: &&AnnouncedWeight| {
            other.weight < SET_ASIDE_BELOW && (other.weight, other.endpoint) < (own, self.endpoint)
        };
        let worse = others.iter().filter(is_worse).count();
        worse < others.len().div_ceil(2)
    }

    fn record_latency(&mut self, took_ms: f64) {
        let Some(recent_ms) = &mut self.recent_ms else {
            self.recent_ms = Some(took_ms);
            if self.usual_ms == 0.0 {
                self.usual_ms = took_ms;
            }
            return;
        };
        *recent_ms += (took_ms - *recent_ms) * RECENT_GAIN;
        let recent_ms = *recent_ms;
        // Improvements count at once: the first answers of a cold upstream are slow.
        if recent_ms < self.usual_ms {
            self.usual_ms = recent_ms;
        } else {
            self.usual_ms += (recent_ms - self.usual_ms) * USUAL_GAIN;
        }
    }

    fn advance(&mut self, now: TimeMs) {
        let passed_ms = now.since(self.updated).get() as f64;
        self.updated = self.updated.max(now);
        if now.since(self.last_result).get() > 1000 {
            self.failures *= 0.5_f64.powf(passed_ms / FAILURE_HALF_LIFE_MS);
        }
        self.weight = (self.weight + passed_ms * GROWTH_PER_MS).min(self.target());
    }

    fn target(&self) -> f64 {
        let working = (1.0 - self.failures / SET_ASIDE_FAILURES).max(0.0);
        let slowness = self.recent_ms.map_or(1.0, |recent_ms| {
            recent_ms / (self.usual_ms.max(1.0) * SLOW_RATIO)
        });
        let speed = (1.0 / slowness.max(1.0)).max(SLOW_FLOOR);
        let hinted = match self.hint {
            HealthHint::Serving | HealthHint::Missing => 1.0,
            HealthHint::Starting | HealthHint::Failed => HINT_FACTOR,
            // A false report costs little: at most half of a service is set aside.
            HealthHint::Draining => 0.0,
        };
        f64::from(Weight::FULL.get()) * working * speed * hinted
    }
}
