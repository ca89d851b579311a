//! Slot scheduler: order of the waiting requests, floods, deadlines and slots of lost requests.

mod common;

use std::collections::VecDeque;

use googletest::prelude::*;
use hawthorntide_admission::{RequestId, SlotAction, SlotEvent, SlotRequest, SlotScheduler};
use hawthorntide_types::{DurationMs, SlotCount, TimeMs, Urgency, WorkKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 7;
const SERVICE_MS: u64 = 50;
const OBJECTIVE_MS: u64 = 250;
const DEADLINE_MS: u64 = 4_000;
/// Requests that the upstream can serve in one second.
const CAPACITY: f64 = SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;

const STREAM: (WorkKind, Urgency) = (WorkKind::Stream, Urgency::Low);
const RESERVATION: (WorkKind, Urgency) = (WorkKind::Reservation, Urgency::Normal);

fn request(id: u64, (kind, urgency): (WorkKind, Urgency)) -> SlotRequest {
    SlotRequest {
        id: RequestId(id),
        kind,
        urgency,
        objective_ms: DurationMs(OBJECTIVE_MS),
        deadline_ms: DurationMs(DEADLINE_MS),
    }
}

fn handle(scheduler: &mut SlotScheduler, now_ms: u64, event: SlotEvent) -> Vec<SlotAction> {
    let mut actions = Vec::new();
    scheduler.handle(TimeMs(now_ms), event, &mut actions);
    actions
}

fn started(actions: &[SlotAction]) -> Vec<u64> {
    let started = actions.iter().filter_map(|action| match action {
        SlotAction::Start { id, .. } => Some(id.0),
        SlotAction::Discard { .. } | SlotAction::Forget { .. } => None,
    });
    started.collect()
}

/// Scheduler with one slot and an observed service time, all of whose slots are occupied by the
/// requests 0 and 1.
fn occupied_scheduler() -> SlotScheduler {
    let mut scheduler = SlotScheduler::new(SlotCount(1));
    for (id, class) in [(90, STREAM), (91, RESERVATION)] {
        handle(&mut scheduler, 0, SlotEvent::Arrived(request(id, class)));
    }
    for id in [90, 91] {
        handle(
            &mut scheduler,
            SERVICE_MS,
            SlotEvent::Answered(RequestId(id)),
        );
    }
    for id in [0, 1] {
        handle(&mut scheduler, 100, SlotEvent::Arrived(request(id, STREAM)));
    }
    scheduler
}

/// Guards against a queue inside the upstream, where the order of requests can no longer be chosen.
#[gtest]
fn at_most_one_request_more_than_slots_is_started() {
    let mut scheduler = SlotScheduler::new(SlotCount(3));
    let first: usize = (0..10)
        .map(|id| handle(&mut scheduler, 0, SlotEvent::Arrived(request(id, STREAM))).len())
        .sum();
    expect_that!(first, eq(4));
    expect_that!(scheduler.waiting(), eq(6));
    let next = handle(&mut scheduler, 50, SlotEvent::Answered(RequestId(0)));
    expect_that!(started(&next), elements_are![eq(&4)]);
}

/// Guards against a late request that takes the slot of one that can still meet its objective.
#[gtest]
fn a_timely_request_starts_before_a_late_one() {
    let mut scheduler = occupied_scheduler();
    handle(&mut scheduler, 100, SlotEvent::Arrived(request(2, STREAM)));
    let late_at = 100 + OBJECTIVE_MS;
    handle(
        &mut scheduler,
        late_at,
        SlotEvent::Arrived(request(3, STREAM)),
    );
    let first = handle(&mut scheduler, late_at, SlotEvent::Answered(RequestId(0)));
    let second = handle(&mut scheduler, late_at, SlotEvent::Answered(RequestId(1)));
    expect_that!(started(&first), elements_are![eq(&3)]);
    expect_that!(started(&second), elements_are![eq(&2)]);
}

/// Guards against urgent work that waits behind less urgent work that arrived before.
#[gtest]
fn urgent_work_starts_first() {
    let mut scheduler = occupied_scheduler();
    handle(&mut scheduler, 100, SlotEvent::Arrived(request(2, STREAM)));
    handle(
        &mut scheduler,
        110,
        SlotEvent::Arrived(request(3, RESERVATION)),
    );
    let next = handle(&mut scheduler, 120, SlotEvent::Answered(RequestId(0)));
    expect_that!(started(&next), elements_are![eq(&3)]);
}

/// Guards against work for callers that have given up.
#[gtest]
fn a_request_is_discarded_once_it_cannot_meet_its_deadline() {
    let mut scheduler = occupied_scheduler();
    handle(&mut scheduler, 100, SlotEvent::Arrived(request(2, STREAM)));
    let actions = handle(&mut scheduler, 100 + DEADLINE_MS, SlotEvent::Tick);
    expect_that!(
        actions,
        contains(eq(&SlotAction::Discard { id: RequestId(2) }))
    );
    expect_that!(scheduler.waiting(), eq(0));
}

/// Guards against slots that are lost for good when the end of a request is not observed.
#[gtest]
fn a_request_whose_end_is_not_observed_frees_its_slot() {
    let mut scheduler = occupied_scheduler();
    let at_ms = 101 + DEADLINE_MS;
    let actions = handle(
        &mut scheduler,
        at_ms,
        SlotEvent::Arrived(request(2, STREAM)),
    );
    expect_that!(started(&actions), elements_are![eq(&2)]);
}

/// Guards against a late request whose slot is taken for free while the upstream works on it.
#[gtest]
fn a_request_that_starts_late_keeps_its_slot_until_its_deadline() {
    let mut scheduler = occupied_scheduler();
    for id in [2, 3] {
        handle(&mut scheduler, 100, SlotEvent::Arrived(request(id, STREAM)));
    }
    let late_ms = 100 + DEADLINE_MS - 2 * SERVICE_MS;
    let first = handle(&mut scheduler, late_ms, SlotEvent::Cancelled(RequestId(0)));
    expect_that!(started(&first), elements_are![eq(&2)]);
    let before_deadline_ms = 100 + DEADLINE_MS - 10;
    let event = SlotEvent::Arrived(request(4, STREAM));
    let next = handle(&mut scheduler, before_deadline_ms, event);
    expect_that!(started(&next), is_empty());
}

/// Guards against a slot or a place in the queue that a cancelled request keeps.
#[gtest]
fn a_cancelled_request_frees_its_place() {
    let mut scheduler = occupied_scheduler();
    for id in [2, 3] {
        handle(&mut scheduler, 100, SlotEvent::Arrived(request(id, STREAM)));
    }
    handle(&mut scheduler, 110, SlotEvent::Cancelled(RequestId(2)));
    let next = handle(&mut scheduler, 120, SlotEvent::Cancelled(RequestId(0)));
    expect_that!(started(&next), elements_are![eq(&3)]);
}

/// Guards against an unbounded queue.
#[gtest]
fn requests_beyond_the_limit_are_discarded() {
    let mut scheduler = occupied_scheduler();
    let discarded = (2..4_002)
        .flat_map(|id| handle(&mut scheduler, 100, SlotEvent::Arrived(request(id, STREAM))))
        .count();
    expect_that!(scheduler.waiting(), eq(2_048));
    expect_that!(discarded, eq(4_000 - 2_048));
}

/// Results of one kind of work.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    offered: f64,
    in_objective: f64,
}

/// Queue discipline before the upstream.
#[derive(Clone, Copy, Debug)]
enum Policy {
    Scheduler,
    /// First come, first served.
    Fifo,
}

/// Simulates Poisson arrivals of streams and reservations for `SECONDS`, at the given multiples of
/// the capacity.
fn simulate(policy: Policy, seed: u64, stream_load: f64, reservation_load: f64) -> [Results; 2] {
    const SECONDS: u64 = 10;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut scheduler = SlotScheduler::new(SlotCount(SLOTS));
    let mut arrived: Vec<(u64, usize)> = Vec::new();
    let mut waiting_fifo = VecDeque::new();
    let mut at_upstream: VecDeque<u64> = VecDeque::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut results = [Results::default(); 2];
    for now in 0..SECONDS * 1_000 {
        let mut actions = handle(&mut scheduler, now, SlotEvent::Tick);
        let ended: Vec<u64> = running
            .extract_if(.., |it| it.1 <= now)
            .map(|it| it.0)
            .collect();
        for id in ended {
            let (arrived_ms, class) = arrived[id as usize];
            if now - arrived_ms <= OBJECTIVE_MS {
                results[class].in_objective += 1.0;
            }
            scheduler.handle(
                TimeMs(now),
                SlotEvent::Answered(RequestId(id)),
                &mut actions,
            );
        }
        for (class, load) in [stream_load, reservation_load].into_iter().enumerate() {
            // At most one arrival of a kind in a millisecond: the loads stay far below one.
            if !random.random_bool(load * CAPACITY / 1_000.0) {
                continue;
            }
            let id = arrived.len() as u64;
            arrived.push((now, class));
            results[class].offered += 1.0;
            match policy {
                Policy::Scheduler => {
                    let event = SlotEvent::Arrived(request(id, [STREAM, RESERVATION][class]));
                    scheduler.handle(TimeMs(now), event, &mut actions);
                }
                Policy::Fifo => waiting_fifo.push_back(id),
            }
        }
        at_upstream.extend(started(&actions));
        at_upstream.extend(waiting_fifo.drain(..));
        while running.len() < SLOTS as usize {
            let Some(id) = at_upstream.pop_front() else {
                break;
            };
            let service_ms = random.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
            running.push((id, now + service_ms));
        }
    }
    results
}

const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// Load of each kind without a flood, as a fraction of the capacity.
const CALM_LOAD: f64 = 0.3;
/// Load of a flooding kind, as a multiple of the capacity.
const FLOOD_LOAD: f64 = 3.0;
/// Share of the capacity that must be answered within the objective during a flood.
const MIN_USE: f64 = 0.85;
const SECONDS: f64 = 10.0;

/// Burst of the least urgent work. Guards against reservations that wait behind it, and against slots
/// that serve only late requests: a FIFO queue answers everything late.
#[gtest]
fn a_burst_of_the_least_urgent_work_leaves_urgent_work_within_its_objective() {
    for seed in SEEDS {
        let [stream, reservation] = simulate(Policy::Scheduler, seed, FLOOD_LOAD, CALM_LOAD);
        expect_that!(
            reservation.in_objective,
            ge(0.95 * reservation.offered),
            "seed {seed}"
        );
        let answered = stream.in_objective + reservation.in_objective;
        expect_that!(answered, ge(MIN_USE * CAPACITY * SECONDS), "seed {seed}");
    }
}

/// Burst of the most urgent work. Guards against other work that starves behind it.
#[gtest]
fn a_burst_of_the_most_urgent_work_leaves_other_work_its_share() {
    for seed in SEEDS {
        let [stream, reservation] = simulate(Policy::Scheduler, seed, CALM_LOAD, FLOOD_LOAD);
        // The guaranteed share of a kind is a fifth of the slots.
        let share = 0.2 * CAPACITY * SECONDS;
        expect_that!(stream.in_objective, ge(0.9 * share), "seed {seed}");
        let answered = stream.in_objective + reservation.in_objective;
        expect_that!(answered, ge(MIN_USE * CAPACITY * SECONDS), "seed {seed}");
    }
}

/// Guards against the tests of bursts passing because the load is too light: FIFO must fail them.
#[gtest]
fn a_fifo_queue_answers_a_burst_late() {
    let [stream, reservation] = simulate(Policy::Fifo, 1, FLOOD_LOAD, CALM_LOAD);
    let answered = stream.in_objective + reservation.in_objective;
    expect_that!(answered, lt(0.2 * CAPACITY * SECONDS));
    expect_that!(reservation.in_objective, lt(0.5 * reservation.offered));
}

/// Guards against requests that are taken for hopeless although they can be served, and against a
/// flood whose late requests wait until their deadline while nobody is told.
#[gtest]
fn a_request_is_hopeless_while_late_ones_starve() {
    let mut scheduler = occupied_scheduler();
    let expected = |scheduler: &SlotScheduler, now_ms, class| {
        scheduler.expected_wait(TimeMs(now_ms), &request(0, class))
    };
    expect_that!(expected(&scheduler, 100, STREAM).is_hopeless, eq(false));
    let mut now_ms = 100;
    let mut id = 10;
    let mut running = VecDeque::from([0, 1]);
    // One slot gets twice the work that it can serve.
    while now_ms < 100 + DEADLINE_MS / 2 {
        now_ms += SERVICE_MS / 2;
        id += 1;
        let arrived = SlotEvent::Arrived(request(id, STREAM));
        running.extend(started(&handle(&mut scheduler, now_ms, arrived)));
        if id.is_multiple_of(2) {
            let answered = SlotEvent::Answered(RequestId(running.pop_front().unwrap()));
            running.extend(started(&handle(&mut scheduler, now_ms, answered)));
        }
        let is_hopeless = expected(&scheduler, now_ms, STREAM).is_hopeless;
        if now_ms < 100 + DEADLINE_MS / 2 - OBJECTIVE_MS {
            expect_that!(is_hopeless, eq(false), "at {now_ms} ms");
        }
    }
    now_ms += OBJECTIVE_MS;
    handle(&mut scheduler, now_ms, SlotEvent::Tick);
    for more in 0..8 {
        let arrived = SlotEvent::Arrived(request(1_000 + more, STREAM));
        handle(&mut scheduler, now_ms, arrived);
    }
    expect_that!(expected(&scheduler, now_ms, STREAM).is_hopeless, eq(true));
    let urgent = expected(&scheduler, now_ms, RESERVATION);
    expect_that!(urgent.is_hopeless, eq(false), "urgent work starts first");
}

/// Guards against refusals that begin only after half of the deadline while requests are discarded, and against
/// ones that go on after a flood.
#[gtest]
fn a_discarded_request_counts_for_half_a_second() {
    let mut scheduler = occupied_scheduler();
    handle(&mut scheduler, 100, SlotEvent::Arrived(request(2, STREAM)));
    let discarded_ms = 100 + DEADLINE_MS;
    let actions = handle(&mut scheduler, discarded_ms, SlotEvent::Tick);
    expect_that!(
        actions,
        contains(eq(&SlotAction::Discard { id: RequestId(2) }))
    );
    for more in 0..60 {
        let arrived = SlotEvent::Arrived(request(1_000 + more, STREAM));
        handle(&mut scheduler, discarded_ms, arrived);
    }
    let is_hopeless = [100, 501].map(|after_ms| {
        let now = TimeMs(discarded_ms + after_ms);
        let wait = scheduler.expected_wait(now, &request(0, STREAM));
        wait.is_hopeless
    });
    expect_that!(is_hopeless, eq([true, false]));
}

/// Guards against an upstream that answers nothing and therefore seems to have a short queue.
#[gtest]
fn the_expected_wait_grows_while_nothing_is_answered() {
    let mut scheduler = occupied_scheduler();
    handle(&mut scheduler, 100, SlotEvent::Arrived(request(2, STREAM)));
    let waits = [200, 1_000, 3_000].map(|now_ms| {
        scheduler
            .expected_wait(TimeMs(now_ms), &request(0, STREAM))
            .wait_ms
    });
    expect_that!(waits.is_sorted(), eq(true), "{waits:?}");
    expect_that!(waits[2], ge(DurationMs(500)));
}

/// Guards against a slot that is lost until the deadline of a request which was answered before it started.
#[gtest]
fn a_waiting_request_that_was_answered_does_not_start() {
    let mut scheduler = occupied_scheduler();
    handle(&mut scheduler, 100, SlotEvent::Arrived(request(2, STREAM)));
    let answered = SlotEvent::Answered(RequestId(2));
    expect_that!(started(&handle(&mut scheduler, 110, answered)), is_empty());
    expect_that!(scheduler.waiting(), eq(0));
    let next = handle(&mut scheduler, 120, SlotEvent::Answered(RequestId(0)));
    expect_that!(started(&next), is_empty());
}
