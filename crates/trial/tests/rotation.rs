//! Guards open flows against the rotation of keys and the renewal of certificates.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_client::{AgentConnection, CallStream, CallerOptions, CallerSocket};
use hawthorntide_emulator::WorkOrder;
use hawthorntide_routing::{KEY_BYTES, KeyRing, RoutingKey};
use hawthorntide_trial::{Deployment, TestAuthority, World};
use hawthorntide_types::{ServiceId, ServiceName};
use prost::Message;

const PATIENCE: Duration = Duration::from_secs(5);

async fn world() -> World {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kerval.jsonc");
    let deployment = Deployment::read(&example).unwrap();
    let world = World::spawn(&deployment, 1).await.unwrap();
    // The first heartbeats are under way.
    tokio::time::sleep(Duration::from_millis(300)).await;
    world
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

async fn open(world: &World, socket: &CallerSocket) -> (AgentConnection, CallStream) {
    let address = world.service_address(&service(), 0).unwrap();
    let connecting = socket.connect("stockd", address, None);
    let caller = tokio::time::timeout(PATIENCE, connecting).await.unwrap();
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
        let message = tokio::time::timeout(PATIENCE, stream.next_message()).await;
        expect_that!(message.unwrap(), ok(some(anything())));
    }
}

fn key(id: u8) -> RoutingKey {
    // The world starts with key 1 of this form.
    RoutingKey::new(id, [id + 1; KEY_BYTES])
}

fn rotate(world: &World, issuing: u8, accepted: Option<u8>) {
    let ring = || KeyRing::new(key(issuing), accepted.map(key)).unwrap();
    for process in &world.balancers {
        process.balancer().unwrap().rotate_keys(ring());
    }
    for process in &world.upstreams {
        process.agent().unwrap().rotate_keys(ring());
    }
}

// Guards against a flow that ends in any step of a rotation, and against a key that is removed in
// name only.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_the_rotation_of_connection_id_keys() {
    let world = world().await;
    let socket = socket(&world.authority);
    let (old_caller, mut old) = open(&world, &socket).await;
    expect_messages(&mut old).await;
    for (issuing, accepted) in [(1, Some(2)), (2, Some(1))] {
        rotate(&world, issuing, accepted);
        expect_messages(&mut old).await;
        let (_caller, mut new) = open(&world, &socket).await;
        expect_messages(&mut new).await;
    }
    let address = world.service_address(&service(), 0).unwrap();
    let resumed = socket.connect("stockd", address, Some(old_caller.resume_state()));
    expect_that!(resumed.await.unwrap().session(), eq(old_caller.session()));
    let (_caller, mut new) = open(&world, &socket).await;
    rotate(&world, 2, None);
    expect_messages(&mut new).await;
    let message = tokio::time::timeout(Duration::from_secs(2), async {
        while let Ok(Some(_)) = old.next_message().await {}
    });
    expect_that!(message.await.is_err(), eq(true));
}

// Guards against a renewed certificate that ends open flows or that new flows do not get.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_a_renewed_certificate() {
    let world = world().await;
    let before = socket(&world.authority);
    let (_caller, mut old) = open(&world, &before).await;
    let authority = TestAuthority::new().unwrap();
    for process in &world.upstreams {
        let tls = authority.issue(process.service()).unwrap();
        process.agent().unwrap().reload_tls(tls).unwrap();
    }
    expect_messages(&mut old).await;
    let after = socket(&authority);
    let (_caller, mut new) = open(&world, &after).await;
    expect_messages(&mut new).await;
    let address = world.service_address(&service(), 0).unwrap();
    let refused = before.connect("stockd", address, None).await;
    expect_that!(refused, err(anything()));
    expect_messages(&mut old).await;
}
