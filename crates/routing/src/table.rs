//! Services, endpoints and the decision where a datagram goes.

use std::collections::VecDeque;
use std::net::SocketAddr;

use hawthorntide_types::{
    DurationMs, EndpointId, Incarnation, Phase, ResultCode, ServiceId, TimeMs, Transport, Weight,
};
use hawthorntide_wire::ForwardKind;

use crate::id_map::IdMap;
use crate::slots::SlotTable;
use crate::{ConnectionIdCodec, ConnectionToken, FlowKey, PacketClass, classify};

/// How long packets of established flows still go to an endpoint that left; twice the expected
/// length of a region split, in which endpoints seem gone that still hold flows.
pub const REMOVED_ENDPOINT_RETENTION_MS: DurationMs = DurationMs(2 * 60 * 60 * 1000);

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

/// Index of an endpoint in the routing table.
type Position = u32;

#[derive(Clone, Debug)]
struct ServiceEntry {
    addresses: Vec<SocketAddr>,
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
///
/// Endpoints have stable positions, so that a change moves no other endpoint.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    services: IdMap<ServiceId, Box<ServiceEntry>>,
    service_addresses: IdMap<SocketAddr, ServiceId>,
    endpoints: Vec<Option<EndpointEntry>>,
    free_positions: Vec<Position>,
    positions: IdMap<EndpointId, Position>,
    data_addresses: IdMap<SocketAddr, Position>,
    /// Endpoints that left, in the order in which they did; some may have come back since.
    gone: VecDeque<(TimeMs, EndpointId)>,
}

impl RoutingTable {
    /// Creates a table without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or changes a service; an address belongs to the last service that was set with it.
    pub fn set_service(&mut self, id: ServiceId, addresses: &[SocketAddr], transport: Transport) {
        if let Some(service) = self.services.get_mut(&id) {
            let old_addresses = std::mem::replace(&mut service.addresses, addresses.to_vec());
            service.transport = transport;
            self.forget_service_addresses(id, &old_addresses);
        } else {
            let service = self.new_service(id, addresses, transport);
            self.services.insert(id, Box::new(service));
        }
        for address in addresses {
            self.service_addresses.insert(*address, id);
        }
    }

    /// Removes a service; its endpoints stay known.
    pub fn remove_service(&mut self, id: ServiceId) {
        if let Some(service) = self.services.remove(&id) {
            self.forget_service_addresses(id, &service.addresses);
        }
    }

    /// Adds or changes an endpoint; a route of an earlier incarnation than the known one is ignored.
    pub fn set_endpoint(&mut self, route: EndpointRoute) {
        let entry = EndpointEntry { route, left: None };
        let position = match self.positions.get(&route.endpoint) {
            Some(&position) => {
                if !self.replace_endpoint(position, entry) {
                    return;
                }
                position
            }
            None => self.add_endpoint(entry),
        };
        self.data_addresses.insert(route.data_address, position);
        self.set_slots(&entry);
    }

    /// Takes an endpoint out of the tables; its established flows still reach its address for
    /// [`REMOVED_ENDPOINT_RETENTION_MS`].
    pub fn remove_endpoint(&mut self, now: TimeMs, endpoint: EndpointId) {
        self.purge_removed_endpoints(now);
        let Some(&position) = self.positions.get(&endpoint) else {
            return;
        };
        let Some(entry) = &mut self.endpoints[position as usize] else {
            return;
        };
        if entry.left.is_some() {
            return;
        }
        entry.left = Some(now);
        let entry = *entry;
        self.gone.push_back((now, endpoint));
        self.set_slots(&entry);
    }

    /// Forgets the endpoints that left more than [`REMOVED_ENDPOINT_RETENTION_MS`] ago.
    pub fn purge_removed_endpoints(&mut self, now: TimeMs) {
        while let Some(&(left, endpoint)) = self.gone.front() {
            if now.since(left) <= REMOVED_ENDPOINT_RETENTION_MS {
                return;
            }
            self.gone.pop_front();
            self.forget_endpoint(left, endpoint);
        }
    }

    /// Returns the service that callers reach at `address`.
    pub fn service_of(&self, address: SocketAddr) -> Option<ServiceId> {
        self.service_addresses.get(&address).copied()
    }

    /// Returns whether replies of `service` may come from the data address `address`.
    pub fn is_endpoint_of(&self, service: ServiceId, address: SocketAddr) -> bool {
        self.data_addresses
            .get(&address)
            .and_then(|position| self.endpoints[*position as usize].as_ref())
            .is_some_and(|entry| entry.route.service == service)
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

    /// Decides where a datagram of an opaque UDP flow goes.
    pub fn route_opaque(&self, service: ServiceId, flow: &FlowKey) -> Route {
        match self.route_opening(service, flow.hash()) {
            Route::Forward { to, .. } => Route::Forward {
                to,
                kind: ForwardKind::Opaque,
            },
            dropped @ Route::Drop(_) => dropped,
        }
    }

    /// Returns the transport of a service.
    pub fn transport_of(&self, service: ServiceId) -> Option<Transport> {
        self.services.get(&service).map(|entry| entry.transport)
    }

    fn route_opening(&self, service: ServiceId, key: u64) -> Route {
        let owner = self
            .services
            .get(&service)
            .and_then(|service| service.slots.owner(key));
        match owner {
            Some(to) => Route::Forward {
                to,
                kind: ForwardKind::Opening,
            },
            None => Route::Drop(ResultCode::NoEndpoint),
        }
    }

    /// The incarnation of the token does not matter here: the agent at the address answers packets
    /// of an earlier incarnation with a stateless reset, which ends the flow sooner than silence.
    fn route_established(&self, now: TimeMs, service: ServiceId, token: ConnectionToken) -> Route {
        let entry = self
            .positions
            .get(&token.endpoint)
            .and_then(|position| self.endpoints[*position as usize].as_ref());
        let Some(entry) = entry else {
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

    fn new_service(
        &self,
        id: ServiceId,
        addresses: &[SocketAddr],
        transport: Transport,
    ) -> ServiceEntry {
        let mut slots = SlotTable::new();
        for entry in self.endpoints.iter().flatten() {
            if entry.route.service == id {
                entry.enter(&mut slots);
            }
        }
        ServiceEntry {
            addresses: addresses.to_vec(),
            transport,
            slots,
        }
    }

    fn forget_service_addresses(&mut self, id: ServiceId, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.service_addresses.get(address) == Some(&id) {
                self.service_addresses.remove(address);
            }
        }
    }

    fn add_endpoint(&mut self, entry: EndpointEntry) -> Position {
        let position = self.free_positions.pop().unwrap_or_else(|| {
            self.endpoints.push(None);
            (self.endpoints.len() - 1) as Position
        });
        self.endpoints[position as usize] = Some(entry);
        self.positions.insert(entry.route.endpoint, position);
        position
    }

    /// Returns whether the entry at `position` was not newer than `entry` and was replaced.
    fn replace_endpoint(&mut self, position: Position, entry: EndpointEntry) -> bool {
        let Some(known) = &mut self.endpoints[position as usize] else {
            return false;
        };
        if known.route.incarnation > entry.route.incarnation {
            return false;
        }
        let old = std::mem::replace(known, entry);
        if old.route.service != entry.route.service
            && let Some(service) = self.services.get_mut(&old.route.service)
        {
            let EndpointRoute {
                endpoint,
                data_address,
                ..
            } = old.route;
            service.slots.set(endpoint, data_address, Weight::NONE);
        }
        if old.route.data_address != entry.route.data_address {
            self.forget_data_address(old.route.data_address, position);
        }
        true
    }

    /// Forgets `endpoint` unless it came back since it left at `left`.
    fn forget_endpoint(&mut self, left: TimeMs, endpoint: EndpointId) {
        let Some(&position) = self.positions.get(&endpoint) else {
            return;
        };
        let Some(entry) = self.endpoints[position as usize] else {
            return;
        };
        if entry.left != Some(left) {
            return;
        }
        self.forget_data_address(entry.route.data_address, position);
        self.positions.remove(&endpoint);
        self.endpoints[position as usize] = None;
        self.free_positions.push(position);
    }

    fn forget_data_address(&mut self, address: SocketAddr, position: Position) {
        if self.data_addresses.get(&address) == Some(&position) {
            self.data_addresses.remove(&address);
        }
    }

    fn set_slots(&mut self, entry: &EndpointEntry) {
        if let Some(service) = self.services.get_mut(&entry.route.service) {
            entry.enter(&mut service.slots);
        }
    }
}

impl EndpointEntry {
    fn is_reachable(&self, now: TimeMs) -> bool {
        self.left
            .is_none_or(|left| now.since(left) <= REMOVED_ENDPOINT_RETENTION_MS)
    }

    fn enter(&self, slots: &mut SlotTable) {
        let EndpointRoute {
            endpoint,
            data_address,
            ..
        } = self.route;
        slots.set(endpoint, data_address, self.new_flow_weight());
    }

    fn new_flow_weight(&self) -> Weight {
        if self.left.is_none() && self.route.phase.takes_new_flows() {
            self.route.weight
        } else {
            Weight::NONE
        }
    }
}
