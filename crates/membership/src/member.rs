//! Members of a deployment, the order of their states, and their form on the wire.

use std::cmp::Ordering;
use std::net::{IpAddr, SocketAddr};

use hawthorntide_types::{
    EndpointId, FailureDomain, Incarnation, NodeId, Phase, Region, ServiceId, SlotCount, TimeMs,
    Weight,
};
use hawthorntide_wire::control;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Home balancers of an agent.
pub const HOMES_PER_AGENT: usize = 2;

/// Judgement of other processes about a member.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Health {
    /// It responds.
    #[default]
    Alive,
    /// It did not respond; it has time to refute that.
    Suspected,
    /// It did not respond in time and takes no new flows.
    Removed,
}

/// Order of the states of one member; the higher one replaces the lower one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Run of the member's process.
    pub incarnation: Incarnation,
    /// Count of the member's own changes in this run.
    pub revision: u32,
    /// Judgement of others about this revision.
    pub health: Health,
}

/// Endpoint as its agent announced it, with the judgement of the balancers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Identifier, derived from the data address.
    pub id: EndpointId,
    /// Position in the order of states.
    pub stamp: Stamp,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address to which packets are forwarded.
    pub data_address: SocketAddr,
    /// Address of the control socket of its agent.
    pub control_address: SocketAddr,
    /// Phase that it announced.
    pub phase: Phase,
    /// Part of new flows that it takes.
    pub weight: Weight,
    /// Slots of its upstream.
    pub slots: SlotCount,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Tags of its home balancers, see [`node_tag`].
    pub homes: Vec<u32>,
}

/// Balancer as it announced itself, with the judgement of the other balancers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BalancerMember {
    /// Identifier, derived from the control address.
    pub id: NodeId,
    /// Position in the order of states.
    pub stamp: Stamp,
    /// Address of its control socket.
    pub control_address: SocketAddr,
    /// Address from which it forwards packets.
    pub data_address: SocketAddr,
    /// Address of its administration API.
    pub admin_address: Option<SocketAddr>,
    /// Phase that it announced.
    pub phase: Phase,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Region of its failure domain.
    pub region: Region,
    /// Watcher slot that it holds, or 0.
    pub watcher_slot: u32,
}

/// Member of either role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Member {
    /// Endpoint next to an upstream.
    Endpoint(Endpoint),
    /// Balancer.
    Balancer(BalancerMember),
}

/// State that every member has, whatever its role.
pub(crate) trait Record: Clone {
    fn key(&self) -> u64;
    fn stamp(&self) -> Stamp;
    fn set_health(&mut self, health: Health);
    fn phase(&self) -> Phase;
    fn content_hash(&self) -> u64;

    /// Returns whether the member left or was removed.
    fn is_tombstone(&self) -> bool {
        self.phase() == Phase::Gone || self.stamp().health == Health::Removed
    }

    /// Orders states; equal stamps with different contents are ordered by hash, so that all views
    /// choose the same one.
    fn compare(&self, other: &Self) -> Ordering {
        let by_stamp = self.stamp().cmp(&other.stamp());
        by_stamp.then_with(|| self.content_hash().cmp(&other.content_hash()))
    }
}

impl Endpoint {
    /// Returns whether new flows may go to the endpoint.
    pub fn takes_new_flows(&self) -> bool {
        self.stamp.health != Health::Removed
            && self.phase.takes_new_flows()
            && self.weight != Weight::NONE
    }
}

impl BalancerMember {
    /// Returns whether the balancer takes part in the deployment.
    pub fn is_live(&self) -> bool {
        self.stamp.health != Health::Removed && self.phase != Phase::Gone
    }

    /// Returns whether agents may choose the balancer as a home.
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

/// Returns the low half of a node identifier, by which endpoint records name home balancers.
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

/// Seconds that a tombstone has existed, for the wire.
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

/// Checks and converts a record; `None` when a field is missing or out of range.
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

/// Checks and converts a record; `None` when a field is missing or out of range.
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
