//! Tests that balancers follow the configuration after the platform store came back from a copy.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_standins::{ProxyMode, Store, TcpProxy};

use common::{TEST_TIMEOUT, address, has_version, route, spawn_balancer};

/// A confirmed change must be in force at every balancer within this time.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

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
