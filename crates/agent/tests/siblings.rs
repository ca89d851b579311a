//! Distribution of new flows among the agents of one service.

mod common;

use std::time::Duration;

use common::Fixture;
use googletest::prelude::*;
use prost::Message;

/// Time until all processes know a new endpoint and load reports have been exchanged.
const JOIN_DELAY: Duration = Duration::from_millis(2500);
/// Flows open on the first endpoint before the second one joins.
const EARLIER_FLOWS: u64 = 40;
const NEW_FLOWS: u64 = 20;

/// Guards against a joined endpoint that gets too few flows: without forwarding among siblings, the
/// hash and its low initial weight give it only a fifth of the new flows.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn new_flows_go_to_the_joined_sibling() {
    let mut fixture = Fixture::start().await;
    let mut open = Vec::new();
    for work_id in 0..EARLIER_FLOWS {
        open.push(open_stream(&fixture, work_id).await);
    }
    let entry = fixture.cluster.deployment.services[0].clone();
    let group = entry.upstreams[0].clone();
    let joined = fixture.cluster.join_upstream(&entry, &group).await;
    expect_true!(joined.is_ok(), "{joined:?}");
    tokio::time::sleep(JOIN_DELAY).await;
    for work_id in 0..NEW_FLOWS {
        open.push(open_stream(&fixture, EARLIER_FLOWS + work_id).await);
    }
    let counts: Vec<u32> = fixture
        .cluster
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

/// Opens a connection and a stream, and waits for the first message on it.
async fn open_stream(
    fixture: &Fixture,
    work_id: u64,
) -> (
    hawthorntide_client::AgentConnection,
    hawthorntide_client::CallStream,
) {
    let caller = fixture.connect(None).await;
    let order = fixture.order(work_id).encode_to_vec();
    let opened = caller.open_stream(order).await;
    let mut stream = opened.expect("the agent accepts the stream");
    let first = stream.next_message().await;
    assert!(matches!(first, Ok(Some(_))), "{first:?}");
    (caller, stream)
}
