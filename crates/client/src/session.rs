//! Session of a caller at one agent.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hawthorntide_types::{Epoch, Sequence, SessionId};
use hawthorntide_wire::{FrameReader, call};
use tokio::task::JoinHandle;

use crate::CallError;

/// Time for which a new connection takes requests before it may be left for a freer agent; load
/// reports need some seconds to show the effect of a move.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Largest session grant.
const MAX_GRANT_BYTES: usize = 256;

/// What a caller needs to reach the agent of an earlier session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumeState {
    /// Session that was granted.
    pub session: SessionId,
    /// Life of the agent that granted it.
    pub epoch: Epoch,
    /// Next sequence that the session has not used.
    pub next_sequence: Sequence,
    /// Connection identifier that leads to the agent.
    pub connection_id: Vec<u8>,
}

/// Ends the watch over a connection, whose handle would keep the connection open, once neither the
/// caller nor one of its streams uses it.
#[derive(Clone, Debug)]
pub(crate) struct WatchGuard {
    _task: Arc<AbortOnDrop>,
}

#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl WatchGuard {
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

/// Connection to one agent with a session.
#[derive(Debug)]
pub struct AgentConnection {
    pub(crate) connection: quinn::Connection,
    pub(crate) watch: WatchGuard,
    pub(crate) session: SessionId,
    pub(crate) epoch: Epoch,
    next_sequence: AtomicU64,
    resume_connection_id: Vec<u8>,
    started: Instant,
    is_asked_to_move: AtomicBool,
}

impl AgentConnection {
    /// Waits for the session that the agent grants; keeps the session of `resume` instead, if it was
    /// granted by the same life of the agent.
    pub(crate) async fn start(
        connection: quinn::Connection,
        watch: WatchGuard,
        resume: Option<ResumeState>,
    ) -> Result<Self, CallError> {
        let grant = read_grant(&connection).await?;
        let same_life = |resume: &ResumeState| resume.epoch.get() == grant.epoch;
        if let Some(resume) = resume.filter(same_life) {
            return Ok(Self {
                connection,
                watch,
                session: resume.session,
                epoch: resume.epoch,
                next_sequence: AtomicU64::new(resume.next_sequence.get()),
                resume_connection_id: resume.connection_id,
                started: Instant::now(),
                is_asked_to_move: AtomicBool::new(false),
            });
        }
        Ok(Self {
            connection,
            watch,
            session: SessionId(grant.session),
            epoch: Epoch(grant.epoch),
            next_sequence: AtomicU64::new(1),
            resume_connection_id: grant.resume_connection_id,
            started: Instant::now(),
            is_asked_to_move: AtomicBool::new(false),
        })
    }

    /// Returns what a later connection needs to go on with this session.
    pub fn resume_state(&self) -> ResumeState {
        ResumeState {
            session: self.session,
            epoch: self.epoch,
            next_sequence: Sequence(self.next_sequence.load(Ordering::Relaxed)),
            connection_id: self.resume_connection_id.clone(),
        }
    }

    /// Notes that the agent asks for further requests to go elsewhere.
    pub(crate) fn ask_to_move(&self) {
        if self.started.elapsed() >= SETTLE_TIME {
            self.is_asked_to_move.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether the agent asked, and forgets it, so that a move that failed is not tried for
    /// each request.
    pub(crate) fn take_move(&self) -> bool {
        self.is_asked_to_move.swap(false, Ordering::Relaxed)
    }

    /// Takes the next sequence of the session.
    pub fn next_sequence(&self) -> Sequence {
        Sequence(self.next_sequence.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns whether requests of `earlier` may be sent again under their sequence.
    pub fn has_same_session(&self, earlier: &Self) -> bool {
        self.session == earlier.session && self.epoch == earlier.epoch
    }

    /// Returns the session.
    pub const fn session(&self) -> SessionId {
        self.session
    }

    /// Waits until the connection is lost.
    pub async fn closed(&self) -> quinn::ConnectionError {
        self.connection.closed().await
    }

    /// Returns why the connection is lost, if it is.
    pub fn close_reason(&self) -> Option<quinn::ConnectionError> {
        self.connection.close_reason()
    }

    /// Closes the connection.
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
