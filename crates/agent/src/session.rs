//! Sessions attached to a connection.

use std::sync::{Arc, Mutex, PoisonError};

use hawthorntide_types::SessionId;

use crate::agent::Shared;
use crate::dispatcher::RequestKey;

/// Sessions that one connection may keep from expiring, including the one opened for it.
const MAX_SESSIONS: usize = 4;

/// Keeps sessions from expiring until the connection and all its requests have ended.
#[derive(Debug)]
pub(crate) struct ConnectionSessions {
    shared: Arc<Shared>,
    attached: Mutex<Vec<SessionId>>,
}

impl ConnectionSessions {
    /// `session` is the one that was opened for this connection.
    pub(crate) fn new(shared: Arc<Shared>, session: SessionId) -> Self {
        Self {
            shared,
            attached: Mutex::new(vec![session]),
        }
    }

    /// Attaches the session that a request belongs to, which may have been opened on an earlier
    /// connection.
    pub(crate) fn attach(&self, key: RequestKey) {
        let mut attached = self.attached.lock().unwrap_or_else(PoisonError::into_inner);
        let is_known = attached.contains(&key.session);
        if !is_known && attached.len() < MAX_SESSIONS && self.shared.dispatcher.attach(key) {
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
            self.shared.dispatcher.detach(session);
        }
    }
}
