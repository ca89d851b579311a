//! Budget for retries of idempotent work.

use hawthorntide_types::{DurationMs, PerMille, TimeMs};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Part of the recent requests that may be retries unless a profile says otherwise.
pub const DEFAULT_RETRY_BUDGET: PerMille = PerMille(100);
/// Seconds that count as recent.
const RECENT_SECONDS: usize = 10;
/// Upper bound of the delay before the first retry.
const FIRST_DELAY_MS: u64 = 20;
/// Upper bound of the delay before any retry.
const LONGEST_DELAY_MS: u64 = 1000;
/// Thousandths of a retry.
const MILLI: u64 = 1000;

/// Request whose retry is considered.
#[derive(Clone, Copy, Debug)]
pub struct RetryAttempt {
    /// Whether running the work twice has the effect of running it once.
    pub idempotent: bool,
    /// Number of retries of this request so far.
    pub retries: u32,
    /// Time at which the answer has to be complete.
    pub deadline: TimeMs,
    /// Time that an attempt is expected to take.
    pub expected_ms: DurationMs,
}

/// Allows retries as a part of the recent rate of requests, spread in time.
///
/// Each request earns a part of a retry. Savings are limited to what the requests of the last ten
/// seconds earned, and to one retry at low rates, so that a quiet caller can retry at all.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    budget_per_mille: PerMille,
    saved_milli: u64,
    requests: [u64; RECENT_SECONDS],
    second: u64,
    random: ChaCha8Rng,
}

impl RetryBudget {
    /// Creates a budget; `seed` decides the delays.
    pub fn new(budget_per_mille: PerMille, seed: u64) -> Self {
        Self {
            budget_per_mille,
            saved_milli: if budget_per_mille.get() == 0 {
                0
            } else {
                MILLI
            },
            requests: [0; RECENT_SECONDS],
            second: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes in a request that is not a retry.
    pub fn record_request(&mut self, now: TimeMs) {
        self.advance(now);
        self.requests[self.second as usize % RECENT_SECONDS] += 1;
        self.saved_milli += u64::from(self.budget_per_mille.get());
        self.limit_savings();
    }

    /// Returns when to send a retry, or `None` when it must not be sent.
    pub fn schedule_retry(&mut self, now: TimeMs, attempt: RetryAttempt) -> Option<TimeMs> {
        if !attempt.idempotent {
            return None;
        }
        self.advance(now);
        self.limit_savings();
        if self.saved_milli < MILLI {
            return None;
        }
        let factor = 1_u64 << attempt.retries.min(16);
        let longest_ms = (FIRST_DELAY_MS * factor).min(LONGEST_DELAY_MS);
        let at = now + DurationMs(self.random.random_range(0..=longest_ms));
        if at + attempt.expected_ms >= attempt.deadline {
            return None;
        }
        self.saved_milli -= MILLI;
        Some(at)
    }

    fn advance(&mut self, now: TimeMs) {
        let second = now.get() / 1000;
        let passed = second
            .saturating_sub(self.second)
            .min(RECENT_SECONDS as u64);
        for step in 0..passed {
            self.requests[(second - step) as usize % RECENT_SECONDS] = 0;
        }
        self.second = self.second.max(second);
    }

    fn limit_savings(&mut self) {
        let recent: u64 = self.requests.iter().sum();
        let earned = recent * u64::from(self.budget_per_mille.get());
        self.saved_milli = self.saved_milli.min(earned.max(MILLI));
    }
}
