//! Property tests of at-most-once execution under duplicates, delays, cancellations, deadlines,
//! crashes and retries.

use std::collections::BTreeMap;

use bytes::Bytes;
use hawthorntide_admission::{Disposition, FenceResult, Ledger, LedgerLimits, Outcome};
use hawthorntide_types::{DurationMs, Epoch, Ran, ResultCode, Sequence, SessionId, TimeMs};
use proptest::prelude::*;

/// Idle time after which the ledger under test removes a session.
const IDLE_MS: u64 = 1000;

/// Request of a caller; `session` is an index into the granted sessions.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Request {
    session: usize,
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller connects and is granted a session.
    Grant,
    /// A connection of the session ends.
    Disconnect(usize),
    /// The session resumes on a new connection.
    Resume(usize),
    /// A copy of a request arrives: the first one, a duplicate, a delayed one or a retry.
    Deliver(Request),
    /// The caller cancels, or the deadline passes, before or after the dispatch.
    Abandon(Request, ResultCode),
    /// The queue dispatches the request to the upstream.
    Dispatch(Request),
    /// The upstream answers; it may do so twice.
    Answer(Request),
    /// The upstream refuses the request without running it.
    Shed(Request),
    /// The upstream is lost, or the deadline passes while the request runs.
    LoseUpstream(Request),
    /// The agent restarts with a higher epoch.
    Restart,
    Advance(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    runs: u32,
    reported_not_run: bool,
    answered: bool,
}

#[derive(Clone)]
struct Model {
    now: TimeMs,
    epoch: u64,
    ledger: Ledger,
    /// Session and epoch of each grant.
    granted: Vec<(SessionId, Epoch)>,
    observations: BTreeMap<Request, Observation>,
    /// Requests in the queue of the agent; a restart loses them.
    queued: Vec<Request>,
    /// Requests at the upstream whose answer the agent still awaits.
    running: Vec<Request>,
}

impl Model {
    fn new(limits: LedgerLimits) -> Self {
        Self {
            now: TimeMs(0),
            epoch: 1,
            ledger: Ledger::new(Epoch(1), limits),
            granted: Vec::new(),
            observations: BTreeMap::new(),
            queued: Vec::new(),
            running: Vec::new(),
        }
    }

    fn step(&mut self, limits: LedgerLimits, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Grant => {
                let session = SessionId(self.granted.len() as u64 + 1);
                if self.ledger.open(self.now, session).is_ok() {
                    self.granted.push((session, Epoch(self.epoch)));
                }
            }
            Step::Disconnect(index) => {
                if let Some((session, epoch)) = self.granted.get(index).copied()
                    && epoch.get() == self.epoch
                {
                    self.ledger.detach(self.now, session);
                }
            }
            Step::Resume(index) => {
                if let Some((session, epoch)) = self.granted.get(index).copied() {
                    let resumed = self.ledger.resume(self.now, session, epoch);
                    prop_assert!(!resumed || epoch.get() == self.epoch);
                }
            }
            Step::Deliver(request) => self.deliver(request)?,
            Step::Abandon(request, code) => self.abandon(request, code)?,
            Step::Dispatch(request) => self.dispatch(request)?,
            Step::Answer(request) => self.answer(request)?,
            Step::Shed(request) => self.shed(request),
            Step::LoseUpstream(request) => self.lose_upstream(request),
            Step::Restart => {
                self.epoch += 1;
                self.ledger = Ledger::new(Epoch(self.epoch), limits);
                self.queued.clear();
                self.running.clear();
            }
            Step::Advance(elapsed_ms) => {
                self.now = self.now + DurationMs(elapsed_ms);
                self.ledger.expire(self.now);
            }
        }
        self.check(limits)
    }

    fn check(&self, limits: LedgerLimits) -> Result<(), TestCaseError> {
        prop_assert!(self.ledger.answer_bytes() <= limits.answer_bytes);
        prop_assert!(self.ledger.session_count() <= limits.sessions);
        for (request, observation) in &self.observations {
            prop_assert!(
                observation.runs <= 1,
                "{request:?} ran {} times",
                observation.runs
            );
            prop_assert!(
                !(observation.reported_not_run && observation.runs > 0),
                "{request:?} ran and was reported as not run"
            );
        }
        Ok(())
    }

    fn observation(&mut self, request: Request) -> &mut Observation {
        self.observations.entry(request).or_default()
    }

    fn session(&self, request: Request) -> Option<SessionId> {
        self.granted
            .get(request.session)
            .map(|(session, _)| *session)
    }

    fn deliver(&mut self, request: Request) -> Result<(), TestCaseError> {
        let Some((session, epoch)) = self.granted.get(request.session).copied() else {
            return Ok(());
        };
        let sequence = Sequence(request.sequence);
        match self.ledger.begin(self.now, session, epoch, sequence) {
            Disposition::Run => {
                prop_assert_eq!(epoch.get(), self.epoch, "a request of another epoch runs");
                prop_assert!(
                    !self.observation(request).reported_not_run,
                    "a fenced request runs"
                );
                self.queued.push(request);
            }
            Disposition::Done(outcome) => {
                let observation = *self.observation(request);
                prop_assert_eq!(observation.runs, 1, "a result without a run");
                if let Some(answer) = outcome.answer {
                    prop_assert!(observation.answered);
                    prop_assert_eq!(answer, answer_of(request), "the answer of another request");
                }
            }
            Disposition::Fenced(code) => {
                prop_assert_eq!(code.ran(), Ran::No);
                self.observation(request).reported_not_run = true;
            }
            Disposition::InProgress => {
                let is_held = self.queued.contains(&request) || self.running.contains(&request);
                prop_assert!(is_held, "in progress, but neither queued nor running");
            }
            Disposition::Unknown(code) => prop_assert_eq!(code.ran(), Ran::Unknown),
        }
        Ok(())
    }

    fn abandon(&mut self, request: Request, code: ResultCode) -> Result<(), TestCaseError> {
        let Some(session) = self.session(request) else {
            return Ok(());
        };
        let fence = self.ledger.fence(session, Sequence(request.sequence), code);
        if fence == FenceResult::Fenced {
            prop_assert!(
                self.queued.contains(&request),
                "fenced a request that is not queued"
            );
            self.queued.retain(|queued| *queued != request);
            self.observation(request).reported_not_run = true;
        }
        Ok(())
    }

    fn dispatch(&mut self, request: Request) -> Result<(), TestCaseError> {
        let Some(session) = self.session(request) else {
            return Ok(());
        };
        let was_queued = self.queued.contains(&request);
        self.queued.retain(|queued| *queued != request);
        if self
            .ledger
            .mark_dispatched(session, Sequence(request.sequence))
        {
            prop_assert!(was_queued, "dispatched a request that was not queued");
            self.observation(request).runs += 1;
            self.running.push(request);
        }
        Ok(())
    }

    fn answer(&mut self, request: Request) -> Result<(), TestCaseError> {
        let Some(session) = self.session(request) else {
            return Ok(());
        };
        let was_running = self.running.contains(&request);
        let outcome = Outcome {
            code: ResultCode::Ok,
            answer: Some(answer_of(request)),
        };
        let sequence = Sequence(request.sequence);
        if self.ledger.finish(session, sequence, outcome) {
            prop_assert!(
                was_running,
                "recorded the outcome of a request that was not running"
            );
            self.observation(request).answered = true;
        }
        self.running.retain(|running| *running != request);
        Ok(())
    }

    fn shed(&mut self, request: Request) {
        let Some(session) = self.session(request) else {
            return;
        };
        if !self.running.contains(&request) {
            return;
        }
        self.running.retain(|running| *running != request);
        // The upstream reports that it did not run the request.
        self.observation(request).runs -= 1;
        let code = ResultCode::NotRunShed;
        let sequence = Sequence(request.sequence);
        if self.ledger.fence_unstarted(session, sequence, code) == FenceResult::Fenced {
            self.observation(request).reported_not_run = true;
        }
    }

    fn lose_upstream(&mut self, request: Request) {
        let Some(session) = self.session(request) else {
            return;
        };
        let outcome = Outcome {
            code: ResultCode::UnknownUpstreamLost,
            answer: None,
        };
        if self.running.contains(&request) {
            self.ledger
                .finish(session, Sequence(request.sequence), outcome);
            self.running.retain(|running| *running != request);
        }
    }
}

fn answer_of(request: Request) -> Bytes {
    Bytes::from(format!("{}/{}", request.session, request.sequence))
}

fn limits() -> LedgerLimits {
    LedgerLimits {
        sessions: 2,
        answer_bytes: 400,
        idle_ms: DurationMs(IDLE_MS),
    }
}

/// Codes of requests that leave the queue without a start.
const NOT_RUN: [ResultCode; 3] = [
    ResultCode::NotRunCancelled,
    ResultCode::NotRunDeadline,
    ResultCode::NotRunDraining,
];

fn request(sequences: u64) -> impl Strategy<Value = Request> {
    (0_usize..3, 0..sequences).prop_map(|(session, sequence)| Request { session, sequence })
}

fn step(sequences: u64) -> impl Strategy<Value = Step> {
    let request = move || request(sequences);
    prop_oneof![
        2 => Just(Step::Grant),
        1 => (0_usize..3).prop_map(Step::Disconnect),
        1 => (0_usize..3).prop_map(Step::Resume),
        9 => request().prop_map(Step::Deliver),
        2 => (request(), proptest::sample::select(&NOT_RUN)).prop_map(|(r, c)| Step::Abandon(r, c)),
        6 => request().prop_map(Step::Dispatch),
        5 => request().prop_map(Step::Answer),
        1 => request().prop_map(Step::Shed),
        1 => request().prop_map(Step::LoseUpstream),
        1 => Just(Step::Restart),
        1 => (0..2 * IDLE_MS).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1024))]

    /// Guards against a second run, a run after "not run", and the answer of another request. There
    /// are few sequences, so that many steps concern the same request.
    #[test]
    fn no_interleaving_runs_a_request_twice(
        steps in proptest::collection::vec(step(3), 0..120),
    ) {
        let mut model = Model::new(limits());
        for step in steps {
            model.step(limits(), step)?;
        }
    }

    /// Guards against a second run, a run after "not run", and the answer of another request, while
    /// the sequence window advances past requests in progress.
    #[test]
    fn a_sequence_outside_the_window_never_runs_again(
        steps in proptest::collection::vec(step(200), 0..400),
    ) {
        let mut model = Model::new(limits());
        model.step(limits(), Step::Grant)?;
        for step in steps {
            model.step(limits(), step)?;
        }
    }
}

/// Guards against violations that random steps miss: tries every sequence of up to six steps for
/// one request of a granted session.
#[test]
fn every_short_interleaving_of_one_request_is_safe() {
    const DEPTH: usize = 6;
    let request = Request {
        session: 0,
        sequence: 1,
    };
    let steps = [
        Step::Deliver(request),
        Step::Deliver(Request {
            session: 0,
            sequence: 65,
        }),
        Step::Abandon(request, ResultCode::NotRunCancelled),
        Step::Dispatch(request),
        Step::Answer(request),
        Step::Shed(request),
        Step::LoseUpstream(request),
        Step::Restart,
        Step::Disconnect(0),
        Step::Advance(IDLE_MS),
    ];
    let mut model = Model::new(limits());
    model
        .step(limits(), Step::Grant)
        .expect("the first grant is accepted");
    explore(&model, &steps, DEPTH, &mut Vec::new());
}

fn explore(model: &Model, steps: &[Step], depth: usize, path: &mut Vec<Step>) {
    if depth == 0 {
        return;
    }
    for step in steps {
        let mut next = model.clone();
        path.push(*step);
        if let Err(error) = next.step(limits(), *step) {
            panic!("{path:?}: {error}");
        }
        explore(&next, steps, depth - 1, path);
        path.pop();
    }
}
