//! Request of the administration API, as passed to the handlers.

use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};

use gotham::helpers::http::Body;
use gotham::http_body_util::{BodyExt, LengthLimitError, Limited};
use gotham::hyper::{HeaderMap, Response, StatusCode};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState, State, StateData};
use hawthorntide_store::{ObjectKey, ObjectKind};
use hawthorntide_types::{DurationMs, ResultCode, Version};
use serde::Deserialize;
use tokio::time::timeout;

use crate::limits::AdminLimits;
use crate::response::ApiError;
use crate::server::ApiContext;

/// Variable segments of the path.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PathParameters {
    pub(crate) name: String,
    pub(crate) kind: String,
    pub(crate) write_id: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct QueryParameters {
    pub(crate) kind: Option<String>,
    pub(crate) name: Option<String>,
    pub(crate) expected: Option<Version>,
    pub(crate) version: Option<Version>,
    pub(crate) wait_ms: Option<DurationMs>,
    pub(crate) service: Option<String>,
    pub(crate) event: Option<String>,
    pub(crate) limit: Option<usize>,
}

pub(crate) struct Request {
    pub(crate) context: Arc<ApiContext>,
    pub(crate) path: PathParameters,
    pub(crate) query: QueryParameters,
    headers: HeaderMap,
    /// The mutex makes the request `Sync`; it is never contended.
    body: Mutex<Body>,
}

impl StateData for PathParameters {}
impl StateData for QueryParameters {}

impl StaticResponseExtender for PathParameters {
    type ResBody = Body;

    fn extend(_: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl StaticResponseExtender for QueryParameters {
    type ResBody = Body;

    fn extend(_: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl Request {
    /// Moves the parts of the request out of `state`.
    pub(crate) fn take(state: &mut State) -> Self {
        Self {
            context: Arc::clone(&ContextData::borrow_from(state).0),
            path: PathParameters::take_from(state),
            query: QueryParameters::take_from(state),
            headers: HeaderMap::take_from(state),
            body: Mutex::new(Body::take_from(state)),
        }
    }

    pub(crate) fn bearer_token(&self) -> Option<&str> {
        let header = self.headers.get("authorization")?.to_str().ok()?;
        header.strip_prefix("Bearer ")
    }

    /// Returns the version on which a change is based, from the `If-Match` header.
    pub(crate) fn if_match(&self) -> Result<Version, ApiError> {
        let accepted = "the version of the object is required, such as \"7\"; 0 creates it";
        let error =
            || ApiError::field("if-match", accepted).with_status(StatusCode::PRECONDITION_REQUIRED);
        let header = self.headers.get("if-match").ok_or_else(error)?;
        let text = header.to_str().map_err(|_| error())?;
        text.trim_matches('"').parse().map_err(|_| error())
    }

    /// Returns the key of the object of `kind` with the name in the path.
    pub(crate) fn key(&self, kind: ObjectKind) -> Result<ObjectKey, ApiError> {
        object_key(kind, &self.path.name)
    }

    /// Consumes the body and returns it as text; further calls return an empty string.
    pub(crate) async fn text(&mut self) -> Result<String, ApiError> {
        let limits: AdminLimits = self.context.limits;
        let body = self.body.get_mut().unwrap_or_else(PoisonError::into_inner);
        let body = std::mem::take(body);
        let collected = timeout(
            limits.body_timeout,
            Limited::new(body, limits.max_body_bytes).collect(),
        );
        let Ok(collected) = collected.await else {
            let timeout_error = ApiError::field("body", "the body was not received in time");
            return Err(timeout_error.with_status(StatusCode::REQUEST_TIMEOUT));
        };
        let bytes = collected.map_err(|error| {
            if error.downcast_ref::<LengthLimitError>().is_some() {
                let message = format!("at most {} bytes are accepted", limits.max_body_bytes);
                return ApiError::new(ResultCode::TooLarge).with_message(message);
            }
            ApiError::field("body", "the body is incomplete")
        })?;
        String::from_utf8(bytes.to_bytes().into())
            .map_err(|_| ApiError::field("body", "UTF-8 text is accepted"))
    }

    /// Consumes the body and parses it as JSON; a parse error is reported for `field`.
    pub(crate) async fn json<Object>(&mut self, field: &str) -> Result<Object, ApiError>
    where
        Object: for<'de> Deserialize<'de>,
    {
        let text = self.text().await?;
        serde_json::from_str(&text).map_err(|error| ApiError::field(field, &error.to_string()))
    }
}

/// Creates the key of an object; fails if `name` is not a valid object name.
pub(crate) fn object_key(kind: ObjectKind, name: &str) -> Result<ObjectKey, ApiError> {
    ObjectKey::new(kind, name).map_err(|_| {
        ApiError::field(
            "name",
            "1 to 64 characters out of a-z, 0-9, '-', '_' and '.' are accepted",
        )
    })
}

/// Parses a path or query parameter; fails if it is missing or invalid.
pub(crate) fn parse<Value: FromStr>(
    field: &str,
    text: Option<&str>,
    accepted: &str,
) -> Result<Value, ApiError> {
    let parsed = text.and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| ApiError::field(field, accepted))
}

/// Passes the context to handlers through the state of the router.
#[derive(Clone)]
pub(crate) struct ContextData(pub(crate) Arc<ApiContext>);

impl StateData for ContextData {}
