//! Cost of admission, ledger and load-balancing decisions.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hawthorntide_admission::{
    AdmissionEvent, AdmissionMachine, Completion, Disposition, EndpointLoad, Ledger, LedgerLimits,
    RequestId, SiblingSelector,
};
use hawthorntide_types::{
    DurationMs, EndpointId, Epoch, PerMille, Phase, Profile, RatePerSecond, Sequence, SessionId,
    SlotCount, TimeMs, Treatment, Urgency, WorkKind, WorkProfile,
};

const WAITING: u64 = 10_000;
const NOW: TimeMs = TimeMs(1_000_000);

fn profile() -> Profile {
    let work = |kind, urgency| {
        let treatment = Treatment {
            urgency,
            share_per_mille: PerMille(500),
            queue_wait_ms: DurationMs(3_600_000),
            deadline_ms: DurationMs(3_600_000),
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
        name: "bench".parse().expect("valid name"),
        target_delay_ms: DurationMs(20),
        drain_limit_ms: DurationMs(60_000),
        work: vec![
            work(WorkKind::Reservation, Urgency::High),
            work(WorkKind::Sheet, Urgency::Low),
        ],
    }
}

const fn kind_of(id: u64) -> WorkKind {
    if id.is_multiple_of(2) {
        WorkKind::Reservation
    } else {
        WorkKind::Sheet
    }
}

fn arrival(id: u64) -> AdmissionEvent {
    AdmissionEvent::Arrived {
        id: RequestId(id),
        kind: kind_of(id),
        deadline_ms: None,
    }
}

/// Returns a machine with seven running and 10,000 queued requests.
fn crowded_machine() -> AdmissionMachine {
    let mut machine = AdmissionMachine::new(profile(), SlotCount(7));
    let mut actions = Vec::new();
    for id in 0..WAITING + 7 {
        machine.handle(NOW, arrival(id), &mut actions);
    }
    assert_eq!(u64::from(machine.load().waiting), WAITING);
    machine
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission, 10000 waiting");
    group.bench_function("arrival and cancellation", |bencher| {
        let mut machine = crowded_machine();
        let mut actions = Vec::with_capacity(16);
        let mut id = 1_000_000;
        bencher.iter(|| {
            id += 1;
            actions.clear();
            machine.handle(NOW, arrival(id), &mut actions);
            let event = AdmissionEvent::Cancelled { id: RequestId(id) };
            machine.handle(NOW, event, &mut actions);
            black_box(actions.len())
        });
    });
    group.bench_function("end, start and arrival", |bencher| {
        let mut machine = crowded_machine();
        let mut actions = Vec::with_capacity(16);
        let mut next = 1_000_000;
        let mut running: Vec<u64> = (0..7).collect();
        bencher.iter(|| {
            next += 1;
            actions.clear();
            machine.handle(NOW, arrival(next), &mut actions);
            let event = AdmissionEvent::Finished {
                id: RequestId(running.remove(0)),
                completion: Completion::Failed,
            };
            machine.handle(NOW, event, &mut actions);
            for action in &actions {
                if let hawthorntide_admission::AdmissionAction::Start { id, .. } = action {
                    running.push(id.0);
                }
            }
        });
    });
    group.bench_function("tick", |bencher| {
        let mut machine = crowded_machine();
        let mut actions = Vec::with_capacity(16);
        bencher.iter(|| machine.handle(NOW, AdmissionEvent::Tick, black_box(&mut actions)));
    });
    group.finish();
}

fn ledger(criterion: &mut Criterion) {
    criterion.bench_function("ledger, begin and hand over, 2000 sessions", |bencher| {
        let fill = || {
            let mut ledger = Ledger::new(Epoch(1), LedgerLimits::default());
            for session in 0..2000 {
                ledger
                    .open(NOW, SessionId(session))
                    .expect("the limit fits the sessions");
            }
            ledger
        };
        let mut sequence = 0;
        let mut ledger = fill();
        bencher.iter_batched(
            || {
                sequence += 1;
                (SessionId(sequence % 2000), Sequence(sequence))
            },
            |(session, sequence)| {
                let begin = ledger.begin(NOW, session, Epoch(1), sequence);
                assert_eq!(begin, Disposition::Run);
                ledger.mark_dispatched(session, sequence)
            },
            BatchSize::SmallInput,
        );
    });
}

fn sibling(criterion: &mut Criterion) {
    criterion.bench_function("sibling choice among 6", |bencher| {
        let mut selector = SiblingSelector::new(1);
        let load = |endpoint| EndpointLoad {
            endpoint: EndpointId(endpoint),
            in_flight: endpoint as u32,
            waiting: 0,
            queue_delay_ms: DurationMs(0),
            slots: SlotCount(7),
            open_flows: 2000,
            phase: Phase::Serving,
        };
        selector.set_local_load(NOW, load(7));
        for endpoint in 1..7 {
            selector.record_report(NOW, load(endpoint));
        }
        let mut flow = 0_u64;
        bencher.iter(|| {
            flow += 1;
            selector.choose(NOW, &flow.to_be_bytes())
        });
    });
}

criterion_group!(benches, admission, ledger, sibling);
criterion_main!(benches);
