//! Tests that a balancer follows the configuration without reaching the platform store.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_relay::{ProcessOptions, RelayBalancer, RelayBalancerOptions};
use hawthorntide_standins::{RouteSpec, Store};
use hawthorntide_types::Incarnation;
use tokio::time::{sleep, timeout};

/// Test time-out, well above the few seconds that a change takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Port for messages between processes, the same on all hosts.
const PEER_PORT: u16 = 27_720;

/// Returns a loopback address for `host`; the process id keeps parallel runs apart.
fn address(host: u8, port: u16) -> SocketAddr {
    let id = std::process::id();
    let ip = Ipv4Addr::new(127, 60 + (id % 100) as u8, (id / 100 % 250) as u8, host);
    SocketAddr::from((ip, port))
}

async fn spawn(host: u8, store_address: SocketAddr) -> RelayBalancer {
    let process = ProcessOptions {
        failure_domain: "domain".parse().unwrap(),
        peer_address: address(host, PEER_PORT),
        seeds: vec![address(1, PEER_PORT), address(2, PEER_PORT)],
        store_address,
        incarnation: Incarnation(u64::from(host)),
        seed: u64::from(host),
    };
    let options = RelayBalancerOptions {
        process,
        data_address: address(host, 27_721),
        ready_address: address(host, 27_722),
        metrics_address: None,
    };
    RelayBalancer::spawn(options).await.unwrap()
}

/// Fetches the configuration version in force at the balancer on `host`.
async fn version_in_force(host: u8) -> Option<u64> {
    let url = format!("http://{}/configuration", address(host, PEER_PORT));
    let answer = reqwest::get(url).await.ok()?.error_for_status().ok()?;
    let configuration: serde_json::Value = answer.json().await.ok()?;
    configuration["version"].as_u64()
}

async fn wait_for_version(host: u8, expected: u64) -> bool {
    let is_in_force = async {
        while version_in_force(host).await != Some(expected) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, is_in_force).await.is_ok()
}

#[gtest]
#[tokio::test]
async fn balancer_without_store_fetches_configuration_from_another() {
    let store_address = address(9, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    let route = RouteSpec {
        service_address: address(8, 443),
        service: "service".to_owned(),
    };
    store.configure(3, std::slice::from_ref(&route));
    let _first = spawn(1, store_address).await;
    expect_true!(wait_for_version(1, 3).await);
    expect_that!(version_in_force(2).await, none());
    let unused_address = address(9, 27_731);
    let _second = spawn(2, unused_address).await;
    expect_true!(wait_for_version(2, 3).await);
    store.configure(5, &[]);
    expect_true!(wait_for_version(2, 5).await);
}
