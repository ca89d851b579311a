//! Flow to a service, which reconnects when its connection is lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorntide_types::{DurationMs, Ran, ResultCode, Retry};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::CallError;
use crate::answer::Answer;
use crate::call::{Call, CallStream};
use crate::session::{AgentConnection, ResumeState};
use crate::socket::CallerSocket;

/// Time limit for resuming a session; an agent that has ended does not answer the handshake.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for opening a connection to any agent.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Flow to a service. Sends requests over its current connection. Replaces a lost connection with one to
/// the same agent, or to any agent if the same one cannot be reached within 2 s.
#[derive(Debug)]
pub struct Flow {
    socket: CallerSocket,
    service: String,
    address: SocketAddr,
    current: watch::Sender<Arc<AgentConnection>>,
    /// Held while the connection is replaced, so that concurrent requests replace it only once.
    reopen_lock: tokio::sync::Mutex<()>,
}

impl Flow {
    /// Opens a flow to `service` at `address`, an address that the balancers serve.
    ///
    /// Fails if no agent accepts the connection within 5 s.
    pub async fn open(
        socket: CallerSocket,
        service: impl Into<String>,
        address: SocketAddr,
    ) -> Result<Self, CallError> {
        let service = service.into();
        let connection = connect(&socket, &service, address).await?;
        Ok(Self {
            socket,
            service,
            address,
            current: watch::Sender::new(Arc::new(connection)),
            reopen_lock: tokio::sync::Mutex::new(()),
        })
    }

    /// Returns the current connection, which may be lost already.
    pub fn connection(&self) -> Arc<AgentConnection> {
        Arc::clone(&self.current.borrow())
    }

    /// Sends a request and waits for the complete answer. If the connection is lost, the request is sent
    /// again under its sequence number, but only to the agent that may have run it. A request that a
    /// draining agent refuses is sent once more over a new connection.
    pub async fn call(&self, call: &Call) -> Answer {
        let deadline = Instant::now() + Duration::from(call.deadline_ms);
        let connection = self.connection_for_new_work().await;
        let sequence = connection.next_sequence();
        let answer = connection.call_with_sequence(sequence, call, false).await;
        if answer.code == ResultCode::NotRunDraining {
            return self
                .call_on_another_connection(&connection, call, deadline, answer)
                .await;
        }
        if !is_connection_lost(&connection, answer.code) {
            return answer;
        }
        let Ok(reopened) = self.reopen(&connection).await else {
            return answer;
        };
        match with_remaining_time(call, deadline) {
            Some(call) if reopened.has_same_session(&connection) => {
                reopened.call_with_sequence(sequence, &call, true).await
            }
            _ => answer,
        }
    }

    /// Sends an idempotent request and retries it, within its deadline and the retry budget of the
    /// socket, if its result code allows a retry. A request with deadline 0 gets no such retries.
    pub async fn call_idempotent(&self, call: &Call) -> Answer {
        let deadline = Instant::now() + Duration::from(call.deadline_ms);
        self.socket.record_request();
        let mut retries = 0;
        let mut may_have_run = None;
        loop {
            let started_at = Instant::now();
            let connection = self.connection();
            let Some(remaining) = with_remaining_time(call, deadline) else {
                return Answer::from_code(may_have_run.unwrap_or(ResultCode::NotRunDeadline));
            };
            let mut answer = self.call(&remaining).await;
            if answer.code.ran() != Ran::No {
                may_have_run = Some(answer.code);
            } else if let Some(code) = may_have_run {
                // This attempt did not run, but an earlier one may have.
                answer.code = code;
            }
            let is_retryable = answer.code.retry() != Retry::No;
            let retry_at = is_retryable.then(|| {
                self.socket
                    .retry_at(retries, deadline, started_at.elapsed())
            });
            let Some(retry_at) = retry_at.flatten() else {
                return answer;
            };
            retries += 1;
            tokio::time::sleep_until(retry_at).await;
            if has_upstream_failure(answer.code) && self.move_away(&connection).await.is_err() {
                return answer;
            }
        }
    }

    /// Returns the current connection, or a new one if its agent has asked the caller to move.
    async fn connection_for_new_work(&self) -> Arc<AgentConnection> {
        let connection = self.connection();
        if !connection.take_move_request() {
            return connection;
        }
        self.move_away(&connection).await.unwrap_or(connection)
    }

    /// Replaces the connection to a draining agent and sends the refused request once more. This is safe
    /// for any kind of work, because the draining agent will not run the request any more.
    async fn call_on_another_connection(
        &self,
        draining: &Arc<AgentConnection>,
        call: &Call,
        deadline: Instant,
        refusal: Answer,
    ) -> Answer {
        let Ok(connection) = self.move_away(draining).await else {
            return refusal;
        };
        let Some(call) = with_remaining_time(call, deadline) else {
            return refusal;
        };
        connection
            .call_with_sequence(connection.next_sequence(), &call, false)
            .await
    }

    /// Opens a stream of messages on the current connection.
    ///
    /// Fails with `UnknownAgentGone` if the connection is lost; it is not replaced.
    pub async fn open_stream(&self, payload: Vec<u8>) -> Result<FlowStream<'_>, ResultCode> {
        let connection = self.connection();
        let stream = connection.open_stream(payload.clone()).await?;
        Ok(FlowStream {
            flow: self,
            connection,
            stream,
            payload,
            has_begun: false,
        })
    }

    /// Replaces the connection `lost` with one to the same agent, or to any agent if that one cannot be
    /// reached, and returns the current connection. Does nothing if `lost` has already been replaced.
    ///
    /// Fails if no agent accepts the connection within 5 s.
    pub async fn reopen(
        &self,
        lost: &Arc<AgentConnection>,
    ) -> Result<Arc<AgentConnection>, CallError> {
        self.replace(lost, Some(lost.resume_state())).await
    }

    /// Replaces `old` with a connection to any agent and returns the current connection. Does nothing if
    /// `old` has already been replaced. Streams on `old` stay open.
    ///
    /// Fails if no agent accepts the connection within 5 s.
    pub async fn move_away(
        &self,
        old: &Arc<AgentConnection>,
    ) -> Result<Arc<AgentConnection>, CallError> {
        self.replace(old, None).await
    }

    /// Replaces `old` with a connection that resumes `resume_state` or, if that fails, with one to any
    /// agent. Streams on `old` stay open.
    async fn replace(
        &self,
        old: &Arc<AgentConnection>,
        resume_state: Option<ResumeState>,
    ) -> Result<Arc<AgentConnection>, CallError> {
        let _guard = self.reopen_lock.lock().await;
        let current = self.connection();
        if !Arc::ptr_eq(&current, old) {
            return Ok(current);
        }
        let connection = match self.try_resume(resume_state).await {
            Some(connection) => connection,
            None => connect(&self.socket, &self.service, self.address).await?,
        };
        let connection = Arc::new(connection);
        self.current.send_replace(Arc::clone(&connection));
        Ok(connection)
    }

    async fn try_resume(&self, resume_state: Option<ResumeState>) -> Option<AgentConnection> {
        let connecting = self
            .socket
            .connect(&self.service, self.address, Some(resume_state?));
        timeout(RESUME_TIMEOUT, connecting).await.ok()?.ok()
    }

    /// Waits until the current connection is lost or closed and returns it. If the connection is replaced
    /// in the meantime, waits for the new one instead.
    pub async fn lost(&self) -> Arc<AgentConnection> {
        let mut connections = self.current.subscribe();
        loop {
            let connection = Arc::clone(&connections.borrow_and_update());
            tokio::select! {
                _ = connection.closed() => return connection,
                _ = connections.changed() => {},
            }
        }
    }

    /// Closes the current connection at once; open requests and streams on it fail.
    pub fn close(&self) {
        self.connection().close();
    }
}

/// Stream of messages from an upstream, tied to one connection of a flow.
#[derive(Debug)]
pub struct FlowStream<'a> {
    flow: &'a Flow,
    connection: Arc<AgentConnection>,
    stream: CallStream,
    payload: Vec<u8>,
    has_begun: bool,
}

impl FlowStream<'_> {
    /// Returns the connection that carries the stream; it may differ from that of the flow.
    pub const fn connection(&self) -> &Arc<AgentConnection> {
        &self.connection
    }

    /// Waits for the next message; returns `None` at the end of a complete stream. If a draining agent
    /// refuses the stream before the first message, the stream is opened again on a new connection.
    ///
    /// Fails with the result code of the agent, with `UnknownAgentGone` if the connection is lost, or
    /// with `AnswerCut` if the stream is malformed or incomplete.
    pub async fn next_message(&mut self) -> Result<Option<Vec<u8>>, ResultCode> {
        loop {
            let message = self.stream.next_message().await;
            let is_refused = message == Err(ResultCode::NotRunDraining) && !self.has_begun;
            if !is_refused {
                self.has_begun = true;
                return message;
            }
            let Ok(connection) = self.flow.move_away(&self.connection).await else {
                return message;
            };
            self.connection = connection;
            self.stream = self.connection.open_stream(self.payload.clone()).await?;
        }
    }
}

/// Returns the call with its deadline reduced to the remaining time, or `None` if no time is left. A
/// call with deadline 0 stays unchanged.
fn with_remaining_time(call: &Call, deadline: Instant) -> Option<Call> {
    if call.deadline_ms.get() == 0 {
        return Some(call.clone());
    }
    let remaining_ms = deadline
        .saturating_duration_since(Instant::now())
        .as_millis() as u64;
    let deadline_ms = DurationMs(remaining_ms);
    (remaining_ms > 0).then(|| Call {
        deadline_ms,
        ..call.clone()
    })
}

/// Returns whether a retry should go to another agent because the upstream is unreachable or failed.
fn has_upstream_failure(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NotRunNoUpstream | ResultCode::UnknownUpstreamLost | ResultCode::UpstreamFailed
    )
}

fn is_connection_lost(connection: &AgentConnection, code: ResultCode) -> bool {
    code == ResultCode::UnknownAgentGone && connection.close_reason().is_some()
}

async fn connect(
    socket: &CallerSocket,
    service: &str,
    address: SocketAddr,
) -> Result<AgentConnection, CallError> {
    let connecting = socket.connect(service, address, None);
    timeout(OPEN_TIMEOUT, connecting).await.unwrap_or_else(|_| {
        Err(CallError::Connect {
            service: service.to_owned(),
            reason: format!("no agent responded within {} s", OPEN_TIMEOUT.as_secs()),
        })
    })
}
