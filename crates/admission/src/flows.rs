//! Limit on new flows.

use hawthorntide_types::{RatePerSecond, TimeMs};

/// Thousandths of a flow.
const MILLI: u64 = 1000;

/// Token bucket that holds the flows of one second.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowLimit {
    milli_tokens: u64,
    updated: Option<TimeMs>,
}

impl FlowLimit {
    /// Takes one flow if the rate allows it.
    pub(crate) fn take(&mut self, now: TimeMs, rate: RatePerSecond) -> bool {
        let whole = u64::from(rate.get()) * MILLI;
        let earned = match self.updated {
            Some(updated) => now
                .since(updated)
                .get()
                .saturating_mul(u64::from(rate.get())),
            None => whole,
        };
        self.updated = Some(self.updated.map_or(now, |updated| updated.max(now)));
        self.milli_tokens = self.milli_tokens.saturating_add(earned).min(whole);
        if self.milli_tokens < MILLI {
            return false;
        }
        self.milli_tokens -= MILLI;
        true
    }
}
