//! Guards the routing table against packets sent to the wrong service and against broken flows.

use std::net::SocketAddr;

use googletest::prelude::*;
use hawthorntide_routing::{
    ConnectionIdCodec, ConnectionIdKey, EndpointRoute, ForwardKind, KeyRing,
    REMOVED_ENDPOINT_RETENTION_MS, Route, RoutingTable,
};
use hawthorntide_types::{
    DurationMs, EndpointId, Incarnation, Phase, ResultCode, ServiceId, TimeMs, Transport, Weight,
};

const STOCKD: ServiceId = ServiceId(1);
const CATALOGUE: ServiceId = ServiceId(2);
const NOW: TimeMs = TimeMs(1_000_000);

fn codec() -> ConnectionIdCodec {
    ConnectionIdCodec::new(KeyRing::new(ConnectionIdKey::new(1, [7; 16]), None).unwrap())
}

fn data_address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7000))
}

fn endpoint(number: u16, service: ServiceId) -> EndpointRoute {
    EndpointRoute {
        endpoint: EndpointId::of_address(data_address(number)),
        incarnation: Incarnation(100),
        service,
        data_address: data_address(number),
        phase: Phase::Serving,
        weight: Weight::FULL,
    }
}

fn service_address(service: ServiceId) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, service.0 as u8], 443))
}

/// Seven endpoints of stockd (0 to 6) and three of catalogue (7 to 9).
fn table() -> RoutingTable {
    let mut table = RoutingTable::new();
    for service in [STOCKD, CATALOGUE] {
        table.set_service(service, &[service_address(service)], Transport::Quic);
    }
    for number in 0..10 {
        table.set_endpoint(endpoint(
            number,
            if number < 7 { STOCKD } else { CATALOGUE },
        ));
    }
    table
}

fn initial_packet(id: &[u8]) -> Vec<u8> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, id.len() as u8];
    packet.extend_from_slice(id);
    packet.resize(1200, 0);
    packet
}

fn short_header_packet(id: &[u8]) -> Vec<u8> {
    let mut packet = vec![0x40];
    packet.extend_from_slice(id);
    packet.resize(60, 0);
    packet
}

fn id_of(number: u16) -> [u8; 20] {
    codec().encode(endpoint(number, STOCKD).endpoint, Incarnation(100), 5)
}

fn established(number: u16) -> Route {
    Route::Forward {
        to: data_address(number),
        kind: ForwardKind::Established,
    }
}

fn opening_target(table: &RoutingTable, service: ServiceId, seed: u64) -> SocketAddr {
    let route = table.route(NOW, service, &initial_packet(&seed.to_be_bytes()), &codec());
    let Route::Forward { to, kind } = route else {
        panic!("{route:?} for an opening packet");
    };
    assert_eq!(kind, ForwardKind::Opening);
    to
}

// Guards against packets of one service that reach an endpoint of another.
#[gtest]
fn packets_stay_within_their_service() {
    let table = table();
    expect_that!(table.service_of(service_address(STOCKD)), some(eq(STOCKD)));
    expect_that!(table.service_of(data_address(1)), none());
    for seed in 0..2000 {
        let target = opening_target(&table, CATALOGUE, seed);
        expect_true!((7..10).map(data_address).any(|address| address == target));
    }
    for packet in [short_header_packet(&id_of(1)), initial_packet(&id_of(1))] {
        let route = |service| table.route(NOW, service, &packet, &codec());
        expect_that!(route(STOCKD), eq(established(1)));
        expect_that!(
            route(CATALOGUE),
            eq(Route::Drop(ResultCode::ServiceMismatch))
        );
    }
    expect_true!(table.is_endpoint_of(STOCKD, data_address(1)));
    expect_false!(table.is_endpoint_of(CATALOGUE, data_address(1)));
    expect_false!(table.is_endpoint_of(STOCKD, service_address(STOCKD)));
}

// Guards against established flows that break when their endpoint drains, restarts or is removed.
#[gtest]
fn established_flows_survive_drain_restart_and_removal() {
    let mut table = table();
    let packet = short_header_packet(&id_of(1));
    table.set_endpoint(EndpointRoute {
        phase: Phase::Draining,
        ..endpoint(1, STOCKD)
    });
    expect_that!(
        table.route(NOW, STOCKD, &packet, &codec()),
        eq(established(1))
    );
    expect_true!((0..2000).all(|seed| opening_target(&table, STOCKD, seed) != data_address(1)));
    table.set_endpoint(EndpointRoute {
        incarnation: Incarnation(101),
        ..endpoint(1, STOCKD)
    });
    expect_that!(
        table.route(NOW, STOCKD, &packet, &codec()),
        eq(established(1))
    );
    table.remove_endpoint(NOW, endpoint(1, STOCKD).endpoint);
    expect_true!((0..2000).all(|seed| opening_target(&table, STOCKD, seed) != data_address(1)));
    let late = NOW + REMOVED_ENDPOINT_RETENTION_MS;
    expect_that!(
        table.route(late, STOCKD, &packet, &codec()),
        eq(established(1))
    );
    expect_that!(
        table.route(late + DurationMs(1), STOCKD, &packet, &codec()),
        eq(Route::Drop(ResultCode::EndpointUnknown))
    );
}

// Guards against a delayed message of an earlier incarnation that overwrites a newer one.
#[gtest]
fn an_earlier_incarnation_is_ignored() {
    let mut table = table();
    table.set_endpoint(EndpointRoute {
        incarnation: Incarnation(99),
        phase: Phase::Gone,
        ..endpoint(8, CATALOGUE)
    });
    expect_true!((0..2000).any(|seed| opening_target(&table, CATALOGUE, seed) == data_address(8)));
}

// Guards against opening packets being forwarded for a service that has no endpoints.
#[gtest]
fn a_service_without_endpoints_drops_opening_packets() {
    let mut table = table();
    for number in 7..10 {
        table.remove_endpoint(NOW, endpoint(number, CATALOGUE).endpoint);
    }
    let route = table.route(NOW, CATALOGUE, &initial_packet(&[1; 8]), &codec());
    expect_that!(route, eq(Route::Drop(ResultCode::NoEndpoint)));
    table.remove_service(STOCKD);
    let route = table.route(NOW, STOCKD, &initial_packet(&[1; 8]), &codec());
    expect_that!(route, eq(Route::Drop(ResultCode::NoEndpoint)));
}
