//! Settings of a balancer for QUIC flows.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use hawthorntide_types::{DurationMs, FailureDomain, ParseValueError, Region, ServiceName};

use crate::key_file::{KeyFiles, resolve_path};
use crate::section::Section;
use crate::settings::{LogSettings, read_log};

/// Rule for names, as shown in problems.
pub(crate) const NAME_RULE: &str =
    "1 to 64 characters out of a-z, 0-9, '-', '_' and '.' are accepted";
/// Maximum number of peers that a settings file may list; a process learns all others by gossip.
pub(crate) const MAX_KNOWN_PEERS: usize = 64;
pub(crate) const MAX_WORKERS: usize = 256;
/// Low, because the VMs that run balancers are small.
pub(crate) const DEFAULT_WORKERS: usize = 2;
/// One day.
pub(crate) const MAX_DRAIN_MS: u64 = 24 * 60 * 60 * 1000;
const MAX_TEAM_SERVICES: usize = 10_000;
/// Hexadecimal digits of a BLAKE3 hash.
const TOKEN_HASH_DIGITS: usize = 64;

/// Settings of a balancer for QUIC flows.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Deployment to which the process belongs; control messages of others are refused.
    pub cluster: String,
    pub failure_domain: FailureDomain,
    pub region: Region,
    /// UDP address for packets from agents and from an encapsulating fabric.
    pub data_address: SocketAddr,
    /// UDP address for control messages.
    pub control_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub ingress: IngressSettings,
    pub store_address: SocketAddr,
    /// Control addresses of balancers that the process contacts to join; it learns others by gossip.
    pub known_peers: Vec<SocketAddr>,
    pub key_files: KeyFiles,
    pub worker_count: usize,
    pub log: LogSettings,
    pub teams: Vec<Team>,
    /// Longest time that the process drains before it ends.
    pub drain_limit_ms: DurationMs,
}

/// How packets from callers reach a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IngressSettings {
    /// The balancer binds the service addresses.
    Socket,
    /// A network fabric wraps packets in the forwarding header and sends them to the data address.
    Encapsulated {
        /// Only source from which wrapped packets are accepted; wrapped replies are sent to it.
        fabric_address: SocketAddr,
    },
}

/// Team that may use the administration API with its token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    pub name: String,
    pub token_hash: [u8; 32],
    /// Services that the team may change; a team with access to all may also drain processes.
    pub services: TeamServices,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TeamServices {
    /// All services, and the processes themselves.
    All,
    /// Only these services, sorted for binary search.
    Named(Vec<ServiceName>),
}

/// Value of the field `ingress`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum IngressName {
    Socket,
    Encapsulated,
}

/// Parsed BLAKE3 hash of a token.
struct TokenHash([u8; 32]);

/// Service name, or `*` for all services.
struct ServiceSelector(String);

impl Team {
    pub fn may_change(&self, service: &ServiceName) -> bool {
        match &self.services {
            TeamServices::All => true,
            TeamServices::Named(services) => services.binary_search(service).is_ok(),
        }
    }

    /// Whether the team may change processes as well as services.
    pub const fn is_operator(&self) -> bool {
        matches!(self.services, TeamServices::All)
    }

    /// Whether `token` is the team's token; hashes are compared in constant time.
    pub fn has_token(&self, token: &str) -> bool {
        blake3::hash(token.as_bytes()) == blake3::Hash::from_bytes(self.token_hash)
    }
}

impl BalancerSettings {
    pub(crate) fn read(root: &Section<'_>, file: &Path) -> Option<Self> {
        let cluster = root.text::<CheckedName>("cluster", NAME_RULE);
        let failure_domain = root.text("failure_domain", NAME_RULE);
        let region = root.text("region", NAME_RULE);
        let data_address = root.address("data_address");
        let control_address = root.address("control_address");
        let admin_address = root.address("admin_address");
        let ingress = read_ingress(root);
        let store_address = root.address("store_address");
        let known_peers = root.address_list("known_peers", 0..=MAX_KNOWN_PEERS);
        let key_files = KeyFiles::read(root, file);
        let worker_count = root.optional_number("worker_count", 1..=MAX_WORKERS);
        let log = read_log(root);
        let teams = read_teams(root, file);
        let drain_limit_ms = root.number("drain_limit_ms", 1..=MAX_DRAIN_MS);
        if data_address.is_some() && data_address == control_address {
            root.report("control_address", "must differ from data_address");
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
                root.report("fabric_address", "accepted only with ingress encapsulated");
            }
            Some(IngressSettings::Socket)
        }
        IngressName::Encapsulated => {
            let Some(fabric_address) = fabric_address else {
                root.report("fabric_address", "required with ingress encapsulated");
                return None;
            };
            Some(IngressSettings::Encapsulated { fabric_address })
        }
    }
}

fn read_teams(root: &Section<'_>, file: &Path) -> Vec<Team> {
    let mut teams: Vec<Team> = Vec::new();
    for section in root.optional_sections("teams") {
        let name = section.text::<CheckedName>("name", NAME_RULE);
        let hash = read_token_hash(&section, file);
        let services: Vec<ServiceSelector> = section.text_list(
            "services",
            1..=MAX_TEAM_SERVICES,
            "names of services, or \"*\" alone for all, are accepted",
        );
        if let Some(name) = &name
            && teams.iter().any(|team| team.name == name.0)
        {
            section.report("name", "another team has the same name");
        }
        if let Some(hash) = &hash
            && teams.iter().any(|team| team.token_hash == hash.0)
        {
            section.report("token_hash", "another team has the same token");
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

/// Reads a token hash from `token_hash` or from the file named by `token_hash_file`.
fn read_token_hash(section: &Section<'_>, file: &Path) -> Option<TokenHash> {
    let accepted = "64 hexadecimal digits, the BLAKE3 hash of the token, are accepted";
    let hash = section.optional_text::<TokenHash>("token_hash", accepted);
    let path = section.optional_text::<PathBuf>("token_hash_file", "the path of a file");
    match (section.has("token_hash"), path) {
        (false, Some(path)) => {
            let text = std::fs::read_to_string(resolve_path(file, &path));
            let hash = text.ok().and_then(|text| text.trim().parse().ok());
            if hash.is_none() {
                section.report(
                    "token_hash_file",
                    &format!("the file cannot be read or its content is invalid: {accepted}"),
                );
            }
            hash
        }
        (true, None) => hash,
        _ => {
            section.report(
                "token_hash",
                "either token_hash or token_hash_file is accepted",
            );
            None
        }
    }
}

fn team_services(section: &Section<'_>, names: Vec<ServiceSelector>) -> Option<TeamServices> {
    if names.iter().any(|name| name.0 == "*") {
        if names.len() > 1 {
            section.report("services", "\"*\" is accepted only alone");
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

/// Name of a cluster or team; the same characters are accepted as in service names.
pub(crate) struct CheckedName(pub(crate) String);

impl FromStr for CheckedName {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let name: ServiceName = text.parse()?;
        Ok(Self(name.into()))
    }
}

impl FromStr for ServiceSelector {
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
            _ => Err(parse_error("token hash")),
        }
    }
}

impl FromStr for IngressName {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "socket" => Ok(Self::Socket),
            "encapsulated" => Ok(Self::Encapsulated),
            _ => Err(parse_error("ingress")),
        }
    }
}

/// Creates the error without the text that was refused, which may be a token given in place of its
/// hash.
fn parse_error(expected: &str) -> ParseValueError {
    ParseValueError {
        text: String::new(),
        expected: expected.to_owned(),
    }
}
