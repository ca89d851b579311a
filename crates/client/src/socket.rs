//! Local UDP socket from which callers open connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hawthorntide_admission::{DEFAULT_RETRY_BUDGET, RetryAttempt, RetryBudget};
use hawthorntide_types::{DurationMs, TimeMs};
use quinn::{ClientConfig, Endpoint, EndpointConfig, TokioRuntime, TransportConfig, VarInt};
use quinn_proto::ConnectionId;
use rustls::pki_types::CertificateDer;
use tokio::time::Instant;

use crate::session::{AgentConnection, ResumeState, WatchGuard};
use crate::{CallError, tls};

/// Interval of keepalives; several must be lost before a flow counts as silent.
const KEEP_ALIVE: Duration = Duration::from_millis(750);

/// Silence after which the socket moves to a new port; a flow counts as silent within 3 s.
const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Silence on the new port after which the agent counts as gone.
const GONE_LIMIT: Duration = Duration::from_millis(2500);

/// Interval at which a connection looks for received packets.
const SILENCE_POLL: Duration = Duration::from_millis(200);

/// Time between two looks above which the caller itself was paused.
const OWN_PAUSE: Duration = Duration::from_secs(1);

/// Code by which a caller closes a connection whose agent does not respond.
const CLOSE_SILENT: u32 = 1;

/// Silence after which a connection is given up.
const IDLE_TIMEOUT_MS: u32 = 30_000;

/// Leaves room for the forwarding header within an Ethernet frame.
const MAX_QUIC_DATAGRAM_BYTES: u16 = 1400;

/// Options of a [`CallerSocket`].
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Local address; port 0 lets the system choose.
    pub local_address: SocketAddr,
    /// Certificates of the authority that signs the agents' certificates.
    pub authority: Vec<CertificateDer<'static>>,
}

/// Local UDP socket; its connections share one port and move to a new one together.
#[derive(Clone, Debug)]
pub struct CallerSocket {
    endpoint: Endpoint,
    config: ClientConfig,
    local_address: SocketAddr,
    /// Time of the last move; connections that fall silent together move once.
    moved_at: Arc<Mutex<Option<Instant>>>,
    /// Retries of idempotent work on all connections of the socket.
    retries: Arc<Mutex<RetryBudget>>,
    bound_at: Instant,
}

impl CallerSocket {
    /// Binds the local socket.
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
            moved_at: Arc::default(),
            retries: Arc::new(Mutex::new(RetryBudget::new(
                DEFAULT_RETRY_BUDGET,
                rand::random(),
            ))),
            bound_at: Instant::now(),
        })
    }

    /// Opens a connection to `service` at `address` and waits for its session.
    ///
    /// With `resume` the connection goes to the agent that granted that session.
    pub async fn connect(
        &self,
        service: &str,
        address: SocketAddr,
        resume: Option<ResumeState>,
    ) -> Result<AgentConnection, CallError> {
        let mut config = self.config.clone();
        if let Some(resume) = &resume {
            let connection_id = ConnectionId::new(&resume.connection_id);
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
        let watch = tokio::spawn(self.clone().watch(connection.clone()));
        AgentConnection::start(connection, WatchGuard::new(watch), resume).await
    }

    /// Moves all connections of this socket to a new local port.
    pub fn rebind(&self) -> Result<(), CallError> {
        let address = SocketAddr::new(self.local_address.ip(), 0);
        let socket = std::net::UdpSocket::bind(address).map_err(CallError::Bind)?;
        self.endpoint.rebind(socket).map_err(CallError::Bind)
    }

    /// Returns the address that callers currently send from.
    pub fn local_address(&self) -> Result<SocketAddr, CallError> {
        self.endpoint.local_addr().map_err(CallError::Bind)
    }

    /// Adds a request to the recent rate that retries are a part of.
    pub(crate) fn record_request(&self) {
        let now = self.time_of(Instant::now());
        self.retries().record_request(now);
    }

    /// Returns when idempotent work may be sent again, if at all.
    pub(crate) fn retry_at(
        &self,
        retries: u32,
        deadline: Instant,
        expected: Duration,
    ) -> Option<Instant> {
        let attempt = RetryAttempt {
            idempotent: true,
            retries,
            deadline: self.time_of(deadline),
            expected_ms: DurationMs(expected.as_millis() as u64),
        };
        let now = self.time_of(Instant::now());
        let at = self.retries().schedule_retry(now, attempt)?;
        Some(self.bound_at + Duration::from_millis(at.get()))
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn time_of(&self, at: Instant) -> TimeMs {
        TimeMs(at.saturating_duration_since(self.bound_at).as_millis() as u64)
    }

    /// Closes all connections and waits until the peers are told.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"");
        self.endpoint.wait_idle().await;
    }

    /// Moves to a new port when `connection` receives nothing although keepalives are sent, and
    /// closes it when it stays silent there.
    async fn watch(self, connection: quinn::Connection) {
        let mut received = 0;
        let mut heard_at = Instant::now();
        let mut moved_at = None;
        let mut polled_at = Instant::now();
        loop {
            tokio::select! {
                _ = connection.closed() => return,
                () = tokio::time::sleep(SILENCE_POLL) => {}
            }
            let now_received = connection.stats().udp_rx.datagrams;
            // A pause of the caller itself says nothing about the path.
            let was_paused = polled_at.elapsed() > OWN_PAUSE;
            polled_at = Instant::now();
            if now_received != received || was_paused {
                received = now_received;
                heard_at = polled_at;
                moved_at = None;
                continue;
            }
            match moved_at {
                None if heard_at.elapsed() >= SILENCE_LIMIT => {
                    moved_at = Some(polled_at);
                    self.move_once();
                }
                Some(at) if polled_at.duration_since(at) >= GONE_LIMIT => {
                    connection.close(VarInt::from_u32(CLOSE_SILENT), b"silent");
                    return;
                }
                None | Some(_) => {}
            }
        }
    }

    fn move_once(&self) {
        let mut moved_at = self.moved_at.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = moved_at.is_some_and(|at| at.elapsed() < SILENCE_LIMIT);
        if is_recent {
            return;
        }
        *moved_at = Some(Instant::now());
        match self.rebind() {
            Ok(()) => log::info!(
                "caller: No packet for {} ms, moved to a new port.",
                SILENCE_LIMIT.as_millis()
            ),
            Err(error) => log::warn!("caller: Cannot move to a new port: {error}."),
        }
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    let mut discovery = quinn::MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_QUIC_DATAGRAM_BYTES);
    transport.mtu_discovery_config(Some(discovery));
    transport
}
