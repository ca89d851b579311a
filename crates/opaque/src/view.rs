//! What a process knows of the others.

use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, Phase, ServiceName, TimeMs};

use crate::message::Search;
use crate::peer::{AgentStatus, FREE_LOAD, Peer};
use crate::placement::{DomainTag, rank};
use crate::segment::Segment;

/// Least time without news of a process after which it counts as unreachable: six rounds of gossip.
pub const UNREACHABLE_AFTER_MS: DurationMs = DurationMs(1_500);

/// Messages in a row without an answer after which a process counts as unreachable, unless others
/// have news of it: with a loss of 3 % each way they are lost once in 5,000 times.
const MAX_UNANSWERED: u8 = 3;

/// Time after an answer in which a process is vouched for without asking it again.
const VOUCH_FOR_MS: DurationMs = DurationMs(1_000);

/// Time in which a process that ended is back, so that callers had better try again than be refused.
const RETURN_WITHIN_MS: DurationMs = DurationMs(3_000);

/// Time in which a process that only the directory names answers a greeting; a process starts
/// within half of it.
const ANSWER_WITHIN_MS: DurationMs = DurationMs(1_000);

/// Time after which a process that left or is unreachable is forgotten: longer than any flow that
/// it may still hold.
const FORGET_AFTER_MS: DurationMs = DurationMs(120_000);

/// Messages that news of a process go with. Each receiver passes them on, so that one in 20,000
/// processes hears of them later, from what messages tell at random.
const NEWS_MESSAGES: u8 = 10;

/// Messages that a changed load goes with: fewer, since the next change makes it old.
const LOAD_MESSAGES: u8 = 4;

/// What news of a process changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Learned {
    /// Nothing.
    Stale,
    /// The process lives.
    Refreshed,
    /// The process is new, or its state changed.
    Changed,
}

/// Process and what is known of its liveness.
#[derive(Clone, Debug)]
pub(crate) struct KnownPeer {
    pub(crate) peer: Peer,
    /// Short form of its failure domain.
    pub(crate) domain: DomainTag,
    /// When it last showed to anyone that it lives, or when the directory named it.
    pub(crate) alive: TimeMs,
    /// Whether it was heard of otherwise than from the directory.
    pub(crate) is_confirmed: bool,
    /// Messages that it still goes with first.
    pub(crate) news_messages: u8,
    /// Whether it was asked for a sign of life and has not answered.
    is_asked: bool,
    /// Rounds in a row in which it was asked and did not answer.
    unanswered: u8,
    /// When it last sent a message itself.
    contacted: Option<TimeMs>,
    /// Whether a doubt of it was taken in this round; two processes that doubt each other must not
    /// send a third one round and round.
    is_looked_at: bool,
    /// Process that doubts that it lives, and is told when it answers.
    doubted_by: Option<SocketAddr>,
}

/// What becomes of the doubt of another process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Doubt {
    /// It is nothing new.
    Known,
    /// The process was in touch just now.
    Unlikely,
    /// Nothing speaks against it.
    Likely,
}

/// What an agent is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quest<'a> {
    pub(crate) flow: &'a FlowKey,
    pub(crate) near: DomainTag,
    pub(crate) service: &'a ServiceName,
    pub(crate) visited: &'a [SocketAddr],
    /// The flow is new.
    pub(crate) is_opening: bool,
}

/// Processes that are known, sorted by address.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    peers: Vec<KnownPeer>,
}

impl<'a> Quest<'a> {
    /// Asks for the next agent of a packet on its way.
    pub(crate) fn of(search: &'a Search, segment: &'a Segment) -> Self {
        Self {
            flow: &segment.flow,
            near: search.near,
            service: &search.service,
            visited: &search.visited,
            is_opening: segment.is_opening(),
        }
    }
}

impl KnownPeer {
    pub(crate) fn is_unreachable(&self, now: TimeMs) -> bool {
        let silence = now.since(self.alive);
        if !self.is_confirmed {
            return silence > ANSWER_WITHIN_MS;
        }
        self.unanswered >= MAX_UNANSWERED && silence > UNREACHABLE_AFTER_MS
    }

    /// Returns whether the process should be asked directly whether it lives.
    pub(crate) fn is_doubtful(&self, now: TimeMs) -> bool {
        (self.unanswered > 0 || !self.is_confirmed) && !self.is_unreachable(now)
    }

    /// Returns whether others should be asked about the process.
    pub(crate) fn is_unanswering(&self, now: TimeMs) -> bool {
        self.unanswered > 0 && !self.is_unreachable(now)
    }

    /// Notes that the process is asked for a sign of life.
    pub(crate) const fn ask(&mut self) {
        self.is_asked = true;
    }

    /// Notes that a round is over.
    pub(crate) const fn end_round(&mut self) {
        self.is_looked_at = false;
        if self.is_asked {
            self.is_asked = false;
            self.unanswered = self.unanswered.saturating_add(1);
        }
    }

    /// Notes a message of the process itself; returns who doubted that it lives.
    pub(crate) const fn answered(&mut self, now: TimeMs) -> Option<SocketAddr> {
        self.is_asked = false;
        self.unanswered = 0;
        self.contacted = Some(now);
        self.doubted_by.take()
    }

    /// Takes the doubt of another process, once in a round.
    pub(crate) fn doubt(&mut self, now: TimeMs, by: SocketAddr) -> Doubt {
        if self.is_looked_at || self.is_unreachable(now) {
            return Doubt::Known;
        }
        self.is_looked_at = true;
        let is_in_touch = |contacted| now.since(contacted) <= VOUCH_FOR_MS;
        if self.contacted.is_some_and(is_in_touch) {
            return Doubt::Unlikely;
        }
        self.doubted_by = Some(by);
        Doubt::Likely
    }

    /// Returns the status of an agent that can be reached.
    fn reachable_agent(&self, now: TimeMs) -> Option<&AgentStatus> {
        let status = self.peer.agent()?;
        (!self.is_unreachable(now) && status.phase != Phase::Gone).then_some(status)
    }
}

impl PeerView {
    /// Returns the processes in the order of their addresses.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().map(|known| &known.peer)
    }

    /// Returns the process at `address`.
    pub fn find(&self, address: SocketAddr) -> Option<&Peer> {
        Some(&self.peers[self.index(address).ok()?].peer)
    }

    /// Returns whether nothing was heard of the process at `address` for some time.
    pub fn is_unreachable(&self, now: TimeMs, address: SocketAddr) -> bool {
        let index = self.index(address);
        index.is_ok_and(|index| self.peers[index].is_unreachable(now))
    }

    /// Returns the balancers that can be reached.
    pub fn reachable_balancers(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(move |known| !known.is_unreachable(now))
            .map(|known| &known.peer)
            .filter(|peer| peer.balancer().is_some())
    }

    /// Returns the agents that did not leave, whether they can be reached or not.
    pub fn agents(&self) -> impl Iterator<Item = &Peer> {
        let has_left = |status: &AgentStatus| status.phase == Phase::Gone;
        self.peers()
            .filter(move |peer| peer.agent().is_some_and(|status| !has_left(status)))
    }

    /// Returns how many agents can be reached.
    pub fn reachable_agents(&self, now: TimeMs) -> usize {
        let agents = self.peers.iter();
        agents
            .filter(|known| known.reachable_agent(now).is_some())
            .count()
    }

    pub(crate) fn known(&self) -> &[KnownPeer] {
        &self.peers
    }

    pub(crate) fn known_mut(&mut self) -> &mut [KnownPeer] {
        &mut self.peers
    }

    pub(crate) fn find_known_mut(&mut self, address: SocketAddr) -> Option<&mut KnownPeer> {
        let index = self.index(address).ok()?;
        Some(&mut self.peers[index])
    }

    /// Takes what is told of a process.
    ///
    /// `alive` is when it showed that it lives; an entry of the directory shows nothing.
    pub(crate) fn learn(&mut self, now: TimeMs, peer: Peer, alive: Option<TimeMs>) -> Learned {
        let index = match self.index(peer.address) {
            Ok(index) => index,
            Err(index) => {
                let known = KnownPeer {
                    domain: DomainTag::of(&peer.failure_domain),
                    peer,
                    alive: alive.unwrap_or(now),
                    is_confirmed: alive.is_some(),
                    news_messages: NEWS_MESSAGES,
                    is_asked: false,
                    unanswered: 0,
                    contacted: None,
                    is_looked_at: false,
                    doubted_by: None,
                };
                self.peers.insert(index, known);
                return Learned::Changed;
            }
        };
        let known = &mut self.peers[index];
        if !peer.is_newer_than(&known.peer) {
            return Learned::Stale;
        }
        let is_recent = |alive: TimeMs| now.since(alive) <= UNREACHABLE_AFTER_MS;
        let is_back = alive.is_some_and(is_recent) && known.is_unreachable(now);
        let is_changed = !known.peer.role.is_same_state(&peer.role)
            || known.peer.incarnation != peer.incarnation
            || !known.is_confirmed
            || is_back;
        let is_load_changed = !known.peer.role.is_same_load(&peer.role);
        known.domain = DomainTag::of(&peer.failure_domain);
        known.peer = peer;
        if let Some(alive) = alive {
            known.alive = known.alive.max(alive);
            known.is_confirmed = true;
            if is_back {
                // Others reached it; whether this process does is yet to be seen.
                known.unanswered = 0;
            }
        }
        if is_changed {
            known.news_messages = NEWS_MESSAGES;
            return Learned::Changed;
        }
        if is_load_changed {
            known.news_messages = known.news_messages.max(LOAD_MESSAGES);
        }
        Learned::Refreshed
    }

    /// Forgets processes that left or went silent long ago.
    pub(crate) fn forget_old(&mut self, now: TimeMs) {
        self.peers.retain(|known| {
            let has_left = known.peer.agent().is_some_and(|it| it.phase == Phase::Gone);
            let is_lost = has_left || known.is_unreachable(now);
            !is_lost || now.since(known.alive) <= FORGET_AFTER_MS
        });
    }

    /// Returns the agent that is asked next.
    ///
    /// New flows go to serving agents of the service only; loaded ones leave a part of them to the
    /// others, unless all are. Established flows may be with any agent that can be reached, since
    /// the services of a route change; those of the service come first.
    pub(crate) fn next_agent(&self, now: TimeMs, quest: Quest<'_>) -> Option<SocketAddr> {
        let mut best = None;
        for known in &self.peers {
            let Some(status) = known.reachable_agent(now) else {
                continue;
            };
            if quest.visited.contains(&known.peer.address) {
                continue;
            }
            let is_of_service = status.service == *quest.service;
            let rank = rank(quest.flow, known.peer.address);
            let is_near = known.domain == quest.near;
            let place = if quest.is_opening {
                let share = share_of(status);
                if !is_of_service || share == 0 {
                    continue;
                }
                let takes = rank.rotate_right(17) % 1000 < share;
                (takes, if takes { u64::from(is_near) } else { share }, rank)
            } else {
                (is_of_service, u64::from(is_near), rank)
            };
            if best.is_none_or(|(best, _)| place > best) {
                best = Some((place, known.peer.address));
            }
        }
        best.map(|(_, address)| address)
    }

    /// Returns whether the service has an agent that takes new flows without reserve.
    pub(crate) fn has_room(&self, now: TimeMs, service: &ServiceName) -> bool {
        let agents = self
            .peers
            .iter()
            .filter_map(|known| known.reachable_agent(now));
        agents
            .filter(|status| status.service == *service)
            .any(|status| share_of(status) > LEAST_SHARE)
    }

    /// Returns whether an agent of the service that was not asked may take new flows soon: it lives
    /// or was heard of lately, or the directory named it lately.
    pub(crate) fn may_return(
        &self,
        now: TimeMs,
        service: &ServiceName,
        visited: &[SocketAddr],
    ) -> bool {
        self.peers
            .iter()
            .filter(|known| {
                !known.is_unreachable(now) || now.since(known.alive) <= RETURN_WITHIN_MS
            })
            .filter(|known| !visited.contains(&known.peer.address))
            .filter_map(|known| known.peer.agent())
            .filter(|status| status.service == *service)
            .any(|status| matches!(status.phase, Phase::Joining | Phase::Serving))
    }

    fn index(&self, address: SocketAddr) -> Result<usize, usize> {
        self.peers
            .binary_search_by_key(&address, |known| known.peer.address)
    }
}

/// Load from which an upstream takes the least part of new flows.
const FULL_LOAD: u64 = 1_500;

/// Least part of the new flows that a loaded upstream takes, in thousandths.
const LEAST_SHARE: u64 = 50;

/// Returns the part of the new flows in its place that an agent takes, in thousandths.
fn share_of(status: &AgentStatus) -> u64 {
    if status.phase != Phase::Serving {
        return 0;
    }
    let weight = u64::from(status.weight.get());
    let free_load = u64::from(FREE_LOAD);
    let load = u64::from(status.load.get()).clamp(free_load, FULL_LOAD);
    let room = 1_000 - (load - free_load) * 1_000 / (FULL_LOAD - free_load);
    room.max(LEAST_SHARE) * weight / 1_000
}
