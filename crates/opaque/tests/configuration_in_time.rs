//! Property test: a confirmed change is in force in time at each balancer that the platform store answers,
//! whatever happens to the others.
//!
//! Calls of the store and between balancers are simulated with the time limits of `crates/relay`.

mod common;

use std::collections::BTreeMap;
use std::ops::Range;

use common::{Fleet, configuration, number_of};
use googletest::prelude::*;
use hawthorntide_opaque::{ConfigurationTask, GossipEvent};
use hawthorntide_types::{DurationMs, TimeMs};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_assert, prop_oneof, proptest};
use proptest::test_runner::Config;

/// A confirmed change must be in force within this time.
const APPLY_LIMIT_MS: u64 = 3_000;

/// Time limits of the calls in `crates/relay`.
const WATCH_WAIT_MS: u64 = 1_000;
const ATTEMPT_MS: u64 = 800;
const LIST_LIMIT_MS: u64 = 2_500;
const FETCH_LIMIT_MS: u64 = 500;

/// Pauses of the calls in `crates/relay`.
const PAUSE_AFTER_CHANGE_MS: u64 = 300;
const MAX_WATCH_LAG_MS: u64 = 500;
const FIRST_BACKOFF_MS: u64 = 250;
const MAX_BACKOFF_MS: u64 = 1_600;

const STEP_MS: u64 = 50;

/// Time in which the balancers settle which of them watch.
const ELECTION_MS: u64 = 3_000;

/// Time of the restarts: the balancers have settled which of them watch, and settle it again before the
/// first change.
const RESTART_MS: u64 = 1_000;

/// What a balancer gets from the platform store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreAnswer {
    Answer,
    Refusal,
    Silence,
}

/// Fault of one balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    StoreRefuses,
    StoreSilent,
    /// The process stands still.
    Frozen,
    /// Messages to the other balancers are lost, not those to agents.
    CannotSendToBalancers,
    /// The same in both directions.
    CutFromBalancers,
    /// All messages are lost.
    CutFromAll,
}

/// Fault of the balancer `number`, with the time after the start of the run.
#[derive(Clone, Debug)]
struct PlannedFault {
    number: u8,
    fault: Fault,
    time_ms: Range<u64>,
}

#[derive(Clone, Debug)]
struct Scenario {
    balancers: u8,
    agents: u8,
    faults: Vec<PlannedFault>,
    /// Balancers that restart after their clocks were set back, `RESTART_MS` after the start of the run.
    restarted: Vec<u8>,
    /// Times of the two changes, after the start of the run.
    changes_ms: [u64; 2],
    /// One of this many messages is lost.
    lost_one_of: Option<u64>,
}

/// Call that a balancer makes to keep its configuration up to date.
#[derive(Clone, Copy, Debug)]
enum Call {
    Idle,
    Pause {
        until: TimeMs,
        /// Ends once another balancer has a newer version.
        is_backoff: bool,
    },
    Watch {
        since: TimeMs,
        is_lost: bool,
    },
    /// Listing, or a watch that does not wait.
    Read {
        since: TimeMs,
        limit_ms: u64,
    },
    Fetch {
        since: TimeMs,
        peer: u8,
    },
}

/// Loop of a balancer that performs its configuration task.
#[derive(Clone, Debug)]
struct Follower {
    call: Call,
    has_listed: bool,
    is_interrupted: bool,
    failures: u32,
    behind_since: Option<TimeMs>,
}

impl Follower {
    fn new() -> Self {
        Self {
            call: Call::Idle,
            has_listed: false,
            is_interrupted: false,
            failures: 0,
            behind_since: None,
        }
    }
}

struct Simulation {
    fleet: Fleet,
    followers: BTreeMap<u8, Follower>,
    scenario: Scenario,
    started_at: TimeMs,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut fleet = Fleet::new(scenario.balancers, scenario.agents, 1);
        fleet.lost_one_of = scenario.lost_one_of;
        Self {
            followers: (1..=scenario.balancers)
                .map(|number| (number, Follower::new()))
                .collect(),
            started_at: fleet.now,
            fleet,
            scenario,
        }
    }

    /// Returns the balancers that watch the store.
    fn watchers(&self) -> Vec<u8> {
        let balancers = self.fleet.balancers.iter();
        let watchers = balancers.filter(|(_, balancer)| {
            let status = balancer.gossip().local_peer().balancer();
            status.is_some_and(|it| it.is_watching)
        });
        watchers.map(|(number, _)| *number).collect()
    }

    fn elapsed_ms(&self) -> u64 {
        self.fleet.now.since(self.started_at).get()
    }

    fn has_fault(&self, number: u8, fault: Fault) -> bool {
        let now_ms = self.elapsed_ms();
        let mut faults = self.scenario.faults.iter();
        faults.any(|it| it.number == number && it.fault == fault && it.time_ms.contains(&now_ms))
    }

    fn store_answer(&self, number: u8) -> StoreAnswer {
        if self.has_fault(number, Fault::StoreSilent) {
            StoreAnswer::Silence
        } else if self.has_fault(number, Fault::StoreRefuses) {
            StoreAnswer::Refusal
        } else {
            StoreAnswer::Answer
        }
    }

    /// Returns the version in the store: 1 at the start, one more with each change.
    fn stored_version(&self) -> u64 {
        let now_ms = self.elapsed_ms();
        let changes = self.scenario.changes_ms.iter();
        1 + changes.filter(|at_ms| **at_ms <= now_ms).count() as u64
    }

    fn version(&self, number: u8) -> u64 {
        self.fleet.balancers[&number].routes().version().get()
    }

    fn step(&mut self) {
        self.apply_faults();
        if self.elapsed_ms() == RESTART_MS {
            for number in self.scenario.restarted.clone() {
                self.fleet.restart_balancer_in_the_past(number);
                self.followers.insert(number, Follower::new());
            }
        }
        self.fleet.run_for(STEP_MS);
        for number in 1..=self.scenario.balancers {
            if !self.has_fault(number, Fault::Frozen) {
                self.follow(number);
            }
        }
    }

    fn apply_faults(&mut self) {
        self.fleet.partitioned.clear();
        self.fleet.broken_links.clear();
        for number in 1..=self.scenario.balancers {
            if self.has_fault(number, Fault::Frozen) || self.has_fault(number, Fault::CutFromAll) {
                self.fleet.partitioned.insert(number);
            }
            let is_cut = self.has_fault(number, Fault::CutFromBalancers);
            let is_mute = is_cut || self.has_fault(number, Fault::CannotSendToBalancers);
            for other in 1..=self.scenario.balancers {
                if is_mute {
                    self.fleet.broken_links.insert((number, other));
                }
                if is_cut {
                    self.fleet.broken_links.insert((other, number));
                }
            }
        }
    }

    /// Advances the loop of a balancer as far as it gets without waiting.
    fn follow(&mut self, number: u8) {
        let now = self.fleet.now;
        let follower = &self.followers[&number];
        let balancer = &self.fleet.balancers[&number];
        let task = balancer.configuration_task(now);
        let status = balancer.gossip().local_peer().balancer();
        let is_fetch_due = matches!(task, ConfigurationTask::FetchFrom(_))
            && status.is_some_and(|it| !it.is_watching);
        match follower.call {
            Call::Idle => self.start_call(number),
            Call::Pause { until, is_backoff } => {
                if now >= until || is_backoff && is_fetch_due {
                    self.start_call(number);
                }
            }
            Call::Watch { .. } | Call::Read { .. } if is_fetch_due => self.start_call(number),
            Call::Watch { since, is_lost } => self.advance_watch(number, since, is_lost),
            Call::Read { since, limit_ms } => match self.store_answer(number) {
                StoreAnswer::Answer => self.receive(number),
                StoreAnswer::Refusal => self.fail(number),
                StoreAnswer::Silence if now.since(since).get() >= limit_ms => self.fail(number),
                StoreAnswer::Silence => {}
            },
            Call::Fetch { since, peer } => self.advance_fetch(number, since, peer),
        }
    }

    fn advance_watch(&mut self, number: u8, since: TimeMs, is_lost: bool) {
        let now = self.fleet.now;
        let answer = self.store_answer(number);
        let waited_ms = now.since(since).get();
        let newer = self.fleet.balancers[&number].latest_balancer(now);
        let follower = self.followers.get_mut(&number).unwrap();
        follower.behind_since = newer.map(|_| follower.behind_since.unwrap_or(now));
        let lag = follower.behind_since.map(|since| now.since(since).get());
        if let Some(peer) = newer
            && lag >= Some(MAX_WATCH_LAG_MS)
        {
            follower.has_listed = false;
            follower.behind_since = None;
            follower.call = Call::Fetch {
                since: now,
                peer: number_of(peer),
            };
        } else if is_lost || answer == StoreAnswer::Silence {
            if waited_ms >= WATCH_WAIT_MS + ATTEMPT_MS {
                self.fail(number);
            } else {
                follower.call = Call::Watch {
                    since,
                    is_lost: true,
                };
            }
        } else if answer == StoreAnswer::Refusal {
            self.fail(number);
        } else if waited_ms >= WATCH_WAIT_MS || self.stored_version() > self.version(number) {
            self.receive(number);
        }
    }

    /// Processes an answer of the store.
    fn receive(&mut self, number: u8) {
        let now = self.fleet.now;
        let stored = configuration(self.stored_version(), 1);
        let balancer = self.fleet.balancers.get_mut(&number).unwrap();
        let is_changed = balancer.apply(stored);
        balancer.confirm(now);
        let is_watching = balancer.should_watch(now);
        self.publish(number, is_watching);
        let follower = self.followers.get_mut(&number).unwrap();
        let was_watch = follower.has_listed;
        follower.has_listed = true;
        follower.is_interrupted = false;
        follower.failures = 0;
        if is_changed && was_watch {
            follower.call = Call::Pause {
                until: now + DurationMs(PAUSE_AFTER_CHANGE_MS),
                is_backoff: false,
            };
        } else {
            self.start_call(number);
        }
    }

    /// Processes a failed call of the store.
    fn fail(&mut self, number: u8) {
        let now = self.fleet.now;
        let balancer = self.fleet.balancers.get_mut(&number).unwrap();
        balancer.record_store_failure();
        self.publish(number, false);
        let follower = self.followers.get_mut(&number).unwrap();
        let backoff_ms = (FIRST_BACKOFF_MS << follower.failures.min(8)).min(MAX_BACKOFF_MS);
        follower.failures += 1;
        follower.is_interrupted = true;
        follower.call = Call::Pause {
            until: now + DurationMs(backoff_ms),
            is_backoff: true,
        };
    }

    fn advance_fetch(&mut self, number: u8, since: TimeMs, peer: u8) {
        let now = self.fleet.now;
        let is_reachable = !self.fleet.partitioned.contains(&peer)
            && !self.fleet.partitioned.contains(&number)
            && !self.fleet.broken_links.contains(&(number, peer))
            && !self.fleet.broken_links.contains(&(peer, number));
        let address = common::peer_address(peer);
        let served = self.version(peer);
        let balancer = self.fleet.balancers.get_mut(&number).unwrap();
        if is_reachable {
            balancer.apply_fetched(now, address, configuration(served, 1));
        } else if now.since(since).get() >= FETCH_LIMIT_MS {
            balancer.record_failed_fetch(now, address);
        } else {
            return;
        }
        self.publish(number, false);
        self.start_call(number);
    }

    fn publish(&mut self, number: u8, is_watching: bool) {
        let role = self.fleet.balancers[&number].role(is_watching);
        self.fleet
            .gossip(number, GossipEvent::LocalRoleChanged(role));
    }

    fn start_call(&mut self, number: u8) {
        let now = self.fleet.now;
        let task = self.fleet.balancers[&number].configuration_task(now);
        let follower = self.followers.get_mut(&number).unwrap();
        follower.call = match task {
            ConfigurationTask::FetchFrom(peer) => Call::Fetch {
                since: now,
                peer: number_of(peer),
            },
            ConfigurationTask::Watch if !follower.has_listed => Call::Read {
                since: now,
                limit_ms: LIST_LIMIT_MS,
            },
            ConfigurationTask::Watch if follower.is_interrupted => Call::Read {
                since: now,
                limit_ms: ATTEMPT_MS,
            },
            ConfigurationTask::Watch => Call::Watch {
                since: now,
                is_lost: false,
            },
            ConfigurationTask::Idle => Call::Idle,
        };
        if task == ConfigurationTask::Idle {
            follower.failures = 0;
            self.publish(number, false);
        }
    }

    /// Returns the balancers that the store answers and that never stand still.
    fn served(&self) -> Vec<u8> {
        let is_served = |number: &u8| {
            let mut faults = self.scenario.faults.iter();
            faults.all(|it| {
                let is_unserved = match it.fault {
                    Fault::StoreRefuses | Fault::StoreSilent | Fault::Frozen => true,
                    Fault::CannotSendToBalancers | Fault::CutFromBalancers | Fault::CutFromAll => {
                        false
                    }
                };
                it.number != *number || !is_unserved
            })
        };
        (1..=self.scenario.balancers).filter(is_served).collect()
    }
}

/// Runs until the last change must be in force; returns the balancers that the store answers and that
/// still have an earlier version.
fn late_balancers(scenario: Scenario) -> Vec<u8> {
    let end_ms = scenario.changes_ms[1] + APPLY_LIMIT_MS;
    let mut simulation = Simulation::new(scenario);
    while simulation.elapsed_ms() < end_ms {
        simulation.step();
    }
    let served = simulation.served().into_iter();
    served
        .filter(|number| simulation.version(*number) < simulation.stored_version())
        .collect()
}

fn faults(balancers: u8) -> impl Strategy<Value = Vec<PlannedFault>> {
    let store_fault = prop_oneof![
        3 => Just(Fault::StoreSilent),
        1 => Just(Fault::StoreRefuses),
    ];
    let other_fault = prop_oneof![
        Just(Fault::Frozen),
        Just(Fault::CannotSendToBalancers),
        Just(Fault::CutFromBalancers),
        Just(Fault::CutFromAll),
    ];
    let is_served = vec(proptest::bool::weighted(0.3), usize::from(balancers));
    let outage = (store_fault, is_served, 0_u64..400).prop_map(|(fault, is_served, delay_ms)| {
        let begin_ms = ELECTION_MS + delay_ms;
        let numbers = (1_u8..).zip(is_served);
        let unserved = numbers.filter(|(_, is_served)| !is_served);
        let planned = unserved.map(|(number, _)| PlannedFault {
            number,
            fault,
            time_ms: begin_ms..begin_ms + 5_000,
        });
        planned.collect::<Vec<_>>()
    });
    let other = (1..=balancers, other_fault, 0_u64..5_000, 500_u64..7_000);
    let other = other.prop_map(|(number, fault, delay_ms, duration_ms)| {
        let begin_ms = ELECTION_MS - 2_500 + delay_ms;
        PlannedFault {
            number,
            fault,
            time_ms: begin_ms..begin_ms + duration_ms,
        }
    });
    (outage, vec(other, 0..4)).prop_map(|(mut planned, others)| {
        planned.extend(others);
        planned
    })
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let sizes = (2..=12_u8, 4..=16_u8);
    let parts = sizes.prop_flat_map(|(balancers, agents)| {
        let changes = (0_u64..600, 20_u64..900);
        let loss = proptest::option::of(20_u64..60);
        let faults = faults(balancers);
        let restarted = vec(1..=balancers, 0..4);
        (
            Just(balancers),
            Just(agents),
            faults,
            restarted,
            changes,
            loss,
        )
    });
    parts.prop_map(
        |(balancers, agents, faults, restarted, changes, lost_one_of)| {
            let (first_ms, pause_ms) = changes;
            let first_ms = ELECTION_MS - 600 + first_ms;
            Scenario {
                balancers,
                agents,
                faults,
                restarted,
                changes_ms: [first_ms, first_ms + pause_ms],
                lost_one_of,
            }
        },
    )
}

// Guards against a balancer that the store answers and that keeps an old configuration because it relies on
// others that are cut off from the store, stand still or are cut off from it.
#[gtest]
fn a_change_is_in_force_in_time_while_other_balancers_have_faults() {
    proptest!(Config::with_cases(100), |(scenario in scenarios())| {
        let late = late_balancers(scenario);
        prop_assert!(late.is_empty(), "late: {late:?}");
    });
}

// The same with the three watching balancers silenced just before the change: the day on which the fault was
// first seen.
#[gtest]
fn a_change_is_in_force_in_time_after_the_store_fell_silent_for_all_watching_balancers() {
    let mut simulation = Simulation::new(Scenario {
        balancers: 4,
        agents: 10,
        faults: Vec::new(),
        restarted: Vec::new(),
        changes_ms: [u64::MAX; 2],
        lost_one_of: None,
    });
    while simulation.elapsed_ms() < ELECTION_MS {
        simulation.step();
    }
    let watchers = simulation.watchers();
    expect_that!(watchers.len(), eq(3));
    for delay_ms in (0..1_000).step_by(100) {
        let faults = watchers.iter().map(|number| PlannedFault {
            number: *number,
            fault: Fault::StoreSilent,
            time_ms: ELECTION_MS + delay_ms..ELECTION_MS + 6_000,
        });
        let late = late_balancers(Scenario {
            balancers: 4,
            agents: 10,
            faults: faults.collect(),
            restarted: Vec::new(),
            changes_ms: [ELECTION_MS - 400, ELECTION_MS + delay_ms + 50],
            lost_one_of: None,
        });
        expect_that!(
            late,
            is_empty(),
            "silent {delay_ms} ms after the first change"
        );
    }
}

// Others keep the record of a watching balancer that restarts after its clock was set back. They would rely on
// it for changes, and never hear of one.
#[gtest]
fn a_change_is_in_force_in_time_after_the_watching_balancers_restarted_in_the_past() {
    for balancers in [4, 6, 18] {
        let scenario = Scenario {
            balancers,
            agents: 10,
            faults: Vec::new(),
            restarted: Vec::new(),
            changes_ms: [ELECTION_MS, ELECTION_MS + 500],
            lost_one_of: None,
        };
        let mut simulation = Simulation::new(scenario.clone());
        while simulation.elapsed_ms() < RESTART_MS {
            simulation.step();
        }
        let late = late_balancers(Scenario {
            restarted: simulation.watchers(),
            ..scenario
        });
        expect_that!(late, is_empty(), "{balancers} balancers");
    }
}
