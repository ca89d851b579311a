//! Tests which changes count as lost by the platform store.

use std::sync::Arc;

use googletest::prelude::*;
use hawthorntide_configuration::{Object, PROFILE_KIND, lost_objects};
use hawthorntide_types::{Revision, StoreEra, Version};

fn version(era: u64, revision: u64) -> Version {
    Version::in_era(StoreEra(era), Revision(revision))
}

fn object(name: &str, version: Version) -> Arc<Object> {
    Arc::new(Object {
        kind: PROFILE_KIND.to_owned(),
        name: name.to_owned(),
        version,
        is_deleted: false,
        write_id: "w".to_owned(),
        value: b"{}".to_vec(),
    })
}

// Guards against a lost change that is not written again, and against one that replaces a change of the
// present era.
#[gtest]
fn changes_of_an_earlier_era_that_a_listing_lacks_are_lost() {
    let replica = [
        object("changed", version(1, 100)),
        object("created", version(1, 101)),
        object("restored", version(1, 40)),
        object("changed-again", version(1, 102)),
        object("newer-than-the-listing", version(2, 60)),
    ];
    let stored = |object: &Object| match object.name.as_str() {
        "changed" => version(1, 50),
        "restored" => version(1, 40),
        "changed-again" => version(2, 55),
        _ => Version::NONE,
    };
    let lost = lost_objects(&replica, StoreEra(2), stored);
    let lost: Vec<_> = lost
        .iter()
        .map(|it| (it.object.name.as_str(), it.stored))
        .collect();
    let expected = vec![("changed", version(1, 50)), ("created", Version::NONE)];
    expect_that!(lost, eq(&expected));
}

// Guards against writes on behalf of a store that never came back from a copy.
#[gtest]
fn nothing_is_lost_within_an_era() {
    let replica = [object("a", version(1, 100)), object("b", Version(7))];
    let lost = |era| lost_objects(&replica, StoreEra(era), |_| Version::NONE).len();
    expect_that!(lost(0), eq(0));
    let first_era = [object("a", version(1, 100))];
    let lost = lost_objects(&first_era, StoreEra(1), |_| Version::NONE);
    expect_that!(lost.len(), eq(0));
}
