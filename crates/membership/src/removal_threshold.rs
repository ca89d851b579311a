//! Self-preservation: suspends removals while most members are unreachable at once, because the
//! network connection of this process may be the cause.

use hawthorntide_types::{DurationMs, FailureDomain, TimeMs};

use crate::gossip::{Alarm, GossipAction, GossipMachine};
use crate::member::{Health, Record};

/// Members that were removed longer ago than this are not counted. A suspension ends when the
/// threshold has not been exceeded for this long.
const COUNT_WINDOW_MS: DurationMs = DurationMs(10_000);
/// If this process is well connected, a suspension is lifted after this time even if the threshold
/// is still exceeded.
const MIN_SUSPENSION_MS: DurationMs = DurationMs(10_000);
/// Removals are suspended only if at least this many members are unreachable. With a lower limit,
/// the only member of a failure domain could never be removed.
const MIN_UNREACHABLE: usize = 3;
/// This process considers itself isolated after it receives no message for this long.
const ISOLATION_TIMEOUT_MS: DurationMs = DurationMs(2_000);

/// Suspension of removals.
#[derive(Clone, Debug)]
struct RemovalSuspension {
    /// Failure domain to which it applies; `None` applies to all members.
    failure_domain: Option<FailureDomain>,
    since: TimeMs,
    last_exceeded_at: TimeMs,
    is_lifted: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct RemovalThreshold {
    suspensions: Vec<RemovalSuspension>,
}

impl RemovalThreshold {
    pub(crate) fn is_suspending(&self) -> bool {
        self.suspensions
            .iter()
            .any(|suspension| !suspension.is_lifted)
    }
}

/// Members that are suspected, removed or send no heartbeats, out of those counted.
#[derive(Clone, Copy, Debug, Default)]
struct ReachabilityCount {
    unreachable: usize,
    known: usize,
}

impl ReachabilityCount {
    fn add(&mut self, is_unreachable: bool) {
        self.known += 1;
        self.unreachable += usize::from(is_unreachable);
    }

    fn is_majority_unreachable(self) -> bool {
        self.unreachable * 2 > self.known
    }

    fn exceeds_threshold(self) -> bool {
        self.unreachable >= MIN_UNREACHABLE && self.is_majority_unreachable()
    }
}

impl GossipMachine {
    /// Returns whether a removal in `failure_domain` has to wait, and suspends removals if the
    /// threshold is exceeded.
    pub(crate) fn must_defer_removal(
        &mut self,
        failure_domain: &FailureDomain,
        out: &mut Vec<GossipAction>,
    ) -> bool {
        let in_domain = self.count_reachability(|domain| domain == failure_domain);
        let overall = self.count_reachability(|_| true);
        let mut must_defer = false;
        // When this process loses its network connection, all its agents become unreachable at
        // once, but balancers only one by one as they are probed. The counts alone would exceed the
        // threshold too late, so isolation suspends removals as well.
        if overall.exceeds_threshold() || self.time_since_last_message() >= ISOLATION_TIMEOUT_MS {
            must_defer |= self.suspend_removals(None, overall, out);
        }
        if in_domain.exceeds_threshold() {
            must_defer |= self.suspend_removals(Some(failure_domain), in_domain, out);
        }
        must_defer
    }

    pub(crate) fn tick_removal_threshold(&mut self, out: &mut Vec<GossipAction>) {
        let now = self.now;
        let was_suspending = self.removal_threshold.is_suspending();
        self.removal_threshold
            .suspensions
            .retain(|suspension| now.since(suspension.last_exceeded_at) < COUNT_WINDOW_MS);
        if was_suspending && !self.removal_threshold.is_suspending() {
            out.push(GossipAction::Alarm(Alarm::RemovalsResumed));
        }
    }

    fn suspend_removals(
        &mut self,
        failure_domain: Option<&FailureDomain>,
        count: ReachabilityCount,
        out: &mut Vec<GossipAction>,
    ) -> bool {
        let now = self.now;
        let is_well_connected = self.is_well_connected();
        let same =
            |suspension: &RemovalSuspension| suspension.failure_domain.as_ref() == failure_domain;
        let Some(index) = self.removal_threshold.suspensions.iter().position(same) else {
            self.removal_threshold.suspensions.push(RemovalSuspension {
                failure_domain: failure_domain.cloned(),
                since: now,
                last_exceeded_at: now,
                is_lifted: false,
            });
            out.push(GossipAction::Alarm(Alarm::RemovalsSuspended {
                failure_domain: failure_domain.cloned(),
                unreachable: count.unreachable,
                known: count.known,
            }));
            return true;
        };
        let suspension = &mut self.removal_threshold.suspensions[index];
        suspension.last_exceeded_at = now;
        if !suspension.is_lifted
            && now.since(suspension.since) >= MIN_SUSPENSION_MS
            && is_well_connected
        {
            suspension.is_lifted = true;
            out.push(GossipAction::Alarm(Alarm::RemovalsResumed));
        }
        !suspension.is_lifted
    }

    /// Returns whether this process receives messages and most members of its failure domain are
    /// reachable. This distinguishes the loss of another failure domain, or a partition between
    /// regions, from the loss of the local network connection. Counting the members of the region
    /// would not: a region of two failure domains loses half of its members with one of them.
    fn is_well_connected(&self) -> bool {
        if self.time_since_last_message() >= ISOLATION_TIMEOUT_MS {
            return false;
        }
        let local_domain = &self.local.failure_domain;
        !self
            .count_reachability(|domain| domain == local_domain)
            .is_majority_unreachable()
    }

    /// Counts the members that this process monitors: all balancers, and the agents that send it
    /// heartbeats.
    fn count_reachability(&self, is_counted: impl Fn(&FailureDomain) -> bool) -> ReachabilityCount {
        let mut count = ReachabilityCount::default();
        for entry in self.balancers.entries() {
            let record = &entry.record;
            let is_outdated = entry
                .tombstone_since
                .is_some_and(|since| self.now.since(since) >= COUNT_WINDOW_MS);
            let has_left = record.is_tombstone() && record.stamp.health != Health::Removed;
            if is_outdated || has_left || !is_counted(&record.failure_domain) {
                continue;
            }
            count.add(record.stamp.health != Health::Alive);
        }
        for (domain, is_unreachable) in self.agent_reachability() {
            if is_counted(domain) {
                count.add(is_unreachable);
            }
        }
        count
    }
}
