//! Guards the number of balancers that watch the platform store, and that none stays behind.

mod common;

use common::{Fleet, configuration, peer_address};
use googletest::prelude::*;
use hawthorntide_opaque::{ConfigurationTask, GossipEvent};

/// Lets each balancer tell whether it watches, as its edge does after an answer of the store.
fn settle(fleet: &mut Fleet, unanswered: &[u8]) -> Vec<u8> {
    let mut watchers = Vec::new();
    for _ in 0..4 {
        watchers.clear();
        for number in fleet.balancers.keys().copied().collect::<Vec<_>>() {
            let balancer = &fleet.balancers[&number];
            let should_watch = balancer.should_watch(fleet.now);
            let is_watching = should_watch && !unanswered.contains(&number);
            let role = balancer.role(is_watching);
            fleet.gossip(number, GossipEvent::LocalRoleChanged(role));
            if is_watching {
                watchers.push(number);
            }
        }
        fleet.run_for(500);
    }
    watchers
}

// Guards against calls of the store that grow with the number of balancers.
#[gtest]
fn three_balancers_watch_whatever_their_number() {
    for balancers in [1, 3, 4, 20] {
        let mut fleet = Fleet::new(balancers, 2, 1);
        let watchers = settle(&mut fleet, &[]);
        expect_that!(watchers.len(), eq(usize::from(balancers.min(3))));
    }
}

// Guards against balancers without news after the watchers died or lost the store.
#[gtest]
fn others_take_over_from_lost_watchers() {
    let mut fleet = Fleet::new(8, 2, 1);
    let first = settle(&mut fleet, &[]);
    let second = settle(&mut fleet, &first);
    expect_that!(second.len(), eq(3));
    expect_that!(second.iter().any(|it| first.contains(it)), eq(false));
    fleet.cut.extend(second.iter());
    fleet.run_for(2_500);
    let lost: Vec<u8> = first.into_iter().chain(second).collect();
    let third = settle(&mut fleet, &lost);
    expect_that!(third.len(), eq(2), "two balancers are left");
}

// Guards against a balancer that goes on with old routes while another has later ones.
#[gtest]
fn a_later_version_of_one_is_noticed_by_all() {
    let mut fleet = Fleet::new(5, 2, 1);
    settle(&mut fleet, &[]);
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    balancer.apply(configuration(2, 1));
    let role = balancer.role(true);
    fleet.gossip(1, GossipEvent::LocalRoleChanged(role));
    for (number, balancer) in &fleet.balancers {
        expect_that!(balancer.is_behind(fleet.now), eq(*number != 1));
    }
}

// Guards against a balancer that the store turns away and that keeps old routes while others have
// later ones.
#[gtest]
fn a_balancer_that_does_not_watch_asks_the_one_that_is_furthest_ahead() {
    let mut fleet = Fleet::new(3, 2, 1);
    settle(&mut fleet, &[1]);
    let task = |fleet: &Fleet, number: u8| fleet.balancers[&number].configuration_task(fleet.now);
    expect_that!(task(&fleet, 1), eq(ConfigurationTask::Watch));
    for (number, version) in [(2, 2), (3, 3)] {
        let balancer = fleet.balancers.get_mut(&number).unwrap();
        balancer.apply(configuration(version, 1));
        let role = balancer.role(true);
        fleet.gossip(number, GossipEvent::LocalRoleChanged(role));
    }
    let furthest = ConfigurationTask::FetchFrom(peer_address(3));
    expect_that!(
        task(&fleet, 1),
        eq(furthest),
        "the store does not answer it"
    );
    expect_that!(
        task(&fleet, 2),
        eq(ConfigurationTask::Watch),
        "it hears itself"
    );
    fleet
        .balancers
        .get_mut(&1)
        .unwrap()
        .apply(configuration(3, 1));
    expect_that!(task(&fleet, 1), eq(ConfigurationTask::Watch));
}
