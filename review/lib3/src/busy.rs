//! Endpoint and requesters for many small requests: one packet each, answered at once by one packet.

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer};
use crate::packet::{ACK, HEADER, MAX_DATA, Packet, RST, SYN, bounce, random};
use crate::router::Router;

const FIRST_TIMEOUT: Duration = Duration::from_millis(200);
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1_600);
const SCAN_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
pub struct EndpointOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub heartbeat: Duration,
    pub slots: usize,
}

/// What requesters and endpoints counted.
#[derive(Debug, Default)]
pub struct Counts {
    pub sent: AtomicU64,
    pub answered: AtomicU64,
    pub run: AtomicU64,
    pub resets: AtomicU64,
    pub is_over: AtomicBool,
    taken: Mutex<Vec<Taken>>,
}

/// Opening packet that an endpoint took.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    pub source: SocketAddrV4,
    /// Where the endpoint sends its packets.
    pub outbound: SocketAddr,
    pub at: Instant,
}

impl Counts {
    /// Returns the opening packets that endpoints took.
    pub fn taken(&self) -> MutexGuard<'_, Vec<Taken>> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone, Debug)]
struct ServedFlow {
    initial: u32,
    peer_initial: u32,
    expected: u32,
    next: u32,
    last_answer: Option<Packet>,
}

/// Starts an endpoint that answers each request at once, with heartbeats and a liveness check.
pub fn spawn_endpoint(options: EndpointOptions, counts: &Arc<Counts>) -> std::io::Result<()> {
    let socket = UdpSocket::bind(options.app)?;
    http::serve(options.app, |_| Answer {
        status: 200,
        body: "{}".to_owned(),
    })?;
    let (outbound, counts) = (options.outbound, Arc::clone(counts));
    thread::spawn(move || serve(&socket, outbound, &counts));
    thread::spawn(move || beat(&options));
    Ok(())
}

/// Sends heartbeats for ever.
fn beat(options: &EndpointOptions) {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    for seq in 1_u64.. {
        let body = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}",
            options.service, options.app, options.zone, options.slots
        );
        let path = format!("/instances/{}/heartbeat", options.id);
        let status = http::call(
            options.control,
            "POST",
            &path,
            &body,
            Duration::from_secs(1),
        );
        thread::sleep(if status == Some(200) {
            options.heartbeat
        } else {
            options.heartbeat / 4
        });
    }
}

fn serve(socket: &UdpSocket, outbound: SocketAddr, counts: &Counts) {
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), ServedFlow> = HashMap::new();
    let mut buffer = [0; HEADER + MAX_DATA + 1];
    loop {
        let Ok((size, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some((packet, true)) = Packet::decode(&buffer[..size]) else {
            continue;
        };
        let key = (packet.src, packet.dst);
        if packet.has(SYN) {
            let flow = flows.entry(key).or_insert_with(|| {
                counts.taken().push(Taken {
                    source: packet.src,
                    outbound,
                    at: Instant::now(),
                });
                new_flow(packet.seq)
            });
            if flow.peer_initial != packet.seq {
                *flow = new_flow(packet.seq);
            }
            let answer = Packet {
                seq: flow.initial,
                ack: flow.peer_initial.wrapping_add(1),
                flags: SYN | ACK,
                src: packet.dst,
                dst: packet.src,
                data: Vec::new(),
            };
            let _ = socket.send_to(&answer.encode(), outbound);
            continue;
        }
        let Some(flow) = flows.get_mut(&key).filter(|flow| {
            packet.ack == flow.next || packet.ack.wrapping_sub(flow.initial) as i32 > 0
        }) else {
            let _ = socket.send_to(&bounce(&buffer[..size]), outbound);
            continue;
        };
        if packet.data.is_empty() {
            continue;
        }
        if packet.seq == flow.expected {
            counts.run.fetch_add(1, Ordering::Relaxed);
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            let data =
                b"HTTP/1.1 200 X\r\nX-Server-Stamp: e\r\nContent-Length: 2\r\n\r\nok".to_vec();
            let answer = Packet {
                seq: flow.next,
                ack: flow.expected,
                flags: ACK,
                src: packet.dst,
                dst: packet.src,
                data,
            };
            flow.next = flow.next.wrapping_add(answer.data.len() as u32);
            flow.last_answer = Some(answer);
        }
        if let Some(answer) = &flow.last_answer {
            let _ = socket.send_to(&answer.encode(), outbound);
        }
    }
}

fn new_flow(peer_initial: u32) -> ServedFlow {
    let initial = random();
    ServedFlow {
        initial,
        peer_initial,
        expected: peer_initial.wrapping_add(1),
        next: initial.wrapping_add(1),
        last_answer: None,
    }
}

#[derive(Debug)]
pub(crate) struct CallerFlow {
    pub(crate) local: SocketAddrV4,
    /// The last packet that waits for an answer.
    pub(crate) pending: Packet,
    pub(crate) sent_at: Instant,
    pub(crate) timeout: Duration,
    pub(crate) is_open: bool,
    pub(crate) requests: u64,
}

/// Starts a requester with `flows` flows, which sends the next request on each as soon as the last one is
/// answered.
pub fn spawn_caller(
    zone: usize,
    address: SocketAddrV4,
    flows: u16,
    route: SocketAddrV4,
    router: &Router,
    counts: &Arc<Counts>,
) -> std::io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(SCAN_INTERVAL))?;
    let (router, counts) = (router.clone(), Arc::clone(counts));
    Ok(thread::spawn(move || {
        call(&socket, zone, address, flows, route, &router, &counts)
    }))
}

fn call(
    socket: &UdpSocket,
    zone: usize,
    address: SocketAddrV4,
    flows: u16,
    route: SocketAddrV4,
    router: &Router,
    counts: &Counts,
) {
    let mut flows: Vec<CallerFlow> = (0..flows)
        .map(|index| open_flow(SocketAddrV4::new(*address.ip(), 20_001 + index), route))
        .collect();
    let mut nodes: Vec<SocketAddr> = Vec::new();
    let mut scanned = Instant::now() - SCAN_INTERVAL;
    let mut buffer = [0; HEADER + MAX_DATA + 1];
    let mut is_first = true;
    while !counts.is_over.load(Ordering::Relaxed) {
        if scanned.elapsed() >= SCAN_INTERVAL {
            scanned = Instant::now();
            nodes = flows
                .iter()
                .map(|flow| router.select(zone, flow.local, route))
                .collect();
            for (flow, node) in flows.iter_mut().zip(&nodes) {
                if is_first || flow.sent_at.elapsed() >= flow.timeout {
                    retransmit(flow, is_first);
                    let _ = socket.send_to(&flow.pending.encode(), node);
                }
            }
            is_first = false;
        }
        let Ok((size, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some((packet, is_sound)) = Packet::decode(&buffer[..size]) else {
            continue;
        };
        let index = usize::from(packet.dst.port().wrapping_sub(20_001));
        let Some(flow) = flows.get_mut(index) else {
            continue;
        };
        if packet.has(RST) {
            counts.resets.fetch_add(1, Ordering::Relaxed);
            *flow = open_flow(flow.local, route);
        } else if is_sound && advance(flow, &packet, counts) {
            let _ = socket.send_to(&flow.pending.encode(), nodes[index]);
        }
    }
}

pub(crate) fn open_flow(local: SocketAddrV4, route: SocketAddrV4) -> CallerFlow {
    CallerFlow {
        local,
        pending: Packet {
            seq: random(),
            ack: 0,
            flags: SYN,
            src: local,
            dst: route,
            data: Vec::new(),
        },
        sent_at: Instant::now(),
        timeout: FIRST_TIMEOUT,
        is_open: false,
        requests: 0,
    }
}

pub(crate) fn retransmit(flow: &mut CallerFlow, is_first: bool) {
    flow.sent_at = Instant::now();
    if !is_first {
        flow.timeout = (flow.timeout * 2).min(LONGEST_TIMEOUT);
        if !flow.is_open {
            flow.pending.ack = (flow.pending.ack + 1).min(2);
        }
    }
}

/// Handles a packet of the endpoint; returns whether the next request is to be sent.
pub(crate) fn advance(flow: &mut CallerFlow, packet: &Packet, counts: &Counts) -> bool {
    let (next, acknowledged) = if packet.has(SYN) {
        if flow.is_open || packet.ack != flow.pending.seq.wrapping_add(1) {
            return false;
        }
        (packet.ack, packet.seq.wrapping_add(1))
    } else {
        let end = flow
            .pending
            .seq
            .wrapping_add(flow.pending.data.len() as u32);
        if !flow.is_open || packet.data.is_empty() || !is_at_or_after(packet.ack, end) {
            return false;
        }
        counts.answered.fetch_add(1, Ordering::Relaxed);
        (end, packet.seq.wrapping_add(packet.data.len() as u32))
    };
    flow.is_open = true;
    flow.requests += 1;
    let id = format!("{:x}-{:x}", flow.local.port(), flow.requests);
    let text = format!("POST /d HTTP/1.1\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
    flow.pending = Packet {
        seq: next,
        ack: acknowledged,
        flags: ACK,
        src: flow.local,
        dst: packet.src,
        data: text.into_bytes(),
    };
    flow.sent_at = Instant::now();
    flow.timeout = FIRST_TIMEOUT;
    counts.sent.fetch_add(1, Ordering::Relaxed);
    true
}

/// Compares sequence numbers, which wrap around.
fn is_at_or_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 >= 0
}
