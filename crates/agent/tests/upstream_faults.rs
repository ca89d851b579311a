//! What callers are told while the upstream fails in different ways.

mod common;

use std::time::{Duration, Instant};

use common::Bench;
use googletest::prelude::*;
use hawthorntide_emulator::{Reports, UpstreamFault};
use hawthorntide_types::{Ran, ResultCode, SlotCount, WorkKind};

/// Time after which a call is at the upstream and far from its end.
const UNDER_WAY: Duration = Duration::from_millis(60);

/// Guards against a second run, or a "not run", after the upstream died in the middle of the work.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_dies_leaves_the_outcome_unknown() {
    let bench = Bench::start().await;
    let caller = bench.connect(None).await;
    let call = bench.call(WorkKind::Reservation, 1, 2000);
    let sequence = caller.next_sequence();
    let (answer, ()) = tokio::join!(caller.call_with_sequence(sequence, &call, false), async {
        tokio::time::sleep(UNDER_WAY).await;
        bench.upstream().kill();
    });
    expect_that!(answer.code, eq(ResultCode::UnknownUpstreamLost));
    let retried = caller.call_with_sequence(sequence, &call, true).await;
    expect_that!(retried.code, eq(ResultCode::UnknownUpstreamLost));
    expect_that!(bench.runs(1), eq(1));
    // Nothing listens any more, so that nothing can have been handed over.
    let next = caller
        .call(&bench.call(WorkKind::Reservation, 2, 2000))
        .await;
    expect_that!(next.code, eq(ResultCode::NotRunNoUpstream));
    expect_that!(bench.runs(2), eq(0));
}

/// Guards against callers that wait for ever for an upstream that never answers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_never_answers_ends_with_the_deadline() {
    let bench = Bench::start().await;
    let caller = bench.connect(None).await;
    bench.upstream().set_fault(UpstreamFault::Frozen);
    let began = Instant::now();
    let answer = caller
        .call(&bench.call(WorkKind::Reservation, 1, 300))
        .await;
    expect_that!(answer.code, eq(ResultCode::UnknownDeadline));
    expect_that!(began.elapsed(), lt(Duration::from_millis(700)));
}

/// Guards against garbage that is passed on as an answer or taken for "not run".
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn garbage_is_never_an_answer() {
    let bench = Bench::start().await;
    let caller = bench.connect(None).await;
    let call = bench.call(WorkKind::Reservation, 1, 2000);
    let (answer, ()) = tokio::join!(caller.call(&call), async {
        tokio::time::sleep(UNDER_WAY).await;
        bench.upstream().set_fault(UpstreamFault::Garbage);
    });
    expect_that!(answer.code.ran(), eq(Ran::Unknown), "{:?}", answer.code);
    expect_that!(answer.data, is_empty());
    expect_that!(bench.runs(1), eq(1));
}

/// Guards against shed work that is reported as unknown or run later.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn shed_work_is_not_run_and_stays_so() {
    let bench = Bench::start().await;
    let caller = bench.connect(None).await;
    bench.upstream().set_slots(SlotCount(0));
    let call = bench.call(WorkKind::Reservation, 1, 2000);
    let sequence = caller.next_sequence();
    let answer = caller.call_with_sequence(sequence, &call, false).await;
    expect_that!(answer.code, eq(ResultCode::NotRunShed));
    bench.upstream().set_slots(SlotCount(2));
    let retried = caller.call_with_sequence(sequence, &call, true).await;
    expect_that!(retried.code, eq(ResultCode::NotRunShed));
    expect_that!(bench.runs(1), eq(0));
    let fresh = caller
        .call(&bench.call(WorkKind::Reservation, 2, 2000))
        .await;
    expect_that!(fresh.code, eq(ResultCode::Ok));
}

/// Guards against false reports of the upstream that stop its work.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_reports_failure_but_works_is_used() {
    let bench = Bench::start().await;
    bench.upstream().set_reports(Reports::AlwaysFailed);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let caller = bench.connect(None).await;
    let answer = caller.call(&bench.call(WorkKind::Sheet, 1, 2000)).await;
    expect_that!(answer.code, eq(ResultCode::Ok));
}

/// Guards against cancelled work that goes on at the upstream and keeps its slot.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_call_is_cancelled_at_the_upstream() {
    let bench = Bench::start().await;
    let caller = bench.connect(None).await;
    for work_id in [1, 2] {
        let call = bench.call(WorkKind::Reservation, work_id, 2000);
        let cancelled = tokio::time::timeout(UNDER_WAY, caller.call(&call)).await;
        expect_true!(cancelled.is_err());
    }
    let answer = caller.call(&bench.call(WorkKind::Sheet, 3, 2000)).await;
    expect_that!(answer.code, eq(ResultCode::Ok));
    expect_that!(bench.upstream().counts().cancelled, eq(2));
    expect_that!(bench.upstream().counts().completed, eq(1));
}
