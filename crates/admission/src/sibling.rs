//! Choice between this agent and its siblings for new flows.

use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;

use hawthorntide_types::{DurationMs, EndpointId, Phase, SlotCount, TimeMs};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::hash::FixedState;

/// Age at which a report no longer counts.
const REPORT_LIFETIME_MS: u64 = 2000;
/// Initial connection identifiers whose choice is remembered.
const REMEMBERED_CHOICES: usize = 8192;
/// Siblings whose reports are kept.
const MAX_SIBLINGS: usize = 1024;
/// Time over which reported work is averaged. Single values jump between zero and the few slots of
/// an upstream.
const AVERAGE_MS: f64 = 3000.0;
/// Work per slot that counts as none, so that the ratio of two idle upstreams is one.
const IDLE_WORK: f64 = 0.1;
/// Flows per slot that count as none.
const IDLE_FLOWS: f64 = 1.0;
/// Weight of the ratio of work against the ratio of flows. Work decides, so that a slow upstream
/// gets fewer flows; the flows even out what the work does not show.
const WORK_WEIGHT: f64 = 0.85;
/// Ratio above which a sibling is clearly freer.
const CLEARLY_FREER: f64 = 1.1;

/// Excess over the mean work of the siblings, in parts of the own work, from which on callers are
/// asked to move; the ratio of 1.25 that is accepted for uneven upstreams.
const MOVE_EXCESS: f64 = 0.2;
/// Chance that the caller of one answer is asked to move, in relation to the excess.
const MOVE_CHANCE: f64 = 1.0;

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointLoad {
    /// Endpoint that reports.
    pub endpoint: EndpointId,
    /// Requests that use a slot.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Delay of the queue.
    pub queue_delay_ms: DurationMs,
    /// Slots of the upstream.
    pub slots: SlotCount,
    /// Open flows.
    pub open_flows: u32,
    /// Phase of the endpoint.
    pub phase: Phase,
}

/// Where an opening packet goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowDecision {
    /// This agent takes the flow.
    Keep,
    /// The sibling takes the flow.
    Forward(EndpointId),
}

#[derive(Clone, Copy, Debug)]
struct Known {
    load: EndpointLoad,
    work: f64,
    reported: TimeMs,
    /// Flows that were passed on since the last report.
    passed: u32,
}

/// Passes new flows to siblings that are clearly freer.
#[derive(Clone, Debug)]
pub struct SiblingSelector {
    own: Option<Known>,
    /// Sorted by endpoint.
    siblings: Vec<Known>,
    remembered: HashMap<u64, FlowDecision, FixedState>,
    remembered_order: VecDeque<u64>,
    random: ChaCha8Rng,
}

impl SiblingSelector {
    /// Creates a choice without reports; `seed` decides which siblings are compared.
    pub fn new(seed: u64) -> Self {
        Self {
            own: None,
            siblings: Vec::new(),
            remembered: HashMap::default(),
            remembered_order: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes in the load of this agent; due at the interval of the reports.
    pub fn set_local_load(&mut self, now: TimeMs, load: EndpointLoad) {
        let earlier = self.own;
        self.own = Some(Known::new(now, load, earlier));
    }

    /// Takes in the report of a sibling.
    pub fn record_report(&mut self, now: TimeMs, load: EndpointLoad) {
        match self.index_of(load.endpoint) {
            Ok(index) => {
                let earlier = self.siblings[index];
                self.siblings[index] = Known::new(now, load, Some(earlier));
            }
            Err(index) if self.siblings.len() < MAX_SIBLINGS => {
                self.siblings.insert(index, Known::new(now, load, None));
            }
            Err(_) => {}
        }
    }

    /// Forgets a sibling that left.
    pub fn remove(&mut self, endpoint: EndpointId) {
        if let Ok(index) = self.index_of(endpoint) {
            self.siblings.remove(index);
        }
    }

    /// Decides about an opening packet that came directly from a balancer. `connection_id` is its
    /// initial destination connection identifier; retransmissions get the same decision.
    pub fn choose(&mut self, now: TimeMs, connection_id: &[u8]) -> FlowDecision {
        let key = self.remembered.hasher().hash_one(connection_id);
        if let Some(choice) = self.remembered.get(&key) {
            return *choice;
        }
        let choice = self.decide(now);
        self.remember(key, choice);
        choice
    }

    fn decide(&mut self, now: TimeMs) -> FlowDecision {
        self.siblings.retain(|sibling| sibling.is_fresh(now));
        let Some(own) = self.own else {
            return FlowDecision::Keep;
        };
        let Some(index) = self.freer_of_two() else {
            return FlowDecision::Keep;
        };
        let sibling = &mut self.siblings[index];
        let must_leave = !own.load.phase.takes_new_flows();
        if must_leave || own.load_ratio(sibling) > CLEARLY_FREER {
            sibling.passed += 1;
            return FlowDecision::Forward(sibling.load.endpoint);
        }
        FlowDecision::Keep
    }

    /// Decides whether the caller of an answer is asked to send its further requests to a sibling.
    ///
    /// The requests of long flows stay with an upstream that became slow, whatever new flows do. The
    /// chance grows with the excess over the mean work of the siblings, so that the excess shrinks
    /// within some seconds and callers do not all leave at once.
    pub fn should_move(&mut self, now: TimeMs) -> bool {
        self.siblings.retain(|sibling| sibling.is_fresh(now));
        let Some(own) = self.own else {
            return false;
        };
        let works = || {
            self.siblings
                .iter()
                .filter(|it| it.takes_flows())
                .map(|it| it.work)
        };
        let count = works().count();
        if count == 0 {
            return false;
        }
        let mean = works().sum::<f64>() / count as f64;
        let excess = 1.0 - (mean + IDLE_WORK) / (own.work + IDLE_WORK);
        excess > MOVE_EXCESS
            && self
                .random
                .random_bool((excess * MOVE_CHANCE).clamp(0.0, 1.0))
    }

    /// Draws two siblings that take new flows and returns the one with less load.
    fn freer_of_two(&mut self) -> Option<usize> {
        let takes_flows = |index: &usize| self.siblings[*index].takes_flows();
        let candidates: Vec<usize> = (0..self.siblings.len()).filter(takes_flows).collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.random.random_range(0..candidates.len())];
        let second = candidates[self.random.random_range(0..candidates.len())];
        let ratio = self.siblings[first].load_ratio(&self.siblings[second]);
        Some(if ratio > 1.0 { second } else { first })
    }

    fn remember(&mut self, key: u64, choice: FlowDecision) {
        if self.remembered_order.len() >= REMEMBERED_CHOICES
            && let Some(oldest) = self.remembered_order.pop_front()
        {
            self.remembered.remove(&oldest);
        }
        self.remembered.insert(key, choice);
        self.remembered_order.push_back(key);
    }

    fn index_of(&self, endpoint: EndpointId) -> Result<usize, usize> {
        self.siblings
            .binary_search_by_key(&endpoint, |sibling| sibling.load.endpoint)
    }
}

impl Known {
    fn new(now: TimeMs, load: EndpointLoad, earlier: Option<Self>) -> Self {
        let requests = f64::from(load.in_flight) + f64::from(load.waiting);
        let sample = requests / f64::from(load.slots.get().max(1));
        let work = earlier.map_or(sample, |earlier| {
            let passed_ms = now.since(earlier.reported).get() as f64;
            let gain = 1.0 - (-passed_ms / AVERAGE_MS).exp();
            earlier.work + (sample - earlier.work) * gain
        });
        Self {
            load,
            work,
            reported: now,
            passed: 0,
        }
    }

    fn is_fresh(&self, now: TimeMs) -> bool {
        now.since(self.reported).get() < REPORT_LIFETIME_MS
    }

    fn takes_flows(&self) -> bool {
        self.load.phase.takes_new_flows() && self.load.slots.get() > 0
    }

    /// Returns how many times as loaded as `other` this endpoint is.
    fn load_ratio(&self, other: &Self) -> f64 {
        let work = (self.work + IDLE_WORK) / (other.work + IDLE_WORK);
        let flows = (self.flows() + IDLE_FLOWS) / (other.flows() + IDLE_FLOWS);
        work.powf(WORK_WEIGHT) * flows.powf(1.0 - WORK_WEIGHT)
    }

    fn flows(&self) -> f64 {
        let flows = f64::from(self.load.open_flows) + f64::from(self.passed);
        flows / f64::from(self.load.slots.get().max(1))
    }
}
