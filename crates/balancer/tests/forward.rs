//! Packet forwarding of the balancer over loopback sockets.

mod support;

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hawthorntide_balancer::{Balancer, BalancerError, BalancerReport};
use hawthorntide_types::{Service, Transport};
use hawthorntide_wire::{ForwardHeader, ForwardKind};

use support::{FakeAgent, WAIT_TIMEOUT, balancer, service, wait_for_endpoints};

struct Fixture {
    services: [Service; 2],
    balancer: Balancer,
    endpoints: [FakeAgent; 2],
}

/// Starts a balancer and two services with one endpoint each.
async fn start(transport: Transport) -> Fixture {
    let services = [
        service("stockd", transport),
        service("catalogue", transport),
    ];
    let balancer = balancer(&services).await;
    let endpoints = [0, 1].map(|index| FakeAgent::announce(services[index].id(), &balancer));
    wait_for_endpoints(&balancer, 2).await;
    Fixture {
        services,
        balancer,
        endpoints,
    }
}

fn caller(service: &Service) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.connect(service.addresses[0]).unwrap();
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    socket
}

fn initial(seed: u64) -> Vec<u8> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, 8];
    packet.extend_from_slice(&seed.to_be_bytes());
    packet.resize(1200, 0);
    packet
}

fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 2048];
    let (length, from) = socket.recv_from(&mut buffer).unwrap();
    (buffer[..length].to_vec(), from)
}

/// Waits until the counters meet a condition; they are updated after the packets have been sent.
async fn wait_for_report(balancer: &Balancer, is_met: impl Fn(&BalancerReport) -> bool) {
    let start = Instant::now();
    while !is_met(&balancer.report()) {
        let report = balancer.report();
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "counters did not change in time: {report:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// Guards against batches that mix up caller, service, content or order of packets and replies.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn packets_and_replies_arrive_unchanged_and_in_order() {
    let fixture = start(Transport::Quic).await;
    let [endpoint, _] = &fixture.endpoints;
    let caller = caller(&fixture.services[0]);
    let lengths = [100, 1200, 1200, 1200, 700, 700, 30, 1200];
    for (nonce, length) in lengths.into_iter().enumerate() {
        caller
            .send(&endpoint.established_packet(nonce as u64, length))
            .unwrap();
    }
    let mut last = None;
    for (nonce, length) in lengths.into_iter().enumerate() {
        let (datagram, from) = receive(&endpoint.data);
        let (header, packet) = ForwardHeader::read(&datagram).unwrap();
        expect_that!(from, eq(fixture.balancer.data_address()));
        expect_that!(header.kind, eq(ForwardKind::Established));
        expect_that!(header.caller, eq(caller.local_addr().unwrap()));
        expect_that!(header.service, eq(fixture.services[0].id()));
        expect_that!(
            packet,
            eq(&endpoint.established_packet(nonce as u64, length)[..])
        );
        last = Some(header);
    }
    let reply = ForwardHeader {
        kind: ForwardKind::Reply,
        ..last.unwrap()
    };
    for number in 0..20_u8 {
        let datagram = reply.wrap(&[number; 900]);
        endpoint
            .data
            .send_to(&datagram, fixture.balancer.data_address())
            .unwrap();
    }
    for number in 0..20_u8 {
        let (packet, from) = receive(&caller);
        expect_that!(packet, eq(&vec![number; 900]));
        expect_that!(from, eq(fixture.services[0].addresses[0]));
    }
    let forwarded = lengths.len() as u64;
    wait_for_report(&fixture.balancer, |report| {
        report.packets_forwarded == forwarded && report.packets_replied == 20
    })
    .await;
    fixture.balancer.stop().await;
}

// Guards against delivering packets or replies of one service to another service.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn packets_and_replies_stay_within_their_service() {
    let fixture = start(Transport::Quic).await;
    let [first, second] = &fixture.endpoints;
    let caller = caller(&fixture.services[1]);
    caller.send(&first.established_packet(1, 500)).unwrap();
    let forged = ForwardHeader {
        kind: ForwardKind::Reply,
        hops: 0,
        service: fixture.services[1].id(),
        caller: caller.local_addr().unwrap(),
        service_address: fixture.services[1].addresses[0],
    };
    let to = fixture.balancer.data_address();
    first.data.send_to(&forged.wrap(&[1; 10]), to).unwrap();
    caller.send(&second.established_packet(2, 500)).unwrap();
    let (datagram, _) = receive(&second.data);
    expect_that!(ForwardHeader::read(&datagram).unwrap().1.len(), eq(500));
    second.data.send_to(&forged.wrap(&[2; 10]), to).unwrap();
    expect_that!(receive(&caller).0, eq(&vec![2; 10]));
    first
        .data
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    expect_that!(first.data.recv(&mut [0; 2048]), err(anything()));
    wait_for_report(&fixture.balancer, |report| report.packets_dropped == 2).await;
    fixture.balancer.stop().await;
}

// Guards against a flood of opening packets from many sources that displaces packets of open flows
// or reaches the agents without a limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn open_flows_pass_during_a_flood_of_openings() {
    let fixture = start(Transport::Quic).await;
    let [flooded, other] = &fixture.endpoints;
    let callers = [0, 1].map(|index| caller(&fixture.services[index]));
    for seed in 0..30_000 {
        callers[0].send(&initial(seed)).unwrap();
        if seed % 1000 == 0 {
            callers[1]
                .send(&other.established_packet(seed, 200))
                .unwrap();
            let (datagram, _) = receive(&other.data);
            let (header, _) = ForwardHeader::read(&datagram).unwrap();
            expect_that!(header.kind, eq(ForwardKind::Established));
        }
    }
    let (datagram, _) = receive(&flooded.data);
    let (header, _) = ForwardHeader::read(&datagram).unwrap();
    expect_that!(header.kind, eq(ForwardKind::Opening));
    let report = fixture.balancer.report();
    expect_that!(report.packets_dropped, gt(0));
    fixture.balancer.stop().await;
}

// Guards against treating opaque UDP packets as QUIC.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn opaque_packets_are_routed_by_flow() {
    let fixture = start(Transport::Udp).await;
    let caller = caller(&fixture.services[0]);
    for _ in 0..5 {
        caller.send(b"any bytes").unwrap();
        let (datagram, _) = receive(&fixture.endpoints[0].data);
        let (header, packet) = ForwardHeader::read(&datagram).unwrap();
        expect_that!(header.kind, eq(ForwardKind::Opaque));
        expect_that!(packet, eq(b"any bytes"));
    }
    fixture.balancer.stop().await;
}

// Guards against two balancers bound to the same address: workers bind with `SO_REUSEPORT`, so the
// kernel alone does not reject the second one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_second_balancer_cannot_bind_the_address() {
    let services = [service("stockd", Transport::Quic)];
    let first = balancer(&services).await;
    let second = support::try_balancer(&services).await;
    expect_true!(matches!(second, Err(BalancerError::Bind { .. })));
    first.stop().await;
}
