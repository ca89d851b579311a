//! Tests that a confirmed change is in force in time at each balancer that the platform store answers.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hawthorntide_standins::{CallError, Caller, ProxyMode, RouteSpec, Router, Store, TcpProxy};
use hawthorntide_types::NodeId;
use serde_json::json;
use tokio::time::sleep;

use common::{
    APPLY_TIMEOUT, PEER_PORT, TEST_TIMEOUT, address, becomes_true, has_version, route, spawn_agent,
    spawn_balancer,
};

/// Time after which the balancers have settled which of them watch.
const ELECTION_TIME: Duration = Duration::from_secs(2);

/// Time after a change until the balancers that watch wait for the next one.
const REWATCH_TIME: Duration = Duration::from_millis(400);

// Guards against a balancer that relies on others for changes while the store does not answer them.
#[gtest]
#[tokio::test]
async fn change_is_in_force_in_time_while_the_store_is_silent_for_all_watching_balancers() {
    let (store_address, proxy_address) = (address(59, 27_730), address(58, 27_730));
    let store = Store::bind(store_address).await.unwrap();
    let proxy = TcpProxy::bind(proxy_address, store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let mut hosts = [51, 52, 53, 54];
    hosts.sort_by_key(|host| NodeId::of_address(address(*host, PEER_PORT)).get());
    let last = hosts[3];
    let mut balancers = Vec::new();
    for host in hosts {
        // The three balancers of lowest rank watch.
        let store_address = if host == last {
            store_address
        } else {
            proxy_address
        };
        balancers.push(spawn_balancer(host, hosts[0], store_address).await);
    }
    sleep(ELECTION_TIME).await;
    store.configure(5, &[route(1), route(2)]);
    for host in hosts {
        expect_true!(has_version(host, 5, TEST_TIMEOUT).await);
    }
    sleep(REWATCH_TIME).await;
    proxy.set_mode(ProxyMode::Stall);
    store.configure(7, &[route(1)]);
    expect_true!(has_version(last, 7, APPLY_TIMEOUT).await);
}

// Guards against balancers that wait on one silent connection to the store after the other, although the
// store serves new ones.
#[gtest]
#[tokio::test]
async fn change_is_in_force_in_time_after_all_connections_to_the_store_fell_silent() {
    let (store_address, proxy_address) = (address(79, 27_730), address(78, 27_730));
    let store = Store::bind(store_address).await.unwrap();
    let proxy = TcpProxy::bind(proxy_address, store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let hosts = [71, 72, 73, 74];
    let mut balancers = Vec::new();
    for host in hosts {
        balancers.push(spawn_balancer(host, hosts[0], proxy_address).await);
    }
    sleep(ELECTION_TIME).await;
    for version in [5, 7, 9] {
        proxy.silence_connections();
        store.configure(version, &[route(1), route(2)]);
        let end = Instant::now() + APPLY_TIMEOUT;
        for host in hosts {
            expect_true!(
                has_version(host, version, end.saturating_duration_since(Instant::now())).await
            );
        }
        sleep(REWATCH_TIME).await;
    }
}

// Guards against a balancer that takes the answer of the store for a confirmation of its routes although it
// cannot read the latest configuration: it would refuse flows of the routes that only that one has.
#[gtest]
#[tokio::test]
async fn no_unknown_route_is_refused_while_the_latest_configuration_is_unreadable() {
    let store_address = address(69, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let _balancer = spawn_balancer(61, 62, store_address).await;
    let (_agent, _upstream) = spawn_agent(62, 61, store_address).await;
    let router = Arc::new(Router::spawn([(address(61, 27_721), address(61, 27_722))]));
    let is_ready = || router.ready_count() == 1;
    expect_true!(becomes_true(is_ready, TEST_TIMEOUT).await);
    let mut caller = Caller::bind(address(63, 27_721), Arc::clone(&router)).await;
    let caller = caller.as_mut().unwrap();
    let unknown = route(2).service_address;
    expect_that!(caller.open(unknown).await.err(), some(eq(CallError::Reset)));
    for unreadable in [json!("five"), json!(5)] {
        store.configure_unreadable(unreadable);
        sleep(APPLY_TIMEOUT).await;
        let refusal = caller.open(unknown).await.err();
        expect_that!(refusal, some(eq(CallError::Timeout)));
    }
    store.configure(7, &[route(1)]);
    expect_true!(has_version(61, 7, APPLY_TIMEOUT).await);
    expect_that!(caller.open(unknown).await.err(), some(eq(CallError::Reset)));
}

// Guards against a large configuration over a slow link that never arrives: each call ends by its time limit
// while the answer is still on its way, and the next one starts from the beginning.
#[gtest]
#[tokio::test]
async fn a_large_configuration_arrives_over_a_slow_link() {
    let (store_address, proxy_address) = (address(109, 27_730), address(108, 27_730));
    let store = Store::bind(store_address).await.unwrap();
    let proxy = TcpProxy::bind(proxy_address, store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let _balancer = spawn_balancer(101, 101, proxy_address).await;
    expect_true!(has_version(101, 3, TEST_TIMEOUT).await);
    // 16 KB in each 200 ms.
    proxy.set_mode(ProxyMode::Delay(Duration::from_millis(200)));
    let routes = (0..1_400).map(|number| RouteSpec {
        service_address: SocketAddr::from(([198, 18, 1, 1], 1_000 + number)),
        service: "service".to_owned(),
    });
    store.configure(5, &routes.collect::<Vec<_>>());
    expect_true!(has_version(101, 5, TEST_TIMEOUT).await);
}
