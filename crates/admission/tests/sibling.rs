//! Single decisions of the sibling choice.

use googletest::prelude::*;
use hawthorntide_admission::{EndpointLoad, FlowChoice, SiblingChoice};
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
fn busy() -> SiblingChoice {
    let mut choice = SiblingChoice::new(1);
    let own = EndpointLoad {
        in_flight: 2,
        ..load(1, 2000, Phase::Serving)
    };
    choice.own_load(NOW, own);
    choice.report(NOW, load(2, 1000, Phase::Serving));
    choice
}

/// Guards against retransmissions of one opening packet that reach two agents.
#[gtest]
fn a_retransmission_gets_the_same_decision() {
    let mut choice = busy();
    expect_that!(choice.choose(NOW, b"first"), eq(FlowChoice::Pass(SIBLING)));
    choice.remove(SIBLING);
    expect_that!(choice.choose(NOW, b"first"), eq(FlowChoice::Pass(SIBLING)));
    expect_that!(choice.choose(NOW, b"second"), eq(FlowChoice::Keep));
}

/// Guards against flows that go to a sibling that may be gone.
#[gtest]
fn stale_reports_do_not_count() {
    let mut choice = busy();
    let later = NOW + DurationMs(1999);
    expect_that!(
        choice.choose(later, b"fresh"),
        eq(FlowChoice::Pass(SIBLING))
    );
    let later = NOW + DurationMs(2000);
    expect_that!(choice.choose(later, b"stale"), eq(FlowChoice::Keep));
}

/// Guards against new flows on a draining upstream, and on the only sibling that drains.
#[gtest]
fn a_draining_endpoint_passes_flows_on_and_gets_none() {
    let mut choice = SiblingChoice::new(1);
    choice.own_load(NOW, load(1, 0, Phase::Draining));
    choice.report(NOW, load(2, 5000, Phase::Serving));
    expect_that!(choice.choose(NOW, b"flow"), eq(FlowChoice::Pass(SIBLING)));
    let mut choice = busy();
    choice.report(NOW, load(2, 0, Phase::Draining));
    expect_that!(choice.choose(NOW, b"flow"), eq(FlowChoice::Keep));
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
    expect_that!(choice.choose(NOW, b"first"), eq(FlowChoice::Keep));
}
