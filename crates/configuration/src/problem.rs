//! Problems of settings files.

use displaydoc::Display;
use hawthorntide_types::ResultCode;

/// {file}:{line}: {field}: {accepted}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct SettingsProblem {
    /// File in which the problem is.
    pub file: String,
    /// Line, starting at 1.
    pub line: usize,
    /// Path of the field; empty when the file as a whole is meant.
    pub field: String,
    /// What is accepted.
    pub accepted: String,
    /// Result code of the problem.
    pub code: ResultCode,
}

impl std::error::Error for SettingsProblem {}

impl SettingsProblem {
    /// Reports a file that cannot be read or parsed.
    pub(crate) fn unreadable(file: &str, line: usize, reason: impl ToString) -> Self {
        Self {
            file: file.to_owned(),
            line,
            field: "file".to_owned(),
            accepted: reason.to_string(),
            code: ResultCode::SettingsUnreadable,
        }
    }
}
