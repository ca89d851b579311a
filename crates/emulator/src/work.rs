//! Payload of requests to emulated upstreams, and the expected answers.

use hawthorntide_types::ServiceId;
use prost::Message;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Each answer and stream message starts with the work id and the service id.
const ANSWER_HEADER_BYTES: usize = 16;

/// Size of a stream message: header and message number.
pub const STREAM_MESSAGE_BYTES: usize = ANSWER_HEADER_BYTES + 8;

/// Payload of a request to an emulated upstream.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct WorkOrder {
    /// Identifies the work across all sessions and attempts.
    #[prost(fixed64, tag = "1")]
    pub work_id: u64,
    /// Service that the caller addressed; upstreams of other services reject the work.
    #[prost(fixed64, tag = "2")]
    pub service_id: u64,
    /// Size of the answer; an answer is never smaller than its header.
    #[prost(uint32, tag = "3")]
    pub answer_bytes: u32,
    /// Number of messages of a stream; 0 for a stream without end.
    #[prost(uint32, tag = "4")]
    pub messages: u32,
}

impl WorkOrder {
    pub const fn service(&self) -> ServiceId {
        ServiceId(self.service_id)
    }

    /// The expected answer: the header, then bytes generated from the work id.
    pub fn answer(&self) -> Vec<u8> {
        let mut answer = self.header();
        let rest = (self.answer_bytes as usize).saturating_sub(ANSWER_HEADER_BYTES);
        answer.resize(ANSWER_HEADER_BYTES + rest, 0);
        ChaCha8Rng::seed_from_u64(self.work_id).fill_bytes(&mut answer[ANSWER_HEADER_BYTES..]);
        answer
    }

    /// The expected stream message with the given number.
    pub fn stream_message(&self, number: u64) -> Vec<u8> {
        let mut message = self.header();
        message.extend_from_slice(&number.to_be_bytes());
        message
    }

    fn header(&self) -> Vec<u8> {
        let mut header = Vec::with_capacity(ANSWER_HEADER_BYTES);
        header.extend_from_slice(&self.work_id.to_be_bytes());
        header.extend_from_slice(&self.service_id.to_be_bytes());
        header
    }
}
