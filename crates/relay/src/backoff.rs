//! Backoff after failed calls of the platform store.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::time::timeout;

const MAX_FIRST_PAUSE_MS: u64 = 250;

/// With this limit, a process reaches the store within two seconds of its recovery.
const MAX_PAUSE_MS: u64 = 1_600;

/// Ends the pauses of all tasks of a process once the store answered one of them. A process that
/// starts while the store is unavailable serves no callers until several tasks have read from it.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreRecovery {
    answered: Arc<Notify>,
}

impl StoreRecovery {
    /// Reports that the store answers calls again.
    pub(crate) fn report(&self) {
        self.answered.notify_waiters();
    }
}

/// Exponential backoff. Jitter spreads the calls of the processes of a deployment.
#[derive(Debug)]
pub(crate) struct Backoff {
    failures: u32,
    recovery: StoreRecovery,
}

impl Backoff {
    pub(crate) const fn new(recovery: StoreRecovery) -> Self {
        Self {
            failures: 0,
            recovery,
        }
    }

    /// Sleeps after a failed call, at most until a call of another task is answered.
    pub(crate) async fn pause(&mut self) {
        let longest_ms = (MAX_FIRST_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        let pause_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
        let answered = self.recovery.answered.notified();
        // An elapsed timeout is the normal end of the pause.
        let _ = timeout(Duration::from_millis(pause_ms), answered).await;
    }

    /// Restarts with the shortest pause, after a successful call.
    pub(crate) fn reset(&mut self) {
        self.forget_failures();
        self.recovery.report();
    }

    /// Restarts with the shortest pause after a time without calls, in which the store may have
    /// recovered.
    pub(crate) const fn forget_failures(&mut self) {
        self.failures = 0;
    }
}
