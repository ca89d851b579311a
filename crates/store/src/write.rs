//! Outcome of a conditional write.

use hawthorntide_types::{ResultCode, Version};

use crate::object::{StoredObject, WriteId};

/// What is known about a conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and made this version.
    Accepted(Version),
    /// The write did not take effect, since the object has another version.
    Conflict {
        /// Object as it is; absent when it does not exist.
        theirs: Option<StoredObject>,
    },
    /// The write did not take effect and never will.
    NotAccepted,
    /// The write may have taken effect or may yet do so.
    Open {
        /// Identifies the write when its outcome is asked for again.
        write_id: WriteId,
    },
}

impl WriteOutcome {
    /// Returns the result code of the outcome.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Accepted(_) => ResultCode::Ok,
            Self::Conflict { .. } => ResultCode::Conflict,
            Self::NotAccepted => ResultCode::NotAccepted,
            Self::Open { .. } => ResultCode::OutcomeOpen,
        }
    }
}

/// What became of an object that was to be removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// The store does not have it any more.
    Gone,
    /// It has another version and stays.
    Changed,
}
