//! Records in which the processes of a deployment describe themselves to their peers.

use std::net::{IpAddr, SocketAddr};

use hawthorntide_types::{
    ConfigurationVersion, FailureDomain, Incarnation, PerMille, Phase, ServiceName, Weight,
};
use serde::{Deserialize, Serialize};

/// Status that an agent publishes for its upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentStatus {
    pub service: ServiceName,
    pub phase: Phase,
    /// Relative share of new flows that the upstream takes.
    pub weight: Weight,
    /// Smoothed number of requests at the upstream per thousand slots.
    pub load: PerMille,
}

impl AgentStatus {
    /// Compares everything but the load, which changes all the time.
    pub(crate) fn is_same_state(&self, other: &Self) -> bool {
        (&self.service, self.phase, self.weight) == (&other.service, other.phase, other.weight)
    }

    /// Returns whether the loads are close enough that the placement of new flows need not change.
    pub(crate) fn is_same_load(&self, other: &Self) -> bool {
        load_level(self.load) == load_level(other.load)
    }
}

/// Highest incarnation or heartbeat counter of a process. Incarnations are milliseconds since 1970, so none
/// comes near; from a higher one, a process could not raise its own.
const MAX_COUNTER: u64 = 1 << 53;

/// Load, per mille, up to which an agent takes its full share of new flows. Above it, waiting times
/// grow faster than the load.
pub(crate) const FREE_LOAD: u16 = 600;

/// Width of a load level, per mille: a third of the range from free to full.
const LOAD_LEVEL_WIDTH: u16 = 300;

/// Load level of an upstream above full load.
const MAX_LOAD_LEVEL: u16 = 4;

fn load_level(load: PerMille) -> u16 {
    let excess = load.get().saturating_sub(FREE_LOAD);
    excess.div_ceil(LOAD_LEVEL_WIDTH).min(MAX_LOAD_LEVEL)
}

impl PeerRole {
    /// Compares everything but the load.
    pub(crate) fn is_same_state(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Balancer(status), Self::Balancer(other)) => status == other,
            (Self::Agent(status), Self::Agent(other))
            | (Self::StoppedAgent(status), Self::StoppedAgent(other)) => {
                status.is_same_state(other)
            }
            _ => false,
        }
    }

    /// Returns whether both have the same load level; balancers have no load.
    pub(crate) fn is_same_load(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Agent(status), Self::Agent(other)) => status.is_same_load(other),
            _ => true,
        }
    }
}

/// Status that a balancer publishes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerStatus {
    /// Version of the routes in force.
    pub version: ConfigurationVersion,
    /// The balancer watches the platform store, and the store answers.
    pub is_watching: bool,
}

/// Role and status of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRole {
    /// Forwards packets of callers.
    Balancer(BalancerStatus),
    /// Delivers packets to the upstream on its VM.
    Agent(AgentStatus),
    /// An agent that was stopped as planned. Its upstream may serve its flows for longer, which nobody can ask
    /// until the agent is back. Never in the directory.
    StoppedAgent(AgentStatus),
}

/// Record of a process of the deployment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Address for messages from peers; identifies the process.
    pub address: SocketAddr,
    pub failure_domain: FailureDomain,
    /// Identifies a run of the process; increases with each restart.
    pub incarnation: Incarnation,
    /// Incremented in each gossip round and with each change of state. Orders the records of one
    /// incarnation.
    #[serde(rename = "beat")]
    pub heartbeat_counter: u64,
    pub role: PeerRole,
}

impl Peer {
    /// Returns the status, if the peer is an agent.
    pub const fn agent(&self) -> Option<&AgentStatus> {
        match &self.role {
            PeerRole::Agent(status) | PeerRole::StoppedAgent(status) => Some(status),
            PeerRole::Balancer(_) => None,
        }
    }

    /// Returns whether the peer is an agent that was stopped as planned.
    pub(crate) const fn is_stopped_agent(&self) -> bool {
        matches!(self.role, PeerRole::StoppedAgent(_))
    }

    /// Returns the status, if the peer is a balancer.
    pub const fn balancer(&self) -> Option<&BalancerStatus> {
        match &self.role {
            PeerRole::Balancer(status) => Some(status),
            PeerRole::Agent(_) | PeerRole::StoppedAgent(_) => None,
        }
    }

    /// Returns the record as an entry of the directory: without what is known only from messages of the
    /// process. An entry may be old, or another program may have written it.
    #[must_use]
    pub fn directory_entry(&self) -> Self {
        let role = match &self.role {
            PeerRole::Balancer(_) => PeerRole::Balancer(BalancerStatus::default()),
            PeerRole::Agent(status) | PeerRole::StoppedAgent(status) => {
                PeerRole::Agent(status.clone())
            }
        };
        Self {
            incarnation: Incarnation(0),
            heartbeat_counter: 0,
            role,
            ..self.clone()
        }
    }

    /// Returns whether `local`, another process, can reach the address and the counters are possible ones.
    pub(crate) fn is_plausible(&self, local: SocketAddr) -> bool {
        let ip = self.address.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        let is_unicast = !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast;
        let is_same_family = ip.is_ipv4() == local.is_ipv4();
        let highest_counter = self.incarnation.get().max(self.heartbeat_counter);
        is_unicast && is_same_family && self.address.port() != 0 && highest_counter <= MAX_COUNTER
    }

    /// Compares this record with another one of the same process.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.heartbeat_counter) > (other.incarnation, other.heartbeat_counter)
    }
}
