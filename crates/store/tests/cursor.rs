//! Tests which call a watch loop makes next.

use googletest::prelude::*;
use hawthorntide_store::{StoreError, WatchCursor, WatchStep};
use hawthorntide_types::{DurationMs, Revision, StoreEra, Version};

const WAIT_MS: DurationMs = DurationMs(2_500);

fn position() -> Version {
    Version::in_era(StoreEra(2), Revision(58))
}

// Guards against a watch that waits for its whole time before it notices that the store came back
// from a copy during an outage.
#[gtest]
fn the_first_watch_after_a_failure_does_not_wait() {
    let mut cursor = WatchCursor::default();
    expect_that!(cursor.next_step(WAIT_MS), eq(WatchStep::List));
    cursor.listed(position());
    let waiting = WatchStep::Watch {
        from: position(),
        wait_ms: WAIT_MS,
    };
    expect_that!(cursor.next_step(WAIT_MS), eq(waiting));
    expect_that!(cursor.failed(StoreError::Unavailable), eq(true));
    let at_once = WatchStep::Watch {
        from: position(),
        wait_ms: DurationMs(0),
    };
    expect_that!(cursor.next_step(WAIT_MS), eq(at_once));
    cursor.watched(position());
    expect_that!(cursor.next_step(WAIT_MS), eq(waiting));
}

// Guards against a busy loop of listings and watches while the store has no history of its listings.
#[gtest]
fn a_history_that_is_gone_twice_in_a_row_causes_a_pause() {
    let mut cursor = WatchCursor::default();
    cursor.listed(position());
    expect_that!(cursor.failed(StoreError::RevisionGone), eq(false));
    expect_that!(cursor.next_step(WAIT_MS), eq(WatchStep::List));
    cursor.listed(position());
    expect_that!(cursor.failed(StoreError::RevisionGone), eq(true));
    cursor.listed(position());
    cursor.watched(position());
    expect_that!(cursor.failed(StoreError::RevisionGone), eq(false));
}

// Guards against an era or a revision that runs into the other one's bits.
#[gtest]
fn eras_and_revisions_stay_apart_in_a_version() {
    let highest = Version::in_era(StoreEra::MAX, Revision::MAX);
    expect_that!(highest.era(), eq(StoreEra::MAX));
    expect_that!(highest.revision(), eq(Revision::MAX));
    let above = Version::in_era(StoreEra(u64::MAX), Revision(u64::MAX));
    expect_that!(above, eq(highest));
    let next_era = Version::in_era(StoreEra(3), Revision::NONE);
    expect_that!(next_era, gt(Version::in_era(StoreEra(2), Revision::MAX)));
}

// Guards against a version that operators cannot pass back as they read it.
#[gtest]
fn a_version_is_read_as_it_is_written() {
    let version = Version::in_era(StoreEra(2), Revision(58));
    expect_that!(version.to_string(), eq("2.58"));
    let parse = |text: &str| text.parse::<Version>();
    expect_that!(parse("2.58"), ok(eq(&version)));
    expect_that!(parse(&version.get().to_string()), ok(eq(&version)));
    expect_that!(Version(58).to_string(), eq("58"));
    expect_that!(parse("58"), ok(eq(&Version(58))));
    for text in [
        "",
        ".",
        "1.",
        ".1",
        "1.2.3",
        "-1.2",
        "8192.1",
        "1.1099511627776",
    ] {
        expect_that!(parse(text).is_err(), eq(true), "{text}");
    }
}
