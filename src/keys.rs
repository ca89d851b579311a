//! Command `keys`: generates keys, certificates and tokens for development.

use std::fmt::Write as _;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use hawthorntide_types::ResultCode;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType, IsCa, KeyPair,
};

use crate::cli::KeysArguments;
use crate::failure::Failure;
use crate::output::{OutputFormat, print_json, print_text};

/// File mode of secrets.
const SECRET_MODE: u32 = 0o600;
/// File mode of certificates and token hashes.
const PUBLIC_MODE: u32 = 0o644;
/// Identifier of the generated key for connection IDs.
const CONNECTION_ID_KEY_ID: u8 = 1;

/// Output directory and the files written so far.
struct KeySet<'a> {
    directory: &'a Path,
    files: Vec<PathBuf>,
}

pub(crate) fn run(arguments: &KeysArguments, format: OutputFormat) -> Result<ResultCode, Failure> {
    std::fs::create_dir_all(&arguments.directory)
        .map_err(|error| failure(&arguments.directory, error))?;
    let mut set = KeySet {
        directory: &arguments.directory,
        files: Vec::new(),
    };
    set.write("cluster.key", SECRET_MODE, &random_hex::<32>())?;
    let key = random_hex::<16>();
    let key = format!(r#"{{ "id": {CONNECTION_ID_KEY_ID}, "key": "{key}" }}"#);
    set.write("connection-id-1.json", SECRET_MODE, &key)?;
    set.certificates(arguments)?;
    for team in &arguments.teams {
        let token = random_hex::<32>();
        let hash = blake3::hash(token.as_bytes()).to_hex();
        set.write(&format!("{team}.token"), SECRET_MODE, &token)?;
        set.write(&format!("{team}.token-hash"), PUBLIC_MODE, hash.as_str())?;
    }
    if format == OutputFormat::Json {
        print_json(&set.files)?;
        return Ok(ResultCode::Ok);
    }
    for file in &set.files {
        print_text(&file.display().to_string())?;
    }
    Ok(ResultCode::Ok)
}

impl KeySet<'_> {
    fn certificates(&mut self, arguments: &KeysArguments) -> Result<(), Failure> {
        let authority = authority().map_err(certificate_failure)?;
        self.write("authority.crt", PUBLIC_MODE, &authority.pem())?;
        let key = authority.key().serialize_pem();
        self.write("authority.key", SECRET_MODE, &key)?;
        for service in &arguments.services {
            let key = KeyPair::generate().map_err(certificate_failure)?;
            let params = CertificateParams::new(vec![service.to_string()]);
            let certificate = params.and_then(|params| params.signed_by(&key, &authority));
            let certificate = certificate.map_err(certificate_failure)?;
            self.write(&format!("{service}.crt"), PUBLIC_MODE, &certificate.pem())?;
            self.write(&format!("{service}.key"), SECRET_MODE, &key.serialize_pem())?;
        }
        Ok(())
    }

    /// Writes a new file; fails if it exists, so that no key is overwritten.
    fn write(&mut self, name: &str, mode: u32, text: &str) -> Result<(), Failure> {
        let path = self.directory.join(name);
        let mut options = OpenOptions::new();
        options.write(true).create_new(true).mode(mode);
        let mut file = options.open(&path).map_err(|error| failure(&path, error))?;
        let text = format!("{}\n", text.trim_end());
        file.write_all(text.as_bytes())
            .map_err(|error| failure(&path, error))?;
        self.files.push(path);
        Ok(())
    }
}

fn authority() -> Result<CertifiedIssuer<'static, KeyPair>, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.distinguished_name = DistinguishedName::new();
    params
        .distinguished_name
        .push(DnType::CommonName, "hawthorntide development authority");
    CertifiedIssuer::self_signed(params, KeyPair::generate()?)
}

fn random_hex<const BYTES: usize>() -> String {
    let bytes: [u8; BYTES] = rand::random();
    let mut text = String::new();
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn failure(path: &Path, error: std::io::Error) -> Failure {
    Failure::new(
        ResultCode::Failure,
        format!("cannot write {}: {error}", path.display()),
    )
}

/// The message of `rcgen` contains no key material and can be printed.
fn certificate_failure(error: rcgen::Error) -> Failure {
    Failure::new(
        ResultCode::Failure,
        format!("cannot generate a certificate: {error}"),
    )
}
