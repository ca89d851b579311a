//! Signals that shut a process down or reload its keys and certificates.

use hawthorntide_types::ResultCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::failure::Failure;

/// Shutdown requests: SIGINT and SIGTERM.
#[derive(Debug)]
pub(crate) struct ShutdownSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl ShutdownSignals {
    pub(crate) fn open() -> Result<Self, Failure> {
        Ok(Self {
            interrupt: listen(SignalKind::interrupt())?,
            terminate: listen(SignalKind::terminate())?,
        })
    }

    /// Waits for the next SIGINT or SIGTERM.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Requests to reload keys and certificates: SIGHUP.
#[derive(Debug)]
pub(crate) struct ReloadSignals(Signal);

impl ReloadSignals {
    pub(crate) fn open() -> Result<Self, Failure> {
        Ok(Self(listen(SignalKind::hangup())?))
    }

    /// Waits for the next SIGHUP, or forever if the signal stream has ended.
    pub(crate) async fn next(&mut self) {
        if self.0.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}

fn listen(kind: SignalKind) -> Result<Signal, Failure> {
    signal(kind).map_err(|error| Failure::new(ResultCode::Failure, error))
}
