//! Tests that processes keep working beside objects that another program wrote into their kinds.

mod common;

use googletest::prelude::*;
use hawthorntide_standins::Store;
use hawthorntide_store::ObjectKind;
use serde_json::json;

use common::{
    APPLY_TIMEOUT, TEST_TIMEOUT, address, becomes_true, has_version, object_name, route,
    spawn_agent, spawn_balancer,
};

// Guards against a watch that gets the same answer for ever because of one object that cannot be read,
// and against a process that learns of no other because of one entry of the directory.
#[gtest]
#[tokio::test]
async fn changes_are_in_force_in_time_beside_malformed_objects() {
    let store_address = address(59, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let _first = spawn_balancer(51, 51, store_address).await;
    expect_true!(has_version(51, 3, TEST_TIMEOUT).await);
    (0..24).for_each(|number| store.write_as_other_program(number));
    store.configure(5, &[route(2)]);
    expect_true!(has_version(51, 5, APPLY_TIMEOUT).await);
    let _second = spawn_balancer(52, 52, store_address).await;
    expect_true!(has_version(52, 5, APPLY_TIMEOUT).await);
    store.configure(7, &[route(3)]);
    expect_true!(has_version(51, 7, APPLY_TIMEOUT).await);
    expect_true!(has_version(52, 7, APPLY_TIMEOUT).await);
}

// Guards against a process whose directory entry another program has overwritten: those that start later
// would not learn of it.
#[gtest]
#[tokio::test]
async fn an_overwritten_directory_entry_is_written_again() {
    let store_address = address(69, 27_730);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let (_agent, _upstream) = spawn_agent(62, 62, store_address).await;
    let name = object_name(ObjectKind::Directory, 62);
    let entry = || store.spec("hawthorntide", &name);
    expect_true!(becomes_true(|| entry().is_some(), TEST_TIMEOUT).await);
    let spec = json!({ "x": 1 });
    let object = json!({ "meta": { "name": name, "rev": 1_000 }, "spec": spec });
    store.write_malformed_object("hawthorntide", &name, object);
    let is_ours = || entry().is_some_and(|it| it != spec);
    expect_true!(becomes_true(is_ours, TEST_TIMEOUT).await);
}
