//! Checks the reported outcomes of writes under random faults against the history of the store.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_emulator::{StoreFaults, StoreServer, StoreServerOptions};
use hawthorntide_store::{
    ObjectKey, ObjectKind, ObjectStore, StoreOptions, StoredObject, WriteId, WriteOutcome,
};
use hawthorntide_types::{DurationMs, PerMille, RatePerSecond, Version};
use proptest::prelude::{Strategy, prop_assert, proptest};
use proptest::test_runner::{Config, TestCaseError};
use serde_json::json;

const OPERATORS: u64 = 4;
const WRITES: u64 = 6;
/// Exceeds the longest injected delay, so that every delayed write has taken effect.
const SETTLE: Duration = Duration::from_millis(300);

/// A write and the outcome reported to its operator.
#[derive(Debug)]
struct ReportedWrite {
    write_id: WriteId,
    outcome: WriteOutcome,
}

fn faults() -> impl Strategy<Value = StoreFaults> {
    let limit = proptest::option::of(20_u32..200);
    (0..500_u16, 0..200_u64, limit).prop_map(|(lost, delay_ms, limit)| StoreFaults {
        lost_answers_per_mille: PerMille(lost),
        delay_ms: DurationMs(delay_ms),
        call_limit: limit.map(RatePerSecond),
        ..StoreFaults::default()
    })
}

/// Repeatedly reads and overwrites one object, and deletes it once.
async fn run_operator(store: Arc<ObjectStore>, operator: u64) -> Vec<ReportedWrite> {
    let key = ObjectKey::new(ObjectKind::Profile, "day").unwrap();
    let mut reported = Vec::new();
    let mut expected = Version::NONE;
    for number in 0..WRITES {
        // If the read fails, the write is still sent, with the last known version.
        if let Ok(current) = store.get(&key).await {
            expected = current.map_or(Version::NONE, |it| it.version);
        }
        let write_id = WriteId::random();
        let value = json!([operator, number]);
        let outcome = if number == WRITES / 2 {
            store
                .delete_if_with_id(&key, expected, write_id.clone())
                .await
        } else {
            store
                .put_if_with_id(&key, &value, expected, write_id.clone())
                .await
        };
        reported.push(ReportedWrite { write_id, outcome });
    }
    reported
}

fn check_outcome(reported: &ReportedWrite, history: &[StoredObject]) -> Result<(), TestCaseError> {
    let mut matching = history
        .iter()
        .filter(|it| it.write_id.as_ref() == Some(&reported.write_id));
    let found = matching.next().map(|it| it.version);
    prop_assert!(matching.next().is_none(), "{reported:?} took effect twice");
    let is_correct = match &reported.outcome {
        WriteOutcome::Accepted(version) => found == Some(*version),
        WriteOutcome::Conflict { .. } | WriteOutcome::NotAccepted => found.is_none(),
        WriteOutcome::Open { .. } => true,
    };
    prop_assert!(is_correct, "{reported:?}, but the store has {found:?}");
    Ok(())
}

async fn run(seed: u64, first: StoreFaults, second: StoreFaults) -> Result<(), TestCaseError> {
    let options = StoreServerOptions {
        seed,
        ..StoreServerOptions::default()
    };
    let server = StoreServer::bind("127.0.0.1:0".parse().unwrap(), options).unwrap();
    let handle = server.handle();
    handle.set_faults(first);
    let mut operators = Vec::new();
    for operator in 0..OPERATORS {
        let options = StoreOptions {
            deadline_ms: DurationMs(400),
            attempt_ms: DurationMs(100),
            seed: seed + operator,
        };
        let store = Arc::new(ObjectStore::open(server.address(), options).unwrap());
        operators.push(tokio::spawn(run_operator(store, operator)));
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    handle.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    handle.set_faults(second);
    let mut reported = Vec::new();
    for operator in operators {
        reported.extend(operator.await.unwrap());
    }
    tokio::time::sleep(SETTLE).await;
    handle.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let store = ObjectStore::open(server.address(), StoreOptions::default()).unwrap();
    let history = store.watch(Version::NONE, DurationMs(0)).await.unwrap();
    for reported in &reported {
        check_outcome(reported, &history.objects)?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config::with_cases(8))]

    // Guards against reporting a lost write as accepted or an applied write as rejected, and against
    // applying a write twice.
    #[test]
    fn outcomes_are_true_under_any_faults(seed in 0..1_000_000_u64, first in faults(), second in faults()) {
        tokio::runtime::Runtime::new().unwrap().block_on(run(seed, first, second))?;
    }
}

// Guards against a client that goes from one silent connection of its pool to the next: each costs the time
// of an attempt, and a watch is not answered in time although the store serves new connections.
#[gtest]
#[tokio::test]
async fn one_silent_connection_makes_a_client_leave_all_others() {
    let options = StoreServerOptions::default();
    let server = StoreServer::bind("127.0.0.1:0".parse().unwrap(), options).unwrap();
    let store = ObjectStore::open(server.address(), StoreOptions::default()).unwrap();
    let key = ObjectKey::new(ObjectKind::Profile, "day").unwrap();
    // Concurrent calls leave as many idle connections.
    server.handle().set_faults(StoreFaults {
        delay_ms: DurationMs(50),
        ..StoreFaults::default()
    });
    let reads = tokio::join!(store.get(&key), store.get(&key), store.get(&key));
    expect_that!([reads.0, reads.1, reads.2], each(ok(none())));
    server.handle().silence_connections();
    let no_wait_ms = DurationMs(0);
    expect_that!(
        store.watch(Version::NONE, no_wait_ms).await,
        err(anything())
    );
    expect_that!(store.watch(Version::NONE, no_wait_ms).await, ok(anything()));
}

// Guards against a call on a connection that fell silent while it was idle: a balancer that has to take over
// the watch of the store would first wait for the limit of an attempt.
#[gtest]
#[tokio::test]
async fn a_connection_that_fell_silent_long_ago_is_not_used() {
    let options = StoreServerOptions::default();
    let server = StoreServer::bind("127.0.0.1:0".parse().unwrap(), options).unwrap();
    let store = ObjectStore::open(server.address(), StoreOptions::default()).unwrap();
    expect_that!(store.list().await, ok(anything()));
    server.handle().silence_connections();
    tokio::time::sleep(Duration::from_secs(3)).await;
    expect_that!(
        store.watch(Version::NONE, DurationMs(0)).await,
        ok(anything())
    );
}
