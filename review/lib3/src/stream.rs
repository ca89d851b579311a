//! One end of an open flow: reassembly, acknowledgements and retransmissions.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, MAX_DATA, Packet};

const MAX_IN_FLIGHT: usize = 16;
const FIRST_TIMEOUT: Duration = Duration::from_millis(200);
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1_600);

#[derive(Debug)]
struct Segment {
    seq: u32,
    data: Vec<u8>,
    flags: u8,
    sent_at: Instant,
    timeout: Duration,
    retransmissions: u32,
}

#[derive(Debug)]
pub struct Stream {
    local: SocketAddrV4,
    remote: SocketAddrV4,
    next: u32,
    expected: u32,
    in_flight: VecDeque<Segment>,
    queue: VecDeque<(Vec<u8>, u8)>,
    early: BTreeMap<u32, (Vec<u8>, bool)>,
    unacknowledged: u32,
    /// Bytes of the other end that were not taken yet.
    pub received: Vec<u8>,
    pub is_closed_by_peer: bool,
    pub is_closed: bool,
}

impl Stream {
    pub fn new(local: SocketAddrV4, remote: SocketAddrV4, next: u32, expected: u32) -> Self {
        Self {
            local,
            remote,
            next,
            expected,
            in_flight: VecDeque::new(),
            queue: VecDeque::new(),
            early: BTreeMap::new(),
            unacknowledged: 0,
            received: Vec::new(),
            is_closed_by_peer: false,
            is_closed: false,
        }
    }

    /// Returns the sequence number that this end acknowledges next.
    pub const fn acknowledged(&self) -> u32 {
        self.expected
    }

    /// Returns whether the peer has acknowledged all that was sent.
    pub fn is_settled(&self) -> bool {
        self.in_flight.is_empty() && self.queue.is_empty()
    }

    pub fn write(&mut self, now: Instant, data: &[u8]) -> Vec<Packet> {
        self.queue.extend(data.chunks(MAX_DATA).map(|chunk| (chunk.to_vec(), 0)));
        self.send_queued(now)
    }

    pub fn close(&mut self, now: Instant) -> Vec<Packet> {
        if !std::mem::replace(&mut self.is_closed, true) {
            self.queue.push_back((Vec::new(), FIN));
        }
        self.send_queued(now)
    }

    /// Handles a packet of the other end; returns what to send.
    pub fn receive(&mut self, now: Instant, packet: &Packet) -> Vec<Packet> {
        if packet.has(ACK) {
            let acknowledged = packet.ack;
            self.in_flight.retain(|it| !is_at_or_after(acknowledged, it.end()));
        }
        let has_content = !packet.data.is_empty() || packet.has(FIN);
        let mut is_urgent = false;
        if has_content {
            if is_at_or_after(self.expected, packet.seq.wrapping_add(length(packet))) {
                is_urgent = true;
            } else {
                is_urgent = packet.seq != self.expected;
                self.early.insert(packet.seq, (packet.data.clone(), packet.has(FIN)));
                self.take_in_order();
                self.unacknowledged += 1;
            }
        }
        let mut out = self.send_queued(now);
        if is_urgent || self.unacknowledged >= 2 || packet.has(FIN) {
            self.unacknowledged = 0;
            out.push(self.packet(self.next, ACK, Vec::new()));
        }
        out
    }

    fn take_in_order(&mut self) {
        while let Some((data, is_last)) = self.early.remove(&self.expected) {
            self.expected = self.expected.wrapping_add(data.len() as u32 + u32::from(is_last));
            self.received.extend_from_slice(&data);
            self.is_closed_by_peer |= is_last;
        }
    }

    /// Returns the retransmissions that are due and the highest number of retransmissions so far.
    pub fn tick(&mut self, now: Instant) -> (Vec<Packet>, u32) {
        let mut due = Vec::new();
        let mut most = 0;
        for segment in &mut self.in_flight {
            if now.duration_since(segment.sent_at) >= segment.timeout {
                segment.sent_at = now;
                segment.timeout = (segment.timeout * 2).min(LONGEST_TIMEOUT);
                segment.retransmissions += 1;
                due.push((segment.seq, segment.flags, segment.data.clone()));
            }
            most = most.max(segment.retransmissions);
        }
        let packets = due.into_iter().map(|(seq, flags, data)| self.packet(seq, flags, data));
        (packets.collect(), most)
    }

    fn send_queued(&mut self, now: Instant) -> Vec<Packet> {
        let mut out = Vec::new();
        while self.in_flight.len() < MAX_IN_FLIGHT {
            let Some((data, flag)) = self.queue.pop_front() else {
                break;
            };
            let (seq, flags) = (self.next, ACK | flag);
            self.next = seq.wrapping_add(data.len() as u32 + u32::from(flag == FIN));
            self.unacknowledged = 0;
            out.push(self.packet(seq, flags, data.clone()));
            self.in_flight.push_back(Segment {
                seq,
                data,
                flags,
                sent_at: now,
                timeout: FIRST_TIMEOUT,
                retransmissions: 0,
            });
        }
        out
    }

    pub fn packet(&self, seq: u32, flags: u8, data: Vec<u8>) -> Packet {
        Packet { seq, ack: self.expected, flags, src: self.local, dst: self.remote, data }
    }

    /// Returns an acknowledgement without data.
    pub fn acknowledgement(&self) -> Packet {
        self.packet(self.next, ACK, Vec::new())
    }
}

impl Segment {
    fn end(&self) -> u32 {
        self.seq.wrapping_add(self.data.len() as u32 + u32::from(self.flags & FIN != 0))
    }
}

fn length(packet: &Packet) -> u32 {
    packet.data.len() as u32 + u32::from(packet.has(FIN))
}

/// Compares sequence numbers, which wrap around.
pub fn is_at_or_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 >= 0
}
