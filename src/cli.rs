//! Command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

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
    /// Runs a deployment in this process on loopback and reports what held.
    Trial(TrialArguments),
}

/// Arguments of `trial`.
#[derive(Args, Debug)]
pub(crate) struct TrialArguments {
    /// Deployment file, JSON with comments.
    pub(crate) file: PathBuf,
    /// Length of the trial in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) seconds: u64,
    /// Seed of every random choice of the emulation.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Event as NAME@SECONDS; may be given many times.
    #[arg(long = "event")]
    pub(crate) events: Vec<String>,
    /// File for the JSON report.
    #[arg(long)]
    pub(crate) report: Option<PathBuf>,
}
