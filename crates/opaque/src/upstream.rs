//! What an agent knows of the health of its upstream, from heartbeats and from what passes.

use hawthorntide_types::{DurationMs, SlotCount, TimeMs, Weight};

use crate::record::UpstreamIncarnation;

/// Heartbeats of the upstream that may be missed before it gets no new flows.
const MISSED_HEARTBEATS: u64 = 3;

/// Time without a sign of life after a packet that asks for an answer after which the agent looks
/// whether the upstream still runs; most requests are answered sooner.
const SUSPECT_AFTER_MS: DurationMs = DurationMs(200);

/// Time between two looks.
const PROBE_INTERVAL_MS: DurationMs = DurationMs(500);

/// Opening packets in a row without an answer after which the upstream gets no new flows.
const MAX_UNANSWERED: u32 = 3;

/// Part of the failure rate that one request makes up, in thousandths: about twenty requests count.
const FAILURE_GAIN: u32 = 50;

/// Part of the failure rate that is left after each measurement, in thousandths: half of it goes in
/// six seconds, so that an upstream that recovered is tried again.
const FAILURE_DECAY: u32 = 972;

/// Failure rate in thousandths from which an upstream gets few new flows.
const FAILING_FROM: u32 = 100;

/// Part of the new flows of a failing upstream, which show whether it recovered.
const TRIAL_WEIGHT: Weight = Weight(50);

/// Slots of an upstream that has not told them yet.
const DEFAULT_SLOTS: u32 = 2;

/// What the upstream says of itself in a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamReport {
    /// Name that the upstream has at present.
    pub id: String,
    /// When the upstream started, in milliseconds of its clock; tells its lives apart.
    pub born_ms: u64,
    /// Position among the reports of one life.
    pub sequence: u64,
    /// The upstream is going to stop.
    pub is_draining: bool,
    /// Time for which the upstream is still slow after its start.
    pub cold_for_ms: u64,
    /// Requests that it works on at the same time.
    pub slots: SlotCount,
}

impl UpstreamReport {
    /// Returns whether this was said before `other` was.
    fn is_older_than(&self, other: &Self) -> bool {
        if self.born_ms != other.born_ms {
            return self.born_ms < other.born_ms;
        }
        self.id == other.id && self.sequence < other.sequence
    }

    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.born_ms == other.born_ms && self.id == other.id
    }
}

/// Place of a heartbeat among those before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReportKind {
    /// It was overtaken by a later one.
    Late,
    /// It is of the life that is known, or the first one at all.
    SameIncarnation,
    /// It is the first one of a new life.
    NewIncarnation,
}

/// Signs of life and failures of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHealth {
    heartbeat_ms: DurationMs,
    report: Option<UpstreamReport>,
    /// When the last heartbeat came, or the agent started.
    last_report: TimeMs,
    /// Opening packets in a row without an answer.
    unanswered: u32,
    /// Requests that the upstream broke off, in thousandths of all, smoothed.
    failure_rate: u32,
    /// Since when a packet that asks for an answer was delivered without a sign of life after it.
    waiting_since: Option<TimeMs>,
    last_probe: Option<TimeMs>,
    /// The process of the upstream does not run.
    is_dead: bool,
}

impl UpstreamHealth {
    pub(crate) const fn new(now: TimeMs, heartbeat_ms: DurationMs) -> Self {
        Self {
            heartbeat_ms,
            report: None,
            last_report: now,
            unanswered: 0,
            failure_rate: 0,
            waiting_since: None,
            last_probe: None,
            is_dead: false,
        }
    }

    /// Notes a sign of life.
    pub(crate) const fn lives(&mut self) {
        self.unanswered = 0;
        self.waiting_since = None;
        self.is_dead = false;
    }

    /// Notes that a packet that asks for an answer was delivered.
    pub(crate) fn asked(&mut self, now: TimeMs) {
        self.waiting_since.get_or_insert(now);
    }

    /// Notes that an opening packet got no answer.
    pub(crate) const fn left_unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Returns whether a sign of life is waited for.
    pub(crate) const fn is_awaited(&self) -> bool {
        self.waiting_since.is_some() && !self.is_dead
    }

    pub(crate) const fn is_dead(&self) -> bool {
        self.is_dead
    }

    /// Notes that no process listens at the upstream's address; returns whether that ends its life.
    pub(crate) const fn end(&mut self) -> bool {
        // A sign of life may have come while the address was looked at.
        self.is_dead = self.waiting_since.is_some();
        self.is_dead
    }

    /// Returns whether to look now whether the upstream's process runs.
    pub(crate) fn should_be_probed(&mut self, now: TimeMs) -> bool {
        let is_silent = self
            .waiting_since
            .is_some_and(|since| now.since(since) >= SUSPECT_AFTER_MS);
        let is_due = self
            .last_probe
            .is_none_or(|last| now.since(last) >= PROBE_INTERVAL_MS);
        let should_be_probed = is_silent && is_due && !self.is_dead;
        if should_be_probed {
            self.last_probe = Some(now);
        }
        should_be_probed
    }

    /// Takes a heartbeat.
    pub(crate) fn take_report(&mut self, now: TimeMs, report: UpstreamReport) -> ReportKind {
        let known = self.report.as_ref();
        if known.is_some_and(|known| report.is_older_than(known)) {
            return ReportKind::Late;
        }
        let is_same_incarnation = known.is_none_or(|known| report.is_same_incarnation(known));
        self.last_report = now;
        self.lives();
        self.report = Some(report);
        if is_same_incarnation {
            ReportKind::SameIncarnation
        } else {
            ReportKind::NewIncarnation
        }
    }

    /// Returns the life that the upstream told.
    pub(crate) fn incarnation(&self) -> Option<UpstreamIncarnation> {
        let report = self.report.as_ref()?;
        Some(UpstreamIncarnation {
            id: report.id.clone(),
            born_ms: report.born_ms,
        })
    }

    /// Returns whether `id` is the name of the upstream, or may be.
    pub(crate) fn has_id(&self, id: &str) -> bool {
        self.report.as_ref().is_none_or(|report| report.id == id)
    }

    pub(crate) fn slots(&self) -> u32 {
        let slots = self.report.as_ref().map(|report| report.slots.get());
        slots.filter(|slots| *slots > 0).unwrap_or(DEFAULT_SLOTS)
    }

    /// Takes the outcome of a request into the failure rate.
    pub(crate) const fn count_request(&mut self, has_failed: bool) {
        let outcome = if has_failed { 1_000 } else { 0 };
        let kept = self.failure_rate * (1_000 - FAILURE_GAIN);
        self.failure_rate = (kept + outcome * FAILURE_GAIN) / 1_000;
    }

    /// Lets the failure rate decay; called once for each round of gossip.
    pub(crate) const fn measure(&mut self) {
        self.failure_rate = self.failure_rate * FAILURE_DECAY / 1_000;
    }

    /// Returns no weight for an upstream that shows no life, and little for one that fails requests,
    /// whatever it says of its health.
    pub(crate) fn weight(&self, now: TimeMs) -> Weight {
        let limit = DurationMs(self.heartbeat_ms.get() * MISSED_HEARTBEATS);
        let is_silent = now.since(self.last_report) > limit;
        if self.is_dead || is_silent || self.unanswered >= MAX_UNANSWERED {
            Weight::NONE
        } else if self.failure_rate >= FAILING_FROM {
            TRIAL_WEIGHT
        } else {
            Weight::FULL
        }
    }
}
