//! Property test: flows stay with their upstream through any order of joins, restarts and partitions.

mod common;

use std::collections::BTreeMap;

use common::{Fleet, Outcome, flow};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, TimeMs};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};

/// One step of a scenario.
#[derive(Clone, Debug)]
enum Step {
    /// A caller opens a flow through a balancer.
    Open(u8, u16),
    /// A packet of each open flow is sent through a balancer.
    Use(u8),
    /// An agent restarts; its upstream keeps running.
    RestartAgent(u8),
    RestartBalancer(u8),
    /// Every process restarts at the same moment.
    RestartAll,
    /// A new VM with an agent and an upstream joins.
    Join,
    /// An agent is partitioned from all other processes.
    Partition(u8),
    /// All partitions end.
    Heal,
    /// Milliseconds pass.
    Wait(u64),
}

const BALANCERS: u8 = 3;
const AGENTS: u8 = 5;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..=BALANCERS, 0..400u16).prop_map(|(balancer, caller)| Step::Open(balancer, caller)),
        3 => (1..=BALANCERS).prop_map(Step::Use),
        2 => (0..AGENTS).prop_map(Step::RestartAgent),
        1 => (1..=BALANCERS).prop_map(Step::RestartBalancer),
        1 => Just(Step::RestartAll),
        1 => Just(Step::Join),
        1 => any::<u8>().prop_map(Step::Partition),
        2 => Just(Step::Heal),
        3 => (50..2_500u64).prop_map(Step::Wait),
    ]
}

#[derive(Debug)]
struct World {
    fleet: Fleet,
    flows: BTreeMap<FlowKey, (u8, u32)>,
    /// When partitions of agents ended.
    healed: BTreeMap<u8, TimeMs>,
    joined: u8,
}

/// Flows of an agent may still be reset for this long after its partition ended: the platform's
/// limit for recovery after a fault.
const STABLE_MS: DurationMs = DurationMs(4_000);

impl World {
    fn run_step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Open(balancer, caller) => self.open(balancer, caller),
            Step::Use(balancer) => return self.send_on_all_flows(balancer),
            Step::RestartAgent(agent) => self.fleet.restart_agent(100 + agent),
            Step::RestartBalancer(balancer) => self.fleet.start_balancer(balancer),
            Step::RestartAll => {
                for number in self.fleet.agents.keys().copied().collect::<Vec<_>>() {
                    self.fleet.restart_agent(number);
                }
                for number in 1..=BALANCERS {
                    self.fleet.start_balancer(number);
                }
            }
            Step::Join if self.joined < 20 => {
                self.joined += 1;
                self.fleet.add_agent(150 + self.joined, 0);
            }
            Step::Join => {}
            Step::Partition(number) => {
                self.fleet.partitioned.insert(100 + number % AGENTS);
            }
            Step::Heal => {
                let now = self.fleet.now;
                let partitioned = std::mem::take(&mut self.fleet.partitioned).into_iter();
                self.healed.extend(partitioned.map(|number| (number, now)));
            }
            Step::Wait(duration_ms) => self.fleet.run_for(duration_ms),
        }
        Ok(())
    }

    fn open(&mut self, balancer: u8, caller: u16) {
        let key = flow(caller, 0);
        if self.flows.contains_key(&key) {
            return;
        }
        if let Some(opened) = self.fleet.open(balancer, key) {
            self.flows.insert(key, opened);
        }
    }

    /// Checks that each packet reaches the upstream of its flow or is lost. A flow may be reset only if
    /// its agent is partitioned, or was within `STABLE_MS`.
    fn send_on_all_flows(&mut self, balancer: u8) -> Result<(), String> {
        for (key, (agent, number)) in self.flows.clone() {
            let outcome = self.fleet.send_on_flow(balancer, key, number);
            let healed = self.healed.get(&agent);
            let was_partitioned =
                healed.is_some_and(|healed| self.fleet.now.since(*healed) <= STABLE_MS);
            let is_partitioned = was_partitioned || self.fleet.partitioned.contains(&agent);
            let is_allowed = match outcome {
                Outcome::Accepted(taken) | Outcome::Held(taken) => taken == agent,
                Outcome::Reset(_) => is_partitioned,
                Outcome::Dropped(_) | Outcome::Lost => true,
            };
            if !is_allowed {
                return Err(format!(
                    "{key} of {agent}: {outcome:?} through balancer {balancer}"
                ));
            }
            if is_partitioned && matches!(outcome, Outcome::Reset(_)) {
                self.flows.remove(&key);
            }
        }
        Ok(())
    }

    /// Checks that, some time after all partitions ended, each flow reaches its upstream through each
    /// balancer.
    fn check_recovery(&mut self) -> Result<(), String> {
        self.fleet.partitioned.clear();
        self.fleet.run_for(4_000);
        for balancer in 1..=BALANCERS {
            for (key, (agent, number)) in self.flows.clone() {
                let outcome = self.fleet.send_on_flow(balancer, key, number);
                if outcome != Outcome::Accepted(agent) {
                    return Err(format!("{key} of {agent}: {outcome:?} after recovery"));
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn flows_stay_with_their_upstream(steps in proptest::collection::vec(step(), 1..40)) {
        let mut world = World {
            fleet: Fleet::new(BALANCERS, AGENTS, 1),
            flows: BTreeMap::new(),
            healed: BTreeMap::new(),
            joined: 0,
        };
        for step in &steps {
            let result = world.run_step(step);
            prop_assert!(result.is_ok(), "{:?}", result);
        }
        let result = world.check_recovery();
        prop_assert!(result.is_ok(), "{:?}", result);
    }
}
