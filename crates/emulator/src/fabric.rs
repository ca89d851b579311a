//! Emulated fabric: sprays callers' packets over balancers and returns the replies.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::Duration;

use hawthorntide_types::{PerMille, ServiceId};
use hawthorntide_wire::{ForwardHeader, ForwardKind};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Largest datagram that is taken from a socket.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Receive buffer of a socket; the default of the system holds about 90 full packets and overflows in
/// the bursts of a flood.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// Packets under way on one path; more are dropped as in a full queue of a switch.
const PATH_PACKETS: usize = 16_384;
/// Whole of a share in thousandths.
const WHOLE_PER_MILLE: u16 = 1000;

/// Balancer as the fabric reaches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerLink {
    /// Data address of the balancer.
    pub address: SocketAddr,
    /// One-way delay between callers and the balancer.
    pub delay: Duration,
}

/// Service address that the fabric binds for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceSocket {
    /// Service at the address.
    pub service: ServiceId,
    /// Address to bind; port 0 selects a free one.
    pub address: SocketAddr,
}

/// Settings of an emulated fabric.
#[derive(Clone, Debug)]
pub struct FabricOptions {
    /// Address from which packets go to balancers.
    pub address: SocketAddr,
    /// Service addresses.
    pub services: Vec<ServiceSocket>,
    /// Balancers that take packets from the start.
    pub balancers: Vec<BalancerLink>,
    /// Packets that are lost in each direction.
    pub loss_per_mille: PerMille,
    /// Seed of the choice of balancers and of losses.
    pub seed: u64,
}

impl Default for FabricOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            services: Vec::new(),
            balancers: Vec::new(),
            loss_per_mille: PerMille(0),
            seed: 0,
        }
    }
}

/// Counters of an emulated fabric.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FabricCounts {
    /// Packets of callers that went to a balancer.
    pub forwarded: u64,
    /// Packets that went back to callers.
    pub returned: u64,
    /// Packets that were lost on purpose.
    pub lost: u64,
    /// Packets of silent flows that were dropped.
    pub silenced: u64,
    /// Packets that found no live balancer.
    pub without_balancer: u64,
    /// Packets that a full path or socket dropped.
    pub overflowed: u64,
    /// Replies that name a service address of another service, or none that exists.
    pub misdelivered: u64,
    /// Datagrams from balancers that are malformed or from an unknown sender.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct Counters {
    forwarded: AtomicU64,
    returned: AtomicU64,
    lost: AtomicU64,
    silenced: AtomicU64,
    without_balancer: AtomicU64,
    overflowed: AtomicU64,
    misdelivered: AtomicU64,
    refused: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Datagram on its way to `to`.
struct Transit {
    due: Instant,
    to: SocketAddr,
    datagram: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Path {
    link: BalancerLink,
    transits: mpsc::Sender<Transit>,
}

#[derive(Debug, Default)]
struct Condition {
    /// Balancers that take packets, in ascending order of address.
    live: Vec<Path>,
    /// Delay to each balancer that was ever attached; replies under way may outlive it.
    delays: BTreeMap<SocketAddr, Duration>,
    /// Callers whose packets were seen, for the choice of silent flows.
    callers: BTreeSet<SocketAddr>,
    silent: BTreeSet<SocketAddr>,
}

struct Shared {
    egress: Arc<UdpSocket>,
    sockets: Vec<(ServiceSocket, Arc<UdpSocket>)>,
    condition: RwLock<Condition>,
    loss_per_mille: AtomicU16,
    counters: Counters,
    stop: CancellationToken,
}

/// Handle of a running emulated fabric; dropping its last clone ends the fabric.
#[derive(Clone)]
pub struct Fabric {
    shared: Arc<Shared>,
    address: SocketAddr,
    random: Arc<std::sync::Mutex<ChaCha8Rng>>,
    _stop: Arc<DropGuard>,
}

impl std::fmt::Debug for Fabric {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fabric")
            .field("address", &self.address)
            .field("counts", &self.counts())
            .finish_non_exhaustive()
    }
}

impl Fabric {
    /// Binds all service addresses and forwards until the handle is dropped.
    pub async fn bind(options: FabricOptions) -> io::Result<Self> {
        let egress = Arc::new(bind(options.address).await?);
        let address = egress.local_addr()?;
        let mut sockets = Vec::new();
        for service in &options.services {
            let socket = bind(service.address).await?;
            let bound = ServiceSocket {
                service: service.service,
                address: socket.local_addr()?,
            };
            sockets.push((bound, Arc::new(socket)));
        }
        let shared = Arc::new(Shared {
            egress,
            sockets,
            condition: RwLock::default(),
            loss_per_mille: AtomicU16::new(options.loss_per_mille.get()),
            counters: Counters::default(),
            stop: CancellationToken::new(),
        });
        let random = ChaCha8Rng::seed_from_u64(options.seed);
        let fabric = Self {
            _stop: Arc::new(shared.stop.clone().drop_guard()),
            shared,
            address,
            random: Arc::new(std::sync::Mutex::new(random)),
        };
        for link in &options.balancers {
            fabric.attach_balancer(*link);
        }
        for index in 0..fabric.shared.sockets.len() {
            let random = ChaCha8Rng::seed_from_u64(options.seed ^ (index as u64 + 1));
            fabric.spawn(spray(Arc::clone(&fabric.shared), index, random));
        }
        let random = ChaCha8Rng::seed_from_u64(!options.seed);
        fabric.spawn(return_replies(Arc::clone(&fabric.shared), random));
        Ok(fabric)
    }

    /// Returns the address from which balancers get packets and to which they send replies.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bound service addresses in the order of the options.
    pub fn services(&self) -> Vec<ServiceSocket> {
        let sockets = self.shared.sockets.iter();
        sockets.map(|(service, _)| *service).collect()
    }

    /// Sends packets to a balancer from now on.
    pub fn attach_balancer(&self, link: BalancerLink) {
        let (sender, receiver) = mpsc::channel(PATH_PACKETS);
        let socket = Arc::clone(&self.shared.egress);
        self.spawn(deliver(Arc::clone(&self.shared), socket, receiver));
        let path = Path {
            link,
            transits: sender,
        };
        let mut condition = self.shared.write();
        condition.delays.insert(link.address, link.delay);
        let position = condition
            .live
            .binary_search_by_key(&link.address, |path| path.link.address);
        match position {
            Ok(index) => condition.live[index] = path,
            Err(index) => condition.live.insert(index, path),
        }
    }

    /// Sends no more packets to a balancer; its replies are still returned.
    pub fn detach_balancer(&self, address: SocketAddr) {
        let mut condition = self.shared.write();
        condition.live.retain(|path| path.link.address != address);
    }

    /// Changes the share of packets that are lost in each direction.
    pub fn set_loss(&self, loss: PerMille) {
        let loss = loss.get().min(WHOLE_PER_MILLE);
        self.shared.loss_per_mille.store(loss, Ordering::Relaxed);
    }

    /// Drops all packets of one caller address for good, in both directions.
    pub fn silence(&self, caller: SocketAddr) {
        self.shared.write().silent.insert(caller);
    }

    /// Silences a share of the caller addresses seen so far and returns them.
    pub fn silence_share(&self, share: PerMille) -> Vec<SocketAddr> {
        let mut condition = self.shared.write();
        let callers: Vec<_> = condition
            .callers
            .difference(&condition.silent)
            .copied()
            .collect();
        let number = callers.len() * usize::from(share.get().min(WHOLE_PER_MILLE)) / 1000;
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let chosen: Vec<_> = callers
            .choose_multiple(&mut *random, number)
            .copied()
            .collect();
        condition.silent.extend(&chosen);
        chosen
    }

    /// Returns the counters.
    pub fn counts(&self) -> FabricCounts {
        let counters = &self.shared.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        FabricCounts {
            forwarded: read(&counters.forwarded),
            returned: read(&counters.returned),
            lost: read(&counters.lost),
            silenced: read(&counters.silenced),
            without_balancer: read(&counters.without_balancer),
            overflowed: read(&counters.overflowed),
            misdelivered: read(&counters.misdelivered),
            refused: read(&counters.refused),
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.shared.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled_owned(task).await });
    }
}

impl Shared {
    fn read(&self) -> RwLockReadGuard<'_, Condition> {
        self.condition
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Condition> {
        self.condition
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_lost(&self, random: &mut ChaCha8Rng) -> bool {
        let loss = self.loss_per_mille.load(Ordering::Relaxed);
        let is_lost = loss > 0 && random.random_range(0..WHOLE_PER_MILLE) < loss;
        if is_lost {
            count(&self.counters.lost);
        }
        is_lost
    }

    /// Returns whether packets of `caller` pass; remembers the caller.
    fn admits(&self, caller: SocketAddr) -> bool {
        let is_known = {
            let condition = self.read();
            if condition.silent.contains(&caller) {
                count(&self.counters.silenced);
                return false;
            }
            condition.callers.contains(&caller)
        };
        if !is_known {
            self.write().callers.insert(caller);
        }
        true
    }
}

async fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address).await?;
    socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}

/// Takes packets of callers from one service socket and spreads them over the balancers.
async fn spray(shared: Arc<Shared>, index: usize, mut random: ChaCha8Rng) {
    let (service, socket) = &shared.sockets[index];
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !shared.admits(caller) || shared.is_lost(&mut random) {
            continue;
        }
        let header = ForwardHeader {
            kind: ForwardKind::Ingress,
            hops: 0,
            service: service.service,
            caller,
            service_address: service.address,
        };
        let Some(path) = shared.read().live.choose(&mut random).cloned() else {
            count(&shared.counters.without_balancer);
            continue;
        };
        let transit = Transit {
            due: Instant::now() + path.link.delay,
            to: path.link.address,
            datagram: header.wrap(&buffer[..size]),
        };
        if path.transits.try_send(transit).is_err() {
            count(&shared.counters.overflowed);
            continue;
        }
        count(&shared.counters.forwarded);
    }
}

/// Takes replies of balancers and sends them to callers from the service address that they used.
async fn return_replies(shared: Arc<Shared>, mut random: ChaCha8Rng) {
    let mut paths = Vec::new();
    for (_, socket) in &shared.sockets {
        let (sender, receiver) = mpsc::channel(PATH_PACKETS);
        let task = deliver(Arc::clone(&shared), Arc::clone(socket), receiver);
        let stop = shared.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled_owned(task).await });
        paths.push(sender);
    }
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, balancer)) = shared.egress.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok((header, packet)) = ForwardHeader::read(&buffer[..size]) else {
            count(&shared.counters.refused);
            continue;
        };
        let Some(delay) = shared.read().delays.get(&balancer).copied() else {
            count(&shared.counters.refused);
            continue;
        };
        let owner = shared.sockets.iter().position(|(service, _)| {
            service.address == header.service_address && service.service == header.service
        });
        let Some(index) = owner else {
            count(&shared.counters.misdelivered);
            continue;
        };
        if !shared.admits(header.caller) || shared.is_lost(&mut random) {
            continue;
        }
        let transit = Transit {
            due: Instant::now() + delay,
            to: header.caller,
            datagram: packet.to_vec(),
        };
        if paths[index].try_send(transit).is_err() {
            count(&shared.counters.overflowed);
            continue;
        }
        count(&shared.counters.returned);
    }
}

/// Sends datagrams when they are due; delays on one path differ little, so order is kept.
async fn deliver(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    mut transits: mpsc::Receiver<Transit>,
) {
    while let Some(transit) = transits.recv().await {
        tokio::time::sleep_until(transit.due).await;
        if socket.send_to(&transit.datagram, transit.to).await.is_err() {
            count(&shared.counters.overflowed);
        }
    }
}
