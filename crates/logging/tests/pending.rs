//! Tests of the lines that wait while nobody reads the log.

use googletest::prelude::*;
use hawthorntide_logging::{LostLines, MAX_PENDING_BYTES, PendingLines};
use log::Level;

const LINE: [u8; 256] = [b'x'; 256];

/// Adds lines of the level until one is lost; returns the number of those that were kept.
fn fill(pending: &mut PendingLines, level: Level) -> usize {
    let kept = std::iter::repeat_with(|| pending.push(level, &LINE));
    kept.take_while(|kept| *kept).count()
}

// Memory of a process that grew for as long as the reader of its log was away.
#[gtest]
fn lines_without_a_reader_are_bounded_and_counted() {
    for level in [Level::Error, Level::Warn, Level::Info, Level::Debug] {
        let mut pending = PendingLines::default();
        for _ in 0..100_000 {
            pending.push(level, &LINE);
        }
        let kept = pending.bytes().len() / LINE.len();
        expect_that!(pending.bytes().len(), le(MAX_PENDING_BYTES));
        expect_that!(pending.take_lost().total(), eq(100_000 - kept as u64));
        expect_that!(pending.take_lost(), eq(LostLines::default()));
    }
}

// A flood of lines of normal work that leaves no room for the errors of the same time.
#[gtest]
fn warnings_and_errors_have_room_after_a_flood_of_other_lines() {
    let mut pending = PendingLines::default();
    let quarter = MAX_PENDING_BYTES / LINE.len() / 4;
    expect_that!(fill(&mut pending, Level::Info), eq(2 * quarter));
    expect_that!(fill(&mut pending, Level::Warn), eq(quarter));
    expect_that!(fill(&mut pending, Level::Error), eq(quarter));
    expect_that!(pending.push(Level::Trace, &LINE), eq(false));
    let lost = LostLines {
        errors: 1,
        warnings: 1,
        others: 2,
    };
    expect_that!(pending.take_lost(), eq(lost));
}

// A single line that is larger than all room must not be kept.
#[gtest]
fn a_line_larger_than_all_room_is_lost() {
    let mut pending = PendingLines::default();
    let line = vec![b'x'; MAX_PENDING_BYTES + 1];
    expect_that!(pending.push(Level::Error, &line), eq(false));
    expect_that!(pending.is_empty(), eq(true));
    expect_that!(pending.take_lost().errors, eq(1));
}
