//! Tests that balancers follow the configuration after the platform store came back from a copy.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_standins::{ProxyMode, Store, TcpProxy};
use hawthorntide_store::ObjectKind;
use tokio::time::sleep;

use common::{
    APPLY_TIMEOUT, TEST_TIMEOUT, address, becomes_true, has_version, object_name, route,
    spawn_agent, spawn_balancer,
};

/// Longest pause of a process before it calls the store again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);

// Guards against a balancer that resumes its watch at a revision of the lost history, which the
// store has given out again: the answer is empty, and the change before that revision stays unseen.
#[gtest]
#[tokio::test]
async fn change_below_the_resumed_revision_is_in_force_after_a_restore() {
    let (store_address, proxy_address) = (address(19, 27_730), address(18, 27_730));
    let store = Store::bind(store_address).await.unwrap();
    let proxy = TcpProxy::bind(proxy_address, store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let _first = spawn_balancer(11, 12, proxy_address).await;
    let _second = spawn_balancer(12, 11, proxy_address).await;
    let copy = store.copy();
    store.configure(5, &[route(1), route(2)]);
    expect_true!(has_version(11, 5, TEST_TIMEOUT).await);
    expect_true!(has_version(12, 5, TEST_TIMEOUT).await);
    proxy.set_mode(ProxyMode::Reset);
    store.restore(&copy);
    store.configure(7, &[route(1), route(3)]);
    store.write_others(50);
    proxy.set_mode(ProxyMode::Pass);
    expect_true!(has_version(11, 7, RECOVERY_TIMEOUT + APPLY_TIMEOUT).await);
    expect_true!(has_version(12, 7, RECOVERY_TIMEOUT + APPLY_TIMEOUT).await);
}

// Guards against a balancer whose own watch missed a change and that leaves it at that, although it
// knows of another balancer with the newer version.
#[gtest]
#[tokio::test]
async fn watching_balancer_fetches_a_version_that_its_watch_missed() {
    let (first_address, second_address) = (address(29, 27_730), address(29, 27_731));
    let first_store = Store::bind(first_address).await.unwrap();
    let second_store = Store::bind(second_address).await.unwrap();
    for store in [&first_store, &second_store] {
        store.configure(3, &[route(1)]);
    }
    let _first = spawn_balancer(21, 22, first_address).await;
    let _second = spawn_balancer(22, 21, second_address).await;
    expect_true!(has_version(21, 3, TEST_TIMEOUT).await);
    expect_true!(has_version(22, 3, TEST_TIMEOUT).await);
    first_store.configure(5, &[route(2)]);
    expect_true!(has_version(22, 5, APPLY_TIMEOUT).await);
}

// Guards against a directory entry and a flow record that are written once and stay lost: a later loss
// of all memory would leave the agent unknown to others, and its callers without resets.
#[gtest]
#[tokio::test]
async fn lost_objects_of_a_process_are_written_again_after_a_restore() {
    let store_address = address(39, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let copy = store.copy();
    let _balancer = spawn_balancer(31, 32, store_address).await;
    let (_agent, _upstream) = spawn_agent(32, 31, store_address).await;
    let has_objects = || {
        let entry =
            |host| store.has_object("hawthorntide", object_name(ObjectKind::Directory, host));
        let record = object_name(ObjectKind::FlowRecord, 32);
        entry(31) && entry(32) && store.has_object("hawthorntide-flows", record)
    };
    expect_true!(becomes_true(has_objects, TEST_TIMEOUT).await);
    store.restore(&copy);
    expect_false!(has_objects());
    expect_true!(becomes_true(has_objects, TEST_TIMEOUT).await);
}

// Guards against an agent that leaves and writes its removed objects again while it stops.
#[gtest]
#[tokio::test]
async fn objects_of_an_agent_that_left_are_not_written_again() {
    let store_address = address(49, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let (agent, upstream) = spawn_agent(42, 41, store_address).await;
    let entry = object_name(ObjectKind::Directory, 42);
    let has_entry = || store.has_object("hawthorntide", &entry);
    expect_true!(becomes_true(has_entry, TEST_TIMEOUT).await);
    upstream.drain();
    sleep(Duration::from_secs(1)).await;
    expect_that!(upstream.deregister().await, some(eq(200)));
    agent.stop().await;
    expect_false!(has_entry());
    // Longer than the time between two listings of the directory.
    expect_false!(becomes_true(has_entry, Duration::from_secs(12)).await);
}
