//! Guards the admission of opening packets under floods.

use googletest::prelude::*;
use hawthorntide_routing::OpeningRateLimiter;
use hawthorntide_types::{RatePerSecond, ResultCode, ServiceId, TimeMs};
use proptest::prelude::{prop_assert, proptest};

const FLOODED: ServiceId = ServiceId(1);
const QUIET: ServiceId = ServiceId(2);
const SECONDS: u64 = 10;
const MS_PER_SECOND: u64 = 1000;

/// Opening packets of a service per millisecond that were sent and admitted.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u64,
    admitted: u64,
}

/// Sends at constant rates (in packets a second), one stream per service.
fn run(gate: &mut OpeningRateLimiter, streams: &[(ServiceId, u64)]) -> Vec<Count> {
    let mut counts = vec![Count::default(); streams.len()];
    for now in 0..SECONDS * MS_PER_SECOND {
        for ((service, rate), count) in streams.iter().zip(&mut counts) {
            while count.sent < (now + 1) * rate / MS_PER_SECOND {
                count.sent += 1;
                let is_admitted = gate.admit(TimeMs(now), *service).is_ok();
                count.admitted += u64::from(is_admitted);
            }
        }
    }
    counts
}

fn gate(total: u32, limits: &[(ServiceId, u32)]) -> OpeningRateLimiter {
    let mut gate = OpeningRateLimiter::new(RatePerSecond(total));
    for (service, limit) in limits {
        gate.set_limit(*service, RatePerSecond(*limit));
    }
    gate
}

// Guards against a flood from spoofed sources, which looks like many new callers, taking the new
// flows of another service.
#[gtest]
fn a_flood_of_one_service_leaves_the_others_their_flows() {
    let mut gate = gate(1000, &[(FLOODED, 2000), (QUIET, 2000)]);
    let counts = run(&mut gate, &[(FLOODED, 100_000), (QUIET, 400)]);
    expect_that!(counts[1].admitted, eq(counts[1].sent));
    expect_that!(counts[0].admitted, le((SECONDS + 1) * 1000));
    expect_that!(counts[0].admitted, ge(SECONDS * 500));
}

// Guards against a flood exceeding the limit of its service while the balancer has room.
#[gtest]
fn the_limit_of_a_service_holds_without_load() {
    let mut gate = gate(100_000, &[(FLOODED, 50), (QUIET, 1000)]);
    let counts = run(&mut gate, &[(FLOODED, 10_000)]);
    expect_that!(counts[0].admitted, ge(SECONDS * 50));
    expect_that!(counts[0].admitted, le((SECONDS + 1) * 50));
}

// Guards against shares that lie idle while one service could use them.
#[gtest]
fn unused_shares_are_open_to_all() {
    let mut gate = gate(1000, &[(FLOODED, 1000), (QUIET, 1000)]);
    let counts = run(&mut gate, &[(FLOODED, 990)]);
    expect_that!(counts[0].admitted, eq(counts[0].sent));
}

// Guards against services whose small share rounds to nothing.
#[gtest]
fn each_of_many_services_gets_a_flow_under_a_flood() {
    let limits: Vec<_> = (0..2600).map(|number| (ServiceId(number), 100)).collect();
    let mut gate = gate(20_000, &limits);
    let mut streams: Vec<_> = (0..100).map(|number| (ServiceId(number), 2000)).collect();
    streams.push((ServiceId(2000), 2));
    let counts = run(&mut gate, &streams);
    let quiet = counts.last().unwrap();
    expect_that!(quiet.admitted, eq(quiet.sent));
}

// Guards against packets to removed services, and against shares that outlive their service.
#[gtest]
fn a_removed_service_gives_its_share_back() {
    let mut gate = gate(1000, &[(FLOODED, 1000), (QUIET, 1000)]);
    gate.remove_service(FLOODED);
    let refused = gate.admit(TimeMs(0), FLOODED);
    expect_that!(refused, err(eq(ResultCode::NoEndpoint)));
    let counts = run(&mut gate, &[(QUIET, 990)]);
    expect_that!(counts[0].admitted, eq(counts[0].sent));
}

proptest! {
    // Guards against a total that the sum of guarantees, bursts and spare tokens exceeds, and
    // against a service that gets less than its share.
    #[test]
    fn rates_hold_for_any_mixture(
        rates in proptest::collection::vec(1_u64..5000, 2..6),
        limits in proptest::collection::vec(10_u32..2000, 6),
        total in 50_u32..3000,
    ) {
        let services = (0..).map(ServiceId).zip(limits).take(rates.len());
        let limits: Vec<_> = services.collect();
        let streams: Vec<_> = (0..).map(ServiceId).zip(rates.iter().copied()).collect();
        let mut gate = gate(total, &limits);
        let counts = run(&mut gate, &streams);
        let admitted: u64 = counts.iter().map(|count| count.admitted).sum();
        prop_assert!(admitted <= u64::from(total) * (2 * SECONDS + 1) / 2 + 20);
        let sum: u64 = limits.iter().map(|(_, limit)| u64::from(*limit)).sum();
        for (((_, limit), (_, rate)), count) in limits.iter().zip(&streams).zip(&counts) {
            let limit = u64::from(*limit);
            prop_assert!(count.admitted <= limit * (4 * SECONDS + 1) / 4 + 2);
            let guaranteed = (u64::from(total) * limit / sum).min(limit).min(*rate);
            prop_assert!(count.admitted + 2 >= guaranteed * SECONDS * 9 / 10);
        }
    }
}
