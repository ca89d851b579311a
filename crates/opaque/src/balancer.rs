//! Balancer's decisions: which agent gets a packet of a caller.

use std::collections::HashMap;
use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, NodeId, Phase, ResultCode, ServiceName, TimeMs, Version};

use crate::gossip::{GossipAction, GossipEvent, GossipMachine};
use crate::message::Search;
use crate::peer::{BalancerStatus, Peer, PeerRole};
use crate::placement::DomainTag;
use crate::route::{Configuration, RouteTable};
use crate::segment::{Segment, SegmentKind};
use crate::view::Quest;

/// Time after the last answer of the platform store in which the routes count as current: a watch
/// answers or ends before.
const CURRENT_FOR_MS: DurationMs = DurationMs(4_000);

/// Balancers that watch the platform store: enough that some are left after the loss of a failure
/// domain, whatever the size of the deployment.
const WATCHERS: usize = 3;

/// Flows whose endpoint a balancer remembers.
const MAX_LOCATED: usize = 100_000;

/// Time between two passes over the remembered flows.
const EXPIRY_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Time without packets after which the endpoint of a flow is forgotten, unless the routes say
/// otherwise.
const DEFAULT_IDLE_MS: DurationMs = DurationMs(60_000);

/// What happens to a packet of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BalancerDecision {
    /// Sends it to an agent.
    Forward {
        /// Agent.
        to: SocketAddr,
        /// Way of the packet.
        search: Search,
    },
    /// Tells the caller that its flow does not exist.
    Reset(ResultCode),
    /// Drops it.
    Drop(ResultCode),
}

/// What a balancer does about the configuration at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigurationTask {
    /// Watches the store.
    Watch,
    /// Asks another balancer, which has a later version.
    FetchFrom(SocketAddr),
    /// Leaves it to other balancers.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct LocatedFlow {
    owner: SocketAddr,
    last_packet: TimeMs,
}

/// Decides about each packet of a caller.
#[derive(Clone, Debug)]
pub struct BalancerMachine {
    gossip: GossipMachine,
    near: DomainTag,
    routes: RouteTable,
    /// Addresses that were routes of an earlier version, sorted.
    dropped_routes: Vec<SocketAddr>,
    confirmed: Option<TimeMs>,
    /// The directory was read in this life.
    is_settled: bool,
    located: HashMap<FlowKey, LocatedFlow>,
    last_expiry: TimeMs,
}

impl BalancerMachine {
    /// Creates the machine at the start of the process `own`.
    pub fn new(own: Peer, seed: u64) -> Self {
        Self {
            near: DomainTag::of(&own.failure_domain),
            gossip: GossipMachine::new(own, seed),
            routes: RouteTable::default(),
            dropped_routes: Vec::new(),
            confirmed: None,
            is_settled: false,
            located: HashMap::new(),
            last_expiry: TimeMs::default(),
        }
    }

    /// Returns the gossip of the process.
    pub const fn gossip(&self) -> &GossipMachine {
        &self.gossip
    }

    /// Returns the routes in force.
    pub const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns whether packets can be placed.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        let has_routes = self.routes.configuration().is_some();
        has_routes && self.is_settled && self.gossip.view().reachable_agents(now) > 0
    }

    /// Takes an event of the gossip.
    pub fn handle_gossip(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<GossipAction>) {
        self.is_settled |= matches!(event, GossipEvent::Directory(_));
        self.gossip.handle(now, event, out);
    }

    /// Takes routes from the platform store; returns whether they are newer.
    pub fn apply(&mut self, configuration: Configuration) -> bool {
        let old: Vec<_> = self.routes.configuration().map_or_else(Vec::new, |it| {
            it.routes
                .iter()
                .map(|route| route.service_address)
                .collect()
        });
        if !self.routes.apply(configuration) {
            return false;
        }
        let routes = &self.routes;
        self.dropped_routes.extend(old);
        self.dropped_routes.sort();
        self.dropped_routes.dedup();
        self.dropped_routes
            .retain(|address| routes.find(*address).is_none());
        true
    }

    /// Notes that the platform store confirmed the routes in force.
    pub const fn confirm(&mut self, now: TimeMs) {
        self.confirmed = Some(now);
    }

    /// Returns the role to tell others, of a balancer that watches the store or does not.
    pub fn role(&self, is_watching: bool) -> PeerRole {
        PeerRole::Balancer(BalancerStatus {
            version: self.routes.version(),
            is_watching,
        })
    }

    /// Returns whether this balancer should watch the platform store for the others.
    pub fn should_watch(&self, now: TimeMs) -> bool {
        let own = self.gossip.local_peer().address;
        let is_before = |peer: &&Peer| watch_rank(peer.address) < watch_rank(own);
        let watchers = self.watchers(now).filter(is_before);
        watchers.count() < WATCHERS
    }

    /// Returns whether another balancer has a later version of the routes.
    pub fn is_behind(&self, now: TimeMs) -> bool {
        self.ahead(now).next().is_some()
    }

    /// Returns what to do about the configuration at present.
    ///
    /// A balancer that watches hears of a change itself. One that does not, because others do or
    /// because the store does not answer it, asks a balancer that is ahead.
    pub fn configuration_task(&self, now: TimeMs) -> ConfigurationTask {
        let own = self.gossip.local_peer();
        let is_watching = own.balancer().is_some_and(|status| status.is_watching);
        if !is_watching && let Some(peer) = self.latest(now) {
            ConfigurationTask::FetchFrom(peer)
        } else if self.should_watch(now) {
            ConfigurationTask::Watch
        } else {
            ConfigurationTask::Idle
        }
    }

    /// Returns the balancer that is furthest ahead; of several, each balancer picks another one.
    fn latest(&self, now: TimeMs) -> Option<SocketAddr> {
        let own = watch_rank(self.gossip.local_peer().address);
        let latest = self.ahead(now).max_by_key(|(version, address)| {
            (*version, (watch_rank(*address) ^ own).reverse_bits())
        });
        latest.map(|(_, address)| address)
    }

    /// Returns the balancers that have a later version of the routes.
    fn ahead(&self, now: TimeMs) -> impl Iterator<Item = (Version, SocketAddr)> {
        let own = self.routes.version();
        let balancers = self.gossip.view().reachable_balancers(now);
        let versions = balancers.filter_map(|peer| Some((peer.balancer()?.version, peer.address)));
        versions.filter(move |(version, _)| *version > own)
    }

    /// Returns the other balancers that watch the store.
    fn watchers(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        let own = self.gossip.local_peer().address;
        let balancers = self.gossip.view().reachable_balancers(now);
        balancers
            .filter(move |peer| peer.address != own)
            .filter(|peer| peer.balancer().is_some_and(|status| status.is_watching))
    }

    /// Returns whether the routes in force are certainly the latest, or were a moment ago.
    fn is_current(&self, now: TimeMs) -> bool {
        let is_confirmed = self
            .confirmed
            .is_some_and(|confirmed| now.since(confirmed) <= CURRENT_FOR_MS);
        is_confirmed || (self.watchers(now).next().is_some() && !self.is_behind(now))
    }

    /// Remembers the endpoint of a flow.
    pub fn cache_owner(&mut self, now: TimeMs, flow: FlowKey, owner: SocketAddr) {
        self.expire(now);
        if self.located.len() >= MAX_LOCATED && !self.located.contains_key(&flow) {
            return;
        }
        let located = LocatedFlow {
            owner,
            last_packet: now,
        };
        self.located.insert(flow, located);
    }

    /// Returns how many flows have a remembered endpoint.
    pub fn located_flows(&self) -> usize {
        self.located.len()
    }

    /// Decides about a packet of a caller.
    pub fn place(&mut self, now: TimeMs, segment: &Segment) -> BalancerDecision {
        self.expire(now);
        let flow = &segment.flow;
        let Some(route) = self.routes.find(flow.service_address) else {
            return self.without_route(now, segment);
        };
        let view = self.gossip.view();
        let own_service = route.service_of(flow);
        let has_room = |service: &&ServiceName| view.has_room(now, service);
        let service = if segment.is_opening() {
            route.services_of(flow).find(has_room).or(own_service)
        } else {
            own_service
        };
        let Some(service) = service else {
            return BalancerDecision::Drop(ResultCode::NoEndpoint);
        };
        let search = Search {
            balancer: self.gossip.local_peer().address,
            near: self.near,
            service: service.clone(),
            is_diverted: Some(service) != own_service,
            visited: Vec::new(),
        };
        let is_first_copy = matches!(segment.kind, SegmentKind::Opening { copy: 0 });
        let may_be_located = !segment.is_opening() || is_first_copy;
        if may_be_located && let Some(to) = self.cached_owner(now, flow) {
            return BalancerDecision::Forward { to, search };
        }
        let copy = match segment.kind {
            SegmentKind::Opening { copy } => copy,
            SegmentKind::Reset | SegmentKind::Established => 0,
            SegmentKind::Accepting => return BalancerDecision::Drop(ResultCode::PacketMalformed),
        };
        let Some(to) = self.choose(now, segment, &search, copy) else {
            return self.nobody_left(now, &search, segment);
        };
        if segment.is_opening() {
            // Its agent is asked first from now on, whatever changes in the order of the agents.
            self.cache_owner(now, *flow, to);
        }
        BalancerDecision::Forward { to, search }
    }

    /// Decides about a packet that no agent took that its sender knew.
    pub fn handle_exhausted_search(
        &mut self,
        now: TimeMs,
        search: Search,
        segment: &Segment,
    ) -> BalancerDecision {
        self.located.remove(&segment.flow);
        match self.next_agent(now, segment, &search) {
            Some(to) => BalancerDecision::Forward { to, search },
            None => self.nobody_left(now, &search, segment),
        }
    }

    /// Returns the agent for a copy of an opening packet: each copy goes to another agent, so that
    /// one that does not answer costs the caller one interval.
    fn choose(
        &self,
        now: TimeMs,
        segment: &Segment,
        search: &Search,
        copy: u32,
    ) -> Option<SocketAddr> {
        let mut skipped = search.clone();
        let mut chosen = self.next_agent(now, segment, &skipped)?;
        for _ in 0..copy {
            skipped.visited.push(chosen);
            let Some(next) = self.next_agent(now, segment, &skipped) else {
                break;
            };
            chosen = next;
        }
        Some(chosen)
    }

    fn next_agent(&self, now: TimeMs, segment: &Segment, search: &Search) -> Option<SocketAddr> {
        let view = self.gossip.view();
        view.next_agent(now, Quest::of(search, segment))
    }

    fn cached_owner(&mut self, now: TimeMs, flow: &FlowKey) -> Option<SocketAddr> {
        let located = self.located.get_mut(flow)?;
        located.last_packet = now;
        let owner = located.owner;
        let view = self.gossip.view();
        let is_gone = view
            .find(owner)
            .and_then(Peer::agent)
            .is_none_or(|status| status.phase == Phase::Gone);
        if is_gone || view.is_unreachable(now, owner) {
            self.located.remove(flow);
            return None;
        }
        Some(owner)
    }

    /// Refuses a flow whose address is certainly no route.
    fn without_route(&self, now: TimeMs, segment: &Segment) -> BalancerDecision {
        let address = segment.flow.service_address;
        let was_dropped = self.dropped_routes.binary_search(&address).is_ok();
        if segment.kind == SegmentKind::Reset {
            return BalancerDecision::Drop(ResultCode::NotFound);
        }
        if was_dropped || (segment.is_opening() && self.is_current(now)) {
            return BalancerDecision::Reset(ResultCode::NotFound);
        }
        BalancerDecision::Drop(ResultCode::NotFound)
    }

    /// Decides about a packet that no agent took that could be asked.
    ///
    /// A new flow is refused, unless an agent that could not be asked may be back before the caller
    /// sends its next copy. An established one is reset only when every agent that may hold it
    /// was asked, or has been unreachable for long: the directory names them all, since an agent
    /// takes no new flows before its entry is there. A balancer that reached few of the agents
    /// rather doubts its own links.
    fn nobody_left(&self, now: TimeMs, search: &Search, segment: &Segment) -> BalancerDecision {
        let view = self.gossip.view();
        let may_reset = match segment.kind {
            SegmentKind::Opening { .. } => !view.may_return(now, &search.service, &search.visited),
            SegmentKind::Established => search.visited.len() * 2 > view.agents().count(),
            SegmentKind::Accepting | SegmentKind::Reset => false,
        };
        if self.is_settled && may_reset {
            BalancerDecision::Reset(ResultCode::NoEndpoint)
        } else {
            BalancerDecision::Drop(ResultCode::NoEndpoint)
        }
    }

    fn expire(&mut self, now: TimeMs) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry = now;
        let idle_ms = self
            .routes
            .configuration()
            .map_or(DEFAULT_IDLE_MS, |it| it.flow_idle_ms);
        self.located
            .retain(|_, flow| now.since(flow.last_packet) <= idle_ms);
    }
}

/// Returns the place of a balancer among those that may watch the store, spread over failure domains.
fn watch_rank(address: SocketAddr) -> u64 {
    NodeId::of_address(address).get()
}
