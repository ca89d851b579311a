//! Guards the placement of new flows when upstreams are loaded unevenly.

mod common;

use common::{Fleet, Outcome, flow};
use googletest::prelude::*;

/// Opens flows through the balancer and returns how many each agent took.
fn open_many(fleet: &mut Fleet, callers: std::ops::Range<u16>) -> Vec<(u8, usize)> {
    let mut taken: Vec<(u8, usize)> = fleet.agents.keys().map(|&it| (it, 0)).collect();
    for caller in callers {
        let (agent, _) = fleet.open(1, flow(caller, 0)).unwrap();
        let entry = taken.iter_mut().find(|entry| entry.0 == agent).unwrap();
        entry.1 += 1;
    }
    taken
}

// Crash of upstreams: the flows of a failure domain fall to the few that are left there, which shed
// them while the others have room.
#[gtest]
fn a_loaded_upstream_leaves_new_flows_to_other_failure_domains() {
    let mut fleet = Fleet::new(1, 6, 1);
    let calm = open_many(&mut fleet, 0..100);
    let near: Vec<u8> = calm.iter().filter(|it| it.1 > 0).map(|it| it.0).collect();
    expect_that!(
        near.len(),
        eq(2),
        "only the caller's failure domain while it is calm"
    );
    for agent in &near {
        fleet.agents.get_mut(agent).unwrap().upstream.is_stuck = true;
    }
    // Requests pile up that are not answered.
    for caller in 0..100 {
        let key = flow(caller, 0);
        for agent in near.clone() {
            if let Some((number, _)) = fleet.agents[&agent].upstream.flows.get(&key).copied() {
                expect_that!(fleet.use_flow(1, key, number), eq(Outcome::Taken(agent)));
            }
        }
    }
    fleet.run_for(3_000);
    let loaded = open_many(&mut fleet, 1_000..1_200);
    let at_loaded: usize = loaded
        .iter()
        .filter(|it| near.contains(&it.0))
        .map(|it| it.1)
        .sum();
    expect_that!(at_loaded, all![gt(0), lt(40)], "{loaded:?}");
}

// Burst of requests everywhere: loaded upstreams must not refuse what nobody else takes either.
#[gtest]
fn flows_are_taken_when_every_upstream_is_loaded() {
    let mut fleet = Fleet::new(1, 3, 1);
    for agent in fleet.agents.values_mut() {
        agent.upstream.is_stuck = true;
    }
    open_many(&mut fleet, 0..60);
    fleet.run_for(2_000);
    let taken = open_many(&mut fleet, 100..200);
    expect_that!(taken.iter().map(|it| it.1).sum::<usize>(), eq(100));
}
