//! Link to the platform store: drives the watcher slot machine and passes changes on.
//!
//! A balancer that holds a watcher slot of its failure domain watches the store; the others learn
//! of changes by gossip. The link never blocks packets or gossip.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorntide_configuration::{
    SLOTS_PER_DOMAIN, SlotRead, SlotState, SlotWrite, WatcherAction, WatcherClaims, WatcherEvent,
    WatcherMachine,
};
use hawthorntide_membership::{BalancerMember, Health};
use hawthorntide_store::{
    ObjectKey, ObjectKind, ObjectStore, StoreError, StoredObject, WriteOutcome,
};
use hawthorntide_types::{DurationMs, FailureDomain, NodeId, Phase, TimeMs, Version};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::control::ControlHandle;
use crate::operations::replica_object;

/// Interval of the machine's ticks.
const TICK: Duration = Duration::from_millis(500);
/// Wait of one watch.
const WATCH_MS: DurationMs = DurationMs(20_000);
/// Pause after a failed call, up to twice as long with its jitter.
const PAUSE_MS: u64 = 1000;
/// Longest wait for the store when the slot is given up.
const RELEASE_TIME: Duration = Duration::from_secs(1);
/// Time in which another balancer has to be found at the start before the store is read.
const PEER_TIME: Duration = Duration::from_secs(1);
/// Interval at which other balancers are looked for at the start.
const PEER_POLL: Duration = Duration::from_millis(100);
/// Answers of the store that wait for the machine.
const MAX_ANSWERS: usize = 16;

/// Link of one balancer to the platform store.
#[derive(Debug)]
pub struct StoreLink {
    node: NodeId,
    failure_domain: FailureDomain,
    control: ControlHandle,
    store: Arc<ObjectStore>,
    stop: CancellationToken,
}

/// State of a running link.
struct Run {
    link: StoreLink,
    machine: WatcherMachine,
    started: Instant,
    answers: mpsc::Sender<WatcherEvent>,
    watch: Option<JoinHandle<()>>,
}

impl StoreLink {
    /// Prepares the link of the balancer `node`; it ends when `stop` is cancelled.
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

    /// Reads the configuration if no other balancer can tell it, and then takes part in watching
    /// until the stop.
    pub async fn run(self) {
        if !self.has_peers().await
            && let Err(error) = load(&self.store, &self.control).await
        {
            log::warn!("platform: Configuration not read at the start: {error}.");
        }
        let machine = WatcherMachine::new(self.node, self.failure_domain.clone(), rand::random());
        let (answers, received) = mpsc::channel(MAX_ANSWERS);
        let run = Run {
            link: self,
            machine,
            started: Instant::now(),
            answers,
            watch: None,
        };
        run.run(received).await;
    }

    /// Waits a moment for other balancers. They tell the configuration, so that a restart of the
    /// whole fleet does not become as many lists of the store.
    async fn has_peers(&self) -> bool {
        let end = Instant::now() + PEER_TIME;
        while Instant::now() < end {
            let view = self.control.view().await;
            if view.is_some_and(|view| view.balancers.len() > 1) {
                return true;
            }
            sleep(PEER_POLL).await;
        }
        false
    }
}

impl Run {
    async fn run(mut self, mut received: mpsc::Receiver<WatcherEvent>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let stop = self.link.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => self.tick().await,
                Some(event) = received.recv() => self.handle(event).await,
            }
        }
        let was_held = self.watch.is_some();
        self.handle(WatcherEvent::Release).await;
        if was_held {
            // The write that gives the slot up must be on its way before the process ends.
            let answer = timeout(RELEASE_TIME, received.recv()).await;
            log::debug!("platform: Watcher slot given up: {}.", answer.is_ok());
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
        let own = || live().filter(|it| it.failure_domain == self.link.failure_domain);
        let mut claims = WatcherClaims::default();
        for slot in 0..SLOTS_PER_DOMAIN {
            claims.is_claimed[slot as usize] =
                own().any(|it| it.id != self.link.node && it.watcher_slot == slot + 1);
        }
        let rivals = own().filter(|it| it.watcher_slot == 0 && it.id < self.link.node);
        claims.rank = rivals.count();
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
                    log::info!("platform: Watcher slot {slot} is held.");
                    self.link.control.announce_watcher_slot(slot).await;
                    self.start_watch();
                }
                WatcherAction::Lost { slot } => {
                    log::info!("platform: Watcher slot {slot} is no longer held.");
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
            // The link may have ended.
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
                WriteOutcome::Conflict { .. } => SlotWrite::Conflict,
                WriteOutcome::NotAccepted => SlotWrite::NotAccepted,
                WriteOutcome::Open { .. } => SlotWrite::Unknown,
            };
            // The link may have ended.
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

impl Drop for Run {
    fn drop(&mut self) {
        self.stop_watch();
    }
}

/// Watches the store until the task is aborted.
async fn watch(store: Arc<ObjectStore>, control: ControlHandle) {
    let mut revision = None;
    loop {
        let step = match revision {
            None => load(&store, &control).await,
            Some(from) => follow(&store, &control, from).await,
        };
        match step {
            Ok(next) => revision = Some(next),
            Err(StoreError::RevisionGone) => revision = None,
            Err(error) => {
                log::warn!("platform: Watch interrupted: {error}.");
                let jitter = rand::random::<u64>() % PAUSE_MS;
                sleep(Duration::from_millis(PAUSE_MS + jitter)).await;
            }
        }
    }
}

/// Reads all objects; returns the revision from which a watch continues.
async fn load(store: &ObjectStore, control: &ControlHandle) -> Result<Version, StoreError> {
    let listing = store.list().await?;
    apply(control, listing.objects).await;
    Ok(listing.revision)
}

async fn follow(
    store: &ObjectStore,
    control: &ControlHandle,
    from: Version,
) -> Result<Version, StoreError> {
    let watched = store.watch(from, WATCH_MS).await?;
    apply(control, watched.objects).await;
    Ok(watched.revision)
}

/// Spreads profiles and services, and tries the balancers that watcher slots name.
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
