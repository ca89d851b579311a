//! Signals that end a process.

use hawthorntide_types::ResultCode;
use tokio::signal::unix::{SignalKind, signal};

use crate::failure::Failure;

/// Waits for SIGINT or SIGTERM.
pub(crate) async fn wait_for_stop() -> Result<(), Failure> {
    let failure = |error| Failure::new(ResultCode::Failure, error);
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failure)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(failure)?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
