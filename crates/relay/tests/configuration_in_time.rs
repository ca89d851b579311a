//! Tests that a confirmed change is in force in time at each balancer that the platform store answers.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_standins::{ProxyMode, Store, TcpProxy};
use hawthorntide_types::NodeId;
use tokio::time::sleep;

use common::{APPLY_TIMEOUT, PEER_PORT, TEST_TIMEOUT, address, has_version, route, spawn_balancer};

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
