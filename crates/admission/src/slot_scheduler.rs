//! Scheduler of requests that can be delayed but not refused: on an open opaque flow, only the
//! upstream can answer the caller.
//!
//! Requests that can still meet their latency objective start before late ones, since a slot that
//! serves a late request makes a timely one late, too. Among these, kinds below their guaranteed
//! share start first, then the more urgent, then those with the shorter service time.

use std::cmp::Reverse;

use hawthorntide_types::{DurationMs, PerMille, SlotCount, TimeMs, Urgency, WorkKind};

use crate::RequestId;
use crate::queue::{Queue, QueuedRequest};
use crate::service_time::ServiceTimeEstimate;
use crate::shares::{FairShares, KindUsage};

/// Requests that may be started beyond the number of slots, so that a slot that becomes free does
/// not stay idle until the scheduler learns of it.
const PIPELINED_REQUESTS: u32 = 1;

/// Limit on the waiting requests, which bounds their memory.
const MAX_WAITING: usize = 2_048;

/// Guaranteed share of the slots of each kind of work while its requests wait.
const GUARANTEED_SHARE: PerMille = PerMille(200);

/// Limit of the credit that a kind below its share accumulates. It bounds how long a flood of that
/// kind takes precedence over more urgent work.
const CREDIT_LIMIT_MS: DurationMs = DurationMs(100);

/// A discarded request shows for this long that the upstream gets more work than it can serve.
const DISCARD_MEMORY_MS: DurationMs = DurationMs(500);

/// Request that needs a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotRequest {
    pub id: RequestId,
    pub kind: WorkKind,
    pub urgency: Urgency,
    /// Latency objective, from now.
    pub objective_ms: DurationMs,
    /// Time from now after which the caller no longer waits for the answer.
    pub deadline_ms: DurationMs,
}

/// Input event of the scheduler.
#[derive(Clone, Copy, Debug)]
pub enum SlotEvent {
    Arrived(SlotRequest),
    /// A started request was answered.
    Answered(RequestId),
    /// A request ended without an answer, or its caller no longer waits for one.
    Cancelled(RequestId),
    SlotsChanged(SlotCount),
    /// Time has passed; needed at short intervals while requests wait.
    Tick,
}

/// Output action of the scheduler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotAction {
    Start {
        id: RequestId,
        waited_ms: DurationMs,
    },
    /// Discard the waiting request: it cannot meet its deadline, or too many requests wait.
    Discard { id: RequestId },
    /// The end of the started request was not reported until its deadline: it no longer counts.
    Forget { id: RequestId },
}

/// How long a request that arrives now would wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExpectedWait {
    /// Time until it starts, while further requests that start before it are not counted.
    pub wait_ms: DurationMs,
    /// It would miss its objective, and late requests hardly start: the oldest one has waited for half of
    /// its time, or one was discarded lately.
    pub is_hopeless: bool,
}

/// Waiting requests of one kind and urgency.
#[derive(Clone, Debug)]
struct Class {
    urgency: Urgency,
    kind: WorkKind,
    /// Requests that can meet their latency objective if they start now.
    timely: Queue,
    late: Queue,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: RequestId,
    kind: WorkKind,
    started: TimeMs,
    deadline: TimeMs,
}

/// Scheduler of the requests of one upstream.
#[derive(Clone, Debug)]
pub struct SlotScheduler {
    slots: SlotCount,
    /// Sorted by urgency and kind.
    classes: Vec<Class>,
    /// Started requests, sorted by identifier.
    running: Vec<Running>,
    service_times: [ServiceTimeEstimate; WorkKind::ALL.len()],
    shares: FairShares,
    /// When a request was last discarded because of its deadline.
    last_discard: Option<TimeMs>,
}

impl SlotScheduler {
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots,
            classes: Vec::new(),
            running: Vec::new(),
            service_times: Default::default(),
            shares: FairShares::with_credit_limit(CREDIT_LIMIT_MS),
            last_discard: None,
        }
    }

    pub const fn slots(&self) -> SlotCount {
        self.slots
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.classes.iter().map(Class::waiting).sum()
    }

    /// Returns how long `request` would wait if it arrived now.
    pub fn expected_wait(&self, now: TimeMs, request: &SlotRequest) -> ExpectedWait {
        if self.running.len() < self.slots.get() as usize {
            return ExpectedWait::default();
        }
        // The estimate fades while nothing is answered, so the requests that run count as well.
        let elapsed = self.running.iter().map(|it| now.since(it.started).get());
        let running_ms = elapsed.max().unwrap_or(0) / 2;
        let service_time_ms = |kind: WorkKind| {
            let mean_ms = self.service_times[kind as usize].total_time_ms(now, 1, 1_000);
            mean_ms.get().max(running_ms)
        };
        let ahead = self.classes.iter();
        let ahead = ahead.filter(|class| class.urgency >= request.urgency);
        let ahead_ms: u64 = ahead
            .map(|class| class.timely.len() as u64 * service_time_ms(class.kind))
            .sum();
        let own_ms = service_time_ms(request.kind);
        let wait_ms = DurationMs((ahead_ms + own_ms) / u64::from(self.max_running()));
        let upper_ms = self.service_times[request.kind as usize].upper_estimate_ms(now);
        let is_late = now + wait_ms > latest_start(now, request.objective_ms, upper_ms);
        ExpectedWait {
            wait_ms,
            is_hopeless: is_late && self.is_starving_late_requests(now),
        }
    }

    /// Returns whether late requests hardly get a slot.
    fn is_starving_late_requests(&self, now: TimeMs) -> bool {
        let is_recent = |at: TimeMs| now.since(at) <= DISCARD_MEMORY_MS;
        let has_waited_long = |late: &QueuedRequest| {
            now.since(late.arrived).get() * 2 >= late.deadline.since(late.arrived).get()
        };
        let mut oldest = self.classes.iter().filter_map(|class| class.late.oldest());
        self.last_discard.is_some_and(is_recent) || oldest.any(has_waited_long)
    }

    /// Processes `event` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: TimeMs, event: SlotEvent, out: &mut Vec<SlotAction>) {
        let usage = WorkKind::ALL.map(|kind| self.usage_of(kind));
        self.shares.advance(now, self.max_running(), usage);
        match event {
            SlotEvent::Arrived(request) => self.enqueue(now, request, out),
            SlotEvent::Answered(id) => {
                if let Some(ended) = self.remove_running(id) {
                    let service_time = now.since(ended.started);
                    self.service_times[ended.kind as usize].observe(now, service_time);
                } else {
                    self.remove_waiting(id);
                }
            }
            SlotEvent::Cancelled(id) => {
                if self.remove_running(id).is_none() {
                    self.remove_waiting(id);
                }
            }
            SlotEvent::SlotsChanged(slots) => self.slots = slots,
            SlotEvent::Tick => {}
        }
        self.expire(now, out);
        self.start_waiting(now, out);
    }

    fn expire(&mut self, now: TimeMs, out: &mut Vec<SlotAction>) {
        let forgotten = self.running.extract_if(.., |it| now > it.deadline);
        out.extend(forgotten.map(|running| SlotAction::Forget { id: running.id }));
        let kept = out.len();
        for class in &mut self.classes {
            let service_time = &self.service_times[class.kind as usize];
            class.expire(now, service_time.upper_estimate_ms(now), out);
        }
        if out.len() > kept {
            self.last_discard = Some(now);
        }
    }

    const fn max_running(&self) -> u32 {
        self.slots.get().saturating_add(PIPELINED_REQUESTS)
    }

    fn enqueue(&mut self, now: TimeMs, request: SlotRequest, out: &mut Vec<SlotAction>) {
        if self.waiting() >= MAX_WAITING {
            out.push(SlotAction::Discard { id: request.id });
            return;
        }
        let key = (request.urgency, request.kind);
        let index = self
            .classes
            .binary_search_by_key(&key, |class| (class.urgency, class.kind));
        let index = index.unwrap_or_else(|index| {
            self.classes.insert(index, Class::new(key));
            index
        });
        let service_time_ms = self.service_times[request.kind as usize].upper_estimate_ms(now);
        self.classes[index].timely.push(QueuedRequest {
            id: request.id,
            arrived: now,
            wait_limit: latest_start(now, request.objective_ms, service_time_ms),
            deadline: now + request.deadline_ms,
        });
    }

    fn start_waiting(&mut self, now: TimeMs, out: &mut Vec<SlotAction>) {
        while self.running.len() < self.max_running() as usize {
            let Some(class) = self.next_class(now) else {
                return;
            };
            let kind = class.kind;
            let Some(request) = class.pop() else {
                return;
            };
            let running = Running {
                id: request.id,
                kind,
                started: now,
                deadline: request.deadline,
            };
            let index = self.running.partition_point(|known| known.id < request.id);
            self.running.insert(index, running);
            out.push(SlotAction::Start {
                id: request.id,
                waited_ms: now.since(request.arrived),
            });
        }
    }

    /// Returns the class from which the next request is started.
    fn next_class(&mut self, now: TimeMs) -> Option<&mut Class> {
        let (shares, service_times) = (&self.shares, &self.service_times);
        let waiting = self.classes.iter_mut().filter(|class| class.waiting() > 0);
        waiting.max_by_key(|class| {
            (
                !class.timely.is_empty(),
                shares.is_below_share(class.kind),
                class.urgency,
                Reverse(service_times[class.kind as usize].total_time_ms(now, 1, 1_000)),
            )
        })
    }

    fn usage_of(&self, kind: WorkKind) -> KindUsage {
        let running = self.running.iter().filter(|running| running.kind == kind);
        let mut classes = self.classes.iter().filter(|class| class.kind == kind);
        KindUsage {
            share_per_mille: GUARANTEED_SHARE,
            in_flight: running.count() as u32,
            is_waiting: classes.any(|class| class.waiting() > 0),
        }
    }

    fn remove_running(&mut self, id: RequestId) -> Option<Running> {
        let index = self.running.binary_search_by_key(&id, |running| running.id);
        Some(self.running.remove(index.ok()?))
    }

    fn remove_waiting(&mut self, id: RequestId) {
        for class in &mut self.classes {
            class.timely.remove_request(id);
            class.late.remove_request(id);
        }
    }
}

/// Returns until when a request that arrived at `arrived` must start to be answered within
/// `limit_ms`.
///
/// The time left for the answer is enough for nine of ten requests, but at most half of the limit:
/// while the estimate is high, requests of this kind would otherwise all count as late, and those of
/// other kinds would start first.
fn latest_start(arrived: TimeMs, limit_ms: DurationMs, upper_estimate_ms: DurationMs) -> TimeMs {
    let margin_ms = (upper_estimate_ms.get() * 3 / 2).min(limit_ms.get() / 2);
    arrived + limit_ms - DurationMs(margin_ms)
}

impl Class {
    fn new((urgency, kind): (Urgency, WorkKind)) -> Self {
        Self {
            urgency,
            kind,
            timely: Queue::default(),
            late: Queue::default(),
        }
    }

    fn waiting(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    fn pop(&mut self) -> Option<QueuedRequest> {
        self.timely.pop().or_else(|| self.late.pop())
    }

    /// Moves requests that can no longer meet their objective to the late ones, and discards those
    /// that cannot meet their deadline.
    fn expire(&mut self, now: TimeMs, service_time_ms: DurationMs, out: &mut Vec<SlotAction>) {
        while let Some(request) = self.timely.pop_expired(now) {
            let deadline_ms = request.deadline.since(request.arrived);
            self.late.push(QueuedRequest {
                wait_limit: latest_start(request.arrived, deadline_ms, service_time_ms),
                ..request
            });
        }
        while let Some(request) = self.late.pop_expired(now) {
            out.push(SlotAction::Discard { id: request.id });
        }
    }
}
