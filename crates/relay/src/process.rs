//! Options and messaging that balancers and agents share.

use std::net::SocketAddr;
use std::sync::Arc;

use hawthorntide_opaque::{Evacuations, GossipAction, Peer, PeerMessage, PeerRole, encode};
use hawthorntide_platform::PlatformStore;
use hawthorntide_store::{ObjectStore, StoreOptions};
use hawthorntide_types::{FailureDomain, Incarnation};
use metrics::gauge;
use tokio::net::UdpSocket;

use crate::sockets::{StartError, send};

/// Options that balancers and agents share.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Failure domain of the VM on which the process runs.
    pub failure_domain: FailureDomain,
    /// Address for messages from peers.
    pub peer_address: SocketAddr,
    /// Hosts on which other processes may run; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    pub store_address: SocketAddr,
    /// Identifies this run of the process; must increase with each restart.
    pub incarnation: Incarnation,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl ProcessOptions {
    /// Returns the record of the local process at its start.
    pub(crate) fn peer(&self, role: PeerRole) -> Peer {
        Peer {
            address: self.peer_address,
            failure_domain: self.failure_domain.clone(),
            incarnation: self.incarnation,
            heartbeat_counter: 0,
            role,
        }
    }

    pub(crate) fn open_store(&self) -> Result<Arc<ObjectStore>, StartError> {
        let options = StoreOptions::default();
        let store = ObjectStore::open_with(self.store_address, options, Arc::new(PlatformStore));
        Ok(Arc::new(store.map_err(|_| StartError::StoreClient)?))
    }

    /// Returns the peer addresses of the seeds; all processes use the same port.
    pub(crate) fn seed_addresses(&self) -> Vec<SocketAddr> {
        let port = self.peer_address.port();
        let seeds = self.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

/// Sends a message, followed by the packet.
pub(crate) fn send_message(
    socket: &UdpSocket,
    to: SocketAddr,
    message: &PeerMessage,
    packet: &[u8],
    buffer: &mut Vec<u8>,
) {
    match encode(message, packet, buffer) {
        Ok(()) => send(socket, buffer, to),
        Err(error) => log::error!("relay: Cannot send a message to {to}: {error}."),
    }
}

/// Sends a message, followed by the packet, to several processes.
pub(crate) fn send_to_all(
    socket: &UdpSocket,
    to: &[SocketAddr],
    message: &PeerMessage,
    packet: &[u8],
    buffer: &mut Vec<u8>,
) {
    match encode(message, packet, buffer) {
        Ok(()) => to.iter().for_each(|to| send(socket, buffer, *to)),
        Err(error) => log::error!(
            "relay: Cannot send a message to {} processes: {error}.",
            to.len()
        ),
    }
}

pub(crate) fn perform_gossip(socket: &UdpSocket, actions: Vec<GossipAction>, buffer: &mut Vec<u8>) {
    for action in actions {
        match action {
            GossipAction::Send { to, message } => send_message(socket, to, &message, &[], buffer),
            GossipAction::PeerChanged(peer) => log_peer_change(&peer),
            GossipAction::PeerUnreachable(address) => {
                log::warn!(peer:% = address; "relay: Process silent.");
            }
            GossipAction::IsolationChanged { is_isolated: true } => {
                log::warn!("relay: Cut off: no other process sends messages.");
            }
            GossipAction::IsolationChanged { is_isolated: false } => {
                log::info!("relay: No longer cut off.");
            }
            GossipAction::EvacuationsChanged(evacuations) => report_evacuations(&evacuations),
        }
    }
}

fn report_evacuations(evacuations: &Evacuations) {
    let domains = evacuations.domains();
    gauge!("hawthorntide_relay_evacuated_failure_domains").set(domains.len() as f64);
    let names: Vec<&str> = domains.iter().map(FailureDomain::as_str).collect();
    log::info!(
        version:% = evacuations.version(),
        failure_domains:% = names.join(" ");
        "relay: Evacuated failure domains changed."
    );
}

fn log_peer_change(peer: &Peer) {
    match &peer.role {
        PeerRole::Balancer(status) => log::info!(
            peer:% = peer.address,
            incarnation:% = peer.incarnation,
            failure_domain:% = peer.failure_domain,
            version:% = status.version,
            is_watching = status.is_watching;
            "relay: Balancer discovered or changed."
        ),
        PeerRole::Agent(status) | PeerRole::StoppedAgent(status) => log::info!(
            peer:% = peer.address,
            incarnation:% = peer.incarnation,
            failure_domain:% = peer.failure_domain,
            service:% = status.service,
            phase:% = status.phase,
            is_stopped = matches!(peer.role, PeerRole::StoppedAgent(_)),
            weight:% = status.weight,
            load:% = status.load;
            "relay: Agent discovered or changed."
        ),
    }
}
