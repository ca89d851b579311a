//! Compares the memory of the ledger's sequence windows with that of a table of request
//! identifiers.

use std::collections::HashMap;

use hawthorntide_admission::{Ledger, LedgerLimits, Outcome};
use hawthorntide_types::{Epoch, ResultCode, Sequence, SessionId, TimeMs};

const PAGE_BYTES: u64 = 4096;
const SESSIONS: u64 = 20_000;
/// Completed requests per session; the window holds the last 64 of them.
const REQUESTS: [u64; 3] = [4, 64, 256];

/// Entry of a table of identifiers: the result and the time at which the entry expires.
#[derive(Debug)]
struct Entry {
    code: ResultCode,
    expires: TimeMs,
}

fn main() {
    println!(
        "{:>8} {:>12} {:>14} {:>14}",
        "sessions", "requests", "window B/sess", "table B/sess"
    );
    // Nothing is freed, so that no measurement reuses the memory of an earlier one.
    let mut retained = Vec::new();
    for requests in REQUESTS {
        let (ledger, window_bytes) = measure(|| windows(requests));
        let (table, table_bytes) = measure(|| table(requests));
        println!(
            "{:>8} {requests:>12} {:>14} {:>14}",
            ledger.session_count(),
            window_bytes / SESSIONS,
            table_bytes / SESSIONS,
        );
        let last = (SessionId(SESSIONS - 1), Sequence(requests));
        assert!(table[&last].code == ResultCode::Ok && table[&last].expires > TimeMs(0));
        retained.push((ledger, table));
    }
}

/// Returns the result of `build` and the growth of the resident memory in bytes.
fn measure<T>(build: impl FnOnce() -> T) -> (T, u64) {
    let before = resident_bytes();
    let result = build();
    (result, resident_bytes().saturating_sub(before))
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux has /proc/self/statm");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the second field counts resident pages") * PAGE_BYTES
}

fn windows(requests: u64) -> Ledger {
    let mut ledger = Ledger::new(Epoch(1), LedgerLimits::default());
    for session in (0..SESSIONS).map(SessionId) {
        ledger
            .open(TimeMs(0), session)
            .expect("the limit fits the sessions");
        for sequence in (1..=requests).map(Sequence) {
            ledger.begin(TimeMs(0), session, Epoch(1), sequence);
            ledger.mark_dispatched(session, sequence);
            let outcome = Outcome {
                code: ResultCode::Ok,
                answer: None,
            };
            ledger.finish(session, sequence, outcome);
        }
    }
    ledger
}

fn table(requests: u64) -> HashMap<(SessionId, Sequence), Entry> {
    let mut table = HashMap::new();
    for session in (0..SESSIONS).map(SessionId) {
        for sequence in (1..=requests).map(Sequence) {
            let entry = Entry {
                code: ResultCode::Ok,
                expires: TimeMs(sequence.get()),
            };
            table.insert((session, sequence), entry);
        }
    }
    table
}
