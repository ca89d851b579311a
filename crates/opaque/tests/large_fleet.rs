//! Tests that open flows are found in fleets of over a hundred agents, in a bounded number of hops.

mod common;

use common::{
    Fleet, IDLE_MS, Outcome, deregistration, established, flow, peer_address, service,
    service_address,
};
use googletest::prelude::*;
use hawthorntide_opaque::{
    AgentEvent, Backend, BalancerDecision, Configuration, DomainTag, OpeningTerms, PeerMessage,
    RequestClass, Route, Search, encode,
};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{ConfigurationVersion, ResultCode};

/// Agents of the small service; they have the numbers from 100.
const SMALL_SERVICE_AGENTS: u8 = 27;

/// Agents of the large service.
const LARGE_SERVICE_AGENTS: u8 = 109;

/// Processes that a packet may pass: its balancer's first choice, the agents that know where the flow is,
/// and the owner.
const MAX_HOPS: usize = 5;

/// Largest packet of a caller.
const MAX_PACKET_BYTES: usize = 1_232;

/// A route to both services with these weights.
fn weighted(version: u64, small_weight: u32, large_weight: u32) -> Configuration {
    let backend = |number, weight| Backend {
        service: service(number),
        weight,
    };
    let route = Route {
        service_address: service_address(0),
        backends: vec![backend(0, small_weight), backend(1, large_weight)],
        class: RequestClass::default(),
    };
    Configuration::new(ConfigurationVersion(version), vec![route], IDLE_MS)
}

fn apply_everywhere(fleet: &mut Fleet, configuration: &Configuration) {
    for balancer in fleet.balancers.values_mut() {
        balancer.apply(configuration.clone());
    }
}

/// Starts a large fleet and opens flows, all of the small service.
fn fleet_with_flows_of_the_small_service() -> (Fleet, Vec<(FlowKey, u8, u32)>) {
    let mut fleet = Fleet::with_agents(6, [SMALL_SERVICE_AGENTS, LARGE_SERVICE_AGENTS]);
    apply_everywhere(&mut fleet, &weighted(2, 1, 0));
    let flows = (0..40)
        .map(|caller| {
            let key = flow(caller, 0);
            let (agent, number) = fleet.open(1 + caller as u8 % 6, key).unwrap();
            (key, agent, number)
        })
        .collect();
    fleet.run_for(1_000);
    (fleet, flows)
}

fn restart_balancers(fleet: &mut Fleet, configuration: &Configuration) {
    for number in 1..=6 {
        fleet.start_balancer(number);
    }
    apply_everywhere(fleet, configuration);
    fleet.run_for(1_000);
}

fn expect_found(fleet: &mut Fleet, flows: &[(FlowKey, u8, u32)]) {
    for (key, agent, number) in flows {
        let balancer = 1 + (key.caller.port() % 5) as u8;
        let taken = fleet.send_on_flow(balancer, *key, *number);
        expect_that!(taken, eq(Outcome::Accepted(*agent)), "{key}");
        expect_that!(fleet.hops, le(MAX_HOPS), "{key}");
    }
}

// A search that visits the agents of the selected service first gave up before it reached those of another
// one, so flows were lost once their balancer had restarted.
#[gtest]
fn flows_of_a_service_that_left_the_route_are_found_after_balancers_restarted() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    restart_balancers(&mut fleet, &weighted(3, 0, 1));
    expect_found(&mut fleet, &flows);
}

// The same without a change of the route's services, only of their shares.
#[gtest]
fn flows_are_found_after_the_share_of_their_service_fell() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    restart_balancers(&mut fleet, &weighted(3, 1, 100));
    expect_found(&mut fleet, &flows);
}

// Registrations must follow their registrars: agents that join take over some of them with an empty memory,
// and others leave.
#[gtest]
fn flows_are_found_after_agents_joined_and_left() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    let last = 100 + SMALL_SERVICE_AGENTS + LARGE_SERVICE_AGENTS;
    for number in last..last + 10 {
        fleet.add_agent(number, 1);
    }
    for number in last - 10..last {
        let deregistered = deregistration("upstream-1");
        fleet.agent_event(number, deregistered, None);
    }
    fleet.run_for(2_000);
    restart_balancers(&mut fleet, &weighted(3, 0, 1));
    expect_found(&mut fleet, &flows);
}

// A registrar that restarts has lost its registrations; the owners must repeat them.
#[gtest]
fn flows_are_found_after_every_registrar_restarted_in_turn() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    let large_service =
        100 + SMALL_SERVICE_AGENTS..100 + SMALL_SERVICE_AGENTS + LARGE_SERVICE_AGENTS;
    for batch in large_service.collect::<Vec<_>>().chunks(19) {
        for number in batch {
            fleet.restart_agent(*number);
        }
        fleet.run_for(1_000);
    }
    restart_balancers(&mut fleet, &weighted(3, 0, 1));
    expect_found(&mut fleet, &flows);
}

// An agent that restarts knows none of its flows, but its registrars do.
#[gtest]
fn flows_are_found_after_their_agents_restarted() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    for number in 100..100 + SMALL_SERVICE_AGENTS {
        fleet.restart_agent(number);
    }
    restart_balancers(&mut fleet, &weighted(3, 0, 1));
    expect_found(&mut fleet, &flows);
}

// A search ends at an agent that has died and is not suspected yet. Retransmissions that all took the same
// way were all lost.
#[gtest]
fn retransmissions_get_around_agents_that_have_just_died() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    restart_balancers(&mut fleet, &weighted(3, 0, 1));
    let large_service =
        100 + SMALL_SERVICE_AGENTS..100 + SMALL_SERVICE_AGENTS + LARGE_SERVICE_AGENTS;
    fleet.partitioned.extend(large_service.step_by(6));
    for (key, agent, number) in flows {
        let mut outcomes = (0..3).map(|_| fleet.send_on_flow(1, key, number));
        let is_found = outcomes.any(|outcome| outcome == Outcome::Accepted(agent));
        expect_that!(is_found, eq(true), "{key}");
    }
}

// The packet of a flow that ended must not travel between two agents each of which has a registration of
// the other.
#[gtest]
fn registrations_that_name_each_other_send_no_packet_in_a_loop() {
    let mut fleet = Fleet::new(1, 8, 1);
    for caller in 0..20 {
        let key = flow(caller, 0);
        for number in 100..108 {
            let others = (100..108).filter(|other| *other != number);
            let owner = peer_address(
                others
                    .max_by_key(|other| (other ^ caller as u8, *other))
                    .unwrap(),
            );
            let flows = vec![key];
            fleet.agent_event(number, AgentEvent::FlowsRegistered { owner, flows }, None);
        }
        let outcome = fleet.send_on_flow(1, key, 7);
        expect_that!(outcome, eq(Outcome::Reset(ResultCode::NoEndpoint)));
        // Each agent once, and the balancer.
        expect_that!(fleet.hops, le(8 + 8 + 1));
    }
}

// A search of the whole fleet for each packet of the flows of a lost VM would load every agent, and its
// callers would wait longer for the reset.
#[gtest]
fn flows_of_a_lost_agent_are_reset_without_a_search() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    let lost = flows[0].1;
    fleet.partitioned.insert(lost);
    fleet.run_for(6_000);
    restart_balancers(&mut fleet, &weighted(3, 0, 1));
    // The restarted balancers know the lost agent from the directory only.
    fleet.run_for(2_000);
    for (key, _, number) in flows.iter().filter(|(_, agent, _)| *agent == lost) {
        let outcome = fleet.send_on_flow(1, *key, *number);
        expect_that!(outcome, eq(Outcome::Reset(ResultCode::NoEndpoint)), "{key}");
        expect_that!(fleet.hops, le(MAX_HOPS), "{key}");
    }
    // A flow that nobody registered is searched for.
    let outcome = fleet.send_on_flow(1, flow(9_000, 0), 7);
    expect_that!(outcome, eq(Outcome::Reset(ResultCode::NoEndpoint)));
    expect_that!(fleet.hops, gt(100));
}

// A registrar that cannot reach the owner must not end a flow that the balancer can still deliver.
#[gtest]
fn a_flow_is_not_reset_while_its_balancer_reaches_the_owner() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    let (key, agent, number) = flows[0];
    let search = Search {
        balancer: peer_address(1),
        preferred_domain: DomainTag(0),
        service: service(1),
        is_fallback_service: false,
        visited: Vec::new(),
        is_parallel: false,
        terms: OpeningTerms::default(),
        class: RequestClass::default(),
    };
    let owner = peer_address(agent);
    let now = fleet.now;
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    let decision = balancer.handle_owner_lost(now, search, owner, &established(key, number));
    expect_that!(
        matches!(decision, BalancerDecision::Forward { to, .. } if to == owner),
        eq(true)
    );
}

// After a kill of all processes only the upstreams know their flows. A search from agent to agent ended at
// the first one that had died, and went through those of the selected service before all others.
#[gtest]
fn flows_are_found_after_all_processes_restarted_although_some_agents_died() {
    let (mut fleet, flows) = fleet_with_flows_of_the_small_service();
    for number in fleet.agents.keys().copied().collect::<Vec<_>>() {
        fleet.restart_agent(number);
    }
    restart_balancers(&mut fleet, &weighted(3, 0, 1));
    let large_service =
        100 + SMALL_SERVICE_AGENTS..100 + SMALL_SERVICE_AGENTS + LARGE_SERVICE_AGENTS;
    fleet.partitioned.extend(large_service.step_by(6));
    for (key, agent, number) in flows {
        let mut outcomes = (0..3).map(|_| fleet.send_on_flow(1, key, number));
        let is_found = outcomes.any(|outcome| outcome == Outcome::Accepted(agent));
        expect_that!(is_found, eq(true), "{key}");
    }
}

// After a loss of power, thousands of callers return to flows that nobody knows. A copy of each packet for each
// agent fills the link of an entry VM, and callers wait until their deadline.
#[gtest]
fn a_query_leaves_the_balancer_in_few_messages() {
    let mut fleet = Fleet::with_agents(1, [SMALL_SERVICE_AGENTS, LARGE_SERVICE_AGENTS]);
    let agents = usize::from(SMALL_SERVICE_AGENTS + LARGE_SERVICE_AGENTS);
    let now = fleet.now;
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    let packet = established(flow(1, 0), 7);
    let decisions: Vec<_> = (0..3).map(|_| balancer.place(now, &packet)).collect();
    let Some(BalancerDecision::Query { parts, search }) = decisions.last() else {
        panic!("{decisions:?}");
    };
    let queried = parts.iter().map(|part| 1 + part.others.len());
    expect_that!(queried.sum::<usize>(), eq(agents));
    expect_that!(parts.len(), le(agents.div_ceil(32)));
    for part in parts {
        let message = PeerMessage::RelayQuery {
            search: search.clone(),
            agents: part.others.clone(),
        };
        let mut datagram = Vec::new();
        encode(&message, &[0; MAX_PACKET_BYTES], &mut datagram).unwrap();
        expect_that!(datagram.len(), le(2_048));
    }
}

// The part of a query that a dead agent should have sent on is lost: the next transmission must choose another.
#[gtest]
fn each_transmission_of_a_query_chooses_other_delegates() {
    let mut fleet = Fleet::with_agents(1, [SMALL_SERVICE_AGENTS, LARGE_SERVICE_AGENTS]);
    let now = fleet.now;
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    let packet = established(flow(1, 0), 7);
    let mut delegates = Vec::new();
    for _ in 0..6 {
        if let BalancerDecision::Query { parts, .. } = balancer.place(now, &packet) {
            delegates.extend(parts.into_iter().map(|part| part.delegate));
        }
    }
    let chosen = delegates.len();
    delegates.sort();
    delegates.dedup();
    expect_that!(chosen, ge(4 * 5));
    expect_that!(delegates.len(), eq(chosen));
}

// Each retransmission of a packet would query the whole fleet again.
#[gtest]
fn a_retransmission_repeats_the_query_only_at_agents_that_did_not_answer() {
    let mut fleet = Fleet::with_agents(1, [SMALL_SERVICE_AGENTS, LARGE_SERVICE_AGENTS]);
    let now = fleet.now;
    let key = flow(1, 0);
    let silent = fleet.agents.keys().copied().step_by(9);
    let silent: Vec<_> = silent.map(peer_address).collect();
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    let mut repeated = 0;
    let mut is_first = true;
    for _ in 0..6 {
        let BalancerDecision::Query { parts, .. } = balancer.place(now, &established(key, 7))
        else {
            continue;
        };
        let parts = parts.into_iter();
        let queried = parts.flat_map(|part| part.others.into_iter().chain([part.delegate]));
        let mut queried: Vec<_> = queried.collect();
        queried.sort();
        if is_first {
            is_first = false;
            expect_that!(queried.len(), eq(136));
            for agent in queried.iter().filter(|agent| !silent.contains(agent)) {
                balancer.handle_not_owned(now, *agent, key);
            }
        } else {
            repeated += 1;
            expect_that!(queried, eq(&silent));
        }
    }
    expect_that!(repeated, ge(2));
}
