//! Soak test: runs balancers and agents as processes and injects random faults with signals, a
//! proxy and simulated upstreams.

mod callers;
mod cli;
mod deployment;
mod evacuations;
mod faults;
mod log_reader;
mod process;
mod record;
mod scheduling;
mod soak;

use std::process::ExitCode;

use clap::Parser;
use hawthorntide_types::ResultCode;

use crate::cli::Cli;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let code = match run(&cli) {
        Ok(0) => ResultCode::Ok,
        Ok(_) => ResultCode::PromiseBroken,
        Err(error) => {
            eprintln!("{error:#}");
            ResultCode::Failure
        }
    };
    ExitCode::from(code.number())
}

/// Runs the soak and returns the number of violations.
fn run(cli: &Cli) -> anyhow::Result<usize> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(soak::run(cli))
}
