//! Messages between processes of a deployment.

use std::net::SocketAddr;

use displaydoc::Display;
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, ServiceName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::class::RequestClass;
use crate::cold_start::ColdStartLimit;
use crate::evacuation::Evacuations;
use crate::opening::VisitedAgent;
use crate::peer::Peer;
use crate::placement::DomainTag;

/// State of the search for the agent that owns the flow of a packet; travels with the packet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Search {
    /// Balancer that received the packet from the caller.
    pub balancer: SocketAddr,
    /// Failure domain of the balancer; its agents are tried first.
    pub preferred_domain: DomainTag,
    /// Service that takes the flow if it is new.
    pub service: ServiceName,
    /// Whether `service` replaces the service that the route selects, which has no capacity.
    /// Balancers try the selected service first for later packets.
    pub is_fallback_service: bool,
    /// Agents that the packet has visited and that did not accept it.
    pub visited: Vec<SocketAddr>,
    /// Whether the packet is sent to all agents at once: one that does not own the flow answers, instead of
    /// forwarding it. Not part of the encoded message: `Query` and `RelayQuery` imply it.
    #[serde(skip)]
    pub is_parallel: bool,
    /// Not part of the encoded message: `ForwardOpening` carries them.
    #[serde(skip)]
    pub terms: OpeningTerms,
    /// Class of the route. Not part of the encoded message: it travels in the header of the packet.
    #[serde(skip)]
    pub class: RequestClass,
}

/// What agents need to know about a new flow, beyond where it has been.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpeningTerms {
    /// The agent with the shortest expected wait that the opening packet visited.
    pub least_loaded: Option<VisitedAgent>,
    /// Limit of the service for its cold upstreams.
    pub cold_limit: Option<ColdStartLimit>,
}

/// Message between processes; `Forward`, `ForwardOpening`, `Exhausted`, `Overloaded`, `OwnerLost`, `Query` and
/// `RelayQuery` are followed by the packet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Packet of a caller, sent to an agent.
    Forward(Search),
    /// Packet of a caller, returned to its balancer because the agent knows no other agent to try.
    Exhausted(Search),
    /// Announces to a balancer which agent owns a flow.
    FlowOwner {
        flow: FlowKey,
        /// Peer address of the agent.
        owner: SocketAddr,
    },
    /// Peer records and suspicions.
    Gossip(Gossip),
    /// Registers open flows that the sender, an agent, owns.
    RegisterFlows(Vec<FlowKey>),
    /// Packet of a caller, returned to its balancer because the registered owner of its flow has left or
    /// is unreachable.
    OwnerLost {
        search: Search,
        /// Peer address of the owner.
        owner: SocketAddr,
    },
    /// Packet of a caller, sent to all agents at once because nobody knows the owner of its flow.
    Query(Search),
    /// Answers `Query`: the sender does not own the flow.
    NotOwned { flow: FlowKey },
    /// Packet of a caller, sent to an agent that queries `agents` with it and is queried itself.
    RelayQuery {
        search: Search,
        agents: Vec<SocketAddr>,
    },
    /// Opening packet with terms, sent to an agent. Earlier versions do not know it; it is sent only if settings or
    /// the configuration ask for terms.
    ForwardOpening { search: Search, terms: OpeningTerms },
    /// Opening packet, returned to its balancer because no upstream that it visited can serve it in time.
    Overloaded(Search),
}

/// Reply that the sender of a gossip message requests; a reply also acknowledges the probe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReplyKind {
    /// No reply.
    Nothing,
    /// The sender's record with piggybacked updates.
    Updates,
    /// A larger number of peer records, for a process that knows no other reachable peer.
    FullView,
}

/// Record of a peer other than the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerUpdate {
    pub peer: Peer,
    /// Time since the peer was last known to be alive.
    pub age_ms: DurationMs,
}

/// Gossip message: probe, probe acknowledgement or update.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    pub requested_reply: ReplyKind,
    pub sender: Peer,
    pub updates: Vec<PeerUpdate>,
    /// Peers that the sender suspects; the receiver is asked to probe them.
    pub suspected: Vec<SocketAddr>,
    /// Evacuated failure domains, if the sender knows them. Encoded after the message, where earlier
    /// versions ignore it.
    #[serde(skip)]
    pub evacuations: Option<Evacuations>,
}

impl PeerMessage {
    /// Returns the message that forwards a packet of a caller to an agent.
    pub fn forward(search: Search) -> Self {
        if search.terms == OpeningTerms::default() {
            return Self::Forward(search);
        }
        let terms = search.terms;
        Self::ForwardOpening { search, terms }
    }
}

/// Error of encoding or decoding a message.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum MessageError {
    /// the message cannot be decoded
    Malformed,
    /// the message cannot be encoded
    Unencodable,
}

/// Replaces the contents of `buffer` by the encoded message, followed by the packet.
pub fn encode(
    message: &PeerMessage,
    packet: &[u8],
    buffer: &mut Vec<u8>,
) -> Result<(), MessageError> {
    let mut written = std::mem::take(buffer);
    written.clear();
    written = postcard::to_extend(message, written).map_err(|_| MessageError::Unencodable)?;
    if let PeerMessage::Gossip(gossip) = message
        && let Some(evacuations) = &gossip.evacuations
    {
        written =
            postcard::to_extend(evacuations, written).map_err(|_| MessageError::Unencodable)?;
    }
    written.extend_from_slice(packet);
    *buffer = written;
    Ok(())
}

/// Decodes a message and returns it with the packet that follows it.
pub fn decode(datagram: &[u8]) -> Result<(PeerMessage, &[u8]), MessageError> {
    let (mut message, mut rest) =
        postcard::take_from_bytes(datagram).map_err(|_| MessageError::Malformed)?;
    if let PeerMessage::Gossip(gossip) = &mut message
        && !rest.is_empty()
    {
        let evacuations: Evacuations;
        (evacuations, rest) =
            postcard::take_from_bytes(rest).map_err(|_| MessageError::Malformed)?;
        if !evacuations.is_valid() {
            return Err(MessageError::Malformed);
        }
        gossip.evacuations = Some(evacuations);
    }
    Ok((message, rest))
}
