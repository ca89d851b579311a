//! What the commands of both roles share.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use hawthorntide_admin::install_metrics;
use hawthorntide_configuration::{LogSettings, SettingsProblem};
use hawthorntide_types::{Incarnation, ResultCode};
use tokio::runtime::Runtime;

use crate::failure::Failure;
use crate::logging;

/// Runs a process with its log and metrics until `serve` ends.
pub(crate) fn run(
    log: LogSettings,
    worker_count: usize,
    serve: impl Future<Output = Result<ResultCode, Failure>>,
) -> Result<ResultCode, Failure> {
    let log = logging::start(log)?;
    install_metrics();
    let runtime = runtime(worker_count)?;
    let code = runtime.block_on(serve);
    runtime.shutdown_background();
    log.shutdown();
    code
}

/// Runs a process on one thread, for VMs with less than a core.
pub(crate) fn run_on_one_thread(
    log: LogSettings,
    serve: impl Future<Output = Result<ResultCode, Failure>>,
) -> Result<ResultCode, Failure> {
    let log = logging::start(log)?;
    install_metrics();
    let code = crate::block_on(serve);
    log.shutdown();
    code
}

/// Starts the worker threads of a process.
fn runtime(worker_count: usize) -> Result<Runtime, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_count)
        .enable_all()
        .build()
        .map_err(|error| Failure::new(ResultCode::Failure, error))
}

/// Returns the incarnation of a process that starts now.
pub(crate) fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.unwrap_or_default().as_millis() as u64)
}

/// Reports all problems of a file.
pub(crate) fn to_failure(problems: Vec<SettingsProblem>) -> Failure {
    let code = problems.first().map_or(ResultCode::Failure, |it| it.code);
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    Failure::new(code, lines.join("\n"))
}

/// Reports a settings file of the other role.
pub(crate) fn wrong_role(path: &Path, role: &str) -> Failure {
    let message = format!("{}: role: \"{role}\" is accepted", path.display());
    Failure::new(ResultCode::SettingsInvalid, message)
}
