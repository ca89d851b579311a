//! Tests of flows that ended, whose addresses may belong to a new flow of another upstream.

mod common;

use common::{Fleet, Outcome, deregistration, established, flow, opening};
use googletest::prelude::*;
use hawthorntide_opaque::{AgentEvent, Segment, SegmentKind};
use hawthorntide_routing::FlowKey;

/// Flow with its agent and the initial sequence number of its upstream.
type OpenFlow = (FlowKey, u8, u32);

fn open_flows(fleet: &mut Fleet, callers: std::ops::Range<u16>) -> Vec<OpenFlow> {
    let open = |caller| {
        let key = flow(caller, 0);
        let (agent, number) = fleet.open(1, key).unwrap();
        (key, agent, number)
    };
    callers.map(open).collect()
}

/// Both ends of the flow send their last packet, the upstream first.
fn end(fleet: &mut Fleet, (key, agent, number): OpenFlow) {
    let last = Segment {
        is_last: true,
        payload_bytes: 0,
        ..established(key, number + 1)
    };
    let of_upstream = Segment {
        kind: SegmentKind::Established,
        sequence: number + 1,
        acknowledged: last.sequence,
        ..last
    };
    fleet.agent_event(agent, AgentEvent::Sent(of_upstream), None);
    fleet.send(1, last);
    let node = fleet.agents.get_mut(&agent).unwrap();
    node.upstream.flows.remove(&key);
}

fn restart_others(fleet: &mut Fleet, agent: u8) {
    let others: Vec<_> = fleet.agents.keys().copied().collect();
    for number in others.into_iter().filter(|number| *number != agent) {
        fleet.restart_agent(number);
    }
    fleet.run_for(2_000);
}

fn deregister(fleet: &mut Fleet, agent: u8) {
    fleet.send_heartbeat(agent);
    fleet.agents.get_mut(&agent).unwrap().upstream.has_left = true;
    let event = deregistration("upstream-1");
    fleet.agent_event(agent, event, None);
}

/// Returns the number of flows that are registered with the agents that restarted.
fn registered_flows(fleet: &Fleet, agent: u8) -> usize {
    let others = fleet.agents.iter().filter(|(number, _)| **number != agent);
    others
        .map(|(_, node)| node.machine.registered_flows())
        .sum()
}

// Guards against an agent that registers and records flows that have ended: a new flow with the same addresses
// belongs to another upstream.
#[gtest]
fn a_flow_that_ended_is_neither_registered_nor_recorded() {
    let mut fleet = Fleet::new(1, 3, 1);
    let flows = open_flows(&mut fleet, 0..30);
    let agent = flows[0].1;
    let owned: Vec<_> = flows.into_iter().filter(|it| it.1 == agent).collect();
    for ended in &owned {
        end(&mut fleet, *ended);
    }
    expect_that!(
        fleet.agents[&agent].machine.record().unwrap().flows,
        is_empty()
    );
    // Registrars without a memory are told of all open flows. No other agent has any.
    restart_others(&mut fleet, agent);
    expect_that!(registered_flows(&fleet, agent), eq(0));
    expect_that!(owned.len(), ge(2));
}

// The same for the flows of an upstream that has deregistered.
#[gtest]
fn an_agent_whose_upstream_has_left_registers_no_flows() {
    let mut fleet = Fleet::new(1, 3, 1);
    let flows = open_flows(&mut fleet, 0..30);
    let agent = flows[0].1;
    deregister(&mut fleet, agent);
    restart_others(&mut fleet, agent);
    expect_that!(registered_flows(&fleet, agent), eq(0));
}

// Guards against resets of open flows whose addresses an upstream that has left once had: its registrations
// outlived it, and an agent that restarted believed them instead of its own upstream.
#[gtest]
fn a_flow_outlives_the_former_owner_of_its_addresses() {
    let mut fleet = Fleet::new(2, 4, 1);
    let flows = open_flows(&mut fleet, 0..40);
    let leaving = flows[0].1;
    let mut reopened = Vec::new();
    for ended in flows.into_iter().filter(|it| it.1 == leaving) {
        end(&mut fleet, ended);
        reopened.push(ended.0);
    }
    deregister(&mut fleet, leaving);
    fleet.run_for(500);
    let reopened: Vec<_> = reopened
        .into_iter()
        .map(|key| {
            let opening = Segment {
                sequence: 5_000_000,
                ..opening(key, 0)
            };
            let Outcome::Accepted(agent) = fleet.send(1, opening) else {
                panic!("{key} not accepted");
            };
            let number = fleet.agents[&agent].upstream.flows[&key].0;
            fleet.send_on_flow(1, key, number);
            (key, agent, number)
        })
        .collect();
    expect_that!(reopened.len(), ge(2));
    restart_others(&mut fleet, leaving);
    for (key, agent, number) in reopened {
        for balancer in [2, 1] {
            let outcome = fleet.send_on_flow(balancer, key, number);
            expect_that!(
                outcome,
                eq(Outcome::Accepted(agent)),
                "{key} through {balancer}"
            );
        }
    }
}
