//! Tests of agents that stop as planned while their upstream drains.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_standins::{CallError, Caller, Router, Store};
use hawthorntide_store::ObjectKind;
use hawthorntide_types::Phase;
use tokio::time::sleep;

use common::{
    TEST_TIMEOUT, address, agent_options, becomes_true, has_version, object_name, respawn_agent,
    route, spawn_agent, spawn_balancer,
};

/// Time in which the upstreams send a heartbeat and all processes hear of the change.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Limit for a request while the agent is away, so that all of them end within half a second.
const CALL_WITHOUT_AGENT: Duration = Duration::from_millis(20);

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

async fn wait_for_objects(store: &Store, hosts: impl Iterator<Item = u8>) {
    for host in hosts {
        let entry = object_name(ObjectKind::Directory, host);
        let has_entry = || store.has_object("hawthorntide", &entry);
        assert!(becomes_true(has_entry, TEST_TIMEOUT).await);
    }
    sleep(SPREAD_TIME).await;
}

// Guards against an agent that takes its own stop for the end of its draining upstream: it announced that it
// had left, and balancers reset the flows that the upstream still served.
#[gtest]
#[tokio::test]
async fn flows_of_a_draining_upstream_outlive_a_restart_of_its_agent() {
    let store_address = address(69, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let _balancer = spawn_balancer(61, 62, store_address).await;
    let mut agents = Vec::new();
    for host in 62..=65 {
        agents.push(spawn_agent(host, 61, store_address).await);
    }
    assert!(has_version(61, 3, TEST_TIMEOUT).await);
    wait_for_objects(&store, 61..=65).await;
    let router = Router::spawn([(address(61, 27_721), address(61, 27_722))]);
    assert!(becomes_true(|| router.ready_count() == 1, TEST_TIMEOUT).await);
    let mut caller = Caller::bind(address(68, 27_721), router.into())
        .await
        .unwrap();
    let service_address = route(1).service_address;
    let mut flows = Vec::new();
    for _ in 0..60 {
        let mut flow = caller.open(service_address).await.unwrap();
        let answer = caller.call(&mut flow, "first", TEST_TIMEOUT).await;
        flows.push((flow, answer.unwrap()));
    }

    let (agent, upstream) = agents.remove(0);
    upstream.drain();
    sleep(SPREAD_TIME).await;
    agent.stop().await;
    drop(agent);
    let is_of_draining = |answer: &String| answer.ends_with("upstream-62");
    let served = flows.iter().filter(|(_, answer)| is_of_draining(answer));
    let served: Vec<_> = served.map(|(flow, _)| *flow).collect();
    expect_that!(served.len(), ge(2));
    for mut flow in served {
        let outcome = caller.call(&mut flow, "second", CALL_WITHOUT_AGENT).await;
        expect_that!(outcome, err(eq(&CallError::Timeout)), "{}", flow.key);
    }

    let _agent = respawn_agent(agent_options(62, 61, store_address)).await;
    for (mut flow, first_answer) in flows {
        let answer = caller.call(&mut flow, "first", CALL_TIMEOUT).await;
        expect_that!(answer, ok(eq(&first_answer)), "{}", flow.key);
    }
    expect_that!(upstream.late_openings(), is_empty());
}

// Guards against a restarted agent that takes new flows for its draining upstream until the next heartbeat
// tells it of the drain.
#[gtest]
#[tokio::test]
async fn agent_that_restarts_beside_a_draining_upstream_does_not_serve() {
    let store_address = address(79, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let (agent, upstream) = spawn_agent(72, 71, store_address).await;
    wait_for_objects(&store, 72..=72).await;
    upstream.drain();
    sleep(SPREAD_TIME).await;
    agent.stop().await;
    drop(agent);
    // No heartbeat tells the next incarnation of the drain.
    drop(upstream);
    let agent = respawn_agent(agent_options(72, 71, store_address)).await;
    sleep(SPREAD_TIME).await;
    expect_that!(agent.phase(), eq(Phase::Joining));
}
