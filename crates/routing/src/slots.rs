//! Hash table slots of one service, assigned to endpoints by weighted rendezvous hashing.

use std::cmp::Ordering;
use std::net::SocketAddr;

use hawthorntide_types::{EndpointId, Weight};

/// Hash table slots per service.
pub const TABLE_SLOTS: usize = 1024;

/// Owner of the slots of a table without members.
const NO_OWNER: u16 = u16::MAX;

/// Endpoint that takes new flows of a service.
#[derive(Clone, Copy, Debug)]
struct Member {
    endpoint: EndpointId,
    weight: Weight,
    /// Copied from the routing table, because another lookup per packet may miss the CPU cache.
    data_address: SocketAddr,
}

/// Owner of each slot. An update reassigns only the slots that the updated endpoint gains or loses.
#[derive(Clone, Debug)]
pub(crate) struct SlotTable {
    /// Members keep their index for as long as they are in the table; free indices hold `None`.
    members: Vec<Option<Member>>,
    /// Index in `members` of the owner of each slot.
    owners: [u16; TABLE_SLOTS],
}

impl SlotTable {
    pub(crate) fn new() -> Self {
        Self {
            members: Vec::new(),
            owners: [NO_OWNER; TABLE_SLOTS],
        }
    }

    /// Returns the data address of the endpoint that owns the slot of `key`.
    pub(crate) fn owner(&self, key: u64) -> Option<SocketAddr> {
        let index = self.owners[slot_of(key)];
        let member = self.members.get(usize::from(index))?.as_ref()?;
        Some(member.data_address)
    }

    pub(crate) fn owner_endpoint(&self, slot: usize) -> Option<EndpointId> {
        let member = self.members.get(usize::from(self.owners[slot]))?.as_ref()?;
        Some(member.endpoint)
    }

    pub(crate) fn owner_endpoints(&self) -> Vec<Option<EndpointId>> {
        (0..TABLE_SLOTS)
            .map(|slot| self.owner_endpoint(slot))
            .collect()
    }

    /// Adds or updates `endpoint`; [`Weight::NONE`] removes it.
    pub(crate) fn set(&mut self, endpoint: EndpointId, data_address: SocketAddr, weight: Weight) {
        let is_same = |member: &Option<Member>| member.is_some_and(|m| m.endpoint == endpoint);
        let member = Member {
            endpoint,
            weight,
            data_address,
        };
        match self.members.iter().position(is_same) {
            Some(index) => self.update(index, member),
            None if weight == Weight::NONE => {}
            None => self.add(member),
        }
    }

    fn add(&mut self, member: Member) {
        let free = self.members.iter().position(Option::is_none);
        let index = free.unwrap_or(self.members.len());
        if index >= usize::from(NO_OWNER) {
            return;
        }
        if free.is_none() {
            self.members.push(None);
        }
        self.members[index] = Some(member);
        self.claim(index, &member);
    }

    fn update(&mut self, index: usize, member: Member) {
        let Some(old) = self.members[index] else {
            return;
        };
        self.members[index] = (member.weight != Weight::NONE).then_some(member);
        match member.weight.cmp(&old.weight) {
            Ordering::Greater => self.claim(index, &member),
            Ordering::Less => self.release(index),
            Ordering::Equal => {}
        }
    }

    /// Assigns to `member` the slots in which it now ranks highest.
    fn claim(&mut self, index: usize, member: &Member) {
        for (slot, owner) in self.owners.iter_mut().enumerate() {
            let current = self.members.get(usize::from(*owner)).copied().flatten();
            let is_higher = current.is_none_or(|current| {
                Rank::new(member, slot).cmp(&Rank::new(&current, slot)) == Ordering::Greater
            });
            if is_higher {
                *owner = index as u16;
            }
        }
    }

    /// Reassigns the slots of the member at `index` after its weight fell.
    fn release(&mut self, index: usize) {
        for (slot, owner) in self.owners.iter_mut().enumerate() {
            if usize::from(*owner) == index {
                *owner = highest_ranked(&self.members, slot);
            }
        }
    }
}

/// Returns the index of the member with the highest rank in `slot`, or [`NO_OWNER`].
fn highest_ranked(members: &[Option<Member>], slot: usize) -> u16 {
    let ranks = (0..).zip(members).filter_map(|(index, member)| {
        let member = member.as_ref()?;
        Some((index, Rank::new(member, slot)))
    });
    ranks
        .max_by(|(_, a), (_, b)| a.cmp(b))
        .map_or(NO_OWNER, |(index, _)| index)
}

/// Rank of a member in a slot by weighted rendezvous hashing: `ln(u) / weight`, where `u` is the
/// hash scaled to (0, 1).
struct Rank {
    hash: u64,
    weight: Weight,
    endpoint: EndpointId,
}

impl Rank {
    fn new(member: &Member, slot: usize) -> Self {
        Self {
            hash: mix(member.endpoint.get() ^ mix(slot as u64)),
            weight: member.weight,
            endpoint: member.endpoint,
        }
    }

    /// Members of equal weight, the usual case, are compared by hash, which skips the logarithms
    /// and gives the same order because they are monotonic.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = if self.weight == other.weight {
            Ordering::Equal
        } else {
            self.score().total_cmp(&other.score())
        };
        by_score
            .then(self.hash.cmp(&other.hash))
            .then(self.endpoint.cmp(&other.endpoint))
    }

    fn score(&self) -> f64 {
        /// 53 bits, the precision of a double.
        const UNIFORM_STEPS: f64 = (1_u64 << 53) as f64;
        let uniform = ((self.hash >> 11) as f64 + 0.5) / UNIFORM_STEPS;
        uniform.ln() / f64::from(self.weight.0)
    }
}

pub(crate) fn slot_of(key: u64) -> usize {
    (key % TABLE_SLOTS as u64) as usize
}

/// Finalizer of splitmix64: every input bit affects the whole output.
const fn mix(key: u64) -> u64 {
    let key = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
