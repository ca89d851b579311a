//! Directory of processes in the platform store.
//!
//! Each process writes its entry once and then lists the directory again, so that of two processes
//! that start at the same time, at least one sees the other.

use std::sync::Arc;
use std::time::Duration;

use hawthorntide_opaque::Peer;
use hawthorntide_store::{
    Collection, CollectionListing, Freshness, ObjectKey, ObjectKind, ObjectStore, Removal,
    StoredObject, WriteOutcome,
};
use hawthorntide_types::{Incarnation, Version};
use tokio::time::sleep;

use crate::backoff::{Backoff, StoreRecovery};

/// Minimum time between two listings of the directory. Listings repair the effects of lost gossip.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Listings per second of all processes together, limited so that the load on the store does not
/// grow with the deployment.
const REFRESHES_PER_SECOND: u32 = 8;

#[derive(Clone, Debug)]
pub(crate) enum DirectoryEvent {
    /// The directory contains the entry of this process.
    Registered {
        /// The entry existed before the process started.
        was_known: bool,
    },
    /// Entries of all processes.
    Listed(Vec<Peer>),
}

/// Registers a process in the directory and lists the entries of all processes.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    store: Arc<ObjectStore>,
    key: ObjectKey,
    /// Entry of this process, without the fields that change with each incarnation.
    entry: serde_json::Value,
    recovery: StoreRecovery,
}

impl Directory {
    pub(crate) fn new(
        store: Arc<ObjectStore>,
        local_peer: &Peer,
        recovery: StoreRecovery,
    ) -> Option<Self> {
        let entry = Peer {
            incarnation: Incarnation(0),
            heartbeat_counter: 0,
            ..local_peer.clone()
        };
        Some(Self {
            store,
            key: object_key(ObjectKind::Directory, local_peer)?,
            entry: serde_json::to_value(entry).ok()?,
            recovery,
        })
    }

    /// Lists the directory periodically and registers the process after the first listing, unless its
    /// entry exists.
    pub(crate) async fn run(self, mut on_event: impl FnMut(DirectoryEvent)) {
        let mut is_registered = false;
        let mut freshness = Freshness::Current;
        let mut backoff = Backoff::new(self.recovery.clone());
        loop {
            let listed = self.store.list_collection(Collection::Own, freshness).await;
            let objects = match listed {
                Ok(listing) => objects(listing),
                Err(error) => {
                    log::warn!("relay: Directory not read: {error}.");
                    backoff.pause().await;
                    continue;
                }
            };
            backoff.reset();
            let local_object = objects.iter().find(|object| object.key == self.key);
            let local_object = local_object.cloned();
            let peers = peers(objects);
            let refresh_interval = refresh_interval(peers.len());
            on_event(DirectoryEvent::Listed(peers));
            if is_registered {
                freshness = Freshness::MayBeStale;
                sleep(refresh_interval).await;
                continue;
            }
            is_registered = true;
            let was_known = local_object
                .as_ref()
                .is_some_and(|object| self.is_current(object));
            if !was_known {
                self.register(local_object).await;
            }
            log::info!(key:% = self.key, was_known; "relay: Directory entry in place.");
            on_event(DirectoryEvent::Registered { was_known });
            if was_known {
                freshness = Freshness::MayBeStale;
                sleep(refresh_interval).await;
            }
        }
    }

    /// Writes the entry, replacing the `existing` object with the same key; retries until it is
    /// written.
    async fn register(&self, mut existing: Option<StoredObject>) {
        let mut backoff = Backoff::new(self.recovery.clone());
        loop {
            let expected = existing.as_ref().map_or(Version::NONE, |it| it.version);
            let outcome = self.store.put_if(&self.key, &self.entry, expected).await;
            match outcome {
                WriteOutcome::Accepted(_) => return,
                WriteOutcome::Conflict { theirs: current } => existing = current,
                WriteOutcome::NotAccepted | WriteOutcome::Open { .. } => {
                    log::warn!(key:% = self.key, code:% = outcome.code(); "relay: Cannot write the directory entry.");
                    backoff.pause().await;
                }
            }
            // The last write may have taken effect although its answer was lost.
            if let Ok(current) = self.store.get(&self.key).await {
                existing = current;
            }
            if existing.as_ref().is_some_and(|it| self.is_current(it)) {
                return;
            }
        }
    }

    fn is_current(&self, object: &StoredObject) -> bool {
        !object.is_deleted && object.value == self.entry
    }
}

/// Returns the time between two listings by one of `processes` processes.
fn refresh_interval(processes: usize) -> Duration {
    let shared = Duration::from_secs(processes as u64) / REFRESHES_PER_SECOND;
    shared.max(MIN_REFRESH_INTERVAL)
}

pub(crate) fn object_key(kind: ObjectKind, local_peer: &Peer) -> Option<ObjectKey> {
    let name = format!("{}.{}", local_peer.address.ip(), local_peer.address.port());
    ObjectKey::new(kind, name).ok()
}

/// Removes an object of a process that stops permanently.
pub(crate) async fn remove_object(store: &ObjectStore, key: &ObjectKey) {
    let object = match store.get(key).await {
        Ok(Some(object)) if !object.is_deleted => object,
        Ok(_) => return,
        Err(error) => {
            log::warn!(key:% = key; "relay: Cannot remove the object: {error}.");
            return;
        }
    };
    match store.remove_if(key, object.version).await {
        Ok(Removal::Gone) => log::info!(key:% = key; "relay: Object removed."),
        Ok(Removal::Changed) => {
            log::warn!(key:% = key; "relay: Object not removed: it has changed.");
        }
        Err(error) => log::warn!(key:% = key; "relay: Cannot remove the object: {error}."),
    }
}

fn objects(listing: CollectionListing) -> Vec<StoredObject> {
    let objects = listing.objects.into_iter();
    objects.filter_map(StoredObject::read).collect()
}

fn peers(objects: Vec<StoredObject>) -> Vec<Peer> {
    let entries = objects
        .into_iter()
        .filter(|object| object.key.kind == ObjectKind::Directory && !object.is_deleted);
    entries
        .filter_map(|object| serde_json::from_value(object.value).ok())
        .collect()
}
