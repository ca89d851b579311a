//! Siblings with their load, and balancers, as the data path needs them.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hawthorntide_admission::{AnnouncedWeight, EndpointLoad, FlowDecision, SiblingSelector};
use hawthorntide_membership::{BalancerMember, Endpoint};
use hawthorntide_types::{DurationMs, EndpointId, Phase, SlotCount, TimeMs};
use hawthorntide_wire::control::{self, LoadReport};

/// Siblings that get the load reports of one agent.
const REPORTED_SIBLINGS: usize = 6;

#[derive(Debug)]
struct State {
    choice: SiblingSelector,
    /// In ascending order of identifiers.
    siblings: Vec<Endpoint>,
    balancers: Vec<SocketAddr>,
}

/// Other processes that an agent knows.
#[derive(Debug)]
pub(crate) struct Peers {
    endpoint: EndpointId,
    state: Mutex<State>,
}

impl Peers {
    pub(crate) fn new(endpoint: EndpointId) -> Self {
        Self {
            endpoint,
            state: Mutex::new(State {
                choice: SiblingSelector::new(rand::random()),
                siblings: Vec::new(),
                balancers: Vec::new(),
            }),
        }
    }

    /// Takes in which siblings and balancers there are.
    pub(crate) fn set(&self, siblings: Vec<Endpoint>, balancers: &[BalancerMember]) {
        let mut state = self.state();
        let before = std::mem::replace(&mut state.siblings, siblings);
        for left in before {
            if !state.has_sibling(left.id) {
                state.choice.remove(left.id);
            }
        }
        state.balancers = balancers.iter().map(|peer| peer.data_address).collect();
    }

    pub(crate) fn set_own_load(&self, now: TimeMs, load: EndpointLoad) {
        self.state().choice.set_local_load(now, load);
    }

    /// Takes in a report; returns whether it came from a known sibling.
    pub(crate) fn report(&self, now: TimeMs, report: &LoadReport) -> bool {
        let load = load_of(report);
        let mut state = self.state();
        if !state.has_sibling(load.endpoint) {
            return false;
        }
        state.choice.record_report(now, load);
        true
    }

    /// Returns the data address of the sibling that takes an opening packet, if any.
    pub(crate) fn pass_to(&self, now: TimeMs, connection_id: &[u8]) -> Option<SocketAddr> {
        let mut state = self.state();
        let FlowDecision::Forward(endpoint) = state.choice.choose(now, connection_id) else {
            return None;
        };
        let sibling = state.siblings.iter().find(|sibling| sibling.id == endpoint);
        sibling.map(|sibling| sibling.data_address)
    }

    /// Returns whether the caller of one answer should move its further requests to a sibling.
    pub(crate) fn should_move(&self, now: TimeMs) -> bool {
        self.state().choice.should_move(now)
    }

    /// Returns whether `address` is the data address of a sibling.
    pub(crate) fn is_sibling(&self, address: SocketAddr) -> bool {
        let state = self.state();
        let mut addresses = state.siblings.iter().map(|sibling| sibling.data_address);
        addresses.any(|known| known == address)
    }

    /// Returns a balancer for packets of `caller` while none has sent packets lately.
    pub(crate) fn any_balancer(&self, caller: SocketAddr) -> Option<SocketAddr> {
        let state = self.state();
        let count = state.balancers.len();
        let index = usize::from(caller.port()).checked_rem(count)?;
        state.balancers.get(index).copied()
    }

    /// Returns the control addresses of the siblings that follow this agent in the order of
    /// identifiers, so that each agent is heard by as many as it hears.
    pub(crate) fn report_receivers(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let own = self.endpoint;
        let following = state.siblings.iter().filter(|sibling| sibling.id > own);
        let wrapped = state.siblings.iter().filter(|sibling| sibling.id < own);
        let receivers = following.chain(wrapped).take(REPORTED_SIBLINGS);
        receivers.map(|sibling| sibling.control_address).collect()
    }

    /// Returns the weights of the siblings that take new flows.
    pub(crate) fn weights(&self) -> Vec<AnnouncedWeight> {
        let state = self.state();
        let serving = state
            .siblings
            .iter()
            .filter(|sibling| sibling.phase == Phase::Serving);
        let weight = |sibling: &Endpoint| AnnouncedWeight {
            endpoint: sibling.id,
            weight: sibling.weight,
        };
        serving.map(weight).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn has_sibling(&self, endpoint: EndpointId) -> bool {
        self.siblings.iter().any(|sibling| sibling.id == endpoint)
    }
}

fn load_of(report: &LoadReport) -> EndpointLoad {
    EndpointLoad {
        endpoint: EndpointId(report.endpoint_id),
        in_flight: report.in_flight,
        waiting: report.waiting,
        queue_delay_ms: DurationMs(report.queue_delay_ms.into()),
        slots: SlotCount(report.slots),
        open_flows: report.open_flows,
        phase: match report.phase() {
            control::Phase::Joining => Phase::Joining,
            control::Phase::Serving => Phase::Serving,
            control::Phase::Draining => Phase::Draining,
            control::Phase::Gone => Phase::Gone,
        },
    }
}
