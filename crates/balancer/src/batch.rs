//! Batches of datagrams, received and sent with few system calls and without allocation.

use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::sync::Arc;

use hawthorntide_types::ResultCode;
use hawthorntide_wire::{FORWARD_HEADER_BYTES, ForwardHeader};
use quinn::udp::{RecvMeta, Transmit, UdpSockRef, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Most workers that receive packets at one address.
pub(crate) const MAX_WORKERS: usize = 4;

/// Datagrams that one call receives.
const BATCH: usize = 32;

/// Space for one received datagram, or for several that the system joined.
const BUFFER_BYTES: usize = 65_536;

/// Most bytes that one call sends; the system splits them into datagrams.
const MAX_RUN_BYTES: usize = 60_000;

/// Buffer of the system for each direction of a socket; holds bursts while a worker is busy.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Socket that receives and sends batches.
#[derive(Debug)]
pub(crate) struct BatchSocket {
    io: UdpSocket,
    state: UdpSocketState,
    local_address: SocketAddr,
}

/// Datagrams that were received with one call.
pub(crate) struct Received {
    space: Vec<u8>,
    metas: [RecvMeta; BATCH],
    count: usize,
}

/// Part of the received bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Range {
    start: usize,
    end: usize,
}

/// Datagram that is going to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outgoing {
    /// Position of the socket among those of the worker.
    pub(crate) socket: usize,
    pub(crate) to: SocketAddr,
    /// Packets of open flows are sent before those of new ones.
    pub(crate) is_opening: bool,
    /// The packet goes to a caller.
    pub(crate) is_reply: bool,
    /// Header in front of the packet, if it has one.
    pub(crate) header: Option<ForwardHeader>,
    pub(crate) packet: Range,
}

/// Result of sending a batch.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sent {
    pub(crate) forwarded: u64,
    pub(crate) replied: u64,
    pub(crate) failed: u64,
}

/// Datagrams to send, the order in which to do so, and space to put them together.
#[derive(Default)]
pub(crate) struct Sending {
    outgoing: Vec<Outgoing>,
    order: Vec<usize>,
    run: Vec<u8>,
}

/// Number of drops by reason; few reasons occur in one batch.
#[derive(Default)]
pub(crate) struct Drops(Vec<(ResultCode, u64)>);

/// Binds one socket for each worker, at most `max_workers`, to `address`; the system spreads the
/// senders among them.
pub(crate) async fn bind_shared(
    address: SocketAddr,
    max_workers: usize,
) -> io::Result<Vec<Arc<BatchSocket>>> {
    // Sockets of workers share their address with any process of the user, so only a socket that
    // does not share finds out that another process has the address.
    drop(UdpSocket::bind(address).await?);
    let mut sockets: Vec<Arc<BatchSocket>> = Vec::new();
    let count = std::thread::available_parallelism().map_or(1, usize::from);
    for _ in 0..count.min(max_workers) {
        let address = sockets.first().map_or(address, |first| first.local_address);
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        sockets.push(Arc::new(BatchSocket::new(socket)?));
    }
    Ok(sockets)
}

impl BatchSocket {
    fn new(io: UdpSocket) -> io::Result<Self> {
        let state = UdpSocketState::new(UdpSockRef::from(&io))?;
        state.set_recv_buffer_size(UdpSockRef::from(&io), SOCKET_BUFFER_BYTES)?;
        state.set_send_buffer_size(UdpSockRef::from(&io), SOCKET_BUFFER_BYTES)?;
        let local_address = io.local_addr()?;
        Ok(Self {
            io,
            state,
            local_address,
        })
    }

    pub(crate) const fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.io.readable().await
    }

    /// Receives what is there; returns whether there was anything.
    pub(crate) fn receive(&self, received: &mut Received) -> bool {
        received.count = 0;
        let mut chunks = received.space.chunks_exact_mut(BUFFER_BYTES);
        let mut slices: [_; BATCH] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        let socket = UdpSockRef::from(&self.io);
        let metas = &mut received.metas;
        let result = self.io.try_io(Interest::READABLE, || {
            self.state.recv(socket, &mut slices, metas)
        });
        // An ICMP answer to an earlier packet surfaces here and concerns no later packet.
        received.count = result.unwrap_or(0);
        received.count > 0
    }

    fn send(&self, to: SocketAddr, contents: &[u8], segment: usize) -> io::Result<()> {
        let transmit = Transmit {
            destination: to,
            ecn: None,
            contents,
            segment_size: (contents.len() > segment).then_some(segment),
            src_ip: None,
        };
        let socket = UdpSockRef::from(&self.io);
        self.io.try_io(Interest::WRITABLE, || {
            self.state.try_send(socket, &transmit)
        })
    }
}

impl Received {
    pub(crate) fn new() -> Self {
        Self {
            space: vec![0; BATCH * BUFFER_BYTES],
            metas: std::array::from_fn(|_| RecvMeta::default()),
            count: 0,
        }
    }

    /// Returns the sender and the place of each datagram.
    pub(crate) fn datagrams(&self) -> impl Iterator<Item = (SocketAddr, Range)> + '_ {
        let metas = self.metas[..self.count].iter().enumerate();
        metas.flat_map(|(index, meta)| {
            let start = index * BUFFER_BYTES;
            let stride = meta.stride.max(1);
            (0..meta.len).step_by(stride).map(move |offset| {
                let range = Range {
                    start: start + offset,
                    end: start + meta.len.min(offset + stride),
                };
                (meta.addr, range)
            })
        })
    }

    pub(crate) fn bytes(&self, range: Range) -> &[u8] {
        &self.space[range.start..range.end]
    }
}

impl Range {
    /// Returns the range without the forwarding header in front.
    pub(crate) const fn without_header(self) -> Self {
        Self {
            start: self.start + FORWARD_HEADER_BYTES,
            end: self.end,
        }
    }
}

impl Outgoing {
    const fn length(&self) -> usize {
        let packet = self.packet.end - self.packet.start;
        if self.header.is_some() {
            FORWARD_HEADER_BYTES + packet
        } else {
            packet
        }
    }
}

impl Sending {
    pub(crate) fn push(&mut self, outgoing: Outgoing) {
        self.outgoing.push(outgoing);
    }

    /// Sends all datagrams, those of one destination together, in their order.
    pub(crate) fn flush<'a>(
        &mut self,
        received: &Received,
        socket: impl Fn(usize) -> &'a BatchSocket,
    ) -> Sent {
        let outgoing = &self.outgoing;
        self.order.clear();
        self.order.extend(0..outgoing.len());
        self.order.sort_unstable_by_key(|index| {
            let packet = &outgoing[*index];
            (
                packet.is_opening,
                packet.is_reply,
                packet.socket,
                packet.to,
                *index,
            )
        });
        let mut sent = Sent::default();
        let mut rest = &self.order[..];
        while let Some(first) = rest.first() {
            let first = &outgoing[*first];
            let socket = socket(first.socket);
            let count = run_length(outgoing, rest, socket.state.max_gso_segments());
            let (run, tail) = rest.split_at(count);
            rest = tail;
            self.run.clear();
            for index in run {
                write(&outgoing[*index], received, &mut self.run);
            }
            let result = socket.send(first.to, &self.run, first.length());
            let counter = match result {
                Err(_) => &mut sent.failed,
                Ok(()) if first.is_reply => &mut sent.replied,
                Ok(()) => &mut sent.forwarded,
            };
            *counter += count as u64;
        }
        self.outgoing.clear();
        sent
    }
}

/// Returns how many of the first datagrams in `order` one call can send: all but the last one must
/// have the same length.
fn run_length(outgoing: &[Outgoing], order: &[usize], max_count: usize) -> usize {
    let first = &outgoing[order[0]];
    let length = first.length();
    let max_count = max_count.min(MAX_RUN_BYTES / length.max(1)).max(1);
    let mut count = 1;
    for index in order.iter().take(max_count).skip(1) {
        let next = &outgoing[*index];
        let is_same_way =
            (next.socket, next.to, next.is_reply) == (first.socket, first.to, first.is_reply);
        if !is_same_way || next.length() > length {
            break;
        }
        count += 1;
        if next.length() < length {
            break;
        }
    }
    count
}

fn write(outgoing: &Outgoing, received: &Received, run: &mut Vec<u8>) {
    if let Some(header) = &outgoing.header {
        let start = run.len();
        run.resize(start + FORWARD_HEADER_BYTES, 0);
        header.write(&mut run[start..]);
    }
    run.extend_from_slice(received.bytes(outgoing.packet));
}

impl Drops {
    pub(crate) fn add(&mut self, code: ResultCode, count: u64) {
        match self.0.iter_mut().find(|(known, _)| *known == code) {
            Some((_, sum)) => *sum += count,
            None if count > 0 => self.0.push((code, count)),
            None => {}
        }
    }

    /// Reports the drops to the metrics and returns their number.
    pub(crate) fn report(&mut self) -> u64 {
        let mut sum = 0;
        for (code, count) in self.0.drain(..) {
            sum += count;
            metrics::counter!("hawthorntide_balancer_packets_dropped_total", "code" => code.name())
                .increment(count);
        }
        sum
    }
}
