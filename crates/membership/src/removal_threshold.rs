//! Floor under removals: when many members go silent at once, the own link may be the reason.

use hawthorntide_types::{DurationMs, FailureDomain, TimeMs};

use crate::gossip::{Alarm, GossipAction, GossipMachine};
use crate::member::{Health, Record};

/// Window in which silences count together.
const WINDOW_MS: DurationMs = DurationMs(10_000);
/// Time for which removals are held at least.
const HOLD_MS: DurationMs = DurationMs(10_000);
/// Silent members from which on the floor applies; below that, a failure domain with a single
/// member could never lose it.
const MIN_SILENT: usize = 3;
/// Silence of everybody else after which this process counts as cut off.
const CUT_OFF_MS: DurationMs = DurationMs(2_000);

/// Removals that are held for one failure domain, or for all members.
#[derive(Clone, Debug)]
struct Hold {
    failure_domain: Option<FailureDomain>,
    since: TimeMs,
    touched_at: TimeMs,
    is_released: bool,
}

/// State of the floor.
#[derive(Clone, Debug, Default)]
pub(crate) struct Floor {
    holds: Vec<Hold>,
}

impl Floor {
    pub(crate) fn is_holding(&self) -> bool {
        self.holds.iter().any(|hold| !hold.is_released)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    unreachable: usize,
    known: usize,
}

impl Silence {
    fn add(&mut self, is_silent: bool) {
        self.known += 1;
        self.unreachable += usize::from(is_silent);
    }

    fn is_majority(self) -> bool {
        self.unreachable * 2 > self.known
    }

    fn reaches_floor(self) -> bool {
        self.unreachable >= MIN_SILENT && self.is_majority()
    }
}

impl GossipMachine {
    /// Returns whether a removal in `failure_domain` has to wait.
    pub(crate) fn holds_removal(
        &mut self,
        failure_domain: &FailureDomain,
        out: &mut Vec<GossipAction>,
    ) -> bool {
        let in_domain = self.silence(|domain| domain == failure_domain);
        let overall = self.silence(|_| true);
        let mut holds = false;
        // Agents fall silent at once when the own link is gone, balancers one by one as they are
        // probed: the counts alone would reach the floor too late.
        if overall.reaches_floor() || self.unheard() >= CUT_OFF_MS {
            holds |= self.hold(None, overall, out);
        }
        if in_domain.reaches_floor() {
            holds |= self.hold(Some(failure_domain), in_domain, out);
        }
        holds
    }

    pub(crate) fn tick_floor(&mut self, out: &mut Vec<GossipAction>) {
        let now = self.now;
        let was_holding = self.floor.is_holding();
        self.floor
            .holds
            .retain(|hold| now.since(hold.touched_at) < WINDOW_MS);
        if was_holding && !self.floor.is_holding() {
            out.push(GossipAction::Alarm(Alarm::RemovalsResumed));
        }
    }

    fn hold(
        &mut self,
        failure_domain: Option<&FailureDomain>,
        silence: Silence,
        out: &mut Vec<GossipAction>,
    ) -> bool {
        let now = self.now;
        let is_healthy = self.is_well_connected();
        let same = |hold: &Hold| hold.failure_domain.as_ref() == failure_domain;
        let Some(index) = self.floor.holds.iter().position(same) else {
            self.floor.holds.push(Hold {
                failure_domain: failure_domain.cloned(),
                since: now,
                touched_at: now,
                is_released: false,
            });
            out.push(GossipAction::Alarm(Alarm::RemovalsSuspended {
                failure_domain: failure_domain.cloned(),
                unreachable: silence.unreachable,
                known: silence.known,
            }));
            return true;
        };
        let hold = &mut self.floor.holds[index];
        hold.touched_at = now;
        if !hold.is_released && now.since(hold.since) >= HOLD_MS && is_healthy {
            hold.is_released = true;
            out.push(GossipAction::Alarm(Alarm::RemovalsResumed));
        }
        !hold.is_released
    }

    /// Returns whether this process hears others and most members of its own failure domain
    /// respond. That tells a lost failure domain or a split between regions from a lost own link.
    /// The region is no measure: one of two failure domains is half of it.
    fn is_well_connected(&self) -> bool {
        if self.unheard() >= CUT_OFF_MS {
            return false;
        }
        let local = &self.local.failure_domain;
        !self.silence(|domain| domain == local).is_majority()
    }

    /// Counts the members that this process can judge: all balancers and its own agents.
    fn silence(&self, is_counted: impl Fn(&FailureDomain) -> bool) -> Silence {
        let mut silence = Silence::default();
        for entry in self.balancers.entries() {
            let record = &entry.record;
            let is_old = entry
                .gone_since
                .is_some_and(|since| self.now.since(since) >= WINDOW_MS);
            let has_left = record.is_tombstone() && record.stamp.health != Health::Removed;
            if is_old || has_left || !is_counted(&record.failure_domain) {
                continue;
            }
            silence.add(record.stamp.health != Health::Alive);
        }
        for (domain, is_silent) in self.home_silences() {
            if is_counted(domain) {
                silence.add(is_silent);
            }
        }
        silence
    }
}
