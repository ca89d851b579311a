//! Order in which endpoints are asked for a flow.
//!
//! Weighted rendezvous hashing within the failure domain of the caller first, so that replies cross
//! few failure domains, and over the others after it. Every process that knows the same agents
//! computes the same order.

use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::FailureDomain;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Short form of a failure domain for messages.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainTag(pub u16);

impl DomainTag {
    /// Derives the tag of `domain`.
    pub fn of(domain: &FailureDomain) -> Self {
        Self(xxh3_64(domain.as_str().as_bytes()) as u16)
    }
}

/// Returns the rank of the agent at `address` for `flow`; the highest rank comes first.
pub(crate) fn rank(flow: &FlowKey, address: SocketAddr) -> u64 {
    let mut bytes = [0; 18];
    match address.ip() {
        std::net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        std::net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    xxh3_64_with_seed(&bytes, flow.hash())
}
