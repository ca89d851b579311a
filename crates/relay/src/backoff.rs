//! Pauses between failed calls of the platform store.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

/// Longest first pause.
const FIRST_PAUSE_MS: u64 = 250;

/// Longest pause: a process is back in touch within two seconds of the store's return.
const MAX_PAUSE_MS: u64 = 1_600;

/// Pauses that double, with jitter, so that the processes of a deployment spread their calls.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Waits after a failed call.
    pub(crate) async fn pause(&mut self) {
        let longest_ms = (FIRST_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        let pause_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Notes a call that was answered.
    pub(crate) const fn reset(&mut self) {
        self.failures = 0;
    }
}
