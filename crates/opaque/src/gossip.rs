//! Gossip of peer records, and detection of unreachable peers.
//!
//! Failure detection follows SWIM (Das, Gupta, Motivala 2002): in each round a process probes a few
//! peers, in turn. Probes and acknowledgements piggyback recent updates. A peer that leaves a probe
//! unanswered is suspected and probed again; the process names it as suspected in its next messages,
//! and the receivers probe it too or confirm that they reached it. Unlike in SWIM, each process
//! decides on its own which peers are unreachable. The number of messages that a process sends in a
//! round does not depend on the size of the deployment.
//!
//! A new process learns of its peers from the directory in the platform store. A directory entry is
//! written once per incarnation and does not prove that the peer is alive.

use std::net::SocketAddr;

use hawthorntide_types::{DurationMs, TimeMs};
use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::evacuation::Evacuations;
use crate::message::{Gossip, PeerMessage, PeerUpdate, ReplyKind};
use crate::peer::{Peer, PeerRole};
use crate::view::{MergeOutcome, PeerEntry, PeerView, SuspicionOutcome};

/// Time between two rounds.
pub const GOSSIP_INTERVAL_MS: DurationMs = DurationMs(250);

/// Peers that are probed in turn in each round.
const PROBES_PER_ROUND: usize = 3;

/// Suspected or unconfirmed peers that are probed in addition in each round. A new process probes
/// every peer in the directory, so this limits its traffic in the first second.
const MAX_EXTRA_PROBES: usize = 128;

/// Balancers that are notified of a local state change at once; the others get it by gossip.
const MAX_NOTIFIED_BALANCERS: usize = 64;

/// Processes that an agent notifies of its planned stop at once.
const MAX_NOTIFIED_OF_STOP: usize = 256;

/// Time over which a process counts the peers that sent it a message. In it, a process normally gets
/// answers to twelve probes and as many probes of others.
const CONTACT_WINDOW_MS: DurationMs = DurationMs(1_000);

/// Peers from which a process of a large deployment hears within `CONTACT_WINDOW_MS` at least.
const EXPECTED_CONTACTS: usize = 18;

/// A process is cut off when it hears from less than one in this many of the expected peers. The
/// limit is above zero because processes that are cut off together may still reach each other.
const ISOLATED_DIVISOR: usize = 6;

/// A process that was cut off has recovered when it hears from one in this many of the expected
/// peers.
const RECOVERED_DIVISOR: usize = 3;

/// After this time, a process takes silent peers for dead although it is cut off: they may have been
/// replaced meanwhile.
const MAX_ISOLATION_MS: DurationMs = DurationMs(30_000);

/// Silence of fewer peers than this does not show that the local process is cut off: they may have
/// terminated.
const MIN_SILENT_PEERS: usize = 3;

/// Updates in a message, so that messages stay small when many peers change.
const MAX_UPDATES: usize = 8;

/// Records chosen at random that a message carries besides updates; they repair missed updates.
const RANDOM_RECORDS: usize = 1;

/// Limit on the records in a full view, which then takes about two kilobytes.
const MAX_FULL_VIEW: usize = 48;

/// Suspected peers that a message names.
const MAX_SUSPECTED: usize = 8;

/// Input event of the state machine.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// Next round, every `GOSSIP_INTERVAL_MS`.
    Round,
    /// Gossip message of another process.
    Message { from: SocketAddr, gossip: Gossip },
    /// Entries of the directory in the platform store.
    Directory(Vec<Peer>),
    /// Addresses to contact while no other peer is reachable.
    Seeds(Vec<SocketAddr>),
    /// The role or state of the local process changed.
    LocalRoleChanged(PeerRole),
    /// The platform store listed the evacuated failure domains.
    EvacuationsRead(Evacuations),
}

/// Output action of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipAction {
    Send {
        to: SocketAddr,
        message: PeerMessage,
    },
    /// A peer is new, reachable again, or its state changed.
    PeerChanged(Peer),
    /// A peer left its probes unanswered and no other process reported it alive.
    PeerUnreachable(SocketAddr),
    /// The local process was cut off from all others, or hears from them again.
    IsolationChanged { is_isolated: bool },
    /// Failure domains were evacuated, or an evacuation ended.
    EvacuationsChanged(Evacuations),
}

/// Peer records that a message carries besides that of its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// Recent updates.
    Updates,
    /// Up to `MAX_FULL_VIEW` records.
    FullView,
}

/// Whether the network of the local VM works, judged by the peers that are in contact.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Connectivity {
    /// The process has not heard from enough peers yet.
    Starting,
    Connected,
    /// Most peers fell silent at once.
    Isolated {
        since: TimeMs,
    },
}

/// State machine of gossip and failure detection.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    local_peer: Peer,
    view: PeerView,
    seeds: Vec<SocketAddr>,
    connectivity: Connectivity,
    /// Peers that were unreachable in the last round.
    unreachable: Vec<SocketAddr>,
    /// Peers that are probed in the next rounds, last one first.
    probe_queue: Vec<SocketAddr>,
    random: ChaCha8Rng,
}

impl GossipMachine {
    pub fn new(local_peer: Peer, seed: u64) -> Self {
        let mut view = PeerView::default();
        view.merge(
            TimeMs::default(),
            local_peer.clone(),
            Some(TimeMs::default()),
        );
        Self {
            local_peer,
            view,
            seeds: Vec::new(),
            connectivity: Connectivity::Starting,
            unreachable: Vec::new(),
            probe_queue: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the records of all known peers, including the local one.
    pub const fn view(&self) -> &PeerView {
        &self.view
    }

    /// Returns the record that describes the local process to others.
    pub const fn local_peer(&self) -> &Peer {
        &self.local_peer
    }

    /// Returns whether most peers fell silent at once: the fault is then most likely in the network of
    /// the local VM.
    pub const fn is_isolated(&self) -> bool {
        matches!(self.connectivity, Connectivity::Isolated { .. })
    }

    pub fn handle(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<GossipAction>) {
        match event {
            GossipEvent::Round => self.run_round(now, out),
            GossipEvent::Message { from, gossip } => self.handle_message(now, from, gossip, out),
            GossipEvent::Directory(peers) => {
                for peer in peers {
                    self.merge(now, peer.directory_entry(), None, out);
                }
                self.send_extra_probes(now, out);
            }
            GossipEvent::Seeds(seeds) => self.seeds = seeds,
            GossipEvent::LocalRoleChanged(role) => self.update_local_role(now, role, out),
            GossipEvent::EvacuationsRead(evacuations) => {
                if self.merge_evacuations(evacuations, out) {
                    self.spread_evacuations(now, out);
                }
            }
        }
    }

    fn handle_message(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        gossip: Gossip,
        out: &mut Vec<GossipAction>,
    ) {
        let sender_incarnation = gossip.sender.incarnation;
        if let Some(evacuations) = gossip.evacuations {
            self.merge_evacuations(evacuations, out);
        }
        self.merge(now, gossip.sender, Some(now), out);
        for update in gossip.updates {
            self.merge(now, update.peer, Some(now - update.age_ms), out);
        }
        let known = self.view.find(from);
        if known.is_some_and(|known| known.incarnation > sender_incarnation) {
            // The clock of the sender was set back before it restarted. It raises its incarnation
            // once it learns of the earlier one.
            self.send_record(now, from, from, out);
        }
        let sender = self.view.find_entry_mut(from);
        if let Some(requester) = sender.and_then(|sender| sender.record_contact(now)) {
            self.send_record(now, requester, from, out);
        }
        for suspected in gossip.suspected {
            self.handle_suspicion(now, suspected, from, out);
        }
        match gossip.requested_reply {
            ReplyKind::Nothing => {}
            ReplyKind::Updates => self.send(now, from, ReplyKind::Nothing, Scope::Updates, out),
            ReplyKind::FullView => self.send(now, from, ReplyKind::Nothing, Scope::FullView, out),
        }
    }

    /// Probes a peer that `from` suspects, and confirms it at once if it was in contact recently.
    fn handle_suspicion(
        &mut self,
        now: TimeMs,
        address: SocketAddr,
        from: SocketAddr,
        out: &mut Vec<GossipAction>,
    ) {
        if address == self.local_peer.address {
            return;
        }
        let Some(entry) = self.view.find_entry_mut(address) else {
            return;
        };
        let outcome = entry.record_suspicion(now, from);
        if outcome == SuspicionOutcome::RecentContact {
            self.send_record(now, from, address, out);
        }
        // A peer with recent contact is probed too: it may have died since.
        if outcome != SuspicionOutcome::Ignored {
            self.probe(now, address, ReplyKind::Updates, out);
        }
    }

    /// Sends `to` the record of the peer at `address`.
    fn send_record(
        &mut self,
        now: TimeMs,
        to: SocketAddr,
        address: SocketAddr,
        out: &mut Vec<GossipAction>,
    ) {
        let updates = self.take_updates(now, vec![address]);
        self.push_message(to, ReplyKind::Nothing, updates, Vec::new(), out);
    }

    fn run_round(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        self.increment_heartbeat(now);
        self.update_connectivity(now, out);
        let is_isolated = self.is_isolated();
        for entry in self.view.entries_mut() {
            entry.end_round();
            if is_isolated {
                // Nothing is known about peers that this process cannot reach.
                entry.clear_suspicion();
            }
        }
        self.view.remove_expired(now);
        self.report_unreachable(now, out);
        self.send_extra_probes(now, out);
        for to in self.next_probe_targets() {
            self.probe(now, to, ReplyKind::Updates, out);
        }
        let local_address = self.local_peer.address;
        let mut entries = self.view.entries().iter();
        if !entries.any(|entry| entry.peer.address != local_address && !entry.is_unreachable(now)) {
            for seed in self.seeds.clone() {
                if seed != local_address {
                    self.probe(now, seed, ReplyKind::FullView, out);
                }
            }
        }
    }

    fn update_connectivity(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        let peers = self.view.confirmed_peers(now).saturating_sub(1);
        let heard = self.view.peers_in_contact(now, CONTACT_WINDOW_MS);
        // Probes of unreachable peers get no answer.
        let probed = self.view.peers().count().saturating_sub(1).max(1);
        let expected = peers.min(EXPECTED_CONTACTS * peers / probed);
        let is_isolated = self.is_isolated();
        self.connectivity = match self.connectivity {
            Connectivity::Connected
                if peers >= MIN_SILENT_PEERS && heard * ISOLATED_DIVISOR < expected =>
            {
                Connectivity::Isolated { since: now }
            }
            Connectivity::Starting | Connectivity::Isolated { .. }
                if heard * RECOVERED_DIVISOR >= expected =>
            {
                Connectivity::Connected
            }
            Connectivity::Isolated { since } if now.since(since) > MAX_ISOLATION_MS => {
                Connectivity::Starting
            }
            unchanged => unchanged,
        };
        if self.is_isolated() != is_isolated {
            out.push(GossipAction::IsolationChanged {
                is_isolated: !is_isolated,
            });
        }
    }

    /// Returns the next peers to probe. They include unreachable peers, which may have recovered.
    fn next_probe_targets(&mut self) -> Vec<SocketAddr> {
        let mut targets = Vec::with_capacity(PROBES_PER_ROUND);
        while targets.len() < PROBES_PER_ROUND {
            if self.probe_queue.is_empty() {
                let local_address = self.local_peer.address;
                let addresses = self.view.peers().map(|peer| peer.address);
                self.probe_queue = addresses
                    .filter(|address| *address != local_address && !targets.contains(address))
                    .collect();
                self.probe_queue.shuffle(&mut self.random);
            }
            let Some(next) = self.probe_queue.pop() else {
                break;
            };
            if self.view.find(next).is_some() {
                targets.push(next);
            }
        }
        targets
    }

    /// Probes peers that are suspected, or known only from the directory.
    fn send_extra_probes(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        let local_address = self.local_peer.address;
        let targets = self.view.entries().iter();
        let mut targets: Vec<_> = targets
            .filter(|entry| entry.needs_extra_probe(now) && entry.peer.address != local_address)
            .map(|entry| entry.peer.address)
            .collect();
        if targets.len() > MAX_EXTRA_PROBES {
            targets.shuffle(&mut self.random);
            targets.truncate(MAX_EXTRA_PROBES);
        }
        for to in targets {
            self.probe(now, to, ReplyKind::Updates, out);
        }
    }

    /// Sends a message that requests a reply, and marks the probe as unanswered until one arrives.
    fn probe(
        &mut self,
        now: TimeMs,
        to: SocketAddr,
        requested_reply: ReplyKind,
        out: &mut Vec<GossipAction>,
    ) {
        if let Some(entry) = self.view.find_entry_mut(to) {
            entry.record_probe();
        }
        self.send(now, to, requested_reply, Scope::Updates, out);
    }

    /// Stores the local role. Sends a change of state, but not of load, to balancers at once, and a planned
    /// stop to all processes: this one sends no gossip after it.
    fn update_local_role(&mut self, now: TimeMs, role: PeerRole, out: &mut Vec<GossipAction>) {
        let is_same = self.local_peer.role.is_same_state(&role);
        self.local_peer.role = role;
        if is_same {
            return;
        }
        self.increment_heartbeat(now);
        let local_address = self.local_peer.address;
        let is_stop = self.local_peer.is_stopped_agent();
        let max_notified = if is_stop {
            MAX_NOTIFIED_OF_STOP
        } else {
            MAX_NOTIFIED_BALANCERS
        };
        let peers = self.view.reachable_peers(now);
        let peers = peers.filter(|peer| is_stop || peer.balancer().is_some());
        let peers = peers.map(|peer| peer.address);
        let peers: Vec<_> = peers.filter(|address| *address != local_address).collect();
        let notified: Vec<_> = peers
            .choose_multiple(&mut self.random, max_notified)
            .copied()
            .collect();
        for to in notified {
            self.push_message(to, ReplyKind::Nothing, Vec::new(), Vec::new(), out);
        }
    }

    /// Takes over the evacuated failure domains if they are newer than the known ones; returns whether they
    /// changed.
    fn merge_evacuations(&mut self, evacuations: Evacuations, out: &mut Vec<GossipAction>) -> bool {
        let is_changed = self.view.merge_evacuations(evacuations);
        if is_changed {
            let evacuations = self.view.evacuations().clone();
            out.push(GossipAction::EvacuationsChanged(evacuations));
        }
        is_changed
    }

    /// Sends changed evacuations to some processes at once, from which the others hear in the next rounds.
    fn spread_evacuations(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        let local_address = self.local_peer.address;
        let peers = self.view.reachable_peers(now).map(|peer| peer.address);
        let peers: Vec<_> = peers.filter(|address| *address != local_address).collect();
        let notified: Vec<_> = peers
            .choose_multiple(&mut self.random, MAX_NOTIFIED_BALANCERS)
            .copied()
            .collect();
        for to in notified {
            self.push_message(to, ReplyKind::Nothing, Vec::new(), Vec::new(), out);
        }
    }

    fn increment_heartbeat(&mut self, now: TimeMs) {
        self.local_peer.heartbeat_counter += 1;
        self.view.merge(now, self.local_peer.clone(), Some(now));
    }

    fn merge(
        &mut self,
        now: TimeMs,
        peer: Peer,
        last_alive: Option<TimeMs>,
        out: &mut Vec<GossipAction>,
    ) {
        if !peer.is_plausible(self.local_peer.address) {
            return;
        }
        if peer.address == self.local_peer.address {
            // Refutes a record with a higher incarnation. Such a record exists if the clock was set
            // back after a previous incarnation started.
            if peer.incarnation > self.local_peer.incarnation {
                self.local_peer.incarnation = peer.incarnation.next();
                self.increment_heartbeat(now);
            }
            return;
        }
        if self.view.merge(now, peer.clone(), last_alive) == MergeOutcome::Changed {
            out.push(GossipAction::PeerChanged(peer));
        }
    }

    fn report_unreachable(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        let unreachable = self.view.entries().iter();
        let unreachable: Vec<_> = unreachable
            .filter(|entry| entry.is_unreachable(now))
            .map(|entry| entry.peer.address)
            .collect();
        for address in &unreachable {
            if !self.unreachable.contains(address) {
                out.push(GossipAction::PeerUnreachable(*address));
            }
        }
        self.unreachable = unreachable;
    }

    /// Sends the local record, the records selected for `scope`, and the suspected peers.
    fn send(
        &mut self,
        now: TimeMs,
        to: SocketAddr,
        requested_reply: ReplyKind,
        scope: Scope,
        out: &mut Vec<GossipAction>,
    ) {
        let selected = self.select_records(now, to, scope);
        let updates = self.take_updates(now, selected);
        let suspected = self.view.entries().iter();
        let suspected = suspected
            .filter(|entry| entry.is_suspected(now))
            .map(|entry| entry.peer.address)
            .take(MAX_SUSPECTED)
            .collect();
        self.push_message(to, requested_reply, updates, suspected, out);
    }

    fn push_message(
        &self,
        to: SocketAddr,
        requested_reply: ReplyKind,
        updates: Vec<PeerUpdate>,
        suspected: Vec<SocketAddr>,
        out: &mut Vec<GossipAction>,
    ) {
        let message = PeerMessage::Gossip(Gossip {
            requested_reply,
            sender: self.local_peer.clone(),
            updates,
            suspected,
            evacuations: self.view.known_evacuations(),
        });
        out.push(GossipAction::Send { to, message });
    }

    /// Returns the records of `addresses`; each uses up one of its remaining transmissions.
    fn take_updates(&mut self, now: TimeMs, addresses: Vec<SocketAddr>) -> Vec<PeerUpdate> {
        let mut updates = Vec::with_capacity(addresses.len());
        for address in addresses {
            if let Some(entry) = self.view.find_entry_mut(address) {
                entry.remaining_transmissions = entry.remaining_transmissions.saturating_sub(1);
                updates.push(PeerUpdate {
                    peer: entry.peer.clone(),
                    age_ms: now.since(entry.last_alive),
                });
            }
        }
        updates
    }

    /// Returns the peers whose records a message to `to` carries: updates, those with the most
    /// remaining transmissions first, then some records at random.
    fn select_records(&mut self, now: TimeMs, to: SocketAddr, scope: Scope) -> Vec<SocketAddr> {
        let local_address = self.local_peer.address;
        let is_sendable = |entry: &PeerEntry| {
            let is_other = ![local_address, to].contains(&entry.peer.address);
            // Others cannot learn of a planned stop from the agent itself.
            let is_known = !entry.is_unreachable(now) || entry.peer.is_stopped_agent();
            is_other && entry.is_confirmed && is_known
        };
        let entries = self.view.entries();
        let mut updates: Vec<_> = entries
            .iter()
            .filter(|entry| entry.remaining_transmissions > 0 && is_sendable(entry))
            .map(|entry| (entry.remaining_transmissions, entry.peer.address))
            .collect();
        updates.shuffle(&mut self.random);
        updates.sort_by_key(|(transmissions, _)| std::cmp::Reverse(*transmissions));
        let (max_updates, max_random) = match scope {
            Scope::Updates => (MAX_UPDATES, RANDOM_RECORDS),
            Scope::FullView => (MAX_FULL_VIEW, MAX_FULL_VIEW),
        };
        let mut selected: Vec<_> = updates.iter().map(|(_, address)| *address).collect();
        selected.truncate(max_updates);
        let random_entries = entries.choose_multiple(&mut self.random, max_random);
        for entry in random_entries.filter(|entry| is_sendable(entry)) {
            if selected.len() < MAX_FULL_VIEW && !selected.contains(&entry.peer.address) {
                selected.push(entry.peer.address);
            }
        }
        selected
    }
}
