//! Control plane of a balancer: announcements of agents.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, PoisonError};

use hawthorntide_routing::EndpointRoute;
use hawthorntide_types::{EndpointId, Incarnation, Phase, ServiceId, Weight};
use hawthorntide_wire::control::{self, Address, EndpointRecord, control_message::Body};
use hawthorntide_wire::{ControlCodec, MAX_CONTROL_BYTES};
use tokio::net::UdpSocket;

use crate::balancer::Shared;

/// Receives control messages until the balancer stops.
pub(crate) async fn run(shared: Arc<Shared>, socket: UdpSocket, codec: ControlCodec) {
    let mut buffer = [0; MAX_CONTROL_BYTES + 1];
    loop {
        let received = tokio::select! {
            () = shared.stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => received,
        };
        let Ok((length, from)) = received else {
            continue;
        };
        match codec.open(&buffer[..length]) {
            Ok(opened) => {
                if let Some(Body::Heartbeat(heartbeat)) = opened.message.body {
                    apply(&shared, heartbeat.endpoint);
                }
            }
            Err(code) => log::debug!("balancer: Control message of {from} dropped: {code}."),
        }
    }
}

fn apply(shared: &Shared, record: Option<EndpointRecord>) {
    let Some(record) = record else {
        return;
    };
    let endpoint = EndpointId(record.endpoint_id);
    let mut table = shared.table.write().unwrap_or_else(PoisonError::into_inner);
    if record.phase() == control::Phase::Gone {
        table.remove_endpoint(shared.now(), endpoint);
        return;
    }
    let Some(data_address) = record.data_address.as_ref().and_then(socket_address) else {
        return;
    };
    table.set_endpoint(EndpointRoute {
        endpoint,
        incarnation: Incarnation(record.incarnation),
        service: ServiceId(record.service_id),
        data_address,
        phase: phase(record.phase()),
        weight: Weight(record.weight_per_mille as u16),
    });
}

fn socket_address(address: &Address) -> Option<SocketAddr> {
    let port = u16::try_from(address.port).ok()?;
    if let Ok(octets) = <[u8; 4]>::try_from(&address.ip[..]) {
        return Some(SocketAddr::new(IpAddr::from(octets), port));
    }
    let octets = <[u8; 16]>::try_from(&address.ip[..]).ok()?;
    Some(SocketAddr::new(IpAddr::from(octets), port))
}

fn phase(phase: control::Phase) -> Phase {
    match phase {
        control::Phase::Joining => Phase::Joining,
        control::Phase::Serving => Phase::Serving,
        control::Phase::Draining => Phase::Draining,
        control::Phase::Gone => Phase::Gone,
    }
}
