//! Consistency of views and versions under packet loss, reordering, duplication, network
//! partitions, pauses and restarts.

mod support;

use std::collections::HashMap;

use hawthorntide_membership::{AnnounceEvent, Endpoint, Stamp};
use hawthorntide_types::{EndpointId, Version};
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_assert, prop_oneof, proptest};
use proptest::test_runner::TestCaseError;
use support::{Faults, Network};

const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];
/// Gossip rounds after the last fault within which all views must converge.
const CONVERGENCE_ROUNDS: u64 = 300;
const ROUND_MS: u64 = 200;

#[derive(Clone, Debug)]
enum Fault {
    Loss(u32),
    Partition { mask: u8, duration_ms: u64 },
    Pause { process: usize, duration_ms: u64 },
    Restart { process: usize, down_ms: u64 },
    Kill { agent: usize },
    Drain { agent: usize },
    Object { name: usize, size: usize },
}

#[derive(Clone, Debug)]
struct Scenario {
    balancers: usize,
    agents: usize,
    seed: u64,
    faults: Vec<(u64, Fault)>,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (10_u32..300).prop_map(Fault::Loss),
        (1_u8..=254, 1_000_u64..40_000)
            .prop_map(|(mask, duration_ms)| Fault::Partition { mask, duration_ms }),
        (0_usize..9, 500_u64..12_000).prop_map(|(process, duration_ms)| Fault::Pause {
            process,
            duration_ms
        }),
        (0_usize..9, 0_u64..9_000)
            .prop_map(|(process, down_ms)| Fault::Restart { process, down_ms }),
        (0_usize..4).prop_map(|agent| Fault::Kill { agent }),
        (0_usize..4).prop_map(|agent| Fault::Drain { agent }),
        (
            0_usize..4,
            prop_oneof![Just(20_usize), Just(900), Just(9_000)]
        )
            .prop_map(|(name, size)| Fault::Object { name, size }),
    ]
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let faults = vec((0_u64..6_000, fault()), 0..8);
    (2_usize..6, 1_usize..5, 0_u64..1 << 32, faults).prop_map(
        |(balancers, agents, seed, faults)| Scenario {
            balancers,
            agents,
            seed,
            faults,
        },
    )
}

/// Newest versions that each incarnation of a balancer has held.
#[derive(Default)]
struct History {
    members: HashMap<(usize, u64, u64), Stamp>,
    objects: HashMap<(usize, u64, String), Version>,
    start_counts: HashMap<usize, u64>,
}

impl History {
    fn check(&mut self, network: &Network) -> Result<(), TestCaseError> {
        for index in network.balancers() {
            let start_count = self.start_counts.get(&index).copied().unwrap_or_default();
            let view = network.gossip(index);
            let members = view
                .endpoints()
                .map(|held| (held.id.get(), held.stamp))
                .chain(view.balancers().map(|held| (held.id.get(), held.stamp)));
            for (id, stamp) in members {
                let known = self
                    .members
                    .entry((index, start_count, id))
                    .or_insert(stamp);
                prop_assert!(
                    *known <= stamp,
                    "{id} regressed from {known:?} to {stamp:?}"
                );
                *known = stamp;
            }
            for object in view.replica().objects() {
                let key = (index, start_count, object.name.clone());
                let known = self.objects.entry(key).or_insert(object.version);
                prop_assert!(*known <= object.version, "{} regressed", object.name);
                *known = object.version;
            }
        }
        Ok(())
    }
}

struct Run {
    network: Network,
    history: History,
    balancers: usize,
    agents: usize,
    /// Times at which stopped processes are started again.
    restarts: Vec<(u64, usize)>,
    partition_until: u64,
    killed: Vec<usize>,
    drained: Vec<usize>,
    version: u64,
}

impl Run {
    fn new(scenario: &Scenario) -> Self {
        let mut network = Network::new(scenario.seed);
        let seeds: Vec<usize> = (0..scenario.balancers).collect();
        for index in 0..scenario.balancers {
            network.add_balancer(DOMAINS[index % 3], "r1", &seeds);
        }
        for index in 0..scenario.agents {
            network.add_agent("stockd", DOMAINS[index % 3], &seeds);
        }
        network.faults = Faults {
            loss_per_mille: 10,
            duplicate_per_mille: 30,
            min_delay_ms: 1,
            max_delay_ms: 80,
        };
        Self {
            network,
            history: History::default(),
            balancers: scenario.balancers,
            agents: scenario.agents,
            restarts: Vec::new(),
            partition_until: 0,
            killed: Vec::new(),
            drained: Vec::new(),
            version: 0,
        }
    }

    fn advance(&mut self, duration_ms: u64) -> Result<(), TestCaseError> {
        let end = self.network.now + duration_ms;
        while self.network.now < end {
            self.network.run_for(ROUND_MS.min(end - self.network.now));
            let now = self.network.now;
            if self.partition_until != 0 && now >= self.partition_until {
                self.end_partition();
            }
            let (due, later): (Vec<_>, Vec<_>) =
                self.restarts.drain(..).partition(|(at, _)| *at <= now);
            self.restarts = later;
            for (_, process) in due {
                self.start(process);
            }
            self.history.check(&self.network)?;
        }
        Ok(())
    }

    fn start(&mut self, process: usize) {
        *self.history.start_counts.entry(process).or_default() += 1;
        let seeds: Vec<usize> = (0..self.balancers).collect();
        self.network.start(process, &seeds);
    }

    fn end_partition(&mut self) {
        self.partition_until = 0;
        for process in &mut self.network.processes {
            process.group = 0;
        }
    }

    fn is_down(&self, process: usize) -> bool {
        !self.network.is_up(process)
    }

    fn inject(&mut self, fault: &Fault) {
        let processes = self.balancers + self.agents;
        match *fault {
            Fault::Loss(loss) => self.network.faults.loss_per_mille = loss,
            Fault::Partition { mask, duration_ms } => {
                self.partition_until = self.network.now + duration_ms;
                for (index, process) in self.network.processes.iter_mut().enumerate() {
                    process.group = mask >> (index % 8) & 1;
                }
            }
            Fault::Pause {
                process,
                duration_ms,
            } => {
                self.network.pause(process % processes, duration_ms);
            }
            Fault::Restart { process, down_ms } => {
                let process = process % processes;
                if !self.is_down(process) {
                    self.network.kill(process);
                    self.drained.retain(|drained| *drained != process);
                    self.restarts.push((self.network.now + down_ms, process));
                }
            }
            Fault::Kill { agent } => {
                let agent = self.balancers + agent % self.agents;
                if !self.is_down(agent) {
                    self.network.kill(agent);
                    self.killed.push(agent);
                }
            }
            Fault::Drain { agent } => {
                let agent = self.balancers + agent % self.agents;
                if !self.is_down(agent) {
                    self.drained.push(agent);
                    let recent_balancers = Vec::new();
                    let event = AnnounceEvent::Drain { recent_balancers };
                    self.network.announce_event(agent, event);
                }
            }
            Fault::Object { name, size } => {
                self.version += 1;
                let target = self.version as usize % self.balancers;
                self.network
                    .put_object(target, &format!("p{name}"), self.version, size);
            }
        }
    }

    fn check_converged(&self) -> Result<(), TestCaseError> {
        let network = &self.network;
        prop_assert!(network.is_converged(), "views differ: {}", self.describe());
        for agent in self.balancers..self.balancers + self.agents {
            let id = endpoint_of(network, agent);
            let is_serving = network.is_up(agent) && !self.drained.contains(&agent);
            for index in network.balancers() {
                let held = network.gossip(index).endpoint(id);
                let takes = held.is_some_and(Endpoint::takes_new_flows);
                prop_assert!(
                    takes == is_serving,
                    "balancer {index} about agent {agent}: {}",
                    self.describe()
                );
            }
            if is_serving {
                prop_assert!(network.announce(agent).allows_new_work());
            }
        }
        for index in network.balancers() {
            let live = network
                .gossip(index)
                .balancers()
                .filter(|held| held.is_live());
            prop_assert!(live.count() == self.balancers, "{}", self.describe());
        }
        Ok(())
    }

    fn describe(&self) -> String {
        let mut lines = Vec::new();
        for index in self.network.balancers() {
            let view = self.network.gossip(index);
            let balancers = view.balancers();
            lines.extend(
                balancers
                    .map(|held| format!("{index}: B {} {:?}", held.control_address, held.stamp)),
            );
            let endpoints = view.endpoints();
            lines.extend(endpoints.map(|held| {
                format!(
                    "{index}: E {} {:?} {}",
                    held.control_address, held.stamp, held.phase
                )
            }));
        }
        lines.join("\n")
    }
}

fn endpoint_of(network: &Network, agent: usize) -> EndpointId {
    let mut data = network.processes[agent].address;
    data.set_port(data.port() + 1);
    EndpointId::of_address(data)
}

fn run(scenario: &Scenario) -> Result<(), TestCaseError> {
    let mut run = Run::new(scenario);
    run.advance(5_000)?;
    for (wait_ms, fault) in &scenario.faults {
        run.advance(*wait_ms)?;
        run.inject(fault);
    }
    let last_restart = run.restarts.iter().map(|(at, _)| *at).max();
    let end = last_restart.unwrap_or(run.network.now).max(run.network.now);
    run.advance(end - run.network.now)?;
    run.end_partition();
    run.network.faults = Faults::NONE;
    for process in 0..scenario.balancers + scenario.agents {
        if run.network.is_paused(process) {
            run.advance(12_000)?;
        }
    }
    run.advance(CONVERGENCE_ROUNDS * ROUND_MS)?;
    run.check_converged()
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 400, ..ProptestConfig::default() })]

    // Guards against versions that regress, views that do not converge, live upstreams that stay
    // removed, and departed ones that still get new flows.
    #[test]
    fn views_converge_after_faults(scenario in scenario()) {
        run(&scenario)?;
    }
}
