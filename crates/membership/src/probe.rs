//! Probes among balancers, suspicion and removal of those that do not respond.

use hawthorntide_types::{DurationMs, NodeId, TimeMs};
use hawthorntide_wire::control::{self, control_message::Body};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::gossip::{GossipAction, GossipMachine, Sender, send};
use crate::member::{Health, Record, Stamp};
use crate::pack::Judgement;
use crate::updates::Item;

/// Interval of probes.
const PROBE_MS: DurationMs = DurationMs(1_000);
/// Wait for the direct answer before other balancers are asked to probe.
const DIRECT_MS: DurationMs = DurationMs(300);
/// Wait for any answer before the target is suspected.
const ANSWER_MS: DurationMs = DurationMs(900);
/// Balancers that are asked to probe a silent target.
const INDIRECT: usize = 3;
/// Time that a suspected balancer has to respond; covers a pause of 2 s and lost datagrams.
const SUSPICION_MS: DurationMs = DurationMs(4_000);
/// Interval at which a suspected balancer is probed by those that suspect it.
const REPROBE_MS: DurationMs = DurationMs(500);
/// Highest local health score; intervals and waits grow by this factor at most.
const MAX_SCORE: u64 = 4;
/// Interval at which one removed balancer is tried, to find the end of a split.
const DEAD_RETRY_MS: DurationMs = DurationMs(10_000);
/// Indirect probes that one process carries out at the same time.
const MAX_RELAYS: usize = 64;

#[derive(Clone, Debug)]
struct InFlight {
    target: NodeId,
    number: u64,
    sent_at: TimeMs,
    is_indirect: bool,
}

#[derive(Clone, Debug)]
struct Suspicion {
    target: NodeId,
    stamp: Stamp,
    since: TimeMs,
    probed_at: TimeMs,
    number: u64,
}

#[derive(Clone, Debug)]
struct Relay {
    number: u64,
    origin: Sender,
    origin_number: u64,
    expires_at: TimeMs,
}

/// State of the probes of one balancer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probing {
    order: Vec<NodeId>,
    in_flight: Option<InFlight>,
    suspicions: Vec<Suspicion>,
    relays: Vec<Relay>,
    next_number: u64,
    probe_at: TimeMs,
    dead_retry_at: TimeMs,
    /// Signs that this process itself is slow or badly connected.
    score: u64,
    heard_at: TimeMs,
}

impl Probing {
    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn scaled(&self, duration: DurationMs) -> DurationMs {
        DurationMs(duration.get() * (1 + self.score))
    }
}

impl GossipMachine {
    pub(crate) fn start_probing(&mut self) {
        let spread = self.rng.random_range(0..PROBE_MS.get());
        self.probing.probe_at = self.now + DurationMs(spread);
        let spread = self.rng.random_range(0..DEAD_RETRY_MS.get());
        self.probing.dead_retry_at = self.now + DurationMs(spread);
        self.probing.heard_at = self.now;
    }

    pub(crate) fn worsen_local_health(&mut self) {
        self.probing.score = MAX_SCORE.min(self.probing.score + 1);
    }

    /// Drops a probe whose answer may have been lost in a pause.
    pub(crate) fn forget_probe(&mut self) {
        self.probing.in_flight = None;
    }

    pub(crate) fn note_heard(&mut self, _node: NodeId) {
        self.probing.heard_at = self.now;
    }

    /// Returns the time since any other process was heard.
    pub(crate) fn unheard(&self) -> DurationMs {
        self.now.since(self.probing.heard_at)
    }

    pub(crate) fn tick_probing(&mut self, out: &mut Vec<GossipAction>) {
        self.check_answer(out);
        self.check_suspicions(out);
        self.probe_next(out);
        self.retry_dead(out);
        let now = self.now;
        self.probing.relays.retain(|relay| relay.expires_at > now);
    }

    fn probe_next(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.probing.probe_at || self.probing.in_flight.is_some() {
            return;
        }
        self.probing.probe_at = self.now + self.probing.scaled(PROBE_MS);
        let Some(target) = self.next_target() else {
            return;
        };
        let number = self.send_probe(target, out);
        self.probing.in_flight = Some(InFlight {
            target,
            number,
            sent_at: self.now,
            is_indirect: false,
        });
    }

    /// Returns the next balancer of a random order in which each comes once.
    fn next_target(&mut self) -> Option<NodeId> {
        loop {
            if self.probing.order.is_empty() {
                let mut order: Vec<NodeId> = self.peers().map(|peer| peer.id).collect();
                order.shuffle(&mut self.rng);
                self.probing.order = order;
            }
            let target = self.probing.order.pop()?;
            let is_live = |peer: &crate::BalancerMember| peer.is_live();
            if self.balancers.get(target.get()).is_some_and(is_live) {
                return Some(target);
            }
        }
    }

    fn send_probe(&mut self, target: NodeId, out: &mut Vec<GossipAction>) -> u64 {
        let number = self.probing.number();
        let Some(record) = self.balancers.get(target.get()) else {
            return number;
        };
        let to = record.control_address;
        // A judged process learns of the judgement from the probe and can refute it at once.
        let judged = (record.stamp.health != Health::Alive).then_some(Item::Balancer(target.get()));
        let gossip = self.piggyback(judged);
        send(out, to, Body::Probe(control::Probe { number, gossip }));
        number
    }

    pub(crate) fn take_probe(
        &mut self,
        from: Sender,
        probe: control::Probe,
        out: &mut Vec<GossipAction>,
    ) {
        if let Some(gossip) = probe.gossip {
            self.take_gossip(from, gossip, out);
        }
        let is_known = |peer: &crate::BalancerMember| peer.is_live();
        let is_live = self.balancers.get(from.node.get()).is_some_and(is_known);
        // A process that is not live here learns that, and an answer brings its own record.
        let first = if is_live {
            None
        } else {
            Some(Item::Balancer(from.node.get()))
        };
        let gossip = self.piggyback(first);
        let number = probe.number;
        send(
            out,
            from.address,
            Body::ProbeAck(control::ProbeAck { number, gossip }),
        );
        if !is_live && self.balancers.get(from.node.get()).is_none() {
            let balancer = Some(crate::member::balancer_to_wire(&self.local, 0));
            send(out, from.address, Body::Join(control::Join { balancer }));
        }
    }

    pub(crate) fn take_probe_ack(
        &mut self,
        from: Sender,
        ack: control::ProbeAck,
        out: &mut Vec<GossipAction>,
    ) {
        if let Some(gossip) = ack.gossip {
            self.take_gossip(from, gossip, out);
        }
        let number = ack.number;
        let probing = &mut self.probing;
        if let Some(index) = probing
            .relays
            .iter()
            .position(|relay| relay.number == number)
        {
            let relay = probing.relays.swap_remove(index);
            let ack = control::ProbeAck {
                number: relay.origin_number,
                gossip: None,
            };
            send(out, relay.origin.address, Body::ProbeAck(ack));
            return;
        }
        if probing
            .in_flight
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            probing.in_flight = None;
            probing.score = probing.score.saturating_sub(1);
        }
        // An answer to any probe ends the suspicion; the record follows by refutation.
        probing.suspicions.retain(|held| held.number != number);
    }

    pub(crate) fn take_indirect_probe(
        &mut self,
        from: Sender,
        probe: control::IndirectProbe,
        out: &mut Vec<GossipAction>,
    ) {
        let target = NodeId(probe.target_node_id);
        if self.probing.relays.len() >= MAX_RELAYS || self.balancers.get(target.get()).is_none() {
            return;
        }
        let number = self.send_probe(target, out);
        self.probing.relays.push(Relay {
            number,
            origin: from,
            origin_number: probe.number,
            expires_at: self.now + ANSWER_MS,
        });
    }

    fn check_answer(&mut self, out: &mut Vec<GossipAction>) {
        let Some(probe) = self.probing.in_flight.clone() else {
            return;
        };
        let waited = self.now.since(probe.sent_at);
        if waited >= self.probing.scaled(ANSWER_MS) {
            self.probing.in_flight = None;
            self.worsen_local_health();
            self.suspect(probe.target, out);
            return;
        }
        if probe.is_indirect || waited < self.probing.scaled(DIRECT_MS) {
            return;
        }
        if let Some(held) = &mut self.probing.in_flight {
            held.is_indirect = true;
        }
        let target = probe.target;
        let mut rng = self.rng.clone();
        let helpers: Vec<_> = self
            .peers()
            .filter(|peer| peer.id != target)
            .map(|peer| peer.control_address)
            .choose_multiple(&mut rng, INDIRECT);
        self.rng = rng;
        for helper in helpers {
            let request = control::IndirectProbe {
                number: probe.number,
                target_node_id: target.get(),
            };
            send(out, helper, Body::IndirectProbe(request));
        }
    }

    fn suspect(&mut self, target: NodeId, out: &mut Vec<GossipAction>) {
        let Some(record) = self.balancers.get(target.get()) else {
            return;
        };
        if !record.is_live()
            || self
                .probing
                .suspicions
                .iter()
                .any(|held| held.target == target)
        {
            return;
        }
        self.counters.suspicions += 1;
        let mut stamp = record.stamp;
        stamp.health = Health::Suspected;
        self.probing.suspicions.push(Suspicion {
            target,
            stamp,
            since: self.now,
            probed_at: self.now,
            number: 0,
        });
        self.judge_balancer(target, stamp, out);
    }

    fn judge_balancer(&mut self, target: NodeId, stamp: Stamp, out: &mut Vec<GossipAction>) {
        let judgement = Judgement {
            key: target.get(),
            stamp,
            is_balancer: true,
        };
        self.apply_judgement(judgement, out);
    }

    /// Probes suspected balancers again and removes those that stay silent. Only a process whose
    /// own probes failed removes, so that a lost refutation does not.
    fn check_suspicions(&mut self, out: &mut Vec<GossipAction>) {
        let balancers = &self.balancers;
        let is_open = |held: &Suspicion| {
            balancers.get(held.target.get()).is_some_and(|record| {
                let stamp = record.stamp();
                record.is_live()
                    && stamp.incarnation == held.stamp.incarnation
                    && stamp.revision == held.stamp.revision
            })
        };
        self.probing.suspicions.retain(is_open);
        for held in self.probing.suspicions.clone() {
            let is_over = self.now.since(held.since) >= self.probing.scaled(SUSPICION_MS);
            if is_over && !self.holds_removal(&held.stamp_domain(self), out) {
                let mut stamp = held.stamp;
                stamp.health = Health::Removed;
                self.counters.removals += 1;
                self.judge_balancer(held.target, stamp, out);
                continue;
            }
            if self.now.since(held.probed_at) < REPROBE_MS {
                continue;
            }
            let number = self.send_probe(held.target, out);
            let suspicions = &mut self.probing.suspicions;
            if let Some(open) = suspicions
                .iter_mut()
                .find(|open| open.target == held.target)
            {
                open.probed_at = self.now;
                open.number = number;
            }
        }
    }

    /// Tries one removed balancer, which may be behind a split that has ended.
    fn retry_dead(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.probing.dead_retry_at {
            return;
        }
        self.probing.dead_retry_at = self.now + DEAD_RETRY_MS;
        let removed = |record: &&crate::BalancerMember| record.stamp.health == Health::Removed;
        let target = self
            .balancers
            .records()
            .filter(removed)
            .map(|record| record.id)
            .choose(&mut self.rng);
        if let Some(target) = target {
            self.send_probe(target, out);
        }
    }
}

impl Suspicion {
    fn stamp_domain(&self, machine: &GossipMachine) -> hawthorntide_types::FailureDomain {
        machine.balancers.get(self.target.get()).map_or_else(
            || machine.local.failure_domain.clone(),
            |record| record.failure_domain.clone(),
        )
    }
}
