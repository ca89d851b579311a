//! Log of a process: text or JSON lines on standard output or standard error.
//!
//! Lines are written by a thread of their own, so that a process does its work whether or not somebody reads
//! its log. What waits for the reader is bounded; what is lost is counted.

mod background_writer;
mod logger;
mod pending;
mod rate_limit;
mod stream;

pub use background_writer::BackgroundWriter;
pub use logger::{Log, LogError};
pub use pending::{LostLines, MAX_PENDING_BYTES, PendingLines};
pub use stream::StandardStream;
