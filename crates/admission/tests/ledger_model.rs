//! At most once under duplicates, delays, cancellations, deadlines, crashes and retries.

use std::collections::BTreeMap;

use bytes::Bytes;
use hawthorntide_admission::{Disposition, FenceResult, Ledger, LedgerLimits, Outcome};
use hawthorntide_types::{DurationMs, Epoch, Ran, ResultCode, Sequence, SessionId, TimeMs};
use proptest::prelude::*;

/// Idle time after which the ledger under test forgets a session.
const IDLE_MS: u64 = 1000;

/// Request as a caller numbers it; `session` is an index into the granted sessions.
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
    /// A copy of a request arrives: the first, a duplicate, a late one or a retry.
    Deliver(Request),
    /// The caller cancels, or the deadline passes, before or after the hand-over.
    Abandon(Request, ResultCode),
    /// The queue hands the request over.
    HandOver(Request),
    /// The upstream answers; it may do so twice.
    Answer(Request),
    /// The upstream refuses without running.
    Shed(Request),
    /// The upstream is lost, or the deadline passes during the run.
    Lose(Request),
    /// The agent restarts with a higher epoch.
    Restart,
    /// Time passes.
    Pass(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Fact {
    runs: u32,
    told_not_run: bool,
    answered: bool,
}

#[derive(Clone)]
struct World {
    now: TimeMs,
    epoch: u64,
    ledger: Ledger,
    /// Session and epoch of each grant.
    granted: Vec<(SessionId, Epoch)>,
    facts: BTreeMap<Request, Fact>,
    /// Requests that the agent holds in its queue; lost by a restart.
    queued: Vec<Request>,
    /// Requests at the upstream, in whose answer the agent is still interested.
    running: Vec<Request>,
}

impl World {
    fn new(limits: LedgerLimits) -> Self {
        Self {
            now: TimeMs(0),
            epoch: 1,
            ledger: Ledger::new(Epoch(1), limits),
            granted: Vec::new(),
            facts: BTreeMap::new(),
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
            Step::HandOver(request) => self.hand_over(request)?,
            Step::Answer(request) => self.answer(request)?,
            Step::Shed(request) => self.shed(request),
            Step::Lose(request) => self.lose(request),
            Step::Restart => {
                self.epoch += 1;
                self.ledger = Ledger::new(Epoch(self.epoch), limits);
                self.queued.clear();
                self.running.clear();
            }
            Step::Pass(passed_ms) => {
                self.now = self.now + DurationMs(passed_ms);
                self.ledger.expire(self.now);
            }
        }
        self.check(limits)
    }

    fn check(&self, limits: LedgerLimits) -> Result<(), TestCaseError> {
        prop_assert!(self.ledger.answer_bytes() <= limits.answer_bytes);
        prop_assert!(self.ledger.session_count() <= limits.sessions);
        for (request, fact) in &self.facts {
            prop_assert!(fact.runs <= 1, "{request:?} ran {} times", fact.runs);
            prop_assert!(
                !(fact.told_not_run && fact.runs > 0),
                "{request:?} ran and was reported as not run"
            );
        }
        Ok(())
    }

    fn fact(&mut self, request: Request) -> &mut Fact {
        self.facts.entry(request).or_default()
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
                prop_assert_eq!(epoch.get(), self.epoch, "a foreign epoch runs");
                prop_assert!(!self.fact(request).told_not_run, "a fenced request runs");
                self.queued.push(request);
            }
            Disposition::Done(outcome) => {
                let fact = *self.fact(request);
                prop_assert_eq!(fact.runs, 1, "a result without a run");
                if let Some(answer) = outcome.answer {
                    prop_assert!(fact.answered);
                    prop_assert_eq!(answer, answer_of(request), "the answer of another request");
                }
            }
            Disposition::Fenced(code) => {
                prop_assert_eq!(code.ran(), Ran::No);
                self.fact(request).told_not_run = true;
            }
            Disposition::InProgress => {
                let held = self.queued.contains(&request) || self.running.contains(&request);
                prop_assert!(held, "in progress, but nobody holds it");
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
                "fenced what is not in the queue"
            );
            self.queued.retain(|queued| *queued != request);
            self.fact(request).told_not_run = true;
        }
        Ok(())
    }

    fn hand_over(&mut self, request: Request) -> Result<(), TestCaseError> {
        let Some(session) = self.session(request) else {
            return Ok(());
        };
        let was_queued = self.queued.contains(&request);
        self.queued.retain(|queued| *queued != request);
        if self
            .ledger
            .mark_dispatched(session, Sequence(request.sequence))
        {
            prop_assert!(was_queued, "handed over what was not in the queue");
            self.fact(request).runs += 1;
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
            prop_assert!(was_running, "an outcome was taken for what did not run");
            self.fact(request).answered = true;
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
        // The upstream states that the hand-over had no effect.
        self.fact(request).runs -= 1;
        let code = ResultCode::NotRunShed;
        let sequence = Sequence(request.sequence);
        if self.ledger.fence_unstarted(session, sequence, code) == FenceResult::Fenced {
            self.fact(request).told_not_run = true;
        }
    }

    fn lose(&mut self, request: Request) {
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

/// Codes of requests that are given up in the queue.
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
        6 => request().prop_map(Step::HandOver),
        5 => request().prop_map(Step::Answer),
        1 => request().prop_map(Step::Shed),
        1 => request().prop_map(Step::Lose),
        1 => Just(Step::Restart),
        1 => (0..2 * IDLE_MS).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1024))]

    /// Guards against a second run, a run after "not run", and foreign answers, on few sequences.
    #[test]
    fn no_interleaving_runs_a_request_twice(
        steps in proptest::collection::vec(step(3), 0..120),
    ) {
        let mut world = World::new(limits());
        for step in steps {
            world.step(limits(), step)?;
        }
    }

    /// Guards against the same while the window moves past requests that are still open.
    #[test]
    fn a_moving_window_forgets_but_never_runs_again(
        steps in proptest::collection::vec(step(200), 0..400),
    ) {
        let mut world = World::new(limits());
        world.step(limits(), Step::Grant)?;
        for step in steps {
            world.step(limits(), step)?;
        }
    }
}

/// Guards against a hole that random steps miss: tries every order of up to six steps with one
/// request after its session was granted.
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
        Step::HandOver(request),
        Step::Answer(request),
        Step::Shed(request),
        Step::Lose(request),
        Step::Restart,
        Step::Disconnect(0),
        Step::Pass(IDLE_MS),
    ];
    let mut world = World::new(limits());
    world
        .step(limits(), Step::Grant)
        .expect("the first grant is accepted");
    explore(&world, &steps, DEPTH, &mut Vec::new());
}

fn explore(world: &World, steps: &[Step], depth: usize, path: &mut Vec<Step>) {
    if depth == 0 {
        return;
    }
    for step in steps {
        let mut next = world.clone();
        path.push(*step);
        if let Err(error) = next.step(limits(), *step) {
            panic!("{path:?}: {error}");
        }
        explore(&next, steps, depth - 1, path);
        path.pop();
    }
}
