//! Queue of the requests of one kind that wait for a slot.

use std::collections::{BTreeMap, BTreeSet};

use hawthorntide_types::{DurationMs, ResultCode, TimeMs};

use crate::RequestId;

/// Handle of a queued request; tickets ascend in the order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) id: RequestId,
    pub(crate) arrived: TimeMs,
    /// Time after which the request has exceeded the queue wait of its treatment.
    pub(crate) wait_limit: TimeMs,
    pub(crate) deadline: TimeMs,
}

impl QueuedRequest {
    fn latest_start(&self) -> TimeMs {
        self.wait_limit.min(self.deadline)
    }

    /// Returns the code with which to refuse the request if it can no longer be started: it would
    /// miss its deadline with the given service time, or it has exceeded its queue wait.
    pub(crate) fn refusal(&self, now: TimeMs, service_time_ms: DurationMs) -> Option<ResultCode> {
        if now >= self.deadline || now + service_time_ms > self.deadline {
            return Some(ResultCode::NotRunDeadline);
        }
        (now > self.wait_limit).then_some(ResultCode::NotRunQueueWait)
    }
}

/// FIFO queue with removal by ticket and an index by latest start time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    requests: BTreeMap<Ticket, QueuedRequest>,
    by_latest_start: BTreeSet<(TimeMs, Ticket)>,
    next_ticket: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn oldest(&self) -> Option<&QueuedRequest> {
        self.requests.values().next()
    }

    pub(crate) fn push(&mut self, request: QueuedRequest) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.by_latest_start
            .insert((request.latest_start(), ticket));
        self.requests.insert(ticket, request);
        ticket
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let (ticket, request) = self.requests.pop_first()?;
        self.by_latest_start
            .remove(&(request.latest_start(), ticket));
        Some(request)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = self.requests.remove(&ticket)?;
        self.by_latest_start
            .remove(&(request.latest_start(), ticket));
        Some(request)
    }

    /// Removes the request with this identifier, if it is queued. Takes time linear in the length.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        let mut requests = self.requests.iter();
        let found = requests.find(|(_, request)| request.id == id);
        if let Some((&ticket, _)) = found {
            self.remove(ticket);
        }
    }

    /// Removes one request whose latest start time has passed.
    pub(crate) fn pop_expired(&mut self, now: TimeMs) -> Option<QueuedRequest> {
        let (latest_start, ticket) = *self.by_latest_start.first()?;
        if now <= latest_start {
            return None;
        }
        self.remove(ticket)
    }
}
