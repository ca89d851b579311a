//! Local view of all peers: their latest records, their liveness, and agent selection.

use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, Incarnation, Phase, ServiceName, TimeMs, Version};

use crate::evacuation::Evacuations;
use crate::message::Search;
use crate::peer::{AgentStatus, FREE_LOAD, Peer};
use crate::placement::{DomainTag, rank};
use crate::registrar::Registrars;
use crate::segment::Segment;

/// A suspected peer counts as unreachable only after no process has reported it alive for this
/// long: six gossip rounds.
pub const UNREACHABLE_AFTER_MS: DurationMs = DurationMs(1_500);

/// A peer counts as unreachable after unanswered probes in this many consecutive rounds, unless
/// others report it alive. At a packet loss of 3 % each way, one in 5,000 series of three probes to
/// a running peer stays unanswered.
const MAX_UNANSWERED_PROBES: u8 = 3;

/// An indirect probe is acknowledged at once if the peer sent a message within this time.
const RECENT_CONTACT_MS: DurationMs = DurationMs(1_000);

/// A suspicion of another process counts for this long, unless it is repeated: four gossip rounds.
const REPORT_VALID_MS: DurationMs = DurationMs(1_000);

/// Time within which a terminated process usually restarts. Until then, callers get no reset for
/// new flows, so that they retransmit.
const RESTART_WINDOW_MS: DurationMs = DurationMs(3_000);

/// A peer known only from the directory must answer a probe within this time: twice the time that a
/// process takes to start.
const FIRST_PROBE_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// The record of a peer that left or is unreachable is removed this long after the peer was last
/// alive: longer than the lifetime of any flow that it may still own.
const REMOVE_AFTER_MS: DurationMs = DurationMs(120_000);

/// Messages that carry a changed record. Receivers spread the change too, so about one process in
/// 20,000 misses it and gets the record later, when it is sent at random.
const CHANGE_TRANSMISSIONS: u8 = 10;

/// Transmissions of a changed load: fewer, since the next change soon replaces it.
const LOAD_TRANSMISSIONS: u8 = 4;

/// Result of merging a received record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MergeOutcome {
    /// The record is not newer than the known one.
    Stale,
    /// The record is newer, with the same state.
    Refreshed,
    /// The peer is new or reachable again, or its state changed.
    Changed,
}

/// Latest record of a peer, with its liveness and gossip state.
#[derive(Clone, Debug)]
pub(crate) struct PeerEntry {
    pub(crate) peer: Peer,
    pub(crate) domain: DomainTag,
    /// When any process last received a message of the peer, or when its directory entry was read.
    pub(crate) last_alive: TimeMs,
    /// Whether a record was received by gossip, not only read from the directory.
    pub(crate) is_confirmed: bool,
    /// Number of further messages that carry the record as an update.
    pub(crate) remaining_transmissions: u8,
    /// Whether a probe was sent in this round and is not answered yet.
    has_pending_probe: bool,
    /// Rounds in a row with an unanswered probe.
    unanswered_probes: u8,
    /// When this process last received a message from the peer itself.
    last_contact: Option<TimeMs>,
    /// Whether a suspicion of the peer was handled in this round. Without this limit, two peers that
    /// suspect each other would make this process probe them in an endless loop, since the answer of
    /// each names the other one as suspected.
    is_suspicion_handled: bool,
    /// Process that suspects the peer and gets an acknowledgement once the peer answers.
    indirect_probe_requester: Option<SocketAddr>,
    /// When another process last suspected the peer, without contact since.
    reported_at: Option<TimeMs>,
}

/// How to handle another process's suspicion of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SuspicionOutcome {
    /// The peer is unreachable, or a suspicion of it was handled in this round already.
    Ignored,
    /// The peer sent a message within `RECENT_CONTACT_MS`.
    RecentContact,
    /// There was no recent contact.
    Unconfirmed,
}

/// Criteria for the selection of the next agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentQuery<'a> {
    pub(crate) flow: &'a FlowKey,
    pub(crate) preferred_domain: DomainTag,
    pub(crate) service: &'a ServiceName,
    pub(crate) visited: &'a [SocketAddr],
    /// Whether the flow is new.
    pub(crate) is_opening: bool,
}

/// Peer entries, sorted by address.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    peers: Vec<PeerEntry>,
    evacuations: Evacuations,
}

impl<'a> AgentQuery<'a> {
    pub(crate) fn for_packet(search: &'a Search, segment: &'a Segment) -> Self {
        Self {
            flow: &segment.flow,
            preferred_domain: search.preferred_domain,
            service: &search.service,
            visited: &search.visited,
            is_opening: segment.is_opening(),
        }
    }
}

impl PeerEntry {
    pub(crate) fn is_unreachable(&self, now: TimeMs) -> bool {
        let elapsed = now.since(self.last_alive);
        if !self.is_confirmed {
            return elapsed > FIRST_PROBE_TIMEOUT_MS;
        }
        self.unanswered_probes >= MAX_UNANSWERED_PROBES && elapsed > UNREACHABLE_AFTER_MS
    }

    /// Returns whether to probe the peer in every round, in addition to the probes in turn.
    pub(crate) fn needs_extra_probe(&self, now: TimeMs) -> bool {
        (self.unanswered_probes > 0 || !self.is_confirmed) && !self.is_unreachable(now)
    }

    /// Returns whether to ask others to probe the peer.
    pub(crate) fn is_suspected(&self, now: TimeMs) -> bool {
        self.unanswered_probes > 0 && !self.is_unreachable(now)
    }

    /// Returns whether this process or another one suspects the peer.
    fn is_doubtful(&self, now: TimeMs) -> bool {
        let is_recent = |reported_at| now.since(reported_at) <= REPORT_VALID_MS;
        self.is_suspected(now) || self.reported_at.is_some_and(is_recent)
    }

    pub(crate) const fn record_probe(&mut self) {
        self.has_pending_probe = true;
    }

    /// Counts a probe that is still pending as unanswered.
    pub(crate) const fn end_round(&mut self) {
        self.is_suspicion_handled = false;
        if self.has_pending_probe {
            self.has_pending_probe = false;
            self.unanswered_probes = self.unanswered_probes.saturating_add(1);
        }
    }

    pub(crate) const fn clear_suspicion(&mut self) {
        self.unanswered_probes = 0;
    }

    /// Records a message from the peer itself; returns the process that requested an indirect probe.
    pub(crate) const fn record_contact(&mut self, now: TimeMs) -> Option<SocketAddr> {
        self.has_pending_probe = false;
        self.unanswered_probes = 0;
        self.last_contact = Some(now);
        self.reported_at = None;
        self.indirect_probe_requester.take()
    }

    /// Handles the suspicion of another process, at most once in a round.
    pub(crate) fn record_suspicion(&mut self, now: TimeMs, by: SocketAddr) -> SuspicionOutcome {
        let is_recent_contact = |last_contact| now.since(last_contact) <= RECENT_CONTACT_MS;
        let has_recent_contact = self.last_contact.is_some_and(is_recent_contact);
        if !has_recent_contact {
            self.reported_at = Some(now);
        }
        if self.is_suspicion_handled || self.is_unreachable(now) {
            return SuspicionOutcome::Ignored;
        }
        self.is_suspicion_handled = true;
        if has_recent_contact {
            return SuspicionOutcome::RecentContact;
        }
        self.indirect_probe_requester = Some(by);
        SuspicionOutcome::Unconfirmed
    }

    /// Returns the status if the peer is a reachable agent that has neither stopped nor left.
    fn reachable_agent(&self, now: TimeMs) -> Option<&AgentStatus> {
        let status = self.peer.agent()?;
        let is_running = !self.peer.is_stopped_agent() && !self.is_unreachable(now);
        (is_running && status.phase != Phase::Gone).then_some(status)
    }
}

impl PeerView {
    /// Returns the peers, sorted by address.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().map(|entry| &entry.peer)
    }

    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the evacuated failure domains, or `None` if neither the store nor a peer named them.
    pub(crate) fn known_evacuations(&self) -> Option<Evacuations> {
        let is_known = self.evacuations.version() != Version::NONE;
        is_known.then(|| self.evacuations.clone())
    }

    /// Takes over the evacuated failure domains if they are newer; returns whether they changed.
    pub(crate) fn merge_evacuations(&mut self, evacuations: Evacuations) -> bool {
        self.evacuations.merge(evacuations)
    }

    /// Returns whether the agent at `address` is known and in an evacuated failure domain.
    pub(crate) fn is_evacuated_agent(&self, address: SocketAddr) -> bool {
        let index = self.index(address);
        index.is_ok_and(|index| self.is_evacuated(&self.peers[index]))
    }

    fn is_evacuated(&self, entry: &PeerEntry) -> bool {
        self.evacuations.contains(&entry.peer.failure_domain)
    }

    pub fn find(&self, address: SocketAddr) -> Option<&Peer> {
        Some(&self.peers[self.index(address).ok()?].peer)
    }

    /// Returns whether the peer at `address` is known and unreachable.
    pub fn is_unreachable(&self, now: TimeMs, address: SocketAddr) -> bool {
        let index = self.index(address);
        index.is_ok_and(|index| self.peers[index].is_unreachable(now))
    }

    /// Returns whether this process or another one suspects the peer at `address`.
    pub(crate) fn is_doubtful(&self, now: TimeMs, address: SocketAddr) -> bool {
        let index = self.index(address);
        index.is_ok_and(|index| self.peers[index].is_doubtful(now))
    }

    /// Returns whether the peer answers probes of this process, so that its messages arrive without the
    /// detour through others.
    pub(crate) fn has_direct_path(&self, address: SocketAddr) -> bool {
        let index = self.index(address);
        index.is_ok_and(|index| self.peers[index].unanswered_probes < MAX_UNANSWERED_PROBES)
    }

    pub(crate) fn reachable_peers(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(move |entry| !entry.is_unreachable(now))
            .map(|entry| &entry.peer)
    }

    pub fn reachable_balancers(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        self.reachable_peers(now)
            .filter(|peer| peer.balancer().is_some())
    }

    /// Returns the agents that have not left, whether they are reachable or not.
    pub fn agents(&self) -> impl Iterator<Item = &Peer> {
        let has_left = |status: &AgentStatus| status.phase == Phase::Gone;
        self.peers()
            .filter(move |peer| peer.agent().is_some_and(|status| !has_left(status)))
    }

    /// Returns the number of reachable agents.
    pub fn reachable_agents(&self, now: TimeMs) -> usize {
        let agents = self.peers.iter();
        agents
            .filter(|entry| entry.reachable_agent(now).is_some())
            .count()
    }

    /// Returns the number of reachable processes, including the local one, from which or about which
    /// a message was received.
    pub(crate) fn confirmed_peers(&self, now: TimeMs) -> usize {
        let peers = self.peers.iter();
        peers
            .filter(|entry| entry.is_confirmed && !entry.is_unreachable(now))
            .count()
    }

    /// Returns the number of peers that sent a message within the last `window_ms`.
    pub(crate) fn peers_in_contact(&self, now: TimeMs, window_ms: DurationMs) -> usize {
        let is_recent = |contact| now.since(contact) <= window_ms;
        let peers = self.peers.iter();
        peers
            .filter(|entry| entry.last_contact.is_some_and(is_recent))
            .count()
    }

    pub(crate) fn entries(&self) -> &[PeerEntry] {
        &self.peers
    }

    pub(crate) fn entries_mut(&mut self) -> &mut [PeerEntry] {
        &mut self.peers
    }

    pub(crate) fn find_entry_mut(&mut self, address: SocketAddr) -> Option<&mut PeerEntry> {
        let index = self.index(address).ok()?;
        Some(&mut self.peers[index])
    }

    /// Merges a received record.
    ///
    /// `last_alive` is when the peer was last known to be alive; `None` for directory entries, which
    /// do not prove that the peer is alive.
    pub(crate) fn merge(
        &mut self,
        now: TimeMs,
        peer: Peer,
        last_alive: Option<TimeMs>,
    ) -> MergeOutcome {
        let index = match self.index(peer.address) {
            Ok(index) => index,
            Err(index) => {
                let entry = PeerEntry {
                    domain: DomainTag::of(&peer.failure_domain),
                    peer,
                    last_alive: last_alive.unwrap_or(now),
                    is_confirmed: last_alive.is_some(),
                    remaining_transmissions: CHANGE_TRANSMISSIONS,
                    has_pending_probe: false,
                    unanswered_probes: 0,
                    last_contact: None,
                    is_suspicion_handled: false,
                    indirect_probe_requester: None,
                    reported_at: None,
                };
                self.peers.insert(index, entry);
                return MergeOutcome::Changed;
            }
        };
        let entry = &mut self.peers[index];
        if !peer.is_newer_than(&entry.peer) {
            return MergeOutcome::Stale;
        }
        let is_recent = |last_alive: TimeMs| now.since(last_alive) <= UNREACHABLE_AFTER_MS;
        let is_recovered = last_alive.is_some_and(is_recent) && entry.is_unreachable(now);
        let is_changed = !entry.peer.role.is_same_state(&peer.role)
            || entry.peer.incarnation != peer.incarnation
            || !entry.is_confirmed
            || is_recovered;
        let is_load_changed = !entry.peer.role.is_same_load(&peer.role);
        entry.domain = DomainTag::of(&peer.failure_domain);
        entry.peer = peer;
        if let Some(last_alive) = last_alive {
            entry.last_alive = entry.last_alive.max(last_alive);
            entry.is_confirmed = true;
            if is_recovered {
                // Another process reached the peer; further probes show whether this one does.
                entry.unanswered_probes = 1;
            }
        }
        if is_changed {
            entry.remaining_transmissions = CHANGE_TRANSMISSIONS;
            return MergeOutcome::Changed;
        }
        if is_load_changed {
            entry.remaining_transmissions = entry.remaining_transmissions.max(LOAD_TRANSMISSIONS);
        }
        MergeOutcome::Refreshed
    }

    /// Removes peers that left or are unreachable and were last alive more than `REMOVE_AFTER_MS`
    /// ago.
    pub(crate) fn remove_expired(&mut self, now: TimeMs) {
        self.peers.retain(|entry| {
            let has_left = entry.peer.agent().is_some_and(|it| it.phase == Phase::Gone);
            let is_gone = has_left || entry.is_unreachable(now);
            !is_gone || now.since(entry.last_alive) <= REMOVE_AFTER_MS
        });
    }

    /// Returns the addresses and incarnations of the reachable agents, sorted by address.
    pub(crate) fn agent_incarnations(&self, now: TimeMs) -> Vec<(SocketAddr, Incarnation)> {
        let agents = self.peers.iter();
        agents
            .filter(|entry| entry.reachable_agent(now).is_some())
            .map(|entry| (entry.peer.address, entry.peer.incarnation))
            .collect()
    }

    /// Returns the reachable agents.
    pub(crate) fn reachable_agent_addresses(&self, now: TimeMs) -> Vec<SocketAddr> {
        let agents = self.agent_incarnations(now).into_iter();
        agents.map(|(address, _)| address).collect()
    }

    /// Returns the registrars of a flow: the reachable agents that rank first for it.
    pub(crate) fn registrars(&self, now: TimeMs, flow: &FlowKey) -> Registrars {
        let mut first = None;
        let mut second = None;
        for entry in &self.peers {
            if entry.reachable_agent(now).is_none() {
                continue;
            }
            let candidate = Some((rank(flow, entry.peer.address), entry.peer.address));
            if candidate > first {
                second = first;
                first = candidate;
            } else if candidate > second {
                second = candidate;
            }
        }
        [first, second].map(|ranked| ranked.map(|(_, address)| address))
    }

    /// Returns whether the upstream of the agent at `address` has deregistered.
    pub(crate) fn has_left(&self, address: SocketAddr) -> bool {
        let agent = self.find(address).and_then(Peer::agent);
        agent.is_some_and(|status| status.phase == Phase::Gone)
    }

    /// Returns whether the agent at `address` has left or is unreachable. One that is not known yet may have
    /// just joined, and the upstream of one that was stopped as planned may still serve.
    pub(crate) fn is_lost(&self, now: TimeMs, address: SocketAddr) -> bool {
        let Ok(index) = self.index(address) else {
            return false;
        };
        let entry = &self.peers[index];
        !entry.peer.is_stopped_agent() && entry.reachable_agent(now).is_none()
    }

    /// Returns whether the agent at `address` was stopped as planned.
    pub(crate) fn is_stopped(&self, address: SocketAddr) -> bool {
        self.find(address).is_some_and(Peer::is_stopped_agent)
    }

    /// Returns whether an agent was stopped as planned: its upstream may own flows that nobody knows.
    pub(crate) fn has_stopped_agents(&self) -> bool {
        self.peers().any(Peer::is_stopped_agent)
    }

    /// Returns the next agent to which a packet of the flow is sent.
    ///
    /// New flows go only to serving agents of the service. Loaded agents take a reduced share of
    /// them, unless all are loaded. An established flow may be owned by any reachable agent, since
    /// the services of a route change; the most likely owner comes first, then the registrars of the
    /// flow. Suspected agents come last, because a search ends at one that has died.
    pub(crate) fn next_agent(&self, now: TimeMs, query: AgentQuery<'_>) -> Option<SocketAddr> {
        let mut best = None;
        let registrars = if query.is_opening || query.visited.is_empty() {
            Registrars::default()
        } else {
            self.registrars(now, query.flow)
        };
        for entry in &self.peers {
            let Some(status) = entry.reachable_agent(now) else {
                continue;
            };
            if query.visited.contains(&entry.peer.address) {
                continue;
            }
            let is_of_service = status.service == *query.service;
            let rank = rank(query.flow, entry.peer.address);
            let is_preferred_domain = entry.domain == query.preferred_domain;
            let priority = if query.is_opening {
                let share = new_flow_share(status);
                if !is_of_service || share == 0 || self.is_evacuated(entry) {
                    continue;
                }
                let is_accepted = rank.rotate_right(17) % 1000 < share;
                (
                    is_accepted,
                    if is_accepted {
                        u64::from(is_preferred_domain)
                    } else {
                        share
                    },
                    rank,
                )
            } else {
                let is_registrar = registrars.contains(&Some(entry.peer.address));
                if !query.visited.is_empty() && (!is_registrar || entry.is_doubtful(now)) {
                    continue;
                }
                let affinity = 2 * u64::from(is_of_service) + u64::from(is_preferred_domain);
                (!entry.is_doubtful(now), affinity, rank)
            };
            if best.is_none_or(|(best, _)| priority > best) {
                best = Some((priority, entry.peer.address));
            }
        }
        best.map(|(_, address)| address)
    }

    /// Returns whether the service has an agent that takes more than the minimum share of new flows.
    pub(crate) fn has_capacity(&self, now: TimeMs, service: &ServiceName) -> bool {
        let agents = self
            .peers
            .iter()
            .filter(|entry| !self.is_evacuated(entry))
            .filter_map(|entry| entry.reachable_agent(now));
        agents
            .filter(|status| status.service == *service)
            .any(|status| new_flow_share(status) > MIN_SHARE)
    }

    /// Returns whether the service has an unvisited agent that may accept new flows soon: one that
    /// is joining or serving, and that is reachable or was last alive, or read from the directory,
    /// within `RESTART_WINDOW_MS`.
    pub(crate) fn may_recover(
        &self,
        now: TimeMs,
        service: &ServiceName,
        visited: &[SocketAddr],
    ) -> bool {
        self.peers
            .iter()
            .filter(|entry| {
                !entry.is_unreachable(now) || now.since(entry.last_alive) <= RESTART_WINDOW_MS
            })
            .filter(|entry| !visited.contains(&entry.peer.address) && !self.is_evacuated(entry))
            .filter_map(|entry| entry.peer.agent())
            .filter(|status| status.service == *service)
            .any(|status| matches!(status.phase, Phase::Joining | Phase::Serving))
    }

    fn index(&self, address: SocketAddr) -> Result<usize, usize> {
        self.peers
            .binary_search_by_key(&address, |entry| entry.peer.address)
    }
}

/// Load, per mille, from which an agent takes only the minimum share of new flows.
const FULL_LOAD: u64 = 1_500;

/// Minimum share of new flows that a loaded agent takes, per mille.
const MIN_SHARE: u64 = 50;

/// Returns the share, per mille, that an agent takes of the new flows for which it ranks first.
fn new_flow_share(status: &AgentStatus) -> u64 {
    if status.phase != Phase::Serving {
        return 0;
    }
    let weight = u64::from(status.weight.get());
    let free_load = u64::from(FREE_LOAD);
    let load = u64::from(status.load.get()).clamp(free_load, FULL_LOAD);
    let free_share = 1_000 - (load - free_load) * 1_000 / (FULL_LOAD - free_load);
    free_share.max(MIN_SHARE) * weight / 1_000
}
