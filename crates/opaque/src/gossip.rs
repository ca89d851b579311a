//! Spread of what processes tell of themselves, and detection of those that are unreachable.
//!
//! In each round a process asks a few others, in turn, for a sign of life; question and answer carry
//! what changed lately. It asks one that does not answer again, and tells its next partners of the
//! doubt, which ask as well or vouch for it: the scheme of SWIM (Das, Gupta, Motivala 2002) without
//! verdicts of others. So each process sends the same few messages however large the deployment is.
//! The directory of the platform store names processes to a newcomer; it is written once per life of
//! a process and is no sign of life.

use std::net::SocketAddr;

use hawthorntide_types::{DurationMs, TimeMs};
use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::message::{Gossip, PeerMessage, ToldPeer, Wanted};
use crate::peer::{Peer, PeerRole};
use crate::view::{Doubt, KnownPeer, Learned, PeerView};

/// Time between two rounds.
pub const GOSSIP_INTERVAL_MS: DurationMs = DurationMs(250);

/// Processes that are asked for a sign of life in each round, in turn.
const FAN_OUT: usize = 3;

/// Doubtful processes that are asked besides in each round; a newcomer asks all that the directory
/// names, so this bounds its first second.
const MAX_GREETED: usize = 128;

/// Balancers that a process tells a change of its state at once; the others hear of it by gossip.
const MAX_TOLD: usize = 64;

/// Processes with news that a message describes, so that messages stay small when much changes.
const MAX_NEWS: usize = 8;

/// Processes without news that a message describes, at random, which mends what was missed.
const FILLERS: usize = 1;

/// Processes that an answer with the whole view describes: about two kilobytes.
const MAX_VIEW: usize = 48;

/// Doubts that a message carries.
const MAX_DOUBTS: usize = 8;

/// Something that the machine learns.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// The time of a round came.
    Round,
    /// A message of another process.
    Message {
        /// Sender.
        from: SocketAddr,
        /// What it tells.
        gossip: Gossip,
    },
    /// Entries of the directory.
    Directory(Vec<Peer>),
    /// Addresses at which other processes may be found.
    Seeds(Vec<SocketAddr>),
    /// The role or state of this process changed.
    LocalRoleChanged(PeerRole),
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
    PeerChanged(Peer),
    /// Nothing was heard of a process for some time.
    PeerUnreachable(SocketAddr),
}

/// What a message describes besides its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Extent {
    /// What changed lately.
    News,
    /// As many processes as it holds.
    View,
}

/// Decides whom to tell what.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    own: Peer,
    view: PeerView,
    seeds: Vec<SocketAddr>,
    silent: Vec<SocketAddr>,
    /// Processes that are asked in the next rounds.
    turns: Vec<SocketAddr>,
    random: ChaCha8Rng,
}

impl GossipMachine {
    /// Creates the machine of the process `own`.
    pub fn new(own: Peer, seed: u64) -> Self {
        let mut view = PeerView::default();
        view.learn(TimeMs::default(), own.clone(), Some(TimeMs::default()));
        Self {
            own,
            view,
            seeds: Vec::new(),
            silent: Vec::new(),
            turns: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns what is known of all processes, this one included.
    pub const fn view(&self) -> &PeerView {
        &self.view
    }

    /// Returns what this process tells of itself.
    pub const fn local_peer(&self) -> &Peer {
        &self.own
    }

    /// Takes an event.
    pub fn handle(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<GossipAction>) {
        match event {
            GossipEvent::Round => self.round(now, out),
            GossipEvent::Message { from, gossip } => self.take(now, from, gossip, out),
            GossipEvent::Directory(peers) => {
                for peer in peers {
                    self.learn(now, peer, None, out);
                }
                self.greet(now, out);
            }
            GossipEvent::Seeds(seeds) => self.seeds = seeds,
            GossipEvent::LocalRoleChanged(role) => self.change_role(now, role, out),
        }
    }

    fn take(&mut self, now: TimeMs, from: SocketAddr, gossip: Gossip, out: &mut Vec<GossipAction>) {
        self.learn(now, gossip.sender, Some(now), out);
        for told in gossip.others {
            self.learn(now, told.peer, Some(now - told.age_ms), out);
        }
        let sender = self.view.find_known_mut(from);
        if let Some(doubter) = sender.and_then(|sender| sender.answered(now)) {
            self.vouch(now, doubter, from, out);
        }
        for doubted in gossip.doubted {
            self.look_at(now, doubted, from, out);
        }
        match gossip.wanted {
            Wanted::Nothing => {}
            Wanted::News => self.send(now, from, Wanted::Nothing, Extent::News, out),
            Wanted::View => self.send(now, from, Wanted::Nothing, Extent::View, out),
        }
    }

    /// Asks a process that `from` doubts, and vouches for it if it was in touch just now.
    fn look_at(
        &mut self,
        now: TimeMs,
        address: SocketAddr,
        from: SocketAddr,
        out: &mut Vec<GossipAction>,
    ) {
        if address == self.own.address {
            return;
        }
        let Some(known) = self.view.find_known_mut(address) else {
            return;
        };
        let doubt = known.doubt(now, from);
        if doubt == Doubt::Unlikely {
            self.vouch(now, from, address, out);
        }
        // It may have died since it was in touch.
        if doubt != Doubt::Known {
            self.ask(now, address, Wanted::News, out);
        }
    }

    /// Tells `to` of a process that lives.
    fn vouch(
        &mut self,
        now: TimeMs,
        to: SocketAddr,
        address: SocketAddr,
        out: &mut Vec<GossipAction>,
    ) {
        let others = self.tell(now, vec![address]);
        self.push(to, Wanted::Nothing, others, Vec::new(), out);
    }

    fn round(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        self.beat(now);
        for known in self.view.known_mut() {
            known.end_round();
        }
        self.view.forget_old(now);
        self.report_silent(now, out);
        self.greet(now, out);
        for to in self.next_turns() {
            self.ask(now, to, Wanted::News, out);
        }
        let own = self.own.address;
        let mut known = self.view.known().iter();
        if !known.any(|known| known.peer.address != own && !known.is_unreachable(now)) {
            for seed in self.seeds.clone() {
                if seed != own {
                    self.ask(now, seed, Wanted::View, out);
                }
            }
        }
    }

    /// Returns the processes whose turn it is to be asked; silent ones are, too, since they may be
    /// back.
    fn next_turns(&mut self) -> Vec<SocketAddr> {
        let mut chosen = Vec::with_capacity(FAN_OUT);
        while chosen.len() < FAN_OUT {
            if self.turns.is_empty() {
                let own = self.own.address;
                let others = self.view.peers().map(|peer| peer.address);
                self.turns = others
                    .filter(|address| *address != own && !chosen.contains(address))
                    .collect();
                self.turns.shuffle(&mut self.random);
            }
            let Some(next) = self.turns.pop() else {
                break;
            };
            if self.view.find(next).is_some() {
                chosen.push(next);
            }
        }
        chosen
    }

    /// Asks each process that only the directory names, or whose life is in doubt.
    fn greet(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        let own = self.own.address;
        let doubtful = self.view.known().iter();
        let mut doubtful: Vec<_> = doubtful
            .filter(|known| known.is_doubtful(now) && known.peer.address != own)
            .map(|known| known.peer.address)
            .collect();
        if doubtful.len() > MAX_GREETED {
            doubtful.shuffle(&mut self.random);
            doubtful.truncate(MAX_GREETED);
        }
        for to in doubtful {
            self.ask(now, to, Wanted::News, out);
        }
    }

    /// Sends a message that wants an answer, and remembers that one is due.
    fn ask(&mut self, now: TimeMs, to: SocketAddr, wanted: Wanted, out: &mut Vec<GossipAction>) {
        if let Some(known) = self.view.find_known_mut(to) {
            known.ask();
        }
        self.send(now, to, wanted, Extent::News, out);
    }

    /// Tells a change of the own state to balancers at once, to all where there are few.
    fn change_role(&mut self, now: TimeMs, role: PeerRole, out: &mut Vec<GossipAction>) {
        let is_same = self.own.role.is_same_state(&role);
        self.own.role = role;
        if is_same {
            return;
        }
        self.beat(now);
        let own = self.own.address;
        let balancers = self.view.reachable_balancers(now).map(|peer| peer.address);
        let balancers: Vec<_> = balancers.filter(|address| *address != own).collect();
        let told: Vec<_> = balancers
            .choose_multiple(&mut self.random, MAX_TOLD)
            .copied()
            .collect();
        for to in told {
            self.push(to, Wanted::Nothing, Vec::new(), Vec::new(), out);
        }
    }

    fn beat(&mut self, now: TimeMs) {
        self.own.heartbeat_counter += 1;
        self.view.learn(now, self.own.clone(), Some(now));
    }

    fn learn(
        &mut self,
        now: TimeMs,
        peer: Peer,
        alive: Option<TimeMs>,
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
        if self.view.learn(now, peer.clone(), alive) == Learned::Changed {
            out.push(GossipAction::PeerChanged(peer));
        }
    }

    fn report_silent(&mut self, now: TimeMs, out: &mut Vec<GossipAction>) {
        let silent = self.view.known().iter();
        let silent: Vec<_> = silent
            .filter(|known| known.is_unreachable(now))
            .map(|known| known.peer.address)
            .collect();
        for address in &silent {
            if !self.silent.contains(address) {
                out.push(GossipAction::PeerUnreachable(*address));
            }
        }
        self.silent = silent;
    }

    /// Sends what this process knows of itself and of others.
    fn send(
        &mut self,
        now: TimeMs,
        to: SocketAddr,
        wanted: Wanted,
        extent: Extent,
        out: &mut Vec<GossipAction>,
    ) {
        let chosen = self.choose_told(now, to, extent);
        let others = self.tell(now, chosen);
        let doubted = self.view.known().iter();
        let doubted = doubted
            .filter(|known| known.is_unanswering(now))
            .map(|known| known.peer.address)
            .take(MAX_DOUBTS)
            .collect();
        self.push(to, wanted, others, doubted, out);
    }

    /// Sends a message with the own state and what the arguments add.
    fn push(
        &self,
        to: SocketAddr,
        wanted: Wanted,
        others: Vec<ToldPeer>,
        doubted: Vec<SocketAddr>,
        out: &mut Vec<GossipAction>,
    ) {
        let message = PeerMessage::Gossip(Gossip {
            wanted,
            sender: self.own.clone(),
            others,
            doubted,
        });
        out.push(GossipAction::Send { to, message });
    }

    /// Describes the processes at `addresses`.
    fn tell(&mut self, now: TimeMs, addresses: Vec<SocketAddr>) -> Vec<ToldPeer> {
        let mut told = Vec::with_capacity(addresses.len());
        for address in addresses {
            if let Some(known) = self.view.find_known_mut(address) {
                known.news_messages = known.news_messages.saturating_sub(1);
                told.push(ToldPeer {
                    peer: known.peer.clone(),
                    age_ms: now.since(known.alive),
                });
            }
        }
        told
    }

    /// Returns whom to tell of: those with news first, the least told ones before others, then some
    /// at random.
    fn choose_told(&mut self, now: TimeMs, to: SocketAddr, extent: Extent) -> Vec<SocketAddr> {
        let own = self.own.address;
        let is_told = |known: &KnownPeer| {
            let is_other = ![own, to].contains(&known.peer.address);
            is_other && known.is_confirmed && !known.is_unreachable(now)
        };
        let known = self.view.known();
        let mut news: Vec<_> = known
            .iter()
            .filter(|known| known.news_messages > 0 && is_told(known))
            .map(|known| (known.news_messages, known.peer.address))
            .collect();
        news.shuffle(&mut self.random);
        news.sort_by_key(|(messages, _)| std::cmp::Reverse(*messages));
        let (max_news, max_others) = match extent {
            Extent::News => (MAX_NEWS, FILLERS),
            Extent::View => (MAX_VIEW, MAX_VIEW),
        };
        let mut told: Vec<_> = news.iter().map(|(_, address)| *address).collect();
        told.truncate(max_news);
        let others = known.choose_multiple(&mut self.random, max_others);
        for other in others.filter(|known| is_told(known)) {
            if told.len() < MAX_VIEW && !told.contains(&other.peer.address) {
                told.push(other.peer.address);
            }
        }
        told
    }
}
