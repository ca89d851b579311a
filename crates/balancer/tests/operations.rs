//! Propagation of operators' changes to all balancers, with the emulated store and loopback
//! sockets.

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hawthorntide_admin::{AdminOptions, AdminServer, Operations};
use hawthorntide_balancer::{Balancer, BalancerOperations, BalancerOptions, Ingress, StoreLink};
use hawthorntide_configuration::{Team, TeamServices};
use hawthorntide_emulator::{StoreFaults, StoreServer, StoreServerOptions};
use hawthorntide_routing::{ConnectionIdKey, KEY_BYTES, KeyRing};
use hawthorntide_store::{ObjectKey, ObjectKind, ObjectStore, StoreOptions, WriteOutcome};
use hawthorntide_timeline::Timeline;
use hawthorntide_types::{Incarnation, NodeId, Version};
use hawthorntide_wire::{ClusterKey, ControlCodec};
use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

const PROFILE: &str = include_str!("../../configuration/tests/profile.json");
/// Design target for a change to be in force on all balancers.
const IN_FORCE_TARGET: Duration = Duration::from_secs(4);

struct Node {
    balancer: Balancer,
    operations: Arc<BalancerOperations>,
    admin: AdminServer,
}

struct Deployment {
    server: StoreServer,
    nodes: Vec<Node>,
    client: Client,
    stop: CancellationToken,
}

async fn deployment(domains: &[&str]) -> Deployment {
    let address = "127.0.0.1:0".parse().unwrap();
    let server = StoreServer::bind(address, StoreServerOptions::default()).unwrap();
    let mut deployment = Deployment {
        server,
        nodes: Vec::new(),
        client: Client::builder().no_proxy().build().unwrap(),
        stop: CancellationToken::new(),
    };
    for domain in domains {
        let node = deployment.start(domain).await;
        deployment.nodes.push(node);
    }
    deployment
}

impl Deployment {
    async fn start(&self, domain: &str) -> Node {
        let loopback = "127.0.0.1:0".parse().unwrap();
        let store = ObjectStore::open(self.server.address(), StoreOptions::default()).unwrap();
        let store = Arc::new(store);
        let options = BalancerOptions {
            failure_domain: domain.parse().unwrap(),
            region: "bzh".parse().unwrap(),
            data_address: loopback,
            control_address: loopback,
            ingress: Ingress::Socket,
            services: Vec::new(),
            peers: self
                .nodes
                .iter()
                .map(|it| it.balancer.control_address())
                .collect(),
            admin_address: None,
            control: ControlCodec::new("test", ClusterKey::new([1; 32])),
            keys: KeyRing::new(ConnectionIdKey::new(1, [2; KEY_BYTES]), None).unwrap(),
            incarnation: Incarnation(1 + self.nodes.len() as u64),
            timeline: Timeline::for_process("balancer"),
        };
        let balancer = Balancer::spawn(options).await.unwrap();
        let node = NodeId::of_address(balancer.control_address());
        let operations =
            BalancerOperations::new(node, balancer.control(), Arc::clone(&store), None);
        let operations = Arc::new(operations);
        let domain = domain.parse().unwrap();
        let link = StoreLink::new(node, domain, balancer.control(), store, self.stop.clone());
        tokio::spawn(link.run());
        let team = Team {
            name: "ops".to_owned(),
            token_hash: *blake3::hash(b"token").as_bytes(),
            services: TeamServices::All,
        };
        let options = AdminOptions {
            teams: vec![team],
            ..AdminOptions::default()
        };
        let shared = Arc::<BalancerOperations>::clone(&operations);
        let admin = AdminServer::bind(loopback, options, shared).await.unwrap();
        Node {
            balancer,
            operations,
            admin,
        }
    }

    fn url(&self, node: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[node].admin.address())
    }

    async fn send(&self, request: RequestBuilder) -> (u16, Value) {
        let response = request.bearer_auth("token").send().await.unwrap();
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or_default())
    }

    async fn get(&self, node: usize, path: &str) -> (u16, Value) {
        self.send(self.client.get(self.url(node, path))).await
    }

    /// Waits until every node has `version` of the profile in force.
    async fn wait_for(&self, version: u64) -> Duration {
        let start = Instant::now();
        for node in 0..self.nodes.len() {
            while self.get(node, "/v1/profiles/day").await.1["version"] != version {
                assert!(start.elapsed() < Duration::from_secs(20), "node {node}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        start.elapsed()
    }
}

// Guards against an accepted change that does not reach all balancers, or is reverted, when the
// store fails right after the write.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_is_in_force_everywhere_and_stays() {
    let d = deployment(&["bzh-rns", "bzh-brs", "bzh-vns"]).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let create = d.client.post(d.url(0, "/v1/profiles")).body(PROFILE);
    let (status, created) = d.send(create).await;
    expect_that!(status, eq(200), "{created}");
    d.server.handle().set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let version = created["version"].as_u64().unwrap();
    expect_that!(d.wait_for(version).await, lt(IN_FORCE_TARGET));
    let path = format!("/v1/confirmations/profile/day?version={version}&wait_ms=4000");
    let (_, confirmation) = d.get(1, &path).await;
    expect_that!(confirmation["confirmed"].as_array().unwrap().len(), eq(3));
    expect_that!(confirmation["missing"], eq(&json!([])));
    let update = d.client.put(d.url(1, "/v1/profiles/day")).body(PROFILE);
    let (status, refused) = d.send(update.header("if-match", version)).await;
    expect_that!(status, eq(503), "{refused}");
    expect_that!(refused["code"], eq(&json!(54)));
    d.wait_for(version).await;
    let (_, status) = d.get(2, "/v1/status").await;
    expect_that!(status["balancers"].as_array().unwrap().len(), eq(3));
}

// Guards against changes made directly in the store that do not reach the balancers, and against
// every balancer watching the store.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn changes_in_the_store_arrive_through_two_watchers() {
    let d = deployment(&["bzh-rns", "bzh-rns", "bzh-rns", "bzh-rns"]).await;
    // Slots are acquired after 5 s without a claim.
    tokio::time::sleep(Duration::from_secs(9)).await;
    let store = ObjectStore::open(d.server.address(), StoreOptions::default()).unwrap();
    let before = d.server.handle().counts();
    let profile = hawthorntide_configuration::check_profile(PROFILE, "p").unwrap();
    let profile = serde_json::to_value(profile).unwrap();
    let key = ObjectKey::new(ObjectKind::Profile, "day").unwrap();
    let outcome = store.put_if(&key, &profile, Version::NONE).await;
    let WriteOutcome::Accepted(version) = outcome else {
        panic!("expected an accepted write, got {outcome:?}");
    };
    expect_that!(d.wait_for(version.get()).await, lt(IN_FORCE_TARGET));
    let (_, status) = d.get(0, "/v1/status").await;
    expect_that!(status["versions"][0]["version"], eq(&json!(version)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = d.server.handle().counts();
    // Each of the two watchers starts a new watch request after an event.
    expect_that!(after.watch - before.watch, le(6));
    expect_that!(after.list, le(4 + 2));
}

// Guards against a change that is not in force in time although the store answers: the connections on
// which the balancers watch it fell silent without being closed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_after_all_connections_to_the_store_fell_silent() {
    let d = deployment(&["bzh-rns", "bzh-rns", "bzh-rns"]).await;
    // Slots are acquired after 5 s without a claim.
    tokio::time::sleep(Duration::from_secs(9)).await;
    d.server.handle().silence_connections();
    // The balancer that accepted the change died before it told the others.
    let store = ObjectStore::open(d.server.address(), StoreOptions::default()).unwrap();
    let profile = hawthorntide_configuration::check_profile(PROFILE, "p").unwrap();
    let profile = serde_json::to_value(profile).unwrap();
    let key = ObjectKey::new(ObjectKind::Profile, "day").unwrap();
    let outcome = store.put_if(&key, &profile, Version::NONE).await;
    let WriteOutcome::Accepted(version) = outcome else {
        panic!("expected an accepted write, got {outcome:?}");
    };
    expect_that!(d.wait_for(version.get()).await, lt(IN_FORCE_TARGET));
}

// Guards against a confirmed change that the store lost and that nobody writes again: after a restart of
// all balancers the older version would be in force. Also guards against a change of the new era that
// the watches miss.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn confirmed_and_later_changes_are_in_force_after_a_restore() {
    let d = deployment(&["bzh-rns", "bzh-rns", "bzh-brs"]).await;
    // Slots are acquired after 5 s without a claim.
    tokio::time::sleep(Duration::from_secs(9)).await;
    let create = d.client.post(d.url(0, "/v1/profiles")).body(PROFILE);
    let (status, created) = d.send(create).await;
    expect_that!(status, eq(200), "{created}");
    let first = created["version"].as_u64().unwrap();
    let copy = d.server.handle().copy();
    let changed = PROFILE.replace("\"deadline_ms\": 2000", "\"deadline_ms\": 2500");
    expect_that!(changed.as_str(), not(eq(PROFILE)));
    let update = d.client.put(d.url(1, "/v1/profiles/day")).body(changed);
    let (status, updated) = d.send(update.header("if-match", first)).await;
    expect_that!(status, eq(200), "{updated}");
    let lost = updated["version"].as_u64().unwrap();
    d.wait_for(lost).await;

    d.server.handle().restore(&copy);
    let store = ObjectStore::open(d.server.address(), StoreOptions::default()).unwrap();
    let day = ObjectKey::new(ObjectKind::Profile, "day").unwrap();
    let restored = store.get(&day).await.unwrap().unwrap();
    expect_that!(restored.version.get(), eq(first));
    // The revisions of the lost history are given out again.
    let night = ObjectKey::new(ObjectKind::Profile, "night").unwrap();
    let mut profile = restored.value.clone();
    profile["name"] = json!("night");
    let mut version = Version::NONE;
    for _ in 0..4 {
        let outcome = store.put_if(&night, &profile, version).await;
        let WriteOutcome::Accepted(accepted) = outcome else {
            panic!("expected an accepted write, got {outcome:?}");
        };
        version = accepted;
    }
    let start = Instant::now();
    for node in 0..d.nodes.len() {
        while d.get(node, "/v1/profiles/night").await.1["version"] != version.get() {
            assert!(start.elapsed() < Duration::from_secs(20), "node {node}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    expect_that!(start.elapsed(), lt(IN_FORCE_TARGET));
    let deadline = Instant::now() + IN_FORCE_TARGET;
    let written = loop {
        let current = store.get(&day).await.unwrap().unwrap();
        if current.version.get() > lost || Instant::now() > deadline {
            break current;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    expect_that!(written.version.get(), gt(lost));
    expect_that!(written.value, not(eq(&restored.value)));
    d.wait_for(written.version.get()).await;
}

// Guards against a drain request that has no effect on the process.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_reaches_the_process() {
    let d = deployment(&["bzh-rns"]).await;
    let (status, _) = d.send(d.client.post(d.url(0, "/v1/drain"))).await;
    expect_that!(status, eq(202));
    let requested = d.nodes[0].operations.drain_requested();
    let requested = tokio::time::timeout(Duration::from_secs(1), requested).await;
    expect_that!(requested, ok(anything()));
    expect_that!(d.nodes[0].operations.phase().takes_new_flows(), eq(false));
    expect_that!(d.get(0, "/v1/ready").await.0, eq(503));
}
