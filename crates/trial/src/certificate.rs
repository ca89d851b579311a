//! Test certificates for the agents of a trial.

use hawthorntide_agent::AgentTls;
use hawthorntide_types::ServiceName;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

/// Certificate authority created anew for each trial.
#[derive(Debug)]
pub struct TestAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl TestAuthority {
    pub fn new() -> Result<Self, rcgen::Error> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        Ok(Self { issuer })
    }

    /// CA certificate, which callers must trust.
    pub fn certificate(&self) -> CertificateDer<'static> {
        self.issuer.der().clone()
    }

    /// Issues a certificate whose only name is that of `service`.
    pub fn issue(&self, service: &ServiceName) -> Result<AgentTls, rcgen::Error> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![service.to_string()])?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(AgentTls {
            certificates: vec![certificate.der().clone()],
            key: PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der())),
        })
    }
}
