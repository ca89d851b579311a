//! Tests of flows whose upstream terminated.

mod common;

use common::{
    Behaviour, Fleet, HEARTBEAT_MS, Outcome, established, flow, peer_address, report, service,
};
use googletest::prelude::*;
use hawthorntide_opaque::{
    AgentAction, AgentEvent, DomainTag, OpeningTerms, RequestClass, Search, Segment, SegmentKind,
    UpstreamReport,
};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, Phase, ResultCode};

/// Opens flows, kills the upstream with the most flows and sends it a packet, so that its agent probes
/// it.
fn fleet_with_dead_upstream() -> (Fleet, u8) {
    let mut fleet = Fleet::new(1, 4, 1);
    for caller in 0..60 {
        fleet.open(1, flow(caller, 0)).unwrap();
    }
    let (&agent, node) = fleet
        .agents
        .iter_mut()
        .max_by_key(|(_, node)| node.upstream.flows.len())
        .unwrap();
    node.upstream.behaviour = Behaviour::Dead;
    let (&key, &(number, _)) = node.upstream.flows.iter().next().unwrap();
    expect_that!(fleet.send_on_flow(1, key, number), eq(Outcome::Lost));
    fleet.run_for(250);
    (fleet, agent)
}

// Without resets, the flows of a dead upstream hang until their callers time out.
#[gtest]
fn flows_of_a_dead_upstream_are_reset() {
    let (mut fleet, agent) = fleet_with_dead_upstream();
    expect_that!(fleet.probed, contains(eq(&agent)));
    let flows: Vec<_> = fleet.agents[&agent]
        .upstream
        .flows
        .keys()
        .copied()
        .collect();
    fleet.agent_event(agent, AgentEvent::Probed { is_refused: true }, None);
    let mut reset_flows = fleet.reset_flows.clone();
    reset_flows.sort();
    expect_that!(reset_flows, eq(&flows));
    let outcome = fleet.send_on_flow(1, flows[0], 0);
    expect_that!(outcome, eq(Outcome::Reset(ResultCode::NoEndpoint)));
    for caller in 1_000..1_050 {
        let (taken, _) = fleet.open(1, flow(caller, 0)).unwrap();
        expect_that!(taken, not(eq(agent)));
    }
}

// A slow upstream misses its deadline too, but still accepts connections: its flows must not be reset.
#[gtest]
fn an_upstream_that_accepts_connections_keeps_its_flows() {
    let (mut fleet, agent) = fleet_with_dead_upstream();
    let held = fleet.agents[&agent].machine.held_flows();
    fleet.agent_event(agent, AgentEvent::Probed { is_refused: false }, None);
    expect_that!(fleet.agents[&agent].machine.held_flows(), eq(held));
    expect_that!(fleet.reset_flows.is_empty(), eq(true));
}

// A restarted upstream has lost the flows of its previous incarnation.
#[gtest]
fn a_new_incarnation_of_the_upstream_resets_the_flows_of_the_previous_one() {
    let mut fleet = Fleet::new(1, 1, 1);
    let key = flow(1, 0);
    fleet.open(1, key).unwrap();
    fleet.agents.get_mut(&100).unwrap().upstream.flows.clear();
    fleet.agent_event(100, AgentEvent::Report(report(77, 1, false)), None);
    expect_that!(fleet.reset_flows, elements_are![eq(&key)]);
}

// An upstream restarts after its clock was set back, or another writer sent a heartbeat with numbers that it
// never reaches: its own heartbeats must not count as late ones for ever.
#[gtest]
fn an_upstream_with_an_earlier_start_time_serves_once_the_later_one_is_silent() {
    for (born_ms, sequence) in [(9, 1), (u64::MAX, u64::MAX), (5, u64::MAX)] {
        let mut fleet = Fleet::new(0, 1, 1);
        let mut send = |report: UpstreamReport| {
            fleet.agent_event(100, AgentEvent::Report(report.clone()), None);
            fleet.now = fleet.now + DurationMs(HEARTBEAT_MS);
            let machine = &fleet.agents[&100].machine;
            (machine.phase(), machine.is_latest_report(&report))
        };
        send(report(5, 1, false));
        send(report(born_ms, sequence, true));
        let mut last = None;
        for sequence in 2..9 {
            last = Some(send(report(5, sequence, false)));
        }
        expect_that!(
            last,
            some(eq((Phase::Serving, true))),
            "{born_ms}, {sequence}"
        );
    }
}

// Heartbeats that were held up by a partition arrive at once after the upstream has restarted, while its new
// incarnation is slow: they must not end it.
#[gtest]
fn late_heartbeats_that_arrive_at_once_replace_no_incarnation() {
    let mut fleet = Fleet::new(0, 1, 1);
    fleet.agent_event(100, AgentEvent::Report(report(5, 1, true)), None);
    fleet.now = fleet.now + DurationMs(5 * HEARTBEAT_MS);
    for sequence in 1..9 {
        fleet.agent_event(100, AgentEvent::Report(report(4, sequence, false)), None);
        fleet.now = fleet.now + DurationMs(10);
    }
    expect_that!(fleet.agents[&100].machine.phase(), eq(Phase::Draining));
}

// An agent rejects the heartbeats of an upstream that sends no start time, and hears no others after its
// restart: open flows must go on, and new ones find the other upstreams.
#[gtest]
fn an_upstream_without_accepted_heartbeats_keeps_its_flows_and_gets_no_new_ones() {
    let mut fleet = Fleet::new(1, 2, 1);
    let flows: Vec<_> = (0..40).map(|caller| flow(caller, 0)).collect();
    let opened: Vec<_> = flows
        .iter()
        .map(|key| fleet.open(1, *key).unwrap())
        .collect();
    fleet.restart_agent(100);
    fleet.agents.get_mut(&100).unwrap().upstream.has_left = true;
    fleet.run_for(10_000);
    for (key, (agent, number)) in flows.iter().zip(opened) {
        let outcome = fleet.send_on_flow(1, *key, number);
        expect_that!(outcome, eq(Outcome::Accepted(agent)));
    }
    for caller in 100..140 {
        let agent = fleet.open(1, flow(caller, 0)).map(|(agent, _)| agent);
        expect_that!(agent, some(eq(101)));
    }
    expect_that!(fleet.reset_flows, is_empty());
}

/// Delivers a packet of an open flow of another upstream to agent 101, whose upstream's port answers with a
/// reset. Returns the actions that follow.
fn answer_with_reset(fleet: &mut Fleet, key: FlowKey, is_parallel: bool) -> Vec<AgentAction> {
    let machine = &mut fleet.agents.get_mut(&101).unwrap().machine;
    let search = Search {
        balancer: peer_address(1),
        preferred_domain: DomainTag::default(),
        service: service(0),
        is_fallback_service: false,
        visited: Vec::new(),
        is_parallel,
        terms: OpeningTerms::default(),
        class: RequestClass::default(),
    };
    let event = AgentEvent::Forwarded {
        search,
        segment: established(key, 7),
        packet: b"request",
    };
    machine.handle(fleet.now, event, &mut Vec::new());
    let reset = Segment {
        kind: SegmentKind::Reset,
        ..established(key, 0)
    };
    let mut actions = Vec::new();
    machine.handle(fleet.now, AgentEvent::Sent(reset), &mut actions);
    actions
}

// Nobody listens yet at the port of a new upstream, which answers with a reset: it reached callers whose flows
// were open at another upstream and looked for in a query.
#[gtest]
fn a_reset_of_a_port_without_an_upstream_does_not_reach_the_callers_of_others() {
    for is_parallel in [true, false] {
        let mut fleet = Fleet::new(1, 1, 1);
        fleet.add_agent(101, 0);
        let actions = answer_with_reset(&mut fleet, flow(1, 0), is_parallel);
        expect_that!(actions, not(contains(eq(&AgentAction::Reply))));
        let not_owned = AgentAction::AnswerNotOwned {
            to: peer_address(1),
            flow: flow(1, 0),
        };
        expect_that!(actions.contains(&not_owned), eq(is_parallel));
    }
}

// The same after the crash of an upstream, whose own callers must hear of resets of flows that had ended.
#[gtest]
fn a_reset_that_answers_a_query_does_not_reach_the_caller() {
    let mut fleet = Fleet::new(1, 2, 1);
    fleet.send_heartbeat(101);
    let actions = answer_with_reset(&mut fleet, flow(1, 0), true);
    expect_that!(actions, not(contains(eq(&AgentAction::Reply))));
    let actions = answer_with_reset(&mut fleet, flow(2, 0), false);
    expect_that!(actions, contains(eq(&AgentAction::Reply)));
}
