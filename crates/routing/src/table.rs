//! Routing table: services, their endpoints, and the forwarding decision for each datagram.

use std::collections::VecDeque;
use std::net::SocketAddr;

use hawthorntide_types::{
    DurationMs, EndpointId, Incarnation, Phase, ResultCode, ServiceId, TimeMs, Transport, Weight,
};
use hawthorntide_wire::ForwardKind;

use crate::id_map::IdMap;
use crate::slots::SlotTable;
use crate::{ConnectionIdCodec, DecodedConnectionId, FlowKey, PacketClass, classify};

/// How long packets of established flows are still forwarded to a removed endpoint.
///
/// During a network partition between regions, endpoints of the other region are removed although
/// they still hold flows; this is twice the expected length of such a partition.
pub const REMOVED_ENDPOINT_RETENTION_MS: DurationMs = DurationMs(2 * 60 * 60 * 1000);

/// What the routing table needs to know about an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointRoute {
    pub endpoint: EndpointId,
    pub incarnation: Incarnation,
    pub service: ServiceId,
    /// Address at which its agent receives forwarded packets.
    pub data_address: SocketAddr,
    /// Decides whether the endpoint takes new flows.
    pub phase: Phase,
    /// Share of new flows relative to the other endpoints of the service.
    pub weight: Weight,
}

/// Forwarding decision for one datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Forward the datagram to an agent.
    Forward {
        /// Data address of the agent.
        to: SocketAddr,
        /// Packet kind for the forwarding header.
        kind: ForwardKind,
    },
    /// Drop the datagram for this reason.
    Drop(ResultCode),
}

/// Index in [`RoutingTable::endpoints`].
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
    /// Set while a removed endpoint is retained for its established flows.
    removed_at: Option<TimeMs>,
}

/// Maps the packets of all services to agents.
///
/// An endpoint keeps its position, so that adding or removing one does not move the others.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    services: IdMap<ServiceId, Box<ServiceEntry>>,
    service_addresses: IdMap<SocketAddr, ServiceId>,
    endpoints: Vec<Option<EndpointEntry>>,
    free_positions: Vec<Position>,
    positions: IdMap<EndpointId, Position>,
    data_addresses: IdMap<SocketAddr, Position>,
    /// Removed endpoints in the order of their removal; some may have been added again since.
    removed: VecDeque<(TimeMs, EndpointId)>,
}

impl RoutingTable {
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates a service. An address claimed by two services belongs to the last one set.
    pub fn set_service(&mut self, id: ServiceId, addresses: &[SocketAddr], transport: Transport) {
        if let Some(service) = self.services.get_mut(&id) {
            let old_addresses = std::mem::replace(&mut service.addresses, addresses.to_vec());
            service.transport = transport;
            self.remove_service_addresses(id, &old_addresses);
        } else {
            let service = self.new_service(id, addresses, transport);
            self.services.insert(id, Box::new(service));
        }
        for address in addresses {
            self.service_addresses.insert(*address, id);
        }
    }

    /// Removes a service but keeps its endpoints, in case the service is added again.
    pub fn remove_service(&mut self, id: ServiceId) {
        if let Some(service) = self.services.remove(&id) {
            self.remove_service_addresses(id, &service.addresses);
        }
    }

    /// Adds or updates an endpoint, unless `route` is of an earlier incarnation than the known one.
    pub fn set_endpoint(&mut self, route: EndpointRoute) {
        let entry = EndpointEntry {
            route,
            removed_at: None,
        };
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
        self.update_slots(&entry);
    }

    /// Stops sending new flows to an endpoint. Packets of its established flows are still forwarded
    /// to it for [`REMOVED_ENDPOINT_RETENTION_MS`].
    pub fn remove_endpoint(&mut self, now: TimeMs, endpoint: EndpointId) {
        self.purge_removed_endpoints(now);
        let Some(&position) = self.positions.get(&endpoint) else {
            return;
        };
        let Some(entry) = &mut self.endpoints[position as usize] else {
            return;
        };
        if entry.removed_at.is_some() {
            return;
        }
        entry.removed_at = Some(now);
        let entry = *entry;
        self.removed.push_back((now, endpoint));
        self.update_slots(&entry);
    }

    /// Deletes the endpoints that were removed more than [`REMOVED_ENDPOINT_RETENTION_MS`] ago.
    pub fn purge_removed_endpoints(&mut self, now: TimeMs) {
        while let Some(&(removed_at, endpoint)) = self.removed.front() {
            if now.since(removed_at) <= REMOVED_ENDPOINT_RETENTION_MS {
                return;
            }
            self.removed.pop_front();
            self.purge_endpoint(removed_at, endpoint);
        }
    }

    /// Looks up the service by the address to which callers send.
    pub fn service_of(&self, address: SocketAddr) -> Option<ServiceId> {
        self.service_addresses.get(&address).copied()
    }

    /// Returns whether `address` is the data address of an endpoint of `service`, from which its
    /// replies may come.
    pub fn is_endpoint_of(&self, service: ServiceId, address: SocketAddr) -> bool {
        self.data_addresses
            .get(&address)
            .and_then(|position| self.endpoints[*position as usize].as_ref())
            .is_some_and(|entry| entry.route.service == service)
    }

    /// Routes a QUIC datagram from a caller to `service`.
    pub fn route(
        &self,
        now: TimeMs,
        service: ServiceId,
        datagram: &[u8],
        codec: &ConnectionIdCodec,
    ) -> Route {
        match classify(datagram, codec) {
            PacketClass::Opening { key } => self.route_opening(service, key),
            PacketClass::Established { connection_id } => {
                self.route_established(now, service, connection_id)
            }
            PacketClass::Malformed => Route::Drop(ResultCode::PacketMalformed),
        }
    }

    /// Routes a datagram of an opaque (non-QUIC) UDP flow by the hash of its flow key.
    pub fn route_opaque(&self, service: ServiceId, flow: &FlowKey) -> Route {
        match self.route_opening(service, flow.hash()) {
            Route::Forward { to, .. } => Route::Forward {
                to,
                kind: ForwardKind::Opaque,
            },
            dropped @ Route::Drop(_) => dropped,
        }
    }

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

    /// Ignores the incarnation in the connection identifier: the agent answers packets of an
    /// earlier incarnation with a stateless reset, so that the caller need not wait for its idle
    /// timeout.
    fn route_established(
        &self,
        now: TimeMs,
        service: ServiceId,
        connection_id: DecodedConnectionId,
    ) -> Route {
        let entry = self
            .positions
            .get(&connection_id.endpoint)
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
                entry.apply_to(&mut slots);
            }
        }
        ServiceEntry {
            addresses: addresses.to_vec(),
            transport,
            slots,
        }
    }

    fn remove_service_addresses(&mut self, id: ServiceId, addresses: &[SocketAddr]) {
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

    /// Replaces the entry at `position` and returns true, unless it is of a newer incarnation.
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
            self.remove_data_address(old.route.data_address, position);
        }
        true
    }

    /// Deletes `endpoint` unless it was added again after its removal at `removed_at`.
    fn purge_endpoint(&mut self, removed_at: TimeMs, endpoint: EndpointId) {
        let Some(&position) = self.positions.get(&endpoint) else {
            return;
        };
        let Some(entry) = self.endpoints[position as usize] else {
            return;
        };
        if entry.removed_at != Some(removed_at) {
            return;
        }
        self.remove_data_address(entry.route.data_address, position);
        self.positions.remove(&endpoint);
        self.endpoints[position as usize] = None;
        self.free_positions.push(position);
    }

    fn remove_data_address(&mut self, address: SocketAddr, position: Position) {
        if self.data_addresses.get(&address) == Some(&position) {
            self.data_addresses.remove(&address);
        }
    }

    fn update_slots(&mut self, entry: &EndpointEntry) {
        if let Some(service) = self.services.get_mut(&entry.route.service) {
            entry.apply_to(&mut service.slots);
        }
    }
}

impl EndpointEntry {
    fn is_reachable(&self, now: TimeMs) -> bool {
        self.removed_at
            .is_none_or(|removed_at| now.since(removed_at) <= REMOVED_ENDPOINT_RETENTION_MS)
    }

    fn apply_to(&self, slots: &mut SlotTable) {
        let EndpointRoute {
            endpoint,
            data_address,
            ..
        } = self.route;
        slots.set(endpoint, data_address, self.new_flow_weight());
    }

    fn new_flow_weight(&self) -> Weight {
        if self.removed_at.is_none() && self.route.phase.takes_new_flows() {
            self.route.weight
        } else {
            Weight::NONE
        }
    }
}
