//! Protocol messages between callers, balancers, agents and upstreams, and their codecs.

pub mod answer_checksum;
mod envelope;
mod forward;
mod frame;
#[expect(
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::pedantic,
    missing_docs,
    reason = "generated code"
)]
mod generated {
    pub mod call {
        include!("generated/hawthorntide.call.v1.rs");
    }
    pub mod control {
        include!("generated/hawthorntide.control.v1.rs");
    }
    pub mod upstream {
        include!("generated/hawthorntide.upstream.v1.rs");
    }
}

pub use envelope::{
    ClusterKey, ControlCodec, ControlSealer, MAX_CONTROL_BYTES, OpenedMessage, ReplayWindow,
};
pub use forward::{FORWARD_HEADER_BYTES, ForwardHeader, ForwardKind};
pub use frame::{FrameError, FrameReader, encode_frame};
pub use generated::{call, control, upstream};
