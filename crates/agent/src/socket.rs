//! Data socket: decapsulates forwarded packets for quinn and encapsulates its replies.

use std::io::{self, IoSliceMut};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use hawthorntide_routing::{PacketClass, classify};
use hawthorntide_types::ServiceId;
use hawthorntide_wire::{FORWARD_HEADER_BYTES, ForwardHeader, ForwardKind};
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::agent::Shared;

/// A balancer is preferred for replies for this long after its last packet.
const REPLY_PATH_LIFETIME: std::time::Duration = std::time::Duration::from_secs(1);

/// Maximum number of balancers stored as reply paths.
const MAX_REPLY_PATHS: usize = 64;

/// Maximum number of service addresses stored. Replies for any further address are sent with the
/// first one.
const MAX_SERVICE_ADDRESSES: usize = 1024;

/// Largest datagram received or sent, including the forwarding header.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// UDP socket for quinn that presents packets with the addresses of their callers instead of those
/// of the balancers.
#[derive(Debug)]
pub(crate) struct AgentSocket {
    io: Arc<UdpSocket>,
    service: ServiceId,
    paths: Mutex<ReplyPaths>,
    shared: Arc<Shared>,
}

/// Balancers with the time of their last packet, and service addresses that callers used.
#[derive(Debug, Default)]
struct ReplyPaths {
    balancers: Vec<(SocketAddr, Instant)>,
    service_addresses: Vec<SocketAddr>,
}

impl AgentSocket {
    pub(crate) fn new(io: UdpSocket, shared: Arc<Shared>) -> Self {
        let service = ServiceId::of_name(&shared.service);
        Self {
            io: Arc::new(io),
            service,
            paths: Mutex::default(),
            shared,
        }
    }

    /// Returns the header of a packet for quinn and the local address to present with it; `None`
    /// when the packet is dropped or was forwarded to a sibling.
    fn decapsulate(&self, datagram: &[u8], from: SocketAddr) -> Option<(ForwardHeader, IpAddr)> {
        let Ok((header, packet)) = ForwardHeader::read(datagram) else {
            metrics::counter!("hawthorntide_agent_packets_dropped_total", "code" => "packet-malformed")
                .increment(1);
            return None;
        };
        if header.service != self.service {
            metrics::counter!("hawthorntide_agent_packets_dropped_total", "code" => "service-mismatch")
                .increment(1);
            return None;
        }
        // Balancers may have removed the endpoint while the process was paused, so it accepts no
        // new flows until a balancer has acknowledged it again.
        let is_announced = self.shared.is_announced.load(Ordering::Relaxed);
        if header.kind == ForwardKind::Opening && !is_announced {
            metrics::counter!("hawthorntide_agent_packets_dropped_total", "code" => "not-announced")
                .increment(1);
            return None;
        }
        if header.hops > 0 && !self.shared.peers.is_sibling(from) {
            metrics::counter!("hawthorntide_agent_packets_dropped_total", "code" => "source-unknown")
                .increment(1);
            return None;
        }
        if self.forward_to_sibling(&header, packet) {
            return None;
        }
        let mut paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        // Replies go through balancers, not through the sibling that forwarded the packet.
        if header.hops == 0 {
            paths.record_balancer(from, Instant::now());
        }
        Some((header, paths.intern_service_address(header.service_address)))
    }

    /// Forwards an opening packet to a sibling with clearly lower load; returns whether it did. A
    /// packet is forwarded at most once.
    fn forward_to_sibling(&self, header: &ForwardHeader, packet: &[u8]) -> bool {
        if header.kind != ForwardKind::Opening || header.hops > 0 {
            return false;
        }
        // An opening packet whose connection identifier encodes this agent resumes a session and
        // must not be forwarded.
        let class = {
            let codec = &self.shared.codec;
            let codec = codec.read().unwrap_or_else(PoisonError::into_inner);
            classify(packet, &codec)
        };
        let PacketClass::Opening { key } = class else {
            return false;
        };
        let now = self.shared.dispatcher.now();
        let Some(sibling) = self.shared.peers.choose_sibling(now, &key.to_be_bytes()) else {
            return false;
        };
        let forwarded = ForwardHeader { hops: 1, ..*header };
        // The caller retransmits a packet that is lost here.
        if self
            .io
            .try_send_to(&forwarded.wrap(packet), sibling)
            .is_ok()
        {
            metrics::counter!("hawthorntide_agent_openings_passed_total").increment(1);
        }
        true
    }

    fn reply_header(&self, transmit: &Transmit<'_>) -> Option<(ForwardHeader, SocketAddr)> {
        let paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        let header = ForwardHeader {
            kind: ForwardKind::Reply,
            hops: 0,
            service: self.service,
            caller: transmit.destination,
            service_address: paths.service_address(transmit.src_ip)?,
        };
        let caller = transmit.destination;
        let recent = paths.reply_path(caller, Instant::now());
        let path = recent.or_else(|| self.shared.peers.fallback_balancer(caller))?;
        Some((header, path))
    }
}

impl ReplyPaths {
    fn record_balancer(&mut self, balancer: SocketAddr, now: Instant) {
        match self
            .balancers
            .binary_search_by_key(&balancer, |path| path.0)
        {
            Ok(index) => self.balancers[index].1 = now,
            Err(index) => {
                if self.balancers.len() >= MAX_REPLY_PATHS {
                    self.balancers
                        .retain(|path| now - path.1 < REPLY_PATH_LIFETIME);
                }
                if self.balancers.len() < MAX_REPLY_PATHS {
                    let index = index.min(self.balancers.len());
                    self.balancers.insert(index, (balancer, now));
                    self.balancers.sort_unstable_by_key(|path| path.0);
                }
            }
        }
    }

    /// Distributes callers over the balancers that sent packets within `REPLY_PATH_LIFETIME`. If
    /// there are none, returns the balancer that sent the latest packet.
    fn reply_path(&self, caller: SocketAddr, now: Instant) -> Option<SocketAddr> {
        let is_fresh = |path: &&(SocketAddr, Instant)| now - path.1 < REPLY_PATH_LIFETIME;
        let fresh = self.balancers.iter().filter(is_fresh).count();
        if fresh == 0 {
            return self
                .balancers
                .iter()
                .max_by_key(|path| path.1)
                .map(|path| path.0);
        }
        let index = usize::from(caller.port()) % fresh;
        self.balancers
            .iter()
            .filter(is_fresh)
            .nth(index)
            .map(|path| path.0)
    }

    /// Returns the index of `address` in the form of an IP address. quinn passes the local address
    /// of a received packet back with its replies, which restores the service address.
    fn intern_service_address(&mut self, address: SocketAddr) -> IpAddr {
        let known = self
            .service_addresses
            .iter()
            .position(|known| *known == address);
        let index = known.unwrap_or_else(|| {
            if self.service_addresses.len() >= MAX_SERVICE_ADDRESSES {
                return 0;
            }
            self.service_addresses.push(address);
            self.service_addresses.len() - 1
        });
        IpAddr::V6(Ipv6Addr::from_bits(index as u128))
    }

    fn service_address(&self, index: Option<IpAddr>) -> Option<SocketAddr> {
        let index = match index {
            Some(IpAddr::V6(ip)) => ip.to_bits() as usize,
            Some(IpAddr::V4(_)) | None => 0,
        };
        self.service_addresses.get(index).copied()
    }
}

impl AsyncUdpSocket for AgentSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller(Arc::clone(&self.io)))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let Some((header, path)) = self.reply_header(transmit) else {
            return Ok(());
        };
        let segment = transmit
            .segment_size
            .unwrap_or(transmit.contents.len())
            .max(1);
        for packet in transmit.contents.chunks(segment) {
            let mut buffer = [0; MAX_DATAGRAM_BYTES];
            let length = FORWARD_HEADER_BYTES + packet.len();
            header.write(&mut buffer);
            buffer[FORWARD_HEADER_BYTES..length].copy_from_slice(packet);
            match self.io.try_send_to(&buffer[..length], path) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(error),
                // A reply path that fails is replaced once its balancer has sent nothing for
                // `REPLY_PATH_LIFETIME`.
                Err(_) => metrics::counter!("hawthorntide_agent_replies_failed_total").increment(1),
            }
        }
        Ok(())
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut space = [0; MAX_DATAGRAM_BYTES];
        loop {
            let mut received = ReadBuf::new(&mut space);
            let from = ready!(self.io.poll_recv_from(context, &mut received))?;
            let datagram = received.filled();
            let Some((header, local)) = self.decapsulate(datagram, from) else {
                continue;
            };
            let packet = &datagram[FORWARD_HEADER_BYTES..];
            if packet.len() > buffers[0].len() {
                continue;
            }
            buffers[0][..packet.len()].copy_from_slice(packet);
            meta[0] = RecvMeta {
                addr: header.caller,
                len: packet.len(),
                stride: packet.len(),
                ecn: None,
                dst_ip: Some(local),
            };
            return Poll::Ready(Ok(1));
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.shared.data_address)
    }
}

#[derive(Debug)]
struct WritePoller(Arc<UdpSocket>);

impl UdpPoller for WritePoller {
    fn poll_writable(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_send_ready(context)
    }
}
