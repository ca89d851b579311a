//! Table of the flows that an agent's upstream owns, tracked from observed packets.

use std::collections::HashMap;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, TimeMs};

use crate::record::{MAX_RECORDED_FLOWS, RecordedFlow};
use crate::segment::{Segment, SegmentKind};

/// Acknowledgements are accepted within this distance of the last known sequence number, in bytes:
/// twice the payload of sixteen full packets in each direction.
const SEQUENCE_WINDOW: u32 = 76_800;

/// A request without an observed answer counts towards the load for at most this long.
const REQUEST_TIMEOUT_MS: DurationMs = DurationMs(10_000);

/// Time between two scans for expired flows.
const EXPIRY_INTERVAL_MS: DurationMs = DurationMs(1_000);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowState {
    /// The upstream accepted the flow; the caller has not acknowledged it yet.
    Accepting {
        /// Acknowledgement number of a caller that completes the handshake with this upstream.
        expected: u32,
    },
    /// The upstream has sent data up to sequence number `end`.
    Open { end: u32 },
    /// Restored from the record of the agent's previous incarnation, with data up to `end`; the
    /// upstream may have sent any amount since.
    Recorded { end: u32 },
}

#[derive(Clone, Copy, Debug)]
struct FlowEntry {
    state: FlowState,
    last_packet: TimeMs,
    /// Arrival of the request that the upstream has not answered yet.
    busy_since: Option<TimeMs>,
    /// End of the caller's data that arrived so far, if known. Data before it is a retransmission.
    received_end: Option<u32>,
    /// `None` if the handshake was not observed.
    handshake: Option<Handshake>,
    /// The caller has sent its last packet.
    is_closed_by_caller: bool,
    /// The upstream has sent its last packet.
    is_closed_by_upstream: bool,
}

impl FlowEntry {
    const fn new(now: TimeMs, state: FlowState) -> Self {
        Self {
            state,
            last_packet: now,
            busy_since: None,
            received_end: None,
            handshake: None,
            is_closed_by_caller: false,
            is_closed_by_upstream: false,
        }
    }

    /// A flow that has ended stays in the table for late packets. Its addresses may belong to a new flow at
    /// another upstream, so nobody else must hear of it.
    const fn has_ended(&self) -> bool {
        self.is_closed_by_caller && self.is_closed_by_upstream
    }

    /// Returns the sequence number that the caller acknowledges next, if its flow is open.
    const fn open_end(&self) -> Option<u32> {
        match self.state {
            FlowState::Open { end } | FlowState::Recorded { end } if !self.has_ended() => Some(end),
            FlowState::Accepting { .. } | FlowState::Open { .. } | FlowState::Recorded { .. } => {
                None
            }
        }
    }
}

/// Initial sequence numbers of both ends. They tell a flow from an earlier one with the same addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Handshake {
    caller: u32,
    upstream: u32,
}

/// Packet of a caller on a flow that the upstream owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerPacket {
    /// First packet of a request.
    NewRequest,
    Other,
}

/// Change of a flow by a packet of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlowChange {
    /// A flow that was not in the table is accepted.
    Accepted,
    /// The upstream reset a flow with an unanswered request.
    Aborted,
    /// The first packet of an answer was sent.
    Answered {
        /// Time since the request.
        after_ms: DurationMs,
    },
}

/// Flows that the upstream owns.
#[derive(Clone, Debug)]
pub(crate) struct FlowTable {
    flows: HashMap<FlowKey, FlowEntry>,
    /// Flows with an unanswered request.
    busy_flows: u32,
    idle_ms: DurationMs,
    last_expiry: TimeMs,
}

impl FlowTable {
    pub(crate) fn new(idle_ms: DurationMs) -> Self {
        Self {
            flows: HashMap::new(),
            busy_flows: 0,
            idle_ms,
            last_expiry: TimeMs::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    /// Returns the number of flows with an unanswered request, in progress or queued.
    pub(crate) const fn busy_flows(&self) -> u32 {
        self.busy_flows
    }

    pub(crate) fn is_busy(&self, flow: &FlowKey) -> bool {
        self.flows
            .get(flow)
            .is_some_and(|flow| flow.busy_since.is_some())
    }

    /// Returns whether an opening packet is a copy of the one that opened the flow in the table. Otherwise it
    /// opens a new flow, although its addresses may be those of an old one.
    pub(crate) fn is_opened_by(&self, opening: &Segment) -> bool {
        let flow = self.flows.get(&opening.flow);
        flow.and_then(|flow| flow.handshake)
            .is_some_and(|handshake| handshake.caller == opening.sequence)
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey) {
        if let Some(removed) = self.flows.remove(flow)
            && removed.busy_since.is_some()
        {
            self.busy_flows -= 1;
        }
    }

    /// Removes all flows; returns those that have not ended, each with the sequence number that its caller
    /// acknowledges next.
    pub(crate) fn take_all(&mut self) -> Vec<(FlowKey, u32)> {
        self.busy_flows = 0;
        let flows = self.flows.drain();
        flows
            .filter_map(|(key, flow)| match flow.state {
                FlowState::Accepting { expected } => Some((key, expected)),
                FlowState::Open { .. } | FlowState::Recorded { .. } => {
                    Some((key, flow.open_end()?))
                }
            })
            .collect()
    }

    /// Returns whether the flow is in the table and has not ended.
    pub(crate) fn is_alive(&self, flow: &FlowKey) -> bool {
        let flow = self.flows.get(flow);
        flow.is_some_and(|flow| !flow.has_ended())
    }

    /// Returns the open flows.
    pub(crate) fn open_flows(&self) -> impl Iterator<Item = &FlowKey> {
        let flows = self.flows.iter();
        flows
            .filter(|(_, entry)| entry.open_end().is_some())
            .map(|(flow, _)| flow)
    }

    /// Returns the open flows, at most `MAX_RECORDED_FLOWS`.
    pub(crate) fn record(&self) -> Vec<RecordedFlow> {
        let flows = self.flows.iter();
        let open = flows.filter_map(|(flow, entry)| {
            Some(RecordedFlow {
                flow: *flow,
                acknowledged: entry.open_end()?,
            })
        });
        open.take(MAX_RECORDED_FLOWS).collect()
    }

    /// Adds flows from the record of the agent's previous incarnation.
    pub(crate) fn restore(&mut self, now: TimeMs, flows: &[RecordedFlow]) {
        for recorded in flows {
            let state = FlowState::Recorded {
                end: recorded.acknowledged,
            };
            let flow = FlowEntry::new(now, state);
            self.flows.insert(recorded.flow, flow);
        }
    }

    /// Records a packet of the upstream. While the agent holds the request of the flow (`is_request_held`), data
    /// cannot be its answer: the upstream retransmits an earlier one, whose acknowledgement waits with the
    /// request.
    pub(crate) fn handle_upstream_packet(
        &mut self,
        now: TimeMs,
        segment: &Segment,
        is_request_held: bool,
    ) -> Option<FlowChange> {
        self.expire(now);
        match segment.kind {
            SegmentKind::Accepting => self.accept(now, segment),
            SegmentKind::Reset => {
                let was_busy = self.is_busy(&segment.flow);
                self.remove(&segment.flow);
                was_busy.then_some(FlowChange::Aborted)
            }
            SegmentKind::Established => {
                let after_ms = self.record_upstream_data(now, segment, is_request_held)?;
                Some(FlowChange::Answered { after_ms })
            }
            SegmentKind::Opening { .. } => None,
        }
    }

    /// Adds a flow that the upstream accepted, in place of an old one with the same addresses.
    fn accept(&mut self, now: TimeMs, segment: &Segment) -> Option<FlowChange> {
        let handshake = Handshake {
            caller: segment.acknowledged.wrapping_sub(1),
            upstream: segment.sequence,
        };
        if let Some(known) = self.flows.get_mut(&segment.flow)
            && known.handshake == Some(handshake)
        {
            // The answer to a copy of the opening packet.
            known.last_packet = now;
            return None;
        }
        self.remove(&segment.flow);
        let state = FlowState::Accepting {
            expected: segment.sequence.wrapping_add(1),
        };
        let flow = FlowEntry {
            received_end: Some(segment.acknowledged),
            handshake: Some(handshake),
            ..FlowEntry::new(now, state)
        };
        self.flows.insert(segment.flow, flow);
        Some(FlowChange::Accepted)
    }

    /// Records the packet of a caller; returns `None` if the upstream does not own its flow.
    ///
    /// Two upstreams may accept transmissions of the same opening packet. The caller acknowledges
    /// only one of them.
    pub(crate) fn handle_caller_packet(
        &mut self,
        now: TimeMs,
        segment: &Segment,
    ) -> Option<CallerPacket> {
        let flow = self.flows.get_mut(&segment.flow)?;
        let is_owner = match (segment.kind, flow.state) {
            (SegmentKind::Opening { .. }, _) => flow
                .handshake
                .is_some_and(|handshake| handshake.caller == segment.sequence),
            (SegmentKind::Reset, _) | (_, FlowState::Recorded { .. }) => true,
            (_, FlowState::Accepting { expected }) => {
                segment.acknowledged.wrapping_sub(expected) <= SEQUENCE_WINDOW
            }
            (_, FlowState::Open { end }) => {
                let distance = segment.acknowledged.wrapping_sub(end);
                distance <= SEQUENCE_WINDOW || distance.wrapping_neg() <= SEQUENCE_WINDOW
            }
        };
        if !is_owner {
            return None;
        }
        flow.last_packet = now;
        flow.is_closed_by_caller |= segment.is_last;
        let is_new = |end| is_after(segment.end(), end);
        if segment.payload_bytes == 0 || !flow.received_end.is_none_or(is_new) {
            return Some(CallerPacket::Other);
        }
        flow.received_end = Some(segment.end());
        if flow.busy_since.is_some() {
            return Some(CallerPacket::Other);
        }
        flow.busy_since = Some(now);
        self.busy_flows += 1;
        Some(CallerPacket::NewRequest)
    }

    /// Forgets the request of a flow, none of whose packets reached the upstream, so that its
    /// retransmission counts as a new one.
    pub(crate) fn forget_request(&mut self, flow: &FlowKey) {
        let Some(flow) = self.flows.get_mut(flow) else {
            return;
        };
        flow.received_end = None;
        if flow.busy_since.take().is_some() {
            self.busy_flows -= 1;
        }
    }

    /// Updates a flow for a packet of the upstream; returns the response time if the packet is the first one
    /// of an answer.
    fn record_upstream_data(
        &mut self,
        now: TimeMs,
        segment: &Segment,
        is_request_held: bool,
    ) -> Option<DurationMs> {
        let end = segment.end();
        let flow = self.flows.entry(segment.flow);
        let flow = flow.or_insert_with(|| FlowEntry::new(now, FlowState::Open { end }));
        if !matches!(flow.state, FlowState::Open { end: known } if !is_after(end, known)) {
            flow.state = FlowState::Open { end };
        }
        flow.last_packet = now;
        flow.is_closed_by_upstream |= segment.is_last;
        // An upstream acknowledges no more than it has received.
        flow.received_end.get_or_insert(segment.acknowledged);
        if segment.payload_bytes == 0 || is_request_held {
            return None;
        }
        let since = flow.busy_since.take()?;
        self.busy_flows -= 1;
        Some(now.since(since))
    }

    fn expire(&mut self, now: TimeMs) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry = now;
        let idle_ms = self.idle_ms;
        let mut busy_flows = 0;
        self.flows.retain(|_, flow| {
            let is_alive = now.since(flow.last_packet) <= idle_ms;
            let is_unexpired = |since: &TimeMs| now.since(*since) <= REQUEST_TIMEOUT_MS;
            flow.busy_since = flow.busy_since.filter(is_unexpired);
            busy_flows += u32::from(is_alive && flow.busy_since.is_some());
            is_alive
        });
        self.busy_flows = busy_flows;
    }
}

/// Compares sequence numbers, which wrap around.
fn is_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 > 0
}
