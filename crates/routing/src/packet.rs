//! Classification of QUIC datagrams by the version-independent properties of RFC 8999.

use xxhash_rust::xxh3::xxh3_64;

use crate::{CONNECTION_ID_BYTES, ConnectionIdCodec, DecodedConnectionId};

const LONG_HEADER_BIT: u8 = 0x80;
const PACKET_TYPE_MASK: u8 = 0x30;
/// First byte and version field of a long header.
const LONG_HEADER_PREFIX_BYTES: usize = 5;
/// Limit of QUIC versions 1 and 2; other versions allow up to 255 bytes.
const MAX_CONNECTION_ID_BYTES: usize = 20;

const VERSION_NEGOTIATION: u32 = 0;
const VERSION_1: u32 = 1;
const VERSION_2: u32 = 0x6b33_43cf;
const INITIAL_TYPE_V1: u8 = 0x00;
const INITIAL_TYPE_V2: u8 = 0x10;

/// What a balancer can tell about a datagram without decrypting it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketClass {
    /// Handshake packet that may start a flow; its connection identifier names no endpoint.
    Opening {
        /// Hash of the destination connection identifier.
        key: u64,
    },
    /// Packet with a valid connection identifier, which names its endpoint.
    Established { connection_id: DecodedConnectionId },
    /// Packet that can neither start a flow nor be assigned to an endpoint.
    Malformed,
}

/// Classifies `datagram` by its first QUIC packet.
pub fn classify(datagram: &[u8], codec: &ConnectionIdCodec) -> PacketClass {
    let Some(&first) = datagram.first() else {
        return PacketClass::Malformed;
    };
    if first & LONG_HEADER_BIT == 0 {
        let connection_id = datagram
            .get(1..=CONNECTION_ID_BYTES)
            .and_then(|id| codec.decode(id));
        return match connection_id {
            Some(connection_id) => PacketClass::Established { connection_id },
            None => PacketClass::Malformed,
        };
    }
    classify_long_header(first, datagram, codec).unwrap_or(PacketClass::Malformed)
}

fn classify_long_header(
    first: u8,
    datagram: &[u8],
    codec: &ConnectionIdCodec,
) -> Option<PacketClass> {
    let (prefix, rest) = datagram.split_at_checked(LONG_HEADER_PREFIX_BYTES)?;
    let version = u32::from_be_bytes([prefix[1], prefix[2], prefix[3], prefix[4]]);
    let (&length, rest) = rest.split_first()?;
    let (id, rest) = rest.split_at_checked(usize::from(length))?;
    let (&source_length, rest) = rest.split_first()?;
    rest.get(..usize::from(source_length))?;
    if let Some(connection_id) = codec.decode(id) {
        return Some(PacketClass::Established { connection_id });
    }
    can_open_flow(first, version, id).then(|| PacketClass::Opening { key: xxh3_64(id) })
}

/// Returns whether a long-header packet may start a flow. Its connection identifier does not name
/// an endpoint.
///
/// Packets of an unknown version are accepted, because the agent answers them with the versions
/// that it supports.
fn can_open_flow(first: u8, version: u32, id: &[u8]) -> bool {
    let packet_type = first & PACKET_TYPE_MASK;
    let is_short_id = id.len() <= MAX_CONNECTION_ID_BYTES;
    match version {
        VERSION_NEGOTIATION => false,
        VERSION_1 => packet_type == INITIAL_TYPE_V1 && is_short_id,
        VERSION_2 => packet_type == INITIAL_TYPE_V2 && is_short_id,
        _ => true,
    }
}
