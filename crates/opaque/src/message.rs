//! Messages between processes of a deployment.

use std::net::SocketAddr;

use displaydoc::Display;
use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, ServiceName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::peer::Peer;
use crate::placement::DomainTag;

/// Way of a packet that looks for the endpoint of its flow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Search {
    /// Balancer that received the packet from the caller.
    pub balancer: SocketAddr,
    /// Failure domain whose agents are asked first.
    pub near: DomainTag,
    /// Service that takes the flow if it is new.
    pub service: ServiceName,
    /// The service helps out, so that balancers look for the flow elsewhere first.
    pub is_diverted: bool,
    /// Agents whose upstream returned the packet.
    pub visited: Vec<SocketAddr>,
}

/// Message between processes; a packet follows behind `Forward` and `Exhausted`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Packet of a caller for the agent's upstream.
    Forward(Search),
    /// No agent that the sender knows holds the flow of the packet.
    Exhausted(Search),
    /// The upstream of the agent `holder` holds `flow`.
    Located {
        /// Flow.
        flow: FlowKey,
        /// Agent of the upstream.
        owner: SocketAddr,
    },
    /// What the sender knows of itself and other processes.
    Gossip(Gossip),
}

/// Part of what the receiver knows that the sender of a message asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Wanted {
    /// Nothing.
    Nothing,
    /// A sign of life, with what changed lately.
    News,
    /// As many processes as one message holds.
    View,
}

/// Process as another one tells of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldPeer {
    /// Process.
    pub peer: Peer,
    /// Time since it showed that it lives.
    pub age_ms: DurationMs,
}

/// What a process tells of itself and others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// What the receiver is asked to answer.
    pub wanted: Wanted,
    /// The sender.
    pub sender: Peer,
    /// Other processes.
    pub others: Vec<ToldPeer>,
    /// Processes that did not answer the sender.
    pub doubted: Vec<SocketAddr>,
}

/// Failure to read or write a message.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum MessageError {
    /// the message cannot be decoded
    Malformed,
    /// the message cannot be encoded
    Unencodable,
}

/// Writes a message and the packet behind it into `buffer`, which is cleared.
pub fn encode(
    message: &PeerMessage,
    packet: &[u8],
    buffer: &mut Vec<u8>,
) -> Result<(), MessageError> {
    let mut written = std::mem::take(buffer);
    written.clear();
    written = postcard::to_extend(message, written).map_err(|_| MessageError::Unencodable)?;
    written.extend_from_slice(packet);
    *buffer = written;
    Ok(())
}

/// Reads a message and returns the packet behind it.
pub fn decode(datagram: &[u8]) -> Result<(PeerMessage, &[u8]), MessageError> {
    postcard::take_from_bytes(datagram).map_err(|_| MessageError::Malformed)
}
