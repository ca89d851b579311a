//! Record of an agent's flows in the platform store.

use std::sync::Arc;

use hawthorntide_opaque::FlowRecord;
use hawthorntide_store::{ObjectKey, ObjectStore, StoredObject, WriteOutcome};
use hawthorntide_types::{DurationMs, Version};
use tokio::time::sleep;

use crate::backoff::Backoff;

/// Keeps the record of the flows of one agent.
#[derive(Clone, Debug)]
pub(crate) struct FlowRecorder {
    store: Arc<ObjectStore>,
    key: ObjectKey,
}

impl FlowRecorder {
    pub(crate) const fn new(store: Arc<ObjectStore>, key: ObjectKey) -> Self {
        Self { store, key }
    }

    /// Reads the record of the process before this one, and writes one of its own from time to time.
    pub(crate) async fn run(
        self,
        take: impl Fn(Option<FlowRecord>),
        record: impl Fn() -> Option<FlowRecord>,
        interval_ms: impl Fn() -> DurationMs,
    ) {
        let mut version = Version::NONE;
        if let Some(object) = self.read().await {
            version = object.version;
            take(parse(object));
        } else {
            take(None);
        }
        let mut written = None;
        loop {
            sleep(interval_ms().into()).await;
            let Some(record) = record() else {
                continue;
            };
            if written.as_ref() != Some(&record) && self.write(&record, &mut version).await {
                written = Some(record);
            }
        }
    }

    /// Returns the object with the record, once the store answers.
    async fn read(&self) -> Option<StoredObject> {
        let mut backoff = Backoff::default();
        loop {
            match self.store.get(&self.key).await {
                Ok(object) => return object,
                Err(error) => {
                    log::warn!(key:% = self.key; "relay: Flow record not read: {error}.");
                    backoff.pause().await;
                }
            }
        }
    }

    /// Writes on top of `version`, which follows that of the object; returns whether it is written.
    async fn write(&self, record: &FlowRecord, version: &mut Version) -> bool {
        let value = match serde_json::to_value(record) {
            Ok(value) => value,
            Err(error) => {
                log::error!(key:% = self.key; "relay: Flow record not encoded: {error}.");
                return false;
            }
        };
        let outcome = self.store.put_if(&self.key, &value, *version).await;
        match &outcome {
            WriteOutcome::Accepted(accepted) => {
                *version = *accepted;
                return true;
            }
            // A write of this or the process before, whose answer was lost, took effect.
            WriteOutcome::Conflict { theirs } => {
                *version = theirs.as_ref().map_or(Version::NONE, |it| it.version);
            }
            WriteOutcome::NotAccepted | WriteOutcome::Open { .. } => {}
        }
        log::warn!(key:% = self.key, code:% = outcome.code(); "relay: Flow record not written.");
        false
    }
}

fn parse(object: StoredObject) -> Option<FlowRecord> {
    if object.is_deleted {
        return None;
    }
    let record: FlowRecord = match serde_json::from_value(object.value) {
        Ok(record) => record,
        Err(error) => {
            log::warn!(key:% = object.key; "relay: Flow record not readable: {error}.");
            return None;
        }
    };
    log::info!(
        key:% = object.key,
        version:% = object.version,
        upstream:% = record.incarnation.id,
        born_ms = record.incarnation.born_ms,
        flows = record.flows.len();
        "relay: Flow record read."
    );
    Some(record)
}
