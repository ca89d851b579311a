//! Calls of the administration API of a balancer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hawthorntide_admin::{AcceptedBody, ConfirmationBody, ErrorBody, OpenBody};
use hawthorntide_store::ObjectKey;
use hawthorntide_types::{ResultCode, Version};
use reqwest::{Client, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::cli::{AdminArguments, ChangeArguments};
use crate::failure::Failure;
use crate::output::{OutputFormat, print_json, print_text};

/// Longest time of one call; confirmations take up to 10 s of it.
const CALL_TIME: Duration = Duration::from_secs(15);
/// Time for which the outcome of an open change is asked again.
const ASK_TIME: Duration = Duration::from_secs(5);
/// Pause between two questions.
const ASK_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait of one question for confirmations.
const CONFIRM_WAIT: Duration = Duration::from_secs(5);

/// Caller of one balancer.
#[derive(Debug)]
pub(crate) struct AdminClient {
    client: Client,
    base: String,
    token: Option<String>,
}

/// Answer to a call that was not refused.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) text: String,
}

/// Conditional change to be made.
#[derive(Debug)]
pub(crate) struct ChangeRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) expected: Version,
    pub(crate) body: Option<String>,
}

impl Reply {
    pub(crate) fn decode<Body: DeserializeOwned>(&self) -> Result<Body, Failure> {
        serde_json::from_str(&self.text).map_err(|error| {
            let message = format!("the answer cannot be read: {error}");
            Failure::new(ResultCode::Failure, message)
        })
    }
}

impl AdminClient {
    pub(crate) fn open(arguments: &AdminArguments) -> Result<Self, Failure> {
        let token = match &arguments.token_file {
            None => arguments.token.clone(),
            Some(path) => {
                let text = std::fs::read_to_string(path).map_err(|error| {
                    let message = format!("{}: {error}", path.display());
                    Failure::new(ResultCode::Usage, message)
                })?;
                Some(text.trim().to_owned())
            }
        };
        let client = Client::builder().no_proxy().timeout(CALL_TIME).build();
        let client = client.map_err(|error| Failure::new(ResultCode::Failure, error))?;
        Ok(Self {
            client,
            base: format!("http://{}", arguments.address),
            token,
        })
    }

    /// Returns a caller of another balancer with the same token.
    pub(crate) fn at(&self, address: SocketAddr) -> Self {
        Self {
            client: self.client.clone(),
            base: format!("http://{address}"),
            token: self.token.clone(),
        }
    }

    pub(crate) async fn get<Body: DeserializeOwned>(&self, path: &str) -> Result<Body, Failure> {
        let reply = self.call(Method::GET, path, None, None).await?;
        reply.decode()
    }

    /// Returns the version on which a change of the object at `path` is based.
    pub(crate) async fn version_for(
        &self,
        path: &str,
        arguments: ChangeArguments,
    ) -> Result<Version, Failure> {
        if let Some(version) = arguments.version {
            return Ok(version);
        }
        match self.get::<Value>(path).await {
            Ok(found) => Ok(found["version"].as_u64().map_or(Version::NONE, Version)),
            Err(failure) if failure.code == ResultCode::NotFound => Ok(Version::NONE),
            Err(failure) => Err(failure),
        }
    }

    /// Makes a change, resolves an open outcome if it can, and waits for it to be in force.
    pub(crate) async fn change(
        &self,
        request: ChangeRequest,
        arguments: ChangeArguments,
        format: OutputFormat,
    ) -> Result<ResultCode, Failure> {
        let ChangeRequest {
            method,
            path,
            expected,
            body,
        } = request;
        let mut reply = self.call(method, &path, Some(expected), body).await?;
        let end = Instant::now() + ASK_TIME;
        while reply.status == StatusCode::ACCEPTED {
            let open: OpenBody = reply.decode()?;
            if Instant::now() >= end {
                let message = format!(
                    "the outcome of {} is open; ask again at {}",
                    open.key, open.ask
                );
                return Err(Failure::new(ResultCode::OutcomeOpen, message));
            }
            tokio::time::sleep(ASK_PAUSE).await;
            reply = self.call(Method::GET, &open.ask, None, None).await?;
        }
        let accepted: AcceptedBody = reply.decode()?;
        let Some(wait) = arguments.wait else {
            match format {
                OutputFormat::Json => print_json(&accepted)?,
                OutputFormat::Table => {
                    print_text(&format!(
                        "{} has version {}",
                        accepted.key, accepted.version
                    ))?;
                }
            }
            return Ok(ResultCode::Ok);
        };
        let wait = Duration::from_secs(wait);
        self.confirm(&accepted.key, accepted.version, wait, format)
            .await
    }

    /// Waits until every balancer has `version` in force, and names those that have not.
    async fn confirm(
        &self,
        key: &ObjectKey,
        version: Version,
        wait: Duration,
        format: OutputFormat,
    ) -> Result<ResultCode, Failure> {
        let end = Instant::now() + wait;
        let body = loop {
            let left = end.saturating_duration_since(Instant::now());
            let wait_ms = left.min(CONFIRM_WAIT).as_millis();
            let path = format!(
                "/v1/confirmations/{}/{}?version={version}&wait_ms={wait_ms}",
                key.kind, key.name
            );
            let body: ConfirmationBody = self.get(&path).await?;
            if body.confirmation.missing.is_empty() || Instant::now() >= end {
                break body;
            }
            tokio::time::sleep(ASK_PAUSE).await;
        };
        if format == OutputFormat::Json {
            print_json(&body)?;
        }
        let confirmed = body.confirmation.confirmed.len();
        if body.confirmation.missing.is_empty() {
            if format == OutputFormat::Table {
                let text = format!("{key} version {version} is in force on {confirmed} balancers");
                print_text(&text)?;
            }
            return Ok(ResultCode::Ok);
        }
        let missing: Vec<String> = body
            .confirmation
            .missing
            .iter()
            .map(ToString::to_string)
            .collect();
        let message = format!(
            "{key} version {version} was accepted, {confirmed} balancers confirmed, not confirmed by {}",
            missing.join(", ")
        );
        Err(Failure::new(ResultCode::NotConfirmed, message))
    }

    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        expected: Option<Version>,
        body: Option<String>,
    ) -> Result<Reply, Failure> {
        let mut request = self.client.request(method, format!("{}{path}", self.base));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        if let Some(expected) = expected {
            request = request.header("if-match", format!("\"{expected}\""));
        }
        if let Some(body) = body {
            request = request.body(body);
        }
        let response = request
            .send()
            .await
            .map_err(|error| self.unreachable(&error))?;
        let status = response.status();
        let text = response
            .text()
            .await
            .map_err(|error| self.unreachable(&error))?;
        if status.is_success() {
            return Ok(Reply { status, text });
        }
        Err(refusal(status, &text))
    }

    fn unreachable(&self, error: &reqwest::Error) -> Failure {
        let reason = if error.is_connect() {
            "cannot be reached"
        } else if error.is_timeout() {
            "did not answer in time"
        } else {
            "closed the connection"
        };
        let message = format!("the balancer at {} {reason}", self.base);
        Failure::new(ResultCode::Unreachable, message)
    }
}

fn refusal(status: StatusCode, text: &str) -> Failure {
    let Ok(body) = serde_json::from_str::<ErrorBody>(text) else {
        return Failure::new(
            ResultCode::Failure,
            format!("the balancer answered {status}"),
        );
    };
    let mut message = body.message;
    if let (Some(yours), Some(theirs)) = (body.yours, body.theirs) {
        message = format!("{message} Yours is {yours}, theirs is {theirs}.");
    }
    for problem in body.problems.iter().skip(1) {
        message = format!("{message}\n{}: {}", problem.field, problem.accepted);
    }
    Failure::new(body.code, message)
}
