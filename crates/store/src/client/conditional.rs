//! Conditional writes and the outcome of those whose response was lost.

use std::time::Duration;

use hawthorntide_types::{DurationMs, StoreEra, Version};
use reqwest::StatusCode;
use tokio::time::{Instant, timeout_at};

use super::{AttemptError, ObjectStore, attempt_error, read_body};
use crate::object::{MAX_VALUE_BYTES, ObjectKey, StoredObject, WriteId};
use crate::protocol::{decode_object, encode_value};
use crate::write::WriteOutcome;

/// Conditional write of an object.
#[derive(Clone, Copy)]
struct Put<'a> {
    key: &'a ObjectKey,
    /// `None` makes a tombstone.
    value: Option<&'a serde_json::Value>,
    write_id: &'a WriteId,
    expected: Version,
}

enum PutResponse {
    Accepted(Version),
    /// The write took effect in a later era than the one stored with the object, which this version
    /// names.
    AcceptedInOtherEra(Version),
    Conflict(Option<StoredObject>),
}

impl ObjectStore {
    /// Writes `value` if the object still has the version `expected`. `Version::NONE` creates it.
    pub async fn put_if(
        &self,
        key: &ObjectKey,
        value: &serde_json::Value,
        expected: Version,
    ) -> WriteOutcome {
        self.write(key, Some(value), expected, WriteId::random())
            .await
    }

    /// Like [`put_if`](Self::put_if), with a write id for a later query by
    /// [`outcome_of`](Self::outcome_of).
    pub async fn put_if_with_id(
        &self,
        key: &ObjectKey,
        value: &serde_json::Value,
        expected: Version,
        write_id: WriteId,
    ) -> WriteOutcome {
        self.write(key, Some(value), expected, write_id).await
    }

    /// Replaces the object by a tombstone if it still has the version `expected`.
    pub async fn delete_if(&self, key: &ObjectKey, expected: Version) -> WriteOutcome {
        self.write(key, None, expected, WriteId::random()).await
    }

    /// Like [`delete_if`](Self::delete_if), with a write id for a later query by
    /// [`outcome_of`](Self::outcome_of).
    pub async fn delete_if_with_id(
        &self,
        key: &ObjectKey,
        expected: Version,
        write_id: WriteId,
    ) -> WriteOutcome {
        self.write(key, None, expected, write_id).await
    }

    /// Queries the outcome of an earlier write that expected the version `expected`.
    ///
    /// The outcome stays open while the object still has that version, because a delayed request
    /// may still reach the store.
    pub async fn outcome_of(
        &self,
        key: &ObjectKey,
        expected: Version,
        write_id: WriteId,
    ) -> WriteOutcome {
        let deadline = self.deadline();
        let Ok(current) = self.get_until(key, deadline).await else {
            return WriteOutcome::Open { write_id };
        };
        if version_of(current.as_ref()) == expected {
            return WriteOutcome::Open { write_id };
        }
        self.outcome_from_history(key, expected, current, write_id, deadline)
            .await
    }

    /// Writes a value, or a tombstone for `None`.
    ///
    /// If the store came back from a copy just before the write, the stored object names the wrong
    /// era; the write is then repeated.
    async fn write(
        &self,
        key: &ObjectKey,
        value: Option<&serde_json::Value>,
        mut expected: Version,
        write_id: WriteId,
    ) -> WriteOutcome {
        let deadline = self.deadline();
        // Reserves the time of one attempt for the check after a lost response.
        let write_deadline = deadline - Duration::from(self.options.attempt_ms);
        let size = encode_value(value, &write_id, StoreEra::MAX).len();
        if size > MAX_VALUE_BYTES {
            return WriteOutcome::NotAccepted;
        }
        self.budget().deposit();
        // Start of the history that shows the outcome of a write whose response was lost.
        let mut lost_since = None;
        for attempt in 0.. {
            let before = Version::in_era(self.era(), expected.revision());
            let put = Put {
                key,
                value,
                write_id: &write_id,
                expected,
            };
            match self.put_in_known_era(put, write_deadline).await {
                Ok(PutResponse::Accepted(version)) => return WriteOutcome::Accepted(version),
                Ok(PutResponse::AcceptedInOtherEra(version)) => {
                    log::warn!(
                        "store: Write {write_id} on {key} is repeated in the new era of the store."
                    );
                    lost_since = Some(version);
                    expected = version;
                }
                Ok(PutResponse::Conflict(theirs)) => {
                    let written = version_written_by(theirs.as_ref(), &write_id);
                    if let Some(version) = written {
                        if version.era() == self.era() {
                            return WriteOutcome::Accepted(version);
                        }
                        expected = version;
                    } else if let Some(tombstone) =
                        replaceable_tombstone(theirs.as_ref(), expected, lost_since.is_some())
                    {
                        expected = tombstone;
                        continue;
                    } else if let Some(since) = lost_since {
                        return self
                            .outcome_from_history(key, since, theirs, write_id, deadline)
                            .await;
                    } else {
                        return WriteOutcome::Conflict { theirs };
                    }
                }
                Err(AttemptError::Ambiguous) => {
                    lost_since.get_or_insert(before);
                }
                Err(AttemptError::Refused(_)) => {}
                Err(AttemptError::Final(_)) => break,
            }
            if !self.wait_for_retry(attempt, write_deadline).await {
                break;
            }
        }
        let Some(since) = lost_since else {
            return WriteOutcome::NotAccepted;
        };
        self.check_lost_write(key, expected, since, write_id, deadline)
            .await
    }

    /// Checks whether a write whose response was lost took effect.
    async fn check_lost_write(
        &self,
        key: &ObjectKey,
        expected: Version,
        since: Version,
        write_id: WriteId,
        deadline: Instant,
    ) -> WriteOutcome {
        let Ok(current) = self.get_once(key, deadline).await else {
            return WriteOutcome::Open { write_id };
        };
        if version_of(current.as_ref()) == expected {
            return WriteOutcome::Open { write_id };
        }
        self.outcome_from_history(key, since, current, write_id, deadline)
            .await
    }

    /// Determines the outcome of a write after a lost response, if the object no longer has the
    /// version on which the write was based.
    ///
    /// The write id of the current version is not sufficient, because a later write may have
    /// replaced the version that this write created. The history `since` that version is sufficient
    /// if the store still has all of it, and has not come back from a copy.
    async fn outcome_from_history(
        &self,
        key: &ObjectKey,
        since: Version,
        current: Option<StoredObject>,
        write_id: WriteId,
        deadline: Instant,
    ) -> WriteOutcome {
        if let Some(version) = version_written_by(current.as_ref(), &write_id) {
            return WriteOutcome::Accepted(version);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let history = timeout_at(deadline, self.watch(since, DurationMs(0))).await;
        let Ok(Ok(history)) = history else {
            log::warn!(
                "store: Outcome of write {write_id} on {key} is unknown; {remaining:?} were left before the deadline."
            );
            return WriteOutcome::Open { write_id };
        };
        let versions = history.objects.iter().filter(|object| object.key == *key);
        let mut is_complete = false;
        for object in versions {
            if let Some(version) = version_written_by(Some(object), &write_id) {
                return WriteOutcome::Accepted(version);
            }
            is_complete |= object.version == version_of(current.as_ref());
        }
        if is_complete {
            return WriteOutcome::Conflict { theirs: current };
        }
        WriteOutcome::Open { write_id }
    }

    /// Writes an object, after a check of the condition if the era of the store may have changed
    /// since the version `expected` was read. The store compares revisions only, and may have given
    /// out the same one for other content.
    async fn put_in_known_era(
        &self,
        put: Put<'_>,
        deadline: Instant,
    ) -> Result<PutResponse, AttemptError> {
        let is_era_known = match put.expected {
            Version::NONE => self.era.is_known(),
            expected => expected.era() == self.era(),
        };
        if !is_era_known {
            let current = self.get_once(put.key, deadline).await;
            // Nothing was written yet.
            let current = current.map_err(|error| AttemptError::Refused(error.store_error()))?;
            if version_of(current.as_ref()) != put.expected {
                return Ok(PutResponse::Conflict(current));
            }
        }
        self.put_once(put, deadline).await
    }

    async fn put_once(&self, put: Put<'_>, deadline: Instant) -> Result<PutResponse, AttemptError> {
        let era = self.era();
        let encoded = encode_value(put.value, put.write_id, era);
        let expected = put.expected.revision();
        let call = self.dialect.write(put.key, encoded, expected);
        let deadline = self.attempt_deadline(deadline);
        let answer = self.send_once(self.request(&call), deadline).await?;
        let (answer_era, response) = (answer.era, answer.response);
        let status = response.status();
        if status.is_success() {
            let body = read_body(response, deadline).await;
            let body = body.map_err(|_| AttemptError::Ambiguous)?;
            let revision = self.dialect.write_answer(&body);
            let revision = revision.map_err(|_| AttemptError::Ambiguous)?;
            let version = Version::in_era(era, revision);
            if answer_era != era {
                return Ok(PutResponse::AcceptedInOtherEra(version));
            }
            return Ok(PutResponse::Accepted(version));
        }
        match status {
            StatusCode::CONFLICT => {
                let body = read_body(response, deadline).await;
                let body = body.map_err(|_| AttemptError::Ambiguous)?;
                let current = self.dialect.conflict_answer(&body);
                let current = current.map_err(|_| AttemptError::Ambiguous)?;
                Ok(PutResponse::Conflict(
                    current.and_then(|current| decode_object(current).ok()),
                ))
            }
            // The object to replace does not exist.
            StatusCode::NOT_FOUND => Ok(PutResponse::Conflict(None)),
            status => Err(attempt_error(status)),
        }
    }
}

fn version_of(object: Option<&StoredObject>) -> Version {
    object.map_or(Version::NONE, |object| object.version)
}

fn version_written_by(object: Option<&StoredObject>, write_id: &WriteId) -> Option<Version> {
    let object = object?;
    (object.write_id.as_ref() == Some(write_id)).then_some(object.version)
}

/// Returns the version of the tombstone that the creation of an object may replace.
///
/// Returns `None` after a lost response: the tombstone may then result from a deletion of the
/// object that this write created.
fn replaceable_tombstone(
    theirs: Option<&StoredObject>,
    expected: Version,
    has_lost_response: bool,
) -> Option<Version> {
    let theirs = theirs?;
    (expected == Version::NONE && theirs.is_deleted && !has_lost_response).then_some(theirs.version)
}
