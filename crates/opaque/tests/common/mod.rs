//! Simulated fleet of balancers, agents and upstreams, without sockets or a real clock.
#![allow(dead_code, reason = "each test file uses a part of the fleet")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use hawthorntide_opaque::{
    AgentAction, AgentEvent, AgentMachine, AgentOptions, AgentStatus, Backend, BalancerDecision,
    BalancerMachine, BalancerStatus, Configuration, Evacuations, GossipAction, GossipEvent,
    OpeningPolicy, Peer, PeerMessage, PeerRole, QueryPart, QueryResult, RequestClass, Route,
    Search, Segment, SegmentKind, UpstreamDeregistration, UpstreamReport,
};
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{
    ConfigurationVersion, DurationMs, Incarnation, PerMille, Phase, ResultCode, ServiceName,
    SlotCount, TimeMs, Version, Weight,
};

pub const IDLE_MS: DurationMs = DurationMs(60_000);
pub const HEARTBEAT_MS: u64 = 1_000;

pub fn service_address(number: u8) -> SocketAddr {
    SocketAddr::from(([198, 18, 0, number], 443))
}

pub fn service(number: u8) -> ServiceName {
    format!("service-{number}").parse().unwrap()
}

pub fn flow(caller: u16, service: u8) -> FlowKey {
    FlowKey {
        caller: SocketAddr::from(([100, 64, 0, 1], 20_000 + caller)),
        service_address: service_address(service),
    }
}

pub fn peer_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_720))
}

pub fn opening(flow: FlowKey, attempt: u32) -> Segment {
    Segment {
        flow,
        kind: SegmentKind::Opening { attempt },
        sequence: 1,
        acknowledged: attempt,
        payload_bytes: 0,
        is_last: false,
    }
}

pub fn established(flow: FlowKey, acknowledged: u32) -> Segment {
    Segment {
        flow,
        kind: SegmentKind::Established,
        sequence: 2,
        acknowledged,
        payload_bytes: 10,
        is_last: false,
    }
}

pub fn peer(number: u8, incarnation: u64, role: PeerRole) -> Peer {
    Peer {
        address: peer_address(number),
        failure_domain: format!("domain-{}", number % 3).parse().unwrap(),
        incarnation: Incarnation(incarnation),
        heartbeat_counter: 0,
        role,
    }
}

pub fn agent_role(service_number: u8, phase: Phase) -> PeerRole {
    PeerRole::Agent(AgentStatus {
        service: service(service_number),
        phase,
        weight: Weight::FULL,
        load: PerMille(0),
    })
}

pub fn configuration(version: u64, services: u8) -> Configuration {
    let routes = (0..services).map(|number| Route {
        service_address: service_address(number),
        backends: vec![Backend {
            service: service(number),
            weight: 1,
        }],
        class: RequestClass::default(),
    });
    Configuration::new(ConfigurationVersion(version), routes.collect(), IDLE_MS)
}

pub fn report(born_ms: u64, sequence: u64, is_draining: bool) -> UpstreamReport {
    UpstreamReport {
        id: format!("upstream-{born_ms}"),
        born_ms,
        sequence,
        is_draining,
        cold_for_ms: 0,
        slots: SlotCount(2),
    }
}

/// Deregistration by name only.
pub fn deregistration(id: &str) -> AgentEvent<'static> {
    AgentEvent::Deregistered(UpstreamDeregistration {
        id: id.to_owned(),
        born_ms: None,
    })
}

/// Behaviour of a simulated upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Answers each request.
    #[default]
    Healthy,
    /// The process does not run.
    Dead,
    /// Accepts flows and requests, and answers no request.
    Stuck,
    /// Resets the flow of each request.
    Failing,
}

/// Simulated upstream; it alone keeps the state of its connections.
#[derive(Debug, Default)]
pub struct Upstream {
    /// Initial sequence number of each accepted flow, and whether the caller completed the handshake.
    pub flows: BTreeMap<FlowKey, (u32, bool)>,
    pub takes_new_flows: bool,
    /// Start time that its heartbeats report.
    pub born_ms: u64,
    /// Its heartbeats report a drain. Otherwise they do while its agent believes that it drains.
    pub is_draining: bool,
    /// It has deregistered and sends no heartbeats.
    pub has_left: bool,
    pub behaviour: Behaviour,
    /// Packets of established flows that the upstream received but does not own.
    pub stray_packets: usize,
}

#[derive(Debug)]
pub struct AgentNode {
    pub machine: AgentMachine,
    pub service: u8,
    pub upstream: Upstream,
}

/// Packet or message in transit.
#[derive(Clone, Debug)]
enum Transit {
    Packet(SocketAddr, Search, Segment),
    /// Packet that the first agent copies to the others.
    RelayedQuery(QueryPart, Search, Segment),
    Returned(SocketAddr, Search, Segment),
    /// Returned because no upstream can serve it in time.
    Overloaded(Search, Segment),
    /// Returned because this owner of the flow is lost.
    OwnerLost(SocketAddr, Search, Segment),
    /// Answer of an agent to a balancer that queried it.
    NotOwned(SocketAddr, SocketAddr, FlowKey),
    Message(SocketAddr, SocketAddr, PeerMessage),
}

/// Outcome of sending a caller's packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream of this agent accepted the packet.
    Accepted(u8),
    /// This agent holds the packet until its upstream has a slot.
    Held(u8),
    /// The caller received a reset.
    Reset(ResultCode),
    Dropped(ResultCode),
    /// The packet was lost in transit.
    Lost,
}

/// Simulated balancers (numbers below 100) and agents with their upstreams (from 100).
#[derive(Debug)]
pub struct Fleet {
    pub now: TimeMs,
    pub balancers: BTreeMap<u8, BalancerMachine>,
    pub agents: BTreeMap<u8, AgentNode>,
    pub services: u8,
    /// Policy of the agents that start.
    pub opening_policy: OpeningPolicy,
    pub directory: BTreeMap<u8, Peer>,
    /// The platform store may have lost entries of the directory.
    pub is_directory_incomplete: bool,
    /// Agents that start find no record of a previous incarnation. Otherwise the test passes the record.
    pub has_no_records: bool,
    incarnations: u64,
    /// Processes that are partitioned from all others.
    pub partitioned: BTreeSet<u8>,
    /// Pairs of sender and receiver between which messages are lost.
    pub broken_links: BTreeSet<(u8, u8)>,
    /// One of this many messages is lost.
    pub lost_one_of: Option<u64>,
    messages: u64,
    pub hops: usize,
    /// Flows that agents reset.
    pub reset_flows: Vec<FlowKey>,
    /// Flows whose request an agent discarded.
    pub discarded_flows: Vec<FlowKey>,
    /// Agents that probed their upstream.
    pub probed: Vec<u8>,
}

impl Fleet {
    /// Starts a fleet and runs it until all processes know each other.
    pub fn new(balancers: u8, agents: u8, services: u8) -> Self {
        let agents = (0..agents).map(|number| number % services).collect();
        Self::start(balancers, services, agents, OpeningPolicy::default())
    }

    /// Starts a fleet whose agents treat new flows by `policy`.
    pub fn with_policy(balancers: u8, agents: u8, services: u8, policy: OpeningPolicy) -> Self {
        let agents = (0..agents).map(|number| number % services).collect();
        Self::start(balancers, services, agents, policy)
    }

    /// Starts a fleet with this number of agents of each service.
    pub fn with_agents<const N: usize>(balancers: u8, agents: [u8; N]) -> Self {
        let services = (0..).zip(agents);
        let agents = services.flat_map(|(number, count)| std::iter::repeat_n(number, count.into()));
        Self::start(
            balancers,
            N as u8,
            agents.collect(),
            OpeningPolicy::default(),
        )
    }

    /// Starts balancers and one agent for each entry of `agents`, which names its service.
    fn start(balancers: u8, services: u8, agents: Vec<u8>, opening_policy: OpeningPolicy) -> Self {
        let mut fleet = Self {
            now: TimeMs(1_000_000),
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            services,
            opening_policy,
            directory: BTreeMap::new(),
            is_directory_incomplete: false,
            has_no_records: true,
            incarnations: 0,
            partitioned: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            lost_one_of: None,
            messages: 0,
            hops: 0,
            reset_flows: Vec::new(),
            discarded_flows: Vec::new(),
            probed: Vec::new(),
        };
        for (number, service_number) in (100..).zip(agents) {
            fleet.add_agent(number, service_number);
        }
        for number in 0..balancers {
            fleet.start_balancer(number + 1);
        }
        fleet.run_for(6_000);
        fleet
    }

    fn next_incarnation(&mut self) -> u64 {
        self.incarnations += 1;
        1_000 + self.incarnations
    }

    /// Restarts a balancer whose clock was set back: its incarnation is lower than before.
    pub fn restart_balancer_in_the_past(&mut self, number: u8) {
        self.start_balancer_as(number, 1);
    }

    pub fn start_balancer(&mut self, number: u8) {
        let incarnation = self.next_incarnation();
        self.start_balancer_as(number, incarnation);
    }

    fn start_balancer_as(&mut self, number: u8, incarnation: u64) {
        let local_peer = peer(
            number,
            incarnation,
            PeerRole::Balancer(BalancerStatus::default()),
        );
        let mut machine = BalancerMachine::new(local_peer.clone(), u64::from(number));
        machine.apply(configuration(1, self.services));
        machine.confirm(self.now);
        machine.record_directory(self.now, !self.is_directory_incomplete);
        self.balancers.insert(number, machine);
        self.register(number, local_peer);
    }

    /// Adds a VM with an upstream and its agent.
    pub fn add_agent(&mut self, number: u8, service_number: u8) {
        let upstream = Upstream {
            takes_new_flows: true,
            born_ms: 1,
            ..Upstream::default()
        };
        self.start_agent(number, service_number, upstream);
    }

    /// Restarts the agent without its state; its upstream keeps its flows.
    pub fn restart_agent(&mut self, number: u8) {
        let node = self.agents.remove(&number).unwrap();
        self.start_agent(number, node.service, node.upstream);
    }

    fn start_agent(&mut self, number: u8, service_number: u8, upstream: Upstream) {
        let incarnation = self.next_incarnation();
        let local_peer = peer(
            number,
            incarnation,
            agent_role(service_number, Phase::Joining),
        );
        let options = AgentOptions {
            local_peer: local_peer.clone(),
            service: service(service_number),
            heartbeat_ms: DurationMs(HEARTBEAT_MS),
            flow_idle_ms: IDLE_MS,
            opening_policy: self.opening_policy,
            seed: incarnation,
        };
        let mut machine = AgentMachine::new(self.now, options);
        let mut actions = Vec::new();
        let was_known = self.directory.contains_key(&number);
        let event = AgentEvent::Registered { was_known };
        machine.handle(self.now, event, &mut actions);
        if self.has_no_records {
            machine.handle(self.now, AgentEvent::RecordRead(None), &mut actions);
        }
        let node = AgentNode {
            machine,
            service: service_number,
            upstream,
        };
        self.agents.insert(number, node);
        self.register(number, local_peer);
        self.execute(number, actions);
    }

    /// Adds a process to the directory and delivers all entries to it.
    fn register(&mut self, number: u8, local_peer: Peer) {
        let entry = Peer {
            incarnation: Incarnation(0),
            heartbeat_counter: 0,
            ..local_peer
        };
        self.directory.insert(number, entry);
        let entries = self.directory.values().cloned().collect();
        self.gossip(number, GossipEvent::Directory(entries));
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        let end = self.now + DurationMs(duration_ms);
        while self.now < end {
            self.now = self.now + DurationMs(50);
            let is_round = self.now.get().is_multiple_of(250);
            let is_heartbeat = self.now.get().is_multiple_of(HEARTBEAT_MS);
            for number in self.agents.keys().copied().collect::<Vec<_>>() {
                self.agent_event(number, AgentEvent::Tick, None);
                if is_heartbeat {
                    self.send_heartbeat(number);
                }
                if is_round {
                    self.agent_event(number, AgentEvent::Measure, None);
                    self.gossip(number, GossipEvent::Round);
                }
            }
            for number in self.balancers.keys().copied().collect::<Vec<_>>() {
                if is_round {
                    self.gossip(number, GossipEvent::Round);
                }
            }
        }
    }

    /// Sends a heartbeat of an upstream, if it is alive.
    pub fn send_heartbeat(&mut self, number: u8) {
        let upstream = &self.agents[&number].upstream;
        if upstream.behaviour == Behaviour::Dead || upstream.has_left {
            return;
        }
        let is_draining = upstream.is_draining || self.is_draining(number);
        let report = report(upstream.born_ms, self.now.get(), is_draining);
        self.agent_event(number, AgentEvent::Report(report), None);
    }

    fn is_draining(&self, number: u8) -> bool {
        self.agents[&number].machine.phase() == Phase::Draining
    }

    pub fn gossip(&mut self, number: u8, event: GossipEvent) {
        if self.agents.contains_key(&number) {
            self.agent_event(number, AgentEvent::Gossip(event), None);
            return;
        }
        let mut actions = Vec::new();
        let now = self.now;
        let Some(balancer) = self.balancers.get_mut(&number) else {
            return;
        };
        balancer.handle_gossip(now, event, &mut actions);
        let sends = sends(number, actions);
        self.deliver(sends);
    }

    /// Passes a listing of the evacuated failure domains to a balancer, as its watch of the store does.
    pub fn evacuate(&mut self, balancer: u8, version: u64, domains: &[&str]) {
        let domains = domains.iter().map(|domain| domain.parse().unwrap());
        let (evacuations, _) = Evacuations::new(Version(version), domains);
        self.gossip(balancer, GossipEvent::EvacuationsRead(evacuations));
    }

    /// Handles an event at an agent and executes the resulting actions.
    pub fn agent_event(&mut self, number: u8, event: AgentEvent<'_>, segment: Option<Segment>) {
        let mut actions = Vec::new();
        let now = self.now;
        let node = self.agents.get_mut(&number).unwrap();
        node.machine.handle(now, event, &mut actions);
        let transits = self.transits(number, actions, segment).0;
        self.deliver(transits);
    }

    fn execute(&mut self, number: u8, actions: Vec<AgentAction>) {
        let transits = self.transits(number, actions, None).0;
        self.deliver(transits);
    }

    fn deliver(&mut self, transits: Vec<Transit>) {
        let mut queue: VecDeque<_> = transits.into();
        while let Some(transit) = queue.pop_front() {
            queue.extend(self.deliver_one(transit).0);
        }
    }

    /// Sends a packet of a caller through a balancer.
    pub fn send(&mut self, balancer: u8, segment: Segment) -> Outcome {
        let decision = self
            .balancers
            .get_mut(&balancer)
            .unwrap()
            .place(self.now, &segment);
        self.hops = 0;
        let (mut queue, mut outcome) = decide(decision, segment);
        while let Some(transit) = queue.pop_front() {
            self.hops += 1;
            assert!(self.hops < 1_000, "packet forwarded in a loop: {segment:?}");
            let (more, reached) = self.deliver_one(transit);
            queue.extend(more);
            // Copies of a packet that agents are queried with may be lost.
            let is_taken = matches!(outcome, Some(Outcome::Accepted(_) | Outcome::Held(_)));
            if !is_taken {
                outcome = reached.or(outcome);
            }
        }
        outcome.unwrap_or(Outcome::Lost)
    }

    /// Opens a flow as a caller does, with retransmissions of the opening packet.
    pub fn open(&mut self, balancer: u8, key: FlowKey) -> Option<(u8, u32)> {
        for attempt in 0..3 {
            if let Outcome::Accepted(agent) = self.send(balancer, opening(key, attempt)) {
                let number = self.agents[&agent].upstream.flows[&key].0;
                let taken = self.send(balancer, established(key, number.wrapping_add(1)));
                let is_taken = [Outcome::Accepted(agent), Outcome::Held(agent)].contains(&taken);
                assert!(is_taken, "handshake of {key}: {taken:?}");
                return Some((agent, number));
            }
        }
        None
    }

    /// Sends a packet of an open flow.
    pub fn send_on_flow(&mut self, balancer: u8, key: FlowKey, number: u32) -> Outcome {
        self.send(balancer, established(key, number.wrapping_add(1)))
    }

    fn deliver_one(&mut self, transit: Transit) -> (Vec<Transit>, Option<Outcome>) {
        match transit {
            Transit::Packet(to, search, segment) => self.deliver_to_agent(to, search, segment),
            Transit::RelayedQuery(QueryPart { delegate, others }, search, segment) => {
                let is_lost = |number| self.partitioned.contains(&number);
                if is_lost(number_of(delegate)) {
                    return (Vec::new(), Some(Outcome::Lost));
                }
                let copies = others.into_iter();
                let copies = copies.map(|to| Transit::Packet(to, search.clone(), segment));
                let (mut transits, outcome) =
                    self.deliver_to_agent(delegate, search.clone(), segment);
                transits.extend(copies);
                (transits, outcome)
            }
            Transit::Returned(to, search, segment) => {
                let Some(balancer) = self.balancers.get_mut(&number_of(to)) else {
                    return (Vec::new(), Some(Outcome::Lost));
                };
                let decision = balancer.handle_exhausted_search(self.now, search, &segment);
                let (queue, outcome) = decide(decision, segment);
                (queue.into(), outcome)
            }
            Transit::Overloaded(search, segment) => {
                let Some(balancer) = self.balancers.get_mut(&number_of(search.balancer)) else {
                    return (Vec::new(), Some(Outcome::Lost));
                };
                let decision = balancer.handle_overloaded(self.now, search, &segment);
                let (queue, outcome) = decide(decision, segment);
                (queue.into(), outcome)
            }
            Transit::OwnerLost(owner, search, segment) => {
                let Some(balancer) = self.balancers.get_mut(&number_of(search.balancer)) else {
                    return (Vec::new(), Some(Outcome::Lost));
                };
                let decision = balancer.handle_owner_lost(self.now, search, owner, &segment);
                let (queue, outcome) = decide(decision, segment);
                (queue.into(), outcome)
            }
            Transit::NotOwned(agent, to, flow) => {
                let balancer = self.balancers.get_mut(&number_of(to));
                let result = balancer.and_then(|it| it.handle_not_owned(self.now, agent, flow));
                let outcome = result.map(|result| match result {
                    QueryResult::Ended { .. } => Outcome::Reset(ResultCode::NoEndpoint),
                    QueryResult::Unknown => Outcome::Dropped(ResultCode::NoEndpoint),
                });
                (Vec::new(), outcome)
            }
            Transit::Message(from, to, message) => {
                self.deliver_message(from, to, message);
                (Vec::new(), None)
            }
        }
    }

    fn deliver_message(&mut self, from: SocketAddr, to: SocketAddr, message: PeerMessage) {
        let (sender, receiver) = (number_of(from), number_of(to));
        if self.partitioned.contains(&sender)
            || self.partitioned.contains(&receiver)
            || self.broken_links.contains(&(sender, receiver))
            || self.is_message_lost()
        {
            return;
        }
        match message {
            PeerMessage::Gossip(gossip) => {
                self.gossip(receiver, GossipEvent::Message { from, gossip });
            }
            PeerMessage::FlowOwner { flow, owner } => {
                if let Some(balancer) = self.balancers.get_mut(&receiver) {
                    balancer.record_owner(self.now, flow, owner);
                }
            }
            PeerMessage::RegisterFlows(flows) => {
                if self.agents.contains_key(&receiver) {
                    let event = AgentEvent::FlowsRegistered { owner: from, flows };
                    self.agent_event(receiver, event, None);
                }
            }
            PeerMessage::Forward(_)
            | PeerMessage::ForwardOpening { .. }
            | PeerMessage::Exhausted(_)
            | PeerMessage::Overloaded(_)
            | PeerMessage::OwnerLost { .. }
            | PeerMessage::Query(_)
            | PeerMessage::RelayQuery { .. }
            | PeerMessage::NotOwned { .. } => {}
        }
    }

    fn is_message_lost(&mut self) -> bool {
        self.messages += 1;
        self.lost_one_of
            .is_some_and(|count| self.messages.is_multiple_of(count))
    }

    fn deliver_to_agent(
        &mut self,
        to: SocketAddr,
        search: Search,
        segment: Segment,
    ) -> (Vec<Transit>, Option<Outcome>) {
        let number = number_of(to);
        if self.partitioned.contains(&number) || !self.agents.contains_key(&number) {
            return (Vec::new(), Some(Outcome::Lost));
        }
        let mut actions = Vec::new();
        let event = AgentEvent::Forwarded {
            search,
            segment,
            packet: &[],
        };
        let now = self.now;
        let node = self.agents.get_mut(&number).unwrap();
        node.machine.handle(now, event, &mut actions);
        self.transits(number, actions, Some(segment))
    }

    /// Converts the actions of an agent into packets and messages in transit.
    fn transits(
        &mut self,
        number: u8,
        actions: Vec<AgentAction>,
        segment: Option<Segment>,
    ) -> (Vec<Transit>, Option<Outcome>) {
        let local_address = peer_address(number);
        let mut transits = Vec::new();
        let mut outcome = None;
        for action in actions {
            match action {
                AgentAction::Deliver { token } => {
                    let (more, reached) = self.deliver_to_upstream(number, token, segment.unwrap());
                    transits.extend(more);
                    outcome = reached.or(outcome);
                }
                AgentAction::DeliverHeld { token, segment, .. } => {
                    let (more, reached) = self.deliver_to_upstream(number, token, segment);
                    transits.extend(more);
                    outcome = reached.or(outcome);
                }
                AgentAction::RequestDiscarded { flow } => self.discarded_flows.push(flow),
                AgentAction::ForwardToAgent { to, search, packet } => {
                    // Packets that an agent kept are not simulated further.
                    if packet.is_none() {
                        transits.push(Transit::Packet(to, search, segment.unwrap()));
                    }
                }
                AgentAction::ReturnToBalancer { search, packet } => {
                    if packet.is_none() {
                        let to = search.balancer;
                        transits.push(Transit::Returned(to, search, segment.unwrap()));
                    }
                }
                AgentAction::ReturnOverloaded { search } => {
                    transits.push(Transit::Overloaded(search, segment.unwrap()));
                }
                AgentAction::ReturnOwnerLost {
                    search,
                    owner,
                    packet,
                } => {
                    if packet.is_none() {
                        transits.push(Transit::OwnerLost(owner, search, segment.unwrap()));
                    }
                }
                AgentAction::AnswerNotOwned { to, flow } => {
                    transits.push(Transit::NotOwned(local_address, to, flow));
                }
                AgentAction::AnnounceOwner { to, flow, owner } => {
                    let message = PeerMessage::FlowOwner { flow, owner };
                    transits.push(Transit::Message(local_address, to, message));
                }
                AgentAction::RegisterFlows { to, flows } => {
                    let message = PeerMessage::RegisterFlows(flows);
                    transits.push(Transit::Message(local_address, to, message));
                }
                AgentAction::Drop(code) => outcome = Some(Outcome::Dropped(code)),
                AgentAction::Gossip(action) => transits.extend(sends(number, vec![action])),
                AgentAction::Reset { flow, .. } => self.reset_flows.push(flow),
                AgentAction::Probe => self.probed.push(number),
                AgentAction::Accepted { .. }
                | AgentAction::Answered { .. }
                | AgentAction::IncarnationReported { .. }
                | AgentAction::DeregistrationRejected(_)
                | AgentAction::Reply
                | AgentAction::StatusChanged(_) => {}
            }
        }
        let is_held = |segment: Segment| {
            let machine = &self.agents[&number].machine;
            machine
                .is_request_waiting(&segment.flow)
                .then_some(Outcome::Held(number))
        };
        let is_message = |transit: &Transit| matches!(transit, Transit::Message(..));
        if transits.iter().all(is_message) && outcome.is_none() {
            outcome = segment.and_then(is_held);
        }
        (transits, outcome)
    }

    /// Delivers a packet to an upstream, which accepts or returns it.
    fn deliver_to_upstream(
        &mut self,
        number: u8,
        token: u32,
        segment: Segment,
    ) -> (Vec<Transit>, Option<Outcome>) {
        let now = self.now;
        let node = self.agents.get_mut(&number).unwrap();
        let upstream = &mut node.upstream;
        if upstream.behaviour == Behaviour::Dead {
            return (Vec::new(), Some(Outcome::Lost));
        }
        let known = upstream.flows.get(&segment.flow).copied();
        let answer = match (segment.kind, known) {
            (SegmentKind::Opening { .. }, Some((chosen, _))) => Some(accepting(segment, chosen)),
            (SegmentKind::Opening { .. }, None) if upstream.takes_new_flows => {
                let chosen = u32::from(number) * 10_000_000 + u32::from(segment.flow.caller.port());
                upstream.flows.insert(segment.flow, (chosen, false));
                Some(accepting(segment, chosen))
            }
            (SegmentKind::Established, Some((chosen, is_open)))
                if is_open || segment.acknowledged == chosen.wrapping_add(1) =>
            {
                upstream.flows.insert(segment.flow, (chosen, true));
                // The answer to a later request follows that to the first one, whose data begins at 2.
                let answered_bytes = segment.sequence.wrapping_sub(2);
                Some(Segment {
                    kind: SegmentKind::Established,
                    sequence: chosen.wrapping_add(1).wrapping_add(answered_bytes),
                    acknowledged: segment.end(),
                    ..segment
                })
            }
            _ => None,
        };
        let mut actions = Vec::new();
        let outcome = if let Some(answer) = answer {
            let mut answer = answer;
            if upstream.behaviour == Behaviour::Failing && !segment.is_opening() {
                answer.kind = SegmentKind::Reset;
            }
            if segment.is_opening() || upstream.behaviour != Behaviour::Stuck {
                let event = AgentEvent::Sent(answer);
                node.machine.handle(now, event, &mut actions);
            }
            Some(Outcome::Accepted(number))
        } else {
            if !segment.is_opening() {
                upstream.stray_packets += 1;
            }
            let event = AgentEvent::Returned { segment, token };
            node.machine.handle(now, event, &mut actions);
            None
        };
        let (transits, reached) = self.transits(number, actions, Some(segment));
        (transits, outcome.or(reached))
    }
}

fn accepting(segment: Segment, chosen: u32) -> Segment {
    Segment {
        kind: SegmentKind::Accepting,
        sequence: chosen,
        acknowledged: segment.sequence.wrapping_add(1),
        ..segment
    }
}

fn decide(decision: BalancerDecision, segment: Segment) -> (VecDeque<Transit>, Option<Outcome>) {
    match decision {
        BalancerDecision::Forward { to, search } => {
            ([Transit::Packet(to, search, segment)].into(), None)
        }
        BalancerDecision::Query { parts, search } => {
            let parts = parts.into_iter();
            let parts = parts.map(|part| Transit::RelayedQuery(part, search.clone(), segment));
            (parts.collect(), None)
        }
        BalancerDecision::Reset(code) => (VecDeque::new(), Some(Outcome::Reset(code))),
        BalancerDecision::Drop(code) => (VecDeque::new(), Some(Outcome::Dropped(code))),
    }
}

fn sends(number: u8, actions: Vec<GossipAction>) -> Vec<Transit> {
    let local_address = peer_address(number);
    let actions = actions.into_iter();
    actions
        .filter_map(|action| match action {
            GossipAction::Send { to, message } => {
                Some(Transit::Message(local_address, to, message))
            }
            GossipAction::PeerChanged(_)
            | GossipAction::PeerUnreachable(_)
            | GossipAction::IsolationChanged { .. }
            | GossipAction::EvacuationsChanged(_) => None,
        })
        .collect()
}

pub fn number_of(address: SocketAddr) -> u8 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    }
}
