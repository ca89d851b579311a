//! Any order of events, checked against what a caller and an upstream may see.

mod common;

use std::collections::BTreeMap;

use common::{Driver, profile};
use hawthorntide_admission::{AdmissionAction, AdmissionEvent, Completion, RequestId};
use hawthorntide_types::{DurationMs, Ran, SlotCount, TimeMs, WorkKind};
use proptest::prelude::*;

/// Time after a drain in which queued work may still start.
const DRAIN_QUEUE_MS: u64 = 1500;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(WorkKind, Option<u64>),
    Finish(usize, Completion),
    Shed(usize),
    Cancel(usize),
    Pass(u64),
    Slots(u32),
    Profile,
    Drain,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    Waiting,
    Running,
    Ended,
}

/// What the edge knows of each request.
struct Model {
    driver: Driver,
    requests: Vec<(WorkKind, Seen, TimeMs)>,
    slots: u32,
    drained: Option<TimeMs>,
    cancelled: BTreeMap<u64, usize>,
}

impl Model {
    fn new(slots: u32) -> Self {
        Self {
            driver: Driver::new(profile(), slots),
            requests: Vec::new(),
            slots,
            drained: None,
            cancelled: BTreeMap::new(),
        }
    }

    fn in_flight(&self) -> usize {
        let holds = |(kind, seen, _): &&(WorkKind, Seen, TimeMs)| {
            *kind != WorkKind::Stream && *seen == Seen::Running
        };
        self.requests.iter().filter(holds).count()
    }

    fn of_state(&self, seen: Seen, index: usize) -> Option<RequestId> {
        let matching = |(_, request): &(usize, &(WorkKind, Seen, TimeMs))| request.1 == seen;
        let ids: Vec<_> = self.requests.iter().enumerate().filter(matching).collect();
        (!ids.is_empty()).then(|| RequestId(ids[index % ids.len()].0 as u64))
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let before = self.in_flight();
        let mut shed = None;
        let event = match step {
            Step::Arrive(kind, deadline_ms) => {
                let id = RequestId(self.requests.len() as u64);
                let longest = deadline_ms.unwrap_or(1000).min(1000);
                let deadline = self.driver.now + DurationMs(longest);
                self.requests.push((kind, Seen::Waiting, deadline));
                let deadline_ms = deadline_ms.map(DurationMs);
                AdmissionEvent::Arrived {
                    id,
                    kind,
                    deadline_ms,
                }
            }
            Step::Finish(index, completion) => {
                let Some(id) = self.of_state(Seen::Running, index) else {
                    return Ok(());
                };
                self.requests[id.0 as usize].1 = Seen::Ended;
                AdmissionEvent::Finished { id, completion }
            }
            Step::Shed(index) => {
                let Some(id) = self.of_state(Seen::Running, index) else {
                    return Ok(());
                };
                self.requests[id.0 as usize].1 = Seen::Ended;
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
            Step::Pass(passed_ms) => {
                self.driver.now = self.driver.now + DurationMs(passed_ms);
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
                self.drained.get_or_insert(self.driver.now);
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
            "{} in {} slots",
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
                prop_assert_eq!(request.1, Seen::Waiting, "started twice or after its end");
                prop_assert!(deadline <= request.2);
                prop_assert!(self.driver.now < deadline, "started after its deadline");
                request.1 = Seen::Running;
                if let Some(drained) = self.drained {
                    let since = self.driver.now.since(drained).get();
                    prop_assert!(since < DRAIN_QUEUE_MS, "started {since} ms after the drain");
                }
            }
            AdmissionAction::Refuse { id, code } => {
                prop_assert_eq!(code.ran(), Ran::No);
                let request = &mut self.requests[id.0 as usize];
                if shed != Some(id) {
                    prop_assert_eq!(request.1, Seen::Waiting, "not run after a start");
                }
                request.1 = Seen::Ended;
            }
            AdmissionAction::CancelUpstream { id, code } => {
                prop_assert_eq!(code.ran(), Ran::Unknown);
                prop_assert_eq!(self.requests[id.0 as usize].1, Seen::Running);
                let count = self.cancelled.entry(id.0).or_default();
                *count += 1;
                prop_assert_eq!(*count, 1, "cancelled twice");
            }
            AdmissionAction::CrowdingChanged { .. } => {}
        }
        Ok(())
    }

    /// Lets everything end and checks that the machine holds nothing any more.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..100 {
            self.step(Step::Pass(100))?;
            while self.of_state(Seen::Running, 0).is_some() {
                self.step(Step::Finish(0, Completion::Answered))?;
            }
        }
        let is_ended = |request: &(WorkKind, Seen, TimeMs)| request.1 == Seen::Ended;
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
        6 => (any::<usize>(), completion()).prop_map(|(index, how)| Step::Finish(index, how)),
        1 => any::<usize>().prop_map(Step::Shed),
        2 => any::<usize>().prop_map(Step::Cancel),
        6 => (0_u64..400).prop_map(Step::Pass),
        1 => (0_u32..6).prop_map(Step::Slots),
        1 => Just(Step::Profile),
        1 => Just(Step::Drain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against exceeded slots, second starts, late starts, "not run" after a start, and
    /// requests without a result.
    #[test]
    fn every_order_of_events_keeps_the_promises(
        slots in 0_u32..5,
        steps in proptest::collection::vec(step(), 0..200),
    ) {
        let mut model = Model::new(slots);
        for step in steps {
            model.step(step)?;
        }
        model.settle()?;
    }

    /// Guards against a queue that keeps a request although a slot is free.
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
