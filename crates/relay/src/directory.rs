//! Directory of processes in the platform store.
//!
//! Each process writes one entry, once, before it lists the others: of two processes that start at
//! the same moment at least one sees the other.

use std::sync::Arc;
use std::time::Duration;

use hawthorntide_opaque::Peer;
use hawthorntide_store::{
    Collection, Freshness, ListPage, ObjectKey, ObjectKind, ObjectStore, Removal, StoredObject,
    WriteOutcome,
};
use hawthorntide_types::{Incarnation, Version};
use tokio::time::sleep;

use crate::backoff::Backoff;

/// Least pause between two looks at the whole directory, which mend what gossip missed.
const REFRESH_PAUSE: Duration = Duration::from_secs(10);

/// Looks that all processes together take in a second, so that the store's calls do not grow with
/// the deployment.
const REFRESHES_PER_SECOND: u32 = 8;

/// What the directory tells.
#[derive(Clone, Debug)]
pub(crate) enum DirectoryNews {
    /// The directory has the entry of this process.
    Entered {
        /// The entry was there before the process started.
        was_known: bool,
    },
    /// Processes with an entry.
    Listed(Vec<Peer>),
}

/// Keeps the entry of a process and reads those of others.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    store: Arc<ObjectStore>,
    key: ObjectKey,
    /// Entry of this process: without what changes between its lives.
    entry: serde_json::Value,
}

impl Directory {
    pub(crate) fn new(store: Arc<ObjectStore>, own: &Peer) -> Option<Self> {
        let entry = Peer {
            incarnation: Incarnation(0),
            heartbeat_counter: 0,
            ..own.clone()
        };
        Some(Self {
            store,
            key: object_key(ObjectKind::Directory, own)?,
            entry: serde_json::to_value(entry).ok()?,
        })
    }

    /// Enters the process unless it is there already, and tells `take` what the directory has, from
    /// time to time.
    pub(crate) async fn run(self, mut take: impl FnMut(DirectoryNews)) {
        let mut is_entered = false;
        let mut freshness = Freshness::Current;
        let mut backoff = Backoff::default();
        loop {
            let listed = self.store.list_collection(Collection::Own, freshness).await;
            let objects = match listed {
                Ok(page) => objects(page),
                Err(error) => {
                    log::warn!("relay: Directory not read: {error}.");
                    backoff.pause().await;
                    continue;
                }
            };
            backoff.reset();
            let own = objects.iter().find(|object| object.key == self.key);
            let own = own.cloned();
            let peers = peers(objects);
            let refresh_pause = refresh_pause(peers.len());
            take(DirectoryNews::Listed(peers));
            if is_entered {
                freshness = Freshness::MayBeStale;
                sleep(refresh_pause).await;
                continue;
            }
            is_entered = true;
            let was_known = own.as_ref().is_some_and(|own| self.is_current(own));
            if !was_known {
                self.enter(own).await;
            }
            log::info!(key:% = self.key, was_known; "relay: Directory entry in place.");
            take(DirectoryNews::Entered { was_known });
            if was_known {
                freshness = Freshness::MayBeStale;
                sleep(refresh_pause).await;
            }
        }
    }

    /// Writes the entry on top of `theirs`, the object with its name.
    async fn enter(&self, mut theirs: Option<StoredObject>) {
        let mut backoff = Backoff::default();
        loop {
            let expected = theirs.as_ref().map_or(Version::NONE, |it| it.version);
            let outcome = self.store.put_if(&self.key, &self.entry, expected).await;
            match outcome {
                WriteOutcome::Accepted(_) => return,
                WriteOutcome::Conflict { theirs: current } => theirs = current,
                WriteOutcome::NotAccepted | WriteOutcome::Open { .. } => {
                    log::warn!(key:% = self.key, code:% = outcome.code(); "relay: Directory entry not written.");
                    backoff.pause().await;
                }
            }
            // The last write may have taken effect although its answer was lost.
            if let Ok(current) = self.store.get(&self.key).await {
                theirs = current;
            }
            if theirs.as_ref().is_some_and(|it| self.is_current(it)) {
                return;
            }
        }
    }

    fn is_current(&self, object: &StoredObject) -> bool {
        !object.is_deleted && object.value == self.entry
    }
}

/// Returns the pause of each of `processes` processes.
fn refresh_pause(processes: usize) -> Duration {
    let shared = Duration::from_secs(processes as u64) / REFRESHES_PER_SECOND;
    shared.max(REFRESH_PAUSE)
}

/// Names the object of a kind that belongs to the process.
pub(crate) fn object_key(kind: ObjectKind, own: &Peer) -> Option<ObjectKey> {
    let name = format!("{}.{}", own.address.ip(), own.address.port());
    ObjectKey::new(kind, name).ok()
}

/// Removes an object of a process that does not come back.
pub(crate) async fn remove(store: &ObjectStore, key: &ObjectKey) {
    let object = match store.get(key).await {
        Ok(Some(object)) if !object.is_deleted => object,
        Ok(_) => return,
        Err(error) => {
            log::warn!(key:% = key; "relay: Object not removed: {error}.");
            return;
        }
    };
    match store.remove_if(key, object.version).await {
        Ok(Removal::Gone) => log::info!(key:% = key; "relay: Object removed."),
        Ok(Removal::Changed) => {
            log::warn!(key:% = key; "relay: Object kept, since it changed meanwhile.");
        }
        Err(error) => log::warn!(key:% = key; "relay: Object not removed: {error}."),
    }
}

fn objects(page: ListPage) -> Vec<StoredObject> {
    let objects = page.objects.into_iter();
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
