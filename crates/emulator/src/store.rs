//! Stand-in of the platform's object API: versions, conditional updates, watches, and its faults.

mod api;
mod fault;
mod serve;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;

use self::serve::Listener;
use self::state::Shared;

pub use self::fault::{CallCounts, StoreFaults, StoreHandle};

/// Changes that the store keeps for watches that come back.
const HISTORY_EVENTS: usize = 10_000;

/// Options of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct StoreServerOptions {
    /// Seed of the faults that happen with a probability.
    pub seed: u64,
    /// Changes that are kept for watches.
    pub history_events: usize,
}

impl Default for StoreServerOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            history_events: HISTORY_EVENTS,
        }
    }
}

/// Running stand-in; it stops when it is dropped.
#[derive(Debug)]
pub struct StoreServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl StoreServer {
    /// Binds the API to `address` and serves it on the present runtime.
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

    /// Returns the address at which the API is served.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that switches faults and reads counts.
    pub fn handle(&self) -> StoreHandle {
        StoreHandle::new(Arc::clone(&self.shared))
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
