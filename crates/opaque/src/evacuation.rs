//! Failure domains whose upstreams get no new flows, at the request of operators.
//!
//! The set travels as a whole with the version of the listing it was read from, so that a process which missed
//! changes is up to date after one message.

use hawthorntide_types::{FailureDomain, Version};
use serde::{Deserialize, Serialize};

/// Limit on the failure domains in the set, which bounds the size of gossip messages.
pub const MAX_EVACUATED_DOMAINS: usize = 64;

/// Evacuated failure domains as of a version of the platform store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// Version of the store's listing; `Version::NONE` if none was read.
    version: Version,
    /// Sorted.
    domains: Vec<FailureDomain>,
}

impl Evacuations {
    /// Returns the set of a listing and the number of failure domains beyond the limit, which are left out.
    pub fn new(
        version: Version,
        domains: impl IntoIterator<Item = FailureDomain>,
    ) -> (Self, usize) {
        let mut domains: Vec<_> = domains.into_iter().collect();
        domains.sort_unstable();
        domains.dedup();
        let found = domains.len();
        domains.truncate(MAX_EVACUATED_DOMAINS);
        let left_out = found - domains.len();
        (Self { version, domains }, left_out)
    }

    pub const fn version(&self) -> Version {
        self.version
    }

    pub fn domains(&self) -> &[FailureDomain] {
        &self.domains
    }

    pub fn contains(&self, domain: &FailureDomain) -> bool {
        self.domains.binary_search(domain).is_ok()
    }

    /// Takes over `other` if it is newer; returns whether the set of failure domains changed.
    pub(crate) fn merge(&mut self, other: Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        let is_changed = other.domains != self.domains;
        *self = other;
        is_changed
    }

    /// Returns whether another process sent the set in the form that `new` gives it.
    pub(crate) fn is_valid(&self) -> bool {
        self.domains.len() <= MAX_EVACUATED_DOMAINS && self.domains.is_sorted()
    }
}
