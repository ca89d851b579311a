//! Decisions of the sibling selector.

use googletest::prelude::*;
use hawthorntide_admission::{EndpointLoad, FlowDecision, SiblingSelector};
use hawthorntide_types::{DurationMs, EndpointId, Phase, SlotCount, TimeMs};

const NOW: TimeMs = TimeMs(1_000_000);
const SIBLING: EndpointId = EndpointId(2);

fn load(endpoint: u64, open_flows: u32, phase: Phase) -> EndpointLoad {
    EndpointLoad {
        endpoint: EndpointId(endpoint),
        in_flight: 0,
        waiting: 0,
        queue_delay_ms: DurationMs(0),
        slots: SlotCount(2),
        open_flows,
        phase,
    }
}

/// Returns the selector of a busy endpoint with one idle sibling.
fn busy() -> SiblingSelector {
    let mut selector = SiblingSelector::new(1);
    let local = EndpointLoad {
        in_flight: 2,
        ..load(1, 2000, Phase::Serving)
    };
    selector.set_local_load(NOW, local);
    selector.record_report(NOW, load(2, 1000, Phase::Serving));
    selector
}

/// Guards against sending retransmissions of one opening packet to different agents.
#[gtest]
fn a_retransmission_gets_the_same_decision() {
    let mut selector = busy();
    expect_that!(
        selector.choose(NOW, b"first"),
        eq(FlowDecision::Forward(SIBLING))
    );
    selector.remove(SIBLING);
    expect_that!(
        selector.choose(NOW, b"first"),
        eq(FlowDecision::Forward(SIBLING))
    );
    expect_that!(selector.choose(NOW, b"second"), eq(FlowDecision::Keep));
}

/// Guards against forwarding flows to a sibling that may be gone, as its reports have stopped.
#[gtest]
fn stale_reports_do_not_count() {
    let mut selector = busy();
    let later = NOW + DurationMs(1999);
    expect_that!(
        selector.choose(later, b"fresh"),
        eq(FlowDecision::Forward(SIBLING))
    );
    let later = NOW + DurationMs(2000);
    expect_that!(selector.choose(later, b"stale"), eq(FlowDecision::Keep));
}

/// Guards against new flows on a draining endpoint, whether they arrive there or are forwarded.
#[gtest]
fn a_draining_endpoint_forwards_flows_and_receives_none() {
    let mut selector = SiblingSelector::new(1);
    selector.set_local_load(NOW, load(1, 0, Phase::Draining));
    selector.record_report(NOW, load(2, 5000, Phase::Serving));
    expect_that!(
        selector.choose(NOW, b"flow"),
        eq(FlowDecision::Forward(SIBLING))
    );
    let mut selector = busy();
    selector.record_report(NOW, load(2, 0, Phase::Draining));
    expect_that!(selector.choose(NOW, b"flow"), eq(FlowDecision::Keep));
}

/// Guards against unbounded memory under many opening packets.
#[gtest]
fn old_decisions_are_evicted() {
    let mut selector = busy();
    selector.choose(NOW, b"first");
    selector.remove(SIBLING);
    for flow in 0_u32..8192 {
        selector.choose(NOW, &flow.to_be_bytes());
    }
    expect_that!(selector.choose(NOW, b"first"), eq(FlowDecision::Keep));
}

/// Returns for how many of 1,000 answers the caller is asked to move.
fn moves(selector: &mut SiblingSelector, now: TimeMs) -> usize {
    (0..1000).filter(|_| selector.should_move(now)).count()
}

/// Guards against requests of long flows that stay on an upstream that became slow, and against all
/// callers leaving it at once.
#[gtest]
fn some_callers_are_asked_to_leave_a_busy_endpoint() {
    let asked = moves(&mut busy(), NOW);
    expect_that!(asked, gt(0));
    expect_that!(asked, lt(1000));
}

/// Guards against moving callers without siblings, when the load differs by less than the accepted
/// imbalance, to a sibling whose reports have stopped, or to a draining one.
#[gtest]
fn callers_stay_without_a_clearly_less_loaded_sibling() {
    let mut selector = SiblingSelector::new(1);
    let busy_load = |endpoint, in_flight| EndpointLoad {
        in_flight,
        slots: SlotCount(10),
        ..load(endpoint, 1000, Phase::Serving)
    };
    selector.set_local_load(NOW, busy_load(1, 10));
    expect_that!(moves(&mut selector, NOW), eq(0));
    selector.record_report(NOW, busy_load(2, 9));
    expect_that!(moves(&mut selector, NOW), eq(0));
    expect_that!(moves(&mut busy(), NOW + DurationMs(2000)), eq(0));
    let mut selector = busy();
    selector.record_report(NOW, load(2, 0, Phase::Draining));
    expect_that!(moves(&mut selector, NOW), eq(0));
}
