//! Measures the cost of recording an event in a timeline with one thread and with four.

use std::sync::Arc;
use std::time::Instant;

use hawthorntide_timeline::{Component, Event, EventKind, HybridClock, ProcessName, Timeline};
use hawthorntide_types::{Sequence, ServiceId, SessionId};

const RECORDS: u64 = 2_000_000;
const CAPACITY: usize = 16_384;

fn main() {
    let name = ProcessName("cost".to_owned());
    let clock = Arc::new(HybridClock::default());
    let timeline = Timeline::new(name, clock, CAPACITY);
    for threads in [1, 4] {
        let started = Instant::now();
        std::thread::scope(|scope| {
            for thread in 0..threads {
                let timeline = &timeline;
                scope.spawn(move || record_many(timeline, thread));
            }
        });
        let cost_ns = started.elapsed().as_nanos() / u128::from(RECORDS);
        println!("{threads} threads: {cost_ns} ns per record and thread");
    }
}

fn record_many(timeline: &Timeline, session: u64) {
    for sequence in 0..RECORDS {
        let event = Event::new(Component::Agent, EventKind::RequestArrived)
            .service(ServiceId(7))
            .request(SessionId(session), Sequence(sequence));
        timeline.record(event);
    }
}
