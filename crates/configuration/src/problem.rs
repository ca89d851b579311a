//! Problems found in settings, key, profile and service files.

use displaydoc::Display;
use hawthorntide_types::ResultCode;

/// {file}:{line}: {field}: {accepted}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct SettingsProblem {
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Dotted path of the field; `file` when the whole file is unreadable.
    pub field: String,
    /// Which values are accepted, or why the value was refused; text for operators.
    pub accepted: String,
    pub code: ResultCode,
}

impl std::error::Error for SettingsProblem {}

impl SettingsProblem {
    /// Creates the problem of a file that cannot be read or parsed.
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
