//! Calls to the upstream over gRPC.

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

/// Time to open the connection to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the upstream's report about itself is awaited.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Trailer by which an upstream says that it did not start the work.
const RAN_TRAILER: &str = "hawthorntide-ran";

/// Connection to the upstream; opened on first use and again after a loss.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamClient {
    client: GrpcClient<Channel>,
}

/// Work that was handed over.
#[derive(Debug)]
pub(crate) struct Run {
    chunks: Streaming<RunChunk>,
    has_answered: bool,
}

/// Why a call gave no whole answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallFailure {
    /// The work was certainly not started.
    NotStarted(ResultCode),
    /// The work may have run.
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

    /// Hands a request over.
    pub(crate) async fn run(
        &self,
        request: &CallRequest,
        deadline: Duration,
    ) -> Result<Run, CallFailure> {
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
            Ok(response) => Ok(Run {
                chunks: response.into_inner(),
                has_answered: false,
            }),
            Err(status) => Err(failure_of(&status, false)),
        }
    }

    /// Asks the upstream about itself.
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

impl Run {
    /// Waits for the next chunk; `None` at the end.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, CallFailure> {
        match self.chunks.message().await {
            Ok(chunk) => {
                self.has_answered = true;
                Ok(chunk.map(|chunk| chunk.data))
            }
            Err(status) => Err(failure_of(&status, self.has_answered)),
        }
    }
}

fn failure_of(status: &Status, has_answered: bool) -> CallFailure {
    let was_not_run = status
        .metadata()
        .get(RAN_TRAILER)
        .is_some_and(|value| value == "no");
    // An upstream that sent a part of an answer has run the work, whatever it says.
    if was_not_run && !has_answered {
        return CallFailure::NotStarted(match status.code() {
            Code::InvalidArgument => ResultCode::NotRunBadRequest,
            _ => ResultCode::NotRunShed,
        });
    }
    // tonic keeps the deadline of a call itself and reports it as a cancellation.
    if has_source::<tonic::TimeoutExpired>(status) {
        return CallFailure::Ended(ResultCode::UnknownDeadline);
    }
    // Without a connection nothing was sent.
    if has_source::<tonic::ConnectError>(status) {
        return CallFailure::NotStarted(ResultCode::NotRunNoUpstream);
    }
    CallFailure::Ended(match status.code() {
        Code::DeadlineExceeded => ResultCode::UnknownDeadline,
        Code::Cancelled => ResultCode::UnknownCancelled,
        // Failures of the transport look the same, but carry their source.
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
