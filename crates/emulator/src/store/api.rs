//! HTTP routes of the store API.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::{create_empty_response, create_response};
use gotham::http_body_util::{BodyExt, Limited};
use gotham::hyper::{HeaderMap, Response, StatusCode};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState, State, StateData};
use hawthorntide_store::{
    ConflictBody, MAX_VALUE_BYTES, PutBody, REVISION_GONE_STATUS, VersionBody, WatchBody,
};
use hawthorntide_types::{DurationMs, Revision};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

use super::serve::ConnectionCloser;
use super::state::{Call, Shared, WatchOutcome};

/// Fits a value of the maximum size with every byte escaped, and the JSON around it.
const MAX_BODY_BYTES: usize = 2 * MAX_VALUE_BYTES + 64;
/// Upper limit of a watch's long poll.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(1);

type HandlerOutput = (State, Response<Body>);

/// Store state attached to each request.
#[derive(Clone, Debug)]
pub(super) struct StoreState(pub(super) Arc<Shared>);

impl StateData for StoreState {}

#[derive(Debug, Deserialize)]
struct ObjectPath {
    kind: String,
    name: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    from: Revision,
    wait_ms: DurationMs,
}

impl StateData for ObjectPath {}
impl StaticResponseExtender for ObjectPath {
    type ResBody = Body;

    fn extend(_: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}
impl StateData for WatchQuery {}
impl StaticResponseExtender for WatchQuery {
    type ResBody = Body;

    fn extend(_: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

/// Builds the router; each request must carry a [`StoreState`] and a [`ConnectionCloser`].
pub(super) fn router() -> Router {
    build_simple_router(|route| {
        route.get("/v1/objects").to(list);
        route
            .get("/v1/objects/:kind/:name")
            .with_path_extractor::<ObjectPath>()
            .to(get);
        route
            .put("/v1/objects/:kind/:name")
            .with_path_extractor::<ObjectPath>()
            .to_async(|state| put(state).map(Ok));
        route
            .get("/v1/watch")
            .with_query_string_extractor::<WatchQuery>()
            .to_async(|state| watch(state).map(Ok));
    })
}

fn list(mut state: State) -> HandlerOutput {
    let shared = StoreState::take_from(&mut state).0;
    if !admit_call(&shared, Call::List) {
        return status(state, StatusCode::TOO_MANY_REQUESTS);
    }
    let body = shared.lock().list();
    json(state, StatusCode::OK, &body)
}

fn get(mut state: State) -> HandlerOutput {
    let shared = StoreState::take_from(&mut state).0;
    if !admit_call(&shared, Call::Get) {
        return status(state, StatusCode::TOO_MANY_REQUESTS);
    }
    let path = ObjectPath::take_from(&mut state);
    let object = shared.lock().get(&path.kind, &path.name).cloned();
    match object {
        Some(object) => json(state, StatusCode::OK, &object),
        None => status(state, StatusCode::NOT_FOUND),
    }
}

async fn put(mut state: State) -> HandlerOutput {
    let shared = StoreState::take_from(&mut state).0;
    if !admit_call(&shared, Call::Put) {
        return status(state, StatusCode::TOO_MANY_REQUESTS);
    }
    let closer = ConnectionCloser::take_from(&mut state);
    let path = ObjectPath::take_from(&mut state);
    let Some(expected) = expected_revision(&state) else {
        return status(state, StatusCode::PRECONDITION_REQUIRED);
    };
    let body = Limited::new(Body::take_from(&mut state), MAX_BODY_BYTES);
    let Ok(body) = body.collect().await else {
        return status(state, StatusCode::PAYLOAD_TOO_LARGE);
    };
    let Ok(body) = serde_json::from_slice::<PutBody>(&body.to_bytes()) else {
        return status(state, StatusCode::BAD_REQUEST);
    };
    if body.value.len() > MAX_VALUE_BYTES {
        return status(state, StatusCode::PAYLOAD_TOO_LARGE);
    }
    let faults = shared.faults();
    let (result, is_lost) = {
        let mut store = shared.lock();
        let result = store.put(&path.kind, &path.name, body.value, expected);
        let is_lost = result.is_ok() && store.should_lose_response(&faults);
        (result, is_lost)
    };
    shared.notify_watches();
    if is_lost {
        closer.close();
    }
    match result {
        Ok(revision) => json(state, StatusCode::OK, &VersionBody { revision }),
        Err(current) => json(state, StatusCode::CONFLICT, &ConflictBody { current }),
    }
}

async fn watch(mut state: State) -> HandlerOutput {
    let shared = StoreState::take_from(&mut state).0;
    if !admit_call(&shared, Call::Watch) {
        return status(state, StatusCode::TOO_MANY_REQUESTS);
    }
    let closer = ConnectionCloser::take_from(&mut state);
    let query = WatchQuery::take_from(&mut state);
    let deadline = Instant::now() + Duration::from(query.wait_ms).min(MAX_WATCH_WAIT);
    let mut changes = shared.watch_revision();
    let mut fault_changes = shared.watch_faults();
    let era = shared.lock().era;
    loop {
        changes.mark_unchanged();
        let faults = fault_changes.borrow_and_update().clone();
        if faults.are_watches_closed || shared.lock().era != era {
            closer.close();
            return status(state, StatusCode::SERVICE_UNAVAILABLE);
        }
        let answer = shared.lock().changes_after(query.from, &faults);
        let due = match answer {
            WatchOutcome::Changes(body) => return json(state, StatusCode::OK, &body),
            WatchOutcome::Gone => {
                let gone = StatusCode::from_u16(REVISION_GONE_STATUS).unwrap_or(StatusCode::GONE);
                return status(state, gone);
            }
            WatchOutcome::WaitUntil(due) => due.unwrap_or(deadline).min(deadline),
        };
        if Instant::now() >= deadline {
            let body = WatchBody {
                revision: query.from,
                events: Vec::new(),
            };
            return json(state, StatusCode::OK, &body);
        }
        tokio::select! {
            () = sleep_until(due) => {}
            _ = changes.changed() => {}
            _ = fault_changes.changed() => {}
        }
    }
}

fn admit_call(shared: &Shared, call: Call) -> bool {
    let faults = shared.faults();
    shared.lock().admit_call(call, &faults)
}

fn expected_revision(state: &State) -> Option<Revision> {
    let header = HeaderMap::borrow_from(state).get("if-match")?;
    header.to_str().ok()?.parse().ok()
}

fn status(state: State, status: StatusCode) -> HandlerOutput {
    let response = create_empty_response(&state, status);
    (state, response)
}

fn json(state: State, status: StatusCode, body: &impl Serialize) -> HandlerOutput {
    let text = serde_json::to_string(body).unwrap_or_default();
    let response = create_response(&state, status, mime::APPLICATION_JSON, text);
    (state, response)
}
