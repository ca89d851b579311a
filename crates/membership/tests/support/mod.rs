//! In-memory network that drives the state machines with packet loss, delay, network partitions and
//! pauses.

#![allow(dead_code, reason = "each user of the module needs a part of it")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hawthorntide_configuration::Object;
use hawthorntide_membership::{
    AgentIdentity, Alarm, AnnounceAction, AnnounceEvent, AnnounceMachine, BalancerIdentity,
    ConfirmReport, ControlChannel, GossipAction, GossipEvent, GossipMachine, LocalChange,
};
use hawthorntide_types::{
    DurationMs, Incarnation, ServiceId, ServiceName, SlotCount, TimeMs, Version,
};
use hawthorntide_wire::control::ControlMessage;
use hawthorntide_wire::{ClusterKey, ControlCodec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const TICK_MS: u64 = 100;
/// Capacity of a socket buffer in datagrams; it fills up while the process is paused.
const MAX_INBOX_DATAGRAMS: usize = 256;

#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss_per_mille: u32,
    pub duplicate_per_mille: u32,
    pub min_delay_ms: u64,
    pub max_delay_ms: u64,
}

impl Faults {
    pub const NONE: Self = Self {
        loss_per_mille: 0,
        duplicate_per_mille: 0,
        min_delay_ms: 1,
        max_delay_ms: 2,
    };
}

#[derive(Debug)]
pub enum Role {
    Balancer(Box<GossipMachine>),
    Agent(Box<AnnounceMachine>),
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent_messages: u64,
    pub received_messages: u64,
    pub processor_time: Duration,
}

#[derive(Debug)]
pub struct Process {
    pub address: SocketAddr,
    pub role: Option<Role>,
    channel: ControlChannel,
    /// Processes in different groups cannot reach each other.
    pub group: u8,
    pub region: String,
    pub failure_domain: String,
    pub service: Option<ServiceId>,
    paused_until: u64,
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
    start_count: u64,
    pub traffic: Traffic,
    pub alarms: Vec<(u64, Alarm)>,
    pub confirmations: Vec<ConfirmReport>,
    pub is_new_work_allowed: bool,
}

#[derive(Debug, Eq, PartialEq, Ord, PartialOrd)]
enum Work {
    Tick(usize, u64),
    Deliver(usize, SocketAddr, Vec<u8>),
}

#[derive(Debug)]
pub struct Network {
    pub now: u64,
    pub faults: Faults,
    pub processes: Vec<Process>,
    /// Whether processor time is measured; off in tests, because it reads the system clock.
    pub measures_processor_time: bool,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, Work)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    codec: ControlCodec,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Self {
            now: 1_000_000,
            faults: Faults::NONE,
            processes: Vec::new(),
            measures_processor_time: false,
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            codec: ControlCodec::new("test", ClusterKey::new([7; 32])),
        }
    }

    pub fn add_balancer(&mut self, domain: &str, region: &str, seeds: &[usize]) -> usize {
        let index = self.add_process(domain, region, None);
        self.start(index, seeds);
        index
    }

    /// Adds a balancer without starting it.
    pub fn prepare_balancer(&mut self, domain: &str, region: &str) -> usize {
        self.add_process(domain, region, None)
    }

    pub fn add_agent(&mut self, service: &str, domain: &str, seeds: &[usize]) -> usize {
        let service = service_id(service);
        let index = self.add_process(domain, "r1", Some(service));
        self.start(index, seeds);
        index
    }

    fn add_process(&mut self, domain: &str, region: &str, service: Option<ServiceId>) -> usize {
        let index = self.processes.len();
        let address = address_of(index);
        self.by_address.insert(address, index);
        self.processes.push(Process {
            address,
            role: None,
            channel: ControlChannel::new(self.codec.clone(), address, Incarnation(1)),
            group: 0,
            region: region.to_owned(),
            failure_domain: domain.to_owned(),
            service,
            paused_until: 0,
            inbox: VecDeque::new(),
            start_count: 0,
            traffic: Traffic::default(),
            alarms: Vec::new(),
            confirmations: Vec::new(),
            is_new_work_allowed: false,
        });
        index
    }

    /// Starts a process with empty state and a new incarnation.
    pub fn start(&mut self, index: usize, seeds: &[usize]) {
        let incarnation = Incarnation(self.now);
        self.start_with(index, seeds, incarnation);
    }

    pub fn start_with(&mut self, index: usize, seeds: &[usize], incarnation: Incarnation) {
        let codec = self.codec.clone();
        let seed = self.rng.random();
        let phase = self.rng.random_range(0..TICK_MS);
        let process = &mut self.processes[index];
        let address = process.address;
        let failure_domain = process.failure_domain.parse().unwrap();
        process.channel = ControlChannel::new(codec, address, incarnation);
        process.start_count += 1;
        process.inbox.clear();
        process.paused_until = 0;
        process.role = Some(match process.service {
            None => Role::Balancer(Box::new(GossipMachine::new(
                BalancerIdentity {
                    incarnation,
                    control_address: address,
                    data_address: SocketAddr::new(address.ip(), address.port() + 1),
                    admin_address: None,
                    failure_domain,
                    region: process.region.parse().unwrap(),
                },
                seed,
            ))),
            Some(service) => Role::Agent(Box::new(AnnounceMachine::new(
                AgentIdentity {
                    incarnation,
                    service,
                    data_address: SocketAddr::new(address.ip(), address.port() + 1),
                    control_address: address,
                    slots: SlotCount(4),
                    failure_domain,
                },
                seed,
            ))),
        });
        let start_count = process.start_count;
        let seeds: Vec<SocketAddr> = seeds.iter().map(|seed| address_of(*seed)).collect();
        if self.processes[index].service.is_none() {
            self.gossip_event(index, GossipEvent::SeedPeers(seeds));
            self.gossip_event(index, GossipEvent::LocalChange(LocalChange::Serve));
        } else {
            self.announce_event(index, AnnounceEvent::SeedPeers(seeds));
            self.announce_event(index, AnnounceEvent::Serve);
        }
        self.schedule(self.now + phase, Work::Tick(index, start_count));
    }

    pub fn kill(&mut self, index: usize) {
        self.processes[index].role = None;
        self.processes[index].inbox.clear();
    }

    pub fn pause(&mut self, index: usize, duration_ms: u64) {
        let process = &mut self.processes[index];
        process.paused_until = process.paused_until.max(self.now + duration_ms);
    }

    /// Returns whether the process is paused or was so in the last `duration_ms`.
    pub fn was_paused_since(&self, index: usize, duration_ms: u64) -> bool {
        self.processes[index].paused_until + duration_ms > self.now
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.processes[index].role.is_some()
    }

    pub fn is_paused(&self, index: usize) -> bool {
        self.processes[index].paused_until > self.now
    }

    pub fn gossip(&self, index: usize) -> &GossipMachine {
        match &self.processes[index].role {
            Some(Role::Balancer(machine)) => machine,
            other => panic!("process {index} is not a running balancer: {other:?}"),
        }
    }

    pub fn announce(&self, index: usize) -> &AnnounceMachine {
        match &self.processes[index].role {
            Some(Role::Agent(machine)) => machine,
            other => panic!("process {index} is not a running agent: {other:?}"),
        }
    }

    pub fn balancers(&self) -> Vec<usize> {
        let indexes = 0..self.processes.len();
        indexes
            .filter(|index| matches!(self.processes[*index].role, Some(Role::Balancer(_))))
            .collect()
    }

    pub fn agents(&self) -> Vec<usize> {
        let indexes = 0..self.processes.len();
        indexes
            .filter(|index| matches!(self.processes[*index].role, Some(Role::Agent(_))))
            .collect()
    }

    pub fn gossip_event(&mut self, index: usize, event: GossipEvent) {
        let mut out = Vec::new();
        let now = TimeMs(self.now);
        let started = self.measures_processor_time.then(Instant::now);
        let Some(Role::Balancer(machine)) = &mut self.processes[index].role else {
            return;
        };
        machine.handle(now, event, &mut out);
        for action in out {
            match action {
                GossipAction::Send { to, message } => self.send(index, to, &message),
                GossipAction::IncarnationRaised(raised) => {
                    self.processes[index].channel.raise_incarnation(raised);
                }
                GossipAction::Alarm(alarm) => {
                    self.processes[index].alarms.push((self.now, alarm));
                }
                GossipAction::Confirmed(report) => self.processes[index].confirmations.push(report),
                GossipAction::MemberChanged(_)
                | GossipAction::EndpointExpired(_)
                | GossipAction::ConfigurationReceived(_) => {}
            }
        }
        self.record_processor_time(index, started);
    }

    pub fn announce_event(&mut self, index: usize, event: AnnounceEvent) {
        let mut out = Vec::new();
        let now = TimeMs(self.now);
        let started = self.measures_processor_time.then(Instant::now);
        let Some(Role::Agent(machine)) = &mut self.processes[index].role else {
            return;
        };
        machine.handle(now, event, &mut out);
        for action in out {
            match action {
                AnnounceAction::Send { to, message } => self.send(index, to, &message),
                AnnounceAction::IncarnationRaised(raised) => {
                    self.processes[index].channel.raise_incarnation(raised);
                }
                AnnounceAction::NewWorkAllowed(is_allowed) => {
                    self.processes[index].is_new_work_allowed = is_allowed;
                }
                AnnounceAction::PeersChanged
                | AnnounceAction::ConfigurationReceived(_)
                | AnnounceAction::MembershipExpired(_) => {}
            }
        }
        self.record_processor_time(index, started);
    }

    fn record_processor_time(&mut self, index: usize, started: Option<Instant>) {
        if let Some(started) = started {
            self.processes[index].traffic.processor_time += started.elapsed();
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &ControlMessage) {
        let datagram = self.processes[from]
            .channel
            .seal(message)
            .unwrap_or_else(|code| panic!("message does not fit a datagram ({code}): {message:?}"));
        let traffic = &mut self.processes[from].traffic;
        traffic.sent_bytes += datagram.len() as u64;
        traffic.sent_messages += 1;
        let Some(target) = self.by_address.get(&to).copied() else {
            return;
        };
        if self.processes[from].group != self.processes[target].group
            || self.draw(self.faults.loss_per_mille)
        {
            return;
        }
        let source = self.processes[from].address;
        if self.draw(self.faults.duplicate_per_mille) {
            let at = self.now + self.delay();
            self.schedule(at, Work::Deliver(target, source, datagram.clone()));
        }
        let at = self.now + self.delay();
        self.schedule(at, Work::Deliver(target, source, datagram));
    }

    fn draw(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1000) < per_mille
    }

    fn delay(&mut self) -> u64 {
        let (min, max) = (self.faults.min_delay_ms, self.faults.max_delay_ms);
        self.rng.random_range(min..=max)
    }

    fn schedule(&mut self, at: u64, work: Work) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, work)));
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, work))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match work {
                Work::Tick(index, start_count) => self.tick(index, start_count),
                Work::Deliver(index, source, datagram) => self.deliver(index, source, datagram),
            }
        }
        self.now = end;
    }

    /// Runs until `is_done` holds and returns the time taken, or `None` after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, is_done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now - start <= limit_ms {
            if is_done(self) {
                return Some(self.now - start);
            }
            self.run_for(50);
        }
        None
    }

    fn tick(&mut self, index: usize, start_count: u64) {
        if self.processes[index].start_count != start_count || self.processes[index].role.is_none()
        {
            return;
        }
        let resume = self.processes[index].paused_until;
        if resume > self.now {
            self.schedule(resume, Work::Tick(index, start_count));
            return;
        }
        self.schedule(self.now + TICK_MS, Work::Tick(index, start_count));
        while let Some((source, datagram)) = self.processes[index].inbox.pop_front() {
            self.receive(index, source, &datagram);
        }
        self.gossip_event(index, GossipEvent::Tick);
        self.announce_event(index, AnnounceEvent::Tick);
    }

    fn deliver(&mut self, index: usize, source: SocketAddr, datagram: Vec<u8>) {
        let process = &mut self.processes[index];
        if process.role.is_none() {
            return;
        }
        process.traffic.received_bytes += datagram.len() as u64;
        process.traffic.received_messages += 1;
        if process.paused_until > self.now {
            if process.inbox.len() < MAX_INBOX_DATAGRAMS {
                process.inbox.push_back((source, datagram));
            }
            return;
        }
        self.receive(index, source, &datagram);
    }

    fn receive(&mut self, index: usize, source: SocketAddr, datagram: &[u8]) {
        let started = self.measures_processor_time.then(Instant::now);
        let opened = self.processes[index].channel.open(source, datagram);
        self.record_processor_time(index, started);
        match opened {
            Ok((from, message)) => {
                if self.processes[index].service.is_none() {
                    self.gossip_event(index, GossipEvent::Message { from, message });
                } else {
                    self.announce_event(index, AnnounceEvent::Message { from, message });
                }
            }
            Err(dropped) => {
                if let Some(from) = dropped.stale_sender {
                    self.gossip_event(index, GossipEvent::StaleSender(from));
                }
            }
        }
    }

    pub fn put_object(&mut self, index: usize, name: &str, version: u64, size: usize) {
        let object = Object {
            kind: "profile".to_owned(),
            name: name.to_owned(),
            version: Version(version),
            is_deleted: false,
            write_id: format!("w{version}"),
            value: vec![b'x'; size],
        };
        self.gossip_event(index, GossipEvent::LocalChange(LocalChange::Object(object)));
    }

    pub fn confirm(&mut self, index: usize, name: &str, version: u64, wait_ms: u64) {
        let event = GossipEvent::Confirm {
            kind: "profile".to_owned(),
            name: name.to_owned(),
            version: Version(version),
            wait_ms: DurationMs(wait_ms),
        };
        self.gossip_event(index, event);
    }

    /// Returns whether all running balancers have equal views and replicas.
    pub fn is_converged(&self) -> bool {
        let balancers = self.balancers();
        let Some((first, rest)) = balancers.split_first() else {
            return true;
        };
        let first = self.gossip(*first);
        rest.iter().all(|index| {
            let other = self.gossip(*index);
            first.balancers().eq(other.balancers())
                && first.endpoints().eq(other.endpoints())
                && first.replica().objects().eq(other.replica().objects())
        })
    }
}

pub fn address_of(index: usize) -> SocketAddr {
    let ip = std::net::Ipv4Addr::from(0x0a00_0000 + index as u32);
    SocketAddr::new(ip.into(), 7000)
}

pub fn service_id(name: &str) -> ServiceId {
    let name: ServiceName = name.parse().unwrap();
    ServiceId::of_name(&name)
}
