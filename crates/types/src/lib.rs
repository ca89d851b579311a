//! Identifiers, units, result codes and configuration objects that all other crates share.

#![warn(missing_docs)]

mod code;
mod identifier;
mod newtype;
mod profile;
mod service;
mod unit;

pub use code::{Ran, ResultCode, Retry};
pub use identifier::{
    ConfigurationVersion, EndpointId, Epoch, FailureDomain, Incarnation, NodeId, ProfileName,
    Region, Revision, Sequence, ServiceId, ServiceName, SessionId, StoreEra, Version,
};
pub use newtype::ParseValueError;
pub use profile::{Profile, ProfileProblem, Treatment, Urgency, WorkKind, WorkProfile};
pub use service::{Phase, Service, Transport};
pub use unit::{ByteCount, DurationMs, PerMille, RatePerSecond, SlotCount, TimeMs, Weight};
