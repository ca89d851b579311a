//! Flows of the upstream beside an agent, as its packets show them.

use std::collections::HashMap;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, TimeMs};

use crate::record::{MAX_RECORDED_FLOWS, RecordedFlow};
use crate::segment::{Segment, SegmentKind};

/// Bytes that may be on their way between the ends of a flow: sixteen packets each way, twice.
const SEQUENCE_WINDOW: u32 = 76_800;

/// Time after which a request whose answer was not seen no longer counts as work.
const REQUEST_LIMIT_MS: DurationMs = DurationMs(10_000);

/// Time between two passes over all flows for those that ended.
const EXPIRY_INTERVAL_MS: DurationMs = DurationMs(1_000);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Hold {
    /// The upstream accepted; the caller has not confirmed.
    Accepting {
        /// What the caller acknowledges if it takes this upstream's answer.
        expected: u32,
    },
    /// The upstream sent data up to `end`.
    Open { end: u32 },
    /// The upstream held it when the process before this one recorded it, with data up to `end`; it
    /// may have sent any amount since.
    Recorded { end: u32 },
}

#[derive(Clone, Copy, Debug)]
struct HeldFlow {
    hold: Hold,
    last_packet: TimeMs,
    /// Since when the upstream owes an answer.
    busy_since: Option<TimeMs>,
}

/// What a packet of the upstream changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlowChange {
    /// It accepts a flow that was not held.
    Accepted,
    /// It ends a flow on which a request waits.
    Broken,
    /// It begins the answer to a request.
    Answered {
        /// Time since the request.
        after_ms: DurationMs,
    },
}

/// Flows that the upstream holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldFlows {
    flows: HashMap<FlowKey, HeldFlow>,
    /// Flows on which the upstream owes an answer.
    busy_flows: u32,
    idle_ms: DurationMs,
    last_expiry: TimeMs,
}

impl HeldFlows {
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

    /// Returns how many flows wait for an answer of the upstream: its work and its queue.
    pub(crate) const fn busy_flows(&self) -> u32 {
        self.busy_flows
    }

    pub(crate) fn is_busy(&self, flow: &FlowKey) -> bool {
        self.flows
            .get(flow)
            .is_some_and(|flow| flow.busy_since.is_some())
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey) {
        if let Some(removed) = self.flows.remove(flow)
            && removed.busy_since.is_some()
        {
            self.busy_flows -= 1;
        }
    }

    /// Forgets all flows; returns each with what its caller acknowledges next.
    pub(crate) fn take_all(&mut self) -> Vec<(FlowKey, u32)> {
        self.busy_flows = 0;
        let flows = self.flows.drain();
        flows
            .map(|(key, flow)| match flow.hold {
                Hold::Accepting { expected } => (key, expected),
                Hold::Open { end } | Hold::Recorded { end } => (key, end),
            })
            .collect()
    }

    /// Returns the open flows.
    pub(crate) fn record(&self) -> Vec<RecordedFlow> {
        let flows = self.flows.iter();
        let open = flows.filter_map(|(flow, held)| match held.hold {
            Hold::Accepting { .. } => None,
            Hold::Open { end } | Hold::Recorded { end } => Some(RecordedFlow {
                flow: *flow,
                acknowledged: end,
            }),
        });
        open.take(MAX_RECORDED_FLOWS).collect()
    }

    /// Takes over flows that the upstream held before this process started.
    pub(crate) fn restore(&mut self, now: TimeMs, flows: &[RecordedFlow]) {
        for recorded in flows {
            let flow = HeldFlow {
                hold: Hold::Recorded {
                    end: recorded.acknowledged,
                },
                last_packet: now,
                busy_since: None,
            };
            self.flows.insert(recorded.flow, flow);
        }
    }

    /// Takes a packet that the upstream sent.
    pub(crate) fn sent(&mut self, now: TimeMs, segment: &Segment) -> Option<FlowChange> {
        self.expire(now);
        match segment.kind {
            SegmentKind::Accepting => {
                let is_new = !self.contains(&segment.flow);
                let expected = segment.sequence.wrapping_add(1);
                self.put(now, segment, Hold::Accepting { expected });
                is_new.then_some(FlowChange::Accepted)
            }
            SegmentKind::Reset => {
                let was_busy = self.is_busy(&segment.flow);
                self.remove(&segment.flow);
                was_busy.then_some(FlowChange::Broken)
            }
            SegmentKind::Established => {
                let end = segment.end();
                let hold = match self.flows.get(&segment.flow).map(|flow| flow.hold) {
                    Some(Hold::Open { end: known }) if !is_after(end, known) => {
                        Hold::Open { end: known }
                    }
                    _ => Hold::Open { end },
                };
                let after_ms = self.put(now, segment, hold)?;
                Some(FlowChange::Answered { after_ms })
            }
            SegmentKind::Opening { .. } => None,
        }
    }

    /// Returns whether a packet of a caller is for this upstream's flow.
    ///
    /// Two upstreams may accept copies of one opening packet; the caller acknowledges one of them.
    pub(crate) fn owns(&mut self, now: TimeMs, segment: &Segment) -> bool {
        let Some(flow) = self.flows.get_mut(&segment.flow) else {
            return false;
        };
        let is_ours = match (segment.kind, flow.hold) {
            // A new flow with the numbers of one that ended since the record.
            (SegmentKind::Opening { .. }, Hold::Recorded { .. }) => false,
            (SegmentKind::Opening { .. } | SegmentKind::Reset, _) | (_, Hold::Recorded { .. }) => {
                true
            }
            (_, Hold::Accepting { expected }) => {
                segment.acknowledged.wrapping_sub(expected) <= SEQUENCE_WINDOW
            }
            (_, Hold::Open { end }) => {
                let distance = segment.acknowledged.wrapping_sub(end);
                distance <= SEQUENCE_WINDOW || distance.wrapping_neg() <= SEQUENCE_WINDOW
            }
        };
        if is_ours {
            flow.last_packet = now;
            if segment.payload_bytes > 0 && flow.busy_since.is_none() {
                flow.busy_since = Some(now);
                self.busy_flows += 1;
            }
        }
        is_ours
    }

    /// Enters what a packet of the upstream tells of its flow; returns how long a request waited
    /// for this answer.
    fn put(&mut self, now: TimeMs, segment: &Segment, hold: Hold) -> Option<DurationMs> {
        let known = self.flows.get(&segment.flow);
        let mut busy_since = known.and_then(|flow| flow.busy_since);
        let mut waited = None;
        if segment.payload_bytes > 0
            && let Some(since) = busy_since.take()
        {
            self.busy_flows -= 1;
            waited = Some(now.since(since));
        }
        let flow = HeldFlow {
            hold,
            last_packet: now,
            busy_since,
        };
        self.flows.insert(segment.flow, flow);
        waited
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
            let is_owed = |since: &TimeMs| now.since(*since) <= REQUEST_LIMIT_MS;
            flow.busy_since = flow.busy_since.filter(is_owed);
            busy_flows += u32::from(is_alive && flow.busy_since.is_some());
            is_alive
        });
        self.busy_flows = busy_flows;
    }
}

/// Returns whether `left` follows `right` in the circle of sequence numbers.
fn is_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 > 0
}
