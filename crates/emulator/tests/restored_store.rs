//! Tests the store client while the store comes back from copies and gives out revisions again.

use std::collections::BTreeMap;

use googletest::prelude::*;
use hawthorntide_emulator::{EraHeader, StoreFaults, StoreHandle, StoreServer, StoreServerOptions};
use hawthorntide_store::{
    ObjectKey, ObjectKind, ObjectStore, Removal, StoreError, StoreOptions, WriteId, WriteOutcome,
};
use hawthorntide_types::{DurationMs, Version};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};
use proptest::test_runner::TestCaseError;
use serde_json::json;

const NO_WAIT_MS: DurationMs = DurationMs(0);

struct Setup {
    server: StoreServer,
    handle: StoreHandle,
    store: ObjectStore,
}

fn setup() -> Setup {
    let options = StoreServerOptions::default();
    let server = StoreServer::bind("127.0.0.1:0".parse().unwrap(), options).unwrap();
    Setup {
        handle: server.handle(),
        store: client(&server),
        server,
    }
}

fn client(server: &StoreServer) -> ObjectStore {
    ObjectStore::open(server.address(), StoreOptions::default()).unwrap()
}

fn key(name: &str) -> ObjectKey {
    ObjectKey::new(ObjectKind::Profile, name).unwrap()
}

async fn put(store: &ObjectStore, name: &str, value: u64, expected: Version) -> Version {
    let outcome = store.put_if(&key(name), &json!(value), expected).await;
    let WriteOutcome::Accepted(version) = outcome else {
        panic!("expected an accepted write, got {outcome:?}");
    };
    version
}

// Guards against a watch that continues in another history than its position belongs to, and so
// misses the changes before the position.
#[gtest]
#[tokio::test]
async fn a_watch_does_not_continue_in_another_history() {
    let s = setup();
    put(&s.store, "a", 1, Version::NONE).await;
    let copy = s.handle.copy();
    put(&s.store, "b", 1, Version::NONE).await;
    let position = s.store.list().await.unwrap().position;
    s.handle.restore(&copy);
    let other = client(&s.server);
    put(&other, "c", 1, Version::NONE).await;
    put(&other, "d", 1, Version::NONE).await;
    let watched = s.store.watch(position, NO_WAIT_MS).await;
    expect_that!(watched, err(eq(&StoreError::RevisionGone)));
    let listing = s.store.list().await.unwrap();
    let watched = s.store.watch(listing.position, NO_WAIT_MS).await;
    expect_that!(watched.is_ok(), eq(true));
}

// Guards against two contents of an object with the same version, and against a restored content
// that counts as newer than the lost one.
#[gtest]
#[tokio::test]
async fn versions_order_lost_restored_and_new_contents() {
    let s = setup();
    let first = put(&s.store, "a", 1, Version::NONE).await;
    let copy = s.handle.copy();
    let lost = put(&s.store, "a", 2, first).await;
    s.handle.restore(&copy);
    let restored = s.store.get(&key("a")).await.unwrap().unwrap().version;
    expect_that!(restored, eq(first));
    let new = put(&s.store, "a", 3, restored).await;
    expect_that!(new, gt(lost));
}

// Guards against a write or a removal on condition of a lost version whose revision now belongs to
// another content.
#[gtest]
#[tokio::test]
async fn a_lost_version_does_not_match_the_same_revision() {
    let s = setup();
    let first = put(&s.store, "a", 1, Version::NONE).await;
    let copy = s.handle.copy();
    let lost = put(&s.store, "a", 2, first).await;
    s.handle.restore(&copy);
    let other = client(&s.server);
    let restored = other.get(&key("a")).await.unwrap().unwrap().version;
    let new = put(&other, "a", 3, restored).await;
    expect_that!(new.revision(), eq(lost.revision()));
    // Any call shows the client the new era.
    s.store.list().await.unwrap();
    let outcome = s.store.put_if(&key("a"), &json!(4), lost).await;
    expect_that!(outcome, matches_pattern!(WriteOutcome::Conflict { .. }));
    let removal = s.store.remove_if(&key("a"), lost).await;
    expect_that!(removal, ok(eq(Removal::Changed)));
    let current = s.store.get(&key("a")).await.unwrap().unwrap();
    expect_that!(current.value, eq(&json!(3)));
}

// Guards against an object that is stored with the era before the restore, so that processes that
// know the lost version take it for older.
#[gtest]
#[tokio::test]
async fn a_write_right_after_a_restore_is_stored_with_its_era() {
    let s = setup();
    let first = put(&s.store, "a", 1, Version::NONE).await;
    let copy = s.handle.copy();
    let lost = put(&s.store, "b", 2, Version::NONE).await;
    s.handle.restore(&copy);
    let written = put(&s.store, "a", 3, first).await;
    expect_that!(written, gt(lost));
    let stored = s.store.get(&key("a")).await.unwrap().unwrap();
    expect_that!(stored.version, eq(written));
}

// Guards against a wrong statement about a write whose answer was lost, when the store came back from
// a copy before the write was looked up.
#[gtest]
#[tokio::test]
async fn the_outcome_of_a_write_before_a_restore_stays_open() {
    let s = setup();
    let first = put(&s.store, "a", 1, Version::NONE).await;
    let copy = s.handle.copy();
    let write_id = WriteId::random();
    let (a, value) = (key("a"), json!(2));
    let outcome = s.store.put_if_with_id(&a, &value, first, write_id.clone());
    expect_that!(
        outcome.await,
        matches_pattern!(WriteOutcome::Accepted(anything()))
    );
    s.handle.restore(&copy);
    put(&client(&s.server), "a", 3, first).await;
    let outcome = s.store.outcome_of(&a, first, write_id).await;
    expect_that!(outcome, matches_pattern!(WriteOutcome::Open { .. }));
}

// Guards against a store whose era is missing or unreadable: calls must work, and a history that
// visibly went back must still end a watch.
#[gtest]
#[tokio::test]
async fn a_store_without_a_readable_era_is_served() {
    let texts = ["", "x", "-1", "1.5", "8192", "99999999999999999999"];
    let headers = texts.map(|text| EraHeader::Text(text.to_owned()));
    for era_header in headers.into_iter().chain([EraHeader::Missing]) {
        let s = setup();
        s.handle.set_faults(StoreFaults {
            era_header,
            ..StoreFaults::default()
        });
        let first = put(&s.store, "a", 1, Version::NONE).await;
        let copy = s.handle.copy();
        put(&s.store, "a", 2, first).await;
        let position = s.store.list().await.unwrap().position;
        let watched = s.store.watch(position, NO_WAIT_MS).await;
        expect_that!(watched.is_ok(), eq(true));
        s.handle.restore(&copy);
        let watched = s.store.watch(position, NO_WAIT_MS).await;
        expect_that!(watched, err(eq(&StoreError::RevisionGone)));
    }
}

// Guards against a client that does not recover from one answer with another era: a late one with a
// lower era, or a jump.
#[gtest]
#[tokio::test]
async fn an_answer_with_another_era_costs_one_listing() {
    for text in ["0", "1", "40"] {
        let s = setup();
        put(&s.store, "a", 1, Version::NONE).await;
        let copy = s.handle.copy();
        s.handle.restore(&copy);
        s.handle.restore(&copy);
        let position = s.store.list().await.unwrap().position;
        s.handle.set_faults(StoreFaults {
            era_header: EraHeader::Text(text.to_owned()),
            ..StoreFaults::default()
        });
        let other = s.store.list().await.unwrap().position;
        expect_that!(other, not(eq(position)));
        s.handle.set_faults(StoreFaults::default());
        let watched = s.store.watch(other, NO_WAIT_MS).await;
        expect_that!(watched, err(eq(&StoreError::RevisionGone)));
        let position = s.store.list().await.unwrap().position;
        expect_that!(s.store.watch(position, NO_WAIT_MS).await.is_ok(), eq(true));
    }
}

/// Step of a random history with two clients.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A client reads an object.
    Read {
        client: usize,
        object: usize,
    },
    /// A client writes an object on condition of the version that it read last.
    Write {
        client: usize,
        object: usize,
    },
    Copy,
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let place = || (0..2_usize, 0..2_usize);
    prop_oneof![
        3 => place().prop_map(|(client, object)| Step::Read { client, object }),
        5 => place().prop_map(|(client, object)| Step::Write { client, object }),
        1 => any::<()>().prop_map(|()| Step::Copy),
        1 => any::<()>().prop_map(|()| Step::Restore),
    ]
}

async fn run(steps: Vec<Step>) -> std::result::Result<(), TestCaseError> {
    let s = setup();
    let clients = [client(&s.server), client(&s.server)];
    let names = ["a", "b"];
    let mut copy = s.handle.copy();
    let mut known = [[Version::NONE; 2]; 2];
    let mut contents: BTreeMap<(usize, Version), serde_json::Value> = BTreeMap::new();
    for (number, step) in steps.into_iter().enumerate() {
        let observed = match step {
            Step::Copy => {
                copy = s.handle.copy();
                continue;
            }
            Step::Restore => {
                s.handle.restore(&copy);
                continue;
            }
            Step::Read { client, object } => {
                let read = clients[client].get(&key(names[object])).await.unwrap();
                known[client][object] = read.as_ref().map_or(Version::NONE, |it| it.version);
                read.map(|it| (object, it.version, it.value))
            }
            Step::Write { client, object } => {
                let (name, value) = (key(names[object]), json!(number));
                let expected = known[client][object];
                let outcome = clients[client].put_if(&name, &value, expected).await;
                let WriteOutcome::Accepted(version) = outcome else {
                    continue;
                };
                prop_assert!(version > expected, "{version} replaced {expected}");
                known[client][object] = version;
                Some((object, version, value))
            }
        };
        if let Some((object, version, value)) = observed {
            let content = contents.entry((object, version)).or_insert(value.clone());
            prop_assert!(*content == value, "version {version} has two contents");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    // Guards against a version that two contents share, and against a write that replaces a newer
    // version, in any order of restores, reads and writes.
    #[test]
    fn a_version_identifies_a_content(steps in proptest::collection::vec(step(), 1..60)) {
        tokio::runtime::Runtime::new().unwrap().block_on(run(steps))?;
    }
}
