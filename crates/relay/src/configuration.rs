//! The operator's configuration in the platform store.
//!
//! A few balancers watch it; the others ask one of these that has a later version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorntide_opaque::{Configuration, ConfigurationTask};
use hawthorntide_platform::parse_configuration;
use hawthorntide_store::{Collection, Freshness, ObjectBody, ObjectStore, StoreError};
use hawthorntide_types::{DurationMs, Version};
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::exchange::ConfigurationClient;

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

/// Follows the configuration; `task` tells what to do next, `take` gets what the store tells.
pub(crate) async fn follow(
    store: Arc<ObjectStore>,
    peers: ConfigurationClient,
    task: impl Fn() -> ConfigurationTask,
    mut take: impl FnMut(ConfigurationNews),
) {
    let mut revision = None;
    let mut has_configuration = false;
    let mut backoff = Backoff::default();
    loop {
        let current_task = task();
        if current_task == ConfigurationTask::Idle && has_configuration {
            take(ConfigurationNews::Unwatched);
            rest(&task).await;
            continue;
        }
        if let ConfigurationTask::FetchFrom(peer) = current_task
            && ask(&peers, peer, &mut take).await
        {
            has_configuration = true;
            continue;
        }
        let result = match (current_task, revision) {
            (ConfigurationTask::Watch, Some(from)) => watch(&store, from, &mut take).await,
            _ => list(&store, &mut take).await,
        };
        match result {
            Ok(reached) => {
                revision = Some(reached);
                has_configuration = true;
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

/// Asks another balancer; returns whether it answered.
async fn ask(
    peers: &ConfigurationClient,
    peer: SocketAddr,
    take: &mut impl FnMut(ConfigurationNews),
) -> bool {
    match peers.fetch(peer).await {
        Ok(configuration) => {
            log::info!(peer:% = peer, version:% = configuration.version; "relay: Configuration got from another balancer.");
            take(ConfigurationNews::Read(configuration));
            take(ConfigurationNews::Unwatched);
            // A peer that went back to an earlier version, since it restarted, is not asked at once.
            sleep(GOSSIP_LOOK).await;
            true
        }
        Err(error) => {
            log::warn!(peer:% = peer; "relay: Configuration not got from another balancer: {error}.");
            false
        }
    }
}

/// Waits until there is something to do.
async fn rest(task: &impl Fn() -> ConfigurationTask) {
    while task() == ConfigurationTask::Idle {
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
    match parse_configuration(&latest.value) {
        Ok(configuration) => take(ConfigurationNews::Read(configuration)),
        Err(error) => log::error!("relay: Configuration refused: {error}."),
    }
}
