//! Keys of the check in connection identifiers.

use displaydoc::Display;
use thiserror::Error;

/// Size of one key.
pub const KEY_BYTES: usize = 16;

/// Largest key identifier; a connection identifier has four bits for it.
const MAX_KEY_ID: u8 = 15;

/// One key and the identifier by which connection identifiers name it.
#[derive(Clone)]
pub struct ConnectionIdKey {
    id: u8,
    secret: [u8; KEY_BYTES],
}

/// Reason why keys cannot form a ring.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum KeyRingError {
    /// key id {0} is out of range, 0 to 15 is accepted
    IdOutOfRange(u8),
    /// key id {0} is used twice
    IdUsedTwice(u8),
}

/// The one or two keys that a process accepts.
///
/// A rotation has three steps, each finished on all processes before the next begins: add the new
/// key as the second one, swap the two, and remove the old key once its connections have ended.
#[derive(Clone, Debug)]
pub struct KeyRing {
    issuing: ConnectionIdKey,
    accepted: Option<ConnectionIdKey>,
}

impl ConnectionIdKey {
    /// Wraps a key.
    pub const fn new(id: u8, secret: [u8; KEY_BYTES]) -> Self {
        Self { id, secret }
    }

    /// Returns the identifier of the key.
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
    /// Creates a ring; new connection identifiers use `issuing`, those of `accepted` stay valid.
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
