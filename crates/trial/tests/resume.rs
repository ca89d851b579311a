//! Guards at-most-once execution when a caller loses its connection or the agent dies.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_client::{Call, CallerOptions, CallerSocket, Flow};
use hawthorntide_emulator::WorkOrder;
use hawthorntide_trial::{Deployment, World};
use hawthorntide_types::{DurationMs, Ran, ResultCode, ServiceId, ServiceName, WorkKind};
use prost::Message;

/// Interval at which the upstreams are asked whether they run the reservation; its service time is
/// 40 ms.
const POLL: Duration = Duration::from_millis(1);

struct Setting {
    world: World,
    flow: Flow,
    order: WorkOrder,
    call: Call,
}

async fn setting(work_id: u64) -> Setting {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kerval.jsonc");
    let deployment = Deployment::read(&example).unwrap();
    let world = World::spawn(&deployment, 1).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let service: ServiceName = "stockd".parse().unwrap();
    let address = world.service_address(&service, 0).unwrap();
    let options = CallerOptions {
        local_address: "127.0.0.1:0".parse().unwrap(),
        authority: vec![world.authority.certificate()],
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
    Setting {
        world,
        flow,
        order,
        call,
    }
}

fn runs(world: &World, work_id: u64) -> u32 {
    let upstreams = world.upstreams.iter();
    let records = upstreams.flat_map(|process| process.upstream().records());
    let own = records.filter(|record| record.work_id == work_id);
    own.map(|record| record.runs).sum()
}

async fn wait_for_run(world: &World, work_id: u64) {
    while runs(world, work_id) == 0 {
        tokio::time::sleep(POLL).await;
    }
}

// Guards against a second run of a reservation that is sent again after its connection was lost,
// and against an answer that is lost although the agent still has it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_sent_again_after_a_lost_connection_runs_once() {
    let setting = setting(11).await;
    let first = setting.flow.connection();
    let lose = async {
        wait_for_run(&setting.world, setting.order.work_id).await;
        first.close();
    };
    let (answer, ()) = tokio::join!(setting.flow.call(&setting.call), lose);
    expect_that!(answer.code, eq(ResultCode::Ok));
    expect_that!(answer.data == setting.order.answer(), eq(true));
    expect_that!(setting.flow.connection().has_same_session(&first), eq(true));
    expect_that!(runs(&setting.world, 11), eq(1));
}

// Guards against "not run", or a second run at another agent, after the agent died with the
// reservation at its upstream.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_whose_agent_died_is_unknown_and_not_run_again() {
    let mut setting = setting(12).await;
    let (flow, call) = (&setting.flow, &setting.call);
    let world = &mut setting.world;
    let kill = async {
        wait_for_run(world, 12).await;
        for process in &mut world.upstreams {
            process.kill();
        }
    };
    let (answer, ()) = tokio::join!(flow.call(call), kill);
    expect_that!(answer.code.ran(), eq(Ran::Unknown));
    expect_that!(runs(&setting.world, 12), eq(1));
}
