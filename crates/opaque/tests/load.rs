//! Tests of the placement of new flows on unevenly loaded upstreams.

mod common;

use common::{
    Behaviour, Fleet, IDLE_MS, Outcome, established, flow, opening, service, service_address,
};
use googletest::prelude::*;
use hawthorntide_opaque::{Backend, Configuration, RequestClass, Route};
use hawthorntide_types::{ConfigurationVersion, ResultCode};

/// Opens flows through the balancer, `gap_ms` apart, and returns the number of flows per agent.
fn open_many(fleet: &mut Fleet, callers: std::ops::Range<u16>, gap_ms: u64) -> Vec<(u8, usize)> {
    let mut taken: Vec<(u8, usize)> = fleet.agents.keys().map(|&it| (it, 0)).collect();
    for caller in callers {
        let (agent, _) = fleet.open(1, flow(caller, 0)).unwrap();
        let entry = taken.iter_mut().find(|entry| entry.0 == agent).unwrap();
        entry.1 += 1;
        fleet.run_for(gap_ms);
    }
    taken
}

// After upstreams crash, the few that are left in a failure domain must not shed its new flows while
// other failure domains have capacity.
#[gtest]
fn a_loaded_upstream_leaves_new_flows_to_other_failure_domains() {
    let mut fleet = Fleet::new(1, 6, 1);
    let calm = open_many(&mut fleet, 0..100, 100);
    let near: Vec<u8> = calm.iter().filter(|it| it.1 > 0).map(|it| it.0).collect();
    expect_that!(
        near.len(),
        eq(2),
        "without load, only agents of the caller's failure domain get flows"
    );
    for agent in &near {
        fleet.agents.get_mut(agent).unwrap().upstream.behaviour = Behaviour::Stuck;
    }
    // Queues unanswered requests at the stuck upstreams.
    for caller in 0..100 {
        let key = flow(caller, 0);
        for agent in near.clone() {
            if let Some((number, _)) = fleet.agents[&agent].upstream.flows.get(&key).copied() {
                let mut request = established(key, number.wrapping_add(1));
                // The data before it was answered.
                request.sequence = request.end();
                expect_that!(
                    fleet.send(1, request),
                    any![eq(Outcome::Accepted(agent)), eq(Outcome::Held(agent))]
                );
            }
        }
    }
    fleet.run_for(3_000);
    let loaded = open_many(&mut fleet, 1_000..1_200, 0);
    let at_loaded: usize = loaded
        .iter()
        .filter(|it| near.contains(&it.0))
        .map(|it| it.1)
        .sum();
    expect_that!(
        at_loaded,
        eq(0),
        "dozens of requests wait there for two slots: {loaded:?}"
    );
}

// When every upstream is loaded, new flows must still be accepted.
#[gtest]
fn flows_are_accepted_when_every_upstream_is_loaded() {
    let mut fleet = Fleet::new(1, 3, 1);
    for agent in fleet.agents.values_mut() {
        agent.upstream.behaviour = Behaviour::Stuck;
    }
    open_many(&mut fleet, 0..60, 0);
    fleet.run_for(2_000);
    let taken = open_many(&mut fleet, 100..200, 0);
    expect_that!(taken.iter().map(|it| it.1).sum::<usize>(), eq(100));
}

// After a power loss all callers open flows at once, before any load is measured. The upstreams that
// rank first must not shed flows that others could take.
#[gtest]
fn a_burst_of_new_flows_is_spread_before_load_is_measured() {
    let mut fleet = Fleet::new(1, 6, 1);
    for agent in fleet.agents.values_mut() {
        agent.upstream.behaviour = Behaviour::Stuck;
    }
    let taken = open_many(&mut fleet, 0..12, 0);
    let most = taken.iter().map(|it| it.1).max();
    expect_that!(most, some(le(4)), "{taken:?}");
}

// After a power loss, new flows must not be refused before the agents are known: callers would use up
// all their retries within milliseconds.
#[gtest]
fn new_flows_are_not_refused_while_agents_start() {
    let mut fleet = Fleet::new(1, 4, 1);
    fleet.partitioned.extend(100..104);
    fleet.start_balancer(1);
    let outcome = fleet.send(1, opening(flow(1, 0), 0));
    expect_that!(outcome, eq(Outcome::Dropped(ResultCode::NoEndpoint)));
    fleet.run_for(4_000);
    let outcome = fleet.send(1, opening(flow(1, 0), 0));
    expect_that!(outcome, eq(Outcome::Reset(ResultCode::NoEndpoint)));
}

// When a service of a route fails, its share of new flows must not be shed or refused while another
// service of the route has capacity. First seen with a small service that had a tenth of a route.
#[gtest]
fn another_service_of_a_route_takes_over_new_flows() {
    let mut fleet = Fleet::new(1, 6, 2);
    let backend = |number, weight| Backend {
        service: service(number),
        weight,
    };
    let route = Route {
        service_address: service_address(0),
        backends: vec![backend(0, 50), backend(1, 50), backend(2, 0)],
        class: RequestClass::default(),
    };
    let configuration = Configuration::new(ConfigurationVersion(9), vec![route], IDLE_MS);
    fleet.balancers.get_mut(&1).unwrap().apply(configuration);
    let before_failure = open_many(&mut fleet, 0..60, 60);
    let flows_of_second_service = |taken: &[(u8, usize)]| -> usize {
        let second = taken.iter().filter(|it| it.0 % 2 == 1);
        second.map(|it| it.1).sum()
    };
    expect_that!(
        flows_of_second_service(&before_failure),
        all![gt(10), lt(50)]
    );
    for number in [101, 103, 105] {
        fleet.agents.get_mut(&number).unwrap().upstream.behaviour = Behaviour::Dead;
    }
    fleet.run_for(6_000);
    let after_failure = open_many(&mut fleet, 100..160, 60);
    expect_that!(flows_of_second_service(&after_failure), eq(0));
}

// Grey failure: an upstream sends healthy heartbeats but resets flows that carry requests. It must
// get few new flows until it recovers.
#[gtest]
fn an_upstream_that_fails_requests_gets_few_new_flows_until_it_recovers() {
    let mut fleet = Fleet::new(1, 3, 1);
    let at = |taken: &[(u8, usize)], agent: u8| -> usize {
        taken.iter().find(|it| it.0 == agent).unwrap().1
    };
    let calm = open_many(&mut fleet, 0..90, 60);
    let near = calm.iter().max_by_key(|it| it.1).unwrap().0;
    fleet.agents.get_mut(&near).unwrap().upstream.behaviour = Behaviour::Failing;
    open_many(&mut fleet, 100..130, 60);
    fleet.run_for(500);
    let failing = open_many(&mut fleet, 200..260, 60);
    expect_that!(at(&failing, near), le(12), "{failing:?}");
    fleet.agents.get_mut(&near).unwrap().upstream.behaviour = Behaviour::Healthy;
    fleet.run_for(30_000);
    let recovered = open_many(&mut fleet, 300..360, 60);
    expect_that!(at(&recovered, near), ge(50), "{recovered:?}");
}
