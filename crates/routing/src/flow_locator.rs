//! Finds the agent that holds an opaque (non-QUIC) UDP flow.
//!
//! Packets of such flows do not name an endpoint. After a change of slot owners, a flow stays with
//! its agent only if every agent that receives one of its packets can find that agent. Per table
//! slot, an agent keeps the peers that may hold flows there: previous owners of the slot, and
//! agents that have searched it. A packet of an unknown flow is relayed to these candidates and
//! then to the candidates that they know; the relay header lists them all. If none of them holds
//! the flow, the packet returns to the origin of the search, which takes the flow. Agents that hold
//! no flows in the slot say so in the header, and later searches skip them.

use std::collections::HashMap;
use std::net::SocketAddr;

use hawthorntide_types::{DurationMs, EndpointId, ResultCode, TimeMs, Weight};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::relay_header::{MAX_HOPS, RelayEntry, RelayHeader, RelayPurpose};
use crate::slots::{SlotTable, TABLE_SLOTS, slot_of};
use crate::table::EndpointRoute;

/// A flow ends after this time without packets. Longer than the keepalive interval of common UDP
/// applications.
pub const FLOW_IDLE_MS: DurationMs = DurationMs(180_000);

/// A search ends after this time if its packet was lost.
const SEARCH_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// Interval between scans for expired flows.
const EXPIRY_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// A peer known only from relay headers is removed after this time. Longer than a membership change
/// takes to reach all agents.
const UNCONFIRMED_PEER_TTL_MS: DurationMs = DurationMs(30_000);

/// Limit on peers known only from relay headers, which are not authenticated.
const MAX_UNCONFIRMED_PEERS: usize = 64;

/// Candidates per table slot. A search of all of them stays within the hop limit together with a
/// preceding handoff and the return.
const MAX_CANDIDATES: usize = MAX_HOPS as usize - 2;

/// Identifies an opaque UDP flow by its addresses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowKey {
    pub caller: SocketAddr,
    /// Address to which the caller sent the packet; a service may have several.
    pub service_address: SocketAddr,
}

impl std::fmt::Display for FlowKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}>{}", self.caller, self.service_address)
    }
}

impl FlowKey {
    /// Hash that selects the table slot.
    pub fn hash(&self) -> u64 {
        let mut bytes = [0; 36];
        write_address(&mut bytes[..18], self.caller);
        write_address(&mut bytes[18..], self.service_address);
        xxh3_64(&bytes)
    }
}

fn write_address(buffer: &mut [u8], address: SocketAddr) {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        std::net::IpAddr::V6(ip) => ip,
    };
    buffer[..16].copy_from_slice(&ip.octets());
    buffer[16..].copy_from_slice(&address.port().to_be_bytes());
}

/// Sender of a packet that an agent received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "short-lived; a box would allocate per packet"
)]
pub enum OpaqueArrival {
    /// Forwarded by a balancer.
    Forwarded,
    /// Relayed by another agent.
    Relayed {
        /// How many times the packet was relayed.
        hops: u8,
        header: RelayHeader,
    },
}

/// Decision about a packet of an opaque UDP flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "short-lived; a box would allocate per packet"
)]
pub enum OpaqueDecision {
    /// This agent holds the flow: deliver the packet to the upstream.
    Deliver,
    /// Relay the packet to another agent.
    Relay {
        /// Data address of the agent.
        to: SocketAddr,
        /// Hop count for the forwarding header.
        hops: u8,
        /// Relay header to prepend to the packet.
        header: RelayHeader,
    },
    /// Drop the packet for this reason.
    Drop(ResultCode),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowState {
    Held,
    /// A packet of the flow is visiting the candidates to find the agent that holds it.
    Searching {
        /// Distinguishes the return of this search from a late return of an earlier one.
        search_id: u8,
        /// Logical time of the start.
        started_at: u64,
        /// Lowest endpoint id among the agents with an id below this agent's that also search for
        /// the flow. That agent has priority and may take the flow.
        competing_origin: Option<EndpointId>,
    },
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    state: FlowState,
    last_packet: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    endpoint: EndpointId,
    data_address: SocketAddr,
    /// Set while the peer is known only from a relay header and not yet from membership.
    unconfirmed_since: Option<TimeMs>,
}

/// Peer that may hold flows of a table slot.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    endpoint: EndpointId,
    /// Logical time of the last event that may have given it flows. A search that started earlier
    /// does not show whether it holds any.
    updated_at: u64,
}

/// Decides which agent of an opaque UDP service receives each packet.
#[derive(Clone, Debug)]
pub struct FlowLocator {
    local: EndpointId,
    local_address: SocketAddr,
    slots: SlotTable,
    /// Slot table without this agent. Its owners may have owned this agent's slots before it
    /// joined, and may hold flows there.
    slots_without_local: SlotTable,
    peers: Vec<Peer>,
    /// Indexed by table slot.
    candidates: Vec<Vec<Candidate>>,
    flows: HashMap<FlowKey, Flow>,
    flows_per_slot: Vec<u32>,
    max_flows: usize,
    last_expiry: TimeMs,
    last_search_id: u8,
    /// Logical clock, which orders searches and updates of candidates.
    logical_time: u64,
}

impl FlowLocator {
    /// Creates the locator of the agent `local`, which is about to join the service.
    ///
    /// `peers` must include every agent that holds flows, so an agent must not announce itself
    /// before it knows them all.
    pub fn new(local: &EndpointRoute, peers: &[EndpointRoute], max_flows: usize) -> Self {
        let mut locator = Self {
            local: local.endpoint,
            local_address: local.data_address,
            slots: SlotTable::new(),
            slots_without_local: SlotTable::new(),
            peers: Vec::new(),
            candidates: vec![Vec::new(); TABLE_SLOTS],
            flows: HashMap::new(),
            flows_per_slot: vec![0; TABLE_SLOTS],
            max_flows,
            last_expiry: TimeMs::default(),
            last_search_id: 0,
            logical_time: 0,
        };
        for route in peers {
            locator.set_peer(route);
            set_route(&mut locator.slots, route);
            set_route(&mut locator.slots_without_local, route);
        }
        for slot in 0..TABLE_SLOTS {
            if locator.slots_without_local.owner_endpoint(slot).is_some() {
                locator.add_owner_without_local(slot);
                continue;
            }
            // All peers are draining. Any of them may hold flows of the slot, because none of them
            // knows which one took the latest flows.
            for route in peers {
                locator.add_candidate(slot, route.endpoint);
            }
        }
        set_route(&mut locator.slots, local);
        locator
    }

    /// Adds or updates an agent of the service, possibly this one.
    pub fn set_member(&mut self, route: &EndpointRoute) {
        self.set_peer(route);
        self.update_tables(|slots| set_route(slots, route), route.endpoint);
    }

    /// Removes an agent that has lost its flows or never had any.
    pub fn remove_member(&mut self, endpoint: EndpointId) {
        if let Ok(index) = self.peer_index(endpoint) {
            let address = self.peers.remove(index).data_address;
            self.update_tables(|slots| slots.set(endpoint, address, Weight::NONE), endpoint);
        }
        for candidates in &mut self.candidates {
            candidates.retain(|candidate| candidate.endpoint != endpoint);
        }
    }

    pub fn held_flows(&self) -> usize {
        let is_held = |flow: &&Flow| matches!(flow.state, FlowState::Held);
        self.flows.values().filter(is_held).count()
    }

    pub fn holds(&self, key: &FlowKey) -> bool {
        self.flows
            .get(key)
            .is_some_and(|flow| matches!(flow.state, FlowState::Held))
    }

    /// Decides where a packet of the flow `key` goes, and removes expired flows.
    pub fn handle(&mut self, now: TimeMs, key: FlowKey, arrival: OpaqueArrival) -> OpaqueDecision {
        self.remove_expired(now);
        let slot = slot_of(key.hash());
        let (hops, header) = match arrival {
            OpaqueArrival::Forwarded => (0, RelayHeader::new()),
            OpaqueArrival::Relayed { hops, .. } if hops > MAX_HOPS => {
                return OpaqueDecision::Drop(ResultCode::HopLimit);
            }
            OpaqueArrival::Relayed { hops, header } => (hops, header),
        };
        if let Some(flow) = self.flows.get_mut(&key)
            && matches!(flow.state, FlowState::Held)
        {
            flow.last_packet = now;
            return OpaqueDecision::Deliver;
        }
        let packet = Packet {
            now,
            key,
            slot,
            hops,
            header,
        };
        match packet.header.purpose {
            RelayPurpose::Handoff => self.hand_off_or_search(packet),
            RelayPurpose::Search => self.handle_search(packet),
            RelayPurpose::Return if packet.header.origin == self.local => {
                self.finish_search(packet)
            }
            RelayPurpose::Return => OpaqueDecision::Drop(ResultCode::PacketMalformed),
        }
    }

    /// Hands a packet off to the owner of its table slot. Searches for the holder of the flow if
    /// this agent is the owner or the packet has been handed off already.
    ///
    /// A packet is handed off at most once, so that a search of six agents and its return stay
    /// within the hop limit.
    fn hand_off_or_search(&mut self, mut packet: Packet) -> OpaqueDecision {
        // The balancer had an owner for the slot; if this agent knows none, it acts as the owner.
        let owner = self.slots.owner_endpoint(packet.slot);
        let owner = owner.unwrap_or(self.local);
        if owner != self.local && packet.hops == 0 {
            packet.header.set(self.local_entry());
            return match self.peer(owner) {
                Some(peer) => relay(packet, peer.data_address),
                None => OpaqueDecision::Drop(ResultCode::EndpointUnknown),
            };
        }
        let Some(search_id) = self.join_or_begin_search(&packet) else {
            return OpaqueDecision::Drop(ResultCode::OpeningLimited);
        };
        packet.header.search_id = search_id;
        packet.header.purpose = RelayPurpose::Search;
        packet.header.origin = self.local;
        // The agent that handed the packet off may have started a search since, so visit it too.
        packet.header.clear_visited();
        packet.header.set(self.local_entry());
        self.add_candidates_to(&mut packet);
        self.forward_search(packet)
    }

    /// Handles a search packet of another agent: records this agent's state and relays the packet.
    fn handle_search(&mut self, mut packet: Packet) -> OpaqueDecision {
        let origin = packet.header.origin;
        self.add_unconfirmed_peers(packet.now, &packet.header);
        if let Some(flow) = self.flows.get_mut(&packet.key)
            && let FlowState::Searching {
                competing_origin, ..
            } = &mut flow.state
        {
            // Of two agents that search for a flow concurrently, at least one visits the other. The
            // one with the lower id continues and the other drops its packet, so that at most one
            // of them takes the flow.
            if origin < self.local {
                *competing_origin =
                    Some(competing_origin.map_or(origin, |other| other.min(origin)));
            } else if packet.header.competing_origin == EndpointId::default()
                || self.local < packet.header.competing_origin
            {
                packet.header.competing_origin = self.local;
            }
        }
        let has_room = self.add_candidates_to(&mut packet);
        let is_slot_empty = self.flows_per_slot[packet.slot] == 0;
        let is_origin_owner = self.slots.owner_endpoint(packet.slot) == Some(origin);
        packet.header.set(RelayEntry {
            is_slot_empty,
            is_skippable: is_slot_empty && is_origin_owner && has_room,
            ..self.local_entry()
        });
        self.add_candidate(packet.slot, origin);
        self.forward_search(packet)
    }

    /// Relays a search packet to the next candidate, or back to its origin after the last one.
    fn forward_search(&mut self, mut packet: Packet) -> OpaqueDecision {
        let is_within_limit = packet.hops + 2 <= MAX_HOPS;
        if let Some(next) = packet.header.next_unvisited()
            && is_within_limit
        {
            let to = next.data_address;
            return relay(packet, to);
        }
        if packet.header.origin == self.local {
            return self.finish_search(packet);
        }
        let Some(origin) = packet.header.entry(packet.header.origin) else {
            return OpaqueDecision::Drop(ResultCode::PacketMalformed);
        };
        let to = origin.data_address;
        packet.header.purpose = RelayPurpose::Return;
        relay(packet, to)
    }

    /// Takes the flow after a search that found no holder.
    fn finish_search(&mut self, packet: Packet) -> OpaqueDecision {
        let flow = self.flows.get(&packet.key).copied();
        let Some(Flow {
            state:
                FlowState::Searching {
                    search_id,
                    started_at,
                    competing_origin,
                },
            ..
        }) = flow
        else {
            return OpaqueDecision::Drop(ResultCode::InProgress);
        };
        if search_id != packet.header.search_id {
            return OpaqueDecision::Drop(ResultCode::InProgress);
        }
        self.update_candidates(&packet, started_at);
        if packet.header.is_truncated || packet.header.next_unvisited().is_some() {
            // An agent that was not visited may hold the flow; taking it here could break it.
            return OpaqueDecision::Drop(ResultCode::HopLimit);
        }
        if competing_origin.is_some() || packet.header.competing_origin != EndpointId::default() {
            return OpaqueDecision::Drop(ResultCode::InProgress);
        }
        let flow = Flow {
            state: FlowState::Held,
            last_packet: packet.now,
        };
        self.flows.insert(packet.key, flow);
        OpaqueDecision::Deliver
    }

    /// Updates the candidates of the slot with the result of a search that started at `started_at`;
    /// agents with flows come first.
    fn update_candidates(&mut self, packet: &Packet, started_at: u64) {
        self.add_unconfirmed_peers(packet.now, &packet.header);
        let mut old = std::mem::take(&mut self.candidates[packet.slot]);
        old.retain(|candidate| {
            let entry = packet.header.entry(candidate.endpoint);
            candidate.updated_at > started_at || entry.is_none_or(|entry| !entry.is_skippable)
        });
        let is_new = |entry: &&RelayEntry| {
            let is_local = entry.endpoint == self.local;
            let is_known = old
                .iter()
                .any(|candidate| candidate.endpoint == entry.endpoint);
            !is_local && !entry.is_skippable && !is_known && self.peer(entry.endpoint).is_some()
        };
        let found = packet.header.entries().iter().filter(is_new);
        let found: Vec<_> = found
            .map(|entry| Candidate {
                endpoint: entry.endpoint,
                updated_at: started_at,
            })
            .collect();
        old.extend(found);
        let is_slot_empty = |candidate: &Candidate| {
            let entry = packet.header.entry(candidate.endpoint);
            entry.is_none_or(|entry| entry.is_slot_empty)
        };
        old.sort_by_key(is_slot_empty);
        old.truncate(MAX_CANDIDATES);
        self.candidates[packet.slot] = old;
    }

    /// Adds the candidates and the owner of the slot to the header; returns whether all fit.
    fn add_candidates_to(&self, packet: &mut Packet) -> bool {
        let owner = self.slots.owner_endpoint(packet.slot);
        let candidates = self.candidates[packet.slot].iter();
        let candidates = candidates.map(|candidate| candidate.endpoint).chain(owner);
        let mut has_room = true;
        for candidate in candidates {
            if packet.header.entry(candidate).is_some() {
                continue;
            }
            let Some(peer) = self.peer(candidate) else {
                continue;
            };
            has_room &= packet.header.set(RelayEntry {
                endpoint: candidate,
                data_address: peer.data_address,
                is_visited: false,
                is_slot_empty: false,
                is_skippable: false,
            });
        }
        packet.header.is_truncated |= !has_room;
        has_room
    }

    fn local_entry(&self) -> RelayEntry {
        RelayEntry {
            endpoint: self.local,
            data_address: self.local_address,
            is_visited: true,
            is_slot_empty: false,
            is_skippable: false,
        }
    }

    /// Adds agents that a relay header names and membership has not reported yet.
    fn add_unconfirmed_peers(&mut self, now: TimeMs, header: &RelayHeader) {
        for entry in header.entries() {
            let Err(index) = self.peer_index(entry.endpoint) else {
                continue;
            };
            let is_local = entry.endpoint == self.local;
            if is_local || EndpointId::of_address(entry.data_address) != entry.endpoint {
                continue;
            }
            let unconfirmed = self
                .peers
                .iter()
                .filter(|peer| peer.unconfirmed_since.is_some());
            if unconfirmed.count() < MAX_UNCONFIRMED_PEERS {
                let peer = Peer {
                    endpoint: entry.endpoint,
                    data_address: entry.data_address,
                    unconfirmed_since: Some(now),
                };
                self.peers.insert(index, peer);
            }
        }
    }

    /// Returns the id of the running search for the flow, or starts one; `None` when the limit on
    /// flows is reached.
    ///
    /// Later packets join a running search without extending its timeout. If they extended it, a
    /// competing origin that has given up would block the flow for as long as packets keep
    /// arriving.
    fn join_or_begin_search(&mut self, packet: &Packet) -> Option<u8> {
        if let Some(flow) = self.flows.get(&packet.key)
            && let FlowState::Searching { search_id, .. } = flow.state
        {
            return Some(search_id);
        }
        if self.flows.len() >= self.max_flows {
            return None;
        }
        self.last_search_id = self.last_search_id.wrapping_add(1);
        self.logical_time += 1;
        let search_id = self.last_search_id;
        let flow = Flow {
            state: FlowState::Searching {
                search_id,
                started_at: self.logical_time,
                competing_origin: None,
            },
            last_packet: packet.now,
        };
        self.flows.insert(packet.key, flow);
        self.flows_per_slot[packet.slot] += 1;
        Some(search_id)
    }

    /// Applies a change to both tables and makes the previous owners of reassigned slots
    /// candidates.
    fn update_tables(&mut self, update: impl Fn(&mut SlotTable), endpoint: EndpointId) {
        let old_owners = self.slots.owner_endpoints();
        update(&mut self.slots);
        for (slot, old) in old_owners.into_iter().enumerate() {
            if let Some(old) = old
                && self.slots.owner_endpoint(slot) != Some(old)
            {
                self.add_candidate(slot, old);
            }
        }
        if endpoint == self.local {
            return;
        }
        let old_owners_without_local = self.slots_without_local.owner_endpoints();
        update(&mut self.slots_without_local);
        for (slot, old) in old_owners_without_local.into_iter().enumerate() {
            if self.slots_without_local.owner_endpoint(slot) != old {
                self.add_owner_without_local(slot);
            }
        }
    }

    fn add_owner_without_local(&mut self, slot: usize) {
        if let Some(owner) = self.slots_without_local.owner_endpoint(slot) {
            self.add_candidate(slot, owner);
        }
    }

    fn add_candidate(&mut self, slot: usize, endpoint: EndpointId) {
        if endpoint == self.local || self.peer(endpoint).is_none() {
            return;
        }
        self.logical_time += 1;
        let updated_at = self.logical_time;
        let candidates = &mut self.candidates[slot];
        let known = candidates
            .iter_mut()
            .find(|candidate| candidate.endpoint == endpoint);
        if let Some(known) = known {
            known.updated_at = updated_at;
            return;
        }
        candidates.insert(
            0,
            Candidate {
                endpoint,
                updated_at,
            },
        );
        candidates.truncate(MAX_CANDIDATES);
    }

    fn set_peer(&mut self, route: &EndpointRoute) {
        if route.endpoint == self.local {
            return;
        }
        let peer = Peer {
            endpoint: route.endpoint,
            data_address: route.data_address,
            unconfirmed_since: None,
        };
        match self.peer_index(route.endpoint) {
            Ok(index) => self.peers[index] = peer,
            Err(index) => self.peers.insert(index, peer),
        }
    }

    fn peer(&self, endpoint: EndpointId) -> Option<&Peer> {
        let index = self.peer_index(endpoint).ok()?;
        Some(&self.peers[index])
    }

    fn peer_index(&self, endpoint: EndpointId) -> Result<usize, usize> {
        self.peers
            .binary_search_by_key(&endpoint, |peer| peer.endpoint)
    }

    /// Removes expired flows, searches and unconfirmed peers. Scans at intervals, so that most
    /// packets do not bear the cost.
    fn remove_expired(&mut self, now: TimeMs) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry = now;
        let flows_per_slot = &mut self.flows_per_slot;
        self.flows.retain(|key, flow| {
            let limit = match flow.state {
                FlowState::Held => FLOW_IDLE_MS,
                FlowState::Searching { .. } => SEARCH_TIMEOUT_MS,
            };
            let is_alive = now.since(flow.last_packet) <= limit;
            if !is_alive {
                flows_per_slot[slot_of(key.hash())] -= 1;
            }
            is_alive
        });
        let is_expired = |since: TimeMs| now.since(since) > UNCONFIRMED_PEER_TTL_MS;
        let old = self
            .peers
            .iter()
            .filter(|peer| peer.unconfirmed_since.is_some_and(is_expired));
        for endpoint in old.map(|peer| peer.endpoint).collect::<Vec<_>>() {
            self.remove_member(endpoint);
        }
    }
}

/// Packet being handled, with the state derived from it.
struct Packet {
    now: TimeMs,
    key: FlowKey,
    slot: usize,
    hops: u8,
    header: RelayHeader,
}

fn relay(packet: Packet, to: SocketAddr) -> OpaqueDecision {
    let hops = packet.hops + 1;
    if hops > MAX_HOPS {
        return OpaqueDecision::Drop(ResultCode::HopLimit);
    }
    OpaqueDecision::Relay {
        to,
        hops,
        header: packet.header,
    }
}

fn set_route(slots: &mut SlotTable, route: &EndpointRoute) {
    let weight = if route.phase.takes_new_flows() {
        route.weight
    } else {
        Weight::NONE
    };
    slots.set(route.endpoint, route.data_address, weight);
}
