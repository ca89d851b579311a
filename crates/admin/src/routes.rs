//! Route table and dispatch to the handlers.

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

use crate::access::authenticate;
use crate::request::{PathParameters, QueryParameters, Request};
use crate::response::{ApiError, ApiResponse};
use crate::{process, profiles, services, writes};

/// HTTP method of a route.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Method {
    Get,
    Post,
    Put,
    Delete,
}

/// Operation of a route; its name is the `operationId` of the API description.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Operation {
    /// Succeeds in any phase as long as the process runs.
    Health,
    /// Succeeds only in the phase [`serving`](hawthorntide_types::Phase::Serving).
    Ready,
    Metrics,
    ListProfiles,
    ReadProfile,
    CreateProfile,
    UpdateProfile,
    DeleteProfile,
    ListServices,
    ReadService,
    /// Creates or replaces a service.
    SetService,
    /// Changes the profile of a service.
    FollowProfile,
    /// Queries the outcome of an earlier write.
    ReadWrite,
    /// Queries which balancers have a version in force.
    Confirm,
    /// Reads the state of the balancer and its view of the others.
    Status,
    /// Starts to drain the process.
    Drain,
    /// Reads the events recorded by the process.
    Timeline,
    ReadLogLevel,
    SetLogLevel,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    pub method: Method,
    /// Path pattern; segments in braces are parameters.
    pub path: &'static str,
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
    /// Returns whether the operation needs no token.
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

/// Builds the router from [`ROUTES`].
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
                .with_path_extractor::<PathParameters>()
                .with_query_string_extractor::<QueryParameters>()
                .to_new_handler(move || Ok(move |state| handle(operation, state)));
        }
    })
}

fn handle(operation: Operation, mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let request = Request::take(&mut state);
        let api_response = dispatch(operation, request).await;
        let api_response = api_response.unwrap_or_else(ApiResponse::from);
        let response = into_http_response(&state, api_response);
        Ok((state, response))
    })
}

fn into_http_response(state: &State, api_response: ApiResponse) -> Response<Body> {
    let mut response = create_response(
        state,
        api_response.status,
        api_response.mime,
        api_response.text,
    );
    if let Some(version) = api_response.version
        && let Ok(etag) = HeaderValue::from_str(&format!("\"{version}\""))
    {
        response.headers_mut().insert(ETAG, etag);
    }
    response
}

async fn dispatch(operation: Operation, request: Request) -> Result<ApiResponse, ApiError> {
    if operation.is_public() {
        return Ok(dispatch_public(operation, &request));
    }
    let team = authenticate(&request)?;
    dispatch_authenticated(&team, operation, request).await
}

fn dispatch_public(operation: Operation, request: &Request) -> ApiResponse {
    match operation {
        Operation::Ready => process::ready(request),
        Operation::Metrics => process::metrics(),
        _ => process::health(request),
    }
}

async fn dispatch_authenticated(
    team: &Team,
    operation: Operation,
    mut request: Request,
) -> Result<ApiResponse, ApiError> {
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
        Operation::FollowProfile => services::set_profile(&mut request, team).await,
        Operation::ReadWrite => writes::read(&request).await,
        Operation::Confirm => writes::confirm(&request).await,
        Operation::Status => Ok(process::status(&request).await),
        Operation::Drain => process::drain(&request, team),
        Operation::Timeline => process::timeline(&request),
        Operation::ReadLogLevel => Ok(process::log_level(&request)),
        Operation::SetLogLevel => process::set_log_level(&mut request, team).await,
    }
}
