//! Keys that authenticate connection identifiers.

use displaydoc::Display;
use thiserror::Error;

pub const KEY_BYTES: usize = 16;

/// Largest key id: a connection identifier has four bits for it.
const MAX_KEY_ID: u8 = 15;

/// Secret key with the id that a connection identifier carries to select it.
#[derive(Clone)]
pub struct ConnectionIdKey {
    id: u8,
    secret: [u8; KEY_BYTES],
}

#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum KeyRingError {
    /// key id {0} is out of range (0 to 15)
    IdOutOfRange(u8),
    /// key id {0} is used by both keys
    IdUsedTwice(u8),
}

/// The key for new connection identifiers, and optionally a second one that is accepted too.
///
/// A rotation has three steps, and each must have reached all processes before the next one begins:
/// add the new key as the second one, swap the two, and remove the old key once its connections
/// have ended.
#[derive(Clone, Debug)]
pub struct KeyRing {
    issuing: ConnectionIdKey,
    accepted: Option<ConnectionIdKey>,
}

impl ConnectionIdKey {
    pub const fn new(id: u8, secret: [u8; KEY_BYTES]) -> Self {
        Self { id, secret }
    }

    pub const fn id(&self) -> u8 {
        self.id
    }

    pub(crate) const fn secret(&self) -> &[u8; KEY_BYTES] {
        &self.secret
    }
}

impl std::fmt::Debug for ConnectionIdKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ConnectionIdKey({}, ..)", self.id)
    }
}

impl KeyRing {
    /// New connection identifiers use `issuing`; those that use `accepted` are valid too.
    pub fn new(
        issuing: ConnectionIdKey,
        accepted: Option<ConnectionIdKey>,
    ) -> Result<Self, KeyRingError> {
        for key in std::iter::once(&issuing).chain(&accepted) {
            if key.id > MAX_KEY_ID {
                return Err(KeyRingError::IdOutOfRange(key.id));
            }
        }
        if accepted.as_ref().is_some_and(|key| key.id == issuing.id) {
            return Err(KeyRingError::IdUsedTwice(issuing.id));
        }
        Ok(Self { issuing, accepted })
    }

    pub(crate) const fn issuing(&self) -> &ConnectionIdKey {
        &self.issuing
    }

    pub(crate) const fn accepted(&self) -> Option<&ConnectionIdKey> {
        self.accepted.as_ref()
    }
}
