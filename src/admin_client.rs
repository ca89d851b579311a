//! Client of the administration API of a balancer.

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

/// Timeout of one request; the server may hold a confirmation request for up to 10 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which the outcome of a change is polled while it is unknown.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two polls of an outcome or confirmation.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which one confirmation request waits on the server.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_secs(5);

/// Client of one balancer.
#[derive(Debug)]
pub(crate) struct AdminClient {
    client: Client,
    base_url: String,
    token: Option<String>,
}

/// Response with a success status.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) text: String,
}

/// Change that applies only if the object still has the version `expected`.
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
            let message = format!("cannot decode the answer of the balancer: {error}");
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
                    let message = format!("cannot read the token file {}: {error}", path.display());
                    Failure::new(ResultCode::Usage, message)
                })?;
                Some(text.trim().to_owned())
            }
        };
        let client = Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build();
        let client = client.map_err(|error| Failure::new(ResultCode::Failure, error))?;
        Ok(Self {
            client,
            base_url: format!("http://{}", arguments.address),
            token,
        })
    }

    /// Returns a client of another balancer that uses the same token.
    pub(crate) fn at(&self, address: SocketAddr) -> Self {
        Self {
            client: self.client.clone(),
            base_url: format!("http://{address}"),
            token: self.token.clone(),
        }
    }

    pub(crate) async fn get<Body: DeserializeOwned>(&self, path: &str) -> Result<Body, Failure> {
        let reply = self.call(Method::GET, path, None, None).await?;
        reply.decode()
    }

    /// Version on which to base a change of the object at `path`: the one given on the command line
    /// or else the one in force, `Version::NONE` if the object does not exist.
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

    /// Sends a change, polls its outcome for a limited time if the balancer does not know it yet,
    /// and waits until the change is in force if `arguments` ask for it.
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
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        while reply.status == StatusCode::ACCEPTED {
            let open: OpenBody = reply.decode()?;
            if Instant::now() >= deadline {
                let message = format!(
                    "the outcome of the change to {} is not known yet; query it with GET {}",
                    open.key, open.ask
                );
                return Err(Failure::new(ResultCode::OutcomeOpen, message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
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

    /// Waits until every balancer has `version` in force. After `wait`, fails with the balancers
    /// that have not confirmed.
    async fn confirm(
        &self,
        key: &ObjectKey,
        version: Version,
        wait: Duration,
        format: OutputFormat,
    ) -> Result<ResultCode, Failure> {
        let deadline = Instant::now() + wait;
        let body = loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let wait_ms = remaining.min(MAX_CONFIRMATION_WAIT).as_millis();
            let path = format!(
                "/v1/confirmations/{}/{}?version={version}&wait_ms={wait_ms}",
                key.kind, key.name
            );
            let body: ConfirmationBody = self.get(&path).await?;
            if body.confirmation.missing.is_empty() || Instant::now() >= deadline {
                break body;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
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
            "{key} version {version} was accepted and confirmed by {confirmed} balancers, but not confirmed by {}",
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
        let mut request = self
            .client
            .request(method, format!("{}{path}", self.base_url));
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
            .map_err(|error| self.unreachable_failure(&error))?;
        let status = response.status();
        let text = response
            .text()
            .await
            .map_err(|error| self.unreachable_failure(&error))?;
        if status.is_success() {
            return Ok(Reply { status, text });
        }
        Err(error_response_failure(status, &text))
    }

    fn unreachable_failure(&self, error: &reqwest::Error) -> Failure {
        let reason = if error.is_connect() {
            "cannot be reached"
        } else if error.is_timeout() {
            "did not answer in time"
        } else {
            "closed the connection"
        };
        let message = format!("the balancer at {} {reason}", self.base_url);
        Failure::new(ResultCode::Unreachable, message)
    }
}

fn error_response_failure(status: StatusCode, text: &str) -> Failure {
    let Ok(body) = serde_json::from_str::<ErrorBody>(text) else {
        return Failure::new(
            ResultCode::Failure,
            format!("the balancer answered HTTP {status}"),
        );
    };
    let mut message = body.message;
    if let (Some(yours), Some(theirs)) = (body.yours, body.theirs) {
        message = format!("{message} Your version is {yours}, the current version is {theirs}.");
    }
    for problem in body.problems.iter().skip(1) {
        message = format!("{message}\n{}: {}", problem.field, problem.accepted);
    }
    Failure::new(body.code, message)
}
