//! Watches the evacuated failure domains in the platform store.
//!
//! The balancers that watch the configuration watch these, too; all other processes hear of them by gossip.

use std::sync::Arc;
use std::time::Duration;

use hawthorntide_opaque::{Evacuations, MAX_EVACUATED_DOMAINS};
use hawthorntide_store::{
    Collection, Freshness, ObjectBody, ObjectStore, StoreError, WatchCursor, WatchStep,
};
use hawthorntide_types::{DurationMs, FailureDomain, Version};
use tokio::time::sleep;

use crate::backoff::{Backoff, StoreRecovery};

/// The store answers a watch after this time even if nothing changed. A connection that falls silent is
/// noticed within three seconds, which leaves two for the listing and gossip.
const MAX_WATCH_WAIT_MS: DurationMs = DurationMs(2_000);

/// Interval at which a balancer checks whether it watches the store.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Names in the store, as of the last answer.
#[derive(Clone, Debug, Default)]
struct EvacuationEntries {
    /// Sorted.
    names: Vec<String>,
}

/// Lists and watches the evacuated failure domains while `is_watching` returns true, and passes them to
/// `on_read` after each answer of the store.
pub(crate) async fn follow_evacuations(
    store: Arc<ObjectStore>,
    recovery: StoreRecovery,
    is_watching: impl Fn() -> bool,
    mut on_read: impl FnMut(Evacuations),
) {
    let mut cursor = WatchCursor::default();
    let mut entries = EvacuationEntries::default();
    let mut backoff = Backoff::new(recovery);
    loop {
        if !is_watching() {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        match read(&store, &mut cursor, &mut entries).await {
            Ok(Some(version)) => {
                backoff.reset();
                on_read(entries.evacuations(version));
            }
            Ok(None) => cursor.restart(),
            Err(error) => {
                log::warn!("relay: Evacuations not read: {error}.");
                if cursor.failed(error) {
                    backoff.pause().await;
                }
            }
        }
    }
}

/// Makes the next call; returns the version of the entries, or `None` if they have to be listed again.
async fn read(
    store: &ObjectStore,
    cursor: &mut WatchCursor,
    entries: &mut EvacuationEntries,
) -> Result<Option<Version>, StoreError> {
    let collection = Collection::Evacuations;
    match cursor.next_step(MAX_WATCH_WAIT_MS) {
        WatchStep::List => {
            let listing = store
                .list_collection(collection, Freshness::Current)
                .await?;
            if !listing.is_complete {
                return Err(StoreError::Malformed);
            }
            entries.replace(listing.objects);
            cursor.listed(listing.position);
            Ok(Some(listing.position))
        }
        WatchStep::Watch { from, wait_ms } => {
            let page = store.watch_collection(collection, from, wait_ms).await?;
            // A change that cannot be read may be one of a known entry, even its removal.
            if !page.is_complete || !entries.apply(page.changes, &page.removed) {
                return Ok(None);
            }
            cursor.watched(page.position);
            Ok(Some(page.position))
        }
    }
}

impl EvacuationEntries {
    fn replace(&mut self, objects: Vec<ObjectBody>) {
        self.names = objects.into_iter().map(|object| object.name).collect();
        self.names.sort_unstable();
        self.names.dedup();
    }

    /// Applies the changes of a watch; returns whether their order is known. It is not for an entry that
    /// was removed and created again.
    fn apply(&mut self, changes: Vec<ObjectBody>, removed: &[String]) -> bool {
        for object in changes {
            if removed.contains(&object.name) {
                return false;
            }
            if let Err(index) = self.names.binary_search(&object.name) {
                self.names.insert(index, object.name);
            }
        }
        self.names.retain(|name| !removed.contains(name));
        true
    }

    /// Returns the failure domains that the entries name; leaves out names that none can have.
    fn evacuations(&self, version: Version) -> Evacuations {
        let names = self.names.iter();
        let domains: Vec<FailureDomain> = names.filter_map(|name| name.parse().ok()).collect();
        let malformed = self.names.len() - domains.len();
        let (evacuations, left_out) = Evacuations::new(version, domains);
        if malformed + left_out > 0 {
            log::warn!(
                "relay: {} evacuations ignored: malformed names, or more than {MAX_EVACUATED_DOMAINS}.",
                malformed + left_out
            );
        }
        evacuations
    }
}
