//! Tests of the evacuation of failure domains.

mod common;

use common::{Fleet, IDLE_MS, Outcome, flow, opening, peer_address, service, service_address};
use googletest::prelude::*;
use hawthorntide_opaque::{
    Backend, BalancerDecision, Configuration, Evacuations, Gossip, GossipAction, GossipEvent,
    MAX_EVACUATED_DOMAINS, PeerMessage, ReplyKind, RequestClass, Route, decode, encode,
};
use hawthorntide_types::{ConfigurationVersion, ResultCode, Revision, StoreEra, Version};

/// Time after which no new flow may reach an evacuated failure domain.
const EVACUATE_MS: u64 = 5_000;

/// Failure domains of the fleet; a process with the number n is in `domain-{n % 3}`.
const DOMAINS: [&str; 3] = ["domain-0", "domain-1", "domain-2"];

fn domain_of(agent: u8) -> &'static str {
    DOMAINS[usize::from(agent % 3)]
}

/// Opens flows through the balancer and returns the failure domains of their upstreams, sorted.
fn domains_of_new_flows(
    fleet: &mut Fleet,
    balancer: u8,
    callers: std::ops::Range<u16>,
) -> Vec<&'static str> {
    let mut domains: Vec<_> = callers
        .map(|caller| domain_of(fleet.open(balancer, flow(caller, 0)).unwrap().0))
        .collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

// Guards against new flows that still reach an evacuated failure domain after the bound, or whose
// callers are refused although other failure domains serve; and against open flows that are moved.
#[gtest]
fn an_evacuated_failure_domain_gets_no_new_flows_and_keeps_its_open_ones() {
    let mut fleet = Fleet::new(6, 9, 1);
    let (owner, number) = fleet.open(1, flow(1, 0)).unwrap();
    let domain = domain_of(owner);
    fleet.evacuate(4, 10, &[domain]);
    fleet.run_for(EVACUATE_MS);
    for balancer in 1..=6 {
        let first = u16::from(balancer) * 100;
        let domains = domains_of_new_flows(&mut fleet, balancer, first..first + 40);
        expect_that!(domains, not(contains(eq(&domain))), "balancer {balancer}");
    }
    let outcome = fleet.send_on_flow(2, flow(1, 0), number);
    expect_that!(outcome, eq(Outcome::Accepted(owner)));
    expect_that!(fleet.reset_flows, is_empty());
}

// Guards against a failure domain that stays empty after its evacuation has ended.
#[gtest]
fn new_flows_return_after_the_evacuation() {
    let mut fleet = Fleet::new(3, 9, 1);
    fleet.evacuate(1, 10, &["domain-1"]);
    fleet.run_for(EVACUATE_MS);
    fleet.evacuate(1, 12, &[]);
    fleet.run_for(EVACUATE_MS);
    // Balancer 1 is in domain-1, whose agents it prefers.
    let domains = domains_of_new_flows(&mut fleet, 1, 0..40);
    expect_that!(domains, elements_are![eq(&"domain-1")]);
}

// Guards against a balancer that has not heard of the evacuation and sends new flows there.
#[gtest]
fn the_agent_turns_new_flows_away_whatever_the_balancer_knows() {
    let mut fleet = Fleet::new(2, 9, 1);
    let others = (1..=2).chain(100..109).filter(|number| *number != 1);
    // Messages are lost on the way to balancer 1, packets of callers are not.
    fleet.broken_links.extend(others.map(|number| (number, 1)));
    fleet.evacuate(2, 10, &["domain-1"]);
    fleet.run_for(1_000);
    for caller in 0..20 {
        let outcome = fleet.send(1, opening(flow(caller, 0), 0));
        let is_elsewhere =
            matches!(outcome, Outcome::Accepted(agent) if domain_of(agent) != "domain-1");
        expect_true!(is_elsewhere, "{outcome:?}");
    }
}

// Guards against new flows that each cost a detour through an agent of the evacuated failure domain.
#[gtest]
fn balancers_place_new_flows_outside_the_evacuated_failure_domain() {
    let mut fleet = Fleet::new(1, 9, 1);
    fleet.evacuate(1, 10, &["domain-1"]);
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    for caller in 0..20 {
        let decision = balancer.place(fleet.now, &opening(flow(caller, 0), 0));
        let BalancerDecision::Forward { to, .. } = decision else {
            panic!("{decision:?}");
        };
        let agent = (100..109).find(|agent| peer_address(*agent) == to).unwrap();
        expect_that!(domain_of(agent), not(eq("domain-1")));
    }
}

// Guards against callers that wait for their deadline when no failure domain may serve them.
#[gtest]
fn new_flows_are_refused_at_once_when_all_failure_domains_are_evacuated() {
    let mut fleet = Fleet::new(1, 6, 1);
    let (owner, number) = fleet.open(1, flow(1, 0)).unwrap();
    fleet.evacuate(1, 10, &DOMAINS);
    let outcome = fleet.send(1, opening(flow(2, 0), 0));
    expect_that!(outcome, eq(Outcome::Reset(ResultCode::NoEndpoint)));
    let outcome = fleet.send_on_flow(1, flow(1, 0), number);
    expect_that!(outcome, eq(Outcome::Accepted(owner)));
}

// Guards against a reset for a flow that opens: its upstream accepted the first transmission of the opening packet,
// and the answer is still on its way when the caller sends the next one.
#[gtest]
fn a_retransmission_reaches_the_upstream_that_opened_the_flow_before_the_evacuation() {
    let mut fleet = Fleet::new(1, 6, 1);
    let outcome = fleet.send(1, opening(flow(1, 0), 0));
    let Outcome::Accepted(owner) = outcome else {
        panic!("{outcome:?}");
    };
    fleet.evacuate(1, 10, &DOMAINS);
    let copy = fleet.send(1, opening(flow(1, 0), 1));
    expect_that!(copy, eq(Outcome::Accepted(owner)));
}

// Guards against a service whose upstreams are all in the evacuated failure domain and refuses
// callers, although another service of the route may serve them.
#[gtest]
fn another_service_of_the_route_takes_over_for_an_evacuated_one() {
    // Agents 100 to 102 are of service 0, 103 to 105 of service 1, one in each failure domain.
    let mut fleet = Fleet::with_agents(1, [3, 3]);
    let backend = |number| Backend {
        service: service(number),
        weight: 1,
    };
    let route = Route {
        service_address: service_address(0),
        backends: vec![backend(0), backend(1)],
        class: RequestClass::default(),
    };
    let configuration = Configuration::new(ConfigurationVersion(9), vec![route], IDLE_MS);
    fleet.balancers.get_mut(&1).unwrap().apply(configuration);
    for agent in [100, 101] {
        fleet.partitioned.insert(agent);
    }
    fleet.run_for(6_000);
    fleet.evacuate(1, 10, &[domain_of(102)]);
    for caller in 0..20 {
        let (agent, _) = fleet.open(1, flow(caller, 0)).unwrap();
        expect_that!(agent, any![eq(103), eq(104)]);
    }
}

// Guards against changes that a process misses while it is cut off: an entry that is removed and
// made again, or another one that ended meanwhile.
#[gtest]
fn a_process_that_was_cut_off_learns_the_latest_set() {
    let mut fleet = Fleet::new(2, 9, 1);
    fleet.evacuate(2, 10, &["domain-0"]);
    fleet.run_for(2_000);
    fleet.partitioned.insert(1);
    fleet.evacuate(2, 12, &[]);
    fleet.evacuate(2, 14, &["domain-1"]);
    fleet.evacuate(2, 16, &["domain-1", "domain-2"]);
    fleet.run_for(5_000);
    fleet.partitioned.clear();
    fleet.run_for(2_000);
    let domains = domains_of_new_flows(&mut fleet, 1, 0..40);
    expect_that!(domains, elements_are![eq(&"domain-0")]);
}

// Guards against a late message or listing that brings an ended evacuation back, and against a store
// that comes back from a copy, gives lower revisions and is not believed.
#[gtest]
fn the_latest_version_holds_and_a_later_era_supersedes_higher_revisions() {
    let mut fleet = Fleet::new(1, 3, 1);
    let domains = |fleet: &Fleet| -> Vec<String> {
        let evacuations = fleet.balancers[&1].gossip().view().evacuations();
        let names = evacuations.domains().iter();
        names.map(|domain| domain.as_str().to_owned()).collect()
    };
    fleet.evacuate(1, 500, &["domain-0"]);
    fleet.evacuate(1, 400, &["domain-1"]);
    expect_that!(domains(&fleet), elements_are![eq("domain-0")]);
    let next_era = Version::in_era(StoreEra(1), Revision(20));
    fleet.evacuate(1, next_era.get(), &["domain-2"]);
    expect_that!(domains(&fleet), elements_are![eq("domain-2")]);
}

// Guards against processes that start while the store is silent and send flows to a failure domain
// whose evacuation all others know.
#[gtest]
fn a_process_that_starts_learns_evacuations_from_its_peers() {
    let mut fleet = Fleet::new(3, 9, 1);
    fleet.evacuate(2, 10, &["domain-1"]);
    fleet.run_for(2_000);
    fleet.start_balancer(1);
    fleet.restart_agent(100);
    fleet.run_for(2_000);
    let domains = domains_of_new_flows(&mut fleet, 1, 0..40);
    expect_that!(domains, not(contains(eq(&"domain-1"))));
    let agent = &fleet.agents[&100].machine;
    expect_that!(
        agent.gossip().view().evacuations().version(),
        eq(Version(10))
    );
}

// Guards against bytes of a gossip message that earlier versions do not understand, and against a
// malformed set that makes a process evacuate more than the store lists.
#[gtest]
fn evacuations_travel_behind_the_gossip_message() {
    let mut fleet = Fleet::new(1, 1, 1);
    fleet.evacuate(1, 10, &["domain-1"]);
    let sender = fleet.balancers[&1].gossip().local_peer().clone();
    let gossip = |evacuations| {
        PeerMessage::Gossip(Gossip {
            requested_reply: ReplyKind::Nothing,
            sender: sender.clone(),
            updates: Vec::new(),
            suspected: vec![peer_address(100)],
            evacuations,
        })
    };
    let (without, with) = (
        gossip(None),
        gossip(Some(
            fleet.balancers[&1].gossip().view().evacuations().clone(),
        )),
    );
    let (mut plain, mut extended) = (Vec::new(), Vec::new());
    encode(&without, &[], &mut plain).unwrap();
    encode(&with, &[], &mut extended).unwrap();
    expect_that!(extended[..plain.len()], eq(&plain[..]));
    expect_that!(decode(&extended).unwrap().0, eq(&with));
    expect_that!(decode(&plain).unwrap().0, eq(&without));
    for end in plain.len() + 1..extended.len() {
        expect_that!(decode(&extended[..end]), err(anything()), "cut at {end}");
    }
}

// Guards deployments that do not set evacuations: their gossip messages are those of earlier versions.
#[gtest]
fn gossip_carries_no_set_before_one_was_read() {
    let mut fleet = Fleet::new(1, 3, 1);
    let mut actions = Vec::new();
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    balancer.handle_gossip(fleet.now, GossipEvent::Round, &mut actions);
    let sent = actions.iter().filter_map(|action| match action {
        GossipAction::Send {
            message: PeerMessage::Gossip(gossip),
            ..
        } => Some(gossip.evacuations.is_some()),
        _ => None,
    });
    let sent: Vec<_> = sent.collect();
    expect_that!(sent, not(is_empty()));
    expect_that!(sent, each(eq(&false)));
}

// Guards against a malformed set: one that is not sorted is not searched correctly, and a long one makes every
// further message long.
#[gtest]
fn malformed_sets_are_rejected() {
    const NAME_BYTES: usize = 4;
    let fleet = Fleet::new(1, 1, 1);
    let sender = fleet.balancers[&1].gossip().local_peer().clone();
    let encoded = |count: usize| {
        let names = (0..count).map(|number| format!("d{number:02}").parse().unwrap());
        let (evacuations, _) = Evacuations::new(Version(1), names);
        let message = PeerMessage::Gossip(Gossip {
            requested_reply: ReplyKind::Nothing,
            sender: sender.clone(),
            updates: Vec::new(),
            suspected: Vec::new(),
            evacuations: Some(evacuations),
        });
        let mut bytes = Vec::new();
        encode(&message, &[], &mut bytes).unwrap();
        bytes
    };
    let mut unsorted = encoded(2);
    expect_that!(decode(&unsorted), ok(anything()));
    let last = unsorted.len() - 1;
    unsorted.swap(last - NAME_BYTES, last);
    expect_that!(decode(&unsorted), err(anything()));
    let mut long = encoded(MAX_EVACUATED_DOMAINS);
    expect_that!(decode(&long), ok(anything()));
    let count_at = long.len() - MAX_EVACUATED_DOMAINS * NAME_BYTES - 1;
    long[count_at] += 1;
    long.extend(*b"\x03d99");
    expect_that!(decode(&long), err(anything()));
}

// Guards against entries of other programs that make every gossip message large.
#[gtest]
fn the_set_is_limited() {
    let many = (0..100).map(|number| format!("domain-{number}").parse().unwrap());
    let (evacuations, left_out) = Evacuations::new(Version(1), many);
    expect_that!(evacuations.domains().len(), eq(MAX_EVACUATED_DOMAINS));
    expect_that!(left_out, eq(100 - MAX_EVACUATED_DOMAINS));
}

// Guards against an evacuation that takes longer to reach the agents in a larger deployment.
#[gtest]
fn an_evacuation_is_in_force_in_a_large_fleet_in_time() {
    let mut fleet = Fleet::new(40, 90, 1);
    fleet.lost_one_of = Some(20);
    fleet.evacuate(7, 10, &["domain-2"]);
    fleet.run_for(EVACUATE_MS);
    let unaware = fleet.agents.values().filter(|node| {
        let evacuations = node.machine.gossip().view().evacuations();
        evacuations.version() != Version(10)
    });
    expect_that!(unaware.count(), eq(0));
}
