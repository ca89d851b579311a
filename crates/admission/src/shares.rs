//! Weighted fair sharing of the slots: the share of a kind of work is its guaranteed minimum.

use hawthorntide_types::{DurationMs, PerMille, TimeMs, WorkKind};

/// Default limit of the credit and the debt of a kind, per slot.
const DEFAULT_CREDIT_LIMIT_MS: DurationMs = DurationMs(1000);
/// Share that covers all slots.
const FULL_SHARE_PER_MILLE: i64 = 1000;

/// Slot usage of one kind of work since the last update.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindUsage {
    pub(crate) share_per_mille: PerMille,
    pub(crate) in_flight: u32,
    pub(crate) is_waiting: bool,
}

/// Credit of each kind: the slot time that its share entitles it to less the slot time that it
/// used, in thousandths of a slot-millisecond.
#[derive(Clone, Debug)]
pub(crate) struct FairShares {
    credit: [i64; WorkKind::ALL.len()],
    /// Limit of the credit and the debt of a kind, per slot. It bounds how long a kind that was below
    /// its share takes precedence, and how long an earlier excess counts against it.
    credit_limit_ms: DurationMs,
    updated: TimeMs,
}

impl Default for FairShares {
    fn default() -> Self {
        Self::with_credit_limit(DEFAULT_CREDIT_LIMIT_MS)
    }
}

impl FairShares {
    pub(crate) fn with_credit_limit(credit_limit_ms: DurationMs) -> Self {
        Self {
            credit: Default::default(),
            credit_limit_ms,
            updated: TimeMs::default(),
        }
    }

    /// Updates the credits for the time since the last call, during which `usage` applied.
    pub(crate) fn advance(
        &mut self,
        now: TimeMs,
        slots: u32,
        usage: [KindUsage; WorkKind::ALL.len()],
    ) {
        let credit_limit_ms = self.credit_limit_ms.get() as i64;
        let elapsed_ms = now.since(self.updated).min(self.credit_limit_ms).get() as i64;
        if elapsed_ms == 0 {
            return;
        }
        self.updated = now;
        let limit = i64::from(slots) * credit_limit_ms * FULL_SHARE_PER_MILLE;
        let waiting_kinds = usage.iter().filter(|kind| kind.is_waiting).count();
        for (credit, kind) in self.credit.iter_mut().zip(usage) {
            let share = i64::from(kind.share_per_mille.get()) * i64::from(slots);
            let consumed = i64::from(kind.in_flight) * FULL_SHARE_PER_MILLE;
            let is_uncontended = waiting_kinds == usize::from(kind.is_waiting);
            // A kind that exceeds its share while no other kind waits incurs no debt.
            let min_credit = if is_uncontended { 0 } else { -limit };
            *credit =
                (*credit + (share - consumed) * elapsed_ms).clamp(min_credit.min(*credit), limit);
        }
    }

    /// Returns whether `kind` has used less than its share.
    pub(crate) fn is_below_share(&self, kind: WorkKind) -> bool {
        self.credit[kind as usize] > 0
    }

    /// Returns the credit of `kind`, which breaks ties between kinds of the same urgency.
    pub(crate) fn credit(&self, kind: WorkKind) -> i64 {
        self.credit[kind as usize]
    }
}
