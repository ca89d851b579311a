//! Emulated network fabric: sprays callers' packets over the balancers and returns their replies,
//! with delay and packet loss.

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

const MAX_DATAGRAM_BYTES: usize = 65_536;
/// The system default holds about 90 full-size packets and overflows in the bursts of a flood.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// Queue length of one path; packets beyond it are dropped, as by a switch with a full queue.
const PATH_QUEUE_PACKETS: usize = 16_384;
const MAX_PER_MILLE: u16 = 1000;

/// Link from the fabric to a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerLink {
    /// Data address of the balancer.
    pub address: SocketAddr,
    /// One-way delay between callers and the balancer, applied in both directions.
    pub delay: Duration,
}

/// Service address at which the fabric receives packets from callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceSocket {
    pub service: ServiceId,
    /// Port 0 selects a free port.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
pub struct FabricOptions {
    /// Source address of packets to balancers, to which they send replies.
    pub address: SocketAddr,
    pub services: Vec<ServiceSocket>,
    /// Balancers attached at the start.
    pub balancers: Vec<BalancerLink>,
    /// Random packet loss in each direction.
    pub loss_per_mille: PerMille,
    /// Seed for the choice of balancers and for packet loss.
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

/// Packet counters of an emulated fabric.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FabricCounts {
    /// Packets from callers queued to a balancer.
    pub forwarded: u64,
    /// Replies queued to callers.
    pub returned: u64,
    /// Packets dropped by the configured random loss.
    pub lost: u64,
    /// Packets dropped because their caller address is silenced.
    pub silenced: u64,
    /// Packets dropped because no balancer was attached.
    pub without_balancer: u64,
    /// Packets dropped because a path queue was full or sending failed.
    pub overflowed: u64,
    /// Replies whose service address is unknown or is not an address of their service.
    pub misdelivered: u64,
    /// Datagrams at the balancer side that are malformed or come from an unknown sender.
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

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

struct DelayedDatagram {
    due: Instant,
    to: SocketAddr,
    datagram: Vec<u8>,
}

#[derive(Clone, Debug)]
struct BalancerPath {
    link: BalancerLink,
    queue: mpsc::Sender<DelayedDatagram>,
}

#[derive(Debug, Default)]
struct FabricState {
    /// Sorted by address.
    attached: Vec<BalancerPath>,
    /// Delay to each balancer ever attached: replies may still arrive after it was detached.
    delays: BTreeMap<SocketAddr, Duration>,
    /// All caller addresses seen so far, from which silent flows are chosen.
    callers: BTreeSet<SocketAddr>,
    silent: BTreeSet<SocketAddr>,
}

struct Shared {
    egress: Arc<UdpSocket>,
    sockets: Vec<(ServiceSocket, Arc<UdpSocket>)>,
    state: RwLock<FabricState>,
    loss_per_mille: AtomicU16,
    counters: Counters,
    stop: CancellationToken,
}

/// Handle to a running emulated fabric, which stops when the last clone is dropped.
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
    /// Binds all service addresses and starts forwarding.
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
            state: RwLock::default(),
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

    /// Address from which balancers receive packets and to which they send replies.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bound service addresses, in the order of the options.
    pub fn services(&self) -> Vec<ServiceSocket> {
        let sockets = self.shared.sockets.iter();
        sockets.map(|(service, _)| *service).collect()
    }

    /// Starts sending packets to a balancer.
    pub fn attach_balancer(&self, link: BalancerLink) {
        let (sender, receiver) = mpsc::channel(PATH_QUEUE_PACKETS);
        let socket = Arc::clone(&self.shared.egress);
        self.spawn(deliver(Arc::clone(&self.shared), socket, receiver));
        let path = BalancerPath {
            link,
            queue: sender,
        };
        let mut state = self.shared.write();
        state.delays.insert(link.address, link.delay);
        let position = state
            .attached
            .binary_search_by_key(&link.address, |path| path.link.address);
        match position {
            Ok(index) => state.attached[index] = path,
            Err(index) => state.attached.insert(index, path),
        }
    }

    /// Stops sending packets to a balancer; its replies are still returned.
    pub fn detach_balancer(&self, address: SocketAddr) {
        let mut state = self.shared.write();
        state.attached.retain(|path| path.link.address != address);
    }

    /// Sets the random packet loss in each direction.
    pub fn set_loss(&self, loss: PerMille) {
        let loss = loss.get().min(MAX_PER_MILLE);
        self.shared.loss_per_mille.store(loss, Ordering::Relaxed);
    }

    /// Permanently drops all packets from and to one caller address.
    pub fn silence(&self, caller: SocketAddr) {
        self.shared.write().silent.insert(caller);
    }

    /// Silences a random share of the caller addresses seen so far and returns them.
    pub fn silence_share(&self, share: PerMille) -> Vec<SocketAddr> {
        let mut state = self.shared.write();
        let callers: Vec<_> = state.callers.difference(&state.silent).copied().collect();
        let number = callers.len() * usize::from(share.get().min(MAX_PER_MILLE)) / 1000;
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let chosen: Vec<_> = callers
            .choose_multiple(&mut *random, number)
            .copied()
            .collect();
        state.silent.extend(&chosen);
        chosen
    }

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
    fn read(&self) -> RwLockReadGuard<'_, FabricState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, FabricState> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_lost(&self, random: &mut ChaCha8Rng) -> bool {
        let loss = self.loss_per_mille.load(Ordering::Relaxed);
        let is_lost = loss > 0 && random.random_range(0..MAX_PER_MILLE) < loss;
        if is_lost {
            increment(&self.counters.lost);
        }
        is_lost
    }

    /// Returns false if the caller address is silenced; records it otherwise.
    fn admit(&self, caller: SocketAddr) -> bool {
        let is_known = {
            let state = self.read();
            if state.silent.contains(&caller) {
                increment(&self.counters.silenced);
                return false;
            }
            state.callers.contains(&caller)
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

/// Forwards each packet received at one service socket to a randomly chosen balancer.
async fn spray(shared: Arc<Shared>, index: usize, mut random: ChaCha8Rng) {
    let (service, socket) = &shared.sockets[index];
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !shared.admit(caller) || shared.is_lost(&mut random) {
            continue;
        }
        let header = ForwardHeader {
            kind: ForwardKind::Ingress,
            hops: 0,
            service: service.service,
            caller,
            service_address: service.address,
        };
        let Some(path) = shared.read().attached.choose(&mut random).cloned() else {
            increment(&shared.counters.without_balancer);
            continue;
        };
        let delayed = DelayedDatagram {
            due: Instant::now() + path.link.delay,
            to: path.link.address,
            datagram: header.wrap(&buffer[..size]),
        };
        if path.queue.try_send(delayed).is_err() {
            increment(&shared.counters.overflowed);
            continue;
        }
        increment(&shared.counters.forwarded);
    }
}

/// Forwards replies from balancers to callers, sent from the service address that the caller used.
async fn return_replies(shared: Arc<Shared>, mut random: ChaCha8Rng) {
    let mut paths = Vec::new();
    for (_, socket) in &shared.sockets {
        let (sender, receiver) = mpsc::channel(PATH_QUEUE_PACKETS);
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
            increment(&shared.counters.refused);
            continue;
        };
        let Some(delay) = shared.read().delays.get(&balancer).copied() else {
            increment(&shared.counters.refused);
            continue;
        };
        let owner = shared.sockets.iter().position(|(service, _)| {
            service.address == header.service_address && service.service == header.service
        });
        let Some(index) = owner else {
            increment(&shared.counters.misdelivered);
            continue;
        };
        if !shared.admit(header.caller) || shared.is_lost(&mut random) {
            continue;
        }
        let delayed = DelayedDatagram {
            due: Instant::now() + delay,
            to: header.caller,
            datagram: packet.to_vec(),
        };
        if paths[index].try_send(delayed).is_err() {
            increment(&shared.counters.overflowed);
            continue;
        }
        increment(&shared.counters.returned);
    }
}

/// Sends queued datagrams in order, each no earlier than its due time. The delays on one path differ
/// little, so waiting for the first datagram hardly delays the others.
async fn deliver(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    mut queue: mpsc::Receiver<DelayedDatagram>,
) {
    while let Some(delayed) = queue.recv().await {
        tokio::time::sleep_until(delayed.due).await;
        if socket.send_to(&delayed.datagram, delayed.to).await.is_err() {
            increment(&shared.counters.overflowed);
        }
    }
}
