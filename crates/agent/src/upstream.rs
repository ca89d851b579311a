//! Calls to the upstream over gRPC.

use std::net::SocketAddr;
use std::time::Duration;

use hawthorntide_types::ResultCode;
use hawthorntide_wire::call::CallRequest;
use hawthorntide_wire::upstream::upstream_client::UpstreamClient as GrpcClient;
use hawthorntide_wire::upstream::{RunChunk, RunRequest};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status, Streaming};

/// Time to open the connection to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

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
    ) -> Result<Run, ResultCode> {
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
            }),
            Err(status) => Err(code_of(&status)),
        }
    }
}

impl Run {
    /// Waits for the next chunk; `None` at the end.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, ResultCode> {
        match self.chunks.message().await {
            Ok(chunk) => Ok(chunk.map(|chunk| chunk.data)),
            Err(status) => Err(code_of(&status)),
        }
    }
}

fn code_of(status: &Status) -> ResultCode {
    let was_not_run = status
        .metadata()
        .get(RAN_TRAILER)
        .is_some_and(|value| value == "no");
    if was_not_run {
        return ResultCode::NotRunShed;
    }
    match status.code() {
        Code::DeadlineExceeded => ResultCode::UnknownDeadline,
        Code::Cancelled => ResultCode::UnknownCancelled,
        Code::Internal | Code::FailedPrecondition | Code::InvalidArgument | Code::Aborted => {
            ResultCode::UpstreamFailed
        }
        _ => ResultCode::UnknownUpstreamLost,
    }
}
