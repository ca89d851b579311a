//! Command `check`: validates settings files, profiles and services.

use std::path::{Path, PathBuf};

use hawthorntide_configuration::{
    Catalog, SettingsProblem, check_profile, check_service_file, load_settings,
};
use hawthorntide_types::ResultCode;

use crate::cli::CheckArguments;

/// Kind of a file. `load_settings` reads the file itself, so `Settings` carries no text.
enum FileKind {
    Profile(String),
    Service(String),
    Settings,
}

/// Prints all problems and returns the result code of the first.
pub(crate) fn run(arguments: &CheckArguments) -> ResultCode {
    let mut code = ResultCode::Ok;
    for problem in check_all(&arguments.files) {
        eprintln!("{problem} ({})", problem.code);
        if code == ResultCode::Ok {
            code = problem.code;
        }
    }
    code
}

/// Validates all files. Services are also checked against each other and, if profiles are given,
/// against these.
fn check_all(files: &[PathBuf]) -> Vec<SettingsProblem> {
    let mut catalog = Catalog::default();
    let mut problems = Vec::new();
    let mut services = Vec::new();
    for path in files {
        let file = path.display().to_string();
        match classify(path) {
            FileKind::Profile(text) => match check_profile(&text, &file) {
                Ok(profile) => catalog.profiles.push(profile),
                Err(found) => problems.extend(found),
            },
            FileKind::Service(text) => services.push((file, text)),
            FileKind::Settings => problems.extend(load_settings(path).err().unwrap_or_default()),
        }
    }
    let has_profiles = !catalog.profiles.is_empty();
    for (file, text) in services {
        let known_catalog = has_profiles.then_some(&catalog);
        match check_service_file(&text, &file, known_catalog) {
            Ok(service) => catalog.services.push(service),
            Err(found) => problems.extend(found),
        }
    }
    problems
}

/// Classifies a file by its keys: profiles have `work`, services have `addresses`. Any other file,
/// also an unreadable one, is taken for a settings file.
fn classify(path: &Path) -> FileKind {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    if text.contains("\"work\"") {
        FileKind::Profile(text)
    } else if text.contains("\"addresses\"") {
        FileKind::Service(text)
    } else {
        FileKind::Settings
    }
}
