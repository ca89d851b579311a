//! Header that carries a caller's address and the service with each forwarded datagram.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use hawthorntide_types::{ResultCode, ServiceId};
use zerocopy::byteorder::big_endian::{U16, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Size of the header in front of each forwarded datagram.
pub const FORWARD_HEADER_BYTES: usize = size_of::<Layout>();

const VERSION: u8 = 1;

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

/// Direction and reason of a forwarded datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardKind {
    /// First packet of a flow; the agent may pass it on once.
    Opening,
    /// Packet of a flow that names its endpoint.
    Established,
    /// Packet from an agent to a caller.
    Reply,
    /// Packet of an opaque UDP flow.
    Opaque,
    /// Packet from the fabric to a balancer, where the fabric does not keep the caller's address.
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
    /// Direction and reason.
    pub kind: ForwardKind,
    /// Agents that passed the datagram on so far.
    pub hops: u8,
    /// Service whose address the caller used.
    pub service: ServiceId,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address of the service that the caller used; replies leave from it.
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
            caller_ip: mapped(self.caller.ip()),
            caller_port: U16::new(self.caller.port()),
            service_port: U16::new(self.service_address.port()),
            service_ip: mapped(self.service_address.ip()),
        };
        buffer[..FORWARD_HEADER_BYTES].copy_from_slice(layout.as_bytes());
    }

    /// Returns a datagram that consists of the header and `packet`.
    pub fn wrap(&self, packet: &[u8]) -> Vec<u8> {
        let mut datagram = vec![0; FORWARD_HEADER_BYTES + packet.len()];
        self.write(&mut datagram);
        datagram[FORWARD_HEADER_BYTES..].copy_from_slice(packet);
        datagram
    }

    /// Splits a datagram into header and packet.
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
            caller: SocketAddr::new(unmapped(layout.caller_ip), layout.caller_port.get()),
            service_address: SocketAddr::new(
                unmapped(layout.service_ip),
                layout.service_port.get(),
            ),
        };
        Ok((header, packet))
    }
}

fn mapped(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}

fn unmapped(octets: [u8; 16]) -> IpAddr {
    Ipv6Addr::from(octets).to_canonical()
}
