//! Anti-entropy: repairs differences that remain after gossip.
//!
//! Each process periodically sends a digest, the hashes of all buckets of its view, to a random
//! peer. For buckets that differ, the peer answers with the entries, or with summaries of them.

use hawthorntide_configuration as configuration;
use hawthorntide_types::{DurationMs, TimeMs};
use hawthorntide_wire::control::{self, control_message::Body};
use rand::Rng;

use crate::gossip::{GossipAction, GossipMachine, Sender, send};
use crate::pack::{key_of, short_hash};
use crate::updates::Item;
use crate::view::VIEW_BUCKETS;

/// Interval of digests.
const DIGEST_INTERVAL_MS: DurationMs = DurationMs(10_000);
/// Interval of digests while the view may differ from that of other processes: after the start or a
/// pause, while a peer reports further differences, and while no peer is known.
const CATCH_UP_INTERVAL_MS: DurationMs = DurationMs(200);
/// Buckets of members, and of configuration, that one digest repairs.
const MAX_BUCKETS_PER_DIGEST: usize = 16;
/// Entries per summary message; each takes 12 bytes.
const MAX_SUMMARY_ENTRIES: usize = 80;
/// Keys per request; each takes 8 bytes.
const MAX_REQUEST_KEYS: usize = 120;

#[derive(Clone, Debug, Default)]
pub(crate) struct AntiEntropy {
    next_digest_at: TimeMs,
    /// Bucket at which the next repair starts; rotates so that all buckets are repaired.
    next_bucket: usize,
}

/// Key and truncated hash of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Summary {
    key: u64,
    hash: u32,
    item: Item,
}

impl GossipMachine {
    pub(crate) fn start_anti_entropy(&mut self) {
        let spread = self.rng.random_range(0..CATCH_UP_INTERVAL_MS.get());
        self.anti_entropy.next_digest_at = self.now + CATCH_UP_INTERVAL_MS + DurationMs(spread);
    }

    /// Schedules the next digest after [`CATCH_UP_INTERVAL_MS`] at the latest.
    pub(crate) fn schedule_digest(&mut self) {
        self.anti_entropy.next_digest_at = self
            .anti_entropy
            .next_digest_at
            .min(self.now + CATCH_UP_INTERVAL_MS);
    }

    pub(crate) fn tick_anti_entropy(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.anti_entropy.next_digest_at {
            return;
        }
        let Some(peer) = self.random_peers(1).first().copied() else {
            self.anti_entropy.next_digest_at = self.now + CATCH_UP_INTERVAL_MS;
            return;
        };
        let spread = self.rng.random_range(0..DIGEST_INTERVAL_MS.get() / 4);
        self.anti_entropy.next_digest_at = self.now + DIGEST_INTERVAL_MS - DurationMs(spread);
        let digest = self.digest(false);
        send(out, peer, Body::Digest(digest));
    }

    fn digest(&self, is_reply: bool) -> control::Digest {
        let mut digest = control::Digest {
            member_buckets: Vec::new(),
            configuration_buckets: Vec::new(),
            is_reply,
        };
        if !is_reply {
            digest.member_buckets = self.member_hashes();
            digest.configuration_buckets = self.configuration_hashes();
        }
        digest
    }

    fn member_hashes(&self) -> Vec<u32> {
        let pairs = self
            .balancers
            .buckets()
            .iter()
            .zip(self.endpoints.buckets());
        pairs.map(|(a, b)| short_hash(a ^ b)).collect()
    }

    fn configuration_hashes(&self) -> Vec<u32> {
        let buckets = self.replica.buckets().iter();
        buckets.map(|hash| short_hash(*hash)).collect()
    }

    pub(crate) fn handle_digest(
        &mut self,
        from: Sender,
        digest: &control::Digest,
        out: &mut Vec<GossipAction>,
    ) {
        if digest.is_reply {
            // The peer found more differences than one exchange repairs: continue soon.
            self.schedule_digest();
            return;
        }
        let is_valid = digest.member_buckets.len() == VIEW_BUCKETS
            && digest.configuration_buckets.len() == configuration::REPLICA_BUCKETS;
        if !is_valid {
            self.counters.malformed += 1;
            return;
        }
        let members = differing_buckets(&self.member_hashes(), &digest.member_buckets);
        let objects =
            differing_buckets(&self.configuration_hashes(), &digest.configuration_buckets);
        let start = self.anti_entropy.next_bucket;
        self.anti_entropy.next_bucket = (start + MAX_BUCKETS_PER_DIGEST) % VIEW_BUCKETS;
        let has_more =
            members.len() > MAX_BUCKETS_PER_DIGEST || objects.len() > MAX_BUCKETS_PER_DIGEST;
        for bucket in rotate_from(&members, start) {
            let remote = digest.member_buckets[bucket];
            let summaries = self.member_summaries(bucket);
            self.send_difference(from, false, bucket, remote == 0, &summaries, out);
        }
        for bucket in rotate_from(&objects, start) {
            let remote = digest.configuration_buckets[bucket];
            let summaries = self.object_summaries(bucket);
            self.send_difference(from, true, bucket, remote == 0, &summaries, out);
        }
        if has_more {
            let reply = self.digest(true);
            send(out, from.address, Body::Digest(reply));
        }
    }

    /// Sends all entries of a bucket that is empty at the peer, otherwise summaries of the entries.
    fn send_difference(
        &self,
        to: Sender,
        is_configuration: bool,
        bucket: usize,
        is_remote_empty: bool,
        summaries: &[Summary],
        out: &mut Vec<GossipAction>,
    ) {
        if is_remote_empty {
            let items = summaries.iter().map(|summary| summary.item);
            self.send_catch_up(to.address, items, out);
            return;
        }
        let mut from_key = 0;
        let mut rest = summaries;
        loop {
            let (part, next) = rest.split_at(rest.len().min(MAX_SUMMARY_ENTRIES));
            let to_key = if next.is_empty() {
                u64::MAX
            } else {
                part.last().map_or(u64::MAX, |last| last.key)
            };
            let summary = control::BucketSummary {
                is_configuration,
                bucket: bucket as u32,
                keys: part.iter().map(|summary| summary.key).collect(),
                checks: part.iter().map(|summary| summary.hash).collect(),
                from_key,
                to_key,
            };
            send(out, to.address, Body::BucketSummary(summary));
            if next.is_empty() {
                return;
            }
            from_key = to_key + 1;
            rest = next;
        }
    }

    pub(crate) fn handle_bucket_summary(
        &mut self,
        from: Sender,
        remote: &control::BucketSummary,
        out: &mut Vec<GossipAction>,
    ) {
        let bucket = remote.bucket as usize;
        let is_valid = remote.keys.len() == remote.checks.len()
            && remote.keys.is_sorted()
            && bucket < VIEW_BUCKETS;
        if !is_valid {
            self.counters.malformed += 1;
            return;
        }
        let local_summaries = if remote.is_configuration {
            self.object_summaries(bucket)
        } else {
            self.member_summaries(bucket)
        };
        let remote_hash = |key: u64| {
            let index = remote.keys.binary_search(&key).ok()?;
            remote.checks.get(index).copied()
        };
        let range = remote.from_key..=remote.to_key;
        let to_send = local_summaries
            .iter()
            .filter(|held| range.contains(&held.key) && remote_hash(held.key) != Some(held.hash))
            .map(|held| held.item);
        self.send_catch_up(from.address, to_send, out);
        let local_hash = |key: u64| {
            let index = local_summaries
                .binary_search_by_key(&key, |held| held.key)
                .ok()?;
            local_summaries.get(index).map(|held| held.hash)
        };
        let keys: Vec<u64> = remote
            .keys
            .iter()
            .zip(&remote.checks)
            .filter(|(key, hash)| local_hash(**key) != Some(**hash))
            .map(|(key, _)| *key)
            .collect();
        for keys in keys.chunks(MAX_REQUEST_KEYS) {
            let request = control::ItemRequest {
                is_configuration: remote.is_configuration,
                keys: keys.to_vec(),
            };
            send(out, from.address, Body::ItemRequest(request));
        }
    }

    pub(crate) fn handle_item_request(
        &mut self,
        from: Sender,
        request: &control::ItemRequest,
        out: &mut Vec<GossipAction>,
    ) {
        let keys = request.keys.iter().take(MAX_REQUEST_KEYS).copied();
        if request.is_configuration {
            self.send_catch_up(from.address, keys.map(Item::Object), out);
            return;
        }
        let items: Vec<Item> = keys
            .flat_map(|key| [Item::Balancer(key), Item::Endpoint(key)])
            .collect();
        self.send_catch_up(from.address, items, out);
    }

    fn member_summaries(&self, bucket: usize) -> Vec<Summary> {
        let balancers = self
            .balancers
            .entries_in_bucket(bucket)
            .map(|entry| Summary {
                key: key_of(&entry.record),
                hash: short_hash(entry.hash()),
                item: Item::Balancer(key_of(&entry.record)),
            });
        let endpoints = self
            .endpoints
            .entries_in_bucket(bucket)
            .map(|entry| Summary {
                key: key_of(&entry.record),
                hash: short_hash(entry.hash()),
                item: Item::Endpoint(key_of(&entry.record)),
            });
        let mut summaries: Vec<Summary> = balancers.chain(endpoints).collect();
        summaries.sort_by_key(|summary| summary.key);
        summaries
    }

    fn object_summaries(&self, bucket: usize) -> Vec<Summary> {
        let objects = self.replica.in_bucket(bucket);
        objects
            .map(|object| Summary {
                key: object.key(),
                hash: short_hash(configuration::state_hash(object)),
                item: Item::Object(object.key()),
            })
            .collect()
    }
}

fn differing_buckets(local: &[u32], remote: &[u32]) -> Vec<usize> {
    let pairs = local.iter().zip(remote).enumerate();
    pairs
        .filter(|(_, (local, remote))| local != remote)
        .map(|(bucket, _)| bucket)
        .collect()
}

/// Returns up to [`MAX_BUCKETS_PER_DIGEST`] buckets, from `start` on and wrapping around.
fn rotate_from(buckets: &[usize], start: usize) -> impl Iterator<Item = usize> {
    let split = buckets.partition_point(|bucket| *bucket < start);
    let (before, after) = buckets.split_at(split);
    after
        .iter()
        .chain(before)
        .copied()
        .take(MAX_BUCKETS_PER_DIGEST)
}
