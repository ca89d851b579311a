//! TLS and QUIC transport configuration for callers' connections.

use std::sync::Arc;

use quinn::crypto::rustls::QuicServerConfig;
use quinn::{MtuDiscoveryConfig, ServerConfig, TransportConfig, VarInt};

use crate::agent::{AgentError, AgentTls};

/// ALPN protocol name negotiated with callers.
const ALPN: &[u8] = b"hawthorntide/1";

/// Upper bound of path MTU discovery; leaves room for the forwarding header in an Ethernet frame.
const MAX_QUIC_DATAGRAM_BYTES: u16 = 1400;

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 30_000;

/// Concurrent request streams per connection.
const MAX_OPEN_REQUESTS: u32 = 64;

/// Builds the server configuration. 0-RTT stays disabled, so that no request runs before the
/// handshake has completed.
pub(crate) fn server_config(tls: AgentTls) -> Result<ServerConfig, AgentError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_no_client_auth()
        .with_single_cert(tls.certificates, tls.key)
        .map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    let crypto =
        QuicServerConfig::try_from(config).map_err(|error| AgentError::Tls(error.to_string()))?;
    let mut server = ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(Arc::new(transport()));
    Ok(server)
}

fn tls_error(error: rustls::Error) -> AgentError {
    AgentError::Tls(error.to_string())
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_OPEN_REQUESTS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_QUIC_DATAGRAM_BYTES);
    transport.mtu_discovery_config(Some(discovery));
    transport
}
