//! Command line of the soak.

use std::path::PathBuf;

use clap::Parser;

/// Runs balancers and agents as processes, disturbs them, and checks what callers and upstreams see.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:
  hawthorntide-soak --seed 7 --seconds 30

The exit code is 0 when every promise held, 100 when one was broken. Logs of the processes are kept
in the directory that the first line names."
)]
pub(crate) struct Cli {
    /// Seed of the faults; the same seed gives the same series.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Time during which faults come.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub(crate) seconds: u64,
    /// Balancers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=60))]
    pub(crate) balancers: u8,
    /// Agents, each with an upstream; every third is of the second service.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(2..=120))]
    pub(crate) agents: u8,
    /// Callers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(1..=120))]
    pub(crate) callers: u8,
    /// Binary of the processes; the one beside this program if not given.
    #[arg(long, value_name = "FILE")]
    pub(crate) binary: Option<PathBuf>,
    /// Makes agents serve a service that no caller asks for; the run must fail.
    #[arg(long, hide = true)]
    pub(crate) broken_service: bool,
    /// Directory for settings and logs.
    #[arg(long, value_name = "DIRECTORY")]
    pub(crate) directory: Option<PathBuf>,
}
