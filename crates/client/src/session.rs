//! Connection to one agent and the session that the agent grants on it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hawthorntide_types::{Epoch, Sequence, SessionId};
use hawthorntide_wire::{FrameReader, call};
use tokio::task::JoinHandle;

use crate::CallError;

/// A new connection ignores requests to move to a less loaded agent for this long, because load reports
/// show the effect of the last move only after some seconds.
const SETTLE_TIME: Duration = Duration::from_secs(3);

const MAX_GRANT_BYTES: usize = 256;

/// State that a new connection needs to resume the session of a lost connection at the same agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumeState {
    /// Session that the agent granted on the earlier connection.
    pub session: SessionId,
    /// Incarnation of the agent that granted the session; a restarted agent does not know it.
    pub epoch: Epoch,
    /// First sequence number that has not been used in the session.
    pub next_sequence: Sequence,
    /// Initial destination connection ID, which balancers route to the agent that issued it.
    pub connection_id: Vec<u8>,
}

/// Stops the task that monitors a connection for silence when the last clone of the guard is dropped.
/// The task holds a handle that would otherwise keep the connection open after the [`AgentConnection`]
/// and its streams have been dropped.
#[derive(Clone, Debug)]
pub(crate) struct MonitorGuard {
    _task: Arc<AbortOnDrop>,
}

#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl MonitorGuard {
    pub(crate) fn new(task: JoinHandle<()>) -> Self {
        Self {
            _task: Arc::new(AbortOnDrop(task)),
        }
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// QUIC connection to one agent, with the session that the agent granted.
#[derive(Debug)]
pub struct AgentConnection {
    pub(crate) connection: quinn::Connection,
    pub(crate) monitor: MonitorGuard,
    pub(crate) session: SessionId,
    pub(crate) epoch: Epoch,
    next_sequence: AtomicU64,
    resume_connection_id: Vec<u8>,
    started: Instant,
    is_move_requested: AtomicBool,
}

impl AgentConnection {
    /// Waits for the session grant of the agent. Keeps the session of `resume_state` instead if the same
    /// incarnation of the agent granted it.
    pub(crate) async fn start(
        connection: quinn::Connection,
        monitor: MonitorGuard,
        resume_state: Option<ResumeState>,
    ) -> Result<Self, CallError> {
        let grant = read_grant(&connection).await?;
        let is_same_epoch = |state: &ResumeState| state.epoch.get() == grant.epoch;
        if let Some(state) = resume_state.filter(is_same_epoch) {
            return Ok(Self {
                connection,
                monitor,
                session: state.session,
                epoch: state.epoch,
                next_sequence: AtomicU64::new(state.next_sequence.get()),
                resume_connection_id: state.connection_id,
                started: Instant::now(),
                is_move_requested: AtomicBool::new(false),
            });
        }
        Ok(Self {
            connection,
            monitor,
            session: SessionId(grant.session),
            epoch: Epoch(grant.epoch),
            next_sequence: AtomicU64::new(1),
            resume_connection_id: grant.resume_connection_id,
            started: Instant::now(),
            is_move_requested: AtomicBool::new(false),
        })
    }

    /// Returns the state with which a later connection can resume this session.
    pub fn resume_state(&self) -> ResumeState {
        ResumeState {
            session: self.session,
            epoch: self.epoch,
            next_sequence: Sequence(self.next_sequence.load(Ordering::Relaxed)),
            connection_id: self.resume_connection_id.clone(),
        }
    }

    /// Records a request of the agent to move to another agent; ignored while the connection is new.
    pub(crate) fn request_move(&self) {
        if self.started.elapsed() >= SETTLE_TIME {
            self.is_move_requested.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether the agent has requested a move, and clears the flag so that a failed move is not
    /// retried with every call.
    pub(crate) fn take_move_request(&self) -> bool {
        self.is_move_requested.swap(false, Ordering::Relaxed)
    }

    /// Allocates the next sequence number of the session.
    pub fn next_sequence(&self) -> Sequence {
        Sequence(self.next_sequence.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns whether requests sent on `earlier` may be retried here under their sequence numbers,
    /// because session and epoch are the same.
    pub fn has_same_session(&self, earlier: &Self) -> bool {
        self.session == earlier.session && self.epoch == earlier.epoch
    }

    /// Returns the session that the agent granted, or the earlier one if it was resumed.
    pub const fn session(&self) -> SessionId {
        self.session
    }

    /// Waits until the connection is closed by either side or lost, and returns the reason.
    pub async fn closed(&self) -> quinn::ConnectionError {
        self.connection.closed().await
    }

    /// Returns why the connection was closed or lost; `None` while it is open.
    pub fn close_reason(&self) -> Option<quinn::ConnectionError> {
        self.connection.close_reason()
    }

    /// Closes the connection at once; open requests and streams fail with `UnknownAgentGone`.
    pub fn close(&self) {
        self.connection.close(quinn::VarInt::from_u32(0), b"");
    }
}

async fn read_grant(connection: &quinn::Connection) -> Result<call::SessionGrant, CallError> {
    let mut stream = connection
        .accept_uni()
        .await
        .map_err(CallError::Connection)?;
    let mut reader = FrameReader::new(MAX_GRANT_BYTES);
    loop {
        if let Ok(Some(grant)) = reader.next_message() {
            return Ok(grant);
        }
        let chunk = stream.read_chunk(MAX_GRANT_BYTES, true).await;
        let Ok(Some(chunk)) = chunk else {
            return Err(CallError::NoSession);
        };
        reader.push(&chunk.bytes);
    }
}
