//! Layer-4 load balancer: balancer, agent and operator tools in one binary.

mod admin_client;
mod agent;
mod balancer;
mod call;
mod check;
mod cli;
mod codes;
mod completions;
mod drain;
mod emulate;
mod explain;
mod failure;
mod keys;
mod opaque;
mod output;
mod profile;
mod role;
mod route_check;
mod service;
mod signal;
mod status;
mod timeline;
mod trial;

use std::process::ExitCode;

use clap::Parser;
use hawthorntide_types::ResultCode;

use crate::cli::{Cli, Command};
use crate::failure::Failure;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let is_server = cli.command.is_server();
    run(cli).unwrap_or_else(|failure| {
        if is_server {
            output::print_failure_without_waiting(&failure);
        } else {
            output::print_failure(&failure);
        }
        ExitCode::from(failure.code.number())
    })
}

fn run(cli: Cli) -> Result<ExitCode, Failure> {
    let format = cli.output;
    let code = match cli.command {
        Command::Agent(arguments) => agent::run(&arguments),
        Command::Balancer(arguments) => balancer::run(&arguments),
        Command::Call(arguments) => block_on(call::run(arguments, format)),
        Command::Check(arguments) => match &arguments.routes {
            Some(path) => return block_on(route_check::run(path, &arguments, format)),
            None => Ok(check::run(&arguments)),
        },
        Command::Codes => codes::run(format),
        Command::Completions(arguments) => Ok(completions::run(&arguments)),
        Command::Drain(arguments) => block_on(drain::run(arguments, format)),
        Command::Emulate(arguments) => block_on(emulate::run(arguments, format)),
        Command::Explain(arguments) => explain::run(&arguments, format),
        Command::Keys(arguments) => keys::run(&arguments, format),
        Command::Profile(arguments) => block_on(profile::run(arguments, format)),
        Command::Service(arguments) => block_on(service::run(arguments, format)),
        Command::Status(arguments) => block_on(status::run(arguments, format)),
        Command::Timeline(arguments) => block_on(timeline::run(arguments, format)),
        Command::Trial(arguments) => Ok(trial::run(arguments)),
    }?;
    Ok(ExitCode::from(code.number()))
}

/// Runs an asynchronous command to completion on a single-threaded runtime.
fn block_on<T>(command: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::new(ResultCode::Failure, error))?;
    runtime.block_on(command)
}
