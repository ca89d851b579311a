//! State machine of an agent: announces its endpoint to its home balancers by heartbeats.

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
    BalancerMember, Endpoint, HOMES_PER_AGENT, Health, Record, Stamp, balancer_from_wire,
    endpoint_from_wire, endpoint_to_wire, node_tag,
};
use crate::rendezvous::choose;

const HEARTBEAT_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// Interval of heartbeats while a change is not acknowledged.
const RETRY_INTERVAL_MS: DurationMs = DurationMs(200);
/// Minimum interval between heartbeats that balancers request.
const MIN_REPLY_INTERVAL_MS: DurationMs = DurationMs(20);
/// Every heartbeat requests an acknowledgement after none was received for this long.
const ACK_REQUEST_DELAY_MS: DurationMs = DurationMs(2_500);
/// A home balancer is replaced after it acknowledges no heartbeat for this long. At 1 % packet
/// loss, four failed exchanges in a row have a probability below 10^-6. The other home balancer
/// reports a dead balancer earlier.
const HOME_TIMEOUT_MS: DurationMs = DurationMs(6_500);
/// An unresponsive balancer is not chosen as home balancer again for this long.
const AVOIDANCE_MS: DurationMs = DurationMs(10_000);
/// Working home balancers are replaced only after other balancers rank higher for this long.
/// Without the delay, a restart of many balancers would move every agent twice.
const REHOME_DELAY_MS: DurationMs = DurationMs(30_000);
/// After a pause longer than this, the process must assume that it was removed.
const MEMBERSHIP_EXPIRY_MS: DurationMs = DurationMs(2_000);
/// Weights during slow start. There are only a few steps because each change is sent to every
/// balancer.
const SLOW_START_WEIGHTS: [Weight; 4] = [Weight(250), Weight(500), Weight(750), Weight::FULL];
/// Duration of each slow-start step.
const SLOW_START_STEP_MS: DurationMs = DurationMs(5_000);
/// Balancers that are contacted at the same time while there is no home balancer.
const SEEDS_PER_ATTEMPT: usize = 2;
/// Limit on seeds.
const MAX_SEEDS: usize = 64;
/// Limit on the balancers, and on the siblings, that are accepted from one message.
const MAX_PEERS_PER_MESSAGE: usize = 16;
/// Balancers that are notified directly of a drain or departure.
const MAX_NOTIFIED: usize = 64;
/// Limit on configuration objects; an agent needs its service and the profiles that it has
/// followed.
const MAX_OBJECTS: usize = 64;

/// Initial record of an agent's endpoint.
#[derive(Clone, Debug)]
pub struct AgentIdentity {
    pub incarnation: Incarnation,
    pub service: ServiceId,
    /// Address to which packets are forwarded.
    pub data_address: SocketAddr,
    /// Address of the control socket.
    pub control_address: SocketAddr,
    /// Slots of the upstream.
    pub slots: SlotCount,
    pub failure_domain: FailureDomain,
}

/// Input event of an [`AnnounceMachine`].
#[derive(Clone, Debug)]
pub enum AnnounceEvent {
    /// Timer; expected every 100 ms or more often.
    Tick,
    /// A control message arrived.
    Message {
        from: Sender,
        message: ControlMessage,
    },
    /// Control addresses at which balancers may run.
    SeedPeers(Vec<SocketAddr>),
    /// The upstream is ready: the endpoint accepts new flows, with slow start.
    Serve,
    /// The number of slots of the upstream changed.
    Slots(SlotCount),
    /// Highest weight that the observed health of the upstream allows.
    WeightLimit(Weight),
    /// The endpoint accepts no new work from now on.
    Drain {
        /// Data addresses of balancers that sent packets recently.
        recent_balancers: Vec<SocketAddr>,
    },
    /// The agent stops now.
    Leave,
}

/// Output action of an [`AnnounceMachine`].
#[derive(Clone, Debug)]
pub enum AnnounceAction {
    /// Send a control message.
    Send {
        to: SocketAddr,
        message: ControlMessage,
    },
    /// The known siblings or balancers changed.
    PeersChanged,
    /// A newer version of an object of the local service was received.
    ConfigurationReceived(Arc<Object>),
    /// The local incarnation was raised; later messages must be sealed with it.
    IncarnationRaised(Incarnation),
    /// [`AnnounceMachine::allows_new_work`] changed to this value.
    NewWorkAllowed(bool),
    /// The process was paused for this long, so its membership may have expired.
    MembershipExpired(DurationMs),
}

/// Balancer that receives heartbeats, with the peers that it reported.
#[derive(Clone, Debug)]
struct HeartbeatTarget {
    node: NodeId,
    address: SocketAddr,
    is_home: bool,
    last_sent_at: Option<TimeMs>,
    last_ack_at: TimeMs,
    acked_revision: u32,
    peers_hash: u32,
    balancers: Vec<BalancerMember>,
    siblings: Vec<Endpoint>,
}

/// Announces one endpoint; receives siblings, balancers and configuration in return. Siblings are
/// the other endpoints of the same service.
#[derive(Clone, Debug)]
pub struct AnnounceMachine {
    local: Endpoint,
    clock: MachineClock,
    now: TimeMs,
    rng: ChaCha8Rng,
    replica: Replica,
    fetches: Fetches,
    targets: Vec<HeartbeatTarget>,
    seeds: Vec<SocketAddr>,
    /// Unresponsive balancers, each with the time until which it is avoided.
    avoided: Vec<(NodeId, TimeMs)>,
    rehome_wanted_since: Option<TimeMs>,
    next_seed_attempt_at: TimeMs,
    slow_start_since: Option<TimeMs>,
    weight_limit: Weight,
    is_announced: bool,
    is_new_work_allowed: bool,
}

impl AnnounceMachine {
    /// Creates the machine; `seed` makes its random choices reproducible.
    pub fn new(identity: AgentIdentity, seed: u64) -> Self {
        let local = Endpoint {
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
            local,
            clock: MachineClock::default(),
            now: TimeMs(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            replica: Replica::default(),
            fetches: Fetches::default(),
            targets: Vec::new(),
            seeds: Vec::new(),
            avoided: Vec::new(),
            rehome_wanted_since: None,
            next_seed_attempt_at: TimeMs(0),
            slow_start_since: None,
            weight_limit: Weight::FULL,
            is_announced: false,
            is_new_work_allowed: false,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: TimeMs, event: AnnounceEvent, out: &mut Vec<AnnounceAction>) {
        let (now, pause) = self.clock.advance(now);
        self.now = now;
        if let Some(pause) = pause {
            // Home balancers may be about to remove this endpoint: send the full record to them
            // until they acknowledge it.
            for target in &mut self.targets {
                target.acked_revision = 0;
                target.last_sent_at = None;
            }
            if pause > MEMBERSHIP_EXPIRY_MS {
                self.expire_membership(pause, out);
            }
        }
        match event {
            AnnounceEvent::Tick => self.tick(out),
            AnnounceEvent::Message { from, message } => self.receive(from, message, out),
            AnnounceEvent::SeedPeers(seeds) => self.add_seeds(seeds),
            AnnounceEvent::Serve => self.serve(out),
            AnnounceEvent::Slots(slots) => {
                if self.local.slots != slots {
                    self.local.slots = slots;
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
        self.update_new_work_permission(out);
    }

    /// Returns the record that this process announces.
    pub fn local(&self) -> &Endpoint {
        &self.local
    }

    /// Returns whether packets that open flows may be accepted: the endpoint is serving, and a home
    /// balancer has acknowledged it since the membership last expired.
    pub fn allows_new_work(&self) -> bool {
        self.is_announced && self.local.phase == Phase::Serving
    }

    /// Returns whether a home balancer has acknowledged the endpoint since the membership last
    /// expired.
    pub const fn is_announced(&self) -> bool {
        self.is_announced
    }

    /// Returns the newest known records of the siblings, sorted by identifier.
    pub fn siblings(&self) -> Vec<Endpoint> {
        merge_records(self.targets.iter().flat_map(|target| &target.siblings))
    }

    /// Returns the newest known records of some balancers, sorted by identifier.
    pub fn balancers(&self) -> Vec<BalancerMember> {
        merge_records(self.targets.iter().flat_map(|target| &target.balancers))
    }

    /// Returns the control addresses of the home balancers, see [`HOMES_PER_AGENT`].
    pub fn homes(&self) -> Vec<SocketAddr> {
        let homes = self.targets.iter().filter(|target| target.is_home);
        homes.map(|target| target.address).collect()
    }

    /// Returns the configuration objects of the local service.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    fn expire_membership(&mut self, pause: DurationMs, out: &mut Vec<AnnounceAction>) {
        out.push(AnnounceAction::MembershipExpired(pause));
        self.is_announced = false;
        // The balancers may have removed this revision; a higher one refutes the removal.
        self.announce_change(out);
    }

    fn update_new_work_permission(&mut self, out: &mut Vec<AnnounceAction>) {
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
        self.avoid_unresponsive_homes();
        self.choose_homes(out);
        self.contact_seeds();
        for index in 0..self.targets.len() {
            let target = &self.targets[index];
            let is_acked = target.acked_revision == self.local.stamp.revision;
            let interval = if is_acked {
                HEARTBEAT_INTERVAL_MS
            } else {
                RETRY_INTERVAL_MS
            };
            let is_due = target
                .last_sent_at
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
        if self.local.phase != Phase::Joining {
            return;
        }
        self.local.phase = Phase::Serving;
        self.slow_start_since = Some(self.now);
        self.local.weight = SLOW_START_WEIGHTS[0].min(self.weight_limit);
        self.announce_change(out);
    }

    fn adjust_weight(&mut self, out: &mut Vec<AnnounceAction>) {
        let Some(since) = self.slow_start_since else {
            return;
        };
        if self.local.phase != Phase::Serving {
            return;
        }
        let step = (self.now.since(since).get() / SLOW_START_STEP_MS.get()) as usize;
        let slow_start_weight = SLOW_START_WEIGHTS
            .get(step)
            .copied()
            .unwrap_or(Weight::FULL);
        let weight = slow_start_weight.min(self.weight_limit);
        if weight != self.local.weight {
            self.local.weight = weight;
            self.announce_change(out);
        }
    }

    /// Announces a drain or departure at once to all known senders of new work.
    fn change_phase(
        &mut self,
        phase: Phase,
        recent_balancers: &[SocketAddr],
        out: &mut Vec<AnnounceAction>,
    ) {
        if self.local.phase >= phase {
            return;
        }
        self.local.phase = phase;
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
            endpoints: vec![endpoint_to_wire(&self.local, 0)],
            ..control::Gossip::default()
        };
        for sibling in self.siblings() {
            send(out, sibling.control_address, Body::Gossip(gossip.clone()));
        }
    }

    /// Increments the revision and sends heartbeats at once.
    fn announce_change(&mut self, out: &mut Vec<AnnounceAction>) {
        self.local.stamp.revision += 1;
        self.send_heartbeats(out);
    }

    fn send_heartbeats(&mut self, out: &mut Vec<AnnounceAction>) {
        for index in 0..self.targets.len() {
            self.send_heartbeat(index, out);
        }
    }

    fn send_heartbeat(&mut self, index: usize, out: &mut Vec<AnnounceAction>) {
        let target = &self.targets[index];
        let (to, acked_revision) = (target.address, target.acked_revision);
        let is_ack_overdue = self.now.since(target.last_ack_at) >= ACK_REQUEST_DELAY_MS;
        let mut heartbeat = self.heartbeat(acked_revision, target.peers_hash);
        heartbeat.wants_ack = is_ack_overdue;
        self.targets[index].last_sent_at = Some(self.now);
        send(out, to, Body::Heartbeat(heartbeat));
    }

    fn heartbeat(&self, acked_revision: u32, peers_hash: u32) -> control::Heartbeat {
        let is_acked = acked_revision == self.local.stamp.revision;
        let objects = self.replica.of_service(self.local.service);
        control::Heartbeat {
            endpoint: (!is_acked).then(|| endpoint_to_wire(&self.local, 0)),
            revision: self.local.stamp.revision,
            configuration_hash: configuration_hash(&objects),
            peers_hash,
            wants_ack: false,
        }
    }

    fn contact_seeds(&mut self) {
        let homes = self.targets.iter().filter(|target| target.is_home).count();
        if homes > 0 {
            // Once a home balancer has reported peers, the reports of the first contacts are
            // obsolete.
            let has_peers = self
                .targets
                .iter()
                .any(|target| target.is_home && target.peers_hash != 0);
            if has_peers {
                self.targets.retain(|target| target.is_home);
            }
            return;
        }
        if self.now < self.next_seed_attempt_at {
            return;
        }
        self.next_seed_attempt_at = self.now + HEARTBEAT_INTERVAL_MS;
        let known = self.balancers();
        let mut candidates: Vec<SocketAddr> =
            known.iter().map(|peer| peer.control_address).collect();
        candidates.extend(&self.seeds);
        let chosen: Vec<SocketAddr> = candidates
            .choose_multiple(&mut self.rng, SEEDS_PER_ATTEMPT)
            .copied()
            .collect();
        let now = self.now;
        self.targets.retain(|target| {
            !target.balancers.is_empty() || now.since(target.last_ack_at) < HOME_TIMEOUT_MS
        });
        for address in chosen {
            self.target_index(address);
        }
    }

    /// Returns the index of the target at `address`, which is added if it is new.
    fn target_index(&mut self, address: SocketAddr) -> usize {
        let node = NodeId::of_address(address);
        if let Some(index) = self.targets.iter().position(|target| target.node == node) {
            return index;
        }
        self.targets.push(HeartbeatTarget {
            node,
            address,
            is_home: false,
            last_sent_at: None,
            last_ack_at: self.now,
            acked_revision: 0,
            peers_hash: 0,
            balancers: Vec::new(),
            siblings: Vec::new(),
        });
        self.targets.len() - 1
    }

    fn avoid_unresponsive_homes(&mut self) {
        let now = self.now;
        self.avoided.retain(|(_, until)| *until > now);
        for target in &mut self.targets {
            if target.is_home && now.since(target.last_ack_at) >= HOME_TIMEOUT_MS {
                target.is_home = false;
                self.avoided.push((target.node, now + AVOIDANCE_MS));
            }
        }
    }

    fn choose_homes(&mut self, out: &mut Vec<AnnounceAction>) {
        let known = self.balancers();
        let is_avoided = |id: NodeId| self.avoided.iter().any(|(node, _)| *node == id);
        let candidates = known
            .iter()
            .filter(|peer| peer.is_home_candidate() && !is_avoided(peer.id));
        let desired: Vec<(NodeId, SocketAddr)> = choose(self.local.id, candidates, HOMES_PER_AGENT)
            .into_iter()
            .map(|peer| (peer.id, peer.control_address))
            .collect();
        let current: Vec<NodeId> = self
            .targets
            .iter()
            .filter(|target| target.is_home)
            .map(|target| target.node)
            .collect();
        let is_same = desired.len() == current.len()
            && desired.iter().all(|(node, _)| current.contains(node));
        if desired.is_empty() || is_same {
            self.rehome_wanted_since = None;
            return;
        }
        let is_usable = |node: &NodeId| {
            let is_candidate = |peer: &BalancerMember| peer.id == *node && peer.is_home_candidate();
            known.iter().any(is_candidate)
        };
        let is_urgent = current.len() < desired.len() || !current.iter().all(is_usable);
        let since = *self.rehome_wanted_since.get_or_insert(self.now);
        if !is_urgent && self.now.since(since) < REHOME_DELAY_MS {
            return;
        }
        self.rehome_wanted_since = None;
        self.change_homes(&desired, out);
    }

    fn change_homes(&mut self, desired: &[(NodeId, SocketAddr)], out: &mut Vec<AnnounceAction>) {
        for target in &mut self.targets {
            target.is_home = false;
        }
        for (_, address) in desired {
            let index = self.target_index(*address);
            let now = self.now;
            let target = &mut self.targets[index];
            target.is_home = true;
            target.last_ack_at = now;
        }
        self.local.homes = desired.iter().map(|(node, _)| node_tag(*node)).collect();
        self.announce_change(out);
    }

    fn receive(&mut self, from: Sender, message: ControlMessage, out: &mut Vec<AnnounceAction>) {
        match message.body {
            Some(Body::HeartbeatAck(ack)) => self.handle_heartbeat_ack(from, ack, out),
            Some(Body::Gossip(gossip)) => self.handle_gossip(from, gossip, out),
            Some(Body::Chunk(chunk)) => {
                if let Some(object) = self.fetches.handle_chunk(&chunk) {
                    self.apply_object(object, out);
                }
                for (to, body) in self.fetches.requests(self.now) {
                    send(out, to, body);
                }
            }
            _ => {}
        }
    }

    fn handle_heartbeat_ack(
        &mut self,
        from: Sender,
        ack: control::HeartbeatAck,
        out: &mut Vec<AnnounceAction>,
    ) {
        if ack.newer_incarnation > self.local.stamp.incarnation.get() {
            self.raise_incarnation(Incarnation(ack.newer_incarnation).next(), out);
            return;
        }
        if ack.wants_refutation && ack.revision >= self.local.stamp.revision {
            self.local.stamp.revision = ack.revision;
            self.announce_change(out);
            return;
        }
        for object in ack.objects {
            self.handle_object(from, object, out);
        }
        let Some(index) = self
            .targets
            .iter()
            .position(|target| target.node == from.node)
        else {
            if ack.wants_record {
                let heartbeat = self.heartbeat(0, 0);
                send(out, from.address, Body::Heartbeat(heartbeat));
            }
            return;
        };
        let now = self.now;
        let target = &mut self.targets[index];
        target.last_ack_at = now;
        if ack.wants_record {
            target.acked_revision = 0;
            let is_due = target
                .last_sent_at
                .is_none_or(|at| now.since(at) >= MIN_REPLY_INTERVAL_MS);
            if is_due {
                self.send_heartbeat(index, out);
            }
            return;
        }
        if ack.revision == self.local.stamp.revision {
            target.acked_revision = ack.revision;
            self.is_announced |= target.is_home;
        }
        if ack.peers_hash != 0 {
            target.peers_hash = ack.peers_hash;
            let balancers = ack.balancers.iter().take(MAX_PEERS_PER_MESSAGE);
            target.balancers = balancers.filter_map(balancer_from_wire).collect();
            let siblings = ack.siblings.iter().take(MAX_PEERS_PER_MESSAGE);
            target.siblings = siblings.filter_map(endpoint_from_wire).collect();
            out.push(AnnounceAction::PeersChanged);
            self.choose_homes(out);
        }
    }

    fn handle_gossip(
        &mut self,
        from: Sender,
        gossip: control::Gossip,
        out: &mut Vec<AnnounceAction>,
    ) {
        for record in gossip.endpoints.iter().take(MAX_PEERS_PER_MESSAGE) {
            if let Some(endpoint) = endpoint_from_wire(record) {
                self.handle_endpoint(endpoint, out);
            }
        }
        for object in gossip.objects {
            self.handle_object(from, object, out);
        }
    }

    fn handle_endpoint(&mut self, endpoint: Endpoint, out: &mut Vec<AnnounceAction>) {
        if endpoint.id == self.local.id {
            if endpoint.stamp.incarnation > self.local.stamp.incarnation {
                let raised = endpoint.stamp.incarnation.next();
                self.raise_incarnation(raised, out);
            }
            return;
        }
        let mut is_changed = false;
        for sibling in self
            .targets
            .iter_mut()
            .flat_map(|target| &mut target.siblings)
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
        self.local.stamp.incarnation = incarnation;
        self.local.stamp.revision = 0;
        out.push(AnnounceAction::IncarnationRaised(incarnation));
        for target in &mut self.targets {
            target.acked_revision = 0;
        }
        self.announce_change(out);
    }

    fn handle_object(
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
        self.fetches.enqueue(&object, from.address);
        for (to, body) in self.fetches.requests(self.now) {
            send(out, to, body);
        }
    }

    fn apply_object(&mut self, object: Object, out: &mut Vec<AnnounceAction>) {
        if self.replica.objects().count() >= MAX_OBJECTS {
            // Only the current objects of the local service are needed.
            let needed = self.replica.of_service(self.local.service);
            self.replica = Replica::default();
            for held in needed {
                self.replica.apply(Object::clone(&held));
            }
        }
        let key = object.key();
        self.fetches.cancel(&object.kind, &object.name);
        if self.replica.apply(object) != ApplyOutcome::Applied {
            return;
        }
        if let Some(object) = self.replica.by_key(key) {
            out.push(AnnounceAction::ConfigurationReceived(Arc::clone(object)));
        }
    }
}

/// Returns a hash over the objects of one service and their versions.
pub(crate) fn configuration_hash(objects: &[Arc<Object>]) -> u32 {
    let hashes = objects.iter().map(|object| state_hash(object) as u32);
    hashes.fold(0, |a, b| a ^ b)
}

/// Returns the newest record of each member, sorted by key.
fn merge_records<'a, R: Record + 'a>(records: impl Iterator<Item = &'a R>) -> Vec<R> {
    let mut merged: Vec<R> = Vec::new();
    for record in records {
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
