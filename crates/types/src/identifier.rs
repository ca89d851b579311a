//! Names and numeric identifiers of processes, services, sessions and object versions.

use std::net::SocketAddr;

use crate::newtype::{name, number};

number! {
    /// Identifies a service: a hash of its name, so that no central allocation is needed.
    ServiceId(u64)
}
number! {
    /// Identifies an endpoint: a hash of its agent's data address, of which the low 48 bits are used.
    EndpointId(u64)
}
number! {
    /// Identifies a process: a hash of its control address.
    NodeId(u64)
}
number! {
    /// Distinguishes successive runs of a process at one address; a restarted process has a higher one.
    Incarnation(u64)
}
number! {
    /// Version of an object, assigned by the platform store to each write; higher is newer.
    Version(u64)
}
number! {
    /// Version that the operator gives to a configuration of opaque flows; higher is newer.
    ConfigurationVersion(u64)
}
number! {
    /// Counts the histories of the platform store: it rises each time the store comes back from a copy.
    /// 0 if the store does not report it.
    StoreEra(u64)
}
number! {
    /// Identifies a caller's session at one agent; drawn at random by the agent.
    SessionId(u64)
}
number! {
    /// Incarnation of the agent that granted a session; a restarted agent does not know older sessions.
    Epoch(u64)
}
number! {
    /// Number of a request within its session, assigned by the caller.
    Sequence(u64)
}
name! {
    /// Name that operators gave a service; unique in a deployment.
    ServiceName
}
name! {
    /// Name that operators gave a profile; services refer to the profile by it.
    ProfileName
}
name! {
    /// Name of a set of VMs that may fail together, such as a data center.
    FailureDomain
}
name! {
    /// Name of a group of failure domains with low latency between them.
    Region
}

/// A connection identifier has room for six bytes of endpoint identifier.
const ENDPOINT_ID_BITS: u32 = 48;

impl ServiceId {
    /// Derives the identifier of the service called `name`; equal in every process.
    pub fn of_name(name: &ServiceName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}

impl EndpointId {
    /// Derives the identifier of the endpoint whose agent receives packets at the data address `address`.
    pub fn of_address(address: SocketAddr) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes());
        Self(hash & ((1 << ENDPOINT_ID_BITS) - 1))
    }
}

impl NodeId {
    /// Derives the identifier of the process whose control address is `address`.
    pub fn of_address(address: SocketAddr) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes()))
    }
}

impl ConfigurationVersion {
    /// Stands for the absence of a configuration.
    pub const NONE: Self = Self(0);
}

impl Version {
    /// Stands for an object that does not exist; every stored version is higher.
    pub const NONE: Self = Self(0);
}
