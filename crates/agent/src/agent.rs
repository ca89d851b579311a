//! Running agent: its sockets, tasks and shared state.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use displaydoc::Display;
use hawthorntide_admission::EndpointLoad;
use hawthorntide_membership::{AgentIdentity, AnnounceMachine, ControlChannel};
use hawthorntide_routing::{ConnectionIdCodec, KeyRing};
use hawthorntide_types::{
    DurationMs, EndpointId, FailureDomain, Incarnation, Phase, Profile, ServiceId, ServiceName,
    SlotCount, TimeMs,
};
use hawthorntide_wire::ControlCodec;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connection_id::NamedConnectionIds;
use crate::control::ControlPlane;
use crate::dispatcher::Desk;
use crate::peers::Peers;
use crate::socket::AgentSocket;
use crate::upstream::UpstreamClient;
use crate::{connection, tls};

/// Receive buffer of a socket; the default of the system holds about 90 full packets and overflows in
/// the bursts of a flood. The system may grant less.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Interval at which a drain looks whether flows are still open.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Interval of the ticks of the admission; the waits that it decides about are longer.
const ADMISSION_TICK: Duration = Duration::from_millis(10);

/// Interval at which the upstream is asked about itself.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);

/// Requests that may be under way from callers at a time, so that streams on which nothing is sent
/// use bounded memory.
const MAX_READS: usize = 4096;

/// Longest time for which a drain that reached its limit waits for requests in progress.
const LAST_REQUESTS: Duration = Duration::from_secs(30);

/// Certificate and private key of an agent.
pub struct AgentTls {
    /// Certificate chain, the agent's own first.
    pub certificates: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate.
    pub key: PrivateKeyDer<'static>,
}

impl std::fmt::Debug for AgentTls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentTls").finish_non_exhaustive()
    }
}

/// Resolved configuration of an agent.
#[derive(Debug)]
pub struct AgentOptions {
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address for forwarded packets.
    pub data_address: SocketAddr,
    /// Address for control messages.
    pub control_address: SocketAddr,
    /// Address of the upstream.
    pub upstream_address: SocketAddr,
    /// Slots of the upstream.
    pub slots: SlotCount,
    /// Control addresses of balancers that are known at the start.
    pub balancers: Vec<SocketAddr>,
    /// Seals control messages.
    pub control: ControlCodec,
    /// Keys of connection identifiers.
    pub keys: KeyRing,
    /// Certificate and key towards callers.
    pub tls: AgentTls,
    /// Profile in force until a newer one arrives.
    pub profile: Profile,
    /// Life of this process.
    pub incarnation: Incarnation,
}

/// Failure to start an agent.
#[derive(Debug, Display)]
pub enum AgentError {
    /// cannot bind {address}: {source}
    Bind {
        /// Address that was wanted.
        address: SocketAddr,
        /// Failure of the system.
        source: std::io::Error,
    },
    /// certificate or key is not valid: {0}
    Tls(String),
}

impl std::error::Error for AgentError {}

/// What was still open when a drain ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainReport {
    /// Connections that were still open.
    pub open_flows: u64,
    /// Requests that were still in progress.
    pub requests_in_progress: u64,
}

/// State that the tasks of one agent share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) service: ServiceName,
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_address: SocketAddr,
    pub(crate) codec: Arc<RwLock<ConnectionIdCodec>>,
    pub(crate) desk: Desk,
    pub(crate) peers: Peers,
    pub(crate) upstream: UpstreamClient,
    /// Permits to read requests that have not arrived whole.
    pub(crate) reads: tokio::sync::Semaphore,
    pub(crate) is_draining: AtomicBool,
    /// Whether a balancer has acknowledged the endpoint since the last pause.
    pub(crate) is_announced: AtomicBool,
    /// Set when the stop is not to be announced.
    pub(crate) is_killed: AtomicBool,
    pub(crate) open_flows: AtomicU64,
    pub(crate) requests_in_progress: AtomicU64,
    pub(crate) stop: CancellationToken,
}

impl Shared {
    /// Returns whether the caller of an answer should send further requests elsewhere.
    pub(crate) fn should_move_callers(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed) || self.peers.should_move(self.desk.now())
    }

    /// Returns the load as siblings compare it.
    pub(crate) fn load(&self) -> EndpointLoad {
        let load = self.desk.load();
        EndpointLoad {
            endpoint: self.endpoint,
            in_flight: load.in_flight,
            waiting: load.waiting,
            queue_delay_ms: load.queue_delay_ms,
            slots: load.slots,
            open_flows: self.open_flows.load(Ordering::Relaxed) as u32,
            phase: self.phase(),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        if self.stop.is_cancelled() {
            return Phase::Gone;
        }
        if self.is_draining.load(Ordering::Relaxed) {
            Phase::Draining
        } else {
            Phase::Serving
        }
    }
}

/// Running agent.
#[derive(Debug)]
pub struct Agent {
    shared: Arc<Shared>,
    endpoint: quinn::Endpoint,
    tasks: TaskTracker,
}

impl Agent {
    /// Binds the sockets and starts the tasks of an agent.
    pub async fn spawn(options: AgentOptions) -> Result<Self, AgentError> {
        let data = bind(options.data_address).await?;
        let control = bind(options.control_address).await?;
        let data_address = local_address(&data, options.data_address)?;
        let control_address = local_address(&control, options.control_address)?;
        let endpoint_id = EndpointId::of_address(data_address);
        let shared = Arc::new(Shared {
            service: options.service,
            endpoint: endpoint_id,
            incarnation: options.incarnation,
            data_address,
            codec: Arc::new(RwLock::new(ConnectionIdCodec::new(options.keys))),
            desk: Desk::new(
                options.profile,
                options.slots,
                options.incarnation,
                endpoint_id,
            ),
            peers: Peers::new(endpoint_id),
            upstream: UpstreamClient::new(options.upstream_address),
            reads: tokio::sync::Semaphore::new(MAX_READS),
            is_draining: AtomicBool::new(false),
            is_announced: AtomicBool::new(false),
            is_killed: AtomicBool::new(false),
            open_flows: AtomicU64::new(0),
            requests_in_progress: AtomicU64::new(0),
            stop: CancellationToken::new(),
        });
        let endpoint = quic_endpoint(&shared, data, options.tls)?;
        let tasks = TaskTracker::new();
        tasks.spawn(connection::accept(
            Arc::clone(&shared),
            endpoint.clone(),
            tasks.clone(),
        ));
        let identity = AgentIdentity {
            incarnation: options.incarnation,
            service: ServiceId::of_name(&shared.service),
            data_address,
            control_address,
            slots: options.slots,
            failure_domain: options.failure_domain,
        };
        let plane = ControlPlane {
            shared: Arc::clone(&shared),
            socket: control,
            gate: ControlChannel::new(options.control, control_address, options.incarnation),
            machine: AnnounceMachine::new(identity, rand::random()),
            started: tokio::time::Instant::now(),
            last_report: TimeMs(0),
            last_weight: TimeMs(0),
        };
        tasks.spawn(plane.run(options.balancers));
        tasks.spawn(tick(Arc::clone(&shared)));
        tasks.spawn(ask_health(Arc::clone(&shared)));
        log::info!("agent: Serving {} at {data_address}.", shared.service);
        Ok(Self {
            shared,
            endpoint,
            tasks,
        })
    }

    /// Returns the address for forwarded packets.
    pub fn data_address(&self) -> SocketAddr {
        self.shared.data_address
    }

    /// Returns the number of open connections.
    pub fn open_flows(&self) -> u64 {
        self.shared.open_flows.load(Ordering::Relaxed)
    }

    /// Takes another certificate for new connections; open ones go on.
    pub fn reload_tls(&self, tls: AgentTls) -> Result<(), AgentError> {
        let config = tls::server_config(tls)?;
        self.endpoint.set_server_config(Some(config));
        Ok(())
    }

    /// Takes another key ring; identifiers that were issued before are not changed.
    pub fn rotate_keys(&self, keys: KeyRing) {
        let codec = ConnectionIdCodec::new(keys);
        *self
            .shared
            .codec
            .write()
            .unwrap_or_else(PoisonError::into_inner) = codec;
    }

    /// Takes no new work, waits until open flows end or `limit` passes, then stops.
    pub async fn drain(self, limit: DurationMs) -> DrainReport {
        self.begin_drain();
        let end = tokio::time::Instant::now() + Duration::from(limit);
        while self.open_flows() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.finish_requests().await;
        let report = self.report();
        self.stop().await;
        report
    }

    /// Waits until no request holds or awaits a slot; streams are not waited for.
    async fn finish_requests(&self) {
        let end = tokio::time::Instant::now() + LAST_REQUESTS;
        while tokio::time::Instant::now() < end {
            let load = self.shared.desk.load();
            if load.in_flight == 0 && load.waiting == 0 {
                return;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Announces that no new work is taken; open flows go on.
    pub fn begin_drain(&self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
        self.shared.desk.begin_drain();
        log::info!("agent: Drain began with {} open flows.", self.open_flows());
    }

    /// Stops at once without a word to the balancers, like a process that dies.
    pub async fn kill(self) {
        self.shared.is_killed.store(true, Ordering::Relaxed);
        self.stop().await;
    }

    /// Announces the departure, closes all connections and waits for the tasks.
    pub async fn stop(self) {
        self.shared.stop.cancel();
        self.endpoint.close(quinn::VarInt::from_u32(0), b"");
        self.endpoint.wait_idle().await;
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn report(&self) -> DrainReport {
        DrainReport {
            open_flows: self.open_flows(),
            requests_in_progress: self.shared.requests_in_progress.load(Ordering::Relaxed),
        }
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(ADMISSION_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = ticks.tick() => shared.desk.tick(),
        }
    }
}

async fn ask_health(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(HEALTH_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let hint = tokio::select! {
            () = shared.stop.cancelled() => return,
            hint = shared.upstream.health() => hint,
        };
        shared.desk.record_hint(hint);
    }
}

async fn bind(address: SocketAddr) -> Result<UdpSocket, AgentError> {
    let bind_error = |source| AgentError::Bind { address, source };
    let socket = UdpSocket::bind(address).await.map_err(bind_error)?;
    let sized = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    sized.map_err(bind_error)?;
    Ok(socket)
}

fn local_address(socket: &UdpSocket, address: SocketAddr) -> Result<SocketAddr, AgentError> {
    socket
        .local_addr()
        .map_err(|source| AgentError::Bind { address, source })
}

fn quic_endpoint(
    shared: &Arc<Shared>,
    data: UdpSocket,
    tls: AgentTls,
) -> Result<quinn::Endpoint, AgentError> {
    let address = shared.data_address;
    let server = tls::server_config(tls)?;
    let mut config = quinn::EndpointConfig::default();
    let ids = NamedConnectionIds::new(
        Arc::clone(&shared.codec),
        shared.endpoint,
        shared.incarnation,
    );
    config.cid_generator(move || Box::new(ids.clone()));
    let socket = Arc::new(AgentSocket::new(data, Arc::clone(shared)));
    let runtime = Arc::new(quinn::TokioRuntime);
    quinn::Endpoint::new_with_abstract_socket(config, Some(server), socket, runtime)
        .map_err(|source| AgentError::Bind { address, source })
}
