//! Decision of an agent on a new flow while its upstream is busy.
//!
//! A new flow may be handed off to other agents, since nothing has run yet. Each agent knows its own load at this
//! moment, so a few visits find a free upstream although news of the load of others is old (Mitzenmacher, The
//! power of two choices in randomized load balancing, 2001).

use std::net::SocketAddr;

use hawthorntide_types::DurationMs;
use serde::{Deserialize, Serialize};

use crate::cold_start::ColdStartLimit;

/// A busy agent hands off a new flow only while the flow has visited fewer agents than this.
const MAX_BUSY_HANDOFFS: usize = 2;

/// The same while the request of the flow cannot be served in time here: callers are refused only after
/// agents of several failure domains had no room either.
const MAX_OVERLOADED_HANDOFFS: usize = 5;

/// Shorter expected wait for which a flow goes back to an agent that it has visited: more than the
/// messages to that agent and back take.
const MIN_GAIN_MS: DurationMs = DurationMs(5);

/// How agents treat new flows while their upstream is busy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OpeningPolicy {
    pub hand_off: HandOff,
    /// Whether a new flow is refused if no agent that it visited can serve its request in time.
    pub refuses_when_full: bool,
}

/// Where a new flow stays if all agents that it visits are busy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HandOff {
    /// At the last agent.
    #[default]
    FirstFree,
    /// At the agent with the shortest expected wait.
    LeastLoaded,
}

/// Agent that a new flow visited, and that can serve it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VisitedAgent {
    pub address: SocketAddr,
    /// Time until a slot would be free for the request of the flow.
    pub expected_wait_ms: DurationMs,
}

impl VisitedAgent {
    fn is_clearly_below(&self, wait_ms: DurationMs) -> bool {
        self.expected_wait_ms.get() + MIN_GAIN_MS.get() <= wait_ms.get()
    }
}

/// What an agent knows when a new flow arrives.
#[derive(Clone, Copy, Debug)]
pub struct OpeningState {
    /// Unanswered requests at the upstream, and those expected on flows that have just opened.
    pub requests: u32,
    pub slots: u32,
    pub expected_wait_ms: DurationMs,
    /// A request that arrives now would be late, and late requests do not get a slot before their deadline.
    pub is_overloaded: bool,
    /// Agents that the flow has visited before.
    pub visited: usize,
    /// The upstream is busy, and another agent may accept the flow.
    pub has_next: bool,
    /// An earlier transmission may have opened the flow elsewhere.
    pub is_retransmission: bool,
    /// The agent with the shortest expected wait among those visited.
    pub least_loaded: Option<VisitedAgent>,
    /// Limit for cold upstreams, one of which may be the last that the flow visits.
    pub cold_limit: Option<ColdStartLimit>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpeningDecision {
    Accept,
    /// Forward to an agent that the flow has not visited.
    HandOff,
    /// Forward to this agent, which the flow has visited and which accepts it.
    HandBack(SocketAddr),
    Refuse,
}

impl OpeningPolicy {
    pub fn decide(self, state: &OpeningState) -> OpeningDecision {
        if state.requests <= state.slots {
            return OpeningDecision::Accept;
        }
        let is_full = self.refuses_when_full && state.is_overloaded;
        let max_handoffs = if is_full {
            MAX_OVERLOADED_HANDOFFS
        } else {
            MAX_BUSY_HANDOFFS
        };
        if state.visited < max_handoffs && state.has_next {
            return OpeningDecision::HandOff;
        }
        let is_returned = |best: VisitedAgent| {
            self.hand_off == HandOff::LeastLoaded && best.is_clearly_below(state.expected_wait_ms)
        };
        match state.least_loaded {
            Some(best) if is_full || is_returned(best) => OpeningDecision::HandBack(best.address),
            None if is_full && !state.is_retransmission => OpeningDecision::Refuse,
            _ => OpeningDecision::Accept,
        }
    }

    /// Returns the agent with the shortest expected wait, this one at `address` included; `None` if nothing
    /// may send the flow back or none can serve it.
    pub fn least_loaded(self, address: SocketAddr, state: &OpeningState) -> Option<VisitedAgent> {
        let may_return = self.hand_off == HandOff::LeastLoaded || self.refuses_when_full;
        if !may_return && state.cold_limit.is_none() {
            return None;
        }
        let is_full = self.refuses_when_full && state.is_overloaded;
        let local = (!is_full).then_some(VisitedAgent {
            address,
            expected_wait_ms: state.expected_wait_ms,
        });
        let candidates = local.into_iter().chain(state.least_loaded);
        candidates.min_by_key(|agent| agent.expected_wait_ms)
    }
}
