//! Membership of a small cluster: discovery, drains, failures, restarts, partitions and pauses.

mod support;

use googletest::prelude::*;
use hawthorntide_membership::{
    Alarm, AnnounceEvent, BalancerMember, Endpoint, GossipEvent, GossipMachine, Health, Sender,
};
use hawthorntide_types::{EndpointId, Incarnation, NodeId, Phase, TimeMs};
use hawthorntide_wire::control::{self, control_message::Body};
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

// Guards against processes that do not discover all members from a few seeds.
#[gtest]
fn members_discover_each_other_from_seeds() {
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

// Guards against assigning new flows to a dead upstream for longer than 5 s.
#[gtest]
fn a_dead_agent_is_removed_everywhere_within_five_seconds() {
    let mut network = deployment(5, 7);
    let dead = network.agents()[2];
    let id = endpoint_of(&network, dead);
    network.kill(dead);
    let is_removed = |network: &Network| {
        everywhere(network, |view| {
            view.endpoint(id)
                .is_some_and(|held| !held.takes_new_flows())
        })
    };
    let taken = network.run_until(10_000, is_removed);
    expect_that!(taken, some(le(5_000)));
    network.start(dead, &[0, 1]);
    let is_back = |network: &Network| {
        everywhere(network, |view| {
            view.endpoint(id).is_some_and(Endpoint::takes_new_flows)
        })
    };
    expect_that!(network.run_until(5_000, is_back), some(anything()));
}

// Guards against a drain that reaches some balancers too late.
#[gtest]
fn a_drain_reaches_all_balancers_within_two_seconds() {
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

// Guards against dead balancers that are not removed, and restarted ones that stay removed.
#[gtest]
fn a_dead_balancer_is_removed_and_returns_after_a_restart() {
    let mut network = deployment(6, 0);
    let id = network.gossip(5).local().id;
    network.kill(5);
    let is_removed = |network: &Network| {
        everywhere(network, |view| {
            let mut held = view.balancers().filter(|held| held.id == id);
            held.all(|held| held.stamp.health == Health::Removed)
        })
    };
    expect_that!(network.run_until(12_000, is_removed), some(anything()));
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

// Guards against values larger than one datagram that do not reach every balancer.
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
    let last = network.processes[2].confirmations.last().unwrap();
    expect_that!(last.is_final, eq(true));
    expect_that!(last.pending, is_empty());
    expect_that!(last.confirmed.len(), eq(6));
}

fn live_endpoints(view: &GossipMachine) -> usize {
    let endpoints = view.endpoints();
    endpoints.filter(|held| held.takes_new_flows()).count()
}

// Guards against a balancer that removes all other members because it lost its own network
// connection.
#[gtest]
fn an_isolated_balancer_removes_no_member() {
    let mut network = deployment(9, 9);
    network.processes[0].group = 1;
    network.run_for(120_000);
    let view = network.gossip(0);
    expect_that!(view.is_removal_suspended(), eq(true));
    expect_that!(live_endpoints(view), eq(9));
    expect_that!(
        view.balancers().filter(|held| held.is_live()).count(),
        eq(9)
    );
    let is_alarm = |(_, alarm): &(u64, Alarm)| matches!(alarm, Alarm::RemovalsSuspended { .. });
    expect_that!(network.processes[0].alarms.iter().any(is_alarm), eq(true));
    network.processes[0].group = 0;
    expect_that!(
        network.run_until(30_000, Network::is_converged),
        some(anything())
    );
    network.run_for(15_000);
    expect_that!(network.gossip(0).is_removal_suspended(), eq(false));
}

// Guards against suspending the removals of a lost failure domain for too long. Balancers once
// counted the members of their region to decide whether they were well connected. One of two
// failure domains is half of a region, so its removal took 24 s.
#[gtest]
fn a_lost_failure_domain_is_removed_after_the_suspension() {
    let mut network = deployment(9, 18);
    let dead: Vec<usize> = (0..network.processes.len())
        .filter(|index| network.processes[*index].failure_domain == "d3")
        .collect();
    for index in dead {
        network.kill(index);
    }
    network.run_for(8_000);
    expect_that!(
        everywhere(&network, |view| live_endpoints(view) == 18),
        eq(true)
    );
    let taken = network.run_until(30_000, |network| {
        everywhere(network, |view| live_endpoints(view) == 12)
    });
    expect_that!(taken, some(le(8_000)));
}

// Guards against live upstreams that stay removed after a network partition between regions.
#[gtest]
fn views_converge_after_a_partition_of_one_hour() {
    let mut network = deployment(8, 10);
    for (index, process) in network.processes.iter_mut().enumerate() {
        process.group = u8::from(index % 2 == 1);
    }
    network.run_for(3_600_000);
    expect_that!(
        everywhere(&network, |view| live_endpoints(view) == 5),
        eq(true)
    );
    for process in &mut network.processes {
        process.group = 0;
    }
    let taken = network.run_until(60_000, |network| {
        network.is_converged() && everywhere(network, |view| live_endpoints(view) == 10)
    });
    expect_that!(taken, some(anything()));
}

// Guards against removing members that pause for only 2 s, at 1 % packet loss.
#[gtest]
fn pauses_of_two_seconds_remove_no_member() {
    let mut network = deployment(6, 12);
    network.faults.loss_per_mille = 10;
    for round in 0..400 {
        network.pause(round % 18, 2_000);
        network.run_for(1_500);
    }
    let balancers = network.balancers();
    let removals = balancers
        .iter()
        .map(|index| network.gossip(*index).counters().removals);
    expect_that!(removals.sum::<u64>(), eq(0));
}

// Guards against an agent that accepts new work after a pause in which it may have been removed.
#[gtest]
fn a_paused_agent_announces_itself_before_it_accepts_new_work() {
    let mut network = deployment(3, 2);
    let agent = network.agents()[0];
    let id = endpoint_of(&network, agent);
    network.pause(agent, 8_000);
    network.run_for(7_900);
    let is_removed =
        |view: &GossipMachine| !view.endpoint(id).is_some_and(Endpoint::takes_new_flows);
    expect_that!(everywhere(&network, is_removed), eq(true));
    // The first event after the pause must withdraw the permission, before any reply can arrive.
    let late = TimeMs(network.now + 9_000);
    let mut machine = network.announce(agent).clone();
    machine.handle(late, AnnounceEvent::Tick, &mut Vec::new());
    expect_that!(machine.allows_new_work(), eq(false));
    let is_back = |network: &Network| {
        let allows = network.announce(agent).allows_new_work();
        allows && everywhere(network, |view| !is_removed(view))
    };
    expect_that!(network.run_until(5_000, is_back), some(anything()));
}

// Guards against ignoring a process permanently after its clock was set back and it restarted with
// a lower incarnation.
#[gtest]
fn a_restart_with_a_lower_incarnation_is_accepted() {
    let mut network = deployment(4, 1);
    network.kill(3);
    network.start_with(3, &[0, 1], Incarnation(5));
    let agent = network.agents()[0];
    network.kill(agent);
    network.start_with(agent, &[0, 1], Incarnation(5));
    let id = endpoint_of(&network, agent);
    network.run_for(20_000);
    expect_that!(network.is_converged(), eq(true));
    let knows = |view: &GossipMachine| view.endpoint(id).is_some_and(Endpoint::takes_new_flows);
    expect_that!(everywhere(&network, knows), eq(true));
    expect_that!(network.announce(agent).allows_new_work(), eq(true));
}

// Guards against malformed messages of a hostile member that change the view or exhaust memory or
// processor time.
#[gtest]
fn malformed_messages_change_nothing() {
    let mut network = deployment(3, 1);
    let before: Vec<_> = network.gossip(0).endpoints().cloned().collect();
    let from = Sender {
        node: NodeId(9),
        incarnation: Incarnation(1),
        address: support::address_of(1),
    };
    let bodies = [
        Body::Gossip(control::Gossip {
            endpoints: vec![control::EndpointRecord::default(); 200],
            judgements: Some(control::Judgements {
                ids: vec![1, 2, 3],
                incarnation_deltas: vec![i64::MAX, i64::MAX],
                states: vec![u64::MAX],
            }),
            ..control::Gossip::default()
        }),
        Body::Digest(control::Digest::default()),
        Body::BucketSummary(control::BucketSummary {
            bucket: u32::MAX,
            keys: vec![3, 2, 1],
            checks: vec![0],
            ..control::BucketSummary::default()
        }),
        Body::Chunk(control::Chunk {
            size_bytes: u32::MAX,
            ..control::Chunk::default()
        }),
        Body::Heartbeat(control::Heartbeat {
            endpoint: Some(control::EndpointRecord::default()),
            ..control::Heartbeat::default()
        }),
        Body::Join(control::Join::default()),
    ];
    for body in bodies {
        let message = control::ControlMessage { body: Some(body) };
        network.gossip_event(0, GossipEvent::Message { from, message });
    }
    let after: Vec<_> = network.gossip(0).endpoints().cloned().collect();
    expect_that!(before == after, eq(true));
    expect_that!(network.gossip(0).counters().malformed, ge(5));
}
