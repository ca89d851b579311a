//! Property test: random sequences of planned work reset no open flow and lead none astray, judged by what
//! callers and upstreams see.

mod common;

use std::collections::BTreeMap;

use common::{Fleet, Outcome, Upstream, deregistration, established, flow, opening, report};
use hawthorntide_opaque::{AgentEvent, FlowRecord, Segment, SegmentKind};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, TimeMs};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};

/// One step of a scenario. Agents and balancers are given by their index.
#[derive(Clone, Debug)]
enum Step {
    /// A caller opens a flow through a balancer, from the port of its last one.
    Open(u8, u16),
    /// Both ends of a caller's flow send their last packet, the upstream first if `true`.
    Close(u16, bool),
    /// A packet of each open flow is sent through a balancer.
    Use(u8),
    /// An agent is stopped as planned; its upstream keeps running.
    StopAgent(u8),
    /// All stopped agents start.
    StartAgents,
    /// An upstream begins to drain.
    Drain(u8),
    /// A draining upstream deregisters and stops. Its next incarnation starts at once if `true`.
    Leave(u8, bool),
    RestartBalancer(u8),
    /// Milliseconds pass.
    Wait(u64),
}

const BALANCERS: u8 = 3;
const AGENTS: u8 = 5;
const CALLERS: u16 = 12;

/// A draining upstream may get new flows for this long: the platform's limit.
const DRAIN_MS: DurationMs = DurationMs(3_000);

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..=BALANCERS, 0..CALLERS).prop_map(|(balancer, caller)| Step::Open(balancer, caller)),
        3 => (0..CALLERS, any::<bool>()).prop_map(|(caller, first)| Step::Close(caller, first)),
        4 => (1..=BALANCERS).prop_map(Step::Use),
        2 => (0..AGENTS).prop_map(Step::StopAgent),
        2 => Just(Step::StartAgents),
        2 => (0..AGENTS).prop_map(Step::Drain),
        2 => (0..AGENTS, any::<bool>()).prop_map(|(agent, is_back)| Step::Leave(agent, is_back)),
        1 => (1..=BALANCERS).prop_map(Step::RestartBalancer),
        3 => (50..4_000u64).prop_map(Step::Wait),
    ]
}

#[derive(Clone, Copy, Debug)]
struct OpenFlow {
    agent: u8,
    number: u32,
}

#[derive(Debug)]
struct World {
    fleet: Fleet,
    flows: BTreeMap<u16, OpenFlow>,
    draining_since: BTreeMap<u8, TimeMs>,
    /// Flow records in the platform store.
    records: BTreeMap<u8, FlowRecord>,
    openings: u32,
}

impl World {
    fn new() -> Self {
        let mut fleet = Fleet::new(BALANCERS, AGENTS, 1);
        fleet.has_no_records = false;
        Self {
            fleet,
            flows: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            records: BTreeMap::new(),
            openings: 0,
        }
    }

    fn run_step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Open(balancer, caller) => return self.open(balancer, caller),
            Step::Close(caller, is_upstream_first) => self.close(caller, is_upstream_first),
            Step::Use(balancer) => return self.use_all(balancer),
            Step::StopAgent(index) => self.stop_agent(100 + index),
            Step::StartAgents => self.start_agents(),
            Step::Drain(index) => self.drain(100 + index),
            Step::Leave(index, is_back) => self.leave(100 + index, is_back),
            Step::RestartBalancer(balancer) => self.fleet.start_balancer(balancer),
            Step::Wait(duration_ms) => self.fleet.run_for(duration_ms),
        }
        self.check_resets()
    }

    fn is_running(&self, agent: u8) -> bool {
        !self.fleet.partitioned.contains(&agent)
    }

    fn open(&mut self, balancer: u8, caller: u16) -> Result<(), String> {
        if self.flows.contains_key(&caller) {
            return Ok(());
        }
        self.openings += 1;
        let key = flow(caller, 0);
        for attempt in 0..3 {
            let opening = Segment {
                sequence: self.openings * 1_000_000,
                ..opening(key, attempt)
            };
            let Outcome::Accepted(agent) = self.fleet.send(balancer, opening) else {
                continue;
            };
            let drained = self.draining_since.get(&agent);
            if drained.is_some_and(|since| self.fleet.now.since(*since) > DRAIN_MS) {
                return Err(format!("{key} opened at draining {agent}"));
            }
            let number = self.fleet.agents[&agent].upstream.flows[&key].0;
            let outcome = self.fleet.send_on_flow(balancer, key, number);
            self.flows.insert(caller, OpenFlow { agent, number });
            return self.check(caller, balancer, outcome);
        }
        Ok(())
    }

    fn close(&mut self, caller: u16, is_upstream_first: bool) {
        let Some(OpenFlow { agent, number }) = self.flows.get(&caller).copied() else {
            return;
        };
        if !self.is_running(agent) {
            return;
        }
        self.flows.remove(&caller);
        let key = flow(caller, 0);
        let last = Segment {
            is_last: true,
            payload_bytes: 0,
            ..established(key, number.wrapping_add(1))
        };
        let of_upstream = Segment {
            kind: SegmentKind::Established,
            sequence: number.wrapping_add(1),
            acknowledged: last.sequence,
            ..last
        };
        if !is_upstream_first {
            self.fleet.send(1, last);
        }
        self.fleet
            .agent_event(agent, AgentEvent::Sent(of_upstream), None);
        if is_upstream_first {
            self.fleet.send(1, last);
        }
        let node = self.fleet.agents.get_mut(&agent).unwrap();
        node.upstream.flows.remove(&key);
    }

    fn use_all(&mut self, balancer: u8) -> Result<(), String> {
        for (caller, OpenFlow { number, .. }) in self.flows.clone() {
            let outcome = self.fleet.send_on_flow(balancer, flow(caller, 0), number);
            self.check(caller, balancer, outcome)?;
        }
        self.check_resets()
    }

    /// Checks the outcome of a packet of an open flow.
    fn check(&self, caller: u16, balancer: u8, outcome: Outcome) -> Result<(), String> {
        let Some(OpenFlow { agent, .. }) = self.flows.get(&caller) else {
            return Ok(());
        };
        let is_allowed = match outcome {
            Outcome::Accepted(taken) | Outcome::Held(taken) => taken == *agent,
            Outcome::Reset(_) => false,
            Outcome::Dropped(_) | Outcome::Lost => true,
        };
        if is_allowed {
            Ok(())
        } else {
            Err(format!(
                "caller {caller} of {agent}: {outcome:?} through {balancer}"
            ))
        }
    }

    /// Checks that agents reset only flows that have ended.
    fn check_resets(&mut self) -> Result<(), String> {
        for key in std::mem::take(&mut self.fleet.reset_flows) {
            let open = self.flows.keys().find(|caller| flow(**caller, 0) == key);
            if let Some(caller) = open {
                return Err(format!("agent reset the open flow of caller {caller}"));
            }
        }
        Ok(())
    }

    fn stop_agent(&mut self, agent: u8) {
        if self.is_running(agent) {
            // Without a record, the one of an earlier incarnation stays in the store.
            if let Some(record) = self.fleet.agents[&agent].machine.record() {
                self.records.insert(agent, record);
            }
            self.fleet.agent_event(agent, AgentEvent::Stopping, None);
            self.fleet.partitioned.insert(agent);
        }
    }

    /// Starts the stopped agents whose upstreams have not left.
    fn start_agents(&mut self) {
        for agent in self.fleet.partitioned.clone() {
            if self.has_left(agent) {
                continue;
            }
            self.fleet.partitioned.remove(&agent);
            self.fleet.restart_agent(agent);
            let event = AgentEvent::RecordRead(self.records.get(&agent).cloned());
            self.fleet.agent_event(agent, event, None);
        }
    }

    fn has_left(&self, agent: u8) -> bool {
        self.fleet.agents[&agent].upstream.has_left
    }

    fn upstream(&mut self, agent: u8) -> &mut Upstream {
        &mut self.fleet.agents.get_mut(&agent).unwrap().upstream
    }

    fn drain(&mut self, agent: u8) {
        let is_new = !self.draining_since.contains_key(&agent);
        if is_new && self.is_running(agent) {
            self.draining_since.insert(agent, self.fleet.now);
            self.upstream(agent).is_draining = true;
            self.fleet.send_heartbeat(agent);
        }
    }

    fn leave(&mut self, agent: u8, is_back: bool) {
        if !self.upstream(agent).is_draining || !self.is_running(agent) || self.has_left(agent) {
            return;
        }
        self.flows.retain(|_, flow| flow.agent != agent);
        let id = report(self.upstream(agent).born_ms, 0, false).id;
        self.fleet.agent_event(agent, deregistration(&id), None);
        let now_ms = self.fleet.now.get();
        let upstream = self.upstream(agent);
        upstream.flows.clear();
        upstream.has_left = !is_back;
        if is_back {
            upstream.is_draining = false;
            upstream.born_ms = now_ms;
            self.draining_since.remove(&agent);
            self.fleet.send_heartbeat(agent);
        }
    }

    /// Checks that each open flow reaches its upstream through each balancer once all agents run.
    fn check_recovery(&mut self) -> Result<(), String> {
        self.start_agents();
        self.fleet.run_for(4_000);
        for balancer in 1..=BALANCERS {
            for (caller, OpenFlow { agent, number }) in self.flows.clone() {
                let key: FlowKey = flow(caller, 0);
                let mut outcomes = (0..3).map(|_| self.fleet.send_on_flow(balancer, key, number));
                if !outcomes.any(|it| it == Outcome::Accepted(agent)) {
                    return Err(format!(
                        "caller {caller} of {agent}: not found through {balancer}"
                    ));
                }
            }
        }
        self.check_resets()
    }
}

/// Number of sequences; `PROPTEST_CASES` sets another one.
const CASES: u32 = 64;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn planned_work_resets_no_open_flow(steps in proptest::collection::vec(step(), 1..50)) {
        let mut world = World::new();
        for step in &steps {
            let result = world.run_step(step);
            prop_assert!(result.is_ok(), "{:?}", result);
        }
        let result = world.check_recovery();
        prop_assert!(result.is_ok(), "{:?}", result);
    }
}
