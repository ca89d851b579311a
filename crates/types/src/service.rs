//! Definitions of services, and the lifecycle of balancers and endpoints.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{ProfileName, ServiceId, ServiceName};

/// Protocol that callers use to reach a service, set by operators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Transport {
    /// quic
    #[default]
    Quic,
    /// udp
    Udp,
}

/// Definition of a service, stored by operators in the platform store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, from which [`Service::id`] is derived.
    pub name: ServiceName,
    /// Virtual addresses at which callers reach the service; 1 to 64, each of one service only.
    pub addresses: Vec<SocketAddr>,
    /// Protocol between callers and the service; QUIC unless given.
    #[serde(default)]
    pub transport: Transport,
    /// Profile with the limits and priorities of the service.
    pub profile: ProfileName,
    /// Team responsible for the service; may be empty. Permissions come from the balancers' settings.
    #[serde(default)]
    pub team: String,
}

impl Service {
    /// Identifier that packets and messages use in place of the name.
    pub fn id(&self) -> ServiceId {
        ServiceId::of_name(&self.name)
    }
}

/// Lifecycle phase of a balancer or endpoint, announced by the process itself.
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
    /// Whether a process in this phase may get new flows; draining ones only keep existing flows.
    pub const fn takes_new_flows(self) -> bool {
        matches!(self, Self::Joining | Self::Serving)
    }
}
