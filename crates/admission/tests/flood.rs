//! Isolation between kinds of work under floods, simulated with seeded arrivals.

mod common;
#[path = "common/simulation.rs"]
mod simulation;

use googletest::prelude::*;
use hawthorntide_types::{Profile, Urgency, WorkKind};
use simulation::{KindResult, Load, Policy, Scenario, run};

const SECONDS: u64 = 20;
const SERVICE_MS: f64 = 10.0;
/// Offered load of each kind without a flood, as a fraction of the capacity.
const CALM_LOAD: f64 = 0.3;
/// Offered load of a flooding kind, as a multiple of the capacity.
const FLOOD_FACTOR: f64 = 10.0;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Share of each kind, as a fraction of the slots.
const SHARE: f64 = 0.5;

struct Outcome {
    flooded: KindResult,
    other: KindResult,
}

fn capacity(slots: u32) -> f64 {
    f64::from(slots) * 1000.0 / SERVICE_MS
}

fn profile() -> Profile {
    Profile {
        work: vec![
            common::work(WorkKind::Reservation, common::treatment(Urgency::High, 500)),
            common::work(WorkKind::Sheet, common::treatment(Urgency::Low, 500)),
        ],
        ..common::profile()
    }
}

/// Simulates `flooding` at `factor` times the capacity and the other kind at its calm load.
fn simulate(slots: u32, seed: u64, flooding: WorkKind, factor: f64) -> Outcome {
    let load = |kind| Load {
        kind,
        per_second: capacity(slots) * if kind == flooding { factor } else { CALM_LOAD },
        service_ms: SERVICE_MS,
        deadline_ms: 1000,
    };
    let scenario = Scenario {
        slots,
        loads: vec![load(WorkKind::Reservation), load(WorkKind::Sheet)],
        seconds: SECONDS,
        seed,
    };
    let mut results = run(&scenario, &Policy::Admission(Box::new(profile())));
    let other = if flooding == WorkKind::Sheet {
        WorkKind::Reservation
    } else {
        WorkKind::Sheet
    };
    Outcome {
        flooded: std::mem::take(&mut results[flooding as usize]),
        other: std::mem::take(&mut results[other as usize]),
    }
}

fn check_flood(flooding: WorkKind) {
    for slots in [2, 7] {
        for seed in SEEDS {
            let calm = simulate(slots, seed, flooding, CALM_LOAD);
            let flood = simulate(slots, seed, flooding, FLOOD_FACTOR);
            let in_time_ratio = flood.other.in_time as f64 / flood.other.offered as f64;
            let calm_in_time_ratio = calm.other.in_time as f64 / calm.other.offered as f64;
            expect_that!(
                in_time_ratio,
                ge(0.95 * calm_in_time_ratio),
                "{slots} slots, seed {seed}"
            );
            expect_that!(
                flood.other.wait_ms(0.99),
                le(2.0 * calm.other.wait_ms(0.99)),
                "{slots} slots, seed {seed}"
            );
            expect_that!(
                flood.flooded.goodput(SECONDS),
                ge(0.95 * SHARE * capacity(slots)),
                "{slots} slots, seed {seed}"
            );
            expect_that!(flood.other.late, eq(0));
        }
    }
}

/// Guards against reservations that are delayed or refused under a flood of sheets.
#[gtest]
fn a_flood_of_the_least_urgent_work_does_not_harm_other_work() {
    check_flood(WorkKind::Sheet);
}

/// Guards against sheets that starve behind a flood of reservations.
#[gtest]
fn a_flood_of_the_most_urgent_work_does_not_harm_other_work() {
    check_flood(WorkKind::Reservation);
}

/// Guards against guaranteed shares that hold only while the other kind does not flood as well.
#[gtest]
fn two_floods_at_once_get_their_shares() {
    let load = |kind| Load {
        kind,
        per_second: capacity(2) * FLOOD_FACTOR,
        service_ms: SERVICE_MS,
        deadline_ms: 1000,
    };
    let scenario = Scenario {
        slots: 2,
        loads: vec![load(WorkKind::Reservation), load(WorkKind::Sheet)],
        seconds: SECONDS,
        seed: 4,
    };
    let mut profile = profile();
    for (work, share) in profile.work.iter_mut().zip([800, 200]) {
        work.calm = common::treatment(work.calm.urgency, share);
        work.crowded = work.calm;
    }
    let results = run(&scenario, &Policy::Admission(Box::new(profile)));
    let sheets = &results[WorkKind::Sheet as usize];
    expect_that!(sheets.goodput(SECONDS), ge(0.95 * 0.2 * capacity(2)));
    expect_that!(sheets.late, eq(0));
    let reservations = &results[WorkKind::Reservation as usize];
    expect_that!(reservations.goodput(SECONDS), ge(0.95 * 0.8 * capacity(2)));
}

/// Guards against flood tests that pass because the load is too light: a FIFO queue must fail them.
#[gtest]
fn a_fifo_queue_harms_other_work() {
    let load = |kind, per_second| Load {
        kind,
        per_second,
        service_ms: SERVICE_MS,
        deadline_ms: 1000,
    };
    let scenario = Scenario {
        slots: 2,
        loads: vec![
            load(WorkKind::Reservation, capacity(2) * CALM_LOAD),
            load(WorkKind::Sheet, capacity(2) * FLOOD_FACTOR),
        ],
        seconds: SECONDS,
        seed: 1,
    };
    let results = run(&scenario, &Policy::Fifo { max_queue: 100 });
    let reservations = &results[WorkKind::Reservation as usize];
    expect_that!(reservations.in_time, le(reservations.offered / 2));
}

/// Guards against slots that stay unused because they belong to the share of an idle kind.
#[gtest]
fn other_kinds_may_use_an_idle_share() {
    let load = |kind, per_second| Load {
        kind,
        per_second,
        service_ms: SERVICE_MS,
        deadline_ms: 1000,
    };
    let scenario = Scenario {
        slots: 7,
        loads: vec![load(WorkKind::Sheet, capacity(7) * FLOOD_FACTOR)],
        seconds: SECONDS,
        seed: 5,
    };
    let results = run(&scenario, &Policy::Admission(Box::new(profile())));
    let sheets = &results[WorkKind::Sheet as usize];
    expect_that!(sheets.goodput(SECONDS), ge(0.97 * capacity(7)));
}
