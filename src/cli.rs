//! Command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use hawthorntide_trial::TrialEvent;

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
    /// Runs a deployment in this process on loopback and reports what held.
    Trial(TrialArguments),
}

/// Arguments of `trial`.
#[derive(Args, Debug)]
pub(crate) struct TrialArguments {
    /// Deployment file, JSON with comments.
    pub(crate) file: PathBuf,
    /// Length of the measured part in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub(crate) seconds: u64,
    /// Seed of every random choice of the emulation.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Event as NAME@SECONDS; may be given many times.
    #[arg(long = "event", value_name = "NAME@SECONDS")]
    pub(crate) events: Vec<TrialEvent>,
    /// File for the JSON report.
    #[arg(long)]
    pub(crate) report: Option<PathBuf>,
    /// Directory for plots and the time line.
    #[arg(long)]
    pub(crate) plots: Option<PathBuf>,
}
