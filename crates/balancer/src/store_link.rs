//! Connection to the platform store: drives the watcher slot state machine and distributes changes.
//!
//! Only a balancer that holds a watcher slot of its failure domain watches the store; the others
//! receive changes by gossip. Calls to the store never delay packets or gossip.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorntide_configuration::{
    Object, SLOTS_PER_DOMAIN, SlotRead, SlotState, SlotWrite, WatcherAction, WatcherClaims,
    WatcherEvent, WatcherMachine, lost_objects,
};
use hawthorntide_membership::{BalancerMember, Health};
use hawthorntide_store::{
    Listing, ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject, WatchCursor, WatchStep,
    WriteId, WriteOutcome,
};
use hawthorntide_types::{DurationMs, FailureDomain, NodeId, Phase, TimeMs, Version};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::control::ControlHandle;
use crate::operations::{replica_object, stored_object};

/// Tick interval of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Long-poll time of a watch request. A silent connection is noticed after this time and the limit of
/// one attempt; a change must be in force four seconds after it was confirmed.
const WATCH_MS: DurationMs = DurationMs(2_000);
/// Longest delay before the first retry after a failed request.
const FIRST_RETRY_DELAY_MS: u64 = 250;
/// Delay before further retries; jitter adds up to the same time again.
const RETRY_DELAY_MS: u64 = 1000;
/// Longest wait for the store to answer when the slot is released at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time allowed at startup for finding another balancer before the configuration is read from the
/// store.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for other balancers at startup.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the queue of store answers for the state machine.
const MAX_ANSWERS: usize = 16;

/// Connection of one balancer to the platform store.
#[derive(Debug)]
pub struct StoreLink {
    node: NodeId,
    failure_domain: FailureDomain,
    control: ControlHandle,
    store: Arc<ObjectStore>,
    stop: CancellationToken,
}

/// State of the task that runs a `StoreLink`.
struct RunningLink {
    link: StoreLink,
    machine: WatcherMachine,
    started: Instant,
    answers: mpsc::Sender<WatcherEvent>,
    watch: Option<JoinHandle<()>>,
}

impl StoreLink {
    /// Creates the link of the balancer `node`; call `run` to start it. It ends when `stop` is
    /// cancelled.
    pub const fn new(
        node: NodeId,
        failure_domain: FailureDomain,
        control: ControlHandle,
        store: Arc<ObjectStore>,
        stop: CancellationToken,
    ) -> Self {
        Self {
            node,
            failure_domain,
            control,
            store,
            stop,
        }
    }

    /// Reads the configuration from the store if no other balancer can provide it, then competes
    /// for a watcher slot and watches the store while it holds one.
    pub async fn run(self) {
        if !self.has_peers().await
            && let Err(error) = list_and_apply(&self.store, &self.control).await
        {
            log::warn!("platform: Configuration not read at startup: {error}.");
        }
        let machine = WatcherMachine::new(self.node, self.failure_domain.clone(), rand::random());
        let (answers, received) = mpsc::channel(MAX_ANSWERS);
        let link = RunningLink {
            link: self,
            machine,
            started: Instant::now(),
            answers,
            watch: None,
        };
        link.run(received).await;
    }

    /// Waits up to `PEER_TIMEOUT` for another balancer. A balancer that finds one receives the
    /// configuration by gossip, so that a restart of the whole fleet does not make every balancer
    /// list the store.
    async fn has_peers(&self) -> bool {
        let end = Instant::now() + PEER_TIMEOUT;
        while Instant::now() < end {
            let view = self.control.view().await;
            if view.is_some_and(|view| view.balancers.len() > 1) {
                return true;
            }
            sleep(PEER_POLL_INTERVAL).await;
        }
        false
    }
}

impl RunningLink {
    async fn run(mut self, mut received: mpsc::Receiver<WatcherEvent>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let stop = self.link.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => self.tick().await,
                Some(event) = received.recv() => self.handle(event).await,
            }
        }
        let is_slot_held = self.watch.is_some();
        self.handle(WatcherEvent::Release).await;
        if is_slot_held {
            // The process must not end before the write that releases the slot has been sent.
            let answer = timeout(RELEASE_TIMEOUT, received.recv()).await;
            log::debug!(
                "platform: Release of the watcher slot was answered by the store: {}.",
                answer.is_ok()
            );
        }
    }

    async fn tick(&mut self) {
        if let Some(view) = self.link.control.view().await {
            let (claims, peers) = self.claims(&view.balancers);
            self.handle(WatcherEvent::Claims(claims)).await;
            self.handle(WatcherEvent::Directory(peers)).await;
        }
        self.handle(WatcherEvent::Tick).await;
    }

    fn claims(&self, balancers: &[BalancerMember]) -> (WatcherClaims, Vec<SocketAddr>) {
        let is_live =
            |it: &&BalancerMember| it.phase == Phase::Serving && it.stamp.health == Health::Alive;
        let live = || balancers.iter().filter(is_live);
        let in_domain = || live().filter(|it| it.failure_domain == self.link.failure_domain);
        let mut claims = WatcherClaims::default();
        for slot in 0..SLOTS_PER_DOMAIN {
            claims.is_claimed[slot as usize] =
                in_domain().any(|it| it.id != self.link.node && it.watcher_slot == slot + 1);
        }
        let candidates = in_domain().filter(|it| it.watcher_slot == 0 && it.id < self.link.node);
        claims.rank = candidates.count();
        (claims, live().map(|it| it.control_address).collect())
    }

    async fn handle(&mut self, event: WatcherEvent) {
        let now = TimeMs(self.started.elapsed().as_millis() as u64);
        let mut out = Vec::new();
        self.machine.handle(now, event, &mut out);
        for action in out {
            match action {
                WatcherAction::Read { call, name } => self.read(call, &name),
                WatcherAction::Write {
                    call,
                    name,
                    expected,
                    value,
                } => {
                    let value = serde_json::to_value(value).unwrap_or_default();
                    self.write(call, &name, expected, value);
                }
                WatcherAction::Held { slot, .. } => {
                    log::info!("platform: Watcher slot {slot} acquired.");
                    self.link.control.announce_watcher_slot(slot).await;
                    self.start_watch();
                }
                WatcherAction::Lost { slot } => {
                    log::info!("platform: Watcher slot {slot} lost.");
                    self.stop_watch();
                    self.link.control.announce_watcher_slot(0).await;
                }
            }
        }
    }

    fn read(&self, call: u64, name: &str) {
        let Ok(key) = ObjectKey::new(ObjectKind::WatcherSlot, name) else {
            return;
        };
        let (store, answers) = (Arc::clone(&self.link.store), self.answers.clone());
        tokio::spawn(async move {
            let outcome = match store.get(&key).await {
                Ok(Some(object)) => slot_read(object),
                Ok(None) => SlotRead::Missing(Version::NONE),
                Err(_) => SlotRead::Failed,
            };
            // Sending fails if the link has ended; the answer is then not needed.
            drop(answers.send(WatcherEvent::Read { call, outcome }).await);
        });
    }

    fn write(&self, call: u64, name: &str, expected: Version, value: serde_json::Value) {
        let Ok(key) = ObjectKey::new(ObjectKind::WatcherSlot, name) else {
            return;
        };
        let (store, answers) = (Arc::clone(&self.link.store), self.answers.clone());
        tokio::spawn(async move {
            let outcome = match store.put_if(&key, &value, expected).await {
                WriteOutcome::Accepted(version) => SlotWrite::Accepted(version),
                WriteOutcome::Conflict { theirs } => {
                    SlotWrite::Conflict(theirs.map_or(SlotRead::Missing(Version::NONE), slot_read))
                }
                WriteOutcome::NotAccepted => SlotWrite::NotAccepted,
                WriteOutcome::Open { .. } => SlotWrite::Unknown,
            };
            // Sending fails if the link has ended; the answer is then not needed.
            drop(answers.send(WatcherEvent::Written { call, outcome }).await);
        });
    }

    fn start_watch(&mut self) {
        self.stop_watch();
        let (store, control) = (Arc::clone(&self.link.store), self.link.control.clone());
        self.watch = Some(tokio::spawn(watch(store, control)));
    }

    fn stop_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }
}

impl Drop for RunningLink {
    fn drop(&mut self) {
        self.stop_watch();
    }
}

/// Watches the store until the task is aborted; lists it first and whenever the history of the
/// position is no longer available.
async fn watch(store: Arc<ObjectStore>, control: ControlHandle) {
    let mut cursor = WatchCursor::default();
    let mut era = store.watch_era();
    loop {
        let step = cursor.next_step(WATCH_MS);
        let result = match step {
            WatchStep::List => list_and_apply(&store, &control).await,
            WatchStep::Watch { from, wait_ms } => tokio::select! {
                result = watch_once(&store, &control, from, wait_ms) => result,
                // Another call of this process showed that the store came back from a copy.
                _ = era.wait_for(|era| *era != Some(from.era())) => Err(StoreError::RevisionGone),
            },
        };
        match (step, result) {
            (WatchStep::List, Ok(position)) => cursor.listed(position),
            (WatchStep::Watch { .. }, Ok(position)) => cursor.watched(position),
            (_, Err(error)) => {
                log::warn!("platform: Watch failed and will be retried: {error}.");
                let is_first_failure =
                    error != StoreError::RevisionGone && !cursor.is_interrupted();
                if cursor.failed(error) {
                    sleep(retry_delay(is_first_failure)).await;
                }
            }
        }
    }
}

/// Returns a random delay before a retry, so that balancers do not call at the same moment.
fn retry_delay(is_first_failure: bool) -> Duration {
    let delay_ms = if is_first_failure {
        rand::random_range(0..FIRST_RETRY_DELAY_MS)
    } else {
        rand::random_range(RETRY_DELAY_MS..2 * RETRY_DELAY_MS)
    };
    Duration::from_millis(delay_ms)
}

/// Lists all objects and applies them; returns the position from which a watch continues.
async fn list_and_apply(
    store: &ObjectStore,
    control: &ControlHandle,
) -> Result<Version, StoreError> {
    let listing = store.list().await?;
    write_lost_objects(store, control, &listing).await;
    apply(control, listing.objects).await;
    Ok(listing.position)
}

/// Writes the profiles and services again that the store lost when it came back from a copy: their
/// changes were confirmed and are in force. Of several balancers, one succeeds.
async fn write_lost_objects(store: &ObjectStore, control: &ControlHandle, listing: &Listing) {
    let replica = control.objects().await.unwrap_or_default();
    let listed = listing.objects.iter();
    let mut listed: Vec<(u64, Version)> = listed.map(|it| (replica_key(it), it.version)).collect();
    listed.sort();
    let stored = |object: &Object| {
        let index = listed.binary_search_by_key(&object.key(), |(key, _)| *key);
        index.map_or(Version::NONE, |index| listed[index].1)
    };
    for lost in lost_objects(&replica, listing.position.era(), stored) {
        let Some(object) = stored_object(&lost.object) else {
            continue;
        };
        let id = object.write_id.clone().unwrap_or_else(WriteId::random);
        let outcome = if object.is_deleted {
            store.delete_if_with_id(&object.key, lost.stored, id).await
        } else {
            store
                .put_if_with_id(&object.key, &object.value, lost.stored, id)
                .await
        };
        log::warn!(
            "platform: The store lost version {} of {}; written again: {}.",
            object.version,
            object.key,
            outcome.code()
        );
        if let Some(current) = outcome.current(object) {
            control.apply_object(replica_object(current)).await;
        }
    }
}

fn replica_key(stored: &StoredObject) -> u64 {
    Object::key_of(&stored.key.kind.to_string(), &stored.key.name)
}

async fn watch_once(
    store: &ObjectStore,
    control: &ControlHandle,
    from: Version,
    wait_ms: DurationMs,
) -> Result<Version, StoreError> {
    let watched = store.watch(from, wait_ms).await?;
    apply(control, watched.objects).await;
    Ok(watched.position)
}

/// Distributes profiles and services, and contacts the balancers listed in watcher slots.
async fn apply(control: &ControlHandle, objects: Vec<StoredObject>) {
    for object in objects {
        if matches!(object.key.kind, ObjectKind::Profile | ObjectKind::Service) {
            control.apply_object(replica_object(object)).await;
        } else if let SlotRead::Found(SlotState {
            value: Some(value), ..
        }) = slot_read(object)
        {
            control.add_peers(value.peers).await;
        }
    }
}

fn slot_read(object: StoredObject) -> SlotRead {
    if object.is_deleted {
        return SlotRead::Missing(object.version);
    }
    SlotRead::Found(SlotState {
        version: object.version,
        value: serde_json::from_value(object.value).ok(),
    })
}
