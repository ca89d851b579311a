//! What the decisions need to know of a packet.

use hawthorntide_routing::FlowKey;

/// Kind of a packet within its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// The caller asks for a flow.
    Opening {
        /// Copies that the caller sent before this one.
        copy: u32,
    },
    /// The upstream accepts a flow.
    Accepting,
    /// Any packet of an established flow.
    Established,
    /// The sender ends the flow at once.
    Reset,
}

/// Packet of an opaque flow without its contents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Flow, whichever end sent the packet.
    pub flow: FlowKey,
    /// Kind of the packet.
    pub kind: SegmentKind,
    /// Number of the first byte that the packet carries.
    pub sequence: u32,
    /// Number of the next byte that the sender expects.
    pub acknowledged: u32,
    /// Bytes carried.
    pub payload_bytes: u32,
    /// The sender sends nothing after this packet.
    pub is_last: bool,
}

impl Segment {
    /// Returns whether the packet asks for a flow.
    pub const fn is_opening(&self) -> bool {
        matches!(self.kind, SegmentKind::Opening { .. })
    }

    /// Returns the number after the last byte of the packet.
    pub const fn end(&self) -> u32 {
        self.sequence.wrapping_add(self.payload_bytes)
    }
}
