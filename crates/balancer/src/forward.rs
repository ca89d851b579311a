//! Packet forwarding between callers and agents.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use hawthorntide_routing::{ConnectionIdCodec, FlowKey, Route, RoutingTable};
use hawthorntide_types::{ResultCode, ServiceId, TimeMs, Transport};
use hawthorntide_wire::{ForwardHeader, ForwardKind};
use tokio_util::sync::CancellationToken;

use crate::balancer::{Ingress, Shared};
use crate::batch::{BatchSocket, ByteRange, DropCounts, Outgoing, ReceivedBatch, SendQueue};
use crate::codec::TaskCodec;
use crate::service_sockets::{ServiceSocket, ServiceSockets};

/// Index of the data socket; the sockets of the service addresses follow, sorted by address.
const DATA_SOCKET: usize = 0;

/// Senders whose packets a socket receives.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    /// Agents and an encapsulating fabric.
    Data,
    /// Callers that send to this service address.
    Callers(SocketAddr),
}

/// Forwarding task of one socket.
#[derive(Debug)]
pub(crate) struct ForwardTask {
    pub(crate) shared: Arc<Shared>,
    /// Socket from which packets are sent to agents.
    pub(crate) data: Arc<BatchSocket>,
    pub(crate) sockets: Arc<ServiceSockets>,
    pub(crate) socket: Arc<BatchSocket>,
    /// Index of the worker among those of the socket's address.
    pub(crate) worker: usize,
    pub(crate) source: Source,
}

/// Buffers of one thread, shared by its tasks: no task yields while it uses them.
struct Buffers {
    received: ReceivedBatch,
    send_queue: SendQueue,
    drops: DropCounts,
}

thread_local! {
    static BUFFERS: RefCell<Buffers> = RefCell::new(Buffers {
        received: ReceivedBatch::new(),
        send_queue: SendQueue::default(),
        drops: DropCounts::default(),
    });
}

impl ForwardTask {
    /// Forwards packets until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut codec = TaskCodec::new(self.shared.codec.subscribe());
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        return;
                    }
                }
            }
            BUFFERS.with_borrow_mut(|buffers| {
                if self.socket.receive(&mut buffers.received) {
                    self.forward_batch(codec.current(), buffers);
                }
            });
            // Under a flood the socket stays readable; yielding lets the other tasks of the thread
            // run.
            tokio::task::yield_now().await;
        }
    }

    fn forward_batch(&self, codec: &ConnectionIdCodec, buffers: &mut Buffers) {
        let services = self.sockets.read();
        let router = BatchRouter {
            shared: &self.shared,
            services: &services,
            codec,
            now: self.shared.now(),
        };
        router.route_batch(self.source, buffers);
        let sent = buffers.send_queue.flush(&buffers.received, |position| {
            let service = position.checked_sub(1).map(|index| &services[index]);
            service.map_or(&*self.data, |service| service.of_worker(self.worker))
        });
        buffers.drops.add(ResultCode::Failure, sent.failed);
        let Shared {
            packets_forwarded,
            packets_replied,
            packets_dropped,
            ..
        } = &*self.shared;
        packets_forwarded.fetch_add(sent.forwarded, Ordering::Relaxed);
        packets_replied.fetch_add(sent.replied, Ordering::Relaxed);
        packets_dropped.fetch_add(buffers.drops.report(), Ordering::Relaxed);
    }
}

/// State for routing the packets of one batch.
struct BatchRouter<'a> {
    shared: &'a Shared,
    services: &'a [ServiceSocket],
    codec: &'a ConnectionIdCodec,
    now: TimeMs,
}

impl BatchRouter<'_> {
    /// Routes all packets of a batch; takes the lock of the routing table only once.
    fn route_batch(&self, source: Source, buffers: &mut Buffers) {
        let table = self.shared.table.read();
        let table = table.unwrap_or_else(PoisonError::into_inner);
        for (from, range) in buffers.received.datagrams() {
            let datagram = buffers.received.bytes(range);
            let decision = match source {
                Source::Data => self.decapsulate(&table, from, datagram, range),
                Source::Callers(address) => self.forward(&table, from, address, datagram, range),
            };
            match decision {
                Ok(outgoing) => buffers.send_queue.push(outgoing),
                Err(code) => buffers.drops.add(code, 1),
            }
        }
    }

    /// Decapsulates and routes a packet of an agent or of the fabric.
    fn decapsulate(
        &self,
        table: &RoutingTable,
        from: SocketAddr,
        datagram: &[u8],
        range: ByteRange,
    ) -> Result<Outgoing, ResultCode> {
        let (header, packet) = ForwardHeader::read(datagram)?;
        let range = range.without_header();
        match header.kind {
            ForwardKind::Ingress if self.is_fabric(from) => {
                self.forward(table, header.caller, header.service_address, packet, range)
            }
            ForwardKind::Reply => self.reply(table, from, header, range),
            _ => Err(ResultCode::SourceUnknown),
        }
    }

    fn is_fabric(&self, from: SocketAddr) -> bool {
        matches!(
            self.shared.ingress,
            Ingress::Encapsulated { fabric_address } if fabric_address == from
        )
    }

    /// Routes a caller's packet to an agent.
    fn forward(
        &self,
        table: &RoutingTable,
        caller: SocketAddr,
        service_address: SocketAddr,
        packet: &[u8],
        range: ByteRange,
    ) -> Result<Outgoing, ResultCode> {
        let Some(service) = table.service_of(service_address) else {
            return Err(ResultCode::SourceUnknown);
        };
        let route = if table.transport_of(service) == Some(Transport::Udp) {
            let flow = FlowKey {
                caller,
                service_address,
            };
            table.route_opaque(service, &flow)
        } else {
            table.route(self.now, service, packet, self.codec)
        };
        let (to, kind) = match route {
            Route::Forward { to, kind } => (to, kind),
            Route::Drop(code) => return Err(code),
        };
        if kind == ForwardKind::Opening {
            self.admit(service)?;
        }
        let header = ForwardHeader {
            kind,
            hops: 0,
            service,
            caller,
            service_address,
        };
        Ok(Outgoing {
            socket: DATA_SOCKET,
            to,
            is_opening: kind == ForwardKind::Opening,
            is_reply: false,
            header: Some(header),
            packet: range,
        })
    }

    fn admit(&self, service: ServiceId) -> Result<(), ResultCode> {
        let opening_limits = self.shared.opening_limits.lock();
        let mut opening_limits = opening_limits.unwrap_or_else(PoisonError::into_inner);
        opening_limits.admit(self.now, service)
    }

    /// Routes an agent's reply to the caller, with the service address as its source.
    fn reply(
        &self,
        table: &RoutingTable,
        from: SocketAddr,
        header: ForwardHeader,
        range: ByteRange,
    ) -> Result<Outgoing, ResultCode> {
        let is_member = table.is_endpoint_of(header.service, from)
            && table.service_of(header.service_address) == Some(header.service);
        if !is_member {
            return Err(ResultCode::SourceUnknown);
        }
        let (socket, to, header) = match self.shared.ingress {
            Ingress::Encapsulated { fabric_address } => (DATA_SOCKET, fabric_address, Some(header)),
            Ingress::Socket => {
                let address = header.service_address;
                let index = self
                    .services
                    .binary_search_by_key(&address, |service| service.address);
                let position = index.map_err(|_| ResultCode::SourceUnknown)? + 1;
                (position, header.caller, None)
            }
        };
        Ok(Outgoing {
            socket,
            to,
            is_opening: false,
            is_reply: true,
            header,
            packet: range,
        })
    }
}
