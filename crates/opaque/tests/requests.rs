//! Requests that wait at an agent for a slot of the upstream.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{HEARTBEAT_MS, IDLE_MS, agent_role, flow, opening, peer, report, service};
use googletest::prelude::*;
use hawthorntide_opaque::{
    AgentAction, AgentEvent, AgentMachine, AgentOptions, DomainTag, OpeningPolicy, OpeningTerms,
    RequestClass, Search, Segment, SegmentKind,
};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, Phase, TimeMs};
use proptest::prelude::{
    ProptestConfig, Strategy, prop_assert, prop_assert_eq, prop_oneof, proptest,
};

/// Slots of the upstream in its heartbeats, and one request that waits for the next free slot.
const MAX_RUNNING: usize = 3;

/// First sequence number of the caller's data, and of the upstream's.
const CALLER_START: u32 = 2;
const UPSTREAM_START: u32 = 1_000;

/// Size of a request, in one packet, and of an answer.
const REQUEST_BYTES: u32 = 10;

/// One agent with an upstream that answers only when the test says so.
struct Agent {
    machine: AgentMachine,
    now: TimeMs,
    /// Sequence numbers of the data that was delivered, in order.
    delivered: Vec<(FlowKey, u32)>,
    discarded: Vec<FlowKey>,
    forwarded: Vec<FlowKey>,
}

impl Agent {
    fn new() -> Self {
        let now = TimeMs(1_000_000);
        let options = AgentOptions {
            local_peer: peer(100, 1, agent_role(0, Phase::Joining)),
            service: service(0),
            heartbeat_ms: DurationMs(HEARTBEAT_MS),
            flow_idle_ms: IDLE_MS,
            opening_policy: OpeningPolicy::default(),
            seed: 1,
        };
        let mut agent = Self {
            machine: AgentMachine::new(now, options),
            now,
            delivered: Vec::new(),
            discarded: Vec::new(),
            forwarded: Vec::new(),
        };
        agent.handle(AgentEvent::Registered { was_known: true });
        agent.handle(AgentEvent::Report(report(1, 1, false)));
        agent
    }

    fn handle(&mut self, event: AgentEvent<'_>) {
        let segment = match &event {
            AgentEvent::Forwarded { segment, .. } => Some(*segment),
            _ => None,
        };
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                AgentAction::Deliver { .. } => self.record_delivery(segment.unwrap()),
                AgentAction::DeliverHeld { segment, .. } => self.record_delivery(segment),
                AgentAction::RequestDiscarded { flow } => self.discarded.push(flow),
                AgentAction::ForwardToAgent { .. } | AgentAction::ReturnToBalancer { .. } => {
                    self.forwarded.extend(segment.map(|segment| segment.flow));
                }
                _ => {}
            }
        }
    }

    fn record_delivery(&mut self, segment: Segment) {
        if segment.payload_bytes > 0 {
            self.delivered.push((segment.flow, segment.sequence));
        }
    }

    fn forward(&mut self, segment: Segment) {
        let search = Search {
            balancer: common::peer_address(1),
            preferred_domain: DomainTag::default(),
            service: service(0),
            is_fallback_service: false,
            visited: Vec::new(),
            is_parallel: false,
            terms: OpeningTerms::default(),
            class: RequestClass::default(),
        };
        self.handle(AgentEvent::Forwarded {
            search,
            segment,
            packet: &[0; 42],
        });
    }

    /// Opens a flow that the upstream accepts.
    fn open(&mut self, key: FlowKey) {
        self.forward(opening(key, 0));
        self.send(Segment {
            flow: key,
            kind: SegmentKind::Accepting,
            sequence: UPSTREAM_START - 1,
            acknowledged: CALLER_START,
            payload_bytes: 0,
            is_last: false,
        });
    }

    /// Sends a packet of the upstream.
    fn send(&mut self, segment: Segment) {
        self.handle(AgentEvent::Sent(segment));
    }

    /// Sends the packet of the `number`th request on a flow.
    fn request(&mut self, key: FlowKey, number: u32) {
        self.forward(request(key, number));
    }

    /// Answers the `number`th request on a flow.
    fn answer(&mut self, key: FlowKey, number: u32) {
        self.send(Segment {
            flow: key,
            kind: SegmentKind::Established,
            sequence: UPSTREAM_START + number * REQUEST_BYTES,
            acknowledged: request(key, number).end(),
            payload_bytes: REQUEST_BYTES,
            is_last: false,
        });
    }

    fn wait(&mut self, duration_ms: u64) {
        self.now = self.now + DurationMs(duration_ms);
        self.handle(AgentEvent::Tick);
    }

    fn deliveries(&self, key: FlowKey) -> usize {
        self.delivered
            .iter()
            .filter(|(flow, _)| *flow == key)
            .count()
    }

    /// Opens flows 0 to `MAX_RUNNING` with a request each; the last one waits. Returns its flow.
    fn with_waiting_request() -> (Self, FlowKey) {
        let mut agent = Self::new();
        for caller in 0..=MAX_RUNNING as u16 {
            agent.open(flow(caller, 0));
            agent.request(flow(caller, 0), 0);
        }
        (agent, flow(MAX_RUNNING as u16, 0))
    }
}

fn request(key: FlowKey, number: u32) -> Segment {
    Segment {
        flow: key,
        kind: SegmentKind::Established,
        sequence: CALLER_START + number * REQUEST_BYTES,
        acknowledged: UPSTREAM_START + number * REQUEST_BYTES,
        payload_bytes: REQUEST_BYTES,
        is_last: false,
    }
}

// A queue in the upstream is first come, first served, and sheds what exceeds it.
#[gtest]
fn a_request_beyond_the_slots_waits_for_an_answer() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    expect_that!(agent.delivered.len(), eq(MAX_RUNNING));
    expect_that!(agent.deliveries(waiting), eq(0));
    agent.answer(flow(0, 0), 0);
    expect_that!(agent.deliveries(waiting), eq(1));
}

// Callers retransmit a request that is not acknowledged: the upstream must not get it twice, and it
// must not take a second slot.
#[gtest]
fn a_retransmission_of_a_waiting_request_is_dropped() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    agent.request(waiting, 0);
    agent.request(waiting, 0);
    expect_that!(agent.machine.waiting_requests(), eq(1));
    agent.answer(flow(0, 0), 0);
    expect_that!(agent.deliveries(waiting), eq(1));
}

// The packet that reaches the upstream may be lost, so a retransmission of a started request passes.
#[gtest]
fn a_retransmission_of_a_started_request_is_delivered() {
    let (mut agent, _) = Agent::with_waiting_request();
    agent.request(flow(0, 0), 0);
    expect_that!(agent.deliveries(flow(0, 0)), eq(2));
}

// A retransmission that arrives after its answer counted as a request for up to ten seconds: the
// agent reported load that its upstream did not have, and would give it a slot.
#[gtest]
fn a_retransmission_of_an_answered_request_is_no_request() {
    let mut agent = Agent::new();
    for caller in 0..MAX_RUNNING as u16 {
        let key = flow(caller, 0);
        agent.open(key);
        agent.request(key, 0);
        agent.answer(key, 0);
        agent.request(key, 0);
        expect_that!(agent.deliveries(key), eq(2));
    }
    for _ in 0..20 {
        agent.handle(AgentEvent::Measure);
    }
    let load = agent.machine.gossip().local_peer().agent().unwrap().load;
    expect_that!(load.get(), eq(0));
    agent.open(flow(50, 0));
    agent.request(flow(50, 0), 0);
    expect_that!(agent.deliveries(flow(50, 0)), eq(1));
}

// The second request of a flow takes a slot like the first.
#[gtest]
fn a_later_request_of_a_flow_waits_as_well() {
    let mut agent = Agent::new();
    agent.open(flow(0, 0));
    agent.request(flow(0, 0), 0);
    agent.answer(flow(0, 0), 0);
    for caller in 1..=MAX_RUNNING as u16 {
        agent.open(flow(caller, 0));
        agent.request(flow(caller, 0), 0);
    }
    agent.request(flow(0, 0), 1);
    expect_that!(agent.deliveries(flow(0, 0)), eq(1));
    agent.answer(flow(1, 0), 0);
    expect_that!(agent.deliveries(flow(0, 0)), eq(2));
}

// A request of several packets takes one slot, and its packets stay in order.
#[gtest]
fn the_packets_of_a_request_are_delivered_together() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    let mut second = request(waiting, 1);
    second.acknowledged = UPSTREAM_START;
    agent.forward(second);
    expect_that!(agent.machine.waiting_requests(), eq(1));
    agent.answer(flow(0, 0), 0);
    let packets: Vec<_> = agent.delivered[MAX_RUNNING..].to_vec();
    expect_that!(
        packets,
        elements_are![
            eq(&(waiting, CALLER_START)),
            eq(&(waiting, CALLER_START + REQUEST_BYTES))
        ]
    );
    agent.open(flow(70, 0));
    agent.request(flow(70, 0), 0);
    expect_that!(agent.machine.waiting_requests(), eq(1));
}

// A slot must not be spent on a caller that has gone.
#[gtest]
fn the_request_of_a_caller_that_resets_its_flow_is_removed() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    let mut reset = request(waiting, 0);
    reset.kind = SegmentKind::Reset;
    reset.payload_bytes = 0;
    agent.forward(reset);
    agent.answer(flow(0, 0), 0);
    expect_that!(agent.deliveries(waiting), eq(0));
    expect_that!(agent.machine.waiting_requests(), eq(0));
}

// A caller reuses the address and port of a flow: the held request of the old flow must not reach the
// new one, whose caller would get an answer that is not its own.
#[gtest]
fn a_held_request_is_not_delivered_into_a_new_flow_with_its_addresses() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    let mut reopening = opening(waiting, 0);
    reopening.sequence = 7_000_000;
    agent.forward(reopening);
    agent.answer(flow(0, 0), 0);
    expect_that!(agent.deliveries(waiting), eq(0));
}

// The new flow starts at any sequence number: its first request is no retransmission.
#[gtest]
fn the_first_request_of_a_new_flow_with_reused_addresses_takes_a_slot() {
    let mut agent = Agent::new();
    let key = flow(0, 0);
    agent.open(key);
    agent.request(key, 9);
    agent.answer(key, 9);
    agent.send(Segment {
        flow: key,
        kind: SegmentKind::Accepting,
        sequence: 5_000,
        acknowledged: CALLER_START,
        payload_bytes: 0,
        is_last: false,
    });
    let mut first = request(key, 0);
    first.acknowledged = 5_001;
    agent.forward(first);
    for caller in 1..=MAX_RUNNING as u16 {
        agent.open(flow(caller, 0));
        agent.request(flow(caller, 0), 0);
    }
    expect_that!(agent.machine.waiting_requests(), eq(1));
}

// Packets of unknown flows are delivered in a search: most of them belong to another upstream and
// must not take slots of this one.
#[gtest]
fn a_packet_of_an_unknown_flow_takes_no_slot() {
    let mut agent = Agent::new();
    for caller in 0..20 {
        agent.request(flow(caller, 0), 0);
    }
    expect_that!(agent.delivered.len(), eq(20));
    agent.open(flow(50, 0));
    agent.request(flow(50, 0), 0);
    expect_that!(agent.deliveries(flow(50, 0)), eq(1));
}

// A slot must not stay occupied by a request that the upstream returned, since its flow had ended.
#[gtest]
fn a_returned_request_frees_its_slot() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    let mut actions = Vec::new();
    let segment = request(flow(0, 0), 0);
    let event = AgentEvent::Returned { segment, token: 0 };
    agent.machine.handle(agent.now, event, &mut actions);
    let delivered = actions.iter().any(|action| match action {
        AgentAction::DeliverHeld { segment, .. } => segment.flow == waiting,
        _ => false,
    });
    expect_that!(delivered, eq(true));
}

// During a planned stop of the agent, requests that it holds must reach the upstream.
#[gtest]
fn a_stopping_agent_delivers_the_waiting_requests() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    agent.handle(AgentEvent::Stopping);
    expect_that!(agent.deliveries(waiting), eq(1));
    expect_that!(agent.machine.waiting_requests(), eq(0));
}

// An upstream that drains closes its flows; it refuses a request that comes after that at once, but
// only if it gets it.
#[gtest]
fn a_request_on_a_flow_that_the_upstream_closes_is_delivered_at_once() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    agent.send(Segment {
        flow: waiting,
        kind: SegmentKind::Established,
        sequence: UPSTREAM_START,
        acknowledged: CALLER_START,
        payload_bytes: 0,
        is_last: true,
    });
    expect_that!(agent.deliveries(waiting), eq(1));
}

// The flows of a previous incarnation ended with it: their requests must not reach the next one.
#[gtest]
fn a_new_incarnation_of_the_upstream_gets_no_requests_of_the_previous_one() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    agent.handle(AgentEvent::Report(report(2, 1, false)));
    agent.wait(100);
    expect_that!(agent.deliveries(waiting), eq(0));
    expect_that!(agent.machine.waiting_requests(), eq(0));
}

// Work for a caller that no longer waits must not be started, and a request that is sent again after
// that must not be taken for a retransmission.
#[gtest]
fn a_request_is_discarded_at_its_deadline_and_may_come_again() {
    let (mut agent, waiting) = Agent::with_waiting_request();
    agent.wait(RequestClass::default().deadline_ms.get() + 1);
    expect_that!(agent.discarded, elements_are![eq(&waiting)]);
    agent.request(waiting, 0);
    expect_that!(agent.deliveries(waiting), eq(1));
}

// Flood: the acknowledgement of an answer is held with the next request of its flow, so the upstream sends the
// answer again. The copy must not be taken for the answer to the waiting request, which would be lost, with
// its slot, until its deadline.
#[gtest]
fn a_copy_of_an_answer_does_not_end_the_next_request() {
    let mut agent = Agent::new();
    let key = flow(40, 0);
    agent.open(key);
    agent.request(key, 0);
    agent.answer(key, 0);
    for caller in 0..MAX_RUNNING as u16 {
        agent.open(flow(caller, 0));
        agent.request(flow(caller, 0), 0);
    }
    agent.request(key, 1);
    expect_that!(agent.machine.waiting_requests(), eq(1));
    agent.answer(key, 0);
    expect_that!(agent.machine.waiting_requests(), eq(1));
    agent.answer(flow(0, 0), 0);
    expect_that!(agent.deliveries(key), eq(2));
    agent.answer(key, 1);
    for caller in 50..50 + 2 * MAX_RUNNING as u16 {
        agent.open(flow(caller, 0));
        agent.request(flow(caller, 0), 0);
        agent.answer(flow(caller, 0), 0);
        expect_that!(agent.deliveries(flow(caller, 0)), eq(1), "a slot was lost");
    }
}

/// One step of a random history of an agent.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The caller sends its next request, or the current one again while it has no answer.
    Request(u16),
    /// The upstream answers the request of a flow, if it has it.
    Answer(u16),
    /// The caller resets its flow.
    Reset(u16),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..12u16).prop_map(Step::Request),
        4 => (0..12u16).prop_map(Step::Answer),
        1 => (0..12u16).prop_map(Step::Reset),
        2 => (1..400u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against requests that are delivered before their turn, twice without a retransmission,
    /// or held beyond their deadline, and against slots that are lost.
    #[test]
    fn waiting_requests_are_delivered_once_or_discarded(
        steps in proptest::collection::vec(step(), 1..120)
    ) {
        let mut agent = Agent::new();
        for caller in 0..12 {
            agent.open(flow(caller, 0));
        }
        let mut next: BTreeMap<u16, u32> = (0..12).map(|caller| (caller, 0)).collect();
        let mut closed = BTreeSet::new();
        for step in steps {
            match step {
                Step::Request(caller) if !closed.contains(&caller) => {
                    let key = flow(caller, 0);
                    let was_waiting = agent.machine.is_request_waiting(&key);
                    let before = agent.deliveries(key);
                    agent.request(key, next[&caller]);
                    if was_waiting && agent.machine.is_request_waiting(&key) {
                        prop_assert_eq!(agent.deliveries(key), before);
                    }
                }
                Step::Answer(caller) => {
                    let key = flow(caller, 0);
                    let sequence = request(key, next[&caller]).sequence;
                    if agent.delivered.contains(&(key, sequence)) && !closed.contains(&caller) {
                        agent.answer(key, next[&caller]);
                        *next.get_mut(&caller).unwrap() += 1;
                    }
                }
                Step::Reset(caller) => {
                    let mut reset = request(flow(caller, 0), next[&caller]);
                    reset.kind = SegmentKind::Reset;
                    reset.payload_bytes = 0;
                    agent.forward(reset);
                    closed.insert(caller);
                }
                Step::Request(_) => {}
                Step::Wait(duration_ms) => agent.wait(duration_ms),
            }
        }
        agent.wait(RequestClass::default().deadline_ms.get() + 1);
        prop_assert_eq!(agent.machine.waiting_requests(), 0);
        for caller in 50..50 + MAX_RUNNING as u16 {
            agent.open(flow(caller, 0));
            agent.request(flow(caller, 0), 0);
            prop_assert!(agent.deliveries(flow(caller, 0)) == 1, "a slot was lost");
        }
    }
}
