//! Agent for opaque flows, beside one upstream.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hawthorntide_admin::render_metrics;
use hawthorntide_opaque::{
    AgentAction, AgentEvent, AgentMachine, AgentOptions, AgentStatus, GOSSIP_INTERVAL_MS,
    GossipEvent, Peer, PeerMessage, PeerRole, Segment, decode,
};
use hawthorntide_platform::{
    HEADER_BYTES, HttpServer, MAX_PACKET_BYTES, ProcessHandler, UpstreamHeartbeat, UpstreamPacket,
    encode_reset, mark_for_upstream, parse_caller_packet, parse_upstream_packet, request_id,
};
use hawthorntide_store::{ObjectKind, ObjectStore};
use hawthorntide_types::{DurationMs, PerMille, Phase, ServiceName, Weight};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout};

use crate::directory::{Directory, DirectoryNews, object_key, remove};
use crate::metric::{AgentMetrics, count_refusal};
use crate::peers::{ProcessOptions, carry_out, send_message};
use crate::record::FlowRecorder;
use crate::sockets::{Clock, MAX_DATAGRAM_BYTES, StartError, bind, receive, send};

/// Pause between two looks at opening packets that wait for an answer.
const ANSWER_CHECK: Duration = Duration::from_millis(20);

/// Longest time for a connection within the VM.
const PROBE_TIME: Duration = Duration::from_millis(300);

/// Longest time for removing what the store keeps for the agent at its end.
const LEAVE_TIME: Duration = Duration::from_millis(1_500);

/// Part of the log for requests, which has a line limit of its own.
const REQUEST_LOG: &str = "hawthorntide_relay::request";

/// Part of the log for packets that look for their upstream, many of which may come at once.
const SEARCH_LOG: &str = "hawthorntide_relay::search";

/// Options of an agent.
#[derive(Clone, Debug)]
pub struct RelayAgentOptions {
    /// What both roles have.
    pub process: ProcessOptions,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Address at which the upstream receives packets.
    pub upstream_address: SocketAddr,
    /// Address to which the upstream sends its packets.
    pub upstream_output_address: SocketAddr,
    /// Address for heartbeats of the upstream.
    pub heartbeat_address: SocketAddr,
    /// Address at which the platform asks for readiness.
    pub ready_address: SocketAddr,
    /// Address at which metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Port at which callers receive packets.
    pub caller_port: u16,
    /// Time between two heartbeats of the upstream.
    pub heartbeat_ms: DurationMs,
    /// Time without packets after which a flow is forgotten.
    pub flow_idle_ms: DurationMs,
}

/// Running agent; it stops when it is dropped.
#[derive(Debug)]
pub struct RelayAgent {
    core: Arc<Core>,
    own: Peer,
    store: Arc<ObjectStore>,
    _edges: Vec<HttpServer>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Core {
    clock: Clock,
    machine: Mutex<AgentMachine>,
    buffer: Mutex<Vec<u8>>,
    output: UdpSocket,
    peers: UdpSocket,
    own_address: SocketAddr,
    service: ServiceName,
    upstream_address: SocketAddr,
    caller_port: u16,
    /// A packet waits for an answer of the upstream.
    offered: Notify,
    /// The upstream shows no life.
    suspected: Notify,
    metrics: AgentMetrics,
}

impl RelayAgent {
    /// Binds the sockets and starts the tasks of an agent.
    pub async fn spawn(options: RelayAgentOptions) -> Result<Self, StartError> {
        let process = &options.process;
        let own = process.peer(PeerRole::Agent(AgentStatus {
            service: options.service.clone(),
            phase: Phase::Joining,
            weight: Weight::FULL,
            load: PerMille(0),
        }));
        let store = process.open_store()?;
        let clock = Clock::start();
        let machine_options = AgentOptions {
            local_peer: own.clone(),
            service: options.service.clone(),
            heartbeat_ms: options.heartbeat_ms,
            flow_idle_ms: options.flow_idle_ms,
            seed: process.seed,
        };
        let core = Arc::new(Core {
            clock,
            machine: Mutex::new(AgentMachine::new(clock.now(), machine_options)),
            buffer: Mutex::new(Vec::new()),
            output: bind(options.upstream_output_address).await?,
            peers: bind(process.peer_address).await?,
            own_address: process.peer_address,
            service: options.service.clone(),
            upstream_address: options.upstream_address,
            caller_port: options.caller_port,
            offered: Notify::new(),
            suspected: Notify::new(),
            metrics: AgentMetrics::new(),
        });
        core.handle(
            AgentEvent::Gossip(GossipEvent::Seeds(process.seed_addresses())),
            &mut [],
            None,
        );
        let mut edges = Vec::new();
        let addresses = [
            Some(options.heartbeat_address),
            Some(options.ready_address),
            options.metrics_address,
        ];
        for address in addresses.into_iter().flatten() {
            let state: Arc<dyn ProcessHandler> = Arc::clone(&core) as _;
            let edge = HttpServer::bind(address, state).await;
            edges.push(edge.map_err(|source| StartError::Bind { address, source })?);
        }
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&core).take_output());
        tasks.spawn(Arc::clone(&core).take_messages());
        tasks.spawn(Arc::clone(&core).gossip_rounds());
        tasks.spawn(Arc::clone(&core).check_answers());
        tasks.spawn(Arc::clone(&core).probe_upstream());
        if let Some(directory) = Directory::new(Arc::clone(&store), &own) {
            let core = Arc::clone(&core);
            tasks.spawn(directory.run(move |news| core.take_directory(news)));
        }
        if let Some(key) = object_key(ObjectKind::FlowRecord, &own) {
            let recorder = FlowRecorder::new(Arc::clone(&store), key);
            let (reader, writer, timer) = (Arc::clone(&core), Arc::clone(&core), Arc::clone(&core));
            tasks.spawn(recorder.run(
                move |record| reader.handle(AgentEvent::RecordRead(record), &mut [], None),
                move || writer.machine().record(),
                move || timer.machine().record_interval_ms(timer.clock.now()),
            ));
        }
        Ok(Self {
            core,
            own,
            store,
            _edges: edges,
            _tasks: tasks,
        })
    }

    /// Ends the agent; an upstream that left before is taken out of the directory.
    pub async fn stop(&self) {
        let phase = self.core.machine().phase();
        let held_flows = self.core.machine().held_flows();
        log::info!(phase:% = phase, held_flows; "relay: Agent stops.");
        if !matches!(phase, Phase::Draining | Phase::Gone) {
            return;
        }
        self.core
            .handle(AgentEvent::Deregistered(None), &mut [], None);
        if timeout(LEAVE_TIME, self.remove_objects()).await.is_err() {
            log::warn!("relay: Objects in the store not removed in time.");
        }
    }

    /// Removes what the store keeps for this agent.
    async fn remove_objects(&self) {
        for kind in [ObjectKind::Directory, ObjectKind::FlowRecord] {
            if let Some(key) = object_key(kind, &self.own) {
                remove(&self.store, &key).await;
            }
        }
    }
}

impl Core {
    fn machine(&self) -> MutexGuard<'_, AgentMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the machine decide and carries out its decisions.
    fn handle(&self, event: AgentEvent<'_>, packet: &mut [u8], segment: Option<&Segment>) {
        let mut actions = Vec::new();
        self.machine().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action, packet, segment);
        }
    }

    fn carry_out(&self, action: AgentAction, packet: &mut [u8], segment: Option<&Segment>) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let buffer = &mut *buffer;
        match action {
            AgentAction::Deliver { token } => {
                self.metrics.delivered.increment(1);
                log_request(segment, packet);
                mark_for_upstream(packet, token);
                send(&self.output, packet, self.upstream_address);
                self.offered.notify_one();
            }
            AgentAction::Reply => {
                let Some(segment) = segment else { return };
                self.metrics.replied.increment(1);
                let caller = SocketAddr::new(segment.flow.caller.ip(), self.caller_port);
                send(&self.peers, packet, caller);
            }
            AgentAction::ForwardToAgent {
                to,
                search,
                packet: earlier,
            } => {
                self.metrics.passed_on.increment(1);
                log_passed(segment, &search.visited, to);
                let packet = earlier.as_deref().unwrap_or(packet);
                let message = PeerMessage::Forward(search);
                send_message(&self.peers, to, &message, packet, buffer);
            }
            AgentAction::ReturnToBalancer {
                search,
                packet: earlier,
            } => {
                let to = search.balancer;
                log_passed(segment, &search.visited, to);
                let packet = earlier.as_deref().unwrap_or(packet);
                let message = PeerMessage::Exhausted(search);
                send_message(&self.peers, to, &message, packet, buffer);
            }
            AgentAction::AnnounceOwner { to, flow } => {
                let owner = self.own_address;
                let message = PeerMessage::Located { flow, owner };
                send_message(&self.peers, to, &message, &[], buffer);
            }
            AgentAction::Accepted { after_ms } => {
                self.metrics.accepted(after_ms);
                if let Some(segment) = segment {
                    log::info!(flow:% = segment.flow, after_ms:% = after_ms; "relay: Flow accepted.");
                }
            }
            AgentAction::Answered { after_ms } => self.metrics.answered(after_ms),
            AgentAction::Drop(code) => {
                count_refusal(code, false);
                if let Some(segment) = segment {
                    log::info!(flow:% = segment.flow, code:% = code; "relay: Packet dropped.");
                }
            }
            AgentAction::Reset { flow, acknowledged } => {
                self.metrics.ended.increment(1);
                log::info!(flow:% = flow; "relay: Flow ended with its upstream.");
                let caller = SocketAddr::new(flow.caller.ip(), self.caller_port);
                send(&self.peers, &encode_reset(flow, acknowledged), caller);
            }
            AgentAction::Probe => self.suspected.notify_one(),
            AgentAction::StatusChanged(status) => log::info!(
                service:% = status.service,
                phase:% = status.phase,
                weight:% = status.weight,
                load:% = status.load;
                "relay: Status changed."
            ),
            AgentAction::Gossip(action) => carry_out(&self.peers, vec![action], buffer),
        }
    }

    async fn take_output(self: Arc<Self>) {
        receive(
            &self.output,
            MAX_PACKET_BYTES + 1,
            |packet, _| match parse_upstream_packet(packet) {
                Ok(UpstreamPacket::Sent(segment)) => {
                    self.handle(AgentEvent::Sent(segment), packet, Some(&segment));
                }
                Ok(UpstreamPacket::Returned { segment, token }) => {
                    let event = AgentEvent::Returned { segment, token };
                    self.handle(event, packet, Some(&segment));
                }
                Err(error) => log::warn!("relay: Packet of the upstream dropped: {error}."),
            },
        )
        .await;
    }

    async fn take_messages(self: Arc<Self>) {
        receive(&self.peers, MAX_DATAGRAM_BYTES, |datagram, from| {
            self.take_message(datagram, from);
        })
        .await;
    }

    fn take_message(&self, datagram: &mut [u8], from: SocketAddr) {
        match decode(datagram) {
            Ok((PeerMessage::Gossip(gossip), _)) => {
                let event = GossipEvent::Message { from, gossip };
                self.handle(AgentEvent::Gossip(event), &mut [], None);
            }
            Ok((PeerMessage::Forward(search), packet)) => {
                let segment = match parse_caller_packet(packet) {
                    Ok(segment) => segment,
                    Err(error) => {
                        log::warn!("relay: Packet of {from} dropped: {error}.");
                        return;
                    }
                };
                let start = datagram.len() - packet.len();
                let opening = if segment.is_opening() {
                    packet.to_vec()
                } else {
                    Vec::new()
                };
                let event = AgentEvent::Forwarded {
                    search,
                    segment,
                    opening: &opening,
                };
                self.handle(event, &mut datagram[start..], Some(&segment));
            }
            Ok((PeerMessage::Exhausted(_) | PeerMessage::Located { .. }, _)) => {
                log::warn!("relay: Message of {from} for a balancer dropped.");
            }
            Err(error) => log::warn!("relay: Message of {from} dropped: {error}."),
        }
    }

    async fn gossip_rounds(self: Arc<Self>) {
        let mut rounds = interval(GOSSIP_INTERVAL_MS.into());
        loop {
            rounds.tick().await;
            self.handle(AgentEvent::Measure, &mut [], None);
            let held_flows = self.machine().held_flows();
            self.metrics.held_flows.set(held_flows as f64);
            self.handle(AgentEvent::Gossip(GossipEvent::Round), &mut [], None);
        }
    }

    /// Looks for overdue answers, only while some are awaited.
    async fn check_answers(self: Arc<Self>) {
        loop {
            self.offered.notified().await;
            while self.machine().awaits_answers() {
                sleep(ANSWER_CHECK).await;
                self.handle(AgentEvent::Tick, &mut [], None);
            }
        }
    }

    /// Tries a connection to the upstream whenever it shows no life; a VM whose upstream ended
    /// refuses it.
    async fn probe_upstream(self: Arc<Self>) {
        loop {
            self.suspected.notified().await;
            let connection = timeout(PROBE_TIME, TcpStream::connect(self.upstream_address)).await;
            let is_refused = matches!(
                &connection,
                Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused
            );
            log::info!(upstream:% = self.upstream_address, is_refused; "relay: Upstream looked at.");
            self.handle(AgentEvent::Probed { is_refused }, &mut [], None);
        }
    }

    fn take_directory(&self, news: DirectoryNews) {
        let event = match news {
            DirectoryNews::Entered { was_known } => AgentEvent::Registered { was_known },
            DirectoryNews::Listed(peers) => AgentEvent::Gossip(GossipEvent::Directory(peers)),
        };
        self.handle(event, &mut [], None);
    }
}

/// Ties the identifier of a request to the flow that carries it.
fn log_request(segment: Option<&Segment>, packet: &[u8]) {
    let Some(segment) = segment.filter(|segment| segment.payload_bytes > 0) else {
        return;
    };
    if let Some(request) = packet.get(HEADER_BYTES..).and_then(request_id) {
        log::info!(target: REQUEST_LOG, flow:% = segment.flow, request; "relay: Request delivered.");
    }
}

fn log_passed(segment: Option<&Segment>, visited: &[SocketAddr], to: SocketAddr) {
    let Some(segment) = segment else {
        log::info!(
            target: SEARCH_LOG,
            to:% = to,
            visited = visited.len();
            "relay: Unanswered packet passed on."
        );
        return;
    };
    log::info!(
        target: SEARCH_LOG,
        flow:% = segment.flow,
        is_opening = segment.is_opening(),
        to:% = to,
        visited = visited.len();
        "relay: Packet passed on."
    );
}

impl ProcessHandler for Core {
    fn is_ready(&self) -> bool {
        true
    }

    fn handle_heartbeat(&self, heartbeat: UpstreamHeartbeat) -> bool {
        let is_own =
            heartbeat.service == self.service && heartbeat.address == self.upstream_address;
        if !is_own {
            log::warn!(
                service:% = heartbeat.service,
                upstream:% = heartbeat.address;
                "relay: Heartbeat of another upstream refused."
            );
            return false;
        }
        self.handle(AgentEvent::Report(heartbeat.report), &mut [], None);
        true
    }

    fn handle_deregistration(&self, id: &str) {
        self.handle(AgentEvent::Deregistered(Some(id.to_owned())), &mut [], None);
    }

    fn metrics(&self) -> String {
        render_metrics()
    }
}
