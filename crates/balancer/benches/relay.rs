//! Compares the forwarding rate of one balancer thread with that of a minimal UDP relay that has
//! one destination.
//!
//! Both forward on one thread each. They are measured alternately in short slices of the same run,
//! while senders keep the receive buffers full. Results are forwarded packets per second of CPU
//! time of the forwarding thread.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hawthorntide_types::Transport;
use quinn::udp::{Transmit, UdpSockRef, UdpSocketState};
use support::{FakeAgent, balancer, service, wait_for_endpoints};

const ROUNDS: usize = 5;
const MEASUREMENT_TIME: Duration = Duration::from_millis(700);
const SENDERS: usize = 4;
/// Packets per system call of a sender: single packets, and bursts, which the kernel also delivers
/// to the balancer with one call.
const PACKETS_PER_SEND: [usize; 2] = [1, 16];

/// Forwarded packets and CPU time of the forwarding thread at one point in time.
#[derive(Clone, Copy)]
struct Sample {
    packets: u64,
    cpu: Duration,
}

/// Packets per second of CPU time and of wall-clock time.
#[derive(Clone, Copy)]
struct Rate {
    per_core: f64,
    per_second: f64,
}

/// Two consecutive measurements.
struct Pair {
    relay: Rate,
    balancer: Rate,
}

/// Forwarder under test, which runs on its own thread.
struct Forwarder {
    address: SocketAddr,
    thread: u64,
    packets: Box<dyn Fn() -> u64>,
    /// One packet per agent.
    packets_to_send: Vec<Vec<u8>>,
}

impl Forwarder {
    fn read(&self) -> Sample {
        Sample {
            packets: (self.packets)(),
            cpu: thread_cpu(self.thread),
        }
    }

    /// Floods the forwarder and measures its rate over one time slice.
    fn measure(&self, packets_per_send: usize) -> Rate {
        let stop = Arc::new(AtomicBool::new(false));
        let senders: Vec<_> = (0..SENDERS)
            .map(|_| flood(self.address, &self.packets_to_send, packets_per_send, &stop))
            .collect();
        std::thread::sleep(Duration::from_millis(100));
        let (before, start) = (self.read(), Instant::now());
        std::thread::sleep(MEASUREMENT_TIME);
        let (after, wall) = (self.read(), start.elapsed());
        stop.store(true, Ordering::Relaxed);
        for sender in senders {
            sender.join().unwrap();
        }
        let packets = (after.packets - before.packets) as f64;
        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
        Rate {
            per_core: packets / cpu,
            per_second: packets / wall.as_secs_f64(),
        }
    }
}

/// Linux thread id of the calling thread.
fn current_thread_id() -> u64 {
    let path = std::fs::read_link("/proc/thread-self").unwrap();
    path.file_name().unwrap().to_str().unwrap().parse().unwrap()
}

/// CPU time of a thread of this process, with nanosecond resolution.
fn thread_cpu(thread: u64) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/self/task/{thread}/schedstat")).unwrap();
    Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
}

fn flood(
    to: SocketAddr,
    packets: &[Vec<u8>],
    packets_per_send: usize,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let state = UdpSocketState::new(UdpSockRef::from(&socket)).unwrap();
    let length = packets[0].len();
    // Each sender cycles through all agents; consecutive calls of a sender have different contents.
    let calls: Vec<Vec<u8>> = (0..packets.len())
        .map(|first| {
            let burst = packets.iter().cycle().skip(first).take(packets_per_send);
            burst.flatten().copied().collect()
        })
        .collect();
    let stop = Arc::clone(stop);
    std::thread::spawn(move || {
        for contents in calls.iter().cycle() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let transmit = Transmit {
                destination: to,
                ecn: None,
                contents,
                segment_size: (packets_per_send > 1).then_some(length),
                src_ip: None,
            };
            if state
                .try_send(UdpSockRef::from(&socket), &transmit)
                .is_err()
            {
                std::thread::yield_now();
            }
        }
    })
}

/// Receives and discards packets, in place of an agent.
fn discard(socket: UdpSocket) {
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while socket.recv(&mut buffer).is_ok() {}
    });
}

fn bare_relay(length: usize) -> Forwarder {
    let destination = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = destination.local_addr().unwrap();
    discard(destination);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let count = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&count);
    let (send, thread) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        send.send(current_thread_id()).unwrap();
        let mut buffer = [0; 2048];
        loop {
            let (length, _) = socket.recv_from(&mut buffer).unwrap();
            if socket.send_to(&buffer[..length], to).is_ok() {
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    Forwarder {
        address,
        thread: thread.recv().unwrap(),
        packets: Box::new(move || count.load(Ordering::Relaxed)),
        packets_to_send: vec![vec![0x40; length]],
    }
}

fn balancer_on_one_thread(length: usize, agents: usize) -> Forwarder {
    let (send, ready) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let service = service("stockd", Transport::Quic);
            let balancer = balancer(std::slice::from_ref(&service)).await;
            let agents: Vec<_> = (0..agents)
                .map(|_| FakeAgent::announce(service.id(), &balancer))
                .collect();
            wait_for_endpoints(&balancer, agents.len()).await;
            let packets: Vec<_> = (0..)
                .zip(&agents)
                .map(|(nonce, agent)| agent.established_packet(nonce, length))
                .collect();
            for agent in agents {
                agent.data.set_read_timeout(None).unwrap();
                discard(agent.data);
            }
            let balancer = Arc::new(balancer);
            let reader = Arc::clone(&balancer);
            send.send((service.addresses[0], current_thread_id(), reader, packets))
                .unwrap();
            std::future::pending::<()>().await;
        });
    });
    let (address, thread, balancer, packets_to_send) = ready.recv().unwrap();
    Forwarder {
        address,
        thread,
        packets: Box::new(move || balancer.report().packets_forwarded),
        packets_to_send,
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn report(pairs: &[Pair]) {
    let of = |value: fn(&Pair) -> f64| median(pairs.iter().map(value).collect());
    let ratio = |pair: &Pair| pair.balancer.per_core / pair.relay.per_core;
    let lowest = pairs.iter().map(ratio).fold(f64::MAX, f64::min);
    println!(
        "  relay {:.0}, balancer {:.0} packets per core second, ratio {:.2} (lowest {lowest:.2}); \
         wall clock {:.0} and {:.0} packets per second",
        of(|pair| pair.relay.per_core),
        of(|pair| pair.balancer.per_core),
        of(|pair| pair.balancer.per_core / pair.relay.per_core),
        of(|pair| pair.relay.per_second),
        of(|pair| pair.balancer.per_second),
    );
}

fn main() {
    // `cargo test --all-targets` also runs benchmarks, without this argument.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for length in [100, 1200] {
        let relay = bare_relay(length);
        for agents in [1, 7] {
            let balancer = balancer_on_one_thread(length, agents);
            for packets_per_send in PACKETS_PER_SEND {
                let pairs: Vec<_> = (0..ROUNDS)
                    .map(|_| Pair {
                        relay: relay.measure(packets_per_send),
                        balancer: balancer.measure(packets_per_send),
                    })
                    .collect();
                println!("{length} bytes, {agents} agents, {packets_per_send} sent at once:");
                report(&pairs);
            }
        }
    }
}
