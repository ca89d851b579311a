//! Settings of a balancer.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use hawthorntide_types::{DurationMs, FailureDomain, ParseValueError, Region, ServiceName};

use crate::key_file::{KeyFiles, beside};
use crate::section::Section;
use crate::settings::{LogSettings, read_log};

/// What is accepted where a name is wanted.
pub(crate) const NAME: &str = "1 to 64 characters out of a-z, 0-9, '-', '_' and '.' are accepted";
/// Peers that settings may name; others are learned by gossip.
pub(crate) const MAX_KNOWN_PEERS: usize = 64;
/// Worker threads that settings may ask for.
pub(crate) const MAX_WORKERS: usize = 256;
/// Worker threads unless the settings say otherwise; entry VMs are small.
pub(crate) const DEFAULT_WORKERS: usize = 2;
/// Longest drain: one day.
pub(crate) const MAX_DRAIN_MS: u64 = 24 * 60 * 60 * 1000;
/// Services that one team may change.
const MAX_TEAM_SERVICES: usize = 10_000;
/// Digits of the BLAKE3 hash of a token.
const TOKEN_HASH_DIGITS: usize = 64;

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Deployment to which the process belongs.
    pub cluster: String,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
    /// Address for packets of agents and of an encapsulating fabric.
    pub data_address: SocketAddr,
    /// Address for control messages.
    pub control_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Way in which callers' packets arrive.
    pub ingress: IngressSettings,
    /// Address of the platform store.
    pub store_address: SocketAddr,
    /// Control addresses of balancers that are asked first.
    pub known_peers: Vec<SocketAddr>,
    /// Files with the keys of the deployment.
    pub key_files: KeyFiles,
    /// Worker threads.
    pub worker_count: usize,
    /// Settings of the log.
    pub log: LogSettings,
    /// Teams that may use the administration API.
    pub teams: Vec<Team>,
    /// Longest drain of the process.
    pub drain_limit_ms: DurationMs,
}

/// Way in which callers' packets arrive at a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IngressSettings {
    /// The balancer binds the service addresses.
    Socket,
    /// A fabric sends datagrams with the forwarding header to the data address.
    Encapsulated {
        /// Address to which replies go.
        fabric_address: SocketAddr,
    },
}

/// Team with a token for the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// BLAKE3 hash of the token.
    pub token_hash: [u8; 32],
    /// Services that the team may change; an operator team may change all and drain processes.
    pub services: TeamServices,
}

/// Services that a team may change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TeamServices {
    /// All services and the processes themselves.
    All,
    /// Only these, in ascending order.
    Named(Vec<ServiceName>),
}

/// Name of an ingress in a settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum IngressName {
    Socket,
    Encapsulated,
}

/// Text of a token hash.
struct TokenHash([u8; 32]);

/// Name of a deployment or team, or `*`.
struct AnyName(String);

impl Team {
    /// Returns whether the team may change `service`.
    pub fn may_change(&self, service: &ServiceName) -> bool {
        match &self.services {
            TeamServices::All => true,
            TeamServices::Named(services) => services.binary_search(service).is_ok(),
        }
    }

    /// Returns whether the team may change processes as well as services.
    pub const fn is_operator(&self) -> bool {
        matches!(self.services, TeamServices::All)
    }

    /// Returns whether `token` is the token of the team.
    pub fn has_token(&self, token: &str) -> bool {
        blake3::hash(token.as_bytes()) == blake3::Hash::from_bytes(self.token_hash)
    }
}

impl BalancerSettings {
    pub(crate) fn read(root: &Section<'_>, file: &Path) -> Option<Self> {
        let cluster = root.text::<ClusterName>("cluster", NAME);
        let failure_domain = root.text("failure_domain", NAME);
        let region = root.text("region", NAME);
        let data_address = root.address("data_address");
        let control_address = root.address("control_address");
        let admin_address = root.address("admin_address");
        let ingress = read_ingress(root);
        let store_address = root.address("store_address");
        let known_peers = root.addresses("known_peers", 0..=MAX_KNOWN_PEERS);
        let key_files = KeyFiles::read(root, file);
        let worker_count = root.optional_number("worker_count", 1..=MAX_WORKERS);
        let log = read_log(root);
        let teams = read_teams(root, file);
        let drain_limit_ms = root.number("drain_limit_ms", 1..=MAX_DRAIN_MS);
        if data_address.is_some() && data_address == control_address {
            root.contradict("control_address", "must differ from data_address");
        }
        Some(Self {
            cluster: cluster?.0,
            failure_domain: failure_domain?,
            region: region?,
            data_address: data_address?,
            control_address: control_address?,
            admin_address: admin_address?,
            ingress: ingress?,
            store_address: store_address?,
            known_peers,
            key_files: key_files?,
            worker_count: worker_count.unwrap_or(DEFAULT_WORKERS),
            log,
            teams,
            drain_limit_ms: DurationMs(drain_limit_ms?),
        })
    }
}

fn read_ingress(root: &Section<'_>) -> Option<IngressSettings> {
    let name = root.text("ingress", "\"socket\" or \"encapsulated\"");
    let fabric_address = root.optional_address("fabric_address");
    match name? {
        IngressName::Socket => {
            if fabric_address.is_some() {
                root.contradict("fabric_address", "accepted only with ingress encapsulated");
            }
            Some(IngressSettings::Socket)
        }
        IngressName::Encapsulated => {
            let Some(fabric_address) = fabric_address else {
                root.contradict("fabric_address", "needed with ingress encapsulated");
                return None;
            };
            Some(IngressSettings::Encapsulated { fabric_address })
        }
    }
}

fn read_teams(root: &Section<'_>, file: &Path) -> Vec<Team> {
    let mut teams: Vec<Team> = Vec::new();
    for section in root.optional_sections("teams") {
        let name = section.text::<ClusterName>("name", NAME);
        let hash = read_token_hash(&section, file);
        let services: Vec<AnyName> = section.texts(
            "services",
            1..=MAX_TEAM_SERVICES,
            "names of services, or \"*\" alone for all, are accepted",
        );
        if let Some(name) = &name
            && teams.iter().any(|team| team.name == name.0)
        {
            section.contradict("name", "each team is accepted once");
        }
        if let Some(hash) = &hash
            && teams.iter().any(|team| team.token_hash == hash.0)
        {
            section.contradict("token_hash", "each token is accepted for one team");
        }
        let services = team_services(&section, services);
        section.finish();
        if let (Some(name), Some(hash), Some(services)) = (name, hash, services) {
            teams.push(Team {
                name: name.0,
                token_hash: hash.0,
                services,
            });
        }
    }
    teams
}

/// Reads the hash of a token from the settings or from the file that they name.
fn read_token_hash(section: &Section<'_>, file: &Path) -> Option<TokenHash> {
    let accepted = "64 hexadecimal digits, the BLAKE3 hash of the token, are accepted";
    let hash = section.optional_text::<TokenHash>("token_hash", accepted);
    let path = section.optional_text::<PathBuf>("token_hash_file", "the path of a file");
    match (section.has("token_hash"), path) {
        (false, Some(path)) => {
            let text = std::fs::read_to_string(beside(file, &path));
            let hash = text.ok().and_then(|text| text.trim().parse().ok());
            if hash.is_none() {
                section.contradict(
                    "token_hash_file",
                    &format!("in a readable file, {accepted}"),
                );
            }
            hash
        }
        (true, None) => hash,
        _ => {
            section.contradict(
                "token_hash",
                "either token_hash or token_hash_file is accepted",
            );
            None
        }
    }
}

fn team_services(section: &Section<'_>, names: Vec<AnyName>) -> Option<TeamServices> {
    if names.iter().any(|name| name.0 == "*") {
        if names.len() > 1 {
            section.contradict("services", "\"*\" is accepted only alone");
            return None;
        }
        return Some(TeamServices::All);
    }
    let mut services: Vec<ServiceName> = names
        .iter()
        .filter_map(|name| name.0.parse().ok())
        .collect();
    services.sort();
    services.dedup();
    Some(TeamServices::Named(services))
}

/// Name of a deployment or team.
pub(crate) struct ClusterName(pub(crate) String);

impl FromStr for ClusterName {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let name: ServiceName = text.parse()?;
        Ok(Self(name.into()))
    }
}

impl FromStr for AnyName {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "*" {
            return Ok(Self(text.to_owned()));
        }
        let name: ServiceName = text.parse()?;
        Ok(Self(name.into()))
    }
}

impl FromStr for TokenHash {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match blake3::Hash::from_hex(text) {
            Ok(hash) if text.len() == TOKEN_HASH_DIGITS => Ok(Self(*hash.as_bytes())),
            _ => Err(unknown("token hash")),
        }
    }
}

impl FromStr for IngressName {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "socket" => Ok(Self::Socket),
            "encapsulated" => Ok(Self::Encapsulated),
            _ => Err(unknown("ingress")),
        }
    }
}

/// Does not repeat the text, which may be a token given by mistake.
fn unknown(expected: &str) -> ParseValueError {
    ParseValueError {
        text: String::new(),
        expected: expected.to_owned(),
    }
}
