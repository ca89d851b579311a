//! Layer-4 load balancer: every process between callers and upstreams in one binary.

mod cli;
mod trial;

use std::process::ExitCode;

use clap::Parser;
use hawthorntide_types::ResultCode;

use crate::cli::{Cli, Command};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(code) => ExitCode::from(code.number()),
        Err(error) => {
            eprintln!("hawthorntide: {error:#}");
            ExitCode::from(ResultCode::Failure.number())
        }
    }
}

fn run(cli: Cli) -> anyhow::Result<ResultCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    match cli.command {
        Command::Trial(arguments) => runtime.block_on(trial::run(arguments)),
    }
}
