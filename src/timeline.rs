//! Command `timeline`: shows the events recorded by balancers, merged in causal order.

use std::fmt::Write;

use hawthorntide_admin::{StatusReport, TimelineBody};
use hawthorntide_timeline::{TimedEvent, merge};
use hawthorntide_types::{Phase, ResultCode};

use crate::admin_client::AdminClient;
use crate::cli::TimelineArguments;
use crate::failure::Failure;
use crate::output::{OutputFormat, Table, print_json};

pub(crate) async fn run(
    arguments: TimelineArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let mut path = format!("/v1/timeline?limit={}", arguments.limit);
    if let Some(service) = &arguments.service {
        let _ = write!(path, "&service={service}");
    }
    if let Some(event) = &arguments.event {
        let _ = write!(path, "&event={event}");
    }
    let mut events = if arguments.all {
        events_of_all_balancers(&client, &path).await?
    } else {
        client.get::<TimelineBody>(&path).await?.events
    };
    let surplus = events.len().saturating_sub(arguments.limit);
    events.drain(..surplus);
    if format == OutputFormat::Json {
        print_json(&events)?;
        return Ok(ResultCode::Ok);
    }
    let mut table = Table::new(&["TIME", "PROCESS", "PART", "EVENT", "CODE"]);
    for timed in &events {
        let event = &timed.event;
        table.row(&[
            &timed.at,
            &timed.process,
            &serialized_name(&event.component),
            &serialized_name(&event.kind),
            &event.code,
        ]);
    }
    table.print()?;
    Ok(ResultCode::Ok)
}

/// Reads and merges the timelines of all balancers known to the addressed one. A balancer that
/// fails to answer is reported on standard error and left out.
async fn events_of_all_balancers(
    client: &AdminClient,
    path: &str,
) -> Result<Vec<TimedEvent>, Failure> {
    let status: StatusReport = client.get("/v1/status").await?;
    let live = status.balancers.iter().filter(|it| it.phase != Phase::Gone);
    let mut timelines = Vec::new();
    for address in live.filter_map(|balancer| balancer.admin_address) {
        match client.at(address).get::<TimelineBody>(path).await {
            Ok(body) => timelines.push(body.events),
            Err(failure) => eprintln!("hawthorntide: cannot read events of {address}: {failure}"),
        }
    }
    Ok(merge(timelines))
}

/// Name of an enum value in JSON.
fn serialized_name(value: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
