//! Spread of what processes tell of themselves.
//!
//! Each process counts a beat and tells a few random others what it knows. A beat that stands still
//! tells that the process is unreachable. The directory of the platform store names processes to a
//! newcomer; it is written once per life of a process and is no sign of life.

use std::net::SocketAddr;

use hawthorntide_types::{DurationMs, TimeMs};
use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::message::PeerMessage;
use crate::peer::{Peer, PeerRole};
use crate::view::{Learned, PeerView};

/// Time between two rounds.
pub const GOSSIP_INTERVAL_MS: DurationMs = DurationMs(250);

/// Processes that are told in each round.
const FAN_OUT: usize = 2;

/// Processes that one message describes: about two kilobytes.
const MAX_PEERS_PER_MESSAGE: usize = 48;

/// Something that the machine learns.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// The time of a round came.
    Round,
    /// A message of another process.
    Message {
        /// Sender.
        from: SocketAddr,
        /// The sender wants to be told what this process knows.
        wants_answer: bool,
        /// Processes that the sender knows.
        peers: Vec<Peer>,
    },
    /// Entries of the directory.
    Directory(Vec<Peer>),
    /// Addresses at which other processes may be found.
    Seeds(Vec<SocketAddr>),
    /// The role or state of this process changed.
    OwnRole(PeerRole),
}

/// Something that the edge does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipAction {
    /// Sends a message.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Message.
        message: PeerMessage,
    },
    /// A process is new or its state changed.
    Learned(Peer),
    /// Nothing was heard of a process for some time.
    WentSilent(SocketAddr),
}

/// Decides whom to tell what.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    own: Peer,
    view: PeerView,
    seeds: Vec<SocketAddr>,
    silent: Vec<SocketAddr>,
    random: ChaCha8Rng,
}

impl GossipMachine {
    /// Creates the machine of the process `own`.
    pub fn new(own: Peer, seed: u64) -> Self {
        let mut view = PeerView::default();
        view.learn(TimeMs::default(), own.clone(), true);
        Self {
            own,
            view,
            seeds: Vec::new(),
            silent: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns what is known of all processes, this one included.
    pub const fn view(&self) -> &PeerView {
        &self.view
    }

    /// Returns what this process tells of itself.
    pub const fn own(&self) -> &Peer {
        &self.own
    }

    /// Takes an event.
    pub fn handle(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<GossipAction>) {
        match event {
            GossipEvent::Round => self.round(now, out),
            GossipEvent::Message {
                from,
                wants_answer,
                peers,
            } => {
                for peer in peers {
                    self.learn(now, peer, true, out);
                }
                if wants_answer {
                    let message = self.message(now, false);
                    out.push(GossipAction::Send { to: from, message });
                }
            }
            GossipEvent::Directory(peers) => {
                for peer in peers {
                    self.learn(now, peer, false, out);
                }
                self.greet(now, out);
            }
            GossipEvent::Seeds(seeds) => self.seeds = seeds,
            GossipEvent::OwnRole(role) => self.change_role(now, role, out),
        }
    }

    fn round(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        self.beat(now);
        self.view.forget_old(now);
        self.report_silent(now, out);
        let own = self.own.address;
        let others = self.view.peers().map(|peer| peer.address);
        let mut targets: Vec<_> = others.filter(|address| *address != own).collect();
        let has_others = targets
            .iter()
            .any(|address| !self.view.is_silent(now, *address));
        if !has_others {
            targets.extend(self.seeds.iter().filter(|seed| **seed != own));
        }
        let chosen: Vec<_> = targets
            .choose_multiple(&mut self.random, FAN_OUT)
            .copied()
            .collect();
        self.greet(now, out);
        for to in chosen {
            let message = self.message(now, !has_others);
            out.push(GossipAction::Send { to, message });
        }
        for known in self.view.known_mut() {
            known.news_rounds = known.news_rounds.saturating_sub(1);
        }
    }

    /// Asks each process that only the directory names, or of which no news came for some time.
    fn greet(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        let own = self.own.address;
        let doubtful = self.view.known().iter();
        let doubtful: Vec<_> = doubtful
            .filter(|known| known.is_doubtful(now) && known.peer.address != own)
            .map(|known| known.peer.address)
            .collect();
        for to in doubtful {
            let message = self.message(now, true);
            out.push(GossipAction::Send { to, message });
        }
    }

    /// Tells a change of the own state to all balancers at once.
    fn change_role(&mut self, now: TimeMs, role: PeerRole, out: &mut Vec<GossipAction>) {
        let is_same = self.own.role.is_same_state(&role);
        self.own.role = role;
        if is_same {
            return;
        }
        self.beat(now);
        let message = PeerMessage::Gossip {
            wants_answer: false,
            peers: vec![self.own.clone()],
        };
        for balancer in self.view.live_balancers(now) {
            if balancer.address != self.own.address {
                out.push(GossipAction::Send {
                    to: balancer.address,
                    message: message.clone(),
                });
            }
        }
    }

    fn beat(&mut self, now: TimeMs) {
        self.own.beat += 1;
        self.view.learn(now, self.own.clone(), true);
    }

    fn learn(
        &mut self,
        now: TimeMs,
        peer: Peer,
        is_sign_of_life: bool,
        out: &mut Vec<GossipAction>,
    ) {
        if peer.address == self.own.address {
            // News of an earlier life that claims to be later, because the clock went back.
            if peer.incarnation > self.own.incarnation {
                self.own.incarnation = hawthorntide_types::Incarnation(peer.incarnation.get() + 1);
                self.beat(now);
            }
            return;
        }
        if self.view.learn(now, peer.clone(), is_sign_of_life) == Learned::Changed {
            out.push(GossipAction::Learned(peer));
        }
    }

    fn report_silent(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        let silent = self.view.known().iter();
        let silent: Vec<_> = silent
            .filter(|known| known.is_silent(now))
            .map(|known| known.peer.address)
            .collect();
        for address in &silent {
            if !self.silent.contains(address) {
                out.push(GossipAction::WentSilent(*address));
            }
        }
        self.silent = silent;
    }

    /// Describes this process, then those with news, then others at random.
    fn message(&mut self, now: TimeMs, wants_answer: bool) -> PeerMessage {
        let own = self.own.address;
        let is_told = |known: &&crate::view::KnownPeer| {
            known.peer.address != own && known.is_confirmed && !known.is_silent(now)
        };
        let mut others: Vec<_> = self.view.known().iter().filter(is_told).collect();
        others.shuffle(&mut self.random);
        others.sort_by_key(|known| std::cmp::Reverse(known.news_rounds.min(1)));
        let others = others.into_iter().take(MAX_PEERS_PER_MESSAGE - 1);
        let mut peers = vec![self.own.clone()];
        peers.extend(others.map(|known| known.peer.clone()));
        PeerMessage::Gossip {
            wants_answer,
            peers,
        }
    }
}
