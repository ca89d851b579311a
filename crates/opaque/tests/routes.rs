//! Guards routes: dropped, unknown, split and outdated ones.

mod common;

use common::{Fleet, Outcome, configuration, flow, opening, service, service_address};
use googletest::prelude::*;
use hawthorntide_opaque::{Backend, Configuration, Route, RouteTable};
use hawthorntide_types::{DurationMs, ResultCode, Version};

// Guards against a configuration that reverts.
#[gtest]
fn a_lower_version_is_never_taken() {
    let mut table = RouteTable::default();
    expect_that!(table.apply(configuration(7, 2)), eq(true));
    for version in [7, 3] {
        expect_that!(table.apply(configuration(version, 1)), eq(false));
    }
    expect_that!(table.version(), eq(Version(7)));
    expect_that!(table.find(service_address(1)).is_some(), eq(true));
}

// Guards against flows that go on after their route was dropped.
#[gtest]
fn flows_of_a_dropped_route_are_reset() {
    let mut fleet = Fleet::new(1, 4, 2);
    let key = flow(1, 1);
    let (_, number) = fleet.open(1, key).unwrap();
    fleet
        .balancers
        .get_mut(&1)
        .unwrap()
        .apply(configuration(2, 1));
    let outcome = fleet.use_flow(1, key, number);
    expect_that!(outcome, eq(Outcome::Reset(ResultCode::NotFound)));
}

// Guards against the refusal of a route that was added while the store could not be reached.
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

// Guards against a flow whose packets are split between services, and against shares that are not
// those of the weights.
#[gtest]
fn backends_take_their_part_of_the_flows() {
    let backend = |number, weight| Backend {
        service: service(number),
        weight,
    };
    let route = Route {
        service_address: service_address(0),
        backends: vec![backend(0, 90), backend(1, 10)],
    };
    let taken = (0..10_000).filter(|caller| {
        let key = flow(*caller, 0);
        expect_that!(route.service_of(&key), eq(route.service_of(&key)));
        route.service_of(&key) == Some(&service(1))
    });
    expect_that!(taken.count(), all![ge(800), le(1_200)]);
}

// Guards against a search that needs the order in which the operator wrote the routes.
#[gtest]
fn routes_are_found_in_any_order() {
    let mut routes: Vec<_> = (0..50)
        .map(|number| Route {
            service_address: service_address(number),
            backends: Vec::new(),
        })
        .collect();
    routes.reverse();
    let mut table = RouteTable::default();
    table.apply(Configuration::new(Version(1), routes, DurationMs(1)));
    for number in 0..50 {
        expect_that!(table.find(service_address(number)).is_some(), eq(true));
    }
}
