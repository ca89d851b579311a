//! Number of slots in use, adapted to what the upstream sheds.

use hawthorntide_types::{DurationMs, SlotCount, TimeMs};

/// Time in which the window grows by one slot while nothing is shed.
const GROW_MS: u64 = 500;
/// Shed answers within this time of a decrease belong to the same overload.
const DECREASE_INTERVAL_MS: u64 = 100;
/// First pause after an upstream sheds its only request.
const FIRST_PAUSE_MS: u64 = 50;
/// Longest pause, so that a recovered upstream is noticed soon.
const LONGEST_PAUSE_MS: u64 = 1000;
/// Thousandths of a slot.
const MILLI: u64 = 1000;

/// Additive increase, multiplicative decrease of the slots in use.
#[derive(Clone, Debug)]
pub(crate) struct SlotWindow {
    slots: SlotCount,
    milli_slots: u64,
    updated: TimeMs,
    last_decrease: Option<TimeMs>,
    pause_ms: u64,
    paused_until: TimeMs,
}

impl SlotWindow {
    pub(crate) fn new(slots: SlotCount) -> Self {
        Self {
            slots,
            milli_slots: u64::from(slots.get()) * MILLI,
            updated: TimeMs(0),
            last_decrease: None,
            pause_ms: 0,
            paused_until: TimeMs(0),
        }
    }

    /// Changes the number of slots that the upstream has. A new upstream starts unrestricted.
    pub(crate) fn set_slots(&mut self, slots: SlotCount) {
        let grown = u64::from(slots.get()) * MILLI;
        let restricted = self.milli_slots < u64::from(self.slots.get()) * MILLI;
        self.milli_slots = if restricted {
            self.milli_slots.min(grown)
        } else {
            grown
        };
        self.slots = slots;
    }

    /// Lets the window grow with the time that passed outside of pauses.
    pub(crate) fn advance(&mut self, now: TimeMs) {
        let since = self.updated.max(self.paused_until);
        let passed_ms = now.since(since).get();
        self.updated = self.updated.max(now);
        let whole = u64::from(self.slots.get()) * MILLI;
        self.milli_slots = (self.milli_slots + passed_ms * MILLI / GROW_MS).min(whole);
    }

    /// Takes in that the upstream shed a request while it ran `others`.
    pub(crate) fn shed(&mut self, now: TimeMs, others: u32) {
        let is_same_overload = self
            .last_decrease
            .is_some_and(|last| now.since(last).get() < DECREASE_INTERVAL_MS);
        if !is_same_overload {
            self.last_decrease = Some(now);
            self.milli_slots /= 2;
        }
        // The upstream has just shown that it takes no more than the others. A larger window would
        // start the next request at once, only for it to be shed as well.
        let taken = u64::from(others) * MILLI;
        self.milli_slots = self.milli_slots.min(taken).max(MILLI);
        if others == 0 {
            self.pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
            self.paused_until = now + DurationMs(self.pause_ms);
        }
    }

    /// Takes in that the upstream answered.
    pub(crate) fn answered(&mut self) {
        self.pause_ms = 0;
        self.paused_until = TimeMs(0);
    }

    /// Returns how many slots may be in use.
    pub(crate) fn usable(&self, now: TimeMs) -> u32 {
        if now < self.paused_until {
            return 0;
        }
        ((self.milli_slots / MILLI) as u32).min(self.slots.get())
    }

    /// Returns how many slots may be in use apart from a pause.
    pub(crate) fn size(&self) -> u32 {
        ((self.milli_slots / MILLI) as u32).min(self.slots.get())
    }
}
