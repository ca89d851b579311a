//! Failure of a command.

use displaydoc::Display;
use hawthorntide_types::ResultCode;

/// {message} ({code})
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) struct Failure {
    /// Result code, which is the exit code as well.
    pub(crate) code: ResultCode,
    /// What failed.
    pub(crate) message: String,
}

impl Failure {
    pub(crate) fn new(code: ResultCode, message: impl ToString) -> Self {
        Self {
            code,
            message: message.to_string(),
        }
    }
}
