//! Command `check --routes`: checks a configuration of opaque flows before it is sent.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use hawthorntide_platform::{Finding, PlatformStore, Severity, check_routes};
use hawthorntide_store::{Collection, Freshness, ObjectStore, StoreError, StoreOptions};
use hawthorntide_types::ResultCode;
use serde::Serialize;

use crate::cli::CheckArguments;
use crate::failure::Failure;
use crate::output::{OutputFormat, print_json, print_text};

/// Exit code if the most severe finding is a warning.
const WARNINGS_CODE: u8 = 1;

/// Exit code if there is an error.
const ERRORS_CODE: u8 = 2;

/// Finding as printed in JSON.
#[derive(Debug, Serialize)]
struct FindingRow {
    severity: Severity,
    file: String,
    line: Option<usize>,
    column: Option<usize>,
    text: String,
}

/// Prints all findings and returns the exit code of the most severe.
pub(crate) async fn run(
    path: &Path,
    arguments: &CheckArguments,
    format: OutputFormat,
) -> Result<ExitCode, Failure> {
    let text = read_file(path)?;
    let in_force = match (&arguments.in_force, arguments.store) {
        (Some(path), _) => Some(read_file(path)?),
        (None, Some(address)) => read_store(address).await?,
        (None, None) => None,
    };
    let findings = check_routes(&text, in_force.as_deref());
    let file = path.display().to_string();
    match format {
        OutputFormat::Json => {
            let rows: Vec<_> = findings.iter().map(|it| row(it, &file)).collect();
            print_json(&rows)?;
        }
        OutputFormat::Table => {
            for finding in &findings {
                print_text(&line(finding, &file))?;
            }
        }
    }
    Ok(match findings.iter().map(Finding::severity).max() {
        None | Some(Severity::Information) => ExitCode::SUCCESS,
        Some(Severity::Warning) => ExitCode::from(WARNINGS_CODE),
        Some(Severity::Error) => ExitCode::from(ERRORS_CODE),
    })
}

fn row(finding: &Finding, file: &str) -> FindingRow {
    FindingRow {
        severity: finding.severity(),
        file: file.to_owned(),
        line: finding.place.map(|place| place.line),
        column: finding.place.map(|place| place.column),
        text: finding.kind.to_string(),
    }
}

fn line(finding: &Finding, file: &str) -> String {
    let (severity, kind) = (finding.severity(), &finding.kind);
    match finding.place {
        Some(place) => format!("{file}:{place}: {severity}: {kind}"),
        None => format!("{file}: {severity}: {kind}"),
    }
}

fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot read {}: {error}", path.display());
        Failure::new(ResultCode::SettingsUnreadable, message)
    })
}

/// Reads the configuration in force; `None` if the store has none.
async fn read_store(address: SocketAddr) -> Result<Option<String>, Failure> {
    let failure = |error: StoreError| {
        let message = format!("cannot read the configuration in force at {address}: {error}");
        Failure::new(ResultCode::Unreachable, message)
    };
    let options = StoreOptions::default();
    let store = ObjectStore::open_with(address, options, Arc::new(PlatformStore));
    let store = store.map_err(failure)?;
    let listing = store.list_collection(Collection::Configuration, Freshness::Current);
    let mut listing = listing.await.map_err(failure)?;
    let latest = listing.objects.pop();
    if latest.is_none() && !listing.is_complete {
        return Err(failure(StoreError::Malformed));
    }
    Ok(latest.map(|object| object.value))
}
