//! Confirm queries: which balancer holds which version, asked only while an operator waits.

use hawthorntide_types::{DurationMs, NodeId, TimeMs, Version};
use hawthorntide_wire::control::{self, control_message::Body};

use crate::gossip::{ConfirmReport, GossipAction, GossipMachine, Sender, send};

/// Interval of queries to balancers that have not confirmed.
const QUERY_MS: DurationMs = DurationMs(500);
/// Queries in one tick; spreads the answers of a large fleet.
const MAX_PER_TICK: usize = 128;
/// Operators that wait at one balancer at the same time.
const MAX_CONFIRMS: usize = 16;

#[derive(Clone, Debug)]
struct Confirm {
    number: u64,
    kind: String,
    name: String,
    version: Version,
    until: TimeMs,
    ask_at: TimeMs,
    /// Balancers still to ask in this round.
    queue: Vec<NodeId>,
    /// Highest version that each balancer reported, in ascending order of balancers.
    answers: Vec<(NodeId, Version)>,
    reported: usize,
}

/// Confirm queries of this balancer's operators.
#[derive(Clone, Debug, Default)]
pub(crate) struct Confirms {
    open: Vec<Confirm>,
    next_number: u64,
}

impl Confirm {
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

    fn take_answer(&mut self, node: NodeId, version: Version) {
        match self.answers.binary_search_by_key(&node, |answer| answer.0) {
            Ok(index) => self.answers[index].1 = self.answers[index].1.max(version),
            Err(index) => self.answers.insert(index, (node, version)),
        }
    }
}

impl GossipMachine {
    pub(crate) fn begin_confirm(
        &mut self,
        kind: String,
        name: String,
        version: Version,
        wait_ms: DurationMs,
    ) {
        let confirms = &mut self.confirms;
        if confirms.open.len() >= MAX_CONFIRMS {
            confirms.open.remove(0);
        }
        confirms.next_number += 1;
        confirms.open.push(Confirm {
            number: confirms.next_number,
            kind,
            name,
            version,
            until: self.now + wait_ms,
            ask_at: self.now,
            queue: Vec::new(),
            answers: Vec::new(),
            reported: usize::MAX,
        });
    }

    pub(crate) fn tick_confirms(&mut self, out: &mut Vec<GossipAction>) {
        let mut open = std::mem::take(&mut self.confirms.open);
        open.retain_mut(|confirm| self.advance_confirm(confirm, out));
        self.confirms.open = open;
    }

    /// Asks those that are missing; returns whether the operator still waits.
    fn advance_confirm(&self, confirm: &mut Confirm, out: &mut Vec<GossipAction>) -> bool {
        let own_version = self.replica.version(&confirm.kind, &confirm.name);
        confirm.take_answer(self.local.id, own_version);
        let mut members: Vec<NodeId> = self.peers().map(|peer| peer.id).collect();
        members.push(self.local.id);
        let (confirmed, pending): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|node| confirm.is_confirmed(*node));
        let is_final = pending.is_empty() || self.now >= confirm.until;
        if is_final || confirm.reported != confirmed.len() {
            confirm.reported = confirmed.len();
            let with_version = |node: NodeId| (node, confirm.answer_of(node).unwrap_or_default());
            out.push(GossipAction::Confirmed(ConfirmReport {
                kind: confirm.kind.clone(),
                name: confirm.name.clone(),
                version: confirm.version,
                confirmed: confirmed.into_iter().map(with_version).collect(),
                pending: pending.clone(),
                is_final,
            }));
        }
        if is_final {
            return false;
        }
        if confirm.queue.is_empty() && self.now >= confirm.ask_at {
            confirm.ask_at = self.now + QUERY_MS;
            confirm.queue = pending;
        }
        let rest = confirm.queue.len().saturating_sub(MAX_PER_TICK);
        for node in confirm.queue.split_off(rest) {
            let Some(peer) = self.balancers.get(node.get()) else {
                continue;
            };
            let query = control::ConfirmQuery {
                number: confirm.number,
                kind: confirm.kind.clone(),
                name: confirm.name.clone(),
                version: confirm.version.get(),
            };
            send(out, peer.control_address, Body::ConfirmQuery(query));
        }
        true
    }

    pub(crate) fn take_confirm_query(
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

    pub(crate) fn take_confirm_answer(
        &mut self,
        from: Sender,
        answer: &control::ConfirmAnswer,
        _out: &mut Vec<GossipAction>,
    ) {
        if answer.node_id != from.node.get() {
            self.counters.malformed += 1;
            return;
        }
        let mut open = self.confirms.open.iter_mut();
        if let Some(confirm) = open.find(|confirm| confirm.number == answer.number) {
            confirm.take_answer(from.node, Version(answer.version_in_force));
        }
    }
}
