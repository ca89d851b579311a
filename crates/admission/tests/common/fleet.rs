//! Seeded simulation of load balancing of long flows between the endpoints of one service.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hawthorntide_admission::{
    AdmissionAction, AdmissionEvent, AdmissionMachine, AnnouncedWeight, CallResult, Completion,
    EndpointLoad, FlowDecision, HealthHint, RequestId, SiblingSelector, UpstreamHealth,
};
use hawthorntide_types::{
    DurationMs, EndpointId, Phase, Profile, SlotCount, TimeMs, Weight, WorkKind,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REPORT_US: u64 = 200_000;
const HEARTBEAT_US: u64 = 1_000_000;
/// Slots of the lookup table of a service in a balancer.
const TABLE_SLOTS: usize = 1024;

/// Configuration of the upstream of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Upstream {
    pub slots: u32,
    /// Multiplier of the service time.
    pub service_time_factor: f64,
    /// Time at which the endpoint joins.
    pub joins_s: u64,
    /// Time at which the endpoint starts to drain; its flows stay until they end.
    pub drains_s: u64,
    /// Time after joining during which the service time is five times as long.
    pub cold_s: u64,
    /// State that the upstream always reports about itself.
    pub hint: HealthHint,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            slots: 7,
            service_time_factor: 1.0,
            joins_s: 0,
            drains_s: u64::MAX,
            cold_s: 0,
            hint: HealthHint::Serving,
        }
    }
}

/// How new flows are assigned to endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Balance {
    /// By the hash of the flow alone.
    PlainHash,
    /// By a hash weighted with the health, and from there to a less loaded sibling at most once.
    SiblingChoice,
}

/// Settings of one simulation.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub upstreams: Vec<Upstream>,
    pub profile: Profile,
    pub balance: Balance,
    pub flows: usize,
    pub flow_seconds: f64,
    pub requests_per_flow_second: f64,
    pub service_ms: f64,
    pub seconds: u64,
    /// Length of the measurement interval at the end of the simulation.
    pub measured_s: u64,
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub struct FleetResult {
    /// Mean number of requests in flight of each endpoint.
    pub in_flight: Vec<f64>,
    pub open_flows: Vec<u32>,
    /// Whether each endpoint takes new flows at the end.
    pub is_serving: Vec<bool>,
    pub forwarded: u64,
    pub opened: u64,
    pub answered: u64,
    pub refused: u64,
}

impl FleetResult {
    /// Returns the highest number of requests in flight of the serving endpoints, relative to their
    /// mean.
    pub fn imbalance(&self) -> f64 {
        let serving = self.in_flight.iter().zip(&self.is_serving);
        let values: Vec<f64> = serving
            .filter(|(_, serving)| **serving)
            .map(|(value, _)| *value)
            .collect();
        let sum: f64 = values.iter().sum();
        values.iter().copied().fold(0.0, f64::max) * values.len() as f64 / sum
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Open,
    Request { flow: usize, generation: u64 },
    Close { flow: usize },
    Finish { endpoint: usize, request: u64 },
    Report,
    Heartbeat,
}

struct Endpoint {
    upstream: Upstream,
    machine: AdmissionMachine,
    selector: SiblingSelector,
    health: UpstreamHealth,
    announced: Weight,
    open_flows: u32,
    in_flight: u32,
    in_flight_us: f64,
    changed_us: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    endpoint: Option<usize>,
    /// Number of flows that have used this entry, so that events of earlier ones are ignored.
    generation: u64,
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    endpoints: Vec<Endpoint>,
    table: Vec<usize>,
    flows: Vec<Flow>,
    free_flows: Vec<usize>,
    /// Start times of the requests, indexed by request identifier.
    started_us: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    order: u64,
    random: ChaCha8Rng,
    result: FleetResult,
}

pub fn simulate(fleet: &Fleet) -> FleetResult {
    let endpoints: Vec<Endpoint> = (0..fleet.upstreams.len())
        .map(|index| Endpoint::new(fleet, index))
        .collect();
    let mut simulation = Simulation {
        fleet,
        table: Vec::new(),
        flows: Vec::new(),
        free_flows: Vec::new(),
        started_us: Vec::new(),
        events: BinaryHeap::new(),
        order: 0,
        random: ChaCha8Rng::seed_from_u64(fleet.seed),
        result: FleetResult {
            in_flight: vec![0.0; endpoints.len()],
            open_flows: Vec::new(),
            is_serving: Vec::new(),
            forwarded: 0,
            opened: 0,
            answered: 0,
            refused: 0,
        },
        endpoints,
    };
    simulation.run();
    simulation.result
}

impl Endpoint {
    fn new(fleet: &Fleet, index: usize) -> Self {
        let upstream = fleet.upstreams[index];
        let slots = SlotCount(upstream.slots);
        let joins = TimeMs(upstream.joins_s * 1000);
        Self {
            upstream,
            machine: AdmissionMachine::new(fleet.profile.clone(), slots),
            selector: SiblingSelector::new(fleet.seed + index as u64),
            health: UpstreamHealth::new(joins, EndpointId(index as u64)),
            announced: Weight(100),
            open_flows: 0,
            in_flight: 0,
            in_flight_us: 0.0,
            changed_us: 0,
        }
    }

    fn phase(&self, now_us: u64) -> Phase {
        let second = now_us / 1_000_000;
        if second < self.upstream.joins_s {
            Phase::Gone
        } else if second >= self.upstream.drains_s {
            Phase::Draining
        } else {
            Phase::Serving
        }
    }

    fn service_us(&self, now_us: u64, mean_ms: f64, factor: f64) -> u64 {
        let age_s = (now_us / 1_000_000).saturating_sub(self.upstream.joins_s);
        let cold = if age_s < self.upstream.cold_s {
            5.0
        } else {
            1.0
        };
        (mean_ms * 1000.0 * self.upstream.service_time_factor * cold * factor) as u64
    }

    /// Adds the requests in flight since the last change to the total of the measurement interval.
    fn account(&mut self, now_us: u64, from_us: u64) {
        let since_us = self.changed_us.max(from_us);
        self.in_flight_us += f64::from(self.in_flight) * now_us.saturating_sub(since_us) as f64;
        self.changed_us = now_us;
    }
}

impl Simulation<'_> {
    fn run(&mut self) {
        self.heartbeat(0);
        self.schedule(REPORT_US, SimEvent::Report);
        let gap_us = self.fleet.flow_seconds * 1_000_000.0 / self.fleet.flows as f64;
        for _ in 0..self.fleet.flows {
            self.open(0);
        }
        self.schedule(gap_us as u64, SimEvent::Open);
        let end_us = self.fleet.seconds * 1_000_000;
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us > end_us {
                break;
            }
            match event {
                SimEvent::Open => {
                    self.open(now_us);
                    let next = self.exponential_us(gap_us);
                    self.schedule(now_us + next, SimEvent::Open);
                }
                SimEvent::Request { flow, generation } => self.request(now_us, flow, generation),
                SimEvent::Close { flow } => self.close(flow),
                SimEvent::Finish { endpoint, request } => self.finish(now_us, endpoint, request),
                SimEvent::Report => self.report(now_us),
                SimEvent::Heartbeat => self.heartbeat(now_us),
            }
        }
        self.summarize(end_us);
    }

    fn summarize(&mut self, end_us: u64) {
        let measured_us = self.fleet.measured_s * 1_000_000;
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            endpoint.account(end_us, end_us - measured_us);
            self.result.in_flight[index] = endpoint.in_flight_us / measured_us as f64;
            self.result.open_flows.push(endpoint.open_flows);
            let is_serving = endpoint.phase(end_us) == Phase::Serving;
            self.result.is_serving.push(is_serving);
        }
    }

    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, event)));
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        let unit: f64 = self.random.random_range(f64::EPSILON..1.0);
        (-unit.ln() * mean_us) as u64 + 1
    }

    fn open(&mut self, now_us: u64) {
        let slot = self.random.random_range(0..TABLE_SLOTS);
        let hashed = self.table[slot];
        let endpoint = self.forward_once(now_us, hashed);
        let flow = self.free_flows.pop().unwrap_or(self.flows.len());
        if flow == self.flows.len() {
            self.flows.push(Flow::default());
        }
        let generation = self.flows[flow].generation + 1;
        self.flows[flow] = Flow {
            endpoint: Some(endpoint),
            generation,
        };
        self.endpoints[endpoint].open_flows += 1;
        self.result.opened += 1;
        let duration_us = self.exponential_us(self.fleet.flow_seconds * 1_000_000.0);
        self.schedule(now_us + duration_us, SimEvent::Close { flow });
        self.schedule_request(now_us, flow, generation);
    }

    fn forward_once(&mut self, now_us: u64, hashed: usize) -> usize {
        if self.fleet.balance == Balance::PlainHash {
            return hashed;
        }
        let now = TimeMs(now_us / 1000);
        let connection_id = self.result.opened.to_be_bytes();
        match self.endpoints[hashed].selector.choose(now, &connection_id) {
            FlowDecision::Keep => hashed,
            FlowDecision::Forward(endpoint) => {
                self.result.forwarded += 1;
                endpoint.get() as usize
            }
        }
    }

    fn close(&mut self, flow: usize) {
        if let Some(endpoint) = self.flows[flow].endpoint.take() {
            self.endpoints[endpoint].open_flows -= 1;
            self.free_flows.push(flow);
        }
    }

    fn schedule_request(&mut self, now_us: u64, flow: usize, generation: u64) {
        let gap_us = self.exponential_us(1_000_000.0 / self.fleet.requests_per_flow_second);
        self.schedule(now_us + gap_us, SimEvent::Request { flow, generation });
    }

    fn request(&mut self, now_us: u64, flow: usize, generation: u64) {
        let Flow {
            endpoint: Some(endpoint),
            generation: current,
        } = self.flows[flow]
        else {
            return;
        };
        if current != generation {
            return;
        }
        self.schedule_request(now_us, flow, generation);
        let id = RequestId(self.started_us.len() as u64);
        self.started_us.push(0);
        let event = AdmissionEvent::Arrived {
            id,
            kind: WorkKind::Sheet,
            deadline_ms: None,
        };
        self.handle_event(now_us, endpoint, event);
    }

    fn finish(&mut self, now_us: u64, endpoint: usize, request: u64) {
        let took_ms = (now_us - self.started_us[request as usize]) / 1000;
        let now = TimeMs(now_us / 1000);
        let from_us = self.measured_from_us();
        let state = &mut self.endpoints[endpoint];
        state
            .health
            .record(now, CallResult::Answered(DurationMs(took_ms)));
        state.account(now_us, from_us);
        state.in_flight -= 1;
        self.result.answered += 1;
        let event = AdmissionEvent::Finished {
            id: RequestId(request),
            completion: Completion::Answered,
        };
        self.handle_event(now_us, endpoint, event);
    }

    fn measured_from_us(&self) -> u64 {
        (self.fleet.seconds - self.fleet.measured_s) * 1_000_000
    }

    fn handle_event(&mut self, now_us: u64, endpoint: usize, event: AdmissionEvent) {
        let mut actions = Vec::new();
        let now = TimeMs(now_us / 1000);
        self.endpoints[endpoint]
            .machine
            .handle(now, event, &mut actions);
        for action in actions {
            match action {
                AdmissionAction::Start { id, .. } => self.start(now_us, endpoint, id),
                AdmissionAction::Refuse { .. } => self.result.refused += 1,
                AdmissionAction::CancelUpstream { .. }
                | AdmissionAction::CrowdingChanged { .. } => {}
            }
        }
    }

    fn start(&mut self, now_us: u64, endpoint: usize, id: RequestId) {
        let factor = self.random.random_range(0.8..1.2);
        let from_us = self.measured_from_us();
        let state = &mut self.endpoints[endpoint];
        state.account(now_us, from_us);
        state.in_flight += 1;
        let service_us = state.service_us(now_us, self.fleet.service_ms, factor);
        self.started_us[id.0 as usize] = now_us;
        let event = SimEvent::Finish {
            endpoint,
            request: id.0,
        };
        self.schedule(now_us + service_us, event);
    }

    /// Delivers the load report of each endpoint to all others, as in deployments with up to six
    /// siblings.
    fn report(&mut self, now_us: u64) {
        let now = TimeMs(now_us / 1000);
        for endpoint in 0..self.endpoints.len() {
            self.handle_event(now_us, endpoint, AdmissionEvent::Tick);
        }
        let loads: Vec<EndpointLoad> = (0..self.endpoints.len())
            .map(|index| self.load_of(now_us, index))
            .collect();
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            endpoint.selector.set_local_load(now, loads[index]);
            let others = loads.iter().filter(|load| {
                load.endpoint != EndpointId(index as u64) && load.phase != Phase::Gone
            });
            for load in others {
                endpoint.selector.record_report(now, *load);
            }
        }
        self.schedule(now_us + REPORT_US, SimEvent::Report);
    }

    fn load_of(&self, now_us: u64, index: usize) -> EndpointLoad {
        let endpoint = &self.endpoints[index];
        let load = endpoint.machine.load();
        EndpointLoad {
            endpoint: EndpointId(index as u64),
            in_flight: load.in_flight,
            waiting: load.waiting,
            queue_delay_ms: load.queue_delay_ms,
            slots: load.slots,
            open_flows: endpoint.open_flows,
            phase: endpoint.phase(now_us),
        }
    }

    fn heartbeat(&mut self, now_us: u64) {
        let now = TimeMs(now_us / 1000);
        let announced: Vec<AnnouncedWeight> = (0..self.endpoints.len())
            .filter(|index| self.endpoints[*index].phase(now_us) == Phase::Serving)
            .map(|index| AnnouncedWeight {
                endpoint: EndpointId(index as u64),
                weight: self.endpoints[index].announced,
            })
            .collect();
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            let endpoint_id = EndpointId(index as u64);
            let others: Vec<_> = announced
                .iter()
                .filter(|other| other.endpoint != endpoint_id)
                .copied()
                .collect();
            endpoint.health.record_hint(now, endpoint.upstream.hint);
            endpoint.announced = endpoint.health.weight(now, &others);
        }
        self.table = (0..TABLE_SLOTS)
            .map(|slot| self.owner(now_us, slot))
            .collect();
        self.schedule(now_us + HEARTBEAT_US, SimEvent::Heartbeat);
    }

    /// Returns the endpoint of a table slot by weighted rendezvous hashing, as in the balancers.
    fn owner(&self, now_us: u64, slot: usize) -> usize {
        let serving = (0..self.endpoints.len())
            .filter(|index| self.endpoints[*index].phase(now_us) == Phase::Serving);
        let score = |index: usize| {
            let seed = (slot * 1000 + index) as u64 ^ self.fleet.seed << 32;
            let unit: f64 = ChaCha8Rng::seed_from_u64(seed).random_range(f64::EPSILON..1.0);
            let weight = match self.fleet.balance {
                Balance::PlainHash => 1.0,
                Balance::SiblingChoice => f64::from(self.endpoints[index].announced.get()),
            };
            weight / -unit.ln()
        };
        let owner = serving.max_by(|a, b| score(*a).total_cmp(&score(*b)));
        owner.expect("at least one endpoint serves")
    }
}
