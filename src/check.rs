//! Command `check`: checks settings files, profiles and services.

use std::path::{Path, PathBuf};

use hawthorntide_configuration::{
    Catalog, SettingsProblem, check_profile, check_service_file, load_settings,
};
use hawthorntide_types::ResultCode;

use crate::cli::CheckArguments;

/// What a file describes.
enum Content {
    Profile(String),
    Service(String),
    Settings,
}

/// Prints every problem; the code is that of the first one.
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

/// Checks services against each other and, when profiles are given, against these.
fn check_all(files: &[PathBuf]) -> Vec<SettingsProblem> {
    let mut catalog = Catalog::default();
    let mut problems = Vec::new();
    let mut services = Vec::new();
    for path in files {
        let file = path.display().to_string();
        match content(path) {
            Content::Profile(text) => match check_profile(&text, &file) {
                Ok(profile) => catalog.profiles.push(profile),
                Err(found) => problems.extend(found),
            },
            Content::Service(text) => services.push((file, text)),
            Content::Settings => problems.extend(load_settings(path).err().unwrap_or_default()),
        }
    }
    let has_profiles = !catalog.profiles.is_empty();
    for (file, text) in services {
        let catalog_of_call = has_profiles.then_some(&catalog);
        match check_service_file(&text, &file, catalog_of_call) {
            Ok(service) => catalog.services.push(service),
            Err(found) => problems.extend(found),
        }
    }
    problems
}

/// A file with `work` is a profile, one with `addresses` a service, any other a settings file.
fn content(path: &Path) -> Content {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    if text.contains("\"work\"") {
        Content::Profile(text)
    } else if text.contains("\"addresses\"") {
        Content::Service(text)
    } else {
        Content::Settings
    }
}
