//! Command `trial`: runs an emulated deployment in this process and reports measurements and broken
//! promises.

use std::path::Path;

use hawthorntide_logging::Log;
use hawthorntide_trial::{Deployment, TrialOptions, TrialOutcome};
use hawthorntide_types::ResultCode;

use crate::cli::TrialArguments;

pub(crate) fn run(arguments: TrialArguments) -> ResultCode {
    let log = Log::spawn_from_environment("warn");
    if let Err(error) = &log {
        eprintln!("hawthorntide: {error}");
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("hawthorntide: cannot start the runtime: {error}");
            return ResultCode::Failure;
        }
    };
    let code = runtime.block_on(run_trial(arguments));
    runtime.shutdown_background();
    code
}

async fn run_trial(arguments: TrialArguments) -> ResultCode {
    let deployment = match Deployment::read(&arguments.file) {
        Ok(deployment) => deployment,
        Err(problems) => {
            for problem in problems {
                eprintln!("hawthorntide: {problem}");
            }
            return ResultCode::SettingsInvalid;
        }
    };
    let options = TrialOptions {
        deployment,
        seconds: arguments.seconds,
        seed: arguments.seed,
        events: arguments.events,
    };
    let outcome = match hawthorntide_trial::run(options).await {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("hawthorntide: {error}");
            return ResultCode::Failure;
        }
    };
    print!("{}", outcome.report.table());
    if let Some(path) = &arguments.report
        && let Err(error) = write_report(&outcome, path)
    {
        eprintln!("hawthorntide: cannot write {}: {error}", path.display());
        return ResultCode::Failure;
    }
    if let Some(path) = &arguments.plots
        && let Err(error) = outcome.write_plots(path)
    {
        eprintln!("hawthorntide: {error}");
        return ResultCode::Failure;
    }
    let broken = outcome.report.broken_promises();
    for promise in &broken {
        eprintln!("hawthorntide: promise broken: {promise}");
    }
    if broken.is_empty() {
        ResultCode::Ok
    } else {
        ResultCode::PromiseBroken
    }
}

fn write_report(outcome: &TrialOutcome, path: &Path) -> std::io::Result<()> {
    let mut text = serde_json::to_string_pretty(&outcome.report)?;
    text.push('\n');
    std::fs::write(path, text)
}
