//! Prints how floods of the least and of the most urgent work affect other work.

#[path = "../tests/common/simulation.rs"]
mod simulation;

use hawthorntide_types::{
    DurationMs, PerMille, Profile, RatePerSecond, Treatment, Urgency, WorkKind, WorkProfile,
};
use simulation::{KindResult, Load, Policy, Scenario, run};

/// Duration of each run after the warm-up.
const SECONDS: u64 = 60;
/// Maximum wait in a queue.
const QUEUE_WAIT_MS: u64 = 500;
/// Offered load of a flooding kind, as a multiple of the capacity.
const FLOOD_FACTOR: f64 = 10.0;

fn main() {
    println!(
        "{:5} {:18} {:21} {:11} {:>8} {:>8} {:>8} {:>6} {:>8} {:>8}",
        "slots",
        "policy",
        "load",
        "kind",
        "offered",
        "goodput",
        "refused",
        "late",
        "p50 ms",
        "p99 ms"
    );
    for (slots, service_ms) in [(2, 10.0), (7, 10.0)] {
        compare(slots, service_ms);
    }
}

fn compare(slots: u32, service_ms: f64) {
    let capacity = f64::from(slots) * 1000.0 / service_ms;
    // The FIFO queue gets a length that can be served within the same maximum wait.
    let max_queue = (capacity * QUEUE_WAIT_MS as f64 / 1000.0) as usize;
    let policies = [
        ("admission", Policy::Admission(Box::new(profile()))),
        ("first-in-first-out", Policy::Fifo { max_queue }),
    ];
    let calm = capacity * 0.3;
    let flood = capacity * FLOOD_FACTOR;
    let cases = [
        ("calm", calm, calm),
        ("flood of sheets", calm, flood),
        ("flood of reservations", flood, calm),
        ("flood of both", flood, flood),
    ];
    for (name, policy) in &policies {
        for (case, reservations, sheets) in cases {
            let load = |kind, per_second| Load {
                kind,
                per_second,
                service_ms,
                deadline_ms: 1000,
            };
            let scenario = Scenario {
                slots,
                loads: vec![
                    load(WorkKind::Reservation, reservations),
                    load(WorkKind::Sheet, sheets),
                ],
                seconds: SECONDS,
                seed: 1,
            };
            let results = run(&scenario, policy);
            for kind in [WorkKind::Reservation, WorkKind::Sheet] {
                print(slots, name, case, kind, &results[kind as usize]);
            }
        }
    }
}

fn print(slots: u32, policy: &str, case: &str, kind: WorkKind, result: &KindResult) {
    let per_second = |count: u64| count as f64 / SECONDS as f64;
    println!(
        "{slots:5} {policy:18} {case:21} {kind:11} {:8.1} {:8.1} {:8.1} {:6.1} {:8.2} {:8.2}",
        per_second(result.offered),
        result.goodput(SECONDS),
        per_second(result.refused),
        per_second(result.late),
        result.wait_ms(0.5),
        result.wait_ms(0.99),
    );
}

fn profile() -> Profile {
    let work = |kind, urgency, share| {
        let treatment = Treatment {
            urgency,
            share_per_mille: PerMille(share),
            queue_wait_ms: DurationMs(QUEUE_WAIT_MS),
            deadline_ms: DurationMs(1000),
            new_flows_per_second: RatePerSecond(1000),
            retry_budget_per_mille: PerMille(0),
        };
        WorkProfile {
            kind,
            idempotent: kind == WorkKind::Sheet,
            calm: treatment,
            crowded: treatment,
        }
    };
    Profile {
        name: "flood".parse().expect("valid name"),
        target_delay_ms: DurationMs(20),
        drain_limit_ms: DurationMs(60_000),
        work: vec![
            work(WorkKind::Reservation, Urgency::High, 500),
            work(WorkKind::Sheet, Urgency::Low, 500),
        ],
    }
}
