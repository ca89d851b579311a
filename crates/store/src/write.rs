//! Outcomes of conditional writes and removals.

use hawthorntide_types::{ResultCode, Version};

use crate::object::{StoredObject, WriteId};

/// Outcome of a conditional write, as far as the client knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Accepted(Version),
    /// The write did not take effect, because the object has another version than expected.
    Conflict {
        /// Current object, or `None` if it does not exist.
        theirs: Option<StoredObject>,
    },
    /// The write did not take effect and never will.
    NotAccepted,
    /// The response was lost: the write may have taken effect, or may take effect later.
    Open {
        /// Identifies the write in a later query of its outcome.
        write_id: WriteId,
    },
}

impl WriteOutcome {
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Accepted(_) => ResultCode::Ok,
            Self::Conflict { .. } => ResultCode::Conflict,
            Self::NotAccepted => ResultCode::NotAccepted,
            Self::Open { .. } => ResultCode::OutcomeOpen,
        }
    }

    /// Returns the object as the store has it after a write of `written`, if the outcome shows it.
    pub fn current(&self, written: StoredObject) -> Option<StoredObject> {
        match self {
            Self::Accepted(version) => Some(StoredObject {
                version: *version,
                ..written
            }),
            Self::Conflict { theirs } => theirs.clone(),
            Self::NotAccepted | Self::Open { .. } => None,
        }
    }
}

/// Outcome of a conditional removal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// The object no longer exists.
    Gone,
    /// The object has another version than expected and was kept.
    Changed,
}
