//! Selection of events by their properties.

use hawthorntide_types::{ResultCode, ServiceId};

use crate::{Component, EventKind, FlowKey, HybridTime, ProcessName, RequestKey, TimedEvent};

/// Conditions that an event must meet; an empty list or `None` accepts all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Inclusive.
    pub from: Option<HybridTime>,
    /// Exclusive.
    pub until: Option<HybridTime>,
    pub processes: Vec<ProcessName>,
    pub components: Vec<Component>,
    pub kinds: Vec<EventKind>,
    pub codes: Vec<ResultCode>,
    pub service: Option<ServiceId>,
    pub flow: Option<FlowKey>,
    pub request: Option<RequestKey>,
}

impl Filter {
    /// Returns whether the event meets all conditions.
    pub fn accepts(&self, timed_event: &TimedEvent) -> bool {
        let event = &timed_event.event;
        self.from.is_none_or(|from| timed_event.at >= from)
            && self.until.is_none_or(|until| timed_event.at < until)
            && is_listed_or_any(&self.processes, &timed_event.process)
            && is_listed_or_any(&self.components, &event.component)
            && is_listed_or_any(&self.kinds, &event.kind)
            && is_listed_or_any(&self.codes, &event.code)
            && is_equal_or_any(self.service, event.service)
            && is_equal_or_any(self.flow, event.flow)
            && is_equal_or_any(self.request, event.request)
    }

    /// Returns the accepted events in the order given.
    pub fn apply(&self, events: &[TimedEvent]) -> Vec<TimedEvent> {
        let accepted = events.iter().filter(|event| self.accepts(event));
        accepted.cloned().collect()
    }
}

fn is_listed_or_any<T: PartialEq>(list: &[T], value: &T) -> bool {
    list.is_empty() || list.contains(value)
}

fn is_equal_or_any<T: PartialEq>(expected: Option<T>, value: Option<T>) -> bool {
    expected.is_none() || expected == value
}
