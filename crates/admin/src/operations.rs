//! Interface between the administration API and the balancer that serves it.

use std::net::SocketAddr;
use std::pin::Pin;

use hawthorntide_configuration::LogLevel;
use hawthorntide_store::{ObjectKey, StoredObject, WriteId, WriteOutcome};
use hawthorntide_timeline::TimedEvent;
use hawthorntide_types::{
    DurationMs, EndpointId, FailureDomain, Incarnation, NodeId, Phase, Region, ResultCode,
    ServiceName, SlotCount, Version, Weight,
};
use serde::{Deserialize, Serialize};

/// Boxed future, so that [`Operations`] can be used as a trait object.
pub type OperationsFuture<'o, Output> = Pin<Box<dyn Future<Output = Output> + Send + 'o>>;

/// Conditional write of one object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    pub key: ObjectKey,
    /// New value; `None` deletes the object.
    pub value: Option<serde_json::Value>,
    /// Version on which the change is based; `Version::NONE` creates the object.
    pub expected: Version,
    /// Identifies the write in later queries of its outcome.
    pub write_id: WriteId,
}

/// Balancers that have confirmed a version as in force, and those that have not.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Control addresses of balancers that have the version or a newer one in force.
    pub confirmed: Vec<SocketAddr>,
    /// Control addresses of the other balancers.
    pub missing: Vec<SocketAddr>,
}

/// State of a balancer as seen by the balancer that responds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerStatus {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub control_address: SocketAddr,
    /// Address of the administration API; `None` if it is not known.
    pub admin_address: Option<SocketAddr>,
    pub failure_domain: FailureDomain,
    /// Region of the failure domain; `None` if it is not known.
    pub region: Option<Region>,
    pub phase: Phase,
    /// Whether failure detection suspects that the balancer is unreachable.
    pub is_suspected: bool,
}

/// State of an upstream as seen by the balancer that responds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamStatus {
    pub endpoint: EndpointId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// `None` if the name of the service is not known.
    pub service: Option<ServiceName>,
    /// Address at which the agent receives packets of flows.
    pub data_address: SocketAddr,
    pub failure_domain: FailureDomain,
    pub phase: Phase,
    /// Relative share of new flows.
    pub weight: Weight,
    /// Number of requests that the upstream runs concurrently.
    pub slots: SlotCount,
    /// Whether failure detection suspects that the agent is unreachable.
    pub is_suspected: bool,
}

/// Version of an object that the balancer that responds has in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionInForce {
    #[serde(flatten)]
    pub key: ObjectKey,
    pub version: Version,
}

/// State of the balancer that responds and its view of the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReport {
    /// Balancer that responds.
    pub node: NodeId,
    /// Phase of the balancer that responds.
    pub phase: Phase,
    /// All known balancers, including the one that responds.
    pub balancers: Vec<BalancerStatus>,
    /// All known upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    pub versions: Vec<VersionInForce>,
    /// Descriptions of the active alarms.
    pub alarms: Vec<String>,
}

/// Operations of the balancer that the administration API uses.
pub trait Operations: Send + Sync + 'static {
    /// Returns the object from the local replica; a deleted object may be a tombstone or absent.
    fn object(&self, key: ObjectKey) -> OperationsFuture<'_, Option<StoredObject>>;

    /// Returns all profiles and services in the local replica.
    fn objects(&self) -> OperationsFuture<'_, Vec<StoredObject>>;

    /// Writes to the store and applies an accepted version to the local replica.
    fn write(&self, change: Change) -> OperationsFuture<'_, WriteOutcome>;

    /// Queries the store for the outcome of a write that ended with an unknown outcome.
    fn outcome_of(
        &self,
        key: ObjectKey,
        expected: Version,
        write_id: WriteId,
    ) -> OperationsFuture<'_, WriteOutcome>;

    /// Asks every balancer whether `version` or a newer one is in force; waits up to `wait` for answers
    /// that confirm it.
    fn confirm(
        &self,
        key: ObjectKey,
        version: Version,
        wait: DurationMs,
    ) -> OperationsFuture<'_, Confirmation>;

    fn status(&self) -> OperationsFuture<'_, StatusReport>;

    fn phase(&self) -> Phase;

    /// Starts to drain this process; further calls have no effect.
    fn begin_drain(&self);

    /// Returns the events in the ring buffers of the process.
    fn timeline(&self) -> Vec<TimedEvent>;

    fn log_level(&self) -> LogLevel;

    fn set_log_level(&self, level: LogLevel) -> Result<(), ResultCode>;
}
