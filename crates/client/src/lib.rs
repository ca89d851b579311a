//! Caller library: streams, reservations and sheets over QUIC.

#![warn(missing_docs)]

mod answer;
mod call;
mod flow;
mod session;
mod socket;
mod tls;

pub use answer::{Answer, AnswerReader};
pub use call::{Call, CallStream};
pub use flow::{Flow, FlowStream};
pub use session::{AgentConnection, ResumeState};
pub use socket::{CallerOptions, CallerSocket};

use displaydoc::Display;
use hawthorntide_types::ResultCode;

/// Failure of the caller library.
#[derive(Debug, Display)]
pub enum CallError {
    /// cannot bind the local socket: {0}
    Bind(std::io::Error),
    /// certificates of the authority are not valid: {0}
    Authority(rustls::Error),
    /// cannot connect to {service}: {reason}
    Connect {
        /// Service that was addressed.
        service: String,
        /// What failed.
        reason: String,
    },
    /// connection lost: {0}
    Connection(quinn::ConnectionError),
    /// the agent granted no session
    NoSession,
    /// request ended with {0}
    Code(ResultCode),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns the numbered code of the failure.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Bind(_) => ResultCode::AddressInUse,
            Self::Authority(_) => ResultCode::SettingsInvalid,
            Self::Connect { .. } | Self::NoSession => ResultCode::Unreachable,
            Self::Connection(_) => ResultCode::UnknownAgentGone,
            Self::Code(code) => *code,
        }
    }
}
