//! Guards the placement of new flows when upstreams are loaded unevenly.

mod common;

use common::{Fleet, Outcome, flow};
use googletest::prelude::*;

/// Opens flows through the balancer, `gap_ms` apart, and returns how many each agent took.
fn open_many(fleet: &mut Fleet, callers: std::ops::Range<u16>, gap_ms: u64) -> Vec<(u8, usize)> {
    let mut taken: Vec<(u8, usize)> = fleet.agents.keys().map(|&it| (it, 0)).collect();
    for caller in callers {
        let (agent, _) = fleet.open(1, flow(caller, 0)).unwrap();
        let entry = taken.iter_mut().find(|entry| entry.0 == agent).unwrap();
        entry.1 += 1;
        fleet.run_for(gap_ms);
    }
    taken
}

// Crash of upstreams: the flows of a failure domain fall to the few that are left there, which shed
// them while the others have room.
#[gtest]
fn a_loaded_upstream_leaves_new_flows_to_other_failure_domains() {
    let mut fleet = Fleet::new(1, 6, 1);
    let calm = open_many(&mut fleet, 0..100, 100);
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
    let loaded = open_many(&mut fleet, 1_000..1_200, 0);
    let at_loaded: usize = loaded
        .iter()
        .filter(|it| near.contains(&it.0))
        .map(|it| it.1)
        .sum();
    expect_that!(at_loaded, eq(0), "dozens wait there for two slots: {loaded:?}");
}

// Burst of requests everywhere: loaded upstreams must not refuse what nobody else takes either.
#[gtest]
fn flows_are_taken_when_every_upstream_is_loaded() {
    let mut fleet = Fleet::new(1, 3, 1);
    for agent in fleet.agents.values_mut() {
        agent.upstream.is_stuck = true;
    }
    open_many(&mut fleet, 0..60, 0);
    fleet.run_for(2_000);
    let taken = open_many(&mut fleet, 100..200, 0);
    expect_that!(taken.iter().map(|it| it.1).sum::<usize>(), eq(100));
}

// Return of all upstreams after a power loss: all callers open flows at once, before any load was
// measured, and the first upstreams of the order shed what others would take.
#[gtest]
fn a_sudden_wave_of_new_flows_spreads_before_load_is_known() {
    let mut fleet = Fleet::new(1, 6, 1);
    for agent in fleet.agents.values_mut() {
        agent.upstream.is_stuck = true;
    }
    let taken = open_many(&mut fleet, 0..12, 0);
    let most = taken.iter().map(|it| it.1).max();
    expect_that!(most, some(le(4)), "{taken:?}");
}
