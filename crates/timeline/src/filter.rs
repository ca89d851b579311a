//! Selection of events.

use hawthorntide_types::{ResultCode, ServiceId};

use crate::{Component, EventKind, FlowKey, HybridTime, ProcessName, RequestKey, TimedEvent};

/// Conditions that an event must meet; an empty list or `None` accepts all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Earliest time.
    pub from: Option<HybridTime>,
    /// First time that is too late.
    pub until: Option<HybridTime>,
    /// Processes.
    pub processes: Vec<ProcessName>,
    /// Parts.
    pub components: Vec<Component>,
    /// Kinds of event.
    pub kinds: Vec<EventKind>,
    /// Outcomes.
    pub codes: Vec<ResultCode>,
    /// Service.
    pub service: Option<ServiceId>,
    /// Flow.
    pub flow: Option<FlowKey>,
    /// Request.
    pub request: Option<RequestKey>,
}

impl Filter {
    /// Returns whether `event` meets all conditions.
    pub fn accepts(&self, timed: &TimedEvent) -> bool {
        let event = &timed.event;
        self.from.is_none_or(|from| timed.at >= from)
            && self.until.is_none_or(|until| timed.at < until)
            && is_listed(&self.processes, &timed.process)
            && is_listed(&self.components, &event.component)
            && is_listed(&self.kinds, &event.kind)
            && is_listed(&self.codes, &event.code)
            && is_equal(self.service, event.service)
            && is_equal(self.flow, event.flow)
            && is_equal(self.request, event.request)
    }

    /// Returns the accepted events in their order.
    pub fn apply(&self, events: &[TimedEvent]) -> Vec<TimedEvent> {
        let accepted = events.iter().filter(|event| self.accepts(event));
        accepted.cloned().collect()
    }
}

fn is_listed<T: PartialEq>(list: &[T], value: &T) -> bool {
    list.is_empty() || list.contains(value)
}

fn is_equal<T: PartialEq>(wanted: Option<T>, value: Option<T>) -> bool {
    wanted.is_none() || wanted == value
}
