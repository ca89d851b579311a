//! Deployment file of a trial.

use hawthorntide_types::{DurationMs, FailureDomain, Profile, ServiceName, SlotCount};
use serde::{Deserialize, Serialize};

/// Deployment that a trial runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Failure domains; balancers and upstreams are spread over them in turn.
    pub failure_domains: Vec<FailureDomain>,
    /// One-way delay between callers and balancers.
    pub caller_delay_ms: DurationMs,
    /// Number of balancers.
    pub balancers: u32,
    /// Services.
    pub services: Vec<DeploymentService>,
}

/// Service of a deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentService {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of endpoints.
    pub endpoints: u32,
    /// Slots of each upstream.
    pub slots: SlotCount,
    /// Time that a request holds a slot.
    pub service_time_ms: DurationMs,
    /// Profile that the service follows.
    pub profile: Profile,
}
