//! gRPC client for the upstream.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use hawthorntide_admission::HealthHint;
use hawthorntide_types::ResultCode;
use hawthorntide_wire::call::CallRequest;
use hawthorntide_wire::upstream::health_report::State;
use hawthorntide_wire::upstream::upstream_client::UpstreamClient as GrpcClient;
use hawthorntide_wire::upstream::{HealthRequest, RunChunk, RunRequest};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status, Streaming};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Trailer in which an upstream states whether it started the request; `no` means that it did not.
const RAN_TRAILER: &str = "hawthorntide-ran";

/// Client that connects on first use and reconnects after the connection is lost.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamClient {
    client: GrpcClient<Channel>,
}

/// Answer of a request that was sent to the upstream.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    chunks: Streaming<RunChunk>,
    has_answered: bool,
}

/// Why a call did not return a complete answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallFailure {
    /// The request was certainly not started.
    NotStarted(ResultCode),
    /// The request may have run.
    Ended(ResultCode),
}

impl UpstreamClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .expect("an IP address and port form a valid URI")
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        Self {
            client: GrpcClient::new(endpoint.connect_lazy()),
        }
    }

    /// Sends a request and waits until the upstream starts to answer.
    pub(crate) async fn run(
        &self,
        request: &CallRequest,
        deadline: Duration,
    ) -> Result<AnswerStream, CallFailure> {
        let request_id = format!(
            "{:x}-{}-{}",
            request.session, request.epoch, request.sequence
        );
        let mut message = Request::new(RunRequest {
            request_id,
            kind: request.kind,
            payload: request.payload.clone(),
        });
        message.set_timeout(deadline);
        match self.client.clone().run(message).await {
            Ok(response) => Ok(AnswerStream {
                chunks: response.into_inner(),
                has_answered: false,
            }),
            Err(status) => Err(call_failure(&status, false)),
        }
    }

    /// Queries the health that the upstream reports.
    pub(crate) async fn health(&self) -> HealthHint {
        let mut client = self.client.clone();
        let report = client.health(HealthRequest {});
        let Ok(Ok(report)) = tokio::time::timeout(HEALTH_TIMEOUT, report).await else {
            return HealthHint::Missing;
        };
        match report.into_inner().state() {
            State::Serving => HealthHint::Serving,
            State::Starting => HealthHint::Starting,
            State::Draining => HealthHint::Draining,
            State::Failed => HealthHint::Failed,
        }
    }
}

impl AnswerStream {
    /// Waits for the next chunk; `None` at the end of the answer.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, CallFailure> {
        match self.chunks.message().await {
            Ok(chunk) => {
                self.has_answered = true;
                Ok(chunk.map(|chunk| chunk.data))
            }
            Err(status) => Err(call_failure(&status, self.has_answered)),
        }
    }
}

fn call_failure(status: &Status, has_answered: bool) -> CallFailure {
    let was_not_run = status
        .metadata()
        .get(RAN_TRAILER)
        .is_some_and(|value| value == "no");
    // An upstream that has sent part of an answer has run the request, whatever the trailer says.
    if was_not_run && !has_answered {
        return CallFailure::NotStarted(match status.code() {
            Code::InvalidArgument => ResultCode::NotRunBadRequest,
            _ => ResultCode::NotRunShed,
        });
    }
    // tonic enforces the deadline locally and reports its expiry as a cancellation.
    if has_source::<tonic::TimeoutExpired>(status) {
        return CallFailure::Ended(ResultCode::UnknownDeadline);
    }
    // The connection could not be opened, so the request was not sent.
    if has_source::<tonic::ConnectError>(status) {
        return CallFailure::NotStarted(ResultCode::NotRunNoUpstream);
    }
    CallFailure::Ended(match status.code() {
        Code::DeadlineExceeded => ResultCode::UnknownDeadline,
        Code::Cancelled => ResultCode::UnknownCancelled,
        // Transport errors use the same codes, but have a source.
        Code::Internal | Code::FailedPrecondition | Code::InvalidArgument | Code::Aborted
            if status.source().is_none() =>
        {
            ResultCode::UpstreamFailed
        }
        _ => ResultCode::UnknownUpstreamLost,
    })
}

fn has_source<E: Error + 'static>(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<E>() {
            return true;
        }
        source = error.source();
    }
    false
}
