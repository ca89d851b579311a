//! Single decisions of the sibling choice.

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

/// Returns a busy endpoint that knows one idle sibling.
fn busy() -> SiblingSelector {
    let mut choice = SiblingSelector::new(1);
    let own = EndpointLoad {
        in_flight: 2,
        ..load(1, 2000, Phase::Serving)
    };
    choice.set_local_load(NOW, own);
    choice.record_report(NOW, load(2, 1000, Phase::Serving));
    choice
}

/// Guards against retransmissions of one opening packet that reach two agents.
#[gtest]
fn a_retransmission_gets_the_same_decision() {
    let mut choice = busy();
    expect_that!(
        choice.choose(NOW, b"first"),
        eq(FlowDecision::Forward(SIBLING))
    );
    choice.remove(SIBLING);
    expect_that!(
        choice.choose(NOW, b"first"),
        eq(FlowDecision::Forward(SIBLING))
    );
    expect_that!(choice.choose(NOW, b"second"), eq(FlowDecision::Keep));
}

/// Guards against flows that go to a sibling that may be gone.
#[gtest]
fn stale_reports_do_not_count() {
    let mut choice = busy();
    let later = NOW + DurationMs(1999);
    expect_that!(
        choice.choose(later, b"fresh"),
        eq(FlowDecision::Forward(SIBLING))
    );
    let later = NOW + DurationMs(2000);
    expect_that!(choice.choose(later, b"stale"), eq(FlowDecision::Keep));
}

/// Guards against new flows on a draining upstream, and on the only sibling that drains.
#[gtest]
fn a_draining_endpoint_passes_flows_on_and_gets_none() {
    let mut choice = SiblingSelector::new(1);
    choice.set_local_load(NOW, load(1, 0, Phase::Draining));
    choice.record_report(NOW, load(2, 5000, Phase::Serving));
    expect_that!(
        choice.choose(NOW, b"flow"),
        eq(FlowDecision::Forward(SIBLING))
    );
    let mut choice = busy();
    choice.record_report(NOW, load(2, 0, Phase::Draining));
    expect_that!(choice.choose(NOW, b"flow"), eq(FlowDecision::Keep));
}

/// Guards against memory that grows with the number of opening packets.
#[gtest]
fn old_decisions_are_forgotten() {
    let mut choice = busy();
    choice.choose(NOW, b"first");
    choice.remove(SIBLING);
    for flow in 0_u32..8192 {
        choice.choose(NOW, &flow.to_be_bytes());
    }
    expect_that!(choice.choose(NOW, b"first"), eq(FlowDecision::Keep));
}

/// Returns how many of 1,000 answers ask their callers to move.
fn moves(choice: &mut SiblingSelector, now: TimeMs) -> usize {
    (0..1000).filter(|_| choice.should_move(now)).count()
}

/// Guards against requests of long flows that stay with an upstream that became slow, and against
/// all callers leaving it at once.
#[gtest]
fn a_part_of_the_callers_leaves_a_busy_endpoint() {
    let asked = moves(&mut busy(), NOW);
    expect_that!(asked, gt(0));
    expect_that!(asked, lt(1000));
}

/// Guards against callers that move between endpoints whose work differs by less than is accepted,
/// to a sibling that may be gone, or to one that drains.
#[gtest]
fn callers_stay_without_a_clearly_freer_sibling() {
    let mut choice = SiblingSelector::new(1);
    let busy_load = |endpoint, in_flight| EndpointLoad {
        in_flight,
        slots: SlotCount(10),
        ..load(endpoint, 1000, Phase::Serving)
    };
    choice.set_local_load(NOW, busy_load(1, 10));
    expect_that!(moves(&mut choice, NOW), eq(0));
    choice.record_report(NOW, busy_load(2, 9));
    expect_that!(moves(&mut choice, NOW), eq(0));
    expect_that!(moves(&mut busy(), NOW + DurationMs(2000)), eq(0));
    let mut choice = busy();
    choice.record_report(NOW, load(2, 0, Phase::Draining));
    expect_that!(moves(&mut choice, NOW), eq(0));
}
