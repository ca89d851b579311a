//! Tests of at-most-once execution when a caller loses its connection or the agent is killed.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_client::{Call, CallerOptions, CallerSocket, Flow};
use hawthorntide_emulator::WorkOrder;
use hawthorntide_trial::{Cluster, Deployment};
use hawthorntide_types::{DurationMs, Ran, ResultCode, ServiceId, ServiceName, WorkKind};
use prost::Message;

/// Well below the service time of a reservation, 40 ms, so that a run is noticed before it ends.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

struct Fixture {
    cluster: Cluster,
    flow: Flow,
    order: WorkOrder,
    call: Call,
}

async fn fixture(work_id: u64) -> Fixture {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kerval.jsonc");
    let deployment = Deployment::read(&example).unwrap();
    let cluster = Cluster::spawn(&deployment, 1).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let service: ServiceName = "stockd".parse().unwrap();
    let address = cluster.service_address(&service, 0).unwrap();
    let options = CallerOptions {
        local_address: "127.0.0.1:0".parse().unwrap(),
        authority: vec![cluster.authority.certificate()],
    };
    let socket = CallerSocket::bind(options).unwrap();
    let flow = Flow::open(socket, service.as_str(), address).await.unwrap();
    let order = WorkOrder {
        work_id,
        service_id: ServiceId::of_name(&service).get(),
        answer_bytes: 10_000,
        messages: 0,
    };
    let call = Call {
        kind: WorkKind::Reservation,
        deadline_ms: DurationMs(3000),
        payload: order.encode_to_vec(),
    };
    Fixture {
        cluster,
        flow,
        order,
        call,
    }
}

fn runs(cluster: &Cluster, work_id: u64) -> u32 {
    let upstreams = cluster.upstreams.iter();
    let records = upstreams.flat_map(|process| process.upstream().records());
    let matching = records.filter(|record| record.work_id == work_id);
    matching.map(|record| record.runs).sum()
}

async fn wait_for_run(cluster: &Cluster, work_id: u64) {
    while runs(cluster, work_id) == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

// Guards against running a reservation twice when the caller resends it after losing its
// connection, and against losing an answer that the agent still has.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_sent_again_after_a_lost_connection_runs_once() {
    let fixture = fixture(11).await;
    let first = fixture.flow.connection();
    let lose = async {
        wait_for_run(&fixture.cluster, fixture.order.work_id).await;
        first.close();
    };
    let (answer, ()) = tokio::join!(fixture.flow.call(&fixture.call), lose);
    expect_that!(answer.code, eq(ResultCode::Ok));
    expect_that!(answer.data == fixture.order.answer(), eq(true));
    expect_that!(fixture.flow.connection().has_same_session(&first), eq(true));
    expect_that!(runs(&fixture.cluster, 11), eq(1));
}

// Guards against reporting "not run", and against a second run at another agent, when the agent is
// killed while its upstream runs the reservation.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_whose_agent_died_is_unknown_and_not_run_again() {
    let mut fixture = fixture(12).await;
    let (flow, call) = (&fixture.flow, &fixture.call);
    let cluster = &mut fixture.cluster;
    let kill = async {
        wait_for_run(cluster, 12).await;
        for process in &mut cluster.upstreams {
            process.kill();
        }
    };
    let (answer, ()) = tokio::join!(flow.call(call), kill);
    expect_that!(answer.code.ran(), eq(Ran::Unknown));
    expect_that!(runs(&fixture.cluster, 12), eq(1));
}
