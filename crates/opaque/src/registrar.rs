//! Registration of open flows with agents that any process can compute from the flow.
//!
//! Each flow has two registrars: the agents that rank first for it, whatever their service and failure
//! domain. The owner of a flow registers it with them. A packet of a flow whose owner its balancer does
//! not know finds it in a few hops through them, in a deployment of any size and whatever the
//! configuration says now. This is a location service as in a distributed hash table (Stoica et al.,
//! Chord, 2001), with all members known to all.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, Incarnation, TimeMs};

use crate::placement::rank;
use crate::view::PeerView;

/// With two registrars, one usually knows the flow while agents join, restart or leave.
pub(crate) const REGISTRARS: usize = 2;

/// Registrars of a flow, first ranked first; fewer if the deployment has fewer agents.
pub(crate) type Registrars = [Option<SocketAddr>; REGISTRARS];

/// An owner repeats its registrations after this time.
const REFRESH_INTERVAL_MS: DurationMs = DurationMs(30_000);

/// A registration is valid for this long: it outlives one lost repetition.
const REGISTRATION_TTL_MS: DurationMs = DurationMs(75_000);

/// Each registration is sent this often, since messages can be lost.
const TRANSMISSIONS: u8 = 2;

/// Flows that one message registers; it then has about one kilobyte.
const MAX_FLOWS_PER_MESSAGE: usize = 64;

/// Messages that an owner sends in a round. An owner of many flows needs several rounds after a change
/// of agents.
const MAX_MESSAGES_PER_ROUND: usize = 256;

/// Limit on the registrations that an agent keeps.
const MAX_REGISTERED_FLOWS: usize = 100_000;

/// Time between two scans for expired registrations.
const EXPIRY_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Flows that other agents registered with this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registrar {
    owners: HashMap<FlowKey, RegisteredOwner>,
    last_expiry: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct RegisteredOwner {
    owner: SocketAddr,
    registered_at: TimeMs,
}

impl Registrar {
    pub(crate) fn register(&mut self, now: TimeMs, owner: SocketAddr, flows: Vec<FlowKey>) {
        self.expire(now);
        let registered = RegisteredOwner {
            owner,
            registered_at: now,
        };
        for flow in flows {
            let has_space = self.owners.len() < MAX_REGISTERED_FLOWS;
            if has_space || self.owners.contains_key(&flow) {
                self.owners.insert(flow, registered);
            }
        }
    }

    /// Returns the agent that last registered the flow.
    pub(crate) fn owner(&self, flow: &FlowKey) -> Option<SocketAddr> {
        Some(self.owners.get(flow)?.owner)
    }

    pub(crate) fn len(&self) -> usize {
        self.owners.len()
    }

    fn expire(&mut self, now: TimeMs) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry = now;
        self.owners
            .retain(|_, owner| now.since(owner.registered_at) <= REGISTRATION_TTL_MS);
    }
}

/// Flows of the local upstream, with the registrars that know them.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnRegistrations {
    flows: HashMap<FlowKey, Registration>,
    /// Agents in the last round, sorted by address.
    agents: Vec<(SocketAddr, Incarnation)>,
}

#[derive(Clone, Copy, Debug)]
struct Registration {
    registrars: Registrars,
    remaining_transmissions: u8,
    last_sent: TimeMs,
}

/// Flows to register with the agent `to`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RegistrationMessage {
    pub(crate) to: SocketAddr,
    pub(crate) flows: Vec<FlowKey>,
}

impl Registration {
    /// Returns whether a change of the agent at `address` may change the registrars or what they know.
    fn depends_on(&self, flow: &FlowKey, address: SocketAddr) -> bool {
        let [.., Some(last)] = self.registrars else {
            return true;
        };
        self.registrars.contains(&Some(address)) || rank(flow, address) > rank(flow, last)
    }
}

impl OwnRegistrations {
    /// Adds a flow, unless it is registered already; returns its messages.
    pub(crate) fn add(
        &mut self,
        now: TimeMs,
        view: &PeerView,
        local_address: SocketAddr,
        flow: FlowKey,
    ) -> Vec<RegistrationMessage> {
        if self.flows.contains_key(&flow) {
            return Vec::new();
        }
        let registrars = view.registrars(now, &flow);
        let registration = Registration {
            registrars,
            remaining_transmissions: TRANSMISSIONS - 1,
            last_sent: now,
        };
        self.flows.insert(flow, registration);
        let others = registrars.into_iter().flatten();
        let others = others.filter(|registrar| *registrar != local_address);
        let message = |to| RegistrationMessage {
            to,
            flows: vec![flow],
        };
        others.map(message).collect()
    }

    /// Forgets a flow, so that it is registered again: another agent may have registered it since.
    pub(crate) fn forget(&mut self, flow: &FlowKey) {
        self.flows.remove(flow);
    }

    /// Forgets all flows.
    pub(crate) fn clear(&mut self) {
        self.flows.clear();
    }

    /// Returns the messages of a round: new flows, those whose registrars changed, and repetitions.
    ///
    /// `open_flows` are all open flows of the upstream; `is_alive` tells whether a flow has
    /// not ended.
    pub(crate) fn run_round<'a>(
        &mut self,
        now: TimeMs,
        view: &PeerView,
        local_address: SocketAddr,
        open_flows: impl Iterator<Item = &'a FlowKey>,
        is_alive: impl Fn(&FlowKey) -> bool,
    ) -> Vec<RegistrationMessage> {
        self.flows.retain(|flow, _| is_alive(flow));
        for flow in open_flows {
            self.flows.entry(*flow).or_insert_with(|| Registration {
                registrars: view.registrars(now, flow),
                remaining_transmissions: TRANSMISSIONS,
                last_sent: now,
            });
        }
        self.update_registrars(now, view);
        self.take_messages(now, local_address)
    }

    /// Selects the registrars anew of the flows that a change of agents affects.
    fn update_registrars(&mut self, now: TimeMs, view: &PeerView) {
        let agents = view.agent_incarnations(now);
        let changed = changed_addresses(&self.agents, &agents);
        self.agents = agents;
        if changed.is_empty() {
            return;
        }
        for (flow, registration) in &mut self.flows {
            let mut changed = changed.iter();
            if changed.any(|address| registration.depends_on(flow, *address)) {
                registration.registrars = view.registrars(now, flow);
                registration.remaining_transmissions = TRANSMISSIONS;
            }
        }
    }

    fn take_messages(
        &mut self,
        now: TimeMs,
        local_address: SocketAddr,
    ) -> Vec<RegistrationMessage> {
        let mut batches: BTreeMap<SocketAddr, Vec<FlowKey>> = BTreeMap::new();
        for (flow, registration) in &mut self.flows {
            if now.since(registration.last_sent) >= REFRESH_INTERVAL_MS {
                registration.remaining_transmissions = registration.remaining_transmissions.max(1);
            }
            if registration.remaining_transmissions == 0 {
                continue;
            }
            if batches.len() >= MAX_MESSAGES_PER_ROUND {
                break;
            }
            registration.remaining_transmissions -= 1;
            registration.last_sent = now;
            for registrar in registration.registrars.into_iter().flatten() {
                if registrar != local_address {
                    batches.entry(registrar).or_default().push(*flow);
                }
            }
        }
        let messages = batches.into_iter().flat_map(|(to, flows)| {
            let chunks = flows.chunks(MAX_FLOWS_PER_MESSAGE);
            let chunks: Vec<_> = chunks.map(<[FlowKey]>::to_vec).collect();
            chunks
                .into_iter()
                .map(move |flows| RegistrationMessage { to, flows })
        });
        messages.collect()
    }
}

/// Returns the addresses of agents that are in one of the sorted lists only, or have another
/// incarnation in each.
fn changed_addresses(
    before: &[(SocketAddr, Incarnation)],
    after: &[(SocketAddr, Incarnation)],
) -> Vec<SocketAddr> {
    let missing_from = |list: &[(SocketAddr, Incarnation)], agent: &(SocketAddr, Incarnation)| {
        list.binary_search(agent).is_err()
    };
    let left = before.iter().filter(|agent| missing_from(after, agent));
    let joined = after.iter().filter(|agent| missing_from(before, agent));
    left.chain(joined).map(|(address, _)| *address).collect()
}
