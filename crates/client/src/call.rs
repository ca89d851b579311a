//! Requests and streams over one connection.

use hawthorntide_types::{DurationMs, ResultCode, Sequence, WorkKind};
use hawthorntide_wire::{call, encode_frame};

use crate::answer::{Answer, AnswerPart, AnswerReader};
use crate::session::{AgentConnection, MonitorGuard};

/// Largest chunk that is read from a QUIC stream at a time.
const READ_BYTES: usize = 64 * 1024;

/// The client waits this long after the deadline of a request for the result code of the agent.
const ANSWER_GRACE: std::time::Duration = std::time::Duration::from_millis(500);

/// Request to an upstream of a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Kind of work; selects the section of the service's profile that applies.
    pub kind: WorkKind,
    /// Deadline of the request, in milliseconds after it is sent; 0 selects the deadline of the profile.
    pub deadline_ms: DurationMs,
    /// Request body, passed to the upstream unchanged.
    pub payload: Vec<u8>,
}

/// Open stream of messages from an upstream; dropping it cancels the request.
#[derive(Debug)]
pub struct CallStream {
    reader: AnswerReader,
    /// Dropping it asks the agent to stop sending, which cancels the request.
    stream: quinn::RecvStream,
    /// Held until the stream is dropped. [`AgentConnection::open_stream`] leaves it unfinished.
    _request: quinn::SendStream,
    _monitor: MonitorGuard,
}

impl AgentConnection {
    /// Sends a request under the next sequence number and waits for the complete answer.
    ///
    /// Failures are reported in the code of the answer. A request with a deadline returns
    /// `UnknownDeadline` if no answer arrives within 500 ms after the deadline.
    pub async fn call(&self, call: &Call) -> Answer {
        self.call_with_sequence(self.next_sequence(), call, false)
            .await
    }

    /// Sends a request like [`call`](Self::call), but under the given sequence number.
    ///
    /// `retry` tells the agent that the caller sent this sequence number before.
    pub async fn call_with_sequence(&self, sequence: Sequence, call: &Call, retry: bool) -> Answer {
        let answer = self.exchange(sequence, call, retry);
        if call.deadline_ms.get() == 0 {
            return answer.await;
        }
        let limit = std::time::Duration::from(call.deadline_ms) + ANSWER_GRACE;
        let Ok(answer) = tokio::time::timeout(limit, answer).await else {
            return Answer::from_code(ResultCode::UnknownDeadline);
        };
        answer
    }

    /// Opens a stream of messages without a deadline.
    ///
    /// Fails with `UnknownAgentGone` if the connection is lost.
    pub async fn open_stream(&self, payload: Vec<u8>) -> Result<CallStream, ResultCode> {
        let call = Call {
            kind: WorkKind::Stream,
            deadline_ms: DurationMs(0),
            payload,
        };
        let (request, stream) = self.send(self.next_sequence(), &call, false).await?;
        Ok(CallStream {
            reader: AnswerReader::default(),
            stream,
            _request: request,
            _monitor: self.monitor.clone(),
        })
    }

    async fn exchange(&self, sequence: Sequence, call: &Call, retry: bool) -> Answer {
        let (mut request, stream) = match self.send(sequence, call, retry).await {
            Ok(streams) => streams,
            Err(code) => return Answer::from_code(code),
        };
        if request.finish().is_err() {
            return Answer::from_code(ResultCode::UnknownAgentGone);
        }
        let mut stream = CallStream {
            reader: AnswerReader::default(),
            stream,
            _request: request,
            _monitor: self.monitor.clone(),
        };
        let mut data = Vec::new();
        let code = loop {
            match stream.next_message().await {
                Ok(Some(bytes)) => data.extend_from_slice(&bytes),
                Ok(None) => break ResultCode::Ok,
                Err(code) => break code,
            }
        };
        if stream.reader.should_move {
            self.request_move();
        }
        Answer { code, data }
    }

    async fn send(
        &self,
        sequence: Sequence,
        call: &Call,
        retry: bool,
    ) -> Result<(quinn::SendStream, quinn::RecvStream), ResultCode> {
        let message = call::CallRequest {
            session: self.session.get(),
            epoch: self.epoch.get(),
            sequence: sequence.get(),
            kind: wire_kind(call.kind).into(),
            deadline_ms: call.deadline_ms.get(),
            payload: call.payload.clone(),
            retry,
        };
        let opened = self.connection.open_bi().await;
        let Ok((mut request, stream)) = opened else {
            return Err(ResultCode::UnknownAgentGone);
        };
        let written = request.write_all(&encode_frame(&message)).await;
        if written.is_err() {
            return Err(ResultCode::UnknownAgentGone);
        }
        Ok((request, stream))
    }
}

impl CallStream {
    /// Waits for the next message; returns `None` at the end of a complete stream.
    ///
    /// Fails with the result code of the agent, with `UnknownAgentGone` if the connection is lost, or
    /// with `AnswerCut` if the stream is malformed or incomplete.
    pub async fn next_message(&mut self) -> Result<Option<Vec<u8>>, ResultCode> {
        loop {
            match self.reader.next_part() {
                AnswerPart::Data(data) => return Ok(Some(data)),
                AnswerPart::End(ResultCode::Ok) => return Ok(None),
                AnswerPart::End(code) => return Err(code),
                AnswerPart::Incomplete => {}
            }
            match self.stream.read_chunk(READ_BYTES, true).await {
                Ok(Some(chunk)) => self.reader.push(&chunk.bytes),
                Err(quinn::ReadError::ConnectionLost(_)) => {
                    return Err(ResultCode::UnknownAgentGone);
                }
                Ok(None) | Err(_) => return Err(ResultCode::AnswerCut),
            }
        }
    }
}

fn wire_kind(kind: WorkKind) -> call::Kind {
    match kind {
        WorkKind::Stream => call::Kind::Stream,
        WorkKind::Reservation => call::Kind::Reservation,
        WorkKind::Sheet => call::Kind::Sheet,
    }
}
