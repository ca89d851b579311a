//! State machine of a balancer: selects the agent for each packet of a caller.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{
    ConfigurationVersion, DurationMs, NodeId, ResultCode, ServiceName, TimeMs,
};

use crate::cold_start::ColdStartTolerance;
use crate::gossip::{GossipAction, GossipEvent, GossipMachine};
use crate::message::{OpeningTerms, Search};
use crate::peer::{BalancerStatus, Peer, PeerRole};
use crate::placement::DomainTag;
use crate::route::{Configuration, RouteTable};
use crate::segment::{Segment, SegmentKind};
use crate::view::AgentQuery;

/// The routes count as current for this long after the platform store confirmed them. A watch is
/// answered or fails within this time, and a change is to be in force half a second later.
const ROUTES_CURRENT_FOR_MS: DurationMs = DurationMs(2_500);

/// A balancer from which a newer configuration could not be fetched is asked again after this time; until
/// then, others or the platform store are asked.
const FETCH_RETRY_MS: DurationMs = DurationMs(2_000);

/// Number of balancers that are asked in vain for a newer configuration before the platform store is. A
/// balancer without a path to any other one must still have a change in force in time.
const MAX_FAILED_FETCHES: usize = 2;

/// Number of balancers that watch the platform store, whatever the size of the deployment. With
/// several, some usually remain when a failure domain is lost.
const WATCHERS: usize = 3;

/// Limit on the flows in the cache.
const MAX_CACHED_FLOWS: usize = 100_000;

/// A query of all agents begins anew after this time: some of them may have restarted.
const QUERY_TTL_MS: DurationMs = DurationMs(2_000);

/// Limit on the flows whose owner is being queried.
const MAX_QUERIES: usize = 10_000;

/// Agents that one message queries. The message names them, so that it stays below two kilobytes with the
/// packet.
const MAX_QUERY_PART: usize = 32;

/// Time between two scans of the cache for expired entries.
const EXPIRY_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Idle timeout of cached flows before the first configuration is applied.
const DEFAULT_IDLE_MS: DurationMs = DurationMs(60_000);

/// Time in which agents whose directory entries the platform store has lost restart and are known
/// again.
const REGISTRATION_WINDOW_MS: DurationMs = DurationMs(5_000);

/// Decision about a packet of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BalancerDecision {
    /// Sends the packet to the agent `to`.
    Forward {
        to: SocketAddr,
        search: Search,
    },
    /// Sends the packet to several agents at once, to find the owner of its flow.
    Query {
        parts: Vec<QueryPart>,
        search: Search,
    },
    /// Sends the caller a reset.
    Reset(ResultCode),
    Drop(ResultCode),
}

/// Agents that are queried by one message of the balancer: the delegate sends the packet on to the others.
///
/// The link of a balancer may be a hundred times slower than those of agents, and after a loss of power
/// thousands of callers return to it at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryPart {
    pub delegate: SocketAddr,
    pub others: Vec<SocketAddr>,
}

/// How a balancer keeps its configuration up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigurationTask {
    /// Watches the platform store.
    Watch,
    /// Fetches the configuration from another balancer, which has a newer version.
    FetchFrom(SocketAddr),
    /// Nothing to do: other balancers watch the store and none has a newer version.
    Idle,
}

/// What a balancer knows about a flow.
#[derive(Clone, Copy, Debug)]
struct CachedFlow {
    /// Agent that takes the packets of the flow, if one is known.
    owner: Option<SocketAddr>,
    /// The owner announced itself; otherwise the opening packet was sent to it.
    is_announced: bool,
    /// Sequence number of the opening packet, if it passed through this balancer.
    opening_sequence: Option<u32>,
    /// Number of its latest transmission that was placed.
    opening_attempt: u32,
    last_packet: TimeMs,
    /// Sequence number of the latest packet with data.
    last_sequence: Option<u32>,
    /// Transmissions of that packet after the first one.
    retransmissions: u32,
}

impl CachedFlow {
    const fn new(now: TimeMs) -> Self {
        Self {
            owner: None,
            is_announced: false,
            opening_sequence: None,
            opening_attempt: 0,
            last_packet: now,
            last_sequence: None,
            retransmissions: 0,
        }
    }

    const fn record_packet(&mut self, now: TimeMs, segment: &Segment) {
        self.last_packet = now;
        if segment.payload_bytes == 0 && !segment.is_last {
            return;
        }
        if matches!(self.last_sequence, Some(last) if last == segment.sequence) {
            self.retransmissions += 1;
        } else {
            self.last_sequence = Some(segment.sequence);
            self.retransmissions = 0;
        }
    }
}

/// Query of all agents for the owner of a flow.
#[derive(Clone, Debug)]
struct OwnerQuery {
    started_at: TimeMs,
    unanswered: Vec<SocketAddr>,
    /// Number of times that the query was sent.
    transmissions: usize,
    /// Agents that do not own the flow.
    answered: usize,
    /// Sequence number that the caller acknowledges next; `None` if it does not wait for an answer.
    acknowledged: Option<u32>,
}

impl OwnerQuery {
    /// Returns the messages that query the agents without an answer. Each transmission chooses other delegates,
    /// doubtful agents only among themselves: the part of a delegate that has died is lost.
    fn next_parts(&mut self, is_doubtful: impl Fn(SocketAddr) -> bool) -> Vec<QueryPart> {
        let transmission = self.transmissions;
        self.transmissions += 1;
        let parts = self.unanswered.chunks(MAX_QUERY_PART).map(|agents| {
            let (doubtful, certain): (Vec<_>, Vec<_>) = agents
                .iter()
                .copied()
                .partition(|agent| is_doubtful(*agent));
            let mut others = [certain.clone(), doubtful].concat();
            let candidates = if certain.is_empty() {
                others.len()
            } else {
                certain.len()
            };
            let delegate = others.swap_remove(transmission % candidates);
            QueryPart { delegate, others }
        });
        parts.collect()
    }
}

/// Result of a query that no agent answered as the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryResult {
    /// No agent owns the flow; its caller gets a reset.
    Ended {
        /// Sequence number that the caller acknowledges next.
        acknowledged: u32,
    },
    /// An agent that is not known or not reachable may own the flow, or its caller needs no reset.
    Unknown,
}

/// State machine of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerMachine {
    gossip: GossipMachine,
    local_domain: DomainTag,
    routes: RouteTable,
    /// Service addresses of earlier configurations that the current one no longer contains, sorted.
    removed_routes: Vec<SocketAddr>,
    routes_confirmed_at: Option<TimeMs>,
    /// Balancers that did not serve the version that they announced, and when they were last asked.
    failed_fetches: Vec<(SocketAddr, TimeMs)>,
    /// Number of failed fetches since the platform store was last called.
    fetches_since_store: usize,
    /// The directory was read at least once since the process started.
    is_directory_read: bool,
    /// Until then, the first listing of the directory may lack agents.
    directory_incomplete_until: TimeMs,
    cached_flows: HashMap<FlowKey, CachedFlow>,
    queries: HashMap<FlowKey, OwnerQuery>,
    last_expiry: TimeMs,
    cold_start_tolerance: Option<ColdStartTolerance>,
}

impl BalancerMachine {
    pub fn new(local_peer: Peer, seed: u64) -> Self {
        Self {
            local_domain: DomainTag::of(&local_peer.failure_domain),
            gossip: GossipMachine::new(local_peer, seed),
            routes: RouteTable::default(),
            removed_routes: Vec::new(),
            routes_confirmed_at: None,
            failed_fetches: Vec::new(),
            fetches_since_store: 0,
            is_directory_read: false,
            directory_incomplete_until: TimeMs::default(),
            cached_flows: HashMap::new(),
            queries: HashMap::new(),
            last_expiry: TimeMs::default(),
            cold_start_tolerance: None,
        }
    }

    /// Limits the new flows of cold upstreams where the configuration asks for it. Without a tolerance they are
    /// not limited.
    #[must_use]
    pub const fn with_cold_start_tolerance(
        mut self,
        tolerance: Option<ColdStartTolerance>,
    ) -> Self {
        self.cold_start_tolerance = tolerance;
        self
    }

    pub const fn gossip(&self) -> &GossipMachine {
        &self.gossip
    }

    pub const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns whether the balancer has routes, the directory and a reachable agent, and is not cut
    /// off, so that callers are served better here than by another balancer.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        let has_routes = self.routes.configuration().is_some();
        let has_agents = self.gossip.view().reachable_agents(now) > 0;
        has_routes && self.is_directory_read && has_agents && !self.gossip.is_isolated()
    }

    pub fn handle_gossip(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<GossipAction>) {
        self.is_directory_read |= matches!(event, GossipEvent::Directory(_));
        self.gossip.handle(now, event, out);
    }

    /// Records that the directory was read. It is incomplete if the platform store came back from a
    /// copy since some entries were written; a later listing changes nothing, because gossip names all
    /// agents by then.
    pub fn record_directory(&mut self, now: TimeMs, is_complete: bool) {
        if !self.is_directory_read && !is_complete {
            self.directory_incomplete_until = now + REGISTRATION_WINDOW_MS;
        }
        self.is_directory_read = true;
    }

    /// Applies routes if they are newer than those in force; returns whether they are.
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
        self.removed_routes.extend(old);
        self.removed_routes.sort();
        self.removed_routes.dedup();
        self.removed_routes
            .retain(|address| routes.find(*address).is_none());
        true
    }

    /// Applies routes that the balancer `peer` served; returns whether they are newer than those in
    /// force. If they are not, although it announced newer ones, it counts as one that did not serve
    /// them: after a restart, it may have an older version.
    pub fn apply_fetched(
        &mut self,
        now: TimeMs,
        peer: SocketAddr,
        configuration: Configuration,
    ) -> bool {
        let is_newer = self.apply(configuration);
        let mut newer = self.newer_balancers(now);
        let has_announced_newer = newer.any(|(_, address)| address == peer);
        drop(newer);
        if !is_newer && has_announced_newer {
            self.record_failed_fetch(now, peer);
        }
        is_newer
    }

    /// Records that the balancer `peer` did not serve its configuration.
    pub fn record_failed_fetch(&mut self, now: TimeMs, peer: SocketAddr) {
        let view = self.gossip.view();
        self.failed_fetches
            .retain(|(address, _)| *address != peer && view.find(*address).is_some());
        self.failed_fetches.push((peer, now));
        self.fetches_since_store += 1;
    }

    /// Records that the platform store confirmed the routes in force.
    pub const fn confirm(&mut self, now: TimeMs) {
        self.routes_confirmed_at = Some(now);
        self.fetches_since_store = 0;
    }

    /// Records that the platform store did not answer.
    pub const fn record_store_failure(&mut self) {
        self.fetches_since_store = 0;
    }

    /// Returns the role to publish by gossip.
    pub fn role(&self, is_watching: bool) -> PeerRole {
        PeerRole::Balancer(BalancerStatus {
            version: self.routes.version(),
            is_watching,
        })
    }

    /// Returns whether fewer than `WATCHERS` balancers of lower rank watch the platform store.
    pub fn should_watch(&self, now: TimeMs) -> bool {
        let local_address = self.gossip.local_peer().address;
        let is_before = |peer: &&Peer| watch_rank(peer.address) < watch_rank(local_address);
        let watchers = self.watchers(now).filter(is_before);
        watchers.count() < WATCHERS
    }

    /// Returns whether another balancer has a newer version of the routes.
    pub fn is_behind(&self, now: TimeMs) -> bool {
        self.newer_balancers(now).next().is_some()
    }

    /// Returns how to keep the configuration up to date.
    ///
    /// A watching balancer gets changes from the platform store; `latest_balancer` shows one that its
    /// watch missed. One that does not watch, because others do or because the store does not answer
    /// it, fetches newer routes from a balancer, and asks the store if two balancers in turn did not
    /// serve them or none is left.
    pub fn configuration_task(&self, now: TimeMs) -> ConfigurationTask {
        let local_peer = self.gossip.local_peer();
        let is_watching = local_peer
            .balancer()
            .is_some_and(|status| status.is_watching);
        let is_fetching = !is_watching && self.fetches_since_store < MAX_FAILED_FETCHES;
        if is_fetching && let Some(peer) = self.latest_balancer(now) {
            ConfigurationTask::FetchFrom(peer)
        } else if self.should_watch(now) || self.is_behind(now) {
            ConfigurationTask::Watch
        } else {
            ConfigurationTask::Idle
        }
    }

    /// Returns the balancer from which to fetch newer routes than the local ones, if any: of those that
    /// failed least recently, the one with the newest routes. Ties are broken by rank relative to the
    /// local balancer, which spreads the fetches of all balancers over those with the newest routes.
    pub fn latest_balancer(&self, now: TimeMs) -> Option<SocketAddr> {
        let local_rank = watch_rank(self.gossip.local_peer().address);
        let failed_at = |peer| {
            let mut failed = self.failed_fetches.iter();
            failed
                .find(|(address, _)| *address == peer)
                .map(|(_, at)| *at)
        };
        let newer = self.newer_balancers(now);
        let latest = newer
            .filter(|(_, address)| {
                failed_at(*address).is_none_or(|at| now.since(at) >= FETCH_RETRY_MS)
            })
            .max_by_key(|(version, address)| {
                let rank = (watch_rank(*address) ^ local_rank).reverse_bits();
                (Reverse(failed_at(*address)), *version, rank)
            });
        latest.map(|(_, address)| address)
    }

    /// Returns the versions and addresses of the balancers with newer routes.
    fn newer_balancers(
        &self,
        now: TimeMs,
    ) -> impl Iterator<Item = (ConfigurationVersion, SocketAddr)> {
        let local_version = self.routes.version();
        let balancers = self.gossip.view().reachable_balancers(now);
        let versions = balancers.filter_map(|peer| Some((peer.balancer()?.version, peer.address)));
        versions.filter(move |(version, _)| *version > local_version)
    }

    /// Returns the number of other balancers that this one relies on to watch the platform store.
    pub fn watcher_count(&self, now: TimeMs) -> usize {
        self.watchers(now).count()
    }

    /// Returns the other balancers that watch the platform store. Those without a direct path to this
    /// process are left out, and all while it is cut off: they could not tell it at once that the
    /// store does not answer them any more.
    fn watchers(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        let local_address = self.gossip.local_peer().address;
        let is_isolated = self.gossip.is_isolated();
        let view = self.gossip.view();
        view.reachable_balancers(now)
            .filter(move |peer| !is_isolated && peer.address != local_address)
            .filter(|peer| view.has_direct_path(peer.address))
            .filter(|peer| peer.balancer().is_some_and(|status| status.is_watching))
    }

    /// Returns whether the routes in force are known to be the latest ones, apart from changes of
    /// the last few seconds.
    fn is_current(&self, now: TimeMs) -> bool {
        let is_confirmed = self
            .routes_confirmed_at
            .is_some_and(|confirmed| now.since(confirmed) <= ROUTES_CURRENT_FOR_MS);
        // An answer of the store confirms nothing if it missed a change that another balancer has.
        !self.is_behind(now) && (is_confirmed || self.watchers(now).next().is_some())
    }

    /// Records that the agent `owner` announced that it owns a flow.
    pub fn record_owner(&mut self, now: TimeMs, flow: FlowKey, owner: SocketAddr) {
        self.expire(now);
        self.queries.remove(&flow);
        if let Some(cached) = self.cache_flow(now, flow) {
            cached.owner = Some(owner);
            cached.is_announced = true;
            cached.last_packet = now;
        }
    }

    /// Returns the entry of a flow in the cache. A full cache accepts no further flows.
    fn cache_flow(&mut self, now: TimeMs, flow: FlowKey) -> Option<&mut CachedFlow> {
        let is_full = self.cached_flows.len() >= MAX_CACHED_FLOWS;
        if is_full && !self.cached_flows.contains_key(&flow) {
            return None;
        }
        let cached = self.cached_flows.entry(flow);
        Some(cached.or_insert_with(|| CachedFlow::new(now)))
    }

    /// Returns the number of cached flows.
    pub fn cached_flows(&self) -> usize {
        self.cached_flows.len()
    }

    /// Selects the agent for a packet of a caller.
    pub fn place(&mut self, now: TimeMs, segment: &Segment) -> BalancerDecision {
        self.expire(now);
        let flow = &segment.flow;
        let Some(route) = self.routes.find(flow.service_address) else {
            return self.handle_unrouted(now, segment);
        };
        let view = self.gossip.view();
        let selected_service = route.service_of(flow);
        let has_capacity = |service: &&ServiceName| view.has_capacity(now, service);
        let service = if segment.is_opening() {
            route
                .services_of(flow)
                .find(has_capacity)
                .or(selected_service)
        } else {
            selected_service
        };
        let Some(service) = service else {
            return BalancerDecision::Drop(ResultCode::NoEndpoint);
        };
        let search = Search {
            balancer: self.gossip.local_peer().address,
            preferred_domain: self.local_domain,
            service: service.clone(),
            is_fallback_service: Some(service) != selected_service,
            visited: Vec::new(),
            is_parallel: false,
            terms: self.terms(service, segment),
            class: route.class,
        };
        match segment.kind {
            SegmentKind::Opening { attempt } => {
                match self.select_for_opening(now, segment, &search, attempt) {
                    Some(to) => BalancerDecision::Forward { to, search },
                    None => self.handle_no_agent_left(now, &search, segment),
                }
            }
            SegmentKind::Reset | SegmentKind::Established => {
                self.place_established(now, segment, search)
            }
            SegmentKind::Accepting => BalancerDecision::Drop(ResultCode::PacketMalformed),
        }
    }

    /// Returns the terms of a new flow to `service`; other packets have none.
    fn terms(&self, service: &ServiceName, segment: &Segment) -> OpeningTerms {
        if !segment.is_opening() {
            return OpeningTerms::default();
        }
        let configuration = self.routes.configuration();
        let rate_per_s = configuration.and_then(|it| it.cold_rate_per_s(service));
        let limit = |rate_per_s| self.cold_start_tolerance?.limit(rate_per_s);
        OpeningTerms {
            least_loaded: None,
            cold_limit: rate_per_s.and_then(limit),
        }
    }

    /// Selects the agent for an opening packet, and caches it: later packets go to the same agent even
    /// if the order of the agents changes. A new flow with the addresses of an old one is placed like any
    /// other, whoever owned the old one.
    fn select_for_opening(
        &mut self,
        now: TimeMs,
        segment: &Segment,
        search: &Search,
        attempt: u32,
    ) -> Option<SocketAddr> {
        if attempt == 0
            && let Some(cached) = self.cached_owner(now, segment)
            && cached.opening_sequence == Some(segment.sequence)
        {
            return cached.owner;
        }
        let Some(to) = self.select_agent(now, segment, search, attempt) else {
            return self.evacuated_owner(now, segment);
        };
        if let Some(cached) = self.cache_flow(now, segment.flow) {
            *cached = CachedFlow {
                owner: Some(to),
                opening_sequence: Some(segment.sequence),
                opening_attempt: attempt,
                ..CachedFlow::new(now)
            };
        }
        Some(to)
    }

    /// Returns the agent that got an earlier transmission of an opening packet, if its failure domain was
    /// evacuated since: its upstream may have opened the flow, which must not be reset.
    fn evacuated_owner(&mut self, now: TimeMs, segment: &Segment) -> Option<SocketAddr> {
        let cached = self.cached_owner(now, segment)?;
        let is_copy = cached.opening_sequence == Some(segment.sequence);
        let view = self.gossip.view();
        cached
            .owner
            .filter(|owner| is_copy && view.is_evacuated_agent(*owner))
    }

    /// Places a packet of an established flow: at the owner if it announced itself. Otherwise a search
    /// begins at the likely owner, for a first retransmission at a registrar, and for later ones at all
    /// agents at once, since an agent that has just died ends a search that reaches it.
    fn place_established(
        &mut self,
        now: TimeMs,
        segment: &Segment,
        search: Search,
    ) -> BalancerDecision {
        let flow = &segment.flow;
        let mut retransmissions = 0;
        if let Some(cached) = self.cache_flow(now, *flow) {
            cached.record_packet(now, segment);
            retransmissions = cached.retransmissions;
        }
        let cached = self.cached_owner(now, segment);
        let owner = cached.and_then(|cached| cached.owner);
        // Nobody else has the flow of an agent that was stopped as planned.
        let is_stopped = owner.is_some_and(|owner| self.gossip.view().is_stopped(owner));
        let is_certain = is_stopped || cached.is_some_and(|cached| cached.is_announced);
        let likely_owner = owner.or_else(|| self.next_agent(now, segment, &search));
        let start = match retransmissions {
            _ if is_certain => owner,
            0 => likely_owner,
            1 => {
                // The search that began at the likely owner reached the first registrar next.
                let [_, second] = self.gossip.view().registrars(now, flow);
                second.or(likely_owner)
            }
            _ => None,
        };
        match start {
            Some(to) => BalancerDecision::Forward { to, search },
            None => self.query_agents(now, search, segment),
        }
    }

    /// Continues the search for a packet that an agent returned because it knew no further agent: queries
    /// all agents at once for the owner of an established flow.
    pub fn handle_exhausted_search(
        &mut self,
        now: TimeMs,
        search: Search,
        segment: &Segment,
    ) -> BalancerDecision {
        self.forget_owner(&segment.flow);
        if !segment.is_opening() {
            return self.query_agents(now, search, segment);
        }
        match self.next_agent(now, segment, &search) {
            Some(to) => BalancerDecision::Forward { to, search },
            None => self.handle_no_agent_left(now, &search, segment),
        }
    }

    /// Handles an opening packet that no upstream it visited can serve in time: another service of the route
    /// takes it if it has capacity, otherwise it is refused.
    pub fn handle_overloaded(
        &mut self,
        now: TimeMs,
        mut search: Search,
        segment: &Segment,
    ) -> BalancerDecision {
        let Some(route) = self.routes.find(segment.flow.service_address) else {
            return self.handle_unrouted(now, segment);
        };
        if self.is_superseded(segment) {
            return BalancerDecision::Drop(ResultCode::Overloaded);
        }
        let view = self.gossip.view();
        // A route may name a service more than once.
        let mut services: Vec<&ServiceName> = Vec::new();
        for service in route.services_of(&segment.flow) {
            if !services.contains(&service) {
                services.push(service);
            }
        }
        let mut untried = services
            .into_iter()
            .skip_while(|service| **service != search.service)
            .skip(1);
        if let Some(service) = untried.find(|service| view.has_capacity(now, service)) {
            search.service = service.clone();
            search.is_fallback_service = true;
            search.visited.clear();
            search.terms = self.terms(service, segment);
            if let Some(to) = self.next_agent(now, segment, &search) {
                return BalancerDecision::Forward { to, search };
            }
        }
        BalancerDecision::Reset(ResultCode::Overloaded)
    }

    /// Returns whether the flow of an opening packet may be open although this transmission of it is refused:
    /// a later one was placed, an agent announced that it owns the flow, or the caller opens another flow.
    fn is_superseded(&self, segment: &Segment) -> bool {
        let SegmentKind::Opening { attempt } = segment.kind else {
            return true;
        };
        let cached = self.cached_flows.get(&segment.flow);
        cached.is_some_and(|cached| {
            cached.is_announced
                || cached.opening_attempt > attempt
                || cached
                    .opening_sequence
                    .is_some_and(|it| it != segment.sequence)
        })
    }

    /// Queries the agents that a packet has not visited. A retransmission repeats the query at those that
    /// have not answered.
    fn query_agents(
        &mut self,
        now: TimeMs,
        mut search: Search,
        segment: &Segment,
    ) -> BalancerDecision {
        let agents = self.gossip.view().reachable_agent_addresses(now);
        let flow = segment.flow;
        let is_running = |query: &OwnerQuery| now.since(query.started_at) <= QUERY_TTL_MS;
        if !self.queries.get(&flow).is_some_and(is_running) {
            if self.queries.len() >= MAX_QUERIES {
                return BalancerDecision::Drop(ResultCode::NoEndpoint);
            }
            let unvisited = agents
                .iter()
                .filter(|agent| !search.visited.contains(agent));
            let query = OwnerQuery {
                started_at: now,
                unanswered: unvisited.copied().collect(),
                transmissions: 0,
                answered: search.visited.len(),
                acknowledged: None,
            };
            self.queries.insert(flow, query);
        }
        let Some(query) = self.queries.get_mut(&flow) else {
            return BalancerDecision::Drop(ResultCode::NoEndpoint);
        };
        if segment.kind == SegmentKind::Established {
            query.acknowledged = Some(segment.acknowledged);
        }
        query
            .unanswered
            .retain(|agent| agents.binary_search(agent).is_ok());
        if query.unanswered.is_empty() {
            return match self.end_query(now, flow) {
                QueryResult::Ended { .. } => BalancerDecision::Reset(ResultCode::NoEndpoint),
                QueryResult::Unknown => BalancerDecision::Drop(ResultCode::NoEndpoint),
            };
        }
        search.is_parallel = true;
        let view = self.gossip.view();
        let parts = query.next_parts(|agent| view.is_doubtful(now, agent));
        BalancerDecision::Query { parts, search }
    }

    /// Handles the answer of an agent that does not own `flow`. Returns the result once all agents answered.
    pub fn handle_not_owned(
        &mut self,
        now: TimeMs,
        agent: SocketAddr,
        flow: FlowKey,
    ) -> Option<QueryResult> {
        let query = self.queries.get_mut(&flow)?;
        let index = query.unanswered.iter().position(|it| *it == agent)?;
        query.unanswered.swap_remove(index);
        query.answered += 1;
        let view = self.gossip.view();
        let may_own = |agent: &SocketAddr| !view.is_lost(now, *agent);
        if query.unanswered.iter().any(may_own) {
            return None;
        }
        Some(self.end_query(now, flow))
    }

    /// Ends a query that all reachable agents answered. The flow is to be reset only if every agent that
    /// may own it answered or is unreachable, and none was stopped as planned; the directory names them all, since agents accept no new
    /// flows before they are registered, unless the platform store has lost entries. If at most half of
    /// the agents answered, the fault may be in the balancer's network.
    fn end_query(&mut self, now: TimeMs, flow: FlowKey) -> QueryResult {
        let Some(query) = self.queries.remove(&flow) else {
            return QueryResult::Unknown;
        };
        let may_reset = self.is_directory_read
            && now >= self.directory_incomplete_until
            && !self.gossip.view().has_stopped_agents()
            && query.answered * 2 > self.gossip.view().agents().count();
        match query.acknowledged {
            Some(acknowledged) if may_reset => QueryResult::Ended { acknowledged },
            _ => QueryResult::Unknown,
        }
    }

    /// Handles a packet that an agent returned because the registered owner of its flow is lost. The flow is
    /// reset if this balancer cannot reach the owner either, but reaches most agents: otherwise the fault
    /// may be in its own network.
    pub fn handle_owner_lost(
        &mut self,
        now: TimeMs,
        mut search: Search,
        owner: SocketAddr,
        segment: &Segment,
    ) -> BalancerDecision {
        self.forget_owner(&segment.flow);
        let view = self.gossip.view();
        if !view.is_lost(now, owner) {
            search.visited.push(owner);
            return BalancerDecision::Forward { to: owner, search };
        }
        let reaches_most_agents = view.reachable_agents(now) * 2 > view.agents().count();
        if segment.kind == SegmentKind::Established && reaches_most_agents {
            BalancerDecision::Reset(ResultCode::NoEndpoint)
        } else {
            BalancerDecision::Drop(ResultCode::NoEndpoint)
        }
    }

    /// Selects an agent. Each retransmission of an opening packet goes to the next agent, so that an
    /// unresponsive agent costs the caller one retransmission interval.
    fn select_agent(
        &self,
        now: TimeMs,
        segment: &Segment,
        search: &Search,
        attempt: u32,
    ) -> Option<SocketAddr> {
        let mut skipped = search.clone();
        let mut chosen = self.next_agent(now, segment, &skipped)?;
        for _ in 0..attempt {
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
        view.next_agent(now, AgentQuery::for_packet(search, segment))
    }

    /// Returns the cached flow of a packet if its owner is known, and reachable or stopped as planned.
    fn cached_owner(&mut self, now: TimeMs, segment: &Segment) -> Option<CachedFlow> {
        let cached = self.cached_flows.get_mut(&segment.flow)?;
        cached.last_packet = now;
        let cached = *cached;
        let owner = cached.owner?;
        let view = self.gossip.view();
        if view.find(owner).is_none() || view.is_lost(now, owner) {
            self.forget_owner(&segment.flow);
            return None;
        }
        Some(cached)
    }

    fn forget_owner(&mut self, flow: &FlowKey) {
        if let Some(cached) = self.cached_flows.get_mut(flow) {
            cached.owner = None;
            cached.is_announced = false;
        }
    }

    /// Handles a packet to a service address without a route. Resets the flow if the route was
    /// removed, and a new flow also if the routes are current. Otherwise drops the packet, because
    /// a new route may not have arrived yet, or could not be read.
    fn handle_unrouted(&self, now: TimeMs, segment: &Segment) -> BalancerDecision {
        let address = segment.flow.service_address;
        let was_removed = self.removed_routes.binary_search(&address).is_ok();
        if segment.kind == SegmentKind::Reset || self.routes.has_unreadable_routes() {
            return BalancerDecision::Drop(ResultCode::NotFound);
        }
        if was_removed || (segment.is_opening() && self.is_current(now)) {
            return BalancerDecision::Reset(ResultCode::NotFound);
        }
        BalancerDecision::Drop(ResultCode::NotFound)
    }

    /// Handles a packet for which no agent is left to try. A new flow is refused, unless an agent that the
    /// packet has not visited may recover before the caller retransmits.
    fn handle_no_agent_left(
        &self,
        now: TimeMs,
        search: &Search,
        segment: &Segment,
    ) -> BalancerDecision {
        let view = self.gossip.view();
        let may_recover = view.may_recover(now, &search.service, &search.visited);
        if self.is_directory_read && segment.is_opening() && !may_recover {
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
        self.queries
            .retain(|_, query| now.since(query.started_at) <= QUERY_TTL_MS);
        let idle_ms = self
            .routes
            .configuration()
            .map_or(DEFAULT_IDLE_MS, |it| it.flow_idle_ms);
        self.cached_flows
            .retain(|_, flow| now.since(flow.last_packet) <= idle_ms);
    }
}

/// Returns the rank of a balancer for watching the store; a hash spreads low ranks over failure
/// domains.
fn watch_rank(address: SocketAddr) -> u64 {
    NodeId::of_address(address).get()
}
