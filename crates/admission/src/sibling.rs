//! Load balancing of new flows between this agent and its siblings: power of two choices.

use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;

use hawthorntide_types::{DurationMs, EndpointId, Phase, SlotCount, TimeMs};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::hash::FixedState;

/// Load reports of this age or older are ignored.
const REPORT_LIFETIME_MS: u64 = 2000;
/// Maximum number of decisions stored for retransmissions of opening packets.
const MAX_RECENT_DECISIONS: usize = 8192;
/// Maximum number of siblings whose reports are stored.
const MAX_SIBLINGS: usize = 1024;
/// Time constant of the moving average of reported requests. Averaging is needed because an
/// upstream has few slots, so that single reports fluctuate between zero and all slots.
const AVERAGING_TIME_MS: f64 = 3000.0;
/// Requests per slot added to numerator and denominator of a ratio, so that two idle upstreams have
/// a ratio of about one.
const REQUESTS_OFFSET: f64 = 0.1;
/// Flows per slot added to numerator and denominator, for the same reason.
const FLOWS_OFFSET: f64 = 1.0;
/// Exponent of the request ratio in the load ratio; the exponent of the flow ratio is one minus
/// this. The request ratio dominates, so that a slow upstream gets fewer flows. The flow ratio
/// evens out differences that requests do not show.
const REQUESTS_WEIGHT: f64 = 0.85;
/// Ratio of the local load to that of a sibling above which a flow is forwarded to the sibling.
const FORWARD_LOAD_RATIO: f64 = 1.1;

/// Excess of the local load over the mean of the siblings, as a fraction of the local load, above
/// which callers are asked to move. It corresponds to the imbalance of 1.25 that is accepted for
/// uneven upstreams.
const MIN_MOVE_EXCESS: f64 = 0.2;
/// Probability, per unit of excess, that an answer asks its caller to move.
const MOVE_PROBABILITY_FACTOR: f64 = 1.0;

/// Load that one endpoint reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointLoad {
    pub endpoint: EndpointId,
    /// Requests that hold a slot.
    pub in_flight: u32,
    pub waiting: u32,
    pub queue_delay_ms: DurationMs,
    pub slots: SlotCount,
    pub open_flows: u32,
    pub phase: Phase,
}

/// Which endpoint takes a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowDecision {
    /// This agent.
    Keep,
    /// The sibling, to which the opening packet is forwarded.
    Forward(EndpointId),
}

#[derive(Clone, Copy, Debug)]
struct TrackedLoad {
    load: EndpointLoad,
    /// Moving average of running plus waiting requests.
    requests_per_slot: f64,
    reported: TimeMs,
    /// Flows forwarded to the endpoint since its last report.
    forwarded: u32,
}

/// Forwards new flows to siblings with a clearly lower load, and asks callers of long flows to move
/// to them.
#[derive(Clone, Debug)]
pub struct SiblingSelector {
    local: Option<TrackedLoad>,
    /// Sorted by endpoint.
    siblings: Vec<TrackedLoad>,
    decisions: HashMap<u64, FlowDecision, FixedState>,
    decision_order: VecDeque<u64>,
    random: ChaCha8Rng,
}

impl SiblingSelector {
    /// Creates a selector without reports; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            local: None,
            siblings: Vec::new(),
            decisions: HashMap::default(),
            decision_order: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the load of this agent; must be called at the same interval as load reports are sent.
    pub fn set_local_load(&mut self, now: TimeMs, load: EndpointLoad) {
        let previous = self.local;
        self.local = Some(TrackedLoad::new(now, load, previous));
    }

    /// Records the load report of a sibling.
    pub fn record_report(&mut self, now: TimeMs, load: EndpointLoad) {
        match self.index_of(load.endpoint) {
            Ok(index) => {
                let previous = self.siblings[index];
                self.siblings[index] = TrackedLoad::new(now, load, Some(previous));
            }
            Err(index) if self.siblings.len() < MAX_SIBLINGS => {
                self.siblings
                    .insert(index, TrackedLoad::new(now, load, None));
            }
            Err(_) => {}
        }
    }

    /// Removes a sibling that has left.
    pub fn remove(&mut self, endpoint: EndpointId) {
        if let Ok(index) = self.index_of(endpoint) {
            self.siblings.remove(index);
        }
    }

    /// Decides which endpoint takes the flow of an opening packet that came directly from a
    /// balancer. `connection_id` is the initial destination connection identifier of the packet, by
    /// which retransmissions get the same decision.
    pub fn choose(&mut self, now: TimeMs, connection_id: &[u8]) -> FlowDecision {
        let key = self.decisions.hasher().hash_one(connection_id);
        if let Some(decision) = self.decisions.get(&key) {
            return *decision;
        }
        let decision = self.decide(now);
        self.store_decision(key, decision);
        decision
    }

    fn decide(&mut self, now: TimeMs) -> FlowDecision {
        self.siblings.retain(|sibling| sibling.is_fresh(now));
        let Some(local) = self.local else {
            return FlowDecision::Keep;
        };
        let Some(index) = self.less_loaded_of_two() else {
            return FlowDecision::Keep;
        };
        let sibling = &mut self.siblings[index];
        let must_forward = !local.load.phase.takes_new_flows();
        if must_forward || local.load_ratio(sibling) > FORWARD_LOAD_RATIO {
            sibling.forwarded += 1;
            return FlowDecision::Forward(sibling.load.endpoint);
        }
        FlowDecision::Keep
    }

    /// Decides whether an answer asks its caller to send further requests to a sibling.
    ///
    /// When an upstream becomes slow, forwarding new flows does not reduce the requests of its
    /// existing long flows. The probability grows with the excess over the mean load of the
    /// siblings, so that the excess shrinks within some seconds and callers do not all leave at
    /// once.
    pub fn should_move(&mut self, now: TimeMs) -> bool {
        self.siblings.retain(|sibling| sibling.is_fresh(now));
        let Some(local) = self.local else {
            return false;
        };
        let sibling_loads = || {
            self.siblings
                .iter()
                .filter(|it| it.accepts_flows())
                .map(|it| it.requests_per_slot)
        };
        let count = sibling_loads().count();
        if count == 0 {
            return false;
        }
        let mean = sibling_loads().sum::<f64>() / count as f64;
        let excess = 1.0 - (mean + REQUESTS_OFFSET) / (local.requests_per_slot + REQUESTS_OFFSET);
        excess > MIN_MOVE_EXCESS
            && self
                .random
                .random_bool((excess * MOVE_PROBABILITY_FACTOR).clamp(0.0, 1.0))
    }

    /// Draws two siblings that accept new flows at random and returns the less loaded one.
    fn less_loaded_of_two(&mut self) -> Option<usize> {
        let accepts_flows = |index: &usize| self.siblings[*index].accepts_flows();
        let candidates: Vec<usize> = (0..self.siblings.len()).filter(accepts_flows).collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.random.random_range(0..candidates.len())];
        let second = candidates[self.random.random_range(0..candidates.len())];
        let ratio = self.siblings[first].load_ratio(&self.siblings[second]);
        Some(if ratio > 1.0 { second } else { first })
    }

    fn store_decision(&mut self, key: u64, decision: FlowDecision) {
        if self.decision_order.len() >= MAX_RECENT_DECISIONS
            && let Some(oldest) = self.decision_order.pop_front()
        {
            self.decisions.remove(&oldest);
        }
        self.decisions.insert(key, decision);
        self.decision_order.push_back(key);
    }

    fn index_of(&self, endpoint: EndpointId) -> Result<usize, usize> {
        self.siblings
            .binary_search_by_key(&endpoint, |sibling| sibling.load.endpoint)
    }
}

impl TrackedLoad {
    fn new(now: TimeMs, load: EndpointLoad, previous: Option<Self>) -> Self {
        let requests = f64::from(load.in_flight) + f64::from(load.waiting);
        let sample = requests / f64::from(load.slots.get().max(1));
        let requests_per_slot = previous.map_or(sample, |previous| {
            let elapsed_ms = now.since(previous.reported).get() as f64;
            let gain = 1.0 - (-elapsed_ms / AVERAGING_TIME_MS).exp();
            previous.requests_per_slot + (sample - previous.requests_per_slot) * gain
        });
        Self {
            load,
            requests_per_slot,
            reported: now,
            forwarded: 0,
        }
    }

    fn is_fresh(&self, now: TimeMs) -> bool {
        now.since(self.reported).get() < REPORT_LIFETIME_MS
    }

    fn accepts_flows(&self) -> bool {
        self.load.phase.takes_new_flows() && self.load.slots.get() > 0
    }

    /// Returns the ratio of the load of this endpoint to that of `other`: the geometric mean of the
    /// ratios of requests and flows, weighted by [`REQUESTS_WEIGHT`].
    fn load_ratio(&self, other: &Self) -> f64 {
        let requests = (self.requests_per_slot + REQUESTS_OFFSET)
            / (other.requests_per_slot + REQUESTS_OFFSET);
        let flows =
            (self.flows_per_slot() + FLOWS_OFFSET) / (other.flows_per_slot() + FLOWS_OFFSET);
        requests.powf(REQUESTS_WEIGHT) * flows.powf(1.0 - REQUESTS_WEIGHT)
    }

    fn flows_per_slot(&self) -> f64 {
        let flows = f64::from(self.load.open_flows) + f64::from(self.forwarded);
        flows / f64::from(self.load.slots.get().max(1))
    }
}
