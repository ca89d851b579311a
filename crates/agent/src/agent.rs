//! A running agent with its sockets, tasks and shared state.

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

use crate::connection_id::RoutableConnectionIds;
use crate::control::ControlPlane;
use crate::dispatcher::Dispatcher;
use crate::peers::Peers;
use crate::socket::AgentSocket;
use crate::upstream::UpstreamClient;
use crate::{connection, tls};

/// Receive buffer requested for a socket; the kernel may grant less. The kernel's default holds
/// about 90 full packets and overflows in the bursts of a flood.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Interval at which a drain checks for open flows and requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tick interval of admission control; shorter than the queue waits that it enforces.
const ADMISSION_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which the upstream's health is polled.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of requests that are read concurrently. Bounds the memory used by streams on
/// which nothing is sent.
const MAX_CONCURRENT_READS: usize = 4096;

/// Longest time that a drain waits for queued and running requests, after all flows have ended or
/// the limit for open flows has passed.
const REQUEST_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// TLS credentials that an agent presents to callers.
pub struct AgentTls {
    /// Certificate chain, leaf certificate first.
    pub certificates: Vec<CertificateDer<'static>>,
    /// Private key of the leaf certificate.
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
    pub service: ServiceName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address that receives packets forwarded by balancers.
    pub data_address: SocketAddr,
    pub control_address: SocketAddr,
    pub upstream_address: SocketAddr,
    /// Requests that the upstream processes concurrently.
    pub slots: SlotCount,
    /// Control addresses of the balancers to contact at startup.
    pub balancers: Vec<SocketAddr>,
    /// Authenticates control messages within the cluster.
    pub control: ControlCodec,
    /// Keys that authenticate connection identifiers.
    pub keys: KeyRing,
    pub tls: AgentTls,
    /// Profile in force until the configuration delivers one.
    pub profile: Profile,
    pub incarnation: Incarnation,
}

/// Error while starting or reconfiguring an agent.
#[derive(Debug, Display)]
pub enum AgentError {
    /// cannot bind {address}: {source}
    Bind {
        address: SocketAddr,
        source: std::io::Error,
    },
    /// certificate or key is not valid: {0}
    Tls(String),
}

impl std::error::Error for AgentError {}

/// Work that was still open when a drain ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainReport {
    /// Caller connections.
    pub open_flows: u64,
    pub requests_in_progress: u64,
}

/// State shared by the tasks of one agent.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) service: ServiceName,
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_address: SocketAddr,
    pub(crate) codec: Arc<RwLock<ConnectionIdCodec>>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) peers: Peers,
    pub(crate) upstream: UpstreamClient,
    /// Limits the requests that are read concurrently to `MAX_CONCURRENT_READS`.
    pub(crate) read_permits: tokio::sync::Semaphore,
    pub(crate) is_draining: AtomicBool,
    /// Whether a balancer has acknowledged the endpoint since the start or the last pause of the
    /// process.
    pub(crate) is_announced: AtomicBool,
    /// Set when the agent must stop without announcing it.
    pub(crate) is_killed: AtomicBool,
    pub(crate) open_flows: AtomicU64,
    pub(crate) requests_in_progress: AtomicU64,
    pub(crate) stop: CancellationToken,
}

impl Shared {
    /// Whether answers ask their callers to send further requests to another agent.
    pub(crate) fn should_move_callers(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed) || self.peers.should_move(self.dispatcher.now())
    }

    /// Load as reported to siblings.
    pub(crate) fn load(&self) -> EndpointLoad {
        let load = self.dispatcher.load();
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

#[derive(Debug)]
pub struct Agent {
    shared: Arc<Shared>,
    endpoint: quinn::Endpoint,
    tasks: TaskTracker,
}

impl Agent {
    /// Binds the sockets and starts the tasks.
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
            dispatcher: Dispatcher::new(
                options.profile,
                options.slots,
                options.incarnation,
                endpoint_id,
            ),
            peers: Peers::new(endpoint_id),
            upstream: UpstreamClient::new(options.upstream_address),
            read_permits: tokio::sync::Semaphore::new(MAX_CONCURRENT_READS),
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
        let control_plane = ControlPlane {
            shared: Arc::clone(&shared),
            socket: control,
            channel: ControlChannel::new(options.control, control_address, options.incarnation),
            machine: AnnounceMachine::new(identity, rand::random()),
            started: tokio::time::Instant::now(),
            last_report: TimeMs(0),
            last_weight_update: TimeMs(0),
        };
        tasks.spawn(control_plane.run(options.balancers));
        tasks.spawn(run_admission_ticks(Arc::clone(&shared)));
        tasks.spawn(poll_health(Arc::clone(&shared)));
        log::info!("agent: Serving {} at {data_address}.", shared.service);
        Ok(Self {
            shared,
            endpoint,
            tasks,
        })
    }

    /// Address that receives packets forwarded by balancers.
    pub fn data_address(&self) -> SocketAddr {
        self.shared.data_address
    }

    /// Number of open caller connections.
    pub fn open_flows(&self) -> u64 {
        self.shared.open_flows.load(Ordering::Relaxed)
    }

    /// Replaces the certificate for new connections; open connections are not affected.
    pub fn reload_tls(&self, tls: AgentTls) -> Result<(), AgentError> {
        let config = tls::server_config(tls)?;
        self.endpoint.set_server_config(Some(config));
        Ok(())
    }

    /// Replaces the key ring. Open connections keep the identifiers that were issued earlier.
    pub fn rotate_keys(&self, keys: KeyRing) {
        let codec = ConnectionIdCodec::new(keys);
        *self
            .shared
            .codec
            .write()
            .unwrap_or_else(PoisonError::into_inner) = codec;
    }

    /// Stops accepting new work, waits until all flows have ended or `limit` has passed, lets
    /// queued and running requests finish, then stops.
    pub async fn drain(self, limit: DurationMs) -> DrainReport {
        self.begin_drain();
        let end = tokio::time::Instant::now() + Duration::from(limit);
        while self.open_flows() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.wait_for_requests().await;
        let report = self.report();
        self.stop().await;
        report
    }

    /// Waits until no request holds or waits for a slot; does not wait for streams.
    async fn wait_for_requests(&self) {
        let end = tokio::time::Instant::now() + REQUEST_DRAIN_TIMEOUT;
        while tokio::time::Instant::now() < end {
            let load = self.shared.dispatcher.load();
            if load.in_flight == 0 && load.waiting == 0 {
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Stops accepting new work and has the control plane announce it; open flows continue.
    pub fn begin_drain(&self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
        self.shared.dispatcher.begin_drain();
        log::info!(
            "agent: Drain started with {} open flows.",
            self.open_flows()
        );
    }

    /// Stops without announcing it to the balancers, as if the process had crashed.
    pub async fn kill(self) {
        self.shared.is_killed.store(true, Ordering::Relaxed);
        self.stop().await;
    }

    /// Announces that the endpoint is gone, closes all connections and waits for the tasks to end.
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

async fn run_admission_ticks(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(ADMISSION_TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = ticks.tick() => shared.dispatcher.tick(),
        }
    }
}

async fn poll_health(shared: Arc<Shared>) {
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
        shared.dispatcher.record_hint(hint);
    }
}

async fn bind(address: SocketAddr) -> Result<UdpSocket, AgentError> {
    let bind_error = |source| AgentError::Bind { address, source };
    let socket = UdpSocket::bind(address).await.map_err(bind_error)?;
    let result = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    result.map_err(bind_error)?;
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
    let ids = RoutableConnectionIds::new(
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
