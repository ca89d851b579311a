//! Retry budget, deadlines and random delays of retries.

use googletest::prelude::*;
use hawthorntide_admission::{DEFAULT_RETRY_BUDGET, RetryAttempt, RetryBudget};
use hawthorntide_types::{DurationMs, PerMille, TimeMs};

fn attempt(idempotent: bool, deadline: TimeMs) -> RetryAttempt {
    RetryAttempt {
        idempotent,
        retries: 0,
        deadline,
        expected_ms: DurationMs(10),
    }
}

/// Returns the number and the delays of retries when 1,000 requests per second all fail for 10 s.
fn retries_under_failure(budget: &mut RetryBudget) -> (u32, Vec<u64>) {
    let mut delays = Vec::new();
    let mut sent = 0;
    for now in (0..10_000).map(TimeMs) {
        budget.record_request(now);
        if let Some(at) = budget.schedule_retry(now, attempt(true, now + DurationMs(1000))) {
            sent += 1;
            delays.push(at.since(now).get());
        }
    }
    (sent, delays)
}

/// Guards against a retry storm when all requests fail, and against synchronized retries.
#[gtest]
fn retries_stay_within_a_tenth_of_the_requests_and_are_spread() {
    let mut budget = RetryBudget::new(DEFAULT_RETRY_BUDGET, 1);
    let (sent, delays) = retries_under_failure(&mut budget);
    expect_that!(sent, all![ge(990), le(1001)]);
    expect_that!(delays.iter().min(), some(le(&1)));
    expect_that!(delays.iter().max(), some(ge(&19)));
}

/// Guards against a burst of retries with tokens that were added long ago.
#[gtest]
fn unused_tokens_expire() {
    let mut budget = RetryBudget::new(DEFAULT_RETRY_BUDGET, 1);
    for now in (0..10_000).map(TimeMs) {
        budget.record_request(now);
    }
    let later = TimeMs(3_600_000);
    let allowed = (0..100).filter(|_| {
        budget
            .schedule_retry(later, attempt(true, later + DurationMs(1000)))
            .is_some()
    });
    expect_that!(allowed.count(), eq(1));
}

/// Guards against retries of work that is not idempotent, past the deadline, or without a budget.
#[gtest]
fn retries_need_idempotent_work_time_and_a_budget() {
    let now = TimeMs(1000);
    let mut budget = RetryBudget::new(DEFAULT_RETRY_BUDGET, 1);
    expect_that!(
        budget.schedule_retry(now, attempt(false, TimeMs(9000))),
        none()
    );
    expect_that!(
        budget.schedule_retry(now, attempt(true, TimeMs(1010))),
        none()
    );
    expect_that!(
        budget.schedule_retry(now, attempt(true, TimeMs(9000))),
        some(anything())
    );
    let mut none_allowed = RetryBudget::new(PerMille(0), 1);
    none_allowed.record_request(now);
    expect_that!(
        none_allowed.schedule_retry(now, attempt(true, TimeMs(9000))),
        none()
    );
}
