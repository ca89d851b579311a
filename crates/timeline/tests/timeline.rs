//! Tests of recording, merging, filtering, storing and drawing timelines.

use std::sync::Arc;

use googletest::prelude::*;
use hawthorntide_timeline::{
    Component, Event, EventKind, Filter, HybridClock, HybridTime, ProcessName, Timeline, merge,
    read_lines, render_page, write_lines,
};
use hawthorntide_types::{ResultCode, Sequence, ServiceId, SessionId, TimeMs};

fn timeline(name: &str, capacity: usize) -> Timeline {
    Timeline::new(
        ProcessName(name.to_owned()),
        Arc::new(HybridClock::default()),
        capacity,
    )
}

fn event(sequence: u64) -> Event {
    Event::new(Component::Agent, EventKind::RequestArrived)
        .service(ServiceId(7))
        .request(SessionId(1), Sequence(sequence))
}

// Guards against memory use that grows with the running time.
#[gtest]
fn full_ring_keeps_the_newest_events() {
    let timeline = timeline("agent", 4);
    for sequence in 0..10 {
        timeline.record(event(sequence));
    }
    let kept: Vec<_> = timeline
        .events()
        .iter()
        .map(|timed_event| timed_event.event)
        .collect();
    expect_that!(kept, eq(&vec![event(6), event(7), event(8), event(9)]));
    expect_that!(timeline.overwritten(), eq(6));
}

// Guards against listing an effect before its cause when the receiver's clock is behind the sender's.
#[gtest]
fn merge_shows_the_cause_first_despite_a_slow_clock() {
    let (caller, agent) = (timeline("z-caller", 8), timeline("a-agent", 8));
    let sent = caller.clock().tick(TimeMs(1000));
    caller.record_at(sent, event(1));
    let received = agent.clock().observe(sent, TimeMs(400));
    agent.record_at(received, event(1).code(ResultCode::NotRunDeadline));
    let merged = merge([agent.events(), caller.events()]);
    expect_that!(merged[0].process.0, eq("z-caller"));
    expect_that!(merged[1].process.0, eq("a-agent"));
}

// Guards against writing events that cannot be read back, and against accepting malformed lines.
#[gtest]
fn lines_are_read_back_unchanged() {
    let timeline = timeline("agent", 8);
    timeline.record(event(1));
    timeline.record(Event::new(Component::Balancer, EventKind::Alarm).code(ResultCode::NoEndpoint));
    let mut lines = Vec::new();
    write_lines(&timeline.events(), &mut lines).expect("writing to a vector should not fail");
    let read = read_lines(&lines[..]).expect("written events should be readable");
    expect_that!(read, eq(&timeline.events()));
    expect_that!(read_lines(&b"\n{}\n"[..]), err(anything()));
}

// Guards against a filter that ignores one of its conditions.
#[gtest]
fn filter_selects_by_all_its_conditions() {
    let timeline = timeline("agent", 8);
    for (at, sequence) in [(1, 1), (2, 2), (3, 1)] {
        timeline.record_at(HybridTime(at), event(sequence));
    }
    let events = timeline.events();
    let filter = Filter {
        until: Some(HybridTime(3)),
        request: event(1).request,
        ..Filter::default()
    };
    expect_that!(filter.apply(&events), eq(&vec![events[0].clone()]));
    let other_component = Filter {
        components: vec![Component::Routing],
        ..Filter::default()
    };
    expect_that!(other_component.apply(&events), is_empty());
}

// Guards against HTML injection through a process name, and against events that are not drawn.
#[gtest]
fn page_draws_each_event_once_and_escapes_names() {
    let timeline = timeline("<agent>", 8);
    timeline.record(event(1));
    timeline.record(event(2).code(ResultCode::NotRunShed));
    let page = render_page("trial", &timeline.events());
    expect_that!(page.matches("<circle").count(), eq(2));
    expect_that!(page, contains_substring("&lt;agent&gt;"));
    expect_that!(page, not(contains_substring("<agent>")));
}
