//! Control plane of an agent: connects the announcement state machine with the control socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorntide_configuration::{PROFILE_KIND, check_profile};
use hawthorntide_membership::{AnnounceAction, AnnounceEvent, AnnounceMachine, ControlChannel};
use hawthorntide_types::{DurationMs, Phase, ServiceId, TimeMs};
use hawthorntide_wire::MAX_CONTROL_BYTES;
use hawthorntide_wire::control::{self, ControlMessage, LoadReport, control_message::Body};
use tokio::net::UdpSocket;

use crate::agent::Shared;

/// Tick interval of the state machine; a drain is detected and announced within it.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of load reports while requests are queued or in flight.
const REPORT_INTERVAL_MS: DurationMs = DurationMs(200);

/// Interval of load reports of an idle agent; siblings discard a report after 2 s.
const IDLE_REPORT_INTERVAL_MS: DurationMs = DurationMs(800);

/// Interval at which the weight limit is derived from the observed health of the upstream.
const WEIGHT_INTERVAL_MS: DurationMs = DurationMs(1000);

/// State of the control task, which owns the control socket and drives the state machine.
#[derive(Debug)]
pub(crate) struct ControlPlane {
    pub(crate) shared: Arc<Shared>,
    pub(crate) socket: UdpSocket,
    pub(crate) channel: ControlChannel,
    pub(crate) machine: AnnounceMachine,
    pub(crate) started: tokio::time::Instant,
    pub(crate) last_report: TimeMs,
    pub(crate) last_weight_update: TimeMs,
}

impl ControlPlane {
    /// Announces the endpoint until the agent stops; announces the stop unless the agent was
    /// killed.
    pub(crate) async fn run(mut self, balancers: Vec<SocketAddr>) {
        self.handle(AnnounceEvent::SeedPeers(balancers)).await;
        self.handle(AnnounceEvent::Serve).await;
        let mut buffer = [0; MAX_CONTROL_BYTES + 1];
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let stop = self.shared.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => {
                    self.announce_drain().await;
                    self.handle(AnnounceEvent::Tick).await;
                    self.report_load().await;
                    self.update_weight_limit().await;
                }
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
            self.handle(AnnounceEvent::Leave).await;
        }
    }

    async fn announce_drain(&mut self) {
        let is_drain_unannounced =
            self.shared.phase() == Phase::Draining && self.machine.local().phase < Phase::Draining;
        if is_drain_unannounced {
            let balancers = self.machine.balancers();
            let recent_balancers = balancers.iter().map(|peer| peer.data_address).collect();
            self.handle(AnnounceEvent::Drain { recent_balancers }).await;
            self.send_report().await;
        }
    }

    async fn report_load(&mut self) {
        let now = self.shared.dispatcher.now();
        let load = self.shared.load();
        let is_idle = load.in_flight == 0 && load.waiting == 0;
        let interval = if is_idle {
            IDLE_REPORT_INTERVAL_MS
        } else {
            REPORT_INTERVAL_MS
        };
        if now.since(self.last_report) >= interval {
            self.send_report().await;
        }
    }

    async fn send_report(&mut self) {
        let now = self.shared.dispatcher.now();
        self.last_report = now;
        let load = self.shared.load();
        self.shared.peers.set_local_load(now, load);
        let report = LoadReport {
            endpoint_id: load.endpoint.get(),
            incarnation: self.shared.incarnation.get(),
            in_flight: load.in_flight,
            waiting: load.waiting,
            queue_delay_ms: load.queue_delay_ms.get() as u32,
            slots: load.slots.get(),
            open_flows: load.open_flows,
            phase: wire_phase(load.phase).into(),
        };
        let message = ControlMessage {
            body: Some(Body::LoadReport(report)),
        };
        for receiver in self.shared.peers.report_receivers() {
            self.send(receiver, &message).await;
        }
    }

    fn set_peers(&self) {
        let siblings = self.machine.siblings();
        self.shared.peers.set(siblings, &self.machine.balancers());
    }

    async fn update_weight_limit(&mut self) {
        let now = self.shared.dispatcher.now();
        if now.since(self.last_weight_update) < WEIGHT_INTERVAL_MS {
            return;
        }
        self.last_weight_update = now;
        self.set_peers();
        let weight = self.shared.dispatcher.weight(&self.shared.peers.weights());
        self.handle(AnnounceEvent::WeightLimit(weight)).await;
    }

    /// Applies the profile that the configuration assigns to the service.
    fn apply_profile(&self) {
        let service = ServiceId::of_name(&self.shared.service);
        let objects = self.machine.replica().of_service(service);
        let Some(object) = objects.iter().find(|object| object.kind == PROFILE_KIND) else {
            return;
        };
        let text = String::from_utf8_lossy(&object.value);
        match check_profile(&text, &object.name) {
            Ok(profile) => self.shared.dispatcher.change_profile(profile),
            Err(problems) => log::error!(
                "configuration: Profile {} has {} problems and was not applied.",
                object.name,
                problems.len()
            ),
        }
    }

    async fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        match self.channel.open(from, datagram) {
            Ok((
                _,
                ControlMessage {
                    body: Some(Body::LoadReport(report)),
                },
            )) => {
                let now = self.shared.dispatcher.now();
                if !self.shared.peers.record_report(now, &report) {
                    log::debug!("agent: Load report from {from} ignored: not a known sibling.");
                }
            }
            Ok((from, message)) => self.handle(AnnounceEvent::Message { from, message }).await,
            Err(dropped) => {
                metrics::counter!("hawthorntide_control_dropped_total", "code" => dropped.code.name())
                    .increment(1);
                log::debug!(
                    "agent: Control datagram from {from} dropped: {}.",
                    dropped.code
                );
            }
        }
    }

    async fn handle(&mut self, event: AnnounceEvent) {
        let now = TimeMs(self.started.elapsed().as_millis() as u64);
        let mut out = Vec::new();
        self.machine.handle(now, event, &mut out);
        for action in out {
            match action {
                AnnounceAction::Send { to, message } => self.send(to, &message).await,
                AnnounceAction::IncarnationRaised(raised) => self.channel.raise_incarnation(raised),
                AnnounceAction::MembershipExpired(pause) => {
                    log::warn!(
                        "agent: Process was paused for {pause} ms; the endpoint is announced again."
                    );
                }
                AnnounceAction::ConfigurationReceived(object) => {
                    log::info!(
                        "configuration: Received {}/{} version {}.",
                        object.kind,
                        object.name,
                        object.version
                    );
                    self.apply_profile();
                }
                AnnounceAction::PeersChanged => self.set_peers(),
                AnnounceAction::NewWorkAllowed(_) => {}
            }
        }
        let is_announced = self.machine.is_announced();
        self.shared
            .is_announced
            .store(is_announced, Ordering::Relaxed);
    }

    async fn send(&mut self, to: SocketAddr, message: &ControlMessage) {
        let datagram = match self.channel.seal(message) {
            Ok(datagram) => datagram,
            Err(code) => {
                log::error!("agent: Message to {to} not sent: {code}.");
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&datagram, to).await {
            log::debug!("agent: Message to {to} not sent: {error}.");
        }
    }
}

const fn wire_phase(phase: Phase) -> control::Phase {
    match phase {
        Phase::Joining => control::Phase::Joining,
        Phase::Serving => control::Phase::Serving,
        Phase::Draining => control::Phase::Draining,
        Phase::Gone => control::Phase::Gone,
    }
}
