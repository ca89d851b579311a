//! Monitoring of agents by their home balancers: heartbeats, and removal of unreachable agents.

use hawthorntide_types::{DurationMs, EndpointId, FailureDomain, NodeId, Phase, TimeMs};
use hawthorntide_wire::control::{self, control_message::Body};
use prost::Message;

use crate::fetch::object_to_wire;
use crate::gossip::{GossipAction, GossipMachine, Sender, send};
use crate::member::{
    Endpoint, Health, Record, balancer_to_wire, endpoint_from_wire, endpoint_to_wire, node_tag,
};
use crate::pack::{HealthUpdate, MAX_CONTENT_BYTES, REPLY_INLINE_BYTES};
use crate::rendezvous::{choose, rank};

/// An agent counts as unreachable, and its other home balancer is queried, after it sends no
/// heartbeat for this long.
pub(crate) const HEARTBEAT_TIMEOUT_MS: DurationMs = DurationMs(2_000);
/// An agent is removed after it sends no heartbeat for this long, unless its other home balancer
/// still receives heartbeats.
const REMOVAL_TIMEOUT_MS: DurationMs = DurationMs(4_000);
/// Minimum interval between acknowledgements without content. With one heartbeat a second, every
/// other heartbeat is acknowledged. Acknowledging each one took half of a balancer's control
/// traffic.
const MIN_ACK_INTERVAL_MS: DurationMs = DurationMs(1_500);
/// Interval of queries about an unreachable agent.
const QUERY_INTERVAL_MS: DurationMs = DurationMs(500);
/// Interval of the scan for endpoints without a live home balancer.
const UNMONITORED_SCAN_INTERVAL_MS: DurationMs = DurationMs(2_000);
/// Time that an agent has to choose new home balancers before another balancer monitors it.
const TAKEOVER_DELAY_MS: DurationMs = DurationMs(6_000);
const MAX_MONITORED_AGENTS: usize = 16_384;
/// Balancers in a heartbeat acknowledgement.
const MAX_ACK_BALANCERS: usize = 6;
/// Siblings, other endpoints of the same service, in a heartbeat acknowledgement.
const MAX_ACK_SIBLINGS: usize = 6;

/// Agent that this balancer removes when its heartbeats stop.
#[derive(Clone, Debug)]
struct MonitoredAgent {
    endpoint: u64,
    node: NodeId,
    last_heartbeat_at: TimeMs,
    last_ack_at: TimeMs,
    last_query_at: TimeMs,
    /// When the other home balancer received the last heartbeat.
    other_home_heartbeat_at: TimeMs,
    /// Whether the agent chose this balancer as home. Otherwise this balancer took it over.
    is_home: bool,
    /// Peers of the last acknowledgement; valid while the generations of the tables are the same.
    sent_peers: Option<SentPeers>,
}

/// Hash over the peers of an agent, with the generations of the tables from which it was computed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct SentPeers {
    balancer_generation: u64,
    endpoint_generation: u64,
    hash: u32,
}

/// Endpoint that has no live home balancer.
#[derive(Clone, Copy, Debug)]
struct UnmonitoredEndpoint {
    endpoint: u64,
    since: TimeMs,
}

/// Agents that this balancer monitors.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentMonitor {
    /// Sorted by endpoint.
    agents: Vec<MonitoredAgent>,
    /// Sorted by endpoint.
    unmonitored: Vec<UnmonitoredEndpoint>,
    next_scan_at: TimeMs,
}

impl AgentMonitor {
    pub(crate) fn endpoint_of(&self, node: NodeId) -> Option<u64> {
        let agent = self.agents.iter().find(|agent| agent.node == node)?;
        Some(agent.endpoint)
    }

    fn position(&self, endpoint: u64) -> Result<usize, usize> {
        self.agents
            .binary_search_by_key(&endpoint, |agent| agent.endpoint)
    }
}

impl GossipMachine {
    /// Returns the number of agents that chose this balancer as home.
    pub fn home_agent_count(&self) -> usize {
        self.agent_monitor
            .agents
            .iter()
            .filter(|agent| agent.is_home)
            .count()
    }

    pub(crate) fn handle_heartbeat(
        &mut self,
        from: Sender,
        heartbeat: &control::Heartbeat,
        out: &mut Vec<GossipAction>,
    ) {
        let endpoint = match &heartbeat.endpoint {
            Some(record) => match self.validate_announcement(from, record) {
                // The record in the first heartbeat names no home balancers yet. Only the next
                // record, which names them, is spread by gossip.
                Some(endpoint) if endpoint.homes.is_empty() => {
                    let ack = self.answer_first_contact(from, &endpoint);
                    send(out, from.address, Body::HeartbeatAck(ack));
                    return;
                }
                Some(endpoint) => {
                    let id = endpoint.id;
                    self.apply_endpoint(endpoint, DurationMs(0), out);
                    Some(id.get())
                }
                None => return,
            },
            None => self.agent_monitor.endpoint_of(from.node),
        };
        let ack = match endpoint.and_then(|key| self.endpoints.get(key)).cloned() {
            Some(held) => self.acknowledge(from, &held, heartbeat, out),
            None => control::HeartbeatAck {
                wants_record: true,
                ..control::HeartbeatAck::default()
            },
        };
        let has_no_content = ack
            == control::HeartbeatAck {
                revision: heartbeat.revision,
                ..control::HeartbeatAck::default()
            };
        let is_ack_requested = heartbeat.endpoint.is_some() || heartbeat.wants_ack;
        if let Some(Ok(index)) = endpoint.map(|key| self.agent_monitor.position(key)) {
            let agent = &mut self.agent_monitor.agents[index];
            if has_no_content
                && !is_ack_requested
                && self.now.since(agent.last_ack_at) < MIN_ACK_INTERVAL_MS
            {
                return;
            }
            agent.last_ack_at = self.now;
        }
        send(out, from.address, Body::HeartbeatAck(ack));
    }

    /// Answers the first heartbeat of an agent with the candidates for its home balancers.
    fn answer_first_contact(&self, from: Sender, endpoint: &Endpoint) -> control::HeartbeatAck {
        let mut ack = control::HeartbeatAck {
            revision: endpoint.stamp.revision,
            ..control::HeartbeatAck::default()
        };
        let held = self.endpoints.get(endpoint.id.get());
        if let Some(held) = held.filter(|held| held.stamp.incarnation > from.incarnation) {
            ack.newer_incarnation = held.stamp.incarnation.get();
            return ack;
        }
        self.add_peers(endpoint, 0, &mut ack);
        ack
    }

    /// Validates the record that an agent announces about itself.
    fn validate_announcement(
        &mut self,
        from: Sender,
        record: &control::EndpointRecord,
    ) -> Option<Endpoint> {
        let endpoint = endpoint_from_wire(record).filter(|endpoint| {
            NodeId::of_address(endpoint.control_address) == from.node
                && endpoint.stamp.health == Health::Alive
        });
        if endpoint.is_none() {
            self.counters.malformed += 1;
        }
        endpoint
    }

    fn acknowledge(
        &mut self,
        from: Sender,
        held: &Endpoint,
        heartbeat: &control::Heartbeat,
        out: &mut Vec<GossipAction>,
    ) -> control::HeartbeatAck {
        let stamp = held.stamp;
        let mut ack = control::HeartbeatAck {
            revision: stamp.revision,
            ..control::HeartbeatAck::default()
        };
        if stamp.incarnation > from.incarnation {
            ack.newer_incarnation = stamp.incarnation.get();
            return ack;
        }
        let is_current =
            stamp.incarnation == from.incarnation && heartbeat.revision == stamp.revision;
        if is_current && stamp.health != Health::Alive && held.phase != Phase::Gone {
            ack.wants_refutation = true;
        }
        if heartbeat.endpoint.is_none() && !is_current {
            ack.wants_record = true;
        }
        if stamp.incarnation == from.incarnation
            && let Ok(index) = self.agent_monitor.position(held.id.get())
        {
            self.agent_monitor.agents[index].last_heartbeat_at = self.now;
        }
        self.add_changed_peers(held, heartbeat.peers_hash, &mut ack);
        self.send_objects(from, held, heartbeat.configuration_hash, out);
        ack
    }

    /// Adds siblings and balancers, unless the agent has them and no table changed since. Ranking
    /// all balancers for every heartbeat would take most of the processor time of a balancer.
    fn add_changed_peers(
        &mut self,
        held: &Endpoint,
        known_hash: u32,
        ack: &mut control::HeartbeatAck,
    ) {
        let (balancer_generation, endpoint_generation) =
            (self.balancers.generation, self.endpoints.generation);
        let position = self.agent_monitor.position(held.id.get());
        let sent_peers = SentPeers {
            balancer_generation,
            endpoint_generation,
            hash: known_hash,
        };
        if position
            .is_ok_and(|index| self.agent_monitor.agents[index].sent_peers == Some(sent_peers))
        {
            return;
        }
        let hash = self.add_peers(held, known_hash, ack);
        if let Ok(index) = position {
            self.agent_monitor.agents[index].sent_peers = Some(SentPeers { hash, ..sent_peers });
        }
    }

    /// Adds siblings and balancers, unless the agent already has the same ones; returns their hash.
    fn add_peers(&self, held: &Endpoint, known_hash: u32, ack: &mut control::HeartbeatAck) -> u32 {
        let candidates = self
            .balancers
            .records()
            .filter(|balancer| balancer.is_home_candidate());
        let balancers = choose(held.id, candidates, MAX_ACK_BALANCERS);
        let mut siblings: Vec<&Endpoint> = self
            .services
            .of(held.service)
            .filter_map(|id| self.endpoints.get(id.get()))
            .filter(|other| other.id != held.id && !other.is_tombstone())
            .collect();
        siblings.sort_by_key(|other| rank(held.id, NodeId(other.id.get())));
        siblings.truncate(MAX_ACK_SIBLINGS);
        let mut hash = 1;
        let mut used_bytes = 0;
        for balancer in balancers {
            let record = balancer_to_wire(balancer, 0);
            used_bytes += record.encoded_len() + 3;
            if used_bytes > MAX_CONTENT_BYTES {
                break;
            }
            hash ^= balancer.content_hash();
            ack.balancers.push(record);
        }
        for sibling in siblings {
            let record = endpoint_to_wire(sibling, 0);
            used_bytes += record.encoded_len() + 3;
            if used_bytes > MAX_CONTENT_BYTES {
                break;
            }
            hash ^= sibling.content_hash();
            ack.siblings.push(record);
        }
        ack.peers_hash = hash as u32;
        if ack.peers_hash == known_hash {
            ack.peers_hash = 0;
            ack.balancers.clear();
            ack.siblings.clear();
        }
        hash as u32
    }

    /// Sends the configuration objects of the agent's service, unless it has the same versions.
    fn send_objects(
        &self,
        from: Sender,
        held: &Endpoint,
        known_hash: u32,
        out: &mut Vec<GossipAction>,
    ) {
        let objects = self.replica.of_service(held.service);
        if objects.is_empty() || crate::announce::configuration_hash(&objects) == known_hash {
            return;
        }
        for object in objects {
            let ack = control::HeartbeatAck {
                revision: held.stamp.revision,
                objects: vec![object_to_wire(&object, REPLY_INLINE_BYTES)],
                ..control::HeartbeatAck::default()
            };
            send(out, from.address, Body::HeartbeatAck(ack));
        }
    }

    /// Starts or stops monitoring an agent after a change of its record.
    pub(crate) fn update_monitoring(&mut self, record: &Endpoint, out: &mut Vec<GossipAction>) {
        let key = record.id.get();
        let is_home = record.homes.contains(&node_tag(self.local.id));
        let is_gone = record.phase == Phase::Gone;
        match self.agent_monitor.position(key) {
            Ok(index) if is_gone || (!is_home && self.agent_monitor.agents[index].is_home) => {
                self.agent_monitor.agents.remove(index);
            }
            Ok(index) => {
                let agent = &mut self.agent_monitor.agents[index];
                agent.is_home = is_home;
                let since_heartbeat = self.now.since(agent.last_heartbeat_at);
                let is_wrongly_removed = record.stamp.health == Health::Removed
                    && since_heartbeat < HEARTBEAT_TIMEOUT_MS;
                if is_wrongly_removed {
                    // Removed by another balancer, but heartbeats arrive here: asks the agent to
                    // refute the removal by a new revision.
                    let ack = control::HeartbeatAck {
                        revision: record.stamp.revision,
                        wants_refutation: true,
                        ..control::HeartbeatAck::default()
                    };
                    send(out, record.control_address, Body::HeartbeatAck(ack));
                }
            }
            Err(index) if is_home && !record.is_tombstone() => {
                if self.agent_monitor.agents.len() < MAX_MONITORED_AGENTS {
                    let agent = self.new_monitored_agent(record, true);
                    self.agent_monitor.agents.insert(index, agent);
                }
            }
            Err(_) => {}
        }
    }

    fn new_monitored_agent(&self, record: &Endpoint, is_home: bool) -> MonitoredAgent {
        MonitoredAgent {
            endpoint: record.id.get(),
            node: NodeId::of_address(record.control_address),
            last_heartbeat_at: self.now,
            last_ack_at: TimeMs(0),
            last_query_at: self.now,
            other_home_heartbeat_at: TimeMs(0),
            is_home,
            sent_peers: None,
        }
    }

    pub(crate) fn tick_monitored_agents(&mut self, out: &mut Vec<GossipAction>) {
        let now = self.now;
        let to_check: Vec<MonitoredAgent> = self
            .agent_monitor
            .agents
            .iter()
            .filter(|agent| {
                now.since(agent.last_heartbeat_at) >= HEARTBEAT_TIMEOUT_MS || !agent.is_home
            })
            .cloned()
            .collect();
        for agent in to_check {
            self.check_agent(&agent, out);
        }
        if now >= self.agent_monitor.next_scan_at {
            self.agent_monitor.next_scan_at = now + UNMONITORED_SCAN_INTERVAL_MS;
            self.scan_unmonitored();
        }
    }

    fn check_agent(&mut self, agent: &MonitoredAgent, out: &mut Vec<GossipAction>) {
        let Some(record) = self.endpoints.get(agent.endpoint).cloned() else {
            return;
        };
        if record.is_tombstone() {
            return;
        }
        if self.now.since(agent.last_query_at) >= QUERY_INTERVAL_MS {
            self.query_reachability(agent, &record, out);
        }
        let is_unreachable = self.now.since(agent.last_heartbeat_at) >= REMOVAL_TIMEOUT_MS;
        let is_reachable_elsewhere =
            self.now.since(agent.other_home_heartbeat_at) < HEARTBEAT_TIMEOUT_MS;
        if !is_unreachable || is_reachable_elsewhere {
            return;
        }
        if self.must_defer_removal(&record.failure_domain, out) {
            return;
        }
        self.counters.removals += 1;
        let mut stamp = record.stamp;
        stamp.health = Health::Removed;
        let health_update = HealthUpdate {
            key: agent.endpoint,
            stamp,
            is_balancer: false,
        };
        self.apply_health_update(health_update, out);
    }

    /// Queries the other home balancer, or the agent itself if this balancer took it over.
    fn query_reachability(
        &mut self,
        agent: &MonitoredAgent,
        record: &Endpoint,
        out: &mut Vec<GossipAction>,
    ) {
        if let Ok(index) = self.agent_monitor.position(agent.endpoint) {
            self.agent_monitor.agents[index].last_query_at = self.now;
        }
        if !agent.is_home {
            let ack = control::HeartbeatAck {
                wants_record: true,
                ..control::HeartbeatAck::default()
            };
            send(out, record.control_address, Body::HeartbeatAck(ack));
            return;
        }
        let other = self
            .peers()
            .find(|peer| record.homes.contains(&node_tag(peer.id)))
            .map(|peer| peer.control_address);
        if let Some(other) = other {
            let query = control::EndpointQuery {
                endpoint_id: agent.endpoint,
            };
            send(out, other, Body::EndpointQuery(query));
        }
    }

    pub(crate) fn handle_endpoint_query(
        &mut self,
        from: Sender,
        query: control::EndpointQuery,
        out: &mut Vec<GossipAction>,
    ) {
        let Ok(index) = self.agent_monitor.position(query.endpoint_id) else {
            return;
        };
        let Some(record) = self.endpoints.get(query.endpoint_id) else {
            return;
        };
        let since_heartbeat_ms = self
            .now
            .since(self.agent_monitor.agents[index].last_heartbeat_at)
            .get();
        let answer = control::EndpointAnswer {
            endpoint_id: query.endpoint_id,
            incarnation: record.stamp.incarnation.get(),
            silent_ms: u32::try_from(since_heartbeat_ms).unwrap_or(u32::MAX),
        };
        send(out, from.address, Body::EndpointAnswer(answer));
    }

    pub(crate) fn handle_endpoint_answer(
        &mut self,
        _from: Sender,
        answer: &control::EndpointAnswer,
    ) {
        let Some(record) = self.endpoints.get(answer.endpoint_id) else {
            return;
        };
        if record.stamp.incarnation.get() != answer.incarnation {
            return;
        }
        let last_heartbeat_at = self.now - DurationMs(u64::from(answer.silent_ms));
        if let Ok(index) = self.agent_monitor.position(answer.endpoint_id) {
            let agent = &mut self.agent_monitor.agents[index];
            agent.other_home_heartbeat_at = agent.other_home_heartbeat_at.max(last_heartbeat_at);
        }
    }

    /// Finds endpoints without a live home balancer, and takes over those for which this balancer
    /// has the highest rank.
    fn scan_unmonitored(&mut self) {
        let mut live: Vec<u32> = self.peers().map(|peer| node_tag(peer.id)).collect();
        live.push(node_tag(self.local.id));
        live.sort_unstable();
        let is_unmonitored = |record: &Endpoint| {
            let is_live = |tag: &u32| live.binary_search(tag).is_ok();
            !record.is_tombstone() && !record.homes.iter().any(is_live)
        };
        let unmonitored_endpoints: Vec<u64> = self
            .endpoints
            .records()
            .filter(|record| is_unmonitored(record))
            .map(Record::key)
            .collect();
        let previous = std::mem::take(&mut self.agent_monitor.unmonitored);
        let since = |endpoint: u64| {
            let index = previous.binary_search_by_key(&endpoint, |entry| entry.endpoint);
            index.map_or(self.now, |index| previous[index].since)
        };
        let unmonitored: Vec<UnmonitoredEndpoint> = unmonitored_endpoints
            .into_iter()
            .map(|endpoint| UnmonitoredEndpoint {
                endpoint,
                since: since(endpoint),
            })
            .collect();
        for entry in &unmonitored {
            if self.now.since(entry.since) >= TAKEOVER_DELAY_MS {
                self.take_over(entry.endpoint);
            }
        }
        let must_keep = |agent: &MonitoredAgent| {
            let index = unmonitored.binary_search_by_key(&agent.endpoint, |entry| entry.endpoint);
            agent.is_home || index.is_ok()
        };
        self.agent_monitor.agents.retain(must_keep);
        self.agent_monitor.unmonitored = unmonitored;
    }

    fn take_over(&mut self, endpoint: u64) {
        let Err(index) = self.agent_monitor.position(endpoint) else {
            return;
        };
        let Some(record) = self.endpoints.get(endpoint) else {
            return;
        };
        let local_rank = rank(record.id, self.local.id);
        let ranks_first = self
            .peers()
            .filter(|peer| peer.stamp.health == Health::Alive)
            .all(|peer| rank(record.id, peer.id) < local_rank);
        if ranks_first && self.agent_monitor.agents.len() < MAX_MONITORED_AGENTS {
            let agent = self.new_monitored_agent(record, false);
            self.agent_monitor.agents.insert(index, agent);
        }
    }

    /// Returns the failure domain of each monitored agent and whether its heartbeats stopped.
    pub(crate) fn agent_reachability(&self) -> impl Iterator<Item = (&FailureDomain, bool)> {
        self.agent_monitor.agents.iter().filter_map(|agent| {
            let record = self.endpoints.get(agent.endpoint)?;
            if record.phase == Phase::Gone {
                return None;
            }
            let is_unreachable = self.now.since(agent.last_heartbeat_at) >= HEARTBEAT_TIMEOUT_MS;
            Some((&record.failure_domain, is_unreachable))
        })
    }

    /// Returns whether this balancer monitors the endpoint.
    pub fn is_monitoring(&self, endpoint: EndpointId) -> bool {
        self.agent_monitor.position(endpoint.get()).is_ok()
    }
}
