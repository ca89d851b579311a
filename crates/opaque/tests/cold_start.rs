//! Tests of the limit on the new flows of cold upstreams.

mod common;

use common::{Fleet, Outcome, configuration, flow, opening, report, service};
use googletest::prelude::*;
use hawthorntide_opaque::{
    AgentEvent, ColdStart, ColdStartLimit, ColdStartTolerance, UpstreamReport,
};
use hawthorntide_types::{ResultCode, TimeMs};

const TOLERANCE: ColdStartTolerance = ColdStartTolerance {
    excess: 1.5,
    slack: 5.0,
};

/// New flows that a cold upstream may get in any second, at 4 a second and `TOLERANCE`.
const LIMIT: usize = 11;

/// A fleet whose balancers limit the new flows of cold upstreams.
fn fleet(agents: u8) -> Fleet {
    let mut fleet = Fleet::new(3, agents, 1);
    for balancer in fleet.balancers.values_mut() {
        let mut limited = configuration(5, 1);
        limited.cold_starts = vec![ColdStart {
            service: service(0),
            rate_per_s: 4.0,
        }];
        *balancer = balancer.clone().with_cold_start_tolerance(Some(TOLERANCE));
        balancer.apply(limited);
    }
    fleet
}

fn report_cold(fleet: &mut Fleet, agent: u8, cold_for_ms: u64) {
    let report = UpstreamReport {
        cold_for_ms,
        ..report(1, fleet.now.get(), false)
    };
    fleet.agent_event(agent, AgentEvent::Report(report), None);
}

/// Opens `count` flows through the balancers in turn; returns the agents that accepted them.
fn open_many(fleet: &mut Fleet, callers: std::ops::Range<u16>) -> Vec<Outcome> {
    let balancers = (1..=3).cycle();
    callers
        .zip(balancers)
        .map(|(caller, balancer)| fleet.send(balancer, opening(flow(caller, 0), 0)))
        .collect()
}

fn count_at(outcomes: &[Outcome], agent: u8) -> usize {
    let is_at = |outcome: &&Outcome| **outcome == Outcome::Accepted(agent);
    outcomes.iter().filter(is_at).count()
}

// Return of a failure domain while a burst runs: all balancers together must not overrun its cold
// upstreams, and the flows must find a place elsewhere.
#[gtest]
fn a_cold_upstream_gets_no_more_than_the_limit_in_any_second() {
    let mut fleet = fleet(3);
    report_cold(&mut fleet, 101, 60_000);
    let mut times = Vec::new();
    for step in 0..40 {
        let outcomes = open_many(&mut fleet, step * 20..step * 20 + 20);
        let count = count_at(&outcomes, 101);
        times.extend(std::iter::repeat_n(fleet.now, count));
        let accepted = |it: &Outcome| matches!(it, Outcome::Accepted(_));
        expect_true!(outcomes.iter().all(accepted), "{outcomes:?}");
        fleet.run_for(100);
        report_cold(&mut fleet, 101, 60_000);
    }
    expect_that!(times.len(), ge(LIMIT));
    let is_within = |start: &TimeMs, at: &TimeMs| at.since(*start).get() < 1_000 && at >= start;
    for start in &times {
        let count = times.iter().filter(|at| is_within(start, at)).count();
        expect_that!(count, le(LIMIT), "in the second after {start}");
    }
}

// All upstreams cold at once, as after a loss of power: what exceeds the limit must be refused at once,
// not held for the next second.
#[gtest]
fn new_flows_beyond_the_limit_are_refused_when_every_upstream_is_cold() {
    let mut fleet = fleet(1);
    report_cold(&mut fleet, 100, 60_000);
    let outcomes = open_many(&mut fleet, 0..20);
    expect_that!(count_at(&outcomes, 100), eq(LIMIT));
    let refused = outcomes
        .iter()
        .filter(|it| **it == Outcome::Reset(ResultCode::Overloaded));
    expect_that!(refused.count(), eq(20 - LIMIT));
}

// The upstreams of an evacuated failure domain may become cold unnoticed: until the next heartbeat after the
// evacuation, the limit must hold.
#[gtest]
fn an_upstream_counts_as_cold_after_an_evacuation_until_its_heartbeat() {
    let mut fleet = fleet(1);
    fleet.evacuate(1, 10, &["domain-1"]);
    fleet.run_for(2_000);
    fleet.evacuate(1, 12, &[]);
    for _ in 0..3 {
        fleet.gossip(1, hawthorntide_opaque::GossipEvent::Round);
        fleet.gossip(100, hawthorntide_opaque::GossipEvent::Round);
    }
    let outcomes = open_many(&mut fleet, 0..20);
    expect_that!(count_at(&outcomes, 100), eq(LIMIT));
    report_cold(&mut fleet, 100, 0);
    let outcomes = open_many(&mut fleet, 20..40);
    expect_that!(count_at(&outcomes, 100), eq(20));
}

// Services without a limit, and deployments without a tolerance, must be served as before.
#[gtest]
fn without_a_rate_or_a_tolerance_there_is_no_limit() {
    expect_that!(TOLERANCE.limit(4.0), some(eq(ColdStartLimit(11))));
    for rate_per_s in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        expect_that!(TOLERANCE.limit(rate_per_s), none(), "{rate_per_s}");
    }
    let mut fleet = Fleet::new(3, 1, 1);
    report_cold(&mut fleet, 100, 60_000);
    let outcomes = open_many(&mut fleet, 0..50);
    expect_that!(count_at(&outcomes, 100), eq(50));
}
