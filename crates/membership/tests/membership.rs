//! Guards the usual life of a deployment: start, changes, drain, death and restart.

mod support;

use googletest::prelude::*;
use hawthorntide_membership::{AnnounceEvent, BalancerMember, Endpoint, GossipMachine, Health};
use hawthorntide_types::{EndpointId, Phase};
use support::Network;

const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];

fn deployment(balancers: usize, agents: usize) -> Network {
    let mut network = Network::new(1);
    for index in 0..balancers {
        network.add_balancer(DOMAINS[index % 3], "r1", &[0, 1]);
    }
    for index in 0..agents {
        network.add_agent("stockd", DOMAINS[index % 3], &[0, 1]);
    }
    network.run_for(10_000);
    network
}

fn endpoint_of(network: &Network, agent: usize) -> EndpointId {
    let mut data = network.processes[agent].address;
    data.set_port(data.port() + 1);
    EndpointId::of_address(data)
}

fn everywhere(network: &Network, check: impl Fn(&GossipMachine) -> bool) -> bool {
    let balancers = network.balancers();
    balancers.iter().all(|index| check(network.gossip(*index)))
}

// Guards against processes that do not find each other from a few known addresses.
#[gtest]
fn a_deployment_finds_itself() {
    let mut network = deployment(5, 7);
    expect_that!(
        network.run_until(5_000, Network::is_converged),
        some(anything())
    );
    expect_that!(network.gossip(4).balancers().count(), eq(5));
    expect_that!(network.gossip(4).endpoints().count(), eq(7));
    for agent in network.agents() {
        expect_that!(network.announce(agent).homes().len(), eq(2));
        expect_that!(network.announce(agent).siblings().len(), eq(6));
        expect_that!(network.announce(agent).allows_new_work(), eq(true));
    }
}

// Guards against a dead upstream that gets new flows for longer than 5 s.
#[gtest]
fn a_dead_agent_is_removed_everywhere_in_five_seconds() {
    let mut network = deployment(5, 7);
    let dead = network.agents()[2];
    let id = endpoint_of(&network, dead);
    network.kill(dead);
    let is_out = |network: &Network| {
        everywhere(network, |view| {
            view.endpoint(id)
                .is_some_and(|held| !held.takes_new_flows())
        })
    };
    let taken = network.run_until(10_000, is_out);
    expect_that!(taken, some(le(5_000)));
    network.start(dead, &[0, 1]);
    let is_in = |network: &Network| {
        everywhere(network, |view| {
            view.endpoint(id).is_some_and(Endpoint::takes_new_flows)
        })
    };
    expect_that!(network.run_until(5_000, is_in), some(anything()));
}

// Guards against a drain that balancers learn too late.
#[gtest]
fn a_drain_is_known_everywhere_in_two_seconds() {
    let mut network = deployment(9, 3);
    let agent = network.agents()[0];
    let id = endpoint_of(&network, agent);
    let drain = AnnounceEvent::Drain {
        recent_balancers: Vec::new(),
    };
    network.announce_event(agent, drain);
    let is_known = |network: &Network| {
        everywhere(network, |view| {
            view.endpoint(id)
                .is_some_and(|held| held.phase == Phase::Draining)
        })
    };
    expect_that!(network.run_until(5_000, is_known), some(le(2_000)));
}

// Guards against dead balancers that stay in the view, and restarted ones that stay out of it.
#[gtest]
fn a_dead_balancer_is_removed_and_returns_after_a_restart() {
    let mut network = deployment(6, 0);
    let id = network.gossip(5).own().id;
    network.kill(5);
    let is_out = |network: &Network| {
        everywhere(network, |view| {
            let mut held = view.balancers().filter(|held| held.id == id);
            held.all(|held| held.stamp.health == Health::Removed)
        })
    };
    expect_that!(network.run_until(12_000, is_out), some(anything()));
    network.start(5, &[0]);
    expect_that!(
        network.run_until(8_000, Network::is_converged),
        some(anything())
    );
    expect_that!(
        network.gossip(0).balancers().all(BalancerMember::is_live),
        eq(true)
    );
}

// Guards against values larger than one datagram that do not spread.
#[gtest]
fn a_large_object_reaches_every_balancer() {
    let mut network = deployment(6, 0);
    network.put_object(2, "big", 7, 200_000);
    network.confirm(2, "big", 7, 10_000);
    expect_that!(
        network.run_until(10_000, Network::is_converged),
        some(anything())
    );
    network.run_for(2_000);
    let last = network.processes[2].confirms.last().unwrap();
    expect_that!(last.is_final, eq(true));
    expect_that!(last.pending, is_empty());
    expect_that!(last.confirmed.len(), eq(6));
}
