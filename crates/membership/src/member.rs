//! Member records, the order of their versions, and their conversion to and from protobuf.

use std::cmp::Ordering;
use std::net::{IpAddr, SocketAddr};

use hawthorntide_types::{
    EndpointId, FailureDomain, Incarnation, NodeId, Phase, Region, ServiceId, SlotCount, TimeMs,
    Weight,
};
use hawthorntide_wire::control;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of home balancers of an agent. An agent sends its heartbeats only to its home balancers,
/// which spread its record by gossip and remove it when the heartbeats stop.
pub const HOMES_PER_AGENT: usize = 2;

/// State of a member according to the failure detector.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Health {
    /// The member responds.
    #[default]
    Alive,
    /// The member did not answer probes; it can refute the suspicion before it is removed.
    Suspected,
    /// The member is unreachable and gets no new flows.
    Removed,
}

/// Version of a member record; the record with the higher stamp replaces the other one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Incarnation of the member: identifies one run of its process.
    pub incarnation: Incarnation,
    /// Incremented whenever the member changes its record in this incarnation, or refutes a
    /// suspicion or removal.
    pub revision: u32,
    /// Health that the failure detector assigned to this revision. The member refutes it by a
    /// higher revision.
    pub health: Health,
}

/// Endpoint as announced by its agent, with its health according to the failure detector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Derived from the data address.
    pub id: EndpointId,
    pub stamp: Stamp,
    pub service: ServiceId,
    /// Address to which packets are forwarded.
    pub data_address: SocketAddr,
    /// Address of the agent's control socket.
    pub control_address: SocketAddr,
    pub phase: Phase,
    /// Share of new flows, relative to other endpoints of the service.
    pub weight: Weight,
    /// Slots of the upstream.
    pub slots: SlotCount,
    pub failure_domain: FailureDomain,
    /// Home balancers as short tags, see [`node_tag`].
    pub homes: Vec<u32>,
}

/// Balancer as announced by itself, with its health according to the failure detector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerMember {
    /// Derived from the control address.
    pub id: NodeId,
    pub stamp: Stamp,
    pub control_address: SocketAddr,
    /// Source address of forwarded packets.
    pub data_address: SocketAddr,
    pub admin_address: Option<SocketAddr>,
    pub phase: Phase,
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
    /// Watcher slot that the balancer holds; 0 for none.
    pub watcher_slot: u32,
}

/// Member of either role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Member {
    /// Endpoint next to an upstream.
    Endpoint(Endpoint),
    Balancer(BalancerMember),
}

/// Properties that records of both roles share.
pub(crate) trait Record: Clone {
    fn key(&self) -> u64;
    fn stamp(&self) -> Stamp;
    fn set_health(&mut self, health: Health);
    fn phase(&self) -> Phase;
    fn content_hash(&self) -> u64;

    /// Whether the member left or was removed.
    fn is_tombstone(&self) -> bool {
        self.phase() == Phase::Gone || self.stamp().health == Health::Removed
    }

    /// Orders records by stamp. Records with equal stamps but different contents are ordered by
    /// hash, so that all processes keep the same one.
    fn compare(&self, other: &Self) -> Ordering {
        let by_stamp = self.stamp().cmp(&other.stamp());
        by_stamp.then_with(|| self.content_hash().cmp(&other.content_hash()))
    }
}

impl Endpoint {
    /// Returns whether balancers may assign new flows to the endpoint.
    pub fn takes_new_flows(&self) -> bool {
        self.stamp.health != Health::Removed
            && self.phase.takes_new_flows()
            && self.weight != Weight::NONE
    }
}

impl BalancerMember {
    /// Returns whether the balancer has neither left nor been removed.
    pub fn is_live(&self) -> bool {
        self.stamp.health != Health::Removed && self.phase != Phase::Gone
    }

    /// Returns whether agents may choose the balancer as a home balancer.
    pub fn is_home_candidate(&self) -> bool {
        self.stamp.health == Health::Alive && self.phase.takes_new_flows()
    }
}

impl Record for Endpoint {
    fn key(&self) -> u64 {
        self.id.get()
    }

    fn stamp(&self) -> Stamp {
        self.stamp
    }

    fn set_health(&mut self, health: Health) {
        self.stamp.health = health;
    }

    fn phase(&self) -> Phase {
        self.phase
    }

    fn content_hash(&self) -> u64 {
        let mut hash = hash_stamp(self.id.get(), self.stamp);
        hash = hash_address(hash, Some(self.data_address));
        hash = hash_address(hash, Some(self.control_address));
        hash = hash_number(hash, self.service.get());
        let small = self.phase as u64 | u64::from(self.weight.get()) << 8;
        hash = hash_number(hash, small | u64::from(self.slots.get()) << 32);
        for home in &self.homes {
            hash = hash_number(hash, u64::from(*home));
        }
        xxh3_64_with_seed(self.failure_domain.as_str().as_bytes(), hash)
    }
}

impl Record for BalancerMember {
    fn key(&self) -> u64 {
        self.id.get()
    }

    fn stamp(&self) -> Stamp {
        self.stamp
    }

    fn set_health(&mut self, health: Health) {
        self.stamp.health = health;
    }

    fn phase(&self) -> Phase {
        self.phase
    }

    fn content_hash(&self) -> u64 {
        let mut hash = hash_stamp(self.id.get(), self.stamp);
        hash = hash_address(hash, Some(self.control_address));
        hash = hash_address(hash, Some(self.data_address));
        hash = hash_address(hash, self.admin_address);
        hash = hash_number(hash, self.phase as u64 | u64::from(self.watcher_slot) << 8);
        hash = xxh3_64_with_seed(self.region.as_str().as_bytes(), hash);
        xxh3_64_with_seed(self.failure_domain.as_str().as_bytes(), hash)
    }
}

/// Returns the low 32 bits of a node identifier, which identify home balancers in endpoint records.
pub fn node_tag(node: NodeId) -> u32 {
    node.get() as u32
}

fn hash_stamp(key: u64, stamp: Stamp) -> u64 {
    let hash = hash_number(key, stamp.incarnation.get());
    hash_number(hash, u64::from(stamp.revision) << 8 | stamp.health as u64)
}

fn hash_number(seed: u64, number: u64) -> u64 {
    xxh3_64_with_seed(&number.to_le_bytes(), seed)
}

fn hash_address(seed: u64, address: Option<SocketAddr>) -> u64 {
    let Some(address) = address else {
        return hash_number(seed, 0);
    };
    let hash = match address.ip() {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), seed),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), seed),
    };
    hash_number(hash, u64::from(address.port()))
}

/// Age of a tombstone in seconds; 0 for live members.
pub(crate) fn tombstone_age_s(since: Option<TimeMs>, now: TimeMs) -> u32 {
    since.map_or(0, |since| (now.since(since).get() / 1000) as u32)
}

pub(crate) fn endpoint_to_wire(endpoint: &Endpoint, age_s: u32) -> control::EndpointRecord {
    control::EndpointRecord {
        incarnation: endpoint.stamp.incarnation.get(),
        revision: endpoint.stamp.revision,
        service_id: endpoint.service.get(),
        data_address: Some(address_to_wire(endpoint.data_address)),
        control_address: Some(address_to_wire(endpoint.control_address)),
        phase: phase_to_wire(endpoint.phase) as i32,
        weight_per_mille: u32::from(endpoint.weight.get()),
        slots: endpoint.slots.get(),
        failure_domain: endpoint.failure_domain.as_str().to_owned(),
        health: health_to_wire(endpoint.stamp.health) as i32,
        homes: endpoint.homes.clone(),
        tombstone_age_s: age_s,
    }
}

/// Validates and converts a record; returns `None` if a field is missing or out of range.
pub(crate) fn endpoint_from_wire(record: &control::EndpointRecord) -> Option<Endpoint> {
    let data_address = address_from_wire(record.data_address.as_ref())?;
    if record.homes.len() > HOMES_PER_AGENT
        || record.weight_per_mille > u32::from(Weight::FULL.get())
    {
        return None;
    }
    Some(Endpoint {
        id: EndpointId::of_address(data_address),
        stamp: Stamp {
            incarnation: Incarnation(record.incarnation),
            revision: record.revision,
            health: health_from_wire(record.health)?,
        },
        service: ServiceId(record.service_id),
        data_address,
        control_address: address_from_wire(record.control_address.as_ref())?,
        phase: phase_from_wire(record.phase)?,
        weight: Weight(record.weight_per_mille as u16),
        slots: SlotCount(record.slots),
        failure_domain: record.failure_domain.parse().ok()?,
        homes: record.homes.clone(),
    })
}

pub(crate) fn balancer_to_wire(balancer: &BalancerMember, age_s: u32) -> control::BalancerRecord {
    control::BalancerRecord {
        incarnation: balancer.stamp.incarnation.get(),
        revision: balancer.stamp.revision,
        control_address: Some(address_to_wire(balancer.control_address)),
        data_address: Some(address_to_wire(balancer.data_address)),
        phase: phase_to_wire(balancer.phase) as i32,
        failure_domain: balancer.failure_domain.as_str().to_owned(),
        region: balancer.region.as_str().to_owned(),
        health: health_to_wire(balancer.stamp.health) as i32,
        watcher_slot: balancer.watcher_slot,
        admin_address: balancer.admin_address.map(address_to_wire),
        tombstone_age_s: age_s,
    }
}

/// Validates and converts a record; returns `None` if a field is missing or out of range.
pub(crate) fn balancer_from_wire(record: &control::BalancerRecord) -> Option<BalancerMember> {
    let control_address = address_from_wire(record.control_address.as_ref())?;
    let admin_address = match &record.admin_address {
        Some(address) => Some(address_from_wire(Some(address))?),
        None => None,
    };
    Some(BalancerMember {
        id: NodeId::of_address(control_address),
        stamp: Stamp {
            incarnation: Incarnation(record.incarnation),
            revision: record.revision,
            health: health_from_wire(record.health)?,
        },
        control_address,
        data_address: address_from_wire(record.data_address.as_ref())?,
        admin_address,
        phase: phase_from_wire(record.phase)?,
        failure_domain: record.failure_domain.parse().ok()?,
        region: record.region.parse().ok()?,
        watcher_slot: record.watcher_slot,
    })
}

fn address_to_wire(address: SocketAddr) -> control::Address {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    control::Address {
        ip,
        port: u32::from(address.port()),
    }
}

fn address_from_wire(address: Option<&control::Address>) -> Option<SocketAddr> {
    let address = address?;
    let port = u16::try_from(address.port).ok()?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(address.ip.as_slice()) {
        IpAddr::from(octets)
    } else {
        IpAddr::from(<[u8; 16]>::try_from(address.ip.as_slice()).ok()?)
    };
    Some(SocketAddr::new(ip, port))
}

pub(crate) fn phase_to_wire(phase: Phase) -> control::Phase {
    match phase {
        Phase::Joining => control::Phase::Joining,
        Phase::Serving => control::Phase::Serving,
        Phase::Draining => control::Phase::Draining,
        Phase::Gone => control::Phase::Gone,
    }
}

fn phase_from_wire(number: i32) -> Option<Phase> {
    Some(match control::Phase::try_from(number).ok()? {
        control::Phase::Joining => Phase::Joining,
        control::Phase::Serving => Phase::Serving,
        control::Phase::Draining => Phase::Draining,
        control::Phase::Gone => Phase::Gone,
    })
}

fn health_to_wire(health: Health) -> control::Health {
    match health {
        Health::Alive => control::Health::Alive,
        Health::Suspected => control::Health::Suspected,
        Health::Removed => control::Health::Removed,
    }
}

pub(crate) fn health_from_wire(number: i32) -> Option<Health> {
    Some(match control::Health::try_from(number).ok()? {
        control::Health::Alive => Health::Alive,
        control::Health::Suspected => Health::Suspected,
        control::Health::Removed => Health::Removed,
    })
}
