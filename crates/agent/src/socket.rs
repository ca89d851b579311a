//! Data socket: unwraps forwarded packets for quinn and wraps its replies.

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

/// Time for which a balancer counts as a live reply path after its last packet.
const REPLY_PATH_FRESH: std::time::Duration = std::time::Duration::from_secs(1);

/// Reply paths that are remembered.
const MAX_REPLY_PATHS: usize = 64;

/// Service addresses that are told apart; more fall back to the first.
const MAX_SERVICE_ADDRESSES: usize = 1024;

/// Largest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Socket that quinn uses; callers appear with their own addresses.
#[derive(Debug)]
pub(crate) struct AgentSocket {
    io: Arc<UdpSocket>,
    service: ServiceId,
    paths: Mutex<Paths>,
    shared: Arc<Shared>,
}

/// Balancers that sent packets lately, and service addresses that callers used.
#[derive(Debug, Default)]
struct Paths {
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

    /// Returns how quinn is to see a forwarded packet, or `None` when it is dropped.
    fn accept(&self, datagram: &[u8], from: SocketAddr) -> Option<(ForwardHeader, IpAddr)> {
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
        // Balancers may have removed an endpoint whose process was paused.
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
        if self.is_passed_on(&header, packet) {
            return None;
        }
        let mut paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        // A sibling that passed a packet on is no path for replies.
        if header.hops == 0 {
            paths.heard(from, Instant::now());
        }
        Some((header, paths.index_of(header.service_address)))
    }

    /// Passes an opening packet on to a sibling that is clearly freer, once.
    fn is_passed_on(&self, header: &ForwardHeader, packet: &[u8]) -> bool {
        if header.kind != ForwardKind::Opening || header.hops > 0 {
            return false;
        }
        // A connection identifier that names this agent resumes a session and has to stay.
        let class = {
            let codec = &self.shared.codec;
            let codec = codec.read().unwrap_or_else(PoisonError::into_inner);
            classify(packet, &codec)
        };
        let PacketClass::Opening { key } = class else {
            return false;
        };
        let now = self.shared.desk.now();
        let Some(sibling) = self.shared.peers.pass_to(now, &key.to_be_bytes()) else {
            return false;
        };
        let passed = ForwardHeader { hops: 1, ..*header };
        // A packet that is lost here is sent again by the caller.
        if self.io.try_send_to(&passed.wrap(packet), sibling).is_ok() {
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
        let heard = paths.reply_path(caller, Instant::now());
        let path = heard.or_else(|| self.shared.peers.any_balancer(caller))?;
        Some((header, path))
    }
}

impl Paths {
    fn heard(&mut self, balancer: SocketAddr, now: Instant) {
        match self
            .balancers
            .binary_search_by_key(&balancer, |path| path.0)
        {
            Ok(index) => self.balancers[index].1 = now,
            Err(index) => {
                if self.balancers.len() >= MAX_REPLY_PATHS {
                    self.balancers
                        .retain(|path| now - path.1 < REPLY_PATH_FRESH);
                }
                if self.balancers.len() < MAX_REPLY_PATHS {
                    let index = index.min(self.balancers.len());
                    self.balancers.insert(index, (balancer, now));
                    self.balancers.sort_unstable_by_key(|path| path.0);
                }
            }
        }
    }

    /// Spreads callers over the balancers that were heard lately.
    fn reply_path(&self, caller: SocketAddr, now: Instant) -> Option<SocketAddr> {
        let is_fresh = |path: &&(SocketAddr, Instant)| now - path.1 < REPLY_PATH_FRESH;
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

    /// quinn returns the local address of a packet with its replies, so it carries the index.
    fn index_of(&mut self, address: SocketAddr) -> IpAddr {
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
                // A reply path that fails is replaced as soon as it goes stale.
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
            let Some((header, local)) = self.accept(datagram, from) else {
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
