//! Implements the operations of the administration API for a running balancer.

use std::sync::Arc;

use hawthorntide_admin::{
    BalancerStatus, Change, Confirmation, Operations, OperationsFuture, StatusReport,
    UpstreamStatus, VersionInForce, log_level, set_log_level,
};
use hawthorntide_configuration::{LogLevel, Object};
use hawthorntide_membership::{BalancerMember, Endpoint, Health};
use hawthorntide_store::{ObjectKey, ObjectStore, StoredObject, WriteId, WriteOutcome};
use hawthorntide_timeline::{Component, Event, EventKind, TimedEvent, Timeline};
use hawthorntide_types::{DurationMs, NodeId, Phase, ResultCode, Service, ServiceName, Version};
use tokio_util::sync::CancellationToken;

use crate::control::{ControlHandle, MembershipView};

/// Administration of one balancer through its control plane and the platform store.
#[derive(Debug)]
pub struct BalancerOperations {
    node: NodeId,
    control: ControlHandle,
    store: Arc<ObjectStore>,
    timeline: Option<Arc<Timeline>>,
    drain: CancellationToken,
}

impl BalancerOperations {
    pub fn new(
        node: NodeId,
        control: ControlHandle,
        store: Arc<ObjectStore>,
        timeline: Option<Arc<Timeline>>,
    ) -> Self {
        Self {
            node,
            control,
            store,
            timeline,
            drain: CancellationToken::new(),
        }
    }

    /// Waits until an operator requests a drain of the process.
    pub async fn drain_requested(&self) {
        self.drain.cancelled().await;
    }

    /// Applies the object that the store returned to the local replica, which distributes it to all
    /// members.
    async fn apply_outcome(&self, change: &Change, outcome: &WriteOutcome) {
        let written = StoredObject {
            key: change.key.clone(),
            version: change.expected,
            write_id: Some(change.write_id.clone()),
            is_deleted: change.value.is_none(),
            value: change.value.clone().unwrap_or_default(),
        };
        if let Some(current) = outcome.current(written) {
            self.control.apply_object(replica_object(current)).await;
        }
    }

    fn record_change(&self, outcome: &WriteOutcome) {
        let Some(timeline) = &self.timeline else {
            return;
        };
        let event = Event::new(Component::Admin, EventKind::OperatorChange);
        timeline.record(match outcome {
            WriteOutcome::Accepted(version) => event.version(*version),
            WriteOutcome::Conflict { .. } => event.code(ResultCode::Conflict),
            WriteOutcome::NotAccepted => event.code(ResultCode::NotAccepted),
            WriteOutcome::Open { .. } => event.code(ResultCode::OutcomeOpen),
        });
    }

    async fn view(&self) -> MembershipView {
        let view = self.control.view().await;
        view.unwrap_or_else(|| MembershipView {
            balancers: Vec::new(),
            endpoints: Vec::new(),
            is_removal_suspended: false,
        })
    }

    async fn stored_objects(&self) -> Vec<StoredObject> {
        let objects = self.control.objects().await.unwrap_or_default();
        objects
            .iter()
            .filter_map(|object| stored_object(object))
            .collect()
    }
}

impl Operations for BalancerOperations {
    fn object(&self, key: ObjectKey) -> OperationsFuture<'_, Option<StoredObject>> {
        Box::pin(async move {
            let objects = self.stored_objects().await;
            objects.into_iter().find(|object| object.key == key)
        })
    }

    fn objects(&self) -> OperationsFuture<'_, Vec<StoredObject>> {
        Box::pin(self.stored_objects())
    }

    fn write(&self, change: Change) -> OperationsFuture<'_, WriteOutcome> {
        Box::pin(async move {
            let (key, expected, id) = (&change.key, change.expected, change.write_id.clone());
            let outcome = match &change.value {
                Some(value) => self.store.put_if_with_id(key, value, expected, id).await,
                None => self.store.delete_if_with_id(key, expected, id).await,
            };
            self.record_change(&outcome);
            self.apply_outcome(&change, &outcome).await;
            outcome
        })
    }

    fn outcome_of(
        &self,
        key: ObjectKey,
        expected: Version,
        write_id: WriteId,
    ) -> OperationsFuture<'_, WriteOutcome> {
        Box::pin(async move {
            let outcome = self.store.outcome_of(&key, expected, write_id).await;
            if matches!(outcome, WriteOutcome::Accepted(_))
                && let Ok(Some(object)) = self.store.get(&key).await
            {
                self.control.apply_object(replica_object(object)).await;
            }
            outcome
        })
    }

    fn confirm(
        &self,
        key: ObjectKey,
        version: Version,
        wait: DurationMs,
    ) -> OperationsFuture<'_, Confirmation> {
        Box::pin(async move {
            let kind = key.kind.to_string();
            let report = self.control.confirm(kind, key.name, version, wait).await;
            let view = self.view().await;
            let address = |node: &NodeId| {
                let mut balancers = view.balancers.iter();
                let member = balancers.find(|member| member.id == *node);
                member.map(|member| member.control_address)
            };
            let Some(report) = report else {
                return Confirmation::default();
            };
            let confirmed = report.confirmed.iter();
            Confirmation {
                confirmed: confirmed.filter_map(|(node, _)| address(node)).collect(),
                missing: report.pending.iter().filter_map(address).collect(),
            }
        })
    }

    fn status(&self) -> OperationsFuture<'_, StatusReport> {
        Box::pin(async move {
            let view = self.view().await;
            let objects = self.stored_objects().await;
            let mut alarms = Vec::new();
            if view.is_removal_suspended {
                alarms.push("Many members went silent at once; removals are held.".to_owned());
            }
            StatusReport {
                node: self.node,
                phase: self.phase(),
                balancers: view.balancers.iter().map(balancer_status).collect(),
                upstreams: view
                    .endpoints
                    .iter()
                    .map(|endpoint| upstream_status(endpoint, &objects))
                    .collect(),
                versions: objects
                    .iter()
                    .map(|object| VersionInForce {
                        key: object.key.clone(),
                        version: object.version,
                    })
                    .collect(),
                alarms,
            }
        })
    }

    fn phase(&self) -> Phase {
        if self.drain.is_cancelled() {
            return Phase::Draining;
        }
        Phase::Serving
    }

    fn begin_drain(&self) {
        self.drain.cancel();
    }

    fn timeline(&self) -> Vec<TimedEvent> {
        let timeline = self.timeline.as_ref();
        timeline
            .map(|timeline| timeline.events())
            .unwrap_or_default()
    }

    fn log_level(&self) -> LogLevel {
        log_level()
    }

    fn set_log_level(&self, level: LogLevel) -> Result<(), ResultCode> {
        set_log_level(level);
        Ok(())
    }
}

/// Converts an object of the store to the form that members exchange.
pub(crate) fn replica_object(object: StoredObject) -> Object {
    let value = if object.is_deleted {
        Vec::new()
    } else {
        object.value.to_string().into_bytes()
    };
    Object {
        kind: object.key.kind.to_string(),
        name: object.key.name,
        version: object.version,
        is_deleted: object.is_deleted,
        write_id: object.write_id.map(String::from).unwrap_or_default(),
        value,
    }
}

pub(crate) fn stored_object(object: &Object) -> Option<StoredObject> {
    let kind = object.kind.parse().ok()?;
    Some(StoredObject {
        key: ObjectKey::new(kind, &object.name).ok()?,
        version: object.version,
        write_id: object.write_id.parse().ok(),
        is_deleted: object.is_deleted,
        value: serde_json::from_slice(&object.value).unwrap_or_default(),
    })
}

fn balancer_status(member: &BalancerMember) -> BalancerStatus {
    BalancerStatus {
        node: member.id,
        incarnation: member.stamp.incarnation,
        control_address: member.control_address,
        admin_address: member.admin_address,
        failure_domain: member.failure_domain.clone(),
        region: Some(member.region.clone()),
        phase: member.phase,
        is_suspected: member.stamp.health != Health::Alive,
    }
}

fn upstream_status(endpoint: &Endpoint, objects: &[StoredObject]) -> UpstreamStatus {
    let mut services = objects
        .iter()
        .filter_map(|object| serde_json::from_value::<Service>(object.value.clone()).ok());
    let service: Option<ServiceName> = services
        .find(|service| service.id() == endpoint.service)
        .map(|service| service.name);
    UpstreamStatus {
        endpoint: endpoint.id,
        incarnation: endpoint.stamp.incarnation,
        service,
        data_address: endpoint.data_address,
        failure_domain: endpoint.failure_domain.clone(),
        phase: endpoint.phase,
        weight: endpoint.weight,
        slots: endpoint.slots,
        is_suspected: endpoint.stamp.health != Health::Alive,
    }
}
