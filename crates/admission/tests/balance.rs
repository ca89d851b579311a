//! Imbalance of several endpoints that hold long flows, with seeded arrivals.

#[path = "common/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "the test uses a part of the scenarios")]
#[path = "common/scenario.rs"]
mod scenario;

use fleet::{Balance, Fleet, FleetResult, simulate};
use googletest::prelude::*;

const SEED: u64 = 11;

/// Shortens `fleet` so that it runs quickly without optimization.
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

/// Guards against endpoints that hold more work than others at steady load.
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

/// Guards against long flows that stay where joins and drains put them.
#[gtest]
fn new_flows_even_out_joins_and_drains() {
    for fleet in [scenario::join(), scenario::drain_and_join()] {
        let result = run(fleet, Balance::SiblingChoice);
        expect_that!(result.imbalance(), le(1.10), "{result:?}");
    }
}

/// Guards against a slow and a cold upstream that hold the work of the service, whatever their own
/// reports say; the plain hash shows that the scenario is a hard one.
#[gtest]
fn a_lagging_and_a_cold_upstream_are_relieved() {
    let result = run(scenario::lagging_and_cold(), Balance::SiblingChoice);
    expect_that!(result.imbalance(), le(1.25), "{result:?}");
    let hashed = run(scenario::lagging_and_cold(), Balance::PlainHash);
    expect_that!(hashed.imbalance(), gt(1.25), "{hashed:?}");
}
