//! Removal of objects whose deletion no watcher needs to see.

use hawthorntide_types::Version;
use reqwest::StatusCode;
use tokio::time::Instant;

use super::{AttemptError, ObjectStore, StoreError, attempt_error};
use crate::dialect::StoreRequest;
use crate::object::ObjectKey;
use crate::write::{Removal, WriteOutcome};

impl ObjectStore {
    /// Removes the object if it still has the version `expected`, without a tombstone if the store
    /// supports that. Only for objects whose deletion no watcher needs to see.
    pub async fn remove_if(
        &self,
        key: &ObjectKey,
        expected: Version,
    ) -> Result<Removal, StoreError> {
        let Some(call) = self.dialect.remove(key, expected.revision()) else {
            return match self.delete_if(key, expected).await {
                WriteOutcome::Accepted(_) => Ok(Removal::Gone),
                WriteOutcome::Conflict { .. } => Ok(Removal::Changed),
                WriteOutcome::NotAccepted | WriteOutcome::Open { .. } => {
                    Err(StoreError::Unavailable)
                }
            };
        };
        let deadline = self.deadline();
        self.budget().deposit();
        if expected.era() != self.era() {
            let current = self.get_until(key, deadline).await?;
            match current {
                None => return Ok(Removal::Gone),
                Some(current) if current.version != expected => return Ok(Removal::Changed),
                Some(_) => {}
            }
        }
        for attempt in 0.. {
            match self.remove_once(&call, deadline).await {
                Ok(removal) => return Ok(removal),
                Err(AttemptError::Final(error)) => return Err(error),
                // Retrying is safe: a removal that was already executed finds no object.
                Err(error) if !self.wait_for_retry(attempt, deadline).await => {
                    return Err(error.store_error());
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
    ) -> Result<Removal, AttemptError> {
        let deadline = self.attempt_deadline(deadline);
        let answer = self.send_once(self.request(call), deadline).await?;
        match answer.response.status() {
            status if status.is_success() => Ok(Removal::Gone),
            StatusCode::NOT_FOUND => Ok(Removal::Gone),
            StatusCode::CONFLICT => Ok(Removal::Changed),
            status => Err(attempt_error(status)),
        }
    }
}
