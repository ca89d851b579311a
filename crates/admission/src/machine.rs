//! Admission of work to the slots of one upstream.

use std::collections::{BTreeSet, HashMap};

use displaydoc::Display;
use hawthorntide_types::{
    DurationMs, PerMille, Profile, ResultCode, SlotCount, TimeMs, Treatment, WorkKind,
};

use crate::crowding::Crowding;
use crate::estimate::ServiceTime;
use crate::flows::FlowLimit;
use crate::hash::FixedState;
use crate::queue::{Queue, Ticket, Waiting};
use crate::shares::{Shares, Use};
use crate::window::SlotWindow;

/// Requests that one kind may have waiting; bounds the memory of the queue.
const MAX_WAITING_PER_KIND: usize = 16_384;
/// Streams that may be open; about ten times the flows of an upstream.
const MAX_OPEN_STREAMS: usize = 20_000;
/// Queued work starts within this time of a drain or not at all, so that an upstream receives its
/// last new work within 3 s of the drain, the announcement included.
const DRAIN_QUEUE_MS: u64 = 1500;

/// Number of a request, unique within one agent.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[displaydoc("{0}")]
pub struct RequestId(pub u64);

/// How a request that was handed to the upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The upstream gave a whole answer.
    Answered,
    /// The upstream failed, was lost or gave a part of an answer.
    Failed,
    /// The call was cancelled towards the upstream.
    Cancelled,
}

/// Input of the machine.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A request arrived.
    Arrived {
        /// Number of the request.
        id: RequestId,
        /// Kind of work.
        kind: WorkKind,
        /// Time that the caller allows from now on, if it names one.
        deadline_ms: Option<DurationMs>,
    },
    /// A started request ended and no longer uses the upstream.
    Finished {
        /// Number of the request.
        id: RequestId,
        /// How it ended.
        completion: Completion,
    },
    /// The upstream refused a started request without running it.
    Shed {
        /// Number of the request.
        id: RequestId,
    },
    /// The caller no longer wants the answer.
    Cancelled {
        /// Number of the request.
        id: RequestId,
    },
    /// Time passed; due at least every 50 ms while work waits or runs.
    Tick,
    /// The profile changed.
    ProfileChanged {
        /// Profile in force from now on.
        profile: Profile,
    },
    /// The upstream has another number of slots.
    SlotsChanged {
        /// Number of slots.
        slots: SlotCount,
    },
    /// The upstream drains: no new work is accepted.
    DrainBegan,
}

/// Output of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Hand the request to the upstream.
    Start {
        /// Number of the request.
        id: RequestId,
        /// Time at which the answer has to be complete.
        deadline: TimeMs,
    },
    /// Tell the caller that the request was not run.
    Refuse {
        /// Number of the request.
        id: RequestId,
        /// Reason; its work was not run.
        code: ResultCode,
    },
    /// Cancel the call to the upstream and report it with `Finished` once it is closed. The slot
    /// stays taken until then.
    CancelUpstream {
        /// Number of the request.
        id: RequestId,
        /// Result for the caller; whether the work ran is unknown.
        code: ResultCode,
    },
    /// Another half of the profile is in force.
    CrowdingChanged {
        /// Whether the service counts as crowded.
        crowded: bool,
    },
}

/// Load as reported to siblings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdmissionLoad {
    /// Requests that use a slot.
    pub in_flight: u32,
    /// Streams that are open.
    pub open_streams: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Delay of the queue in the last window.
    pub queue_delay_ms: DurationMs,
    /// Slots of the upstream.
    pub slots: SlotCount,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Queued(Ticket),
    Running {
        started: TimeMs,
        deadline: TimeMs,
        cancelled: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    kind: WorkKind,
    place: Place,
}

#[derive(Clone, Debug, Default)]
struct KindState {
    queue: Queue,
    service: ServiceTime,
    in_flight: u32,
}

/// Queues work by kind and starts it within the slots of the upstream.
#[derive(Clone, Debug)]
pub struct AdmissionMachine {
    profile: Profile,
    window: SlotWindow,
    crowding: Crowding,
    shares: Shares,
    kinds: [KindState; WorkKind::ALL.len()],
    flows: FlowLimit,
    requests: HashMap<RequestId, Request, FixedState>,
    deadlines: BTreeSet<(TimeMs, RequestId)>,
    slots: SlotCount,
    draining_since: Option<TimeMs>,
    shed_count: u64,
}

impl AdmissionMachine {
    /// Creates a machine for an upstream with `slots` that follows `profile`.
    pub fn new(profile: Profile, slots: SlotCount) -> Self {
        Self {
            window: SlotWindow::new(slots),
            crowding: Crowding::new(profile.target_delay_ms),
            profile,
            shares: Shares::default(),
            kinds: Default::default(),
            flows: FlowLimit::default(),
            requests: HashMap::default(),
            deadlines: BTreeSet::new(),
            slots,
            draining_since: None,
            shed_count: 0,
        }
    }

    /// Takes in `event` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: TimeMs, event: AdmissionEvent, out: &mut Vec<AdmissionAction>) {
        self.advance(now);
        match event {
            AdmissionEvent::Arrived {
                id,
                kind,
                deadline_ms,
            } => self.arrive(now, id, kind, deadline_ms, out),
            AdmissionEvent::Finished { id, completion } => self.finished(now, id, completion),
            AdmissionEvent::Shed { id } => self.shed(now, id, out),
            AdmissionEvent::Cancelled { id } => self.cancelled(id, out),
            AdmissionEvent::Tick => {}
            AdmissionEvent::ProfileChanged { profile } => self.profile_changed(profile, out),
            AdmissionEvent::SlotsChanged { slots } => {
                self.slots = slots;
                self.window.set_slots(slots);
            }
            AdmissionEvent::DrainBegan => {
                self.draining_since.get_or_insert(now);
            }
        }
        self.expire(now, out);
        self.start_waiting(now, out);
        self.update_crowding(now, out);
    }

    /// Returns the load for reports to siblings.
    pub fn load(&self) -> AdmissionLoad {
        AdmissionLoad {
            in_flight: self.in_flight(),
            open_streams: self.kinds[WorkKind::Stream as usize].in_flight,
            waiting: self.kinds.iter().map(|kind| kind.queue.len() as u32).sum(),
            queue_delay_ms: self.crowding.delay_ms(),
            slots: self.slots,
        }
    }

    /// Returns whether the crowded half of the profile is in force.
    pub fn is_crowded(&self) -> bool {
        self.crowding.is_crowded()
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how many requests the upstream has shed.
    pub fn shed_count(&self) -> u64 {
        self.shed_count
    }

    /// Returns the treatment of `kind` that is in force.
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
        self.window.advance(now);
        let used = WorkKind::ALL.map(|kind| self.use_of(kind));
        self.shares.advance(now, self.window.size(), used);
    }

    fn use_of(&self, kind: WorkKind) -> Use {
        if !takes_slot(kind) {
            return Use::default();
        }
        let state = &self.kinds[kind as usize];
        let share = self
            .treatment(kind)
            .map(|treatment| treatment.share_per_mille);
        Use {
            share_per_mille: share.unwrap_or(PerMille(0)),
            in_flight: state.in_flight,
            is_waiting: !state.queue.is_empty(),
        }
    }

    fn arrive(
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
        let allowed_ms = deadline_ms.map_or(treatment.deadline_ms, |named| {
            named.min(treatment.deadline_ms)
        });
        let waiting = Waiting {
            id,
            arrived: now,
            longest_wait: now + treatment.queue_wait_ms,
            deadline: now + allowed_ms,
        };
        if let Some(code) = self.refusal_on_arrival(now, kind, &treatment, &waiting) {
            out.push(AdmissionAction::Refuse { id, code });
            return;
        }
        if !takes_slot(kind) {
            self.start(now, kind, &waiting, out);
            return;
        }
        let ticket = self.kinds[kind as usize].queue.push(waiting);
        let place = Place::Queued(ticket);
        self.requests.insert(id, Request { kind, place });
    }

    fn refusal_on_arrival(
        &mut self,
        now: TimeMs,
        kind: WorkKind,
        treatment: &Treatment,
        waiting: &Waiting,
    ) -> Option<ResultCode> {
        if self.draining_since.is_some() {
            return Some(ResultCode::NotRunDraining);
        }
        let state = &self.kinds[kind as usize];
        if !takes_slot(kind) {
            if now >= waiting.deadline {
                return Some(ResultCode::NotRunDeadline);
            }
            let is_full = state.in_flight as usize >= MAX_OPEN_STREAMS;
            let is_limited = is_full || !self.flows.take(now, treatment.new_flows_per_second);
            return is_limited.then_some(ResultCode::NotRunLimited);
        }
        if let Some(code) = waiting.refusal(now, state.service.likely_ms(now)) {
            return Some(code);
        }
        let is_full = state.queue.len() >= MAX_WAITING_PER_KIND;
        // A request that would only wait for its refusal is refused at once.
        let is_hopeless = self.expected_wait_ms(now, kind) > treatment.queue_wait_ms;
        (is_full || is_hopeless).then_some(ResultCode::NotRunLimited)
    }

    /// Returns how long the queue of `kind` takes with the slots that it surely gets.
    fn expected_wait_ms(&self, now: TimeMs, kind: WorkKind) -> DurationMs {
        let state = &self.kinds[kind as usize];
        let slots = u64::from(self.window.size());
        let is_other = |other: &WorkKind| *other != kind && takes_slot(*other);
        let others = || WorkKind::ALL.into_iter().filter(is_other);
        let share = self.use_of(kind).share_per_mille;
        let own_milli = slots * u64::from(share.get());
        let is_contended = others().any(|other| !self.kinds[other as usize].queue.is_empty());
        let milli_slots = if is_contended {
            own_milli
        } else {
            let taken: u64 = others()
                .map(|other| u64::from(self.kinds[other as usize].in_flight))
                .sum();
            own_milli.max(slots.saturating_sub(taken) * 1000)
        };
        let requests = state.queue.len() as u64;
        state.service.time_for_ms(now, requests, milli_slots)
    }

    fn start(
        &mut self,
        now: TimeMs,
        kind: WorkKind,
        waiting: &Waiting,
        out: &mut Vec<AdmissionAction>,
    ) {
        let id = waiting.id;
        let deadline = waiting.deadline;
        let place = Place::Running {
            started: now,
            deadline,
            cancelled: false,
        };
        self.requests.insert(id, Request { kind, place });
        self.deadlines.insert((deadline, id));
        self.kinds[kind as usize].in_flight += 1;
        out.push(AdmissionAction::Start { id, deadline });
    }

    fn finished(&mut self, now: TimeMs, id: RequestId, completion: Completion) {
        let Some((kind, started)) = self.release(id) else {
            return;
        };
        if completion == Completion::Answered {
            self.kinds[kind as usize]
                .service
                .observe(now, now.since(started));
            if takes_slot(kind) {
                self.window.answered();
            }
        }
    }

    fn shed(&mut self, now: TimeMs, id: RequestId, out: &mut Vec<AdmissionAction>) {
        let cancelled = self.is_cancelled(id);
        let Some((kind, _)) = self.release(id) else {
            return;
        };
        self.shed_count += 1;
        if takes_slot(kind) {
            self.window.shed(now, self.in_flight());
        }
        // The result of a cancelled request was given with its cancellation.
        if !cancelled {
            out.push(AdmissionAction::Refuse {
                id,
                code: ResultCode::NotRunShed,
            });
        }
    }

    fn is_cancelled(&self, id: RequestId) -> bool {
        let place = self.requests.get(&id).map(|request| request.place);
        matches!(
            place,
            Some(Place::Running {
                cancelled: true,
                ..
            })
        )
    }

    /// Forgets a running request and frees its slot.
    fn release(&mut self, id: RequestId) -> Option<(WorkKind, TimeMs)> {
        let request = *self.requests.get(&id)?;
        let Place::Running {
            started, deadline, ..
        } = request.place
        else {
            return None;
        };
        self.requests.remove(&id);
        self.deadlines.remove(&(deadline, id));
        self.kinds[request.kind as usize].in_flight -= 1;
        Some((request.kind, started))
    }

    fn cancelled(&mut self, id: RequestId, out: &mut Vec<AdmissionAction>) {
        let Some(request) = self.requests.get(&id).copied() else {
            return;
        };
        match request.place {
            Place::Queued(ticket) => {
                self.requests.remove(&id);
                self.kinds[request.kind as usize].queue.remove(ticket);
                out.push(AdmissionAction::Refuse {
                    id,
                    code: ResultCode::NotRunCancelled,
                });
            }
            Place::Running { .. } => self.cancel_running(id, ResultCode::UnknownCancelled, out),
        }
    }

    fn cancel_running(&mut self, id: RequestId, code: ResultCode, out: &mut Vec<AdmissionAction>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Place::Running {
            deadline,
            cancelled,
            ..
        } = &mut request.place
        else {
            return;
        };
        self.deadlines.remove(&(*deadline, id));
        if !*cancelled {
            *cancelled = true;
            out.push(AdmissionAction::CancelUpstream { id, code });
        }
    }

    fn profile_changed(&mut self, profile: Profile, out: &mut Vec<AdmissionAction>) {
        self.crowding.set_target(profile.target_delay_ms);
        self.profile = profile;
        for kind in WorkKind::ALL {
            if self.profile.work(kind).is_none() {
                self.refuse_all(kind, ResultCode::NotRunNoProfile, out);
            }
        }
    }

    fn refuse_all(&mut self, kind: WorkKind, code: ResultCode, out: &mut Vec<AdmissionAction>) {
        while let Some(waiting) = self.kinds[kind as usize].queue.pop() {
            self.requests.remove(&waiting.id);
            out.push(AdmissionAction::Refuse {
                id: waiting.id,
                code,
            });
        }
    }

    fn expire(&mut self, now: TimeMs, out: &mut Vec<AdmissionAction>) {
        for kind in WorkKind::ALL {
            self.expire_waiting(now, kind, out);
        }
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if now < deadline {
                break;
            }
            self.cancel_running(id, ResultCode::UnknownDeadline, out);
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

    fn expire_waiting(&mut self, now: TimeMs, kind: WorkKind, out: &mut Vec<AdmissionAction>) {
        while let Some(waiting) = self.kinds[kind as usize].queue.pop_expired(now) {
            self.crowding.observe(kind, now.since(waiting.arrived));
            self.requests.remove(&waiting.id);
            let code = waiting
                .refusal(now, DurationMs(0))
                .unwrap_or(ResultCode::NotRunQueueWait);
            out.push(AdmissionAction::Refuse {
                id: waiting.id,
                code,
            });
        }
    }

    fn start_waiting(&mut self, now: TimeMs, out: &mut Vec<AdmissionAction>) {
        while self.in_flight() < self.window.usable(now) {
            let Some(kind) = self.next_kind() else {
                return;
            };
            let state = &mut self.kinds[kind as usize];
            let likely_ms = state.service.likely_ms(now);
            let Some(waiting) = state.queue.pop() else {
                return;
            };
            self.crowding.observe(kind, now.since(waiting.arrived));
            if let Some(code) = waiting.refusal(now, likely_ms) {
                self.requests.remove(&waiting.id);
                out.push(AdmissionAction::Refuse {
                    id: waiting.id,
                    code,
                });
                continue;
            }
            self.start(now, kind, &waiting, out);
        }
    }

    /// Returns the kind that is served next: kinds below their share first, then by urgency.
    fn next_kind(&self) -> Option<WorkKind> {
        let waiting = WorkKind::ALL
            .into_iter()
            .filter(|kind| !self.kinds[*kind as usize].queue.is_empty());
        waiting.max_by_key(|kind| {
            let urgency = self.treatment(*kind).map(|treatment| treatment.urgency);
            let is_below_share = self.shares.is_below_share(*kind);
            (is_below_share, urgency, self.shares.credit(*kind))
        })
    }

    fn update_crowding(&mut self, now: TimeMs, out: &mut Vec<AdmissionAction>) {
        if !self.crowding.is_due(now) {
            return;
        }
        let oldest_ms = WorkKind::ALL.map(|kind| {
            let oldest = self.kinds[kind as usize].queue.oldest()?;
            Some(now.since(oldest.arrived))
        });
        if self.crowding.close(now, oldest_ms) {
            out.push(AdmissionAction::CrowdingChanged {
                crowded: self.crowding.is_crowded(),
            });
        }
    }
}

/// Streams hold no slot between messages; the limit on new flows admits them.
const fn takes_slot(kind: WorkKind) -> bool {
    !matches!(kind, WorkKind::Stream)
}
