//! Measures forwarding decisions and membership changes in a deployment of the design size.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use hawthorntide_routing::{
    ConnectionIdCodec, ConnectionIdKey, EndpointRoute, FlowKey, FlowLocator, KeyRing,
    OpaqueArrival, OpaqueDecision, OpeningRateLimiter, Route, RoutingTable,
};
use hawthorntide_types::{
    EndpointId, Incarnation, Phase, RatePerSecond, ServiceId, TimeMs, Transport, Weight,
};

const SERVICES: u32 = 2_600;
const ENDPOINTS: u32 = 5_900;
/// Endpoints of the first service in the `one_large` layout; the rest is spread over all services.
const LARGE_SERVICE_ENDPOINTS: u32 = 3_300;
const NOW: TimeMs = TimeMs(1_000_000);
/// Distinct packets, so many that decisions are not repeated from the CPU caches.
const PACKETS: u64 = 65_536;
/// Open flows of one agent at the design size.
const FLOWS_PER_AGENT: u64 = 4_000;
/// Packets that a balancer receives with one system call.
const BATCH: usize = 64;

fn service(number: u32) -> ServiceId {
    ServiceId(u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn service_address(number: u32) -> SocketAddr {
    SocketAddr::from(([192, 0, (number >> 8) as u8, number as u8], 443))
}

fn data_address(number: u32) -> SocketAddr {
    SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7000))
}

fn endpoint(number: u32, service: ServiceId) -> EndpointRoute {
    EndpointRoute {
        endpoint: EndpointId::of_address(data_address(number)),
        incarnation: Incarnation(100),
        service,
        data_address: data_address(number),
        phase: Phase::Serving,
        weight: Weight::FULL,
    }
}

fn codec() -> ConnectionIdCodec {
    ConnectionIdCodec::new(KeyRing::new(ConnectionIdKey::new(1, [7; 16]), None).unwrap())
}

fn spread(number: u32) -> u32 {
    number % SERVICES
}

fn one_large(number: u32) -> u32 {
    if number < LARGE_SERVICE_ENDPOINTS {
        0
    } else {
        number % SERVICES
    }
}

fn table(service_of: impl Fn(u32) -> u32) -> RoutingTable {
    let mut table = RoutingTable::new();
    for number in 0..SERVICES {
        let addresses = [service_address(number)];
        table.set_service(service(number), &addresses, Transport::Quic);
    }
    for number in 0..ENDPOINTS {
        table.set_endpoint(endpoint(number, service(service_of(number))));
    }
    table
}

fn opening_packet(seed: u64) -> Vec<u8> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, 8];
    packet.extend_from_slice(&seed.to_be_bytes());
    packet.resize(64, 0);
    packet
}

fn established_packet(codec: &ConnectionIdCodec, number: u32, nonce: u64) -> Vec<u8> {
    let id = endpoint(number, service(0)).endpoint;
    let mut packet = vec![0x40];
    packet.extend_from_slice(&codec.encode(id, Incarnation(100), nonce));
    packet.resize(64, 0);
    packet
}

/// Measures forwarding decisions for batches of packets to different services.
///
/// Each batch is copied to one buffer before its time is measured: packets that were just received
/// are in the CPU cache, while the routing table is not.
fn bench_packets(c: &mut Criterion, name: &str, packets: &[(SocketAddr, Vec<u8>)]) {
    let table = table(spread);
    let codec = codec();
    let mut turn = packets.chunks_exact(BATCH).cycle();
    let mut batch = packets[..BATCH].to_vec();
    c.bench_function(name, |bencher| {
        bencher.iter_custom(|iterations| {
            let mut elapsed = Duration::ZERO;
            let mut left = iterations;
            while left > 0 {
                batch.clone_from_slice(turn.next().unwrap());
                let count = left.min(BATCH as u64);
                let start = Instant::now();
                for (address, packet) in &batch[..count as usize] {
                    let service = table.service_of(*address).unwrap();
                    let route = table.route(NOW, service, packet, &codec);
                    assert!(matches!(black_box(route), Route::Forward { .. }));
                }
                elapsed += start.elapsed();
                left -= count;
            }
            elapsed
        });
    });
}

fn bench_decisions(c: &mut Criterion) {
    let number = |seed: u64| (seed.wrapping_mul(7_919) % u64::from(ENDPOINTS)) as u32;
    let established: Vec<_> = (0..PACKETS)
        .map(|seed| {
            let packet = established_packet(&codec(), number(seed), seed);
            (service_address(spread(number(seed))), packet)
        })
        .collect();
    let opening: Vec<_> = (0..PACKETS)
        .map(|seed| (service_address(spread(number(seed))), opening_packet(seed)))
        .collect();
    bench_packets(c, "decision/established", &established);
    bench_packets(c, "decision/opening", &opening);
    let table = table(spread);
    let mut numbers = (0..ENDPOINTS).cycle();
    c.bench_function("decision/reply", |bencher| {
        bencher.iter(|| {
            let number = numbers.next().unwrap();
            let service = service(spread(number));
            assert!(table.is_endpoint_of(service, black_box(data_address(number))));
        });
    });
}

fn bench_changes(c: &mut Criterion) {
    bench_changes_of_layout(c, "spread", spread);
    bench_changes_of_layout(c, "one_large", one_large);
}

fn bench_changes_of_layout(c: &mut Criterion, name: &str, service_of: impl Fn(u32) -> u32) {
    let mut table = table(&service_of);
    let mut numbers = (0..ENDPOINTS).map(|step| step * 7 % ENDPOINTS).cycle();
    c.bench_function(&format!("change/drain_and_return/{name}"), |bencher| {
        bencher.iter(|| {
            let number = numbers.next().unwrap();
            let route = endpoint(number, service(service_of(number)));
            let phase = Phase::Draining;
            table.set_endpoint(EndpointRoute { phase, ..route });
            table.set_endpoint(route);
        });
    });
    c.bench_function(&format!("change/leave_and_join/{name}"), |bencher| {
        bencher.iter(|| {
            let number = numbers.next().unwrap();
            let route = endpoint(number, service(service_of(number)));
            table.remove_endpoint(NOW, route.endpoint);
            table.set_endpoint(route);
        });
    });
    c.bench_function(&format!("change/weight_down_and_up/{name}"), |bencher| {
        bencher.iter(|| {
            let number = numbers.next().unwrap();
            let route = endpoint(number, service(service_of(number)));
            let weight = Weight(500);
            table.set_endpoint(EndpointRoute { weight, ..route });
            table.set_endpoint(route);
        });
    });
}

fn bench_opaque(c: &mut Criterion) {
    let table = table(spread);
    let flow = |number: u64| FlowKey {
        caller: SocketAddr::from(([203, 0, 113, (number >> 14) as u8], number as u16)),
        service_address: service_address(0),
    };
    let mut numbers = (0..PACKETS).cycle();
    c.bench_function("opaque/balancer", |bencher| {
        bencher.iter(|| {
            let key = flow(numbers.next().unwrap());
            black_box(table.route_opaque(service(0), &key));
        });
    });
    let own = endpoint(0, service(0));
    let peers: Vec<_> = (1..7).map(|number| endpoint(number, service(0))).collect();
    let mut locator = FlowLocator::new(&own, &peers, FLOWS_PER_AGENT as usize);
    let search = |locator: &mut FlowLocator, number| {
        let decision = locator.handle(NOW, flow(number), OpaqueArrival::Forwarded);
        assert!(matches!(decision, OpaqueDecision::Relay { .. }));
    };
    for number in 0..FLOWS_PER_AGENT {
        search(&mut locator, number);
    }
    c.bench_function("opaque/agent_relays", |bencher| {
        bencher.iter(|| search(&mut locator, numbers.next().unwrap() % FLOWS_PER_AGENT));
    });
    let mut locator = FlowLocator::new(&own, &[], FLOWS_PER_AGENT as usize);
    c.bench_function("opaque/agent_holds", |bencher| {
        bencher.iter(|| {
            let key = flow(numbers.next().unwrap() % FLOWS_PER_AGENT);
            let decision = locator.handle(NOW, key, OpaqueArrival::Forwarded);
            assert_eq!(decision, OpaqueDecision::Deliver);
        });
    });
}

fn bench_opening_limiter(c: &mut Criterion) {
    let mut limiter = OpeningRateLimiter::new(RatePerSecond(50_000));
    for number in 0..SERVICES {
        limiter.set_limit(service(number), RatePerSecond(100));
    }
    let mut steps = (0..u64::from(SERVICES) * 1000).cycle();
    c.bench_function("opening/gate", |bencher| {
        bencher.iter(|| {
            let step = steps.next().unwrap();
            let number = (step * 7 % u64::from(SERVICES)) as u32;
            black_box(limiter.admit(TimeMs(step / 50), service(number)))
        });
    });
}

criterion_group!(
    benches,
    bench_decisions,
    bench_changes,
    bench_opaque,
    bench_opening_limiter
);
criterion_main!(benches);
