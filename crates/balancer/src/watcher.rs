//! Watcher slot of a balancer: drives the slot machine against the platform store and passes what
//! the store reports to the control plane.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorntide_configuration::{
    Object, SlotRead, SlotState, SlotWrite, WatcherAction, WatcherEvent, WatcherMachine,
    WatcherSlotValue,
};
use hawthorntide_platform::{
    ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject, WriteOutcome,
};
use hawthorntide_types::{DurationMs, TimeMs, Version};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::balancer::Shared;
use crate::control::ControlHandle;

/// Interval of the machine's ticks.
const TICK: Duration = Duration::from_secs(1);
/// Longest wait of one watch.
const WATCH_WAIT_MS: DurationMs = DurationMs(20_000);
/// Pause after a failed call of the watch.
const WATCH_RETRY: Duration = Duration::from_secs(1);
/// Answers of the store that wait for the machine.
const MAX_ANSWERS: usize = 16;
/// Time at a start without other balancers after which the directory in the store is read.
const DIRECTORY_AFTER: Duration = Duration::from_secs(3);
/// Time that a stopping balancer waits for the store to take its slot back.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);

/// Watcher slot with the store behind it.
#[derive(Debug)]
pub(crate) struct Watcher {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: Arc<ObjectStore>,
    pub(crate) control: ControlHandle,
    pub(crate) machine: WatcherMachine,
    /// Slots of the own failure domain, whose directory is read when no peer is known.
    pub(crate) slot_names: Vec<String>,
}

impl Watcher {
    /// Takes part in the watching until the balancer stops.
    pub(crate) async fn run(mut self) {
        let (answers, mut received) = mpsc::channel(MAX_ANSWERS);
        let mut calls = JoinSet::new();
        let mut watch: Option<CancellationToken> = None;
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let stop = self.shared.stop.clone();
        let mut directory = Box::pin(read_directory(
            Arc::clone(&self.store),
            self.control.clone(),
            self.slot_names.clone(),
        ));
        let mut is_directory_read = false;
        loop {
            let events = tokio::select! {
                () = stop.cancelled() => break,
                () = &mut directory, if !is_directory_read => {
                    is_directory_read = true;
                    Vec::new()
                }
                _ = ticks.tick() => self.membership_events().await,
                Some(event) = received.recv() => vec![event],
                Some(_) = calls.join_next() => Vec::new(),
            };
            for event in events {
                for action in self.step(event) {
                    self.act(action, &answers, &mut calls, &mut watch).await;
                }
            }
        }
        if let Some(watch) = watch.take() {
            watch.cancel();
        }
        calls.abort_all();
        let is_killed = self
            .shared
            .is_killed
            .load(std::sync::atomic::Ordering::Relaxed);
        if !is_killed {
            self.release().await;
        }
    }

    fn step(&mut self, event: WatcherEvent) -> Vec<WatcherAction> {
        let mut out = Vec::new();
        self.machine.handle(self.now(), event, &mut out);
        out
    }

    fn now(&self) -> TimeMs {
        self.shared.now()
    }

    async fn membership_events(&self) -> Vec<WatcherEvent> {
        let Some(membership) = self.control.watcher_view().await else {
            return Vec::new();
        };
        vec![
            WatcherEvent::Claims(membership.claims),
            WatcherEvent::Directory(membership.peers),
            WatcherEvent::Tick,
        ]
    }

    async fn act(
        &self,
        action: WatcherAction,
        answers: &mpsc::Sender<WatcherEvent>,
        calls: &mut JoinSet<()>,
        watch: &mut Option<CancellationToken>,
    ) {
        let (store, answers) = (Arc::clone(&self.store), answers.clone());
        match action {
            WatcherAction::Read { call, name } => {
                calls.spawn(async move {
                    let outcome = read_slot(&store, &name).await;
                    // The receiver is gone only when the balancer stops.
                    drop(answers.send(WatcherEvent::Read { call, outcome }).await);
                });
            }
            WatcherAction::Write {
                call,
                name,
                expected,
                value,
            } => {
                calls.spawn(async move {
                    let outcome = write_slot(&store, &name, expected, &value).await;
                    drop(answers.send(WatcherEvent::Written { call, outcome }).await);
                });
            }
            WatcherAction::Held { slot, .. } => {
                log::info!("balancer: Watcher slot {slot} is held.");
                let token = self.shared.stop.child_token();
                *watch = Some(token.clone());
                let control = self.control.clone();
                calls.spawn(async move {
                    tokio::select! {
                        () = token.cancelled() => {}
                        () = follow(&store, &control) => {}
                    }
                });
                self.control.announce_watcher_slot(slot).await;
            }
            WatcherAction::Lost { slot } => {
                log::warn!("balancer: Watcher slot {slot} is no longer held.");
                if let Some(watch) = watch.take() {
                    watch.cancel();
                }
                self.control.announce_watcher_slot(0).await;
            }
        }
    }

    /// Gives the slot up, so that the next balancer need not wait for the end of the lease.
    async fn release(&mut self) {
        for action in self.step(WatcherEvent::Release) {
            if let WatcherAction::Write {
                name,
                expected,
                value,
                ..
            } = action
            {
                let write = write_slot(&self.store, &name, expected, &value);
                if tokio::time::timeout(RELEASE_LIMIT, write).await.is_err() {
                    log::warn!("balancer: Watcher slot {name} lapses, the store did not answer.");
                }
            }
        }
    }
}

/// Finds other balancers through the directory when none of the settings responds.
async fn read_directory(store: Arc<ObjectStore>, control: ControlHandle, slot_names: Vec<String>) {
    tokio::time::sleep(DIRECTORY_AFTER).await;
    let is_alone = match control.view().await {
        Some(view) => view.balancers.len() <= 1,
        None => return,
    };
    if !is_alone {
        return;
    }
    for name in slot_names {
        if let SlotRead::Found(SlotState {
            value: Some(value), ..
        }) = read_slot(&store, &name).await
        {
            control.add_peers(value.peers).await;
        }
    }
}

async fn read_slot(store: &ObjectStore, name: &str) -> SlotRead {
    let Ok(key) = ObjectKey::new(ObjectKind::WatcherSlot, name) else {
        return SlotRead::Failed;
    };
    match store.get(&key).await {
        Ok(Some(stored)) if stored.is_deleted => SlotRead::Missing(stored.version),
        Ok(Some(stored)) => SlotRead::Found(SlotState {
            version: stored.version,
            value: serde_json::from_value(stored.value).ok(),
        }),
        Ok(None) => SlotRead::Missing(Version::NONE),
        Err(_) => SlotRead::Failed,
    }
}

async fn write_slot(
    store: &ObjectStore,
    name: &str,
    expected: Version,
    value: &WatcherSlotValue,
) -> SlotWrite {
    let (Ok(key), Ok(value)) = (
        ObjectKey::new(ObjectKind::WatcherSlot, name),
        serde_json::to_value(value),
    ) else {
        return SlotWrite::NotAccepted;
    };
    match store.put_if(&key, &value, expected).await {
        WriteOutcome::Accepted(version) => SlotWrite::Accepted(version),
        WriteOutcome::Conflict { .. } => SlotWrite::Conflict,
        WriteOutcome::NotAccepted => SlotWrite::NotAccepted,
        WriteOutcome::Open { .. } => SlotWrite::Open,
    }
}

/// Reads all objects once and then every change, and passes them to the control plane.
async fn follow(store: &ObjectStore, control: &ControlHandle) {
    let mut from = None;
    loop {
        let result = match from {
            None => store
                .list()
                .await
                .map(|listing| (listing.revision, listing.objects)),
            Some(from) => store
                .watch(from, WATCH_WAIT_MS)
                .await
                .map(|watched| (watched.revision, watched.objects)),
        };
        match result {
            Ok((revision, objects)) => {
                from = Some(revision);
                for object in objects {
                    apply(control, &object).await;
                }
            }
            Err(error) => {
                if error == StoreError::RevisionGone {
                    from = None;
                }
                log::warn!("platform: Watch failed: {error}.");
                tokio::time::sleep(WATCH_RETRY).await;
            }
        }
    }
}

async fn apply(control: &ControlHandle, stored: &StoredObject) {
    if !matches!(stored.key.kind, ObjectKind::Profile | ObjectKind::Service) {
        return;
    }
    control.apply_object(replicated(stored)).await;
}

/// Returns a stored object in the form in which balancers share it.
pub(crate) fn replicated(stored: &StoredObject) -> Object {
    let write_id = stored.write_id.as_ref();
    Object {
        kind: stored.key.kind.to_string(),
        name: stored.key.name.clone(),
        version: stored.version,
        is_deleted: stored.is_deleted,
        write_id: write_id.map_or_else(String::new, |id| id.as_str().to_owned()),
        value: if stored.is_deleted {
            Vec::new()
        } else {
            stored.value.to_string().into_bytes()
        },
    }
}

/// What the watcher needs to know of the members.
#[derive(Clone, Debug)]
pub(crate) struct WatcherView {
    pub(crate) claims: hawthorntide_configuration::WatcherClaims,
    pub(crate) peers: Vec<SocketAddr>,
}
