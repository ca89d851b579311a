//! Packing of records, judgements and objects into gossip messages of bounded size.

use hawthorntide_configuration::Replica;
use hawthorntide_types::{Incarnation, TimeMs};
use hawthorntide_wire::control;
use prost::Message;

use crate::fetch::object_to_wire;
use crate::member::{
    BalancerMember, Endpoint, Health, Record, Stamp, balancer_to_wire, endpoint_to_wire,
    health_from_wire, tombstone_age_s,
};
use crate::updates::Item;
use crate::view::Table;

/// Bytes of content in one message; the envelope takes 45 of the 1,200 of a datagram, and the
/// enclosing messages and length prefixes some more.
pub(crate) const MAX_CONTENT_BYTES: usize = 1_100;
/// Largest value that gossip carries itself. An update is sent a dozen times by every balancer, so
/// a larger value is cheaper as a notice that each balancer follows up once.
pub(crate) const GOSSIP_INLINE_BYTES: usize = 192;
/// Largest value that an answer to one process carries itself.
pub(crate) const ANSWER_INLINE_BYTES: usize = 700;

const STATE_BALANCER: u64 = 4;
const STATE_REVISION_SHIFT: u32 = 3;
/// Tag and length of an embedded message of up to 127 bytes or more.
const EMBEDDED_BYTES: usize = 3;

/// Tables from which messages are packed.
pub(crate) struct Sources<'a> {
    pub(crate) balancers: &'a Table<BalancerMember>,
    pub(crate) endpoints: &'a Table<Endpoint>,
    pub(crate) replica: &'a Replica,
    pub(crate) now: TimeMs,
}

/// Gossip message that is being filled.
#[derive(Debug, Default)]
pub(crate) struct Packer {
    gossip: control::Gossip,
    judgements: Vec<(u64, Stamp, bool)>,
    used_bytes: usize,
}

impl Packer {
    /// Adds an item; returns `false` when it does not fit into `max_bytes`.
    pub(crate) fn add(
        &mut self,
        item: Item,
        sources: &Sources<'_>,
        inline_bytes: usize,
        max_bytes: usize,
    ) -> bool {
        match item {
            Item::Balancer(key) => {
                let Some(entry) = sources.balancers.entry(key) else {
                    return true;
                };
                let age_s = tombstone_age_s(entry.gone_since, sources.now);
                let record = balancer_to_wire(&entry.record, age_s);
                if !self.reserve(record.encoded_len() + EMBEDDED_BYTES, max_bytes) {
                    return false;
                }
                self.gossip.balancers.push(record);
            }
            Item::Endpoint(key) => {
                let Some(entry) = sources.endpoints.entry(key) else {
                    return true;
                };
                let age_s = tombstone_age_s(entry.gone_since, sources.now);
                let record = endpoint_to_wire(&entry.record, age_s);
                if !self.reserve(record.encoded_len() + EMBEDDED_BYTES, max_bytes) {
                    return false;
                }
                self.gossip.endpoints.push(record);
            }
            Item::BalancerHealth(key) => {
                let Some(record) = sources.balancers.get(key) else {
                    return true;
                };
                return self.add_judgement(key, record.stamp, true, max_bytes);
            }
            Item::EndpointHealth(key) => {
                let Some(record) = sources.endpoints.get(key) else {
                    return true;
                };
                return self.add_judgement(key, record.stamp, false, max_bytes);
            }
            Item::Object(key) => {
                let Some(object) = sources.replica.by_key(key) else {
                    return true;
                };
                let object = object_to_wire(object, inline_bytes);
                if !self.reserve(object.encoded_len() + EMBEDDED_BYTES, max_bytes) {
                    return false;
                }
                self.gossip.objects.push(object);
            }
        }
        true
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.used_bytes == 0
    }

    pub(crate) fn finish(mut self) -> control::Gossip {
        self.judgements
            .sort_by_key(|(key, stamp, _)| (stamp.incarnation, *key));
        let mut columns = control::Judgements::default();
        let mut last = 0;
        for (key, stamp, is_balancer) in self.judgements {
            let incarnation = stamp.incarnation.get() as i64;
            columns.ids.push(key);
            columns
                .incarnation_deltas
                .push(incarnation.wrapping_sub(last));
            last = incarnation;
            let role = if is_balancer { STATE_BALANCER } else { 0 };
            let revision = u64::from(stamp.revision) << STATE_REVISION_SHIFT;
            columns.states.push(revision | role | stamp.health as u64);
        }
        if !columns.ids.is_empty() {
            self.gossip.judgements = Some(columns);
        }
        self.gossip
    }

    fn add_judgement(&mut self, key: u64, stamp: Stamp, is_balancer: bool, max: usize) -> bool {
        // Identifier 8, incarnation difference up to 7, state up to 4; the column headers once.
        let headers = if self.judgements.is_empty() { 16 } else { 0 };
        if !self.reserve(19 + headers, max) {
            return false;
        }
        self.judgements.push((key, stamp, is_balancer));
        true
    }

    fn reserve(&mut self, bytes: usize, max_bytes: usize) -> bool {
        if self.used_bytes + bytes > max_bytes {
            return false;
        }
        self.used_bytes += bytes;
        true
    }
}

/// Judgement about one member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Judgement {
    pub(crate) key: u64,
    pub(crate) stamp: Stamp,
    pub(crate) is_balancer: bool,
}

/// Reads the columns of a message; columns of different length are not accepted.
pub(crate) fn read_judgements(columns: &control::Judgements) -> Vec<Judgement> {
    let count = columns.ids.len();
    if columns.incarnation_deltas.len() != count || columns.states.len() != count {
        return Vec::new();
    }
    let mut last: i64 = 0;
    let mut judgements = Vec::with_capacity(count);
    for index in 0..count {
        last = last.wrapping_add(columns.incarnation_deltas[index]);
        let state = columns.states[index];
        let Some(health) = health_from_wire((state % STATE_BALANCER) as i32) else {
            continue;
        };
        if health == Health::Alive {
            continue;
        }
        judgements.push(Judgement {
            key: columns.ids[index],
            stamp: Stamp {
                incarnation: Incarnation(last as u64),
                revision: (state >> STATE_REVISION_SHIFT) as u32,
                health,
            },
            is_balancer: state & STATE_BALANCER != 0,
        });
    }
    judgements
}

/// Packs all items into as few messages as possible.
pub(crate) fn pack_all(
    items: impl IntoIterator<Item = Item>,
    sources: &Sources<'_>,
    inline_bytes: usize,
) -> Vec<control::Gossip> {
    let mut messages = Vec::new();
    let mut packer = Packer::default();
    for item in items {
        if packer.add(item, sources, inline_bytes, MAX_CONTENT_BYTES) {
            continue;
        }
        messages.push(std::mem::take(&mut packer).finish());
        packer.add(item, sources, inline_bytes, MAX_CONTENT_BYTES);
    }
    if !packer.is_empty() {
        messages.push(packer.finish());
    }
    messages
}

/// Returns the identity of a record's state for anti-entropy.
pub(crate) fn check_of(hash: u64) -> u32 {
    hash as u32
}

/// Returns the key of any record.
pub(crate) fn key_of(record: &impl Record) -> u64 {
    record.key()
}
