//! Packet path between callers and agents.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use hawthorntide_routing::{ConnectionIdCodec, FlowKey, Route, RoutingTable};
use hawthorntide_types::{ResultCode, ServiceId, TimeMs, Transport};
use hawthorntide_wire::{ForwardHeader, ForwardKind};
use tokio_util::sync::CancellationToken;

use crate::balancer::{Ingress, Shared};
use crate::batch::{BatchSocket, Drops, Outgoing, Range, Received, Sending};
use crate::codec::TaskCodec;
use crate::service_sockets::{ServiceSocket, ServiceSockets};

/// Position of the data socket; those of the service addresses follow in their order.
const DATA: usize = 0;

/// Who sends to a socket.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    /// Agents, and a fabric that encapsulates.
    Data,
    /// Callers, at this service address.
    Callers(SocketAddr),
}

/// One socket that packets arrive at, and what it takes to forward them.
#[derive(Debug)]
pub(crate) struct Receiver {
    pub(crate) shared: Arc<Shared>,
    /// Socket from which packets go to agents.
    pub(crate) data: Arc<BatchSocket>,
    pub(crate) sockets: Arc<ServiceSockets>,
    pub(crate) socket: Arc<BatchSocket>,
    /// Position of the worker among those of the socket's address.
    pub(crate) worker: usize,
    pub(crate) source: Source,
}

/// Space of one thread; all tasks of the thread use it, because none waits while it does.
struct Space {
    received: Received,
    sending: Sending,
    drops: Drops,
}

thread_local! {
    static SPACE: RefCell<Space> = RefCell::new(Space {
        received: Received::new(),
        sending: Sending::default(),
        drops: Drops::default(),
    });
}

impl Receiver {
    /// Forwards what arrives until `stop` is cancelled.
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
            SPACE.with_borrow_mut(|space| {
                if self.socket.receive(&mut space.received) {
                    self.forward_batch(codec.current(), space);
                }
            });
            // A socket that stays readable under a flood must not keep other tasks from the thread.
            tokio::task::yield_now().await;
        }
    }

    fn forward_batch(&self, codec: &ConnectionIdCodec, space: &mut Space) {
        let services = self.sockets.read();
        let worker = Worker {
            shared: &self.shared,
            services: &services,
            codec,
            now: self.shared.now(),
        };
        worker.decide(self.source, space);
        let sent = space.sending.flush(&space.received, |position| {
            let service = position.checked_sub(1).map(|index| &services[index]);
            service.map_or(&*self.data, |service| service.of_worker(self.worker))
        });
        space.drops.add(ResultCode::Failure, sent.failed);
        let Shared {
            packets_forwarded,
            packets_replied,
            packets_dropped,
            ..
        } = &*self.shared;
        packets_forwarded.fetch_add(sent.forwarded, Ordering::Relaxed);
        packets_replied.fetch_add(sent.replied, Ordering::Relaxed);
        packets_dropped.fetch_add(space.drops.report(), Ordering::Relaxed);
    }
}

/// What the decisions about one batch have in common.
struct Worker<'a> {
    shared: &'a Shared,
    services: &'a [ServiceSocket],
    codec: &'a ConnectionIdCodec,
    now: TimeMs,
}

impl Worker<'_> {
    /// Decides about a batch under one lock of the table.
    fn decide(&self, source: Source, space: &mut Space) {
        let table = self.shared.table.read();
        let table = table.unwrap_or_else(PoisonError::into_inner);
        for (from, range) in space.received.datagrams() {
            let datagram = space.received.bytes(range);
            let decision = match source {
                Source::Data => self.unwrap(&table, from, datagram, range),
                Source::Callers(address) => self.forward(&table, from, address, datagram, range),
            };
            match decision {
                Ok(outgoing) => space.sending.push(outgoing),
                Err(code) => space.drops.add(code, 1),
            }
        }
    }

    /// Decides about a wrapped packet of an agent or of an encapsulating fabric.
    fn unwrap(
        &self,
        table: &RoutingTable,
        from: SocketAddr,
        datagram: &[u8],
        range: Range,
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

    /// Decides about a caller's packet.
    fn forward(
        &self,
        table: &RoutingTable,
        caller: SocketAddr,
        service_address: SocketAddr,
        packet: &[u8],
        range: Range,
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
            socket: DATA,
            to,
            is_opening: kind == ForwardKind::Opening,
            is_reply: false,
            header: Some(header),
            packet: range,
        })
    }

    fn admit(&self, service: ServiceId) -> Result<(), ResultCode> {
        let openings = self.shared.openings.lock();
        let mut openings = openings.unwrap_or_else(PoisonError::into_inner);
        openings.admit(self.now, service)
    }

    /// Decides about an agent's packet, which leaves from the service address.
    fn reply(
        &self,
        table: &RoutingTable,
        from: SocketAddr,
        header: ForwardHeader,
        range: Range,
    ) -> Result<Outgoing, ResultCode> {
        let is_member = table.is_endpoint_of(header.service, from)
            && table.service_of(header.service_address) == Some(header.service);
        if !is_member {
            return Err(ResultCode::SourceUnknown);
        }
        let (socket, to, header) = match self.shared.ingress {
            Ingress::Encapsulated { fabric_address } => (DATA, fabric_address, Some(header)),
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
