//! Membership of running balancers over loopback sockets: crash, drain, store outage and restart.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use googletest::prelude::*;
use hawthorntide_balancer::{Balancer, BalancerOptions, Ingress, MembershipView, StoreLink};
use hawthorntide_configuration::Object;
use hawthorntide_emulator::{StoreFaults, StoreServer, StoreServerOptions};
use hawthorntide_membership::{
    AgentIdentity, AnnounceAction, AnnounceEvent, AnnounceMachine, ControlChannel, Health,
};
use hawthorntide_routing::{ConnectionIdKey, KeyRing};
use hawthorntide_store::{ObjectKey, ObjectKind, ObjectStore, StoreOptions, WriteOutcome};
use hawthorntide_timeline::Timeline;
use hawthorntide_types::{
    DurationMs, EndpointId, Incarnation, NodeId, Phase, ServiceId, ServiceName, SlotCount, TimeMs,
    Version,
};
use hawthorntide_wire::{ClusterKey, ControlCodec};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const DOMAINS: [&str; 3] = ["bzh-rns", "bzh-brs", "bzh-vns"];

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Incarnation(since.as_millis() as u64)
}

fn codec() -> ControlCodec {
    ControlCodec::new("test", ClusterKey::new([3; 32]))
}

fn options(domain: &str, peers: &[SocketAddr]) -> BalancerOptions {
    BalancerOptions {
        failure_domain: domain.parse().unwrap(),
        region: "bzh".parse().unwrap(),
        data_address: any_port(),
        control_address: any_port(),
        ingress: Ingress::Encapsulated {
            fabric_address: any_port(),
        },
        services: Vec::new(),
        peers: peers.to_vec(),
        admin_address: None,
        control: codec(),
        keys: KeyRing::new(ConnectionIdKey::new(1, [2; 16]), None).unwrap(),
        incarnation: incarnation(),
        timeline: Timeline::for_process("balancer"),
    }
}

async fn balancers(count: usize, store: Option<SocketAddr>) -> Vec<Balancer> {
    let mut running: Vec<Balancer> = Vec::new();
    for index in 0..count {
        let peers: Vec<SocketAddr> = running.iter().map(Balancer::control_address).collect();
        let balancer = Balancer::spawn(options(DOMAINS[index % 3], &peers))
            .await
            .unwrap();
        if let Some(store) = store {
            start_store_link(&balancer, DOMAINS[index % 3], store);
        }
        running.push(balancer);
    }
    running
}

/// Starts the store link of a balancer.
fn start_store_link(balancer: &Balancer, domain: &str, store: SocketAddr) {
    let store = ObjectStore::open(store, StoreOptions::default()).unwrap();
    let node = NodeId::of_address(balancer.control_address());
    let domain = domain.parse().unwrap();
    let stop = CancellationToken::new();
    let link = StoreLink::new(node, domain, balancer.control(), Arc::new(store), stop);
    tokio::spawn(link.run());
}

/// Simulated agent: the announcement state machine with a control socket.
struct FakeAgent {
    id: EndpointId,
    events: mpsc::Sender<AnnounceEvent>,
    task: tokio::task::JoinHandle<()>,
}

impl FakeAgent {
    async fn spawn(balancers: &[Balancer]) -> Self {
        let socket = UdpSocket::bind(any_port()).await.unwrap();
        let control_address = socket.local_addr().unwrap();
        let data_address = SocketAddr::from(([127, 0, 0, 2], control_address.port()));
        let service: ServiceName = "stockd".parse().unwrap();
        let incarnation = incarnation();
        let machine = AnnounceMachine::new(
            AgentIdentity {
                incarnation,
                service: ServiceId::of_name(&service),
                data_address,
                control_address,
                slots: SlotCount(2),
                failure_domain: "bzh-rns".parse().unwrap(),
            },
            1,
        );
        let channel = ControlChannel::new(codec(), control_address, incarnation);
        let (events, received) = mpsc::channel(8);
        let seeds = balancers.iter().map(Balancer::control_address).collect();
        events.send(AnnounceEvent::SeedPeers(seeds)).await.unwrap();
        events.send(AnnounceEvent::Serve).await.unwrap();
        Self {
            id: EndpointId::of_address(data_address),
            events,
            task: tokio::spawn(run_agent(socket, machine, channel, received)),
        }
    }
}

async fn run_agent(
    socket: UdpSocket,
    mut machine: AnnounceMachine,
    mut channel: ControlChannel,
    mut events: mpsc::Receiver<AnnounceEvent>,
) {
    let started = Instant::now();
    let mut buffer = [0; 2048];
    let mut ticks = tokio::time::interval(Duration::from_millis(100));
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => AnnounceEvent::Tick,
            Some(event) = events.recv() => event,
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, address)) = received else { continue };
                let Ok((from, message)) = channel.open(address, &buffer[..length]) else { continue };
                AnnounceEvent::Message { from, message }
            }
        };
        let mut out = Vec::new();
        machine.handle(
            TimeMs(started.elapsed().as_millis() as u64),
            event,
            &mut out,
        );
        for action in out {
            if let AnnounceAction::Send { to, message } = action {
                let datagram = channel.seal(&message).unwrap();
                socket.send_to(&datagram, to).await.unwrap();
            }
        }
    }
}

/// Waits until the view of every balancer passes `check`; returns the elapsed time, or `None` after
/// `limit`.
async fn until(
    balancers: &[Balancer],
    limit: Duration,
    check: impl Fn(&MembershipView) -> bool,
) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < limit {
        let mut is_done = true;
        for balancer in balancers {
            let view = balancer.control().view().await.unwrap();
            is_done &= check(&view);
        }
        if is_done {
            return Some(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

fn takes_new_flows(view: &MembershipView, id: EndpointId) -> bool {
    let mut found = view.endpoints.iter().filter(|held| held.id == id);
    found.any(hawthorntide_membership::Endpoint::takes_new_flows)
}

fn live_balancers(view: &MembershipView) -> usize {
    let live = view.balancers.iter();
    live.filter(|held| held.stamp.health == Health::Alive && held.phase == Phase::Serving)
        .count()
}

// Guards against balancers that keep using a crashed agent or balancer.
#[gtest]
#[tokio::test]
async fn crashed_members_are_removed_from_the_view() {
    let mut running = balancers(3, None).await;
    let agent = FakeAgent::spawn(&running).await;
    let id = agent.id;
    let limit = Duration::from_secs(5);
    let known = until(&running, limit, |view| {
        takes_new_flows(view, id) && live_balancers(view) == 3
    });
    expect_that!(known.await, some(anything()));
    agent.task.abort();
    let elapsed = until(&running, Duration::from_secs(8), |view| {
        !takes_new_flows(view, id)
    })
    .await;
    expect_that!(elapsed, some(le(Duration::from_millis(5_200))));
    running.remove(2).kill().await;
    let elapsed = until(&running, Duration::from_secs(15), |view| {
        live_balancers(view) == 2
    })
    .await;
    expect_that!(elapsed, some(anything()));
}

// Guards against a drain or an announced stop that reaches the other members too late.
#[gtest]
#[tokio::test]
async fn a_drain_and_an_announced_stop_are_known_in_two_seconds() {
    let mut running = balancers(3, None).await;
    let agent = FakeAgent::spawn(&running).await;
    let id = agent.id;
    let limit = Duration::from_secs(5);
    expect_that!(
        until(&running, limit, |view| takes_new_flows(view, id)).await,
        some(anything())
    );
    let recent_balancers = Vec::new();
    agent
        .events
        .send(AnnounceEvent::Drain { recent_balancers })
        .await
        .unwrap();
    let elapsed = until(&running, limit, |view| !takes_new_flows(view, id)).await;
    expect_that!(elapsed, some(le(Duration::from_secs(2))));
    expect_that!(
        until(&running, limit, |view| live_balancers(view) == 3).await,
        some(anything())
    );
    running.remove(0).stop().await;
    let elapsed = until(&running, limit, |view| live_balancers(view) == 2).await;
    expect_that!(elapsed, some(le(Duration::from_secs(2))));
    agent.task.abort();
}

async fn put(store: &ObjectStore, name: &str, expected: Version) -> Object {
    let key = ObjectKey::new(ObjectKind::Profile, name).unwrap();
    let value = serde_json::json!({ "name": name, "note": "x".repeat(2_000) });
    let WriteOutcome::Accepted(version) = store.put_if(&key, &value, expected).await else {
        panic!("the store refused the write");
    };
    Object {
        kind: "profile".to_owned(),
        name: name.to_owned(),
        version,
        is_deleted: false,
        write_id: String::new(),
        value: value.to_string().into_bytes(),
    }
}

// Guards against losing or reverting an accepted change when the store fails right after the write.
#[gtest]
#[tokio::test]
async fn a_change_survives_an_outage_right_after_the_write() {
    let server = StoreServer::bind(any_port(), StoreServerOptions::default()).unwrap();
    let store = ObjectStore::open(server.address(), StoreOptions::default()).unwrap();
    let running = balancers(4, Some(server.address())).await;
    let limit = Duration::from_secs(5);
    expect_that!(
        until(&running, limit, |view| live_balancers(view) == 4).await,
        some(anything())
    );
    let object = put(&store, "streams", Version::NONE).await;
    let version = object.version;
    let faults = StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    };
    server.handle().set_faults(faults);
    let control = running[1].control();
    control.apply_object(object).await;
    let report = control
        .confirm("profile", "streams", version, DurationMs(4_000))
        .await
        .unwrap();
    expect_that!(report.confirmed.len(), eq(4));
    expect_that!(report.pending, is_empty());
    server.handle().set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(3)).await;
    for balancer in &running {
        let objects = balancer.control().objects().await.unwrap();
        let held = objects.iter().find(|object| object.name == "streams");
        expect_that!(held.map(|object| object.version), some(eq(version)));
    }
}

// Guards against a watcher that misses changes made directly in the store, and against a balancer
// that does not find the peers listed in the directory.
#[gtest]
#[tokio::test]
async fn a_change_in_the_store_reaches_balancers_that_join_through_the_directory() {
    let server = StoreServer::bind(any_port(), StoreServerOptions::default()).unwrap();
    let store = ObjectStore::open(server.address(), StoreOptions::default()).unwrap();
    let mut running = balancers(1, Some(server.address())).await;
    // A slot is acquired after 5 s without a claim; its object then names the holder.
    tokio::time::sleep(Duration::from_secs(8)).await;
    running.extend(balancers(1, Some(server.address())).await);
    let joined = until(&running, Duration::from_secs(8), |view| {
        live_balancers(view) == 2
    })
    .await;
    expect_that!(joined, some(anything()));
    let version = put(&store, "sheets", Version::NONE).await.version;
    let report = running[1]
        .control()
        .confirm("profile", "sheets", version, DurationMs(4_000))
        .await
        .unwrap();
    expect_that!(report.confirmed.len(), eq(2));
    expect_that!(report.pending, is_empty());
}

// Guards against a restarted balancer that does not receive members and configuration, or that
// stays removed because of its previous incarnation.
#[gtest]
#[tokio::test]
async fn a_restarted_balancer_receives_members_and_configuration() {
    let mut running = balancers(3, None).await;
    let agent = FakeAgent::spawn(&running).await;
    let id = agent.id;
    let object = Object {
        kind: "profile".to_owned(),
        name: "streams".to_owned(),
        version: Version(7),
        is_deleted: false,
        write_id: String::new(),
        value: vec![b' '; 5_000],
    };
    running[0].control().apply_object(object).await;
    let limit = Duration::from_secs(8);
    let is_known = |view: &MembershipView| takes_new_flows(view, id) && live_balancers(view) == 3;
    expect_that!(until(&running, limit, is_known).await, some(anything()));
    let killed = running.remove(2);
    let address = killed.control_address();
    killed.kill().await;
    let peers: Vec<SocketAddr> = running.iter().map(Balancer::control_address).collect();
    let mut restarted = options("bzh-vns", &peers);
    restarted.control_address = address;
    running.push(Balancer::spawn(restarted).await.unwrap());
    expect_that!(until(&running, limit, is_known).await, some(anything()));
    let start = Instant::now();
    let control = running[2].control();
    let holds = |objects: &[Arc<Object>]| objects.iter().any(|object| object.name == "streams");
    while !holds(&control.objects().await.unwrap()) {
        assert!(start.elapsed() < limit, "the configuration did not arrive");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    expect_all_members_known(&running).await;
    agent.task.abort();
}

async fn expect_all_members_known(running: &[Balancer]) {
    for balancer in running {
        let view = balancer.control().view().await.unwrap();
        expect_that!(view.balancers.len(), eq(3));
        expect_that!(view.is_removal_suspended, eq(false));
    }
}
