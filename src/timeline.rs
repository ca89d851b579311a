//! Command `timeline`: shows the events that a balancer recorded.

use std::fmt::Write;

use hawthorntide_admin::TimelineBody;
use hawthorntide_types::ResultCode;

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
    let body: TimelineBody = client.get(&path).await?;
    if format == OutputFormat::Json {
        print_json(&body.events)?;
        return Ok(ResultCode::Ok);
    }
    let mut table = Table::new(&["TIME", "PROCESS", "PART", "EVENT", "CODE"]);
    for timed in &body.events {
        let event = &timed.event;
        table.row(&[
            &timed.at,
            &timed.process,
            &name(&event.part),
            &name(&event.kind),
            &event.code,
        ]);
    }
    table.print()?;
    Ok(ResultCode::Ok)
}

/// Returns the name by which a value is serialized.
fn name(value: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
