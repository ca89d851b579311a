//! Retry budget for idempotent work.

use hawthorntide_types::{DurationMs, PerMille, TimeMs};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Fraction of the recent requests that may be retried unless the profile sets another one.
pub const DEFAULT_RETRY_BUDGET: PerMille = PerMille(100);
/// Number of seconds whose requests count as recent.
const WINDOW_SECONDS: usize = 10;
/// Maximum delay before the first retry; it doubles with each further one.
const BASE_BACKOFF_MS: u64 = 20;
/// Maximum delay before any retry.
const MAX_BACKOFF_MS: u64 = 1000;
/// Thousandths of a token that one retry costs.
const MILLI_PER_RETRY: u64 = 1000;

/// Request that may be retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryAttempt {
    /// Whether running the work twice has the same effect as running it once.
    pub idempotent: bool,
    /// Retries of this request so far.
    pub retries: u32,
    /// Time by which the answer must be complete.
    pub deadline: TimeMs,
    /// Expected duration of one attempt.
    pub expected_ms: DurationMs,
}

/// Token bucket that limits retries to a fraction of the recent requests and delays them randomly.
///
/// Each request adds a fraction of a token. The bucket holds at most the tokens added by the
/// requests of the last ten seconds, but always room for one, so that a caller with few requests
/// can retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    budget_per_mille: PerMille,
    milli_tokens: u64,
    requests_by_second: [u64; WINDOW_SECONDS],
    second: u64,
    random: ChaCha8Rng,
}

impl RetryBudget {
    /// Creates a budget; `seed` determines the random delays.
    pub fn new(budget_per_mille: PerMille, seed: u64) -> Self {
        Self {
            budget_per_mille,
            milli_tokens: if budget_per_mille.get() == 0 {
                0
            } else {
                MILLI_PER_RETRY
            },
            requests_by_second: [0; WINDOW_SECONDS],
            second: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records a request that is not a retry.
    pub fn record_request(&mut self, now: TimeMs) {
        self.advance(now);
        self.requests_by_second[self.second as usize % WINDOW_SECONDS] += 1;
        self.milli_tokens += u64::from(self.budget_per_mille.get());
        self.cap_tokens();
    }

    /// Returns when to send the retry and spends a token, or `None` if it must not be sent.
    pub fn schedule_retry(&mut self, now: TimeMs, attempt: RetryAttempt) -> Option<TimeMs> {
        if !attempt.idempotent {
            return None;
        }
        self.advance(now);
        self.cap_tokens();
        if self.milli_tokens < MILLI_PER_RETRY {
            return None;
        }
        let factor = 1_u64 << attempt.retries.min(16);
        let max_backoff_ms = (BASE_BACKOFF_MS * factor).min(MAX_BACKOFF_MS);
        let at = now + DurationMs(self.random.random_range(0..=max_backoff_ms));
        if at + attempt.expected_ms >= attempt.deadline {
            return None;
        }
        self.milli_tokens -= MILLI_PER_RETRY;
        Some(at)
    }

    fn advance(&mut self, now: TimeMs) {
        let second = now.get() / 1000;
        let elapsed = second
            .saturating_sub(self.second)
            .min(WINDOW_SECONDS as u64);
        for step in 0..elapsed {
            self.requests_by_second[(second - step) as usize % WINDOW_SECONDS] = 0;
        }
        self.second = self.second.max(second);
    }

    fn cap_tokens(&mut self) {
        let recent: u64 = self.requests_by_second.iter().sum();
        let max_milli_tokens = recent * u64::from(self.budget_per_mille.get());
        self.milli_tokens = self.milli_tokens.min(max_milli_tokens.max(MILLI_PER_RETRY));
    }
}
