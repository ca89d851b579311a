//! Conditional writes and the question for their outcome.

use gotham::hyper::StatusCode;
use hawthorntide_configuration::Team;
use hawthorntide_store::{ObjectKey, ObjectKind, WriteId, WriteOutcome};
use hawthorntide_types::{DurationMs, ResultCode, Version};

use crate::body::{AcceptedBody, ConfirmationBody, OpenBody};
use crate::operations::Change;
use crate::request::{Request, key_of, parse};
use crate::response::{Answer, Refusal};

/// Longest wait for confirmations.
const MAX_CONFIRM_WAIT_MS: u64 = 10_000;

/// Writes one object for `team`.
pub(crate) async fn write(
    request: &Request,
    team: &Team,
    key: ObjectKey,
    value: Option<serde_json::Value>,
    expected: Version,
) -> Result<Answer, Refusal> {
    let known = request.edge.operations.object(key.clone()).await;
    if let Some(known) = known {
        let is_free = known.is_deleted && expected == Version::NONE;
        if known.version > expected && !is_free {
            return Err(Refusal::conflict(expected, known.version));
        }
    }
    let write_id = WriteId::random();
    let change = Change {
        key: key.clone(),
        value,
        expected,
        write_id: write_id.clone(),
    };
    let outcome = request.edge.operations.write(change).await;
    log::info!(
        "admin: Write {write_id} of team {} on {key} from version {expected}: {}.",
        team.name,
        outcome.code().name()
    );
    answer(key, expected, write_id, outcome)
}

/// Answers the question for the outcome of an earlier write.
pub(crate) async fn read(request: &Request) -> Result<Answer, Refusal> {
    let query = &request.query;
    let write_id = Some(request.names.write_id.as_str());
    let write_id: WriteId = parse("write_id", write_id, "32 hexadecimal digits are accepted")?;
    let kind: ObjectKind = parse("kind", query.kind.as_deref(), "profile or service")?;
    let key = key_of(kind, query.name.as_deref().unwrap_or_default())?;
    let needed = || Refusal::field("expected", "the version of the change is needed");
    let expected = query.expected.ok_or_else(needed)?;
    let operations = &request.edge.operations;
    let outcome = operations.outcome_of(key.clone(), expected, write_id.clone());
    answer(key, expected, write_id, outcome.await)
}

/// Tells which balancers have a version in force.
pub(crate) async fn confirm(request: &Request) -> Result<Answer, Refusal> {
    let kind = Some(request.names.kind.as_str());
    let kind: ObjectKind = parse("kind", kind, "profile or service")?;
    let key = request.key(kind)?;
    let needed = || Refusal::field("version", "the version to confirm is needed");
    let version = request.query.version.ok_or_else(needed)?;
    let wait = request.query.wait_ms.unwrap_or_default();
    if wait.get() > MAX_CONFIRM_WAIT_MS {
        let accepted = format!("0 to {MAX_CONFIRM_WAIT_MS} is accepted");
        return Err(Refusal::field("wait_ms", &accepted));
    }
    let wait = DurationMs(wait.get());
    let confirmation = request
        .edge
        .operations
        .confirm(key.clone(), version, wait)
        .await;
    Ok(Answer::ok(&ConfirmationBody {
        key,
        version,
        confirmation,
    }))
}

fn answer(
    key: ObjectKey,
    expected: Version,
    write_id: WriteId,
    outcome: WriteOutcome,
) -> Result<Answer, Refusal> {
    match outcome {
        WriteOutcome::Accepted(version) => {
            let body = AcceptedBody {
                key,
                version,
                write_id,
            };
            Ok(Answer::ok(&body).version(version))
        }
        WriteOutcome::Conflict { theirs } => {
            let theirs = theirs.map_or(Version::NONE, |theirs| theirs.version);
            Err(Refusal::conflict(expected, theirs))
        }
        WriteOutcome::NotAccepted => Err(Refusal::new(ResultCode::NotAccepted)),
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
            Ok(Answer::json(StatusCode::ACCEPTED, &body))
        }
    }
}
