//! Tests of evacuations that operators write to the platform store.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_standins::{CallError, Caller, ProxyMode, Router, Store, TcpProxy};
use serde_json::json;
use tokio::time::{sleep, timeout};

use common::{
    TEST_TIMEOUT, address, becomes_true, has_version, route, spawn_agent, spawn_balancer,
};

/// An evacuation must be in force this long after the store acknowledged it.
const EVACUATE_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens flows until the outcome is `expected`; returns whether it is in time.
async fn opens_with(caller: &mut Caller, expected: std::result::Result<(), CallError>) -> bool {
    let opened = async {
        loop {
            let outcome = caller.open(route(1).service_address).await;
            if outcome.map(|_| ()) == expected {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(EVACUATE_TIMEOUT, opened).await.is_ok()
}

/// Starts a caller on `host` that sends its packets to the balancer on `balancer`, once that one is ready.
async fn spawn_caller(host: u8, balancer: u8) -> Caller {
    let router = Router::spawn([(address(balancer, 27_721), address(balancer, 27_722))]);
    assert!(becomes_true(|| router.ready_count() == 1, TEST_TIMEOUT).await);
    let caller = Caller::bind(address(host, 27_721), router.into()).await;
    caller.unwrap()
}

// Guards against an evacuation that the processes which the store turns away never hear of, against one
// that outlives its entry, and against entries of other programs that hide it.
#[gtest]
#[tokio::test]
async fn evacuations_reach_a_balancer_that_the_store_turns_away() {
    let (store_address, proxy_address) = (address(89, 27_730), address(88, 27_730));
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let proxy = TcpProxy::bind(proxy_address, store_address).await.unwrap();
    let _watching = spawn_balancer(81, 82, store_address).await;
    let _turned_away = spawn_balancer(82, 81, proxy_address).await;
    let (_agent, _upstream) = spawn_agent(83, 81, store_address).await;
    assert!(has_version(82, 3, TEST_TIMEOUT).await);
    let mut caller = spawn_caller(87, 82).await;
    assert!(opens_with(&mut caller, Ok(())).await);

    proxy.set_mode(ProxyMode::Reset);
    store.write_malformed_object("evacuations", "no-meta", json!({ "spec": 1 }));
    store.evacuate("an unknown name");
    store.evacuate("domain");
    expect_true!(opens_with(&mut caller, Err(CallError::Reset)).await);
    store.end_evacuation("domain");
    expect_true!(opens_with(&mut caller, Ok(())).await);
    // Removed and made again between two answers of the store.
    store.evacuate("domain");
    store.end_evacuation("domain");
    store.evacuate("domain");
    expect_true!(opens_with(&mut caller, Err(CallError::Reset)).await);
}

// Guards against an evacuation that outlives its entry because another program has overwritten the entry, so that
// the watch cannot tell whose change or removal it reports.
#[gtest]
#[tokio::test]
async fn an_evacuation_ends_with_an_entry_that_became_unreadable() {
    let store_address = address(89, 27_731);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let _balancer = spawn_balancer(91, 91, store_address).await;
    let (_agent, _upstream) = spawn_agent(92, 91, store_address).await;
    let mut caller = spawn_caller(93, 91).await;
    assert!(opens_with(&mut caller, Ok(())).await);

    store.evacuate("domain");
    assert!(opens_with(&mut caller, Err(CallError::Reset)).await);
    store.write_malformed_object("evacuations", "domain", json!({ "spec": 1 }));
    store.end_evacuation("domain");
    expect_true!(opens_with(&mut caller, Ok(())).await);
}

// Guards against an evacuation that nobody reads while the operator's configuration is unreadable: no balancer
// counts as watching the configuration then.
#[gtest]
#[tokio::test]
async fn evacuations_are_read_while_the_configuration_is_unreadable() {
    let store_address = address(89, 27_732);
    let store = Store::bind(store_address).await.unwrap();
    store.configure(3, &[route(1)]);
    let _balancer = spawn_balancer(94, 94, store_address).await;
    let (_agent, _upstream) = spawn_agent(95, 94, store_address).await;
    let mut caller = spawn_caller(96, 94).await;
    assert!(opens_with(&mut caller, Ok(())).await);

    store.configure_unreadable("no number");
    sleep(EVACUATE_TIMEOUT).await;
    store.evacuate("domain");
    expect_true!(opens_with(&mut caller, Err(CallError::Reset)).await);
}
