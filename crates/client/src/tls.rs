//! TLS configuration of callers.

use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;

use crate::CallError;

/// Protocol name that callers and agents negotiate.
const ALPN: &[u8] = b"hawthorntide/1";

/// Builds the client side of TLS that trusts the certificates of `authority`.
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
