//! Packets of flows: a header of 32 bytes, big-endian, followed by the data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEADER: usize = 32;
pub const MAX_DATA: usize = 1_200;

pub const RST: u8 = 1;
pub const ACK: u8 = 2;
pub const SYN: u8 = 4;
pub const BOUNCED: u8 = 64;

/// Key of the sum, which only requesters and endpoints know.
const KEY: u32 = 0x9e37_79b9;

#[derive(Clone, Debug)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER];
        bytes[8..12].copy_from_slice(&self.seq.to_be_bytes());
        bytes[12..16].copy_from_slice(&self.ack.to_be_bytes());
        bytes[16] = self.flags;
        bytes[18..20].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[20..22].copy_from_slice(&self.dst.port().to_be_bytes());
        bytes[22..24].copy_from_slice(&self.src.port().to_be_bytes());
        bytes[24..28].copy_from_slice(&self.dst.ip().octets());
        bytes[28..32].copy_from_slice(&self.src.ip().octets());
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[4..8].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Decodes a packet; returns it with whether its sum is that of its sender.
    pub fn decode(bytes: &[u8]) -> Option<(Packet, bool)> {
        let header = bytes.get(..HEADER)?;
        let word = |at: usize| {
            u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        let half = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
        let data = bytes[HEADER..].to_vec();
        if usize::from(half(18)) != data.len() {
            return None;
        }
        let packet = Packet {
            seq: word(8),
            ack: word(12),
            flags: header[16],
            dst: SocketAddrV4::new(Ipv4Addr::from(word(24)), half(20)),
            src: SocketAddrV4::new(Ipv4Addr::from(word(28)), half(22)),
            data,
        };
        Some((packet, word(4) == sum(bytes)))
    }

    pub const fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

/// Returns a packet that an endpoint does not accept, as it goes back to the system.
pub fn bounce(bytes: &[u8]) -> Vec<u8> {
    let mut returned = bytes.to_vec();
    returned[16] |= BOUNCED;
    returned[17] = 0;
    returned
}

/// Sum over all fields but `echo`, `pad`, the sum itself and the flag BOUNCED.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash = KEY;
    for (index, byte) in bytes.iter().enumerate().skip(8) {
        let byte = match index {
            16 => byte & !BOUNCED,
            17 => continue,
            _ => *byte,
        };
        hash = (hash ^ u32::from(byte))
            .wrapping_mul(0x0100_0193)
            .rotate_left(5);
    }
    hash.max(1)
}

/// Pseudo-random numbers for initial sequence numbers.
pub fn random() -> u32 {
    use std::collections::hash_map::RandomState;
    use std::hash::{BuildHasher, Hasher};
    RandomState::new().build_hasher().finish() as u32
}
