//! Observations of the callers during a trial.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthorntide_timeline::{Component, Event, EventKind, HybridClock, ProcessName, Timeline};
use hawthorntide_types::{EndpointId, ResultCode, ServiceId, WorkKind};

/// Capacity of the timeline per thread.
const TIMELINE_EVENTS: usize = 16_384;

/// Request of a caller and its outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkOutcome {
    pub(crate) work_id: u64,
    /// Index of the service in the deployment file.
    pub(crate) service: usize,
    pub(crate) kind: WorkKind,
    pub(crate) is_flood: bool,
    pub(crate) sent_at: Duration,
    pub(crate) latency: Duration,
    pub(crate) deadline: Duration,
    pub(crate) code: ResultCode,
    /// Whether the answer equals the expected answer to this request, byte for byte.
    pub(crate) is_correct_answer: bool,
    /// Whether the answer carries the id of another service.
    pub(crate) names_other_service: bool,
}

impl WorkOutcome {
    /// Returns true if the caller received the correct answer before its deadline.
    pub(crate) fn is_good(&self) -> bool {
        self.code == ResultCode::Ok && self.is_correct_answer && self.latency <= self.deadline
    }
}

/// Flow that was closed neither by its caller nor by the trial.
#[derive(Clone, Debug)]
pub(crate) struct FlowLoss {
    pub(crate) at: Duration,
    /// Endpoint encoded in the connection ID.
    pub(crate) endpoint: Option<EndpointId>,
    pub(crate) reason: String,
}

#[derive(Debug, Default)]
pub(crate) struct Observations {
    pub(crate) outcomes: Vec<WorkOutcome>,
    pub(crate) losses: Vec<FlowLoss>,
    /// For each silenced caller port, the time until the caller switched to another port.
    pub(crate) port_change_delays: Vec<Duration>,
    /// Work ids of resent requests for which only the second answer says that the work was not run.
    pub(crate) contradicted_refusals: Vec<u64>,
    pub(crate) wrong_messages: u64,
    pub(crate) other_service_messages: u64,
}

/// Collects the observations of all callers.
#[derive(Debug)]
pub(crate) struct Observer {
    start: Instant,
    next_work_id: AtomicU64,
    is_stopping: AtomicBool,
    pub(crate) flows_opened: AtomicU64,
    pub(crate) flows_resumed: AtomicU64,
    pub(crate) failed_opens: AtomicU64,
    pub(crate) skipped_requests: AtomicU64,
    pub(crate) in_progress: AtomicU64,
    pub(crate) timeline: Timeline,
    observations: Mutex<Observations>,
}

impl Observer {
    pub(crate) fn new(clock: Arc<HybridClock>) -> Self {
        Self {
            start: Instant::now(),
            next_work_id: AtomicU64::new(1),
            is_stopping: AtomicBool::new(false),
            flows_opened: AtomicU64::new(0),
            flows_resumed: AtomicU64::new(0),
            failed_opens: AtomicU64::new(0),
            skipped_requests: AtomicU64::new(0),
            in_progress: AtomicU64::new(0),
            timeline: Timeline::new(ProcessName("callers".to_owned()), clock, TIMELINE_EVENTS),
            observations: Mutex::default(),
        }
    }

    /// Time since the start of the trial.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn next_work_id(&self) -> u64 {
        self.next_work_id.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    pub(crate) fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_outcome(&self, service: ServiceId, outcome: WorkOutcome) {
        let event = Event::new(Component::Client, EventKind::RequestEnded)
            .service(service)
            .code(outcome.code);
        self.timeline.record(event);
        self.observations().outcomes.push(outcome);
    }

    /// Records a lost flow, unless the trial is stopping.
    pub(crate) fn record_loss(&self, service: ServiceId, code: ResultCode, loss: FlowLoss) {
        if self.is_stopping() {
            return;
        }
        let event = Event::new(Component::Client, EventKind::FlowEnded)
            .service(service)
            .code(code);
        self.timeline.record(event);
        log::warn!("trial: Flow lost after {:?}: {}.", loss.at, loss.reason);
        self.observations().losses.push(loss);
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
