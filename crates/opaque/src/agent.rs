//! Agent's decisions: what its upstream gets, and where everything else goes.
//!
//! The agent is the gate of its upstream: each packet of a caller passes through it. It lets
//! opening packets through only while the upstream serves the service that was asked for.

use std::cmp::Ordering;
use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, PerMille, Phase, ResultCode, ServiceName, TimeMs};

use crate::flow_table::{FlowChange, HeldFlows};
use crate::gossip::{GossipAction, GossipEvent, GossipMachine};
use crate::message::Search;
use crate::peer::{AgentStatus, Peer, PeerRole};
use crate::pending::{Offer, Offers, OpenOffer};
use crate::placement::DomainTag;
use crate::record::{EarlierRecord, FlowRecord, record_interval_ms};
use crate::segment::{Segment, SegmentKind};
use crate::upstream::{ReportKind, UpstreamHealth, UpstreamReport};
use crate::view::Quest;

/// Time after its entry in the directory during which a new agent takes no new flows: gossip has
/// reached every process by then.
const JOINING_MS: DurationMs = DurationMs(1_000);

/// Time after which an agent takes new flows although its entry could not be written.
const JOINING_LIMIT_MS: DurationMs = DurationMs(8_000);

/// Part of the load that the latest measurement makes up, in thousandths: the load follows a change
/// within a second.
const LOAD_GAIN: u32 = 300;

/// Agents that pass a new flow on because its request would wait there; the next one takes it.
const MAX_CROWDED_HOPS: usize = 2;

/// Agents that a packet visits at most.
const MAX_VISITED: usize = 96;

/// Options of the machine.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Process as it describes itself at start.
    pub local_peer: Peer,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Time between two heartbeats of the upstream.
    pub heartbeat_ms: DurationMs,
    /// Time without packets after which a flow is forgotten.
    pub flow_idle_ms: DurationMs,
    /// Seed of random choices.
    pub seed: u64,
}

/// Something that the machine learns.
#[derive(Clone, Debug)]
pub enum AgentEvent<'a> {
    /// Packet of a caller, from a balancer or another agent.
    Forwarded {
        /// Way of the packet so far.
        search: Search,
        /// Packet.
        segment: Segment,
        /// Bytes of an opening packet, which are kept until it is answered.
        opening: &'a [u8],
    },
    /// Packet that the upstream sends to a caller.
    Sent(Segment),
    /// Packet of a caller that the upstream does not take.
    Returned {
        /// Packet.
        segment: Segment,
        /// Token under which it was delivered.
        token: u32,
    },
    /// Heartbeat of the upstream.
    Report(UpstreamReport),
    /// The upstream ended; it told its name, or the platform ends the VM.
    Deregistered(Option<String>),
    /// The directory has the agent.
    Registered {
        /// It had the agent before it started.
        was_known: bool,
    },
    /// The record of the process before this one was read; there may be none.
    RecordRead(Option<FlowRecord>),
    /// Time passed.
    Tick,
    /// The time to measure the load came.
    Measure,
    /// The upstream's address was looked at.
    Probed {
        /// The VM answers, and no process listens there.
        is_refused: bool,
    },
    /// Event of the gossip.
    Gossip(GossipEvent),
}

/// Something that the edge does; packets are those of the event unless an action carries one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentAction {
    /// Hands the packet to the upstream.
    Deliver {
        /// Token that comes back with the packet if the upstream does not take it.
        token: u32,
    },
    /// Sends the packet of the upstream to its caller.
    Reply,
    /// Sends the packet to another agent.
    ForwardToAgent {
        /// Agent.
        to: SocketAddr,
        /// Way of the packet.
        search: Search,
        /// Packet, if it is an earlier one than that of the event.
        packet: Option<Vec<u8>>,
    },
    /// Sends the packet back to its balancer, since no known agent is left to ask.
    ReturnToBalancer {
        /// Way of the packet.
        search: Search,
        /// Packet, if it is an earlier one than that of the event.
        packet: Option<Vec<u8>>,
    },
    /// Tells `to` that this agent's upstream holds `flow`.
    AnnounceOwner {
        /// Receiver.
        to: SocketAddr,
        /// Flow.
        flow: FlowKey,
    },
    /// Drops the packet.
    Drop(ResultCode),
    /// Tells the caller of a flow that ended with its upstream.
    Reset {
        /// Flow.
        flow: FlowKey,
        /// What the caller acknowledges next.
        acknowledged: u32,
    },
    /// The upstream accepted a flow.
    Accepted {
        /// Time since its opening packet was delivered.
        after_ms: DurationMs,
    },
    /// The upstream began to answer a request.
    Answered {
        /// Time since the request was delivered.
        after_ms: DurationMs,
    },
    /// Looks whether a process listens at the upstream's address.
    Probe,
    /// The phase or weight that other processes see changed.
    StatusChanged(AgentStatus),
    /// Action of the gossip.
    Gossip(GossipAction),
}

/// Decides about each packet at an upstream.
#[derive(Clone, Debug)]
pub struct AgentMachine {
    gossip: GossipMachine,
    service: ServiceName,
    flows: HeldFlows,
    offers: Offers,
    phase: Phase,
    started: TimeMs,
    /// When the directory got the entry of the agent.
    entered: Option<TimeMs>,
    upstream: UpstreamHealth,
    /// Record of the process before this one.
    earlier: EarlierRecord,
    /// Requests at the upstream for each thousand slots, smoothed.
    load: u32,
}

impl AgentMachine {
    /// Creates the machine at the start of the process.
    pub fn new(now: TimeMs, options: AgentOptions) -> Self {
        Self {
            gossip: GossipMachine::new(options.local_peer, options.seed),
            service: options.service,
            flows: HeldFlows::new(options.flow_idle_ms),
            offers: Offers::new(options.seed as u32),
            phase: Phase::Joining,
            started: now,
            entered: None,
            upstream: UpstreamHealth::new(now, options.heartbeat_ms),
            earlier: EarlierRecord::default(),
            load: 0,
        }
    }

    /// Returns the gossip of the process.
    pub const fn gossip(&self) -> &GossipMachine {
        &self.gossip
    }

    /// Returns how many flows the upstream is known to hold.
    pub fn held_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the open flows for the platform store, unless the record there is still needed.
    pub fn record(&self) -> Option<FlowRecord> {
        let is_settled = matches!(self.earlier, EarlierRecord::Settled);
        if !is_settled || self.phase == Phase::Gone {
            return None;
        }
        Some(FlowRecord {
            incarnation: self.upstream.incarnation()?,
            flows: self.flows.record(),
        })
    }

    /// Returns the time between two records.
    pub fn record_interval_ms(&self, now: TimeMs) -> DurationMs {
        record_interval_ms(self.gossip.view().reachable_agents(now))
    }

    /// Returns whether the machine waits for answers of the upstream and wants ticks.
    pub fn awaits_answers(&self) -> bool {
        self.offers.has_openings() || self.upstream.is_awaited()
    }

    /// Returns the phase of the upstream.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes an event.
    pub fn handle(&mut self, now: TimeMs, event: AgentEvent<'_>, out: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::Forwarded {
                search,
                segment,
                opening,
            } => self.forwarded(now, search, &segment, opening, out),
            AgentEvent::Sent(segment) => self.sent(now, &segment, out),
            AgentEvent::Returned { segment, token } => self.returned(now, &segment, token, out),
            AgentEvent::Report(report) => self.report(now, report, out),
            AgentEvent::Deregistered(id) => self.left(now, id.as_deref(), out),
            AgentEvent::Registered { was_known } => {
                self.entered = Some(if was_known { now - JOINING_MS } else { now });
                self.tick(now, out);
            }
            AgentEvent::RecordRead(record) => {
                self.earlier = record.map_or(EarlierRecord::Settled, EarlierRecord::Undecided);
                self.settle_record(now, out);
            }
            AgentEvent::Tick => self.tick(now, out),
            AgentEvent::Measure => {
                self.measure();
                self.tick(now, out);
            }
            AgentEvent::Probed { is_refused } => self.probed(now, is_refused, out),
            AgentEvent::Gossip(event) => self.spread(now, event, out),
        }
    }

    fn forwarded(
        &mut self,
        now: TimeMs,
        search: Search,
        segment: &Segment,
        opening: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        if segment.kind == SegmentKind::Accepting {
            out.push(AgentAction::Drop(ResultCode::PacketMalformed));
            return;
        }
        if self.upstream.is_dead() {
            self.pass_on(now, search, segment, None, out);
            return;
        }
        if self.flows.contains(&segment.flow) {
            if self.flows.owns(now, segment) {
                if !search.visited.is_empty() && !segment.is_opening() {
                    out.push(AgentAction::AnnounceOwner {
                        to: search.balancer,
                        flow: segment.flow,
                    });
                }
                self.deliver(now, search, segment, None, out);
            } else {
                self.pass_on(now, search, segment, None, out);
            }
            return;
        }
        if !segment.is_opening() {
            self.deliver(now, search, segment, None, out);
            return;
        }
        let is_for_us = self.takes_new_flows() && search.service == self.service;
        if is_for_us && !self.leaves_to_others(now, &search, segment) {
            self.deliver(now, search, segment, Some(opening), out);
        } else {
            self.pass_on(now, search, segment, None, out);
        }
    }

    /// Returns whether the request of a new flow would wait here and another agent may be free.
    fn leaves_to_others(&self, now: TimeMs, search: &Search, segment: &Segment) -> bool {
        let recent = self.offers.recent_openings();
        let expected = recent.filter(|flow| !self.flows.is_busy(flow)).count();
        let requests = self.flows.busy_flows() as usize + expected;
        if requests <= self.upstream.slots() as usize || search.visited.len() >= MAX_CROWDED_HOPS {
            return false;
        }
        let mut visited = search.visited.clone();
        visited.push(self.gossip.local_peer().address);
        let quest = Quest {
            flow: &segment.flow,
            near: search.near,
            service: &search.service,
            visited: &visited,
            is_opening: true,
        };
        self.gossip.view().next_agent(now, quest).is_some()
    }

    fn deliver(
        &mut self,
        now: TimeMs,
        search: Search,
        segment: &Segment,
        opening: Option<&[u8]>,
        out: &mut Vec<AgentAction>,
    ) {
        let offer = Offer {
            flow: segment.flow,
            search,
            is_later_copy: matches!(segment.kind, SegmentKind::Opening { copy: 1.. }),
        };
        let token = self.offers.add(offer);
        if segment.is_opening() || segment.payload_bytes > 0 || segment.is_last {
            self.upstream.asked(now);
        }
        if let Some(packet) = opening {
            self.offers.await_answer(OpenOffer {
                flow: segment.flow,
                offered: now,
                token,
                packet: packet.to_vec(),
            });
        }
        out.push(AgentAction::Deliver { token });
    }

    fn sent(&mut self, now: TimeMs, segment: &Segment, out: &mut Vec<AgentAction>) {
        self.upstream.lives();
        let change = self.flows.sent(now, segment);
        out.push(AgentAction::Reply);
        match change {
            Some(FlowChange::Accepted) => self.accepted(now, segment.flow, out),
            Some(FlowChange::Answered { after_ms }) => {
                self.upstream.count_request(false);
                out.push(AgentAction::Answered { after_ms });
            }
            Some(FlowChange::Broken) => self.upstream.count_request(true),
            None => {}
        }
    }

    /// Tells the balancers of the caller's failure domain of an accepted flow that they would look
    /// for elsewhere first.
    fn accepted(&mut self, now: TimeMs, flow: FlowKey, out: &mut Vec<AgentAction>) {
        let Some((offered, offer)) = self.offers.awaited(&flow) else {
            return;
        };
        let after_ms = now.since(offered);
        out.push(AgentAction::Accepted { after_ms });
        let near = offer.search.near;
        let view = self.gossip.view();
        let quest = Quest {
            flow: &flow,
            near,
            service: &offer.search.service,
            visited: &[],
            is_opening: false,
        };
        let is_first = view.next_agent(now, quest) == Some(self.gossip.local_peer().address);
        let is_straight = offer.search.visited.is_empty() && !offer.is_later_copy;
        if is_first && is_straight && !offer.search.is_diverted {
            return;
        }
        for balancer in view.reachable_balancers(now) {
            if DomainTag::of(&balancer.failure_domain) == near {
                out.push(AgentAction::AnnounceOwner {
                    to: balancer.address,
                    flow,
                });
            }
        }
    }

    fn returned(&mut self, now: TimeMs, segment: &Segment, token: u32, out: &mut Vec<AgentAction>) {
        self.upstream.lives();
        if !segment.is_opening() {
            self.flows.remove(&segment.flow);
        }
        let Some(offer) = self.offers.take(token, &segment.flow) else {
            // The packet was delivered by an earlier life of this process; the caller sends it again.
            out.push(AgentAction::Drop(ResultCode::EndpointUnknown));
            return;
        };
        self.pass_on(now, offer.search, segment, None, out);
    }

    /// Sends a packet to the next agent that may take it, or back to its balancer.
    fn pass_on(
        &mut self,
        now: TimeMs,
        mut search: Search,
        segment: &Segment,
        packet: Option<Vec<u8>>,
        out: &mut Vec<AgentAction>,
    ) {
        let own = self.gossip.local_peer().address;
        if !search.visited.contains(&own) {
            search.visited.push(own);
        }
        if search.visited.len() > MAX_VISITED {
            out.push(AgentAction::Drop(ResultCode::HopLimit));
            return;
        }
        let next = self
            .gossip
            .view()
            .next_agent(now, Quest::of(&search, segment));
        out.push(match next {
            Some(to) => AgentAction::ForwardToAgent { to, search, packet },
            None => AgentAction::ReturnToBalancer { search, packet },
        });
    }

    fn report(&mut self, now: TimeMs, report: UpstreamReport, out: &mut Vec<AgentAction>) {
        let is_draining = report.is_draining;
        match self.upstream.take_report(now, report) {
            ReportKind::Late => return,
            // A heartbeat that was under way when its sender told its end.
            ReportKind::SameIncarnation if self.phase == Phase::Gone => return,
            ReportKind::SameIncarnation => {}
            ReportKind::NewIncarnation => self.end_flows(out),
        }
        self.settle_record(now, out);
        let phase = match self.phase {
            Phase::Joining if !is_draining && !self.is_known(now) => Phase::Joining,
            _ if is_draining => Phase::Draining,
            _ => Phase::Serving,
        };
        self.set_phase(now, phase, out);
    }

    /// Resets the recorded flows if the upstream's life began after the record, and takes them over
    /// if it is the same.
    fn settle_record(&mut self, now: TimeMs, out: &mut Vec<AgentAction>) {
        let EarlierRecord::Undecided(record) = &self.earlier else {
            return;
        };
        let Some(incarnation) = self.upstream.incarnation() else {
            return;
        };
        let order = incarnation.compare(&record.incarnation);
        let flows = record.flows.iter();
        let flows = flows.filter(|recorded| !self.flows.contains(&recorded.flow));
        match order {
            Some(Ordering::Greater) => out.extend(flows.map(|recorded| AgentAction::Reset {
                flow: recorded.flow,
                acknowledged: recorded.acknowledged,
            })),
            Some(Ordering::Equal) => {
                let flows: Vec<_> = flows.copied().collect();
                self.flows.restore(now, &flows);
            }
            // The record is of a later life, or of one that cannot be ordered: it proves nothing.
            Some(Ordering::Less) | None => {}
        }
        self.earlier = EarlierRecord::Settled;
    }

    fn probed(&mut self, now: TimeMs, is_refused: bool, out: &mut Vec<AgentAction>) {
        if is_refused && self.upstream.end() {
            self.end_flows(out);
            self.publish(now, out);
        }
    }

    /// Tells the callers of all flows that these ended with the upstream's life.
    fn end_flows(&mut self, out: &mut Vec<AgentAction>) {
        let flows = self.flows.take_all().into_iter();
        out.extend(flows.map(|(flow, acknowledged)| AgentAction::Reset { flow, acknowledged }));
    }

    fn left(&mut self, now: TimeMs, id: Option<&str>, out: &mut Vec<AgentAction>) {
        if id.is_none_or(|id| self.upstream.has_id(id)) {
            self.set_phase(now, Phase::Gone, out);
        }
    }

    fn tick(&mut self, now: TimeMs, out: &mut Vec<AgentAction>) {
        while let Some((opening, offer)) = self.offers.next_overdue(now) {
            if self.flows.contains(&offer.flow) {
                continue;
            }
            self.upstream.left_unanswered();
            let segment = Segment {
                flow: offer.flow,
                kind: SegmentKind::Opening { copy: 0 },
                sequence: 0,
                acknowledged: 0,
                payload_bytes: 0,
                is_last: false,
            };
            self.pass_on(now, offer.search, &segment, Some(opening.packet), out);
        }
        if self.upstream.should_be_probed(now) {
            out.push(AgentAction::Probe);
        }
        if self.phase == Phase::Joining && self.is_known(now) {
            self.phase = Phase::Serving;
        }
        self.publish(now, out);
    }

    /// Returns whether every process knows the agent by now.
    fn is_known(&self, now: TimeMs) -> bool {
        match self.entered {
            Some(entered) => now.since(entered) >= JOINING_MS,
            None => now.since(self.started) >= JOINING_LIMIT_MS,
        }
    }

    fn set_phase(&mut self, now: TimeMs, phase: Phase, out: &mut Vec<AgentAction>) {
        self.phase = phase;
        self.publish(now, out);
    }

    fn takes_new_flows(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Tells the other processes when what they see of this one changed.
    fn publish(&mut self, now: TimeMs, out: &mut Vec<AgentAction>) {
        let status = AgentStatus {
            service: self.service.clone(),
            phase: self.phase,
            weight: self.upstream.weight(now),
            load: PerMille(u16::try_from(self.load).unwrap_or(u16::MAX)),
        };
        let told = self.gossip.local_peer().agent();
        if !told.is_some_and(|told| told.is_same_state(&status)) {
            out.push(AgentAction::StatusChanged(status.clone()));
        }
        self.spread(
            now,
            GossipEvent::LocalRoleChanged(PeerRole::Agent(status)),
            out,
        );
    }

    fn measure(&mut self) {
        self.upstream.measure();
        let measured = self.flows.busy_flows() * 1_000 / self.upstream.slots();
        self.load = (self.load * (1_000 - LOAD_GAIN) + measured * LOAD_GAIN) / 1_000;
    }

    fn spread(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<AgentAction>) {
        let mut actions = Vec::new();
        self.gossip.handle(now, event, &mut actions);
        out.extend(actions.into_iter().map(AgentAction::Gossip));
    }
}
