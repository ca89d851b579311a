//! Test support: balancers and simulated agents on loopback sockets.

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use hawthorntide_balancer::{Balancer, BalancerError, BalancerOptions, Ingress};
use hawthorntide_membership::{
    AgentIdentity, AnnounceAction, AnnounceEvent, AnnounceMachine, ControlChannel,
};
use hawthorntide_routing::{ConnectionIdCodec, ConnectionIdKey, KeyRing};
use hawthorntide_timeline::Timeline;
use hawthorntide_types::{
    EndpointId, Incarnation, NodeId, Service, ServiceId, SlotCount, TimeMs, Transport,
};
use hawthorntide_wire::{ClusterKey, ControlCodec, MAX_CONTROL_BYTES};

/// Longest wait for a packet on loopback or for an announcement.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Tick interval of a simulated agent.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

pub fn keys() -> KeyRing {
    KeyRing::new(ConnectionIdKey::new(1, [7; 16]), None).unwrap()
}

pub fn codec() -> ConnectionIdCodec {
    ConnectionIdCodec::new(keys())
}

fn control() -> ControlCodec {
    ControlCodec::new("test", ClusterKey::new([3; 32]))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn service(name: &str, transport: Transport) -> Service {
    let free = UdpSocket::bind(any_port()).unwrap();
    Service {
        name: name.parse().unwrap(),
        addresses: vec![free.local_addr().unwrap()],
        transport,
        profile: "default".parse().unwrap(),
        team: String::new(),
    }
}

pub async fn balancer(services: &[Service]) -> Balancer {
    try_balancer(services).await.unwrap()
}

pub async fn try_balancer(services: &[Service]) -> Result<Balancer, BalancerError> {
    let options = BalancerOptions {
        failure_domain: "a".parse().unwrap(),
        region: "r".parse().unwrap(),
        data_address: any_port(),
        control_address: any_port(),
        ingress: Ingress::Socket,
        services: services.to_vec(),
        peers: Vec::new(),
        admin_address: None,
        control: control(),
        keys: keys(),
        incarnation: Incarnation(1),
        timeline: Timeline::for_process("balancer"),
    };
    Balancer::spawn(options).await
}

/// Simulated agent: announces an endpoint and receives its packets.
pub struct FakeAgent {
    pub data: UdpSocket,
    pub endpoint: EndpointId,
}

impl FakeAgent {
    /// Starts to announce an endpoint of `service` to the balancer.
    pub fn announce(service: ServiceId, balancer: &Balancer) -> Self {
        let data = UdpSocket::bind(any_port()).unwrap();
        data.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let data_address = data.local_addr().unwrap();
        let socket = UdpSocket::bind(any_port()).unwrap();
        let control_address = socket.local_addr().unwrap();
        let identity = AgentIdentity {
            incarnation: Incarnation(1),
            service,
            data_address,
            control_address,
            failure_domain: "a".parse().unwrap(),
            slots: SlotCount(2),
        };
        let channel = ControlChannel::new(control(), control_address, Incarnation(1));
        let machine = AnnounceMachine::new(identity, 1);
        let peers = vec![balancer.control_address()];
        std::thread::spawn(move || run_announcer(&socket, channel, machine, peers));
        Self {
            data,
            endpoint: EndpointId::of_address(data_address),
        }
    }

    /// Packet of an established flow to this endpoint.
    pub fn established_packet(&self, nonce: u64, length: usize) -> Vec<u8> {
        let mut packet = vec![0x40];
        packet.extend_from_slice(&codec().encode(self.endpoint, Incarnation(1), nonce));
        packet.resize(length, 0);
        packet
    }
}

/// Sends heartbeats until the process ends.
fn run_announcer(
    socket: &UdpSocket,
    mut channel: ControlChannel,
    mut machine: AnnounceMachine,
    peers: Vec<SocketAddr>,
) {
    let start = Instant::now();
    let mut buffer = [0; MAX_CONTROL_BYTES];
    let mut actions = Vec::new();
    let mut events = vec![AnnounceEvent::SeedPeers(peers), AnnounceEvent::Serve];
    socket.set_read_timeout(Some(TICK_INTERVAL)).unwrap();
    loop {
        events.push(AnnounceEvent::Tick);
        if let Ok((length, from)) = socket.recv_from(&mut buffer)
            && let Ok((from, message)) = channel.open(from, &buffer[..length])
        {
            events.push(AnnounceEvent::Message { from, message });
        }
        let now = TimeMs(start.elapsed().as_millis() as u64);
        for event in events.drain(..) {
            machine.handle(now, event, &mut actions);
        }
        for action in actions.drain(..) {
            if let AnnounceAction::Send { to, message } = action
                && socket
                    .send_to(&channel.seal(&message).unwrap(), to)
                    .is_err()
            {
                return;
            }
        }
    }
}

/// Waits until `count` endpoints are known to the balancer.
pub async fn wait_for_endpoints(balancer: &Balancer, count: usize) {
    let start = Instant::now();
    loop {
        let view = balancer.control().view().await.unwrap();
        if view.endpoints.len() == count {
            return;
        }
        let node = NodeId::of_address(balancer.control_address());
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "balancer {node} did not receive {count} endpoints in time"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
