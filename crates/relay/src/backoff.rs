//! Backoff after failed calls of the platform store.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

const MAX_FIRST_PAUSE_MS: u64 = 250;

/// With this limit, a process reaches the store within two seconds of its recovery.
const MAX_PAUSE_MS: u64 = 1_600;

/// Exponential backoff. Jitter spreads the calls of the processes of a deployment.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Sleeps after a failed call.
    pub(crate) async fn pause(&mut self) {
        let longest_ms = (MAX_FIRST_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        let pause_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Restarts with the shortest pause, after a successful call.
    pub(crate) const fn reset(&mut self) {
        self.failures = 0;
    }
}
