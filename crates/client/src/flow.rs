//! Flow to a service that is opened again when its connection is lost.

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

/// Longest time to reach the agent of an earlier session; a gone agent does not respond.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to open a connection to any agent.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Flow to a service. Requests go over its present connection; a lost connection is replaced by one
/// to the same agent, or to any agent when that one is gone.
#[derive(Debug)]
pub struct Flow {
    socket: CallerSocket,
    service: String,
    address: SocketAddr,
    current: watch::Sender<Arc<AgentConnection>>,
    /// Held while a lost connection is replaced, so that this happens once.
    reopening: tokio::sync::Mutex<()>,
}

impl Flow {
    /// Opens a flow to `service` at `address`.
    pub async fn open(
        socket: CallerSocket,
        service: impl Into<String>,
        address: SocketAddr,
    ) -> Result<Self, CallError> {
        let service = service.into();
        let caller = connect(&socket, &service, address).await?;
        Ok(Self {
            socket,
            service,
            address,
            current: watch::Sender::new(Arc::new(caller)),
            reopening: tokio::sync::Mutex::new(()),
        })
    }

    /// Returns the present connection.
    pub fn connection(&self) -> Arc<AgentConnection> {
        Arc::clone(&self.current.borrow())
    }

    /// Sends a request and waits for its whole answer. When the connection is lost, the request is
    /// sent again under its sequence, but only to the agent that may have run it.
    pub async fn call(&self, call: &Call) -> Answer {
        let end = Instant::now() + Duration::from(call.deadline_ms);
        let caller = self.caller_of_new_work().await;
        let sequence = caller.next_sequence();
        let answer = caller.call_with_sequence(sequence, call, false).await;
        if answer.code == ResultCode::NotRunDraining {
            return self.call_elsewhere(&caller, call, end, answer).await;
        }
        if !is_lost(&caller, answer.code) {
            return answer;
        }
        let Ok(again) = self.reopen(&caller).await else {
            return answer;
        };
        match with_time_left(call, end) {
            Some(call) if again.has_same_session(&caller) => {
                again.call_with_sequence(sequence, &call, true).await
            }
            _ => answer,
        }
    }

    /// Sends idempotent work and sends it again, within its deadline and the budget of the socket, when
    /// it failed in a way that another attempt may repair.
    pub async fn call_idempotent(&self, call: &Call) -> Answer {
        let end = Instant::now() + Duration::from(call.deadline_ms);
        self.socket.record_request();
        let mut retries = 0;
        let mut may_have_run = None;
        loop {
            let began = Instant::now();
            let caller = self.connection();
            let Some(left) = with_time_left(call, end) else {
                return Answer::of_code(may_have_run.unwrap_or(ResultCode::NotRunDeadline));
            };
            let mut answer = self.call(&left).await;
            if answer.code.ran() != Ran::No {
                may_have_run = Some(answer.code);
            } else if let Some(code) = may_have_run {
                // The refusal of this attempt says nothing about the attempts before it.
                answer.code = code;
            }
            let can_help = answer.code.retry() != Retry::No;
            let at = can_help.then(|| self.socket.retry_at(retries, end, began.elapsed()));
            let Some(at) = at.flatten() else {
                return answer;
            };
            retries += 1;
            tokio::time::sleep_until(at).await;
            if has_lost_upstream(answer.code) && self.move_away(&caller).await.is_err() {
                return answer;
            }
        }
    }

    /// Returns the connection for new work; a new one when the agent asked to leave the present one.
    async fn caller_of_new_work(&self) -> Arc<AgentConnection> {
        let caller = self.connection();
        if !caller.take_move() {
            return caller;
        }
        self.move_away(&caller).await.unwrap_or(caller)
    }

    /// Moves new work away from a draining agent and sends a request that it refused once more. The
    /// agent has fenced the request, so that this is safe for any kind of work.
    async fn call_elsewhere(
        &self,
        draining: &Arc<AgentConnection>,
        call: &Call,
        end: Instant,
        refusal: Answer,
    ) -> Answer {
        let Ok(caller) = self.move_away(draining).await else {
            return refusal;
        };
        let Some(call) = with_time_left(call, end) else {
            return refusal;
        };
        caller
            .call_with_sequence(caller.next_sequence(), &call, false)
            .await
    }

    /// Opens a stream of messages on the present connection.
    pub async fn open_stream(&self, payload: Vec<u8>) -> Result<FlowStream<'_>, ResultCode> {
        let caller = self.connection();
        let stream = caller.open_stream(payload.clone()).await?;
        Ok(FlowStream {
            flow: self,
            caller,
            stream,
            payload,
            has_begun: false,
        })
    }

    /// Replaces the connection `lost`, unless that has happened already, and returns the present one.
    pub async fn reopen(
        &self,
        lost: &Arc<AgentConnection>,
    ) -> Result<Arc<AgentConnection>, CallError> {
        self.replace(lost, Some(lost.resume_state())).await
    }

    /// Opens a connection to any agent in place of `old`, unless that has happened already. Streams on
    /// `old` stay open.
    pub async fn move_away(
        &self,
        old: &Arc<AgentConnection>,
    ) -> Result<Arc<AgentConnection>, CallError> {
        self.replace(old, None).await
    }

    /// Replaces the connection `old` by one to the agent of `resume` or to any agent. Streams on `old`
    /// stay open.
    async fn replace(
        &self,
        old: &Arc<AgentConnection>,
        resume: Option<ResumeState>,
    ) -> Result<Arc<AgentConnection>, CallError> {
        let _guard = self.reopening.lock().await;
        let current = self.connection();
        if !Arc::ptr_eq(&current, old) {
            return Ok(current);
        }
        let caller = match self.resume(resume).await {
            Some(caller) => caller,
            None => connect(&self.socket, &self.service, self.address).await?,
        };
        let caller = Arc::new(caller);
        self.current.send_replace(Arc::clone(&caller));
        Ok(caller)
    }

    async fn resume(&self, resume: Option<ResumeState>) -> Option<AgentConnection> {
        let connecting = self
            .socket
            .connect(&self.service, self.address, Some(resume?));
        timeout(RESUME_TIMEOUT, connecting).await.ok()?.ok()
    }

    /// Waits until the present connection is lost and returns it.
    pub async fn lost(&self) -> Arc<AgentConnection> {
        let mut present = self.current.subscribe();
        loop {
            let caller = Arc::clone(&present.borrow_and_update());
            tokio::select! {
                _ = caller.closed() => return caller,
                _ = present.changed() => {},
            }
        }
    }

    /// Closes the present connection.
    pub fn close(&self) {
        self.connection().close();
    }
}

/// Stream of messages on one connection of a flow.
#[derive(Debug)]
pub struct FlowStream<'a> {
    flow: &'a Flow,
    caller: Arc<AgentConnection>,
    stream: CallStream,
    payload: Vec<u8>,
    has_begun: bool,
}

impl FlowStream<'_> {
    /// Returns the connection that carries the stream.
    pub const fn connection(&self) -> &Arc<AgentConnection> {
        &self.caller
    }

    /// Waits for the next message; `None` when the stream has ended whole. A draining agent refuses a
    /// stream before its first message; the stream then begins at another agent.
    pub async fn next_message(&mut self) -> Result<Option<Vec<u8>>, ResultCode> {
        loop {
            let message = self.stream.next_message().await;
            let is_refused = message == Err(ResultCode::NotRunDraining) && !self.has_begun;
            if !is_refused {
                self.has_begun = true;
                return message;
            }
            let Ok(caller) = self.flow.move_away(&self.caller).await else {
                return message;
            };
            self.caller = caller;
            self.stream = self.caller.open_stream(self.payload.clone()).await?;
        }
    }
}

/// Returns the call with the time that is left, or `None` when its deadline has passed.
fn with_time_left(call: &Call, end: Instant) -> Option<Call> {
    if call.deadline_ms.get() == 0 {
        return Some(call.clone());
    }
    let left_ms = end.saturating_duration_since(Instant::now()).as_millis() as u64;
    let deadline_ms = DurationMs(left_ms);
    (left_ms > 0).then(|| Call {
        deadline_ms,
        ..call.clone()
    })
}

/// Returns whether the work should go to another upstream.
fn has_lost_upstream(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NotRunNoUpstream | ResultCode::UnknownUpstreamLost | ResultCode::UpstreamFailed
    )
}

fn is_lost(caller: &AgentConnection, code: ResultCode) -> bool {
    code == ResultCode::UnknownAgentGone && caller.close_reason().is_some()
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
