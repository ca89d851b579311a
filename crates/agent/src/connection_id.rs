//! QUIC connection identifiers that encode the agent's endpoint for routing by balancers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use hawthorntide_routing::ConnectionIdCodec;
use hawthorntide_types::{EndpointId, Incarnation};
use quinn_proto::{ConnectionId, ConnectionIdGenerator};

/// Generates connection identifiers for quinn and for session grants.
#[derive(Clone, Debug)]
pub(crate) struct RoutableConnectionIds {
    /// Replaced when keys are rotated. Identifiers issued earlier stay valid for as long as the key
    /// ring holds their key.
    codec: Arc<RwLock<ConnectionIdCodec>>,
    endpoint: EndpointId,
    incarnation: Incarnation,
    next_nonce: Arc<AtomicU64>,
}

impl RoutableConnectionIds {
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

    pub(crate) fn issue(&self) -> [u8; 20] {
        let nonce = self.next_nonce.fetch_add(1, Ordering::Relaxed);
        let codec = self.codec.read().unwrap_or_else(PoisonError::into_inner);
        codec.encode(self.endpoint, self.incarnation, nonce)
    }
}

impl ConnectionIdGenerator for RoutableConnectionIds {
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
