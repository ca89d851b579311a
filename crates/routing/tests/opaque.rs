//! Guards opaque UDP flows against a change of their agent while balancers and agents have
//! different views of the service.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use googletest::prelude::*;
use hawthorntide_routing::{
    EndpointRoute, FlowKey, FlowLocator, MAX_HOPS, MAX_RELAY_HEADER_BYTES, OpaqueArrival,
    OpaqueDecision, RelayHeader, RelayPurpose, Route, RoutingTable,
};
use hawthorntide_types::{
    EndpointId, Incarnation, Phase, ResultCode, ServiceId, TimeMs, Transport, Weight,
};
use proptest::prelude::{
    Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
};

const SERVICE: ServiceId = ServiceId(1);
const MAX_FLOWS: usize = 10_000;
const BALANCERS: usize = 3;
const FIRST_AGENTS: u16 = 3;
/// Maximum number of agents that one search can visit.
const MAX_AGENTS: u16 = 7;

fn data_address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number as u8], 7000))
}

fn endpoint(number: u16, weight: u16, phase: Phase) -> EndpointRoute {
    EndpointRoute {
        endpoint: EndpointId::of_address(data_address(number)),
        incarnation: Incarnation(100),
        service: SERVICE,
        data_address: data_address(number),
        phase,
        weight: Weight(weight),
    }
}

fn flow(number: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddr::from(([203, 0, 113, 1], 1024 + number)),
        service_address: SocketAddr::from(([192, 0, 2, 1], 53)),
    }
}

/// Change of the service, or event at one process.
#[derive(Clone, Copy, Debug)]
enum Step {
    Join,
    Weight(u16, u16),
    Drain(u16),
    Return(u16),
    /// A process receives one pending membership update.
    ReceiveUpdate(usize, usize),
    /// A packet of a flow arrives at a balancer.
    Send(usize, u16),
    /// One of the packets in flight arrives.
    Deliver(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let number = 0..MAX_AGENTS;
    prop_oneof![
        1 => Just(Step::Join),
        2 => (number.clone(), 1..=1000_u16).prop_map(|(number, weight)| Step::Weight(number, weight)),
        1 => number.clone().prop_map(Step::Drain),
        1 => number.prop_map(Step::Return),
        12 => (any::<usize>(), any::<usize>())
            .prop_map(|(process, entry)| Step::ReceiveUpdate(process, entry)),
        12 => (0..BALANCERS, 0..6_u16).prop_map(|(balancer, flow)| Step::Send(balancer, flow)),
        30 => any::<usize>().prop_map(Step::Deliver),
    ]
}

/// Packet from a balancer to an agent, or between two agents.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    to: SocketAddr,
    key: FlowKey,
    arrival: OpaqueArrival,
}

/// Membership updates that one process has not received yet, by agent, oldest first.
type Pending = BTreeMap<u16, Vec<EndpointRoute>>;

struct Network {
    current: BTreeMap<u16, EndpointRoute>,
    agents: Vec<(FlowLocator, Pending)>,
    balancers: Vec<(RoutingTable, Pending)>,
    in_flight: Vec<InFlight>,
    /// Agents that delivered packets of each flow.
    holders: BTreeMap<FlowKey, Vec<u16>>,
    hop_limit_drops: usize,
}

impl Network {
    fn new() -> Self {
        let mut network = Self {
            current: BTreeMap::new(),
            agents: Vec::new(),
            balancers: Vec::new(),
            in_flight: Vec::new(),
            holders: BTreeMap::new(),
            hop_limit_drops: 0,
        };
        for _ in 0..BALANCERS {
            let mut table = RoutingTable::new();
            table.set_service(SERVICE, &[], Transport::Udp);
            network.balancers.push((table, Pending::new()));
        }
        for _ in 0..FIRST_AGENTS {
            network.join();
        }
        network.receive_all_updates();
        network
    }

    fn join(&mut self) {
        let number = self.agents.len() as u16;
        if number == MAX_AGENTS {
            return;
        }
        let route = endpoint(number, 1000, Phase::Serving);
        let peers: Vec<_> = self.current.values().copied().collect();
        let locator = FlowLocator::new(&route, &peers, MAX_FLOWS);
        self.announce(number, route);
        self.agents.push((locator, Pending::new()));
    }

    fn announce(&mut self, number: u16, route: EndpointRoute) {
        self.current.insert(number, route);
        if let Some((locator, _)) = self.agents.get_mut(usize::from(number)) {
            locator.set_member(&route);
        }
        let agents = self.agents.iter_mut().map(|(_, pending)| pending);
        let balancers = self.balancers.iter_mut().map(|(_, pending)| pending);
        for pending in agents.chain(balancers) {
            pending.entry(number).or_default().push(route);
        }
    }

    fn change(&mut self, number: u16, change: impl Fn(&mut EndpointRoute)) {
        if let Some(mut route) = self.current.get(&number).copied() {
            change(&mut route);
            self.announce(number, route);
        }
    }

    fn receive_update(&mut self, process: usize, entry: usize) {
        let process = process % (self.agents.len() + BALANCERS);
        let pending = match process.checked_sub(BALANCERS) {
            None => &mut self.balancers[process].1,
            Some(agent) => &mut self.agents[agent].1,
        };
        if pending.is_empty() {
            return;
        }
        let index = entry % pending.len();
        let (&number, changes) = pending.iter_mut().nth(index).unwrap();
        let route = changes.remove(0);
        if changes.is_empty() {
            pending.remove(&number);
        }
        match process.checked_sub(BALANCERS) {
            None => self.balancers[process].0.set_endpoint(route),
            Some(agent) if agent == usize::from(number) => {}
            Some(agent) => self.agents[agent].0.set_member(&route),
        }
    }

    fn receive_all_updates(&mut self) {
        for process in 0..BALANCERS + self.agents.len() {
            for _ in 0..1000 {
                self.receive_update(process, 0);
            }
        }
    }

    fn send(&mut self, balancer: usize, key: FlowKey) {
        if let Route::Forward { to, .. } = self.balancers[balancer].0.route_opaque(SERVICE, &key) {
            let arrival = OpaqueArrival::Forwarded;
            self.in_flight.push(InFlight { to, key, arrival });
        }
    }

    fn deliver(&mut self, which: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let packet = self.in_flight.remove(which % self.in_flight.len());
        let number = (0..MAX_AGENTS)
            .find(|number| data_address(*number) == packet.to)
            .unwrap();
        let locator = &mut self.agents[usize::from(number)].0;
        match locator.handle(TimeMs(1), packet.key, packet.arrival) {
            OpaqueDecision::Deliver => self.holders.entry(packet.key).or_default().push(number),
            OpaqueDecision::Relay { to, hops, header } => self.in_flight.push(InFlight {
                to,
                key: packet.key,
                arrival: OpaqueArrival::Relayed { hops, header },
            }),
            OpaqueDecision::Drop(ResultCode::HopLimit) => self.hop_limit_drops += 1,
            OpaqueDecision::Drop(_) => {}
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Join => self.join(),
            Step::Weight(number, weight) => {
                self.change(number, |route| route.weight = Weight(weight));
            }
            Step::Drain(number) => self.change(number, |route| route.phase = Phase::Draining),
            Step::Return(number) => self.change(number, |route| route.phase = Phase::Serving),
            Step::ReceiveUpdate(process, entry) => self.receive_update(process, entry),
            Step::Send(balancer, number) => self.send(balancer, flow(number)),
            Step::Deliver(which) => self.deliver(which),
        }
    }

    fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver(0);
        }
    }

    fn flow_holders(&self, key: &FlowKey) -> usize {
        self.agents
            .iter()
            .filter(|(locator, _)| locator.holds(key))
            .count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // Guards against flows that move to another agent or are held by two. Agents join, drain,
    // return and change weights, and the updates reach balancers and agents late and in different
    // orders.
    #[test]
    fn a_flow_stays_with_one_agent(steps in proptest::collection::vec(any_step(), 0..300)) {
        let mut network = Network::new();
        for step in steps {
            network.step(step);
            for holders in network.holders.values_mut() {
                holders.dedup();
                prop_assert_eq!(holders.len(), 1);
            }
        }
        network.deliver_all();
        for number in 0..6 {
            prop_assert!(network.flow_holders(&flow(number)) <= 1);
        }
        prop_assert_eq!(network.hop_limit_drops, 0);
    }

    // Guards against relay loops, and against a flow that no agent accepts, even if the processes
    // know different members.
    #[test]
    fn each_packet_ends_within_the_hop_limit(
        steps in proptest::collection::vec(any_step(), 0..200),
        balancer in 0..BALANCERS,
    ) {
        let mut network = Network::new();
        for step in steps {
            network.step(step);
        }
        network.deliver_all();
        let before: usize = network.holders.values().map(Vec::len).sum();
        network.send(balancer, flow(100));
        let mut hops = 0;
        while !network.in_flight.is_empty() {
            network.deliver(0);
            hops += 1;
        }
        prop_assert!(hops <= usize::from(MAX_HOPS) + 1);
        let after: usize = network.holders.values().map(Vec::len).sum();
        let has_owner = network.balancers[balancer].0.route_opaque(SERVICE, &flow(100))
            != Route::Drop(ResultCode::NoEndpoint);
        let is_any_serving = network.current.values().any(|route| route.phase == Phase::Serving);
        if has_owner && is_any_serving {
            prop_assert_eq!(after, before + 1);
        }
    }

    // Guards against a relay header that changes when it is encoded and decoded, and against a
    // panic on hostile input.
    #[test]
    fn relay_headers_round_trip(
        purpose in 0..5_u8,
        count in 0..10_u8,
        rest in proptest::collection::vec(any::<u8>(), 0..150),
    ) {
        let bytes = [&[purpose, 0, count][..], &rest].concat();
        if let Some((header, packet)) = RelayHeader::read(&bytes) {
            let mut buffer = Vec::new();
            header.write(&mut buffer);
            prop_assert!(buffer.len() <= MAX_RELAY_HEADER_BYTES);
            prop_assert_eq!(buffer.len() + packet.len(), bytes.len());
            prop_assert_eq!(RelayHeader::read(&buffer), Some((header, &[][..])));
        }
    }
}

// Guards against searches that continue to visit previous slot owners without flows.
#[gtest]
fn agents_without_flows_are_skipped_by_later_searches() {
    let mut network = Network::new();
    for _ in FIRST_AGENTS..MAX_AGENTS {
        network.join();
        network.receive_all_updates();
    }
    let hops_of_a_new_flow = |network: &mut Network, number| {
        network.send(0, flow(number));
        let mut hops = 0;
        while !network.in_flight.is_empty() {
            network.deliver(0);
            hops += 1;
        }
        hops - 1
    };
    let first: usize = (0..2000)
        .map(|number| hops_of_a_new_flow(&mut network, number))
        .sum();
    let second: usize = (4000..6000)
        .map(|number| hops_of_a_new_flow(&mut network, number))
        .sum();
    expect_that!(second, lt(first / 4));
}

// Guards against a returning packet whose search another agent started.
#[gtest]
fn returns_of_other_origins_are_dropped() {
    let mut network = Network::new();
    let mut bytes = [0; MAX_RELAY_HEADER_BYTES];
    bytes[0] = 3;
    let (header, _) = RelayHeader::read(&bytes).unwrap();
    expect_that!(header.purpose, eq(RelayPurpose::Return));
    let arrival = OpaqueArrival::Relayed { hops: 2, header };
    let decision = network.agents[0].0.handle(TimeMs(1), flow(0), arrival);
    expect_that!(
        decision,
        eq(OpaqueDecision::Drop(ResultCode::PacketMalformed))
    );
}

// Guards against unbounded memory use by flows.
#[gtest]
fn the_number_of_flows_is_bounded() {
    let route = endpoint(0, 1000, Phase::Serving);
    let mut locator = FlowLocator::new(&route, &[], 10);
    for number in 0..20 {
        let decision = locator.handle(TimeMs(1), flow(number), OpaqueArrival::Forwarded);
        let expected = if number < 10 {
            OpaqueDecision::Deliver
        } else {
            OpaqueDecision::Drop(ResultCode::OpeningLimited)
        };
        expect_that!(decision, eq(expected));
    }
    expect_that!(locator.held_flows(), eq(10));
}
