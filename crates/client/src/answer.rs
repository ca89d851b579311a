//! Reassembly of answers and the check that they are complete.

use hawthorntide_types::ResultCode;
use hawthorntide_wire::call::{CallFrame, call_frame::Body};
use hawthorntide_wire::{FrameReader, answer_checksum};

/// Largest frame that is accepted from an agent.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Result code from the agent, or from the client when no valid answer arrived.
    pub code: ResultCode,
    /// Bytes that were received; complete only when `code` is `Ok`.
    pub data: Vec<u8>,
}

impl Answer {
    pub(crate) const fn from_code(code: ResultCode) -> Self {
        Self {
            code,
            data: Vec::new(),
        }
    }
}

/// Reassembles an answer from its frames. Checks the offset of each chunk, and the total length and
/// checksum at the end.
#[derive(Debug)]
pub struct AnswerReader {
    frames: FrameReader,
    /// Whether the agent asks the caller to send further requests over a new connection.
    pub(crate) should_move: bool,
    received_bytes: u64,
    checksum: answer_checksum::Checksum,
}

/// Next part of an answer.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    Data(Vec<u8>),
    /// End of the answer; `AnswerCut` when it is malformed or incomplete.
    End(ResultCode),
    /// More bytes must be pushed first.
    Incomplete,
}

impl Default for AnswerReader {
    fn default() -> Self {
        Self {
            frames: FrameReader::new(MAX_FRAME_BYTES),
            should_move: false,
            received_bytes: 0,
            checksum: answer_checksum::Checksum::default(),
        }
    }
}

impl AnswerReader {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.frames.push(bytes);
    }

    pub(crate) fn next_part(&mut self) -> AnswerPart {
        match self.frames.next_message::<CallFrame>() {
            Ok(None) => AnswerPart::Incomplete,
            Ok(Some(CallFrame { body: Some(body) })) => self.process_body(body),
            Ok(Some(CallFrame { body: None })) | Err(_) => AnswerPart::End(ResultCode::AnswerCut),
        }
    }

    fn process_body(&mut self, body: Body) -> AnswerPart {
        match body {
            Body::Chunk(chunk) if chunk.offset_bytes == self.received_bytes => {
                self.received_bytes += chunk.data.len() as u64;
                self.checksum.update(&chunk.data);
                AnswerPart::Data(chunk.data)
            }
            Body::Chunk(_) => AnswerPart::End(ResultCode::AnswerCut),
            Body::End(end) => {
                self.should_move = end.should_move;
                let number = u8::try_from(end.code).ok();
                let code = number.and_then(|number| ResultCode::try_from(number).ok());
                let Some(code) = code else {
                    return AnswerPart::End(ResultCode::AnswerCut);
                };
                let is_complete =
                    end.total_bytes == self.received_bytes && end.checksum == self.checksum.value();
                if code == ResultCode::Ok && !is_complete {
                    return AnswerPart::End(ResultCode::AnswerCut);
                }
                AnswerPart::End(code)
            }
        }
    }
}
