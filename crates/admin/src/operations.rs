//! What a balancer provides to its administration API.

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

/// Future of an operation.
pub type OperationsFuture<'o, Output> = Pin<Box<dyn Future<Output = Output> + Send + 'o>>;

/// Conditional change of one object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Object to change.
    pub key: ObjectKey,
    /// New value; nothing deletes the object.
    pub value: Option<serde_json::Value>,
    /// Version on which the change is based; `Version::NONE` creates the object.
    pub expected: Version,
    /// Identifies the change when its outcome is asked for again.
    pub write_id: WriteId,
}

/// Which balancers have a version in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Control addresses of balancers that have it in force.
    pub confirmed: Vec<SocketAddr>,
    /// Control addresses of balancers that have not confirmed it.
    pub missing: Vec<SocketAddr>,
}

/// Balancer as the answering one sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerStatus {
    /// Identifier of the balancer.
    pub node: NodeId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Address for control messages.
    pub control_address: SocketAddr,
    /// Address of the administration API, when it is known.
    pub admin_address: Option<SocketAddr>,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain, when it is known.
    pub region: Option<Region>,
    /// Phase.
    pub phase: Phase,
    /// Whether it is suspected to be dead.
    pub is_suspected: bool,
}

/// Upstream as the answering balancer sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Service, when its name is known.
    pub service: Option<ServiceName>,
    /// Address of the agent for packets.
    pub data_address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Phase.
    pub phase: Phase,
    /// Part of new flows that it takes.
    pub weight: Weight,
    /// Slots of the upstream.
    pub slots: SlotCount,
    /// Whether its agent is suspected to be dead.
    pub is_suspected: bool,
}

/// Version of an object that the answering balancer has in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionInForce {
    /// Object.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version in force.
    pub version: Version,
}

/// State of the answering balancer and its view of the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReport {
    /// Answering balancer.
    pub node: NodeId,
    /// Phase of the answering balancer.
    pub phase: Phase,
    /// All balancers that it knows, itself included.
    pub balancers: Vec<BalancerStatus>,
    /// All upstreams that it knows.
    pub upstreams: Vec<UpstreamStatus>,
    /// Versions that it has in force.
    pub versions: Vec<VersionInForce>,
    /// Alarms that are raised.
    pub alarms: Vec<String>,
}

/// What a balancer provides; implemented by its edge and by tests.
pub trait Operations: Send + Sync + 'static {
    /// Returns the object from the replica; a deleted one may be a tombstone or absent.
    fn object(&self, key: ObjectKey) -> OperationsFuture<'_, Option<StoredObject>>;

    /// Returns all profiles and services of the replica.
    fn objects(&self) -> OperationsFuture<'_, Vec<StoredObject>>;

    /// Writes through the store and takes an accepted version into the replica.
    fn write(&self, change: Change) -> OperationsFuture<'_, WriteOutcome>;

    /// Asks the store again for the outcome of a write that stayed open.
    fn outcome_of(
        &self,
        key: ObjectKey,
        expected: Version,
        write_id: WriteId,
    ) -> OperationsFuture<'_, WriteOutcome>;

    /// Asks all balancers whether they have `version` or a newer one in force, and waits up to `wait`.
    fn confirm(
        &self,
        key: ObjectKey,
        version: Version,
        wait: DurationMs,
    ) -> OperationsFuture<'_, Confirmation>;

    /// Returns the state of the balancer and its view.
    fn status(&self) -> OperationsFuture<'_, StatusReport>;

    /// Returns the phase of the balancer.
    fn phase(&self) -> Phase;

    /// Begins the drain of this process; a second call has no effect.
    fn begin_drain(&self);

    /// Returns the events that the process still holds.
    fn timeline(&self) -> Vec<TimedEvent>;

    /// Returns the level of the log.
    fn log_level(&self) -> LogLevel;

    /// Changes the level of the log.
    fn set_log_level(&self, level: LogLevel) -> Result<(), ResultCode>;
}
