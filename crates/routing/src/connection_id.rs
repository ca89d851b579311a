//! QUIC connection identifiers that name an endpoint.
//!
//! Layout: version and key id (4 bits each), endpoint (6 bytes), low 32 bits of the incarnation
//! (4), nonce (5), authentication tag (4): `SipHash` of the preceding bytes, truncated to 32 bits.
//! Integers are big-endian.

use hawthorntide_types::{EndpointId, Incarnation};
use siphasher::sip::SipHasher24;

use crate::KeyRing;

/// The longest connection identifier that QUIC version 1 allows.
pub const CONNECTION_ID_BYTES: usize = 20;

const VERSION: u8 = 1;
const AUTHENTICATED_BYTES: usize = 16;

/// Contents of a valid connection identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DecodedConnectionId {
    /// Endpoint that issued the identifier.
    pub endpoint: EndpointId,
    /// Low 32 bits of the endpoint's incarnation when it issued the identifier.
    pub incarnation_low: u32,
}

/// Key for authentication tags, with its hasher initialised once instead of per packet.
#[derive(Clone)]
struct TagKey {
    key_id: u8,
    hasher: SipHasher24,
}

/// Encodes and decodes connection identifiers.
#[derive(Clone)]
pub struct ConnectionIdCodec {
    issuing: TagKey,
    accepted: Option<TagKey>,
}

impl ConnectionIdCodec {
    /// Creates a codec that encodes with the issuing key of `keys` and accepts all of its keys.
    pub fn new(keys: KeyRing) -> Self {
        let tag_key = |key: &crate::ConnectionIdKey| TagKey {
            key_id: key.id(),
            hasher: SipHasher24::new_with_key(key.secret()),
        };
        Self {
            issuing: tag_key(keys.issuing()),
            accepted: keys.accepted().map(tag_key),
        }
    }

    /// Returns an identifier that names `endpoint`; only the low 40 bits of `nonce` are used.
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
        let tag = self.issuing.tag(&id[..AUTHENTICATED_BYTES]);
        id[AUTHENTICATED_BYTES..].copy_from_slice(&tag);
        id
    }

    /// Returns the contents of `id`, or `None` if its tag does not match any key.
    pub fn decode(&self, id: &[u8]) -> Option<DecodedConnectionId> {
        let id: &[u8; CONNECTION_ID_BYTES] = id.try_into().ok()?;
        if id[0] >> 4 != VERSION {
            return None;
        }
        let key_id = id[0] & 0x0f;
        let tag_key = if key_id == self.issuing.key_id {
            &self.issuing
        } else {
            let accepted = self.accepted.as_ref()?;
            (accepted.key_id == key_id).then_some(accepted)?
        };
        if tag_key.tag(&id[..AUTHENTICATED_BYTES]) != id[AUTHENTICATED_BYTES..] {
            return None;
        }
        let endpoint = u64::from_be_bytes([0, 0, id[1], id[2], id[3], id[4], id[5], id[6]]);
        Some(DecodedConnectionId {
            endpoint: EndpointId(endpoint),
            incarnation_low: u32::from_be_bytes([id[7], id[8], id[9], id[10]]),
        })
    }
}

impl TagKey {
    fn tag(&self, bytes: &[u8]) -> [u8; 4] {
        (self.hasher.hash(bytes) as u32).to_be_bytes()
    }
}

impl std::fmt::Debug for ConnectionIdCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ConnectionIdCodec(..)")
    }
}
