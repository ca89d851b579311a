//! Siblings and balancers known to an agent, for the choice of forwarding targets and reply paths.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hawthorntide_admission::{AnnouncedWeight, EndpointLoad, FlowDecision, SiblingSelector};
use hawthorntide_membership::{BalancerMember, Endpoint};
use hawthorntide_types::{DurationMs, EndpointId, Phase, SlotCount, TimeMs};
use hawthorntide_wire::control::{self, LoadReport};

/// Maximum number of siblings to which an agent sends its load reports.
const MAX_REPORT_RECEIVERS: usize = 6;

#[derive(Debug)]
struct State {
    selector: SiblingSelector,
    /// Sorted by identifier.
    siblings: Vec<Endpoint>,
    balancers: Vec<SocketAddr>,
}

/// Siblings and balancers known to an agent.
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
                selector: SiblingSelector::new(rand::random()),
                siblings: Vec::new(),
                balancers: Vec::new(),
            }),
        }
    }

    /// Replaces the sets of siblings and balancers.
    pub(crate) fn set(&self, siblings: Vec<Endpoint>, balancers: &[BalancerMember]) {
        let mut state = self.state();
        let previous = std::mem::replace(&mut state.siblings, siblings);
        for sibling in previous {
            if !state.has_sibling(sibling.id) {
                state.selector.remove(sibling.id);
            }
        }
        state.balancers = balancers.iter().map(|peer| peer.data_address).collect();
    }

    pub(crate) fn set_local_load(&self, now: TimeMs, load: EndpointLoad) {
        self.state().selector.set_local_load(now, load);
    }

    /// Records a load report; returns whether it came from a known sibling.
    pub(crate) fn record_report(&self, now: TimeMs, report: &LoadReport) -> bool {
        let load = endpoint_load(report);
        let mut state = self.state();
        if !state.has_sibling(load.endpoint) {
            return false;
        }
        state.selector.record_report(now, load);
        true
    }

    /// Data address of the sibling to which an opening packet should be forwarded, if any.
    pub(crate) fn choose_sibling(&self, now: TimeMs, connection_id: &[u8]) -> Option<SocketAddr> {
        let mut state = self.state();
        let FlowDecision::Forward(endpoint) = state.selector.choose(now, connection_id) else {
            return None;
        };
        let sibling = state.siblings.iter().find(|sibling| sibling.id == endpoint);
        sibling.map(|sibling| sibling.data_address)
    }

    /// Whether an answer should ask its caller to send further requests to a sibling.
    pub(crate) fn should_move(&self, now: TimeMs) -> bool {
        self.state().selector.should_move(now)
    }

    /// Whether `address` is the data address of a sibling.
    pub(crate) fn is_sibling(&self, address: SocketAddr) -> bool {
        let state = self.state();
        let mut addresses = state.siblings.iter().map(|sibling| sibling.data_address);
        addresses.any(|known| known == address)
    }

    /// Balancer for replies to `caller` as long as no packet from a balancer has been received.
    pub(crate) fn fallback_balancer(&self, caller: SocketAddr) -> Option<SocketAddr> {
        let state = self.state();
        let count = state.balancers.len();
        let index = usize::from(caller.port()).checked_rem(count)?;
        state.balancers.get(index).copied()
    }

    /// Control addresses of the siblings that follow this agent in the order of identifiers,
    /// wrapping around, so that each agent sends as many load reports as it receives.
    pub(crate) fn report_receivers(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let local = self.endpoint;
        let following = state.siblings.iter().filter(|sibling| sibling.id > local);
        let wrapped = state.siblings.iter().filter(|sibling| sibling.id < local);
        let receivers = following.chain(wrapped).take(MAX_REPORT_RECEIVERS);
        receivers.map(|sibling| sibling.control_address).collect()
    }

    /// Weights of the siblings that accept new flows.
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

fn endpoint_load(report: &LoadReport) -> EndpointLoad {
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
