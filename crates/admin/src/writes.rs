//! Conditional writes, queries of their outcome, and confirmations.

use gotham::hyper::StatusCode;
use hawthorntide_configuration::Team;
use hawthorntide_store::{ObjectKey, ObjectKind, WriteId, WriteOutcome};
use hawthorntide_types::{DurationMs, ResultCode, Version};

use crate::body::{AcceptedBody, ConfirmationBody, OpenBody};
use crate::operations::Change;
use crate::request::{Request, object_key, parse};
use crate::response::{ApiError, ApiResponse};

const MAX_CONFIRM_WAIT_MS: u64 = 10_000;

/// Writes one object on behalf of `team`; `None` as value deletes it.
pub(crate) async fn write(
    request: &Request,
    team: &Team,
    key: ObjectKey,
    value: Option<serde_json::Value>,
    expected: Version,
) -> Result<ApiResponse, ApiError> {
    let current = request.context.operations.object(key.clone()).await;
    if let Some(current) = current {
        let is_recreation = current.is_deleted && expected == Version::NONE;
        if current.version > expected && !is_recreation {
            return Err(ApiError::conflict(expected, current.version));
        }
    }
    let write_id = WriteId::random();
    let change = Change {
        key: key.clone(),
        value,
        expected,
        write_id: write_id.clone(),
    };
    let outcome = request.context.operations.write(change).await;
    log::info!(
        "admin: Write {write_id} of team {} to {key} based on version {expected}: {}.",
        team.name,
        outcome.code().name()
    );
    write_response(key, expected, write_id, outcome)
}

/// Queries the outcome of an earlier write.
pub(crate) async fn read(request: &Request) -> Result<ApiResponse, ApiError> {
    let query = &request.query;
    let write_id = Some(request.path.write_id.as_str());
    let write_id: WriteId = parse("write_id", write_id, "32 hexadecimal digits are accepted")?;
    let kind: ObjectKind = parse(
        "kind",
        query.kind.as_deref(),
        "profile or service is accepted",
    )?;
    let key = object_key(kind, query.name.as_deref().unwrap_or_default())?;
    let missing = || {
        ApiError::field(
            "expected",
            "the version on which the write was based is required",
        )
    };
    let expected = query.expected.ok_or_else(missing)?;
    let operations = &request.context.operations;
    let outcome = operations.outcome_of(key.clone(), expected, write_id.clone());
    write_response(key, expected, write_id, outcome.await)
}

/// Queries which balancers have a version in force.
pub(crate) async fn confirm(request: &Request) -> Result<ApiResponse, ApiError> {
    let kind = Some(request.path.kind.as_str());
    let kind: ObjectKind = parse("kind", kind, "profile or service is accepted")?;
    let key = request.key(kind)?;
    let missing = || ApiError::field("version", "the version to confirm is required");
    let version = request.query.version.ok_or_else(missing)?;
    let wait = request.query.wait_ms.unwrap_or_default();
    if wait.get() > MAX_CONFIRM_WAIT_MS {
        let accepted = format!("0 to {MAX_CONFIRM_WAIT_MS} is accepted");
        return Err(ApiError::field("wait_ms", &accepted));
    }
    let wait = DurationMs(wait.get());
    let confirmation = request
        .context
        .operations
        .confirm(key.clone(), version, wait)
        .await;
    Ok(ApiResponse::ok(&ConfirmationBody {
        key,
        version,
        confirmation,
    }))
}

fn write_response(
    key: ObjectKey,
    expected: Version,
    write_id: WriteId,
    outcome: WriteOutcome,
) -> Result<ApiResponse, ApiError> {
    match outcome {
        WriteOutcome::Accepted(version) => {
            let body = AcceptedBody {
                key,
                version,
                write_id,
            };
            Ok(ApiResponse::ok(&body).with_version(version))
        }
        WriteOutcome::Conflict { theirs } => {
            let theirs = theirs.map_or(Version::NONE, |theirs| theirs.version);
            Err(ApiError::conflict(expected, theirs))
        }
        WriteOutcome::NotAccepted => Err(ApiError::new(ResultCode::NotAccepted)),
        WriteOutcome::Open { write_id } => {
            let ask = format!(
                "/v1/writes/{write_id}?kind={}&name={}&expected={expected}",
                key.kind, key.name
            );
            let body = OpenBody {
                code: ResultCode::OutcomeOpen,
                key,
                expected,
                write_id,
                ask,
            };
            Ok(ApiResponse::json(StatusCode::ACCEPTED, &body))
        }
    }
}
