//! Control plane of an agent: announcements to balancers.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hawthorntide_types::{Phase, ServiceId};
use hawthorntide_wire::SealedSender;
use hawthorntide_wire::control::{
    self, Address, ControlMessage, EndpointRecord, Heartbeat, control_message::Body,
};
use tokio::net::UdpSocket;

use crate::agent::Shared;

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Interval at which a change of phase is noticed and announced.
const CHANGE_POLL: Duration = Duration::from_millis(20);

/// Announces this endpoint until the agent stops.
pub(crate) async fn run(
    shared: Arc<Shared>,
    socket: UdpSocket,
    balancers: Vec<SocketAddr>,
    mut sender: SealedSender,
) {
    let mut revision = 0;
    let mut announced = None;
    let mut next = tokio::time::Instant::now();
    loop {
        let phase = shared.phase();
        if announced != Some(phase) || tokio::time::Instant::now() >= next {
            if announced != Some(phase) {
                revision += 1;
            }
            announced = Some(phase);
            next = tokio::time::Instant::now() + HEARTBEAT;
            announce(&shared, &socket, &balancers, &mut sender, revision).await;
        }
        if phase == Phase::Gone {
            return;
        }
        tokio::select! {
            () = shared.stop.cancelled() => {}
            () = tokio::time::sleep(CHANGE_POLL) => {}
        }
    }
}

async fn announce(
    shared: &Shared,
    socket: &UdpSocket,
    balancers: &[SocketAddr],
    sender: &mut SealedSender,
    revision: u32,
) {
    let endpoint = Some(record(shared, revision));
    let heartbeat = Heartbeat {
        endpoint,
        configuration_hash: 0,
        peers_hash: 0,
    };
    let message = ControlMessage {
        body: Some(Body::Heartbeat(heartbeat)),
    };
    for balancer in balancers {
        let Ok(datagram) = sender.seal(&message) else {
            continue;
        };
        if let Err(error) = socket.send_to(&datagram, balancer).await {
            log::debug!("agent: Heartbeat to {balancer} failed: {error}.");
        }
    }
}

fn record(shared: &Shared, revision: u32) -> EndpointRecord {
    let phase = shared.phase();
    EndpointRecord {
        endpoint_id: shared.endpoint.get(),
        incarnation: shared.incarnation.get(),
        revision,
        service_id: ServiceId::of_name(&shared.service).get(),
        data_address: Some(address(shared.data_address)),
        control_address: Some(address(shared.control_address)),
        phase: wire_phase(phase).into(),
        weight_per_mille: if phase.takes_new_flows() { 1000 } else { 0 },
        slots: shared.slots.get(),
        failure_domain: shared.failure_domain.to_string(),
        suspected: false,
        removed: false,
    }
}

fn address(address: SocketAddr) -> Address {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    Address {
        ip,
        port: address.port().into(),
    }
}

fn wire_phase(phase: Phase) -> control::Phase {
    match phase {
        Phase::Joining => control::Phase::Joining,
        Phase::Serving => control::Phase::Serving,
        Phase::Draining => control::Phase::Draining,
        Phase::Gone => control::Phase::Gone,
    }
}
