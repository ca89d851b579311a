//! End-to-end test from caller to upstream over real sockets.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_client::{Call, CallerOptions, CallerSocket};
use hawthorntide_emulator::WorkOrder;
use hawthorntide_trial::{Cluster, Deployment};
use hawthorntide_types::{DurationMs, ResultCode, ServiceId, ServiceName, WorkKind};
use prost::Message;

// Guards against failures anywhere between caller, fabric, balancer, agent and upstream, and
// against streams that end when a balancer shuts down.
#[tokio::test(flavor = "multi_thread")]
async fn a_flow_is_served_and_survives_a_balancer_that_stops() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kerval.jsonc");
    let deployment = Deployment::read(&example).unwrap();
    let mut cluster = Cluster::spawn(&deployment, 1).await.unwrap();
    // Waits for the first heartbeats.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let service: ServiceName = "stockd".parse().unwrap();
    let address = cluster.service_address(&service, 0).unwrap();
    let socket = CallerSocket::bind(CallerOptions {
        local_address: "127.0.0.1:0".parse().unwrap(),
        authority: vec![cluster.authority.certificate()],
    })
    .unwrap();
    let caller = socket
        .connect(service.as_str(), address, None)
        .await
        .unwrap();
    let order = WorkOrder {
        work_id: 7,
        service_id: ServiceId::of_name(&service).get(),
        answer_bytes: 100_000,
        messages: 0,
    };
    let call = Call {
        kind: WorkKind::Reservation,
        deadline_ms: DurationMs(2000),
        payload: order.encode_to_vec(),
    };
    let answer = caller.call(&call).await;
    assert_that!(answer.code, eq(ResultCode::Ok));
    assert_that!(answer.data == order.answer(), eq(true));

    let mut stream = caller.open_stream(order.encode_to_vec()).await.unwrap();
    assert_that!(stream.next_message().await, ok(some(anything())));
    cluster
        .fabric
        .detach_balancer(cluster.balancers[0].data_address());
    let stop = cluster.balancers[0].begin_stop(DurationMs(500)).unwrap();
    stop.await.unwrap();
    for _ in 0..3 {
        assert_that!(stream.next_message().await, ok(some(anything())));
    }
    let resumed = socket
        .connect(service.as_str(), address, Some(caller.resume_state()))
        .await
        .unwrap();
    assert_that!(resumed.session(), eq(caller.session()));
    drop(stream);
    socket.close().await;
}
