//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use hawthorntide_trial::TrialEvent;
use hawthorntide_types::{ProfileName, RatePerSecond, ServiceName, Version, WorkKind};

use crate::output::OutputFormat;

/// Layer-4 load balancer: balancers, agents and their tools.
#[derive(Debug, Parser)]
#[command(version, arg_required_else_help = true, after_help = CODES_HELP)]
pub(crate) struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub(crate) output: OutputFormat,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs an agent beside an upstream.
    Agent(RoleArguments),
    /// Runs a balancer.
    Balancer(RoleArguments),
    /// Sends one request to a service.
    Call(CallArguments),
    /// Checks settings files, profiles and services.
    Check(CheckArguments),
    /// Prints the table of result codes.
    Codes,
    /// Prints the completions of a shell.
    Completions(CompletionsArguments),
    /// Begins the drain of a balancer.
    Drain(DrainArguments),
    /// Runs a stand-in of the platform, of an upstream or of callers.
    Emulate(EmulateArguments),
    /// Shows what logs tell of a request or flow, and what changed around it.
    Explain(ExplainArguments),
    /// Makes a set of keys, certificates and tokens for development.
    Keys(KeysArguments),
    /// Shows and changes profiles.
    Profile(ProfileArguments),
    /// Shows services and chooses their profiles.
    Service(ServiceArguments),
    /// Shows balancers, upstreams and versions in force.
    Status(AdminArguments),
    /// Shows the events that balancers recorded.
    Timeline(TimelineArguments),
    /// Runs a deployment in this process on loopback and reports what held.
    Trial(TrialArguments),
}

const CODES_HELP: &str = "The exit code is a result code; `hawthorntide codes` lists them.";

/// Arguments of `check`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide check balancer.jsonc
  hawthorntide check profiles/*.jsonc services/*.jsonc

Services are checked against the profiles that are given with them.")]
pub(crate) struct CheckArguments {
    /// Settings files, profiles and services, each JSON with comments.
    #[arg(required = true)]
    pub(crate) files: Vec<PathBuf>,
}

/// Arguments of `agent` and `balancer`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide balancer --settings balancer.jsonc

SIGTERM and SIGINT drain the process, SIGHUP reads keys and certificates again.")]
pub(crate) struct RoleArguments {
    /// Settings file, JSON with comments.
    #[arg(long, env = "HAWTHORNTIDE_SETTINGS", value_name = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Service that is called.
#[derive(Args, Clone, Debug)]
pub(crate) struct TargetArguments {
    /// Address of the service.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Name of the service, which its certificate must bear.
    #[arg(long, value_name = "NAME")]
    pub(crate) service: ServiceName,
    /// Certificates of the authority in PEM.
    #[arg(long, value_name = "FILE")]
    pub(crate) authority: PathBuf,
}

/// Arguments of `call`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide call sheet --address 127.0.0.1:4433 --service catalogue --authority keys/authority.crt
  hawthorntide call reservation --address 127.0.0.1:4433 --service stockd \\
      --authority keys/authority.crt --deadline-ms 500

Without --payload the request is an order for an emulated upstream. The exit code is the result
code of the request.")]
pub(crate) struct CallArguments {
    #[command(flatten)]
    pub(crate) target: TargetArguments,
    /// Kind of work: stream, reservation or sheet.
    pub(crate) kind: WorkKind,
    /// Text for the upstream.
    #[arg(long, conflicts_with_all = ["answer_bytes", "messages"])]
    pub(crate) payload: Option<String>,
    /// Size of the answer that an emulated upstream gives.
    #[arg(long, default_value_t = 1000)]
    pub(crate) answer_bytes: u32,
    /// Messages of a stream.
    #[arg(long, default_value_t = 3)]
    pub(crate) messages: u32,
    /// Longest wait; 0 leaves it to the profile.
    #[arg(long, default_value_t = 0)]
    pub(crate) deadline_ms: u64,
}

/// Arguments of `emulate`.
#[derive(Args, Debug)]
pub(crate) struct EmulateArguments {
    /// What to run.
    #[command(subcommand)]
    pub(crate) command: EmulateCommand,
}

/// Stand-ins.
#[derive(Debug, Subcommand)]
pub(crate) enum EmulateCommand {
    /// Serves the platform's object API until SIGINT or SIGTERM.
    Platform(EmulatePlatformArguments),
    /// Serves the upstream protocol until SIGINT or SIGTERM.
    Upstream(EmulateUpstreamArguments),
    /// Calls a service for some time and counts the outcomes.
    Callers(EmulateCallersArguments),
}

/// Arguments of `emulate platform`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide emulate platform --address 127.0.0.1:4001 --delay-ms 5")]
pub(crate) struct EmulatePlatformArguments {
    /// Address to listen at; port 0 selects a free one.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Time by which each answer is late.
    #[arg(long, default_value_t = 0)]
    pub(crate) delay_ms: u64,
    /// Time by which watches learn of changes late.
    #[arg(long, default_value_t = 0)]
    pub(crate) event_delay_ms: u64,
    /// Answers to writes that are lost, in thousandths.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=1000))]
    pub(crate) lost_answers_per_mille: u16,
    /// Calls per second that are answered; more are refused.
    #[arg(long)]
    pub(crate) call_limit: Option<RatePerSecond>,
    /// Seed of the lost answers.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

/// Arguments of `emulate upstream`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide emulate upstream --address 127.0.0.1:5102 --service stockd --slots 2")]
pub(crate) struct EmulateUpstreamArguments {
    /// Address to listen at; port 0 selects a free one.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Service whose work it does.
    #[arg(long, value_name = "NAME")]
    pub(crate) service: ServiceName,
    /// Units of concurrent work.
    #[arg(long, default_value_t = 2)]
    pub(crate) slots: u32,
    /// Mean time that a request holds a slot.
    #[arg(long, default_value_t = 10)]
    pub(crate) service_time_ms: u64,
    /// Seed of the deviations of service times.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

/// Arguments of `emulate callers`.
#[derive(Args, Clone, Debug)]
#[command(after_help = "Example:
  hawthorntide emulate callers --address 127.0.0.1:4433 --service catalogue \\
      --authority keys/authority.crt --callers 20 --seconds 5

The exit code is 0 when every request was answered, otherwise that of the most frequent failure.")]
pub(crate) struct EmulateCallersArguments {
    #[command(flatten)]
    pub(crate) target: TargetArguments,
    /// Callers, each with one connection.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub(crate) callers: u32,
    /// Length of the run.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub(crate) seconds: u64,
    /// Kind of work: stream, reservation or sheet.
    #[arg(long, default_value = "sheet")]
    pub(crate) kind: WorkKind,
    /// Size of each answer.
    #[arg(long, default_value_t = 1000)]
    pub(crate) answer_bytes: u32,
    /// Pause of a caller between two requests.
    #[arg(long, default_value_t = 20)]
    pub(crate) pause_ms: u64,
    /// Longest wait of a request; 0 leaves it to the profile.
    #[arg(long, default_value_t = 0)]
    pub(crate) deadline_ms: u64,
}

/// Arguments of `completions`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide completions bash > /etc/bash_completion.d/hawthorntide")]
pub(crate) struct CompletionsArguments {
    /// Shell.
    pub(crate) shell: Shell,
}

/// Arguments of `explain`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide explain 8feb97493e4d4a43 logs/*.log
  hawthorntide explain '100.64.0.7:40001>198.18.0.1:443' logs/*.log --around-ms 5000

Logs are those of balancers and agents for opaque flows, in JSON. Each line gives the time, the
file, what happened and the inputs that decided it.")]
pub(crate) struct ExplainArguments {
    /// Identifier of a request, or a flow as the logs write it.
    pub(crate) subject: String,
    /// Logs, one for each process.
    #[arg(required = true)]
    pub(crate) logs: Vec<PathBuf>,
    /// Time before and after the flow's lines whose changes of state are shown as well.
    #[arg(long, default_value_t = 2_000)]
    pub(crate) around_ms: u64,
}

/// Arguments of `keys`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide keys keys --service stockd --service catalogue --team ops

The files are for development: one authority signs the certificates of all services, and its key
lies beside them. Files that exist are not replaced.")]
pub(crate) struct KeysArguments {
    /// Directory for the files; it is made if it does not exist.
    pub(crate) directory: PathBuf,
    /// Service that gets a certificate; may be given many times.
    #[arg(long = "service", value_name = "NAME")]
    pub(crate) services: Vec<ServiceName>,
    /// Team that gets a token; may be given many times.
    #[arg(long = "team", value_name = "NAME")]
    pub(crate) teams: Vec<ServiceName>,
}

/// Balancer whose administration API is used.
#[derive(Args, Clone, Debug)]
pub(crate) struct AdminArguments {
    /// Address of the administration API of a balancer.
    #[arg(long, env = "HAWTHORNTIDE_ADDRESS", value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Token of the team.
    #[arg(long, env = "HAWTHORNTIDE_TOKEN", hide_env_values = true)]
    pub(crate) token: Option<String>,
    /// File with the token of the team.
    #[arg(long, env = "HAWTHORNTIDE_TOKEN_FILE", conflicts_with = "token")]
    pub(crate) token_file: Option<PathBuf>,
}

/// Arguments of `drain`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide drain --address 127.0.0.1:4102 --wait 60")]
pub(crate) struct DrainArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    /// Waits up to this many seconds until the process has ended.
    #[arg(long, value_name = "SECONDS")]
    pub(crate) wait: Option<u64>,
}

/// Arguments of `profile`.
#[derive(Args, Debug)]
pub(crate) struct ProfileArguments {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: ProfileCommand,
}

/// Commands on profiles.
#[derive(Debug, Subcommand)]
pub(crate) enum ProfileCommand {
    /// Lists the profiles with their versions.
    List(AdminArguments),
    /// Shows a profile.
    Show(ProfileShowArguments),
    /// Creates or replaces a profile from a file.
    Set(ProfileSetArguments),
    /// Changes single fields of a profile.
    Edit(ProfileEditArguments),
    /// Deletes a profile that no service follows.
    Delete(ProfileDeleteArguments),
}

/// Arguments of `profile show`.
#[derive(Args, Debug)]
pub(crate) struct ProfileShowArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    /// Profile.
    pub(crate) name: ProfileName,
}

/// How a change is made and waited for.
#[derive(Args, Clone, Copy, Debug)]
pub(crate) struct ChangeArguments {
    /// Version on which the change is based; without it, the version that the balancer has now.
    #[arg(long)]
    pub(crate) version: Option<Version>,
    /// Waits up to this many seconds until every balancer has the change in force.
    #[arg(long, value_name = "SECONDS")]
    pub(crate) wait: Option<u64>,
}

/// Arguments of `profile set`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide profile set day.jsonc --wait 10
  hawthorntide profile set day.jsonc --version 7")]
pub(crate) struct ProfileSetArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    #[command(flatten)]
    pub(crate) change: ChangeArguments,
    /// Profile, JSON with comments.
    pub(crate) file: PathBuf,
}

/// Arguments of `profile edit`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide profile edit day target_delay_ms=30
  hawthorntide profile edit day work.sheet.crowded.share_per_mille=150 --wait 10")]
pub(crate) struct ProfileEditArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    #[command(flatten)]
    pub(crate) change: ChangeArguments,
    /// Profile.
    pub(crate) name: ProfileName,
    /// New values, each as FIELD=VALUE.
    #[arg(required = true, value_name = "FIELD=VALUE")]
    pub(crate) fields: Vec<String>,
}

/// Arguments of `profile delete`.
#[derive(Args, Debug)]
pub(crate) struct ProfileDeleteArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    #[command(flatten)]
    pub(crate) change: ChangeArguments,
    /// Profile.
    pub(crate) name: ProfileName,
}

/// Arguments of `service`.
#[derive(Args, Debug)]
pub(crate) struct ServiceArguments {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: ServiceCommand,
}

/// Commands on services.
#[derive(Debug, Subcommand)]
pub(crate) enum ServiceCommand {
    /// Lists the services with their versions and profiles.
    List(AdminArguments),
    /// Shows a service.
    Show(ServiceShowArguments),
    /// Creates or replaces a service from a file.
    Set(ServiceSetArguments),
    /// Chooses the profile that a service follows.
    Follow(ServiceFollowArguments),
}

/// Arguments of `service show`.
#[derive(Args, Debug)]
pub(crate) struct ServiceShowArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    /// Service.
    pub(crate) name: ServiceName,
}

/// Arguments of `service set`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide service set stockd.jsonc --wait 10")]
pub(crate) struct ServiceSetArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    #[command(flatten)]
    pub(crate) change: ChangeArguments,
    /// Service, JSON with comments.
    pub(crate) file: PathBuf,
}

/// Arguments of `service follow`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide service follow stockd night --wait 10")]
pub(crate) struct ServiceFollowArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    #[command(flatten)]
    pub(crate) change: ChangeArguments,
    /// Service.
    pub(crate) service: ServiceName,
    /// Profile to follow.
    pub(crate) profile: ProfileName,
}

/// Arguments of `timeline`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide timeline --event drain_began
  hawthorntide timeline --all --event configuration_applied
  hawthorntide timeline --service stockd --limit 50 --output json")]
pub(crate) struct TimelineArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    /// Merges the events of all balancers that the asked one knows.
    #[arg(long)]
    pub(crate) all: bool,
    /// Only events of this service.
    #[arg(long)]
    pub(crate) service: Option<ServiceName>,
    /// Only events of this kind.
    #[arg(long)]
    pub(crate) event: Option<String>,
    /// Newest events that are shown.
    #[arg(long, default_value_t = 100)]
    pub(crate) limit: usize,
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
