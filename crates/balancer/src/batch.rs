//! Receives and sends batches of datagrams with few system calls and without allocation.

use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::sync::Arc;

use hawthorntide_types::ResultCode;
use hawthorntide_wire::{FORWARD_HEADER_BYTES, ForwardHeader};
use quinn::udp::{RecvMeta, Transmit, UdpSockRef, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Maximum number of workers that receive packets at one address.
pub(crate) const MAX_WORKERS: usize = 4;

/// Receive buffers per system call.
const RECEIVE_BUFFERS: usize = 32;

/// Size of a receive buffer, which holds one datagram or several that the kernel coalesced (GRO).
const BUFFER_BYTES: usize = 65_536;

/// Maximum number of bytes sent by one system call; the kernel splits them into datagrams (GSO).
const MAX_SEND_BYTES: usize = 60_000;

/// Size of the kernel's receive buffer and of its send buffer; they hold bursts while a worker is
/// busy.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// UDP socket that receives and sends batches of datagrams.
#[derive(Debug)]
pub(crate) struct BatchSocket {
    io: UdpSocket,
    state: UdpSocketState,
    local_address: SocketAddr,
}

/// Datagrams received by one system call.
pub(crate) struct ReceivedBatch {
    buffers: Vec<u8>,
    metas: [RecvMeta; RECEIVE_BUFFERS],
    count: usize,
}

/// Byte range in the receive buffers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ByteRange {
    start: usize,
    end: usize,
}

/// Datagram to send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outgoing {
    /// Index of the sending socket among those of the worker.
    pub(crate) socket: usize,
    pub(crate) to: SocketAddr,
    /// Whether the packet opens a flow; packets of established flows are sent first.
    pub(crate) is_opening: bool,
    /// Whether the packet goes to a caller.
    pub(crate) is_reply: bool,
    /// Encapsulation header to put in front of the packet.
    pub(crate) header: Option<ForwardHeader>,
    pub(crate) packet: ByteRange,
}

/// Number of datagrams by result of sending.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendCounts {
    pub(crate) forwarded: u64,
    pub(crate) replied: u64,
    pub(crate) failed: u64,
}

/// Queue of datagrams to send, with scratch space for their order and for assembling segments.
#[derive(Default)]
pub(crate) struct SendQueue {
    outgoing: Vec<Outgoing>,
    order: Vec<usize>,
    segments: Vec<u8>,
}

/// Number of dropped packets by reason. A list suffices, because few reasons occur in one batch.
#[derive(Default)]
pub(crate) struct DropCounts(Vec<(ResultCode, u64)>);

/// Binds one socket per worker to `address` with `SO_REUSEPORT`; the kernel distributes the senders
/// among them. There is one worker per CPU, at most `max_workers`.
pub(crate) async fn bind_reuse_port(
    address: SocketAddr,
    max_workers: usize,
) -> io::Result<Vec<Arc<BatchSocket>>> {
    // `SO_REUSEPORT` lets any process of the same user bind the address too. A probe socket without
    // it detects that another process already uses the address.
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

    /// Receives the waiting datagrams; returns whether there were any.
    pub(crate) fn receive(&self, received: &mut ReceivedBatch) -> bool {
        received.count = 0;
        let mut chunks = received.buffers.chunks_exact_mut(BUFFER_BYTES);
        let mut slices: [_; RECEIVE_BUFFERS] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        let socket = UdpSockRef::from(&self.io);
        let metas = &mut received.metas;
        let result = self.io.try_io(Interest::READABLE, || {
            self.state.recv(socket, &mut slices, metas)
        });
        // The error may be an ICMP error caused by an earlier packet. It is ignored, because it
        // does not affect later packets.
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

impl ReceivedBatch {
    pub(crate) fn new() -> Self {
        Self {
            buffers: vec![0; RECEIVE_BUFFERS * BUFFER_BYTES],
            metas: std::array::from_fn(|_| RecvMeta::default()),
            count: 0,
        }
    }

    /// Sender and byte range of each datagram.
    pub(crate) fn datagrams(&self) -> impl Iterator<Item = (SocketAddr, ByteRange)> + '_ {
        let metas = self.metas[..self.count].iter().enumerate();
        metas.flat_map(|(index, meta)| {
            let start = index * BUFFER_BYTES;
            let stride = meta.stride.max(1);
            (0..meta.len).step_by(stride).map(move |offset| {
                let range = ByteRange {
                    start: start + offset,
                    end: start + meta.len.min(offset + stride),
                };
                (meta.addr, range)
            })
        })
    }

    pub(crate) fn bytes(&self, range: ByteRange) -> &[u8] {
        &self.buffers[range.start..range.end]
    }
}

impl ByteRange {
    /// The range after the encapsulation header.
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

impl SendQueue {
    pub(crate) fn push(&mut self, outgoing: Outgoing) {
        self.outgoing.push(outgoing);
    }

    /// Sends all queued datagrams. Those with the same destination are sent together and in their
    /// order.
    pub(crate) fn flush<'a>(
        &mut self,
        received: &ReceivedBatch,
        socket: impl Fn(usize) -> &'a BatchSocket,
    ) -> SendCounts {
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
        let mut sent = SendCounts::default();
        let mut rest = &self.order[..];
        while let Some(first) = rest.first() {
            let first = &outgoing[*first];
            let socket = socket(first.socket);
            let count = segment_count(outgoing, rest, socket.state.max_gso_segments());
            let (run, tail) = rest.split_at(count);
            rest = tail;
            self.segments.clear();
            for index in run {
                append(&outgoing[*index], received, &mut self.segments);
            }
            let result = socket.send(first.to, &self.segments, first.length());
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

/// Number of leading datagrams in `order` that one system call can send: they share socket and
/// destination, and all but the last one, which may be shorter, have the same length.
fn segment_count(outgoing: &[Outgoing], order: &[usize], max_count: usize) -> usize {
    let first = &outgoing[order[0]];
    let length = first.length();
    let max_count = max_count.min(MAX_SEND_BYTES / length.max(1)).max(1);
    let mut count = 1;
    for index in order.iter().take(max_count).skip(1) {
        let next = &outgoing[*index];
        let is_same_path =
            (next.socket, next.to, next.is_reply) == (first.socket, first.to, first.is_reply);
        if !is_same_path || next.length() > length {
            break;
        }
        count += 1;
        if next.length() < length {
            break;
        }
    }
    count
}

fn append(outgoing: &Outgoing, received: &ReceivedBatch, segments: &mut Vec<u8>) {
    if let Some(header) = &outgoing.header {
        let start = segments.len();
        segments.resize(start + FORWARD_HEADER_BYTES, 0);
        header.write(&mut segments[start..]);
    }
    segments.extend_from_slice(received.bytes(outgoing.packet));
}

impl DropCounts {
    pub(crate) fn add(&mut self, code: ResultCode, count: u64) {
        match self.0.iter_mut().find(|(known, _)| *known == code) {
            Some((_, sum)) => *sum += count,
            None if count > 0 => self.0.push((code, count)),
            None => {}
        }
    }

    /// Adds the drops to the metrics and returns their total.
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
