//! Results that callers get when the upstream fails in different ways.

mod common;

use std::time::{Duration, Instant};

use common::Fixture;
use googletest::prelude::*;
use hawthorntide_emulator::{ReportAccuracy, UpstreamFault};
use hawthorntide_types::{Ran, ResultCode, SlotCount, WorkKind};

/// Delay after which the upstream is processing a call but has not answered yet.
const IN_FLIGHT_DELAY: Duration = Duration::from_millis(60);

/// Guards against a second run, or a "not run" result, when the upstream dies during a request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_dies_leaves_the_outcome_unknown() {
    let fixture = Fixture::start().await;
    let caller = fixture.connect(None).await;
    let call = fixture.call(WorkKind::Reservation, 1, 2000);
    let sequence = caller.next_sequence();
    let (answer, ()) = tokio::join!(caller.call_with_sequence(sequence, &call, false), async {
        tokio::time::sleep(IN_FLIGHT_DELAY).await;
        fixture.upstream().kill();
    });
    expect_that!(answer.code, eq(ResultCode::UnknownUpstreamLost));
    let retried = caller.call_with_sequence(sequence, &call, true).await;
    expect_that!(retried.code, eq(ResultCode::UnknownUpstreamLost));
    expect_that!(fixture.runs(1), eq(1));
    // Nothing listens on the upstream address, so the request cannot have been sent.
    let next = caller
        .call(&fixture.call(WorkKind::Reservation, 2, 2000))
        .await;
    expect_that!(next.code, eq(ResultCode::NotRunNoUpstream));
    expect_that!(fixture.runs(2), eq(0));
}

/// Guards against callers that wait indefinitely for an upstream that never answers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_never_answers_ends_with_the_deadline() {
    let fixture = Fixture::start().await;
    let caller = fixture.connect(None).await;
    fixture.upstream().set_fault(UpstreamFault::Frozen);
    let began = Instant::now();
    let answer = caller
        .call(&fixture.call(WorkKind::Reservation, 1, 300))
        .await;
    expect_that!(answer.code, eq(ResultCode::UnknownDeadline));
    expect_that!(began.elapsed(), lt(Duration::from_millis(700)));
}

/// Guards against forwarding invalid data as an answer, or reporting it as "not run".
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_data_is_never_an_answer() {
    let fixture = Fixture::start().await;
    let caller = fixture.connect(None).await;
    let call = fixture.call(WorkKind::Reservation, 1, 2000);
    let (answer, ()) = tokio::join!(caller.call(&call), async {
        tokio::time::sleep(IN_FLIGHT_DELAY).await;
        fixture.upstream().set_fault(UpstreamFault::Garbage);
    });
    expect_that!(answer.code.ran(), eq(Ran::Unknown), "{:?}", answer.code);
    expect_that!(answer.data, is_empty());
    expect_that!(fixture.runs(1), eq(1));
}

/// Guards against reporting shed requests as unknown, and against running them later.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn shed_work_is_not_run_by_a_retry() {
    let fixture = Fixture::start().await;
    let caller = fixture.connect(None).await;
    fixture.upstream().set_slots(SlotCount(0));
    let call = fixture.call(WorkKind::Reservation, 1, 2000);
    let sequence = caller.next_sequence();
    let answer = caller.call_with_sequence(sequence, &call, false).await;
    expect_that!(answer.code, eq(ResultCode::NotRunShed));
    fixture.upstream().set_slots(SlotCount(2));
    let retried = caller.call_with_sequence(sequence, &call, true).await;
    expect_that!(retried.code, eq(ResultCode::NotRunShed));
    expect_that!(fixture.runs(1), eq(0));
    let fresh = caller
        .call(&fixture.call(WorkKind::Reservation, 2, 2000))
        .await;
    expect_that!(fresh.code, eq(ResultCode::Ok));
}

/// Guards against taking an upstream out of use because of false health reports.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_reports_failure_but_works_is_used() {
    let fixture = Fixture::start().await;
    fixture.upstream().set_reports(ReportAccuracy::AlwaysFailed);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let caller = fixture.connect(None).await;
    let answer = caller.call(&fixture.call(WorkKind::Sheet, 1, 2000)).await;
    expect_that!(answer.code, eq(ResultCode::Ok));
}

/// Guards against cancelled requests that keep running on the upstream and occupy its slots.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_call_is_cancelled_at_the_upstream() {
    let fixture = Fixture::start().await;
    let caller = fixture.connect(None).await;
    for work_id in [1, 2] {
        let call = fixture.call(WorkKind::Reservation, work_id, 2000);
        let cancelled = tokio::time::timeout(IN_FLIGHT_DELAY, caller.call(&call)).await;
        expect_true!(cancelled.is_err());
    }
    let answer = caller.call(&fixture.call(WorkKind::Sheet, 3, 2000)).await;
    expect_that!(answer.code, eq(ResultCode::Ok));
    expect_that!(fixture.upstream().counts().cancelled, eq(2));
    expect_that!(fixture.upstream().counts().completed, eq(1));
}
