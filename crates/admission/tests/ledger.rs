//! Memory limits and expiry of the request ledger.

use bytes::Bytes;
use googletest::prelude::*;
use hawthorntide_admission::{Disposition, Ledger, LedgerLimits, OpenError, Outcome};
use hawthorntide_types::{DurationMs, Epoch, ResultCode, Sequence, SessionId, TimeMs};

const EPOCH: Epoch = Epoch(7);
const SESSION: SessionId = SessionId(1);

fn ledger(limits: LedgerLimits) -> Ledger {
    let mut ledger = Ledger::new(EPOCH, limits);
    ledger
        .open(TimeMs(0), SESSION)
        .expect("the ledger is empty");
    ledger
}

fn complete(ledger: &mut Ledger, session: SessionId, sequence: u64, answer: &'static [u8]) {
    let sequence = Sequence(sequence);
    let begin = ledger.begin(TimeMs(0), session, EPOCH, sequence);
    assert_eq!(begin, Disposition::Run);
    assert!(ledger.mark_dispatched(session, sequence));
    let outcome = Outcome {
        code: ResultCode::Ok,
        answer: Some(Bytes::from_static(answer)),
    };
    assert!(ledger.finish(session, sequence, outcome));
}

/// Guards against unbounded memory of stored answers, and against running a request again after its
/// answer was evicted.
#[gtest]
fn evicted_answers_leave_their_requests_done() {
    let mut ledger = ledger(LedgerLimits {
        answer_bytes: 1000,
        ..LedgerLimits::default()
    });
    for sequence in 1..=60 {
        complete(&mut ledger, SESSION, sequence, &[0; 100]);
        expect_that!(ledger.answer_bytes(), le(1000));
    }
    expect_that!(
        ledger.begin(TimeMs(0), SESSION, EPOCH, Sequence(1)),
        eq(&Disposition::Done(Outcome {
            code: ResultCode::Ok,
            answer: None,
        }))
    );
    expect_that!(
        ledger.begin(TimeMs(0), SESSION, EPOCH, Sequence(60)),
        eq(&Disposition::Done(Outcome {
            code: ResultCode::Ok,
            answer: Some(Bytes::from_static(&[0; 100])),
        }))
    );
}

/// Guards against evicting connected sessions under a flood of connections.
#[gtest]
fn only_disconnected_sessions_are_evicted() {
    let mut ledger = ledger(LedgerLimits {
        sessions: 2,
        ..LedgerLimits::default()
    });
    expect_that!(ledger.open(TimeMs(0), SessionId(2)), ok(eq(())));
    expect_that!(
        ledger.open(TimeMs(0), SessionId(3)),
        err(eq(OpenError::Full))
    );
    ledger.detach(TimeMs(0), SESSION);
    expect_that!(ledger.open(TimeMs(0), SessionId(3)), ok(eq(())));
    expect_that!(
        ledger.begin(TimeMs(0), SESSION, EPOCH, Sequence(1)),
        eq(&Disposition::Unknown(ResultCode::UnknownTooOld))
    );
}

/// Guards against sessions that expire while connected, or never expire once disconnected.
#[gtest]
fn idle_sessions_expire_once_disconnected() {
    let limits = LedgerLimits {
        idle_ms: DurationMs(1000),
        ..LedgerLimits::default()
    };
    let mut ledger = ledger(limits);
    ledger.expire(TimeMs(10_000));
    expect_that!(ledger.session_count(), eq(1));
    ledger.detach(TimeMs(10_000), SESSION);
    ledger.expire(TimeMs(10_999));
    expect_that!(ledger.session_count(), eq(1));
    ledger.expire(TimeMs(12_000));
    expect_that!(ledger.session_count(), eq(0));
    expect_that!(
        ledger.begin(TimeMs(12_000), SESSION, EPOCH, Sequence(1)),
        eq(&Disposition::Unknown(ResultCode::UnknownTooOld))
    );
}

/// Guards against taking a session of an earlier process of the agent for one of the current
/// process.
#[gtest]
fn another_epoch_is_unknown() {
    let mut ledger = ledger(LedgerLimits::default());
    expect_false!(ledger.resume(TimeMs(0), SESSION, Epoch(6)));
    expect_that!(
        ledger.begin(TimeMs(0), SESSION, Epoch(6), Sequence(1)),
        eq(&Disposition::Unknown(ResultCode::UnknownAgentGone))
    );
}
