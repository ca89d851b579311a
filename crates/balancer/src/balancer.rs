//! A running balancer with its sockets, tasks and shared state.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use displaydoc::Display;
use hawthorntide_membership::{BalancerIdentity, ControlChannel, GossipMachine};
use hawthorntide_routing::{ConnectionIdCodec, KeyRing, RoutingTable};
use hawthorntide_timeline::Timeline;
use hawthorntide_types::{
    ByteCount, DurationMs, FailureDomain, Incarnation, NodeId, Region, Service, TimeMs,
};
use hawthorntide_wire::ControlCodec;
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::batch::{MAX_WORKERS, bind_reuse_port};
use crate::control::{Command, ControlHandle, ControlPlane, MAX_COMMANDS};
use crate::openings::ServiceOpeningLimits;
use crate::service_sockets::{ServiceSockets, SocketContext};

/// A draining balancer stops after this time without packets.
const DRAIN_QUIET_TIME: Duration = Duration::from_secs(2);

/// Receive buffer requested for a socket; the kernel may grant less. The kernel's default holds
/// about 90 full packets and overflows in the bursts of a flood.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Interval at which a drain checks for new packets.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How callers' packets reach the balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ingress {
    /// The balancer binds the service addresses itself.
    Socket,
    /// The network fabric sends packets with an encapsulation header to the data address.
    Encapsulated {
        /// Address that encapsulated replies are sent to.
        fabric_address: SocketAddr,
    },
}

/// Resolved configuration of a balancer.
#[derive(Debug)]
pub struct BalancerOptions {
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
    /// Address that receives packets of agents and of an encapsulating fabric.
    pub data_address: SocketAddr,
    pub control_address: SocketAddr,
    pub ingress: Ingress,
    /// Services to forward from the start; the configuration may change them later.
    pub services: Vec<Service>,
    /// Control addresses of balancers to contact at startup; they need not be running.
    pub peers: Vec<SocketAddr>,
    /// Address of the administration API, announced to the other balancers.
    pub admin_address: Option<SocketAddr>,
    /// Authenticates control messages within the cluster.
    pub control: ControlCodec,
    /// Keys that authenticate connection identifiers.
    pub keys: KeyRing,
    pub incarnation: Incarnation,
    /// Records the events of the process.
    pub timeline: Arc<Timeline>,
}

/// Error while starting a balancer.
#[derive(Debug, Display)]
pub enum BalancerError {
    /// cannot bind {address}: {source}
    Bind {
        address: SocketAddr,
        source: std::io::Error,
    },
}

impl std::error::Error for BalancerError {}

/// Packet counters of a balancer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BalancerReport {
    /// Packets sent to agents.
    pub packets_forwarded: u64,
    /// Packets sent to callers.
    pub packets_replied: u64,
    pub packets_dropped: u64,
}

/// State shared by the tasks of one balancer. Lock order: service sockets, `table`,
/// `opening_limits`.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) table: RwLock<RoutingTable>,
    pub(crate) opening_limits: Mutex<ServiceOpeningLimits>,
    pub(crate) codec: watch::Sender<ConnectionIdCodec>,
    pub(crate) ingress: Ingress,
    pub(crate) started: tokio::time::Instant,
    pub(crate) packets_forwarded: AtomicU64,
    pub(crate) packets_replied: AtomicU64,
    pub(crate) packets_dropped: AtomicU64,
    pub(crate) control_bytes: AtomicU64,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) stop: CancellationToken,
    /// Notified when services or their addresses may have changed.
    pub(crate) services_changed: Notify,
    /// Set when the balancer must stop without announcing it.
    pub(crate) is_killed: AtomicBool,
}

impl Shared {
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(self.started.elapsed().as_millis() as u64)
    }
}

#[derive(Debug)]
pub struct Balancer {
    shared: Arc<Shared>,
    tasks: TaskTracker,
    data_address: SocketAddr,
    control_address: SocketAddr,
    commands: mpsc::Sender<Command>,
}

impl Balancer {
    /// Binds the sockets and starts the tasks.
    pub async fn spawn(options: BalancerOptions) -> Result<Self, BalancerError> {
        let control = bind(options.control_address).await?;
        let control_address = local_address(&control, options.control_address)?;
        let mut table = RoutingTable::new();
        let mut opening_limits = ServiceOpeningLimits::new();
        for service in &options.services {
            table.set_service(service.id(), &service.addresses, service.transport);
            opening_limits.set_service(service);
        }
        let data = bind_reuse_port(options.data_address, MAX_WORKERS)
            .await
            .map_err(|source| {
                let address = options.data_address;
                BalancerError::Bind { address, source }
            })?;
        let data_address = data[0].local_address();
        let shared = Arc::new(Shared {
            table: RwLock::new(table),
            opening_limits: Mutex::new(opening_limits),
            codec: watch::Sender::new(ConnectionIdCodec::new(options.keys)),
            ingress: options.ingress,
            started: tokio::time::Instant::now(),
            packets_forwarded: AtomicU64::new(0),
            packets_replied: AtomicU64::new(0),
            packets_dropped: AtomicU64::new(0),
            control_bytes: AtomicU64::new(0),
            timeline: options.timeline,
            stop: CancellationToken::new(),
            services_changed: Notify::new(),
            is_killed: AtomicBool::new(false),
        });
        let tasks = TaskTracker::new();
        let context = SocketContext {
            shared: Arc::clone(&shared),
            data,
            sockets: Arc::new(ServiceSockets::default()),
            tasks: tasks.clone(),
        };
        context.spawn_data_workers();
        if options.ingress == Ingress::Socket {
            for address in addresses_of(&options.services) {
                let opened = context.open(address).await;
                opened.map_err(|source| BalancerError::Bind { address, source })?;
            }
        }
        let identity = BalancerIdentity {
            incarnation: options.incarnation,
            control_address,
            data_address,
            admin_address: options.admin_address,
            failure_domain: options.failure_domain,
            region: options.region,
        };
        let (commands, received) = mpsc::channel(MAX_COMMANDS);
        let control_plane = ControlPlane::new(
            Arc::clone(&shared),
            control,
            ControlChannel::new(options.control, control_address, options.incarnation),
            GossipMachine::new(identity, rand::random()),
            received,
        );
        tasks.spawn(control_plane.run(options.peers));
        if options.ingress == Ingress::Socket {
            tasks.spawn(context.follow_services(ControlHandle::new(commands.clone())));
        }
        log::info!(
            "balancer: Node {} forwards at {data_address}.",
            NodeId::of_address(control_address)
        );
        Ok(Self {
            shared,
            tasks,
            data_address,
            control_address,
            commands,
        })
    }

    pub fn control(&self) -> ControlHandle {
        ControlHandle::new(self.commands.clone())
    }

    /// Address that receives packets of agents and of an encapsulating fabric.
    pub const fn data_address(&self) -> SocketAddr {
        self.data_address
    }

    pub const fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Bytes of control datagrams sent and received so far, without IP and UDP headers.
    pub fn control_bytes(&self) -> ByteCount {
        ByteCount(self.shared.control_bytes.load(Ordering::Relaxed))
    }

    /// Packet counters since the start.
    pub fn report(&self) -> BalancerReport {
        BalancerReport {
            packets_forwarded: self.shared.packets_forwarded.load(Ordering::Relaxed),
            packets_replied: self.shared.packets_replied.load(Ordering::Relaxed),
            packets_dropped: self.shared.packets_dropped.load(Ordering::Relaxed),
        }
    }

    /// Replaces the key ring. Flows continue as long as the new ring holds the key of their
    /// connection identifiers.
    pub fn rotate_keys(&self, keys: KeyRing) {
        self.shared.codec.send_replace(ConnectionIdCodec::new(keys));
    }

    /// Announces the drain, forwards until no packet has arrived for two seconds or `limit` has
    /// passed, then stops.
    pub async fn drain(self, limit: DurationMs) -> BalancerReport {
        self.control().announce_drain().await;
        let end = tokio::time::Instant::now() + Duration::from(limit);
        let mut last = self.report();
        let mut last_change = tokio::time::Instant::now();
        while tokio::time::Instant::now() < end && last_change.elapsed() < DRAIN_QUIET_TIME {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            if self.report() != last {
                last = self.report();
                last_change = tokio::time::Instant::now();
            }
        }
        let report = self.report();
        self.stop().await;
        report
    }

    /// Stops without announcing it to the other balancers, as if the process had crashed.
    pub async fn kill(self) {
        self.shared.is_killed.store(true, Ordering::Relaxed);
        self.stop().await;
    }

    /// Announces that the balancer is gone and waits for its tasks to end.
    pub async fn stop(self) {
        self.shared.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Addresses of all services, sorted.
fn addresses_of(services: &[Service]) -> Vec<SocketAddr> {
    let addresses = services.iter().flat_map(|service| &service.addresses);
    let mut addresses: Vec<_> = addresses.copied().collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

async fn bind(address: SocketAddr) -> Result<UdpSocket, BalancerError> {
    let bind_error = |source| BalancerError::Bind { address, source };
    let socket = UdpSocket::bind(address).await.map_err(bind_error)?;
    let result = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    result.map_err(bind_error)?;
    Ok(socket)
}

fn local_address(socket: &UdpSocket, address: SocketAddr) -> Result<SocketAddr, BalancerError> {
    socket
        .local_addr()
        .map_err(|source| BalancerError::Bind { address, source })
}
