//! Layer-4 load balancer: every process between callers and upstreams in one binary.

mod cli;
mod codes;
mod trial;

use std::process::ExitCode;

use clap::Parser;
use hawthorntide_types::ResultCode;

use crate::cli::{Cli, Command};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let cli = Cli::parse();
    ExitCode::from(run(cli).number())
}

fn run(cli: Cli) -> ResultCode {
    match cli.command {
        Command::Codes => codes::run(),
        Command::Trial(arguments) => trial::run(arguments),
    }
}
