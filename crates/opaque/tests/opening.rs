//! Tests of what agents do with new flows while their upstreams are busy.

mod common;

use std::net::SocketAddr;

use common::{
    Fleet, IDLE_MS, Outcome, established, flow, opening, peer_address, service, service_address,
};
use googletest::prelude::*;
use hawthorntide_opaque::{
    AgentAction, AgentEvent, Backend, BalancerDecision, BalancerMachine, Configuration, DomainTag,
    HandOff, OpeningDecision, OpeningPolicy, OpeningState, OpeningTerms, RequestClass, Route,
    Search, Segment, VisitedAgent,
};
use hawthorntide_types::{ConfigurationVersion, DurationMs, ResultCode};
use proptest::prelude::{any, proptest};

const POLICY: OpeningPolicy = OpeningPolicy {
    hand_off: HandOff::LeastLoaded,
    refuses_when_full: true,
};

/// A busy upstream at the last agent that a flow may visit.
fn last_visit() -> OpeningState {
    OpeningState {
        requests: 9,
        slots: 2,
        expected_wait_ms: DurationMs(120),
        is_overloaded: false,
        visited: 2,
        has_next: true,
        is_retransmission: false,
        least_loaded: None,
        cold_limit: None,
    }
}

fn visited(number: u8, expected_wait_ms: u64) -> VisitedAgent {
    VisitedAgent {
        address: peer_address(number),
        expected_wait_ms: DurationMs(expected_wait_ms),
    }
}

// Guards deployments that do not set the policy: they hand off and accept as before, and refuse nothing.
proptest! {
    #[test]
    fn the_default_policy_hands_off_twice_and_then_accepts(
        requests in 0_u32..20,
        visits in 0_usize..8,
        has_next in any::<bool>(),
        is_overloaded in any::<bool>(),
    ) {
        let state = OpeningState { requests, visited: visits, has_next, is_overloaded, ..last_visit() };
        let is_handed_off = requests > state.slots && visits < 2 && has_next;
        let expected = if is_handed_off { OpeningDecision::HandOff } else { OpeningDecision::Accept };
        assert_eq!(OpeningPolicy::default().decide(&state), expected);
        assert_eq!(OpeningPolicy::default().least_loaded(peer_address(100), &state), None);
    }
}

// Burst while all agents are busy: the last agent must not keep the flow if another one is clearly less
// loaded, and not send it back for the few milliseconds that the message takes.
#[gtest]
fn a_flow_returns_to_the_least_loaded_agent_that_it_visited() {
    let decide = |wait_ms| {
        let state = OpeningState {
            least_loaded: Some(visited(100, wait_ms)),
            ..last_visit()
        };
        POLICY.decide(&state)
    };
    expect_that!(decide(40), eq(OpeningDecision::HandBack(peer_address(100))));
    expect_that!(decide(118), eq(OpeningDecision::Accept));
    expect_that!(decide(300), eq(OpeningDecision::Accept));
}

// Flood beyond the slots: refusing must be the last resort, after several agents, and never for a flow
// that an earlier transmission may have opened.
#[gtest]
fn a_flow_is_refused_only_after_several_overloaded_agents() {
    let full = OpeningState {
        is_overloaded: true,
        ..last_visit()
    };
    expect_that!(POLICY.decide(&full), eq(OpeningDecision::HandOff));
    let last = OpeningState { visited: 5, ..full };
    expect_that!(POLICY.decide(&last), eq(OpeningDecision::Refuse));
    let alone = OpeningState {
        visited: 0,
        has_next: false,
        ..full
    };
    expect_that!(POLICY.decide(&alone), eq(OpeningDecision::Refuse));
    let retransmission = OpeningState {
        is_retransmission: true,
        ..last
    };
    expect_that!(POLICY.decide(&retransmission), eq(OpeningDecision::Accept));
    let other = OpeningState {
        least_loaded: Some(visited(100, 500)),
        ..last
    };
    let back = OpeningDecision::HandBack(peer_address(100));
    expect_that!(POLICY.decide(&other), eq(back));
    let is_kept = POLICY.least_loaded(peer_address(101), &full).is_some();
    expect_false!(is_kept, "an overloaded agent is no place to return to");
}

// Flood beyond the slots of some upstreams, without the setting for the least loaded agent: the caller must not be
// refused although an agent that the flow visited can serve it. Nothing else makes a flow return.
#[gtest]
fn a_flow_is_not_refused_while_a_visited_agent_can_serve_it() {
    let policy = OpeningPolicy {
        hand_off: HandOff::FirstFree,
        refuses_when_full: true,
    };
    let busy = last_visit();
    let best = policy.least_loaded(peer_address(100), &busy);
    expect_that!(best, some(eq(visited(100, 120))));
    let full = OpeningState {
        is_overloaded: true,
        visited: 5,
        least_loaded: best,
        ..busy
    };
    let back = OpeningDecision::HandBack(peer_address(100));
    expect_that!(policy.decide(&full), eq(back));
    let waits_longer = OpeningState {
        expected_wait_ms: DurationMs(500),
        is_overloaded: false,
        ..full
    };
    expect_that!(policy.decide(&waits_longer), eq(OpeningDecision::Accept));
}

/// Opens flows and leaves their requests unanswered, until those that wait have waited for half of their time.
fn overload(fleet: &mut Fleet) {
    overload_by(fleet, 160);
}

/// Does the same with this number of flows.
fn overload_by(fleet: &mut Fleet, flows: u16) {
    for agent in fleet.agents.values_mut() {
        agent.upstream.behaviour = common::Behaviour::Stuck;
    }
    for caller in 0..flows {
        let (agent, number) = fleet.open(1, flow(caller, 0)).unwrap();
        let mut request = established(flow(caller, 0), number.wrapping_add(1));
        request.sequence = request.end();
        let outcome = fleet.send(1, request);
        assert!([Outcome::Accepted(agent), Outcome::Held(agent)].contains(&outcome));
        if caller % 40 == 0 {
            // The load of those that are asked first becomes known.
            fleet.run_for(500);
        }
    }
    let deadline_ms = RequestClass::default().deadline_ms.get();
    fleet.run_for(deadline_ms / 2 + 500);
}

/// Search of an opening packet that has visited these agents.
fn search_of(visited: &[u8]) -> Search {
    Search {
        balancer: peer_address(1),
        preferred_domain: DomainTag::of(&"domain-1".parse().unwrap()),
        service: service(0),
        is_fallback_service: false,
        visited: visited.iter().copied().map(peer_address).collect(),
        is_parallel: false,
        terms: OpeningTerms::default(),
        class: RequestClass::default(),
    }
}

fn number_of(agent: SocketAddr) -> u8 {
    (100..112)
        .find(|number| peer_address(*number) == agent)
        .unwrap()
}

/// Passes an opening packet to an agent and returns the actions, which are not performed.
fn forward(fleet: &mut Fleet, agent: u8, search: Search, segment: Segment) -> Vec<AgentAction> {
    let event = AgentEvent::Forwarded {
        search,
        segment,
        packet: &[],
    };
    let mut actions = Vec::new();
    let machine = &mut fleet.agents.get_mut(&agent).unwrap().machine;
    machine.handle(fleet.now, event, &mut actions);
    actions
}

/// Returns the agent to which an agent forwards a packet, and its search.
fn forwarded(actions: Vec<AgentAction>) -> Option<(SocketAddr, Search)> {
    actions.into_iter().find_map(|action| match action {
        AgentAction::ForwardToAgent { to, search, .. } => Some((to, search)),
        _ => None,
    })
}

// Flood beyond the slots of all upstreams: callers must be told at once instead of waiting for their
// deadline; a copy of the opening packet must not be refused.
#[gtest]
fn callers_are_told_at_once_while_every_upstream_is_overloaded() {
    let mut fleet = Fleet::with_policy(1, 6, 1, POLICY);
    overload(&mut fleet);
    let outcome = fleet.send(1, opening(flow(900, 0), 0));
    expect_that!(outcome, eq(Outcome::Reset(ResultCode::Overloaded)));
    let copy = fleet.send(1, opening(flow(901, 0), 1));
    expect_that!(copy, matches_pattern!(Outcome::Accepted(_)));
    expect_that!(fleet.reset_flows, is_empty(), "open flows stay");
}

// Drain of an upstream while all others are overloaded: a flow that was handed back to its agent must not return
// there from each further agent that it visits.
#[gtest]
fn a_flow_returns_to_an_agent_only_once() {
    let mut fleet = Fleet::with_policy(1, 12, 1, POLICY);
    overload_by(&mut fleet, 340);
    fleet.agents.get_mut(&100).unwrap().upstream.is_draining = true;
    fleet.send_heartbeat(100);
    let mut search = search_of(&[100, 101, 102, 103, 104, 105]);
    search.terms.least_loaded = Some(visited(100, 1));
    let (mut to, mut visits) = (peer_address(100), 0);
    loop {
        visits += u32::from(to == peer_address(100));
        let actions = forward(&mut fleet, number_of(to), search, opening(flow(900, 0), 0));
        let Some(next) = forwarded(actions) else {
            break;
        };
        (to, search) = next;
    }
    expect_that!(visits, eq(1));
}

// Flood: the agent that gets a flow back must not send it on, although it has become overloaded itself. Agents that
// hand back or refuse a flow count as visited, so that it does not visit them again.
#[gtest]
fn a_flow_that_was_handed_back_stays() {
    let mut fleet = Fleet::with_policy(1, 12, 1, POLICY);
    overload_by(&mut fleet, 340);
    let segment = opening(flow(900, 0), 0);
    let mut search = search_of(&[100, 101, 102, 103, 104]);
    let actions = forward(&mut fleet, 105, search.clone(), segment);
    let [AgentAction::ReturnOverloaded { search: refused }] = &actions[..] else {
        panic!("{actions:?}");
    };
    expect_that!(refused.visited.last(), some(eq(&peer_address(105))));
    search.terms.least_loaded = Some(visited(100, 1));
    let (to, search) = forwarded(forward(&mut fleet, 105, search, segment)).unwrap();
    expect_that!(to, eq(peer_address(100)));
    expect_that!(search.visited.last(), some(eq(&peer_address(105))));
    let actions = forward(&mut fleet, 100, search, segment);
    expect_true!(matches!(actions[..], [AgentAction::Deliver { .. }]));
}

// Upstream that pauses while all others are overloaded: it may still accept the opening packet that it left unanswered,
// so the caller must not be told that nothing has run.
#[gtest]
fn a_flow_that_a_paused_upstream_may_accept_is_not_refused() {
    let mut fleet = Fleet::with_policy(1, 12, 1, POLICY);
    overload_by(&mut fleet, 340);
    let segment = opening(flow(900, 0), 0);
    let search = search_of(&[101, 102, 103, 104]);
    // Agent 100 has restarted: its upstream is idle, and leaves the packet unanswered.
    fleet.restart_agent(100);
    fleet.run_for(500);
    let delivered = forward(&mut fleet, 100, search, segment);
    assert!(matches!(delivered[..], [AgentAction::Deliver { .. }]));
    fleet.now = fleet.now + DurationMs(100);
    let mut actions = Vec::new();
    let machine = &mut fleet.agents.get_mut(&100).unwrap().machine;
    machine.handle(fleet.now, AgentEvent::Tick, &mut actions);
    let (to, search) = forwarded(actions).unwrap();
    let (to, search) = forwarded(forward(&mut fleet, number_of(to), search, segment)).unwrap();
    expect_that!(to, eq(peer_address(100)));
    let delivered = forward(&mut fleet, 100, search, segment);
    expect_true!(matches!(delivered[..], [AgentAction::Deliver { .. }]));
    // The caller sends the next transmission meanwhile.
    fleet.now = fleet.now + DurationMs(100);
    let mut actions = Vec::new();
    let machine = &mut fleet.agents.get_mut(&100).unwrap().machine;
    machine.handle(fleet.now, AgentEvent::Tick, &mut actions);
    expect_that!(forwarded(actions), none());
}

// The same without the setting: nobody is refused.
#[gtest]
fn without_the_setting_nobody_is_refused_for_load() {
    let mut fleet = Fleet::new(1, 6, 1);
    overload(&mut fleet);
    for caller in 900..920 {
        let outcome = fleet.send(1, opening(flow(caller, 0), 0));
        expect_that!(outcome, matches_pattern!(Outcome::Accepted(_)));
    }
}

// Flood of one service of a route while another one of it idles: the idle one takes the flows that would
// be refused.
#[gtest]
fn an_idle_service_of_the_route_takes_the_flows_of_an_overloaded_one() {
    let mut fleet = Fleet::with_policy(1, 6, 2, POLICY);
    let backend = |number, weight| Backend {
        service: service(number),
        weight,
    };
    let both = Route {
        service_address: service_address(0),
        backends: vec![backend(0, 99), backend(1, 1)],
        class: RequestClass::default(),
    };
    overload(&mut fleet);
    for agent in [101, 103, 105] {
        fleet.agents.get_mut(&agent).unwrap().upstream.behaviour = common::Behaviour::Healthy;
    }
    let configuration = Configuration::new(ConfigurationVersion(9), vec![both], IDLE_MS);
    fleet.balancers.get_mut(&1).unwrap().apply(configuration);
    for caller in 900..905 {
        let (agent, _) = fleet.open(1, flow(caller, 0)).unwrap();
        expect_that!(agent % 2, eq(1), "flow {caller}");
    }
}

// Guards against a packet that goes round between services of a route which names one of them twice.
#[gtest]
fn each_service_of_a_route_is_tried_once() {
    let mut fleet = Fleet::with_policy(1, 6, 3, POLICY);
    let backends = [0, 1, 2, 1].map(|number| Backend {
        service: service(number),
        weight: 1,
    });
    let route = Route {
        service_address: service_address(0),
        backends: backends.into(),
        class: RequestClass::default(),
    };
    let configuration = Configuration::new(ConfigurationVersion(9), vec![route], IDLE_MS);
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    balancer.apply(configuration);
    for caller in 0..10 {
        let packet = opening(flow(caller, 0), 0);
        let mut decision = balancer.place(fleet.now, &packet);
        let mut tried = Vec::new();
        while let BalancerDecision::Forward { to, mut search } = decision {
            assert!(tried.len() < 10, "{tried:?}");
            expect_that!(search.visited, is_empty());
            expect_that!(search.is_fallback_service, eq(!tried.is_empty()));
            tried.push(search.service.clone());
            search.visited.push(to);
            decision = balancer.handle_overloaded(fleet.now, search, &packet);
        }
        expect_that!(
            decision,
            eq(&BalancerDecision::Reset(ResultCode::Overloaded))
        );
        tried.sort_unstable();
        expect_that!(tried, eq(&[0, 1, 2].map(service)));
    }
}

// Guards against a reset for an open flow: a packet that was held up on its way is refused after the caller's next
// transmission was placed, or after an agent announced that it owns the flow.
#[gtest]
fn a_late_refusal_resets_no_flow_that_another_transmission_may_have_opened() {
    let mut fleet = Fleet::with_policy(1, 6, 1, POLICY);
    let now = fleet.now;
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    let mut refuse_after = |caller, other: &mut dyn FnMut(&mut BalancerMachine)| {
        let packet = opening(flow(caller, 0), 0);
        let BalancerDecision::Forward { search, .. } = balancer.place(now, &packet) else {
            panic!("not placed");
        };
        other(balancer);
        balancer.handle_overloaded(now, search, &packet)
    };
    let reset = BalancerDecision::Reset(ResultCode::Overloaded);
    expect_that!(refuse_after(1, &mut |_| {}), eq(&reset));
    let dropped = BalancerDecision::Drop(ResultCode::Overloaded);
    let decision = refuse_after(2, &mut |balancer| {
        balancer.place(now, &opening(flow(2, 0), 1));
    });
    expect_that!(decision, eq(&dropped));
    let decision = refuse_after(3, &mut |balancer| {
        balancer.record_owner(now, flow(3, 0), peer_address(100));
    });
    expect_that!(decision, eq(&dropped));
}
