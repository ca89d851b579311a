//! Responses and errors of the administration API.

use gotham::hyper::StatusCode;
use hawthorntide_configuration::SettingsProblem;
use hawthorntide_types::{ResultCode, Version};
use mime::Mime;
use serde::Serialize;

use crate::body::{ErrorBody, FieldProblem};

#[derive(Debug)]
pub(crate) struct ApiResponse {
    pub(crate) status: StatusCode,
    pub(crate) mime: Mime,
    pub(crate) text: String,
    /// Version of the object, sent as `ETag` header.
    pub(crate) version: Option<Version>,
}

#[derive(Debug)]
pub(crate) struct ApiError {
    status: StatusCode,
    body: Box<ErrorBody>,
}

impl ApiResponse {
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

    pub(crate) const fn with_version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }
}

impl ApiError {
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

    /// Creates an error for an invalid field; `accepted` says which values are valid.
    pub(crate) fn field(field: &str, accepted: &str) -> Self {
        let mut error = Self::new(ResultCode::InvalidField);
        error.body.message = format!("{field}: {accepted}");
        error.body.field = Some(field.to_owned());
        error
    }

    /// Creates an error that lists all problems of a request body.
    pub(crate) fn problems(problems: Vec<SettingsProblem>) -> Self {
        let Some(first) = problems.first() else {
            return Self::new(ResultCode::InvalidField);
        };
        let mut error = Self::field(&first.field, &first.accepted);
        error.body.problems = problems
            .into_iter()
            .map(|problem| FieldProblem {
                line: problem.line,
                field: problem.field,
                accepted: problem.accepted,
            })
            .collect();
        error
    }

    /// Creates an error for a change based on version `yours` of an object that has version `theirs`.
    pub(crate) fn conflict(yours: Version, theirs: Version) -> Self {
        let mut error = Self::new(ResultCode::Conflict);
        error.body.yours = Some(yours);
        error.body.theirs = Some(theirs);
        error
    }

    pub(crate) fn with_message(mut self, message: String) -> Self {
        self.body.message = message;
        self
    }

    pub(crate) const fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }
}

impl From<ApiError> for ApiResponse {
    fn from(error: ApiError) -> Self {
        Self::json(error.status, &error.body)
    }
}

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
