//! Slot table of one service, filled by weighted rendezvous hashing.

use hawthorntide_types::{EndpointId, Weight};

/// Table slots of each service.
pub const TABLE_SLOTS: usize = 1024;

/// Owner of a table slot that no member takes.
const NO_OWNER: u16 = u16::MAX;

/// Endpoint that takes new flows of a service.
#[derive(Clone, Copy, Debug)]
struct Member {
    endpoint: EndpointId,
    weight: Weight,
}

/// Owner of each table slot; a change recomputes only the slots that the endpoint gains or loses.
#[derive(Clone, Debug)]
pub(crate) struct SlotTable {
    /// Members at stable positions; free positions hold `None`.
    members: Vec<Option<Member>>,
    owners: Box<[u16; TABLE_SLOTS]>,
}

impl SlotTable {
    pub(crate) fn new() -> Self {
        Self {
            members: Vec::new(),
            owners: Box::new([NO_OWNER; TABLE_SLOTS]),
        }
    }

    /// Returns the owner of the slot of `key`.
    pub(crate) fn owner(&self, key: u64) -> Option<EndpointId> {
        let position = self.owners[slot_of(key)];
        let member = self.members.get(usize::from(position))?.as_ref()?;
        Some(member.endpoint)
    }

    /// Sets the weight of `endpoint`; no weight takes it out of the table.
    pub(crate) fn set(&mut self, endpoint: EndpointId, weight: Weight) {
        let position = self.position(endpoint);
        match position {
            None if weight == Weight::NONE => {}
            None => self.add(Member { endpoint, weight }),
            Some(position) => self.change(position, weight),
        }
    }

    fn position(&self, endpoint: EndpointId) -> Option<usize> {
        self.members
            .iter()
            .position(|member| member.is_some_and(|member| member.endpoint == endpoint))
    }

    fn add(&mut self, member: Member) {
        let free = self.members.iter().position(Option::is_none);
        let position = free.unwrap_or(self.members.len());
        if position >= usize::from(NO_OWNER) {
            return;
        }
        if free.is_none() {
            self.members.push(None);
        }
        self.members[position] = Some(member);
        self.claim(position);
    }

    fn change(&mut self, position: usize, weight: Weight) {
        let Some(member) = self.members[position] else {
            return;
        };
        if weight == member.weight {
            return;
        }
        let endpoint = member.endpoint;
        self.members[position] = (weight != Weight::NONE).then_some(Member { endpoint, weight });
        if weight > member.weight {
            self.claim(position);
        } else {
            self.release(position);
        }
    }

    /// Takes the slots in which the member at `position` now ranks highest.
    fn claim(&mut self, position: usize) {
        for slot in 0..TABLE_SLOTS {
            let owner = usize::from(self.owners[slot]);
            if self.rank(position, slot) > self.rank(owner, slot) {
                self.owners[slot] = position as u16;
            }
        }
    }

    /// Finds new owners for the slots of the member at `position`, whose weight fell.
    fn release(&mut self, position: usize) {
        for slot in 0..TABLE_SLOTS {
            if usize::from(self.owners[slot]) == position {
                self.owners[slot] = self.highest(slot);
            }
        }
    }

    fn highest(&self, slot: usize) -> u16 {
        let rank = |position: &usize| self.rank(*position, slot);
        (0..self.members.len())
            .filter(|position| self.members[*position].is_some())
            .max_by(|a, b| rank(a).partial_cmp(&rank(b)).expect("ranks are numbers"))
            .map_or(NO_OWNER, |position| position as u16)
    }

    fn rank(&self, position: usize, slot: usize) -> (f64, EndpointId) {
        let Some(Some(member)) = self.members.get(position) else {
            return (f64::NEG_INFINITY, EndpointId(0));
        };
        (score(member, slot), member.endpoint)
    }
}

/// Returns the table slot of `key`.
fn slot_of(key: u64) -> usize {
    (key % TABLE_SLOTS as u64) as usize
}

/// Returns the score of weighted rendezvous hashing: `ln(u) / weight` for a uniform `u`.
fn score(member: &Member, slot: usize) -> f64 {
    /// Fractions of one that a double holds exactly.
    const FRACTIONS: f64 = (1_u64 << 53) as f64;
    let hash = mix(member.endpoint.get() ^ mix(slot as u64));
    let uniform = ((hash >> 11) as f64 + 0.5) / FRACTIONS;
    uniform.ln() / f64::from(member.weight.0)
}

/// Finalizer of splitmix64; spreads each bit of a short key over the whole word.
const fn mix(key: u64) -> u64 {
    let key = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
