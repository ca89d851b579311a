//! Sessions that one connection uses.

use std::sync::{Arc, Mutex, PoisonError};

use hawthorntide_types::SessionId;

use crate::agent::Shared;
use crate::dispatcher::RequestKey;

/// Sessions that one connection may keep from expiry, its own included.
const MAX_SESSIONS: usize = 4;

/// Keeps the sessions of a connection from expiry until it and its requests have ended.
#[derive(Debug)]
pub(crate) struct ConnectionSessions {
    shared: Arc<Shared>,
    attached: Mutex<Vec<SessionId>>,
}

impl ConnectionSessions {
    /// Takes over `session`, which was opened for this connection.
    pub(crate) fn new(shared: Arc<Shared>, session: SessionId) -> Self {
        Self {
            shared,
            attached: Mutex::new(vec![session]),
        }
    }

    /// Attaches the session of a request that resumes it.
    pub(crate) fn attach(&self, key: RequestKey) {
        let mut attached = self.attached.lock().unwrap_or_else(PoisonError::into_inner);
        let is_known = attached.contains(&key.session);
        if !is_known && attached.len() < MAX_SESSIONS && self.shared.desk.attach(key) {
            attached.push(key.session);
        }
    }
}

impl Drop for ConnectionSessions {
    fn drop(&mut self) {
        let attached = self
            .attached
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        for session in attached.drain(..) {
            self.shared.desk.detach(session);
        }
    }
}
