//! Adaptive concurrency limit of an upstream that sheds load.

use hawthorntide_types::{DurationMs, SlotCount, TimeMs};

/// Time in which the limit grows by one slot while nothing is shed.
const GROWTH_INTERVAL_MS: u64 = 500;
/// Minimum time between two decreases; requests shed within it belong to the same overload.
const DECREASE_INTERVAL_MS: u64 = 100;
/// First back-off after the upstream shed its only request.
const MIN_BACKOFF_MS: u64 = 50;
/// Longest back-off; a longer one would delay noticing that the upstream has recovered.
const MAX_BACKOFF_MS: u64 = 1000;
const MILLI_PER_SLOT: u64 = 1000;

/// Limit on the slots in use: additive increase over time, multiplicative decrease on shed
/// requests.
///
/// After the upstream has shed its only request, no request is started during a back-off that
/// doubles each time this happens again.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    slots: SlotCount,
    milli_slots: u64,
    updated: TimeMs,
    last_decrease: Option<TimeMs>,
    backoff_ms: u64,
    backoff_until: TimeMs,
}

impl ConcurrencyLimit {
    pub(crate) fn new(slots: SlotCount) -> Self {
        Self {
            slots,
            milli_slots: u64::from(slots.get()) * MILLI_PER_SLOT,
            updated: TimeMs(0),
            last_decrease: None,
            backoff_ms: 0,
            backoff_until: TimeMs(0),
        }
    }

    /// Sets the number of slots of the upstream. A limit that shedding has lowered is not raised;
    /// any other limit is set to the number of slots, so that a new upstream can use all of them.
    pub(crate) fn set_slots(&mut self, slots: SlotCount) {
        let new_limit = u64::from(slots.get()) * MILLI_PER_SLOT;
        let is_restricted = self.milli_slots < u64::from(self.slots.get()) * MILLI_PER_SLOT;
        self.milli_slots = if is_restricted {
            self.milli_slots.min(new_limit)
        } else {
            new_limit
        };
        self.slots = slots;
    }

    /// Raises the limit for the time since the last call, back-offs excluded.
    pub(crate) fn advance(&mut self, now: TimeMs) {
        let since = self.updated.max(self.backoff_until);
        let elapsed_ms = now.since(since).get();
        self.updated = self.updated.max(now);
        let max_milli_slots = u64::from(self.slots.get()) * MILLI_PER_SLOT;
        self.milli_slots = (self.milli_slots + elapsed_ms * MILLI_PER_SLOT / GROWTH_INTERVAL_MS)
            .min(max_milli_slots);
    }

    /// Lowers the limit after the upstream shed a request while it ran `others_in_flight` others.
    pub(crate) fn record_shed(&mut self, now: TimeMs, others_in_flight: u32) {
        let is_same_overload = self
            .last_decrease
            .is_some_and(|last| now.since(last).get() < DECREASE_INTERVAL_MS);
        if !is_same_overload {
            self.last_decrease = Some(now);
            self.milli_slots /= 2;
        }
        // The upstream has just accepted no more than the other requests in flight. A higher limit
        // would start the next request at once, and it would be shed as well.
        let milli_in_flight = u64::from(others_in_flight) * MILLI_PER_SLOT;
        self.milli_slots = self.milli_slots.min(milli_in_flight).max(MILLI_PER_SLOT);
        if others_in_flight == 0 {
            self.backoff_ms = (self.backoff_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
            self.backoff_until = now + DurationMs(self.backoff_ms);
        }
    }

    /// Ends the back-off, as the upstream answers again.
    pub(crate) fn record_answer(&mut self) {
        self.backoff_ms = 0;
        self.backoff_until = TimeMs(0);
    }

    /// Returns how many slots may be in use now; none during a back-off.
    pub(crate) fn usable_slots(&self, now: TimeMs) -> u32 {
        if now < self.backoff_until {
            return 0;
        }
        ((self.milli_slots / MILLI_PER_SLOT) as u32).min(self.slots.get())
    }

    /// Returns how many slots may be in use when no back-off is in force.
    pub(crate) fn slots_without_backoff(&self) -> u32 {
        ((self.milli_slots / MILLI_PER_SLOT) as u32).min(self.slots.get())
    }
}
