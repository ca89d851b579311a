//! Services and the phases of the processes that serve them.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{ProfileName, ServiceId, ServiceName};

/// Transport of a service towards callers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Transport {
    /// quic
    #[default]
    Quic,
    /// udp
    Udp,
}

/// Service as operators define it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Addresses at which callers reach the service.
    pub addresses: Vec<SocketAddr>,
    /// Transport towards callers.
    #[serde(default)]
    pub transport: Transport,
    /// Profile that the service follows.
    pub profile: ProfileName,
    /// Team that may change the service.
    #[serde(default)]
    pub team: String,
}

impl Service {
    /// Returns the identifier of the service.
    pub fn id(&self) -> ServiceId {
        ServiceId::of_name(&self.name)
    }
}

/// Phase of a balancer or endpoint.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// joining
    Joining,
    /// serving
    Serving,
    /// draining
    Draining,
    /// gone
    Gone,
}

impl Phase {
    /// Returns whether new flows may go to a process in this phase.
    pub const fn takes_new_flows(self) -> bool {
        matches!(self, Self::Joining | Self::Serving)
    }
}
