//! Control plane of a balancer: drives the gossip machine and applies what it learns.

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
use crate::openings::Openings;

/// Interval of the machine's ticks.
const TICK: Duration = Duration::from_millis(100);
/// Commands that wait for the control task.
pub(crate) const MAX_COMMANDS: usize = 256;
/// Interval at which dropped datagrams are named in the log.
const DROP_LOG: Duration = Duration::from_secs(10);

/// What the control task is asked to do.
#[derive(Debug)]
pub(crate) enum Command {
    /// Pass a change of the own process on.
    Change(LocalChange),
    /// Ask every balancer which version it holds.
    Confirm {
        kind: String,
        name: String,
        version: Version,
        wait_ms: DurationMs,
        reply: oneshot::Sender<ConfirmReport>,
    },
    /// Try more addresses of balancers.
    AddPeers(Vec<SocketAddr>),
    /// Return the view of the members.
    View(oneshot::Sender<MembershipView>),
    /// Return the objects that are not deleted.
    Objects(oneshot::Sender<Vec<Arc<Object>>>),
}

/// Members that one balancer knows.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// Balancers, departed ones included.
    pub balancers: Vec<BalancerMember>,
    /// Endpoints, departed ones included.
    pub endpoints: Vec<Endpoint>,
    /// Whether removals are held because many members went silent at once.
    pub is_floor_active: bool,
}

/// Access to the control plane of a running balancer.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    commands: mpsc::Sender<Command>,
}

impl ControlHandle {
    pub(crate) const fn new(commands: mpsc::Sender<Command>) -> Self {
        Self { commands }
    }

    /// Spreads an object that the platform store accepted.
    pub async fn apply_object(&self, object: Object) {
        self.send(Command::Change(LocalChange::Object(object)))
            .await;
    }

    /// Announces the watcher slot that this balancer holds; 0 is none.
    pub async fn announce_watcher_slot(&self, slot: u32) {
        self.send(Command::Change(LocalChange::WatcherSlot(slot)))
            .await;
    }

    /// Announces that the balancer stops soon.
    pub async fn announce_drain(&self) {
        self.send(Command::Change(LocalChange::Drain)).await;
    }

    /// Waits until every balancer holds `version` or `wait_ms` passed.
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

    /// Tries more control addresses at which balancers may be up.
    pub async fn add_peers(&self, peers: Vec<SocketAddr>) {
        self.send(Command::AddPeers(peers)).await;
    }

    /// Returns the members that the balancer knows; `None` when it has stopped.
    pub async fn view(&self) -> Option<MembershipView> {
        let (reply, view) = oneshot::channel();
        self.send(Command::View(reply)).await;
        view.await.ok()
    }

    /// Returns the configuration that the balancer holds; `None` when it has stopped.
    pub async fn objects(&self) -> Option<Vec<Arc<Object>>> {
        let (reply, objects) = oneshot::channel();
        self.send(Command::Objects(reply)).await;
        objects.await.ok()
    }

    async fn send(&self, command: Command) {
        // A stopped balancer takes no commands; callers see that from the missing answer.
        if self.commands.send(command).await.is_err() {
            log::debug!("balancer: Command after the end of the control plane.");
        }
    }
}

/// Operator that waits for a confirmation.
#[derive(Debug)]
struct Waiter {
    kind: String,
    name: String,
    version: Version,
    reply: oneshot::Sender<ConfirmReport>,
}

/// Control socket with the machine behind it.
#[derive(Debug)]
pub(crate) struct ControlPlane {
    pub(crate) shared: Arc<Shared>,
    pub(crate) socket: UdpSocket,
    pub(crate) gate: ControlChannel,
    pub(crate) machine: GossipMachine,
    pub(crate) commands: mpsc::Receiver<Command>,
    waiters: Vec<Waiter>,
    logged_at: Option<tokio::time::Instant>,
}

impl ControlPlane {
    pub(crate) const fn new(
        shared: Arc<Shared>,
        socket: UdpSocket,
        gate: ControlChannel,
        machine: GossipMachine,
        commands: mpsc::Receiver<Command>,
    ) -> Self {
        Self {
            shared,
            socket,
            gate,
            machine,
            commands,
            waiters: Vec::new(),
            logged_at: None,
        }
    }

    /// Takes part in the deployment until the balancer stops, and announces a planned stop.
    pub(crate) async fn run(mut self, peers: Vec<SocketAddr>) {
        self.handle(GossipEvent::SeedPeers(peers)).await;
        self.handle(GossipEvent::LocalChange(LocalChange::Serve))
            .await;
        let mut buffer = [0; MAX_CONTROL_BYTES + 1];
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let stop = self.shared.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => self.handle(GossipEvent::Tick).await,
                Some(command) = self.commands.recv() => self.take_command(command).await,
                received = self.socket.recv_from(&mut buffer) => {
                    // An ICMP answer to an earlier datagram surfaces here as an error.
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
        match self.gate.open(from, datagram) {
            Ok((from, message)) => self.handle(GossipEvent::Message { from, message }).await,
            Err(dropped) => {
                metrics::counter!("hawthorntide_control_dropped_total", "code" => dropped.code.name())
                    .increment(1);
                let is_quiet = self.logged_at.is_none_or(|at| at.elapsed() >= DROP_LOG);
                if is_quiet {
                    self.logged_at = Some(tokio::time::Instant::now());
                    log::warn!("membership: Datagram of {from} dropped: {}.", dropped.code);
                }
                if let Some(stale_sender) = dropped.stale_sender {
                    self.handle(GossipEvent::StaleSender(stale_sender)).await;
                }
            }
        }
    }

    async fn take_command(&mut self, command: Command) {
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
                    is_floor_active: self.machine.is_removal_suspended(),
                };
                // The asking task may have given up.
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
                    log::debug!("membership: Balancer {node} is {phase}.");
                }
                GossipAction::EndpointExpired(_) => {
                    let mut table = self
                        .shared
                        .table
                        .write()
                        .unwrap_or_else(PoisonError::into_inner);
                    table.forget_gone(self.shared.now());
                }
                GossipAction::ConfigurationReceived(object) => apply_object(&self.shared, &object),
                GossipAction::IncarnationRaised(raised) => self.gate.raise_incarnation(raised),
                GossipAction::Confirmed(report) => self.answer(&report),
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
        let datagram = match self.gate.seal(message) {
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

    fn answer(&mut self, report: &ConfirmReport) {
        if !report.is_final {
            return;
        }
        let is_asked = |waiter: &Waiter| {
            (&waiter.kind, &waiter.name, waiter.version)
                == (&report.kind, &report.name, report.version)
        };
        if let Some(index) = self.waiters.iter().position(is_asked) {
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
        log::info!("membership: Endpoint {} is out.", endpoint.data_address);
    }
}

fn apply_object(shared: &Shared, object: &Object) {
    let event = Event::new(Component::Configuration, EventKind::ConfigurationApplied);
    shared.timeline.record(event.version(object.version));
    match object.kind.as_str() {
        SERVICE_KIND if object.is_deleted => remove_service(shared, object),
        SERVICE_KIND => match serde_json::from_slice::<Service>(&object.value) {
            Ok(service) => set_service(shared, &service),
            Err(error) => log_not_applied(object, &error),
        },
        PROFILE_KIND if !object.is_deleted => match serde_json::from_slice(&object.value) {
            Ok(profile) => openings(shared).set_profile(&profile),
            Err(error) => log_not_applied(object, &error),
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
    openings(shared).set_service(service);
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
    openings(shared).remove_service(id);
    shared.services_changed.notify_one();
}

fn openings(shared: &Shared) -> MutexGuard<'_, Openings> {
    shared
        .openings
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn log_not_applied(object: &Object, error: &serde_json::Error) {
    let (kind, name) = (&object.kind, &object.name);
    log::error!("configuration: Object {kind} {name} not applied: {error}.");
}

fn log_alarm(alarm: &Alarm) {
    match alarm {
        Alarm::RemovalsSuspended {
            failure_domain,
            unreachable,
            known,
        } => {
            let place = failure_domain
                .as_ref()
                .map_or_else(|| "all domains".to_owned(), ToString::to_string);
            log::error!(
                "membership: {unreachable} of {known} members in {place} went silent; removals are held."
            );
        }
        Alarm::RemovalsResumed => log::warn!("membership: Removals are made again."),
        Alarm::Paused(pause) => log::warn!("membership: The process paused for {pause} ms."),
        Alarm::TableFull => log::error!("membership: A limit on members is reached."),
    }
}
