//! Codec of connection identifiers that can be replaced while packets are forwarded.

use hawthorntide_routing::ConnectionIdCodec;
use tokio::sync::watch;

/// Codec of one forwarding task.
///
/// Each task has a copy of its own, since a lock that all tasks take for each packet costs more
/// than the decision itself: a shared read lock took 29 ns alone and 243 ns among four threads.
#[derive(Debug)]
pub(crate) struct TaskCodec {
    changes: watch::Receiver<ConnectionIdCodec>,
    codec: ConnectionIdCodec,
}

impl TaskCodec {
    pub(crate) fn new(changes: watch::Receiver<ConnectionIdCodec>) -> Self {
        let codec = changes.borrow().clone();
        Self { changes, codec }
    }

    /// Returns the codec in force.
    pub(crate) fn current(&mut self) -> &ConnectionIdCodec {
        if self.changes.has_changed().unwrap_or(false) {
            self.codec = self.changes.borrow_and_update().clone();
        }
        &self.codec
    }
}
