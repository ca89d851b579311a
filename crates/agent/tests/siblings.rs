//! New flows among the agents of one service.

mod common;

use std::time::Duration;

use common::Bench;
use googletest::prelude::*;
use prost::Message;

/// Time in which a new endpoint is known to all and load reports are exchanged.
const JOIN: Duration = Duration::from_millis(2500);
/// Flows that the first endpoint holds before the second one joins.
const EARLIER_FLOWS: u64 = 40;
const NEW_FLOWS: u64 = 20;

/// Guards against an endpoint that joined and stays empty, because the hash and its small weight
/// give it a fifth of the new flows.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn new_flows_go_to_the_sibling_that_joined() {
    let mut bench = Bench::start().await;
    let mut open = Vec::new();
    for work_id in 0..EARLIER_FLOWS {
        open.push(open_stream(&bench, work_id).await);
    }
    let entry = bench.world.deployment.services[0].clone();
    let group = entry.upstreams[0].clone();
    let joined = bench.world.join_upstream(&entry, &group).await;
    expect_true!(joined.is_ok(), "{joined:?}");
    tokio::time::sleep(JOIN).await;
    for work_id in 0..NEW_FLOWS {
        open.push(open_stream(&bench, EARLIER_FLOWS + work_id).await);
    }
    let counts: Vec<u32> = bench
        .world
        .upstreams
        .iter()
        .map(|process| process.upstream().counts().open_streams)
        .collect();
    expect_that!(counts[1], ge(14), "{counts:?}");
    expect_that!(
        counts.iter().sum::<u32>(),
        eq((EARLIER_FLOWS + NEW_FLOWS) as u32)
    );
}

/// Opens a connection with one stream whose first message has arrived.
async fn open_stream(
    bench: &Bench,
    work_id: u64,
) -> (
    hawthorntide_client::AgentConnection,
    hawthorntide_client::CallStream,
) {
    let caller = bench.connect(None).await;
    let order = bench.order(work_id).encode_to_vec();
    let opened = caller.open_stream(order).await;
    let mut stream = opened.expect("the agent takes the stream");
    let first = stream.next_message().await;
    assert!(matches!(first, Ok(Some(_))), "{first:?}");
    (caller, stream)
}
