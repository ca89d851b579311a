//! Seeded simulation of one upstream under mixed load, with admission or a plain queue in front.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hawthorntide_admission::{
    AdmissionAction, AdmissionEvent, AdmissionMachine, Completion, RequestId,
};
use hawthorntide_types::{DurationMs, Profile, SlotCount, TimeMs, WorkKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between ticks of a machine.
const TICK_US: u64 = 10_000;
/// Work that arrives before this time fills the queues and is not counted.
const WARM_UP_US: u64 = 5_000_000;

/// One kind of work as callers send it.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub kind: WorkKind,
    pub per_second: f64,
    pub service_ms: f64,
    pub deadline_ms: u64,
}

/// Treatment of the work in front of the upstream.
#[derive(Clone, Debug)]
pub enum Policy {
    Admission(Box<Profile>),
    FirstInFirstOut { queue: usize },
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
    /// Returns the requests answered in time per second.
    pub fn goodput(&self, seconds: u64) -> f64 {
        self.in_time as f64 / seconds as f64
    }

    /// Returns the wait of started requests that `quantile` of them stay under.
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
enum Happening {
    Finish(u64),
    Arrive(usize),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    load: usize,
    arrived_us: u64,
    service_us: u64,
    is_counted: bool,
}

enum Front {
    Machine(Box<AdmissionMachine>),
    Plain {
        queue: VecDeque<u64>,
        longest: usize,
        in_flight: u32,
    },
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    front: Front,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    order: u64,
    work: Vec<Work>,
    results: [KindResult; WorkKind::ALL.len()],
    most_in_flight: u32,
    in_flight: u32,
}

/// Runs `scenario` under `policy`; the results are indexed by kind.
pub fn run(scenario: &Scenario, policy: &Policy) -> [KindResult; WorkKind::ALL.len()] {
    let front = match policy {
        Policy::Admission(profile) => {
            let slots = SlotCount(scenario.slots);
            Front::Machine(Box::new(AdmissionMachine::new((**profile).clone(), slots)))
        }
        Policy::FirstInFirstOut { queue } => Front::Plain {
            queue: VecDeque::new(),
            longest: *queue,
            in_flight: 0,
        },
    };
    let mut simulation = Simulation {
        scenario,
        front,
        random: ChaCha8Rng::seed_from_u64(scenario.seed),
        events: BinaryHeap::new(),
        order: 0,
        work: Vec::new(),
        results: Default::default(),
        most_in_flight: 0,
        in_flight: 0,
    };
    simulation.run();
    assert!(
        simulation.most_in_flight <= scenario.slots,
        "the upstream had {} requests in {} slots",
        simulation.most_in_flight,
        scenario.slots
    );
    simulation.results
}

impl Simulation<'_> {
    fn run(&mut self) {
        for load in 0..self.scenario.loads.len() {
            self.schedule_arrival(0, load);
        }
        self.schedule(TICK_US, Happening::Tick);
        let end_us = WARM_UP_US + self.scenario.seconds * 1_000_000;
        while let Some(Reverse((now_us, _, happening))) = self.events.pop() {
            if now_us > end_us {
                return;
            }
            match happening {
                Happening::Finish(id) => self.finish(now_us, id),
                Happening::Arrive(load) => self.arrive(now_us, load),
                Happening::Tick => {
                    self.tell(now_us, AdmissionEvent::Tick);
                    self.schedule(now_us + TICK_US, Happening::Tick);
                }
            }
        }
    }

    fn schedule(&mut self, at_us: u64, happening: Happening) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, happening)));
    }

    /// Arrivals are a Poisson process.
    fn schedule_arrival(&mut self, now_us: u64, load: usize) {
        let rate = self.scenario.loads[load].per_second;
        let unit: f64 = self.random.random_range(f64::EPSILON..1.0);
        let gap_us = (-unit.ln() / rate * 1_000_000.0) as u64;
        self.schedule(now_us + gap_us.max(1), Happening::Arrive(load));
    }

    fn arrive(&mut self, now_us: u64, load: usize) {
        self.schedule_arrival(now_us, load);
        let source = self.scenario.loads[load];
        let factor: f64 = self.random.random_range(0.8..1.2);
        let id = self.work.len() as u64;
        let is_counted = now_us >= WARM_UP_US;
        self.work.push(Work {
            load,
            arrived_us: now_us,
            service_us: (source.service_ms * factor * 1000.0) as u64,
            is_counted,
        });
        if is_counted {
            self.results[source.kind as usize].offered += 1;
        }
        let slots = self.scenario.slots;
        match &mut self.front {
            Front::Machine(_) => {
                let event = AdmissionEvent::Arrived {
                    id: RequestId(id),
                    kind: source.kind,
                    deadline_ms: Some(DurationMs(source.deadline_ms)),
                };
                self.tell(now_us, event);
            }
            Front::Plain { in_flight, .. } if *in_flight < slots => {
                *in_flight += 1;
                self.start(now_us, id);
            }
            Front::Plain { queue, longest, .. } if queue.len() < *longest => queue.push_back(id),
            Front::Plain { .. } => self.refuse(id),
        }
    }

    fn start(&mut self, now_us: u64, id: u64) {
        let work = self.work[id as usize];
        self.in_flight += 1;
        self.most_in_flight = self.most_in_flight.max(self.in_flight);
        self.schedule(now_us + work.service_us, Happening::Finish(id));
        if work.is_counted {
            let kind = self.scenario.loads[work.load].kind;
            let result = &mut self.results[kind as usize];
            result.started += 1;
            result.waits_us.push(now_us - work.arrived_us);
        }
    }

    fn refuse(&mut self, id: u64) {
        let work = self.work[id as usize];
        if work.is_counted {
            self.results[self.scenario.loads[work.load].kind as usize].refused += 1;
        }
    }

    fn finish(&mut self, now_us: u64, id: u64) {
        let work = self.work[id as usize];
        let load = self.scenario.loads[work.load];
        self.in_flight -= 1;
        let result = &mut self.results[load.kind as usize];
        if work.is_counted && now_us - work.arrived_us <= load.deadline_ms * 1000 {
            result.in_time += 1;
        } else if work.is_counted {
            result.late += 1;
        }
        match &mut self.front {
            Front::Machine(_) => {
                let event = AdmissionEvent::Finished {
                    id: RequestId(id),
                    completion: Completion::Answered,
                };
                self.tell(now_us, event);
            }
            Front::Plain {
                queue, in_flight, ..
            } => match queue.pop_front() {
                Some(next) => self.start(now_us, next),
                None => *in_flight -= 1,
            },
        }
    }

    fn tell(&mut self, now_us: u64, event: AdmissionEvent) {
        let Front::Machine(machine) = &mut self.front else {
            return;
        };
        let mut actions = Vec::new();
        machine.handle(TimeMs(now_us / 1000), event, &mut actions);
        for action in actions {
            match action {
                AdmissionAction::Start { id, .. } => self.start(now_us, id.0),
                AdmissionAction::Refuse { id, .. } => self.refuse(id.0),
                // The simulated upstream completes what it started; the answer counts as late.
                AdmissionAction::CancelUpstream { .. }
                | AdmissionAction::CrowdingChanged { .. } => {}
            }
        }
    }
}
