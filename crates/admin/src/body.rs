//! Request and response bodies of the administration API.

use hawthorntide_configuration::LogLevel;
use hawthorntide_store::{ObjectKey, WriteId};
use hawthorntide_timeline::TimedEvent;
use hawthorntide_types::{Phase, Profile, ProfileName, ResultCode, Service, Version};
use serde::{Deserialize, Serialize};

use crate::operations::Confirmation;

/// Body of every error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Serialized as its number.
    pub code: ResultCode,
    /// Name of the result code.
    pub name: String,
    /// Description of the error, in one sentence.
    pub message: String,
    /// First invalid field, if the error concerns the content of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// All problems found in the request body.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<FieldProblem>,
    /// Version on which the rejected change was based.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub yours: Option<Version>,
    /// Current version of the object; 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub theirs: Option<Version>,
}

/// Problem with one field of a request body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldProblem {
    /// Line of the body, starting at 1.
    pub line: usize,
    /// Path of the field within the body.
    pub field: String,
    /// Description of the valid values.
    pub accepted: String,
}

/// Response to a change that was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedBody {
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version that the change created.
    pub version: Version,
    pub write_id: WriteId,
}

/// Response to a change whose outcome is not known yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenBody {
    /// Serialized as its number.
    pub code: ResultCode,
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version on which the change was based.
    pub expected: Version,
    /// Identifies the write in later queries of its outcome.
    pub write_id: WriteId,
    /// Path and query at which the outcome can be queried.
    pub ask: String,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedProfile {
    /// Version in force at the balancer that responds.
    pub version: Version,
    pub profile: Profile,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedService {
    /// Version in force at the balancer that responds.
    pub version: Version,
    pub service: Service,
}

/// Request to change the profile of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileChoice {
    pub profile: ProfileName,
}

/// Balancers that have confirmed a version as in force, and those that have not.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmationBody {
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version that was queried.
    pub version: Version,
    #[serde(flatten)]
    pub confirmation: Confirmation,
}

/// Phase of the balancer process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PhaseBody {
    pub phase: Phase,
}

/// Log level of the process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogLevelBody {
    pub level: LogLevel,
}

/// Events recorded by the process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelineBody {
    /// In ascending order of time.
    pub events: Vec<TimedEvent>,
}
