//! Admission machine: queueing, cancellation, deadlines, crowding and load shedding.

mod common;

use common::{Driver, profile};
use googletest::prelude::*;
use hawthorntide_admission::{AdmissionAction, AdmissionEvent, Completion, RequestId};
use hawthorntide_types::{DurationMs, ResultCode, WorkKind};

/// Guards against more concurrent requests than the upstream has slots.
#[gtest]
fn work_beyond_the_slots_waits() {
    let mut driver = Driver::new(profile(), 2);
    let started: usize = (0..5)
        .map(|id| driver.arrive(id, WorkKind::Sheet).len())
        .sum();
    expect_that!(started, eq(2));
    expect_that!(driver.machine.load().waiting, eq(3));
    let actions = driver.finish(0);
    expect_that!(actions, len(eq(1)));
    expect_that!(driver.machine.load().in_flight, eq(2));
}

/// Guards against reporting "not run" for a request that was sent to the upstream.
#[gtest]
fn cancellation_reports_not_run_only_while_waiting() {
    let mut driver = Driver::new(profile(), 1);
    driver.arrive(0, WorkKind::Reservation);
    driver.arrive(1, WorkKind::Reservation);
    let waiting = driver.handle(AdmissionEvent::Cancelled { id: RequestId(1) });
    let running = driver.handle(AdmissionEvent::Cancelled { id: RequestId(0) });
    expect_that!(
        waiting,
        elements_are![eq(&AdmissionAction::Refuse {
            id: RequestId(1),
            code: ResultCode::NotRunCancelled,
        })]
    );
    expect_that!(
        running,
        elements_are![eq(&AdmissionAction::CancelUpstream {
            id: RequestId(0),
            code: ResultCode::UnknownCancelled,
        })]
    );
}

/// Guards against starting a request that would miss its deadline at the observed service time.
#[gtest]
fn work_that_cannot_meet_its_deadline_is_not_started() {
    let mut driver = Driver::new(profile(), 1);
    driver.arrive(0, WorkKind::Sheet);
    driver.advance(100);
    driver.finish(0);
    let actions = driver.handle(AdmissionEvent::Arrived {
        id: RequestId(1),
        kind: WorkKind::Sheet,
        deadline_ms: Some(DurationMs(50)),
    });
    expect_that!(
        actions,
        elements_are![eq(&AdmissionAction::Refuse {
            id: RequestId(1),
            code: ResultCode::NotRunDeadline,
        })]
    );
}

/// Guards against reusing the slot of a cancelled call before the call is closed.
#[gtest]
fn a_cancelled_call_keeps_its_slot_until_it_is_closed() {
    let mut driver = Driver::new(profile(), 1);
    driver.arrive(0, WorkKind::Sheet);
    driver.arrive(1, WorkKind::Sheet);
    let cancelled = driver.handle(AdmissionEvent::Cancelled { id: RequestId(0) });
    expect_that!(cancelled, len(eq(1)));
    let finished = driver.handle(AdmissionEvent::Finished {
        id: RequestId(0),
        completion: Completion::Cancelled,
    });
    expect_that!(finished, len(eq(1)));
}

/// Guards against flapping between calm and crowded when the delay is close to the target.
#[gtest]
fn crowding_ends_after_two_seconds_of_low_delay() {
    let mut driver = Driver::new(profile(), 1);
    driver.arrive(0, WorkKind::Sheet);
    driver.arrive(1, WorkKind::Sheet);
    driver.advance(400);
    expect_false!(driver.machine.is_crowded());
    driver.advance(100);
    expect_true!(driver.machine.is_crowded());
    driver.finish(0);
    driver.finish(1);
    driver.advance(500);
    driver.advance(500);
    driver.advance(500);
    driver.advance(400);
    expect_true!(driver.machine.is_crowded());
    driver.advance(600);
    driver.advance(500);
    expect_false!(driver.machine.is_crowded());
}

/// Guards against starting many requests at an upstream that sheds all of them, and against not
/// probing it any more.
#[gtest]
fn an_upstream_that_sheds_everything_is_probed_slowly() {
    let mut driver = Driver::new(profile(), 4);
    let mut starts = 0;
    let mut next = 0;
    for _ in 0..1000 {
        let actions = driver.advance(10);
        starts += shed_all(&mut driver, actions);
        for _ in 0..5 {
            next += 1;
            let actions = driver.arrive(next, WorkKind::Sheet);
            starts += shed_all(&mut driver, actions);
        }
    }
    expect_that!(starts, le(20));
    expect_that!(starts, ge(10));
}

/// Sheds each started request until none is started; returns the number of starts.
fn shed_all(driver: &mut Driver, actions: Vec<AdmissionAction>) -> usize {
    let mut starts = 0;
    let mut pending = actions;
    while let Some(action) = pending.pop() {
        if let AdmissionAction::Start { id, .. } = action {
            starts += 1;
            pending.extend(driver.handle(AdmissionEvent::Shed { id }));
        }
    }
    starts
}

/// Guards against a concurrency limit that stays low after the upstream has recovered.
#[gtest]
fn all_slots_are_used_again_after_the_shedding_ends() {
    let mut driver = Driver::new(profile(), 4);
    for id in 0..4 {
        driver.arrive(id, WorkKind::Sheet);
    }
    for id in 0..2 {
        driver.handle(AdmissionEvent::Shed { id: RequestId(id) });
    }
    driver.arrive(4, WorkKind::Sheet);
    expect_that!(driver.machine.load().in_flight, eq(2));
    driver.advance(1000);
    for id in 5..=6 {
        driver.arrive(id, WorkKind::Sheet);
    }
    expect_that!(driver.machine.load().in_flight, eq(4));
}

/// Guards against streams that take slots, and against streams without a rate limit.
#[gtest]
fn streams_take_no_slot_and_are_limited_by_their_rate() {
    let mut driver = Driver::new(profile(), 1);
    let mut started = 0;
    for id in 0..2000 {
        let actions = driver.arrive(id, WorkKind::Stream);
        started += usize::from(matches!(actions[..], [AdmissionAction::Start { .. }]));
    }
    expect_that!(started, eq(1000));
    expect_that!(driver.machine.load().in_flight, eq(0));
}

/// Guards against an estimate that refuses all requests forever after one slow answer.
#[gtest]
fn a_high_estimate_decays_without_samples() {
    let mut driver = Driver::new(profile(), 1);
    driver.arrive(0, WorkKind::Sheet);
    driver.advance(5000);
    driver.finish(0);
    expect_that!(
        driver.arrive(1, WorkKind::Sheet),
        elements_are![eq(&AdmissionAction::Refuse {
            id: RequestId(1),
            code: ResultCode::NotRunDeadline,
        })]
    );
    driver.advance(4000);
    expect_that!(
        driver.arrive(2, WorkKind::Sheet),
        elements_are![matches_pattern!(AdmissionAction::Start { .. })]
    );
}
