//! TLS configuration of the client.

use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;

use crate::CallError;

/// ALPN protocol name, the same at client and agent.
const ALPN: &[u8] = b"hawthorntide/1";

/// Creates a TLS 1.3 client configuration that trusts the CA certificates in `authority`.
pub(crate) fn client_crypto(
    authority: &[CertificateDer<'static>],
) -> Result<Arc<QuicClientConfig>, CallError> {
    let mut roots = RootCertStore::empty();
    for certificate in authority {
        roots
            .add(certificate.clone())
            .map_err(CallError::Authority)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(CallError::Authority)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    config.alpn_protocols = vec![ALPN.to_vec()];
    let config = QuicClientConfig::try_from(config)
        .map_err(|error| CallError::Authority(rustls::Error::General(error.to_string())))?;
    Ok(Arc::new(config))
}
