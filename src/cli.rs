//! Command-line arguments. Doc comments of fields and variants are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use hawthorntide_trial::TrialEvent;
use hawthorntide_types::{ProfileName, RatePerSecond, ServiceName, Version, WorkKind};

use crate::output::OutputFormat;

/// Layer-4 load balancer: balancers, agents and operator tools.
#[derive(Debug, Parser)]
#[command(version, arg_required_else_help = true, after_help = CODES_HELP)]
pub(crate) struct Cli {
    /// Command to run.
    #[command(subcommand)]
    pub(crate) command: Command,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub(crate) output: OutputFormat,
}

/// Top-level commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs the agent of an upstream.
    Agent(RoleArguments),
    /// Runs a balancer.
    Balancer(RoleArguments),
    /// Sends one request to a service and prints its outcome.
    Call(CallArguments),
    /// Validates settings files, profiles, services and routes.
    Check(CheckArguments),
    /// Lists the result codes.
    Codes,
    /// Prints the completion script of a shell.
    Completions(CompletionsArguments),
    /// Starts draining a balancer.
    Drain(DrainArguments),
    /// Emulates the platform store, an upstream or callers.
    Emulate(EmulateArguments),
    /// Shows the log events of a request or flow and the state changes around it.
    Explain(ExplainArguments),
    /// Generates keys, certificates and tokens for development.
    Keys(KeysArguments),
    /// Shows, changes and deletes profiles.
    Profile(ProfileArguments),
    /// Shows and changes services and selects their profiles.
    Service(ServiceArguments),
    /// Shows balancers, upstreams, configuration versions in force and alarms.
    Status(AdminArguments),
    /// Shows the events recorded by balancers.
    Timeline(TimelineArguments),
    /// Runs an emulated deployment on loopback and reports measurements and broken promises.
    Trial(TrialArguments),
}

impl Command {
    /// Returns whether other processes depend on the one that runs the command.
    pub(crate) const fn is_server(&self) -> bool {
        matches!(self, Self::Agent(_) | Self::Balancer(_) | Self::Emulate(_))
    }
}

const CODES_HELP: &str = "The exit code is a result code; see `hawthorntide codes`.";

/// Arguments of `check`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide check balancer.jsonc
  hawthorntide check profiles/*.jsonc services/*.jsonc
  hawthorntide check --routes routes.json
  hawthorntide check --routes routes.json --in-force routes-in-force.json
  hawthorntide check --routes routes.json --store 10.0.0.1:4001

If profiles are given as well, each service must refer to one of them.

With --routes, the exit code is 0 without errors and warnings, 1 with warnings and 2 with errors. A
file or store that cannot be read has its own result code.")]
pub(crate) struct CheckArguments {
    /// Settings, profile and service files (JSON with comments).
    #[arg(required_unless_present = "routes", conflicts_with = "routes")]
    pub(crate) files: Vec<PathBuf>,
    /// Configuration of opaque flows to check before it is sent (JSON).
    #[arg(long, value_name = "FILE")]
    pub(crate) routes: Option<PathBuf>,
    /// Configuration in force, to show the differences (JSON).
    #[arg(
        long,
        value_name = "FILE",
        requires = "routes",
        conflicts_with_all = ["files", "store"]
    )]
    pub(crate) in_force: Option<PathBuf>,
    /// Platform store that has the configuration in force, to show the differences.
    #[arg(
        long,
        value_name = "IP:PORT",
        requires = "routes",
        conflicts_with = "files"
    )]
    pub(crate) store: Option<SocketAddr>,
}

/// Arguments of `agent` and `balancer`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide balancer --settings balancer.jsonc
  hawthorntide agent --settings agent.jsonc

SIGTERM and SIGINT drain the process and end it. SIGHUP reloads keys and certificates; a process
for opaque flows only validates its settings file.")]
pub(crate) struct RoleArguments {
    /// Settings file (JSON with comments).
    #[arg(long, env = "HAWTHORNTIDE_SETTINGS", value_name = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Service to call.
#[derive(Args, Clone, Debug)]
pub(crate) struct TargetArguments {
    /// IP address and port of the service.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Name of the service; its certificate must be valid for this name.
    #[arg(long, value_name = "NAME")]
    pub(crate) service: ServiceName,
    /// PEM file with the CA certificates that the service is verified against.
    #[arg(long, value_name = "FILE")]
    pub(crate) authority: PathBuf,
}

/// Arguments of `call`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide call sheet --address 127.0.0.1:4433 --service catalogue --authority keys/authority.crt
  hawthorntide call reservation --address 127.0.0.1:4433 --service stockd \\
      --authority keys/authority.crt --deadline-ms 500

Without --payload, the request carries a work order for an emulated upstream. The exit code is the
result code of the request.")]
pub(crate) struct CallArguments {
    #[command(flatten)]
    pub(crate) target: TargetArguments,
    /// Kind of request: stream, reservation or sheet.
    pub(crate) kind: WorkKind,
    /// Payload of the request, as text.
    #[arg(long, conflicts_with_all = ["answer_bytes", "messages"])]
    pub(crate) payload: Option<String>,
    /// Size of the answer to request from an emulated upstream, in bytes.
    #[arg(long, default_value_t = 1000)]
    pub(crate) answer_bytes: u32,
    /// Number of messages to request from an emulated upstream in a stream; 0 means no end.
    #[arg(long, default_value_t = 3)]
    pub(crate) messages: u32,
    /// Deadline of the request in milliseconds; 0 uses the deadline of the profile.
    #[arg(long, default_value_t = 0)]
    pub(crate) deadline_ms: u64,
}

/// Arguments of `emulate`.
#[derive(Args, Debug)]
pub(crate) struct EmulateArguments {
    /// Component to emulate.
    #[command(subcommand)]
    pub(crate) command: EmulateCommand,
}

/// Emulated components.
#[derive(Debug, Subcommand)]
pub(crate) enum EmulateCommand {
    /// Emulates the object store of the platform until SIGINT or SIGTERM.
    Platform(EmulatePlatformArguments),
    /// Emulates an upstream until SIGINT or SIGTERM.
    Upstream(EmulateUpstreamArguments),
    /// Calls a service for a given time and counts the outcomes.
    Callers(EmulateCallersArguments),
}

/// Arguments of `emulate platform`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide emulate platform --address 127.0.0.1:4001 --delay-ms 5")]
pub(crate) struct EmulatePlatformArguments {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Delay of each answer, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub(crate) delay_ms: u64,
    /// Delay until watches report a change, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub(crate) event_delay_ms: u64,
    /// Share of writes that take effect but get no answer, in per mille.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=1000))]
    pub(crate) lost_answers_per_mille: u16,
    /// Calls answered per second; further calls are refused (default: unlimited).
    #[arg(long)]
    pub(crate) call_limit: Option<RatePerSecond>,
    /// Random seed that selects the lost answers.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

/// Arguments of `emulate upstream`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide emulate upstream --address 127.0.0.1:5102 --service stockd --slots 2")]
pub(crate) struct EmulateUpstreamArguments {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Service that the upstream belongs to.
    #[arg(long, value_name = "NAME")]
    pub(crate) service: ServiceName,
    /// Number of requests processed concurrently.
    #[arg(long, default_value_t = 2)]
    pub(crate) slots: u32,
    /// Mean service time of a request, in milliseconds.
    #[arg(long, default_value_t = 10)]
    pub(crate) service_time_ms: u64,
    /// Random seed of the service times.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

/// Arguments of `emulate callers`.
#[derive(Args, Clone, Debug)]
#[command(after_help = "Example:
  hawthorntide emulate callers --address 127.0.0.1:4433 --service catalogue \\
      --authority keys/authority.crt --callers 20 --seconds 5

The exit code is 0 if every request succeeded, otherwise the most frequent other result code.")]
pub(crate) struct EmulateCallersArguments {
    #[command(flatten)]
    pub(crate) target: TargetArguments,
    /// Number of callers, each with one connection.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub(crate) callers: u32,
    /// Duration of the run, in seconds.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub(crate) seconds: u64,
    /// Kind of request: stream, reservation or sheet.
    #[arg(long, default_value = "sheet")]
    pub(crate) kind: WorkKind,
    /// Size of each answer, in bytes.
    #[arg(long, default_value_t = 1000)]
    pub(crate) answer_bytes: u32,
    /// Pause of each caller between two requests, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) pause_ms: u64,
    /// Deadline of each request in milliseconds; 0 uses the deadline of the profile.
    #[arg(long, default_value_t = 0)]
    pub(crate) deadline_ms: u64,
}

/// Arguments of `completions`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide completions bash > /etc/bash_completion.d/hawthorntide")]
pub(crate) struct CompletionsArguments {
    /// Shell to print the completion script for.
    pub(crate) shell: Shell,
}

/// Arguments of `explain`.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  hawthorntide explain 8feb97493e4d4a43 logs/*.log
  hawthorntide explain '100.64.0.7:40001>198.18.0.1:443' logs/*.log --around-ms 5000

Reads JSON logs of balancers and agents for opaque flows. Each line of the output shows the time,
the log file, the event and the inputs of the decision.")]
pub(crate) struct ExplainArguments {
    /// Request identifier, or flow in the notation of the logs.
    pub(crate) subject: String,
    /// Log files in JSON format, one per process.
    #[arg(required = true)]
    pub(crate) logs: Vec<PathBuf>,
    /// Shows state changes up to this long before the first and after the last event of the flow, in
    /// milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub(crate) around_ms: u64,
}

/// Arguments of `keys`.
#[derive(Args, Debug)]
#[command(after_help = "Example:
  hawthorntide keys keys --service stockd --service catalogue --team ops

The files are for development only: one CA signs the certificates of all services, and its private
key is stored in the same directory. Existing files are never overwritten.")]
pub(crate) struct KeysArguments {
    /// Directory to write the files to; created if it does not exist.
    pub(crate) directory: PathBuf,
    /// Service to issue a certificate for; can be repeated.
    #[arg(long = "service", value_name = "NAME")]
    pub(crate) services: Vec<ServiceName>,
    /// Team to generate a token for; can be repeated.
    #[arg(long = "team", value_name = "NAME")]
    pub(crate) teams: Vec<ServiceName>,
}

/// Administration API to use.
#[derive(Args, Clone, Debug)]
pub(crate) struct AdminArguments {
    /// Address of the administration API of a balancer.
    #[arg(long, env = "HAWTHORNTIDE_ADDRESS", value_name = "IP:PORT")]
    pub(crate) address: SocketAddr,
    /// Bearer token of the team.
    #[arg(long, env = "HAWTHORNTIDE_TOKEN", hide_env_values = true)]
    pub(crate) token: Option<String>,
    /// File that contains the bearer token of the team.
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
    /// Maximum time to wait for the process to end, in seconds (default: no wait).
    #[arg(long, value_name = "SECONDS")]
    pub(crate) wait: Option<u64>,
}

/// Arguments of `profile`.
#[derive(Args, Debug)]
pub(crate) struct ProfileArguments {
    /// Command to run.
    #[command(subcommand)]
    pub(crate) command: ProfileCommand,
}

/// Subcommands of `profile`.
#[derive(Debug, Subcommand)]
pub(crate) enum ProfileCommand {
    /// Lists the profiles with their versions.
    List(AdminArguments),
    /// Shows one profile.
    Show(ProfileShowArguments),
    /// Creates or replaces a profile from a file.
    Set(ProfileSetArguments),
    /// Changes individual fields of a profile.
    Edit(ProfileEditArguments),
    /// Deletes a profile that no service uses.
    Delete(ProfileDeleteArguments),
}

/// Arguments of `profile show`.
#[derive(Args, Debug)]
pub(crate) struct ProfileShowArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    /// Name of the profile.
    pub(crate) name: ProfileName,
}

/// Options of commands that change an object.
#[derive(Args, Clone, Copy, Debug)]
pub(crate) struct ChangeArguments {
    /// Version of the object that the change is based on; the change is refused if the object has
    /// another version (default: the version that the balancer has in force).
    #[arg(long)]
    pub(crate) version: Option<Version>,
    /// Maximum time to wait until every balancer has the change in force, in seconds (default: no
    /// wait).
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
    /// Profile file (JSON with comments).
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
    /// Name of the profile.
    pub(crate) name: ProfileName,
    /// Field to change and its new value; the names of nested fields are separated by dots.
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
    /// Name of the profile.
    pub(crate) name: ProfileName,
}

/// Arguments of `service`.
#[derive(Args, Debug)]
pub(crate) struct ServiceArguments {
    /// Command to run.
    #[command(subcommand)]
    pub(crate) command: ServiceCommand,
}

/// Subcommands of `service`.
#[derive(Debug, Subcommand)]
pub(crate) enum ServiceCommand {
    /// Lists the services with their versions and profiles.
    List(AdminArguments),
    /// Shows one service.
    Show(ServiceShowArguments),
    /// Creates or replaces a service from a file.
    Set(ServiceSetArguments),
    /// Selects the profile of a service.
    Follow(ServiceFollowArguments),
}

/// Arguments of `service show`.
#[derive(Args, Debug)]
pub(crate) struct ServiceShowArguments {
    #[command(flatten)]
    pub(crate) admin: AdminArguments,
    /// Name of the service.
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
    /// Service file (JSON with comments).
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
    /// Name of the service.
    pub(crate) service: ServiceName,
    /// Name of the profile to use.
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
    /// Merges the events of all balancers known to the addressed balancer.
    #[arg(long)]
    pub(crate) all: bool,
    /// Shows only events of this service.
    #[arg(long)]
    pub(crate) service: Option<ServiceName>,
    /// Shows only events of this kind.
    #[arg(long)]
    pub(crate) event: Option<String>,
    /// Maximum number of events to show; older events are left out.
    #[arg(long, default_value_t = 100)]
    pub(crate) limit: usize,
}

/// Arguments of `trial`.
#[derive(Args, Debug)]
pub(crate) struct TrialArguments {
    /// Deployment file (JSON with comments).
    pub(crate) file: PathBuf,
    /// Duration of the measurement, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub(crate) seconds: u64,
    /// Random seed of the emulation.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Event to inject and its time after the start of the measurement, such as balancer-kill@5;
    /// can be repeated.
    #[arg(long = "event", value_name = "NAME@SECONDS")]
    pub(crate) events: Vec<TrialEvent>,
    /// File to write the report to, in JSON.
    #[arg(long)]
    pub(crate) report: Option<PathBuf>,
    /// Directory to write the plots and the timeline to; created if it does not exist.
    #[arg(long)]
    pub(crate) plots: Option<PathBuf>,
}
