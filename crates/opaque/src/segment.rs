//! Header fields of a packet that the state machines use.

use hawthorntide_routing::FlowKey;

/// Kind of a packet within its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// The caller opens a flow.
    Opening {
        /// Retransmission number; 0 for the first transmission.
        attempt: u32,
    },
    /// The upstream accepts a flow.
    Accepting,
    /// Any other packet of a flow.
    Established,
    /// The sender aborts the flow.
    Reset,
}

/// Header of a packet of an opaque flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Flow, the same for packets in both directions.
    pub flow: FlowKey,
    pub kind: SegmentKind,
    /// Sequence number of the first payload byte.
    pub sequence: u32,
    /// Sequence number of the next byte that the sender expects.
    pub acknowledged: u32,
    pub payload_bytes: u32,
    /// The sender has no more data to send.
    pub is_last: bool,
}

impl Segment {
    pub const fn is_opening(&self) -> bool {
        matches!(self.kind, SegmentKind::Opening { .. })
    }

    /// Returns the sequence number after the last payload byte.
    pub const fn end(&self) -> u32 {
        self.sequence.wrapping_add(self.payload_bytes)
    }
}
