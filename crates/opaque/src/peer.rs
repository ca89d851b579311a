//! Processes of a deployment as they describe themselves.

use std::net::SocketAddr;

use hawthorntide_types::{
    FailureDomain, Incarnation, PerMille, Phase, ServiceName, Version, Weight,
};
use serde::{Deserialize, Serialize};

/// What an agent tells of its upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentStatus {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Phase of the upstream.
    pub phase: Phase,
    /// Part of the new flows that the upstream takes.
    pub weight: Weight,
    /// Requests at the upstream for each thousand slots, smoothed.
    pub load: PerMille,
}

impl AgentStatus {
    /// Returns whether both differ in nothing but the load, which changes all the time.
    pub(crate) fn is_same_state(&self, other: &Self) -> bool {
        (&self.service, self.phase, self.weight) == (&other.service, other.phase, other.weight)
    }

    /// Returns whether the loads are so far apart that new flows should be placed otherwise.
    pub(crate) fn is_same_load(&self, other: &Self) -> bool {
        load_level(self.load) == load_level(other.load)
    }
}

/// Load up to which an upstream takes every new flow that falls to it, in thousandths: above it,
/// waiting grows faster than load.
pub(crate) const FREE_LOAD: u16 = 600;

/// Width of a level of load, in thousandths: a third of the way from a free upstream to a full one.
const LOAD_LEVEL: u16 = 300;

/// Highest level: an upstream that is more than full.
const MAX_LOAD_LEVEL: u16 = 4;

fn load_level(load: PerMille) -> u16 {
    let excess = load.get().saturating_sub(FREE_LOAD);
    excess.div_ceil(LOAD_LEVEL).min(MAX_LOAD_LEVEL)
}

impl PeerRole {
    /// Returns whether both differ in nothing but the load.
    pub(crate) fn is_same_state(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Balancer(status), Self::Balancer(other)) => status == other,
            (Self::Agent(status), Self::Agent(other)) => status.is_same_state(other),
            _ => false,
        }
    }

    /// Returns whether both have about the same load, or none.
    pub(crate) fn is_same_load(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Agent(status), Self::Agent(other)) => status.is_same_load(other),
            _ => true,
        }
    }
}

/// What a balancer tells of its routes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerStatus {
    /// Version of the routes in force.
    pub version: Version,
    /// It watches the platform store and is answered.
    pub is_watching: bool,
}

/// Role of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRole {
    /// Forwards packets of callers.
    Balancer(BalancerStatus),
    /// Runs beside an upstream.
    Agent(AgentStatus),
}

/// Process of the deployment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Address for messages of other processes; identifies the process.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Counts what the process told of itself within its life.
    #[serde(rename = "beat")]
    pub heartbeat_counter: u64,
    /// Role and state.
    pub role: PeerRole,
}

impl Peer {
    /// Returns the state of an agent.
    pub const fn agent(&self) -> Option<&AgentStatus> {
        match &self.role {
            PeerRole::Agent(status) => Some(status),
            PeerRole::Balancer(_) => None,
        }
    }

    /// Returns the state of a balancer.
    pub const fn balancer(&self) -> Option<&BalancerStatus> {
        match &self.role {
            PeerRole::Balancer(status) => Some(status),
            PeerRole::Agent(_) => None,
        }
    }

    /// Returns whether this describes a later moment than `other`, which is the same process.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.heartbeat_counter) > (other.incarnation, other.heartbeat_counter)
    }
}
