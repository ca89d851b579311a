//! Confirmation that all balancers hold a version of an object. Balancers are queried only while an
//! operator waits.

use hawthorntide_types::{DurationMs, NodeId, TimeMs, Version};
use hawthorntide_wire::control::{self, control_message::Body};

use crate::gossip::{ConfirmReport, GossipAction, GossipMachine, Sender, send};

/// Interval of queries to each balancer that has not confirmed yet.
const QUERY_INTERVAL_MS: DurationMs = DurationMs(500);
/// Queries per tick; spreads the answers of a large cluster over time.
const MAX_QUERIES_PER_TICK: usize = 128;
/// Concurrent confirmations of one balancer; the oldest one is dropped at the limit.
const MAX_ACTIVE_CONFIRMATIONS: usize = 16;

#[derive(Clone, Debug)]
struct PendingConfirmation {
    id: u64,
    kind: String,
    name: String,
    version: Version,
    deadline: TimeMs,
    next_query_at: TimeMs,
    /// Balancers that remain to be queried in this round.
    queue: Vec<NodeId>,
    /// Highest version that each balancer reported, sorted by balancer.
    answers: Vec<(NodeId, Version)>,
    /// Confirmed balancers in the last report.
    reported_count: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct PendingConfirmations {
    active: Vec<PendingConfirmation>,
    last_id: u64,
}

impl PendingConfirmation {
    fn answer_of(&self, node: NodeId) -> Option<Version> {
        let index = self
            .answers
            .binary_search_by_key(&node, |answer| answer.0)
            .ok()?;
        self.answers.get(index).map(|answer| answer.1)
    }

    fn is_confirmed(&self, node: NodeId) -> bool {
        self.answer_of(node)
            .is_some_and(|version| version >= self.version)
    }

    fn record_answer(&mut self, node: NodeId, version: Version) {
        match self.answers.binary_search_by_key(&node, |answer| answer.0) {
            Ok(index) => self.answers[index].1 = self.answers[index].1.max(version),
            Err(index) => self.answers.insert(index, (node, version)),
        }
    }
}

impl GossipMachine {
    pub(crate) fn start_confirmation(
        &mut self,
        kind: String,
        name: String,
        version: Version,
        wait_ms: DurationMs,
    ) {
        let confirmations = &mut self.confirmations;
        if confirmations.active.len() >= MAX_ACTIVE_CONFIRMATIONS {
            confirmations.active.remove(0);
        }
        confirmations.last_id += 1;
        confirmations.active.push(PendingConfirmation {
            id: confirmations.last_id,
            kind,
            name,
            version,
            deadline: self.now + wait_ms,
            next_query_at: self.now,
            queue: Vec::new(),
            answers: Vec::new(),
            reported_count: usize::MAX,
        });
    }

    pub(crate) fn tick_confirmations(&mut self, out: &mut Vec<GossipAction>) {
        let mut active = std::mem::take(&mut self.confirmations.active);
        active.retain_mut(|confirmation| self.advance_confirmation(confirmation, out));
        self.confirmations.active = active;
    }

    /// Reports progress and queries the missing balancers; returns `false` when it is finished.
    fn advance_confirmation(
        &self,
        confirmation: &mut PendingConfirmation,
        out: &mut Vec<GossipAction>,
    ) -> bool {
        let local_version = self.replica.version(&confirmation.kind, &confirmation.name);
        confirmation.record_answer(self.local.id, local_version);
        let mut members: Vec<NodeId> = self.peers().map(|peer| peer.id).collect();
        members.push(self.local.id);
        let (confirmed, pending): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|node| confirmation.is_confirmed(*node));
        let is_final = pending.is_empty() || self.now >= confirmation.deadline;
        if is_final || confirmation.reported_count != confirmed.len() {
            confirmation.reported_count = confirmed.len();
            let with_version =
                |node: NodeId| (node, confirmation.answer_of(node).unwrap_or_default());
            out.push(GossipAction::Confirmed(ConfirmReport {
                kind: confirmation.kind.clone(),
                name: confirmation.name.clone(),
                version: confirmation.version,
                confirmed: confirmed.into_iter().map(with_version).collect(),
                pending: pending.clone(),
                is_final,
            }));
        }
        if is_final {
            return false;
        }
        if confirmation.queue.is_empty() && self.now >= confirmation.next_query_at {
            confirmation.next_query_at = self.now + QUERY_INTERVAL_MS;
            confirmation.queue = pending;
        }
        let rest = confirmation
            .queue
            .len()
            .saturating_sub(MAX_QUERIES_PER_TICK);
        for node in confirmation.queue.split_off(rest) {
            let Some(peer) = self.balancers.get(node.get()) else {
                continue;
            };
            let query = control::ConfirmQuery {
                number: confirmation.id,
                kind: confirmation.kind.clone(),
                name: confirmation.name.clone(),
                version: confirmation.version.get(),
            };
            send(out, peer.control_address, Body::ConfirmQuery(query));
        }
        true
    }

    pub(crate) fn handle_confirm_query(
        &mut self,
        from: Sender,
        query: &control::ConfirmQuery,
        out: &mut Vec<GossipAction>,
    ) {
        let answer = control::ConfirmAnswer {
            number: query.number,
            node_id: self.local.id.get(),
            version_in_force: self.replica.version(&query.kind, &query.name).get(),
        };
        send(out, from.address, Body::ConfirmAnswer(answer));
    }

    pub(crate) fn handle_confirm_answer(
        &mut self,
        from: Sender,
        answer: &control::ConfirmAnswer,
        _out: &mut Vec<GossipAction>,
    ) {
        if answer.node_id != from.node.get() {
            self.counters.malformed += 1;
            return;
        }
        let mut active = self.confirmations.active.iter_mut();
        if let Some(confirmation) = active.find(|confirmation| confirmation.id == answer.number) {
            confirmation.record_answer(from.node, Version(answer.version_in_force));
        }
    }
}
