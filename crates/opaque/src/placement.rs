//! Ranks agents for a flow by rendezvous hashing.
//!
//! `PeerView::next_agent` applies weights to the ranks, and tries agents in the failure domain of the
//! receiving balancer before all others, so that few replies cross failure domains. Processes with
//! the same view of the agents compute the same order.

use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::FailureDomain;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of the name of a failure domain; messages carry it because it is shorter than the name.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainTag(pub u16);

impl DomainTag {
    pub fn of(domain: &FailureDomain) -> Self {
        Self(xxh3_64(domain.as_str().as_bytes()) as u16)
    }
}

/// Returns the rank of the agent at `address` for `flow`; the highest rank is selected first.
pub(crate) fn rank(flow: &FlowKey, address: SocketAddr) -> u64 {
    let mut bytes = [0; 18];
    match address.ip() {
        std::net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        std::net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    xxh3_64_with_seed(&bytes, flow.hash())
}
