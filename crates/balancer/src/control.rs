//! Control plane of a balancer: connects the gossip state machine with the control socket and
//! applies membership and configuration updates to the routing table.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use hawthorntide_configuration::{Object, PROFILE_KIND, SERVICE_KIND};
use hawthorntide_membership::{
    Alarm, BalancerMember, ConfirmReport, ControlChannel, Endpoint, GossipAction, GossipEvent,
    GossipMachine, Health, LocalChange, Member,
};
use hawthorntide_routing::EndpointRoute;
use hawthorntide_timeline::{Component, Event, EventKind};
use hawthorntide_types::{DurationMs, Phase, Service, ServiceId, ServiceName, Version};
use hawthorntide_wire::MAX_CONTROL_BYTES;
use hawthorntide_wire::control::ControlMessage;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use crate::balancer::Shared;
use crate::openings::ServiceOpeningLimits;

/// Tick interval of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the command queue of the control task.
pub(crate) const MAX_COMMANDS: usize = 256;
/// Minimum interval between log lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Command for the control task.
#[derive(Debug)]
pub(crate) enum Command {
    /// Announce a change of this balancer.
    Change(LocalChange),
    /// Ask every balancer which version of an object it has.
    Confirm {
        kind: String,
        name: String,
        version: Version,
        wait_ms: DurationMs,
        reply: oneshot::Sender<ConfirmReport>,
    },
    /// Contact further control addresses of balancers.
    AddPeers(Vec<SocketAddr>),
    /// Return the known members.
    View(oneshot::Sender<MembershipView>),
    /// Return the configuration objects that are not deleted.
    Objects(oneshot::Sender<Vec<Arc<Object>>>),
}

/// Members known to one balancer.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// Balancers, including those that have left.
    pub balancers: Vec<BalancerMember>,
    /// Endpoints, including those that have left.
    pub endpoints: Vec<Endpoint>,
    /// Whether removals are suspended because most members of the cluster, or of one failure
    /// domain, are unreachable at the same time.
    pub is_removal_suspended: bool,
}

/// Handle to the control plane of a running balancer.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    commands: mpsc::Sender<Command>,
}

impl ControlHandle {
    pub(crate) const fn new(commands: mpsc::Sender<Command>) -> Self {
        Self { commands }
    }

    /// Applies an object that the platform store has accepted and distributes it to all members.
    pub async fn apply_object(&self, object: Object) {
        self.send(Command::Change(LocalChange::Object(object)))
            .await;
    }

    /// Announces the watcher slot that this balancer holds; 0 for none.
    pub async fn announce_watcher_slot(&self, slot: u32) {
        self.send(Command::Change(LocalChange::WatcherSlot(slot)))
            .await;
    }

    /// Announces that this balancer is draining.
    pub async fn announce_drain(&self) {
        self.send(Command::Change(LocalChange::Drain)).await;
    }

    /// Waits until every balancer has `version` of the object or `wait_ms` has passed; `None` when
    /// this balancer has stopped.
    pub async fn confirm(
        &self,
        kind: impl Into<String>,
        name: impl Into<String>,
        version: Version,
        wait_ms: DurationMs,
    ) -> Option<ConfirmReport> {
        let (reply, report) = oneshot::channel();
        let command = Command::Confirm {
            kind: kind.into(),
            name: name.into(),
            version,
            wait_ms,
            reply,
        };
        self.send(command).await;
        report.await.ok()
    }

    /// Contacts further control addresses, at which balancers may be running.
    pub async fn add_peers(&self, peers: Vec<SocketAddr>) {
        self.send(Command::AddPeers(peers)).await;
    }

    /// Members known to the balancer; `None` when it has stopped.
    pub async fn view(&self) -> Option<MembershipView> {
        let (reply, view) = oneshot::channel();
        self.send(Command::View(reply)).await;
        view.await.ok()
    }

    /// Configuration objects of the balancer that are not deleted; `None` when it has stopped.
    pub async fn objects(&self) -> Option<Vec<Arc<Object>>> {
        let (reply, objects) = oneshot::channel();
        self.send(Command::Objects(reply)).await;
        objects.await.ok()
    }

    async fn send(&self, command: Command) {
        // The control task of a stopped balancer accepts no commands. Callers that expect a reply
        // notice that the sender of the reply is dropped.
        if self.commands.send(command).await.is_err() {
            log::debug!("balancer: Command ignored: the control plane has stopped.");
        }
    }
}

/// Caller of `ControlHandle::confirm` that waits for the report.
#[derive(Debug)]
struct Waiter {
    kind: String,
    name: String,
    version: Version,
    reply: oneshot::Sender<ConfirmReport>,
}

/// State of the control task, which owns the control socket and drives the state machine.
#[derive(Debug)]
pub(crate) struct ControlPlane {
    pub(crate) shared: Arc<Shared>,
    pub(crate) socket: UdpSocket,
    pub(crate) channel: ControlChannel,
    pub(crate) machine: GossipMachine,
    pub(crate) commands: mpsc::Receiver<Command>,
    waiters: Vec<Waiter>,
    last_drop_log: Option<tokio::time::Instant>,
}

impl ControlPlane {
    pub(crate) const fn new(
        shared: Arc<Shared>,
        socket: UdpSocket,
        channel: ControlChannel,
        machine: GossipMachine,
        commands: mpsc::Receiver<Command>,
    ) -> Self {
        Self {
            shared,
            socket,
            channel,
            machine,
            commands,
            waiters: Vec::new(),
            last_drop_log: None,
        }
    }

    /// Participates in the cluster until the balancer stops; announces the stop unless the balancer
    /// was killed.
    pub(crate) async fn run(mut self, peers: Vec<SocketAddr>) {
        self.handle(GossipEvent::SeedPeers(peers)).await;
        self.handle(GossipEvent::LocalChange(LocalChange::Serve))
            .await;
        let mut buffer = [0; MAX_CONTROL_BYTES + 1];
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let stop = self.shared.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => self.handle(GossipEvent::Tick).await,
                Some(command) = self.commands.recv() => self.handle_command(command).await,
                received = self.socket.recv_from(&mut buffer) => {
                    // The error may be an ICMP error caused by an earlier datagram, so it is
                    // ignored.
                    if let Ok((length, from)) = received {
                        self.receive(from, &buffer[..length]).await;
                    }
                }
            }
        }
        if !self.shared.is_killed.load(Ordering::Relaxed) {
            self.handle(GossipEvent::LocalChange(LocalChange::Leave))
                .await;
        }
    }

    async fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        self.count_bytes(datagram.len());
        match self.channel.open(from, datagram) {
            Ok((from, message)) => self.handle(GossipEvent::Message { from, message }).await,
            Err(dropped) => {
                metrics::counter!("hawthorntide_control_dropped_total", "code" => dropped.code.name())
                    .increment(1);
                let is_log_due = self
                    .last_drop_log
                    .is_none_or(|at| at.elapsed() >= DROP_LOG_INTERVAL);
                if is_log_due {
                    self.last_drop_log = Some(tokio::time::Instant::now());
                    log::warn!(
                        "membership: Control datagram from {from} dropped: {}.",
                        dropped.code
                    );
                }
                if let Some(stale_sender) = dropped.stale_sender {
                    self.handle(GossipEvent::StaleSender(stale_sender)).await;
                }
            }
        }
    }

    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::Change(change) => self.handle(GossipEvent::LocalChange(change)).await,
            Command::Confirm {
                kind,
                name,
                version,
                wait_ms,
                reply,
            } => {
                self.waiters.push(Waiter {
                    kind: kind.clone(),
                    name: name.clone(),
                    version,
                    reply,
                });
                let event = GossipEvent::Confirm {
                    kind,
                    name,
                    version,
                    wait_ms,
                };
                self.handle(event).await;
            }
            Command::AddPeers(peers) => self.handle(GossipEvent::SeedPeers(peers)).await,
            Command::View(reply) => {
                let view = MembershipView {
                    balancers: self.machine.balancers().cloned().collect(),
                    endpoints: self.machine.endpoints().cloned().collect(),
                    is_removal_suspended: self.machine.is_removal_suspended(),
                };
                // The task that sent the command may no longer wait for the reply.
                drop(reply.send(view));
            }
            Command::Objects(reply) => {
                let objects = self.machine.replica().live().map(Arc::clone).collect();
                drop(reply.send(objects));
            }
        }
    }

    async fn handle(&mut self, event: GossipEvent) {
        let mut out = Vec::new();
        self.machine.handle(self.shared.now(), event, &mut out);
        for action in out {
            match action {
                GossipAction::Send { to, message } => self.send(to, &message).await,
                GossipAction::MemberChanged(Member::Endpoint(endpoint)) => {
                    apply_endpoint(&self.shared, &endpoint);
                }
                GossipAction::MemberChanged(Member::Balancer(balancer)) => {
                    let event = Event::new(Component::Membership, EventKind::MemberChanged);
                    self.shared.timeline.record(event);
                    let (node, phase) = (balancer.id, balancer.phase);
                    log::debug!("membership: Balancer {node} is now {phase}.");
                }
                GossipAction::EndpointExpired(_) => {
                    let mut table = self
                        .shared
                        .table
                        .write()
                        .unwrap_or_else(PoisonError::into_inner);
                    table.purge_removed_endpoints(self.shared.now());
                }
                GossipAction::ConfigurationReceived(object) => apply_object(&self.shared, &object),
                GossipAction::IncarnationRaised(raised) => self.channel.raise_incarnation(raised),
                GossipAction::Confirmed(report) => self.complete_confirmation(&report),
                GossipAction::Alarm(alarm) => {
                    let event = Event::new(Component::Membership, EventKind::Alarm);
                    self.shared.timeline.record(event);
                    log_alarm(&alarm);
                }
            }
        }
    }

    fn count_bytes(&self, bytes: usize) {
        self.shared
            .control_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    async fn send(&mut self, to: SocketAddr, message: &ControlMessage) {
        let datagram = match self.channel.seal(message) {
            Ok(datagram) => datagram,
            Err(code) => {
                log::error!("membership: Message to {to} not sent: {code}.");
                return;
            }
        };
        self.count_bytes(datagram.len());
        if let Err(error) = self.socket.send_to(&datagram, to).await {
            log::debug!("membership: Message to {to} not sent: {error}.");
        }
    }

    fn complete_confirmation(&mut self, report: &ConfirmReport) {
        if !report.is_final {
            return;
        }
        let is_waiting = |waiter: &Waiter| {
            (&waiter.kind, &waiter.name, waiter.version)
                == (&report.kind, &report.name, report.version)
        };
        if let Some(index) = self.waiters.iter().position(is_waiting) {
            let waiter = self.waiters.swap_remove(index);
            drop(waiter.reply.send(report.clone()));
        }
    }
}

fn apply_endpoint(shared: &Shared, endpoint: &Endpoint) {
    let event = Event::new(Component::Membership, EventKind::MemberChanged);
    shared
        .timeline
        .record(event.service(endpoint.service).endpoint(endpoint.id));
    let mut table = shared.table.write().unwrap_or_else(PoisonError::into_inner);
    table.set_endpoint(EndpointRoute {
        endpoint: endpoint.id,
        incarnation: endpoint.stamp.incarnation,
        service: endpoint.service,
        data_address: endpoint.data_address,
        phase: endpoint.phase,
        weight: endpoint.weight,
    });
    if endpoint.phase == Phase::Gone || endpoint.stamp.health == Health::Removed {
        table.remove_endpoint(shared.now(), endpoint.id);
        log::info!("membership: Endpoint {} removed.", endpoint.data_address);
    }
}

fn apply_object(shared: &Shared, object: &Object) {
    let event = Event::new(Component::Configuration, EventKind::ConfigurationApplied);
    shared.timeline.record(event.version(object.version));
    match object.kind.as_str() {
        SERVICE_KIND if object.is_deleted => remove_service(shared, object),
        SERVICE_KIND => match serde_json::from_slice::<Service>(&object.value) {
            Ok(service) => set_service(shared, &service),
            Err(error) => log_invalid_object(object, &error),
        },
        PROFILE_KIND if !object.is_deleted => match serde_json::from_slice(&object.value) {
            Ok(profile) => opening_limits(shared).set_profile(&profile),
            Err(error) => log_invalid_object(object, &error),
        },
        _ => {}
    }
}

fn set_service(shared: &Shared, service: &Service) {
    shared
        .table
        .write()
        .unwrap_or_else(PoisonError::into_inner)
        .set_service(service.id(), &service.addresses, service.transport);
    opening_limits(shared).set_service(service);
    shared.services_changed.notify_one();
}

fn remove_service(shared: &Shared, object: &Object) {
    let Ok(name) = object.name.parse::<ServiceName>() else {
        return;
    };
    let id = ServiceId::of_name(&name);
    shared
        .table
        .write()
        .unwrap_or_else(PoisonError::into_inner)
        .remove_service(id);
    opening_limits(shared).remove_service(id);
    shared.services_changed.notify_one();
}

fn opening_limits(shared: &Shared) -> MutexGuard<'_, ServiceOpeningLimits> {
    shared
        .opening_limits
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn log_invalid_object(object: &Object, error: &serde_json::Error) {
    let (kind, name) = (&object.kind, &object.name);
    log::error!("configuration: Object {kind} {name} is invalid and was not applied: {error}.");
}

fn log_alarm(alarm: &Alarm) {
    match alarm {
        Alarm::RemovalsSuspended {
            failure_domain,
            unreachable,
            known,
        } => {
            let scope = failure_domain
                .as_ref()
                .map_or_else(|| "all failure domains".to_owned(), ToString::to_string);
            log::error!(
                "membership: {unreachable} of {known} members in {scope} are unreachable; removals are suspended."
            );
        }
        Alarm::RemovalsResumed => log::warn!("membership: Removals are no longer suspended."),
        Alarm::Paused(pause) => log::warn!("membership: The process was paused for {pause} ms."),
        Alarm::TableFull => log::error!("membership: The member table is full."),
    }
}
