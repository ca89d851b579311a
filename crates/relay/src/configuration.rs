//! Watch of the operator's configuration in the platform store.

use std::sync::Arc;
use std::time::Duration;

use hawthorntide_opaque::Configuration;
use hawthorntide_platform::read_configuration;
use hawthorntide_store::{Collection, Freshness, ObjectBody, ObjectStore, StoreError};
use hawthorntide_types::{DurationMs, Version};
use rand::Rng;
use tokio::time::sleep;

/// Longest wait of a watch; a connection that went silent is noticed a second after it.
const WATCH_WAIT_MS: DurationMs = DurationMs(2_500);

/// Pause after a change, so that changes in quick succession cost few calls.
const SETTLE_PAUSE: Duration = Duration::from_millis(300);

/// Pause before a failed call is tried again.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 100..300;

/// What the store tells of the configuration.
#[derive(Clone, Debug)]
pub(crate) enum ConfigurationNews {
    /// There is a version, which may be known already.
    Read(Configuration),
    /// The version that was read last is the latest.
    Current,
}

/// Tells `take` each version, and when the latest one was confirmed.
pub(crate) async fn follow(store: Arc<ObjectStore>, mut take: impl FnMut(ConfigurationNews)) {
    loop {
        let listed = store
            .list_collection(Collection::Configuration, Freshness::Current)
            .await;
        match listed {
            Ok(page) => {
                read(&page.objects, &mut take);
                take(ConfigurationNews::Current);
                watch(&store, page.revision, &mut take).await;
            }
            Err(error) => {
                log::warn!("relay: Configuration not read: {error}.");
                pause().await;
            }
        }
    }
}

/// Watches until the history of the store no longer reaches back to what was read.
async fn watch(
    store: &ObjectStore,
    mut revision: Version,
    take: &mut impl FnMut(ConfigurationNews),
) {
    let mut is_connected = true;
    loop {
        let watched = store.watch_collection(Collection::Configuration, revision, WATCH_WAIT_MS);
        match watched.await {
            Ok(page) => {
                if !is_connected {
                    log::info!(revision:% = page.revision; "relay: Store regained.");
                    is_connected = true;
                }
                revision = page.revision;
                read(&page.changes, take);
                take(ConfigurationNews::Current);
                if !page.changes.is_empty() {
                    sleep(SETTLE_PAUSE).await;
                }
            }
            Err(StoreError::RevisionGone) => {
                log::info!(revision:% = revision; "relay: History of the store gone, reading again.");
                return;
            }
            Err(error) => {
                if is_connected {
                    log::warn!(revision:% = revision; "relay: Store lost: {error}.");
                    is_connected = false;
                }
                pause().await;
            }
        }
    }
}

fn read(objects: &[ObjectBody], take: &mut impl FnMut(ConfigurationNews)) {
    // Only the latest version counts; the others of a quick succession need no reading.
    let Some(latest) = objects.last() else {
        return;
    };
    match read_configuration(&latest.value) {
        Ok(configuration) => take(ConfigurationNews::Read(configuration)),
        Err(error) => log::error!("relay: Configuration refused: {error}."),
    }
}

async fn pause() {
    let pause_ms = rand::rng().random_range(RETRY_PAUSE_MS);
    sleep(Duration::from_millis(pause_ms)).await;
}
