//! Tests of the emulated upstream. Trials count from its records how often work was run.

use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_emulator::{ReportAccuracy, Upstream, UpstreamFault, UpstreamOptions, WorkOrder};
use hawthorntide_types::{DurationMs, ServiceId, SlotCount};
use hawthorntide_wire::upstream::upstream_client::UpstreamClient;
use hawthorntide_wire::upstream::{Kind, LoadRequest, RunRequest};
use prost::Message;
use tonic::transport::Channel;
use tonic::{Code, Request, Status};

const SERVICE: ServiceId = ServiceId(7);

fn options(service_time_ms: u64) -> UpstreamOptions {
    UpstreamOptions {
        service: SERVICE,
        slots: SlotCount(1),
        service_time_ms: DurationMs(service_time_ms),
        ..UpstreamOptions::default()
    }
}

fn order(work_id: u64) -> WorkOrder {
    WorkOrder {
        work_id,
        service_id: SERVICE.get(),
        answer_bytes: 40_000,
        messages: 0,
    }
}

fn request(order: &WorkOrder, kind: Kind) -> Request<RunRequest> {
    Request::new(RunRequest {
        request_id: format!("1-1-{}", order.work_id),
        kind: kind.into(),
        payload: order.encode_to_vec(),
    })
}

async fn connect(upstream: &Upstream) -> UpstreamClient<Channel> {
    UpstreamClient::connect(format!("http://{}", upstream.address()))
        .await
        .expect("the upstream listens")
}

async fn call(
    client: &mut UpstreamClient<Channel>,
    request: Request<RunRequest>,
) -> std::result::Result<Vec<u8>, Status> {
    let mut chunks = client.run(request).await?.into_inner();
    let mut answer = Vec::new();
    while let Some(chunk) = chunks.message().await? {
        answer.extend(chunk.data);
    }
    Ok(answer)
}

/// Guards against omitting a repeated run from the records.
#[tokio::test]
async fn counts_each_run_of_a_request() {
    let upstream = Upstream::bind(options(1)).await.expect("binds");
    let mut client = connect(&upstream).await;
    for _ in 0..2 {
        let answer = call(&mut client, request(&order(5), Kind::Reservation)).await;
        assert_that!(answer.expect("runs"), eq(&order(5).answer()));
    }
    let records = upstream.records();
    assert_that!(records.len(), eq(1));
    assert_that!(records[0].runs, eq(2));
    assert_that!(records[0].completed, eq(2));
}

/// Guards against shed work that the agent cannot distinguish from work that ran.
#[tokio::test]
async fn shed_work_carries_the_trailer_and_no_record() {
    let upstream = Upstream::bind(options(60_000)).await.expect("binds");
    let mut client = connect(&upstream).await;
    let running = client.run(request(&order(1), Kind::Sheet)).await;
    let refusal = call(&mut client, request(&order(2), Kind::Sheet)).await;
    let status = refusal.expect_err("the only slot is taken");
    assert_that!(status.code(), eq(Code::ResourceExhausted));
    let ran = status.metadata().get("hawthorntide-ran");
    assert_that!(ran.and_then(|ran| ran.to_str().ok()), some(eq("no")));
    assert_that!(upstream.records().len(), eq(1));
    drop(running);
}

/// Guards against keeping a slot occupied after its call was cancelled.
#[tokio::test]
async fn cancellation_releases_the_slot() {
    let upstream = Upstream::bind(options(60_000)).await.expect("binds");
    let mut client = connect(&upstream).await;
    drop(client.run(request(&order(1), Kind::Sheet)).await);
    while upstream.counts().in_flight > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_that!(upstream.counts().cancelled, eq(1));
    assert_that!(upstream.records()[0].completed, eq(0));
}

/// Guards against runs that continue past the deadline of their call.
#[tokio::test]
async fn deadline_ends_the_run() {
    let upstream = Upstream::bind(options(60_000)).await.expect("binds");
    let mut client = connect(&upstream).await;
    let mut late = request(&order(1), Kind::Sheet);
    late.set_timeout(Duration::from_millis(20));
    assert_that!(call(&mut client, late).await, err(anything()));
    while upstream.counts().in_flight > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_that!(upstream.records()[0].completed, eq(0));
}

/// Guards against running misdelivered work instead of rejecting and counting it.
#[tokio::test]
async fn work_of_another_service_is_refused_and_counted() {
    let upstream = Upstream::bind(options(1)).await.expect("binds");
    let mut client = connect(&upstream).await;
    let misdirected = WorkOrder {
        service_id: 8,
        ..order(1)
    };
    let refusal = call(&mut client, request(&misdirected, Kind::Sheet)).await;
    assert_that!(refusal, err(anything()));
    assert_that!(upstream.counts().misdelivered, eq(1));
    assert_that!(upstream.records(), is_empty());
}

/// Guards against faults that do not apply to connections already open, or cannot be cleared.
#[tokio::test]
async fn faults_reach_open_connections() {
    let upstream = Upstream::bind(options(1)).await.expect("binds");
    let mut client = connect(&upstream).await;
    upstream.set_fault(UpstreamFault::Frozen);
    let frozen = tokio::time::timeout(
        Duration::from_millis(100),
        call(&mut client, request(&order(1), Kind::Sheet)),
    );
    assert_that!(frozen.await, err(anything()));
    upstream.set_fault(UpstreamFault::Garbage);
    let garbage = call(&mut client, request(&order(2), Kind::Sheet)).await;
    assert_that!(garbage, err(anything()));
    upstream.set_fault(UpstreamFault::None);
    let mut client = connect(&upstream).await;
    let answer = call(&mut client, request(&order(3), Kind::Sheet)).await;
    assert_that!(answer, ok(anything()));
    upstream.kill();
    let after_kill = call(&mut client, request(&order(4), Kind::Sheet)).await;
    assert_that!(after_kill, err(anything()));
}

/// Guards against inaccurate report modes that report the actual load.
#[tokio::test]
async fn misleading_load_reports_differ_from_the_load() {
    let upstream = Upstream::bind(options(60_000)).await.expect("binds");
    let mut client = connect(&upstream).await;
    let running = client.run(request(&order(1), Kind::Sheet)).await;
    for (reports, expected) in [
        (ReportAccuracy::Truthful, 1),
        (ReportAccuracy::AlwaysIdle, 0),
        (ReportAccuracy::Lagging(DurationMs(3_600_000)), 0),
    ] {
        upstream.set_reports(reports);
        let report = client.load(LoadRequest {}).await.expect("reports");
        assert_that!(report.into_inner().in_flight, eq(expected));
    }
    drop(running);
}
