//! Directory of processes in the platform store.
//!
//! Each process writes its entry and then lists the directory again, so that of two processes that
//! start at the same time, at least one sees the other. When the store comes back from a copy, each
//! process writes its entry again: the copy may lack it.

use std::sync::Arc;
use std::time::Duration;

use hawthorntide_opaque::Peer;
use hawthorntide_store::{
    Collection, CollectionListing, EraReceiver, Freshness, ObjectKey, ObjectKind, ObjectStore,
    Removal, SkippedObject, StoredObject, WriteOutcome,
};
use hawthorntide_types::{StoreEra, Version};
use tokio::time::{Instant, sleep, timeout_at};

use crate::backoff::{Backoff, StoreRecovery};

/// Minimum time between two listings of the directory. Listings repair the effects of lost gossip.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Listings per second of all processes together, limited so that the load on the store does not
/// grow with the deployment.
const REFRESHES_PER_SECOND: u32 = 8;

/// Registrations per second of all processes together after the store came back from a copy: a quarter
/// of the writes that the smallest store accepts.
const REGISTRATIONS_PER_SECOND: u32 = 100;

#[derive(Clone, Debug)]
pub(crate) enum DirectoryEvent {
    /// The directory contains the entry of this process.
    Registered {
        /// The entry existed before the process started.
        was_known: bool,
    },
    /// The directory was listed.
    Listed {
        peers: Vec<Peer>,
        /// All entries were written in the present era of the store. Otherwise the store may have
        /// lost entries that are not written again yet.
        is_complete: bool,
    },
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
        let entry = local_peer.directory_entry();
        Some(Self {
            store,
            key: object_key(ObjectKind::Directory, local_peer)?,
            entry: serde_json::to_value(entry).ok()?,
            recovery,
        })
    }

    /// Lists the directory periodically. Registers the process after the first listing, unless its
    /// entry exists, and whenever the entry is missing or of another era of the store.
    pub(crate) async fn run(self, mut on_event: impl FnMut(DirectoryEvent)) {
        let mut is_registered = false;
        let mut freshness = Freshness::Current;
        let mut backoff = Backoff::new(self.recovery.clone());
        let mut era = self.store.watch_era();
        loop {
            let listed = self.store.list_collection(Collection::Own, freshness).await;
            let listing = match listed {
                Ok(listing) => listing,
                Err(error) => {
                    log::warn!("relay: Directory not read: {error}.");
                    backoff.pause().await;
                    continue;
                }
            };
            backoff.reset();
            let listed_era = listing.position.era();
            let is_whole = listing.is_complete;
            let entries = entries(listing);
            let local_entry = entries.iter().find(|entry| entry.key == self.key).cloned();
            let is_known = local_entry.as_ref().is_some_and(|it| self.is_current(it));
            let is_in_place = local_entry.as_ref().is_some_and(|it| self.is_in_place(it));
            let is_complete = is_whole && entries.iter().all(|it| it.version.era() == listed_era);
            let peers = self.peers(entries);
            let processes = peers.len();
            on_event(DirectoryEvent::Listed { peers, is_complete });
            // A stale listing may lack an entry that exists.
            if !is_in_place && freshness == Freshness::MayBeStale {
                freshness = Freshness::Current;
                continue;
            }
            if !is_in_place {
                self.register(local_entry).await;
            }
            if !is_registered {
                is_registered = true;
                log::info!(key:% = self.key, was_known = is_known; "relay: Directory entry in place.");
                on_event(DirectoryEvent::Registered {
                    was_known: is_known,
                });
                if !is_known {
                    continue;
                }
            }
            freshness = Freshness::MayBeStale;
            self.pause(processes, &mut era, listed_era).await;
        }
    }

    /// Waits for the next listing. Registers again after each change of the era, with a delay that
    /// spreads the registrations of all `processes`.
    async fn pause(&self, processes: usize, era: &mut EraReceiver, listed_era: StoreEra) {
        let end = Instant::now() + refresh_interval(processes);
        let mut known_era = listed_era;
        let longest = Duration::from_secs(processes as u64) / REGISTRATIONS_PER_SECOND;
        while let Ok(Some(changed)) = timeout_at(end, next_era(era, known_era)).await {
            known_era = changed;
            sleep(longest.mul_f64(rand::random())).await;
            match self.store.get(&self.key).await {
                Ok(Some(entry)) if self.is_in_place(&entry) => {}
                Ok(entry) => self.register(entry).await,
                // The next listing shows whether the entry is missing.
                Err(error) => {
                    log::warn!(key:% = self.key; "relay: Directory entry not read: {error}.");
                }
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
                WriteOutcome::Accepted(version) => {
                    log::info!(key:% = self.key, version:% = version; "relay: Directory entry written.");
                    return;
                }
                WriteOutcome::Conflict { theirs: current } => existing = current,
                WriteOutcome::NotAccepted | WriteOutcome::Open { .. } => {
                    log::warn!(key:% = self.key, code:% = outcome.code(); "relay: Cannot write the directory entry.");
                    backoff.pause().await;
                }
            }
            // The last write may have taken effect although its answer was lost.
            match self.store.get(&self.key).await {
                Ok(current) => existing = current,
                Err(error) => {
                    log::warn!(key:% = self.key; "relay: Directory entry not read: {error}.");
                    backoff.pause().await;
                }
            }
            if existing.as_ref().is_some_and(|it| self.is_in_place(it)) {
                return;
            }
        }
    }

    /// Decodes entries. Skips those that are malformed, or whose name is not that of their address.
    fn peers(&self, entries: Vec<StoredObject>) -> Vec<Peer> {
        let decode = |entry: StoredObject| match decode_entry(&entry) {
            Ok(peer) => Some(peer),
            Err(reason) => {
                let skipped = SkippedObject::new(entry.key.to_string(), reason);
                self.store.report_skipped(skipped);
                None
            }
        };
        entries.into_iter().filter_map(decode).collect()
    }

    /// Returns whether the object is the entry of this process.
    fn is_current(&self, object: &StoredObject) -> bool {
        !object.is_deleted && object.value == self.entry
    }

    /// Returns whether the object is the entry of this process and was written in the present era.
    fn is_in_place(&self, object: &StoredObject) -> bool {
        self.is_current(object) && object.version.era() == self.store.era()
    }
}

/// Waits for an era other than `known`.
async fn next_era(era: &mut EraReceiver, known: StoreEra) -> Option<StoreEra> {
    let changed = era.wait_for(|era| *era != Some(known)).await;
    changed.ok().and_then(|era| *era)
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

/// Decodes the directory entries of a listing.
fn entries(listing: CollectionListing) -> Vec<StoredObject> {
    let objects = listing.objects.into_iter().filter_map(StoredObject::read);
    objects
        .filter(|object| object.key.kind == ObjectKind::Directory && !object.is_deleted)
        .collect()
}

/// Decodes an entry; returns the reason if it cannot be used.
fn decode_entry(entry: &StoredObject) -> Result<Peer, String> {
    let peer: Peer =
        serde_json::from_value(entry.value.clone()).map_err(|error| error.to_string())?;
    if object_key(entry.key.kind, &peer).as_ref() != Some(&entry.key) {
        return Err(format!("the entry is of {}", peer.address));
    }
    Ok(peer)
}
