//! Names and numeric identifiers of processes, services, sessions and object versions.

use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::newtype::{ParseValueError, name, number};

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
    /// Revision of the platform store or of one of its objects. Comparable within one era only.
    Revision(u64)
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

/// Version of an object or of a listing: the era of the platform store and its revision; higher is newer.
///
/// Revisions alone do not order versions, since a store that comes back from a copy gives them out again.
/// The low 40 bits hold the revision and the next 13 the era, so that a version is exact as a JSON number.
/// As text, era and revision are separated by a dot, unless the era is 0; a plain integer is the inner one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

const REVISION_BITS: u32 = 40;
const ERA_BITS: u32 = 13;

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

impl Incarnation {
    /// Returns the next higher incarnation; the highest one has none and returns itself.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl ConfigurationVersion {
    /// Stands for the absence of a configuration.
    pub const NONE: Self = Self(0);
}

impl StoreEra {
    /// Highest era that a version can hold.
    pub const MAX: Self = Self((1 << ERA_BITS) - 1);
}

impl Revision {
    /// Stands for an object that does not exist; every stored revision is higher.
    pub const NONE: Self = Self(0);
    /// Highest revision that a version can hold.
    pub const MAX: Self = Self((1 << REVISION_BITS) - 1);
}

impl Version {
    /// Stands for an object that does not exist; every stored version is higher.
    pub const NONE: Self = Self(0);

    /// Returns the inner integer.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the version of `revision` in `era`. Eras and revisions above their maximum count as the maximum.
    pub const fn in_era(era: StoreEra, revision: Revision) -> Self {
        let era = if era.0 > StoreEra::MAX.0 {
            StoreEra::MAX.0
        } else {
            era.0
        };
        let revision = if revision.0 > Revision::MAX.0 {
            Revision::MAX.0
        } else {
            revision.0
        };
        Self((era << REVISION_BITS) | revision)
    }

    /// Returns the era of the store.
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 >> REVISION_BITS)
    }

    /// Returns the revision within the era.
    pub const fn revision(self) -> Revision {
        Revision(self.0 & Revision::MAX.0)
    }
}

impl Display for Version {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let (era, revision) = (self.era(), self.revision());
        if era == StoreEra::default() {
            return f.pad(&revision.to_string());
        }
        f.pad(&format!("{era}.{revision}"))
    }
}

impl FromStr for Version {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseValueError {
            text: text.chars().take(80).collect(),
            expected: "Version".to_owned(),
        };
        let Some((era, revision)) = text.split_once('.') else {
            return text.parse().map(Self).map_err(|_| malformed());
        };
        let era: StoreEra = era.parse().map_err(|_| malformed())?;
        let revision: Revision = revision.parse().map_err(|_| malformed())?;
        if era > StoreEra::MAX || revision > Revision::MAX {
            return Err(malformed());
        }
        Ok(Self::in_era(era, revision))
    }
}
