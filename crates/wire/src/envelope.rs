//! Envelope that authenticates control messages.
//!
//! Layout: version (1 byte), hash of the cluster's name (4), sender (8), incarnation (8), sequence number
//! (8), the encoded message, and a keyed BLAKE3 tag over everything before it (16). Integers are
//! big-endian. Messages are authenticated but not encrypted.

use hawthorntide_types::{Incarnation, NodeId, ResultCode};
use prost::Message;
use zerocopy::byteorder::big_endian::{U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use crate::control::ControlMessage;

/// Largest control datagram; with IP and UDP headers it fits the minimum MTU of IPv6, 1280 bytes.
pub const MAX_CONTROL_BYTES: usize = 1200;

const VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = size_of::<Header>();

/// Size of the replay window; datagrams reordered by fewer positions are still accepted.
const WINDOW_SIZE: u64 = 64;

#[derive(FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned)]
#[repr(C)]
struct Header {
    version: u8,
    cluster: U32,
    sender: U64,
    incarnation: U64,
    sequence_number: U64,
}

/// Secret shared by all processes of a deployment; `Debug` does not print it.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

/// Verifies and decodes the control datagrams of one cluster, and creates [`ControlSealer`]s for it.
#[derive(Clone, Debug)]
pub struct ControlCodec {
    cluster: u32,
    key: ClusterKey,
}

/// Control message whose authentication tag was valid; not yet checked for replay.
#[derive(Clone, Debug)]
pub struct OpenedMessage {
    pub sender: NodeId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Unique within the incarnation of the sender; starts at 1.
    pub sequence_number: u64,
    pub message: ControlMessage,
}

/// Numbers, encodes and authenticates the control messages of one process.
#[derive(Clone, Debug)]
pub struct ControlSealer {
    codec: ControlCodec,
    sender: NodeId,
    incarnation: Incarnation,
    next_sequence_number: u64,
}

impl ControlCodec {
    /// Creates the codec of the cluster called `cluster`.
    pub fn new(cluster: &str, key: ClusterKey) -> Self {
        let hash = blake3::hash(cluster.as_bytes());
        let bytes = hash.as_bytes();
        let cluster = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        Self { cluster, key }
    }

    /// Creates the sealer of one run of the process `sender`; its sequence numbers start at 1.
    pub fn sealer(&self, sender: NodeId, incarnation: Incarnation) -> ControlSealer {
        ControlSealer {
            codec: self.clone(),
            sender,
            incarnation,
            next_sequence_number: 1,
        }
    }

    /// Verifies and decodes a datagram.
    ///
    /// Replays are not detected here; see [`ReplayWindow`].
    pub fn open(&self, datagram: &[u8]) -> Result<OpenedMessage, ResultCode> {
        if datagram.len() > MAX_CONTROL_BYTES {
            return Err(ResultCode::PacketOversized);
        }
        let Some(body_end) = datagram.len().checked_sub(TAG_BYTES) else {
            return Err(ResultCode::PacketMalformed);
        };
        let (sealed, tag) = datagram.split_at(body_end);
        let Ok((header, body)) = Header::ref_from_prefix(sealed) else {
            return Err(ResultCode::PacketMalformed);
        };
        if header.version != VERSION {
            return Err(ResultCode::PacketMalformed);
        }
        if header.cluster.get() != self.cluster {
            return Err(ResultCode::ClusterForeign);
        }
        // `blake3::Hash` compares in constant time. The tag is only the first 16 bytes of a hash, so the
        // remaining bytes are copied from the expected hash.
        let mut padded = [0; 32];
        let expected = blake3::keyed_hash(&self.key.0, sealed);
        padded[..TAG_BYTES].copy_from_slice(tag);
        padded[TAG_BYTES..].copy_from_slice(&expected.as_bytes()[TAG_BYTES..]);
        if expected != blake3::Hash::from_bytes(padded) {
            return Err(ResultCode::MessageForged);
        }
        let Ok(message) = ControlMessage::decode(body) else {
            return Err(ResultCode::PacketMalformed);
        };
        Ok(OpenedMessage {
            sender: NodeId(header.sender.get()),
            incarnation: Incarnation(header.incarnation.get()),
            sequence_number: header.sequence_number.get(),
            message,
        })
    }
}

impl ControlSealer {
    /// Encodes and authenticates `message`; fails if it does not fit [`MAX_CONTROL_BYTES`].
    pub fn seal(&mut self, message: &ControlMessage) -> Result<Vec<u8>, ResultCode> {
        let length = HEADER_BYTES + message.encoded_len() + TAG_BYTES;
        if length > MAX_CONTROL_BYTES {
            return Err(ResultCode::PacketOversized);
        }
        let header = Header {
            version: VERSION,
            cluster: U32::new(self.codec.cluster),
            sender: U64::new(self.sender.get()),
            incarnation: U64::new(self.incarnation.get()),
            sequence_number: U64::new(self.next_sequence_number),
        };
        self.next_sequence_number += 1;
        let mut datagram = Vec::with_capacity(length);
        datagram.extend_from_slice(header.as_bytes());
        datagram.extend_from_slice(&message.encode_to_vec());
        let tag = blake3::keyed_hash(&self.codec.key.0, &datagram);
        datagram.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        Ok(datagram)
    }
}

/// Sequence numbers recently received from one sender; detects replayed messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` is set if the number `highest - n` was received.
    seen: u64,
}

impl ReplayWindow {
    /// Highest incarnation of the sender that was accepted.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Records a sequence number; fails if it was received before, is older than the window, or belongs
    /// to an earlier incarnation.
    pub fn accept(&mut self, incarnation: Incarnation, number: u64) -> Result<(), ResultCode> {
        if incarnation < self.incarnation {
            return Err(ResultCode::MessageReplayed);
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                highest: number,
                seen: 1,
            };
            return Ok(());
        }
        if number > self.highest {
            let shift = number - self.highest;
            self.seen = if shift < WINDOW_SIZE {
                self.seen << shift
            } else {
                0
            } | 1;
            self.highest = number;
            return Ok(());
        }
        let age = self.highest - number;
        if age >= WINDOW_SIZE || self.seen & (1 << age) != 0 {
            return Err(ResultCode::MessageReplayed);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}
