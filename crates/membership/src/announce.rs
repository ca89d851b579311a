//! State machine by which an agent announces its endpoint to its home balancers.

use std::net::SocketAddr;
use std::sync::Arc;

use hawthorntide_configuration::{ApplyOutcome, Object, Replica, state_hash};
use hawthorntide_types::{
    DurationMs, EndpointId, FailureDomain, Incarnation, NodeId, Phase, ServiceId, SlotCount,
    TimeMs, Weight,
};
use hawthorntide_wire::control::{self, ControlMessage, control_message::Body};
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::MachineClock;
use crate::fetch::{self, Fetches};
use crate::gossip::Sender;
use crate::member::{
    BalancerMember, Endpoint, HOMES, Health, Record, Stamp, balancer_from_wire, endpoint_from_wire,
    endpoint_to_wire, node_tag,
};
use crate::rendezvous::choose;

/// Interval of heartbeats.
const HEARTBEAT_MS: DurationMs = DurationMs(1_000);
/// Interval at which a change is sent until it is acknowledged.
const RETRY_MS: DurationMs = DurationMs(200);
/// Shortest time between two heartbeats that answer requests of one balancer.
const REPLY_MS: DurationMs = DurationMs(20);
/// Silence of a home balancer after which every heartbeat asks for an acknowledgement.
const ASK_ACK_MS: DurationMs = DurationMs(2_500);
/// Silence of a home balancer after which another one is chosen. At 1 % loss, four lost exchanges
/// in a row are rarer than one in 10^6; a dead balancer is learned earlier from the other home.
const HOME_SILENT_MS: DurationMs = DurationMs(6_500);
/// Time for which a silent balancer is not chosen.
const AVOID_MS: DurationMs = DurationMs(10_000);
/// Time for which a better choice has to last before home balancers are changed for it; a restart
/// of many balancers would else move every agent twice.
const SETTLE_MS: DurationMs = DurationMs(30_000);
/// Pause after which the own membership counts as expired.
const LAPSE_MS: DurationMs = DurationMs(2_000);
/// Weights of a cold start; few steps, because each one is told to every balancer.
const RAMP: [Weight; 4] = [Weight(250), Weight(500), Weight(750), Weight::FULL];
/// Time between two weights of a cold start.
const RAMP_STEP_MS: DurationMs = DurationMs(5_000);
/// Balancers of the settings that are tried at the same time.
const SEED_TRIES: usize = 2;
/// Addresses of the settings that are kept.
const MAX_SEEDS: usize = 64;
/// Balancers or siblings accepted from one balancer.
const MAX_TOLD: usize = 16;
/// Balancers to which a departure or drain is sent at once.
const MAX_NOTIFIED: usize = 64;
/// Objects that an agent keeps; it needs its service and the profiles that it followed.
const MAX_OBJECTS: usize = 64;

/// What an agent announces about its endpoint at start.
#[derive(Clone, Debug)]
pub struct AgentIdentity {
    /// Incarnation of this run.
    pub incarnation: Incarnation,
    /// Service that the upstream serves.
    pub service: ServiceId,
    /// Address to which packets are forwarded.
    pub data_address: SocketAddr,
    /// Address of the control socket.
    pub control_address: SocketAddr,
    /// Slots of the upstream.
    pub slots: SlotCount,
    /// Where the agent runs.
    pub failure_domain: FailureDomain,
}

/// Input of an [`AnnounceMachine`].
#[derive(Clone, Debug)]
pub enum AnnounceEvent {
    /// Time passed; expected every 100 ms.
    Tick,
    /// A control message arrived.
    Message {
        /// Who sent it.
        from: Sender,
        /// What was sent.
        message: ControlMessage,
    },
    /// Control addresses of balancers that may be up.
    SeedPeers(Vec<SocketAddr>),
    /// The upstream is ready; new flows may come, few at first.
    Serve,
    /// The number of slots changed.
    Slots(SlotCount),
    /// Highest weight that the observed state of the upstream allows.
    WeightLimit(Weight),
    /// The endpoint takes no new work from now on.
    Drain {
        /// Data addresses of balancers that sent packets recently.
        recent_balancers: Vec<SocketAddr>,
    },
    /// The agent stops now.
    Leave,
}

/// Output of an [`AnnounceMachine`].
#[derive(Clone, Debug)]
pub enum AnnounceAction {
    /// Send a control message.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Message.
        message: ControlMessage,
    },
    /// The known siblings or balancers changed.
    PeersChanged,
    /// A newer version of an object of the own service is held.
    ConfigurationReceived(Arc<Object>),
    /// The own incarnation had to be raised; later messages are sealed with it.
    IncarnationRaised(Incarnation),
    /// Whether opening packets may be accepted changed.
    NewWorkAllowed(bool),
    /// The process did not run for longer than its membership lasts.
    Lapsed(DurationMs),
}

/// Balancer to which heartbeats go, and what it told.
#[derive(Clone, Debug)]
struct Source {
    node: NodeId,
    address: SocketAddr,
    is_home: bool,
    sent_at: Option<TimeMs>,
    heard_at: TimeMs,
    acked_revision: u32,
    peers_hash: u32,
    balancers: Vec<BalancerMember>,
    siblings: Vec<Endpoint>,
}

/// Announces one endpoint and learns siblings, balancers and configuration.
#[derive(Clone, Debug)]
pub struct AnnounceMachine {
    own: Endpoint,
    clock: MachineClock,
    now: TimeMs,
    rng: ChaCha8Rng,
    replica: Replica,
    fetches: Fetches,
    sources: Vec<Source>,
    seeds: Vec<SocketAddr>,
    avoided: Vec<(NodeId, TimeMs)>,
    better_since: Option<TimeMs>,
    seed_at: TimeMs,
    ramp_since: Option<TimeMs>,
    weight_limit: Weight,
    is_announced: bool,
    is_new_work_allowed: bool,
}

impl AnnounceMachine {
    /// Creates the machine of an agent; `seed` makes its random choices repeatable.
    pub fn new(identity: AgentIdentity, seed: u64) -> Self {
        let own = Endpoint {
            id: EndpointId::of_address(identity.data_address),
            stamp: Stamp {
                incarnation: identity.incarnation,
                revision: 1,
                health: Health::Alive,
            },
            service: identity.service,
            data_address: identity.data_address,
            control_address: identity.control_address,
            phase: Phase::Joining,
            weight: Weight::NONE,
            slots: identity.slots,
            failure_domain: identity.failure_domain,
            homes: Vec::new(),
        };
        Self {
            own,
            clock: MachineClock::default(),
            now: TimeMs(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            replica: Replica::default(),
            fetches: Fetches::default(),
            sources: Vec::new(),
            seeds: Vec::new(),
            avoided: Vec::new(),
            better_since: None,
            seed_at: TimeMs(0),
            ramp_since: None,
            weight_limit: Weight::FULL,
            is_announced: false,
            is_new_work_allowed: false,
        }
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: TimeMs, event: AnnounceEvent, out: &mut Vec<AnnounceAction>) {
        let (now, pause) = self.clock.advance(now);
        self.now = now;
        if let Some(pause) = pause {
            // Home balancers may be about to remove this endpoint: tell them until they confirm.
            for source in &mut self.sources {
                source.acked_revision = 0;
                source.sent_at = None;
            }
            if pause > LAPSE_MS {
                self.lapse(pause, out);
            }
        }
        match event {
            AnnounceEvent::Tick => self.tick(out),
            AnnounceEvent::Message { from, message } => self.receive(from, message, out),
            AnnounceEvent::SeedPeers(seeds) => self.add_seeds(seeds),
            AnnounceEvent::Serve => self.serve(out),
            AnnounceEvent::Slots(slots) => {
                if self.own.slots != slots {
                    self.own.slots = slots;
                    self.announce_change(out);
                }
            }
            AnnounceEvent::WeightLimit(limit) => {
                self.weight_limit = limit;
                self.adjust_weight(out);
            }
            AnnounceEvent::Drain { recent_balancers } => {
                self.change_phase(Phase::Draining, &recent_balancers, out);
            }
            AnnounceEvent::Leave => self.change_phase(Phase::Gone, &[], out),
        }
        self.report_new_work(out);
    }

    /// Returns the own record.
    pub fn own(&self) -> &Endpoint {
        &self.own
    }

    /// Returns whether opening packets may be accepted: the endpoint is serving, and a home
    /// balancer has acknowledged it since the last pause.
    pub fn allows_new_work(&self) -> bool {
        self.is_announced && self.own.phase == Phase::Serving
    }

    /// Returns whether a home balancer has acknowledged the endpoint since the last pause.
    pub const fn is_announced(&self) -> bool {
        self.is_announced
    }

    /// Returns the highest states known of the siblings, in ascending order of identifiers.
    pub fn siblings(&self) -> Vec<Endpoint> {
        merge_told(self.sources.iter().flat_map(|source| &source.siblings))
    }

    /// Returns the highest states known of some balancers, in ascending order of identifiers.
    pub fn balancers(&self) -> Vec<BalancerMember> {
        merge_told(self.sources.iter().flat_map(|source| &source.balancers))
    }

    /// Returns the control addresses of the home balancers.
    pub fn homes(&self) -> Vec<SocketAddr> {
        let homes = self.sources.iter().filter(|source| source.is_home);
        homes.map(|source| source.address).collect()
    }

    /// Returns the objects of the own service.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    fn lapse(&mut self, pause: DurationMs, out: &mut Vec<AnnounceAction>) {
        out.push(AnnounceAction::Lapsed(pause));
        self.is_announced = false;
        // The balancers may have removed this revision; a higher one overrules that.
        self.announce_change(out);
    }

    fn report_new_work(&mut self, out: &mut Vec<AnnounceAction>) {
        let is_allowed = self.allows_new_work();
        if self.is_new_work_allowed != is_allowed {
            self.is_new_work_allowed = is_allowed;
            out.push(AnnounceAction::NewWorkAllowed(is_allowed));
        }
    }

    fn add_seeds(&mut self, seeds: Vec<SocketAddr>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) && self.seeds.len() < MAX_SEEDS {
                self.seeds.push(seed);
            }
        }
    }

    fn tick(&mut self, out: &mut Vec<AnnounceAction>) {
        self.adjust_weight(out);
        self.avoid_silent_homes();
        self.choose_homes(out);
        self.try_seeds();
        for index in 0..self.sources.len() {
            let source = &self.sources[index];
            let is_acked = source.acked_revision == self.own.stamp.revision;
            let interval = if is_acked { HEARTBEAT_MS } else { RETRY_MS };
            let is_due = source
                .sent_at
                .is_none_or(|at| self.now.since(at) >= interval);
            if is_due {
                self.send_heartbeat(index, out);
            }
        }
        for (to, body) in self.fetches.requests(self.now) {
            send(out, to, body);
        }
    }

    fn serve(&mut self, out: &mut Vec<AnnounceAction>) {
        if self.own.phase != Phase::Joining {
            return;
        }
        self.own.phase = Phase::Serving;
        self.ramp_since = Some(self.now);
        self.own.weight = RAMP[0].min(self.weight_limit);
        self.announce_change(out);
    }

    fn adjust_weight(&mut self, out: &mut Vec<AnnounceAction>) {
        let Some(since) = self.ramp_since else {
            return;
        };
        if self.own.phase != Phase::Serving {
            return;
        }
        let step = (self.now.since(since).get() / RAMP_STEP_MS.get()) as usize;
        let ramp = RAMP.get(step).copied().unwrap_or(Weight::FULL);
        let weight = ramp.min(self.weight_limit);
        if weight != self.own.weight {
            self.own.weight = weight;
            self.announce_change(out);
        }
    }

    /// Drain and departure are told at once to everybody who may send new work.
    fn change_phase(
        &mut self,
        phase: Phase,
        recent_balancers: &[SocketAddr],
        out: &mut Vec<AnnounceAction>,
    ) {
        if self.own.phase >= phase {
            return;
        }
        self.own.phase = phase;
        self.announce_change(out);
        let heartbeat = self.heartbeat(0, 0);
        let known = self.balancers();
        let is_recent = |peer: &&BalancerMember| recent_balancers.contains(&peer.data_address);
        for peer in known.iter().filter(is_recent).take(MAX_NOTIFIED) {
            if !self.homes().contains(&peer.control_address) {
                send(
                    out,
                    peer.control_address,
                    Body::Heartbeat(heartbeat.clone()),
                );
            }
        }
        let gossip = control::Gossip {
            endpoints: vec![endpoint_to_wire(&self.own, 0)],
            ..control::Gossip::default()
        };
        for sibling in self.siblings() {
            send(out, sibling.control_address, Body::Gossip(gossip.clone()));
        }
    }

    /// Raises the revision and tells the home balancers at once.
    fn announce_change(&mut self, out: &mut Vec<AnnounceAction>) {
        self.own.stamp.revision += 1;
        self.send_heartbeats(out);
    }

    fn send_heartbeats(&mut self, out: &mut Vec<AnnounceAction>) {
        for index in 0..self.sources.len() {
            self.send_heartbeat(index, out);
        }
    }

    fn send_heartbeat(&mut self, index: usize, out: &mut Vec<AnnounceAction>) {
        let source = &self.sources[index];
        let (to, known) = (source.address, source.acked_revision);
        let is_missing = self.now.since(source.heard_at) >= ASK_ACK_MS;
        let mut heartbeat = self.heartbeat(known, source.peers_hash);
        heartbeat.wants_ack = is_missing;
        self.sources[index].sent_at = Some(self.now);
        send(out, to, Body::Heartbeat(heartbeat));
    }

    fn heartbeat(&self, acked_revision: u32, peers_hash: u32) -> control::Heartbeat {
        let is_acked = acked_revision == self.own.stamp.revision;
        let objects = self.replica.of_service(self.own.service);
        control::Heartbeat {
            endpoint: (!is_acked).then(|| endpoint_to_wire(&self.own, 0)),
            revision: self.own.stamp.revision,
            configuration_hash: configuration_hash(&objects),
            peers_hash,
            wants_ack: false,
        }
    }

    fn try_seeds(&mut self) {
        let homes = self.sources.iter().filter(|source| source.is_home).count();
        if homes > 0 {
            // What the home balancers told replaces what the first contacts told.
            let is_told = self
                .sources
                .iter()
                .any(|source| source.is_home && source.peers_hash != 0);
            if is_told {
                self.sources.retain(|source| source.is_home);
            }
            return;
        }
        if self.now < self.seed_at {
            return;
        }
        self.seed_at = self.now + HEARTBEAT_MS;
        let known = self.balancers();
        let mut candidates: Vec<SocketAddr> =
            known.iter().map(|peer| peer.control_address).collect();
        candidates.extend(&self.seeds);
        let chosen: Vec<SocketAddr> = candidates
            .choose_multiple(&mut self.rng, SEED_TRIES)
            .copied()
            .collect();
        let now = self.now;
        self.sources.retain(|source| {
            !source.balancers.is_empty() || now.since(source.heard_at) < HOME_SILENT_MS
        });
        for address in chosen {
            self.source_at(address);
        }
    }

    /// Returns the source at `address`, which is added if it is new.
    fn source_at(&mut self, address: SocketAddr) -> usize {
        let node = NodeId::of_address(address);
        if let Some(index) = self.sources.iter().position(|source| source.node == node) {
            return index;
        }
        self.sources.push(Source {
            node,
            address,
            is_home: false,
            sent_at: None,
            heard_at: self.now,
            acked_revision: 0,
            peers_hash: 0,
            balancers: Vec::new(),
            siblings: Vec::new(),
        });
        self.sources.len() - 1
    }

    fn avoid_silent_homes(&mut self) {
        let now = self.now;
        self.avoided.retain(|(_, until)| *until > now);
        for source in &mut self.sources {
            if source.is_home && now.since(source.heard_at) >= HOME_SILENT_MS {
                source.is_home = false;
                self.avoided.push((source.node, now + AVOID_MS));
            }
        }
    }

    fn choose_homes(&mut self, out: &mut Vec<AnnounceAction>) {
        let known = self.balancers();
        let is_avoided = |id: NodeId| self.avoided.iter().any(|(node, _)| *node == id);
        let candidates = known
            .iter()
            .filter(|peer| peer.is_home_candidate() && !is_avoided(peer.id));
        let desired: Vec<(NodeId, SocketAddr)> = choose(self.own.id, candidates, HOMES)
            .into_iter()
            .map(|peer| (peer.id, peer.control_address))
            .collect();
        let current: Vec<NodeId> = self
            .sources
            .iter()
            .filter(|source| source.is_home)
            .map(|source| source.node)
            .collect();
        let is_same = desired.len() == current.len()
            && desired.iter().all(|(node, _)| current.contains(node));
        if desired.is_empty() || is_same {
            self.better_since = None;
            return;
        }
        let is_usable = |node: &NodeId| {
            let is_candidate = |peer: &BalancerMember| peer.id == *node && peer.is_home_candidate();
            known.iter().any(is_candidate)
        };
        let is_urgent = current.len() < desired.len() || !current.iter().all(is_usable);
        let since = *self.better_since.get_or_insert(self.now);
        if !is_urgent && self.now.since(since) < SETTLE_MS {
            return;
        }
        self.better_since = None;
        self.change_homes(&desired, out);
    }

    fn change_homes(&mut self, desired: &[(NodeId, SocketAddr)], out: &mut Vec<AnnounceAction>) {
        for source in &mut self.sources {
            source.is_home = false;
        }
        for (_, address) in desired {
            let index = self.source_at(*address);
            let now = self.now;
            let source = &mut self.sources[index];
            source.is_home = true;
            source.heard_at = now;
        }
        self.own.homes = desired.iter().map(|(node, _)| node_tag(*node)).collect();
        self.announce_change(out);
    }

    fn receive(&mut self, from: Sender, message: ControlMessage, out: &mut Vec<AnnounceAction>) {
        match message.body {
            Some(Body::HeartbeatAck(ack)) => self.take_ack(from, ack, out),
            Some(Body::Gossip(gossip)) => self.take_gossip(from, gossip, out),
            Some(Body::Chunk(chunk)) => {
                if let Some(object) = self.fetches.chunk(&chunk) {
                    self.apply_object(object, out);
                }
                for (to, body) in self.fetches.requests(self.now) {
                    send(out, to, body);
                }
            }
            _ => {}
        }
    }

    fn take_ack(
        &mut self,
        from: Sender,
        ack: control::HeartbeatAck,
        out: &mut Vec<AnnounceAction>,
    ) {
        if ack.newer_incarnation > self.own.stamp.incarnation.get() {
            self.raise_incarnation(Incarnation(ack.newer_incarnation + 1), out);
            return;
        }
        if ack.wants_refutation && ack.revision >= self.own.stamp.revision {
            self.own.stamp.revision = ack.revision;
            self.announce_change(out);
            return;
        }
        for object in ack.objects {
            self.take_object(from, object, out);
        }
        let Some(index) = self
            .sources
            .iter()
            .position(|source| source.node == from.node)
        else {
            if ack.wants_record {
                let heartbeat = self.heartbeat(0, 0);
                send(out, from.address, Body::Heartbeat(heartbeat));
            }
            return;
        };
        let now = self.now;
        let source = &mut self.sources[index];
        source.heard_at = now;
        if ack.wants_record {
            source.acked_revision = 0;
            let is_due = source.sent_at.is_none_or(|at| now.since(at) >= REPLY_MS);
            if is_due {
                self.send_heartbeat(index, out);
            }
            return;
        }
        if ack.revision == self.own.stamp.revision {
            source.acked_revision = ack.revision;
            self.is_announced |= source.is_home;
        }
        if ack.peers_hash != 0 {
            source.peers_hash = ack.peers_hash;
            let balancers = ack.balancers.iter().take(MAX_TOLD);
            source.balancers = balancers.filter_map(balancer_from_wire).collect();
            let siblings = ack.siblings.iter().take(MAX_TOLD);
            source.siblings = siblings.filter_map(endpoint_from_wire).collect();
            out.push(AnnounceAction::PeersChanged);
            self.choose_homes(out);
        }
    }

    fn take_gossip(
        &mut self,
        from: Sender,
        gossip: control::Gossip,
        out: &mut Vec<AnnounceAction>,
    ) {
        for record in gossip.endpoints.iter().take(MAX_TOLD) {
            if let Some(endpoint) = endpoint_from_wire(record) {
                self.take_endpoint(endpoint, out);
            }
        }
        for object in gossip.objects {
            self.take_object(from, object, out);
        }
    }

    fn take_endpoint(&mut self, endpoint: Endpoint, out: &mut Vec<AnnounceAction>) {
        if endpoint.id == self.own.id {
            if endpoint.stamp.incarnation > self.own.stamp.incarnation {
                let raised = Incarnation(endpoint.stamp.incarnation.get() + 1);
                self.raise_incarnation(raised, out);
            }
            return;
        }
        let mut is_changed = false;
        for sibling in self
            .sources
            .iter_mut()
            .flat_map(|source| &mut source.siblings)
        {
            if sibling.id == endpoint.id && sibling.stamp < endpoint.stamp {
                *sibling = endpoint.clone();
                is_changed = true;
            }
        }
        if is_changed {
            out.push(AnnounceAction::PeersChanged);
        }
    }

    fn raise_incarnation(&mut self, incarnation: Incarnation, out: &mut Vec<AnnounceAction>) {
        self.own.stamp.incarnation = incarnation;
        self.own.stamp.revision = 0;
        out.push(AnnounceAction::IncarnationRaised(incarnation));
        for source in &mut self.sources {
            source.acked_revision = 0;
        }
        self.announce_change(out);
    }

    fn take_object(
        &mut self,
        from: Sender,
        object: control::ConfigurationObject,
        out: &mut Vec<AnnounceAction>,
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

    fn apply_object(&mut self, object: Object, out: &mut Vec<AnnounceAction>) {
        if self.replica.objects().count() >= MAX_OBJECTS {
            // Only the current objects of the own service are needed.
            let needed = self.replica.of_service(self.own.service);
            self.replica = Replica::default();
            for held in needed {
                self.replica.apply(Object::clone(&held));
            }
        }
        let key = object.key();
        self.fetches.forget(&object.kind, &object.name);
        if self.replica.apply(object) != ApplyOutcome::Applied {
            return;
        }
        if let Some(object) = self.replica.by_key(key) {
            out.push(AnnounceAction::ConfigurationReceived(Arc::clone(object)));
        }
    }
}

/// Returns the hash over the versions of the objects of one service.
pub(crate) fn configuration_hash(objects: &[Arc<Object>]) -> u32 {
    let hashes = objects.iter().map(|object| state_hash(object) as u32);
    hashes.fold(0, |a, b| a ^ b)
}

/// Returns the highest state of each member, in ascending order of keys.
fn merge_told<'a, R: Record + 'a>(told: impl Iterator<Item = &'a R>) -> Vec<R> {
    let mut merged: Vec<R> = Vec::new();
    for record in told {
        match merged.binary_search_by_key(&record.key(), Record::key) {
            Ok(index) => {
                if merged[index].compare(record).is_lt() {
                    merged[index] = record.clone();
                }
            }
            Err(index) => merged.insert(index, record.clone()),
        }
    }
    merged
}

fn send(out: &mut Vec<AnnounceAction>, to: SocketAddr, body: Body) {
    let message = ControlMessage { body: Some(body) };
    out.push(AnnounceAction::Send { to, message });
}
