//! Position of a watch that is called in a loop.

use hawthorntide_types::{DurationMs, Version};

use crate::client::StoreError;

/// Next call of a watch loop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchStep {
    /// Lists the collection; the watch continues from the version of the listing.
    List,
    /// Waits up to `wait_ms` for changes after `from`.
    Watch { from: Version, wait_ms: DurationMs },
}

/// Position at which a watch continues.
///
/// After a failed call the store may have come back from a copy. The next watch then does not wait,
/// so that its answer tells at once whether it belongs to the same era.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WatchCursor {
    position: Option<Version>,
    /// The last call failed.
    is_interrupted: bool,
    /// No watch was answered since the store last had no history of the position.
    has_lost_history: bool,
}

impl WatchCursor {
    /// Returns the next call; a watch waits up to `wait_ms`.
    pub const fn next_step(&self, wait_ms: DurationMs) -> WatchStep {
        match self.position {
            None => WatchStep::List,
            Some(from) if self.is_interrupted => WatchStep::Watch {
                from,
                wait_ms: DurationMs(0),
            },
            Some(from) => WatchStep::Watch { from, wait_ms },
        }
    }

    /// Returns whether the last call failed.
    pub const fn is_interrupted(&self) -> bool {
        self.is_interrupted
    }

    /// Records a listing of `position`.
    pub const fn listed(&mut self, position: Version) {
        self.position = Some(position);
        self.is_interrupted = false;
    }

    /// Records an answer to a watch, which continues at `position`.
    pub const fn watched(&mut self, position: Version) {
        self.listed(position);
        self.has_lost_history = false;
    }

    /// Records a failed call; returns whether to pause before the next one. A store that has no history
    /// of its own listings must not be called in a busy loop.
    pub const fn failed(&mut self, error: StoreError) -> bool {
        match error {
            StoreError::RevisionGone => {
                self.restart();
                std::mem::replace(&mut self.has_lost_history, true)
            }
            StoreError::Unavailable | StoreError::Limited | StoreError::Malformed => {
                self.is_interrupted = true;
                true
            }
        }
    }

    /// Makes the next call list the collection again.
    pub const fn restart(&mut self) {
        self.position = None;
    }
}
