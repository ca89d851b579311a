//! Shares of the kinds of work as floors, kept as credit in slot time.

use hawthorntide_types::{PerMille, TimeMs, WorkKind};

/// Slot time, per slot, that a kind may save up or owe. It bounds how long a kind that was below
/// its share may go first, and how long an earlier excess is remembered.
const CREDIT_LIMIT_MS: i64 = 1000;
/// Whole of a share in thousandths.
const WHOLE_PER_MILLE: i64 = 1000;

/// State of one kind of work between two moments.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Use {
    pub(crate) share_per_mille: PerMille,
    pub(crate) in_flight: u32,
    pub(crate) is_waiting: bool,
}

/// Credit of each kind: slot time of its share less the slot time that it used, in thousandths.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    credit: [i64; WorkKind::ALL.len()],
    updated: TimeMs,
}

impl Shares {
    /// Accounts for the time since the last call, during which `used` applied.
    pub(crate) fn advance(&mut self, now: TimeMs, slots: u32, used: [Use; WorkKind::ALL.len()]) {
        let passed_ms = now.since(self.updated).get().min(CREDIT_LIMIT_MS as u64) as i64;
        if passed_ms == 0 {
            return;
        }
        self.updated = now;
        let limit = i64::from(slots) * CREDIT_LIMIT_MS * WHOLE_PER_MILLE;
        let waiting_kinds = used.iter().filter(|kind| kind.is_waiting).count();
        for (credit, kind) in self.credit.iter_mut().zip(used) {
            let share = i64::from(kind.share_per_mille.get()) * i64::from(slots);
            let consumed = i64::from(kind.in_flight) * WHOLE_PER_MILLE;
            let is_lent = waiting_kinds == usize::from(kind.is_waiting);
            // Slots that no other kind waits for are lent; their use leaves no debt.
            let floor = if is_lent { 0 } else { -limit };
            *credit = (*credit + (share - consumed) * passed_ms).clamp(floor.min(*credit), limit);
        }
    }

    /// Returns whether `kind` has had less than its share.
    pub(crate) fn is_below_share(&self, kind: WorkKind) -> bool {
        self.credit[kind as usize] > 0
    }

    /// Returns the credit of `kind`, which orders kinds of the same urgency.
    pub(crate) fn credit(&self, kind: WorkKind) -> i64 {
        self.credit[kind as usize]
    }
}
