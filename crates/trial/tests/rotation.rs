//! Open flows must survive the rotation of connection ID keys and the renewal of certificates.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_client::{AgentConnection, CallStream, CallerOptions, CallerSocket};
use hawthorntide_emulator::WorkOrder;
use hawthorntide_routing::{ConnectionIdKey, KEY_BYTES, KeyRing};
use hawthorntide_trial::{Cluster, Deployment, TestAuthority};
use hawthorntide_types::{ServiceId, ServiceName};
use prost::Message;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn cluster() -> Cluster {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kerval.jsonc");
    let deployment = Deployment::read(&example).unwrap();
    let cluster = Cluster::spawn(&deployment, 1).await.unwrap();
    // Waits for the first heartbeats.
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster
}

fn service() -> ServiceName {
    "stockd".parse().unwrap()
}

fn socket(authority: &TestAuthority) -> CallerSocket {
    CallerSocket::bind(CallerOptions {
        local_address: "127.0.0.1:0".parse().unwrap(),
        authority: vec![authority.certificate()],
    })
    .unwrap()
}

async fn open(cluster: &Cluster, socket: &CallerSocket) -> (AgentConnection, CallStream) {
    let address = cluster.service_address(&service(), 0).unwrap();
    let connecting = socket.connect("stockd", address, None);
    let caller = tokio::time::timeout(TIMEOUT, connecting).await.unwrap();
    let caller = caller.unwrap();
    let order = WorkOrder {
        work_id: 7,
        service_id: ServiceId::of_name(&service()).get(),
        answer_bytes: 100,
        messages: 0,
    };
    let stream = caller.open_stream(order.encode_to_vec()).await.unwrap();
    (caller, stream)
}

async fn expect_messages(stream: &mut CallStream) {
    for _ in 0..2 {
        let message = tokio::time::timeout(TIMEOUT, stream.next_message()).await;
        expect_that!(message.unwrap(), ok(some(anything())));
    }
}

fn key(id: u8) -> ConnectionIdKey {
    // Key 1 made this way equals the key that the cluster starts with.
    ConnectionIdKey::new(id, [id + 1; KEY_BYTES])
}

fn rotate(cluster: &Cluster, issuing: u8, accepted: Option<u8>) {
    let ring = || KeyRing::new(key(issuing), accepted.map(key)).unwrap();
    for process in &cluster.balancers {
        process.balancer().unwrap().rotate_keys(ring());
    }
    for process in &cluster.upstreams {
        process.agent().unwrap().rotate_keys(ring());
    }
}

// Guards against ending flows at any step of a key rotation, and against accepting a key after its
// removal.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_the_rotation_of_connection_id_keys() {
    let cluster = cluster().await;
    let socket = socket(&cluster.authority);
    let (old_caller, mut old) = open(&cluster, &socket).await;
    expect_messages(&mut old).await;
    for (issuing, accepted) in [(1, Some(2)), (2, Some(1))] {
        rotate(&cluster, issuing, accepted);
        expect_messages(&mut old).await;
        let (_caller, mut new) = open(&cluster, &socket).await;
        expect_messages(&mut new).await;
    }
    let address = cluster.service_address(&service(), 0).unwrap();
    let resumed = socket.connect("stockd", address, Some(old_caller.resume_state()));
    expect_that!(resumed.await.unwrap().session(), eq(old_caller.session()));
    let (_caller, mut new) = open(&cluster, &socket).await;
    rotate(&cluster, 2, None);
    expect_messages(&mut new).await;
    let message = tokio::time::timeout(Duration::from_secs(2), async {
        while let Ok(Some(_)) = old.next_message().await {}
    });
    expect_that!(message.await.is_err(), eq(true));
}

// Guards against ending open flows when a certificate is renewed, and against serving the old
// certificate to new flows.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_a_renewed_certificate() {
    let cluster = cluster().await;
    let before = socket(&cluster.authority);
    let (_caller, mut old) = open(&cluster, &before).await;
    let authority = TestAuthority::new().unwrap();
    for process in &cluster.upstreams {
        let tls = authority.issue(process.service()).unwrap();
        process.agent().unwrap().reload_tls(tls).unwrap();
    }
    expect_messages(&mut old).await;
    let after = socket(&authority);
    let (_caller, mut new) = open(&cluster, &after).await;
    expect_messages(&mut new).await;
    let address = cluster.service_address(&service(), 0).unwrap();
    let refused = before.connect("stockd", address, None).await;
    expect_that!(refused, err(anything()));
    expect_messages(&mut old).await;
}
