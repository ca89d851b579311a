//! Control plane of an agent: drives the announcement machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorntide_membership::{AnnounceAction, AnnounceEvent, AnnounceMachine, ControlGate};
use hawthorntide_types::{Phase, TimeMs};
use hawthorntide_wire::MAX_CONTROL_BYTES;
use hawthorntide_wire::control::ControlMessage;
use tokio::net::UdpSocket;

use crate::agent::Shared;

/// Interval of the machine's ticks; a change of phase is noticed and announced within it.
const TICK: Duration = Duration::from_millis(20);

/// Control socket with the machine behind it.
#[derive(Debug)]
pub(crate) struct ControlPlane {
    pub(crate) shared: Arc<Shared>,
    pub(crate) socket: UdpSocket,
    pub(crate) gate: ControlGate,
    pub(crate) machine: AnnounceMachine,
    pub(crate) started: tokio::time::Instant,
}

impl ControlPlane {
    /// Announces the endpoint until the agent stops, and announces a planned stop.
    pub(crate) async fn run(mut self, balancers: Vec<SocketAddr>) {
        self.handle(AnnounceEvent::SeedPeers(balancers)).await;
        self.handle(AnnounceEvent::Serve).await;
        let mut buffer = [0; MAX_CONTROL_BYTES + 1];
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let stop = self.shared.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => {
                    self.follow_phase().await;
                    self.handle(AnnounceEvent::Tick).await;
                }
                received = self.socket.recv_from(&mut buffer) => {
                    // An ICMP answer to an earlier datagram surfaces here as an error.
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

    async fn follow_phase(&mut self) {
        let is_drain_new =
            self.shared.phase() == Phase::Draining && self.machine.own().phase < Phase::Draining;
        if is_drain_new {
            let known = self.machine.balancers();
            let recent_balancers = known.iter().map(|peer| peer.data_address).collect();
            self.handle(AnnounceEvent::Drain { recent_balancers }).await;
        }
    }

    async fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        match self.gate.open(from, datagram) {
            Ok((from, message)) => self.handle(AnnounceEvent::Message { from, message }).await,
            Err(dropped) => {
                metrics::counter!("hawthorntide_control_dropped_total", "code" => dropped.code.name())
                    .increment(1);
                log::debug!("agent: Datagram of {from} dropped: {}.", dropped.code);
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
                AnnounceAction::IncarnationRaised(raised) => self.gate.raise_incarnation(raised),
                AnnounceAction::Lapsed(pause) => {
                    log::warn!(
                        "agent: The process paused for {pause} ms and announces itself again."
                    );
                }
                AnnounceAction::ConfigurationReceived(object) => {
                    log::info!(
                        "configuration: {}/{} has version {}.",
                        object.kind,
                        object.name,
                        object.version
                    );
                }
                AnnounceAction::PeersChanged | AnnounceAction::NewWorkAllowed(_) => {}
            }
        }
        let is_announced = self.machine.is_announced();
        self.shared
            .is_announced
            .store(is_announced, Ordering::Relaxed);
    }

    async fn send(&mut self, to: SocketAddr, message: &ControlMessage) {
        let datagram = match self.gate.seal(message) {
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
