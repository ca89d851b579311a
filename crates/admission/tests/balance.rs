//! Imbalance between endpoints with long flows, simulated with seeded arrivals.

#[path = "common/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "the test uses a part of the scenarios")]
#[path = "common/scenario.rs"]
mod scenario;

use fleet::{Balance, Fleet, FleetResult, simulate};
use googletest::prelude::*;

const SEED: u64 = 11;

/// Shortens `fleet` so that it runs quickly in unoptimized builds.
fn run(fleet: Fleet, balance: Balance) -> FleetResult {
    let shortened = Fleet {
        balance,
        flow_seconds: 30.0,
        seconds: 240,
        measured_s: 60,
        seed: SEED,
        ..fleet
    };
    simulate(&shortened)
}

/// Guards against imbalance at steady load.
#[gtest]
fn steady_load_is_even() {
    for fleet in [
        scenario::steady(),
        scenario::steady_small(),
        scenario::steady_three(),
    ] {
        let result = run(fleet, Balance::SiblingChoice);
        expect_that!(result.imbalance(), le(1.10), "{result:?}");
        expect_that!(result.refused, eq(0));
    }
}

/// Guards against imbalance that remains after joins and drains, since long flows do not move.
#[gtest]
fn new_flows_even_out_joins_and_drains() {
    for fleet in [scenario::join(), scenario::drain_and_join()] {
        let result = run(fleet, Balance::SiblingChoice);
        expect_that!(result.imbalance(), le(1.10), "{result:?}");
    }
}

/// Guards against requests that accumulate at a slow or a cold upstream, even if these report a
/// wrong health. The plain hash must fail, which shows that the scenario is hard enough.
#[gtest]
fn slow_and_cold_upstreams_get_less_load() {
    let result = run(scenario::slow_and_cold(), Balance::SiblingChoice);
    expect_that!(result.imbalance(), le(1.25), "{result:?}");
    let hashed = run(scenario::slow_and_cold(), Balance::PlainHash);
    expect_that!(hashed.imbalance(), gt(1.25), "{hashed:?}");
}
