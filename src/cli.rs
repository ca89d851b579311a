//! Command line.

use clap::{Parser, Subcommand};

/// Layer-4 load balancer: balancers, agents and their tools.
#[derive(Debug, Parser)]
#[command(version, arg_required_else_help = true)]
pub(crate) struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Prints the table of result codes.
    Codes,
}
