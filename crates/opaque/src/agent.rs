//! State machine of an agent: delivers packets to the upstream or forwards them to other agents.
//!
//! All packets of callers reach the upstream through its agent. The agent delivers an opening packet
//! only while the upstream is serving and belongs to the requested service.

use std::cmp::Ordering;
use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, PerMille, Phase, ResultCode, ServiceName, TimeMs};

use crate::cold_start::ColdStartWindow;
use crate::departure::{Departure, UpstreamDeregistration};
use crate::flow_table::{CallerPacket, FlowChange, FlowTable};
use crate::gossip::{GossipAction, GossipEvent, GossipMachine};
use crate::message::Search;
use crate::opening::{OpeningDecision, OpeningPolicy, OpeningState, VisitedAgent};
use crate::peer::{AgentStatus, Peer, PeerRole};
use crate::pending::{PendingOpening, PendingPacket, PendingPackets};
use crate::placement::DomainTag;
use crate::record::{FlowRecord, PreviousRecord, UpstreamIncarnation, record_interval_ms};
use crate::registrar::{OwnRegistrations, Registrar, RegistrationMessage};
use crate::requests::{HeldPacket, RequestChange, Requests};
use crate::segment::{Segment, SegmentKind};
use crate::upstream::{ReportKind, UpstreamHealth, UpstreamReport};
use crate::view::AgentQuery;

/// A new agent accepts no new flows for this long after its registration in the directory, so that
/// gossip can announce it to every process first.
const JOINING_MS: DurationMs = DurationMs(1_000);

/// An agent that cannot register accepts new flows this long after its start.
const MAX_JOINING_MS: DurationMs = DurationMs(8_000);

/// Weight, per mille, of the latest sample in the smoothed load: the load follows a change within a
/// second.
const LOAD_GAIN: u32 = 300;

#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Record of the local process at its start.
    pub local_peer: Peer,
    pub service: ServiceName,
    /// Interval of the upstream's heartbeats.
    pub heartbeat_ms: DurationMs,
    /// Idle timeout of the flows in the table.
    pub flow_idle_ms: DurationMs,
    pub opening_policy: OpeningPolicy,
    pub seed: u64,
}

/// Input event of the state machine.
#[derive(Clone, Debug)]
pub enum AgentEvent<'a> {
    /// Packet of a caller, from a balancer or another agent.
    Forwarded {
        search: Search,
        segment: Segment,
        /// Bytes of the packet. The state machine keeps those of opening packets until the upstream
        /// answers, and those of requests until they get a slot.
        packet: &'a [u8],
    },
    /// Packet that the upstream sends to a caller.
    Sent(Segment),
    /// Packet of a caller that the upstream did not accept.
    Returned {
        segment: Segment,
        /// Token of the `Deliver` action.
        token: u32,
    },
    /// Heartbeat of the upstream.
    Report(UpstreamReport),
    /// An upstream deregistered; not necessarily that of the agent.
    Deregistered(UpstreamDeregistration),
    /// The process is about to exit. This tells nothing about its upstream, which may serve its flows
    /// for longer.
    Stopping,
    /// The directory contains the entry of the agent.
    Registered {
        /// The entry existed before the agent started.
        was_known: bool,
    },
    /// The flow record of the previous incarnation was read, if there is one.
    RecordRead(Option<FlowRecord>),
    /// Checks deadlines. Needed at short intervals while `needs_ticks` returns true.
    Tick,
    /// Samples the load, once per gossip round.
    Measure,
    /// Result of a connection attempt to the upstream's address.
    Probed {
        /// The VM refused the connection: no process listens there.
        is_refused: bool,
    },
    /// Another agent registers open flows that it owns.
    FlowsRegistered {
        owner: SocketAddr,
        flows: Vec<FlowKey>,
    },
    Gossip(GossipEvent),
}

/// Output action of the state machine; it refers to the packet of the event unless it carries one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentAction {
    /// Delivers the packet to the upstream.
    Deliver {
        /// Token that is returned with the packet if the upstream does not accept it.
        token: u32,
    },
    /// Delivers a packet of a request that waited for a slot.
    DeliverHeld {
        token: u32,
        segment: Segment,
        packet: Vec<u8>,
        waited_ms: DurationMs,
    },
    /// A request was given up before it was delivered: its caller no longer waits for an answer, or
    /// too many requests wait.
    RequestDiscarded {
        flow: FlowKey,
    },
    /// Sends the packet of the upstream to the caller.
    Reply,
    ForwardToAgent {
        to: SocketAddr,
        search: Search,
        /// Packet that the agent kept; `None` for the packet of the event.
        packet: Option<Vec<u8>>,
    },
    /// Returns the packet to its balancer: no known agent is left to try.
    ReturnToBalancer {
        search: Search,
        /// Packet that the agent kept; `None` for the packet of the event.
        packet: Option<Vec<u8>>,
    },
    /// Returns the opening packet to its balancer: no upstream that it visited can serve its request in time.
    ReturnOverloaded {
        search: Search,
    },
    /// Returns the packet to its balancer: the registered owner of its flow has left or is unreachable.
    ReturnOwnerLost {
        search: Search,
        owner: SocketAddr,
        /// Packet that the agent kept; `None` for the packet of the event.
        packet: Option<Vec<u8>>,
    },
    /// Answers the query of the balancer `to`: the upstream does not own `flow`.
    AnswerNotOwned {
        to: SocketAddr,
        flow: FlowKey,
    },
    /// Announces to the balancer `to` which agent owns `flow`.
    AnnounceOwner {
        to: SocketAddr,
        flow: FlowKey,
        owner: SocketAddr,
    },
    /// Registers open flows of this agent with the agent `to`.
    RegisterFlows {
        to: SocketAddr,
        flows: Vec<FlowKey>,
    },
    Drop(ResultCode),
    /// Sends the caller a reset for a flow that ended with its upstream.
    Reset {
        flow: FlowKey,
        /// Sequence number that the caller acknowledges next.
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
    /// The upstream reported its incarnation: for the first time, or another one than before.
    IncarnationReported {
        incarnation: UpstreamIncarnation,
        sequence: u64,
        /// Another incarnation was known; its flows end.
        is_change: bool,
    },
    /// The deregistration is another upstream's, or an earlier incarnation's.
    DeregistrationRejected(UpstreamDeregistration),
    /// Checks by a connection attempt whether a process listens at the upstream's address.
    Probe,
    /// A field of the published status other than the load changed.
    StatusChanged(AgentStatus),
    Gossip(GossipAction),
}

/// State machine of an agent.
#[derive(Clone, Debug)]
pub struct AgentMachine {
    gossip: GossipMachine,
    service: ServiceName,
    flows: FlowTable,
    /// Flows of other agents.
    registrar: Registrar,
    own_registrations: OwnRegistrations,
    requests: Requests,
    pending: PendingPackets,
    opening_policy: OpeningPolicy,
    /// New flows of the last second.
    recent_flows: ColdStartWindow,
    phase: Phase,
    /// The process is about to exit.
    is_stopping: bool,
    started_at: TimeMs,
    /// When the directory entry was confirmed. Set back by `JOINING_MS` if the entry is older than the
    /// process, so that joining ends at once.
    registered_at: Option<TimeMs>,
    upstream: UpstreamHealth,
    departure: Departure,
    /// Flow record of the agent's previous incarnation.
    previous_record: PreviousRecord,
    /// Smoothed number of requests at the upstream per thousand slots.
    load: u32,
}

impl AgentMachine {
    pub fn new(now: TimeMs, options: AgentOptions) -> Self {
        Self {
            gossip: GossipMachine::new(options.local_peer, options.seed),
            service: options.service,
            flows: FlowTable::new(options.flow_idle_ms),
            registrar: Registrar::default(),
            own_registrations: OwnRegistrations::default(),
            requests: Requests::new(),
            pending: PendingPackets::new(options.seed as u32),
            opening_policy: options.opening_policy,
            recent_flows: ColdStartWindow::default(),
            phase: Phase::Joining,
            is_stopping: false,
            started_at: now,
            registered_at: None,
            upstream: UpstreamHealth::new(now, options.heartbeat_ms),
            departure: Departure::default(),
            previous_record: PreviousRecord::default(),
            load: 0,
        }
    }

    pub const fn gossip(&self) -> &GossipMachine {
        &self.gossip
    }

    /// Returns the number of flows in the table.
    pub fn held_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of flows that other agents registered with this one.
    pub fn registered_flows(&self) -> usize {
        self.registrar.len()
    }

    /// Returns the flow record to write to the platform store, or `None` if there is none to write:
    /// the record of the previous incarnation is still needed and must not be overwritten, the
    /// upstream has not reported its incarnation yet, or the agent has left.
    pub fn record(&self) -> Option<FlowRecord> {
        let is_resolved = matches!(self.previous_record, PreviousRecord::Resolved);
        if !is_resolved || self.phase == Phase::Gone {
            return None;
        }
        Some(FlowRecord {
            incarnation: self.upstream.incarnation()?,
            is_draining: self.phase == Phase::Draining,
            flows: self.flows.record(),
        })
    }

    /// Returns the time between two writes of the flow record.
    pub fn record_interval_ms(&self, now: TimeMs) -> DurationMs {
        record_interval_ms(self.gossip.view().reachable_agents(now))
    }

    /// Returns the number of requests that wait for a slot of the upstream.
    pub fn waiting_requests(&self) -> usize {
        self.requests.waiting()
    }

    /// Returns whether the agent holds the request of `flow` until the upstream has a slot.
    pub fn is_request_waiting(&self, flow: &FlowKey) -> bool {
        self.requests.is_waiting(flow)
    }

    /// Returns whether an answer of the upstream is pending or a request waits, so that `Tick` events
    /// are needed.
    pub fn needs_ticks(&self) -> bool {
        self.pending.has_openings()
            || self.upstream.is_answer_expected()
            || self.requests.waiting() > 0
    }

    pub const fn phase(&self) -> Phase {
        self.phase
    }

    pub fn handle(&mut self, now: TimeMs, event: AgentEvent<'_>, out: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::Forwarded {
                search,
                segment,
                packet,
            } => self.handle_forwarded(now, search, &segment, packet, out),
            AgentEvent::Sent(segment) => self.handle_upstream_packet(now, &segment, out),
            AgentEvent::Returned { segment, token } => self.reroute(now, &segment, token, out),
            AgentEvent::Report(report) => self.handle_heartbeat(now, report, out),
            AgentEvent::Stopping => {
                for held in self.requests.take_all() {
                    self.deliver_held(now, held, DurationMs(0), out);
                }
                self.is_stopping = true;
                self.publish(now, out);
            }
            AgentEvent::Deregistered(deregistration) => {
                self.handle_deregistered(now, deregistration, out);
            }
            AgentEvent::Registered { was_known } => {
                self.registered_at = Some(if was_known { now - JOINING_MS } else { now });
                self.handle_tick(now, out);
            }
            AgentEvent::RecordRead(record) => {
                if let Some(record) = &record {
                    self.upstream.set_recorded(now, record.incarnation.clone());
                }
                self.previous_record =
                    record.map_or(PreviousRecord::Resolved, PreviousRecord::Pending);
                self.resolve_previous_record(now, out);
                self.handle_tick(now, out);
            }
            AgentEvent::Tick => self.handle_tick(now, out),
            AgentEvent::Measure => {
                self.measure_load();
                self.register_flows(now, out);
                self.handle_tick(now, out);
            }
            AgentEvent::Probed { is_refused } => self.handle_probe_result(now, is_refused, out),
            AgentEvent::FlowsRegistered { owner, flows } => {
                self.registrar.register(now, owner, flows);
            }
            AgentEvent::Gossip(event) => self.handle_gossip(now, event, out),
        }
    }

    fn handle_forwarded(
        &mut self,
        now: TimeMs,
        mut search: Search,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        if segment.kind == SegmentKind::Accepting {
            out.push(AgentAction::Drop(ResultCode::PacketMalformed));
            return;
        }
        if search.visited.contains(&self.local_address()) {
            // A flow that was handed back and is forwarded again must not return from each further agent.
            search.terms.least_loaded = None;
        }
        if self.upstream.is_dead() {
            self.forward_to_next(now, search, segment, None, out);
            return;
        }
        // Another agent sent the packet here because this one registered its flow.
        let is_expected = search.is_parallel || search.visited.contains(&self.local_address());
        if !is_expected && let Some(owner) = self.registered_owner(&search, segment) {
            self.forward_to_owner(now, owner, search, segment, None, out);
            return;
        }
        if self.owns(segment) {
            match self.flows.handle_caller_packet(now, segment) {
                Some(kind) => self.handle_owned(now, search, segment, kind, packet, out),
                None => self.forward_to_next(now, search, segment, None, out),
            }
            return;
        }
        if !segment.is_opening() {
            self.deliver(now, search, segment, None, out);
            return;
        }
        // The caller has given up an old flow with these addresses. Its request must not reach the new one.
        self.cancel_request(now, &segment.flow, out);
        let is_eligible = self.accepts_new_flows() && search.service == self.service;
        if !is_eligible {
            self.forward_to_next(now, search, segment, None, out);
            return;
        }
        self.handle_opening(now, search, segment, packet, out);
    }

    /// Accepts, hands off or refuses a new flow.
    fn handle_opening(
        &mut self,
        now: TimeMs,
        mut search: Search,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        if !self.has_room_while_cold(now, &search) {
            self.leave_cold(now, search, segment, out);
            return;
        }
        let is_handed_back = search.visited.contains(&self.local_address());
        let state = self.opening_state(now, &search, segment);
        let decision = if is_handed_back {
            OpeningDecision::Accept
        } else {
            self.opening_policy.decide(&state)
        };
        match decision {
            OpeningDecision::Accept => self.deliver(now, search, segment, Some(packet), out),
            OpeningDecision::HandOff => {
                search.terms.least_loaded = self
                    .opening_policy
                    .least_loaded(self.local_address(), &state);
                self.forward_to_next(now, search, segment, None, out);
            }
            OpeningDecision::HandBack(to) => {
                search.visited.push(self.local_address());
                out.push(AgentAction::ForwardToAgent {
                    to,
                    search,
                    packet: None,
                });
            }
            OpeningDecision::Refuse => {
                search.visited.push(self.local_address());
                out.push(AgentAction::ReturnOverloaded { search });
            }
        }
    }

    /// Returns whether the packet belongs to a flow in the table. An opening packet does only if it is a copy
    /// of the one that opened the flow: a new flow with the same addresses is subject to the state of the
    /// upstream and to the configuration like any other.
    fn owns(&self, segment: &Segment) -> bool {
        if segment.is_opening() {
            self.flows.is_opened_by(segment)
        } else {
            self.flows.contains(&segment.flow)
        }
    }

    /// Handles a packet of a flow that the upstream owns. Packets of a request are held until it has
    /// a slot; all others are delivered at once.
    fn handle_owned(
        &mut self,
        now: TimeMs,
        search: Search,
        segment: &Segment,
        kind: CallerPacket,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        let is_searched = search.is_parallel || !search.visited.is_empty();
        if is_searched && !segment.is_opening() {
            out.push(AgentAction::AnnounceOwner {
                to: search.balancer,
                flow: segment.flow,
                owner: self.local_address(),
            });
        }
        let is_alive = self.flows.is_alive(&segment.flow);
        if segment.kind == SegmentKind::Established && is_alive && self.phase != Phase::Gone {
            self.register_flow(now, segment.flow, out);
        }
        if segment.kind == SegmentKind::Reset {
            self.cancel_request(now, &segment.flow, out);
        }
        let held = || HeldPacket {
            search: search.clone(),
            segment: *segment,
            packet: packet.to_vec(),
        };
        let has_content = segment.payload_bytes > 0 || segment.is_last;
        if kind == CallerPacket::NewRequest {
            let changes = self.requests.add(now, held());
            self.apply_request_changes(now, changes, out);
        } else if has_content && self.requests.is_waiting(&segment.flow) {
            self.requests.hold(held());
        } else {
            self.deliver(now, search, segment, None, out);
        }
    }

    /// Drops the request of a flow that its caller has ended.
    fn cancel_request(&mut self, now: TimeMs, flow: &FlowKey, out: &mut Vec<AgentAction>) {
        if self.requests.is_waiting(flow) {
            self.flows.forget_request(flow);
        }
        let changes = self.requests.cancel(now, flow);
        self.apply_request_changes(now, changes, out);
    }

    fn apply_request_changes(
        &mut self,
        now: TimeMs,
        changes: Vec<RequestChange>,
        out: &mut Vec<AgentAction>,
    ) {
        for change in changes {
            match change {
                RequestChange::Started { packets, waited_ms } => {
                    for held in packets {
                        self.deliver_held(now, held, waited_ms, out);
                    }
                }
                RequestChange::Discarded { flow } => {
                    self.flows.forget_request(&flow);
                    out.push(AgentAction::RequestDiscarded { flow });
                }
            }
        }
    }

    fn deliver_held(
        &mut self,
        now: TimeMs,
        held: HeldPacket,
        waited_ms: DurationMs,
        out: &mut Vec<AgentAction>,
    ) {
        let HeldPacket {
            search,
            segment,
            packet,
        } = held;
        let token = self.record_delivery(now, search, &segment);
        out.push(AgentAction::DeliverHeld {
            token,
            segment,
            packet,
            waited_ms,
        });
    }

    /// Returns whether the upstream is warm, or may get another new flow in this second although it is cold.
    fn has_room_while_cold(&mut self, now: TimeMs, search: &Search) -> bool {
        let Some(limit) = search.terms.cold_limit else {
            return true;
        };
        !self.upstream.is_cold(now) || self.recent_flows.has_room(now, limit)
    }

    /// Forwards a new flow that the cold upstream must not get: to an agent that it has not visited, or back to a
    /// busy one. If none is left, the flow is refused at once: what waited for the next second would exceed
    /// the limit again.
    fn leave_cold(
        &mut self,
        now: TimeMs,
        mut search: Search,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        let is_retransmission = matches!(segment.kind, SegmentKind::Opening { attempt: 1.. });
        if self.has_next_agent(now, &search, segment) || is_retransmission {
            self.forward_to_next(now, search, segment, None, out);
            return;
        }
        search.visited.push(self.local_address());
        out.push(match search.terms.least_loaded.take() {
            Some(busy) => AgentAction::ForwardToAgent {
                to: busy.address,
                search,
                packet: None,
            },
            None => AgentAction::ReturnOverloaded { search },
        });
    }

    /// Returns whether another agent, which the flow has not visited, may accept it.
    fn has_next_agent(&self, now: TimeMs, search: &Search, segment: &Segment) -> bool {
        let mut visited = search.visited.clone();
        visited.push(self.local_address());
        let query = AgentQuery {
            flow: &segment.flow,
            preferred_domain: search.preferred_domain,
            service: &search.service,
            visited: &visited,
            is_opening: true,
        };
        self.gossip.view().next_agent(now, query).is_some()
    }

    fn opening_state(&self, now: TimeMs, search: &Search, segment: &Segment) -> OpeningState {
        let recent = self.pending.recent_openings();
        let expected = recent.filter(|flow| !self.flows.is_busy(flow)).count() as u32;
        let wait = self.requests.expected_wait(now, &search.class);
        let (requests, slots) = (self.flows.busy_flows() + expected, self.upstream.slots());
        OpeningState {
            requests,
            slots,
            expected_wait_ms: wait.wait_ms,
            is_overloaded: wait.is_hopeless,
            visited: search.visited.len(),
            has_next: requests > slots && self.has_next_agent(now, search, segment),
            is_retransmission: matches!(segment.kind, SegmentKind::Opening { attempt: 1.. }),
            least_loaded: search.terms.least_loaded,
            cold_limit: search.terms.cold_limit,
        }
    }

    fn deliver(
        &mut self,
        now: TimeMs,
        search: Search,
        segment: &Segment,
        opening: Option<&[u8]>,
        out: &mut Vec<AgentAction>,
    ) {
        let has_cold_limit = search.terms.cold_limit.is_some();
        let token = self.record_delivery(now, search, segment);
        if let Some(packet) = opening {
            if has_cold_limit {
                self.recent_flows.record(now);
            }
            self.pending.add_opening(PendingOpening {
                segment: *segment,
                delivered_at: now,
                token,
                packet: packet.to_vec(),
            });
        }
        out.push(AgentAction::Deliver { token });
    }

    /// Records that a packet is delivered to the upstream; returns its token.
    fn record_delivery(&mut self, now: TimeMs, search: Search, segment: &Segment) -> u32 {
        if segment.is_opening() || segment.payload_bytes > 0 || segment.is_last {
            self.upstream.expect_answer(now);
        }
        self.pending.add(PendingPacket {
            flow: segment.flow,
            search,
            is_retransmission: matches!(segment.kind, SegmentKind::Opening { attempt: 1.. }),
        })
    }

    fn handle_upstream_packet(
        &mut self,
        now: TimeMs,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        if segment.kind == SegmentKind::Reset && self.withhold_reset(&segment.flow, out) {
            return;
        }
        self.upstream.record_activity();
        let is_request_held = self.requests.is_waiting(&segment.flow);
        let change = self
            .flows
            .handle_upstream_packet(now, segment, is_request_held);
        out.push(AgentAction::Reply);
        match change {
            Some(FlowChange::Accepted) => self.handle_accepted(now, segment.flow, out),
            Some(FlowChange::Answered { after_ms }) => {
                self.upstream.record_request(false);
                out.push(AgentAction::Answered { after_ms });
                let changes = self.requests.answered(now, &segment.flow);
                self.apply_request_changes(now, changes, out);
            }
            Some(FlowChange::Aborted) => {
                self.upstream.record_request(true);
                let changes = self.requests.cancel(now, &segment.flow);
                self.apply_request_changes(now, changes, out);
            }
            None => {}
        }
        if segment.is_last {
            // The upstream refuses further data on the flow, which takes no slot.
            for held in self.requests.take_packets(&segment.flow) {
                self.deliver_held(now, held, DurationMs(0), out);
            }
            let changes = self.requests.cancel(now, &segment.flow);
            self.apply_request_changes(now, changes, out);
        }
    }

    /// Returns whether a reset from the upstream's address must not reach the caller, whose flow may be open at
    /// another upstream. A port on which no upstream listens yet, or any more, answers packets with resets.
    fn withhold_reset(&self, flow: &FlowKey, out: &mut Vec<AgentAction>) -> bool {
        if self.flows.contains(flow) {
            return false;
        }
        let search = self.pending.latest_search(flow);
        if let Some(query) = search.filter(|search| search.is_parallel) {
            out.push(AgentAction::AnswerNotOwned {
                to: query.balancer,
                flow: *flow,
            });
            return true;
        }
        let is_unheard = self.upstream.incarnation().is_none();
        if is_unheard {
            out.push(AgentAction::Drop(ResultCode::EndpointUnknown));
        }
        is_unheard
    }

    /// Announces an accepted flow to the balancers in the failure domain whose balancer received
    /// the opening packet, unless they would try this agent first anyway.
    fn handle_accepted(&mut self, now: TimeMs, flow: FlowKey, out: &mut Vec<AgentAction>) {
        self.own_registrations.forget(&flow);
        let Some((delivered_at, pending)) = self.pending.pending_opening(&flow) else {
            return;
        };
        let after_ms = now.since(delivered_at);
        out.push(AgentAction::Accepted { after_ms });
        let preferred_domain = pending.search.preferred_domain;
        let view = self.gossip.view();
        let query = AgentQuery {
            flow: &flow,
            preferred_domain,
            service: &pending.search.service,
            visited: &[],
            is_opening: false,
        };
        let is_first = view.next_agent(now, query) == Some(self.local_address());
        let is_direct = pending.search.visited.is_empty() && !pending.is_retransmission;
        if is_first && is_direct && !pending.search.is_fallback_service {
            return;
        }
        for balancer in view.reachable_balancers(now) {
            if DomainTag::of(&balancer.failure_domain) == preferred_domain {
                out.push(AgentAction::AnnounceOwner {
                    to: balancer.address,
                    flow,
                    owner: self.local_address(),
                });
            }
        }
    }

    /// Registers a flow whose caller completed the handshake, unless it is registered already.
    fn register_flow(&mut self, now: TimeMs, flow: FlowKey, out: &mut Vec<AgentAction>) {
        let local_address = self.local_address();
        let view = self.gossip.view();
        let messages = self.own_registrations.add(now, view, local_address, flow);
        out.extend(messages.into_iter().map(register_action));
    }

    /// Registers the flows that are not registered yet, or whose registrars changed. Those of an upstream that
    /// has left ended with it.
    fn register_flows(&mut self, now: TimeMs, out: &mut Vec<AgentAction>) {
        if self.phase == Phase::Gone {
            self.own_registrations.clear();
            return;
        }
        let flows = &self.flows;
        let messages = self.own_registrations.run_round(
            now,
            self.gossip.view(),
            self.gossip.local_peer().address,
            flows.open_flows(),
            |flow| flows.is_alive(flow),
        );
        out.extend(messages.into_iter().map(register_action));
    }

    /// Returns the other agent that registered the flow of a packet, unless the packet has visited it. The
    /// registration of an agent whose upstream has left is void: the addresses may belong to a new flow.
    fn registered_owner(&self, search: &Search, segment: &Segment) -> Option<SocketAddr> {
        if segment.is_opening() || self.flows.contains(&segment.flow) {
            return None;
        }
        let owner = self.registrar.owner(&segment.flow)?;
        let is_possible = owner != self.local_address()
            && !search.visited.contains(&owner)
            && !self.gossip.view().has_left(owner);
        is_possible.then_some(owner)
    }

    /// Forwards a packet to the agent that registered its flow. That agent counts as visited from then on,
    /// so that registrations of two agents that name each other cannot send the packet back and forth.
    /// A packet of an agent that is lost returns to its balancer without a search. The balancer is told of an
    /// owner that was stopped as planned and cannot announce itself: otherwise each packet would visit other
    /// upstreams on its way here.
    fn forward_to_owner(
        &self,
        now: TimeMs,
        owner: SocketAddr,
        mut search: Search,
        segment: &Segment,
        packet: Option<Vec<u8>>,
        out: &mut Vec<AgentAction>,
    ) {
        let view = self.gossip.view();
        if view.is_lost(now, owner) {
            out.push(AgentAction::ReturnOwnerLost {
                search,
                owner,
                packet,
            });
            return;
        }
        if view.is_stopped(owner) {
            out.push(AgentAction::AnnounceOwner {
                to: search.balancer,
                flow: segment.flow,
                owner,
            });
        }
        search.visited.push(owner);
        out.push(AgentAction::ForwardToAgent {
            to: owner,
            search,
            packet,
        });
    }

    fn local_address(&self) -> SocketAddr {
        self.gossip.local_peer().address
    }

    /// Forwards a packet that the upstream did not accept.
    fn reroute(&mut self, now: TimeMs, segment: &Segment, token: u32, out: &mut Vec<AgentAction>) {
        self.upstream.record_activity();
        if !segment.is_opening() {
            self.flows.remove(&segment.flow);
            for held in self.requests.take_packets(&segment.flow) {
                let packet = Some(held.packet);
                self.forward_to_next(now, held.search, &held.segment, packet, out);
            }
            let changes = self.requests.cancel(now, &segment.flow);
            self.apply_request_changes(now, changes, out);
        }
        let Some(pending) = self.pending.take(token, &segment.flow) else {
            // Delivered by a previous incarnation of this process, or overwritten by later packets.
            // The caller retransmits it.
            out.push(AgentAction::Drop(ResultCode::EndpointUnknown));
            return;
        };
        self.forward_to_next(now, pending.search, segment, None, out);
    }

    /// Forwards a packet to the agent that registered its flow, otherwise to the next one, or returns it
    /// to its balancer if none is left. Answers a query.
    fn forward_to_next(
        &mut self,
        now: TimeMs,
        mut search: Search,
        segment: &Segment,
        packet: Option<Vec<u8>>,
        out: &mut Vec<AgentAction>,
    ) {
        if search.is_parallel {
            out.push(AgentAction::AnswerNotOwned {
                to: search.balancer,
                flow: segment.flow,
            });
            return;
        }
        let local_address = self.local_address();
        if !search.visited.contains(&local_address) {
            search.visited.push(local_address);
        }
        if let Some(owner) = self.registered_owner(&search, segment) {
            self.forward_to_owner(now, owner, search, segment, packet, out);
            return;
        }
        let next = self
            .gossip
            .view()
            .next_agent(now, AgentQuery::for_packet(&search, segment));
        out.push(match next {
            Some(to) => AgentAction::ForwardToAgent { to, search, packet },
            None => AgentAction::ReturnToBalancer { search, packet },
        });
    }

    /// Returns whether a handled heartbeat is in force. A stale one changes nothing and must not be
    /// acknowledged: its sender would rely on it.
    pub fn is_latest_report(&self, report: &UpstreamReport) -> bool {
        self.upstream.is_latest(report)
    }

    fn handle_heartbeat(
        &mut self,
        now: TimeMs,
        report: UpstreamReport,
        out: &mut Vec<AgentAction>,
    ) {
        let is_draining = report.is_draining;
        let slots = report.slots;
        let sequence = report.sequence;
        let known = self.upstream.incarnation();
        let kind = self.upstream.apply_report(now, report);
        if kind != ReportKind::Stale && self.upstream.incarnation() != known {
            out.extend(self.upstream.incarnation().map(|incarnation| {
                AgentAction::IncarnationReported {
                    incarnation,
                    sequence,
                    is_change: known.is_some(),
                }
            }));
        }
        match kind {
            ReportKind::Stale => return,
            ReportKind::SameIncarnation => {}
            ReportKind::NewIncarnation => self.reset_all_flows(out),
        }
        if self.has_left(now) {
            self.set_phase(now, Phase::Gone, out);
            return;
        }
        let changes = self.requests.set_slots(now, slots);
        self.apply_request_changes(now, changes, out);
        self.resolve_previous_record(now, out);
        let phase = match self.phase {
            Phase::Joining if !is_draining && !self.is_join_complete(now) => Phase::Joining,
            _ if is_draining => Phase::Draining,
            _ => Phase::Serving,
        };
        self.set_phase(now, phase, out);
    }

    /// Resets the recorded flows if the upstream has a newer incarnation than the record, and restores
    /// them if it has the same one.
    fn resolve_previous_record(&mut self, now: TimeMs, out: &mut Vec<AgentAction>) {
        let PreviousRecord::Pending(record) = &self.previous_record else {
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
            // The record is of a later incarnation, or the order is unknown: the flows may still be
            // open.
            Some(Ordering::Less) | None => {}
        }
        self.previous_record = PreviousRecord::Resolved;
    }

    fn handle_probe_result(&mut self, now: TimeMs, is_refused: bool, out: &mut Vec<AgentAction>) {
        if is_refused && self.upstream.mark_dead() {
            self.reset_all_flows(out);
            self.publish(now, out);
        }
    }

    /// Resets all flows, since they ended with the upstream's incarnation.
    fn reset_all_flows(&mut self, out: &mut Vec<AgentAction>) {
        self.requests.take_all();
        let flows = self.flows.take_all().into_iter();
        out.extend(flows.map(|(flow, acknowledged)| AgentAction::Reset { flow, acknowledged }));
    }

    fn handle_deregistered(
        &mut self,
        now: TimeMs,
        deregistration: UpstreamDeregistration,
        out: &mut Vec<AgentAction>,
    ) {
        let incarnation = self.upstream.incarnation();
        let is_accepted = self
            .departure
            .deregister(deregistration.clone(), incarnation.as_ref());
        if !is_accepted {
            out.push(AgentAction::DeregistrationRejected(deregistration));
            return;
        }
        self.confirm_departure(now, out);
    }

    /// Leaves if the upstream has deregistered. Before its first heartbeat, the flow record tells who it is.
    fn confirm_departure(&mut self, now: TimeMs, out: &mut Vec<AgentAction>) {
        if let PreviousRecord::Pending(record) = &self.previous_record {
            self.departure.confirm(&record.incarnation);
        }
        if !self.upstream.is_alive(now) {
            self.departure.confirm_unheard();
        }
        if self.departure.is_gone() && self.phase != Phase::Gone {
            self.set_phase(now, Phase::Gone, out);
        }
    }

    /// Returns whether the upstream of the latest heartbeat has deregistered.
    fn has_left(&mut self, now: TimeMs) -> bool {
        if let Some(incarnation) = self.upstream.incarnation() {
            let heartbeat_ms = self.upstream.heartbeat_ms();
            self.departure
                .handle_heartbeat(now, &incarnation, heartbeat_ms);
        }
        self.departure.is_gone()
    }

    fn handle_tick(&mut self, now: TimeMs, out: &mut Vec<AgentAction>) {
        while let Some((opening, pending)) = self.pending.next_timed_out_opening(now) {
            if self.flows.is_opened_by(&opening.segment) {
                continue;
            }
            self.upstream.record_unanswered_opening();
            let Some(search) = self.search_after_timeout(pending.search) else {
                continue;
            };
            let packet = Some(opening.packet);
            self.forward_to_next(now, search, &opening.segment, packet, out);
        }
        let changes = self.requests.tick(now);
        self.apply_request_changes(now, changes, out);
        if self.upstream.should_be_probed(now) {
            out.push(AgentAction::Probe);
        }
        self.confirm_departure(now, out);
        if self.phase == Phase::Joining && self.is_join_complete(now) {
            self.phase = Phase::Serving;
        }
        self.publish(now, out);
    }

    /// Returns the search that continues with an opening packet which the upstream left unanswered; `None` if it
    /// ends here.
    ///
    /// The upstream may still open the flow, so agents must not refuse the packet: if all are overloaded, it
    /// returns here. It is dropped if that was in vain, since the caller transmits it again.
    fn search_after_timeout(&self, mut search: Search) -> Option<Search> {
        let may_be_refused =
            self.opening_policy.refuses_when_full || search.terms.cold_limit.is_some();
        if !may_be_refused {
            return Some(search);
        }
        let address = self.local_address();
        if search.visited.contains(&address) {
            return None;
        }
        search.terms.least_loaded.get_or_insert(VisitedAgent {
            address,
            expected_wait_ms: search.class.deadline_ms,
        });
        Some(search)
    }

    /// Returns whether gossip has had time to announce the agent to every process, and the upstream was
    /// not draining when the agent's previous incarnation ended.
    fn is_join_complete(&self, now: TimeMs) -> bool {
        let is_overdue = now.since(self.started_at) >= MAX_JOINING_MS;
        let is_announced = match self.registered_at {
            Some(registered_at) => now.since(registered_at) >= JOINING_MS,
            None => is_overdue,
        };
        let is_record_read = !matches!(self.previous_record, PreviousRecord::NotRead);
        is_announced && (is_record_read || is_overdue) && !self.previous_record.is_draining()
    }

    fn set_phase(&mut self, now: TimeMs, phase: Phase, out: &mut Vec<AgentAction>) {
        self.phase = phase;
        self.publish(now, out);
    }

    fn accepts_new_flows(&self) -> bool {
        self.phase == Phase::Serving && !self.is_evacuated()
    }

    fn is_evacuated(&self) -> bool {
        let evacuations = self.gossip.view().evacuations();
        evacuations.contains(&self.gossip.local_peer().failure_domain)
    }

    /// Updates the status that is published by gossip.
    fn publish(&mut self, now: TimeMs, out: &mut Vec<AgentAction>) {
        let status = AgentStatus {
            service: self.service.clone(),
            phase: self.phase,
            weight: self.upstream.weight(now),
            load: PerMille(u16::try_from(self.load).unwrap_or(u16::MAX)),
        };
        let published = self.gossip.local_peer().agent();
        if !published.is_some_and(|published| published.is_same_state(&status)) {
            out.push(AgentAction::StatusChanged(status.clone()));
        }
        // Without a living upstream there is nothing to wait for: callers get a reset once the agent is
        // unreachable.
        let may_serve_on = self.phase != Phase::Gone && self.upstream.is_alive(now);
        let role = if self.is_stopping && may_serve_on {
            PeerRole::StoppedAgent(status)
        } else {
            PeerRole::Agent(status)
        };
        self.handle_gossip(now, GossipEvent::LocalRoleChanged(role), out);
    }

    fn measure_load(&mut self) {
        self.upstream.decay_failure_rate();
        let measured = self.flows.busy_flows() * 1_000 / self.upstream.slots();
        self.load = (self.load * (1_000 - LOAD_GAIN) + measured * LOAD_GAIN) / 1_000;
    }

    fn handle_gossip(&mut self, now: TimeMs, event: GossipEvent, out: &mut Vec<AgentAction>) {
        let mut actions = Vec::new();
        let was_evacuated = self.is_evacuated();
        self.gossip.handle(now, event, &mut actions);
        if was_evacuated && !self.is_evacuated() {
            self.upstream.forget_temperature();
        }
        out.extend(actions.into_iter().map(AgentAction::Gossip));
    }
}

fn register_action(message: RegistrationMessage) -> AgentAction {
    AgentAction::RegisterFlows {
        to: message.to,
        flows: message.flows,
    }
}
