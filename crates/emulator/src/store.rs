//! Emulated object store of the platform: versioned objects, conditional writes, watches and
//! faults.

mod api;
mod fault;
mod serve;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;

use self::serve::Listener;
use self::state::Shared;

pub use self::fault::{CallCounts, EraHeader, StoreFaults, StoreHandle};
pub use self::state::StoreCopy;

/// A watch can resume from any revision within this many changes.
const DEFAULT_HISTORY_EVENTS: usize = 10_000;

/// Options of an emulated store.
#[derive(Clone, Copy, Debug)]
pub struct StoreServerOptions {
    /// Seed for faults that occur at random.
    pub seed: u64,
    /// Number of past changes kept, from which watches can resume.
    pub history_events: usize,
}

impl Default for StoreServerOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            history_events: DEFAULT_HISTORY_EVENTS,
        }
    }
}

/// Running emulated store, stopped on drop.
#[derive(Debug)]
pub struct StoreServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl StoreServer {
    /// Binds `address` and serves the API on the current Tokio runtime.
    pub fn bind(address: SocketAddr, options: StoreServerOptions) -> std::io::Result<Self> {
        let listener = Listener::bind(address)?;
        let address = listener.address();
        let shared = Arc::new(Shared::new(options));
        let task = tokio::spawn(serve::run(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle to inject faults and read counters.
    pub fn handle(&self) -> StoreHandle {
        StoreHandle::new(Arc::clone(&self.shared))
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
