//! Tests that a balancer follows the configuration without reaching the platform store.

mod common;

use std::net::SocketAddr;

use googletest::prelude::*;
use hawthorntide_standins::{RouteSpec, Store};

use common::{
    PEER_PORT, TEST_TIMEOUT, address, has_version, route, spawn_balancer, version_in_force,
};

#[gtest]
#[tokio::test]
async fn balancer_without_store_fetches_configuration_from_another() {
    let store_address = address(9, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let _first = spawn_balancer(1, 2, store_address).await;
    expect_true!(has_version(1, 3, TEST_TIMEOUT).await);
    expect_that!(version_in_force(2).await, none());
    let unused_address = address(9, 27_731);
    let _second = spawn_balancer(2, 1, unused_address).await;
    expect_true!(has_version(2, 3, TEST_TIMEOUT).await);
    store.configure(5, &[]);
    expect_true!(has_version(2, 5, TEST_TIMEOUT).await);
}

// Guards against a large configuration that fills the links of small VMs when all balancers fetch it at
// once, and against one that balancers of earlier builds cannot read.
#[gtest]
#[tokio::test]
async fn a_configuration_is_compressed_for_those_that_accept_it() {
    let store_address = address(19, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    let routes = (0..1_400).map(|number| RouteSpec {
        service_address: SocketAddr::from(([198, 18, 1, 1], 1_000 + number)),
        service: "service".to_owned(),
    });
    store.configure(3, &routes.collect::<Vec<_>>());
    let _balancer = spawn_balancer(11, 11, store_address).await;
    expect_true!(has_version(11, 3, TEST_TIMEOUT).await);
    let client = reqwest::Client::builder().no_gzip().build().unwrap();
    let url = format!("http://{}/configuration", address(11, PEER_PORT));
    let plain = client
        .get(&url)
        .send()
        .await
        .unwrap()
        .bytes()
        .await
        .unwrap();
    let decoded: serde_json::Value = serde_json::from_slice(&plain).unwrap();
    expect_that!(decoded["routes"].as_array().unwrap().len(), eq(1_400));
    let compressed = client.get(&url).header("accept-encoding", "gzip");
    let compressed = compressed.send().await.unwrap();
    expect_that!(compressed.headers()["content-encoding"], eq("gzip"));
    expect_that!(compressed.bytes().await.unwrap().len(), lt(plain.len() / 5));
    let decoded = reqwest::get(&url).await.unwrap().json().await;
    let decoded: serde_json::Value = decoded.unwrap();
    expect_that!(decoded["routes"].as_array().unwrap().len(), eq(1_400));
}
