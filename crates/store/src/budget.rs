//! Budget and pauses of retries.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Tokens that one call earns, in thousandths of a retry: at steady load 10 % of the calls may be retried.
const EARNED_PER_CALL_MILLI: u32 = 100;
/// Price of one retry in thousandths.
const PRICE_MILLI: u32 = 1000;
/// Most retries that may be saved up.
const MAX_SAVED_MILLI: u32 = 10 * PRICE_MILLI;
/// Longest pause before the first retry.
const FIRST_PAUSE_MS: u64 = 50;
/// Longest pause before any retry.
const MAX_PAUSE_MS: u64 = 1000;

/// Limits retries to a share of the calls, so that an outage of the store is not made longer by its callers.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved_milli: u32,
    random: ChaCha8Rng,
}

impl RetryBudget {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            saved_milli: MAX_SAVED_MILLI,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn earn(&mut self) {
        self.saved_milli = (self.saved_milli + EARNED_PER_CALL_MILLI).min(MAX_SAVED_MILLI);
    }

    /// Takes one retry; returns the pause before it, or nothing when the budget is used up.
    pub(crate) fn take(&mut self, attempt: u32) -> Option<Duration> {
        self.saved_milli = self.saved_milli.checked_sub(PRICE_MILLI)?;
        Some(self.pause(attempt))
    }

    fn pause(&mut self, attempt: u32) -> Duration {
        let longest_ms = (FIRST_PAUSE_MS << attempt.min(16)).min(MAX_PAUSE_MS);
        Duration::from_millis(self.random.random_range(longest_ms / 4..=longest_ms))
    }
}
