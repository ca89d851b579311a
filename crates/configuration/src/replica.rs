//! In-memory replica of the platform store's objects, which balancers and agents exchange by gossip.
//!
//! The highest version of an object wins, and a delete leaves a tombstone with a version of its own, so
//! replicas converge in any order of arrival.

use std::sync::Arc;

use hawthorntide_types::{ProfileName, Service, ServiceId, ServiceName, Version};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// [`Object::kind`] of service definitions.
pub const SERVICE_KIND: &str = "service";
/// [`Object::kind`] of profile definitions.
pub const PROFILE_KIND: &str = "profile";
/// Number of buckets by which replicas are compared.
pub const REPLICA_BUCKETS: usize = 64;
/// Largest value that the platform store accepts.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest kind, name and write identifier.
const MAX_TEXT_BYTES: usize = 128;
/// Limits memory use. More than three times the number of objects at the design size.
const MAX_OBJECTS: usize = 16_384;
/// Number of changes of one day at the design size. Tombstones with the lowest versions are evicted
/// first, so that every balancer evicts the same ones.
const MAX_TOMBSTONES: usize = 4_096;

/// One version of an object of the platform store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Such as [`SERVICE_KIND`].
    pub kind: String,
    /// Unique within the kind.
    pub name: String,
    /// Assigned by the store to each write; higher is newer.
    pub version: Version,
    /// Whether this version is a tombstone.
    pub is_deleted: bool,
    /// Chosen by the writer, to recognize its own write.
    pub write_id: String,
    /// JSON text; empty for a tombstone.
    pub value: Vec<u8>,
}

impl Object {
    /// Hash of kind and name that identifies an object in digests.
    pub fn key_of(kind: &str, name: &str) -> u64 {
        xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(kind.as_bytes(), 0))
    }

    pub fn key(&self) -> u64 {
        Self::key_of(&self.kind, &self.name)
    }

    pub fn is_within_limits(&self) -> bool {
        let texts = [&self.kind, &self.name, &self.write_id];
        texts.iter().all(|text| text.len() <= MAX_TEXT_BYTES)
            && !self.kind.is_empty()
            && !self.name.is_empty()
            && self.value.len() <= MAX_VALUE_BYTES
    }
}

/// Result of [`Replica::apply`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The object was newer than the stored version and replaced it.
    Applied,
    /// The same or a newer version is stored, or the tombstone is older than evicted ones.
    Stale,
    /// The object is invalid or too large, its key collides with another object's, or the replica is
    /// full.
    Refused,
}

#[derive(Clone, Debug)]
struct Entry {
    key: u64,
    object: Arc<Object>,
}

#[derive(Clone, Debug)]
struct ServiceEntry {
    id: ServiceId,
    name: ServiceName,
    profile: ProfileName,
}

/// Highest known version of each object, tombstones included.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Parsed service definitions, sorted by identifier.
    services: Vec<ServiceEntry>,
    /// XOR of [`state_hash`] over the objects of each bucket.
    buckets: [u64; REPLICA_BUCKETS],
    tombstones: usize,
    /// Highest version among evicted tombstones; older tombstones are not stored again.
    highest_evicted: Version,
}

impl Default for Replica {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            services: Vec::new(),
            buckets: [0; REPLICA_BUCKETS],
            tombstones: 0,
            highest_evicted: Version::NONE,
        }
    }
}

impl Replica {
    /// Stores `object` if its version is higher than the stored one.
    pub fn apply(&mut self, object: Object) -> ApplyOutcome {
        if !object.is_within_limits() || object.version == Version::NONE {
            return ApplyOutcome::Refused;
        }
        let key = object.key();
        match self.position(key) {
            Ok(index) => {
                let held = &self.entries[index].object;
                if held.version >= object.version {
                    return ApplyOutcome::Stale;
                }
                if (&held.kind, &held.name) != (&object.kind, &object.name) {
                    return ApplyOutcome::Refused;
                }
                let held = Arc::clone(held);
                self.remove_from_indexes(&held);
                self.entries[index].object = Arc::new(object);
                self.add_to_indexes(index);
            }
            Err(index) => {
                if object.is_deleted && object.version <= self.highest_evicted {
                    return ApplyOutcome::Stale;
                }
                if self.entries.len() >= MAX_OBJECTS {
                    return ApplyOutcome::Refused;
                }
                let object = Arc::new(object);
                self.entries.insert(index, Entry { key, object });
                self.add_to_indexes(index);
            }
        }
        self.evict_tombstones();
        ApplyOutcome::Applied
    }

    /// Returns the object or its tombstone.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Arc<Object>> {
        self.by_key(Object::key_of(kind, name))
    }

    /// Returns the object or tombstone with the key of [`Object::key`].
    pub fn by_key(&self, key: u64) -> Option<&Arc<Object>> {
        let index = self.position(key).ok()?;
        self.entries.get(index).map(|entry| &entry.object)
    }

    /// Returns the stored version, or [`Version::NONE`].
    pub fn version(&self, kind: &str, name: &str) -> Version {
        self.get(kind, name)
            .map_or(Version::NONE, |object| object.version)
    }

    /// Iterates over all objects, tombstones included.
    pub fn objects(&self) -> impl Iterator<Item = &Arc<Object>> {
        self.entries.iter().map(|entry| &entry.object)
    }

    /// Iterates over the objects that are not tombstones.
    pub fn live(&self) -> impl Iterator<Item = &Arc<Object>> {
        self.objects().filter(|object| !object.is_deleted)
    }

    pub fn highest_version(&self) -> Version {
        self.objects()
            .map(|object| object.version)
            .max()
            .unwrap_or(Version::NONE)
    }

    /// Returns the objects that an agent of `service` needs: its definition and its profile.
    pub fn of_service(&self, service: ServiceId) -> Vec<Arc<Object>> {
        let Ok(index) = self
            .services
            .binary_search_by_key(&service, |entry| entry.id)
        else {
            return Vec::new();
        };
        let entry = &self.services[index];
        let objects = [
            self.get(SERVICE_KIND, entry.name.as_str()),
            self.get(PROFILE_KIND, entry.profile.as_str()),
        ];
        objects.into_iter().flatten().map(Arc::clone).collect()
    }

    /// Hash of each bucket over keys and versions; replicas with equal hashes hold the same objects.
    pub fn buckets(&self) -> &[u64; REPLICA_BUCKETS] {
        &self.buckets
    }

    pub fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Arc<Object>> {
        self.entries
            .iter()
            .filter(move |entry| bucket_of(entry.key) == bucket)
            .map(|entry| &entry.object)
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }

    /// Adds the entry at `index` to the bucket hashes, the tombstone count and the services.
    fn add_to_indexes(&mut self, index: usize) {
        let object = Arc::clone(&self.entries[index].object);
        self.buckets[bucket_of(object.key())] ^= state_hash(&object);
        if object.is_deleted {
            self.tombstones += 1;
            if object.kind == SERVICE_KIND {
                self.services
                    .retain(|entry| entry.name.as_str() != object.name);
            }
            return;
        }
        if object.kind != SERVICE_KIND {
            return;
        }
        // A definition that cannot be read, as another program may write it, replaces none.
        let Ok(service) = serde_json::from_slice::<Service>(&object.value) else {
            return;
        };
        if service.name.as_str() != object.name {
            return;
        }
        let entry = ServiceEntry {
            id: service.id(),
            name: service.name,
            profile: service.profile,
        };
        match self
            .services
            .binary_search_by_key(&entry.id, |held| held.id)
        {
            Ok(index) => self.services[index] = entry,
            Err(index) => self.services.insert(index, entry),
        }
    }

    /// Reverts [`Self::add_to_indexes`] for `object`, but for the services, which a later object replaces.
    fn remove_from_indexes(&mut self, object: &Object) {
        self.buckets[bucket_of(object.key())] ^= state_hash(object);
        if object.is_deleted {
            self.tombstones -= 1;
        }
    }

    fn evict_tombstones(&mut self) {
        while self.tombstones > MAX_TOMBSTONES {
            let oldest = self
                .entries
                .iter()
                .filter(|entry| entry.object.is_deleted)
                .min_by_key(|entry| entry.object.version)
                .map(|entry| entry.key);
            let Some(Ok(index)) = oldest.map(|key| self.position(key)) else {
                return;
            };
            let entry = self.entries.remove(index);
            self.remove_from_indexes(&entry.object);
            self.highest_evicted = self.highest_evicted.max(entry.object.version);
        }
    }
}

/// Bucket of the object with `key`, below [`REPLICA_BUCKETS`].
pub fn bucket_of(key: u64) -> usize {
    (key % REPLICA_BUCKETS as u64) as usize
}

/// Hash of an object's key, version and deletion mark.
pub fn state_hash(object: &Object) -> u64 {
    let state = object.version.get() << 1 | u64::from(object.is_deleted);
    xxh3_64_with_seed(&state.to_le_bytes(), object.key())
}
