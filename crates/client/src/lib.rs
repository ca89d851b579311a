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

/// Error of the caller library; each variant maps to a [`ResultCode`].
#[derive(Debug, Display)]
pub enum CallError {
    /// cannot bind the local socket: {0}
    Bind(std::io::Error),
    /// invalid CA certificate: {0}
    Authority(rustls::Error),
    /// cannot connect to {service}: {reason}
    Connect {
        /// Name of the service that the caller tried to reach.
        service: String,
        /// Why the connection could not be opened, as text for the user.
        reason: String,
    },
    /// connection lost: {0}
    Connection(quinn::ConnectionError),
    /// the agent did not grant a session
    NoSession,
    /// request failed with {0}
    Code(ResultCode),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns the result code to report for this error.
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
