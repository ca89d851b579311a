//! Behaviour of the admission machine for single events.

mod common;

use common::{Driver, profile};
use googletest::prelude::*;
use hawthorntide_admission::{AdmissionAction, AdmissionEvent, Completion, RequestId};
use hawthorntide_types::{DurationMs, ResultCode, WorkKind};

/// Guards against more concurrent work than the upstream has slots.
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

/// Guards against a "not run" answer for work that went to the upstream.
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

/// Guards against starting work whose answer would come too late.
#[gtest]
fn work_that_cannot_meet_its_deadline_is_not_started() {
    let mut driver = Driver::new(profile(), 1);
    driver.arrive(0, WorkKind::Sheet);
    driver.pass(100);
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

/// Guards against a slot that is given away while its cancelled call still runs.
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

/// Guards against a profile half that changes back and forth around the target.
#[gtest]
fn the_crowded_half_stays_until_the_delay_was_low_for_two_seconds() {
    let mut driver = Driver::new(profile(), 1);
    driver.arrive(0, WorkKind::Sheet);
    driver.arrive(1, WorkKind::Sheet);
    driver.pass(400);
    expect_false!(driver.machine.is_crowded());
    driver.pass(100);
    expect_true!(driver.machine.is_crowded());
    driver.finish(0);
    driver.finish(1);
    driver.pass(500);
    driver.pass(500);
    driver.pass(500);
    driver.pass(400);
    expect_true!(driver.machine.is_crowded());
    driver.pass(600);
    driver.pass(500);
    expect_false!(driver.machine.is_crowded());
}

/// Guards against a storm of starts at an upstream that sheds everything.
#[gtest]
fn an_upstream_that_sheds_everything_is_probed_slowly() {
    let mut driver = Driver::new(profile(), 4);
    let mut starts = 0;
    let mut next = 0;
    for _ in 0..1000 {
        let actions = driver.pass(10);
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

/// Sheds what is started until nothing is; returns the number of starts.
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

/// Guards against a window that stays small after the upstream recovered.
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
    driver.pass(1000);
    for id in 5..=6 {
        driver.arrive(id, WorkKind::Sheet);
    }
    expect_that!(driver.machine.load().in_flight, eq(4));
}

/// Guards against streams without limit and against streams that take slots.
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

/// Guards against an estimate that refuses all work for good after one slow answer.
#[gtest]
fn a_high_estimate_ages_without_observations() {
    let mut driver = Driver::new(profile(), 1);
    driver.arrive(0, WorkKind::Sheet);
    driver.pass(5000);
    driver.finish(0);
    expect_that!(
        driver.arrive(1, WorkKind::Sheet),
        elements_are![eq(&AdmissionAction::Refuse {
            id: RequestId(1),
            code: ResultCode::NotRunDeadline,
        })]
    );
    driver.pass(4000);
    expect_that!(
        driver.arrive(2, WorkKind::Sheet),
        elements_are![matches_pattern!(AdmissionAction::Start { .. })]
    );
}
