//! Admission controller of one upstream: queues requests by kind of work and starts them within the
//! slots.

use std::collections::{BTreeSet, HashMap};

use displaydoc::Display;
use hawthorntide_types::{
    DurationMs, PerMille, Profile, ResultCode, SlotCount, TimeMs, Treatment, WorkKind,
};

use crate::crowding::CrowdingDetector;
use crate::flow_limiter::FlowRateLimiter;
use crate::hash::FixedState;
use crate::queue::{Queue, QueuedRequest, Ticket};
use crate::service_time::ServiceTimeEstimate;
use crate::shares::{FairShares, KindUsage};
use crate::window::ConcurrencyLimit;

/// Maximum length of the queue of one kind; bounds its memory.
const MAX_WAITING_PER_KIND: usize = 16_384;
/// Maximum number of open streams; about ten times the flows of an upstream.
const MAX_OPEN_STREAMS: usize = 20_000;
/// Queued requests may still start for this long after the start of a drain. An upstream must get
/// its last new work within 3 s of the start, and announcing the drain takes part of that time.
const DRAIN_QUEUE_MS: u64 = 1500;

/// Identifier of a request, unique within one agent.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[displaydoc("{0}")]
pub struct RequestId(pub u64);

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The upstream sent a complete answer.
    Answered,
    /// The upstream failed, was lost or sent an incomplete answer.
    Failed,
    /// The call to the upstream was cancelled.
    Cancelled,
}

/// Input event of the state machine.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A request arrived.
    Arrived {
        id: RequestId,
        kind: WorkKind,
        /// Time from now until the caller's deadline, if it has set one.
        deadline_ms: Option<DurationMs>,
    },
    /// A started request ended and no longer uses the upstream.
    Finished {
        id: RequestId,
        completion: Completion,
    },
    /// The upstream refused a started request without running it.
    Shed {
        id: RequestId,
    },
    /// The caller cancelled the request.
    Cancelled {
        id: RequestId,
    },
    /// Time has passed; needed at least every 50 ms while requests wait or run.
    Tick,
    ProfileChanged {
        profile: Profile,
    },
    /// The number of slots of the upstream changed.
    SlotsChanged {
        slots: SlotCount,
    },
    /// The upstream drains: new requests are refused.
    DrainBegan,
}

/// Output action of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Send the request to the upstream.
    Start {
        id: RequestId,
        /// Time by which the answer must be complete.
        deadline: TimeMs,
    },
    /// Report to the caller that the request was not run.
    Refuse {
        id: RequestId,
        /// Reason; always a code that means "not run".
        code: ResultCode,
    },
    /// Cancel the call to the upstream and report `Finished` once it is closed. The request keeps
    /// its slot until then.
    CancelUpstream {
        id: RequestId,
        /// Result for the caller; it is unknown whether the work ran.
        code: ResultCode,
    },
    /// The service became calm or crowded, and the other treatment of its profile is in force.
    CrowdingChanged { crowded: bool },
}

/// Load of the upstream as reported to siblings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdmissionLoad {
    /// Requests that hold a slot.
    pub in_flight: u32,
    pub open_streams: u32,
    pub waiting: u32,
    /// Queue delay of the last crowding window: the highest of the minimum delays of the kinds.
    pub queue_delay_ms: DurationMs,
    pub slots: SlotCount,
}

#[derive(Clone, Copy, Debug)]
enum RequestState {
    Queued(Ticket),
    Running {
        started: TimeMs,
        deadline: TimeMs,
        is_cancelled: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    kind: WorkKind,
    state: RequestState,
}

#[derive(Clone, Debug, Default)]
struct KindState {
    queue: Queue,
    service_time: ServiceTimeEstimate,
    in_flight: u32,
}

/// Admission controller of one upstream.
#[derive(Clone, Debug)]
pub struct AdmissionMachine {
    profile: Profile,
    limit: ConcurrencyLimit,
    crowding: CrowdingDetector,
    shares: FairShares,
    kinds: [KindState; WorkKind::ALL.len()],
    flow_limiter: FlowRateLimiter,
    requests: HashMap<RequestId, Request, FixedState>,
    deadlines: BTreeSet<(TimeMs, RequestId)>,
    slots: SlotCount,
    draining_since: Option<TimeMs>,
    shed_count: u64,
}

impl AdmissionMachine {
    pub fn new(profile: Profile, slots: SlotCount) -> Self {
        Self {
            limit: ConcurrencyLimit::new(slots),
            crowding: CrowdingDetector::new(profile.target_delay_ms),
            profile,
            shares: FairShares::default(),
            kinds: Default::default(),
            flow_limiter: FlowRateLimiter::default(),
            requests: HashMap::default(),
            deadlines: BTreeSet::new(),
            slots,
            draining_since: None,
            shed_count: 0,
        }
    }

    /// Processes `event` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: TimeMs, event: AdmissionEvent, out: &mut Vec<AdmissionAction>) {
        self.advance(now);
        match event {
            AdmissionEvent::Arrived {
                id,
                kind,
                deadline_ms,
            } => self.on_arrived(now, id, kind, deadline_ms, out),
            AdmissionEvent::Finished { id, completion } => self.on_finished(now, id, completion),
            AdmissionEvent::Shed { id } => self.on_shed(now, id, out),
            AdmissionEvent::Cancelled { id } => self.on_cancelled(id, out),
            AdmissionEvent::Tick => {}
            AdmissionEvent::ProfileChanged { profile } => self.on_profile_changed(profile, out),
            AdmissionEvent::SlotsChanged { slots } => {
                self.slots = slots;
                self.limit.set_slots(slots);
            }
            AdmissionEvent::DrainBegan => {
                self.draining_since.get_or_insert(now);
            }
        }
        self.expire(now, out);
        self.start_queued(now, out);
        self.update_crowding(now, out);
    }

    pub fn load(&self) -> AdmissionLoad {
        AdmissionLoad {
            in_flight: self.in_flight(),
            open_streams: self.kinds[WorkKind::Stream as usize].in_flight,
            waiting: self.kinds.iter().map(|kind| kind.queue.len() as u32).sum(),
            queue_delay_ms: self.crowding.delay_ms(),
            slots: self.slots,
        }
    }

    /// Returns whether the crowded treatments of the profile are in force.
    pub fn is_crowded(&self) -> bool {
        self.crowding.is_crowded()
    }

    /// Returns whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests that the upstream has shed so far.
    pub fn shed_count(&self) -> u64 {
        self.shed_count
    }

    /// Returns the treatment of `kind` that is in force, or `None` if the profile has no such work.
    pub fn treatment(&self, kind: WorkKind) -> Option<&Treatment> {
        let work = self.profile.work(kind)?;
        Some(if self.crowding.is_crowded() {
            &work.crowded
        } else {
            &work.calm
        })
    }

    fn in_flight(&self) -> u32 {
        let takes_slot = |kind: &&WorkKind| takes_slot(**kind);
        let kinds = WorkKind::ALL.iter().filter(takes_slot);
        kinds.map(|kind| self.kinds[*kind as usize].in_flight).sum()
    }

    fn advance(&mut self, now: TimeMs) {
        self.limit.advance(now);
        let usage = WorkKind::ALL.map(|kind| self.usage_of(kind));
        self.shares
            .advance(now, self.limit.slots_without_backoff(), usage);
    }

    fn usage_of(&self, kind: WorkKind) -> KindUsage {
        if !takes_slot(kind) {
            return KindUsage::default();
        }
        let state = &self.kinds[kind as usize];
        let share = self
            .treatment(kind)
            .map(|treatment| treatment.share_per_mille);
        KindUsage {
            share_per_mille: share.unwrap_or(PerMille(0)),
            in_flight: state.in_flight,
            is_waiting: !state.queue.is_empty(),
        }
    }

    fn on_arrived(
        &mut self,
        now: TimeMs,
        id: RequestId,
        kind: WorkKind,
        deadline_ms: Option<DurationMs>,
        out: &mut Vec<AdmissionAction>,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        let Some(&treatment) = self.treatment(kind) else {
            out.push(AdmissionAction::Refuse {
                id,
                code: ResultCode::NotRunNoProfile,
            });
            return;
        };
        let allowed_ms = deadline_ms.map_or(treatment.deadline_ms, |requested| {
            requested.min(treatment.deadline_ms)
        });
        let queued = QueuedRequest {
            id,
            arrived: now,
            wait_limit: now + treatment.queue_wait_ms,
            deadline: now + allowed_ms,
        };
        if let Some(code) = self.refusal_on_arrival(now, kind, &treatment, &queued) {
            out.push(AdmissionAction::Refuse { id, code });
            return;
        }
        if !takes_slot(kind) {
            self.start(now, kind, &queued, out);
            return;
        }
        let ticket = self.kinds[kind as usize].queue.push(queued);
        let state = RequestState::Queued(ticket);
        self.requests.insert(id, Request { kind, state });
    }

    fn refusal_on_arrival(
        &mut self,
        now: TimeMs,
        kind: WorkKind,
        treatment: &Treatment,
        queued: &QueuedRequest,
    ) -> Option<ResultCode> {
        if self.draining_since.is_some() {
            return Some(ResultCode::NotRunDraining);
        }
        let state = &self.kinds[kind as usize];
        if !takes_slot(kind) {
            if now >= queued.deadline {
                return Some(ResultCode::NotRunDeadline);
            }
            let is_full = state.in_flight as usize >= MAX_OPEN_STREAMS;
            let is_limited = is_full
                || !self
                    .flow_limiter
                    .try_acquire(now, treatment.new_flows_per_second);
            return is_limited.then_some(ResultCode::NotRunLimited);
        }
        if let Some(code) = queued.refusal(now, state.service_time.upper_estimate_ms(now)) {
            return Some(code);
        }
        let is_full = state.queue.len() >= MAX_WAITING_PER_KIND;
        // A request that would be refused after its queue wait is refused at once.
        let exceeds_wait_limit = self.expected_wait_ms(now, kind) > treatment.queue_wait_ms;
        (is_full || exceeds_wait_limit).then_some(ResultCode::NotRunLimited)
    }

    /// Returns how long it takes to serve the queue of `kind` with the slots that are available to
    /// it: its share or, while no other kind waits, the slots that the other kinds leave unused,
    /// whichever is more.
    fn expected_wait_ms(&self, now: TimeMs, kind: WorkKind) -> DurationMs {
        let state = &self.kinds[kind as usize];
        let slots = u64::from(self.limit.slots_without_backoff());
        let is_other = |other: &WorkKind| *other != kind && takes_slot(*other);
        let others = || WorkKind::ALL.into_iter().filter(is_other);
        let share = self.usage_of(kind).share_per_mille;
        let share_milli_slots = slots * u64::from(share.get());
        let is_contended = others().any(|other| !self.kinds[other as usize].queue.is_empty());
        let usable_milli_slots = if is_contended {
            share_milli_slots
        } else {
            let others_in_flight: u64 = others()
                .map(|other| u64::from(self.kinds[other as usize].in_flight))
                .sum();
            share_milli_slots.max(slots.saturating_sub(others_in_flight) * 1000)
        };
        let requests = state.queue.len() as u64;
        state
            .service_time
            .total_time_ms(now, requests, usable_milli_slots)
    }

    fn start(
        &mut self,
        now: TimeMs,
        kind: WorkKind,
        queued: &QueuedRequest,
        out: &mut Vec<AdmissionAction>,
    ) {
        let id = queued.id;
        let deadline = queued.deadline;
        let state = RequestState::Running {
            started: now,
            deadline,
            is_cancelled: false,
        };
        self.requests.insert(id, Request { kind, state });
        self.deadlines.insert((deadline, id));
        self.kinds[kind as usize].in_flight += 1;
        out.push(AdmissionAction::Start { id, deadline });
    }

    fn on_finished(&mut self, now: TimeMs, id: RequestId, completion: Completion) {
        let Some((kind, started)) = self.release(id) else {
            return;
        };
        if completion == Completion::Answered {
            self.kinds[kind as usize]
                .service_time
                .observe(now, now.since(started));
            if takes_slot(kind) {
                self.limit.record_answer();
            }
        }
    }

    fn on_shed(&mut self, now: TimeMs, id: RequestId, out: &mut Vec<AdmissionAction>) {
        let is_cancelled = self.is_cancelled(id);
        let Some((kind, _)) = self.release(id) else {
            return;
        };
        self.shed_count += 1;
        if takes_slot(kind) {
            self.limit.record_shed(now, self.in_flight());
        }
        // The caller of a cancelled request already has its result.
        if !is_cancelled {
            out.push(AdmissionAction::Refuse {
                id,
                code: ResultCode::NotRunShed,
            });
        }
    }

    fn is_cancelled(&self, id: RequestId) -> bool {
        let state = self.requests.get(&id).map(|request| request.state);
        matches!(
            state,
            Some(RequestState::Running {
                is_cancelled: true,
                ..
            })
        )
    }

    /// Removes a running request, which frees its slot; returns its kind and start time.
    fn release(&mut self, id: RequestId) -> Option<(WorkKind, TimeMs)> {
        let request = *self.requests.get(&id)?;
        let RequestState::Running {
            started, deadline, ..
        } = request.state
        else {
            return None;
        };
        self.requests.remove(&id);
        self.deadlines.remove(&(deadline, id));
        self.kinds[request.kind as usize].in_flight -= 1;
        Some((request.kind, started))
    }

    fn on_cancelled(&mut self, id: RequestId, out: &mut Vec<AdmissionAction>) {
        let Some(request) = self.requests.get(&id).copied() else {
            return;
        };
        match request.state {
            RequestState::Queued(ticket) => {
                self.requests.remove(&id);
                self.kinds[request.kind as usize].queue.remove(ticket);
                out.push(AdmissionAction::Refuse {
                    id,
                    code: ResultCode::NotRunCancelled,
                });
            }
            RequestState::Running { .. } => self.cancel_call(id, ResultCode::UnknownCancelled, out),
        }
    }

    fn cancel_call(&mut self, id: RequestId, code: ResultCode, out: &mut Vec<AdmissionAction>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let RequestState::Running {
            deadline,
            is_cancelled,
            ..
        } = &mut request.state
        else {
            return;
        };
        self.deadlines.remove(&(*deadline, id));
        if !*is_cancelled {
            *is_cancelled = true;
            out.push(AdmissionAction::CancelUpstream { id, code });
        }
    }

    fn on_profile_changed(&mut self, profile: Profile, out: &mut Vec<AdmissionAction>) {
        self.crowding.set_target(profile.target_delay_ms);
        self.profile = profile;
        for kind in WorkKind::ALL {
            if self.profile.work(kind).is_none() {
                self.refuse_all(kind, ResultCode::NotRunNoProfile, out);
            }
        }
    }

    fn refuse_all(&mut self, kind: WorkKind, code: ResultCode, out: &mut Vec<AdmissionAction>) {
        while let Some(queued) = self.kinds[kind as usize].queue.pop() {
            self.requests.remove(&queued.id);
            out.push(AdmissionAction::Refuse {
                id: queued.id,
                code,
            });
        }
    }

    fn expire(&mut self, now: TimeMs, out: &mut Vec<AdmissionAction>) {
        for kind in WorkKind::ALL {
            self.expire_queued(now, kind, out);
        }
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if now < deadline {
                break;
            }
            self.cancel_call(id, ResultCode::UnknownDeadline, out);
        }
        let Some(draining_since) = self.draining_since else {
            return;
        };
        if now.since(draining_since).get() >= DRAIN_QUEUE_MS {
            for kind in WorkKind::ALL {
                self.refuse_all(kind, ResultCode::NotRunDraining, out);
            }
        }
    }

    fn expire_queued(&mut self, now: TimeMs, kind: WorkKind, out: &mut Vec<AdmissionAction>) {
        while let Some(queued) = self.kinds[kind as usize].queue.pop_expired(now) {
            self.crowding.observe(kind, now.since(queued.arrived));
            self.requests.remove(&queued.id);
            let code = queued
                .refusal(now, DurationMs(0))
                .unwrap_or(ResultCode::NotRunQueueWait);
            out.push(AdmissionAction::Refuse {
                id: queued.id,
                code,
            });
        }
    }

    fn start_queued(&mut self, now: TimeMs, out: &mut Vec<AdmissionAction>) {
        while self.in_flight() < self.limit.usable_slots(now) {
            let Some(kind) = self.next_kind() else {
                return;
            };
            let state = &mut self.kinds[kind as usize];
            let service_time_ms = state.service_time.upper_estimate_ms(now);
            let Some(queued) = state.queue.pop() else {
                return;
            };
            self.crowding.observe(kind, now.since(queued.arrived));
            if let Some(code) = queued.refusal(now, service_time_ms) {
                self.requests.remove(&queued.id);
                out.push(AdmissionAction::Refuse {
                    id: queued.id,
                    code,
                });
                continue;
            }
            self.start(now, kind, &queued, out);
        }
    }

    /// Returns the kind to serve next: kinds below their share first, then by urgency, then by
    /// credit.
    fn next_kind(&self) -> Option<WorkKind> {
        let kinds = WorkKind::ALL
            .into_iter()
            .filter(|kind| !self.kinds[*kind as usize].queue.is_empty());
        kinds.max_by_key(|kind| {
            let urgency = self.treatment(*kind).map(|treatment| treatment.urgency);
            let is_below_share = self.shares.is_below_share(*kind);
            (is_below_share, urgency, self.shares.credit(*kind))
        })
    }

    fn update_crowding(&mut self, now: TimeMs, out: &mut Vec<AdmissionAction>) {
        if !self.crowding.is_window_over(now) {
            return;
        }
        let oldest_age_ms = WorkKind::ALL.map(|kind| {
            let oldest = self.kinds[kind as usize].queue.oldest()?;
            Some(now.since(oldest.arrived))
        });
        if self.crowding.end_window(now, oldest_age_ms) {
            out.push(AdmissionAction::CrowdingChanged {
                crowded: self.crowding.is_crowded(),
            });
        }
    }
}

/// Streams hold no slot between messages; they are admitted by the rate limit for new flows.
const fn takes_slot(kind: WorkKind) -> bool {
    !matches!(kind, WorkKind::Stream)
}
