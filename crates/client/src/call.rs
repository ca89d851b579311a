//! Requests of a caller.

use hawthorntide_types::{DurationMs, ResultCode, Sequence, WorkKind};
use hawthorntide_wire::{call, encode_frame};

use crate::answer::{Answer, AnswerReader, Part};
use crate::session::{AgentConnection, WatchGuard};

/// Bytes that are read from the connection at a time.
const READ_BYTES: usize = 64 * 1024;

/// Time after its deadline that a request still waits for the agent's word on it.
const ANSWER_GRACE: std::time::Duration = std::time::Duration::from_millis(500);

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Kind of work.
    pub kind: WorkKind,
    /// Time that the caller waits; zero leaves it to the profile.
    pub deadline_ms: DurationMs,
    /// Bytes for the upstream.
    pub payload: Vec<u8>,
}

/// Open stream of a caller.
#[derive(Debug)]
pub struct CallStream {
    reader: AnswerReader,
    stream: quinn::RecvStream,
    /// Keeps the sending side open, so that dropping the stream cancels it.
    _request: quinn::SendStream,
    _watch: WatchGuard,
}

impl AgentConnection {
    /// Sends a request and waits for its whole answer.
    pub async fn call(&self, call: &Call) -> Answer {
        self.call_with_sequence(self.next_sequence(), call, false)
            .await
    }

    /// Sends a request under a given sequence; with `retry` the sequence was sent before.
    pub async fn call_with_sequence(&self, sequence: Sequence, call: &Call, retry: bool) -> Answer {
        let answer = self.exchange(sequence, call, retry);
        if call.deadline_ms.get() == 0 {
            return answer.await;
        }
        let limit = std::time::Duration::from(call.deadline_ms) + ANSWER_GRACE;
        let Ok(answer) = tokio::time::timeout(limit, answer).await else {
            return Answer::of_code(ResultCode::UnknownDeadline);
        };
        answer
    }

    /// Opens a stream of messages.
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
            _watch: self.watch.clone(),
        })
    }

    async fn exchange(&self, sequence: Sequence, call: &Call, retry: bool) -> Answer {
        let (mut request, stream) = match self.send(sequence, call, retry).await {
            Ok(streams) => streams,
            Err(code) => return Answer::of_code(code),
        };
        if request.finish().is_err() {
            return Answer::of_code(ResultCode::UnknownAgentGone);
        }
        let mut stream = CallStream {
            reader: AnswerReader::default(),
            stream,
            _request: request,
            _watch: self.watch.clone(),
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
            self.ask_to_move();
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
    /// Waits for the next message; `None` when the stream has ended whole.
    pub async fn next_message(&mut self) -> Result<Option<Vec<u8>>, ResultCode> {
        loop {
            match self.reader.next_part() {
                Part::Data(data) => return Ok(Some(data)),
                Part::End(ResultCode::Ok) => return Ok(None),
                Part::End(code) => return Err(code),
                Part::Incomplete => {}
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
