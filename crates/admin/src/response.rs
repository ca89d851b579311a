//! Answers and errors of the administration API.

use gotham::hyper::StatusCode;
use hawthorntide_configuration::SettingsProblem;
use hawthorntide_types::{ResultCode, Version};
use mime::Mime;
use serde::Serialize;

use crate::body::{ErrorBody, FieldProblem};

/// Answer to one request.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) mime: Mime,
    pub(crate) text: String,
    /// Version for the `ETag` header.
    pub(crate) version: Option<Version>,
}

/// Refusal of a request.
#[derive(Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    body: Box<ErrorBody>,
}

impl Answer {
    pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Self {
        Self {
            status,
            mime: mime::APPLICATION_JSON,
            text: serde_json::to_string(body).unwrap_or_default(),
            version: None,
        }
    }

    pub(crate) fn ok(body: &impl Serialize) -> Self {
        Self::json(StatusCode::OK, body)
    }

    pub(crate) const fn text(text: String) -> Self {
        Self {
            status: StatusCode::OK,
            mime: mime::TEXT_PLAIN_UTF_8,
            text,
            version: None,
        }
    }

    pub(crate) const fn version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }
}

impl Refusal {
    pub(crate) fn new(code: ResultCode) -> Self {
        Self {
            status: status_of(code),
            body: Box::new(ErrorBody {
                code,
                name: code.name().to_owned(),
                message: code.meaning().to_owned(),
                field: None,
                problems: Vec::new(),
                yours: None,
                theirs: None,
            }),
        }
    }

    /// Refuses the value of one field.
    pub(crate) fn field(field: &str, accepted: &str) -> Self {
        let mut refusal = Self::new(ResultCode::InvalidField);
        refusal.body.message = format!("{field}: {accepted}");
        refusal.body.field = Some(field.to_owned());
        refusal
    }

    /// Refuses a body with all its problems.
    pub(crate) fn problems(problems: Vec<SettingsProblem>) -> Self {
        let Some(first) = problems.first() else {
            return Self::new(ResultCode::InvalidField);
        };
        let mut refusal = Self::field(&first.field, &first.accepted);
        refusal.body.problems = problems
            .into_iter()
            .map(|problem| FieldProblem {
                line: problem.line,
                field: problem.field,
                accepted: problem.accepted,
            })
            .collect();
        refusal
    }

    /// Refuses a change that is based on `yours` while the object has the version `theirs`.
    pub(crate) fn conflict(yours: Version, theirs: Version) -> Self {
        let mut refusal = Self::new(ResultCode::Conflict);
        refusal.body.yours = Some(yours);
        refusal.body.theirs = Some(theirs);
        refusal
    }

    pub(crate) fn message(mut self, message: String) -> Self {
        self.body.message = message;
        self
    }

    pub(crate) const fn status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        Self::json(refusal.status, &refusal.body)
    }
}

/// Returns the status that goes with a result code.
pub(crate) const fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::Ok => StatusCode::OK,
        ResultCode::OutcomeOpen => StatusCode::ACCEPTED,
        ResultCode::Unauthenticated => StatusCode::UNAUTHORIZED,
        ResultCode::Forbidden => StatusCode::FORBIDDEN,
        ResultCode::Conflict | ResultCode::ProfileFollowed => StatusCode::CONFLICT,
        ResultCode::NotFound => StatusCode::NOT_FOUND,
        ResultCode::NotAccepted => StatusCode::SERVICE_UNAVAILABLE,
        ResultCode::InvalidField => StatusCode::BAD_REQUEST,
        ResultCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
