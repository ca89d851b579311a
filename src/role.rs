//! Parts shared by the commands `agent` and `balancer`.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use hawthorntide_admin::install_metrics;
use hawthorntide_configuration::{LogSettings, SettingsProblem};
use hawthorntide_logging::Log;
use hawthorntide_types::{Incarnation, ResultCode};
use tokio::runtime::Runtime;

use crate::failure::Failure;

/// Starts logging and metrics and runs `serve` on `worker_count` threads until it ends.
pub(crate) fn run(
    log: LogSettings,
    worker_count: usize,
    serve: impl Future<Output = Result<ResultCode, Failure>>,
) -> Result<ResultCode, Failure> {
    install_metrics();
    let _log = spawn_log(log)?;
    let runtime = runtime(worker_count)?;
    let code = runtime.block_on(serve);
    runtime.shutdown_background();
    code
}

/// Starts logging and metrics and runs `serve` on one thread, for VMs with less than one core.
pub(crate) fn run_on_one_thread(
    log: LogSettings,
    serve: impl Future<Output = Result<ResultCode, Failure>>,
) -> Result<ResultCode, Failure> {
    install_metrics();
    let _log = spawn_log(log)?;
    crate::block_on(serve)
}

/// Starts the logger, which runs until its handle is dropped.
pub(crate) fn spawn_log(settings: LogSettings) -> Result<Log, Failure> {
    Log::spawn(settings).map_err(|error| Failure::new(ResultCode::Failure, error))
}

fn runtime(worker_count: usize) -> Result<Runtime, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_count)
        .enable_all()
        .build()
        .map_err(|error| Failure::new(ResultCode::Failure, error))
}

/// Incarnation of a process that starts now: the time since the Unix epoch in milliseconds.
pub(crate) fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.unwrap_or_default().as_millis() as u64)
}

/// Combines all problems of a file into one failure with the result code of the first problem.
pub(crate) fn to_failure(problems: Vec<SettingsProblem>) -> Failure {
    let code = problems.first().map_or(ResultCode::Failure, |it| it.code);
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    Failure::new(code, lines.join("\n"))
}

/// Error for a settings file that does not have the required `role`.
pub(crate) fn wrong_role(path: &Path, role: &str) -> Failure {
    let message = format!("{}: role: \"{role}\" is required", path.display());
    Failure::new(ResultCode::SettingsInvalid, message)
}
