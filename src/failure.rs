//! Error type of the commands.

use displaydoc::Display;
use hawthorntide_types::ResultCode;

/// {message} ({code})
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) struct Failure {
    /// Result code of the command and exit code of the process.
    pub(crate) code: ResultCode,
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
