//! One request from its first byte to its answer.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hawthorntide_admission::{Begin, Outcome};
use hawthorntide_types::{DurationMs, ResultCode, TimeMs, WorkKind};
use hawthorntide_wire::answer_checksum::Checksum;
use hawthorntide_wire::call::{CallFrame, CallRequest, Chunk, End, Kind, call_frame::Body};
use hawthorntide_wire::{FrameReader, encode_frame};
use tokio::time::timeout;

use crate::agent::Shared;
use crate::dispatcher::{CallEnd, RequestKey, Submitted, Verdict};
use crate::session::ConnectionSessions;
use crate::upstream::{CallFailure, Run};

/// Largest request.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Time within which a caller must have sent its whole request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a duplicate looks whether the first call has ended.
const DUPLICATE_POLL: Duration = Duration::from_millis(20);

/// Longest time that a duplicate waits for the first call.
const DUPLICATE_WAIT_MS: u64 = 5000;

/// Time that a cancellation takes to reach the upstream. Its slot given away earlier would let the
/// upstream shed the next request.
const CANCEL_SETTLE: Duration = Duration::from_millis(10);

/// Largest answer that is kept for retries; larger ones are not repeated.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Bytes of a kept answer that are sent at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Sends the frames of one answer.
struct AnswerWriter {
    stream: quinn::SendStream,
    total_bytes: u64,
    checksum: Checksum,
    is_lost: bool,
}

/// Why a caller stopped listening.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Departure {
    /// The caller cancelled.
    Cancelled,
    /// The connection was lost; the caller may come back on a new one.
    ConnectionLost,
}

type DepartureFuture = Pin<Box<dyn Future<Output = Departure> + Send>>;

/// Notices that the caller stopped listening.
struct Listener {
    departure: Option<DepartureFuture>,
}

/// Request that the ledger lets run.
struct Work<'a> {
    shared: &'a Shared,
    request: CallRequest,
    key: RequestKey,
    kind: WorkKind,
    /// Whether its outcome is worth having after the connection was lost.
    is_resumable: bool,
}

/// Serves one request.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    sessions: Arc<ConnectionSessions>,
    mut stream: quinn::SendStream,
    mut receive: quinn::RecvStream,
) {
    let Some(read) = receive_request(&shared, &mut receive).await else {
        // Nothing is said about a request that did not arrive whole: another copy of it may run.
        let code = quinn::VarInt::from_u32(ResultCode::NotRunBadRequest.number().into());
        if stream.reset(code).is_err() {
            log::debug!("agent: Cut request was already closed.");
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

/// Reads a request; `None` when it is cut, too slow, or too many are being read.
async fn receive_request(
    shared: &Shared,
    receive: &mut quinn::RecvStream,
) -> Option<Result<CallRequest, ResultCode>> {
    let _permit = shared.reads.try_acquire().ok()?;
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
    let mut listener = writer.listener();
    match begin(shared, &request, &mut listener).await {
        Begin::Run => {}
        Begin::InProgress => return ResultCode::InProgress,
        Begin::Done(outcome) => return writer.repeat(outcome).await,
        Begin::Fenced(code) | Begin::Unknown(code) => return code,
    }
    let kind = match request.kind() {
        Kind::Stream => WorkKind::Stream,
        Kind::Reservation => WorkKind::Reservation,
        Kind::Sheet => WorkKind::Sheet,
        Kind::Unspecified => return shared.desk.refuse(key, ResultCode::NotRunBadRequest),
    };
    let work = Work {
        shared,
        request,
        key,
        kind,
        is_resumable: kind == WorkKind::Reservation,
    };
    work.run(writer, &mut listener).await
}

/// Asks the ledger; a duplicate waits for the call that holds the request.
async fn begin(shared: &Shared, request: &CallRequest, listener: &mut Listener) -> Begin {
    let key = RequestKey::of(request);
    let wait_ms = match request.deadline_ms {
        0 => DUPLICATE_WAIT_MS,
        named => named.min(DUPLICATE_WAIT_MS),
    };
    let end = shared.desk.now() + DurationMs(wait_ms);
    loop {
        let begin = shared.desk.begin(key);
        if begin != Begin::InProgress || shared.desk.now() >= end {
            return begin;
        }
        tokio::select! {
            () = tokio::time::sleep(DUPLICATE_POLL) => {}
            _ = listener.departure() => return begin,
        }
    }
}

impl Work<'_> {
    async fn run(&self, writer: &mut AnswerWriter, listener: &mut Listener) -> ResultCode {
        let named_ms = self.request.deadline_ms;
        let deadline_ms = (named_ms != 0).then_some(DurationMs(named_ms));
        let mut submitted = self.shared.desk.submit(self.kind, deadline_ms);
        let deadline = match self.wait_for_start(&mut submitted, listener).await {
            Ok(deadline) => deadline,
            Err(code) => return self.shared.desk.refuse(self.key, code),
        };
        let began = self.shared.desk.now();
        // The window of the session may have moved past the request while it waited.
        let end = if self.shared.desk.hand_over(self.key) {
            self.call(deadline, &mut submitted, writer, listener).await
        } else {
            CallEnd::Ended(outcome_of(ResultCode::UnknownTooOld))
        };
        let took_ms = self.shared.desk.now().since(began);
        self.shared
            .desk
            .finish(submitted.id, self.key, end, took_ms)
    }

    async fn wait_for_start(
        &self,
        submitted: &mut Submitted,
        listener: &mut Listener,
    ) -> Result<TimeMs, ResultCode> {
        loop {
            tokio::select! {
                verdict = submitted.verdicts.recv() => return match verdict {
                    Some(Verdict::Start(deadline)) => Ok(deadline),
                    Some(Verdict::Refuse(code)) => Err(code),
                    Some(Verdict::Cancel(_)) | None => Err(ResultCode::NotRunCancelled),
                },
                departure = listener.departure() => self.departed(departure, submitted),
            }
        }
    }

    /// Cancels the request, unless the caller may come back for its outcome.
    fn departed(&self, departure: Departure, submitted: &Submitted) {
        if departure == Departure::Cancelled || !self.is_resumable {
            self.shared.desk.cancel(submitted.id);
        }
    }

    async fn call(
        &self,
        deadline: TimeMs,
        submitted: &mut Submitted,
        writer: &mut AnswerWriter,
        listener: &mut Listener,
    ) -> CallEnd {
        let mut transfer = Box::pin(self.transfer(deadline, writer));
        let code = loop {
            tokio::select! {
                end = &mut transfer => return end,
                verdict = submitted.verdicts.recv() => if let Some(Verdict::Cancel(code)) = verdict {
                    break code;
                },
                departure = listener.departure() => self.departed(departure, submitted),
            }
        };
        // Dropping the call cancels it towards the upstream.
        drop(transfer);
        tokio::time::sleep(CANCEL_SETTLE).await;
        CallEnd::Ended(outcome_of(code))
    }

    /// Hands the request over and passes the answer on.
    async fn transfer(&self, deadline: TimeMs, writer: &mut AnswerWriter) -> CallEnd {
        let time_left = Duration::from(self.shared.desk.time_left(deadline));
        let mut run = match self.shared.upstream.run(&self.request, time_left).await {
            Ok(run) => run,
            Err(failure) => return end_of(failure),
        };
        let mut kept = self.is_resumable.then(BytesMut::new);
        loop {
            let data = match next_chunk(&mut run).await {
                Ok(Some(data)) => data,
                Ok(None) => break,
                Err(end) => return end,
            };
            kept = kept.filter(|kept| kept.len() + data.len() <= MAX_KEPT_BYTES);
            if let Some(kept) = &mut kept {
                kept.extend_from_slice(&data);
            }
            writer.chunk(data).await;
        }
        CallEnd::Ended(Outcome {
            code: ResultCode::Ok,
            answer: kept.map(BytesMut::freeze),
        })
    }
}

async fn next_chunk(run: &mut Run) -> Result<Option<Vec<u8>>, CallEnd> {
    run.next_chunk().await.map_err(end_of)
}

fn end_of(failure: CallFailure) -> CallEnd {
    match failure {
        CallFailure::NotStarted(code) => CallEnd::NotStarted(code),
        CallFailure::Ended(code) => CallEnd::Ended(outcome_of(code)),
    }
}

const fn outcome_of(code: ResultCode) -> Outcome {
    Outcome { code, answer: None }
}

impl Listener {
    /// Completes once, when the caller stops listening.
    async fn departure(&mut self) -> Departure {
        let Some(departure) = &mut self.departure else {
            return std::future::pending().await;
        };
        let departure = departure.await;
        self.departure = None;
        departure
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

    fn listener(&self) -> Listener {
        let stopped = self.stream.stopped();
        let departure = async move {
            match stopped.await {
                Ok(_) => Departure::Cancelled,
                Err(_) => Departure::ConnectionLost,
            }
        };
        Listener {
            departure: Some(Box::pin(departure)),
        }
    }

    /// Sends the kept answer of a request that has run.
    async fn repeat(&mut self, outcome: Outcome) -> ResultCode {
        let is_whole = outcome.code == ResultCode::Ok;
        let Some(answer) = outcome.answer else {
            return if is_whole {
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
            log::debug!("agent: Answer was not wanted any more.");
        }
    }

    /// Sends a frame, unless the caller stopped listening.
    async fn send(&mut self, body: Body) {
        if self.is_lost {
            return;
        }
        let frame = encode_frame(&CallFrame { body: Some(body) });
        self.is_lost = self.stream.write_all(&frame).await.is_err();
    }
}
