//! What both roles share: messages between processes and what they are logged as.

use std::net::SocketAddr;
use std::sync::Arc;

use hawthorntide_opaque::{GossipAction, Peer, PeerMessage, PeerRole, encode};
use hawthorntide_platform::PlatformStore;
use hawthorntide_store::{ObjectStore, StoreOptions};
use hawthorntide_types::{FailureDomain, Incarnation};
use tokio::net::UdpSocket;

use crate::sockets::{StartError, send};

/// Options that balancers and agents share.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address for messages of other processes.
    pub peer_address: SocketAddr,
    /// Hosts on which other processes may be found, whatever the ports.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform store.
    pub store_address: SocketAddr,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Seed of random choices.
    pub seed: u64,
}

impl ProcessOptions {
    /// Describes the process to others.
    pub(crate) fn peer(&self, role: PeerRole) -> Peer {
        Peer {
            address: self.peer_address,
            failure_domain: self.failure_domain.clone(),
            incarnation: self.incarnation,
            heartbeat_counter: 0,
            role,
        }
    }

    /// Prepares calls of the platform store.
    pub(crate) fn open_store(&self) -> Result<Arc<ObjectStore>, StartError> {
        let options = StoreOptions::default();
        let store = ObjectStore::open_with(self.store_address, options, Arc::new(PlatformStore));
        Ok(Arc::new(store.map_err(|_| StartError::StoreClient)?))
    }

    /// Returns where seeds receive messages; all processes use the same port.
    pub(crate) fn seed_addresses(&self) -> Vec<SocketAddr> {
        let port = self.peer_address.port();
        let seeds = self.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

/// Sends a message and the packet behind it.
pub(crate) fn send_message(
    socket: &UdpSocket,
    to: SocketAddr,
    message: &PeerMessage,
    packet: &[u8],
    buffer: &mut Vec<u8>,
) {
    match encode(message, packet, buffer) {
        Ok(()) => send(socket, buffer, to),
        Err(error) => log::error!("relay: Message to {to} not sent: {error}."),
    }
}

/// Carries out what the gossip decided.
pub(crate) fn carry_out(socket: &UdpSocket, actions: Vec<GossipAction>, buffer: &mut Vec<u8>) {
    for action in actions {
        match action {
            GossipAction::Send { to, message } => send_message(socket, to, &message, &[], buffer),
            GossipAction::PeerChanged(peer) => log_peer(&peer),
            GossipAction::PeerUnreachable(address) => {
                log::warn!(peer:% = address; "relay: Process silent.");
            }
        }
    }
}

fn log_peer(peer: &Peer) {
    match &peer.role {
        PeerRole::Balancer(status) => log::info!(
            peer:% = peer.address,
            incarnation:% = peer.incarnation,
            failure_domain:% = peer.failure_domain,
            version:% = status.version,
            is_watching = status.is_watching;
            "relay: Balancer known."
        ),
        PeerRole::Agent(status) => log::info!(
            peer:% = peer.address,
            incarnation:% = peer.incarnation,
            failure_domain:% = peer.failure_domain,
            service:% = status.service,
            phase:% = status.phase,
            weight:% = status.weight,
            load:% = status.load;
            "relay: Agent known."
        ),
    }
}
