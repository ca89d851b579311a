//! Trail that a relayed packet of an opaque UDP flow carries behind the forwarding header.
//!
//! Layout: purpose (1 byte), flags (1), number of entries (1), number of the search (1), origin (6),
//! rival (6), then per entry its state (1), endpoint (6), and data address (4 or 16 bytes, and port).
//! Integers are big-endian. Only the entries in use are written, because each byte counts against
//! the MTU.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use hawthorntide_types::EndpointId;

/// Agents that a packet may pass through before the one that takes it.
pub const MAX_HOPS: u8 = 8;

/// Size of the longest trail.
pub const MAX_TRAIL_BYTES: usize = HEAD_BYTES + MAX_ENTRIES * (1 + ID_BYTES + 18);

const HEAD_BYTES: usize = 4 + 2 * ID_BYTES;
const ID_BYTES: usize = 6;
const MAX_ENTRIES: usize = MAX_HOPS as usize;
const IS_CUT_SHORT: u8 = 1;
const IS_VISITED: u8 = 1;
const IS_VACANT: u8 = 2;
const IS_SETTLED: u8 = 4;
const IS_IPV6: u8 = 8;

/// Why an agent relayed a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayPurpose {
    /// The receiver owns the table slot, as far as the sender knows.
    Handoff,
    /// The receiver may hold the flow.
    Search,
    /// No agent that the packet visited holds the flow; it returns to the origin.
    Return,
}

/// Agent that a packet visited or is going to visit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrailEntry {
    /// The agent.
    pub endpoint: EndpointId,
    /// Address at which it receives relayed packets.
    pub data_address: SocketAddr,
    /// The packet was there.
    pub is_visited: bool,
    /// It holds no flow in the table slot.
    pub is_vacant: bool,
    /// It is vacant, agrees that the origin owns the table slot, and all agents that it would search
    /// are in the trail; the origin need not search there again.
    pub is_settled: bool,
}

/// Way of a relayed packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTrail {
    /// Why the packet was relayed.
    pub purpose: RelayPurpose,
    /// Agent that searches for the holder of the flow.
    pub origin: EndpointId,
    /// Number of the search among those of the origin.
    pub number: u8,
    /// Lowest agent below the origin that searches for the same flow; 0 for none.
    pub rival: EndpointId,
    /// Agents that may hold the flow were left out, because the trail was full.
    pub is_cut_short: bool,
    entries: [TrailEntry; MAX_ENTRIES],
    count: u8,
}

impl RelayTrail {
    pub(crate) fn new() -> Self {
        let unused = TrailEntry {
            endpoint: EndpointId::default(),
            data_address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            is_visited: false,
            is_vacant: false,
            is_settled: false,
        };
        Self {
            purpose: RelayPurpose::Handoff,
            origin: EndpointId::default(),
            number: 0,
            rival: EndpointId::default(),
            is_cut_short: false,
            entries: [unused; MAX_ENTRIES],
            count: 0,
        }
    }

    /// Returns the agents of the trail.
    pub fn entries(&self) -> &[TrailEntry] {
        &self.entries[..usize::from(self.count)]
    }

    pub(crate) fn entry(&self, endpoint: EndpointId) -> Option<&TrailEntry> {
        self.entries()
            .iter()
            .find(|entry| entry.endpoint == endpoint)
    }

    /// Returns the next agent that the packet is going to visit.
    pub(crate) fn next(&self) -> Option<&TrailEntry> {
        self.entries().iter().find(|entry| !entry.is_visited)
    }

    /// Adds an agent or replaces its entry; returns whether there was room.
    pub(crate) fn set(&mut self, entry: TrailEntry) -> bool {
        let count = usize::from(self.count);
        let known = self.entries[..count]
            .iter_mut()
            .find(|known| known.endpoint == entry.endpoint);
        if let Some(known) = known {
            *known = entry;
            return true;
        }
        let Some(place) = self.entries.get_mut(count) else {
            return false;
        };
        *place = entry;
        self.count += 1;
        true
    }

    /// Marks all agents as not visited.
    pub(crate) fn unvisit_all(&mut self) {
        for entry in &mut self.entries[..usize::from(self.count)] {
            entry.is_visited = false;
        }
    }

    /// Appends the trail to `buffer`.
    pub fn write(&self, buffer: &mut Vec<u8>) {
        buffer.push(match self.purpose {
            RelayPurpose::Handoff => 1,
            RelayPurpose::Search => 2,
            RelayPurpose::Return => 3,
        });
        buffer.push(u8::from(self.is_cut_short) * IS_CUT_SHORT);
        buffer.push(self.count);
        buffer.push(self.number);
        write_id(buffer, self.origin);
        write_id(buffer, self.rival);
        for entry in self.entries() {
            let state = u8::from(entry.is_visited) * IS_VISITED
                + u8::from(entry.is_vacant) * IS_VACANT
                + u8::from(entry.is_settled) * IS_SETTLED
                + u8::from(entry.data_address.is_ipv6()) * IS_IPV6;
            buffer.push(state);
            write_id(buffer, entry.endpoint);
            match entry.data_address.ip() {
                IpAddr::V4(ip) => buffer.extend_from_slice(&ip.octets()),
                IpAddr::V6(ip) => buffer.extend_from_slice(&ip.octets()),
            }
            buffer.extend_from_slice(&entry.data_address.port().to_be_bytes());
        }
    }

    /// Reads a trail from the front of `datagram` and returns the packet behind it.
    pub fn read(datagram: &[u8]) -> Option<(Self, &[u8])> {
        let mut rest = datagram;
        let [purpose, flags, count, number] = take(&mut rest)?;
        let mut trail = Self::new();
        trail.purpose = match purpose {
            1 => RelayPurpose::Handoff,
            2 => RelayPurpose::Search,
            3 => RelayPurpose::Return,
            _ => return None,
        };
        trail.is_cut_short = flags & IS_CUT_SHORT != 0;
        trail.number = number;
        trail.origin = read_id(&mut rest)?;
        trail.rival = read_id(&mut rest)?;
        for _ in 0..count {
            let entry = read_entry(&mut rest)?;
            let is_new = trail.entry(entry.endpoint).is_none();
            if !is_new || !trail.set(entry) {
                return None;
            }
        }
        Some((trail, rest))
    }
}

fn read_entry(rest: &mut &[u8]) -> Option<TrailEntry> {
    let [state] = take(rest)?;
    let endpoint = read_id(rest)?;
    let ip = if state & IS_IPV6 == 0 {
        IpAddr::V4(Ipv4Addr::from(take::<4>(rest)?))
    } else {
        IpAddr::V6(Ipv6Addr::from(take::<16>(rest)?))
    };
    let port = u16::from_be_bytes(take(rest)?);
    Some(TrailEntry {
        endpoint,
        data_address: SocketAddr::new(ip, port),
        is_visited: state & IS_VISITED != 0,
        is_vacant: state & IS_VACANT != 0,
        is_settled: state & IS_SETTLED != 0,
    })
}

fn write_id(buffer: &mut Vec<u8>, id: EndpointId) {
    buffer.extend_from_slice(&id.get().to_be_bytes()[2..]);
}

fn read_id(rest: &mut &[u8]) -> Option<EndpointId> {
    let bytes: [u8; ID_BYTES] = take(rest)?;
    let number = bytes
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    Some(EndpointId(number))
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (bytes, tail) = rest.split_first_chunk::<N>()?;
    *rest = tail;
    Some(*bytes)
}
