//! Weight of an upstream from observed results and self-reports.

use googletest::prelude::*;
use hawthorntide_admission::{AnnouncedWeight, CallResult, HealthHint, UpstreamHealth};
use hawthorntide_types::{DurationMs, EndpointId, TimeMs, Weight};

const ENDPOINT: EndpointId = EndpointId(10);

fn others(weights: &[u16]) -> Vec<AnnouncedWeight> {
    let announced = |(index, weight): (usize, &u16)| AnnouncedWeight {
        endpoint: EndpointId(index as u64),
        weight: Weight(*weight),
    };
    weights.iter().enumerate().map(announced).collect()
}

/// Returns an upstream that has answered in 10 ms for 60 s, and the time after that.
fn healthy() -> (UpstreamHealth, TimeMs) {
    let mut health = UpstreamHealth::new(TimeMs(0), ENDPOINT);
    record(&mut health, 0, 600, CallResult::Answered(DurationMs(10)));
    (health, TimeMs(60_000))
}

/// Records `count` results, one every 100 ms.
fn record(health: &mut UpstreamHealth, from_ms: u64, count: u64, result: CallResult) {
    for index in 0..count {
        health.record(TimeMs(from_ms + index * 100), result);
    }
}

/// Guards against a new upstream that gets its full share of flows at once.
#[gtest]
fn the_weight_ramps_up_slowly() {
    let mut health = UpstreamHealth::new(TimeMs(0), ENDPOINT);
    let others = others(&[1000, 1000, 1000]);
    expect_that!(health.weight(TimeMs(0), &others), eq(Weight(100)));
    expect_that!(health.weight(TimeMs(4000), &others), eq(Weight(500)));
    expect_that!(health.weight(TimeMs(20_000), &others), eq(Weight(1000)));
}

/// Guards against sending new flows to an upstream that fails or does not answer.
#[gtest]
fn failures_eject_an_upstream_and_answers_restore_it() {
    for result in [CallResult::Failed, CallResult::DeadlineExceeded] {
        let (mut health, now) = healthy();
        let others = others(&[1000, 1000, 1000]);
        record(&mut health, now.get(), 10, result);
        let failed = now + DurationMs(1000);
        expect_that!(health.weight(failed, &others), le(Weight(10)));
        record(
            &mut health,
            failed.get(),
            300,
            CallResult::Answered(DurationMs(10)),
        );
        let recovered = failed + DurationMs(30_000);
        expect_that!(health.weight(recovered, &others), ge(Weight(990)));
    }
}

/// Guards against an upstream that stays ejected because it gets no flows that could succeed.
#[gtest]
fn an_ejected_upstream_is_probed_again() {
    let (mut health, now) = healthy();
    let others = others(&[1000, 1000, 1000]);
    record(&mut health, now.get(), 20, CallResult::Failed);
    expect_that!(
        health.weight(now + DurationMs(2000), &others),
        eq(Weight(0))
    );
    expect_that!(
        health.weight(now + DurationMs(60_000), &others),
        ge(Weight(500))
    );
}

/// Guards against wrong self-reports that override observed results.
#[gtest]
fn self_reports_are_only_hints() {
    let (mut health, now) = healthy();
    let others = others(&[1000, 1000, 1000]);
    health.record_hint(now, HealthHint::Failed);
    expect_that!(health.weight(now, &others), eq(Weight(800)));
    record(&mut health, now.get(), 20, CallResult::Failed);
    health.record_hint(now + DurationMs(2000), HealthHint::Serving);
    expect_that!(
        health.weight(now + DurationMs(2000), &others),
        eq(Weight(0))
    );
}

/// Guards against ignoring a rise of the latency.
#[gtest]
fn slow_answers_lower_the_weight() {
    let (mut health, now) = healthy();
    record(
        &mut health,
        now.get(),
        100,
        CallResult::Answered(DurationMs(40)),
    );
    let weight = health.weight(now + DurationMs(10_000), &others(&[1000, 1000, 1000]));
    expect_that!(weight, all![ge(Weight(250)), le(Weight(600))]);
}

/// Guards against ejecting a whole service when a shared cause makes all endpoints fail.
#[gtest]
fn at_most_half_of_a_service_is_ejected() {
    const ENDPOINTS: usize = 7;
    let now = TimeMs(100_000);
    let mut healths: Vec<_> = (0..ENDPOINTS)
        .map(|index| UpstreamHealth::new(TimeMs(0), EndpointId(index as u64)))
        .collect();
    for health in &mut healths {
        record(health, 98_000, 20, CallResult::Failed);
    }
    let mut weights = [1000; ENDPOINTS];
    for _ in 0..3 {
        for index in 0..ENDPOINTS {
            let announced = others(&weights);
            let others: Vec<_> = announced
                .into_iter()
                .filter(|other| other.endpoint != EndpointId(index as u64))
                .collect();
            weights[index] = healths[index].weight(now, &others).get();
        }
        let ejected = weights.iter().filter(|weight| **weight < 250).count();
        expect_that!(ejected, eq(3), "{weights:?}");
    }
}
