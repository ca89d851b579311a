//! Reads and writes the flow record of an agent in the platform store.

use std::sync::Arc;

use hawthorntide_opaque::FlowRecord;
use hawthorntide_store::{ObjectKey, ObjectStore, StoredObject, WriteOutcome};
use hawthorntide_types::{DurationMs, Version};
use tokio::time::sleep;

use crate::backoff::{Backoff, StoreRecovery};

/// Writes of a record in one interval: one more after a conflict.
const MAX_WRITES: usize = 2;

#[derive(Clone, Debug)]
pub(crate) struct FlowRecorder {
    store: Arc<ObjectStore>,
    key: ObjectKey,
    recovery: StoreRecovery,
}

impl FlowRecorder {
    pub(crate) const fn new(
        store: Arc<ObjectStore>,
        key: ObjectKey,
        recovery: StoreRecovery,
    ) -> Self {
        Self {
            store,
            key,
            recovery,
        }
    }

    /// Passes the record of the agent's previous incarnation to `on_record`, then writes the current
    /// record at every interval if it changed, or if the store came back from a copy since.
    pub(crate) async fn run(
        self,
        on_record: impl Fn(Option<FlowRecord>),
        record: impl Fn() -> Option<FlowRecord>,
        interval_ms: impl Fn() -> DurationMs,
    ) {
        let mut version = Version::NONE;
        if let Some(object) = self.read_object().await {
            version = object.version;
            on_record(parse_record(object));
        } else {
            on_record(None);
        }
        let mut last_written = None;
        loop {
            sleep(interval_ms().into()).await;
            let Some(record) = record() else {
                continue;
            };
            let is_stored =
                last_written.as_ref() == Some(&record) && version.era() == self.store.era();
            if !is_stored && self.write_record(&record, &mut version).await {
                last_written = Some(record);
            }
        }
    }

    /// Writes the last record of a process that stops, whatever the object's version is.
    pub(crate) async fn write_last(&self, record: &FlowRecord) {
        let mut version = Version::NONE;
        self.write_record(record, &mut version).await;
    }

    /// Reads the object; retries until the store answers.
    async fn read_object(&self) -> Option<StoredObject> {
        let mut backoff = Backoff::new(self.recovery.clone());
        loop {
            match self.store.get(&self.key).await {
                Ok(object) => {
                    backoff.reset();
                    return object;
                }
                Err(error) => {
                    log::warn!(key:% = self.key; "relay: Cannot read the flow record: {error}.");
                    backoff.pause().await;
                }
            }
        }
    }

    /// Writes the record if the object has `version`, or else the version that it has instead: no
    /// other process writes it. Updates `version`; returns whether the record was written.
    async fn write_record(&self, record: &FlowRecord, version: &mut Version) -> bool {
        let value = match serde_json::to_value(record) {
            Ok(value) => value,
            Err(error) => {
                log::error!(key:% = self.key; "relay: Cannot encode the flow record: {error}.");
                return false;
            }
        };
        for _ in 0..MAX_WRITES {
            let outcome = self.store.put_if(&self.key, &value, *version).await;
            match &outcome {
                WriteOutcome::Accepted(accepted) => {
                    *version = *accepted;
                    return true;
                }
                // The store came back from a copy, or a write of this or the previous process took
                // effect although its answer was lost.
                WriteOutcome::Conflict { theirs } => {
                    *version = theirs.as_ref().map_or(Version::NONE, |it| it.version);
                }
                WriteOutcome::NotAccepted | WriteOutcome::Open { .. } => {}
            }
            log::warn!(key:% = self.key, code:% = outcome.code(); "relay: Cannot write the flow record.");
            if !matches!(outcome, WriteOutcome::Conflict { .. }) {
                break;
            }
        }
        false
    }
}

fn parse_record(object: StoredObject) -> Option<FlowRecord> {
    if object.is_deleted {
        return None;
    }
    let record: FlowRecord = match serde_json::from_value(object.value) {
        Ok(record) => record,
        Err(error) => {
            log::warn!(key:% = object.key; "relay: Malformed flow record ignored: {error}.");
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
