//! Settings files of balancers and agents.

use std::path::Path;
use std::str::FromStr;

use hawthorntide_types::ParseValueError;
use serde::{Deserialize, Serialize};

use crate::agent_settings::AgentSettings;
use crate::balancer_settings::BalancerSettings;
use crate::document::Document;
use crate::opaque_settings::{OpaqueAgentSettings, OpaqueBalancerSettings};
use crate::problem::SettingsProblem;
use crate::section::{Findings, Section};

const DEFAULT_LINES_PER_SECOND: u32 = 20;
const MAX_LINES_PER_SECOND: u32 = 10_000;

/// Settings of one process, by its role and kind of flows.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Balancer for QUIC flows.
    Balancer(Box<BalancerSettings>),
    /// Agent for QUIC flows.
    Agent(Box<AgentSettings>),
    /// Balancer for opaque flows.
    OpaqueBalancer(Box<OpaqueBalancerSettings>),
    /// Agent for opaque flows.
    OpaqueAgent(Box<OpaqueAgentSettings>),
}

/// Least severe level that is logged; each level includes those before it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Conditions that may become failures.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions of the control plane.
    Debug,
    Trace,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text per entry.
    #[default]
    Text,
    /// One JSON object per entry.
    Json,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogOutput {
    #[default]
    Stderr,
    Stdout,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Level at start; operators can change it at run time through the administration API.
    pub level: LogLevel,
    pub format: LogFormat,
    pub output: LogOutput,
    /// Limit for each log target, so that packets cannot cause a flood of log lines; errors are not
    /// limited.
    pub lines_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::default(),
            format: LogFormat::default(),
            output: LogOutput::default(),
            lines_per_second: DEFAULT_LINES_PER_SECOND,
        }
    }
}

impl LogLevel {
    pub const fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

impl std::fmt::Display for LogLevel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for LogLevel {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(parse_error(
                text,
                "log level (error, warn, info, debug, trace)",
            )),
        }
    }
}

impl FromStr for LogFormat {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(parse_error(text, "log format (text, json)")),
        }
    }
}

impl FromStr for LogOutput {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "stderr" => Ok(Self::Stderr),
            "stdout" => Ok(Self::Stdout),
            _ => Err(parse_error(text, "log output (stderr, stdout)")),
        }
    }
}

/// Value of the field `flows`: kind of flows that the process handles.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Flows {
    /// QUIC connections; the connection identifier in each packet encodes the endpoint.
    #[default]
    Quic,
    /// Flows of another protocol, identified by their addresses; the upstream keeps the connection.
    Opaque,
}

impl FromStr for Flows {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "quic" => Ok(Self::Quic),
            "opaque" => Ok(Self::Opaque),
            _ => Err(parse_error(text, "kind of flows (quic, opaque)")),
        }
    }
}

/// Value of the field `role`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    Balancer,
    Agent,
}

impl FromStr for Role {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "balancer" => Ok(Self::Balancer),
            "agent" => Ok(Self::Agent),
            _ => Err(parse_error(text, "role (balancer, agent)")),
        }
    }
}

/// Parses and validates the text of a settings file. Relative paths in it are resolved against the
/// directory of `file`.
///
/// Reads files with token hashes, but not key files.
pub fn check_settings(text: &str, file: &str) -> Result<Settings, Vec<SettingsProblem>> {
    let document = Document::parse(file, text).map_err(|problem| vec![problem])?;
    let findings = Findings::new(&document);
    let settings = read(&findings, Path::new(file));
    let problems = findings.into_problems();
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}

/// Reads and validates a settings file and the key files that it names.
pub fn load_settings(path: &Path) -> Result<Settings, Vec<SettingsProblem>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![SettingsProblem::unreadable(&file, 1, error)])?;
    let settings = check_settings(&text, &file)?;
    let mut problems = Vec::new();
    match &settings {
        Settings::Balancer(balancer) => problems.extend(balancer.key_files.load().err()),
        Settings::Agent(agent) => {
            problems.extend(agent.key_files.load().err());
            problems.extend(agent.tls_files.load().err());
        }
        Settings::OpaqueBalancer(_) | Settings::OpaqueAgent(_) => {}
    }
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(problems.into_iter().flatten().collect())
}

fn read<'d>(findings: &'d Findings<'d>, file: &Path) -> Option<Settings> {
    let root = findings.root();
    let role = root.text("role", "\"balancer\" or \"agent\"")?;
    let flows = root.optional_text("flows", "\"quic\" or \"opaque\"");
    let settings = match (role, flows.unwrap_or_default()) {
        (Role::Balancer, Flows::Quic) => {
            BalancerSettings::read(&root, file).map(|it| Settings::Balancer(Box::new(it)))
        }
        (Role::Agent, Flows::Quic) => {
            AgentSettings::read(&root, file).map(|it| Settings::Agent(Box::new(it)))
        }
        (Role::Balancer, Flows::Opaque) => {
            OpaqueBalancerSettings::read(&root).map(|it| Settings::OpaqueBalancer(Box::new(it)))
        }
        (Role::Agent, Flows::Opaque) => {
            OpaqueAgentSettings::read(&root).map(|it| Settings::OpaqueAgent(Box::new(it)))
        }
    };
    root.finish();
    settings
}

/// Reads the optional section `log`; absent fields get their defaults.
pub(crate) fn read_log(root: &Section<'_>) -> LogSettings {
    let defaults = LogSettings::default();
    let Some(section) = root.optional_section("log") else {
        return defaults;
    };
    let level = section.optional_text("level", "error, warn, info, debug or trace is accepted");
    let format = section.optional_text("format", "text or json is accepted");
    let output = section.optional_text("output", "stderr or stdout is accepted");
    let lines = section.optional_number("lines_per_second", 1..=MAX_LINES_PER_SECOND);
    section.finish();
    LogSettings {
        level: level.unwrap_or(defaults.level),
        format: format.unwrap_or(defaults.format),
        output: output.unwrap_or(defaults.output),
        lines_per_second: lines.unwrap_or(defaults.lines_per_second),
    }
}

pub(crate) fn parse_error(text: &str, expected: &str) -> ParseValueError {
    ParseValueError {
        text: text.chars().take(80).collect(),
        expected: expected.to_owned(),
    }
}
