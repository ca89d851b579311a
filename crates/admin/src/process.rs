//! Routes of the process: health, readiness, metrics, status, drain, time line and log level.

use gotham::hyper::StatusCode;
use hawthorntide_configuration::Team;
use hawthorntide_timeline::{EventKind, Filter};
use hawthorntide_types::{Phase, ServiceId, ServiceName};

use crate::access::require_operator;
use crate::body::{LogLevelBody, PhaseBody, TimelineBody};
use crate::metric::render_metrics;
use crate::request::{Request, parse};
use crate::response::{Answer, Refusal};

/// Events that one answer holds at most.
const MAX_EVENTS: usize = 10_000;
/// Events that one answer holds unless the caller asks for more.
const DEFAULT_EVENTS: usize = 1000;

pub(crate) fn health(request: &Request) -> Answer {
    Answer::ok(&phase(request))
}

pub(crate) fn ready(request: &Request) -> Answer {
    let body = phase(request);
    if body.phase == Phase::Serving {
        return Answer::ok(&body);
    }
    Answer::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}

pub(crate) fn metrics() -> Answer {
    Answer::text(render_metrics())
}

pub(crate) async fn status(request: &Request) -> Answer {
    Answer::ok(&request.edge.operations.status().await)
}

pub(crate) fn drain(request: &Request, team: &Team) -> Result<Answer, Refusal> {
    require_operator(team)?;
    log::info!("admin: Drain asked for by team {}.", team.name);
    request.edge.operations.begin_drain();
    Ok(Answer::json(StatusCode::ACCEPTED, &phase(request)))
}

pub(crate) fn timeline(request: &Request) -> Result<Answer, Refusal> {
    let query = &request.query;
    let mut filter = Filter::default();
    if let Some(service) = query.service.as_deref() {
        let service: ServiceName = parse("service", Some(service), "a name is accepted")?;
        filter.service = Some(ServiceId::of_name(&service));
    }
    if let Some(kind) = &query.event {
        filter.kinds.push(event_kind(kind)?);
    }
    let limit = query.limit.unwrap_or(DEFAULT_EVENTS).min(MAX_EVENTS);
    let mut events = filter.apply(&request.edge.operations.timeline());
    let surplus = events.len().saturating_sub(limit);
    events.drain(..surplus);
    Ok(Answer::ok(&TimelineBody { events }))
}

pub(crate) fn log_level(request: &Request) -> Answer {
    Answer::ok(&LogLevelBody {
        level: request.edge.operations.log_level(),
    })
}

pub(crate) async fn set_log_level(request: &mut Request, team: &Team) -> Result<Answer, Refusal> {
    require_operator(team)?;
    let body: LogLevelBody = request.json("level").await?;
    let operations = &request.edge.operations;
    operations.set_log_level(body.level).map_err(Refusal::new)?;
    log::info!(
        "admin: Log level set to {} by team {}.",
        body.level,
        team.name
    );
    Ok(Answer::ok(&body))
}

fn phase(request: &Request) -> PhaseBody {
    PhaseBody {
        phase: request.edge.operations.phase(),
    }
}

fn event_kind(text: &str) -> Result<EventKind, Refusal> {
    let value = serde_json::Value::String(text.to_owned());
    serde_json::from_value(value)
        .map_err(|_| Refusal::field("event", "a kind of event such as drain_began is accepted"))
}
