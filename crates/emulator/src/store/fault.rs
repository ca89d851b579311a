//! Faults of the emulated store, settable at run time, and its call counters.

use std::sync::Arc;

use hawthorntide_types::{DurationMs, PerMille, RatePerSecond, Revision};

use super::state::{Shared, StoreCopy};

/// Faults of the emulated store; none by default.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// Refuses new connections and closes open ones.
    pub is_down: bool,
    /// Delay before each call is processed.
    pub delay_ms: DurationMs,
    /// Share of successful writes whose response is lost.
    pub lost_answers_per_mille: PerMille,
    /// Closes the connections of watches without a response.
    pub are_watches_closed: bool,
    /// Delay before a change is reported to watches.
    pub event_delay_ms: DurationMs,
    /// Calls beyond this rate are refused with status 429.
    pub call_limit: Option<RatePerSecond>,
    pub era_header: EraHeader,
}

/// What the answers of the store report as its era.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum EraHeader {
    /// The era.
    #[default]
    Era,
    /// Nothing, like a store that does not count its eras.
    Missing,
    /// This text.
    Text(String),
}

/// Calls received by the store; a long-polling watch counts once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    pub get: u64,
    pub list: u64,
    /// Writes, including deletions.
    pub put: u64,
    pub watch: u64,
    /// Calls refused by the call limit, which count under no other field.
    pub limited: u64,
}

impl CallCounts {
    pub const fn total(&self) -> u64 {
        self.get + self.list + self.put + self.watch + self.limited
    }
}

/// Handle to inject faults into a running store and read its counters.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    shared: Arc<Shared>,
}

impl StoreHandle {
    pub(super) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.set_faults(faults);
    }

    pub fn faults(&self) -> StoreFaults {
        self.shared.faults()
    }

    /// Loses the responses to the next `count` successful writes.
    pub fn lose_next_answers(&self, count: u32) {
        self.shared.lock().lose_next_answers = count;
    }

    /// Silences all open connections for good, without closing them. New connections are served.
    pub fn silence_connections(&self) {
        self.shared.silence_connections();
    }

    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts
    }

    /// Current revision of the store.
    pub fn revision(&self) -> Revision {
        self.shared.lock().revision
    }

    /// Takes a copy of all objects and of the history.
    pub fn copy(&self) -> StoreCopy {
        self.shared.lock().copy()
    }

    /// Returns to a copy and starts the next era. All changes since are lost, and their revisions
    /// are given out again. Waiting watches are cut off.
    pub fn restore(&self, copy: &StoreCopy) {
        self.shared.lock().restore(copy);
        self.shared.notify_watches();
    }
}
