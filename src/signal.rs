//! Signals that end a process or renew its keys.

use hawthorntide_types::ResultCode;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::failure::Failure;

/// Requests to end the process, which SIGINT and SIGTERM make.
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

    /// Waits for the next request.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Requests to read keys and certificates again, which SIGHUP makes.
#[derive(Debug)]
pub(crate) struct ReloadSignals(Signal);

impl ReloadSignals {
    pub(crate) fn open() -> Result<Self, Failure> {
        Ok(Self(listen(SignalKind::hangup())?))
    }

    /// Waits for the next request.
    pub(crate) async fn next(&mut self) {
        if self.0.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}

fn listen(kind: SignalKind) -> Result<Signal, Failure> {
    signal(kind).map_err(|error| Failure::new(ResultCode::Failure, error))
}
