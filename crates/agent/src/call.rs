//! Request handler: reads a request, runs it on the upstream and sends the answer.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hawthorntide_admission::{Disposition, Outcome};
use hawthorntide_types::{DurationMs, ResultCode, TimeMs, WorkKind};
use hawthorntide_wire::answer_checksum::Checksum;
use hawthorntide_wire::call::{CallFrame, CallRequest, Chunk, End, Kind, call_frame::Body};
use hawthorntide_wire::{FrameReader, encode_frame};
use tokio::time::timeout;

use crate::agent::Shared;
use crate::dispatcher::{CallEnd, Decision, PendingRequest, RequestKey};
use crate::session::ConnectionSessions;
use crate::upstream::{AnswerStream, CallFailure};

const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Time within which a caller must send its complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a duplicate checks whether the first attempt has ended.
const DUPLICATE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time a duplicate waits for the first attempt.
const DUPLICATE_WAIT_MS: u64 = 5000;

/// Delay between a cancellation and the reuse of its slot. If the next request reached the upstream
/// before the cancellation, the upstream would shed it.
const CANCEL_DELAY: Duration = Duration::from_millis(10);

/// Largest answer stored for retries; a larger one is sent only once.
const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Chunk size for sending a stored answer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Writes the frames of an answer to the caller's stream.
struct AnswerWriter {
    stream: quinn::SendStream,
    total_bytes: u64,
    checksum: Checksum,
    /// Whether a write failed; nothing is written after that.
    is_lost: bool,
}

/// Why the caller no longer reads the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AbortReason {
    /// The caller cancelled the request.
    Cancelled,
    /// The connection was lost; the caller may retry on a new one.
    ConnectionLost,
}

type AbortFuture = Pin<Box<dyn Future<Output = AbortReason> + Send>>;

/// Detects that the caller no longer reads the answer.
struct AbortMonitor {
    /// `None` after it has completed.
    abort: Option<AbortFuture>,
}

/// Runs one request that the ledger has accepted.
struct RequestHandler<'a> {
    shared: &'a Shared,
    request: CallRequest,
    key: RequestKey,
    kind: WorkKind,
    /// Whether the request continues after the connection is lost, so that a retry gets the
    /// outcome.
    is_resumable: bool,
}

/// Serves the request on one stream.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    sessions: Arc<ConnectionSessions>,
    mut stream: quinn::SendStream,
    mut receive: quinn::RecvStream,
) {
    let Some(read) = receive_request(&shared, &mut receive).await else {
        // No result is reported for an incomplete request, because another copy of it may be
        // running.
        let code = quinn::VarInt::from_u32(ResultCode::NotRunBadRequest.number().into());
        if stream.reset(code).is_err() {
            log::debug!("agent: Stream of an incomplete request was already closed.");
        }
        return;
    };
    let mut writer = AnswerWriter::new(stream);
    let code = match read {
        Ok(request) => {
            shared.requests_in_progress.fetch_add(1, Ordering::Relaxed);
            let code = answer(&shared, &sessions, request, &mut writer).await;
            shared.requests_in_progress.fetch_sub(1, Ordering::Relaxed);
            code
        }
        Err(code) => code,
    };
    let should_move = shared.should_move_callers();
    writer.end(code, should_move).await;
}

/// Reads a request; `None` when it is truncated, arrives too slowly or exceeds the number of
/// concurrent reads.
async fn receive_request(
    shared: &Shared,
    receive: &mut quinn::RecvStream,
) -> Option<Result<CallRequest, ResultCode>> {
    let _permit = shared.read_permits.try_acquire().ok()?;
    timeout(REQUEST_TIMEOUT, read_request(receive)).await.ok()?
}

async fn read_request(receive: &mut quinn::RecvStream) -> Option<Result<CallRequest, ResultCode>> {
    let mut reader = FrameReader::new(MAX_REQUEST_BYTES);
    loop {
        match reader.next_message() {
            Ok(Some(request)) => return Some(Ok(request)),
            Ok(None) => {}
            Err(_) => return Some(Err(ResultCode::NotRunBadRequest)),
        }
        let chunk = receive.read_chunk(MAX_REQUEST_BYTES, true).await.ok()??;
        reader.push(&chunk.bytes);
    }
}

async fn answer(
    shared: &Shared,
    sessions: &ConnectionSessions,
    request: CallRequest,
    writer: &mut AnswerWriter,
) -> ResultCode {
    let key = RequestKey::of(&request);
    sessions.attach(key);
    let mut abort_monitor = writer.abort_monitor();
    match begin(shared, &request, &mut abort_monitor).await {
        Disposition::Run => {}
        Disposition::InProgress => return ResultCode::InProgress,
        Disposition::Done(outcome) => return writer.send_stored(outcome).await,
        Disposition::Fenced(code) | Disposition::Unknown(code) => return code,
    }
    let kind = match request.kind() {
        Kind::Stream => WorkKind::Stream,
        Kind::Reservation => WorkKind::Reservation,
        Kind::Sheet => WorkKind::Sheet,
        Kind::Unspecified => return shared.dispatcher.refuse(key, ResultCode::NotRunBadRequest),
    };
    let handler = RequestHandler {
        shared,
        request,
        key,
        kind,
        is_resumable: kind == WorkKind::Reservation,
    };
    handler.run(writer, &mut abort_monitor).await
}

/// Registers the request with the ledger; a duplicate waits for the first attempt to end.
async fn begin(
    shared: &Shared,
    request: &CallRequest,
    abort_monitor: &mut AbortMonitor,
) -> Disposition {
    let key = RequestKey::of(request);
    let wait_ms = match request.deadline_ms {
        0 => DUPLICATE_WAIT_MS,
        requested => requested.min(DUPLICATE_WAIT_MS),
    };
    let end = shared.dispatcher.now() + DurationMs(wait_ms);
    loop {
        let begin = shared.dispatcher.begin(key);
        if begin != Disposition::InProgress || shared.dispatcher.now() >= end {
            return begin;
        }
        tokio::select! {
            () = tokio::time::sleep(DUPLICATE_POLL_INTERVAL) => {}
            _ = abort_monitor.aborted() => return begin,
        }
    }
}

impl RequestHandler<'_> {
    async fn run(&self, writer: &mut AnswerWriter, abort_monitor: &mut AbortMonitor) -> ResultCode {
        let requested_ms = self.request.deadline_ms;
        let deadline_ms = (requested_ms != 0).then_some(DurationMs(requested_ms));
        let mut pending = self.shared.dispatcher.submit(self.kind, deadline_ms);
        let deadline = match self.wait_for_start(&mut pending, abort_monitor).await {
            Ok(deadline) => deadline,
            Err(code) => return self.shared.dispatcher.refuse(self.key, code),
        };
        let began = self.shared.dispatcher.now();
        // While the request waited, the sequence window of its session may have moved past it.
        let end = if self.shared.dispatcher.mark_dispatched(self.key) {
            self.call(deadline, &mut pending, writer, abort_monitor)
                .await
        } else {
            CallEnd::Ended(outcome_without_answer(ResultCode::UnknownTooOld))
        };
        let elapsed_ms = self.shared.dispatcher.now().since(began);
        self.shared
            .dispatcher
            .finish(pending.id, self.key, end, elapsed_ms)
    }

    async fn wait_for_start(
        &self,
        pending: &mut PendingRequest,
        abort_monitor: &mut AbortMonitor,
    ) -> Result<TimeMs, ResultCode> {
        loop {
            tokio::select! {
                decision = pending.decisions.recv() => return match decision {
                    Some(Decision::Start(deadline)) => Ok(deadline),
                    Some(Decision::Refuse(code)) => Err(code),
                    Some(Decision::Cancel(_)) | None => Err(ResultCode::NotRunCancelled),
                },
                reason = abort_monitor.aborted() => self.handle_abort(reason, pending),
            }
        }
    }

    /// Cancels the request, unless the caller can still retry to get its outcome.
    fn handle_abort(&self, reason: AbortReason, pending: &PendingRequest) {
        if reason == AbortReason::Cancelled || !self.is_resumable {
            self.shared.dispatcher.cancel(pending.id);
        }
    }

    async fn call(
        &self,
        deadline: TimeMs,
        pending: &mut PendingRequest,
        writer: &mut AnswerWriter,
        abort_monitor: &mut AbortMonitor,
    ) -> CallEnd {
        let mut transfer = Box::pin(self.transfer(deadline, writer));
        let code = loop {
            tokio::select! {
                end = &mut transfer => return end,
                decision = pending.decisions.recv() =>
                    if let Some(Decision::Cancel(code)) = decision {
                        break code;
                    },
                reason = abort_monitor.aborted() => self.handle_abort(reason, pending),
            }
        };
        // Dropping the call sends a cancellation to the upstream.
        drop(transfer);
        tokio::time::sleep(CANCEL_DELAY).await;
        CallEnd::Ended(outcome_without_answer(code))
    }

    /// Sends the request to the upstream and forwards the answer to the caller.
    async fn transfer(&self, deadline: TimeMs, writer: &mut AnswerWriter) -> CallEnd {
        let time_left = Duration::from(self.shared.dispatcher.time_left(deadline));
        let mut stream = match self.shared.upstream.run(&self.request, time_left).await {
            Ok(stream) => stream,
            Err(failure) => return call_end(failure),
        };
        let mut stored = self.is_resumable.then(BytesMut::new);
        loop {
            let data = match next_chunk(&mut stream).await {
                Ok(Some(data)) => data,
                Ok(None) => break,
                Err(end) => return end,
            };
            stored = stored.filter(|stored| stored.len() + data.len() <= MAX_STORED_ANSWER_BYTES);
            if let Some(stored) = &mut stored {
                stored.extend_from_slice(&data);
            }
            writer.chunk(data).await;
        }
        CallEnd::Ended(Outcome {
            code: ResultCode::Ok,
            answer: stored.map(BytesMut::freeze),
        })
    }
}

async fn next_chunk(stream: &mut AnswerStream) -> Result<Option<Vec<u8>>, CallEnd> {
    stream.next_chunk().await.map_err(call_end)
}

fn call_end(failure: CallFailure) -> CallEnd {
    match failure {
        CallFailure::NotStarted(code) => CallEnd::NotStarted(code),
        CallFailure::Ended(code) => CallEnd::Ended(outcome_without_answer(code)),
    }
}

const fn outcome_without_answer(code: ResultCode) -> Outcome {
    Outcome { code, answer: None }
}

impl AbortMonitor {
    /// Completes once, when the caller stops reading the answer.
    async fn aborted(&mut self) -> AbortReason {
        let Some(abort) = &mut self.abort else {
            return std::future::pending().await;
        };
        let reason = abort.await;
        self.abort = None;
        reason
    }
}

impl AnswerWriter {
    fn new(stream: quinn::SendStream) -> Self {
        Self {
            stream,
            total_bytes: 0,
            checksum: Checksum::default(),
            is_lost: false,
        }
    }

    fn abort_monitor(&self) -> AbortMonitor {
        let stopped = self.stream.stopped();
        let abort = async move {
            match stopped.await {
                Ok(_) => AbortReason::Cancelled,
                Err(_) => AbortReason::ConnectionLost,
            }
        };
        AbortMonitor {
            abort: Some(Box::pin(abort)),
        }
    }

    /// Sends the stored answer of a request that has run. The result is `AnswerCut` if the request
    /// succeeded but its answer is not stored.
    async fn send_stored(&mut self, outcome: Outcome) -> ResultCode {
        let has_succeeded = outcome.code == ResultCode::Ok;
        let Some(answer) = outcome.answer else {
            return if has_succeeded {
                ResultCode::AnswerCut
            } else {
                outcome.code
            };
        };
        let chunks: Vec<Bytes> = answer
            .chunks(CHUNK_BYTES)
            .map(|chunk| answer.slice_ref(chunk))
            .collect();
        for chunk in chunks {
            self.chunk(chunk.to_vec()).await;
        }
        outcome.code
    }

    async fn chunk(&mut self, data: Vec<u8>) {
        let chunk = Chunk {
            offset_bytes: self.total_bytes,
            data,
        };
        self.total_bytes += chunk.data.len() as u64;
        self.checksum.update(&chunk.data);
        self.send(Body::Chunk(chunk)).await;
    }

    async fn end(&mut self, code: ResultCode, should_move: bool) {
        let end = End {
            code: u32::from(code.number()),
            total_bytes: self.total_bytes,
            checksum: self.checksum.value(),
            should_move,
        };
        self.send(Body::End(end)).await;
        if !self.is_lost && self.stream.finish().is_err() {
            log::debug!("agent: Caller stopped reading before the end of the answer.");
        }
    }

    /// Sends a frame, unless an earlier write failed.
    async fn send(&mut self, body: Body) {
        if self.is_lost {
            return;
        }
        let frame = encode_frame(&CallFrame { body: Some(body) });
        self.is_lost = self.stream.write_all(&frame).await.is_err();
    }
}
