//! Queue of the waiting requests of one kind.

use std::collections::{BTreeMap, BTreeSet};

use hawthorntide_types::{DurationMs, ResultCode, TimeMs};

use crate::RequestId;

/// Order of arrival within a queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Ticket(u64);

/// Request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) id: RequestId,
    pub(crate) arrived: TimeMs,
    pub(crate) longest_wait: TimeMs,
    pub(crate) deadline: TimeMs,
}

impl Waiting {
    fn latest_start(&self) -> TimeMs {
        self.longest_wait.min(self.deadline)
    }

    /// Returns why the request cannot be started any more, if so.
    pub(crate) fn refusal(&self, now: TimeMs, likely_ms: DurationMs) -> Option<ResultCode> {
        if now >= self.deadline || now + likely_ms > self.deadline {
            return Some(ResultCode::NotRunDeadline);
        }
        (now > self.longest_wait).then_some(ResultCode::NotRunQueueWait)
    }
}

/// First-in-first-out queue with removal from the middle and an index of the latest start times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Ticket, Waiting>,
    by_latest_start: BTreeSet<(TimeMs, Ticket)>,
    next_ticket: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the request that has waited longest.
    pub(crate) fn oldest(&self) -> Option<&Waiting> {
        self.waiting.values().next()
    }

    pub(crate) fn push(&mut self, waiting: Waiting) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.by_latest_start
            .insert((waiting.latest_start(), ticket));
        self.waiting.insert(ticket, waiting);
        ticket
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let (ticket, waiting) = self.waiting.pop_first()?;
        self.by_latest_start
            .remove(&(waiting.latest_start(), ticket));
        Some(waiting)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.by_latest_start
            .remove(&(waiting.latest_start(), ticket));
        Some(waiting)
    }

    /// Removes a request whose latest start has passed.
    pub(crate) fn pop_expired(&mut self, now: TimeMs) -> Option<Waiting> {
        let (latest_start, ticket) = *self.by_latest_start.first()?;
        if now <= latest_start {
            return None;
        }
        self.remove(ticket)
    }
}
