//! Connection identifiers that name this agent's endpoint.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use hawthorntide_routing::ConnectionIdCodec;
use hawthorntide_types::{EndpointId, Incarnation};
use quinn_proto::{ConnectionId, ConnectionIdGenerator};

/// Issues connection identifiers for quinn.
#[derive(Clone, Debug)]
pub(crate) struct NamedConnectionIds {
    /// Replaced when keys are rotated; identifiers that were issued before stay valid.
    codec: Arc<RwLock<ConnectionIdCodec>>,
    endpoint: EndpointId,
    incarnation: Incarnation,
    next_nonce: Arc<AtomicU64>,
}

impl NamedConnectionIds {
    pub(crate) fn new(
        codec: Arc<RwLock<ConnectionIdCodec>>,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) -> Self {
        let next_nonce = Arc::new(AtomicU64::new(rand::random()));
        Self {
            codec,
            endpoint,
            incarnation,
            next_nonce,
        }
    }

    /// Returns a new identifier of this endpoint.
    pub(crate) fn issue(&self) -> [u8; 20] {
        let nonce = self.next_nonce.fetch_add(1, Ordering::Relaxed);
        let codec = self.codec.read().unwrap_or_else(PoisonError::into_inner);
        codec.encode(self.endpoint, self.incarnation, nonce)
    }
}

impl ConnectionIdGenerator for NamedConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&self.issue())
    }

    fn cid_len(&self) -> usize {
        20
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
