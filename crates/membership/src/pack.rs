//! Packing of records, health updates and objects into gossip messages of bounded size.

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

/// Content bytes per message. The envelope takes 45 of the 1,200 bytes of a datagram; the enclosing
/// messages and length prefixes take some more.
pub(crate) const MAX_CONTENT_BYTES: usize = 1_100;
/// Largest value that is included in gossip. Every balancer sends an update a dozen times, so for
/// larger values gossip announces only the version, and each balancer fetches the value once.
pub(crate) const GOSSIP_INLINE_BYTES: usize = 192;
/// Largest value that is included in a reply to a single process.
pub(crate) const REPLY_INLINE_BYTES: usize = 700;

const STATE_BALANCER_FLAG: u64 = 4;
const STATE_REVISION_SHIFT: u32 = 3;
/// Maximum size of the tag and length of an embedded message.
const EMBEDDED_HEADER_BYTES: usize = 3;

/// Tables that hold the current state of the packed items.
pub(crate) struct RecordTables<'a> {
    pub(crate) balancers: &'a Table<BalancerMember>,
    pub(crate) endpoints: &'a Table<Endpoint>,
    pub(crate) replica: &'a Replica,
    pub(crate) now: TimeMs,
}

/// Builder of a gossip message.
#[derive(Debug, Default)]
pub(crate) struct Packer {
    gossip: control::Gossip,
    health_updates: Vec<(u64, Stamp, bool)>,
    used_bytes: usize,
}

impl Packer {
    /// Adds an item; returns `false` if the message would exceed `max_bytes`. An item that is no
    /// longer held is skipped.
    pub(crate) fn add(
        &mut self,
        item: Item,
        tables: &RecordTables<'_>,
        max_inline_bytes: usize,
        max_bytes: usize,
    ) -> bool {
        match item {
            Item::Balancer(key) => {
                let Some(entry) = tables.balancers.entry(key) else {
                    return true;
                };
                let age_s = tombstone_age_s(entry.tombstone_since, tables.now);
                let record = balancer_to_wire(&entry.record, age_s);
                if !self.reserve(record.encoded_len() + EMBEDDED_HEADER_BYTES, max_bytes) {
                    return false;
                }
                self.gossip.balancers.push(record);
            }
            Item::Endpoint(key) => {
                let Some(entry) = tables.endpoints.entry(key) else {
                    return true;
                };
                let age_s = tombstone_age_s(entry.tombstone_since, tables.now);
                let record = endpoint_to_wire(&entry.record, age_s);
                if !self.reserve(record.encoded_len() + EMBEDDED_HEADER_BYTES, max_bytes) {
                    return false;
                }
                self.gossip.endpoints.push(record);
            }
            Item::BalancerHealth(key) => {
                let Some(record) = tables.balancers.get(key) else {
                    return true;
                };
                return self.add_health_update(key, record.stamp, true, max_bytes);
            }
            Item::EndpointHealth(key) => {
                let Some(record) = tables.endpoints.get(key) else {
                    return true;
                };
                return self.add_health_update(key, record.stamp, false, max_bytes);
            }
            Item::Object(key) => {
                let Some(object) = tables.replica.by_key(key) else {
                    return true;
                };
                let object = object_to_wire(object, max_inline_bytes);
                if !self.reserve(object.encoded_len() + EMBEDDED_HEADER_BYTES, max_bytes) {
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
        self.health_updates
            .sort_by_key(|(key, stamp, _)| (stamp.incarnation, *key));
        let mut columns = control::Judgements::default();
        let mut last = 0;
        for (key, stamp, is_balancer) in self.health_updates {
            let incarnation = stamp.incarnation.get() as i64;
            columns.ids.push(key);
            columns
                .incarnation_deltas
                .push(incarnation.wrapping_sub(last));
            last = incarnation;
            let role = if is_balancer { STATE_BALANCER_FLAG } else { 0 };
            let revision = u64::from(stamp.revision) << STATE_REVISION_SHIFT;
            columns.states.push(revision | role | stamp.health as u64);
        }
        if !columns.ids.is_empty() {
            self.gossip.judgements = Some(columns);
        }
        self.gossip
    }

    fn add_health_update(
        &mut self,
        key: u64,
        stamp: Stamp,
        is_balancer: bool,
        max_bytes: usize,
    ) -> bool {
        // 8 bytes for the identifier, up to 7 for the incarnation delta and up to 4 for the state;
        // the column headers are counted once.
        let headers = if self.health_updates.is_empty() {
            16
        } else {
            0
        };
        if !self.reserve(19 + headers, max_bytes) {
            return false;
        }
        self.health_updates.push((key, stamp, is_balancer));
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

/// Health that the failure detector assigned to one revision of a member record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthUpdate {
    pub(crate) key: u64,
    pub(crate) stamp: Stamp,
    pub(crate) is_balancer: bool,
}

/// Decodes the columns of a message; returns nothing if their lengths differ.
pub(crate) fn decode_health_updates(columns: &control::Judgements) -> Vec<HealthUpdate> {
    let count = columns.ids.len();
    if columns.incarnation_deltas.len() != count || columns.states.len() != count {
        return Vec::new();
    }
    let mut last: i64 = 0;
    let mut health_updates = Vec::with_capacity(count);
    for index in 0..count {
        last = last.wrapping_add(columns.incarnation_deltas[index]);
        let state = columns.states[index];
        let Some(health) = health_from_wire((state % STATE_BALANCER_FLAG) as i32) else {
            continue;
        };
        if health == Health::Alive {
            continue;
        }
        health_updates.push(HealthUpdate {
            key: columns.ids[index],
            stamp: Stamp {
                incarnation: Incarnation(last as u64),
                revision: (state >> STATE_REVISION_SHIFT) as u32,
                health,
            },
            is_balancer: state & STATE_BALANCER_FLAG != 0,
        });
    }
    health_updates
}

/// Packs items in order, starting a new message when the current one is full.
pub(crate) fn pack_all(
    items: impl IntoIterator<Item = Item>,
    tables: &RecordTables<'_>,
    max_inline_bytes: usize,
) -> Vec<control::Gossip> {
    let mut messages = Vec::new();
    let mut packer = Packer::default();
    for item in items {
        if packer.add(item, tables, max_inline_bytes, MAX_CONTENT_BYTES) {
            continue;
        }
        messages.push(std::mem::take(&mut packer).finish());
        packer.add(item, tables, max_inline_bytes, MAX_CONTENT_BYTES);
    }
    if !packer.is_empty() {
        messages.push(packer.finish());
    }
    messages
}

/// Truncates a hash for digests and summaries of anti-entropy.
pub(crate) fn short_hash(hash: u64) -> u32 {
    hash as u32
}

pub(crate) fn key_of(record: &impl Record) -> u64 {
    record.key()
}
