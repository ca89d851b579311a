//! What callers saw during a trial.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthorntide_timeline::{Component, Event, EventKind, HybridClock, ProcessName, Timeline};
use hawthorntide_types::{EndpointId, ResultCode, ServiceId, WorkKind};

/// Events of callers that the time line keeps for each thread.
const TIMELINE_EVENTS: usize = 16_384;

/// Request of a caller and what it was told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkOutcome {
    pub(crate) work_id: u64,
    /// Position of the service in the deployment file.
    pub(crate) service: usize,
    pub(crate) kind: WorkKind,
    pub(crate) is_flood: bool,
    pub(crate) asked: Duration,
    pub(crate) took: Duration,
    pub(crate) deadline: Duration,
    pub(crate) code: ResultCode,
    /// Whether the answer is byte for byte the answer to this request.
    pub(crate) is_own_answer: bool,
    /// Whether the answer names another service.
    pub(crate) is_foreign: bool,
}

impl WorkOutcome {
    /// Returns whether the caller got its answer in time.
    pub(crate) fn is_good(&self) -> bool {
        self.code == ResultCode::Ok && self.is_own_answer && self.took <= self.deadline
    }
}

/// Flow that ended although neither caller nor trial ended it.
#[derive(Clone, Debug)]
pub(crate) struct FlowLoss {
    pub(crate) at: Duration,
    /// Endpoint that its connection identifier names.
    pub(crate) endpoint: Option<EndpointId>,
    pub(crate) reason: String,
}

#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) outcomes: Vec<WorkOutcome>,
    pub(crate) losses: Vec<FlowLoss>,
    /// Times from the silence of a caller address to its move to another port.
    pub(crate) silences_found: Vec<Duration>,
    /// Work that was reported as not run when it was sent a second time.
    pub(crate) false_refusals: Vec<u64>,
    pub(crate) wrong_messages: u64,
    pub(crate) foreign_messages: u64,
}

/// Collects what all callers see.
#[derive(Debug)]
pub(crate) struct Observer {
    started: Instant,
    next_work: AtomicU64,
    is_stopping: AtomicBool,
    pub(crate) flows_opened: AtomicU64,
    pub(crate) flows_resumed: AtomicU64,
    pub(crate) opens_failed: AtomicU64,
    pub(crate) flood_skipped: AtomicU64,
    pub(crate) in_progress: AtomicU64,
    pub(crate) timeline: Timeline,
    seen: Mutex<Seen>,
}

impl Observer {
    pub(crate) fn new(clock: Arc<HybridClock>) -> Self {
        Self {
            started: Instant::now(),
            next_work: AtomicU64::new(1),
            is_stopping: AtomicBool::new(false),
            flows_opened: AtomicU64::new(0),
            flows_resumed: AtomicU64::new(0),
            opens_failed: AtomicU64::new(0),
            flood_skipped: AtomicU64::new(0),
            in_progress: AtomicU64::new(0),
            timeline: Timeline::new(ProcessName("callers".to_owned()), clock, TIMELINE_EVENTS),
            seen: Mutex::default(),
        }
    }

    /// Returns the time since the trial began.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn next_work(&self) -> u64 {
        self.next_work.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    pub(crate) fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_outcome(&self, service: ServiceId, outcome: WorkOutcome) {
        let event = Event::new(Component::Client, EventKind::RequestEnded)
            .service(service)
            .code(outcome.code);
        self.timeline.record(event);
        self.seen().outcomes.push(outcome);
    }

    /// Notes a flow that was lost, unless the trial is ending.
    pub(crate) fn record_loss(&self, service: ServiceId, code: ResultCode, loss: FlowLoss) {
        if self.is_stopping() {
            return;
        }
        let event = Event::new(Component::Client, EventKind::FlowEnded)
            .service(service)
            .code(code);
        self.timeline.record(event);
        log::warn!(
            "trial: A flow was lost after {:?}: {}.",
            loss.at,
            loss.reason
        );
        self.seen().losses.push(loss);
    }

    pub(crate) fn record_flow(&self, service: ServiceId, kind: EventKind) {
        let counter = if kind == EventKind::FlowResumed {
            &self.flows_resumed
        } else {
            &self.flows_opened
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.timeline
            .record(Event::new(Component::Client, kind).service(service));
    }
}
