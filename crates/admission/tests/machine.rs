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
    let actions = driver.handle(AdmissionEvent::Arrive {
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
