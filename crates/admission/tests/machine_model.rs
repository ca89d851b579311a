//! Property tests: random sequences of events, checked against a model of what callers and the
//! upstream observe.

mod common;

use std::collections::BTreeMap;

use common::{Driver, profile};
use hawthorntide_admission::{AdmissionAction, AdmissionEvent, Completion, RequestId};
use hawthorntide_types::{DurationMs, Ran, SlotCount, TimeMs, WorkKind};
use proptest::prelude::*;

/// Time after the start of a drain in which queued requests may still start.
const DRAIN_QUEUE_MS: u64 = 1500;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(WorkKind, Option<u64>),
    Finish(usize, Completion),
    Shed(usize),
    Cancel(usize),
    Advance(u64),
    Slots(u32),
    Profile,
    Drain,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestState {
    Waiting,
    Running,
    Ended,
}

/// Admission machine and the expected state of each request.
struct Model {
    driver: Driver,
    /// Kind, state and latest permitted deadline, indexed by request identifier.
    requests: Vec<(WorkKind, RequestState, TimeMs)>,
    slots: u32,
    drain_start: Option<TimeMs>,
    /// Number of cancellations of each request towards the upstream.
    cancelled: BTreeMap<u64, usize>,
}

impl Model {
    fn new(slots: u32) -> Self {
        Self {
            driver: Driver::new(profile(), slots),
            requests: Vec::new(),
            slots,
            drain_start: None,
            cancelled: BTreeMap::new(),
        }
    }

    fn in_flight(&self) -> usize {
        let holds_slot = |(kind, state, _): &&(WorkKind, RequestState, TimeMs)| {
            *kind != WorkKind::Stream && *state == RequestState::Running
        };
        self.requests.iter().filter(holds_slot).count()
    }

    fn nth_in_state(&self, state: RequestState, index: usize) -> Option<RequestId> {
        let matching =
            |(_, request): &(usize, &(WorkKind, RequestState, TimeMs))| request.1 == state;
        let ids: Vec<_> = self.requests.iter().enumerate().filter(matching).collect();
        (!ids.is_empty()).then(|| RequestId(ids[index % ids.len()].0 as u64))
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let before = self.in_flight();
        let mut shed = None;
        let event = match step {
            Step::Arrive(kind, deadline_ms) => {
                let id = RequestId(self.requests.len() as u64);
                let allowed_ms = deadline_ms.unwrap_or(1000).min(1000);
                let deadline = self.driver.now + DurationMs(allowed_ms);
                self.requests.push((kind, RequestState::Waiting, deadline));
                let deadline_ms = deadline_ms.map(DurationMs);
                AdmissionEvent::Arrived {
                    id,
                    kind,
                    deadline_ms,
                }
            }
            Step::Finish(index, completion) => {
                let Some(id) = self.nth_in_state(RequestState::Running, index) else {
                    return Ok(());
                };
                self.requests[id.0 as usize].1 = RequestState::Ended;
                AdmissionEvent::Finished { id, completion }
            }
            Step::Shed(index) => {
                let Some(id) = self.nth_in_state(RequestState::Running, index) else {
                    return Ok(());
                };
                self.requests[id.0 as usize].1 = RequestState::Ended;
                shed = Some(id);
                AdmissionEvent::Shed { id }
            }
            Step::Cancel(index) => {
                if self.requests.is_empty() {
                    return Ok(());
                }
                AdmissionEvent::Cancelled {
                    id: RequestId((index % self.requests.len()) as u64),
                }
            }
            Step::Advance(elapsed_ms) => {
                self.driver.now = self.driver.now + DurationMs(elapsed_ms);
                AdmissionEvent::Tick
            }
            Step::Slots(slots) => {
                self.slots = slots;
                AdmissionEvent::SlotsChanged {
                    slots: SlotCount(slots),
                }
            }
            Step::Profile => AdmissionEvent::ProfileChanged { profile: profile() },
            Step::Drain => {
                self.drain_start.get_or_insert(self.driver.now);
                AdmissionEvent::DrainBegan
            }
        };
        let actions = self.driver.handle(event);
        for action in actions {
            self.check(action, shed)?;
        }
        let limit = before.max(self.slots as usize);
        prop_assert!(
            self.in_flight() <= limit,
            "{} requests in {} slots",
            self.in_flight(),
            self.slots
        );
        prop_assert_eq!(
            self.driver.machine.load().in_flight as usize,
            self.in_flight()
        );
        Ok(())
    }

    fn check(
        &mut self,
        action: AdmissionAction,
        shed: Option<RequestId>,
    ) -> Result<(), TestCaseError> {
        match action {
            AdmissionAction::Start { id, deadline } => {
                let request = &mut self.requests[id.0 as usize];
                prop_assert_eq!(
                    request.1,
                    RequestState::Waiting,
                    "started again or after it ended"
                );
                prop_assert!(deadline <= request.2);
                prop_assert!(self.driver.now < deadline, "started after the deadline");
                request.1 = RequestState::Running;
                if let Some(drain_start) = self.drain_start {
                    let since = self.driver.now.since(drain_start).get();
                    prop_assert!(since < DRAIN_QUEUE_MS, "started {since} ms into the drain");
                }
            }
            AdmissionAction::Refuse { id, code } => {
                prop_assert_eq!(code.ran(), Ran::No);
                let request = &mut self.requests[id.0 as usize];
                if shed != Some(id) {
                    prop_assert_eq!(request.1, RequestState::Waiting, "not run after a start");
                }
                request.1 = RequestState::Ended;
            }
            AdmissionAction::CancelUpstream { id, code } => {
                prop_assert_eq!(code.ran(), Ran::Unknown);
                prop_assert_eq!(self.requests[id.0 as usize].1, RequestState::Running);
                let count = self.cancelled.entry(id.0).or_default();
                *count += 1;
                prop_assert_eq!(*count, 1, "cancelled twice");
            }
            AdmissionAction::CrowdingChanged { .. } => {}
        }
        Ok(())
    }

    /// Ends all requests and checks that each got a result and that the machine is idle.
    fn end_all_requests(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..100 {
            self.step(Step::Advance(100))?;
            while self.nth_in_state(RequestState::Running, 0).is_some() {
                self.step(Step::Finish(0, Completion::Answered))?;
            }
        }
        let is_ended =
            |request: &(WorkKind, RequestState, TimeMs)| request.1 == RequestState::Ended;
        prop_assert!(
            self.requests.iter().all(is_ended),
            "a request has no result"
        );
        prop_assert!(self.driver.machine.is_idle());
        Ok(())
    }
}

fn kind() -> impl Strategy<Value = WorkKind> {
    proptest::sample::select(&WorkKind::ALL)
}

fn completion() -> impl Strategy<Value = Completion> {
    proptest::sample::select(&[
        Completion::Answered,
        Completion::Failed,
        Completion::Cancelled,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => (kind(), proptest::option::of(0_u64..2000)).prop_map(|(k, d)| Step::Arrive(k, d)),
        6 => (any::<usize>(), completion()).prop_map(|(i, c)| Step::Finish(i, c)),
        1 => any::<usize>().prop_map(Step::Shed),
        2 => any::<usize>().prop_map(Step::Cancel),
        6 => (0_u64..400).prop_map(Step::Advance),
        1 => (0_u32..6).prop_map(Step::Slots),
        1 => Just(Step::Profile),
        1 => Just(Step::Drain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against more requests than slots, repeated or late starts, "not run" after a start,
    /// and requests without a result.
    #[test]
    fn any_order_of_events_keeps_the_invariants(
        slots in 0_u32..5,
        steps in proptest::collection::vec(step(), 0..200),
    ) {
        let mut model = Model::new(slots);
        for step in steps {
            model.step(step)?;
        }
        model.end_all_requests()?;
    }

    /// Guards against a request that stays queued while a slot is free.
    #[test]
    fn no_request_waits_while_a_slot_is_free(
        slots in 1_u32..5,
        arrivals in proptest::collection::vec(
            proptest::sample::select(&[WorkKind::Reservation, WorkKind::Sheet]),
            0..20,
        ),
        finished in 0_usize..20,
    ) {
        let mut model = Model::new(slots);
        for kind in arrivals {
            model.step(Step::Arrive(kind, None))?;
        }
        for index in 0..finished {
            model.step(Step::Finish(index, Completion::Answered))?;
            let load = model.driver.machine.load();
            prop_assert!(load.waiting == 0 || load.in_flight == slots);
        }
    }
}
