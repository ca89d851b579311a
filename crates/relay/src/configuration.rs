//! The operator's configuration in the platform store.
//!
//! A few balancers watch it; the others read it when one of these has a later version.

use std::sync::Arc;
use std::time::Duration;

use hawthorntide_opaque::Configuration;
use hawthorntide_platform::read_configuration;
use hawthorntide_store::{Collection, Freshness, ObjectBody, ObjectStore, StoreError};
use hawthorntide_types::{DurationMs, Version};
use tokio::time::sleep;

use crate::backoff::Backoff;

/// Longest wait of a watch; a connection that went silent is noticed a second after it.
const WATCH_WAIT_MS: DurationMs = DurationMs(2_500);

/// Pause after a change, so that changes in quick succession cost few calls.
const SETTLE_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two looks at what the gossip tells of later versions.
const GOSSIP_LOOK: Duration = Duration::from_millis(50);

/// What the store tells of the configuration.
#[derive(Clone, Debug)]
pub(crate) enum ConfigurationNews {
    /// There is a version, which may be known already.
    Read(Configuration),
    /// The version that was read last is the latest, and a watch goes on from it.
    Current,
    /// The store did not answer, or this process stopped watching.
    Unwatched,
}

/// What a balancer does about the configuration at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfigurationTask {
    /// Watches the store.
    Watch,
    /// Reads the store once.
    Read,
    /// Leaves it to other balancers.
    Rest,
}

/// Follows the configuration; `task` tells what to do next, `take` gets what the store tells.
pub(crate) async fn follow(
    store: Arc<ObjectStore>,
    task: impl Fn() -> ConfigurationTask,
    mut take: impl FnMut(ConfigurationNews),
) {
    let mut revision = None;
    let mut backoff = Backoff::default();
    loop {
        let result = match (task(), revision) {
            (ConfigurationTask::Rest, Some(_)) => {
                take(ConfigurationNews::Unwatched);
                rest(&task).await;
                continue;
            }
            (ConfigurationTask::Watch, Some(from)) => watch(&store, from, &mut take).await,
            (ConfigurationTask::Read, _) | (_, None) => list(&store, &mut take).await,
        };
        match result {
            Ok(reached) => {
                revision = Some(reached);
                backoff.reset();
            }
            Err(StoreError::RevisionGone) => {
                log::info!("relay: History of the store gone, the configuration is read again.");
                revision = None;
            }
            Err(error) => {
                log::warn!("relay: Configuration not read: {error}.");
                take(ConfigurationNews::Unwatched);
                backoff.pause().await;
            }
        }
    }
}

/// Waits until there is something to do.
async fn rest(task: &impl Fn() -> ConfigurationTask) {
    while task() == ConfigurationTask::Rest {
        sleep(GOSSIP_LOOK).await;
    }
}

async fn list(
    store: &ObjectStore,
    take: &mut impl FnMut(ConfigurationNews),
) -> Result<Version, StoreError> {
    let page = store
        .list_collection(Collection::Configuration, Freshness::Current)
        .await?;
    read(&page.objects, take);
    take(ConfigurationNews::Current);
    Ok(page.revision)
}

async fn watch(
    store: &ObjectStore,
    from: Version,
    take: &mut impl FnMut(ConfigurationNews),
) -> Result<Version, StoreError> {
    let page = store
        .watch_collection(Collection::Configuration, from, WATCH_WAIT_MS)
        .await?;
    read(&page.changes, take);
    take(ConfigurationNews::Current);
    if !page.changes.is_empty() {
        sleep(SETTLE_PAUSE).await;
    }
    Ok(page.revision)
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
