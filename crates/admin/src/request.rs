//! Request of the administration API as the routes see it.

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
use crate::response::Refusal;
use crate::server::Edge;

/// Parts of the path that are set by the caller.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Names {
    pub(crate) name: String,
    pub(crate) kind: String,
    pub(crate) write_id: String,
}

/// Parameters of the query.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Query {
    pub(crate) kind: Option<String>,
    pub(crate) name: Option<String>,
    pub(crate) expected: Option<Version>,
    pub(crate) version: Option<Version>,
    pub(crate) wait_ms: Option<DurationMs>,
    pub(crate) service: Option<String>,
    pub(crate) event: Option<String>,
    pub(crate) limit: Option<usize>,
}

/// One request.
pub(crate) struct Request {
    pub(crate) edge: Arc<Edge>,
    pub(crate) names: Names,
    pub(crate) query: Query,
    headers: HeaderMap,
    /// The lock is never contended; it makes the request shareable between threads.
    body: Mutex<Body>,
}

impl StateData for Names {}
impl StateData for Query {}

impl StaticResponseExtender for Names {
    type ResBody = Body;

    fn extend(_: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl StaticResponseExtender for Query {
    type ResBody = Body;

    fn extend(_: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl Request {
    /// Takes the request out of `state`.
    pub(crate) fn take(state: &mut State) -> Self {
        Self {
            edge: Arc::clone(&EdgeData::borrow_from(state).0),
            names: Names::take_from(state),
            query: Query::take_from(state),
            headers: HeaderMap::take_from(state),
            body: Mutex::new(Body::take_from(state)),
        }
    }

    /// Returns the bearer token.
    pub(crate) fn token(&self) -> Option<&str> {
        let header = self.headers.get("authorization")?.to_str().ok()?;
        header.strip_prefix("Bearer ")
    }

    /// Returns the version on which a change is based.
    pub(crate) fn if_match(&self) -> Result<Version, Refusal> {
        let accepted = "the version of the object is needed, such as \"7\"; 0 creates it";
        let refusal =
            || Refusal::field("if-match", accepted).status(StatusCode::PRECONDITION_REQUIRED);
        let header = self.headers.get("if-match").ok_or_else(refusal)?;
        let text = header.to_str().map_err(|_| refusal())?;
        text.trim_matches('"').parse().map_err(|_| refusal())
    }

    /// Returns the object of `kind` that the path names.
    pub(crate) fn key(&self, kind: ObjectKind) -> Result<ObjectKey, Refusal> {
        key_of(kind, &self.names.name)
    }

    /// Reads the whole body as text.
    pub(crate) async fn text(&mut self) -> Result<String, Refusal> {
        let limits: AdminLimits = self.edge.limits;
        let body = self.body.get_mut().unwrap_or_else(PoisonError::into_inner);
        let body = std::mem::take(body);
        let collected = timeout(
            limits.body_time,
            Limited::new(body, limits.body_bytes).collect(),
        );
        let Ok(collected) = collected.await else {
            let late = Refusal::field("body", "the body did not arrive in time");
            return Err(late.status(StatusCode::REQUEST_TIMEOUT));
        };
        let bytes = collected.map_err(|error| {
            if error.downcast_ref::<LengthLimitError>().is_some() {
                let message = format!("at most {} bytes are accepted", limits.body_bytes);
                return Refusal::new(ResultCode::TooLarge).message(message);
            }
            Refusal::field("body", "the body is incomplete")
        })?;
        String::from_utf8(bytes.to_bytes().into())
            .map_err(|_| Refusal::field("body", "UTF-8 is accepted"))
    }

    /// Reads the body as an object.
    pub(crate) async fn json<Object>(&mut self, field: &str) -> Result<Object, Refusal>
    where
        Object: for<'de> Deserialize<'de>,
    {
        let text = self.text().await?;
        serde_json::from_str(&text).map_err(|error| Refusal::field(field, &error.to_string()))
    }
}

/// Names an object.
pub(crate) fn key_of(kind: ObjectKind, name: &str) -> Result<ObjectKey, Refusal> {
    ObjectKey::new(kind, name).map_err(|_| {
        Refusal::field(
            "name",
            "1 to 64 characters out of a-z, 0-9, '-', '_' and '.' are accepted",
        )
    })
}

/// Reads a text that comes from the path or the query.
pub(crate) fn parse<Value: FromStr>(
    field: &str,
    text: Option<&str>,
    accepted: &str,
) -> Result<Value, Refusal> {
    let parsed = text.and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| Refusal::field(field, accepted))
}

/// What the routes need, within a request.
#[derive(Clone)]
pub(crate) struct EdgeData(pub(crate) Arc<Edge>);

impl StateData for EdgeData {}
