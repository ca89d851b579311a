//! Packets that were delivered to the upstream and may be returned by it.

use std::collections::VecDeque;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, TimeMs};

use crate::message::Search;
use crate::segment::Segment;

/// Number of delivered packets that are kept: enough for seconds of traffic of one upstream.
const PENDING_SLOTS: usize = 4_096;

/// An upstream must answer an opening packet within this time; a handshake takes under a
/// millisecond.
pub(crate) const OPENING_TIMEOUT_MS: DurationMs = DurationMs(60);

/// Packet that was delivered to the upstream.
#[derive(Clone, Debug)]
pub(crate) struct PendingPacket {
    pub(crate) flow: FlowKey,
    pub(crate) search: Search,
    /// Whether the packet is a retransmission; earlier transmissions went to other agents.
    pub(crate) is_retransmission: bool,
}

/// Opening packet that was delivered within the last `OPENING_TIMEOUT_MS`, answered or not.
#[derive(Clone, Debug)]
pub(crate) struct PendingOpening {
    pub(crate) segment: Segment,
    pub(crate) delivered_at: TimeMs,
    pub(crate) token: u32,
    pub(crate) packet: Vec<u8>,
}

/// Packets that were delivered to the upstream, by the token that is returned with them. The oldest
/// ones are overwritten.
#[derive(Clone, Debug)]
pub(crate) struct PendingPackets {
    slots: Vec<Option<(u32, PendingPacket)>>,
    openings: VecDeque<PendingOpening>,
    last_token: u32,
}

impl PendingPackets {
    pub(crate) fn new(first_token: u32) -> Self {
        Self {
            slots: vec![None; PENDING_SLOTS],
            openings: VecDeque::new(),
            last_token: first_token,
        }
    }

    /// Stores a packet; returns its token, which is never 0.
    pub(crate) fn add(&mut self, pending: PendingPacket) -> u32 {
        self.last_token = self.last_token.wrapping_add(1).max(1);
        let token = self.last_token;
        self.slots[token as usize % PENDING_SLOTS] = Some((token, pending));
        token
    }

    pub(crate) fn add_opening(&mut self, opening: PendingOpening) {
        self.openings.push_back(opening);
    }

    /// Removes the packet with this token and flow.
    pub(crate) fn take(&mut self, token: u32, flow: &FlowKey) -> Option<PendingPacket> {
        let slot = &mut self.slots[token as usize % PENDING_SLOTS];
        let is_same =
            |(known, pending): &(u32, PendingPacket)| *known == token && pending.flow == *flow;
        if !slot.as_ref().is_some_and(is_same) {
            return None;
        }
        slot.take().map(|(_, pending)| pending)
    }

    /// Returns the search of the latest packet of `flow` that was delivered and not returned.
    pub(crate) fn latest_search(&self, flow: &FlowKey) -> Option<&Search> {
        let pending = self.slots.iter().flatten();
        let of_flow = pending.filter(|(_, pending)| pending.flow == *flow);
        let age = |token: u32| self.last_token.wrapping_sub(token);
        let latest = of_flow.min_by_key(|(token, _)| age(*token));
        latest.map(|(_, pending)| &pending.search)
    }

    /// Removes the oldest opening packet whose timeout has expired, unless the upstream returned it.
    pub(crate) fn next_timed_out_opening(
        &mut self,
        now: TimeMs,
    ) -> Option<(PendingOpening, PendingPacket)> {
        while let Some(opening) = self.openings.front() {
            if now.since(opening.delivered_at) < OPENING_TIMEOUT_MS {
                return None;
            }
            let opening = self.openings.pop_front()?;
            let slot = &mut self.slots[opening.token as usize % PENDING_SLOTS];
            if let Some((token, _)) = slot
                && *token == opening.token
                && let Some((_, pending)) = slot.take()
            {
                return Some((opening, pending));
            }
        }
        None
    }

    /// Returns the latest pending opening packet of `flow` and its delivery time.
    pub(crate) fn pending_opening(&self, flow: &FlowKey) -> Option<(TimeMs, &PendingPacket)> {
        let mut openings = self.openings.iter().rev();
        let opening = openings.find(|opening| opening.segment.flow == *flow)?;
        let slot = self.slots[opening.token as usize % PENDING_SLOTS].as_ref();
        let (_, pending) = slot.filter(|(token, _)| *token == opening.token)?;
        Some((opening.delivered_at, pending))
    }

    /// Returns the flows of recent opening packets, answered or not.
    pub(crate) fn recent_openings(&self) -> impl Iterator<Item = &FlowKey> {
        self.openings.iter().map(|opening| &opening.segment.flow)
    }

    pub(crate) fn has_openings(&self) -> bool {
        !self.openings.is_empty()
    }
}
