//! Packet path between callers and agents.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use hawthorntide_routing::{ConnectionIdCodec, Route};
use hawthorntide_types::{ResultCode, ServiceId};
use hawthorntide_wire::{ForwardHeader, ForwardKind, HEADER_BYTES};
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::balancer::{Ingress, Shared};
use crate::codec::TaskCodec;
use crate::service_sockets::ServiceSockets;

/// Largest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Forwards packets that arrive at a service address.
pub(crate) async fn from_callers(
    shared: Arc<Shared>,
    service_address: SocketAddr,
    socket: Arc<UdpSocket>,
    data: Arc<UdpSocket>,
    stop: CancellationToken,
) {
    let mut codec = TaskCodec::new(shared.codec.subscribe());
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return,
            received = socket.recv_from(&mut buffer[HEADER_BYTES..]) => received,
        };
        // An ICMP answer to an earlier packet surfaces here and concerns no later packet.
        let Ok((length, caller)) = received else {
            continue;
        };
        let datagram = &mut buffer[..HEADER_BYTES + length];
        let codec = codec.current();
        forward(&shared, codec, caller, service_address, datagram, &data).await;
    }
}

/// Handles packets of agents and of an encapsulating fabric.
pub(crate) async fn from_data_socket(
    shared: Arc<Shared>,
    data: Arc<UdpSocket>,
    sockets: Arc<ServiceSockets>,
) {
    let mut codec = TaskCodec::new(shared.codec.subscribe());
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            () = shared.stop.cancelled() => return,
            received = data.recv_from(&mut buffer) => received,
        };
        let Ok((length, from)) = received else {
            continue;
        };
        let datagram = &mut buffer[..length];
        let Ok((header, _)) = ForwardHeader::read(datagram) else {
            drop_packet(&shared, ResultCode::PacketMalformed);
            continue;
        };
        match header.kind {
            ForwardKind::Ingress if is_fabric(&shared, from) => {
                forward(
                    &shared,
                    codec.current(),
                    header.caller,
                    header.service_address,
                    datagram,
                    &data,
                )
                .await;
            }
            ForwardKind::Reply => {
                reply(&shared, from, header, datagram, &data, &sockets).await;
            }
            _ => drop_packet(&shared, ResultCode::SourceUnknown),
        }
    }
}

fn is_fabric(shared: &Shared, from: SocketAddr) -> bool {
    matches!(shared.ingress, Ingress::Encapsulated { fabric_address } if fabric_address == from)
}

/// Sends a caller's packet to the agent that the routing table names.
async fn forward(
    shared: &Shared,
    codec: &ConnectionIdCodec,
    caller: SocketAddr,
    service_address: SocketAddr,
    datagram: &mut [u8],
    data: &UdpSocket,
) {
    let (service, to, kind) =
        match decide(shared, codec, service_address, &datagram[HEADER_BYTES..]) {
            Ok(decision) => decision,
            Err(code) => return drop_packet(shared, code),
        };
    let header = ForwardHeader {
        kind,
        hops: 0,
        service,
        caller,
        service_address,
    };
    header.write(datagram);
    if data.send_to(datagram, to).await.is_ok() {
        shared.packets_forwarded.fetch_add(1, Ordering::Relaxed);
    }
}

fn decide(
    shared: &Shared,
    codec: &ConnectionIdCodec,
    service_address: SocketAddr,
    packet: &[u8],
) -> Result<(ServiceId, SocketAddr, ForwardKind), ResultCode> {
    let table = shared.table.read().unwrap_or_else(PoisonError::into_inner);
    let Some(service) = table.service_of(service_address) else {
        return Err(ResultCode::SourceUnknown);
    };
    match table.route(shared.now(), service, packet, codec) {
        Route::Forward { to, kind } => Ok((service, to, kind)),
        Route::Drop(code) => Err(code),
    }
}

/// Sends an agent's packet to the caller from the service address.
async fn reply(
    shared: &Shared,
    from: SocketAddr,
    header: ForwardHeader,
    datagram: &[u8],
    data: &UdpSocket,
    sockets: &ServiceSockets,
) {
    let is_member = {
        let table = shared.table.read().unwrap_or_else(PoisonError::into_inner);
        table.is_endpoint_of(header.service, from)
            && table.service_of(header.service_address) == Some(header.service)
    };
    if !is_member {
        return drop_packet(shared, ResultCode::SourceUnknown);
    }
    let sent = match shared.ingress {
        Ingress::Encapsulated { fabric_address } => data.send_to(datagram, fabric_address).await,
        Ingress::Socket => {
            let Some(socket) = sockets.find(header.service_address) else {
                return drop_packet(shared, ResultCode::SourceUnknown);
            };
            socket
                .send_to(&datagram[HEADER_BYTES..], header.caller)
                .await
        }
    };
    if sent.is_ok() {
        shared.packets_replied.fetch_add(1, Ordering::Relaxed);
    }
}

fn drop_packet(shared: &Shared, code: ResultCode) {
    shared.packets_dropped.fetch_add(1, Ordering::Relaxed);
    metrics::counter!("hawthorntide_balancer_packets_dropped_total", "code" => code.name())
        .increment(1);
}
