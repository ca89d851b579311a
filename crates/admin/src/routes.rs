//! Table of the routes and their dispatch.

use std::pin::Pin;

use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::hyper::header::{ETAG, HeaderValue};
use gotham::hyper::{Method as HttpMethod, Response};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::State;
use hawthorntide_configuration::Team;

use crate::access::team;
use crate::request::{Names, Query, Request};
use crate::response::{Answer, Refusal};
use crate::{process, profiles, services, writes};

/// Method of a route.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Method {
    /// Reads.
    Get,
    /// Creates, or starts something.
    Post,
    /// Replaces.
    Put,
    /// Deletes.
    Delete,
}

/// Operation of a route.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Operation {
    /// Whether the process is alive.
    Health,
    /// Whether the process takes work.
    Ready,
    /// Metrics of the process.
    Metrics,
    /// All profiles.
    ListProfiles,
    /// One profile.
    ReadProfile,
    /// Creates a profile.
    CreateProfile,
    /// Replaces a profile.
    UpdateProfile,
    /// Deletes a profile.
    DeleteProfile,
    /// All services.
    ListServices,
    /// One service.
    ReadService,
    /// Creates or replaces a service.
    SetService,
    /// Chooses the profile of a service.
    FollowProfile,
    /// Outcome of an earlier write.
    ReadWrite,
    /// Balancers that have a version in force.
    Confirm,
    /// State of the balancer and its view.
    Status,
    /// Begins the drain of the process.
    Drain,
    /// Events of the process.
    Timeline,
    /// Level of the log.
    ReadLogLevel,
    /// Changes the level of the log.
    SetLogLevel,
}

/// One route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Method.
    pub method: Method,
    /// Path; parts between braces are set by the caller.
    pub path: &'static str,
    /// Operation.
    pub operation: Operation,
}

/// All routes of the administration API.
pub const ROUTES: &[Route] = &[
    route(Method::Get, "/v1/health", Operation::Health),
    route(Method::Get, "/v1/ready", Operation::Ready),
    route(Method::Get, "/metrics", Operation::Metrics),
    route(Method::Get, "/v1/profiles", Operation::ListProfiles),
    route(Method::Post, "/v1/profiles", Operation::CreateProfile),
    route(Method::Get, "/v1/profiles/{name}", Operation::ReadProfile),
    route(Method::Put, "/v1/profiles/{name}", Operation::UpdateProfile),
    route(
        Method::Delete,
        "/v1/profiles/{name}",
        Operation::DeleteProfile,
    ),
    route(Method::Get, "/v1/services", Operation::ListServices),
    route(Method::Get, "/v1/services/{name}", Operation::ReadService),
    route(Method::Put, "/v1/services/{name}", Operation::SetService),
    route(
        Method::Put,
        "/v1/services/{name}/profile",
        Operation::FollowProfile,
    ),
    route(Method::Get, "/v1/writes/{write_id}", Operation::ReadWrite),
    route(
        Method::Get,
        "/v1/confirmations/{kind}/{name}",
        Operation::Confirm,
    ),
    route(Method::Get, "/v1/status", Operation::Status),
    route(Method::Post, "/v1/drain", Operation::Drain),
    route(Method::Get, "/v1/timeline", Operation::Timeline),
    route(Method::Get, "/v1/log-level", Operation::ReadLogLevel),
    route(Method::Put, "/v1/log-level", Operation::SetLogLevel),
];

impl Operation {
    /// Returns whether the operation is answered without a token.
    pub const fn is_public(self) -> bool {
        matches!(self, Self::Health | Self::Ready | Self::Metrics)
    }
}

const fn route(method: Method, path: &'static str, operation: Operation) -> Route {
    Route {
        method,
        path,
        operation,
    }
}

/// Builds the router from the table.
pub(crate) fn router() -> Router {
    build_simple_router(|builder| {
        for route in ROUTES {
            let method = match route.method {
                Method::Get => HttpMethod::GET,
                Method::Post => HttpMethod::POST,
                Method::Put => HttpMethod::PUT,
                Method::Delete => HttpMethod::DELETE,
            };
            let path = route.path.replace('{', ":").replace('}', "");
            let operation = route.operation;
            builder
                .request(vec![method], &path)
                .with_path_extractor::<Names>()
                .with_query_string_extractor::<Query>()
                .to_new_handler(move || Ok(move |state| handle(operation, state)));
        }
    })
}

fn handle(operation: Operation, mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let request = Request::take(&mut state);
        let answer = dispatch(operation, request).await;
        let answer = answer.unwrap_or_else(Answer::from);
        let response = respond(&state, answer);
        Ok((state, response))
    })
}

fn respond(state: &State, answer: Answer) -> Response<Body> {
    let mut response = create_response(state, answer.status, answer.mime, answer.text);
    if let Some(version) = answer.version
        && let Ok(etag) = HeaderValue::from_str(&format!("\"{version}\""))
    {
        response.headers_mut().insert(ETAG, etag);
    }
    response
}

async fn dispatch(operation: Operation, request: Request) -> Result<Answer, Refusal> {
    if operation.is_public() {
        return Ok(dispatch_public(operation, &request));
    }
    let team = team(&request)?;
    dispatch_for(&team, operation, request).await
}

fn dispatch_public(operation: Operation, request: &Request) -> Answer {
    match operation {
        Operation::Ready => process::ready(request),
        Operation::Metrics => process::metrics(),
        _ => process::health(request),
    }
}

async fn dispatch_for(
    team: &Team,
    operation: Operation,
    mut request: Request,
) -> Result<Answer, Refusal> {
    match operation {
        Operation::Health | Operation::Ready | Operation::Metrics => {
            Ok(dispatch_public(operation, &request))
        }
        Operation::ListProfiles => Ok(profiles::list(&request).await),
        Operation::ReadProfile => profiles::read(&request).await,
        Operation::CreateProfile => profiles::create(&mut request, team).await,
        Operation::UpdateProfile => profiles::update(&mut request, team).await,
        Operation::DeleteProfile => profiles::delete(&request, team).await,
        Operation::ListServices => Ok(services::list(&request).await),
        Operation::ReadService => services::read(&request).await,
        Operation::SetService => services::set(&mut request, team).await,
        Operation::FollowProfile => services::follow(&mut request, team).await,
        Operation::ReadWrite => writes::read(&request).await,
        Operation::Confirm => writes::confirm(&request).await,
        Operation::Status => Ok(process::status(&request).await),
        Operation::Drain => process::drain(&request, team),
        Operation::Timeline => process::timeline(&request),
        Operation::ReadLogLevel => Ok(process::log_level(&request)),
        Operation::SetLogLevel => process::set_log_level(&mut request, team).await,
    }
}
