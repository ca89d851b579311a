//! Guards the rate limiter of opening packets against floods.

use googletest::prelude::*;
use hawthorntide_routing::OpeningRateLimiter;
use hawthorntide_types::{RatePerSecond, ResultCode, ServiceId, TimeMs};
use proptest::prelude::{prop_assert, proptest};

const FLOODED: ServiceId = ServiceId(1);
const QUIET: ServiceId = ServiceId(2);
const SECONDS: u64 = 10;
const MS_PER_SECOND: u64 = 1000;

/// Opening packets of one service.
#[derive(Clone, Copy, Debug, Default)]
struct PacketCount {
    sent: u64,
    admitted: u64,
}

/// Sends one stream per service at a constant rate, in packets per second.
fn run(limiter: &mut OpeningRateLimiter, streams: &[(ServiceId, u64)]) -> Vec<PacketCount> {
    let mut counts = vec![PacketCount::default(); streams.len()];
    for now in 0..SECONDS * MS_PER_SECOND {
        for ((service, rate), count) in streams.iter().zip(&mut counts) {
            while count.sent < (now + 1) * rate / MS_PER_SECOND {
                count.sent += 1;
                let is_admitted = limiter.admit(TimeMs(now), *service).is_ok();
                count.admitted += u64::from(is_admitted);
            }
        }
    }
    counts
}

fn limiter(total: u32, limits: &[(ServiceId, u32)]) -> OpeningRateLimiter {
    let mut limiter = OpeningRateLimiter::new(RatePerSecond(total));
    for (service, limit) in limits {
        limiter.set_limit(*service, RatePerSecond(*limit));
    }
    limiter
}

// Guards against a flood that uses up the rate of another service. With spoofed source addresses it
// cannot be told apart from many new callers.
#[gtest]
fn a_flood_of_one_service_does_not_limit_another() {
    let mut limiter = limiter(1000, &[(FLOODED, 2000), (QUIET, 2000)]);
    let counts = run(&mut limiter, &[(FLOODED, 100_000), (QUIET, 400)]);
    expect_that!(counts[1].admitted, eq(counts[1].sent));
    expect_that!(counts[0].admitted, le((SECONDS + 1) * 1000));
    expect_that!(counts[0].admitted, ge(SECONDS * 500));
}

// Guards against a flood that exceeds the limit of its service while the total rate is not used up.
#[gtest]
fn service_limit_applies_below_the_total_rate() {
    let mut limiter = limiter(100_000, &[(FLOODED, 50), (QUIET, 1000)]);
    let counts = run(&mut limiter, &[(FLOODED, 10_000)]);
    expect_that!(counts[0].admitted, ge(SECONDS * 50));
    expect_that!(counts[0].admitted, le((SECONDS + 1) * 50));
}

// Guards against one service being limited to its share while the others leave theirs unused.
#[gtest]
fn unused_shares_are_available_to_other_services() {
    let mut limiter = limiter(1000, &[(FLOODED, 1000), (QUIET, 1000)]);
    let counts = run(&mut limiter, &[(FLOODED, 990)]);
    expect_that!(counts[0].admitted, eq(counts[0].sent));
}

// Guards against services whose share is so small that it rounds down to zero.
#[gtest]
fn each_of_many_services_gets_a_flow_under_a_flood() {
    let limits: Vec<_> = (0..2600).map(|number| (ServiceId(number), 100)).collect();
    let mut limiter = limiter(20_000, &limits);
    let mut streams: Vec<_> = (0..100).map(|number| (ServiceId(number), 2000)).collect();
    streams.push((ServiceId(2000), 2));
    let counts = run(&mut limiter, &streams);
    let quiet = counts.last().unwrap();
    expect_that!(quiet.admitted, eq(quiet.sent));
}

// Guards against admission to removed services, and against shares that remain reserved for them.
#[gtest]
fn removed_services_release_their_share() {
    let mut limiter = limiter(1000, &[(FLOODED, 1000), (QUIET, 1000)]);
    limiter.remove_service(FLOODED);
    let refused = limiter.admit(TimeMs(0), FLOODED);
    expect_that!(refused, err(eq(ResultCode::NoEndpoint)));
    let counts = run(&mut limiter, &[(QUIET, 990)]);
    expect_that!(counts[0].admitted, eq(counts[0].sent));
}

proptest! {
    // Guards against guaranteed rates, bursts and unused tokens that together exceed the total
    // rate, and against a service that gets less than its share.
    #[test]
    fn rates_hold_for_any_mixture(
        rates in proptest::collection::vec(1_u64..5000, 2..6),
        limits in proptest::collection::vec(10_u32..2000, 6),
        total in 50_u32..3000,
    ) {
        let services = (0..).map(ServiceId).zip(limits).take(rates.len());
        let limits: Vec<_> = services.collect();
        let streams: Vec<_> = (0..).map(ServiceId).zip(rates.iter().copied()).collect();
        let mut limiter = limiter(total, &limits);
        let counts = run(&mut limiter, &streams);
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
