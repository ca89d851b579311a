//! Member tables with tombstones, and with bucket hashes for anti-entropy.

use hawthorntide_types::{DurationMs, TimeMs};

use crate::member::Record;

pub(crate) const VIEW_BUCKETS: usize = 128;

/// Retention of tombstones. Packets of open flows are forwarded to departed members for this long.
/// It is twice the longest network partition between regions that views must survive.
const TOMBSTONE_RETENTION_MS: DurationMs = DurationMs(2 * 60 * 60 * 1000);

/// Member record with the data that the table derives from it.
#[derive(Clone, Debug)]
pub(crate) struct Entry<R> {
    pub(crate) record: R,
    /// When the member left or was removed; `None` for live members.
    pub(crate) tombstone_since: Option<TimeMs>,
    hash: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MergeOutcome {
    /// The record was unknown or replaced an older one.
    Newer,
    /// The table already holds the same record.
    Same,
    /// The table holds a newer record.
    Older,
    /// The table is full, or the record is a tombstone older than the retention period.
    Refused,
}

/// Records of all members of one role, in ascending order of their keys.
#[derive(Clone, Debug)]
pub(crate) struct Table<R> {
    entries: Vec<Entry<R>>,
    buckets: Vec<u64>,
    max_entries: usize,
    /// Incremented on every change; invalidates caches that are derived from the table.
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

    pub(crate) fn entries_in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Entry<R>> {
        self.entries
            .iter()
            .filter(move |entry| bucket_of(entry.record.key()) == bucket)
    }

    /// Stores `record` if it is newer than the held one. `age` is the age of a tombstone.
    pub(crate) fn merge(&mut self, record: R, age: DurationMs, now: TimeMs) -> MergeOutcome {
        let is_tombstone = record.is_tombstone();
        if is_tombstone && age >= TOMBSTONE_RETENTION_MS {
            return MergeOutcome::Refused;
        }
        let tombstone_since = is_tombstone.then(|| now - age);
        let hash = record.content_hash();
        let bucket = bucket_of(record.key());
        let entry = Entry {
            record,
            tombstone_since,
            hash,
        };
        match self.position(entry.record.key()) {
            Ok(index) => {
                let held = &self.entries[index];
                match entry.record.compare(&held.record) {
                    std::cmp::Ordering::Less => return MergeOutcome::Older,
                    std::cmp::Ordering::Equal => return MergeOutcome::Same,
                    std::cmp::Ordering::Greater => {}
                }
                self.buckets[bucket] ^= held.hash;
                self.entries[index] = entry;
            }
            Err(_) if self.entries.len() >= self.max_entries => return MergeOutcome::Refused,
            Err(index) => self.entries.insert(index, entry),
        }
        self.buckets[bucket] ^= hash;
        self.generation += 1;
        MergeOutcome::Newer
    }

    /// Removes tombstones that are past the retention period and returns them with their keys.
    pub(crate) fn expire_tombstones(&mut self, now: TimeMs) -> Vec<(u64, R)> {
        let is_expired = |entry: &Entry<R>| {
            entry
                .tombstone_since
                .is_some_and(|since| now.since(since) >= TOMBSTONE_RETENTION_MS)
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
    /// Hash over the whole record.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }
}

pub(crate) fn bucket_of(key: u64) -> usize {
    (key % VIEW_BUCKETS as u64) as usize
}
