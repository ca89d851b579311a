//! State machine by which balancers share members and configuration.

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

use crate::clock::MachineClock;
use crate::confirm::Confirms;
use crate::fetch::{self, Fetches};
use crate::floor::Floor;
use crate::homes::Homes;
use crate::member::{
    BalancerMember, Endpoint, Health, Member, Record, Stamp, balancer_from_wire, endpoint_from_wire,
};
use crate::pack::{
    ANSWER_INLINE_BYTES, GOSSIP_INLINE_BYTES, Judgement, MAX_CONTENT_BYTES, Packer, Sources,
    pack_all, read_judgements,
};
use crate::probe::Probing;
use crate::service_index::ServiceIndex;
use crate::sync::Sync;
use crate::updates::{Item, Updates, send_limit};
use crate::view::{Merge, Table};

/// Interval of gossip while there are updates.
const GOSSIP_MS: DurationMs = DurationMs(200);
/// Balancers to which each round of gossip goes.
const FANOUT: usize = 3;
/// Datagrams to one balancer in one round; more than one is used only while many changes wait.
const MAX_BURST: usize = 4;
/// Interval of attempts to join while no other balancer is known.
const JOIN_MS: DurationMs = DurationMs(1_000);
/// Interval at which addresses of the settings are tried that belong to no live balancer.
const SEED_RETRY_MS: DurationMs = DurationMs(60_000);
/// Balancers that the answer to a joining one names.
const JOIN_PEERS: usize = 10;
/// Balancers that hear of a departure at once.
const LEAVE_FANOUT: usize = 8;
/// Interval at which old tombstones are dropped.
const EXPIRE_MS: DurationMs = DurationMs(60_000);
/// Time after the start in which entries of anti-entropy are not passed on.
const START_MS: DurationMs = DurationMs(30_000);
/// Known balancers at most; twenty times the design size.
const MAX_BALANCERS: usize = 16_384;
/// Known endpoints at most; eleven times the design size.
const MAX_ENDPOINTS: usize = 65_536;
/// Addresses of the settings that are used for joining.
const MAX_SEEDS: usize = 64;

/// What a balancer announces about itself at start.
#[derive(Clone, Debug)]
pub struct BalancerIdentity {
    /// Incarnation of this run.
    pub incarnation: Incarnation,
    /// Address of the control socket.
    pub control_address: SocketAddr,
    /// Address from which packets are forwarded.
    pub data_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: Option<SocketAddr>,
    /// Where the balancer runs.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
}

/// Sender of a control message, as the envelope proved it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sender {
    /// Identifier of the process.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Address from which the datagram came.
    pub address: SocketAddr,
}

/// Change that the own process makes.
#[derive(Clone, Debug)]
pub enum LocalChange {
    /// The balancer takes packets.
    Serve,
    /// The balancer stops soon.
    Drain,
    /// The balancer leaves now.
    Leave,
    /// The balancer took or lost a watcher slot; 0 is none.
    WatcherSlot(u32),
    /// The store or the administration API has a new version of an object.
    Object(Object),
}

/// Input of a [`GossipMachine`].
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// Time passed; expected every 100 ms.
    Tick,
    /// A control message arrived.
    Message {
        /// Who sent it.
        from: Sender,
        /// What was sent.
        message: ControlMessage,
    },
    /// A message with an incarnation lower than one seen before was dropped.
    StaleSender(Sender),
    /// The own process changes its state.
    LocalChange(LocalChange),
    /// Addresses of balancers that may be up, from the settings or the directory.
    SeedPeers(Vec<SocketAddr>),
    /// An operator waits until an object is in force everywhere.
    Confirm {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Version to wait for.
        version: Version,
        /// How long the operator waits.
        wait_ms: DurationMs,
    },
}

/// Condition that operators need to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Alarm {
    /// Removals are held because many members went silent at the same time.
    FloorReached {
        /// Failure domain concerned, or `None` for all members.
        failure_domain: Option<FailureDomain>,
        /// Members that went silent.
        silent: usize,
        /// Members that were known.
        known: usize,
    },
    /// Removals are made again.
    FloorReleased,
    /// The process did not run for a while.
    Paused(DurationMs),
    /// A limit on known members or objects was reached.
    TableFull,
}

/// Which balancers hold a version of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfirmReport {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Version that was waited for.
    pub version: Version,
    /// Balancers with this or a newer version, with what they hold.
    pub confirmed: Vec<(NodeId, Version)>,
    /// Balancers that hold an older version or did not answer.
    pub pending: Vec<NodeId>,
    /// Whether the wait is over.
    pub is_final: bool,
}

/// Output of a [`GossipMachine`].
#[derive(Clone, Debug)]
pub enum GossipAction {
    /// Send a control message.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Message.
        message: ControlMessage,
    },
    /// A member is new or changed, left or was removed.
    MemberChanged(Member),
    /// An endpoint left so long ago that its address is no longer kept.
    EndpointForgotten(EndpointId),
    /// A newer version of an object is held.
    ConfigurationReceived(Arc<Object>),
    /// The own incarnation had to be raised; later messages are sealed with it.
    IncarnationRaised(Incarnation),
    /// Progress of a confirm query; the last one is marked.
    Confirmed(ConfirmReport),
    /// Something operators need to know.
    Alarm(Alarm),
}

/// Counts of what happened, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GossipCounters {
    /// Records, judgements or requests that were malformed.
    pub malformed: u64,
    /// Balancers that this process suspected.
    pub suspicions: u64,
    /// Members that this process removed.
    pub removals: u64,
    /// Times that this process refuted a judgement about itself.
    pub refutations: u64,
}

/// Gossip among balancers, and the balancers' side of heartbeats.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    pub(crate) own: BalancerMember,
    clock: MachineClock,
    pub(crate) now: TimeMs,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) balancers: Table<BalancerMember>,
    pub(crate) endpoints: Table<Endpoint>,
    pub(crate) services: ServiceIndex,
    pub(crate) replica: Replica,
    pub(crate) updates: Updates,
    pub(crate) fetches: Fetches,
    pub(crate) homes: Homes,
    pub(crate) probing: Probing,
    pub(crate) floor: Floor,
    pub(crate) sync: Sync,
    pub(crate) confirms: Confirms,
    pub(crate) counters: GossipCounters,
    seeds: Vec<SocketAddr>,
    gossip_at: TimeMs,
    join_at: TimeMs,
    seed_retry_at: TimeMs,
    expire_at: TimeMs,
    is_started: bool,
    started_at: TimeMs,
}

impl GossipMachine {
    /// Creates the machine of a balancer; `seed` makes its random choices repeatable.
    pub fn new(identity: BalancerIdentity, seed: u64) -> Self {
        let own = BalancerMember {
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
            own,
            clock: MachineClock::default(),
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            balancers: Table::new(MAX_BALANCERS),
            endpoints: Table::new(MAX_ENDPOINTS),
            services: ServiceIndex::default(),
            replica: Replica::default(),
            updates: Updates::default(),
            fetches: Fetches::default(),
            homes: Homes::default(),
            probing: Probing::default(),
            floor: Floor::default(),
            sync: Sync::default(),
            confirms: Confirms::default(),
            counters: GossipCounters::default(),
            seeds: Vec::new(),
            gossip_at: start,
            join_at: start,
            seed_retry_at: start,
            expire_at: start,
            is_started: false,
            started_at: start,
        }
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<GossipAction>) {
        let (now, pause) = self.clock.advance(now);
        self.now = now;
        if !self.is_started {
            self.start(out);
        }
        if let Some(pause) = pause {
            self.resume(pause, out);
        }
        match event {
            GossipEvent::Tick => self.tick(out),
            GossipEvent::Message { from, message } => self.receive(from, message, out),
            GossipEvent::StaleSender(from) => self.answer_stale(from, out),
            GossipEvent::LocalChange(change) => self.change_own(change, out),
            GossipEvent::SeedPeers(seeds) => self.add_seeds(seeds),
            GossipEvent::Confirm {
                kind,
                name,
                version,
                wait_ms,
            } => self.begin_confirm(kind, name, version, wait_ms),
        }
    }

    /// Returns the own record.
    pub fn own(&self) -> &BalancerMember {
        &self.own
    }

    /// Returns all known balancers, departed ones included.
    pub fn balancers(&self) -> impl Iterator<Item = &BalancerMember> {
        self.balancers.records()
    }

    /// Returns all known endpoints, departed ones included.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.records()
    }

    /// Returns an endpoint by its identifier.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id.get())
    }

    /// Returns the replica of the platform store.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns counts of what happened.
    pub fn counters(&self) -> GossipCounters {
        self.counters
    }

    /// Returns whether removals are held at the moment.
    pub fn is_floor_active(&self) -> bool {
        self.floor.is_holding()
    }

    fn start(&mut self, out: &mut Vec<GossipAction>) {
        self.is_started = true;
        self.started_at = self.now;
        let spread =
            |rng: &mut ChaCha8Rng, limit: DurationMs| DurationMs(rng.random_range(0..limit.get()));
        self.gossip_at = self.now + spread(&mut self.rng, GOSSIP_MS);
        self.join_at = self.now;
        self.seed_retry_at = self.now + spread(&mut self.rng, SEED_RETRY_MS);
        self.expire_at = self.now + spread(&mut self.rng, EXPIRE_MS);
        self.start_probing();
        self.start_sync();
        self.publish_own(out);
    }

    /// Announces the own state again after a pause, in which others may have judged it.
    fn resume(&mut self, pause: DurationMs, out: &mut Vec<GossipAction>) {
        out.push(GossipAction::Alarm(Alarm::Paused(pause)));
        self.worsen_local_health();
        self.forget_probe();
        self.request_sync();
    }

    fn tick(&mut self, out: &mut Vec<GossipAction>) {
        if self.own.phase == Phase::Gone {
            self.gossip(out);
            return;
        }
        self.join(out);
        self.tick_probing(out);
        self.tick_homes(out);
        self.tick_floor(out);
        self.tick_sync(out);
        self.tick_confirms(out);
        for (to, body) in self.fetches.requests(self.now) {
            send(out, to, body);
        }
        self.gossip(out);
        self.expire(out);
    }

    fn receive(&mut self, from: Sender, message: ControlMessage, out: &mut Vec<GossipAction>) {
        let Some(body) = message.body else {
            self.counters.malformed += 1;
            return;
        };
        self.note_heard(from.node);
        match body {
            Body::Gossip(gossip) => self.take_gossip(from, gossip, out),
            Body::Probe(probe) => self.take_probe(from, probe, out),
            Body::ProbeAck(ack) => self.take_probe_ack(from, ack, out),
            Body::IndirectProbe(probe) => self.take_indirect_probe(from, probe, out),
            Body::Digest(digest) => self.take_digest(from, &digest, out),
            Body::BucketSummary(summary) => self.take_summary(from, &summary, out),
            Body::ItemRequest(request) => self.take_item_request(from, &request, out),
            Body::ChunkRequest(request) => {
                if let Some(body) = fetch::answer(&self.replica, &request) {
                    send(out, from.address, body);
                }
            }
            Body::Chunk(chunk) => self.take_chunk(&chunk, out),
            Body::Heartbeat(heartbeat) => self.take_heartbeat(from, &heartbeat, out),
            Body::EndpointQuery(query) => self.take_endpoint_query(from, query, out),
            Body::EndpointAnswer(answer) => self.take_endpoint_answer(from, &answer),
            Body::ConfirmQuery(query) => self.take_confirm_query(from, &query, out),
            Body::ConfirmAnswer(answer) => self.take_confirm_answer(from, &answer, out),
            Body::Join(join) => self.take_join(from, &join, out),
            Body::HeartbeatAck(_) | Body::LoadReport(_) => self.counters.malformed += 1,
        }
    }

    /// Tells a process that runs with an old incarnation which one is known.
    fn answer_stale(&mut self, from: Sender, out: &mut Vec<GossipAction>) {
        let items = [
            Item::Balancer(from.node.get()),
            Item::Endpoint(self.homes.endpoint_of(from.node).unwrap_or_default()),
        ];
        let mut packer = Packer::default();
        for item in items {
            packer.add(item, &self.sources(), 0, MAX_CONTENT_BYTES);
        }
        if !packer.is_empty() {
            send(out, from.address, Body::Gossip(packer.finish()));
        }
    }

    fn change_own(&mut self, change: LocalChange, out: &mut Vec<GossipAction>) {
        match change {
            LocalChange::Object(object) => {
                self.apply_object(object, out);
                return;
            }
            LocalChange::Serve => self.own.phase = Phase::Serving,
            LocalChange::Drain => self.own.phase = Phase::Draining,
            LocalChange::Leave => self.own.phase = Phase::Gone,
            LocalChange::WatcherSlot(slot) => self.own.watcher_slot = slot,
        }
        self.own.stamp.revision += 1;
        self.publish_own(out);
        if self.own.phase == Phase::Gone {
            self.announce_departure(out);
        }
    }

    fn announce_departure(&mut self, out: &mut Vec<GossipAction>) {
        let mut packer = Packer::default();
        let item = Item::Balancer(self.own.id.get());
        packer.add(item, &self.sources(), 0, MAX_CONTENT_BYTES);
        let gossip = packer.finish();
        for peer in self.random_peers(LEAVE_FANOUT) {
            send(out, peer, Body::Gossip(gossip.clone()));
        }
    }

    /// Puts the own record into the view and queues it for gossip.
    fn publish_own(&mut self, out: &mut Vec<GossipAction>) {
        let own = self.own.clone();
        self.apply_balancer(own, DurationMs(0), out);
    }

    fn add_seeds(&mut self, seeds: Vec<SocketAddr>) {
        for seed in seeds {
            let is_known = seed == self.own.control_address || self.seeds.contains(&seed);
            if !is_known && self.seeds.len() < MAX_SEEDS {
                self.seeds.push(seed);
            }
        }
    }

    fn join(&mut self, out: &mut Vec<GossipAction>) {
        let is_alone = self.peers().next().is_none();
        if is_alone && self.now >= self.join_at {
            self.join_at = self.now + JOIN_MS;
            for seed in self.seeds.clone() {
                self.send_join(seed, out);
            }
        }
        if self.now < self.seed_retry_at {
            return;
        }
        self.seed_retry_at = self.now + SEED_RETRY_MS;
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
        let balancer = Some(crate::member::balancer_to_wire(&self.own, 0));
        send(out, to, Body::Join(control::Join { balancer }));
    }

    fn take_join(&mut self, from: Sender, join: &control::Join, out: &mut Vec<GossipAction>) {
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
        // The own view of the joining process comes first, so that it can refute it.
        items.insert(0, Item::Balancer(joining));
        items.insert(1, Item::Balancer(self.own.id.get()));
        let gossip = pack_all(items, &self.sources(), 0);
        for message in gossip {
            send(out, from.address, Body::Gossip(message));
        }
    }

    fn gossip(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.gossip_at {
            return;
        }
        self.gossip_at = self.now + GOSSIP_MS;
        if self.updates.is_empty() {
            return;
        }
        let limit = send_limit(self.balancers.entries().len());
        let order = self.updates.by_need();
        for peer in self.random_peers(FANOUT) {
            let mut rest: &[Item] = &order;
            for _ in 0..MAX_BURST {
                let (gossip, count) = self.pack_prefix(rest, MAX_CONTENT_BYTES);
                if count == 0 {
                    break;
                }
                self.updates.count_sent(&rest[..count]);
                rest = &rest[count..];
                send(out, peer, Body::Gossip(gossip));
            }
        }
        self.updates.drop_sent(limit);
    }

    /// Packs as many leading items as fit, and returns their number.
    fn pack_prefix(&self, items: &[Item], max_bytes: usize) -> (control::Gossip, usize) {
        let mut packer = Packer::default();
        let sources = self.sources();
        let count = items
            .iter()
            .take_while(|item| packer.add(**item, &sources, GOSSIP_INLINE_BYTES, max_bytes))
            .count();
        (packer.finish(), count)
    }

    /// Packs waiting updates for a message that is sent anyway.
    pub(crate) fn piggyback(&mut self, first: Option<Item>) -> Option<control::Gossip> {
        let mut order = self.updates.by_need();
        if let Some(first) = first {
            order.insert(0, first);
        }
        let (gossip, count) = self.pack_prefix(&order, MAX_CONTENT_BYTES);
        self.updates.count_sent(&order[..count]);
        let limit = send_limit(self.balancers.entries().len());
        self.updates.drop_sent(limit);
        (count > 0).then_some(gossip)
    }

    pub(crate) fn take_gossip(
        &mut self,
        from: Sender,
        gossip: control::Gossip,
        out: &mut Vec<GossipAction>,
    ) {
        let is_start = self.now.since(self.started_at) < START_MS;
        let queued = (gossip.is_catch_up && is_start).then(|| self.updates.clone());
        let own_stamp = self.own.stamp;
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
            for judgement in read_judgements(columns) {
                self.apply_judgement(judgement, out);
            }
        }
        for object in gossip.objects {
            self.take_object(from, object, out);
        }
        if let Some(queued) = queued {
            // The others have these entries; telling them again would cost a start megabytes.
            self.updates = queued;
            if self.own.stamp != own_stamp {
                self.updates.push(Item::Balancer(self.own.id.get()));
            }
        }
    }

    fn take_object(
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
        self.fetches.notice(&object, from.address);
        for (to, body) in self.fetches.requests(self.now) {
            send(out, to, body);
        }
    }

    fn take_chunk(&mut self, chunk: &control::Chunk, out: &mut Vec<GossipAction>) {
        if let Some(object) = self.fetches.chunk(chunk) {
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
        self.fetches.forget(&kind, &name);
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
        if balancer.id == self.own.id && balancer != self.own {
            self.refute(balancer.stamp, out);
            return;
        }
        match self.balancers.merge(balancer, age, self.now) {
            Merge::Newer => {
                self.updates.push(Item::Balancer(key));
                self.updates.remove(Item::BalancerHealth(key));
                self.report_balancer(key, out);
            }
            Merge::Same | Merge::Older => {}
            Merge::Refused => out.push(GossipAction::Alarm(Alarm::TableFull)),
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
        let earlier = self.endpoints.get(key).map(|held| held.service);
        match self.endpoints.merge(endpoint, age, self.now) {
            Merge::Newer => {
                if let Some(earlier) = earlier {
                    self.services.remove(earlier, id);
                }
                self.services.insert(service, id);
                self.updates.push(Item::Endpoint(key));
                self.updates.remove(Item::EndpointHealth(key));
                self.report_endpoint(key, out);
            }
            Merge::Same | Merge::Older => {}
            Merge::Refused => out.push(GossipAction::Alarm(Alarm::TableFull)),
        }
    }

    /// Applies a judgement to the record that it concerns, if exactly that record is held.
    pub(crate) fn apply_judgement(&mut self, judgement: Judgement, out: &mut Vec<GossipAction>) {
        let Judgement {
            key,
            stamp,
            is_balancer,
        } = judgement;
        if is_balancer && key == self.own.id.get() {
            self.refute(stamp, out);
            return;
        }
        if is_balancer {
            let Some(mut record) = judged(&self.balancers, key, stamp) else {
                return;
            };
            record.set_health(stamp.health);
            if self.balancers.merge(record, DurationMs(0), self.now) == Merge::Newer {
                // A record that waits to be told carries the judgement with it.
                self.updates.push(Item::BalancerHealth(key));
                self.report_balancer(key, out);
            }
            return;
        }
        let Some(mut record) = judged(&self.endpoints, key, stamp) else {
            return;
        };
        record.set_health(stamp.health);
        if self.endpoints.merge(record, DurationMs(0), self.now) == Merge::Newer {
            self.updates.push(Item::EndpointHealth(key));
            self.report_endpoint(key, out);
        }
    }

    /// Overrules a judgement about this process, or a record of an earlier run of it.
    fn refute(&mut self, stamp: Stamp, out: &mut Vec<GossipAction>) {
        let own = self.own.stamp;
        if stamp < own {
            return;
        }
        let is_judged = stamp.health != Health::Alive;
        if is_judged && stamp.incarnation == own.incarnation && stamp.revision == own.revision {
            self.own.stamp.revision += 1;
            self.counters.refutations += 1;
            self.worsen_local_health();
        } else {
            // A record that this run did not issue comes from an earlier one.
            self.own.stamp.incarnation = Incarnation(stamp.incarnation.get() + 1);
            self.own.stamp.revision = 1;
            out.push(GossipAction::IncarnationRaised(self.own.stamp.incarnation));
        }
        self.publish_own(out);
    }

    fn report_balancer(&mut self, key: u64, out: &mut Vec<GossipAction>) {
        let Some(record) = self.balancers.get(key) else {
            return;
        };
        out.push(GossipAction::MemberChanged(Member::Balancer(
            record.clone(),
        )));
    }

    fn report_endpoint(&mut self, key: u64, out: &mut Vec<GossipAction>) {
        let Some(record) = self.endpoints.get(key).cloned() else {
            return;
        };
        self.adjust_home(&record, out);
        out.push(GossipAction::MemberChanged(Member::Endpoint(record)));
    }

    fn expire(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.expire_at {
            return;
        }
        self.expire_at = self.now + EXPIRE_MS;
        self.balancers.expire(self.now);
        for (key, record) in self.endpoints.expire(self.now) {
            self.services.remove(record.service, record.id);
            out.push(GossipAction::EndpointForgotten(EndpointId(key)));
        }
    }

    /// Returns the live balancers other than this one.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &BalancerMember> {
        let own = self.own.id;
        self.balancers
            .records()
            .filter(move |balancer| balancer.id != own && balancer.is_live())
    }

    pub(crate) fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let peers: Vec<SocketAddr> = self.peers().map(|peer| peer.control_address).collect();
        peers
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect()
    }

    pub(crate) fn sources(&self) -> Sources<'_> {
        Sources {
            balancers: &self.balancers,
            endpoints: &self.endpoints,
            replica: &self.replica,
            now: self.now,
        }
    }

    /// Sends whole entries that the receiver is missing.
    pub(crate) fn send_catch_up(
        &self,
        to: SocketAddr,
        items: impl IntoIterator<Item = Item>,
        out: &mut Vec<GossipAction>,
    ) {
        for mut gossip in pack_all(items, &self.sources(), ANSWER_INLINE_BYTES) {
            gossip.is_catch_up = true;
            send(out, to, Body::Gossip(gossip));
        }
    }
}

/// Returns the record that a judgement concerns, when that is the state that is held.
fn judged<R: Record>(table: &Table<R>, key: u64, stamp: Stamp) -> Option<R> {
    let record = table.get(key)?;
    let held = record.stamp();
    let is_same = held.incarnation == stamp.incarnation && held.revision == stamp.revision;
    (is_same && held.health < stamp.health).then(|| record.clone())
}

pub(crate) fn send(out: &mut Vec<GossipAction>, to: SocketAddr, body: Body) {
    let message = ControlMessage { body: Some(body) };
    out.push(GossipAction::Send { to, message });
}
