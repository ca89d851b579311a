//! Handlers for health, readiness, metrics, status, drain, timeline and log level of the process.

use gotham::hyper::StatusCode;
use hawthorntide_configuration::Team;
use hawthorntide_timeline::{EventKind, Filter};
use hawthorntide_types::{Phase, ServiceId, ServiceName};

use crate::access::require_operator;
use crate::body::{LogLevelBody, PhaseBody, TimelineBody};
use crate::metric::render_metrics;
use crate::request::{Request, parse};
use crate::response::{ApiError, ApiResponse};

const MAX_EVENTS_PER_RESPONSE: usize = 10_000;
const DEFAULT_EVENTS_PER_RESPONSE: usize = 1000;

pub(crate) fn health(request: &Request) -> ApiResponse {
    ApiResponse::ok(&phase(request))
}

pub(crate) fn ready(request: &Request) -> ApiResponse {
    let body = phase(request);
    if body.phase == Phase::Serving {
        return ApiResponse::ok(&body);
    }
    ApiResponse::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}

pub(crate) fn metrics() -> ApiResponse {
    ApiResponse::text(render_metrics())
}

pub(crate) async fn status(request: &Request) -> ApiResponse {
    ApiResponse::ok(&request.context.operations.status().await)
}

pub(crate) fn drain(request: &Request, team: &Team) -> Result<ApiResponse, ApiError> {
    require_operator(team)?;
    log::info!("admin: Drain requested by team {}.", team.name);
    request.context.operations.begin_drain();
    Ok(ApiResponse::json(StatusCode::ACCEPTED, &phase(request)))
}

pub(crate) fn timeline(request: &Request) -> Result<ApiResponse, ApiError> {
    let query = &request.query;
    let mut filter = Filter::default();
    if let Some(service) = query.service.as_deref() {
        let service: ServiceName = parse("service", Some(service), "a service name is accepted")?;
        filter.service = Some(ServiceId::of_name(&service));
    }
    if let Some(kind) = &query.event {
        filter.kinds.push(parse_event_kind(kind)?);
    }
    let limit = query
        .limit
        .unwrap_or(DEFAULT_EVENTS_PER_RESPONSE)
        .min(MAX_EVENTS_PER_RESPONSE);
    let mut events = filter.apply(&request.context.operations.timeline());
    let excess = events.len().saturating_sub(limit);
    events.drain(..excess);
    Ok(ApiResponse::ok(&TimelineBody { events }))
}

pub(crate) fn log_level(request: &Request) -> ApiResponse {
    ApiResponse::ok(&LogLevelBody {
        level: request.context.operations.log_level(),
    })
}

pub(crate) async fn set_log_level(
    request: &mut Request,
    team: &Team,
) -> Result<ApiResponse, ApiError> {
    require_operator(team)?;
    let body: LogLevelBody = request.json("level").await?;
    let operations = &request.context.operations;
    operations
        .set_log_level(body.level)
        .map_err(ApiError::new)?;
    log::info!(
        "admin: Log level set to {} by team {}.",
        body.level,
        team.name
    );
    Ok(ApiResponse::ok(&body))
}

fn phase(request: &Request) -> PhaseBody {
    PhaseBody {
        phase: request.context.operations.phase(),
    }
}

fn parse_event_kind(text: &str) -> Result<EventKind, ApiError> {
    let value = serde_json::Value::String(text.to_owned());
    serde_json::from_value(value)
        .map_err(|_| ApiError::field("event", "an event kind such as drain_began is accepted"))
}
