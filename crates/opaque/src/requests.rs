//! Requests of callers at an agent: those that wait for a slot of the upstream, with their packets,
//! and those that occupy one.
//!
//! An upstream queues what exceeds its slots in the order of arrival and sheds what exceeds its
//! queue. The agent therefore delivers only as many requests as the upstream has slots for, and
//! selects the next one by urgency and latency objective.

use std::collections::HashMap;

use hawthorntide_admission::{
    ExpectedWait, RequestId, SlotAction, SlotEvent, SlotRequest, SlotScheduler,
};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, SlotCount, TimeMs};

use crate::class::RequestClass;
use crate::message::Search;
use crate::segment::Segment;

/// Limit on the bytes of held packets. Beyond it, only the first packet of each request is held, and
/// callers retransmit the others.
const MAX_HELD_BYTES: usize = 4 * 1024 * 1024;

/// Limit on the held packets of one request. A caller sends at most 16 unacknowledged packets.
const MAX_HELD_PACKETS: usize = 16;

/// Packet of a request that waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct HeldPacket {
    pub(crate) search: Search,
    pub(crate) segment: Segment,
    pub(crate) packet: Vec<u8>,
}

/// Change of a request that requires an action.
#[derive(Clone, Debug)]
pub(crate) enum RequestChange {
    /// The request got a slot: deliver its packets.
    Started {
        packets: Vec<HeldPacket>,
        waited_ms: DurationMs,
    },
    /// The request was given up before any of its packets was delivered.
    Discarded { flow: FlowKey },
}

#[derive(Clone, Debug)]
struct Request {
    flow: FlowKey,
    /// Packets in the order of their arrival; empty once the request has started.
    packets: Vec<HeldPacket>,
}

/// Requests of the flows that the upstream owns, at most one for each flow.
#[derive(Clone, Debug)]
pub(crate) struct Requests {
    scheduler: SlotScheduler,
    requests: HashMap<RequestId, Request>,
    by_flow: HashMap<FlowKey, RequestId>,
    last_id: RequestId,
    held_bytes: usize,
}

impl Requests {
    /// Starts without a limit: the slots are unknown until the first heartbeat of the upstream.
    pub(crate) fn new() -> Self {
        Self {
            scheduler: SlotScheduler::new(SlotCount(u32::MAX)),
            requests: HashMap::new(),
            by_flow: HashMap::new(),
            last_id: RequestId(0),
            held_bytes: 0,
        }
    }

    /// Returns the number of requests that wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Returns whether the request of `flow` waits for a slot.
    pub(crate) fn is_waiting(&self, flow: &FlowKey) -> bool {
        let request = self.by_flow.get(flow).and_then(|id| self.requests.get(id));
        request.is_some_and(|request| !request.packets.is_empty())
    }

    /// Returns how long a request of this class would wait if it arrived now.
    pub(crate) fn expected_wait(&self, now: TimeMs, class: &RequestClass) -> ExpectedWait {
        let request = slot_request(RequestId(0), class);
        self.scheduler.expected_wait(now, &request)
    }

    pub(crate) fn set_slots(&mut self, now: TimeMs, slots: SlotCount) -> Vec<RequestChange> {
        self.schedule(now, SlotEvent::SlotsChanged(slots))
    }

    pub(crate) fn tick(&mut self, now: TimeMs) -> Vec<RequestChange> {
        self.schedule(now, SlotEvent::Tick)
    }

    /// Adds a request, of which `held` is the first packet to arrive.
    pub(crate) fn add(&mut self, now: TimeMs, held: HeldPacket) -> Vec<RequestChange> {
        let flow = held.segment.flow;
        let mut changes = self.end(now, &flow, SlotEvent::Cancelled);
        let class = held.search.class;
        self.last_id = RequestId(self.last_id.0 + 1);
        let id = self.last_id;
        self.held_bytes += held.packet.len();
        let packets = vec![held];
        self.requests.insert(id, Request { flow, packets });
        self.by_flow.insert(flow, id);
        let event = SlotEvent::Arrived(slot_request(id, &class));
        changes.extend(self.schedule(now, event));
        changes
    }

    /// Adds a further packet to a waiting request; drops a retransmission of a held one.
    pub(crate) fn hold(&mut self, held: HeldPacket) {
        let id = self.by_flow.get(&held.segment.flow);
        let Some(request) = id.and_then(|id| self.requests.get_mut(id)) else {
            return;
        };
        let is_held = |other: &HeldPacket| {
            other.segment.sequence == held.segment.sequence
                && other.segment.payload_bytes == held.segment.payload_bytes
                && other.segment.is_last == held.segment.is_last
        };
        let is_full = request.packets.len() >= MAX_HELD_PACKETS
            || self.held_bytes + held.packet.len() > MAX_HELD_BYTES;
        if is_full || request.packets.iter().any(is_held) {
            return;
        }
        self.held_bytes += held.packet.len();
        request.packets.push(held);
    }

    /// Records that the request of `flow` was answered.
    pub(crate) fn answered(&mut self, now: TimeMs, flow: &FlowKey) -> Vec<RequestChange> {
        self.end(now, flow, SlotEvent::Answered)
    }

    /// Removes the request of `flow`, which ended without an answer.
    pub(crate) fn cancel(&mut self, now: TimeMs, flow: &FlowKey) -> Vec<RequestChange> {
        self.end(now, flow, SlotEvent::Cancelled)
    }

    /// Returns the packets of the request of `flow` if it waits, for the caller of this method to
    /// deliver; the request keeps its place until `cancel`.
    pub(crate) fn take_packets(&mut self, flow: &FlowKey) -> Vec<HeldPacket> {
        let id = self.by_flow.get(flow);
        let Some(request) = id.and_then(|id| self.requests.get_mut(id)) else {
            return Vec::new();
        };
        let packets = std::mem::take(&mut request.packets);
        self.release_bytes(&packets);
        packets
    }

    /// Removes all requests and returns the packets of the waiting ones.
    pub(crate) fn take_all(&mut self) -> Vec<HeldPacket> {
        let requests = std::mem::take(&mut self.requests).into_values();
        self.by_flow.clear();
        self.held_bytes = 0;
        self.scheduler = SlotScheduler::new(self.scheduler.slots());
        requests.flat_map(|request| request.packets).collect()
    }

    fn end(
        &mut self,
        now: TimeMs,
        flow: &FlowKey,
        event: impl Fn(RequestId) -> SlotEvent,
    ) -> Vec<RequestChange> {
        let Some(id) = self.by_flow.remove(flow) else {
            return Vec::new();
        };
        if let Some(request) = self.requests.remove(&id) {
            self.release_bytes(&request.packets);
        }
        self.schedule(now, event(id))
    }

    fn schedule(&mut self, now: TimeMs, event: SlotEvent) -> Vec<RequestChange> {
        let mut actions = Vec::new();
        self.scheduler.handle(now, event, &mut actions);
        let actions = actions.into_iter();
        actions.filter_map(|action| self.apply(action)).collect()
    }

    fn apply(&mut self, action: SlotAction) -> Option<RequestChange> {
        match action {
            SlotAction::Start { id, waited_ms } => {
                let request = self.requests.get_mut(&id)?;
                let packets = std::mem::take(&mut request.packets);
                self.release_bytes(&packets);
                Some(RequestChange::Started { packets, waited_ms })
            }
            SlotAction::Discard { id } => {
                let flow = self.remove(id)?;
                Some(RequestChange::Discarded { flow })
            }
            SlotAction::Forget { id } => {
                self.remove(id);
                None
            }
        }
    }

    /// Removes a request; returns its flow.
    fn remove(&mut self, id: RequestId) -> Option<FlowKey> {
        let request = self.requests.remove(&id)?;
        self.release_bytes(&request.packets);
        self.by_flow.remove(&request.flow);
        Some(request.flow)
    }

    fn release_bytes(&mut self, packets: &[HeldPacket]) {
        let bytes: usize = packets.iter().map(|held| held.packet.len()).sum();
        self.held_bytes -= bytes;
    }
}

const fn slot_request(id: RequestId, class: &RequestClass) -> SlotRequest {
    SlotRequest {
        id,
        kind: class.kind,
        urgency: class.urgency,
        objective_ms: class.objective_ms,
        deadline_ms: class.deadline_ms,
    }
}
