//! Agent's decisions about packets of opaque UDP flows.
//!
//! Such packets name no endpoint, so a flow stays with its agent only if each agent that gets one of
//! its packets finds that agent. Per table slot an agent knows others that may hold flows there:
//! earlier owners, and agents that searched there before. A packet of an unknown flow visits these,
//! and those that they know in turn; its trail lists them. When none holds the flow, the packet
//! returns to the agent where the search began, which then holds the flow. Agents without flows in
//! the table slot say so in the trail and drop out of later searches.

use std::collections::HashMap;
use std::net::SocketAddr;

use hawthorntide_types::{DurationMs, EndpointId, ResultCode, TimeMs, Weight};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::relay_header::{MAX_HOPS, RelayPurpose, RelayTrail, TrailEntry};
use crate::slots::{SlotTable, TABLE_SLOTS, slot_of};
use crate::table::EndpointRoute;

/// Time without packets after which a flow ends; longer than the keepalive intervals of usual UDP
/// applications.
pub const FLOW_IDLE_MS: DurationMs = DurationMs(180_000);

/// Time after which a search whose packet was lost is forgotten.
const SEARCH_LIMIT_MS: DurationMs = DurationMs(1_000);

/// Time between two passes over all flows for those that ended.
const EXPIRY_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Time after which a sibling that is known from a trail only is forgotten; longer than membership
/// takes to spread.
const HEARSAY_LIMIT_MS: DurationMs = DurationMs(30_000);

/// Siblings that may be known from trails only; they come from packets without a keyed tag.
const MAX_HEARSAY: usize = 64;

/// Agents that one table slot remembers: a search visits them all and returns within the hop limit,
/// also after a handoff.
const MAX_CANDIDATES: usize = MAX_HOPS as usize - 2;

/// Identifies an opaque UDP flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowKey {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address of the service that the caller used.
    pub service_address: SocketAddr,
}

impl std::fmt::Display for FlowKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}>{}", self.caller, self.service_address)
    }
}

impl FlowKey {
    /// Returns the hash that selects the table slot.
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

/// How a packet reached the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "short-lived; a box would allocate per packet"
)]
pub enum OpaqueArrival {
    /// From a balancer.
    Forwarded,
    /// From another agent.
    Relayed {
        /// Agents that the packet passed through.
        hops: u8,
        /// Its way so far.
        trail: RelayTrail,
    },
}

/// What happens to a packet of an opaque UDP flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "short-lived; a box would allocate per packet"
)]
pub enum OpaqueDecision {
    /// The flow is held here; the packet goes to the upstream.
    Hold,
    /// The packet goes to another agent.
    Relay {
        /// Data address of the agent.
        to: SocketAddr,
        /// Hops for the forwarding header.
        hops: u8,
        /// Trail for the front of the packet.
        trail: RelayTrail,
    },
    /// The packet is dropped for this reason.
    Drop(ResultCode),
}

/// What is known about a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowState {
    Held,
    /// A packet is on its way to find the holder.
    Searching {
        /// Tells the returns of this search from late ones of an earlier search.
        number: u8,
        /// Step at which it began.
        began: u64,
        /// Lowest agent below this one that searches too, and may therefore take the flow.
        rival: Option<EndpointId>,
    },
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    state: FlowState,
    last_packet: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct Sibling {
    endpoint: EndpointId,
    data_address: SocketAddr,
    /// When a trail named the sibling, which membership has not yet.
    hearsay_since: Option<TimeMs>,
}

/// Agent that may hold flows of a table slot.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    endpoint: EndpointId,
    /// Step at which it last gave reason to be searched; a search that began before cannot tell that
    /// it still holds nothing.
    since: u64,
}

/// Decides which agent takes each packet of an opaque UDP service.
#[derive(Clone, Debug)]
pub struct OpaqueMachine {
    own: EndpointId,
    own_address: SocketAddr,
    /// Owners of the table slots.
    slots: SlotTable,
    /// Owners as they would be without this agent, which may have been owners before it joined.
    others: SlotTable,
    siblings: Vec<Sibling>,
    /// Agents that may hold flows, by table slot.
    candidates: Vec<Vec<Candidate>>,
    flows: HashMap<FlowKey, Flow>,
    flows_per_slot: Vec<u32>,
    max_flows: usize,
    last_expiry: TimeMs,
    last_search: u8,
    /// Counts searches and reasons for searches in their order.
    step: u64,
}

impl OpaqueMachine {
    /// Creates the machine of the agent `own`, which joins the siblings that serve already.
    ///
    /// The siblings must include each one that holds flows; an agent must not announce itself
    /// before it knows them.
    pub fn new(own: &EndpointRoute, siblings: &[EndpointRoute], max_flows: usize) -> Self {
        let mut machine = Self {
            own: own.endpoint,
            own_address: own.data_address,
            slots: SlotTable::new(),
            others: SlotTable::new(),
            siblings: Vec::new(),
            candidates: vec![Vec::new(); TABLE_SLOTS],
            flows: HashMap::new(),
            flows_per_slot: vec![0; TABLE_SLOTS],
            max_flows,
            last_expiry: TimeMs::default(),
            last_search: 0,
            step: 0,
        };
        for route in siblings {
            machine.learn(route);
            enter(&mut machine.slots, route);
            enter(&mut machine.others, route);
        }
        for slot in 0..TABLE_SLOTS {
            if machine.others.owner_endpoint(slot).is_some() {
                machine.add_owner_candidate(slot);
                continue;
            }
            // All siblings drain; none of them knows who took flows last.
            for route in siblings {
                machine.add_candidate(slot, route.endpoint);
            }
        }
        enter(&mut machine.slots, own);
        machine
    }

    /// Adds or changes an agent of the service, which may be this one.
    pub fn set_member(&mut self, route: &EndpointRoute) {
        self.learn(route);
        self.change_tables(|slots| enter(slots, route), route.endpoint);
    }

    /// Removes an agent, which lost its flows or had none.
    pub fn remove_member(&mut self, endpoint: EndpointId) {
        if let Ok(index) = self.sibling_index(endpoint) {
            let address = self.siblings.remove(index).data_address;
            self.change_tables(|slots| slots.set(endpoint, address, Weight::NONE), endpoint);
        }
        for candidates in &mut self.candidates {
            candidates.retain(|candidate| candidate.endpoint != endpoint);
        }
    }

    /// Returns how many flows the agent holds.
    pub fn held_flows(&self) -> usize {
        let is_held = |flow: &&Flow| matches!(flow.state, FlowState::Held);
        self.flows.values().filter(is_held).count()
    }

    /// Returns whether the agent holds `key`.
    pub fn holds(&self, key: &FlowKey) -> bool {
        self.flows
            .get(key)
            .is_some_and(|flow| matches!(flow.state, FlowState::Held))
    }

    /// Decides about one packet.
    pub fn handle(&mut self, now: TimeMs, key: FlowKey, arrival: OpaqueArrival) -> OpaqueDecision {
        self.expire(now);
        let slot = slot_of(key.hash());
        let (hops, trail) = match arrival {
            OpaqueArrival::Forwarded => (0, RelayTrail::new()),
            OpaqueArrival::Relayed { hops, .. } if hops > MAX_HOPS => {
                return OpaqueDecision::Drop(ResultCode::HopLimit);
            }
            OpaqueArrival::Relayed { hops, trail } => (hops, trail),
        };
        if let Some(flow) = self.flows.get_mut(&key)
            && matches!(flow.state, FlowState::Held)
        {
            flow.last_packet = now;
            return OpaqueDecision::Hold;
        }
        let packet = Packet {
            now,
            key,
            slot,
            hops,
            trail,
        };
        match packet.trail.purpose {
            RelayPurpose::Handoff => self.start(packet),
            RelayPurpose::Search => self.visit(packet),
            RelayPurpose::Return if packet.trail.origin == self.own => self.conclude(packet),
            RelayPurpose::Return => OpaqueDecision::Drop(ResultCode::PacketMalformed),
        }
    }

    /// Hands the packet of a balancer to the owner of the table slot, or starts a search.
    ///
    /// A packet is handed over once only, so that a search of six more agents and its return stay
    /// within the hop limit.
    fn start(&mut self, mut packet: Packet) -> OpaqueDecision {
        // The balancer that sent the packet knows of an owner where this agent may know none.
        let owner = self.slots.owner_endpoint(packet.slot);
        let owner = owner.unwrap_or(self.own);
        if owner != self.own && packet.hops == 0 {
            packet.trail.set(self.own_entry());
            return match self.sibling(owner) {
                Some(sibling) => relay(packet, sibling.data_address),
                None => OpaqueDecision::Drop(ResultCode::EndpointUnknown),
            };
        }
        let Some(number) = self.begin_search(&packet) else {
            return OpaqueDecision::Drop(ResultCode::OpeningLimited);
        };
        packet.trail.number = number;
        packet.trail.purpose = RelayPurpose::Search;
        packet.trail.origin = self.own;
        // The agent that handed the packet over may have begun a search since, so it is visited too.
        packet.trail.unvisit_all();
        packet.trail.set(self.own_entry());
        self.add_candidates_to(&mut packet);
        self.search_on(packet)
    }

    /// Lets a search of another agent pass.
    fn visit(&mut self, mut packet: Packet) -> OpaqueDecision {
        let origin = packet.trail.origin;
        self.hear_of(packet.now, &packet.trail);
        if let Some(flow) = self.flows.get_mut(&packet.key)
            && let FlowState::Searching { rival, .. } = &mut flow.state
        {
            // Of two agents that search at once, at least one visits the other; the lower one goes
            // on, and the higher one drops its packet, so that at most one of them takes the flow.
            if origin < self.own {
                *rival = Some(rival.map_or(origin, |rival| rival.min(origin)));
            } else if packet.trail.rival == EndpointId::default() || self.own < packet.trail.rival {
                packet.trail.rival = self.own;
            }
        }
        let has_room = self.add_candidates_to(&mut packet);
        let is_vacant = self.flows_per_slot[packet.slot] == 0;
        let is_origin_owner = self.slots.owner_endpoint(packet.slot) == Some(origin);
        packet.trail.set(TrailEntry {
            is_vacant,
            is_settled: is_vacant && is_origin_owner && has_room,
            ..self.own_entry()
        });
        self.add_candidate(packet.slot, origin);
        self.search_on(packet)
    }

    /// Sends a search to the next agent that may hold the flow, or back to its origin.
    fn search_on(&mut self, mut packet: Packet) -> OpaqueDecision {
        let is_within_limit = packet.hops + 2 <= MAX_HOPS;
        if let Some(next) = packet.trail.next()
            && is_within_limit
        {
            let to = next.data_address;
            return relay(packet, to);
        }
        if packet.trail.origin == self.own {
            return self.conclude(packet);
        }
        let Some(origin) = packet.trail.entry(packet.trail.origin) else {
            return OpaqueDecision::Drop(ResultCode::PacketMalformed);
        };
        let to = origin.data_address;
        packet.trail.purpose = RelayPurpose::Return;
        relay(packet, to)
    }

    /// Takes the flow after a search that found no holder.
    fn conclude(&mut self, packet: Packet) -> OpaqueDecision {
        let flow = self.flows.get(&packet.key).copied();
        let Some(Flow {
            state:
                FlowState::Searching {
                    number,
                    began,
                    rival,
                },
            ..
        }) = flow
        else {
            return OpaqueDecision::Drop(ResultCode::InProgress);
        };
        if number != packet.trail.number {
            return OpaqueDecision::Drop(ResultCode::InProgress);
        }
        self.learn_from(&packet, began);
        if packet.trail.is_cut_short || packet.trail.next().is_some() {
            // An agent that was left out may hold the flow; taking it here could break it.
            return OpaqueDecision::Drop(ResultCode::HopLimit);
        }
        if rival.is_some() || packet.trail.rival != EndpointId::default() {
            return OpaqueDecision::Drop(ResultCode::InProgress);
        }
        let flow = Flow {
            state: FlowState::Held,
            last_packet: packet.now,
        };
        self.flows.insert(packet.key, flow);
        OpaqueDecision::Hold
    }

    /// Replaces the candidates of the slot by what a search found that began at the step `began`,
    /// agents with flows first.
    fn learn_from(&mut self, packet: &Packet, began: u64) {
        self.hear_of(packet.now, &packet.trail);
        let mut old = std::mem::take(&mut self.candidates[packet.slot]);
        old.retain(|candidate| {
            let entry = packet.trail.entry(candidate.endpoint);
            candidate.since > began || entry.is_none_or(|entry| !entry.is_settled)
        });
        let is_new = |entry: &&TrailEntry| {
            let is_own = entry.endpoint == self.own;
            let is_known = old
                .iter()
                .any(|candidate| candidate.endpoint == entry.endpoint);
            !is_own && !entry.is_settled && !is_known && self.sibling(entry.endpoint).is_some()
        };
        let found = packet.trail.entries().iter().filter(is_new);
        let found: Vec<_> = found
            .map(|entry| Candidate {
                endpoint: entry.endpoint,
                since: began,
            })
            .collect();
        old.extend(found);
        let is_vacant = |candidate: &Candidate| {
            let entry = packet.trail.entry(candidate.endpoint);
            entry.is_none_or(|entry| entry.is_vacant)
        };
        old.sort_by_key(is_vacant);
        old.truncate(MAX_CANDIDATES);
        self.candidates[packet.slot] = old;
    }

    /// Adds the agents that may hold flows of the slot to the trail; returns whether all had room.
    fn add_candidates_to(&self, packet: &mut Packet) -> bool {
        let owner = self.slots.owner_endpoint(packet.slot);
        let candidates = self.candidates[packet.slot].iter();
        let candidates = candidates.map(|candidate| candidate.endpoint).chain(owner);
        let mut has_room = true;
        for candidate in candidates {
            if packet.trail.entry(candidate).is_some() {
                continue;
            }
            let Some(sibling) = self.sibling(candidate) else {
                continue;
            };
            has_room &= packet.trail.set(TrailEntry {
                endpoint: candidate,
                data_address: sibling.data_address,
                is_visited: false,
                is_vacant: false,
                is_settled: false,
            });
        }
        packet.trail.is_cut_short |= !has_room;
        has_room
    }

    fn own_entry(&self) -> TrailEntry {
        TrailEntry {
            endpoint: self.own,
            data_address: self.own_address,
            is_visited: true,
            is_vacant: false,
            is_settled: false,
        }
    }

    /// Notes agents that a trail names and membership has not named yet.
    fn hear_of(&mut self, now: TimeMs, trail: &RelayTrail) {
        for entry in trail.entries() {
            let Err(index) = self.sibling_index(entry.endpoint) else {
                continue;
            };
            let is_own = entry.endpoint == self.own;
            if is_own || EndpointId::of_address(entry.data_address) != entry.endpoint {
                continue;
            }
            let hearsay = self.siblings.iter().filter(|s| s.hearsay_since.is_some());
            if hearsay.count() < MAX_HEARSAY {
                let sibling = Sibling {
                    endpoint: entry.endpoint,
                    data_address: entry.data_address,
                    hearsay_since: Some(now),
                };
                self.siblings.insert(index, sibling);
            }
        }
    }

    /// Returns the number of the search for the flow, unless there are too many flows.
    ///
    /// Further packets join a search without prolonging it, because the note of a rival that gave
    /// up ends with the search.
    fn begin_search(&mut self, packet: &Packet) -> Option<u8> {
        if let Some(flow) = self.flows.get(&packet.key)
            && let FlowState::Searching { number, .. } = flow.state
        {
            return Some(number);
        }
        if self.flows.len() >= self.max_flows {
            return None;
        }
        self.last_search = self.last_search.wrapping_add(1);
        self.step += 1;
        let number = self.last_search;
        let flow = Flow {
            state: FlowState::Searching {
                number,
                began: self.step,
                rival: None,
            },
            last_packet: packet.now,
        };
        self.flows.insert(packet.key, flow);
        self.flows_per_slot[packet.slot] += 1;
        Some(number)
    }

    /// Applies a change to both tables and remembers the owners that it displaced.
    fn change_tables(&mut self, change: impl Fn(&mut SlotTable), endpoint: EndpointId) {
        let old_owners = self.slots.owner_endpoints();
        change(&mut self.slots);
        for (slot, old) in old_owners.into_iter().enumerate() {
            if let Some(old) = old
                && self.slots.owner_endpoint(slot) != Some(old)
            {
                self.add_candidate(slot, old);
            }
        }
        if endpoint == self.own {
            return;
        }
        let old_others = self.others.owner_endpoints();
        change(&mut self.others);
        for (slot, old) in old_others.into_iter().enumerate() {
            if self.others.owner_endpoint(slot) != old {
                self.add_owner_candidate(slot);
            }
        }
    }

    fn add_owner_candidate(&mut self, slot: usize) {
        if let Some(owner) = self.others.owner_endpoint(slot) {
            self.add_candidate(slot, owner);
        }
    }

    fn add_candidate(&mut self, slot: usize, endpoint: EndpointId) {
        if endpoint == self.own || self.sibling(endpoint).is_none() {
            return;
        }
        self.step += 1;
        let since = self.step;
        let candidates = &mut self.candidates[slot];
        let known = candidates
            .iter_mut()
            .find(|candidate| candidate.endpoint == endpoint);
        if let Some(known) = known {
            known.since = since;
            return;
        }
        candidates.insert(0, Candidate { endpoint, since });
        candidates.truncate(MAX_CANDIDATES);
    }

    fn learn(&mut self, route: &EndpointRoute) {
        if route.endpoint == self.own {
            return;
        }
        let sibling = Sibling {
            endpoint: route.endpoint,
            data_address: route.data_address,
            hearsay_since: None,
        };
        match self.sibling_index(route.endpoint) {
            Ok(index) => self.siblings[index] = sibling,
            Err(index) => self.siblings.insert(index, sibling),
        }
    }

    fn sibling(&self, endpoint: EndpointId) -> Option<&Sibling> {
        let index = self.sibling_index(endpoint).ok()?;
        Some(&self.siblings[index])
    }

    fn sibling_index(&self, endpoint: EndpointId) -> Result<usize, usize> {
        self.siblings
            .binary_search_by_key(&endpoint, |sibling| sibling.endpoint)
    }

    /// Forgets flows that ended, in passes, so that a packet seldom pays for it.
    fn expire(&mut self, now: TimeMs) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry = now;
        let flows_per_slot = &mut self.flows_per_slot;
        self.flows.retain(|key, flow| {
            let limit = match flow.state {
                FlowState::Held => FLOW_IDLE_MS,
                FlowState::Searching { .. } => SEARCH_LIMIT_MS,
            };
            let is_alive = now.since(flow.last_packet) <= limit;
            if !is_alive {
                flows_per_slot[slot_of(key.hash())] -= 1;
            }
            is_alive
        });
        let is_old = |since: TimeMs| now.since(since) > HEARSAY_LIMIT_MS;
        let old = self
            .siblings
            .iter()
            .filter(|sibling| sibling.hearsay_since.is_some_and(is_old));
        for endpoint in old.map(|sibling| sibling.endpoint).collect::<Vec<_>>() {
            self.remove_member(endpoint);
        }
    }
}

/// Packet on its way through a decision.
struct Packet {
    now: TimeMs,
    key: FlowKey,
    slot: usize,
    hops: u8,
    trail: RelayTrail,
}

fn relay(packet: Packet, to: SocketAddr) -> OpaqueDecision {
    let hops = packet.hops + 1;
    if hops > MAX_HOPS {
        return OpaqueDecision::Drop(ResultCode::HopLimit);
    }
    OpaqueDecision::Relay {
        to,
        hops,
        trail: packet.trail,
    }
}

fn enter(slots: &mut SlotTable, route: &EndpointRoute) {
    let weight = if route.phase.takes_new_flows() {
        route.weight
    } else {
        Weight::NONE
    };
    slots.set(route.endpoint, route.data_address, weight);
}
