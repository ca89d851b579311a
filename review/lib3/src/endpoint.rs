//! Endpoint (server) beside an agent, as PROTOCOL.md describes it.

use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer};
use crate::packet::{ACK, FIN, HEADER, MAX_DATA, Packet, RST, SYN, bounce, random};
use crate::record::Record;
use crate::stream::Stream;

const MAX_RETRANSMISSIONS: u32 = 8;

/// Both ends of a flow: requester, then route.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

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
    /// Requests that wait for a slot; further ones are answered with 503 and are not run.
    pub queue: usize,
    /// Time that a request takes.
    pub work: Duration,
}

/// Packet of a requester that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub endpoint: String,
    pub flow: FlowKey,
    pub is_opening: bool,
    /// The endpoint has the flow.
    pub is_own: bool,
    /// The sum is that of the sender.
    pub is_sound: bool,
}

/// What the endpoints of a deployment have seen.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    inner: Arc<Mutex<Seen>>,
}

#[derive(Debug, Default)]
pub struct Seen {
    pub arrivals: Vec<Arrival>,
    /// Flow, endpoint, and time of the end of the handshake.
    pub opened: Vec<(FlowKey, String, u64)>,
    /// Request, endpoint, and time when it began to run.
    pub runs: Vec<(String, String, u64)>,
    /// Resets that endpoints sent.
    pub resets: Vec<FlowKey>,
}

impl Observations {
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct Flow {
    stream: Stream,
    initial: u32,
    peer_initial: u32,
    is_open: bool,
    has_request: bool,
}

#[derive(Debug, Default)]
struct State {
    flows: HashMap<FlowKey, Flow>,
    waiting: VecDeque<(FlowKey, String)>,
    running: Vec<(FlowKey, String, Instant)>,
}

#[derive(Debug)]
struct Shared {
    options: EndpointOptions,
    socket: UdpSocket,
    state: Mutex<State>,
    seen: Observations,
    record: Record,
    is_draining: AtomicBool,
}

#[derive(Clone, Debug)]
pub struct Endpoint {
    shared: Arc<Shared>,
}

impl Endpoint {
    pub fn spawn(options: EndpointOptions, seen: &Observations, record: &Record) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            socket: UdpSocket::bind(options.app)?,
            options,
            state: Mutex::default(),
            seen: seen.clone(),
            record: record.clone(),
            is_draining: AtomicBool::new(false),
        });
        let health = Arc::clone(&shared);
        http::serve(shared.options.app, move |_| Answer {
            status: if health.is_draining.load(Ordering::Relaxed) { 503 } else { 200 },
            body: "{}".to_owned(),
        })?;
        let (receiver, ticker, beater) = (Arc::clone(&shared), Arc::clone(&shared), Arc::clone(&shared));
        thread::spawn(move || receiver.receive());
        thread::spawn(move || ticker.tick());
        thread::spawn(move || beater.beat());
        Ok(Self { shared })
    }

    /// Says `draining` in the next heartbeats.
    pub fn drain(&self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, packets: Vec<Packet>) {
        for packet in packets {
            let _ = self.socket.send_to(&packet.encode(), self.options.outbound);
        }
    }

    fn receive(&self) {
        let mut buffer = [0; HEADER + MAX_DATA + 1];
        loop {
            let Ok((size, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if let Some((packet, is_sound)) = Packet::decode(&buffer[..size]) {
                self.handle(&packet, is_sound, &buffer[..size]);
            }
        }
    }

    fn handle(&self, packet: &Packet, is_sound: bool, bytes: &[u8]) {
        let key = (packet.src, packet.dst);
        let now = Instant::now();
        let mut state = self.state();
        let is_opening = packet.has(SYN);
        let out = if is_opening {
            Some(state.open(key, packet))
        } else {
            state.continue_flow(now, key, packet, self)
        };
        state.start_waiting(now, self);
        drop(state);
        self.seen.seen().arrivals.push(Arrival {
            at_ms: self.record.now_ms(),
            endpoint: self.options.id.clone(),
            flow: key,
            is_opening,
            is_own: out.is_some(),
            is_sound,
        });
        match out {
            Some(packets) => self.send(packets),
            None => {
                let _ = self.socket.send_to(&bounce(bytes), self.options.outbound);
            }
        }
    }

    fn tick(&self) {
        loop {
            thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let mut state = self.state();
            let mut out = state.finish_done(now, self);
            state.start_waiting(now, self);
            let mut lost = Vec::new();
            for (key, flow) in &mut state.flows {
                let (packets, retransmissions) = flow.stream.tick(now);
                out.extend(packets);
                if retransmissions > MAX_RETRANSMISSIONS {
                    lost.push(*key);
                }
            }
            for key in lost {
                state.flows.remove(&key);
            }
            drop(state);
            self.send(out);
        }
    }

    fn beat(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let options = &self.options;
        for seq in 1_u64.. {
            let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
            let body = format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
                 \"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}",
                options.service, options.app, options.zone, options.slots
            );
            let path = format!("/instances/{}/heartbeat", options.id);
            let status = http::call(options.control, "POST", &path, &body, Duration::from_secs(1));
            let is_acknowledged = status.is_some_and(|it| (200..300).contains(&it));
            thread::sleep(if is_acknowledged { options.heartbeat } else { options.heartbeat / 4 });
        }
    }
}

impl State {
    /// Answers an opening packet.
    fn open(&mut self, key: FlowKey, packet: &Packet) -> Vec<Packet> {
        let known = self.flows.get(&key).filter(|flow| flow.peer_initial == packet.seq);
        if known.is_none() {
            let initial = random();
            let expected = packet.seq.wrapping_add(1);
            let flow = Flow {
                stream: Stream::new(key.1, key.0, initial.wrapping_add(1), expected),
                initial,
                peer_initial: packet.seq,
                is_open: false,
                has_request: false,
            };
            self.flows.insert(key, flow);
        }
        let flow = &self.flows[&key];
        vec![Packet {
            seq: flow.initial,
            ack: packet.seq.wrapping_add(1),
            flags: SYN | ACK,
            src: key.1,
            dst: key.0,
            data: Vec::new(),
        }]
    }

    /// Handles any other packet; returns `None` if the endpoint does not have its flow.
    fn continue_flow(
        &mut self,
        now: Instant,
        key: FlowKey,
        packet: &Packet,
        shared: &Shared,
    ) -> Option<Vec<Packet>> {
        let flow = self.flows.get_mut(&key)?;
        if packet.has(RST) {
            self.flows.remove(&key);
            self.waiting.retain(|(waiting, _)| *waiting != key);
            return Some(Vec::new());
        }
        if !flow.is_open {
            if packet.ack != flow.initial.wrapping_add(1) {
                return None;
            }
            flow.is_open = true;
            let opened = (key, shared.options.id.clone(), shared.record.now_ms());
            shared.seen.seen().opened.push(opened);
        }
        if flow.stream.is_closed && flow.stream.is_closed_by_peer && !packet.data.is_empty() {
            shared.seen.seen().resets.push(key);
            return Some(vec![flow.stream.packet(packet.ack, RST, Vec::new())]);
        }
        let mut out = flow.stream.receive(now, packet);
        if !flow.has_request
            && let Some(request) = take_request(&mut flow.stream.received)
        {
            flow.has_request = true;
            if self.waiting.len() >= shared.options.queue {
                flow.has_request = false;
                let text = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                out.extend(flow.stream.write(now, text.as_bytes()));
            } else {
                self.waiting.push_back((key, request));
            }
        }
        let flow = self.flows.get_mut(&key)?;
        if packet.has(FIN) && !flow.has_request {
            out.extend(flow.stream.close(now));
        }
        Some(out)
    }

    fn start_waiting(&mut self, now: Instant, shared: &Shared) {
        while self.running.len() < shared.options.slots {
            let Some((key, request)) = self.waiting.pop_front() else {
                return;
            };
            let at_ms = shared.record.now_ms();
            shared.record.line(&format!("run: {request} at {}", shared.options.id));
            let run = (request.clone(), shared.options.id.clone(), at_ms);
            shared.seen.seen().runs.push(run);
            self.running.push((key, request, now));
        }
    }

    fn finish_done(&mut self, now: Instant, shared: &Shared) -> Vec<Packet> {
        let work = shared.options.work;
        let mut out = Vec::new();
        let is_done = |it: &mut (FlowKey, String, Instant)| now.duration_since(it.2) >= work;
        for (key, request, _) in self.running.extract_if(.., is_done) {
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            flow.has_request = false;
            let body = format!("{request} by {}", shared.options.id);
            let text = format!(
                "HTTP/1.1 200 X\r\nX-Server-Stamp: {}\r\nContent-Length: {}\r\n\r\n{body}",
                shared.options.id,
                body.len()
            );
            out.extend(flow.stream.write(now, text.as_bytes()));
        }
        out
    }
}

/// Takes a whole request from the bytes of a flow; returns its id.
fn take_request(bytes: &mut Vec<u8>) -> Option<String> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    };
    let length: usize = header("Content-Length")?.parse().ok()?;
    if bytes.len() < end + length {
        return None;
    }
    bytes.drain(..end + length);
    header("X-Request-Id")
}
