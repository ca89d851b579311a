//! Tests of flow records after the loss of an agent, with or without its upstream, and of records that lack
//! fields.

mod common;

use std::net::SocketAddr;

use common::{
    Fleet, HEARTBEAT_MS, Outcome, agent_role, configuration, flow, opening, peer, peer_address,
    report,
};
use googletest::prelude::*;
use hawthorntide_opaque::{
    AgentEvent, Configuration, FlowRecord, Gossip, GossipEvent, Peer, PeerUpdate, ReplyKind,
    UpstreamIncarnation,
};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, Phase};

const AGENT: u8 = 100;

/// Opens flows at the only agent and returns them with their initial sequence numbers.
fn fleet_with_flows() -> (Fleet, Vec<(FlowKey, u32)>) {
    let mut fleet = Fleet::new(1, 1, 1);
    fleet.has_no_records = false;
    let mut flows = Vec::new();
    for caller in 0..5 {
        let key = flow(caller, 0);
        let (_, number) = fleet.open(1, key).unwrap();
        flows.push((key, number));
    }
    fleet.run_for(1_000);
    (fleet, flows)
}

fn record_of(fleet: &mut Fleet) -> FlowRecord {
    fleet.agent_event(AGENT, AgentEvent::RecordRead(None), None);
    fleet.agents[&AGENT].machine.record().unwrap()
}

fn read_record(fleet: &mut Fleet, record: &FlowRecord) {
    let event = AgentEvent::RecordRead(Some(record.clone()));
    fleet.agent_event(AGENT, event, None);
}

fn report_incarnation(fleet: &mut Fleet, born_ms: u64) {
    let event = AgentEvent::Report(report(born_ms, 1, false));
    fleet.agent_event(AGENT, event, None);
}

fn reset_callers(fleet: &Fleet) -> Vec<FlowKey> {
    let mut flows = fleet.reset_flows.clone();
    flows.sort();
    flows
}

// After a power loss of the VM, idle callers must get a reset. Otherwise they would notice the end of
// their flow only by losing their next request.
#[gtest]
fn flows_that_ended_with_the_vm_are_reset_before_their_callers_use_them() {
    for record_comes_first in [true, false] {
        let (mut fleet, flows) = fleet_with_flows();
        let record = record_of(&mut fleet);
        expect_that!(record.flows.len(), eq(flows.len()));
        fleet.agents.get_mut(&AGENT).unwrap().upstream.flows.clear();
        fleet.restart_agent(AGENT);
        if record_comes_first {
            read_record(&mut fleet, &record);
            expect_that!(
                fleet.reset_flows,
                is_empty(),
                "the upstream may still be running"
            );
            report_incarnation(&mut fleet, 2);
        } else {
            report_incarnation(&mut fleet, 2);
            read_record(&mut fleet, &record);
        }
        let all: Vec<_> = flows.iter().map(|(key, _)| *key).collect();
        expect_that!(reset_callers(&fleet), eq(&all));
    }
}

// If only the agent was killed, its upstream still owns the flows, which may have advanced by any
// number of bytes.
#[gtest]
fn flows_of_a_running_upstream_are_restored() {
    let (mut fleet, flows) = fleet_with_flows();
    let record = record_of(&mut fleet);
    fleet.restart_agent(AGENT);
    read_record(&mut fleet, &record);
    report_incarnation(&mut fleet, 1);
    expect_that!(fleet.reset_flows, is_empty());
    expect_that!(
        fleet.agents[&AGENT].machine.record(),
        some(field!(FlowRecord.flows, len(eq(flows.len())))),
        "the next record includes the flows of idle callers"
    );
    for (key, number) in flows {
        let advanced = fleet.send_on_flow(1, key, number.wrapping_add(10_000_000));
        expect_that!(advanced, eq(Outcome::Accepted(AGENT)));
    }
}

// A delayed heartbeat of a previous incarnation does not prove that the recorded one has ended.
#[gtest]
fn an_earlier_or_unordered_incarnation_resets_nothing() {
    let (mut fleet, _) = fleet_with_flows();
    let mut record = record_of(&mut fleet);
    record.incarnation.born_ms = 7;
    fleet.restart_agent(AGENT);
    read_record(&mut fleet, &record);
    report_incarnation(&mut fleet, 1);
    expect_that!(fleet.reset_flows, is_empty());

    record.incarnation = UpstreamIncarnation {
        id: "another".to_owned(),
        born_ms: 1,
    };
    fleet.restart_agent(AGENT);
    read_record(&mut fleet, &record);
    report_incarnation(&mut fleet, 1);
    expect_that!(fleet.reset_flows, is_empty());
}

// A late heartbeat of an earlier incarnation was the first one after a restart of the agent. The next one of
// the upstream then counted as that of a new incarnation, and reset its open flows.
#[gtest]
fn a_late_heartbeat_before_the_first_one_of_the_upstream_resets_nothing() {
    for record_comes_first in [true, false] {
        let (mut fleet, flows) = fleet_with_flows();
        let record = record_of(&mut fleet);
        fleet.restart_agent(AGENT);
        if record_comes_first {
            read_record(&mut fleet, &record);
        }
        report_incarnation(&mut fleet, 0);
        if !record_comes_first {
            read_record(&mut fleet, &record);
        }
        let is_acknowledged = fleet.agents[&AGENT]
            .machine
            .is_latest_report(&report(0, 1, false));
        expect_that!(is_acknowledged, eq(false), "{record_comes_first}");
        for (key, number) in &flows {
            fleet.send_on_flow(1, *key, *number);
        }
        report_incarnation(&mut fleet, 1);
        expect_that!(fleet.reset_flows, is_empty(), "{record_comes_first}");
        for (key, number) in flows {
            let outcome = fleet.send_on_flow(1, key, number);
            expect_that!(outcome, eq(Outcome::Accepted(AGENT)));
        }
    }
}

// The clock of a VM was set back before upstream and agent restarted: the upstream must be served although its
// start time is before the recorded one.
#[gtest]
fn an_upstream_that_started_before_the_recorded_one_is_served_after_three_intervals() {
    let (mut fleet, _) = fleet_with_flows();
    let mut record = record_of(&mut fleet);
    record.incarnation.born_ms = 7;
    fleet.restart_agent(AGENT);
    read_record(&mut fleet, &record);
    fleet.run_for(5 * HEARTBEAT_MS);
    expect_that!(fleet.agents[&AGENT].machine.phase(), eq(Phase::Serving));
    expect_that!(fleet.open(1, flow(100, 0)), some(anything()));
    expect_that!(fleet.reset_flows, is_empty());
}

// Until the upstream has reported its incarnation, the record of the agent's previous incarnation is
// the only list of the flows to reset. It must not be overwritten.
#[gtest]
fn a_record_is_not_replaced_before_it_was_used() {
    let (mut fleet, _) = fleet_with_flows();
    let record = record_of(&mut fleet);
    fleet.restart_agent(AGENT);
    report_incarnation(&mut fleet, 1);
    expect_that!(fleet.agents[&AGENT].machine.record(), none());
    read_record(&mut fleet, &record);
    expect_that!(fleet.agents[&AGENT].machine.record(), some(anything()));
}

// Callers reuse ports: the opening packet of a flow with the addresses of a recorded one must be
// checked like that of any other new flow.
#[gtest]
fn a_recorded_flow_does_not_bypass_the_drain() {
    let (mut fleet, flows) = fleet_with_flows();
    let record = record_of(&mut fleet);
    fleet.agents.get_mut(&AGENT).unwrap().upstream.flows.clear();
    fleet.restart_agent(AGENT);
    read_record(&mut fleet, &record);
    let event = AgentEvent::Report(report(1, 1, true));
    fleet.agent_event(AGENT, event, None);
    let outcome = fleet.send(1, opening(flows[0].0, 0));
    expect_that!(outcome, not(eq(Outcome::Accepted(AGENT))));
}

// An agent restarts beside a draining upstream: it must not take new flows for it before a heartbeat tells it
// of the drain. A new incarnation of the upstream does not drain.
#[gtest]
fn an_agent_takes_no_new_flows_for_an_upstream_that_drained_before_its_restart() {
    let (mut fleet, _) = fleet_with_flows();
    expect_that!(record_of(&mut fleet).is_draining, eq(false));
    fleet.agent_event(AGENT, AgentEvent::Report(report(1, u64::MAX, true)), None);
    let record = record_of(&mut fleet);
    expect_that!(record.is_draining, eq(true));
    for (born_ms, is_draining, expected) in [(1, true, Phase::Draining), (2, false, Phase::Serving)]
    {
        fleet.restart_agent(AGENT);
        fleet.agent_event(AGENT, AgentEvent::Tick, None);
        expect_that!(fleet.agents[&AGENT].machine.phase(), eq(Phase::Joining));
        read_record(&mut fleet, &record);
        fleet.now = fleet.now + DurationMs(20_000);
        fleet.agent_event(AGENT, AgentEvent::Tick, None);
        expect_that!(fleet.agents[&AGENT].machine.phase(), eq(Phase::Joining));
        let event = AgentEvent::Report(report(born_ms, u64::MAX, is_draining));
        fleet.agent_event(AGENT, event, None);
        expect_that!(fleet.agents[&AGENT].machine.phase(), eq(expected));
    }
}

// A record without the field that tells of a drain counted as one of an upstream that takes new flows.
#[gtest]
fn a_record_without_the_state_of_the_upstream_counts_as_that_of_a_draining_one() {
    let (mut fleet, _) = fleet_with_flows();
    let mut value = serde_json::to_value(record_of(&mut fleet)).unwrap();
    value.as_object_mut().unwrap().remove("is_draining");
    let record: FlowRecord = serde_json::from_value(value).unwrap();
    fleet.restart_agent(AGENT);
    read_record(&mut fleet, &record);
    fleet.now = fleet.now + DurationMs(20_000);
    fleet.agent_event(AGENT, AgentEvent::Tick, None);
    expect_that!(fleet.agents[&AGENT].machine.phase(), eq(Phase::Joining));
    report_incarnation(&mut fleet, 1);
    expect_that!(fleet.agents[&AGENT].machine.phase(), eq(Phase::Serving));
}

// A configuration of another build that does not tell of unreadable routes: unknown routes were refused
// although they may be among these.
#[gtest]
fn a_configuration_that_lacks_a_field_is_not_used() {
    let complete = serde_json::to_value(configuration(1, 1)).unwrap();
    expect_that!(
        serde_json::from_value::<Configuration>(complete.clone()),
        ok(anything())
    );
    for field in ["has_unreadable_routes", "cold_starts"] {
        let mut value = complete.clone();
        value.as_object_mut().unwrap().remove(field);
        expect_that!(
            serde_json::from_value::<Configuration>(value),
            err(anything()),
            "{field}"
        );
    }
    let mut value = complete;
    value["routes"][0].as_object_mut().unwrap().remove("class");
    expect_that!(
        serde_json::from_value::<Configuration>(value),
        err(anything())
    );
}

// The writes of all agents together must stay within the limits of the store.
#[gtest]
fn the_record_interval_grows_with_the_number_of_agents_up_to_a_limit() {
    let mut fleet = Fleet::new(1, 10, 1);
    let interval = |fleet: &Fleet| fleet.agents[&AGENT].machine.record_interval_ms(fleet.now);
    expect_that!(interval(&fleet), eq(DurationMs(4_000)));
    let updates = (0..390u16).map(|number| PeerUpdate {
        peer: Peer {
            address: SocketAddr::from(([10, 1, 0, 1], 1_000 + number)),
            ..peer(200, 1, agent_role(0, Phase::Serving))
        },
        age_ms: DurationMs(0),
    });
    let message = GossipEvent::Message {
        from: peer_address(1),
        gossip: Gossip {
            requested_reply: ReplyKind::Nothing,
            sender: fleet.balancers[&1].gossip().local_peer().clone(),
            updates: updates.collect(),
            suspected: Vec::new(),
            evacuations: None,
        },
    };
    fleet.gossip(AGENT, message);
    expect_that!(interval(&fleet), eq(DurationMs(30_000)));
}
