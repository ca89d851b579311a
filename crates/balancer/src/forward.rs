//! Packet path between callers and agents.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use hawthorntide_routing::{ConnectionIdCodec, FlowKey, Route, RoutingTable};
use hawthorntide_types::{ResultCode, ServiceId, TimeMs, Transport};
use hawthorntide_wire::{ForwardHeader, ForwardKind};

use crate::balancer::{Ingress, Shared};
use crate::batch::{BatchSocket, Drops, Outgoing, Range, Received, Sending, Sent};
use crate::codec::TaskCodec;

/// Position of the data socket among the sockets of a worker.
const DATA: usize = 0;

/// Sockets of one worker: the data socket, then those of the service addresses in ascending order.
#[derive(Debug)]
pub(crate) struct WorkerSockets {
    pub(crate) data: BatchSocket,
    pub(crate) services: Vec<(SocketAddr, BatchSocket)>,
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

impl WorkerSockets {
    pub(crate) const fn data_address(&self) -> SocketAddr {
        self.data.local_address()
    }

    fn get(&self, position: usize) -> &BatchSocket {
        match position.checked_sub(1) {
            None => &self.data,
            Some(index) => &self.services[index].1,
        }
    }

    fn service_position(&self, address: SocketAddr) -> Option<usize> {
        let index = self
            .services
            .binary_search_by_key(&address, |entry| entry.0);
        index.ok().map(|index| index + 1)
    }
}

/// Forwards what arrives at one socket until the balancer stops.
pub(crate) async fn run(shared: Arc<Shared>, sockets: Arc<WorkerSockets>, position: usize) {
    let socket = sockets.get(position);
    let mut codec = TaskCodec::new(shared.codec.subscribe());
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            ready = socket.readable() => {
                if ready.is_err() {
                    return;
                }
            }
        }
        SPACE.with_borrow_mut(|space| {
            if socket.receive(&mut space.received) {
                let worker = Worker {
                    shared: &shared,
                    sockets: &sockets,
                    codec: codec.current(),
                    now: shared.now(),
                };
                worker.forward_batch(position, space);
            }
        });
    }
}

/// What the decisions about one batch have in common.
struct Worker<'a> {
    shared: &'a Shared,
    sockets: &'a WorkerSockets,
    codec: &'a ConnectionIdCodec,
    now: TimeMs,
}

impl Worker<'_> {
    /// Decides about a batch under one lock of the table, and sends it after the lock is released.
    fn forward_batch(&self, position: usize, space: &mut Space) {
        let Space {
            received,
            sending,
            drops,
        } = space;
        let (shared, sockets) = (self.shared, self.sockets);
        {
            let table = shared.table.read().unwrap_or_else(PoisonError::into_inner);
            for (from, range) in received.datagrams() {
                let datagram = received.bytes(range);
                let decision = match position.checked_sub(1) {
                    None => self.unwrap(&table, from, datagram, range),
                    Some(index) => {
                        let service_address = sockets.services[index].0;
                        self.forward(&table, from, service_address, datagram, range)
                    }
                };
                match decision {
                    Ok(outgoing) => sending.push(outgoing),
                    Err(code) => drops.add(code, 1),
                }
            }
        }
        let sent = sending.flush(received, |position| sockets.get(position));
        drops.add(ResultCode::Failure, sent.failed);
        let Sent {
            forwarded, replied, ..
        } = sent;
        shared
            .packets_forwarded
            .fetch_add(forwarded, Ordering::Relaxed);
        shared.packets_replied.fetch_add(replied, Ordering::Relaxed);
        let dropped = drops.report();
        shared.packets_dropped.fetch_add(dropped, Ordering::Relaxed);
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
                let position = self.sockets.service_position(header.service_address);
                let position = position.ok_or(ResultCode::SourceUnknown)?;
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
