//! Header of forwarded datagrams, which carries the addresses of the caller and of the service.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use hawthorntide_types::{ResultCode, ServiceId};
use zerocopy::byteorder::big_endian::{U16, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Size of the header that precedes the packet in a forwarded datagram.
pub const FORWARD_HEADER_BYTES: usize = size_of::<Layout>();

const VERSION: u8 = 1;

/// Header in wire format.
#[derive(FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned)]
#[repr(C)]
struct Layout {
    version: u8,
    kind: u8,
    hops: u8,
    reserved: u8,
    service: U64,
    caller_ip: [u8; 16],
    caller_port: U16,
    service_port: U16,
    service_ip: [u8; 16],
}

/// Why a datagram is forwarded, and in which direction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardKind {
    /// First packet of a flow; the agent may forward it to another agent once.
    Opening,
    /// Packet whose connection identifier encodes the endpoint.
    Established,
    /// Packet from an agent, to be sent to the caller.
    Reply,
    /// Packet of an opaque UDP flow.
    Opaque,
    /// Packet from a network fabric to a balancer; the fabric does not preserve the source address.
    Ingress,
}

impl ForwardKind {
    const fn number(self) -> u8 {
        match self {
            Self::Opening => 1,
            Self::Established => 2,
            Self::Reply => 3,
            Self::Opaque => 4,
            Self::Ingress => 5,
        }
    }

    const fn from_number(number: u8) -> Option<Self> {
        match number {
            1 => Some(Self::Opening),
            2 => Some(Self::Established),
            3 => Some(Self::Reply),
            4 => Some(Self::Opaque),
            5 => Some(Self::Ingress),
            _ => None,
        }
    }
}

/// Decoded header of a forwarded datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardHeader {
    pub kind: ForwardKind,
    /// Number of agents that have forwarded the datagram to another agent.
    pub hops: u8,
    /// Service that the caller addressed.
    pub service: ServiceId,
    pub caller: SocketAddr,
    /// Destination address of the caller's packets; replies must have it as their source address.
    pub service_address: SocketAddr,
}

impl ForwardHeader {
    /// Writes the header into the first [`FORWARD_HEADER_BYTES`] bytes of `buffer`.
    ///
    /// # Panics
    ///
    /// Panics when `buffer` is shorter than the header.
    pub fn write(&self, buffer: &mut [u8]) {
        let layout = Layout {
            version: VERSION,
            kind: self.kind.number(),
            hops: self.hops,
            reserved: 0,
            service: U64::new(self.service.get()),
            caller_ip: to_octets(self.caller.ip()),
            caller_port: U16::new(self.caller.port()),
            service_port: U16::new(self.service_address.port()),
            service_ip: to_octets(self.service_address.ip()),
        };
        buffer[..FORWARD_HEADER_BYTES].copy_from_slice(layout.as_bytes());
    }

    /// Builds a datagram from the header and `packet`.
    pub fn wrap(&self, packet: &[u8]) -> Vec<u8> {
        let mut datagram = vec![0; FORWARD_HEADER_BYTES + packet.len()];
        self.write(&mut datagram);
        datagram[FORWARD_HEADER_BYTES..].copy_from_slice(packet);
        datagram
    }

    /// Parses the header and returns it with the packet that follows.
    pub fn read(datagram: &[u8]) -> Result<(Self, &[u8]), ResultCode> {
        let Ok((layout, packet)) = Layout::ref_from_prefix(datagram) else {
            return Err(ResultCode::PacketMalformed);
        };
        let Some(kind) = ForwardKind::from_number(layout.kind) else {
            return Err(ResultCode::PacketMalformed);
        };
        if layout.version != VERSION {
            return Err(ResultCode::PacketMalformed);
        }
        let header = Self {
            kind,
            hops: layout.hops,
            service: ServiceId(layout.service.get()),
            caller: SocketAddr::new(from_octets(layout.caller_ip), layout.caller_port.get()),
            service_address: SocketAddr::new(
                from_octets(layout.service_ip),
                layout.service_port.get(),
            ),
        };
        Ok((header, packet))
    }
}

/// Encodes an address in 16 bytes; IPv4 addresses become IPv4-mapped IPv6 addresses.
fn to_octets(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}

fn from_octets(octets: [u8; 16]) -> IpAddr {
    Ipv6Addr::from(octets).to_canonical()
}
