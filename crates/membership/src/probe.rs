//! SWIM-style failure detection among balancers: probes, suspicion and removal.

use hawthorntide_types::{DurationMs, NodeId, TimeMs};
use hawthorntide_wire::control::{self, control_message::Body};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::gossip::{GossipAction, GossipMachine, Sender, send};
use crate::member::{Health, Record, Stamp};
use crate::pack::HealthUpdate;
use crate::updates::Item;

/// Interval of probes.
const PROBE_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// Time to wait for a direct acknowledgement before indirect probes are requested.
const DIRECT_ACK_TIMEOUT_MS: DurationMs = DurationMs(300);
/// Time to wait for a direct or indirect acknowledgement before the target is suspected.
const ACK_TIMEOUT_MS: DurationMs = DurationMs(900);
/// Balancers that are asked to probe a target that did not acknowledge.
const INDIRECT_PROBE_COUNT: usize = 3;
/// Time that a suspected balancer has to refute the suspicion. Covers a pause of 2 s and lost
/// datagrams.
const SUSPICION_TIMEOUT_MS: DurationMs = DurationMs(4_000);
/// Interval at which each process probes the balancers that it suspects.
const SUSPECT_PROBE_INTERVAL_MS: DurationMs = DurationMs(500);
/// Highest local health score; timeouts and the probe interval are multiplied by 1 + score.
const MAX_HEALTH_SCORE: u64 = 4;
/// Interval at which a random removed balancer is probed, to detect the end of a network partition.
const REMOVED_PROBE_INTERVAL_MS: DurationMs = DurationMs(10_000);
/// Indirect probes that one process relays at the same time.
const MAX_RELAYED_PROBES: usize = 64;

#[derive(Clone, Debug)]
struct PendingProbe {
    target: NodeId,
    sequence: u64,
    sent_at: TimeMs,
    /// Whether indirect probes were requested.
    is_indirect: bool,
}

#[derive(Clone, Debug)]
struct Suspicion {
    target: NodeId,
    stamp: Stamp,
    since: TimeMs,
    last_probe_at: TimeMs,
    /// Sequence number of the last probe; 0 before the first one.
    sequence: u64,
}

/// Probe that is sent on behalf of another balancer.
#[derive(Clone, Debug)]
struct RelayedProbe {
    sequence: u64,
    requester: Sender,
    requester_sequence: u64,
    expires_at: TimeMs,
}

/// State of the failure detector.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probing {
    /// Targets that remain in this round, in random order.
    order: Vec<NodeId>,
    pending: Option<PendingProbe>,
    suspicions: Vec<Suspicion>,
    relayed: Vec<RelayedProbe>,
    last_sequence: u64,
    next_probe_at: TimeMs,
    next_removed_probe_at: TimeMs,
    /// Local health score as in Lifeguard; 0 is healthy. Rises with each unacknowledged probe,
    /// local pause and refutation, because this process itself may be slow or badly connected.
    health_score: u64,
    last_message_at: TimeMs,
}

impl Probing {
    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    fn scaled(&self, duration: DurationMs) -> DurationMs {
        DurationMs(duration.get() * (1 + self.health_score))
    }
}

impl GossipMachine {
    pub(crate) fn start_probing(&mut self) {
        let spread = self.rng.random_range(0..PROBE_INTERVAL_MS.get());
        self.probing.next_probe_at = self.now + DurationMs(spread);
        let spread = self.rng.random_range(0..REMOVED_PROBE_INTERVAL_MS.get());
        self.probing.next_removed_probe_at = self.now + DurationMs(spread);
        self.probing.last_message_at = self.now;
    }

    pub(crate) fn worsen_local_health(&mut self) {
        self.probing.health_score = MAX_HEALTH_SCORE.min(self.probing.health_score + 1);
    }

    /// Discards a probe whose acknowledgement may have been lost during a local pause.
    pub(crate) fn discard_pending_probe(&mut self) {
        self.probing.pending = None;
    }

    pub(crate) fn record_message_received(&mut self, _node: NodeId) {
        self.probing.last_message_at = self.now;
    }

    pub(crate) fn time_since_last_message(&self) -> DurationMs {
        self.now.since(self.probing.last_message_at)
    }

    pub(crate) fn tick_probing(&mut self, out: &mut Vec<GossipAction>) {
        self.check_pending_probe(out);
        self.check_suspicions(out);
        self.probe_next(out);
        self.probe_removed(out);
        let now = self.now;
        self.probing.relayed.retain(|relay| relay.expires_at > now);
    }

    fn probe_next(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.probing.next_probe_at || self.probing.pending.is_some() {
            return;
        }
        self.probing.next_probe_at = self.now + self.probing.scaled(PROBE_INTERVAL_MS);
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.send_probe(target, out);
        self.probing.pending = Some(PendingProbe {
            target,
            sequence,
            sent_at: self.now,
            is_indirect: false,
        });
    }

    /// Returns the next target; every round probes each live balancer once, in random order.
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
        let number = self.probing.next_sequence();
        let Some(record) = self.balancers.get(target.get()) else {
            return number;
        };
        let to = record.control_address;
        // Tells a suspected or removed target about its state, so that it can refute it at once.
        let target_item =
            (record.stamp.health != Health::Alive).then_some(Item::Balancer(target.get()));
        let gossip = self.piggyback(target_item);
        send(out, to, Body::Probe(control::Probe { number, gossip }));
        number
    }

    pub(crate) fn handle_probe(
        &mut self,
        from: Sender,
        probe: control::Probe,
        out: &mut Vec<GossipAction>,
    ) {
        if let Some(gossip) = probe.gossip {
            self.handle_gossip(from, gossip, out);
        }
        let is_live_record = |peer: &crate::BalancerMember| peer.is_live();
        let is_live = self
            .balancers
            .get(from.node.get())
            .is_some_and(is_live_record);
        // A sender that is not live here gets the held record, so that it can refute it. An unknown
        // sender gets a join request, and its reply contains its record.
        let sender_item = if is_live {
            None
        } else {
            Some(Item::Balancer(from.node.get()))
        };
        let gossip = self.piggyback(sender_item);
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

    pub(crate) fn handle_probe_ack(
        &mut self,
        from: Sender,
        ack: control::ProbeAck,
        out: &mut Vec<GossipAction>,
    ) {
        if let Some(gossip) = ack.gossip {
            self.handle_gossip(from, gossip, out);
        }
        let sequence = ack.number;
        let probing = &mut self.probing;
        if let Some(index) = probing
            .relayed
            .iter()
            .position(|relay| relay.sequence == sequence)
        {
            let relay = probing.relayed.swap_remove(index);
            let ack = control::ProbeAck {
                number: relay.requester_sequence,
                gossip: None,
            };
            send(out, relay.requester.address, Body::ProbeAck(ack));
            return;
        }
        if probing
            .pending
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            probing.pending = None;
            probing.health_score = probing.health_score.saturating_sub(1);
        }
        // An acknowledgement of the last probe of a suspicion ends the suspicion in this process.
        // The record changes only when the target refutes it.
        probing.suspicions.retain(|held| held.sequence != sequence);
    }

    pub(crate) fn handle_indirect_probe(
        &mut self,
        from: Sender,
        probe: control::IndirectProbe,
        out: &mut Vec<GossipAction>,
    ) {
        let target = NodeId(probe.target_node_id);
        if self.probing.relayed.len() >= MAX_RELAYED_PROBES
            || self.balancers.get(target.get()).is_none()
        {
            return;
        }
        let sequence = self.send_probe(target, out);
        self.probing.relayed.push(RelayedProbe {
            sequence,
            requester: from,
            requester_sequence: probe.number,
            expires_at: self.now + ACK_TIMEOUT_MS,
        });
    }

    fn check_pending_probe(&mut self, out: &mut Vec<GossipAction>) {
        let Some(probe) = self.probing.pending.clone() else {
            return;
        };
        let elapsed = self.now.since(probe.sent_at);
        if elapsed >= self.probing.scaled(ACK_TIMEOUT_MS) {
            self.probing.pending = None;
            self.worsen_local_health();
            self.suspect(probe.target, out);
            return;
        }
        if probe.is_indirect || elapsed < self.probing.scaled(DIRECT_ACK_TIMEOUT_MS) {
            return;
        }
        if let Some(held) = &mut self.probing.pending {
            held.is_indirect = true;
        }
        let target = probe.target;
        let mut rng = self.rng.clone();
        let helpers: Vec<_> = self
            .peers()
            .filter(|peer| peer.id != target)
            .map(|peer| peer.control_address)
            .choose_multiple(&mut rng, INDIRECT_PROBE_COUNT);
        self.rng = rng;
        for helper in helpers {
            let request = control::IndirectProbe {
                number: probe.sequence,
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
            last_probe_at: self.now,
            sequence: 0,
        });
        self.update_balancer_health(target, stamp, out);
    }

    fn update_balancer_health(
        &mut self,
        target: NodeId,
        stamp: Stamp,
        out: &mut Vec<GossipAction>,
    ) {
        let health_update = HealthUpdate {
            key: target.get(),
            stamp,
            is_balancer: true,
        };
        self.apply_health_update(health_update, out);
    }

    /// Probes suspected balancers again and removes those that do not refute in time. Only a
    /// process whose probes failed removes the target: a process that merely missed a refutation
    /// does not.
    fn check_suspicions(&mut self, out: &mut Vec<GossipAction>) {
        let balancers = &self.balancers;
        let is_unresolved = |held: &Suspicion| {
            balancers.get(held.target.get()).is_some_and(|record| {
                let stamp = record.stamp();
                record.is_live()
                    && stamp.incarnation == held.stamp.incarnation
                    && stamp.revision == held.stamp.revision
            })
        };
        self.probing.suspicions.retain(is_unresolved);
        for held in self.probing.suspicions.clone() {
            let has_timed_out =
                self.now.since(held.since) >= self.probing.scaled(SUSPICION_TIMEOUT_MS);
            if has_timed_out && !self.must_defer_removal(&held.failure_domain(self), out) {
                let mut stamp = held.stamp;
                stamp.health = Health::Removed;
                self.counters.removals += 1;
                self.update_balancer_health(held.target, stamp, out);
                continue;
            }
            if self.now.since(held.last_probe_at) < SUSPECT_PROBE_INTERVAL_MS {
                continue;
            }
            let sequence = self.send_probe(held.target, out);
            let suspicions = &mut self.probing.suspicions;
            if let Some(suspicion) = suspicions
                .iter_mut()
                .find(|suspicion| suspicion.target == held.target)
            {
                suspicion.last_probe_at = self.now;
                suspicion.sequence = sequence;
            }
        }
    }

    /// Probes a random removed balancer, which may be reachable again after a network partition.
    fn probe_removed(&mut self, out: &mut Vec<GossipAction>) {
        if self.now < self.probing.next_removed_probe_at {
            return;
        }
        self.probing.next_removed_probe_at = self.now + REMOVED_PROBE_INTERVAL_MS;
        let is_removed = |record: &&crate::BalancerMember| record.stamp.health == Health::Removed;
        let target = self
            .balancers
            .records()
            .filter(is_removed)
            .map(|record| record.id)
            .choose(&mut self.rng);
        if let Some(target) = target {
            self.send_probe(target, out);
        }
    }
}

impl Suspicion {
    fn failure_domain(&self, machine: &GossipMachine) -> hawthorntide_types::FailureDomain {
        machine.balancers.get(self.target.get()).map_or_else(
            || machine.local.failure_domain.clone(),
            |record| record.failure_domain.clone(),
        )
    }
}
