//! Guards flows and callers of an upstream whose process ended.

mod common;

use common::{Behaviour, Fleet, Outcome, flow, report};
use googletest::prelude::*;
use hawthorntide_opaque::AgentEvent;
use hawthorntide_types::ResultCode;

/// Opens flows, ends one upstream and uses a flow of it until its agent suspects it.
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
    expect_that!(fleet.use_flow(1, key, number), eq(Outcome::Lost));
    fleet.run_for(250);
    (fleet, agent)
}

// Guards against flows that hang until their callers' time is up.
#[gtest]
fn callers_are_told_of_the_end_of_their_upstream() {
    let (mut fleet, agent) = fleet_with_dead_upstream();
    expect_that!(fleet.probed, contains(eq(&agent)));
    let flows: Vec<_> = fleet.agents[&agent]
        .upstream
        .flows
        .keys()
        .copied()
        .collect();
    fleet.agent_event(agent, AgentEvent::Probed { is_refused: true }, None);
    let mut told = fleet.reset_flows.clone();
    told.sort();
    expect_that!(told, eq(&flows));
    let outcome = fleet.use_flow(1, flows[0], 0);
    expect_that!(outcome, eq(Outcome::Reset(ResultCode::NoEndpoint)));
    for caller in 1_000..1_050 {
        let (taken, _) = fleet.open(1, flow(caller, 0)).unwrap();
        expect_that!(taken, not(eq(agent)));
    }
}

// Guards against the end of flows whose upstream is only slow.
#[gtest]
fn an_upstream_that_accepts_connections_keeps_its_flows() {
    let (mut fleet, agent) = fleet_with_dead_upstream();
    let held = fleet.agents[&agent].machine.held_flows();
    fleet.agent_event(agent, AgentEvent::Probed { is_refused: false }, None);
    expect_that!(fleet.agents[&agent].machine.held_flows(), eq(held));
    expect_that!(fleet.reset_flows.is_empty(), eq(true));
}

// Guards against flows of an earlier life of the upstream.
#[gtest]
fn a_new_life_of_the_upstream_ends_the_flows_of_the_old_one() {
    let mut fleet = Fleet::new(1, 1, 1);
    let key = flow(1, 0);
    fleet.open(1, key).unwrap();
    fleet.agents.get_mut(&100).unwrap().upstream.flows.clear();
    fleet.agent_event(100, AgentEvent::Report(report(77, 1, false)), None);
    expect_that!(fleet.reset_flows, elements_are![eq(&key)]);
}
