//! Command line of the soak.

use std::path::PathBuf;

use clap::{Parser, ValueEnum};

/// Kinds of faults that a run draws.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum FaultMix {
    /// The mix `failures`, with evacuations, misleading upstreams, floods and unread logs at the same time.
    All,
    /// Faults of processes, upstreams and the store, and route changes, with a short pause between two
    /// of them.
    Failures,
    /// Evacuations while processes and upstreams fail and the store serves all.
    Evacuations,
    /// Upstreams that do not answer as their heartbeats promise, and floods, while processes fail.
    Overload,
    /// Route changes before and after the store fails for all balancers but one, with other faults at
    /// the same time.
    Configuration,
    /// Planned work only: no open flow may be reset while its upstream runs. Callers use ports again.
    Planned,
    /// The mix `planned` while nobody reads the logs of some processes.
    Logs,
}

/// Runs balancers and agents as processes, injects random faults, and checks what simulated callers
/// and upstreams receive.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:
  hawthorntide-soak --seed 7 --seconds 30
  hawthorntide-soak --seed 7 --seconds 30 --mix configuration --balancers 5

The exit code is 0 if all guarantees held, 100 if any was violated. The first line of the output
names the directory with the logs of the processes."
)]
pub(crate) struct Cli {
    /// Seed of the random faults; the same seed gives the same schedule.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Faults to inject.
    #[arg(long, value_enum, default_value_t = FaultMix::All)]
    pub(crate) mix: FaultMix,
    /// Time during which faults begin, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub(crate) seconds: u64,
    /// Number of balancers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=60))]
    pub(crate) balancers: u8,
    /// Number of agents, each with an upstream; every third one belongs to the second service.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(2..=120))]
    pub(crate) agents: u8,
    /// Number of callers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(1..=120))]
    pub(crate) callers: u8,
    /// Binary of the processes; default: `hawthorntide` in the directory of this program.
    #[arg(long, value_name = "FILE")]
    pub(crate) binary: Option<PathBuf>,
    /// Makes all agents serve a service that no caller uses, so that the run must fail.
    #[arg(long, hide = true)]
    pub(crate) broken_service: bool,
    /// Makes all balancers ignore evacuations, so that the run must fail.
    #[arg(long, hide = true)]
    pub(crate) ignored_evacuations: bool,
    /// Directory for settings and logs; default: `hawthorntide-soak-SEED-PID` in the directory for
    /// temporary files.
    #[arg(long, value_name = "DIRECTORY")]
    pub(crate) directory: Option<PathBuf>,
}
