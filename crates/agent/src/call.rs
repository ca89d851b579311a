//! One request from its first byte to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorntide_types::{ResultCode, WorkKind};
use hawthorntide_wire::answer_checksum::Checksum;
use hawthorntide_wire::call::{CallFrame, CallRequest, Chunk, End, Kind, call_frame::Body};
use hawthorntide_wire::{FrameReader, encode_frame};
use tokio::time::timeout;

use crate::agent::Shared;
use crate::upstream::Run;

/// Largest request.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Time within which a caller must have sent its whole request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the frames of one answer.
struct AnswerWriter {
    stream: quinn::SendStream,
    total_bytes: u64,
    checksum: Checksum,
}

/// Serves one request.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    stream: quinn::SendStream,
    mut receive: quinn::RecvStream,
) {
    let mut writer = AnswerWriter {
        stream,
        total_bytes: 0,
        checksum: Checksum::default(),
    };
    let Ok(Ok(request)) = timeout(REQUEST_TIMEOUT, read_request(&mut receive)).await else {
        writer.end(ResultCode::NotRunBadRequest).await;
        return;
    };
    shared.requests_in_progress.fetch_add(1, Ordering::Relaxed);
    let code = run(&shared, request, &mut writer).await;
    writer.end(code).await;
    shared.requests_in_progress.fetch_sub(1, Ordering::Relaxed);
}

async fn read_request(receive: &mut quinn::RecvStream) -> Result<CallRequest, ResultCode> {
    let mut reader = FrameReader::new(MAX_REQUEST_BYTES);
    loop {
        match reader.next_message() {
            Ok(Some(request)) => return Ok(request),
            Ok(None) => {}
            Err(_) => return Err(ResultCode::NotRunBadRequest),
        }
        let Ok(Some(chunk)) = receive.read_chunk(MAX_REQUEST_BYTES, true).await else {
            return Err(ResultCode::NotRunBadRequest);
        };
        reader.push(&chunk.bytes);
    }
}

async fn run(shared: &Shared, request: CallRequest, writer: &mut AnswerWriter) -> ResultCode {
    let kind = match request.kind() {
        Kind::Stream => WorkKind::Stream,
        Kind::Reservation => WorkKind::Reservation,
        Kind::Sheet => WorkKind::Sheet,
        Kind::Unspecified => return ResultCode::NotRunBadRequest,
    };
    let Some(work) = shared.profile.work(kind) else {
        return ResultCode::NotRunNoProfile;
    };
    let longest = work.calm.deadline_ms.get();
    let deadline_ms = if request.deadline_ms == 0 {
        longest
    } else {
        request.deadline_ms.min(longest)
    };
    let deadline = Duration::from_millis(deadline_ms);
    if kind == WorkKind::Stream {
        return run_upstream(shared, request, deadline, writer).await;
    }
    let Ok(Ok(_permit)) = timeout(deadline, shared.work_slots.acquire()).await else {
        return ResultCode::NotRunDeadline;
    };
    run_upstream(shared, request, deadline, writer).await
}

async fn run_upstream(
    shared: &Shared,
    request: CallRequest,
    deadline: Duration,
    writer: &mut AnswerWriter,
) -> ResultCode {
    let mut run = match shared.upstream.run(&request, deadline).await {
        Ok(run) => run,
        Err(code) => return code,
    };
    loop {
        match next_chunk(&mut run, writer).await {
            Ok(Some(data)) => {
                if !writer.chunk(data).await {
                    return ResultCode::UnknownCancelled;
                }
            }
            Ok(None) => return ResultCode::Ok,
            Err(code) => return code,
        }
    }
}

/// Waits for the upstream; a caller that stops listening cancels the work.
async fn next_chunk(run: &mut Run, writer: &AnswerWriter) -> Result<Option<Vec<u8>>, ResultCode> {
    tokio::select! {
        chunk = run.next_chunk() => chunk,
        _ = writer.stream.stopped() => Err(ResultCode::UnknownCancelled),
    }
}

impl AnswerWriter {
    async fn chunk(&mut self, data: Vec<u8>) -> bool {
        let chunk = Chunk {
            offset_bytes: self.total_bytes,
            data,
        };
        self.total_bytes += chunk.data.len() as u64;
        self.checksum.update(&chunk.data);
        self.send(Body::Chunk(chunk)).await
    }

    async fn end(&mut self, code: ResultCode) {
        let end = End {
            code: u32::from(code.number()),
            total_bytes: self.total_bytes,
            checksum: self.checksum.value(),
        };
        if self.send(Body::End(end)).await && self.stream.finish().is_err() {
            log::debug!("agent: Answer was not wanted any more.");
        }
    }

    async fn send(&mut self, body: Body) -> bool {
        self.stream
            .write_all(&encode_frame(&CallFrame { body: Some(body) }))
            .await
            .is_ok()
    }
}
