//! Admission, ledger and health of one agent behind one lock.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hawthorntide_admission::{
    AdmissionAction, AdmissionEvent, AdmissionLoad, AdmissionMachine, AnnouncedWeight, Begin,
    CallResult, Completion, Fence, HealthHint, Ledger, LedgerLimits, Outcome, RequestId,
    UpstreamHealth,
};
use hawthorntide_types::{
    DurationMs, EndpointId, Epoch, Incarnation, Profile, ResultCode, Sequence, SessionId,
    SlotCount, TimeMs, Weight, WorkKind,
};
use hawthorntide_wire::call::CallRequest;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Interval at which idle sessions are looked for.
const EXPIRY_INTERVAL_MS: u64 = 1000;

/// Steps of announced weights; each change is told to every balancer.
const WEIGHT_STEP: u16 = 250;

/// Weight that counts as none.
const NO_WEIGHT: u16 = 10;

/// Names one request over all connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RequestKey {
    pub(crate) session: SessionId,
    pub(crate) epoch: Epoch,
    pub(crate) sequence: Sequence,
}

impl RequestKey {
    pub(crate) fn of(request: &CallRequest) -> Self {
        Self {
            session: SessionId(request.session),
            epoch: Epoch(request.epoch),
            sequence: Sequence(request.sequence),
        }
    }
}

/// What the admission decided about a submitted request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Verdict {
    /// Hand the request over; the answer is due at the given time.
    Start(TimeMs),
    /// Report that it was not run.
    Refuse(ResultCode),
    /// Cancel the call and report this.
    Cancel(ResultCode),
}

/// Request in the hands of the admission.
#[derive(Debug)]
pub(crate) struct Submitted {
    pub(crate) id: RequestId,
    pub(crate) verdicts: mpsc::UnboundedReceiver<Verdict>,
}

/// How a call to the upstream ended.
#[derive(Clone, Debug)]
pub(crate) enum CallEnd {
    /// It was not started; the code says why.
    NotStarted(ResultCode),
    /// It ended with an outcome.
    Ended(Outcome),
}

#[derive(Debug)]
struct State {
    machine: AdmissionMachine,
    ledger: Ledger,
    health: UpstreamHealth,
    verdicts: HashMap<RequestId, mpsc::UnboundedSender<Verdict>>,
    next_id: u64,
    last_expiry: TimeMs,
}

/// Decides about all requests of one agent.
#[derive(Debug)]
pub(crate) struct Desk {
    started: Instant,
    epoch: Epoch,
    state: Mutex<State>,
}

impl Desk {
    pub(crate) fn new(
        profile: Profile,
        slots: SlotCount,
        incarnation: Incarnation,
        endpoint: EndpointId,
    ) -> Self {
        let epoch = Epoch(incarnation.get());
        Self {
            started: Instant::now(),
            epoch,
            state: Mutex::new(State {
                machine: AdmissionMachine::new(profile, slots),
                ledger: Ledger::new(epoch, LedgerLimits::default()),
                health: UpstreamHealth::new(TimeMs(0), endpoint),
                verdicts: HashMap::new(),
                next_id: 0,
                last_expiry: TimeMs(0),
            }),
        }
    }

    /// Returns the time since the start, which all machines of the agent use.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(self.started.elapsed().as_millis() as u64)
    }

    /// Returns the time left until `deadline`.
    pub(crate) fn time_left(&self, deadline: TimeMs) -> DurationMs {
        deadline.since(self.now())
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Opens a session for a new connection, unless all sessions are in use.
    pub(crate) fn open_session(&self) -> Option<SessionId> {
        let session = SessionId(rand::random());
        let now = self.now();
        self.state().ledger.open(now, session).ok()?;
        Some(session)
    }

    /// Attaches a session to another connection; returns whether the ledger holds it.
    pub(crate) fn attach(&self, key: RequestKey) -> bool {
        let now = self.now();
        self.state().ledger.resume(now, key.session, key.epoch)
    }

    pub(crate) fn detach(&self, session: SessionId) {
        let now = self.now();
        self.state().ledger.detach(now, session);
    }

    pub(crate) fn begin(&self, key: RequestKey) -> Begin {
        let now = self.now();
        let mut state = self.state();
        state
            .ledger
            .begin(now, key.session, key.epoch, key.sequence)
    }

    /// Gives a request that the ledger lets run to the admission.
    pub(crate) fn submit(&self, kind: WorkKind, deadline_ms: Option<DurationMs>) -> Submitted {
        let (sender, verdicts) = mpsc::unbounded_channel();
        let now = self.now();
        let mut state = self.state();
        let id = RequestId(state.next_id);
        state.next_id += 1;
        state.verdicts.insert(id, sender);
        let event = AdmissionEvent::Arrive {
            id,
            kind,
            deadline_ms,
        };
        state.handle(now, event);
        Submitted { id, verdicts }
    }

    /// Takes in that the caller no longer wants the answer; a verdict follows.
    pub(crate) fn cancel(&self, id: RequestId) {
        let now = self.now();
        self.state().handle(now, AdmissionEvent::Cancelled { id });
    }

    /// Marks that the request goes to the upstream; only after `true` may it be sent.
    pub(crate) fn hand_over(&self, key: RequestKey) -> bool {
        self.state().ledger.hand_over(key.session, key.sequence)
    }

    /// Returns the code to report for a request that was not handed over, and fences it.
    pub(crate) fn refuse(&self, key: RequestKey, code: ResultCode) -> ResultCode {
        let fence = self.state().ledger.fence(key.session, key.sequence, code);
        if fence == Fence::Fenced {
            code
        } else {
            ResultCode::UnknownTooOld
        }
    }

    /// Takes in that a started request no longer uses the upstream; returns the code to report.
    pub(crate) fn finish(
        &self,
        id: RequestId,
        key: RequestKey,
        end: CallEnd,
        took_ms: DurationMs,
    ) -> ResultCode {
        let now = self.now();
        let mut state = self.state();
        state.verdicts.remove(&id);
        match end {
            CallEnd::NotStarted(code) => {
                let ledger = &mut state.ledger;
                let fence = ledger.fence_unstarted(key.session, key.sequence, code);
                state.not_started(now, id, code);
                if fence == Fence::Fenced {
                    code
                } else {
                    ResultCode::UnknownTooOld
                }
            }
            CallEnd::Ended(outcome) => {
                let code = outcome.code;
                state.ledger.finish(key.session, key.sequence, outcome);
                state.ended(now, id, code, took_ms);
                code
            }
        }
    }

    /// Lets time pass; due every few milliseconds.
    pub(crate) fn tick(&self) {
        let now = self.now();
        let mut state = self.state();
        state.handle(now, AdmissionEvent::Tick);
        if now.since(state.last_expiry).get() >= EXPIRY_INTERVAL_MS {
            state.last_expiry = now;
            state.ledger.expire(now);
        }
    }

    pub(crate) fn begin_drain(&self) {
        let now = self.now();
        self.state().handle(now, AdmissionEvent::DrainBegan);
    }

    pub(crate) fn change_profile(&self, profile: Profile) {
        let now = self.now();
        let event = AdmissionEvent::ProfileChanged { profile };
        self.state().handle(now, event);
    }

    pub(crate) fn record_hint(&self, hint: HealthHint) {
        let now = self.now();
        self.state().health.record_hint(now, hint);
    }

    /// Returns the weight to announce, in steps.
    pub(crate) fn weight(&self, others: &[AnnouncedWeight]) -> Weight {
        let now = self.now();
        let weight = self.state().health.weight(now, others).get();
        if weight <= NO_WEIGHT {
            return Weight::NONE;
        }
        Weight(weight.div_ceil(WEIGHT_STEP) * WEIGHT_STEP)
    }

    pub(crate) fn load(&self) -> AdmissionLoad {
        self.state().machine.load()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn handle(&mut self, now: TimeMs, event: AdmissionEvent) {
        let mut actions = Vec::new();
        self.machine.handle(now, event, &mut actions);
        for action in actions {
            match action {
                AdmissionAction::Start { id, deadline } => self.tell(id, Verdict::Start(deadline)),
                AdmissionAction::CancelUpstream { id, code } => {
                    self.tell(id, Verdict::Cancel(code));
                }
                AdmissionAction::Refuse { id, code } => {
                    metrics::counter!("hawthorntide_agent_refused_total", "code" => code.name())
                        .increment(1);
                    self.tell(id, Verdict::Refuse(code));
                    self.verdicts.remove(&id);
                }
                AdmissionAction::StateChanged { crowded } => {
                    let half = if crowded { "crowded" } else { "calm" };
                    log::info!("agent: The service is {half}.");
                }
            }
        }
    }

    fn tell(&self, id: RequestId, verdict: Verdict) {
        let Some(sender) = self.verdicts.get(&id) else {
            return;
        };
        if sender.send(verdict).is_err() {
            log::debug!("agent: Request {id} ended before its verdict.");
        }
    }

    fn not_started(&mut self, now: TimeMs, id: RequestId, code: ResultCode) {
        if code == ResultCode::NotRunShed {
            self.health.record(now, CallResult::Shed);
            self.handle(now, AdmissionEvent::Shed { id });
            return;
        }
        if code == ResultCode::NotRunNoUpstream {
            self.health.record(now, CallResult::Failed);
        }
        let completion = Completion::Failed;
        self.handle(now, AdmissionEvent::Finished { id, completion });
    }

    fn ended(&mut self, now: TimeMs, id: RequestId, code: ResultCode, took_ms: DurationMs) {
        let completion = match code {
            ResultCode::Ok => Completion::Answered,
            ResultCode::UnknownCancelled => Completion::Cancelled,
            _ => Completion::Failed,
        };
        let result = match code {
            ResultCode::Ok => Some(CallResult::Answered(took_ms)),
            ResultCode::UnknownDeadline => Some(CallResult::NoAnswer),
            ResultCode::UnknownUpstreamLost | ResultCode::UpstreamFailed => {
                Some(CallResult::Failed)
            }
            _ => None,
        };
        if let Some(result) = result {
            self.health.record(now, result);
        }
        self.handle(now, AdmissionEvent::Finished { id, completion });
    }
}
