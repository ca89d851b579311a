//! Command `check`: checks settings files, profiles and services.

use std::path::Path;

use hawthorntide_configuration::{SettingsProblem, check_profile, check_service_file, open};
use hawthorntide_types::ResultCode;

use crate::cli::CheckArguments;

/// Prints every problem; the code is that of the first one.
pub(crate) fn run(arguments: &CheckArguments) -> ResultCode {
    let mut code = ResultCode::Ok;
    for file in &arguments.files {
        for problem in check(file) {
            eprintln!("{problem} ({})", problem.code);
            if code == ResultCode::Ok {
                code = problem.code;
            }
        }
    }
    code
}

/// A file with `work` is a profile, one with `addresses` a service, any other a settings file.
fn check(path: &Path) -> Vec<SettingsProblem> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let problems = if has_field(&text, "work") {
        check_profile(&text, &file).map(|_| ()).err()
    } else if has_field(&text, "addresses") {
        check_service_file(&text, &file, None).map(|_| ()).err()
    } else {
        open(path).map(|_| ()).err()
    };
    problems.unwrap_or_default()
}

fn has_field(text: &str, field: &str) -> bool {
    text.contains(&format!("\"{field}\""))
}
