//! Requesters that open many flows, with one request on each, and keep them open.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::busy::{CallerFlow, Counts, advance, open_flow, retransmit};
use crate::packet::{HEADER, MAX_DATA, Packet, RST};
use crate::router::Router;

const FIRST_PORT: u16 = 20_001;

const SCAN_INTERVAL: Duration = Duration::from_millis(20);

/// A requester that gets no SYN+ACK in this time gives the flow up.
const HANDSHAKE_LIMIT: Duration = Duration::from_millis(1_400);

/// Flow that a requester opened, or tried to open.
#[derive(Clone, Copy, Debug)]
pub struct Opening {
    pub source: SocketAddrV4,
    /// When the first copy of the opening packet was sent.
    pub sent_at: Instant,
    pub is_answered: bool,
}

#[derive(Debug)]
struct Attempt {
    flow: CallerFlow,
    opening: Opening,
    has_ended: bool,
}

/// Starts a requester that opens a flow at each `interval`. It ends when `counts.is_over` is set.
pub fn spawn_opener(
    zone: usize,
    address: SocketAddrV4,
    interval: Duration,
    route: SocketAddrV4,
    router: &Router,
    counts: &Arc<Counts>,
) -> std::io::Result<JoinHandle<Vec<Opening>>> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(SCAN_INTERVAL))?;
    let (router, counts) = (router.clone(), Arc::clone(counts));
    Ok(thread::spawn(move || {
        let mut attempts: Vec<Attempt> = Vec::new();
        let mut opened = Instant::now();
        let mut scanned = Instant::now();
        let send = |flow: &CallerFlow| {
            let node = router.select(zone, flow.local, route);
            let _ = socket.send_to(&flow.pending.encode(), node);
        };
        while !counts.is_over.load(Ordering::Relaxed) {
            if opened.elapsed() >= interval {
                opened = Instant::now();
                let attempt = open(*address.ip(), attempts.len(), route);
                send(&attempt.flow);
                attempts.push(attempt);
            }
            if scanned.elapsed() >= SCAN_INTERVAL {
                scanned = Instant::now();
                for attempt in attempts.iter_mut().filter(|it| !it.has_ended) {
                    scan(attempt, &send);
                }
            }
            receive(&socket, &mut attempts, &counts, &send);
        }
        attempts.into_iter().map(|it| it.opening).collect()
    }))
}

fn open(ip: std::net::Ipv4Addr, index: usize, route: SocketAddrV4) -> Attempt {
    let source = SocketAddrV4::new(ip, FIRST_PORT + index as u16);
    Attempt {
        flow: open_flow(source, route),
        opening: Opening {
            source,
            sent_at: Instant::now(),
            is_answered: false,
        },
        has_ended: false,
    }
}

/// Sends the pending packet again when it is due.
fn scan(attempt: &mut Attempt, send: &dyn Fn(&CallerFlow)) {
    if !attempt.flow.is_open && attempt.opening.sent_at.elapsed() >= HANDSHAKE_LIMIT {
        attempt.has_ended = true;
    } else if attempt.flow.sent_at.elapsed() >= attempt.flow.timeout {
        retransmit(&mut attempt.flow, false);
        send(&attempt.flow);
    }
}

fn receive(
    socket: &UdpSocket,
    attempts: &mut [Attempt],
    counts: &Counts,
    send: &dyn Fn(&CallerFlow),
) {
    let mut buffer = [0; HEADER + MAX_DATA + 1];
    let Ok((size, _)) = socket.recv_from(&mut buffer) else {
        return;
    };
    let Some((packet, is_sound)) = Packet::decode(&buffer[..size]) else {
        return;
    };
    let index = usize::from(packet.dst.port().wrapping_sub(FIRST_PORT));
    let Some(attempt) = attempts.get_mut(index).filter(|it| !it.has_ended) else {
        return;
    };
    if packet.has(RST) {
        counts.resets.fetch_add(1, Ordering::Relaxed);
        attempt.has_ended = true;
    } else if is_sound && advance(&mut attempt.flow, &packet, counts) {
        if attempt.flow.requests == 1 {
            send(&attempt.flow);
        } else {
            // Answered. The flow stays open and pauses.
            attempt.opening.is_answered = true;
            attempt.has_ended = true;
        }
    }
}
