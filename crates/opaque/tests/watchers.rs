//! Tests that a few balancers watch the platform store and all others follow them.

mod common;

use common::{Fleet, configuration, flow, opening, peer_address};
use googletest::prelude::*;
use hawthorntide_opaque::{BalancerDecision, ConfigurationTask, GossipEvent};
use hawthorntide_types::{DurationMs, ResultCode};

/// Limit of a fetch from another balancer, and of a listing of the store.
const FETCH_TIMEOUT_MS: DurationMs = DurationMs(500);
const STORE_TIMEOUT_MS: DurationMs = DurationMs(2_500);

/// Publishes whether each balancer watches, until the roles are stable. The store does not answer the
/// balancers in `unanswered`. Returns the watchers.
fn elect_watchers(fleet: &mut Fleet, unanswered: &[u8]) -> Vec<u8> {
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

// The number of calls of the store must not grow with the number of balancers.
#[gtest]
fn three_balancers_watch_whatever_their_number() {
    for balancers in [1, 3, 4, 20] {
        let mut fleet = Fleet::new(balancers, 2, 1);
        let watchers = elect_watchers(&mut fleet, &[]);
        expect_that!(watchers.len(), eq(usize::from(balancers.min(3))));
    }
}

// Other balancers must start to watch after the watchers died or lost the store.
#[gtest]
fn others_take_over_from_lost_watchers() {
    let mut fleet = Fleet::new(8, 2, 1);
    let first = elect_watchers(&mut fleet, &[]);
    let second = elect_watchers(&mut fleet, &first);
    expect_that!(second.len(), eq(3));
    expect_that!(second.iter().any(|it| first.contains(it)), eq(false));
    fleet.partitioned.extend(second.iter());
    fleet.run_for(2_500);
    let lost: Vec<u8> = first.into_iter().chain(second).collect();
    let third = elect_watchers(&mut fleet, &lost);
    expect_that!(third.len(), eq(2), "two balancers are left");
}

// A balancer that hears from no other process may still reach the platform store. It must watch the store
// itself, since it cannot know whether those that it relied on still do.
#[gtest]
fn a_balancer_that_is_cut_off_from_all_others_watches_the_store() {
    let mut fleet = Fleet::new(4, 10, 1);
    let watchers = elect_watchers(&mut fleet, &[]);
    let last = (1..=4).find(|number| !watchers.contains(number)).unwrap();
    fleet.partitioned.insert(last);
    fleet.run_for(2_500);
    let balancer = &fleet.balancers[&last];
    let task = balancer.configuration_task(fleet.now);
    expect_that!(task, eq(ConfigurationTask::Watch));
}

// A balancer that hears from no other process knows of no change, and must not refuse flows of routes that
// may have been added.
#[gtest]
fn a_balancer_that_is_cut_off_from_all_others_refuses_no_unknown_route() {
    let mut fleet = Fleet::new(4, 10, 1);
    let watchers = elect_watchers(&mut fleet, &[]);
    let last = (1..=4).find(|number| !watchers.contains(number)).unwrap();
    fleet.partitioned.insert(last);
    fleet.run_for(2_500);
    let now = fleet.now;
    let balancer = fleet.balancers.get_mut(&last).unwrap();
    let decision = balancer.place(now, &opening(flow(1, 1), 0));
    expect_that!(decision, eq(&BalancerDecision::Drop(ResultCode::NotFound)));
}

// Agents report the watching balancers alive to one that has no path to these. It would learn late that the
// store does not answer them any more, so it must watch the store itself.
#[gtest]
fn a_balancer_without_a_path_to_the_watching_ones_watches_the_store() {
    let mut fleet = Fleet::new(4, 10, 1);
    let watchers = elect_watchers(&mut fleet, &[]);
    let last = (1..=4).find(|number| !watchers.contains(number)).unwrap();
    for watcher in watchers {
        fleet.broken_links.insert((watcher, last));
        fleet.broken_links.insert((last, watcher));
    }
    fleet.run_for(2_500);
    let balancer = &fleet.balancers[&last];
    expect_that!(balancer.gossip().is_isolated(), eq(false));
    let task = balancer.configuration_task(fleet.now);
    expect_that!(task, eq(ConfigurationTask::Watch));
}

// A balancer must not keep old routes unnoticed while another one has newer routes.
#[gtest]
fn a_newer_version_of_one_is_noticed_by_all() {
    let mut fleet = Fleet::new(5, 2, 1);
    elect_watchers(&mut fleet, &[]);
    let balancer = fleet.balancers.get_mut(&1).unwrap();
    balancer.apply(configuration(2, 1));
    let role = balancer.role(true);
    fleet.gossip(1, GossipEvent::LocalRoleChanged(role));
    for (number, balancer) in &fleet.balancers {
        expect_that!(balancer.is_behind(fleet.now), eq(*number != 1));
    }
}

// A balancer that gets no answer from the store must fetch newer routes from another balancer.
#[gtest]
fn a_balancer_that_does_not_watch_fetches_from_the_one_with_the_newest_routes() {
    let mut fleet = Fleet::new(3, 2, 1);
    elect_watchers(&mut fleet, &[1]);
    let task = |fleet: &Fleet, number: u8| fleet.balancers[&number].configuration_task(fleet.now);
    expect_that!(task(&fleet, 1), eq(ConfigurationTask::Watch));
    for (number, version) in [(2, 2), (3, 3)] {
        let balancer = fleet.balancers.get_mut(&number).unwrap();
        balancer.apply(configuration(version, 1));
        let role = balancer.role(true);
        fleet.gossip(number, GossipEvent::LocalRoleChanged(role));
    }
    let newest = ConfigurationTask::FetchFrom(peer_address(3));
    expect_that!(
        task(&fleet, 1),
        eq(newest),
        "the store does not answer balancer 1"
    );
    expect_that!(
        task(&fleet, 2),
        eq(ConfigurationTask::Watch),
        "a watching balancer gets newer routes from the store"
    );
    fleet
        .balancers
        .get_mut(&1)
        .unwrap()
        .apply(configuration(3, 1));
    expect_that!(task(&fleet, 1), eq(ConfigurationTask::Watch));
}

// A watch can miss a change. A balancer that knows of a newer version elsewhere must not refuse new
// flows of the newer routes, although its own watch was answered without a change.
#[gtest]
fn a_watch_without_changes_confirms_nothing_while_another_balancer_is_ahead() {
    let mut fleet = Fleet::new(2, 2, 1);
    elect_watchers(&mut fleet, &[]);
    let ahead = fleet.balancers.get_mut(&1).unwrap();
    ahead.apply(configuration(2, 2));
    let role = ahead.role(true);
    fleet.gossip(1, GossipEvent::LocalRoleChanged(role));
    let now = fleet.now;
    let behind = fleet.balancers.get_mut(&2).unwrap();
    behind.confirm(now);
    let opening = opening(flow(1, 1), 0);
    let decision = behind.place(now, &opening);
    expect_that!(decision, eq(&BalancerDecision::Drop(ResultCode::NotFound)));
    behind.apply(configuration(3, 1));
    let decision = behind.place(now, &opening);
    expect_that!(decision, eq(&BalancerDecision::Reset(ResultCode::NotFound)));
}

// A balancer that has died or restarted may not serve the version that its last record announced. It must
// not be asked over and over: another balancer, or the store, has the version.
#[gtest]
fn a_balancer_asks_others_and_then_the_store_if_a_newer_version_is_not_served() {
    let mut fleet = Fleet::new(6, 2, 1);
    let watchers = elect_watchers(&mut fleet, &[]);
    let idle = (1..=6).find(|number| !watchers.contains(number)).unwrap();
    for number in &watchers[..2] {
        let balancer = fleet.balancers.get_mut(number).unwrap();
        balancer.apply(configuration(2, 1));
        let role = balancer.role(true);
        fleet.gossip(*number, GossipEvent::LocalRoleChanged(role));
    }
    let now = fleet.now;
    let balancer = fleet.balancers.get_mut(&idle).unwrap();
    let mut asked = Vec::new();
    for _ in 0..2 {
        let ConfigurationTask::FetchFrom(peer) = balancer.configuration_task(now) else {
            break;
        };
        asked.push(peer);
        if asked.len() == 1 {
            balancer.record_failed_fetch(now, peer);
        } else {
            balancer.apply_fetched(now, peer, configuration(1, 1));
        }
    }
    asked.sort();
    let announced = watchers[..2].iter().map(|number| peer_address(*number));
    expect_that!(asked, eq(&announced.collect::<Vec<_>>()));
    expect_that!(
        balancer.configuration_task(now),
        eq(ConfigurationTask::Watch)
    );
    // The store does not answer either: both balancers may serve the version by now, but are not asked
    // again at once.
    balancer.record_store_failure();
    expect_that!(
        balancer.configuration_task(now),
        eq(ConfigurationTask::Watch)
    );
    let later = now + STORE_TIMEOUT_MS;
    let task = balancer.configuration_task(later);
    expect_that!(
        task,
        matches_pattern!(ConfigurationTask::FetchFrom(anything()))
    );
    balancer.apply(configuration(2, 1));
    expect_that!(
        balancer.configuration_task(later),
        eq(ConfigurationTask::Idle)
    );
}

// A balancer that has lost its path to all others hears of new versions from agents. It must not ask so
// many balancers in vain that a change is late, although the store would answer, and must get around to
// each of them while the store does not.
#[gtest]
fn a_balancer_without_a_path_to_those_with_a_newer_version_asks_the_store_soon() {
    let mut fleet = Fleet::new(12, 2, 1);
    let idle = 12;
    for number in 1..idle {
        let balancer = fleet.balancers.get_mut(&number).unwrap();
        balancer.apply(configuration(2, 1));
        let role = balancer.role(false);
        fleet.gossip(number, GossipEvent::LocalRoleChanged(role));
    }
    fleet.run_for(1_000);
    let mut now = fleet.now;
    let balancer = fleet.balancers.get_mut(&idle).unwrap();
    let mut asked = Vec::new();
    let mut fetches_in_turn = 0;
    let mut most_in_turn = 0;
    while asked.len() < 11 {
        match balancer.configuration_task(now) {
            ConfigurationTask::FetchFrom(peer) => {
                fetches_in_turn += 1;
                asked.push(peer);
                now = now + FETCH_TIMEOUT_MS;
                balancer.record_failed_fetch(now, peer);
            }
            ConfigurationTask::Watch => {
                fetches_in_turn = 0;
                now = now + STORE_TIMEOUT_MS;
                balancer.record_store_failure();
            }
            ConfigurationTask::Idle => panic!("idle while others have a newer version"),
        }
        most_in_turn = most_in_turn.max(fetches_in_turn);
    }
    expect_that!(most_in_turn, le(2));
    asked.sort();
    asked.dedup();
    expect_that!(asked.len(), eq(11), "each of the others is asked once");
}

// While the configuration changes often, a balancer may announce the next version before it has served the
// last one. That must not count as a failure, or all balancers would call the store in a series of changes.
#[gtest]
fn a_balancer_that_served_a_newer_version_is_asked_for_the_next_one() {
    let mut fleet = Fleet::new(2, 2, 1);
    let announcing = fleet.balancers.get_mut(&1).unwrap();
    announcing.apply(configuration(3, 1));
    let role = announcing.role(true);
    fleet.gossip(1, GossipEvent::LocalRoleChanged(role));
    fleet.run_for(500);
    let (now, peer) = (fleet.now, peer_address(1));
    let balancer = fleet.balancers.get_mut(&2).unwrap();
    for _ in 0..2 {
        let task = balancer.configuration_task(now);
        expect_that!(task, eq(ConfigurationTask::FetchFrom(peer)));
        balancer.apply_fetched(now, peer, configuration(2, 1));
    }
    let task = balancer.configuration_task(now);
    expect_that!(task, not(eq(ConfigurationTask::FetchFrom(peer))));
}
