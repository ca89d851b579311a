//! Flows of the upstream beside an agent, as its packets show them.

use std::collections::HashMap;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, TimeMs};

use crate::segment::{Segment, SegmentKind};

/// Bytes that may be on their way between the ends of a flow: sixteen packets each way, twice.
const SEQUENCE_WINDOW: u32 = 76_800;

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
}

#[derive(Clone, Copy, Debug)]
struct HeldFlow {
    hold: Hold,
    last_packet: TimeMs,
}

/// Flows that the upstream holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldFlows {
    flows: HashMap<FlowKey, HeldFlow>,
    idle_ms: DurationMs,
    last_expiry: TimeMs,
}

impl HeldFlows {
    pub(crate) fn new(idle_ms: DurationMs) -> Self {
        Self {
            flows: HashMap::new(),
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

    pub(crate) fn remove(&mut self, flow: &FlowKey) {
        self.flows.remove(flow);
    }

    pub(crate) fn clear(&mut self) {
        self.flows.clear();
    }

    /// Takes a packet that the upstream sent; returns whether it accepts a flow by it.
    pub(crate) fn sent(&mut self, now: TimeMs, segment: &Segment) -> bool {
        self.expire(now);
        match segment.kind {
            SegmentKind::Accepting => {
                let expected = segment.sequence.wrapping_add(1);
                let hold = Hold::Accepting { expected };
                let is_new = self.put(now, segment.flow, hold);
                return is_new;
            }
            SegmentKind::Reset => {
                self.flows.remove(&segment.flow);
            }
            SegmentKind::Established => {
                let end = segment.end();
                let hold = match self.flows.get(&segment.flow).map(|flow| flow.hold) {
                    Some(Hold::Open { end: known }) if !is_after(end, known) => {
                        Hold::Open { end: known }
                    }
                    _ => Hold::Open { end },
                };
                self.put(now, segment.flow, hold);
            }
            SegmentKind::Opening { .. } => {}
        }
        false
    }

    /// Returns whether a packet of a caller is for this upstream's flow.
    ///
    /// Two upstreams may accept copies of one opening packet; the caller acknowledges one of them.
    pub(crate) fn owns(&mut self, now: TimeMs, segment: &Segment) -> bool {
        let Some(flow) = self.flows.get_mut(&segment.flow) else {
            return false;
        };
        let is_ours = match (segment.kind, flow.hold) {
            (SegmentKind::Opening { .. } | SegmentKind::Reset, _) => true,
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
        }
        is_ours
    }

    fn put(&mut self, now: TimeMs, key: FlowKey, hold: Hold) -> bool {
        let flow = HeldFlow {
            hold,
            last_packet: now,
        };
        self.flows.insert(key, flow).is_none()
    }

    fn expire(&mut self, now: TimeMs) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry = now;
        let idle_ms = self.idle_ms;
        self.flows
            .retain(|_, flow| now.since(flow.last_packet) <= idle_ms);
    }
}

/// Returns whether `left` follows `right` in the circle of sequence numbers.
fn is_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 > 0
}
