//! Faults of the store that are switched at run time, and the counts of its calls.

use std::sync::Arc;

use hawthorntide_types::{DurationMs, PerMille, RatePerSecond, Version};

use super::state::Shared;

/// Faults of the store; the default is a store without faults.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// Connections are refused and open ones are closed.
    pub is_down: bool,
    /// Time by which each answer is late.
    pub delay_ms: DurationMs,
    /// Answers to writes that are lost after the write took effect.
    pub lost_answers_per_mille: PerMille,
    /// Watches are closed without an answer.
    pub are_watches_closed: bool,
    /// Time by which watches learn of changes late.
    pub event_delay_ms: DurationMs,
    /// Calls per second that are answered; more are refused.
    pub call_limit: Option<RatePerSecond>,
}

/// Calls that the store received; a waiting watch counts once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of one object.
    pub get: u64,
    /// Lists.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Watches.
    pub watch: u64,
    /// Calls refused because of the call limit.
    pub limited: u64,
}

impl CallCounts {
    /// Returns all calls.
    pub const fn total(&self) -> u64 {
        self.get + self.list + self.put + self.watch + self.limited
    }
}

/// Switches faults of a running store and reads its counts.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    shared: Arc<Shared>,
}

impl StoreHandle {
    pub(super) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> StoreFaults {
        self.shared.faults()
    }

    /// Loses the answers to the next `count` writes that take effect.
    pub fn lose_next_answers(&self, count: u32) {
        self.shared.lock().lose_next_answers = count;
    }

    /// Returns the calls received so far.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts
    }

    /// Returns the present revision of the store.
    pub fn revision(&self) -> Version {
        self.shared.lock().revision
    }
}
