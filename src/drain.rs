//! Command `drain`: starts draining a balancer and optionally waits until it has ended.

use std::time::{Duration, Instant};

use hawthorntide_admin::PhaseBody;
use hawthorntide_types::{Phase, ResultCode};
use reqwest::Method;

use crate::admin_client::AdminClient;
use crate::cli::DrainArguments;
use crate::failure::Failure;
use crate::output::{OutputFormat, print_json, print_text};

/// Interval between health requests to the draining balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) async fn run(
    arguments: DrainArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let client = AdminClient::open(&arguments.admin)?;
    let reply = client.call(Method::POST, "/v1/drain", None, None).await?;
    let mut body: PhaseBody = reply.decode()?;
    if let Some(wait) = arguments.wait {
        body = wait_for_exit(&client, Duration::from_secs(wait)).await?;
    }
    match format {
        OutputFormat::Json => print_json(&body)?,
        OutputFormat::Table => {
            print_text(&format!("{} is {}", arguments.admin.address, body.phase))?;
        }
    }
    Ok(ResultCode::Ok)
}

/// Waits until the health request fails, which is taken as the end of the process.
async fn wait_for_exit(client: &AdminClient, wait: Duration) -> Result<PhaseBody, Failure> {
    let deadline = Instant::now() + wait;
    loop {
        let Ok(body) = client.get::<PhaseBody>("/v1/health").await else {
            return Ok(PhaseBody { phase: Phase::Gone });
        };
        if Instant::now() >= deadline {
            let message = format!(
                "the balancer is still {} after {} s",
                body.phase,
                wait.as_secs()
            );
            return Err(Failure::new(ResultCode::NotConfirmed, message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
