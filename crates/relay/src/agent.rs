//! Agent process for opaque flows, on the VM of its upstream.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hawthorntide_admin::render_metrics;
use hawthorntide_opaque::{
    AgentAction, AgentEvent, AgentMachine, AgentOptions, AgentStatus, GOSSIP_INTERVAL_MS,
    GossipAction, GossipEvent, OpeningPolicy, Peer, PeerMessage, PeerRole, Search, Segment,
    UpstreamDeregistration, UpstreamIncarnation, decode,
};
use hawthorntide_platform::{
    HEADER_BYTES, HeartbeatError, HttpServer, MAX_PACKET_BYTES, ProcessHandler, UpstreamHeartbeat,
    UpstreamPacket, encode_reset, mark_for_upstream, parse_caller_packet, parse_upstream_packet,
    request_class, request_id, set_request_class,
};
use hawthorntide_store::{ObjectKind, ObjectStore};
use hawthorntide_types::{DurationMs, PerMille, Phase, ServiceName, Weight};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{interval, sleep, timeout};

use crate::backoff::StoreRecovery;
use crate::directory::{Directory, DirectoryEvent, object_key, remove_object};
use crate::metric::{AgentMetrics, count_refusal, count_rejected_heartbeat};
use crate::process::{ProcessOptions, perform_gossip, send_message, send_to_all};
use crate::record::FlowRecorder;
use crate::sockets::{Clock, MAX_DATAGRAM_BYTES, StartError, bind, receive, send};

/// Time between two checks of the deadlines of unanswered packets.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Limit for a connection attempt to the upstream, which is on the same VM.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Limit for writing or removing the objects of the agent in the platform store when it stops.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Log target for requests; it has its own limit of lines per second.
const REQUEST_LOG: &str = "hawthorntide_relay::request";

/// Log target for packets that are forwarded in search of their upstream. They can come in bursts,
/// so it has its own limit of lines per second.
const SEARCH_LOG: &str = "hawthorntide_relay::search";

#[derive(Clone, Debug)]
pub struct RelayAgentOptions {
    pub process: ProcessOptions,
    pub service: ServiceName,
    /// Address to which packets of callers are delivered.
    pub upstream_address: SocketAddr,
    /// Address that receives all packets of the upstream.
    pub upstream_output_address: SocketAddr,
    /// HTTP address for heartbeats of the upstream.
    pub heartbeat_address: SocketAddr,
    /// HTTP address for readiness checks of the platform.
    pub ready_address: SocketAddr,
    /// HTTP address for metrics, if they are served.
    pub metrics_address: Option<SocketAddr>,
    /// Port on which callers receive packets.
    pub caller_port: u16,
    /// Interval of the upstream's heartbeats.
    pub heartbeat_ms: DurationMs,
    /// Idle timeout of the flows in the table.
    pub flow_idle_ms: DurationMs,
    pub opening_policy: OpeningPolicy,
}

/// Running agent; it stops when it is dropped.
#[derive(Debug)]
pub struct RelayAgent {
    shared: Arc<Shared>,
    local_peer: Peer,
    store: Arc<ObjectStore>,
    /// Tasks that write objects of this agent into the platform store.
    writers: Vec<AbortHandle>,
    _http_servers: Vec<HttpServer>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    machine: Mutex<AgentMachine>,
    buffer: Mutex<Vec<u8>>,
    output: UdpSocket,
    peers: UdpSocket,
    service: ServiceName,
    upstream_address: SocketAddr,
    caller_port: u16,
    /// Deadlines need to be checked.
    ticks_needed: Notify,
    /// The state machine requested a probe of the upstream.
    probe_requested: Notify,
    recovery: StoreRecovery,
    metrics: AgentMetrics,
}

impl RelayAgent {
    /// Binds the sockets and starts the tasks of an agent.
    pub async fn spawn(options: RelayAgentOptions) -> Result<Self, StartError> {
        let process = &options.process;
        let local_peer = process.peer(PeerRole::Agent(AgentStatus {
            service: options.service.clone(),
            phase: Phase::Joining,
            weight: Weight::FULL,
            load: PerMille(0),
        }));
        let store = process.open_store()?;
        let clock = Clock::start();
        let machine_options = AgentOptions {
            local_peer: local_peer.clone(),
            service: options.service.clone(),
            heartbeat_ms: options.heartbeat_ms,
            flow_idle_ms: options.flow_idle_ms,
            opening_policy: options.opening_policy,
            seed: process.seed,
        };
        let shared = Arc::new(Shared {
            clock,
            machine: Mutex::new(AgentMachine::new(clock.now(), machine_options)),
            buffer: Mutex::new(Vec::new()),
            output: bind(options.upstream_output_address).await?,
            peers: bind(process.peer_address).await?,
            service: options.service.clone(),
            upstream_address: options.upstream_address,
            caller_port: options.caller_port,
            ticks_needed: Notify::new(),
            probe_requested: Notify::new(),
            recovery: StoreRecovery::default(),
            metrics: AgentMetrics::new(),
        });
        shared.handle(
            AgentEvent::Gossip(GossipEvent::Seeds(process.seed_addresses())),
            &mut [],
            None,
        );
        let mut http_servers = Vec::new();
        let addresses = [
            Some(options.heartbeat_address),
            Some(options.ready_address),
            options.metrics_address,
        ];
        for address in addresses.into_iter().flatten() {
            let state: Arc<dyn ProcessHandler> = Arc::clone(&shared) as _;
            let http_server = HttpServer::bind(address, state).await;
            http_servers.push(http_server.map_err(|source| StartError::Bind { address, source })?);
        }
        let recovery = shared.recovery.clone();
        let mut tasks = JoinSet::new();
        let mut writers = Vec::new();
        tasks.spawn(Arc::clone(&shared).receive_upstream_packets());
        tasks.spawn(Arc::clone(&shared).receive_messages());
        tasks.spawn(Arc::clone(&shared).run_gossip());
        tasks.spawn(Arc::clone(&shared).check_deadlines());
        tasks.spawn(Arc::clone(&shared).probe_upstream());
        if let Some(directory) = Directory::new(Arc::clone(&store), &local_peer, recovery.clone()) {
            let shared = Arc::clone(&shared);
            let run = directory.run(move |event| shared.handle_directory_event(event));
            writers.push(tasks.spawn(run));
        }
        if let Some(key) = object_key(ObjectKind::FlowRecord, &local_peer) {
            let recorder = FlowRecorder::new(Arc::clone(&store), key, recovery);
            let (reader, writer, timer) = (
                Arc::clone(&shared),
                Arc::clone(&shared),
                Arc::clone(&shared),
            );
            let run = recorder.run(
                move |record| reader.handle(AgentEvent::RecordRead(record), &mut [], None),
                move || writer.machine().record(),
                move || timer.machine().record_interval_ms(timer.clock.now()),
            );
            writers.push(tasks.spawn(run));
        }
        Ok(Self {
            shared,
            local_peer,
            store,
            writers,
            _http_servers: http_servers,
            _tasks: tasks,
        })
    }

    /// Returns the phase of the upstream as its heartbeats report it.
    pub fn phase(&self) -> Phase {
        self.shared.machine().phase()
    }

    /// Stops the agent. If its upstream has deregistered, removes its objects from the platform store. If
    /// its upstream is draining, records this for the next incarnation of the agent: the stop may be a
    /// restart, while the upstream still serves its flows.
    pub async fn stop(&self) {
        let phase = self.phase();
        let held_flows = self.shared.machine().held_flows();
        log::info!(phase:% = phase, held_flows; "relay: Agent stops.");
        self.shared.handle(AgentEvent::Stopping, &mut [], None);
        let is_in_time = match phase {
            Phase::Gone => timeout(LAST_WRITE_TIMEOUT, self.remove_objects()).await,
            Phase::Draining => timeout(LAST_WRITE_TIMEOUT, self.write_last_record()).await,
            Phase::Joining | Phase::Serving => return,
        };
        if is_in_time.is_err() {
            log::warn!("relay: Timed out updating objects in the platform store.");
        }
    }

    /// Ends the tasks that write objects of this agent, which would write removed ones again.
    fn stop_writers(&self) {
        for writer in &self.writers {
            writer.abort();
        }
    }

    async fn remove_objects(&self) {
        self.stop_writers();
        for kind in [ObjectKind::Directory, ObjectKind::FlowRecord] {
            if let Some(key) = object_key(kind, &self.local_peer) {
                remove_object(&self.store, &key).await;
            }
        }
    }

    async fn write_last_record(&self) {
        let Some(key) = object_key(ObjectKind::FlowRecord, &self.local_peer) else {
            return;
        };
        let Some(record) = self.shared.machine().record() else {
            // The record of the previous incarnation is still in place.
            return;
        };
        self.stop_writers();
        let recorder =
            FlowRecorder::new(Arc::clone(&self.store), key, self.shared.recovery.clone());
        recorder.write_last(&record).await;
    }
}

impl Shared {
    fn machine(&self) -> MutexGuard<'_, AgentMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the event to the state machine and performs the resulting actions.
    fn handle(&self, event: AgentEvent<'_>, packet: &mut [u8], segment: Option<&Segment>) {
        let mut actions = Vec::new();
        self.update_machine(event, &mut actions);
        self.perform_all(actions, packet, segment);
    }

    fn update_machine(&self, event: AgentEvent<'_>, actions: &mut Vec<AgentAction>) {
        let mut machine = self.machine();
        machine.handle(self.clock.now(), event, actions);
        if machine.needs_ticks() {
            self.ticks_needed.notify_one();
        }
    }

    fn perform_all(&self, actions: Vec<AgentAction>, packet: &mut [u8], segment: Option<&Segment>) {
        for action in actions {
            self.perform(action, packet, segment);
        }
    }

    fn perform(&self, action: AgentAction, packet: &mut [u8], segment: Option<&Segment>) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let buffer = &mut *buffer;
        match action {
            AgentAction::Deliver { token } => {
                self.deliver(token, segment, packet, DurationMs(0));
            }
            AgentAction::DeliverHeld {
                token,
                segment,
                packet: mut held,
                waited_ms,
            } => {
                self.metrics.record_wait(waited_ms);
                self.deliver(token, Some(&segment), &mut held, waited_ms);
            }
            AgentAction::RequestDiscarded { flow } => {
                self.metrics.discarded.increment(1);
                log::info!(flow:% = flow; "relay: Waiting request discarded.");
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
                packet: kept,
            } => {
                self.metrics.forwarded.increment(1);
                let packet = (packet, kept);
                self.send_packet(to, search, PeerMessage::forward, packet, segment, buffer);
            }
            AgentAction::ReturnToBalancer {
                search,
                packet: kept,
            } => {
                let packet = (packet, kept);
                self.return_packet(search, PeerMessage::Exhausted, packet, segment, buffer);
            }
            AgentAction::ReturnOverloaded { search } => {
                self.metrics.refused_openings.increment(1);
                let packet = (packet, None);
                self.return_packet(search, PeerMessage::Overloaded, packet, segment, buffer);
            }
            AgentAction::ReturnOwnerLost {
                search,
                owner,
                packet: kept,
            } => {
                let message = |search| PeerMessage::OwnerLost { search, owner };
                let packet = (packet, kept);
                self.return_packet(search, message, packet, segment, buffer);
            }
            AgentAction::AnswerNotOwned { to, flow } => {
                let message = PeerMessage::NotOwned { flow };
                send_message(&self.peers, to, &message, &[], buffer);
            }
            AgentAction::AnnounceOwner { to, flow, owner } => {
                let message = PeerMessage::FlowOwner { flow, owner };
                send_message(&self.peers, to, &message, &[], buffer);
            }
            AgentAction::RegisterFlows { to, flows } => {
                let message = PeerMessage::RegisterFlows(flows);
                send_message(&self.peers, to, &message, &[], buffer);
            }
            AgentAction::Accepted { after_ms } => {
                self.metrics.record_accept_time(after_ms);
                if let Some(segment) = segment {
                    log::info!(flow:% = segment.flow, after_ms:% = after_ms; "relay: Flow accepted.");
                }
            }
            AgentAction::Answered { after_ms } => self.metrics.record_answer_time(after_ms),
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
            AgentAction::IncarnationReported {
                incarnation,
                sequence,
                is_change,
            } => log_incarnation(&incarnation, sequence, is_change),
            AgentAction::DeregistrationRejected(deregistration) => log::warn!(
                upstream:% = deregistration.id,
                born_ms = deregistration.born_ms;
                "relay: Deregistration of another upstream rejected."
            ),
            AgentAction::Probe => self.probe_requested.notify_one(),
            AgentAction::StatusChanged(status) => log_status(&status),
            AgentAction::Gossip(action) => self.perform_gossip(action, buffer),
        }
    }

    fn perform_gossip(&self, action: GossipAction, buffer: &mut Vec<u8>) {
        // A balancer that watches the store shows that the store answers.
        if let GossipAction::PeerChanged(peer) = &action
            && peer.balancer().is_some_and(|status| status.is_watching)
        {
            self.recovery.report();
        }
        perform_gossip(&self.peers, vec![action], buffer);
    }

    /// Returns a packet of a caller to its balancer.
    fn return_packet(
        &self,
        search: Search,
        message: impl FnOnce(Search) -> PeerMessage,
        packet: (&mut [u8], Option<Vec<u8>>),
        segment: Option<&Segment>,
        buffer: &mut Vec<u8>,
    ) {
        let to = search.balancer;
        self.send_packet(to, search, message, packet, segment, buffer);
    }

    /// Sends a packet of a caller to another process: the one that the agent kept, if there is one,
    /// otherwise the one of the event.
    fn send_packet(
        &self,
        to: SocketAddr,
        search: Search,
        message: impl FnOnce(Search) -> PeerMessage,
        (packet, mut kept): (&mut [u8], Option<Vec<u8>>),
        segment: Option<&Segment>,
        buffer: &mut Vec<u8>,
    ) {
        log_forwarded(segment, &search.visited, to);
        let packet = kept.as_deref_mut().unwrap_or(packet);
        set_request_class(packet, search.class);
        send_message(&self.peers, to, &message(search), packet, buffer);
    }

    /// Delivers a packet to the upstream.
    fn deliver(
        &self,
        token: u32,
        segment: Option<&Segment>,
        packet: &mut [u8],
        waited_ms: DurationMs,
    ) {
        self.metrics.delivered.increment(1);
        log_request(segment, packet, waited_ms);
        mark_for_upstream(packet, token);
        send(&self.output, packet, self.upstream_address);
    }

    async fn receive_upstream_packets(self: Arc<Self>) {
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
                Err(error) => log::warn!("relay: Malformed upstream packet dropped: {error}."),
            },
        )
        .await;
    }

    async fn receive_messages(self: Arc<Self>) {
        receive(&self.peers, MAX_DATAGRAM_BYTES, |datagram, from| {
            self.handle_message(datagram, from);
        })
        .await;
    }

    fn handle_message(&self, datagram: &mut [u8], from: SocketAddr) {
        match decode(datagram) {
            Ok((PeerMessage::Gossip(gossip), _)) => {
                let event = GossipEvent::Message { from, gossip };
                self.handle(AgentEvent::Gossip(event), &mut [], None);
            }
            Ok((PeerMessage::ForwardOpening { mut search, terms }, packet)) => {
                let start = datagram.len() - packet.len();
                search.terms = terms;
                self.handle_forwarded(&mut datagram[start..], from, search);
            }
            Ok((PeerMessage::Forward(search), packet)) => {
                let start = datagram.len() - packet.len();
                self.handle_forwarded(&mut datagram[start..], from, search);
            }
            Ok((PeerMessage::Query(search), packet)) => {
                let start = datagram.len() - packet.len();
                self.handle_query(&mut datagram[start..], from, search);
            }
            Ok((PeerMessage::RelayQuery { search, agents }, packet)) => {
                let start = datagram.len() - packet.len();
                self.relay_query(&datagram[start..], &search, &agents);
                self.handle_query(&mut datagram[start..], from, search);
            }
            Ok((PeerMessage::RegisterFlows(flows), _)) => {
                let event = AgentEvent::FlowsRegistered { owner: from, flows };
                self.handle(event, &mut [], None);
            }
            Ok((
                PeerMessage::Exhausted(_)
                | PeerMessage::Overloaded(_)
                | PeerMessage::OwnerLost { .. }
                | PeerMessage::NotOwned { .. }
                | PeerMessage::FlowOwner { .. },
                _,
            )) => {
                log::warn!("relay: Message from {from} dropped: it is meant for a balancer.");
            }
            Err(error) => log::warn!("relay: Malformed message from {from} dropped: {error}."),
        }
    }

    fn handle_query(&self, packet: &mut [u8], from: SocketAddr, mut search: Search) {
        search.is_parallel = true;
        self.handle_forwarded(packet, from, search);
    }

    /// Queries other agents in place of the balancer, which gets their answers.
    fn relay_query(&self, packet: &[u8], search: &Search, agents: &[SocketAddr]) {
        self.metrics.relayed_queries.increment(1);
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let message = PeerMessage::Query(search.clone());
        send_to_all(&self.peers, agents, &message, packet, &mut buffer);
    }

    fn handle_forwarded(&self, packet: &mut [u8], from: SocketAddr, mut search: Search) {
        let segment = match parse_caller_packet(packet) {
            Ok(segment) => segment,
            Err(error) => {
                log::warn!("relay: Malformed packet from {from} dropped: {error}.");
                return;
            }
        };
        search.class = request_class(packet);
        let event = AgentEvent::Forwarded {
            search,
            segment,
            packet,
        };
        let mut actions = Vec::new();
        self.update_machine(event, &mut actions);
        self.perform_all(actions, packet, Some(&segment));
    }

    async fn run_gossip(self: Arc<Self>) {
        let mut rounds = interval(GOSSIP_INTERVAL_MS.into());
        loop {
            rounds.tick().await;
            self.handle(AgentEvent::Measure, &mut [], None);
            let held_flows = self.machine().held_flows();
            self.metrics.held_flows.set(held_flows as f64);
            let registered_flows = self.machine().registered_flows();
            self.metrics.registered_flows.set(registered_flows as f64);
            let waiting = self.machine().waiting_requests();
            self.metrics.waiting_requests.set(waiting as f64);
            self.handle(AgentEvent::Gossip(GossipEvent::Round), &mut [], None);
        }
    }

    /// Checks deadlines while the state machine needs it.
    async fn check_deadlines(self: Arc<Self>) {
        loop {
            self.ticks_needed.notified().await;
            while self.machine().needs_ticks() {
                sleep(DEADLINE_CHECK_INTERVAL).await;
                self.handle(AgentEvent::Tick, &mut [], None);
            }
        }
    }

    /// Probes the upstream by a connection attempt on request of the state machine. The VM refuses
    /// the connection if no process listens.
    async fn probe_upstream(self: Arc<Self>) {
        loop {
            self.probe_requested.notified().await;
            let connection =
                timeout(PROBE_TIMEOUT, TcpStream::connect(self.upstream_address)).await;
            let is_refused = matches!(
                &connection,
                Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused
            );
            log::info!(upstream:% = self.upstream_address, is_refused; "relay: Upstream probed.");
            self.handle(AgentEvent::Probed { is_refused }, &mut [], None);
        }
    }

    fn handle_directory_event(&self, event: DirectoryEvent) {
        let event = match event {
            DirectoryEvent::Registered { was_known } => AgentEvent::Registered { was_known },
            DirectoryEvent::Listed { peers, .. } => {
                AgentEvent::Gossip(GossipEvent::Directory(peers))
            }
        };
        self.handle(event, &mut [], None);
    }
}

/// Logs the identifier of a request together with the flow that carries it, and how long it waited
/// for a slot.
fn log_request(segment: Option<&Segment>, packet: &[u8], waited_ms: DurationMs) {
    let Some(segment) = segment.filter(|segment| segment.payload_bytes > 0) else {
        return;
    };
    if let Some(request) = packet.get(HEADER_BYTES..).and_then(request_id) {
        log::info!(
            target: REQUEST_LOG,
            flow:% = segment.flow,
            request,
            waited_ms:% = waited_ms;
            "relay: Request delivered."
        );
    }
}

fn log_forwarded(segment: Option<&Segment>, visited: &[SocketAddr], to: SocketAddr) {
    let Some(segment) = segment else {
        log::info!(
            target: SEARCH_LOG,
            to:% = to,
            visited = visited.len();
            "relay: Unanswered packet forwarded."
        );
        return;
    };
    log::info!(
        target: SEARCH_LOG,
        flow:% = segment.flow,
        is_opening = segment.is_opening(),
        to:% = to,
        visited = visited.len();
        "relay: Packet forwarded."
    );
}

/// Logs the heartbeat from which the agent knows the incarnation of its upstream.
fn log_incarnation(incarnation: &UpstreamIncarnation, sequence: u64, is_change: bool) {
    log::info!(
        upstream:% = incarnation.id,
        born_ms = incarnation.born_ms,
        sequence,
        is_change;
        "relay: Incarnation of the upstream reported."
    );
}

fn log_status(status: &AgentStatus) {
    log::info!(
        service:% = status.service,
        phase:% = status.phase,
        weight:% = status.weight,
        load:% = status.load;
        "relay: Status changed."
    );
}

impl ProcessHandler for Shared {
    fn is_ready(&self) -> bool {
        true
    }

    fn handle_heartbeat(&self, heartbeat: UpstreamHeartbeat) -> bool {
        let is_local =
            heartbeat.service == self.service && heartbeat.address == self.upstream_address;
        if !is_local {
            count_rejected_heartbeat("foreign");
            log::warn!(
                service:% = heartbeat.service,
                upstream:% = heartbeat.address;
                "relay: Heartbeat of another upstream rejected."
            );
            return false;
        }
        let report = heartbeat.report;
        self.handle(AgentEvent::Report(report.clone()), &mut [], None);
        let is_in_force = self.machine().is_latest_report(&report);
        if !is_in_force {
            count_rejected_heartbeat("stale");
            log::warn!(
                upstream:% = report.id,
                born_ms = report.born_ms,
                sequence = report.sequence;
                "relay: Stale heartbeat rejected."
            );
        }
        is_in_force
    }

    fn reject_heartbeat(&self, id: &str, error: &HeartbeatError) {
        count_rejected_heartbeat("malformed");
        log::warn!("relay: Heartbeat of {id:?} rejected: {error}.");
    }

    fn handle_deregistration(&self, deregistration: UpstreamDeregistration) -> bool {
        let mut actions = Vec::new();
        self.update_machine(AgentEvent::Deregistered(deregistration), &mut actions);
        let is_rejected = |action: &_| matches!(action, AgentAction::DeregistrationRejected(_));
        let is_accepted = !actions.iter().any(is_rejected);
        self.perform_all(actions, &mut [], None);
        is_accepted
    }

    fn metrics(&self) -> String {
        render_metrics()
    }
}
