//! Guards the whole path from caller to upstream over real sockets.

use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_client::{Call, CallerOptions, CallerSocket};
use hawthorntide_emulator::WorkOrder;
use hawthorntide_trial::{Deployment, World};
use hawthorntide_types::{DurationMs, ResultCode, ServiceId, WorkKind};
use prost::Message;

const DEPLOYMENT: &str = r#"{
    "failure_domains": ["bzh-rns", "bzh-brs", "bzh-vns"],
    "caller_delay_ms": 1,
    "balancers": 3,
    "services": [{
        "name": "stockd", "endpoints": 3, "slots": 2, "service_time_ms": 5,
        "profile": {
            "name": "streams", "target_delay_ms": 20, "drain_limit_ms": 60000,
            "work": [
                {
                    "kind": "stream", "idempotent": true,
                    "calm": {"urgency": "high", "share_per_mille": 100, "queue_wait_ms": 1000,
                        "deadline_ms": 86400000, "new_flows_per_second": 5000, "retry_budget_per_mille": 0},
                    "crowded": {"urgency": "high", "share_per_mille": 100, "queue_wait_ms": 1000,
                        "deadline_ms": 86400000, "new_flows_per_second": 5000, "retry_budget_per_mille": 0}
                },
                {
                    "kind": "reservation", "idempotent": false,
                    "calm": {"urgency": "high", "share_per_mille": 500, "queue_wait_ms": 1000,
                        "deadline_ms": 2000, "new_flows_per_second": 5000, "retry_budget_per_mille": 0},
                    "crowded": {"urgency": "high", "share_per_mille": 500, "queue_wait_ms": 1000,
                        "deadline_ms": 2000, "new_flows_per_second": 5000, "retry_budget_per_mille": 0}
                }
            ]
        }
    }]
}"#;

// Guards against any break between caller, fabric, balancer, agent and upstream, and against a
// stream that ends when a balancer stops.
#[tokio::test(flavor = "multi_thread")]
async fn a_flow_is_served_and_survives_a_balancer_that_stops() {
    let deployment: Deployment = serde_json::from_str(DEPLOYMENT).unwrap();
    let mut world = World::spawn(&deployment, 1).await.unwrap();
    // The first heartbeats are under way.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (service, address) = world.service_addresses[0].clone();
    let socket = CallerSocket::bind(CallerOptions {
        local_address: "127.0.0.1:0".parse().unwrap(),
        authority: vec![world.authority.certificate()],
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
    let stopped = world.balancers.remove(0);
    world.fabric.detach_balancer(stopped.data_address());
    stopped.stop().await;
    for _ in 0..3 {
        assert_that!(stream.next_message().await, ok(some(anything())));
    }
    let resumed = socket
        .connect(service.as_str(), address, Some(caller.resume()))
        .await
        .unwrap();
    assert_that!(resumed.session(), eq(caller.session()));
    drop(stream);
    socket.close().await;
    world.stop().await;
}
