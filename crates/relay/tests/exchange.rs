//! Tests that a balancer follows the configuration without reaching the platform store.

mod common;

use googletest::prelude::*;
use hawthorntide_standins::Store;

use common::{TEST_TIMEOUT, address, has_version, route, spawn_balancer, version_in_force};

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
