//! Settings of balancers and agents for opaque flows.

use std::net::SocketAddr;
use std::str::FromStr;

use hawthorntide_types::{DurationMs, FailureDomain, ParseValueError, ServiceName};

use crate::balancer_settings::{MAX_DRAIN_MS, MAX_KNOWN_PEERS, NAME_RULE};
use crate::section::Section;
use crate::settings::{LogSettings, parse_error, read_log};

const MAX_COLD_START_FACTOR: f64 = 1_000.0;

const MAX_HEARTBEAT_MS: u64 = 60_000;

const HAND_OFF_RULE: &str = "\"first_free\" or \"least_loaded\" is accepted";

/// One hour.
const MAX_FLOW_IDLE_MS: u64 = 3_600_000;

/// Settings common to balancers and agents for opaque flows.
#[derive(Clone, Debug)]
pub struct OpaqueProcessSettings {
    pub failure_domain: FailureDomain,
    /// UDP address for messages of other processes; all processes of a deployment use the same port.
    pub peer_address: SocketAddr,
    /// Addresses of other processes to contact in order to join. Their ports are ignored; the port of
    /// `peer_address` is used.
    pub seed_addresses: Vec<SocketAddr>,
    pub store_address: SocketAddr,
    /// HTTP address that the platform probes for readiness.
    pub ready_address: SocketAddr,
    /// HTTP address at which metrics are served; no metrics are served when absent.
    pub metrics_address: Option<SocketAddr>,
    pub log: LogSettings,
}

/// Settings of a balancer for opaque flows.
#[derive(Clone, Debug)]
pub struct OpaqueBalancerSettings {
    pub process: OpaqueProcessSettings,
    /// UDP address for packets of callers.
    pub data_address: SocketAddr,
    /// Longest time that the process drains before it ends.
    pub drain_limit_ms: DurationMs,
    /// Whether operators evacuate failure domains through the platform store. Costs three watches.
    pub has_evacuations: bool,
    /// Tolerance of the platform for the new flows of cold upstreams; `None` without such a bound.
    pub cold_start: Option<ColdStartSettings>,
}

/// Section `cold_start`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartSettings {
    /// Factor on the rate that the operator sets for a service.
    pub excess: f64,
    /// New flows in a second on top of it.
    pub slack: f64,
}

/// Settings of an agent for opaque flows.
#[derive(Clone, Debug)]
pub struct OpaqueAgentSettings {
    pub process: OpaqueProcessSettings,
    pub service: ServiceName,
    /// UDP address at which the upstream receives packets.
    pub upstream_address: SocketAddr,
    /// UDP address of the agent to which the upstream sends its packets.
    pub upstream_output_address: SocketAddr,
    /// HTTP address of the agent to which the upstream sends heartbeats.
    pub heartbeat_address: SocketAddr,
    /// Only the port is used: replies are sent to this port at the caller's IP address.
    pub data_address: SocketAddr,
    /// Interval at which the upstream sends heartbeats.
    pub heartbeat_ms: DurationMs,
    /// Time without packets after which a flow's state is removed.
    pub flow_idle_ms: DurationMs,
    /// Where a new flow stays if all agents that it visits are busy.
    pub hand_off: HandOffRule,
    /// Whether new flows that no agent can serve in time are refused.
    pub refuses_when_full: bool,
}

/// Value of the field `hand_off`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HandOffRule {
    /// At the last of the agents that it visits.
    #[default]
    FirstFree,
    /// At the one with the shortest expected wait.
    LeastLoaded,
}

impl FromStr for HandOffRule {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "first_free" => Ok(Self::FirstFree),
            "least_loaded" => Ok(Self::LeastLoaded),
            _ => Err(parse_error(text, HAND_OFF_RULE)),
        }
    }
}

impl OpaqueProcessSettings {
    fn read(root: &Section<'_>) -> Option<Self> {
        let failure_domain = root.text("failure_domain", NAME_RULE);
        let peer_address = root.address("peer_address");
        let seed_addresses = root.address_list("seed_addresses", 0..=MAX_KNOWN_PEERS);
        let store_address = root.address("store_address");
        let ready_address = root.address("ready_address");
        let metrics_address = root.optional_address("metrics_address");
        let log = read_log(root);
        Some(Self {
            failure_domain: failure_domain?,
            peer_address: peer_address?,
            seed_addresses,
            store_address: store_address?,
            ready_address: ready_address?,
            metrics_address,
            log,
        })
    }
}

impl OpaqueBalancerSettings {
    pub(crate) fn read(root: &Section<'_>) -> Option<Self> {
        let process = OpaqueProcessSettings::read(root);
        let data_address = root.address("data_address");
        let drain_limit_ms = root.number("drain_limit_ms", 1..=MAX_DRAIN_MS);
        let has_evacuations = root.flag("evacuations");
        let cold_start = root.optional_section("cold_start");
        let cold_start = cold_start.and_then(ColdStartSettings::read);
        Some(Self {
            process: process?,
            data_address: data_address?,
            drain_limit_ms: DurationMs(drain_limit_ms?),
            has_evacuations,
            cold_start,
        })
    }
}

impl ColdStartSettings {
    fn read(section: Section<'_>) -> Option<Self> {
        let excess = section.number("excess", 0.0..=MAX_COLD_START_FACTOR);
        let slack = section.number("slack", 0.0..=MAX_COLD_START_FACTOR);
        section.finish();
        Some(Self {
            excess: excess?,
            slack: slack?,
        })
    }
}

impl OpaqueAgentSettings {
    pub(crate) fn read(root: &Section<'_>) -> Option<Self> {
        let process = OpaqueProcessSettings::read(root);
        let service = root.text("service", NAME_RULE);
        let upstream_address = root.address("upstream_address");
        let upstream_output_address = root.address("upstream_output_address");
        let heartbeat_address = root.address("heartbeat_address");
        let data_address = root.address("data_address");
        let heartbeat_ms = root.number("heartbeat_ms", 1..=MAX_HEARTBEAT_MS);
        let flow_idle_ms = root.number("flow_idle_ms", 1..=MAX_FLOW_IDLE_MS);
        let hand_off = root.optional_text("hand_off", HAND_OFF_RULE);
        let refuses_when_full = root.flag("refuse_when_full");
        Some(Self {
            process: process?,
            service: service?,
            upstream_address: upstream_address?,
            upstream_output_address: upstream_output_address?,
            heartbeat_address: heartbeat_address?,
            data_address: data_address?,
            heartbeat_ms: DurationMs(heartbeat_ms?),
            flow_idle_ms: DurationMs(flow_idle_ms?),
            hand_off: hand_off.unwrap_or_default(),
            refuses_when_full,
        })
    }
}
