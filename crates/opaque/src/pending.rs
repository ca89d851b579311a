//! Packets that were handed to the upstream and may come back.

use std::collections::VecDeque;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, TimeMs};

use crate::message::Search;

/// Packets that are remembered: seconds of traffic of one upstream.
const OFFER_SLOTS: usize = 4_096;

/// Time in which an upstream answers an opening packet; its handshake takes under a millisecond.
pub(crate) const ANSWER_WITHIN_MS: DurationMs = DurationMs(60);

/// Packet that was handed to the upstream.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) flow: FlowKey,
    pub(crate) search: Search,
    /// Copies of the packet went to other agents before.
    pub(crate) is_later_copy: bool,
}

/// Opening packet that the upstream has not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct OpenOffer {
    pub(crate) flow: FlowKey,
    pub(crate) offered: TimeMs,
    pub(crate) token: u32,
    pub(crate) packet: Vec<u8>,
}

/// Packets that were handed to the upstream, found by the token that comes back with them.
#[derive(Clone, Debug)]
pub(crate) struct Offers {
    slots: Vec<Option<(u32, Offer)>>,
    openings: VecDeque<OpenOffer>,
    last_token: u32,
}

impl Offers {
    pub(crate) fn new(first_token: u32) -> Self {
        Self {
            slots: vec![None; OFFER_SLOTS],
            openings: VecDeque::new(),
            last_token: first_token,
        }
    }

    /// Remembers a packet; returns its token, which is never 0.
    pub(crate) fn add(&mut self, offer: Offer) -> u32 {
        self.last_token = self.last_token.wrapping_add(1).max(1);
        let token = self.last_token;
        self.slots[token as usize % OFFER_SLOTS] = Some((token, offer));
        token
    }

    /// Remembers that the opening packet behind `token` waits for an answer.
    pub(crate) fn await_answer(&mut self, opening: OpenOffer) {
        self.openings.push_back(opening);
    }

    /// Returns the packet behind `token`, which came back for `flow`.
    pub(crate) fn take(&mut self, token: u32, flow: &FlowKey) -> Option<Offer> {
        let slot = &mut self.slots[token as usize % OFFER_SLOTS];
        let is_same = |(known, offer): &(u32, Offer)| *known == token && offer.flow == *flow;
        if !slot.as_ref().is_some_and(is_same) {
            return None;
        }
        slot.take().map(|(_, offer)| offer)
    }

    /// Returns the oldest opening packet whose time to be answered is over.
    pub(crate) fn next_overdue(&mut self, now: TimeMs) -> Option<(OpenOffer, Offer)> {
        while let Some(opening) = self.openings.front() {
            if now.since(opening.offered) < ANSWER_WITHIN_MS {
                return None;
            }
            let opening = self.openings.pop_front()?;
            let slot = &mut self.slots[opening.token as usize % OFFER_SLOTS];
            if let Some((token, _)) = slot
                && *token == opening.token
                && let Some((_, offer)) = slot.take()
            {
                return Some((opening, offer));
            }
        }
        None
    }

    /// Returns the latest opening packet of `flow` that waits for an answer, and when it was offered.
    pub(crate) fn awaited(&self, flow: &FlowKey) -> Option<(TimeMs, &Offer)> {
        let mut openings = self.openings.iter().rev();
        let opening = openings.find(|opening| opening.flow == *flow)?;
        let slot = self.slots[opening.token as usize % OFFER_SLOTS].as_ref();
        let (_, offer) = slot.filter(|(token, _)| *token == opening.token)?;
        Some((opening.offered, offer))
    }

    /// Returns the flows of the opening packets of the last moment, answered or not.
    pub(crate) fn recent_openings(&self) -> impl Iterator<Item = &FlowKey> {
        self.openings.iter().map(|opening| &opening.flow)
    }

    /// Returns whether opening packets wait for an answer.
    pub(crate) fn has_openings(&self) -> bool {
        !self.openings.is_empty()
    }
}
