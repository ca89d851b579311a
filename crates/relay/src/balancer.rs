//! Balancer for opaque flows.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hawthorntide_admin::render_metrics;
use hawthorntide_opaque::{
    BalancerDecision, BalancerMachine, BalancerStatus, Configuration, GOSSIP_INTERVAL_MS,
    GossipEvent, PeerMessage, PeerRole, Segment, decode,
};
use hawthorntide_platform::{
    HttpServer, MAX_PACKET_BYTES, ProcessHandler, UpstreamHeartbeat, encode_reset,
    parse_caller_packet,
};
use hawthorntide_types::{DurationMs, ResultCode, TimeMs};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use crate::configuration::{ConfigurationNews, follow};
use crate::directory::{Directory, DirectoryNews};
use crate::exchange::{ConfigurationClient, ConfigurationEdge, ConfigurationSource};
use crate::metric::{BalancerMetrics, count_refusal};
use crate::peers::{ProcessOptions, carry_out, send_message};
use crate::sockets::{Clock, MAX_DATAGRAM_BYTES, StartError, bind, receive, send};

/// Time without packets after which a stopping balancer ends: the platform looks at its readiness
/// twice a second.
const QUIET_MS: DurationMs = DurationMs(600);

/// Least time for which a stopping balancer goes on: two looks at its readiness and a margin.
const LEAST_DRAIN_MS: DurationMs = DurationMs(1_500);

/// Options of a balancer.
#[derive(Clone, Debug)]
pub struct RelayBalancerOptions {
    /// What both roles have.
    pub process: ProcessOptions,
    /// Address for packets of callers.
    pub data_address: SocketAddr,
    /// Address at which the platform asks for readiness.
    pub ready_address: SocketAddr,
    /// Address at which metrics are served.
    pub metrics_address: Option<SocketAddr>,
}

/// Running balancer; it stops when it is dropped.
#[derive(Debug)]
pub struct RelayBalancer {
    core: Arc<Core>,
    _exchange: ConfigurationEdge,
    _edges: Vec<HttpServer>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Core {
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
        let own = process.peer(PeerRole::Balancer(BalancerStatus::default()));
        let store = process.open_store()?;
        let core = Arc::new(Core {
            clock: Clock::start(),
            machine: Mutex::new(BalancerMachine::new(own.clone(), process.seed)),
            buffer: Mutex::new(Vec::new()),
            data: bind(options.data_address).await?,
            peers: bind(process.peer_address).await?,
            caller_port: options.data_address.port(),
            is_stopping: AtomicBool::new(false),
            last_packet_ms: AtomicU64::new(0),
            metrics: BalancerMetrics::new(),
        });
        core.gossip(GossipEvent::Seeds(process.seed_addresses()));
        let mut edges = Vec::new();
        let addresses = [Some(options.ready_address), options.metrics_address];
        for address in addresses.into_iter().flatten() {
            let state: Arc<dyn ProcessHandler> = Arc::clone(&core) as _;
            let edge = HttpServer::bind(address, state).await;
            edges.push(edge.map_err(|source| StartError::Bind { address, source })?);
        }
        let source: Arc<dyn ConfigurationSource> = Arc::clone(&core) as _;
        let address = process.peer_address;
        let exchange = ConfigurationEdge::bind(address, source).await;
        let exchange = exchange.map_err(|source| StartError::Bind { address, source })?;
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&core).take_packets());
        tasks.spawn(Arc::clone(&core).take_messages());
        tasks.spawn(Arc::clone(&core).gossip_rounds());
        let (asked, configured) = (Arc::clone(&core), Arc::clone(&core));
        tasks.spawn(follow(
            Arc::clone(&store),
            ConfigurationClient::open().map_err(|_| StartError::ConfigurationClient)?,
            move || asked.machine().configuration_task(asked.clock.now()),
            move |news| configured.configure(news),
        ));
        if let Some(directory) = Directory::new(store, &own) {
            let core = Arc::clone(&core);
            tasks.spawn(directory.run(move |news| {
                if let DirectoryNews::Listed(peers) = news {
                    core.gossip(GossipEvent::Directory(peers));
                }
            }));
        }
        Ok(Self {
            core,
            _exchange: exchange,
            _edges: edges,
            _tasks: tasks,
        })
    }

    /// Lets the platform take the balancer out of use and forwards until packets stop.
    pub async fn drain(&self, limit_ms: DurationMs) {
        let core = &self.core;
        core.is_stopping.store(true, Ordering::Relaxed);
        let began = core.clock.now();
        loop {
            sleep(Duration::from_millis(50)).await;
            let now = core.clock.now();
            let drained_ms = now.since(began);
            let quiet_ms = now.since(TimeMs(core.last_packet_ms.load(Ordering::Relaxed)));
            let is_quiet = quiet_ms >= QUIET_MS && drained_ms >= LEAST_DRAIN_MS;
            if is_quiet || drained_ms >= limit_ms {
                log::info!(drained_ms:% = drained_ms; "relay: Balancer drained.");
                return;
            }
        }
    }
}

impl Core {
    fn machine(&self) -> MutexGuard<'_, BalancerMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn buffer(&self) -> MutexGuard<'_, Vec<u8>> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn take_packets(self: Arc<Self>) {
        receive(&self.data, MAX_PACKET_BYTES + 1, |packet, _| {
            self.take_packet(packet);
        })
        .await;
    }

    fn take_packet(&self, packet: &[u8]) {
        let now = self.clock.now();
        self.last_packet_ms.store(now.get(), Ordering::Relaxed);
        let segment = match parse_caller_packet(packet) {
            Ok(segment) => segment,
            Err(error) => {
                log::warn!("relay: Packet of a caller dropped: {error}.");
                return;
            }
        };
        let decision = self.machine().place(now, &segment);
        self.decide(packet, &segment, decision);
    }

    fn decide(&self, packet: &[u8], segment: &Segment, decision: BalancerDecision) {
        match decision {
            BalancerDecision::Forward { to, search } => {
                self.metrics.forwarded.increment(1);
                if segment.is_opening() {
                    self.metrics.opened.increment(1);
                    log::info!(
                        flow:% = segment.flow,
                        service:% = search.service,
                        agent:% = to,
                        visited = search.visited.len(),
                        version:% = self.machine().routes().version();
                        "relay: Opening packet placed."
                    );
                }
                let message = PeerMessage::Forward(search);
                send_message(&self.peers, to, &message, packet, &mut self.buffer());
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

    async fn take_messages(self: Arc<Self>) {
        receive(&self.peers, MAX_DATAGRAM_BYTES, |datagram, from| {
            self.take_message(datagram, from);
        })
        .await;
    }

    fn take_message(&self, datagram: &[u8], from: SocketAddr) {
        let now = self.clock.now();
        match decode(datagram) {
            Ok((PeerMessage::Gossip(gossip), _)) => {
                self.gossip(GossipEvent::Message { from, gossip });
            }
            Ok((PeerMessage::Located { flow, owner }, _)) => {
                log::info!(flow:% = flow, agent:% = owner; "relay: Flow located.");
                self.metrics.located.increment(1);
                let mut machine = self.machine();
                machine.cache_owner(now, flow, owner);
                self.metrics
                    .located_flows
                    .set(machine.located_flows() as f64);
            }
            Ok((PeerMessage::Exhausted(search), packet)) => {
                let Ok(segment) = parse_caller_packet(packet) else {
                    log::warn!("relay: Packet given back by {from} is not readable.");
                    return;
                };
                let decision = self
                    .machine()
                    .handle_exhausted_search(now, search, &segment);
                self.decide(packet, &segment, decision);
            }
            Ok((PeerMessage::Forward(_), _)) => {
                log::warn!("relay: Packet of {from} for an upstream dropped.");
            }
            Err(error) => log::warn!("relay: Message of {from} dropped: {error}."),
        }
    }

    async fn gossip_rounds(self: Arc<Self>) {
        let mut rounds = interval(GOSSIP_INTERVAL_MS.into());
        loop {
            rounds.tick().await;
            self.gossip(GossipEvent::Round);
        }
    }

    fn gossip(&self, event: GossipEvent) {
        let mut actions = Vec::new();
        self.machine()
            .handle_gossip(self.clock.now(), event, &mut actions);
        carry_out(&self.peers, actions, &mut self.buffer());
    }

    fn configure(&self, news: ConfigurationNews) {
        let now = self.clock.now();
        let role = match news {
            ConfigurationNews::Read(configuration) => {
                let version = configuration.version;
                let routes = configuration.routes.len();
                let is_newer = self.machine().apply(configuration);
                if is_newer {
                    self.metrics.version.set(version.get() as f64);
                }
                log::info!(version:% = version, routes, is_newer; "relay: Configuration read.");
                return;
            }
            ConfigurationNews::Current => {
                let mut machine = self.machine();
                machine.confirm(now);
                machine.role(machine.should_watch(now))
            }
            ConfigurationNews::Unwatched => self.machine().role(false),
        };
        self.gossip(GossipEvent::LocalRoleChanged(role));
    }
}

impl ConfigurationSource for Core {
    fn configuration(&self) -> Option<Configuration> {
        self.machine().routes().configuration().cloned()
    }
}

impl ProcessHandler for Core {
    fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Relaxed) && self.machine().is_ready(self.clock.now())
    }

    fn handle_heartbeat(&self, _: UpstreamHeartbeat) -> bool {
        false
    }

    fn handle_deregistration(&self, id: &str) {
        log::warn!("relay: Balancers have no upstream, {id:?} told its end here.");
    }

    fn metrics(&self) -> String {
        render_metrics()
    }
}
