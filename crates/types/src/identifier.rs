//! Identifiers of processes, services, sessions and versions.

use std::net::SocketAddr;

use crate::newtype::{name, number};

number! {
    /// Identifies a service; a hash of its name, so that no allocation is needed.
    ServiceId(u64)
}
number! {
    /// Identifies an endpoint by its agent's data address; 48 bits are used.
    EndpointId(u64)
}
number! {
    /// Identifies a balancer by its control address.
    NodeId(u64)
}
number! {
    /// One life of a process at one address; a restarted process has a higher one.
    Incarnation(u64)
}
number! {
    /// Version of an object in the platform store; higher is newer.
    Version(u64)
}
number! {
    /// Identifies a caller's session at one agent.
    SessionId(u64)
}
number! {
    /// Life of the agent that granted a session.
    Epoch(u64)
}
number! {
    /// Position of a request within its session.
    Sequence(u64)
}
name! {
    /// Name of a service.
    ServiceName
}
name! {
    /// Name of a profile.
    ProfileName
}
name! {
    /// Set of VMs that may fail together.
    FailureDomain
}
name! {
    /// Set of failure domains that are close to each other.
    Region
}

/// Bits of an endpoint identifier; a connection identifier has room for six bytes.
const ENDPOINT_ID_BITS: u32 = 48;

impl ServiceId {
    /// Derives the identifier of the service called `name`.
    pub fn of_name(name: &ServiceName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}

impl EndpointId {
    /// Derives the identifier of the endpoint whose agent receives packets at `address`.
    pub fn of_address(address: SocketAddr) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes());
        Self(hash & ((1 << ENDPOINT_ID_BITS) - 1))
    }
}

impl NodeId {
    /// Derives the identifier of the process whose control socket is at `address`.
    pub fn of_address(address: SocketAddr) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes()))
    }
}

impl Version {
    /// Version of an object that does not exist yet.
    pub const NONE: Self = Self(0);
}
