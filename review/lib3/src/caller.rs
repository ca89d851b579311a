//! Requester with its own address, as PROTOCOL.md describes it.

use std::net::{SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use crate::packet::{ACK, HEADER, MAX_DATA, Packet, RST, SYN, random};
use crate::record::Record;
use crate::router::Router;
use crate::stream::Stream;

/// Times of the transmissions of the opening packet, and its timeout.
const OPENING_MS: [u64; 4] = [0, 200, 600, 1_400];

/// A reset of an open flow counts within this distance of the last acknowledged number.
const RESET_WINDOW: u32 = 76_800;

const STEP: Duration = Duration::from_millis(5);

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    Reset,
    Timeout,
    /// The endpoint answered that it did not run the request.
    Refused(String),
}

/// Requester with one flow.
#[derive(Debug)]
pub struct Caller {
    name: String,
    zone: usize,
    socket: UdpSocket,
    local: SocketAddrV4,
    route: SocketAddrV4,
    router: Router,
    record: Record,
    stream: Option<Stream>,
    pub resets: u32,
}

impl Caller {
    /// `address` is that of the requester with the port of `dataAddr`, to which its packets are sent; `port`
    /// is the port of its end of the flow.
    pub fn bind(
        name: &str,
        zone: usize,
        address: SocketAddrV4,
        port: u16,
        route: SocketAddrV4,
        router: &Router,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(STEP))?;
        Ok(Self {
            name: name.to_owned(),
            zone,
            socket,
            local: SocketAddrV4::new(*address.ip(), port),
            route,
            router: router.clone(),
            record: record.clone(),
            stream: None,
            resets: 0,
        })
    }

    pub const fn flow(&self) -> (SocketAddrV4, SocketAddrV4) {
        (self.local, self.route)
    }

    fn send(&self, packets: &[Packet]) {
        for packet in packets {
            let node = self.router.select(self.zone, self.local, self.route);
            let _ = self.socket.send_to(&packet.encode(), node);
        }
    }

    fn receive(&self) -> Option<(Packet, bool)> {
        let mut buffer = [0; HEADER + MAX_DATA + 1];
        let (size, _) = self.socket.recv_from(&mut buffer).ok()?;
        let (packet, is_sound) = Packet::decode(&buffer[..size])?;
        (packet.src == self.route && packet.dst == self.local).then_some((packet, is_sound))
    }

    /// Opens the flow.
    pub fn open(&mut self) -> Result<(), Failure> {
        let initial = random();
        let started = Instant::now();
        for (attempt, times) in OPENING_MS.windows(2).enumerate() {
            self.send(&[Packet {
                seq: initial,
                ack: attempt as u32,
                flags: SYN,
                src: self.local,
                dst: self.route,
                data: Vec::new(),
            }]);
            while started.elapsed() < Duration::from_millis(times[1]) {
                let Some((packet, _)) = self.receive() else {
                    continue;
                };
                if packet.has(RST) {
                    self.record.line(&format!("{}: reset before the flow opened", self.name));
                    return Err(Failure::Reset);
                }
                if packet.has(SYN) && packet.ack == initial.wrapping_add(1) {
                    let expected = packet.seq.wrapping_add(1);
                    let stream = Stream::new(self.local, self.route, initial.wrapping_add(1), expected);
                    self.send(&[stream.acknowledgement()]);
                    self.stream = Some(stream);
                    return Ok(());
                }
            }
        }
        Err(Failure::Timeout)
    }

    /// Sends a request with a body of `size` bytes and returns the body of the answer.
    pub fn request(&mut self, id: &str, size: usize, budget: Duration) -> Result<String, Failure> {
        let Some(mut stream) = self.stream.take() else {
            return Err(Failure::Timeout);
        };
        let head = format!("POST /desk HTTP/1.1\r\nX-Request-Id: {id}\r\nContent-Length: {size}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + size, b'x');
        self.record.line(&format!("{}: sends {id}, {} bytes", self.name, bytes.len()));
        let started = Instant::now();
        self.send(&stream.write(started, &bytes));
        while started.elapsed() < budget {
            if let Some((packet, _)) = self.receive() {
                if packet.has(RST) {
                    let distance = packet.seq.wrapping_sub(stream.acknowledged()) as i32;
                    if distance.unsigned_abs() <= RESET_WINDOW {
                        self.resets += 1;
                        self.record.line(&format!("{}: {id} ended by a reset", self.name));
                        return Err(Failure::Reset);
                    }
                    continue;
                }
                if packet.has(SYN) {
                    self.send(&[stream.acknowledgement()]);
                    continue;
                }
                if !packet.has(ACK) {
                    continue;
                }
                let replies = stream.receive(Instant::now(), &packet);
                self.send(&replies);
                if let Some((status, body)) = take_answer(&mut stream.received) {
                    self.record.line(&format!("{}: {id} answered with {status}: {body}", self.name));
                    self.send(&[stream.acknowledgement()]);
                    self.stream = Some(stream);
                    return if status == "200" { Ok(body) } else { Err(Failure::Refused(status)) };
                }
            }
            let (packets, _) = stream.tick(Instant::now());
            self.send(&packets);
        }
        self.record.line(&format!("{}: {id} got no answer", self.name));
        Err(Failure::Timeout)
    }
}

/// Takes a whole answer from the bytes of a flow; returns its status and body.
fn take_answer(bytes: &mut Vec<u8>) -> Option<(String, String)> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split_whitespace().nth(1)?.to_owned();
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let length: usize = lines.find(|(key, _)| *key == "Content-Length")?.1.parse().ok()?;
    if bytes.len() < end + length {
        return None;
    }
    let body = String::from_utf8_lossy(&bytes[end..end + length]).into_owned();
    bytes.drain(..end + length);
    Some((status, body))
}
