//! Tests of the platform store client against the emulated store, with each of its faults.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hawthorntide_emulator::{StoreFaults, StoreHandle, StoreServer, StoreServerOptions};
use hawthorntide_store::{
    MAX_VALUE_BYTES, ObjectKey, ObjectKind, ObjectStore, StoreError, StoreOptions, WriteId,
    WriteOutcome,
};
use hawthorntide_types::{DurationMs, PerMille, RatePerSecond, Revision, Version};
use serde_json::json;

const OPTIONS: StoreOptions = StoreOptions {
    deadline_ms: DurationMs(1200),
    attempt_ms: DurationMs(300),
    seed: 7,
};

struct Setup {
    server: StoreServer,
    handle: StoreHandle,
    store: ObjectStore,
}

impl Setup {
    /// Waits until the listener has applied the fault, which can take long on a busy machine.
    async fn wait_until_down(&self, is_down: bool) {
        let is_refused = || std::net::TcpStream::connect(self.server.address()).is_err();
        while is_refused() != is_down {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn setup() -> Setup {
    setup_with(StoreServerOptions::default())
}

fn setup_with(options: StoreServerOptions) -> Setup {
    let address = "127.0.0.1:0".parse().unwrap();
    let server = StoreServer::bind(address, options).unwrap();
    let store = ObjectStore::open(server.address(), OPTIONS).unwrap();
    let handle = server.handle();
    Setup {
        server,
        handle,
        store,
    }
}

fn key(name: &str) -> ObjectKey {
    ObjectKey::new(ObjectKind::Profile, name).unwrap()
}

fn accepted(outcome: WriteOutcome) -> Version {
    let WriteOutcome::Accepted(version) = outcome else {
        panic!("expected an accepted write, got {outcome:?}");
    };
    version
}

// Guards against accepting a write although the object has changed since the expected version.
#[gtest]
#[tokio::test]
async fn only_the_current_version_is_replaced() {
    let s = setup();
    let first = accepted(s.store.put_if(&key("a"), &json!(1), Version::NONE).await);
    let second = accepted(s.store.put_if(&key("a"), &json!(2), first).await);
    let outcome = s.store.put_if(&key("a"), &json!(3), first).await;
    let WriteOutcome::Conflict {
        theirs: Some(theirs),
    } = outcome
    else {
        panic!("expected a conflict, got {outcome:?}");
    };
    expect_that!(theirs.version, eq(second));
    expect_that!(theirs.value, eq(&json!(2)));
    let outcome = s.store.put_if(&key("a"), &json!(3), Version::NONE).await;
    expect_that!(outcome, pat!(WriteOutcome::Conflict { .. }));
}

// Guards against hiding deletions from other clients, and against refusing to reuse the name of a
// deleted object.
#[gtest]
#[tokio::test]
async fn a_deletion_leaves_a_tombstone_that_a_creation_replaces() {
    let s = setup();
    let first = accepted(s.store.put_if(&key("a"), &json!(1), Version::NONE).await);
    let deleted = accepted(s.store.delete_if(&key("a"), first).await);
    let listing = s.store.list().await.unwrap();
    expect_that!(listing.objects.len(), eq(1));
    expect_that!(listing.objects[0].is_deleted, eq(true));
    expect_that!(listing.objects[0].version, eq(deleted));
    let again = accepted(s.store.put_if(&key("a"), &json!(2), Version::NONE).await);
    expect_that!(again, gt(deleted));
    let read = s.store.get(&key("a")).await.unwrap().unwrap();
    expect_that!(read.is_deleted, eq(false));
}

// Guards against reporting success to two operators who both changed the same version, also when
// the response to the accepted write is lost.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_is_accepted() {
    let s = setup();
    let other = ObjectStore::open(s.server.address(), OPTIONS).unwrap();
    let mut version = accepted(s.store.put_if(&key("a"), &json!(0), Version::NONE).await);
    for round in 0..50 {
        s.handle.lose_next_answers(round % 2);
        let (mine, theirs) = (json!({ "mine": round }), json!({ "theirs": round }));
        let (key_a, key_b) = (key("a"), key("a"));
        let (a, b) = tokio::join!(
            s.store.put_if(&key_a, &mine, version),
            other.put_if(&key_b, &theirs, version)
        );
        let is_accepted = |outcome: &WriteOutcome| matches!(outcome, WriteOutcome::Accepted(_));
        expect_that!(
            [&a, &b].into_iter().filter(|o| is_accepted(o)).count(),
            eq(1)
        );
        let read = s.store.get(&key("a")).await.unwrap().unwrap();
        expect_that!(read.value == mine, eq(is_accepted(&a)));
        version = read.version;
    }
}

// Guards against reporting a write that took effect as failed because its response was lost.
#[gtest]
#[tokio::test]
async fn a_lost_answer_is_resolved_by_its_write_id() {
    let s = setup();
    s.handle.lose_next_answers(1);
    let version = accepted(s.store.put_if(&key("a"), &json!(1), Version::NONE).await);
    expect_that!(version.revision(), eq(s.handle.revision()));
    s.handle.lose_next_answers(1);
    let version = accepted(s.store.delete_if(&key("a"), version).await);
    expect_that!(version.revision(), eq(s.handle.revision()));
    expect_that!(s.handle.revision(), eq(Revision(2)));
}

// Guards against reporting a write whose response was lost as a conflict after another client has
// changed the object.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_write_that_was_overwritten_is_found_in_the_history() {
    let s = setup();
    let first = accepted(s.store.put_if(&key("a"), &json!(1), Version::NONE).await);
    let id = WriteId::random();
    let (key_a, value) = (key("a"), json!(2));
    let mine = s.store.put_if_with_id(&key_a, &value, first, id.clone());
    let second = accepted(mine.await);
    accepted(s.store.put_if(&key("a"), &json!(3), second).await);
    let outcome = s.store.outcome_of(&key("a"), first, id).await;
    expect_that!(outcome, eq(&WriteOutcome::Accepted(second)));
    let never_sent = s
        .store
        .outcome_of(&key("a"), first, WriteId::random())
        .await;
    expect_that!(never_sent, pat!(WriteOutcome::Conflict { .. }));
}

// Guards against guessing the outcome of a write that is no longer in the history.
#[gtest]
#[tokio::test]
async fn an_outcome_outside_the_history_stays_open() {
    let options = StoreServerOptions {
        history_events: 2,
        ..StoreServerOptions::default()
    };
    let s = setup_with(options);
    let first = accepted(s.store.put_if(&key("a"), &json!(1), Version::NONE).await);
    let id = WriteId::random();
    let mut version = accepted(
        s.store
            .put_if_with_id(&key("a"), &json!(2), first, id.clone())
            .await,
    );
    for value in 3..8 {
        version = accepted(s.store.put_if(&key("a"), &json!(value), version).await);
    }
    let outcome = s.store.outcome_of(&key("a"), first, id.clone()).await;
    expect_that!(outcome, eq(&WriteOutcome::Open { write_id: id }));
}

// Guards against reporting a write that never reached the store as open, and against calls that
// exceed their deadline while the store is down.
#[gtest]
#[tokio::test]
async fn a_store_that_is_down_accepts_nothing() {
    let s = setup();
    accepted(s.store.put_if(&key("a"), &json!(1), Version::NONE).await);
    s.handle.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    s.wait_until_down(true).await;
    let start = Instant::now();
    let outcome = s.store.put_if(&key("b"), &json!(1), Version::NONE).await;
    expect_that!(outcome, eq(&WriteOutcome::NotAccepted));
    expect_that!(
        s.store.get(&key("a")).await,
        err(eq(&StoreError::Unavailable))
    );
    expect_that!(start.elapsed(), lt(Duration::from_secs(3)));
    s.handle.set_faults(StoreFaults::default());
    s.wait_until_down(false).await;
    let again = s.store.put_if(&key("b"), &json!(1), Version::NONE).await;
    expect_that!(again, pat!(WriteOutcome::Accepted(_)));
}

// Guards against guessing the outcome when the store does not respond in time, and against an
// outcome that cannot be determined after the write took effect late.
#[gtest]
#[tokio::test]
async fn a_slow_store_leaves_the_outcome_open_until_it_is_queried() {
    let s = setup();
    // A client that does not know the era of the store reads before it writes.
    s.store.list().await.unwrap();
    s.handle.set_faults(StoreFaults {
        delay_ms: DurationMs(2000),
        ..StoreFaults::default()
    });
    let start = Instant::now();
    let outcome = s.store.put_if(&key("a"), &json!(1), Version::NONE).await;
    let WriteOutcome::Open { write_id } = outcome else {
        panic!("expected an open outcome, got {outcome:?}");
    };
    let longest = Duration::from(OPTIONS.deadline_ms) + Duration::from_millis(300);
    expect_that!(start.elapsed(), lt(longest));
    s.handle.set_faults(StoreFaults::default());
    let a = key("a");
    let ask = || s.store.outcome_of(&a, Version::NONE, write_id.clone());
    let still_open = WriteOutcome::Open {
        write_id: write_id.clone(),
    };
    expect_that!(ask().await, eq(&still_open));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    expect_that!(ask().await, eq(&WriteOutcome::Accepted(Version(1))));
}

// Guards against reporting a write as not accepted when its response is lost and the store goes
// down before the client can read the object back.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_in_an_outage_stays_open_and_is_found_afterwards() {
    let s = setup();
    s.handle.lose_next_answers(1);
    let handle = s.handle.clone();
    let outage = tokio::spawn(async move {
        while handle.revision() == Revision::NONE {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        handle.set_faults(StoreFaults {
            is_down: true,
            ..StoreFaults::default()
        });
    });
    let outcome = s.store.put_if(&key("a"), &json!(1), Version::NONE).await;
    outage.await.unwrap();
    let WriteOutcome::Open { write_id } = outcome else {
        panic!("expected an open outcome, got {outcome:?}");
    };
    s.handle.set_faults(StoreFaults::default());
    s.wait_until_down(false).await;
    let asked = s.store.outcome_of(&key("a"), Version::NONE, write_id).await;
    expect_that!(asked, eq(&WriteOutcome::Accepted(Version(1))));
}

// Guards against wrong outcomes under random loss of responses: an accepted write must be in the
// store.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn random_lost_answers_never_give_a_wrong_outcome() {
    let s = setup();
    s.handle.set_faults(StoreFaults {
        lost_answers_per_mille: PerMille(300),
        ..StoreFaults::default()
    });
    let mut open = 0;
    for round in 0..60 {
        let name = format!("object-{round}");
        let outcome = s
            .store
            .put_if(&key(&name), &json!(round), Version::NONE)
            .await;
        let read = s.store.get(&key(&name)).await.unwrap();
        match outcome {
            WriteOutcome::Accepted(version) => {
                expect_that!(read.unwrap().version, eq(version));
            }
            WriteOutcome::Open { .. } => open += 1,
            other => panic!("expected accepted or open, got {other:?}"),
        }
    }
    expect_that!(open, lt(30));
}

// Guards against changes that watches miss, and against polling while nothing changes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_watch_waits_and_delivers_changes_in_order() {
    let s = setup();
    let first = accepted(s.store.put_if(&key("a"), &json!(1), Version::NONE).await);
    let idle = s.store.watch(first, DurationMs(100)).await.unwrap();
    expect_that!(idle.objects, is_empty());
    expect_that!(idle.position, eq(first));
    let other = ObjectStore::open(s.server.address(), OPTIONS).unwrap();
    let waiting = tokio::spawn(async move { other.watch(first, DurationMs(5000)).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let second = accepted(s.store.put_if(&key("b"), &json!(2), Version::NONE).await);
    let watched = waiting.await.unwrap().unwrap();
    expect_that!(watched.position, eq(second));
    expect_that!(watched.objects[0].key, eq(&key("b")));
    expect_that!(s.handle.counts().watch, eq(2));
}

// Guards against a watch that resumes across a gap in the history.
#[gtest]
#[tokio::test]
async fn a_watch_from_outside_the_history_must_list_again() {
    let options = StoreServerOptions {
        history_events: 2,
        ..StoreServerOptions::default()
    };
    let s = setup_with(options);
    for name in ["a", "b", "c", "d"] {
        accepted(s.store.put_if(&key(name), &json!(1), Version::NONE).await);
    }
    for from in [Version(1), Version(9)] {
        let watched = s.store.watch(from, DurationMs(10)).await;
        expect_that!(watched, err(eq(&StoreError::RevisionGone)));
    }
    let watched = s.store.watch(Version(2), DurationMs(10)).await.unwrap();
    expect_that!(watched.objects.len(), eq(2));
}

// Guards against watches that hang when their connection is closed, and against skipping delayed
// events.
#[gtest]
#[tokio::test]
async fn closed_watches_fail_and_late_events_arrive() {
    let s = setup();
    s.handle.set_faults(StoreFaults {
        are_watches_closed: true,
        ..StoreFaults::default()
    });
    let closed = s.store.watch(Version::NONE, DurationMs(1000)).await;
    expect_that!(closed, err(eq(&StoreError::Unavailable)));
    s.handle.set_faults(StoreFaults {
        event_delay_ms: DurationMs(300),
        ..StoreFaults::default()
    });
    let version = accepted(s.store.put_if(&key("a"), &json!(1), Version::NONE).await);
    let start = Instant::now();
    let watched = s.store.watch(Version::NONE, DurationMs(2000)).await;
    expect_that!(watched.unwrap().position, eq(version));
    expect_that!(start.elapsed(), gt(Duration::from_millis(200)));
}

// Guards against retries that keep the store above its call limit, and against miscounting refused
// calls.
#[gtest]
#[tokio::test]
async fn calls_over_the_limit_are_refused_counted_and_not_repeated_for_long() {
    let s = setup();
    s.handle.set_faults(StoreFaults {
        call_limit: Some(RatePerSecond(0)),
        ..StoreFaults::default()
    });
    let mut refused = 0;
    for _ in 0..12 {
        let read = s.store.get(&key("a")).await;
        expect_that!(read, err(eq(&StoreError::Limited)));
        refused += 1;
    }
    let counts = s.handle.counts();
    expect_that!(counts.total(), eq(counts.limited));
    // The retry budget starts at 10 retries and each call adds a tenth of one.
    expect_that!(counts.limited, ge(refused));
    expect_that!(counts.limited, le(refused + 11));
    let outcome = s.store.put_if(&key("a"), &json!(1), Version::NONE).await;
    expect_that!(outcome, eq(&WriteOutcome::NotAccepted));
}

// Guards against accepting or retrying a value above the size limit of the platform.
#[gtest]
#[tokio::test]
async fn a_value_over_one_megabyte_is_refused() {
    let s = setup();
    let value = json!("x".repeat(MAX_VALUE_BYTES - 200));
    accepted(s.store.put_if(&key("a"), &value, Version::NONE).await);
    let value = json!("x".repeat(MAX_VALUE_BYTES));
    let outcome = s.store.put_if(&key("b"), &value, Version::NONE).await;
    expect_that!(outcome, eq(&WriteOutcome::NotAccepted));
    expect_that!(s.handle.counts().put, eq(1));
}
