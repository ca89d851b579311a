//! View of the members: sorted tables with bucket hashes for anti-entropy and tombstones.

use hawthorntide_types::{DurationMs, TimeMs};

use crate::member::Record;

/// Number of bucket hashes of a view.
pub(crate) const VIEW_BUCKETS: usize = 128;

/// Time for which members that left or were removed stay known; packets of their open flows are
/// forwarded for as long, and a region split may last half of it.
const TOMBSTONE_MS: DurationMs = DurationMs(2 * 60 * 60 * 1000);

/// One member with its place in the view.
#[derive(Clone, Debug)]
pub(crate) struct Entry<R> {
    pub(crate) record: R,
    /// When it left or was removed.
    pub(crate) gone_since: Option<TimeMs>,
    hash: u64,
}

/// Result of merging a record into a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Merge {
    /// The record replaced an older one or was not known.
    Newer,
    /// The same record is held.
    Same,
    /// A newer record is held.
    Older,
    /// The table is full, or the record is a tombstone too old to keep.
    Refused,
}

/// Members of one role in ascending order of their keys.
#[derive(Clone, Debug)]
pub(crate) struct Table<R> {
    entries: Vec<Entry<R>>,
    buckets: Vec<u64>,
    max_entries: usize,
    /// Counts changes, for caches that are derived from the table.
    pub(crate) generation: u64,
}

impl<R: Record> Table<R> {
    pub(crate) fn new(max_entries: usize) -> Self {
        Self {
            entries: Vec::new(),
            buckets: vec![0; VIEW_BUCKETS],
            max_entries,
            generation: 0,
        }
    }

    pub(crate) fn entries(&self) -> &[Entry<R>] {
        &self.entries
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &R> {
        self.entries.iter().map(|entry| &entry.record)
    }

    pub(crate) fn get(&self, key: u64) -> Option<&R> {
        self.entry(key).map(|entry| &entry.record)
    }

    pub(crate) fn entry(&self, key: u64) -> Option<&Entry<R>> {
        let index = self.position(key).ok()?;
        self.entries.get(index)
    }

    pub(crate) fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    pub(crate) fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Entry<R>> {
        self.entries
            .iter()
            .filter(move |entry| bucket_of(entry.record.key()) == bucket)
    }

    /// Takes over `record` when it is newer than the one held.
    pub(crate) fn merge(&mut self, record: R, age: DurationMs, now: TimeMs) -> Merge {
        let is_tombstone = record.is_tombstone();
        if is_tombstone && age >= TOMBSTONE_MS {
            return Merge::Refused;
        }
        let gone_since = is_tombstone.then(|| now - age);
        let hash = record.content_hash();
        let bucket = bucket_of(record.key());
        let entry = Entry {
            record,
            gone_since,
            hash,
        };
        match self.position(entry.record.key()) {
            Ok(index) => {
                let held = &self.entries[index];
                match entry.record.compare(&held.record) {
                    std::cmp::Ordering::Less => return Merge::Older,
                    std::cmp::Ordering::Equal => return Merge::Same,
                    std::cmp::Ordering::Greater => {}
                }
                self.buckets[bucket] ^= held.hash;
                self.entries[index] = entry;
            }
            Err(_) if self.entries.len() >= self.max_entries => return Merge::Refused,
            Err(index) => self.entries.insert(index, entry),
        }
        self.buckets[bucket] ^= hash;
        self.generation += 1;
        Merge::Newer
    }

    /// Drops tombstones that are no longer needed and returns them with their keys.
    pub(crate) fn expire(&mut self, now: TimeMs) -> Vec<(u64, R)> {
        let is_expired = |entry: &Entry<R>| {
            entry
                .gone_since
                .is_some_and(|since| now.since(since) >= TOMBSTONE_MS)
        };
        let mut expired = Vec::new();
        let buckets = &mut self.buckets;
        self.entries.retain(|entry| {
            if !is_expired(entry) {
                return true;
            }
            let key = entry.record.key();
            buckets[bucket_of(key)] ^= entry.hash;
            expired.push((key, entry.record.clone()));
            false
        });
        if !expired.is_empty() {
            self.generation += 1;
        }
        expired
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&key, |entry| entry.record.key())
    }
}

impl<R> Entry<R> {
    /// Returns the hash over the whole record.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }
}

/// Returns the bucket of the member with `key`.
pub(crate) fn bucket_of(key: u64) -> usize {
    (key % VIEW_BUCKETS as u64) as usize
}
