//! Balancer process for opaque flows.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hawthorntide_admin::render_metrics;
use hawthorntide_opaque::{
    BalancerDecision, BalancerMachine, BalancerStatus, ColdStartTolerance, Configuration,
    ConfigurationTask, GOSSIP_INTERVAL_MS, GossipEvent, Peer, PeerMessage, PeerRole, QueryPart,
    QueryResult, Search, Segment, UpstreamDeregistration, decode,
};
use hawthorntide_platform::{
    HeartbeatError, HttpServer, MAX_PACKET_BYTES, ProcessHandler, UpstreamHeartbeat, encode_reset,
    parse_caller_packet, request_class, set_request_class,
};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{ConfigurationVersion, DurationMs, ResultCode, TimeMs};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use crate::backoff::StoreRecovery;
use crate::configuration::{ConfigurationEvent, follow_configuration};
use crate::directory::{Directory, DirectoryEvent};
use crate::evacuation::follow_evacuations;
use crate::exchange::{ConfigurationClient, ConfigurationServer, ConfigurationSource};
use crate::metric::{BalancerMetrics, count_refusal};
use crate::process::{ProcessOptions, perform_gossip, send_message};
use crate::sockets::{Clock, MAX_DATAGRAM_BYTES, StartError, bind, receive, send};

/// A draining balancer stops after it receives no packets for this long. The time exceeds the
/// interval of the platform's readiness checks, two per second.
const QUIET_MS: DurationMs = DurationMs(600);

/// Minimum duration of a drain: two readiness checks of the platform and a margin.
const MIN_DRAIN_MS: DurationMs = DurationMs(1_500);

/// Log target for configurations; lines about packets share another limit of lines per second.
const CONFIGURATION_LOG: &str = "hawthorntide_relay::configuration";

#[derive(Clone, Debug)]
pub struct RelayBalancerOptions {
    pub process: ProcessOptions,
    pub data_address: SocketAddr,
    /// HTTP address for readiness checks of the platform.
    pub ready_address: SocketAddr,
    /// HTTP address for metrics, if they are served.
    pub metrics_address: Option<SocketAddr>,
    /// Whether operators evacuate failure domains through the platform store.
    pub has_evacuations: bool,
    /// Tolerance for the new flows of cold upstreams, if they are limited.
    pub cold_start_tolerance: Option<ColdStartTolerance>,
}

/// Running balancer; it stops when it is dropped.
#[derive(Debug)]
pub struct RelayBalancer {
    shared: Arc<Shared>,
    _configuration_server: ConfigurationServer,
    _http_servers: Vec<HttpServer>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    machine: Mutex<BalancerMachine>,
    buffer: Mutex<Vec<u8>>,
    data: UdpSocket,
    peers: UdpSocket,
    caller_port: u16,
    is_stopping: AtomicBool,
    last_packet_ms: AtomicU64,
    metrics: BalancerMetrics,
}

impl RelayBalancer {
    /// Binds the sockets and starts the tasks of a balancer.
    pub async fn spawn(options: RelayBalancerOptions) -> Result<Self, StartError> {
        let process = &options.process;
        let local_peer = process.peer(PeerRole::Balancer(BalancerStatus::default()));
        let store = process.open_store()?;
        let shared = Arc::new(Shared {
            clock: Clock::start(),
            machine: Mutex::new(
                BalancerMachine::new(local_peer.clone(), process.seed)
                    .with_cold_start_tolerance(options.cold_start_tolerance),
            ),
            buffer: Mutex::new(Vec::new()),
            data: bind(options.data_address).await?,
            peers: bind(process.peer_address).await?,
            caller_port: options.data_address.port(),
            is_stopping: AtomicBool::new(false),
            last_packet_ms: AtomicU64::new(0),
            metrics: BalancerMetrics::new(),
        });
        shared.gossip(GossipEvent::Seeds(process.seed_addresses()));
        let mut http_servers = Vec::new();
        let addresses = [Some(options.ready_address), options.metrics_address];
        for address in addresses.into_iter().flatten() {
            let state: Arc<dyn ProcessHandler> = Arc::clone(&shared) as _;
            let http_server = HttpServer::bind(address, state).await;
            http_servers.push(http_server.map_err(|source| StartError::Bind { address, source })?);
        }
        let source: Arc<dyn ConfigurationSource> = Arc::clone(&shared) as _;
        let address = process.peer_address;
        let configuration_server = ConfigurationServer::bind(address, source).await;
        let configuration_server =
            configuration_server.map_err(|source| StartError::Bind { address, source })?;
        let recovery = StoreRecovery::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&shared).receive_packets());
        tasks.spawn(Arc::clone(&shared).receive_messages());
        tasks.spawn(Arc::clone(&shared).run_gossip());
        let (task_source, peer_source, event_target) = (
            Arc::clone(&shared),
            Arc::clone(&shared),
            Arc::clone(&shared),
        );
        tasks.spawn(follow_configuration(
            Arc::clone(&store),
            recovery.clone(),
            ConfigurationClient::open().map_err(|_| StartError::ConfigurationClient)?,
            move || {
                task_source
                    .machine()
                    .configuration_task(task_source.clock.now())
            },
            move || {
                peer_source
                    .machine()
                    .latest_balancer(peer_source.clock.now())
            },
            move |event| event_target.handle_configuration_event(event),
        ));
        if options.has_evacuations {
            let (watcher, reader) = (Arc::clone(&shared), Arc::clone(&shared));
            tasks.spawn(follow_evacuations(
                Arc::clone(&store),
                recovery.clone(),
                move || watcher.should_watch(),
                move |evacuations| reader.gossip(GossipEvent::EvacuationsRead(evacuations)),
            ));
        }
        if let Some(directory) = Directory::new(store, &local_peer, recovery) {
            let shared = Arc::clone(&shared);
            tasks.spawn(directory.run(move |event| {
                if let DirectoryEvent::Listed { peers, is_complete } = event {
                    shared.handle_directory(peers, is_complete);
                }
            }));
        }
        Ok(Self {
            shared,
            _configuration_server: configuration_server,
            _http_servers: http_servers,
            _tasks: tasks,
        })
    }

    /// Reports not ready and keeps forwarding until packets stop arriving or `limit_ms` has passed.
    pub async fn drain(&self, limit_ms: DurationMs) {
        let shared = &self.shared;
        shared.is_stopping.store(true, Ordering::Relaxed);
        let started_at = shared.clock.now();
        loop {
            sleep(Duration::from_millis(50)).await;
            let now = shared.clock.now();
            let drained_ms = now.since(started_at);
            let quiet_ms = now.since(TimeMs(shared.last_packet_ms.load(Ordering::Relaxed)));
            let is_quiet = quiet_ms >= QUIET_MS && drained_ms >= MIN_DRAIN_MS;
            if is_quiet || drained_ms >= limit_ms {
                log::info!(drained_ms:% = drained_ms; "relay: Balancer drained.");
                return;
            }
        }
    }
}

impl Shared {
    fn machine(&self) -> MutexGuard<'_, BalancerMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn buffer(&self) -> MutexGuard<'_, Vec<u8>> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn receive_packets(self: Arc<Self>) {
        receive(&self.data, MAX_PACKET_BYTES + 1, |packet, _| {
            self.handle_packet(packet);
        })
        .await;
    }

    fn handle_packet(&self, packet: &mut [u8]) {
        let now = self.clock.now();
        self.last_packet_ms.store(now.get(), Ordering::Relaxed);
        let segment = match parse_caller_packet(packet) {
            Ok(segment) => segment,
            Err(error) => {
                log::warn!("relay: Malformed packet of a caller dropped: {error}.");
                return;
            }
        };
        let decision = self.machine().place(now, &segment);
        self.execute(packet, &segment, decision);
    }

    fn execute(&self, packet: &mut [u8], segment: &Segment, decision: BalancerDecision) {
        match decision {
            BalancerDecision::Forward { to, search } => {
                self.metrics.forwarded.increment(1);
                if segment.is_opening() {
                    self.metrics.openings.increment(1);
                    log::info!(
                        flow:% = segment.flow,
                        service:% = search.service,
                        agent:% = to,
                        visited = search.visited.len(),
                        version:% = self.machine().routes().version();
                        "relay: Opening packet placed."
                    );
                }
                set_request_class(packet, search.class);
                let message = PeerMessage::forward(search);
                send_message(&self.peers, to, &message, packet, &mut self.buffer());
            }
            BalancerDecision::Query { parts, search } => {
                self.metrics.queries.increment(1);
                log::info!(
                    flow:% = segment.flow,
                    agents = parts.iter().map(|part| 1 + part.others.len()).sum::<usize>();
                    "relay: Agents queried for the owner of a flow."
                );
                set_request_class(packet, search.class);
                for QueryPart { delegate, others } in parts {
                    let message = PeerMessage::RelayQuery {
                        search: search.clone(),
                        agents: others,
                    };
                    send_message(&self.peers, delegate, &message, packet, &mut self.buffer());
                }
            }
            BalancerDecision::Reset(code) => {
                count_refusal(code, true);
                self.log_refusal(segment, code, "relay: Flow refused.");
                let caller = SocketAddr::new(segment.flow.caller.ip(), self.caller_port);
                send(
                    &self.data,
                    &encode_reset(segment.flow, segment.acknowledged),
                    caller,
                );
            }
            BalancerDecision::Drop(code) => {
                count_refusal(code, false);
                self.log_refusal(segment, code, "relay: Packet dropped.");
            }
        }
    }

    /// Ends the query for the owner of a flow that no agent owns.
    fn end_query(&self, flow: FlowKey, result: QueryResult) {
        let code = ResultCode::NoEndpoint;
        let is_reset = matches!(result, QueryResult::Ended { .. });
        count_refusal(code, is_reset);
        log::info!(flow:% = flow, code:% = code, is_reset; "relay: No agent owns the flow.");
        if let QueryResult::Ended { acknowledged } = result {
            let caller = SocketAddr::new(flow.caller.ip(), self.caller_port);
            send(&self.data, &encode_reset(flow, acknowledged), caller);
        }
    }

    fn log_refusal(&self, segment: &Segment, code: ResultCode, text: &str) {
        let machine = self.machine();
        log::info!(
            flow:% = segment.flow,
            is_opening = segment.is_opening(),
            code:% = code,
            version:% = machine.routes().version(),
            agents = machine.gossip().view().reachable_agents(self.clock.now());
            "{text}"
        );
    }

    async fn receive_messages(self: Arc<Self>) {
        receive(&self.peers, MAX_DATAGRAM_BYTES, |datagram, from| {
            self.handle_message(datagram, from);
        })
        .await;
    }

    fn handle_message(&self, datagram: &mut [u8], from: SocketAddr) {
        let now = self.clock.now();
        match decode(datagram) {
            Ok((PeerMessage::Gossip(gossip), _)) => {
                self.gossip(GossipEvent::Message { from, gossip });
            }
            Ok((PeerMessage::FlowOwner { flow, owner }, _)) => {
                log::info!(flow:% = flow, agent:% = owner; "relay: Flow owner cached.");
                self.metrics.located.increment(1);
                let mut machine = self.machine();
                machine.record_owner(now, flow, owner);
                self.metrics
                    .located_flows
                    .set(machine.cached_flows() as f64);
            }
            Ok((PeerMessage::Exhausted(search), packet)) => {
                let start = datagram.len() - packet.len();
                self.handle_returned(
                    &mut datagram[start..],
                    from,
                    search,
                    |machine, search, segment| {
                        machine.handle_exhausted_search(now, search, segment)
                    },
                );
            }
            Ok((PeerMessage::Overloaded(search), packet)) => {
                let start = datagram.len() - packet.len();
                self.handle_returned(
                    &mut datagram[start..],
                    from,
                    search,
                    |machine, search, segment| machine.handle_overloaded(now, search, segment),
                );
            }
            Ok((PeerMessage::OwnerLost { search, owner }, packet)) => {
                let start = datagram.len() - packet.len();
                self.handle_returned(
                    &mut datagram[start..],
                    from,
                    search,
                    |machine, search, segment| {
                        machine.handle_owner_lost(now, search, owner, segment)
                    },
                );
            }
            Ok((PeerMessage::NotOwned { flow }, _)) => {
                let result = self.machine().handle_not_owned(now, from, flow);
                if let Some(result) = result {
                    self.end_query(flow, result);
                }
            }
            Ok((
                PeerMessage::Forward(_)
                | PeerMessage::ForwardOpening { .. }
                | PeerMessage::RegisterFlows(_)
                | PeerMessage::Query(_)
                | PeerMessage::RelayQuery { .. },
                _,
            )) => {
                log::warn!("relay: Message from {from} dropped: it is meant for an agent.");
            }
            Err(error) => log::warn!("relay: Malformed message from {from} dropped: {error}."),
        }
    }

    /// Executes what `decide` decides on a packet that an agent returned.
    fn handle_returned(
        &self,
        packet: &mut [u8],
        from: SocketAddr,
        mut search: Search,
        decide: impl FnOnce(&mut BalancerMachine, Search, &Segment) -> BalancerDecision,
    ) {
        let Ok(segment) = parse_caller_packet(packet) else {
            log::warn!("relay: Malformed packet returned by {from} dropped.");
            return;
        };
        search.class = request_class(packet);
        let decision = decide(&mut self.machine(), search, &segment);
        self.execute(packet, &segment, decision);
    }

    async fn run_gossip(self: Arc<Self>) {
        let mut rounds = interval(GOSSIP_INTERVAL_MS.into());
        loop {
            rounds.tick().await;
            self.gossip(GossipEvent::Round);
        }
    }

    /// Returns whether this balancer is one of those that watch the platform store. It does not count as
    /// watching for others while the store does not answer, or the configuration cannot be read.
    fn should_watch(&self) -> bool {
        self.machine().configuration_task(self.clock.now()) == ConfigurationTask::Watch
    }

    fn gossip(&self, event: GossipEvent) {
        let mut actions = Vec::new();
        self.machine()
            .handle_gossip(self.clock.now(), event, &mut actions);
        perform_gossip(&self.peers, actions, &mut self.buffer());
    }

    fn handle_directory(&self, peers: Vec<Peer>, is_complete: bool) {
        self.machine()
            .record_directory(self.clock.now(), is_complete);
        self.gossip(GossipEvent::Directory(peers));
    }

    fn handle_configuration_event(&self, event: ConfigurationEvent) {
        let now = self.clock.now();
        let is_watching = match event {
            ConfigurationEvent::Read(configuration) => {
                self.apply(configuration, BalancerMachine::apply);
                return;
            }
            ConfigurationEvent::Fetched {
                peer,
                configuration,
            } => {
                self.apply(configuration, |machine, configuration| {
                    machine.apply_fetched(now, peer, configuration)
                });
                return;
            }
            ConfigurationEvent::FetchFailed(peer) => {
                self.machine().record_failed_fetch(now, peer);
                return;
            }
            ConfigurationEvent::Current => {
                let mut machine = self.machine();
                machine.confirm(now);
                machine.should_watch(now)
            }
            ConfigurationEvent::StoreFailed => {
                self.machine().record_store_failure();
                false
            }
            ConfigurationEvent::NotWatching => false,
        };
        self.report_watching(now, is_watching);
        let role = self.machine().role(is_watching);
        self.gossip(GossipEvent::LocalRoleChanged(role));
    }

    /// Applies a configuration by `apply`, which returns whether it is newer than the one in force.
    fn apply(
        &self,
        configuration: Configuration,
        apply: impl FnOnce(&mut BalancerMachine, Configuration) -> bool,
    ) {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let is_newer = apply(&mut self.machine(), configuration);
        if is_newer {
            self.metrics.version.set(version.get() as f64);
        }
        log::info!(
            target: CONFIGURATION_LOG,
            version:% = version,
            routes,
            is_newer;
            "relay: Configuration read."
        );
    }

    /// Logs the start and the end of a watch, with the number of other balancers that watch.
    fn report_watching(&self, now: TimeMs, is_watching: bool) {
        let machine = self.machine();
        let was_watching = machine.gossip().local_peer().balancer();
        let is_changed = was_watching.is_some_and(|it| it.is_watching != is_watching);
        let other_watchers = machine.watcher_count(now);
        drop(machine);
        if is_changed {
            log::info!(
                target: CONFIGURATION_LOG,
                is_watching,
                other_watchers;
                "relay: Watch of the configuration started or ended."
            );
        }
        self.metrics.watching.set(f64::from(u8::from(is_watching)));
    }
}

impl ConfigurationSource for Shared {
    fn version(&self) -> ConfigurationVersion {
        self.machine().routes().version()
    }

    fn configuration(&self) -> Option<Configuration> {
        self.machine().routes().configuration().cloned()
    }
}

impl ProcessHandler for Shared {
    fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Relaxed) && self.machine().is_ready(self.clock.now())
    }

    fn handle_heartbeat(&self, _: UpstreamHeartbeat) -> bool {
        false
    }

    fn reject_heartbeat(&self, id: &str, error: &HeartbeatError) {
        log::warn!("relay: Heartbeat of {id:?} rejected: {error}.");
    }

    fn handle_deregistration(&self, deregistration: UpstreamDeregistration) -> bool {
        let id = deregistration.id;
        log::warn!("relay: Deregistration of upstream {id:?} ignored: balancers have no upstream.");
        true
    }

    fn metrics(&self) -> String {
        render_metrics()
    }
}
