//! Local UDP socket from which connections to agents are opened.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hawthorntide_admission::{DEFAULT_RETRY_BUDGET, RetryAttempt, RetryBudget};
use hawthorntide_types::{DurationMs, TimeMs};
use quinn::{ClientConfig, Endpoint, EndpointConfig, TokioRuntime, TransportConfig, VarInt};
use quinn_proto::ConnectionId;
use rustls::pki_types::CertificateDer;
use tokio::time::Instant;

use crate::session::{AgentConnection, MonitorGuard, ResumeState};
use crate::{CallError, tls};

/// Several keepalives fit into [`SILENCE_TIMEOUT`], so that a single loss does not count as silence.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(750);

/// The socket moves to a new port if a connection receives no packet for this long. Together with the
/// check interval, a silent flow is detected within 3 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The agent is considered unreachable if no packet arrives on the new port for this long.
const NEW_PORT_TIMEOUT: Duration = Duration::from_millis(2500);

const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The local process is assumed to have been paused if two checks are further apart than this.
const LOCAL_PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Application error code of the QUIC close when the agent does not respond.
const CLOSE_SILENT: u32 = 1;

/// QUIC idle timeout.
const IDLE_TIMEOUT_MS: u32 = 30_000;

/// Leaves room for the forwarding header of balancers within an Ethernet frame.
const MAX_QUIC_DATAGRAM_BYTES: u16 = 1400;

/// Options of a [`CallerSocket`].
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Local address; with port 0 the operating system chooses the port.
    pub local_address: SocketAddr,
    /// Certificates of the certificate authority that signs the certificates of agents.
    pub authority: Vec<CertificateDer<'static>>,
}

/// Local UDP socket. Its connections share one port and move to a new port together when one of them
/// receives nothing for 2.5 s.
#[derive(Clone, Debug)]
pub struct CallerSocket {
    endpoint: Endpoint,
    config: ClientConfig,
    local_address: SocketAddr,
    /// Time of the last move to a new port, so that several silent connections cause only one move.
    rebound_at: Arc<Mutex<Option<Instant>>>,
    /// Retry budget for idempotent requests, shared by all connections of the socket.
    retry_budget: Arc<Mutex<RetryBudget>>,
    bound_at: Instant,
}

impl CallerSocket {
    /// Binds the local socket; must be called within a Tokio runtime.
    ///
    /// Fails if a CA certificate is invalid or the address cannot be bound.
    pub fn bind(options: CallerOptions) -> Result<Self, CallError> {
        let crypto = tls::client_crypto(&options.authority)?;
        let mut config = ClientConfig::new(crypto);
        config.transport_config(Arc::new(transport()));
        let socket = std::net::UdpSocket::bind(options.local_address).map_err(CallError::Bind)?;
        let runtime = Arc::new(TokioRuntime);
        let endpoint = Endpoint::new(EndpointConfig::default(), None, socket, runtime)
            .map_err(CallError::Bind)?;
        Ok(Self {
            endpoint,
            config,
            local_address: options.local_address,
            rebound_at: Arc::default(),
            retry_budget: Arc::new(Mutex::new(RetryBudget::new(
                DEFAULT_RETRY_BUDGET,
                rand::random(),
            ))),
            bound_at: Instant::now(),
        })
    }

    /// Opens a connection to `service` at `address` and waits for the session grant.
    ///
    /// With `resume_state` the connection is routed to the agent that granted that session. Fails if the
    /// handshake fails, the connection is lost or the agent grants no session; it has no timeout beyond
    /// the idle timeout of 30 s.
    pub async fn connect(
        &self,
        service: &str,
        address: SocketAddr,
        resume_state: Option<ResumeState>,
    ) -> Result<AgentConnection, CallError> {
        let mut config = self.config.clone();
        if let Some(state) = &resume_state {
            let connection_id = ConnectionId::new(&state.connection_id);
            config.initial_dst_cid_provider(Arc::new(move || connection_id));
        }
        let connect_error = |reason: String| CallError::Connect {
            service: service.to_owned(),
            reason,
        };
        let connecting = self
            .endpoint
            .connect_with(config, address, service)
            .map_err(|error| connect_error(error.to_string()))?;
        let connection = connecting
            .await
            .map_err(|error| connect_error(error.to_string()))?;
        let monitor = tokio::spawn(self.clone().monitor_silence(connection.clone()));
        AgentConnection::start(connection, MonitorGuard::new(monitor), resume_state).await
    }

    /// Moves all connections of this socket to a new local port that the operating system chooses.
    ///
    /// Fails if no new socket can be bound; the connections then stay on the old port.
    pub fn rebind(&self) -> Result<(), CallError> {
        let address = SocketAddr::new(self.local_address.ip(), 0);
        let socket = std::net::UdpSocket::bind(address).map_err(CallError::Bind)?;
        self.endpoint.rebind(socket).map_err(CallError::Bind)
    }

    /// Returns the address that connections currently send from; its port changes with each move.
    pub fn local_address(&self) -> Result<SocketAddr, CallError> {
        self.endpoint.local_addr().map_err(CallError::Bind)
    }

    /// Counts a request towards the recent request rate, which determines the retry budget.
    pub(crate) fn record_request(&self) {
        let now = self.to_time(Instant::now());
        self.retry_budget().record_request(now);
    }

    /// Returns when an idempotent request may be retried; `None` if the deadline or budget forbids it.
    pub(crate) fn retry_at(
        &self,
        retries: u32,
        deadline: Instant,
        expected: Duration,
    ) -> Option<Instant> {
        let attempt = RetryAttempt {
            idempotent: true,
            retries,
            deadline: self.to_time(deadline),
            expected_ms: DurationMs(expected.as_millis() as u64),
        };
        let now = self.to_time(Instant::now());
        let at = self.retry_budget().schedule_retry(now, attempt)?;
        Some(self.bound_at + Duration::from_millis(at.get()))
    }

    fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn to_time(&self, at: Instant) -> TimeMs {
        TimeMs(at.saturating_duration_since(self.bound_at).as_millis() as u64)
    }

    /// Closes all connections and waits until their close frames are sent and they are drained.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"");
        self.endpoint.wait_idle().await;
    }

    /// Moves the socket to a new port when `connection` receives nothing although keepalives are sent.
    /// Closes the connection if it receives nothing on the new port either.
    async fn monitor_silence(self, connection: quinn::Connection) {
        let mut received = 0;
        let mut last_received_at = Instant::now();
        let mut rebound_at = None;
        let mut checked_at = Instant::now();
        loop {
            tokio::select! {
                _ = connection.closed() => return,
                () = tokio::time::sleep(SILENCE_CHECK_INTERVAL) => {}
            }
            let received_now = connection.stats().udp_rx.datagrams;
            // While the local process is paused it cannot receive; the path may be fine.
            let was_paused = checked_at.elapsed() > LOCAL_PAUSE_THRESHOLD;
            checked_at = Instant::now();
            if received_now != received || was_paused {
                received = received_now;
                last_received_at = checked_at;
                rebound_at = None;
                continue;
            }
            match rebound_at {
                None if last_received_at.elapsed() >= SILENCE_TIMEOUT => {
                    rebound_at = Some(checked_at);
                    self.rebind_once();
                }
                Some(at) if checked_at.duration_since(at) >= NEW_PORT_TIMEOUT => {
                    connection.close(VarInt::from_u32(CLOSE_SILENT), b"silent");
                    return;
                }
                None | Some(_) => {}
            }
        }
    }

    fn rebind_once(&self) {
        let mut rebound_at = self
            .rebound_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_recent = rebound_at.is_some_and(|at| at.elapsed() < SILENCE_TIMEOUT);
        if is_recent {
            return;
        }
        *rebound_at = Some(Instant::now());
        match self.rebind() {
            Ok(()) => log::info!(
                "caller: No packet received for {} ms; moved to a new local port.",
                SILENCE_TIMEOUT.as_millis()
            ),
            Err(error) => log::warn!("caller: Cannot move to a new local port: {error}."),
        }
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    let mut discovery = quinn::MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_QUIC_DATAGRAM_BYTES);
    transport.mtu_discovery_config(Some(discovery));
    transport
}
