//! Tests of the emulated fabric with a balancer that echoes each packet.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_emulator::{BalancerLink, Fabric, FabricOptions, ServiceSocket};
use hawthorntide_types::{PerMille, ServiceId};
use hawthorntide_wire::ForwardHeader;
use tokio::net::UdpSocket;

const SERVICE: ServiceId = ServiceId(7);
/// With two balancers, the probability that one of them receives none of these packets is below
/// 1e-15.
const PACKETS: u32 = 64;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a balancer that echoes each packet, with `answer_as` as the service of the reply.
async fn spawn_echo(answer_as: ServiceId) -> SocketAddr {
    let socket = UdpSocket::bind(loopback()).await.expect("binds");
    let address = socket.local_addr().expect("is bound");
    tokio::spawn(async move {
        let mut buffer = vec![0; 2048];
        loop {
            let (size, from) = socket.recv_from(&mut buffer).await.expect("receives");
            let (header, packet) = ForwardHeader::read(&buffer[..size]).expect("has a header");
            let reply = ForwardHeader {
                service: answer_as,
                ..header
            };
            let sent = socket.send_to(&reply.wrap(packet), from).await;
            sent.expect("the fabric listens");
        }
    });
    address
}

async fn bind(balancers: &[SocketAddr]) -> (Fabric, SocketAddr) {
    let options = FabricOptions {
        services: vec![ServiceSocket {
            service: SERVICE,
            address: loopback(),
        }],
        balancers: balancers.iter().map(|address| link(*address)).collect(),
        ..FabricOptions::default()
    };
    let fabric = Fabric::bind(options).await.expect("binds");
    let service = fabric.services()[0].address;
    (fabric, service)
}

fn link(address: SocketAddr) -> BalancerLink {
    BalancerLink {
        address,
        delay: Duration::from_millis(1),
    }
}

/// Sends one packet and returns whether its echo came back from the service address.
async fn round_trip(caller: &UdpSocket, service: SocketAddr) -> bool {
    caller.send_to(b"packet", service).await.expect("sends");
    let mut buffer = [0; 64];
    let answer = caller.recv_from(&mut buffer);
    let Ok(answer) = tokio::time::timeout(Duration::from_millis(200), answer).await else {
        return false;
    };
    answer.expect("receives") == (6, service)
}

/// Guards against sending packets to a balancer after it was detached.
#[tokio::test]
async fn detached_balancer_gets_no_packets() {
    let (dead, live) = (
        UdpSocket::bind(loopback()).await.expect("binds"),
        spawn_echo(SERVICE).await,
    );
    let dead_address = dead.local_addr().expect("is bound");
    let (fabric, service) = bind(&[dead_address, live]).await;
    fabric.detach_balancer(dead_address);
    let caller = UdpSocket::bind(loopback()).await.expect("binds");
    for _ in 0..PACKETS {
        assert_that!(round_trip(&caller, service).await, eq(true));
    }
    assert_that!(fabric.counts().forwarded, eq(u64::from(PACKETS)));
}

/// Guards against per-caller affinity: packets of one caller must be sprayed over all balancers.
#[tokio::test]
async fn packets_of_one_caller_reach_all_balancers() {
    let sockets = [
        UdpSocket::bind(loopback()).await.expect("binds"),
        UdpSocket::bind(loopback()).await.expect("binds"),
    ];
    let addresses = sockets.each_ref().map(UdpSocket::local_addr);
    let addresses = addresses.map(|address| address.expect("is bound"));
    let (_fabric, service) = bind(&addresses).await;
    let caller = UdpSocket::bind(loopback()).await.expect("binds");
    for _ in 0..PACKETS {
        caller.send_to(b"packet", service).await.expect("sends");
    }
    for socket in &sockets {
        let mut buffer = [0; 2048];
        let received = socket.recv_from(&mut buffer).await;
        let (size, _) = received.expect("the balancer is used");
        let (header, _) = ForwardHeader::read(&buffer[..size]).expect("has a header");
        assert_that!(header.caller, eq(caller.local_addr().expect("is bound")));
        assert_that!(header.service_address, eq(service));
    }
}

/// Guards against delivering a reply of one service to a caller of another.
#[tokio::test]
async fn reply_of_another_service_is_counted_and_dropped() {
    let (fabric, service) = bind(&[spawn_echo(ServiceId(8)).await]).await;
    let caller = UdpSocket::bind(loopback()).await.expect("binds");
    assert_that!(round_trip(&caller, service).await, eq(false));
    assert_that!(fabric.counts().misdelivered, eq(1));
}

/// Guards against silent flows that recover, and against silencing other flows as well.
#[tokio::test]
async fn silence_stays_with_its_caller_address() {
    let (fabric, service) = bind(&[spawn_echo(SERVICE).await]).await;
    let silent = UdpSocket::bind(loopback()).await.expect("binds");
    assert_that!(round_trip(&silent, service).await, eq(true));
    let chosen = fabric.silence_share(PerMille(1000));
    assert_that!(chosen, eq(&vec![silent.local_addr().expect("is bound")]));
    assert_that!(round_trip(&silent, service).await, eq(false));
    let rebound = UdpSocket::bind(loopback()).await.expect("binds");
    assert_that!(round_trip(&rebound, service).await, eq(true));
}
