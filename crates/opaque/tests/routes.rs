//! Tests of removed, unknown, weighted and outdated routes.

mod common;

use common::{Fleet, Outcome, configuration, flow, opening, service, service_address};
use googletest::prelude::*;
use hawthorntide_opaque::{Backend, Configuration, RequestClass, Route, RouteTable};
use hawthorntide_types::{ConfigurationVersion, DurationMs, ResultCode};

// A configuration must not be replaced by an earlier version.
#[gtest]
fn a_lower_version_is_never_applied() {
    let mut table = RouteTable::default();
    expect_that!(table.apply(configuration(7, 2)), eq(true));
    for version in [7, 3] {
        expect_that!(table.apply(configuration(version, 1)), eq(false));
    }
    expect_that!(table.version(), eq(ConfigurationVersion(7)));
    expect_that!(table.find(service_address(1)).is_some(), eq(true));
}

// Flows must not continue after their route was removed.
#[gtest]
fn flows_of_a_removed_route_are_reset() {
    let mut fleet = Fleet::new(1, 4, 2);
    let key = flow(1, 1);
    let (_, number) = fleet.open(1, key).unwrap();
    fleet
        .balancers
        .get_mut(&1)
        .unwrap()
        .apply(configuration(2, 1));
    let outcome = fleet.send_on_flow(1, key, number);
    expect_that!(outcome, eq(Outcome::Reset(ResultCode::NotFound)));
}

// The route of an unknown address may have been added while the store was unreachable.
#[gtest]
fn an_unknown_address_is_refused_only_while_the_routes_are_current() {
    let mut fleet = Fleet::new(1, 2, 1);
    let packet = opening(flow(1, 5), 0);
    let now = fleet.now;
    fleet.balancers.get_mut(&1).unwrap().confirm(now);
    expect_that!(
        fleet.send(1, packet),
        eq(Outcome::Reset(ResultCode::NotFound))
    );
    fleet.run_for(5_000);
    expect_that!(
        fleet.send(1, packet),
        eq(Outcome::Dropped(ResultCode::NotFound))
    );
}

// All packets of a flow must go to the same service, and the shares must match the weights.
#[gtest]
fn backends_take_flows_in_proportion_to_their_weights() {
    let backend = |number, weight| Backend {
        service: service(number),
        weight,
    };
    let route = Route {
        service_address: service_address(0),
        backends: vec![backend(0, 90), backend(1, 10)],
        class: RequestClass::default(),
    };
    let taken = (0..10_000).filter(|caller| {
        let key = flow(*caller, 0);
        expect_that!(route.service_of(&key), eq(route.service_of(&key)));
        route.service_of(&key) == Some(&service(1))
    });
    expect_that!(taken.count(), all![ge(800), le(1_200)]);
}

// The lookup must not depend on the order in which the operator wrote the routes.
#[gtest]
fn routes_are_found_in_any_order() {
    let mut routes: Vec<_> = (0..50)
        .map(|number| Route {
            service_address: service_address(number),
            backends: Vec::new(),
            class: RequestClass::default(),
        })
        .collect();
    routes.reverse();
    let mut table = RouteTable::default();
    table.apply(Configuration::new(
        ConfigurationVersion(1),
        routes,
        DurationMs(1),
    ));
    for number in 0..50 {
        expect_that!(table.find(service_address(number)).is_some(), eq(true));
    }
}
