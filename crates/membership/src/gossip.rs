//! Gossip state machine of a balancer: spreads member records and configuration objects.

use std::net::SocketAddr;
use std::sync::Arc;

use hawthorntide_configuration::{ApplyOutcome, Object, Replica};
use hawthorntide_types::{
    DurationMs, EndpointId, FailureDomain, Incarnation, NodeId, Phase, Region, TimeMs, Version,
};
use hawthorntide_wire::control::{self, ControlMessage, control_message::Body};
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::anti_entropy::AntiEntropy;
use crate::clock::MachineClock;
use crate::confirm::PendingConfirmations;
use crate::fetch::{self, Fetches};
use crate::homes::AgentMonitor;
use crate::member::{
    BalancerMember, Endpoint, Health, Member, Record, Stamp, balancer_from_wire, endpoint_from_wire,
};
use crate::pack::{
    GOSSIP_INLINE_BYTES, HealthUpdate, MAX_CONTENT_BYTES, Packer, REPLY_INLINE_BYTES, RecordTables,
    decode_health_updates, pack_all,
};
use crate::probe::Probing;
use crate::removal_threshold::RemovalThreshold;
use crate::service_index::ServiceIndex;
use crate::updates::{Item, UpdateQueue, max_transmissions};
use crate::view::{MergeOutcome, Table};

/// Interval of gossip rounds; a round without updates sends nothing.
const GOSSIP_INTERVAL_MS: DurationMs = DurationMs(200);
/// Balancers to which each gossip round is sent.
const FANOUT: usize = 3;
/// Datagrams to one balancer per round. One holds all updates unless many are queued.
const MAX_DATAGRAMS_PER_PEER: usize = 4;
/// Interval of join requests to all seeds while no live peer is known.
const JOIN_RETRY_MS: DurationMs = DurationMs(1_000);
/// Interval of join requests to a random seed that belongs to no live balancer.
const SEED_RETRY_INTERVAL_MS: DurationMs = DurationMs(60_000);
/// Peers in the reply to a join request.
const JOIN_PEERS: usize = 10;
/// Balancers that are notified directly when this one leaves.
const LEAVE_FANOUT: usize = 8;
/// Interval at which expired tombstones are removed.
const EXPIRY_INTERVAL_MS: DurationMs = DurationMs(60_000);
/// Entries received by anti-entropy are not spread by gossip until this long after the start.
const STARTUP_MS: DurationMs = DurationMs(30_000);
/// Limit on balancer records; twenty times the design size.
const MAX_BALANCERS: usize = 16_384;
/// Limit on endpoint records; eleven times the design size.
const MAX_ENDPOINTS: usize = 65_536;
/// Limit on seeds.
const MAX_SEEDS: usize = 64;

/// Initial record of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerIdentity {
    pub incarnation: Incarnation,
    /// Address of the control socket.
    pub control_address: SocketAddr,
    /// Source address of forwarded packets.
    pub data_address: SocketAddr,
    pub admin_address: Option<SocketAddr>,
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
}

/// Authenticated sender of a control message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sender {
    pub node: NodeId,
    pub incarnation: Incarnation,
    /// Source address of the datagram.
    pub address: SocketAddr,
}

/// Change of the state of this process.
#[derive(Clone, Debug)]
pub enum LocalChange {
    /// The balancer accepts packets.
    Serve,
    /// The balancer is about to stop.
    Drain,
    /// The balancer stops now.
    Leave,
    /// The balancer acquired or lost a watcher slot; 0 for none.
    WatcherSlot(u32),
    /// The platform store or the administration API has a new version of an object.
    Object(Object),
}

/// Input event of a [`GossipMachine`].
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// Timer; expected every 100 ms.
    Tick,
    /// A control message arrived.
    Message {
        from: Sender,
        message: ControlMessage,
    },
    /// A message was dropped because its sender has already been seen with a newer incarnation.
    StaleSender(Sender),
    LocalChange(LocalChange),
    /// Control addresses at which balancers may run, from the settings or the directory.
    SeedPeers(Vec<SocketAddr>),
    /// Request of an operator to confirm that all balancers hold a version of an object.
    Confirm {
        kind: String,
        name: String,
        version: Version,
        /// Time after which the final report is due even if balancers are missing.
        wait_ms: DurationMs,
    },
}

/// Condition that is reported to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Alarm {
    /// Removals are suspended because most members are unreachable at the same time, or because
    /// this process receives no messages.
    RemovalsSuspended {
        /// Failure domain in which removals are suspended; `None` for all.
        failure_domain: Option<FailureDomain>,
        /// Members that are suspected, removed, or send no heartbeats.
        unreachable: usize,
        /// Members that were counted.
        known: usize,
    },
    /// Removals are no longer suspended.
    RemovalsResumed,
    /// The process was paused for this long.
    Paused(DurationMs),
    /// A record was refused: a limit on members is reached, or the record is a tombstone past its
    /// retention.
    TableFull,
}

/// Progress of a confirmation: the balancers that hold a version of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfirmReport {
    pub kind: String,
    pub name: String,
    /// Version to confirm.
    pub version: Version,
    /// Balancers that hold this or a newer version, with the version that they hold.
    pub confirmed: Vec<(NodeId, Version)>,
    /// Balancers that hold an older version or did not answer.
    pub pending: Vec<NodeId>,
    /// Whether this is the last report: all balancers confirmed, or the time has expired.
    pub is_final: bool,
}

/// Output action of a [`GossipMachine`].
#[derive(Clone, Debug)]
pub enum GossipAction {
    /// Send a control message.
    Send {
        to: SocketAddr,
        message: ControlMessage,
    },
    /// A member joined, changed, left or was removed.
    MemberChanged(Member),
    /// The tombstone of an endpoint expired.
    EndpointExpired(EndpointId),
    /// A newer version of an object was received.
    ConfigurationReceived(Arc<Object>),
    /// The local incarnation was raised; later messages must be sealed with it.
    IncarnationRaised(Incarnation),
    Confirmed(ConfirmReport),
    Alarm(Alarm),
}

/// Event counters of a [`GossipMachine`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GossipCounters {
    /// Malformed or unexpected messages and records.
    pub malformed: u64,
    /// Suspicions raised by this process.
    pub suspicions: u64,
    /// Removals by this process.
    pub removals: u64,
    /// Refutations of a suspicion or removal of this process.
    pub refutations: u64,
}

/// State machine of a balancer: gossip, failure detection and heartbeats of agents.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    pub(crate) local: BalancerMember,
    clock: MachineClock,
    pub(crate) now: TimeMs,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) balancers: Table<BalancerMember>,
    pub(crate) endpoints: Table<Endpoint>,
    pub(crate) services: ServiceIndex,
    pub(crate) replica: Replica,
    pub(crate) updates: UpdateQueue,
    pub(crate) fetches: Fetches,
    pub(crate) agent_monitor: AgentMonitor,
    pub(crate) probing: Probing,
    pub(crate) removal_threshold: RemovalThreshold,
    pub(crate) anti_entropy: AntiEntropy,
    pub(crate) confirmations: PendingConfirmations,
    pub(crate) counters: GossipCounters,
    seeds: Vec<SocketAddr>,
    next_gossip_at: TimeMs,
    next_join_at: TimeMs,
    next_seed_retry_at: TimeMs,
    next_expiry_at: TimeMs,
    is_started: bool,
    started_at: TimeMs,
}

impl GossipMachine {
    /// Creates the machine; `seed` makes its random choices reproducible.
    pub fn new(identity: BalancerIdentity, seed: u64) -> Self {
        let local = BalancerMember {
            id: NodeId::of_address(identity.control_address),
            stamp: Stamp {
                incarnation: identity.incarnation,
                revision: 1,
                health: Health::Alive,
            },
            control_address: identity.control_address,
            data_address: identity.data_address,
            admin_address: identity.admin_address,
            phase: Phase::Joining,
            failure_domain: identity.failure_domain,
            region: identity.region,
            watcher_slot: 0,
        };
        let start = TimeMs(0);
        Self {
            local,
            clock: MachineClock::default(),
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            balancers: Table::new(MAX_BALANCERS),
            endpoints: Table::new(MAX_ENDPOINTS),
            services: ServiceIndex::default(),
            replica: Replica::default(),
            updates: UpdateQueue::default(),
            fetches: Fetches::default(),
            agent_monitor: AgentMonitor::default(),
            probing: Probing::default(),
            removal_threshold: RemovalThreshold::default(),
            anti_entropy: AntiEntropy::default(),
            confirmations: PendingConfirmations::default(),
            counters: GossipCounters::default(),
            seeds: Vec::new(),
            next_gossip_at: start,
            next_join_at: start,
            next_seed_retry_at: start,
            next_expiry_at: start,
            is_started: false,
            started_at: start,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<GossipAction>) {
        let (now, pause) = self.clock.advance(now);
        self.now = now;
        if !self.is_started {
            self.start(out);
        }
        if let Some(pause) = pause {
            self.handle_pause(pause, out);
        }
        match event {
            GossipEvent::Tick => self.tick(out),
            GossipEvent::Message { from, message } => self.receive(from, message, out),
            GossipEvent::StaleSender(from) => self.answer_stale(from, out),
            GossipEvent::LocalChange(change) => self.apply_local_change(change, out),
            GossipEvent::SeedPeers(seeds) => self.add_seeds(seeds),
            GossipEvent::Confirm {
                kind,
                name,
                version,
                wait_ms,
            } => self.start_confirmation(kind, name, version, wait_ms),
        }
    }

    /// Returns the record that this process announces.
    pub fn local(&self) -> &BalancerMember {
        &self.local
    }

    /// Returns all known balancers, including those that left or were removed.
    pub fn balancers(&self) -> impl Iterator<Item = &BalancerMember> {
        self.balancers.records()
    }

    /// Returns all known endpoints, including those that left or were removed.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.records()
    }

    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id.get())
    }

    /// Returns the local replica of the platform store.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    pub fn counters(&self) -> GossipCounters {
        self.counters
    }

    /// Returns whether removals are currently suspended, see [`Alarm::RemovalsSuspended`].
    pub fn is_removal_suspended(&self) -> bool {
        self.removal_threshold.is_suspending()
    }

    fn start(&mut self, out: &mut Vec<GossipAction>) {
        self.is_started = true;
        self.started_at = self.now;
        let spread =
            |rng: &mut ChaCha8Rng, limit: DurationMs| DurationMs(rng.random_range(0..limit.get()));
        self.next_gossip_at = self.now + spread(&mut self.rng, GOSSIP_INTERVAL_MS);
        self.next_join_at = self.now;
        self.next_seed_retry_at = self.now + spread(&mut self.rng, SEED_RETRY_INTERVAL_MS);
        self.next_expiry_at = self.now + spread(&mut self.rng, EXPIRY_INTERVAL_MS);
        self.start_probing();
        self.start_anti_entropy();
        self.publish_local(out);
    }

    /// Handles the end of a pause. Messages may have been lost, and other processes may have
    /// suspected or removed this one, so a digest is sent soon to bring both sides up to date.
    fn handle_pause(&mut self, pause: DurationMs, out: &mut Vec<GossipAction>) {
        out.push(GossipAction::Alarm(Alarm::Paused(pause)));
        self.worsen_local_health();
        self.discard_pending_probe();
        self.schedule_digest();
    }

    fn tick(&mut self, out: &mut Vec<GossipAction>) {
        if self.local.phase == Phase::Gone {
            self.gossip(out);
            return;
        }
        self.join(out);
        self.tick_probing(out);
        self.tick_monitored_agents(out);
        self.tick_removal_threshold(out);
        self.tick_anti_entropy(out);
        self.tick_confirmations(out);
        for (to, body) in self.fetches.requests(self.now) {
            send(out, to, body);
        }
        self.gossip(out);
        self.expire_tombstones(out);
    }

    fn receive(&mut self, from: Sender, message: ControlMessage, out: &mut Vec<GossipAction>) {
        let Some(body) = message.body else {
            self.counters.malformed += 1;
            return;
        };
        self.record_message_received(from.node);
        match body {
            Body::Gossip(gossip) => self.handle_gossip(from, gossip, out),
            Body::Probe(probe) => self.handle_probe(from, probe, out),
            Body::ProbeAck(ack) => self.handle_probe_ack(from, ack, out),
            Body::IndirectProbe(probe) => self.handle_indirect_probe(from, probe, out),
            Body::Digest(digest) => self.handle_digest(from, &digest, out),
            Body::BucketSummary(summary) => self.handle_bucket_summary(from, &summary, out),
            Body::ItemRequest(request) => self.handle_item_request(from, &request, out),
            Body::ChunkRequest(request) => {
                if let Some(body) = fetch::answer_chunk_request(&self.replica, &request) {
                    send(out, from.address, body);
                }
            }
            Body::Chunk(chunk) => self.handle_chunk(&chunk, out),
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(from, &heartbeat, out),
            Body::EndpointQuery(query) => self.handle_endpoint_query(from, query, out),
            Body::EndpointAnswer(answer) => self.handle_endpoint_answer(from, &answer),
            Body::ConfirmQuery(query) => self.handle_confirm_query(from, &query, out),
            Body::ConfirmAnswer(answer) => self.handle_confirm_answer(from, &answer, out),
            Body::Join(join) => self.handle_join(from, &join, out),
            Body::HeartbeatAck(_) | Body::LoadReport(_) => self.counters.malformed += 1,
        }
    }

    /// Sends a process with an outdated incarnation the newest known records of that process.
    fn answer_stale(&mut self, from: Sender, out: &mut Vec<GossipAction>) {
        let items = [
            Item::Balancer(from.node.get()),
            Item::Endpoint(
                self.agent_monitor
                    .endpoint_of(from.node)
                    .unwrap_or_default(),
            ),
        ];
        let mut packer = Packer::default();
        for item in items {
            packer.add(item, &self.tables(), 0, MAX_CONTENT_BYTES);
        }
        if !packer.is_empty() {
            send(out, from.address, Body::Gossip(packer.finish()));
        }
    }

    fn apply_local_change(&mut self, change: LocalChange, out: &mut Vec<GossipAction>) {
        match change {
            LocalChange::Object(object) => {
                self.apply_object(object, out);
                return;
            }
            LocalChange::Serve => self.local.phase = Phase::Serving,
            LocalChange::Drain => self.local.phase = Phase::Draining,
            LocalChange::Leave => self.local.phase = Phase::Gone,
            LocalChange::WatcherSlot(slot) => self.local.watcher_slot = slot,
        }
        self.local.stamp.revision += 1;
        self.publish_local(out);
        if self.local.phase == Phase::Gone {
            self.announce_departure(out);
        }
    }

    fn announce_departure(&mut self, out: &mut Vec<GossipAction>) {
        let mut packer = Packer::default();
        let item = Item::Balancer(self.local.id.get());
        packer.add(item, &self.tables(), 0, MAX_CONTENT_BYTES);
        let gossip = packer.finish();
        for peer in self.random_peers(LEAVE_FANOUT) {
            send(out, peer, Body::Gossip(gossip.clone()));
        }
    }

    /// Stores the local record in the view and queues it for gossip.
    fn publish_local(&mut self, out: &mut Vec<GossipAction>) {
        let record = self.local.clone();
        self.apply_balancer(record, DurationMs(0), out);
    }

    fn add_seeds(&mut self, seeds: Vec<SocketAddr>) {
        for seed in seeds {
            let is_known = seed == self.local.control_address || self.seeds.contains(&seed);
            if !is_known && self.seeds.len() < MAX_SEEDS {
                self.seeds.push(seed);
            }
        }
    }

    fn join(&mut self, out: &mut Vec<GossipAction>) {
        let is_alone = self.peers().next().is_none();
        if is_alone && self.now >= self.next_join_at {
            self.next_join_at = self.now + JOIN_RETRY_MS;
            for seed in self.seeds.clone() {
                self.send_join(seed, out);
            }
        }
        if self.now < self.next_seed_retry_at {
            return;
        }
        self.next_seed_retry_at = self.now + SEED_RETRY_INTERVAL_MS;
        let is_live = |seed: &&SocketAddr| self.peers().any(|peer| peer.control_address == **seed);
        let missing = self.seeds.iter().filter(|seed| !is_live(seed));
        let mut rng = self.rng.clone();
        let chosen = missing.choose(&mut rng).copied();
        self.rng = rng;
        if let Some(seed) = chosen {
            self.send_join(seed, out);
        }
    }

    fn send_join(&self, to: SocketAddr, out: &mut Vec<GossipAction>) {
        let balancer = Some(crate::member::balancer_to_wire(&self.local, 0));
        send(out, to, Body::Join(control::Join { balancer }));
    }

    fn handle_join(&mut self, from: Sender, join: &control::Join, out: &mut Vec<GossipAction>) {
        let Some(record) = join.balancer.as_ref().and_then(balancer_from_wire) else {
            self.counters.malformed += 1;
            return;
        };
        if record.id != from.node {
            self.counters.malformed += 1;
            return;
        }
        let joining = record.id.get();
        self.apply_balancer(record, DurationMs(0), out);
        let mut rng = self.rng.clone();
        let peers = self.peers().map(|peer| peer.id.get());
        let mut items: Vec<Item> = peers
            .choose_multiple(&mut rng, JOIN_PEERS)
            .into_iter()
            .map(Item::Balancer)
            .collect();
        self.rng = rng;
        // The held record of the joining process comes first, so that the process can refute it.
        items.insert(0, Item::Balancer(joining));
        items.insert(1, Item::Balancer(self.local.id.get()));
        let gossip = pack_all(items, &self.tables(), 0);
        for message in gossip {
            send(out, from.address, Body::Gossip(message));
        }
    }

    fn gossip(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.next_gossip_at {
            return;
        }
        self.next_gossip_at = self.now + GOSSIP_INTERVAL_MS;
        if self.updates.is_empty() {
            return;
        }
        let limit = max_transmissions(self.balancers.entries().len());
        let order = self.updates.by_fewest_transmissions();
        for peer in self.random_peers(FANOUT) {
            let mut rest: &[Item] = &order;
            for _ in 0..MAX_DATAGRAMS_PER_PEER {
                let (gossip, count) = self.pack_prefix(rest, MAX_CONTENT_BYTES);
                if count == 0 {
                    break;
                }
                self.updates.count_transmissions(&rest[..count]);
                rest = &rest[count..];
                send(out, peer, Body::Gossip(gossip));
            }
        }
        self.updates.remove_fully_transmitted(limit);
    }

    /// Packs as many leading items as fit and returns their count.
    fn pack_prefix(&self, items: &[Item], max_bytes: usize) -> (control::Gossip, usize) {
        let mut packer = Packer::default();
        let tables = self.tables();
        let count = items
            .iter()
            .take_while(|item| packer.add(**item, &tables, GOSSIP_INLINE_BYTES, max_bytes))
            .count();
        (packer.finish(), count)
    }

    /// Packs queued updates, `first` before them, to piggyback them on a probe or acknowledgement.
    pub(crate) fn piggyback(&mut self, first: Option<Item>) -> Option<control::Gossip> {
        let mut order = self.updates.by_fewest_transmissions();
        if let Some(first) = first {
            order.insert(0, first);
        }
        let (gossip, count) = self.pack_prefix(&order, MAX_CONTENT_BYTES);
        self.updates.count_transmissions(&order[..count]);
        let limit = max_transmissions(self.balancers.entries().len());
        self.updates.remove_fully_transmitted(limit);
        (count > 0).then_some(gossip)
    }

    pub(crate) fn handle_gossip(
        &mut self,
        from: Sender,
        gossip: control::Gossip,
        out: &mut Vec<GossipAction>,
    ) {
        let is_starting = self.now.since(self.started_at) < STARTUP_MS;
        let queued_updates = (gossip.is_catch_up && is_starting).then(|| self.updates.clone());
        let local_stamp = self.local.stamp;
        for record in &gossip.balancers {
            let age = DurationMs(u64::from(record.tombstone_age_s) * 1000);
            match balancer_from_wire(record) {
                Some(balancer) => self.apply_balancer(balancer, age, out),
                None => self.counters.malformed += 1,
            }
        }
        for record in &gossip.endpoints {
            let age = DurationMs(u64::from(record.tombstone_age_s) * 1000);
            match endpoint_from_wire(record) {
                Some(endpoint) => self.apply_endpoint(endpoint, age, out),
                None => self.counters.malformed += 1,
            }
        }
        if let Some(columns) = &gossip.judgements {
            for health_update in decode_health_updates(columns) {
                self.apply_health_update(health_update, out);
            }
        }
        for object in gossip.objects {
            self.handle_object(from, object, out);
        }
        if let Some(queued_updates) = queued_updates {
            // The other balancers have these entries; gossiping them again would cost megabytes at
            // every start.
            self.updates = queued_updates;
            if self.local.stamp != local_stamp {
                self.updates.push(Item::Balancer(self.local.id.get()));
            }
        }
    }

    fn handle_object(
        &mut self,
        from: Sender,
        object: control::ConfigurationObject,
        out: &mut Vec<GossipAction>,
    ) {
        let held = self.replica.version(&object.kind, &object.name);
        if held.get() >= object.version {
            return;
        }
        if object.size_bytes == 0 {
            self.apply_object(fetch::object_from_wire(object), out);
            return;
        }
        self.fetches.enqueue(&object, from.address);
        for (to, body) in self.fetches.requests(self.now) {
            send(out, to, body);
        }
    }

    fn handle_chunk(&mut self, chunk: &control::Chunk, out: &mut Vec<GossipAction>) {
        if let Some(object) = self.fetches.handle_chunk(chunk) {
            self.apply_object(object, out);
        }
        for (to, body) in self.fetches.requests(self.now) {
            send(out, to, body);
        }
    }

    fn apply_object(&mut self, object: Object, out: &mut Vec<GossipAction>) {
        let (kind, name, key) = (object.kind.clone(), object.name.clone(), object.key());
        match self.replica.apply(object) {
            ApplyOutcome::Applied => {}
            ApplyOutcome::Stale => return,
            ApplyOutcome::Refused => {
                self.counters.malformed += 1;
                return;
            }
        }
        self.fetches.cancel(&kind, &name);
        self.updates.push(Item::Object(key));
        if let Some(object) = self.replica.by_key(key) {
            out.push(GossipAction::ConfigurationReceived(Arc::clone(object)));
        }
    }

    /// Merges a record of a balancer into the view.
    pub(crate) fn apply_balancer(
        &mut self,
        balancer: BalancerMember,
        age: DurationMs,
        out: &mut Vec<GossipAction>,
    ) {
        let key = balancer.id.get();
        if balancer.id == self.local.id && balancer != self.local {
            self.refute(balancer.stamp, out);
            return;
        }
        match self.balancers.merge(balancer, age, self.now) {
            MergeOutcome::Newer => {
                self.updates.push(Item::Balancer(key));
                self.updates.remove(Item::BalancerHealth(key));
                self.report_balancer_change(key, out);
            }
            MergeOutcome::Same | MergeOutcome::Older => {}
            MergeOutcome::Refused => out.push(GossipAction::Alarm(Alarm::TableFull)),
        }
    }

    /// Merges a record of an endpoint into the view.
    pub(crate) fn apply_endpoint(
        &mut self,
        endpoint: Endpoint,
        age: DurationMs,
        out: &mut Vec<GossipAction>,
    ) {
        let key = endpoint.id.get();
        let (id, service) = (endpoint.id, endpoint.service);
        let previous_service = self.endpoints.get(key).map(|held| held.service);
        match self.endpoints.merge(endpoint, age, self.now) {
            MergeOutcome::Newer => {
                if let Some(previous_service) = previous_service {
                    self.services.remove(previous_service, id);
                }
                self.services.insert(service, id);
                self.updates.push(Item::Endpoint(key));
                self.updates.remove(Item::EndpointHealth(key));
                self.report_endpoint_change(key, out);
            }
            MergeOutcome::Same | MergeOutcome::Older => {}
            MergeOutcome::Refused => out.push(GossipAction::Alarm(Alarm::TableFull)),
        }
    }

    /// Applies a health update if the held record has the revision to which it refers.
    pub(crate) fn apply_health_update(
        &mut self,
        health_update: HealthUpdate,
        out: &mut Vec<GossipAction>,
    ) {
        let HealthUpdate {
            key,
            stamp,
            is_balancer,
        } = health_update;
        if is_balancer && key == self.local.id.get() {
            self.refute(stamp, out);
            return;
        }
        if is_balancer {
            let Some(mut record) = record_to_update(&self.balancers, key, stamp) else {
                return;
            };
            record.set_health(stamp.health);
            if self.balancers.merge(record, DurationMs(0), self.now) == MergeOutcome::Newer {
                // A full record that is still queued includes the new health.
                self.updates.push(Item::BalancerHealth(key));
                self.report_balancer_change(key, out);
            }
            return;
        }
        let Some(mut record) = record_to_update(&self.endpoints, key, stamp) else {
            return;
        };
        record.set_health(stamp.health);
        if self.endpoints.merge(record, DurationMs(0), self.now) == MergeOutcome::Newer {
            self.updates.push(Item::EndpointHealth(key));
            self.report_endpoint_change(key, out);
        }
    }

    /// Refutes a health update about this process, or a record of a previous incarnation.
    fn refute(&mut self, stamp: Stamp, out: &mut Vec<GossipAction>) {
        let local_stamp = self.local.stamp;
        if stamp < local_stamp {
            return;
        }
        let is_unhealthy = stamp.health != Health::Alive;
        if is_unhealthy
            && stamp.incarnation == local_stamp.incarnation
            && stamp.revision == local_stamp.revision
        {
            self.local.stamp.revision += 1;
            self.counters.refutations += 1;
            self.worsen_local_health();
        } else {
            // This incarnation did not issue the record, so it stems from a previous one.
            self.local.stamp.incarnation = stamp.incarnation.next();
            self.local.stamp.revision = 1;
            out.push(GossipAction::IncarnationRaised(
                self.local.stamp.incarnation,
            ));
        }
        self.publish_local(out);
    }

    fn report_balancer_change(&mut self, key: u64, out: &mut Vec<GossipAction>) {
        let Some(record) = self.balancers.get(key) else {
            return;
        };
        out.push(GossipAction::MemberChanged(Member::Balancer(
            record.clone(),
        )));
    }

    fn report_endpoint_change(&mut self, key: u64, out: &mut Vec<GossipAction>) {
        let Some(record) = self.endpoints.get(key).cloned() else {
            return;
        };
        self.update_monitoring(&record, out);
        out.push(GossipAction::MemberChanged(Member::Endpoint(record)));
    }

    fn expire_tombstones(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = self.now + EXPIRY_INTERVAL_MS;
        self.balancers.expire_tombstones(self.now);
        for (key, record) in self.endpoints.expire_tombstones(self.now) {
            self.services.remove(record.service, record.id);
            out.push(GossipAction::EndpointExpired(EndpointId(key)));
        }
    }

    /// Returns the live balancers except this one.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &BalancerMember> {
        let local_id = self.local.id;
        self.balancers
            .records()
            .filter(move |balancer| balancer.id != local_id && balancer.is_live())
    }

    pub(crate) fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let peers: Vec<SocketAddr> = self.peers().map(|peer| peer.control_address).collect();
        peers
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect()
    }

    pub(crate) fn tables(&self) -> RecordTables<'_> {
        RecordTables {
            balancers: &self.balancers,
            endpoints: &self.endpoints,
            replica: &self.replica,
            now: self.now,
        }
    }

    /// Sends full entries that the receiver lacks.
    pub(crate) fn send_catch_up(
        &self,
        to: SocketAddr,
        items: impl IntoIterator<Item = Item>,
        out: &mut Vec<GossipAction>,
    ) {
        for mut gossip in pack_all(items, &self.tables(), REPLY_INLINE_BYTES) {
            gossip.is_catch_up = true;
            send(out, to, Body::Gossip(gossip));
        }
    }
}

/// Returns the held record if `stamp` refers to its revision and sets a worse health.
fn record_to_update<R: Record>(table: &Table<R>, key: u64, stamp: Stamp) -> Option<R> {
    let record = table.get(key)?;
    let held = record.stamp();
    let is_same = held.incarnation == stamp.incarnation && held.revision == stamp.revision;
    (is_same && held.health < stamp.health).then(|| record.clone())
}

pub(crate) fn send(out: &mut Vec<GossipAction>, to: SocketAddr, body: Body) {
    let message = ControlMessage { body: Some(body) };
    out.push(GossipAction::Send { to, message });
}
