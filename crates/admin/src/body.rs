//! Bodies of the administration API.

use hawthorntide_configuration::LogLevel;
use hawthorntide_store::{ObjectKey, WriteId};
use hawthorntide_timeline::TimedEvent;
use hawthorntide_types::{Phase, Profile, ProfileName, ResultCode, Service, Version};
use serde::{Deserialize, Serialize};

use crate::operations::Confirmation;

/// Body of every error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Number of the result code.
    pub code: ResultCode,
    /// Name of the result code.
    pub name: String,
    /// What happened, in one sentence.
    pub message: String,
    /// Field that is meant, if it is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// All problems of the body.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<FieldProblem>,
    /// Version on which the refused change was based.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub yours: Option<Version>,
    /// Version that the object has; 0 when it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub theirs: Option<Version>,
}

/// Problem of one field of a body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldProblem {
    /// Line of the body, starting at 1.
    pub line: usize,
    /// Path of the field.
    pub field: String,
    /// What is accepted.
    pub accepted: String,
}

/// Answer to a change that was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedBody {
    /// Object that was changed.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version that the change made.
    pub version: Version,
    /// Write that made it.
    pub write_id: WriteId,
}

/// Answer to a change whose outcome is open.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenBody {
    /// Number of the result code.
    pub code: ResultCode,
    /// Object that was to be changed.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version on which the change was based.
    pub expected: Version,
    /// Identifies the write when its outcome is asked for again.
    pub write_id: WriteId,
    /// Path at which the outcome is asked for again.
    pub ask: String,
}

/// Profile with its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedProfile {
    /// Version in force at the answering balancer.
    pub version: Version,
    /// Profile.
    pub profile: Profile,
}

/// Service with its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedService {
    /// Version in force at the answering balancer.
    pub version: Version,
    /// Service.
    pub service: Service,
}

/// Choice of the profile that a service follows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileChoice {
    /// Profile to follow.
    pub profile: ProfileName,
}

/// Which balancers have a version in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmationBody {
    /// Object.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version that was asked for.
    pub version: Version,
    /// Balancers.
    #[serde(flatten)]
    pub confirmation: Confirmation,
}

/// Phase of the process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PhaseBody {
    /// Phase.
    pub phase: Phase,
}

/// Level of the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogLevelBody {
    /// Level.
    pub level: LogLevel,
}

/// Events of the process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelineBody {
    /// Events in the order of their time.
    pub events: Vec<TimedEvent>,
}
