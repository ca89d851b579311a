//! Connection identifiers that name an endpoint.
//!
//! Layout: version and key id (4 bits each), endpoint (6 bytes), low part of the incarnation (4),
//! nonce (5), keyed check (4). Integers are big-endian.

use hawthorntide_types::{EndpointId, Incarnation};
use siphasher::sip::SipHasher24;

use crate::KeyRing;

/// Size of a connection identifier; the largest that QUIC version 1 allows.
pub const CONNECTION_ID_BYTES: usize = 20;

const VERSION: u8 = 1;
const CHECKED_BYTES: usize = 16;

/// What a valid connection identifier says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionToken {
    /// Endpoint that issued the identifier.
    pub endpoint: EndpointId,
    /// Low 32 bits of the incarnation in which it did.
    pub incarnation_low: u32,
}

/// Key with its hasher set up, so that a check costs no key schedule.
#[derive(Clone)]
struct Check {
    key_id: u8,
    hasher: SipHasher24,
}

/// Encodes and decodes connection identifiers.
#[derive(Clone)]
pub struct ConnectionIdCodec {
    issuing: Check,
    accepted: Option<Check>,
}

impl ConnectionIdCodec {
    /// Creates a codec that issues with the first key of `keys` and accepts all of them.
    pub fn new(keys: KeyRing) -> Self {
        let check = |key: &crate::ConnectionIdKey| Check {
            key_id: key.id(),
            hasher: SipHasher24::new_with_key(key.secret()),
        };
        Self {
            issuing: check(keys.issuing()),
            accepted: keys.accepted().map(check),
        }
    }

    /// Returns an identifier that names `endpoint`; the low 40 bits of `nonce` are used.
    pub fn encode(
        &self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        nonce: u64,
    ) -> [u8; CONNECTION_ID_BYTES] {
        let mut id = [0; CONNECTION_ID_BYTES];
        id[0] = VERSION << 4 | self.issuing.key_id;
        id[1..7].copy_from_slice(&endpoint.get().to_be_bytes()[2..]);
        id[7..11].copy_from_slice(&(incarnation.get() as u32).to_be_bytes());
        id[11..16].copy_from_slice(&nonce.to_be_bytes()[3..]);
        let check = self.issuing.of(&id[..CHECKED_BYTES]);
        id[CHECKED_BYTES..].copy_from_slice(&check);
        id
    }

    /// Returns what `id` says, or `None` when none of the keys issued it.
    pub fn decode(&self, id: &[u8]) -> Option<ConnectionToken> {
        let id: &[u8; CONNECTION_ID_BYTES] = id.try_into().ok()?;
        if id[0] >> 4 != VERSION {
            return None;
        }
        let key_id = id[0] & 0x0f;
        let check = if key_id == self.issuing.key_id {
            &self.issuing
        } else {
            let accepted = self.accepted.as_ref()?;
            (accepted.key_id == key_id).then_some(accepted)?
        };
        if check.of(&id[..CHECKED_BYTES]) != id[CHECKED_BYTES..] {
            return None;
        }
        let endpoint = u64::from_be_bytes([0, 0, id[1], id[2], id[3], id[4], id[5], id[6]]);
        Some(ConnectionToken {
            endpoint: EndpointId(endpoint),
            incarnation_low: u32::from_be_bytes([id[7], id[8], id[9], id[10]]),
        })
    }
}

impl Check {
    fn of(&self, bytes: &[u8]) -> [u8; 4] {
        (self.hasher.hash(bytes) as u32).to_be_bytes()
    }
}

impl std::fmt::Debug for ConnectionIdCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ConnectionIdCodec(..)")
    }
}
