//! Health of an agent's upstream, derived from heartbeats and from observed packets.

use hawthorntide_types::{DurationMs, SlotCount, TimeMs, Weight};

use crate::record::UpstreamIncarnation;

/// An upstream gets no new flows after it misses this many heartbeats.
const MISSED_HEARTBEATS: u64 = 3;

/// The agent probes an upstream that shows no activity for this long after a packet that needs an
/// answer. Most requests are answered sooner.
const SUSPECT_AFTER_MS: DurationMs = DurationMs(200);

/// Time between two probes.
const PROBE_INTERVAL_MS: DurationMs = DurationMs(500);

/// The upstream gets no new flows after this many consecutive unanswered opening packets.
const MAX_UNANSWERED_OPENINGS: u32 = 3;

/// Weight of one request in the failure rate, per mille: about the last twenty requests count.
const FAILURE_GAIN: u32 = 50;

/// Decay factor of the failure rate per gossip round, per mille. The rate halves in six seconds, so
/// that a recovered upstream gets new flows again.
const FAILURE_DECAY: u32 = 972;

/// Failure rate, per mille, from which an upstream gets few new flows.
const FAILING_THRESHOLD: u32 = 100;

/// Weight of a failing upstream; the few flows that it gets show whether it has recovered.
const RECOVERY_WEIGHT: Weight = Weight(50);

/// Limit on the warm-up time that a heartbeat reports; a longer one is a mistake.
const MAX_COLD_MS: DurationMs = DurationMs(600_000);

/// Slots of an upstream before its first heartbeat.
const DEFAULT_SLOTS: u32 = 2;

/// Contents of a heartbeat of the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamReport {
    /// Name of the upstream in its current incarnation.
    pub id: String,
    /// Start time, in milliseconds of the upstream's clock; distinguishes its incarnations.
    pub born_ms: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// The upstream is about to stop.
    pub is_draining: bool,
    /// Remaining warm-up time, during which the upstream is slow.
    pub cold_for_ms: u64,
    /// Requests that the upstream processes concurrently.
    pub slots: SlotCount,
}

impl UpstreamReport {
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

/// How a heartbeat relates to the latest one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReportKind {
    /// Older than the latest heartbeat; it arrived out of order.
    Stale,
    /// From the known incarnation, or the first heartbeat at all.
    SameIncarnation,
    /// The first heartbeat of a new incarnation.
    NewIncarnation,
}

/// Heartbeat that is older than the latest one, although it may be from the upstream's present
/// incarnation.
#[derive(Clone, Debug)]
struct Contender {
    report: UpstreamReport,
    /// When the first of these heartbeats arrived.
    since: TimeMs,
}

/// Liveness and failure rate of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHealth {
    heartbeat_ms: DurationMs,
    /// Incarnation that the agent knew before it restarted.
    recorded: Option<UpstreamIncarnation>,
    report: Option<UpstreamReport>,
    contender: Option<Contender>,
    /// When the last heartbeat arrived or, before the first one, the agent started.
    last_report: TimeMs,
    /// Unanswered opening packets in a row.
    unanswered_openings: u32,
    /// Smoothed share of requests that the upstream aborted, per mille.
    failure_rate: u32,
    /// When the first packet that needs an answer was delivered since the last activity.
    waiting_since: Option<TimeMs>,
    last_probe: Option<TimeMs>,
    /// End of the warm-up time that the last heartbeat reported; `None` while no heartbeat tells it.
    cold_until: Option<TimeMs>,
    /// The upstream's address refused a connection.
    is_dead: bool,
}

impl UpstreamHealth {
    pub(crate) const fn new(now: TimeMs, heartbeat_ms: DurationMs) -> Self {
        Self {
            heartbeat_ms,
            recorded: None,
            report: None,
            contender: None,
            last_report: now,
            unanswered_openings: 0,
            failure_rate: 0,
            waiting_since: None,
            last_probe: None,
            cold_until: None,
            is_dead: false,
        }
    }

    /// Records a packet or heartbeat from the upstream.
    pub(crate) const fn record_activity(&mut self) {
        self.unanswered_openings = 0;
        self.waiting_since = None;
        self.is_dead = false;
    }

    /// Records the delivery of a packet that needs an answer.
    pub(crate) fn expect_answer(&mut self, now: TimeMs) {
        self.waiting_since.get_or_insert(now);
    }

    pub(crate) const fn record_unanswered_opening(&mut self) {
        self.unanswered_openings = self.unanswered_openings.saturating_add(1);
    }

    pub(crate) const fn is_answer_expected(&self) -> bool {
        self.waiting_since.is_some() && !self.is_dead
    }

    pub(crate) const fn is_dead(&self) -> bool {
        self.is_dead
    }

    /// Returns whether the upstream is or may be cold.
    pub(crate) fn is_cold(&self, now: TimeMs) -> bool {
        self.cold_until.is_none_or(|until| now < until)
    }

    /// Takes the upstream for cold until its next heartbeat: it may have become cold since the last one.
    pub(crate) const fn forget_temperature(&mut self) {
        self.cold_until = None;
    }

    /// Returns whether the upstream sends heartbeats, and its address has refused no connection since
    /// the last one.
    pub(crate) fn is_alive(&self, now: TimeMs) -> bool {
        !self.is_dead && !self.is_silent(now)
    }

    /// Records a refused probe; returns whether the upstream counts as dead.
    pub(crate) const fn mark_dead(&mut self) -> bool {
        // The upstream may have become active since the probe was sent.
        self.is_dead = self.waiting_since.is_some();
        self.is_dead
    }

    /// Returns whether a probe is due, and if so, records it as sent.
    pub(crate) fn should_be_probed(&mut self, now: TimeMs) -> bool {
        let is_overdue = self
            .waiting_since
            .is_some_and(|since| now.since(since) >= SUSPECT_AFTER_MS);
        let is_due = self
            .last_probe
            .is_none_or(|last| now.since(last) >= PROBE_INTERVAL_MS);
        let should_be_probed = is_overdue && is_due && !self.is_dead;
        if should_be_probed {
            self.last_probe = Some(now);
        }
        should_be_probed
    }

    pub(crate) fn apply_report(&mut self, now: TimeMs, report: UpstreamReport) -> ReportKind {
        if self.is_stale(now, &report) {
            return ReportKind::Stale;
        }
        let known = self.report.as_ref();
        let is_same_incarnation = known.is_none_or(|known| report.is_same_incarnation(known));
        self.last_report = now;
        let cold_for_ms = DurationMs(report.cold_for_ms).min(MAX_COLD_MS);
        self.cold_until = Some(now + cold_for_ms);
        self.contender = None;
        self.record_activity();
        self.report = Some(report);
        if is_same_incarnation {
            ReportKind::SameIncarnation
        } else {
            ReportKind::NewIncarnation
        }
    }

    /// Takes over the incarnation from the flow record. A heartbeat of an earlier one that arrived before
    /// the record was read is not in force any more.
    pub(crate) fn set_recorded(&mut self, now: TimeMs, recorded: UpstreamIncarnation) {
        if let Some(report) = self
            .report
            .take_if(|report| report.born_ms < recorded.born_ms)
        {
            self.contender = Some(Contender { report, since: now });
            self.cold_until = None;
        }
        self.recorded = Some(recorded);
    }

    /// Returns whether the report is older than the latest one or, before the first one, of an earlier
    /// incarnation than the recorded one.
    ///
    /// Start times and sequence numbers go back if the clock of the upstream was set back before it
    /// restarted, or if another writer sent the latest heartbeat. So a report replaces the latest one
    /// although it is older, if that one's incarnation is silent while the report's goes on.
    fn is_stale(&mut self, now: TimeMs, report: &UpstreamReport) -> bool {
        let is_older = match (&self.report, &self.recorded) {
            (Some(known), _) => report.is_older_than(known),
            (None, Some(recorded)) => report.born_ms < recorded.born_ms,
            (None, None) => false,
        };
        if !is_older {
            return false;
        }
        let contender = self.contender.take();
        let since = contender
            .filter(|it| it.report.is_same_incarnation(report))
            .filter(|it| it.report.is_older_than(report))
            .map_or(now, |it| it.since);
        let is_repeated = now.since(since) >= self.heartbeat_ms;
        self.contender = Some(Contender {
            report: report.clone(),
            since,
        });
        !(is_repeated && self.is_silent(now))
    }

    /// Returns whether the incarnation of the latest heartbeat has missed several.
    fn is_silent(&self, now: TimeMs) -> bool {
        let limit = DurationMs(self.heartbeat_ms.get() * MISSED_HEARTBEATS);
        now.since(self.last_report) > limit
    }

    /// Returns whether `report` is the latest heartbeat, and not a stale one.
    pub(crate) fn is_latest(&self, report: &UpstreamReport) -> bool {
        self.report.as_ref() == Some(report)
    }

    /// Returns the incarnation that the last heartbeat reported.
    pub(crate) fn incarnation(&self) -> Option<UpstreamIncarnation> {
        let report = self.report.as_ref()?;
        Some(UpstreamIncarnation {
            id: report.id.clone(),
            born_ms: report.born_ms,
        })
    }

    pub(crate) const fn heartbeat_ms(&self) -> DurationMs {
        self.heartbeat_ms
    }

    pub(crate) fn slots(&self) -> u32 {
        let slots = self.report.as_ref().map(|report| report.slots.get());
        slots.filter(|slots| *slots > 0).unwrap_or(DEFAULT_SLOTS)
    }

    /// Adds the outcome of a request to the failure rate.
    pub(crate) const fn record_request(&mut self, has_failed: bool) {
        let outcome = if has_failed { 1_000 } else { 0 };
        let kept = self.failure_rate * (1_000 - FAILURE_GAIN);
        self.failure_rate = (kept + outcome * FAILURE_GAIN) / 1_000;
    }

    /// Called once per gossip round.
    pub(crate) const fn decay_failure_rate(&mut self) {
        self.failure_rate = self.failure_rate * FAILURE_DECAY / 1_000;
    }

    /// Returns the weight for new flows: none for an unresponsive upstream, and little for one that
    /// fails requests, whatever its heartbeats report.
    pub(crate) fn weight(&self, now: TimeMs) -> Weight {
        if !self.is_alive(now) || self.unanswered_openings >= MAX_UNANSWERED_OPENINGS {
            Weight::NONE
        } else if self.failure_rate >= FAILING_THRESHOLD {
            RECOVERY_WEIGHT
        } else {
            Weight::FULL
        }
    }
}
