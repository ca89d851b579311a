//! Request dispatcher: admission control, request ledger and upstream health behind one lock.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hawthorntide_admission::{
    AdmissionAction, AdmissionEvent, AdmissionLoad, AdmissionMachine, AnnouncedWeight, CallResult,
    Completion, Disposition, FenceResult, HealthHint, Ledger, LedgerLimits, Outcome, RequestId,
    UpstreamHealth,
};
use hawthorntide_types::{
    DurationMs, EndpointId, Epoch, Incarnation, Profile, ResultCode, Sequence, SessionId,
    SlotCount, TimeMs, Weight, WorkKind,
};
use hawthorntide_wire::call::CallRequest;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Interval at which idle sessions are expired.
const EXPIRY_INTERVAL_MS: u64 = 1000;

/// Announced weights are rounded up to a multiple of this step, because every change is sent to all
/// balancers.
const WEIGHT_STEP: u16 = 250;

/// Weights up to this threshold are announced as zero.
const ZERO_WEIGHT_THRESHOLD: u16 = 10;

/// Identifies a request across connections.
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

/// Decision of admission control about a submitted request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Decision {
    /// Send the request to the upstream; the answer is due at the given time.
    Start(TimeMs),
    /// Report the code; the request must not run.
    Refuse(ResultCode),
    /// Cancel the upstream call and report the code.
    Cancel(ResultCode),
}

/// Request that waits for or uses a slot of the upstream.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) id: RequestId,
    pub(crate) decisions: mpsc::UnboundedReceiver<Decision>,
}

/// How a call to the upstream ended.
#[derive(Clone, Debug)]
pub(crate) enum CallEnd {
    /// The upstream did not start the request, for the reason given by the code.
    NotStarted(ResultCode),
    /// The call ended, with or without an answer.
    Ended(Outcome),
}

#[derive(Debug)]
struct State {
    machine: AdmissionMachine,
    ledger: Ledger,
    health: UpstreamHealth,
    decisions: HashMap<RequestId, mpsc::UnboundedSender<Decision>>,
    next_id: u64,
    last_expiry: TimeMs,
}

/// Decides whether and when each request runs, and records its outcome.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    started: Instant,
    epoch: Epoch,
    state: Mutex<State>,
}

impl Dispatcher {
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
                decisions: HashMap::new(),
                next_id: 0,
                last_expiry: TimeMs(0),
            }),
        }
    }

    /// Time since the start of the agent. Admission control, ledger, health and load reports use
    /// this clock.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(self.started.elapsed().as_millis() as u64)
    }

    pub(crate) fn time_left(&self, deadline: TimeMs) -> DurationMs {
        deadline.since(self.now())
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Opens a session for a new connection; `None` when the limit on sessions is reached.
    pub(crate) fn open_session(&self) -> Option<SessionId> {
        let session = SessionId(rand::random());
        let now = self.now();
        self.state().ledger.open(now, session).ok()?;
        Some(session)
    }

    /// Attaches an existing session to a connection; returns whether the ledger still has the
    /// session.
    pub(crate) fn attach(&self, key: RequestKey) -> bool {
        let now = self.now();
        self.state().ledger.resume(now, key.session, key.epoch)
    }

    pub(crate) fn detach(&self, session: SessionId) {
        let now = self.now();
        self.state().ledger.detach(now, session);
    }

    pub(crate) fn begin(&self, key: RequestKey) -> Disposition {
        let now = self.now();
        let mut state = self.state();
        state
            .ledger
            .begin(now, key.session, key.epoch, key.sequence)
    }

    /// Submits a request to admission control after the ledger has accepted it.
    pub(crate) fn submit(&self, kind: WorkKind, deadline_ms: Option<DurationMs>) -> PendingRequest {
        let (sender, decisions) = mpsc::unbounded_channel();
        let now = self.now();
        let mut state = self.state();
        let id = RequestId(state.next_id);
        state.next_id += 1;
        state.decisions.insert(id, sender);
        let event = AdmissionEvent::Arrived {
            id,
            kind,
            deadline_ms,
        };
        state.handle(now, event);
        PendingRequest { id, decisions }
    }

    /// Cancels a request whose caller no longer reads the answer; a decision follows.
    pub(crate) fn cancel(&self, id: RequestId) {
        let now = self.now();
        self.state().handle(now, AdmissionEvent::Cancelled { id });
    }

    /// Records that the request is about to be sent to the upstream; it may be sent only if this
    /// returns `true`.
    pub(crate) fn mark_dispatched(&self, key: RequestKey) -> bool {
        self.state()
            .ledger
            .mark_dispatched(key.session, key.sequence)
    }

    /// Fences a request that was not sent to the upstream, so that no retry of it runs; returns the
    /// code to report.
    pub(crate) fn refuse(&self, key: RequestKey, code: ResultCode) -> ResultCode {
        let fence = self.state().ledger.fence(key.session, key.sequence, code);
        if fence == FenceResult::Fenced {
            code
        } else {
            ResultCode::UnknownTooOld
        }
    }

    /// Records the end of a started request and frees its slot; returns the code to report.
    pub(crate) fn finish(
        &self,
        id: RequestId,
        key: RequestKey,
        end: CallEnd,
        elapsed_ms: DurationMs,
    ) -> ResultCode {
        let now = self.now();
        let mut state = self.state();
        state.decisions.remove(&id);
        match end {
            CallEnd::NotStarted(code) => {
                let ledger = &mut state.ledger;
                let fence = ledger.fence_unstarted(key.session, key.sequence, code);
                state.complete_unstarted(now, id, code);
                if fence == FenceResult::Fenced {
                    code
                } else {
                    ResultCode::UnknownTooOld
                }
            }
            CallEnd::Ended(outcome) => {
                let code = outcome.code;
                state.ledger.finish(key.session, key.sequence, outcome);
                state.complete_call(now, id, code, elapsed_ms);
                code
            }
        }
    }

    /// Advances the clock of admission control and expires sessions; called every few milliseconds.
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

    /// Weight to announce, a multiple of `WEIGHT_STEP`.
    pub(crate) fn weight(&self, siblings: &[AnnouncedWeight]) -> Weight {
        let now = self.now();
        let weight = self.state().health.weight(now, siblings).get();
        if weight <= ZERO_WEIGHT_THRESHOLD {
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
                AdmissionAction::Start { id, deadline } => self.send(id, Decision::Start(deadline)),
                AdmissionAction::CancelUpstream { id, code } => {
                    self.send(id, Decision::Cancel(code));
                }
                AdmissionAction::Refuse { id, code } => {
                    metrics::counter!("hawthorntide_agent_refused_total", "code" => code.name())
                        .increment(1);
                    self.send(id, Decision::Refuse(code));
                    self.decisions.remove(&id);
                }
                AdmissionAction::CrowdingChanged { crowded } => {
                    let state = if crowded { "crowded" } else { "calm" };
                    log::info!("agent: Admission state changed to {state}.");
                }
            }
        }
    }

    fn send(&self, id: RequestId, decision: Decision) {
        let Some(sender) = self.decisions.get(&id) else {
            return;
        };
        if sender.send(decision).is_err() {
            log::debug!("agent: Request {id} ended before it received a decision.");
        }
    }

    fn complete_unstarted(&mut self, now: TimeMs, id: RequestId, code: ResultCode) {
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

    fn complete_call(
        &mut self,
        now: TimeMs,
        id: RequestId,
        code: ResultCode,
        elapsed_ms: DurationMs,
    ) {
        let completion = match code {
            ResultCode::Ok => Completion::Answered,
            ResultCode::UnknownCancelled => Completion::Cancelled,
            _ => Completion::Failed,
        };
        let result = match code {
            ResultCode::Ok => Some(CallResult::Answered(elapsed_ms)),
            ResultCode::UnknownDeadline => Some(CallResult::DeadlineExceeded),
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
