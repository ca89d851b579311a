//! Services, endpoints and the decision where a datagram goes.

use std::net::SocketAddr;

use hawthorntide_types::{
    DurationMs, EndpointId, Incarnation, Phase, ResultCode, ServiceId, TimeMs, Transport, Weight,
};
use hawthorntide_wire::ForwardKind;

use crate::slots::SlotTable;
use crate::{ConnectionIdCodec, ConnectionToken, PacketClass, classify};

/// How long packets of established flows still go to an endpoint that left; twice the expected
/// length of a region split, in which endpoints seem gone that still hold flows.
pub const FORWARD_GONE_MS: DurationMs = DurationMs(2 * 60 * 60 * 1000);

/// Endpoint as the routing table sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointRoute {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address at which its agent receives forwarded packets.
    pub data_address: SocketAddr,
    /// Phase; only some phases take new flows.
    pub phase: Phase,
    /// Relative part of the new flows.
    pub weight: Weight,
}

/// Decision about one datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// The datagram goes to an agent.
    Forward {
        /// Data address of the agent.
        to: SocketAddr,
        /// Kind for the forwarding header.
        kind: ForwardKind,
    },
    /// The datagram is dropped for this reason.
    Drop(ResultCode),
}

#[derive(Clone, Debug)]
struct ServiceEntry {
    id: ServiceId,
    transport: Transport,
    slots: SlotTable,
}

#[derive(Clone, Copy, Debug)]
struct EndpointEntry {
    route: EndpointRoute,
    /// When the endpoint left, if it did.
    left: Option<TimeMs>,
}

/// Where the packets of all services go.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    services: Vec<ServiceEntry>,
    endpoints: Vec<EndpointEntry>,
    service_addresses: Vec<(SocketAddr, ServiceId)>,
    data_addresses: Vec<(SocketAddr, EndpointId)>,
}

impl RoutingTable {
    /// Creates a table without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or changes a service.
    pub fn set_service(&mut self, id: ServiceId, addresses: &[SocketAddr], transport: Transport) {
        self.service_addresses.retain(|(_, owner)| *owner != id);
        for address in addresses {
            let index = self.service_addresses.partition_point(|(a, _)| a < address);
            self.service_addresses.insert(index, (*address, id));
        }
        match self.service_index(id) {
            Ok(index) => self.services[index].transport = transport,
            Err(index) => {
                let mut slots = SlotTable::new();
                for entry in self.endpoints.iter().filter(|e| e.route.service == id) {
                    slots.set(entry.route.endpoint, entry.new_flow_weight());
                }
                let entry = ServiceEntry {
                    id,
                    transport,
                    slots,
                };
                self.services.insert(index, entry);
            }
        }
    }

    /// Removes a service; its endpoints stay known.
    pub fn remove_service(&mut self, id: ServiceId) {
        self.service_addresses.retain(|(_, owner)| *owner != id);
        if let Ok(index) = self.service_index(id) {
            self.services.remove(index);
        }
    }

    /// Adds or changes an endpoint; a route of an earlier incarnation than the known one is ignored.
    pub fn set_endpoint(&mut self, route: EndpointRoute) {
        let entry = EndpointEntry { route, left: None };
        match self.endpoint_index(route.endpoint) {
            Ok(index) => {
                let known = self.endpoints[index];
                if known.route.incarnation > route.incarnation {
                    return;
                }
                if known.route.service != route.service {
                    self.set_slots(known.route.service, route.endpoint, Weight::NONE);
                }
                if known.route.data_address != route.data_address {
                    self.forget_address(&known.route);
                    self.learn_address(&route);
                }
                self.endpoints[index] = entry;
            }
            Err(index) => {
                self.endpoints.insert(index, entry);
                self.learn_address(&route);
            }
        }
        self.set_slots(route.service, route.endpoint, entry.new_flow_weight());
    }

    /// Takes an endpoint out of the tables; its established flows still reach its address for
    /// [`FORWARD_GONE_MS`].
    pub fn remove_endpoint(&mut self, now: TimeMs, endpoint: EndpointId) {
        self.forget_gone(now);
        let Ok(index) = self.endpoint_index(endpoint) else {
            return;
        };
        let entry = &mut self.endpoints[index];
        entry.left.get_or_insert(now);
        let service = entry.route.service;
        self.set_slots(service, endpoint, Weight::NONE);
    }

    /// Forgets the endpoints that left more than [`FORWARD_GONE_MS`] ago.
    pub fn forget_gone(&mut self, now: TimeMs) {
        let is_expired = |entry: &EndpointEntry| !entry.is_reachable(now);
        let Self {
            endpoints,
            data_addresses,
            ..
        } = self;
        for entry in endpoints.iter().filter(|entry| is_expired(entry)) {
            data_addresses.retain(|(_, endpoint)| *endpoint != entry.route.endpoint);
        }
        endpoints.retain(|entry| !is_expired(entry));
    }

    /// Returns the service that callers reach at `address`.
    pub fn service_of(&self, address: SocketAddr) -> Option<ServiceId> {
        let index = self
            .service_addresses
            .binary_search_by_key(&address, |(address, _)| *address)
            .ok()?;
        Some(self.service_addresses[index].1)
    }

    /// Returns whether replies of `service` may come from the data address `address`.
    pub fn is_endpoint_of(&self, service: ServiceId, address: SocketAddr) -> bool {
        let start = self.data_addresses.partition_point(|(a, _)| *a < address);
        self.data_addresses[start..]
            .iter()
            .take_while(|(a, _)| *a == address)
            .filter_map(|(_, endpoint)| self.endpoint(*endpoint))
            .any(|entry| entry.route.service == service)
    }

    /// Decides where a QUIC datagram that a caller sent to `service` goes.
    pub fn route(
        &self,
        now: TimeMs,
        service: ServiceId,
        datagram: &[u8],
        codec: &ConnectionIdCodec,
    ) -> Route {
        match classify(datagram, codec) {
            PacketClass::Opening { key } => self.route_opening(service, key),
            PacketClass::Established { token } => self.route_established(now, service, token),
            PacketClass::Malformed => Route::Drop(ResultCode::PacketMalformed),
        }
    }

    fn route_opening(&self, service: ServiceId, key: u64) -> Route {
        let owner = self
            .service_index(service)
            .ok()
            .and_then(|index| self.services[index].slots.owner(key));
        match owner.and_then(|endpoint| self.endpoint(endpoint)) {
            Some(entry) => Route::Forward {
                to: entry.route.data_address,
                kind: ForwardKind::Opening,
            },
            None => Route::Drop(ResultCode::NoEndpoint),
        }
    }

    /// The incarnation of the token does not matter here: the agent at the address answers packets
    /// of an earlier incarnation with a stateless reset, which ends the flow sooner than silence.
    fn route_established(&self, now: TimeMs, service: ServiceId, token: ConnectionToken) -> Route {
        let Some(entry) = self.endpoint(token.endpoint) else {
            return Route::Drop(ResultCode::EndpointUnknown);
        };
        if entry.route.service != service {
            return Route::Drop(ResultCode::ServiceMismatch);
        }
        if !entry.is_reachable(now) {
            return Route::Drop(ResultCode::EndpointUnknown);
        }
        Route::Forward {
            to: entry.route.data_address,
            kind: ForwardKind::Established,
        }
    }

    fn service_index(&self, id: ServiceId) -> Result<usize, usize> {
        self.services.binary_search_by_key(&id, |entry| entry.id)
    }

    fn endpoint_index(&self, endpoint: EndpointId) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by_key(&endpoint, |entry| entry.route.endpoint)
    }

    fn endpoint(&self, endpoint: EndpointId) -> Option<&EndpointEntry> {
        let index = self.endpoint_index(endpoint).ok()?;
        Some(&self.endpoints[index])
    }

    fn set_slots(&mut self, service: ServiceId, endpoint: EndpointId, weight: Weight) {
        if let Ok(index) = self.service_index(service) {
            self.services[index].slots.set(endpoint, weight);
        }
    }

    fn learn_address(&mut self, route: &EndpointRoute) {
        let key = (route.data_address, route.endpoint);
        if let Err(index) = self.data_addresses.binary_search(&key) {
            self.data_addresses.insert(index, key);
        }
    }

    fn forget_address(&mut self, route: &EndpointRoute) {
        let key = (route.data_address, route.endpoint);
        if let Ok(index) = self.data_addresses.binary_search(&key) {
            self.data_addresses.remove(index);
        }
    }
}

impl EndpointEntry {
    fn is_reachable(&self, now: TimeMs) -> bool {
        self.left
            .is_none_or(|left| now.since(left) <= FORWARD_GONE_MS)
    }

    fn new_flow_weight(&self) -> Weight {
        if self.left.is_none() && self.route.phase.takes_new_flows() {
            self.route.weight
        } else {
            Weight::NONE
        }
    }
}
