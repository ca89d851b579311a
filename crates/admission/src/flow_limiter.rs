//! Rate limit for new flows.

use hawthorntide_types::{RatePerSecond, TimeMs};

/// Thousandths of a token that one flow costs.
const MILLI_PER_FLOW: u64 = 1000;

/// Token bucket with a capacity of one second of the rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowRateLimiter {
    milli_tokens: u64,
    updated: Option<TimeMs>,
}

impl FlowRateLimiter {
    /// Takes the token for one flow; returns whether there was one.
    pub(crate) fn try_acquire(&mut self, now: TimeMs, rate: RatePerSecond) -> bool {
        let capacity = u64::from(rate.get()) * MILLI_PER_FLOW;
        let refill = match self.updated {
            Some(updated) => now
                .since(updated)
                .get()
                .saturating_mul(u64::from(rate.get())),
            None => capacity,
        };
        self.updated = Some(self.updated.map_or(now, |updated| updated.max(now)));
        self.milli_tokens = self.milli_tokens.saturating_add(refill).min(capacity);
        if self.milli_tokens < MILLI_PER_FLOW {
            return false;
        }
        self.milli_tokens -= MILLI_PER_FLOW;
        true
    }
}
