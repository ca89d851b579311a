//! Retry budget and backoff.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Deposited for each call, in thousandths of a token: in the long run, 10 % of the calls may be
/// retried.
const TOKENS_PER_CALL_MILLI: u32 = 100;
const RETRY_COST_MILLI: u32 = 1000;
const MAX_TOKENS_MILLI: u32 = 10 * RETRY_COST_MILLI;
/// Upper bound of the pause before the first retry; it doubles with each further retry.
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 1000;

/// Limits retries to a fraction of the calls, so that retries do not prolong an outage of the
/// store.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens_milli: u32,
    random: ChaCha8Rng,
}

impl RetryBudget {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            tokens_milli: MAX_TOKENS_MILLI,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn deposit(&mut self) {
        self.tokens_milli = (self.tokens_milli + TOKENS_PER_CALL_MILLI).min(MAX_TOKENS_MILLI);
    }

    /// Withdraws one retry and returns the backoff before it, or `None` if the budget is exhausted.
    pub(crate) fn try_withdraw(&mut self, attempt: u32) -> Option<Duration> {
        self.tokens_milli = self.tokens_milli.checked_sub(RETRY_COST_MILLI)?;
        Some(self.backoff(attempt))
    }

    fn backoff(&mut self, attempt: u32) -> Duration {
        let longest_ms = (INITIAL_BACKOFF_MS << attempt.min(16)).min(MAX_BACKOFF_MS);
        Duration::from_millis(self.random.random_range(longest_ms / 4..=longest_ms))
    }
}
