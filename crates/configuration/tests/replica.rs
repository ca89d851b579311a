//! Guards the replica against versions that decrease and deleted objects that reappear.

use googletest::prelude::*;
use hawthorntide_configuration::{ApplyOutcome, Object, Replica, SERVICE_KIND};
use hawthorntide_types::{ServiceId, ServiceName, Version};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

fn object(name: &str, version: u64, is_deleted: bool) -> Object {
    Object {
        kind: "profile".to_owned(),
        name: name.to_owned(),
        version: Version(version),
        is_deleted,
        write_id: format!("w{version}"),
        value: if is_deleted {
            Vec::new()
        } else {
            b"{}".to_vec()
        },
    }
}

proptest! {
    // Guards against replicas that diverge, or versions that decrease, when changes arrive in different
    // orders.
    #[test]
    fn replicas_agree_in_any_order(
        changes in vec((0_usize..6, 1_u64..200), 1..60),
        order in any::<u64>(),
    ) {
        // Derives a version that is unique to the object and always has the same content.
        let build = |(name, version): &(usize, u64)| {
            let version = version * 8 + *name as u64;
            object(&format!("p{name}"), version, version.is_multiple_of(5))
        };
        let mut shuffled = changes.clone();
        shuffled.sort_by_key(|change| {
            order.wrapping_mul(change.1 * 2 + 1).wrapping_add(change.0 as u64 * 977)
        });
        let mut first = Replica::default();
        let mut second = Replica::default();
        for change in &changes {
            let object = build(change);
            let before = first.version(&object.kind, &object.name);
            first.apply(object.clone());
            let after = first.version(&object.kind, &object.name);
            prop_assert!(after >= before);
        }
        for change in &shuffled {
            second.apply(build(change));
        }
        prop_assert_eq!(first.buckets(), second.buckets());
        prop_assert!(first.objects().eq(second.objects()));
    }
}

// Guards against a deleted object that reappears when an older version arrives late.
#[gtest]
fn a_tombstone_wins_over_older_versions() {
    let mut replica = Replica::default();
    expect_that!(
        replica.apply(object("a", 5, false)),
        eq(ApplyOutcome::Applied)
    );
    expect_that!(
        replica.apply(object("a", 6, true)),
        eq(ApplyOutcome::Applied)
    );
    expect_that!(
        replica.apply(object("a", 5, false)),
        eq(ApplyOutcome::Stale)
    );
    expect_that!(replica.live().count(), eq(0));
    expect_that!(
        replica.apply(object("a", 7, false)),
        eq(ApplyOutcome::Applied)
    );
    expect_that!(replica.live().count(), eq(1));
}

// Guards against memory that grows with every delete, and against replicas that evict different
// tombstones.
#[gtest]
fn replicas_evict_the_same_tombstones() {
    let mut first = Replica::default();
    let mut second = Replica::default();
    for number in 1..=5_000 {
        first.apply(object(&format!("p{number}"), number, true));
    }
    for number in (1..=5_000).rev() {
        second.apply(object(&format!("p{number}"), number, true));
    }
    expect_that!(first.objects().count(), eq(4_096));
    expect_that!(first.buckets() == second.buckets(), eq(true));
}

// Guards against an agent that gets no profile, or an outdated one after the service changes to another.
#[gtest]
fn a_service_change_selects_its_new_profile() {
    let service = |version: u64, profile: &str| Object {
        kind: SERVICE_KIND.to_owned(),
        name: "stockd".to_owned(),
        value: format!(r#"{{"name":"stockd","addresses":["127.0.0.1:1"],"profile":"{profile}"}}"#)
            .into_bytes(),
        ..object("stockd", version, false)
    };
    let name: ServiceName = "stockd".parse().unwrap();
    let id = ServiceId::of_name(&name);
    let mut replica = Replica::default();
    replica.apply(object("p1", 1, false));
    replica.apply(object("p2", 2, false));
    replica.apply(service(3, "p1"));
    let names = |replica: &Replica| -> Vec<String> {
        let objects = replica.of_service(id);
        objects.iter().map(|object| object.name.clone()).collect()
    };
    expect_that!(names(&replica), elements_are![eq("stockd"), eq("p1")]);
    replica.apply(service(4, "p2"));
    expect_that!(names(&replica), elements_are![eq("stockd"), eq("p2")]);
}

// Agents of the service would get no change of its profile any more.
#[gtest]
fn a_service_that_another_program_overwrote_keeps_its_definition() {
    let object = |kind: &str, name: &str, version, value: &str| Object {
        kind: kind.to_owned(),
        name: name.to_owned(),
        version: Version(version),
        is_deleted: false,
        write_id: String::new(),
        value: value.as_bytes().to_vec(),
    };
    let definition = r#"{"name":"stockd","profile":"urgent","addresses":["127.0.0.1:9000"]}"#;
    let mut replica = Replica::default();
    replica.apply(object("service", "stockd", 1, definition));
    replica.apply(object("profile", "urgent", 2, "{}"));
    let id = ServiceId::of_name(&"stockd".parse().unwrap());
    expect_that!(replica.of_service(id).len(), eq(2));
    for (version, malformed) in [(3, "7"), (4, "{\"name\":\"other\"}"), (5, "\"text\"")] {
        replica.apply(object("service", "stockd", version, malformed));
        expect_that!(replica.of_service(id).len(), eq(2), "{malformed}");
    }
}

// Guards against memory exhaustion by large values.
#[gtest]
fn oversized_objects_are_refused() {
    let mut replica = Replica::default();
    let mut large = object("a", 1, false);
    large.value = vec![0; (1 << 20) + 1];
    expect_that!(replica.apply(large), eq(ApplyOutcome::Refused));
}
