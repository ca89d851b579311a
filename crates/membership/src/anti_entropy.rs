//! Anti-entropy: bucket hashes find differences that gossip left.

use hawthorntide_configuration as configuration;
use hawthorntide_types::{DurationMs, TimeMs};
use hawthorntide_wire::control::{self, control_message::Body};
use rand::Rng;

use crate::gossip::{GossipAction, GossipMachine, Sender, send};
use crate::pack::{check_of, key_of};
use crate::updates::Item;
use crate::view::VIEW_BUCKETS;

/// Interval of digests.
const DIGEST_MS: DurationMs = DurationMs(10_000);
/// Interval of digests while a view is known to differ in many buckets.
const CATCH_UP_MS: DurationMs = DurationMs(200);
/// Buckets of each sort that one digest brings up to date.
const MAX_BUCKETS: usize = 16;
/// Entries of one summary: 12 bytes each.
const MAX_SUMMARY: usize = 80;
/// Keys of one request: 8 bytes each.
const MAX_KEYS: usize = 120;

/// Timers of anti-entropy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sync {
    digest_at: TimeMs,
    /// First bucket that is brought up to date next.
    next_bucket: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Summary {
    key: u64,
    check: u32,
    item: Item,
}

impl GossipMachine {
    pub(crate) fn start_sync(&mut self) {
        let spread = self.rng.random_range(0..CATCH_UP_MS.get());
        self.sync.digest_at = self.now + CATCH_UP_MS + DurationMs(spread);
    }

    /// Sends the next digest soon.
    pub(crate) fn request_sync(&mut self) {
        self.sync.digest_at = self.sync.digest_at.min(self.now + CATCH_UP_MS);
    }

    pub(crate) fn tick_sync(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.sync.digest_at {
            return;
        }
        let Some(peer) = self.random_peers(1).first().copied() else {
            self.sync.digest_at = self.now + CATCH_UP_MS;
            return;
        };
        let spread = self.rng.random_range(0..DIGEST_MS.get() / 4);
        self.sync.digest_at = self.now + DIGEST_MS - DurationMs(spread);
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
        pairs.map(|(a, b)| check_of(a ^ b)).collect()
    }

    fn configuration_hashes(&self) -> Vec<u32> {
        let buckets = self.replica.buckets().iter();
        buckets.map(|hash| check_of(*hash)).collect()
    }

    pub(crate) fn take_digest(
        &mut self,
        from: Sender,
        digest: &control::Digest,
        out: &mut Vec<GossipAction>,
    ) {
        if digest.is_reply {
            // The peer found more differences than one exchange repairs.
            self.request_sync();
            return;
        }
        let is_valid = digest.member_buckets.len() == VIEW_BUCKETS
            && digest.configuration_buckets.len() == configuration::REPLICA_BUCKETS;
        if !is_valid {
            self.counters.malformed += 1;
            return;
        }
        let members = differing(&self.member_hashes(), &digest.member_buckets);
        let objects = differing(&self.configuration_hashes(), &digest.configuration_buckets);
        let start = self.sync.next_bucket;
        self.sync.next_bucket = (start + MAX_BUCKETS) % VIEW_BUCKETS;
        let has_more = members.len() > MAX_BUCKETS || objects.len() > MAX_BUCKETS;
        for bucket in rotated(&members, start) {
            let theirs = digest.member_buckets[bucket];
            let summaries = self.member_summaries(bucket);
            self.send_difference(from, false, bucket, theirs == 0, &summaries, out);
        }
        for bucket in rotated(&objects, start) {
            let theirs = digest.configuration_buckets[bucket];
            let summaries = self.object_summaries(bucket);
            self.send_difference(from, true, bucket, theirs == 0, &summaries, out);
        }
        if has_more {
            let reply = self.digest(true);
            send(out, from.address, Body::Digest(reply));
        }
    }

    /// Sends the entries of a bucket that is empty on the other side, else their states.
    fn send_difference(
        &self,
        to: Sender,
        is_configuration: bool,
        bucket: usize,
        is_empty_there: bool,
        summaries: &[Summary],
        out: &mut Vec<GossipAction>,
    ) {
        if is_empty_there {
            let items = summaries.iter().map(|summary| summary.item);
            self.send_catch_up(to.address, items, out);
            return;
        }
        let mut from_key = 0;
        let mut rest = summaries;
        loop {
            let (part, next) = rest.split_at(rest.len().min(MAX_SUMMARY));
            let to_key = if next.is_empty() {
                u64::MAX
            } else {
                part.last().map_or(u64::MAX, |last| last.key)
            };
            let summary = control::BucketSummary {
                is_configuration,
                bucket: bucket as u32,
                keys: part.iter().map(|summary| summary.key).collect(),
                checks: part.iter().map(|summary| summary.check).collect(),
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

    pub(crate) fn take_summary(
        &mut self,
        from: Sender,
        theirs: &control::BucketSummary,
        out: &mut Vec<GossipAction>,
    ) {
        let bucket = theirs.bucket as usize;
        let is_valid = theirs.keys.len() == theirs.checks.len()
            && theirs.keys.is_sorted()
            && bucket < VIEW_BUCKETS;
        if !is_valid {
            self.counters.malformed += 1;
            return;
        }
        let local = if theirs.is_configuration {
            self.object_summaries(bucket)
        } else {
            self.member_summaries(bucket)
        };
        let their_check = |key: u64| {
            let index = theirs.keys.binary_search(&key).ok()?;
            theirs.checks.get(index).copied()
        };
        let range = theirs.from_key..=theirs.to_key;
        let push = local
            .iter()
            .filter(|held| range.contains(&held.key) && their_check(held.key) != Some(held.check))
            .map(|held| held.item);
        self.send_catch_up(from.address, push, out);
        let held_check = |key: u64| {
            let index = local.binary_search_by_key(&key, |held| held.key).ok()?;
            local.get(index).map(|held| held.check)
        };
        let keys: Vec<u64> = theirs
            .keys
            .iter()
            .zip(&theirs.checks)
            .filter(|(key, check)| held_check(**key) != Some(**check))
            .map(|(key, _)| *key)
            .collect();
        for keys in keys.chunks(MAX_KEYS) {
            let request = control::ItemRequest {
                is_configuration: theirs.is_configuration,
                keys: keys.to_vec(),
            };
            send(out, from.address, Body::ItemRequest(request));
        }
    }

    pub(crate) fn take_item_request(
        &mut self,
        from: Sender,
        request: &control::ItemRequest,
        out: &mut Vec<GossipAction>,
    ) {
        let keys = request.keys.iter().take(MAX_KEYS).copied();
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
        let balancers = self.balancers.in_bucket(bucket).map(|entry| Summary {
            key: key_of(&entry.record),
            check: check_of(entry.hash()),
            item: Item::Balancer(key_of(&entry.record)),
        });
        let endpoints = self.endpoints.in_bucket(bucket).map(|entry| Summary {
            key: key_of(&entry.record),
            check: check_of(entry.hash()),
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
                check: check_of(configuration::state_hash(object)),
                item: Item::Object(object.key()),
            })
            .collect()
    }
}

fn differing(local: &[u32], theirs: &[u32]) -> Vec<usize> {
    let pairs = local.iter().zip(theirs).enumerate();
    pairs
        .filter(|(_, (local, theirs))| local != theirs)
        .map(|(bucket, _)| bucket)
        .collect()
}

/// Returns up to [`MAX_BUCKETS`] buckets, beginning at `start`.
fn rotated(buckets: &[usize], start: usize) -> impl Iterator<Item = usize> {
    let split = buckets.partition_point(|bucket| *bucket < start);
    let (before, after) = buckets.split_at(split);
    after.iter().chain(before).copied().take(MAX_BUCKETS)
}
