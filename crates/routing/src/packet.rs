//! Classification of datagrams by the version-independent properties of QUIC (RFC 8999).

use xxhash_rust::xxh3::xxh3_64;

use crate::{CONNECTION_ID_BYTES, ConnectionIdCodec, ConnectionToken};

const LONG_HEADER: u8 = 0x80;
const PACKET_TYPE: u8 = 0x30;
/// First byte and version of a long header.
const LONG_PREFIX_BYTES: usize = 5;
/// Longest connection identifier of the QUIC versions 1 and 2.
const MAX_KNOWN_ID_BYTES: usize = 20;

const VERSION_NEGOTIATION: u32 = 0;
const VERSION_1: u32 = 1;
const VERSION_2: u32 = 0x6b33_43cf;
const INITIAL_OF_VERSION_1: u8 = 0x00;
const INITIAL_OF_VERSION_2: u8 = 0x10;

/// What a datagram is to a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketClass {
    /// First packets of a flow, which name no endpoint.
    Opening {
        /// Hash of the destination connection identifier.
        key: u64,
    },
    /// Packet that names its endpoint.
    Established {
        /// The name.
        token: ConnectionToken,
    },
    /// Packet that neither opens a flow nor names an endpoint.
    Malformed,
}

/// Classifies the first QUIC packet of `datagram`.
pub fn classify(datagram: &[u8], codec: &ConnectionIdCodec) -> PacketClass {
    let Some(&first) = datagram.first() else {
        return PacketClass::Malformed;
    };
    if first & LONG_HEADER == 0 {
        let token = datagram
            .get(1..=CONNECTION_ID_BYTES)
            .and_then(|id| codec.decode(id));
        return match token {
            Some(token) => PacketClass::Established { token },
            None => PacketClass::Malformed,
        };
    }
    classify_long(first, datagram, codec).unwrap_or(PacketClass::Malformed)
}

fn classify_long(first: u8, datagram: &[u8], codec: &ConnectionIdCodec) -> Option<PacketClass> {
    let (prefix, rest) = datagram.split_at_checked(LONG_PREFIX_BYTES)?;
    let version = u32::from_be_bytes([prefix[1], prefix[2], prefix[3], prefix[4]]);
    let (&length, rest) = rest.split_first()?;
    let (id, rest) = rest.split_at_checked(usize::from(length))?;
    let (&source_length, rest) = rest.split_first()?;
    rest.get(..usize::from(source_length))?;
    if let Some(token) = codec.decode(id) {
        return Some(PacketClass::Established { token });
    }
    can_open(first, version, id).then(|| PacketClass::Opening { key: xxh3_64(id) })
}

/// Returns whether a long header without a valid token may start a flow.
///
/// Packets of an unknown version go to an agent too, because it answers with the versions that it
/// supports.
fn can_open(first: u8, version: u32, id: &[u8]) -> bool {
    let packet_type = first & PACKET_TYPE;
    let is_short_id = id.len() <= MAX_KNOWN_ID_BYTES;
    match version {
        VERSION_NEGOTIATION => false,
        VERSION_1 => packet_type == INITIAL_OF_VERSION_1 && is_short_id,
        VERSION_2 => packet_type == INITIAL_OF_VERSION_2 && is_short_id,
        _ => true,
    }
}
