//! Work that emulated callers ask for and the answers that emulated upstreams give.

use hawthorntide_types::ServiceId;
use prost::Message;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes at the start of each answer or stream message: work id and service.
const ANSWER_HEAD_BYTES: usize = 16;

/// Size of one message of a stream.
pub const STREAM_MESSAGE_BYTES: usize = ANSWER_HEAD_BYTES + 8;

/// Payload of a request to an emulated upstream.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct WorkOrder {
    /// Identifies the work over all sessions and attempts.
    #[prost(fixed64, tag = "1")]
    pub work_id: u64,
    /// Service that the caller means to reach.
    #[prost(fixed64, tag = "2")]
    pub service_id: u64,
    /// Size of the answer; the head is always sent.
    #[prost(uint32, tag = "3")]
    pub answer_bytes: u32,
    /// Number of messages of a stream; 0 means that it has no end of its own.
    #[prost(uint32, tag = "4")]
    pub messages: u32,
}

impl WorkOrder {
    /// Returns the service that the caller means to reach.
    pub const fn service(&self) -> ServiceId {
        ServiceId(self.service_id)
    }

    /// Returns the answer to this order; it differs for each work id.
    pub fn answer(&self) -> Vec<u8> {
        let mut answer = self.head();
        let rest = (self.answer_bytes as usize).saturating_sub(ANSWER_HEAD_BYTES);
        answer.resize(ANSWER_HEAD_BYTES + rest, 0);
        ChaCha8Rng::seed_from_u64(self.work_id).fill_bytes(&mut answer[ANSWER_HEAD_BYTES..]);
        answer
    }

    /// Returns message `number` of the stream.
    pub fn stream_message(&self, number: u64) -> Vec<u8> {
        let mut message = self.head();
        message.extend_from_slice(&number.to_be_bytes());
        message
    }

    fn head(&self) -> Vec<u8> {
        let mut head = Vec::with_capacity(ANSWER_HEAD_BYTES);
        head.extend_from_slice(&self.work_id.to_be_bytes());
        head.extend_from_slice(&self.service_id.to_be_bytes());
        head
    }
}
