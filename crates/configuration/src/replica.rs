//! Replica of the platform store's objects: higher versions win, deletes are versioned tombstones.

use std::sync::Arc;

use hawthorntide_types::{ProfileName, Service, ServiceId, ServiceName, Version};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Kind of the objects that define services.
pub const SERVICE_KIND: &str = "service";
/// Kind of the objects that define profiles.
pub const PROFILE_KIND: &str = "profile";
/// Number of bucket hashes of a replica.
pub const REPLICA_BUCKETS: usize = 64;
/// Largest value of an object; the platform store accepts no larger one.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

const MAX_TEXT_BYTES: usize = 128;
/// Objects that a replica holds at most; more than three times the design size.
const MAX_OBJECTS: usize = 16_384;
/// Deletes that a replica remembers, a day of changes at the design size. The lowest versions are
/// forgotten first, which is the same choice on every balancer.
const MAX_TOMBSTONES: usize = 4_096;

/// Object of the platform store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Kind, such as [`SERVICE_KIND`].
    pub kind: String,
    /// Name within the kind.
    pub name: String,
    /// Version that the store gave to the write.
    pub version: Version,
    /// Whether the object was deleted in this version.
    pub is_deleted: bool,
    /// Identifier of the write.
    pub write_id: String,
    /// JSON text; empty for a deleted object.
    pub value: Vec<u8>,
}

impl Object {
    /// Returns the key under which digests name an object.
    pub fn key_of(kind: &str, name: &str) -> u64 {
        xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(kind.as_bytes(), 0))
    }

    /// Returns the key of this object.
    pub fn key(&self) -> u64 {
        Self::key_of(&self.kind, &self.name)
    }

    /// Returns whether sizes are within the limits.
    pub fn is_bounded(&self) -> bool {
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
    /// The object is newer than what was held and has replaced it.
    Applied,
    /// The same or a newer version is held.
    Stale,
    /// The object is larger than accepted, or the replica is full.
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

/// Objects by kind and name in their highest known versions.
#[derive(Clone, Debug)]
pub struct Replica {
    /// In ascending order of keys.
    entries: Vec<Entry>,
    /// In ascending order of identifiers.
    services: Vec<ServiceEntry>,
    buckets: [u64; REPLICA_BUCKETS],
    tombstones: usize,
    /// Highest version among the forgotten tombstones.
    forgotten: Version,
}

impl Default for Replica {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            services: Vec::new(),
            buckets: [0; REPLICA_BUCKETS],
            tombstones: 0,
            forgotten: Version::NONE,
        }
    }
}

impl Replica {
    /// Takes over `object` when its version is higher than the one held.
    pub fn apply(&mut self, object: Object) -> ApplyOutcome {
        if !object.is_bounded() || object.version == Version::NONE {
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
                self.unlink(&held);
                self.entries[index].object = Arc::new(object);
                self.link(index);
            }
            Err(index) => {
                if object.is_deleted && object.version <= self.forgotten {
                    return ApplyOutcome::Stale;
                }
                if self.entries.len() >= MAX_OBJECTS {
                    return ApplyOutcome::Refused;
                }
                let object = Arc::new(object);
                self.entries.insert(index, Entry { key, object });
                self.link(index);
            }
        }
        self.forget_tombstones();
        ApplyOutcome::Applied
    }

    /// Returns the object, also when it is deleted.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Arc<Object>> {
        self.by_key(Object::key_of(kind, name))
    }

    /// Returns the object with `key`, also when it is deleted.
    pub fn by_key(&self, key: u64) -> Option<&Arc<Object>> {
        let index = self.position(key).ok()?;
        self.entries.get(index).map(|entry| &entry.object)
    }

    /// Returns the version held, or [`Version::NONE`].
    pub fn version(&self, kind: &str, name: &str) -> Version {
        self.get(kind, name)
            .map_or(Version::NONE, |object| object.version)
    }

    /// Returns all objects, deleted ones included.
    pub fn objects(&self) -> impl Iterator<Item = &Arc<Object>> {
        self.entries.iter().map(|entry| &entry.object)
    }

    /// Returns the objects that are not deleted.
    pub fn live(&self) -> impl Iterator<Item = &Arc<Object>> {
        self.objects().filter(|object| !object.is_deleted)
    }

    /// Returns the highest version held of any object.
    pub fn highest_version(&self) -> Version {
        self.objects()
            .map(|object| object.version)
            .max()
            .unwrap_or(Version::NONE)
    }

    /// Returns the definition of a service and the profile that it follows.
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

    /// Returns the hashes over keys and versions by bucket.
    pub fn buckets(&self) -> &[u64; REPLICA_BUCKETS] {
        &self.buckets
    }

    /// Returns the objects of one bucket.
    pub fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Arc<Object>> {
        self.entries
            .iter()
            .filter(move |entry| bucket_of(entry.key) == bucket)
            .map(|entry| &entry.object)
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }

    fn link(&mut self, index: usize) {
        let object = Arc::clone(&self.entries[index].object);
        self.buckets[bucket_of(object.key())] ^= state_hash(&object);
        if object.is_deleted {
            self.tombstones += 1;
            return;
        }
        if object.kind != SERVICE_KIND {
            return;
        }
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

    fn unlink(&mut self, object: &Object) {
        self.buckets[bucket_of(object.key())] ^= state_hash(object);
        if object.is_deleted {
            self.tombstones -= 1;
        }
        if object.kind == SERVICE_KIND {
            self.services
                .retain(|entry| entry.name.as_str() != object.name);
        }
    }

    fn forget_tombstones(&mut self) {
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
            self.unlink(&entry.object);
            self.forgotten = self.forgotten.max(entry.object.version);
        }
    }
}

/// Returns the bucket of the object with `key`.
pub fn bucket_of(key: u64) -> usize {
    (key % REPLICA_BUCKETS as u64) as usize
}

/// Returns a hash over key and version of an object.
pub fn state_hash(object: &Object) -> u64 {
    let state = object.version.get() << 1 | u64::from(object.is_deleted);
    xxh3_64_with_seed(&state.to_le_bytes(), object.key())
}
