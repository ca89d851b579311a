//! Removal of objects whose end nobody watches for.

use hawthorntide_types::Version;
use reqwest::StatusCode;
use tokio::time::Instant;

use super::{Attempt, ObjectStore, StoreError, failure, send_any};
use crate::dialect::StoreRequest;
use crate::object::ObjectKey;
use crate::write::{Removal, WriteOutcome};

impl ObjectStore {
    /// Removes the object if it still has the version `expected`, without a tombstone where the store
    /// can: for objects whose end nobody watches for.
    pub async fn remove_if(
        &self,
        key: &ObjectKey,
        expected: Version,
    ) -> Result<Removal, StoreError> {
        let Some(call) = self.dialect.remove(key, expected) else {
            return match self.delete_if(key, expected).await {
                WriteOutcome::Accepted(_) => Ok(Removal::Gone),
                WriteOutcome::Conflict { .. } => Ok(Removal::Changed),
                WriteOutcome::NotAccepted | WriteOutcome::Open { .. } => {
                    Err(StoreError::Unavailable)
                }
            };
        };
        let deadline = self.deadline();
        self.budget().earn();
        for attempt in 0.. {
            match self.remove_once(&call, deadline).await {
                Ok(removal) => return Ok(removal),
                Err(Attempt::Final(error)) => return Err(error),
                // A removal that is carried out twice finds no object the second time.
                Err(error) if !self.may_retry(attempt, deadline).await => {
                    return Err(error.error());
                }
                Err(_) => {}
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn remove_once(
        &self,
        call: &StoreRequest,
        deadline: Instant,
    ) -> Result<Removal, Attempt> {
        let deadline = self.attempt_deadline(deadline);
        let response = send_any(self.request(call), deadline).await?;
        match response.status() {
            status if status.is_success() => Ok(Removal::Gone),
            StatusCode::NOT_FOUND => Ok(Removal::Gone),
            StatusCode::CONFLICT => Ok(Removal::Changed),
            status => Err(failure(status)),
        }
    }
}
