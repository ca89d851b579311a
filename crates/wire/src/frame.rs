//! Length-delimited protobuf messages on a byte stream, with a limit on their size.

use bytes::{Buf, BytesMut};
use prost::Message;

/// Reason why a frame cannot be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameError {
    /// The length prefix exceeds the limit of the reader.
    TooLarge,
    /// The length prefix is invalid, or the bytes do not decode to the expected message type.
    Malformed,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "frame exceeds the size limit",
            Self::Malformed => "frame cannot be decoded",
        })
    }
}

impl std::error::Error for FrameError {}

/// Longest varint encoding of a 32-bit length.
const MAX_PREFIX_BYTES: usize = 5;

/// Encodes `message` with a length prefix.
pub fn encode_frame(message: &impl Message) -> Vec<u8> {
    message.encode_length_delimited_to_vec()
}

/// Buffers the bytes of a stream and decodes complete messages from them.
#[derive(Debug)]
pub struct FrameReader {
    buffer: BytesMut,
    max_bytes: usize,
}

impl FrameReader {
    /// Creates a reader that refuses messages longer than `max_bytes`; the length prefix does not count.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            max_bytes,
        }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether undecoded bytes are left; once `next_message` has returned `None`, they are the start of
    /// an incomplete message.
    pub fn has_incomplete_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let mut view = &self.buffer[..];
        let Ok(length) = prost::decode_length_delimiter(&mut view) else {
            let is_short = self.buffer.len() < MAX_PREFIX_BYTES;
            return if is_short {
                Ok(None)
            } else {
                Err(FrameError::Malformed)
            };
        };
        if length > self.max_bytes {
            return Err(FrameError::TooLarge);
        }
        if view.len() < length {
            return Ok(None);
        }
        let prefix = self.buffer.len() - view.len();
        self.buffer.advance(prefix);
        let body = self.buffer.split_to(length);
        let Ok(message) = M::decode(body) else {
            return Err(FrameError::Malformed);
        };
        Ok(Some(message))
    }
}
