//! The balancers' side of heartbeats: which agents this balancer is a home of, and their removal.

use hawthorntide_types::{DurationMs, EndpointId, FailureDomain, NodeId, Phase, TimeMs};
use hawthorntide_wire::control::{self, control_message::Body};
use prost::Message;

use crate::fetch::object_to_wire;
use crate::gossip::{GossipAction, GossipMachine, Sender, send};
use crate::member::{
    Endpoint, Health, Record, balancer_to_wire, endpoint_from_wire, endpoint_to_wire, node_tag,
};
use crate::pack::{ANSWER_INLINE_BYTES, Judgement, MAX_CONTENT_BYTES};
use crate::rendezvous::{choose, rank};

/// Silence after which an agent is suspected and its other home balancer is asked.
pub(crate) const SUSPECT_MS: DurationMs = DurationMs(2_000);
/// Silence after which an agent is removed, unless its other home balancer hears it.
const REMOVE_MS: DurationMs = DurationMs(4_000);
/// Shortest time between acknowledgements that say nothing new. Every second heartbeat gets one,
/// because acknowledgements were half of the bytes of a balancer.
const ACK_MS: DurationMs = DurationMs(1_500);
/// Interval of questions to the other home balancer.
const QUERY_MS: DurationMs = DurationMs(500);
/// Interval at which endpoints are looked for whose home balancers are all gone.
const ORPHAN_SCAN_MS: DurationMs = DurationMs(2_000);
/// Time that an agent has to find new home balancers before another balancer takes it over.
const ORPHAN_MS: DurationMs = DurationMs(6_000);
/// Agents that one balancer is a home of at most.
const MAX_HOMES: usize = 16_384;
/// Balancers that an agent learns.
const TOLD_BALANCERS: usize = 6;
/// Siblings that an agent learns.
const TOLD_SIBLINGS: usize = 6;

/// Agent whose heartbeats this balancer judges.
#[derive(Clone, Debug)]
struct Home {
    endpoint: u64,
    node: NodeId,
    heard_at: TimeMs,
    acked_at: TimeMs,
    asked_at: TimeMs,
    /// When the other home balancer heard the agent last.
    other_heard_at: TimeMs,
    /// Whether the agent itself named this balancer.
    is_named: bool,
    /// What the agent has to know, while the tables stay the same.
    told: Option<Told>,
}

/// Hash over an agent's peers as of some state of the tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Told {
    balancers: u64,
    endpoints: u64,
    hash: u32,
}

/// Endpoint without a live home balancer.
#[derive(Clone, Copy, Debug)]
struct Orphan {
    endpoint: u64,
    since: TimeMs,
}

/// Agents that this balancer is responsible for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Homes {
    /// In ascending order of endpoints.
    homes: Vec<Home>,
    /// In ascending order of endpoints.
    orphans: Vec<Orphan>,
    scan_at: TimeMs,
}

impl Homes {
    pub(crate) fn endpoint_of(&self, node: NodeId) -> Option<u64> {
        let home = self.homes.iter().find(|home| home.node == node)?;
        Some(home.endpoint)
    }

    fn position(&self, endpoint: u64) -> Result<usize, usize> {
        self.homes
            .binary_search_by_key(&endpoint, |home| home.endpoint)
    }
}

impl GossipMachine {
    /// Returns the number of agents that name this balancer as a home.
    pub fn home_agent_count(&self) -> usize {
        self.homes.homes.iter().filter(|home| home.is_named).count()
    }

    pub(crate) fn take_heartbeat(
        &mut self,
        from: Sender,
        heartbeat: &control::Heartbeat,
        out: &mut Vec<GossipAction>,
    ) {
        let endpoint = match &heartbeat.endpoint {
            Some(record) => match self.announced(from, record) {
                // A first contact names no home balancers yet; the next record, which does, is the
                // one worth telling to every balancer.
                Some(endpoint) if endpoint.homes.is_empty() => {
                    let ack = self.introduce(from, &endpoint);
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
            None => self.homes.endpoint_of(from.node),
        };
        let ack = match endpoint.and_then(|key| self.endpoints.get(key)).cloned() {
            Some(held) => self.acknowledge(from, &held, heartbeat, out),
            None => control::HeartbeatAck {
                wants_record: true,
                ..control::HeartbeatAck::default()
            },
        };
        let says_nothing = ack
            == control::HeartbeatAck {
                revision: heartbeat.revision,
                ..control::HeartbeatAck::default()
            };
        let is_asked = heartbeat.endpoint.is_some() || heartbeat.wants_ack;
        if let Some(Ok(index)) = endpoint.map(|key| self.homes.position(key)) {
            let home = &mut self.homes.homes[index];
            if says_nothing && !is_asked && self.now.since(home.acked_at) < ACK_MS {
                return;
            }
            home.acked_at = self.now;
        }
        send(out, from.address, Body::HeartbeatAck(ack));
    }

    /// Answers the first contact of an agent with the balancers among which it finds its homes.
    fn introduce(&self, from: Sender, endpoint: &Endpoint) -> control::HeartbeatAck {
        let mut ack = control::HeartbeatAck {
            revision: endpoint.stamp.revision,
            ..control::HeartbeatAck::default()
        };
        let held = self.endpoints.get(endpoint.id.get());
        if let Some(held) = held.filter(|held| held.stamp.incarnation > from.incarnation) {
            ack.newer_incarnation = held.stamp.incarnation.get();
            return ack;
        }
        self.tell_peers(endpoint, 0, &mut ack);
        ack
    }

    /// Checks a record that an agent announces about itself.
    fn announced(&mut self, from: Sender, record: &control::EndpointRecord) -> Option<Endpoint> {
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
            && let Ok(index) = self.homes.position(held.id.get())
        {
            self.homes.homes[index].heard_at = self.now;
        }
        self.tell_new_peers(held, heartbeat.peers_hash, &mut ack);
        self.tell_objects(from, held, heartbeat.configuration_hash, out);
        ack
    }

    /// Adds siblings and balancers, unless the agent has them and no table changed since. Ranking
    /// all balancers for each heartbeat would be most of a balancer's processor time.
    fn tell_new_peers(
        &mut self,
        held: &Endpoint,
        known_hash: u32,
        ack: &mut control::HeartbeatAck,
    ) {
        let (balancers, endpoints) = (self.balancers.generation, self.endpoints.generation);
        let position = self.homes.position(held.id.get());
        let told = Told {
            balancers,
            endpoints,
            hash: known_hash,
        };
        if position.is_ok_and(|index| self.homes.homes[index].told == Some(told)) {
            return;
        }
        let hash = self.tell_peers(held, known_hash, ack);
        if let Ok(index) = position {
            self.homes.homes[index].told = Some(Told { hash, ..told });
        }
    }

    /// Adds siblings and balancers, unless the agent has exactly these; returns their hash.
    fn tell_peers(&self, held: &Endpoint, known_hash: u32, ack: &mut control::HeartbeatAck) -> u32 {
        let candidates = self
            .balancers
            .records()
            .filter(|balancer| balancer.is_home_candidate());
        let balancers = choose(held.id, candidates, TOLD_BALANCERS);
        let mut siblings: Vec<&Endpoint> = self
            .services
            .of(held.service)
            .filter_map(|id| self.endpoints.get(id.get()))
            .filter(|other| other.id != held.id && !other.is_tombstone())
            .collect();
        siblings.sort_by_key(|other| rank(held.id, NodeId(other.id.get())));
        siblings.truncate(TOLD_SIBLINGS);
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

    /// Sends the objects of the agent's service, unless it has these versions.
    fn tell_objects(
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
                objects: vec![object_to_wire(&object, ANSWER_INLINE_BYTES)],
                ..control::HeartbeatAck::default()
            };
            send(out, from.address, Body::HeartbeatAck(ack));
        }
    }

    /// Starts or ends the responsibility for an endpoint whose record changed.
    pub(crate) fn adjust_home(&mut self, record: &Endpoint, out: &mut Vec<GossipAction>) {
        let key = record.id.get();
        let is_named = record.homes.contains(&node_tag(self.local.id));
        let is_gone = record.phase == Phase::Gone;
        match self.homes.position(key) {
            Ok(index) if is_gone || (!is_named && self.homes.homes[index].is_named) => {
                self.homes.homes.remove(index);
            }
            Ok(index) => {
                let home = &mut self.homes.homes[index];
                home.is_named = is_named;
                let heard = self.now.since(home.heard_at);
                let is_denied = record.stamp.health == Health::Removed && heard < SUSPECT_MS;
                if is_denied {
                    // Heard here, removed elsewhere: the agent overrules that with a new revision.
                    let ack = control::HeartbeatAck {
                        revision: record.stamp.revision,
                        wants_refutation: true,
                        ..control::HeartbeatAck::default()
                    };
                    send(out, record.control_address, Body::HeartbeatAck(ack));
                }
            }
            Err(index) if is_named && !record.is_tombstone() => {
                if self.homes.homes.len() < MAX_HOMES {
                    let home = self.new_home(record, true);
                    self.homes.homes.insert(index, home);
                }
            }
            Err(_) => {}
        }
    }

    fn new_home(&self, record: &Endpoint, is_named: bool) -> Home {
        Home {
            endpoint: record.id.get(),
            node: NodeId::of_address(record.control_address),
            heard_at: self.now,
            acked_at: TimeMs(0),
            asked_at: self.now,
            other_heard_at: TimeMs(0),
            is_named,
            told: None,
        }
    }

    pub(crate) fn tick_homes(&mut self, out: &mut Vec<GossipAction>) {
        let now = self.now;
        let silent: Vec<Home> = self
            .homes
            .homes
            .iter()
            .filter(|home| now.since(home.heard_at) >= SUSPECT_MS || !home.is_named)
            .cloned()
            .collect();
        for home in silent {
            self.judge_agent(&home, out);
        }
        if now >= self.homes.scan_at {
            self.homes.scan_at = now + ORPHAN_SCAN_MS;
            self.scan_orphans();
        }
    }

    fn judge_agent(&mut self, home: &Home, out: &mut Vec<GossipAction>) {
        let Some(record) = self.endpoints.get(home.endpoint).cloned() else {
            return;
        };
        if record.is_tombstone() {
            return;
        }
        if self.now.since(home.asked_at) >= QUERY_MS {
            self.ask_about(home, &record, out);
        }
        let is_silent = self.now.since(home.heard_at) >= REMOVE_MS;
        let is_heard_elsewhere = self.now.since(home.other_heard_at) < SUSPECT_MS;
        if !is_silent || is_heard_elsewhere {
            return;
        }
        if self.holds_removal(&record.failure_domain, out) {
            return;
        }
        self.counters.removals += 1;
        let mut stamp = record.stamp;
        stamp.health = Health::Removed;
        let judgement = Judgement {
            key: home.endpoint,
            stamp,
            is_balancer: false,
        };
        self.apply_judgement(judgement, out);
    }

    /// Asks the other home balancer, or the agent itself when it names no live balancer.
    fn ask_about(&mut self, home: &Home, record: &Endpoint, out: &mut Vec<GossipAction>) {
        if let Ok(index) = self.homes.position(home.endpoint) {
            self.homes.homes[index].asked_at = self.now;
        }
        if !home.is_named {
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
                endpoint_id: home.endpoint,
            };
            send(out, other, Body::EndpointQuery(query));
        }
    }

    pub(crate) fn take_endpoint_query(
        &mut self,
        from: Sender,
        query: control::EndpointQuery,
        out: &mut Vec<GossipAction>,
    ) {
        let Ok(index) = self.homes.position(query.endpoint_id) else {
            return;
        };
        let Some(record) = self.endpoints.get(query.endpoint_id) else {
            return;
        };
        let silent = self.now.since(self.homes.homes[index].heard_at).get();
        let answer = control::EndpointAnswer {
            endpoint_id: query.endpoint_id,
            incarnation: record.stamp.incarnation.get(),
            silent_ms: u32::try_from(silent).unwrap_or(u32::MAX),
        };
        send(out, from.address, Body::EndpointAnswer(answer));
    }

    pub(crate) fn take_endpoint_answer(&mut self, _from: Sender, answer: &control::EndpointAnswer) {
        let Some(record) = self.endpoints.get(answer.endpoint_id) else {
            return;
        };
        if record.stamp.incarnation.get() != answer.incarnation {
            return;
        }
        let heard_at = self.now - DurationMs(u64::from(answer.silent_ms));
        if let Ok(index) = self.homes.position(answer.endpoint_id) {
            let home = &mut self.homes.homes[index];
            home.other_heard_at = home.other_heard_at.max(heard_at);
        }
    }

    /// Finds endpoints none of whose home balancers is live, and takes over those for which this
    /// balancer ranks first.
    fn scan_orphans(&mut self) {
        let mut live: Vec<u32> = self.peers().map(|peer| node_tag(peer.id)).collect();
        live.push(node_tag(self.local.id));
        live.sort_unstable();
        let is_orphan = |record: &Endpoint| {
            let is_live = |tag: &u32| live.binary_search(tag).is_ok();
            !record.is_tombstone() && !record.homes.iter().any(is_live)
        };
        let found: Vec<u64> = self
            .endpoints
            .records()
            .filter(|record| is_orphan(record))
            .map(Record::key)
            .collect();
        let known = std::mem::take(&mut self.homes.orphans);
        let since = |endpoint: u64| {
            let index = known.binary_search_by_key(&endpoint, |orphan| orphan.endpoint);
            index.map_or(self.now, |index| known[index].since)
        };
        let orphans: Vec<Orphan> = found
            .into_iter()
            .map(|endpoint| Orphan {
                endpoint,
                since: since(endpoint),
            })
            .collect();
        for orphan in &orphans {
            if self.now.since(orphan.since) >= ORPHAN_MS {
                self.adopt(orphan.endpoint);
            }
        }
        let is_still = |home: &Home| {
            let index = orphans.binary_search_by_key(&home.endpoint, |orphan| orphan.endpoint);
            home.is_named || index.is_ok()
        };
        self.homes.homes.retain(is_still);
        self.homes.orphans = orphans;
    }

    fn adopt(&mut self, endpoint: u64) {
        let Err(index) = self.homes.position(endpoint) else {
            return;
        };
        let Some(record) = self.endpoints.get(endpoint) else {
            return;
        };
        let local = rank(record.id, self.local.id);
        let is_first = self
            .peers()
            .filter(|peer| peer.stamp.health == Health::Alive)
            .all(|peer| rank(record.id, peer.id) < local);
        if is_first && self.homes.homes.len() < MAX_HOMES {
            let home = self.new_home(record, false);
            self.homes.homes.insert(index, home);
        }
    }

    /// Returns for each agent of this balancer its failure domain and whether it is silent.
    pub(crate) fn home_silences(&self) -> impl Iterator<Item = (&FailureDomain, bool)> {
        self.homes.homes.iter().filter_map(|home| {
            let record = self.endpoints.get(home.endpoint)?;
            if record.phase == Phase::Gone {
                return None;
            }
            let is_silent = self.now.since(home.heard_at) >= SUSPECT_MS;
            Some((&record.failure_domain, is_silent))
        })
    }

    /// Returns whether this balancer is a home of the endpoint.
    pub fn is_home_of(&self, endpoint: EndpointId) -> bool {
        self.homes.position(endpoint.get()).is_ok()
    }
}
