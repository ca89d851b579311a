//! Answers, checked for being whole.

use hawthorntide_types::ResultCode;
use hawthorntide_wire::call::{CallFrame, call_frame::Body};
use hawthorntide_wire::{FrameReader, answer_checksum};

/// Largest frame of an answer.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Numbered outcome.
    pub code: ResultCode,
    /// Bytes of the answer; whole when `code` is `Ok`.
    pub data: Vec<u8>,
}

impl Answer {
    /// Answer without data.
    pub(crate) const fn of_code(code: ResultCode) -> Self {
        Self {
            code,
            data: Vec::new(),
        }
    }
}

/// Puts the frames of an answer together and checks that nothing is missing.
#[derive(Debug)]
pub struct AnswerReader {
    frames: FrameReader,
    /// Whether the agent asks for further requests to go over a new connection.
    pub(crate) should_move: bool,
    received_bytes: u64,
    checksum: answer_checksum::Checksum,
}

/// Part of an answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// The next bytes.
    Data(Vec<u8>),
    /// The end, with the code after the checks.
    End(ResultCode),
    /// More bytes are needed.
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
    /// Adds bytes that were received.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.frames.push(bytes);
    }

    /// Returns the next part of the answer.
    pub(crate) fn next_part(&mut self) -> Part {
        match self.frames.next_message::<CallFrame>() {
            Ok(None) => Part::Incomplete,
            Ok(Some(CallFrame { body: Some(body) })) => self.part(body),
            Ok(Some(CallFrame { body: None })) | Err(_) => Part::End(ResultCode::AnswerCut),
        }
    }

    fn part(&mut self, body: Body) -> Part {
        match body {
            Body::Chunk(chunk) if chunk.offset_bytes == self.received_bytes => {
                self.received_bytes += chunk.data.len() as u64;
                self.checksum.update(&chunk.data);
                Part::Data(chunk.data)
            }
            Body::Chunk(_) => Part::End(ResultCode::AnswerCut),
            Body::End(end) => {
                self.should_move = end.should_move;
                let number = u8::try_from(end.code).ok();
                let code = number.and_then(|number| ResultCode::try_from(number).ok());
                let Some(code) = code else {
                    return Part::End(ResultCode::AnswerCut);
                };
                let is_whole =
                    end.total_bytes == self.received_bytes && end.checksum == self.checksum.value();
                if code == ResultCode::Ok && !is_whole {
                    return Part::End(ResultCode::AnswerCut);
                }
                Part::End(code)
            }
        }
    }
}
