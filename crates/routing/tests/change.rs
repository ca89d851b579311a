//! Guards slot tables against flows that move unnecessarily, and balancers that disagree although
//! they know the same endpoints.

use std::net::SocketAddr;

use googletest::prelude::*;
use hawthorntide_routing::{
    ConnectionIdCodec, ConnectionIdKey, EndpointRoute, ForwardKind, KeyRing, Route, RoutingTable,
};
use hawthorntide_types::{EndpointId, Incarnation, Phase, ServiceId, TimeMs, Transport, Weight};
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};

const SERVICES: [ServiceId; 2] = [ServiceId(1), ServiceId(2)];
const NOW: TimeMs = TimeMs(1_000_000);
const ENDPOINTS: u16 = 12;
const KEYS: u64 = 600;

#[derive(Clone, Copy, Debug)]
enum Change {
    Weight(u16, u16),
    Drain(u16),
    Leave(u16),
}

fn any_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..ENDPOINTS, 1..=1000_u16).prop_map(|(number, weight)| Change::Weight(number, weight)),
        (0..ENDPOINTS).prop_map(|number| Change::Weight(number, 1000)),
        (0..ENDPOINTS).prop_map(Change::Drain),
        (0..ENDPOINTS).prop_map(Change::Leave),
    ]
}

fn any_changes() -> impl Strategy<Value = Vec<Change>> {
    proptest::collection::vec(any_change(), 0..40)
}

impl Change {
    const fn number(self) -> u16 {
        match self {
            Self::Weight(number, _) | Self::Drain(number) | Self::Leave(number) => number,
        }
    }
}

fn codec() -> ConnectionIdCodec {
    ConnectionIdCodec::new(KeyRing::new(ConnectionIdKey::new(1, [7; 16]), None).unwrap())
}

fn data_address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number as u8], 7000))
}

/// Endpoints with an even number belong to the first service.
fn endpoint(number: u16) -> EndpointRoute {
    EndpointRoute {
        endpoint: EndpointId::of_address(data_address(number)),
        incarnation: Incarnation(100),
        service: SERVICES[usize::from(number % 2)],
        data_address: data_address(number),
        phase: Phase::Serving,
        weight: Weight::FULL,
    }
}

fn empty_table() -> RoutingTable {
    let mut table = RoutingTable::new();
    for service in SERVICES {
        table.set_service(service, &[], Transport::Quic);
    }
    table
}

fn apply(table: &mut RoutingTable, change: Change) {
    let route = endpoint(change.number());
    match change {
        Change::Weight(_, weight) => table.set_endpoint(EndpointRoute {
            weight: Weight(weight),
            ..route
        }),
        Change::Drain(_) => table.set_endpoint(EndpointRoute {
            phase: Phase::Draining,
            ..route
        }),
        Change::Leave(_) => table.remove_endpoint(NOW, route.endpoint),
    }
}

fn apply_all(table: &mut RoutingTable, changes: &[Change]) {
    for change in changes {
        apply(table, *change);
    }
}

fn target(table: &RoutingTable, service: ServiceId, key: u64) -> Option<SocketAddr> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, 8];
    packet.extend_from_slice(&key.to_be_bytes());
    packet.push(0);
    match table.route(NOW, service, &packet, &codec()) {
        Route::Forward { to, .. } => Some(to),
        Route::Drop(_) => None,
    }
}

fn targets(table: &RoutingTable, service: ServiceId) -> Vec<Option<SocketAddr>> {
    (0..KEYS).map(|key| target(table, service, key)).collect()
}

proptest! {
    // Guards against balancers that disagree because they received the same changes in different
    // orders.
    #[test]
    fn the_order_of_changes_does_not_matter(changes in any_changes(), seed in any::<usize>()) {
        let mut table = empty_table();
        apply_all(&mut table, &changes);
        let mut last_changes: Vec<Change> = Vec::new();
        for change in changes.iter().rev() {
            if last_changes.iter().all(|last| last.number() != change.number()) {
                last_changes.push(*change);
            }
        }
        let middle = seed % (last_changes.len() + 1);
        last_changes.rotate_left(middle);
        let mut other = empty_table();
        apply_all(&mut other, &last_changes);
        for service in SERVICES {
            prop_assert_eq!(targets(&table, service), targets(&other, service));
        }
    }

    // Guards against a change of one endpoint that moves flows between other endpoints, or flows of
    // another service.
    #[test]
    fn a_change_moves_only_flows_of_its_endpoint(changes in any_changes(), last in any_change()) {
        let mut table = empty_table();
        apply_all(&mut table, &changes);
        let before = SERVICES.map(|service| targets(&table, service));
        apply(&mut table, last);
        let after = SERVICES.map(|service| targets(&table, service));
        let changed = Some(data_address(last.number()));
        let other_service = usize::from(1 - last.number() % 2);
        prop_assert_eq!(&before[other_service], &after[other_service]);
        for (old, new) in before.iter().flatten().zip(after.iter().flatten()) {
            let is_first_or_last = old.is_none() || new.is_none();
            prop_assert!(old == new || *old == changed || *new == changed || is_first_or_last);
        }
    }

    // Guards against planned changes of endpoints that break established flows.
    #[test]
    fn established_packets_reach_their_endpoint(
        changes in any_changes(),
        number in 0..ENDPOINTS,
        incarnation in 90_u64..=100,
    ) {
        let mut table = empty_table();
        table.set_endpoint(endpoint(number));
        apply_all(&mut table, &changes);
        let mut packet = vec![0x40];
        let id = endpoint(number).endpoint;
        packet.extend_from_slice(&codec().encode(id, Incarnation(incarnation), 3));
        let route = table.route(NOW, endpoint(number).service, &packet, &codec());
        let to = data_address(number);
        prop_assert_eq!(route, Route::Forward { to, kind: ForwardKind::Established });
    }
}

// Guards against a distribution of new flows that does not follow the weights.
#[gtest]
fn new_flows_follow_the_weights() {
    const FLOWS: u64 = 20_000;
    let mut table = empty_table();
    let weights = [(0, 1000), (2, 1000), (4, 500), (6, 250)];
    for (number, weight) in weights {
        apply(&mut table, Change::Weight(number, weight));
    }
    let sum: u16 = weights.iter().map(|(_, weight)| weight).sum();
    for (number, weight) in weights {
        let is_hit = |key: &u64| target(&table, SERVICES[0], *key) == Some(data_address(number));
        let hits = (0..FLOWS).filter(is_hit).count() as f64;
        let expected = FLOWS as f64 * f64::from(weight) / f64::from(sum);
        // Four standard deviations of the number of table slots; the sampling error of the flows is
        // smaller.
        let tolerance = 4.0 * (f64::from(sum) / f64::from(weight) / 1024.0).sqrt();
        expect_that!(hits / expected, near(1.0, tolerance));
    }
}
