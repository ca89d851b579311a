//! Relay header, which follows the forwarding header of a packet that one agent relays to another.
//!
//! Only packets of opaque (non-QUIC) UDP flows are relayed. The header lists the agents that the
//! packet has visited and those that it still has to visit.
//!
//! Layout: purpose (1 byte), flags (1), number of entries (1), search id (1), origin (6), competing
//! origin (6), then per entry flags (1), endpoint (6), IP address (4 or 16) and port (2). Integers
//! are big-endian. Unused entries are not written, because each byte reduces the payload that fits
//! in the MTU.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use hawthorntide_types::EndpointId;

/// How many times a packet may be relayed.
pub const MAX_HOPS: u8 = 8;

pub const MAX_RELAY_HEADER_BYTES: usize = FIXED_BYTES + MAX_ENTRIES * (1 + ID_BYTES + 18);

const FIXED_BYTES: usize = 4 + 2 * ID_BYTES;
const ID_BYTES: usize = 6;
const MAX_ENTRIES: usize = MAX_HOPS as usize;
// Header flag.
const IS_TRUNCATED: u8 = 1;
// Entry flags.
const IS_VISITED: u8 = 1;
const IS_SLOT_EMPTY: u8 = 2;
const IS_SKIPPABLE: u8 = 4;
const IS_IPV6: u8 = 8;

/// Why an agent relayed a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayPurpose {
    /// The receiver owns the table slot according to the sender's table.
    Handoff,
    /// The receiver may hold the flow.
    Search,
    /// No visited agent holds the flow; the packet returns to the origin of the search.
    Return,
}

/// Agent that the packet has visited or is going to visit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayEntry {
    pub endpoint: EndpointId,
    /// Address at which it receives relayed packets.
    pub data_address: SocketAddr,
    pub is_visited: bool,
    /// The agent holds no flow in the table slot.
    pub is_slot_empty: bool,
    /// Later searches of the origin need not visit the agent: it holds no flow in the table slot,
    /// agrees that the origin owns the slot, and all agents that it would search are in the header.
    pub is_skippable: bool,
}

/// Contents of a relay header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayHeader {
    pub purpose: RelayPurpose,
    /// Agent that searches for the holder of the flow.
    pub origin: EndpointId,
    /// Distinguishes the searches of one origin.
    pub search_id: u8,
    /// Visited agent that also searches for the flow and has priority because its id is lower than
    /// the origin's; the lowest id if there are several, 0 if there is none.
    pub competing_origin: EndpointId,
    /// Agents that may hold the flow were left out because the header was full.
    pub is_truncated: bool,
    entries: [RelayEntry; MAX_ENTRIES],
    count: u8,
}

impl RelayHeader {
    pub(crate) fn new() -> Self {
        let unused = RelayEntry {
            endpoint: EndpointId::default(),
            data_address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            is_visited: false,
            is_slot_empty: false,
            is_skippable: false,
        };
        Self {
            purpose: RelayPurpose::Handoff,
            origin: EndpointId::default(),
            search_id: 0,
            competing_origin: EndpointId::default(),
            is_truncated: false,
            entries: [unused; MAX_ENTRIES],
            count: 0,
        }
    }

    pub fn entries(&self) -> &[RelayEntry] {
        &self.entries[..usize::from(self.count)]
    }

    pub(crate) fn entry(&self, endpoint: EndpointId) -> Option<&RelayEntry> {
        self.entries()
            .iter()
            .find(|entry| entry.endpoint == endpoint)
    }

    pub(crate) fn next_unvisited(&self) -> Option<&RelayEntry> {
        self.entries().iter().find(|entry| !entry.is_visited)
    }

    /// Adds an agent or replaces its entry; returns false if the header is full.
    pub(crate) fn set(&mut self, entry: RelayEntry) -> bool {
        let count = usize::from(self.count);
        let known = self.entries[..count]
            .iter_mut()
            .find(|known| known.endpoint == entry.endpoint);
        if let Some(known) = known {
            *known = entry;
            return true;
        }
        let Some(free_entry) = self.entries.get_mut(count) else {
            return false;
        };
        *free_entry = entry;
        self.count += 1;
        true
    }

    pub(crate) fn clear_visited(&mut self) {
        for entry in &mut self.entries[..usize::from(self.count)] {
            entry.is_visited = false;
        }
    }

    /// Appends the encoded header to `buffer`.
    pub fn write(&self, buffer: &mut Vec<u8>) {
        buffer.push(match self.purpose {
            RelayPurpose::Handoff => 1,
            RelayPurpose::Search => 2,
            RelayPurpose::Return => 3,
        });
        buffer.push(u8::from(self.is_truncated) * IS_TRUNCATED);
        buffer.push(self.count);
        buffer.push(self.search_id);
        write_id(buffer, self.origin);
        write_id(buffer, self.competing_origin);
        for entry in self.entries() {
            let flags = u8::from(entry.is_visited) * IS_VISITED
                + u8::from(entry.is_slot_empty) * IS_SLOT_EMPTY
                + u8::from(entry.is_skippable) * IS_SKIPPABLE
                + u8::from(entry.data_address.is_ipv6()) * IS_IPV6;
            buffer.push(flags);
            write_id(buffer, entry.endpoint);
            match entry.data_address.ip() {
                IpAddr::V4(ip) => buffer.extend_from_slice(&ip.octets()),
                IpAddr::V6(ip) => buffer.extend_from_slice(&ip.octets()),
            }
            buffer.extend_from_slice(&entry.data_address.port().to_be_bytes());
        }
    }

    /// Decodes the header at the start of `datagram`; also returns the packet that follows it.
    pub fn read(datagram: &[u8]) -> Option<(Self, &[u8])> {
        let mut rest = datagram;
        let [purpose, flags, count, search_id] = read_array(&mut rest)?;
        let mut header = Self::new();
        header.purpose = match purpose {
            1 => RelayPurpose::Handoff,
            2 => RelayPurpose::Search,
            3 => RelayPurpose::Return,
            _ => return None,
        };
        header.is_truncated = flags & IS_TRUNCATED != 0;
        header.search_id = search_id;
        header.origin = read_id(&mut rest)?;
        header.competing_origin = read_id(&mut rest)?;
        for _ in 0..count {
            let entry = read_entry(&mut rest)?;
            let is_new = header.entry(entry.endpoint).is_none();
            if !is_new || !header.set(entry) {
                return None;
            }
        }
        Some((header, rest))
    }
}

fn read_entry(rest: &mut &[u8]) -> Option<RelayEntry> {
    let [flags] = read_array(rest)?;
    let endpoint = read_id(rest)?;
    let ip = if flags & IS_IPV6 == 0 {
        IpAddr::V4(Ipv4Addr::from(read_array::<4>(rest)?))
    } else {
        IpAddr::V6(Ipv6Addr::from(read_array::<16>(rest)?))
    };
    let port = u16::from_be_bytes(read_array(rest)?);
    Some(RelayEntry {
        endpoint,
        data_address: SocketAddr::new(ip, port),
        is_visited: flags & IS_VISITED != 0,
        is_slot_empty: flags & IS_SLOT_EMPTY != 0,
        is_skippable: flags & IS_SKIPPABLE != 0,
    })
}

fn write_id(buffer: &mut Vec<u8>, id: EndpointId) {
    buffer.extend_from_slice(&id.get().to_be_bytes()[2..]);
}

fn read_id(rest: &mut &[u8]) -> Option<EndpointId> {
    let bytes: [u8; ID_BYTES] = read_array(rest)?;
    let id = bytes
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    Some(EndpointId(id))
}

fn read_array<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (bytes, remaining) = rest.split_first_chunk::<N>()?;
    *rest = remaining;
    Some(*bytes)
}
