//! Keeps the operator's configuration in the platform store up to date in a balancer.
//!
//! A few balancers watch the store; the others fetch newer versions from one of these.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hawthorntide_opaque::{Configuration, ConfigurationTask};
use hawthorntide_platform::parse_configuration;
use hawthorntide_store::{
    Collection, CollectionChanges, CollectionListing, Freshness, ObjectBody, ObjectStore,
    StoreError, WatchCursor, WatchStep,
};
use hawthorntide_types::{DurationMs, Version};
use tokio::time::sleep;

use crate::backoff::{Backoff, StoreRecovery};
use crate::exchange::ConfigurationClient;

/// The store answers a watch after this time even if nothing changed. If the store falls silent for all
/// balancers that watch, others take over once these give up. Together with the limit of one attempt
/// and `DEBOUNCE_INTERVAL`, this must leave time to list the store within the three seconds in which
/// a change has to be in force.
const MAX_WATCH_WAIT_MS: DurationMs = DurationMs(1_000);

/// Time after which a balancer no longer counts as watching while it waits for an answer of the store: that
/// of a watch without an answer. A large answer may still be on its way over a slow link.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(MAX_WATCH_WAIT_MS.get() + 800);

/// Pause after a change, so that a burst of changes costs few calls.
const DEBOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Time in which a watch reports a change that another balancer has read: the pause after an earlier
/// change and a margin.
const MAX_WATCH_LAG: Duration = Duration::from_millis(500);

/// Replaces `MAX_WATCH_LAG` after a fetch that brought nothing newer, so that a wrong announcement of
/// another balancer causes few calls.
const RETRY_LAG: Duration = Duration::from_millis(2_500);

/// Interval at which the current task is polled; gossip changes it without notice.
const TASK_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
pub(crate) enum ConfigurationEvent {
    /// The store returned a configuration; it may not be newer than the one in force.
    Read(Configuration),
    /// Another balancer served its configuration; it may not be newer than the one in force.
    Fetched {
        peer: SocketAddr,
        configuration: Configuration,
    },
    /// Another balancer did not serve its configuration.
    FetchFailed(SocketAddr),
    /// The store confirmed that the last `Read` configuration is the latest one.
    Current,
    /// The store did not answer.
    StoreFailed,
    /// This process does not watch the store.
    NotWatching,
}

/// Keeps the configuration up to date: performs the current `task` in a loop and passes the results
/// to `on_event`. `newer_peer` returns a balancer with a newer configuration.
pub(crate) async fn follow_configuration(
    store: Arc<ObjectStore>,
    recovery: StoreRecovery,
    peers: ConfigurationClient,
    task: impl Fn() -> ConfigurationTask,
    newer_peer: impl Fn() -> Option<SocketAddr>,
    mut on_event: impl FnMut(ConfigurationEvent),
) {
    let mut cursor = WatchCursor::default();
    let mut has_configuration = false;
    let mut backoff = Backoff::new(recovery);
    let mut watch_lag = MAX_WATCH_LAG;
    let mut is_watching = false;
    loop {
        let current_task = task();
        if current_task == ConfigurationTask::Idle && has_configuration {
            is_watching = false;
            on_event(ConfigurationEvent::NotWatching);
            wait_while_idle(&task).await;
            backoff.forget_failures();
            continue;
        }
        if let ConfigurationTask::FetchFrom(peer) = current_task {
            has_configuration |= fetch_from_peer(&peers, peer, &mut on_event).await;
            is_watching = false;
            on_event(ConfigurationEvent::NotWatching);
            continue;
        }
        let step = cursor.next_step(MAX_WATCH_WAIT_MS);
        let mut call = pin!(call_store(&store, step));
        let result = tokio::select! {
            result = &mut call => result,
            peer = wait_for_missed_change(&newer_peer, watch_lag), if is_watching => {
                log::warn!(peer:% = peer; "relay: The watch missed a change of the configuration that another balancer has.");
                fetch_from_peer(&peers, peer, &mut on_event).await;
                cursor.restart();
                watch_lag = if newer_peer().is_some() { RETRY_LAG } else { MAX_WATCH_LAG };
                continue;
            }
            () = sleep(MAX_ANSWER_TIME), if is_watching => {
                log::info!("relay: The answer of the store takes long.");
                is_watching = false;
                on_event(ConfigurationEvent::NotWatching);
                tokio::select! {
                    result = &mut call => result,
                    () = wait_for_peer(&task) => continue,
                }
            }
            // The first call of a watch may wait on a silent connection.
            () = wait_for_peer(&task), if !is_watching => continue,
        };
        match result.and_then(|answer| report_answer(answer, &mut cursor, &mut on_event)) {
            Ok(has_changed) => {
                has_configuration = true;
                is_watching = true;
                backoff.reset();
                if has_changed {
                    sleep(DEBOUNCE_INTERVAL).await;
                }
            }
            Err(error) => {
                is_watching = false;
                report_failure(error, &mut on_event);
                if !cursor.failed(error) {
                    continue;
                }
                tokio::select! {
                    () = backoff.pause() => {}
                    () = wait_for_peer(&task) => {}
                }
            }
        }
    }
}

fn report_failure(error: StoreError, on_event: &mut impl FnMut(ConfigurationEvent)) {
    if error == StoreError::RevisionGone {
        log::info!("relay: History of the store gone; listing the configuration again.");
    } else {
        log::warn!("relay: Configuration not read: {error}.");
        on_event(ConfigurationEvent::StoreFailed);
    }
}

/// Fetches the configuration from another balancer; returns whether it answered.
async fn fetch_from_peer(
    peers: &ConfigurationClient,
    peer: SocketAddr,
    on_event: &mut impl FnMut(ConfigurationEvent),
) -> bool {
    match peers.fetch(peer).await {
        Ok(configuration) => {
            log::info!(peer:% = peer, version:% = configuration.version; "relay: Configuration fetched from another balancer.");
            on_event(ConfigurationEvent::Fetched {
                peer,
                configuration,
            });
            true
        }
        Err(error) => {
            log::warn!(peer:% = peer; "relay: Cannot fetch the configuration from another balancer: {error}.");
            on_event(ConfigurationEvent::FetchFailed(peer));
            false
        }
    }
}

async fn wait_while_idle(task: &impl Fn() -> ConfigurationTask) {
    while task() == ConfigurationTask::Idle {
        sleep(TASK_POLL_INTERVAL).await;
    }
}

/// Waits until another balancer has a newer configuration.
async fn wait_for_peer(task: &impl Fn() -> ConfigurationTask) {
    while !matches!(task(), ConfigurationTask::FetchFrom(_)) {
        sleep(TASK_POLL_INTERVAL).await;
    }
}

/// Waits until another balancer has had a newer configuration for `watch_lag`, in which the watch should
/// have reported it.
async fn wait_for_missed_change(
    newer_peer: &impl Fn() -> Option<SocketAddr>,
    watch_lag: Duration,
) -> SocketAddr {
    loop {
        while newer_peer().is_none() {
            sleep(TASK_POLL_INTERVAL).await;
        }
        sleep(watch_lag).await;
        if let Some(peer) = newer_peer() {
            return peer;
        }
    }
}

/// Answer of the store to a `WatchStep`.
#[derive(Debug)]
enum StoreAnswer {
    Listing(CollectionListing),
    Changes {
        from: Version,
        changes: CollectionChanges,
    },
}

async fn call_store(store: &ObjectStore, step: WatchStep) -> Result<StoreAnswer, StoreError> {
    let collection = Collection::Configuration;
    match step {
        WatchStep::List => {
            let listing = store.list_collection(collection, Freshness::Current);
            listing.await.map(StoreAnswer::Listing)
        }
        WatchStep::Watch { from, wait_ms } => {
            let changes = store.watch_collection(collection, from, wait_ms).await?;
            Ok(StoreAnswer::Changes { from, changes })
        }
    }
}

/// Reports an answer of the store and moves the cursor behind it; returns whether a watch reported changes.
fn report_answer(
    answer: StoreAnswer,
    cursor: &mut WatchCursor,
    on_event: &mut impl FnMut(ConfigurationEvent),
) -> Result<bool, StoreError> {
    match answer {
        StoreAnswer::Listing(listing) => {
            if listing.objects.is_empty() && !listing.is_complete {
                return Err(StoreError::Malformed);
            }
            report_latest(&listing.objects, on_event)?;
            on_event(ConfigurationEvent::Current);
            cursor.listed(listing.position);
            Ok(false)
        }
        StoreAnswer::Changes { from, changes } => {
            report_latest(&changes.changes, on_event)?;
            on_event(ConfigurationEvent::Current);
            if cursor.is_interrupted() {
                log::info!(from:% = from, reached:% = changes.position; "relay: Watch of the configuration resumed.");
            }
            cursor.watched(changes.position);
            Ok(!changes.changes.is_empty())
        }
    }
}

/// Reports the latest configuration. One that cannot be read is an error, so that it is read again and
/// no answer of the store confirms the routes in force meanwhile.
fn report_latest(
    objects: &[ObjectBody],
    on_event: &mut impl FnMut(ConfigurationEvent),
) -> Result<(), StoreError> {
    // Only the latest version matters; earlier ones of a burst are skipped.
    let Some(latest) = objects.last() else {
        return Ok(());
    };
    match parse_configuration(&latest.value) {
        Ok(configuration) => {
            on_event(ConfigurationEvent::Read(configuration));
            Ok(())
        }
        Err(error) => {
            log::error!(revision:% = latest.revision; "relay: Configuration unreadable: {error}.");
            Err(StoreError::Malformed)
        }
    }
}
