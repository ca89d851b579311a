//! Seeded simulation of one upstream under mixed load behind the admission machine or a FIFO queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hawthorntide_admission::{
    AdmissionAction, AdmissionEvent, AdmissionMachine, Completion, RequestId,
};
use hawthorntide_types::{DurationMs, Profile, SlotCount, TimeMs, WorkKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_US: u64 = 10_000;
/// Requests that arrive before this time fill the queues and are not counted.
const WARM_UP_US: u64 = 5_000_000;

/// Offered load of one kind of work.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub kind: WorkKind,
    pub per_second: f64,
    pub service_ms: f64,
    pub deadline_ms: u64,
}

/// Queue discipline in front of the upstream.
#[derive(Clone, Debug)]
pub enum Policy {
    Admission(Box<Profile>),
    Fifo { max_queue: usize },
}

/// Settings of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub slots: u32,
    pub loads: Vec<Load>,
    pub seconds: u64,
    pub seed: u64,
}

/// Results of one kind of work.
#[derive(Clone, Debug, Default)]
pub struct KindResult {
    pub offered: u64,
    pub refused: u64,
    pub started: u64,
    pub in_time: u64,
    pub late: u64,
    pub waits_us: Vec<u64>,
}

impl KindResult {
    /// Returns the number of requests answered in time, per second.
    pub fn goodput(&self, seconds: u64) -> f64 {
        self.in_time as f64 / seconds as f64
    }

    /// Returns the given quantile of the queue wait of started requests.
    pub fn wait_ms(&self, quantile: f64) -> f64 {
        let mut waits = self.waits_us.clone();
        waits.sort_unstable();
        let index = (waits.len() as f64 * quantile) as usize;
        waits
            .get(index.min(waits.len().saturating_sub(1)))
            .map_or(0.0, |wait| *wait as f64 / 1000.0)
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Finish(u64),
    Arrive(usize),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct SimulatedRequest {
    load: usize,
    arrived_us: u64,
    service_us: u64,
    is_counted: bool,
}

enum Controller {
    Machine(Box<AdmissionMachine>),
    Fifo {
        queue: VecDeque<u64>,
        max_queue: usize,
        in_flight: u32,
    },
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    controller: Controller,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    order: u64,
    requests: Vec<SimulatedRequest>,
    results: [KindResult; WorkKind::ALL.len()],
    max_in_flight: u32,
    in_flight: u32,
}

/// Runs `scenario` under `policy`; the results are indexed by kind.
pub fn run(scenario: &Scenario, policy: &Policy) -> [KindResult; WorkKind::ALL.len()] {
    let controller = match policy {
        Policy::Admission(profile) => {
            let slots = SlotCount(scenario.slots);
            Controller::Machine(Box::new(AdmissionMachine::new((**profile).clone(), slots)))
        }
        Policy::Fifo { max_queue } => Controller::Fifo {
            queue: VecDeque::new(),
            max_queue: *max_queue,
            in_flight: 0,
        },
    };
    let mut simulation = Simulation {
        scenario,
        controller,
        random: ChaCha8Rng::seed_from_u64(scenario.seed),
        events: BinaryHeap::new(),
        order: 0,
        requests: Vec::new(),
        results: Default::default(),
        max_in_flight: 0,
        in_flight: 0,
    };
    simulation.run();
    assert!(
        simulation.max_in_flight <= scenario.slots,
        "the upstream ran {} requests in {} slots",
        simulation.max_in_flight,
        scenario.slots
    );
    simulation.results
}

impl Simulation<'_> {
    fn run(&mut self) {
        for load in 0..self.scenario.loads.len() {
            self.schedule_arrival(0, load);
        }
        self.schedule(TICK_US, SimEvent::Tick);
        let end_us = WARM_UP_US + self.scenario.seconds * 1_000_000;
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us > end_us {
                return;
            }
            match event {
                SimEvent::Finish(id) => self.finish(now_us, id),
                SimEvent::Arrive(load) => self.arrive(now_us, load),
                SimEvent::Tick => {
                    self.handle_event(now_us, AdmissionEvent::Tick);
                    self.schedule(now_us + TICK_US, SimEvent::Tick);
                }
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, event)));
    }

    /// Schedules the next arrival of a Poisson process.
    fn schedule_arrival(&mut self, now_us: u64, load: usize) {
        let rate = self.scenario.loads[load].per_second;
        let unit: f64 = self.random.random_range(f64::EPSILON..1.0);
        let gap_us = (-unit.ln() / rate * 1_000_000.0) as u64;
        self.schedule(now_us + gap_us.max(1), SimEvent::Arrive(load));
    }

    fn arrive(&mut self, now_us: u64, load: usize) {
        self.schedule_arrival(now_us, load);
        let source = self.scenario.loads[load];
        let factor: f64 = self.random.random_range(0.8..1.2);
        let id = self.requests.len() as u64;
        let is_counted = now_us >= WARM_UP_US;
        self.requests.push(SimulatedRequest {
            load,
            arrived_us: now_us,
            service_us: (source.service_ms * factor * 1000.0) as u64,
            is_counted,
        });
        if is_counted {
            self.results[source.kind as usize].offered += 1;
        }
        let slots = self.scenario.slots;
        match &mut self.controller {
            Controller::Machine(_) => {
                let event = AdmissionEvent::Arrived {
                    id: RequestId(id),
                    kind: source.kind,
                    deadline_ms: Some(DurationMs(source.deadline_ms)),
                };
                self.handle_event(now_us, event);
            }
            Controller::Fifo { in_flight, .. } if *in_flight < slots => {
                *in_flight += 1;
                self.start(now_us, id);
            }
            Controller::Fifo {
                queue, max_queue, ..
            } if queue.len() < *max_queue => queue.push_back(id),
            Controller::Fifo { .. } => self.refuse(id),
        }
    }

    fn start(&mut self, now_us: u64, id: u64) {
        let request = self.requests[id as usize];
        self.in_flight += 1;
        self.max_in_flight = self.max_in_flight.max(self.in_flight);
        self.schedule(now_us + request.service_us, SimEvent::Finish(id));
        if request.is_counted {
            let kind = self.scenario.loads[request.load].kind;
            let result = &mut self.results[kind as usize];
            result.started += 1;
            result.waits_us.push(now_us - request.arrived_us);
        }
    }

    fn refuse(&mut self, id: u64) {
        let request = self.requests[id as usize];
        if request.is_counted {
            self.results[self.scenario.loads[request.load].kind as usize].refused += 1;
        }
    }

    fn finish(&mut self, now_us: u64, id: u64) {
        let request = self.requests[id as usize];
        let load = self.scenario.loads[request.load];
        self.in_flight -= 1;
        let result = &mut self.results[load.kind as usize];
        if request.is_counted && now_us - request.arrived_us <= load.deadline_ms * 1000 {
            result.in_time += 1;
        } else if request.is_counted {
            result.late += 1;
        }
        match &mut self.controller {
            Controller::Machine(_) => {
                let event = AdmissionEvent::Finished {
                    id: RequestId(id),
                    completion: Completion::Answered,
                };
                self.handle_event(now_us, event);
            }
            Controller::Fifo {
                queue, in_flight, ..
            } => match queue.pop_front() {
                Some(next) => self.start(now_us, next),
                None => *in_flight -= 1,
            },
        }
    }

    fn handle_event(&mut self, now_us: u64, event: AdmissionEvent) {
        let Controller::Machine(machine) = &mut self.controller else {
            return;
        };
        let mut actions = Vec::new();
        machine.handle(TimeMs(now_us / 1000), event, &mut actions);
        for action in actions {
            match action {
                AdmissionAction::Start { id, .. } => self.start(now_us, id.0),
                AdmissionAction::Refuse { id, .. } => self.refuse(id.0),
                // The simulated upstream completes each started request, here after its deadline.
                AdmissionAction::CancelUpstream { .. }
                | AdmissionAction::CrowdingChanged { .. } => {}
            }
        }
    }
}
