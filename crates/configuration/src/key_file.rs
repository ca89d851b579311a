//! Reads key files: the cluster key, the keys of connection identifiers, certificates and private keys.
//!
//! A cluster key file holds 64 hexadecimal digits. A connection identifier key file holds an object
//! with `id` (0 to 15) and `key` (32 hexadecimal digits). Certificates and private keys are PEM.
//! No problem or log line contains key material.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use hawthorntide_routing::{ConnectionIdKey, KEY_BYTES, KeyRing};
use hawthorntide_types::ResultCode;
use hawthorntide_wire::ClusterKey;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use serde::Deserialize;

use crate::problem::SettingsProblem;
use crate::section::Section;

const MAX_KEY_FILE_BYTES: u64 = 256 * 1024;
const GROUP_AND_OTHERS_MODE: u32 = 0o077;
/// One key, and a second one while keys are rotated.
const MAX_RING_KEYS: usize = 2;
const CLUSTER_KEY_BYTES: usize = 32;

/// Paths of the files with the keys that all processes of a deployment share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyFiles {
    pub cluster_key_file: PathBuf,
    /// One or two files; new connection identifiers are encoded with the key of the first.
    pub connection_id_key_files: Vec<PathBuf>,
}

/// Keys that all processes of a deployment share.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Authenticates control messages.
    pub cluster: ClusterKey,
    /// Keys of connection identifiers: new ones use the first, both are accepted.
    pub ring: KeyRing,
}

/// Paths of the certificate that an agent presents to callers and of its private key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsFiles {
    /// Certificate chain in PEM, leaf first.
    pub certificate_file: PathBuf,
    pub private_key_file: PathBuf,
}

/// Certificate chain with its private key.
pub struct TlsMaterial {
    /// Leaf first.
    pub certificates: Vec<CertificateDer<'static>>,
    /// Private key of the leaf.
    pub key: PrivateKeyDer<'static>,
}

impl std::fmt::Debug for TlsMaterial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TlsMaterial")
            .field("certificates", &self.certificates.len())
            .finish_non_exhaustive()
    }
}

/// JSON content of a connection identifier key file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConnectionIdKeyFile {
    id: u8,
    key: String,
}

impl KeyFiles {
    pub(crate) fn read(root: &Section<'_>, file: &Path) -> Option<Self> {
        let cluster_key_file = root.text::<PathBuf>("cluster_key_file", "the path of a file");
        let connection_id_key_files: Vec<PathBuf> = root.text_list(
            "connection_id_key_files",
            1..=MAX_RING_KEYS,
            "the path of a file",
        );
        Some(Self {
            cluster_key_file: resolve_path(file, &cluster_key_file?),
            connection_id_key_files: connection_id_key_files
                .iter()
                .map(|path| resolve_path(file, path))
                .collect(),
        })
    }

    /// Reads the keys; called at start and again on each reload, so that keys can be rotated.
    pub fn load(&self) -> Result<Keys, Vec<SettingsProblem>> {
        let mut problems = Vec::new();
        let cluster = load_cluster_key(&self.cluster_key_file);
        let cluster = ok_or_push(cluster, &mut problems);
        let mut keys = Vec::new();
        for path in &self.connection_id_key_files {
            keys.extend(ok_or_push(load_connection_id_key(path), &mut problems));
        }
        let ring = self.ring(keys, &mut problems);
        match (cluster, ring) {
            (Some(cluster), Some(ring)) if problems.is_empty() => Ok(Keys { cluster, ring }),
            _ => Err(problems),
        }
    }

    fn ring(
        &self,
        keys: Vec<ConnectionIdKey>,
        problems: &mut Vec<SettingsProblem>,
    ) -> Option<KeyRing> {
        let mut keys = keys.into_iter();
        let ring = KeyRing::new(keys.next()?, keys.next());
        let file = self.connection_id_key_files.last()?;
        let ring = ring.map_err(|error| invalid(file, "id", error.to_string()));
        ok_or_push(ring, problems)
    }
}

impl TlsFiles {
    pub(crate) fn read(root: &Section<'_>, file: &Path) -> Option<Self> {
        let certificate_file = root.text::<PathBuf>("certificate_file", "the path of a file");
        let private_key_file = root.text::<PathBuf>("private_key_file", "the path of a file");
        Some(Self {
            certificate_file: resolve_path(file, &certificate_file?),
            private_key_file: resolve_path(file, &private_key_file?),
        })
    }

    /// Reads the certificate and key; called at start and again on each reload, so that they can be
    /// renewed.
    pub fn load(&self) -> Result<TlsMaterial, Vec<SettingsProblem>> {
        let mut problems = Vec::new();
        let certificates = ok_or_push(load_certificates(&self.certificate_file), &mut problems);
        let key = ok_or_push(load_private_key(&self.private_key_file), &mut problems);
        match (certificates, key) {
            (Some(certificates), Some(key)) => Ok(TlsMaterial { certificates, key }),
            _ => Err(problems),
        }
    }
}

fn load_cluster_key(path: &Path) -> Result<ClusterKey, SettingsProblem> {
    let text = read_secret(path)?;
    let key = decode_hex::<CLUSTER_KEY_BYTES>(text.trim());
    let key = key.ok_or_else(|| invalid(path, "key", "64 hexadecimal digits are accepted"))?;
    Ok(ClusterKey::new(key))
}

fn load_connection_id_key(path: &Path) -> Result<ConnectionIdKey, SettingsProblem> {
    let text = read_secret(path)?;
    // The parser's message may quote the key, so it is dropped.
    let file: ConnectionIdKeyFile = serde_json::from_str(&text).map_err(|_| {
        invalid(
            path,
            "key",
            "an object with id (0 to 15) and key (32 hexadecimal digits) is accepted",
        )
    })?;
    let key = decode_hex::<KEY_BYTES>(&file.key);
    let key = key.ok_or_else(|| invalid(path, "key", "32 hexadecimal digits are accepted"))?;
    Ok(ConnectionIdKey::new(file.id, key))
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, SettingsProblem> {
    let text = read(path)?;
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    match certificates {
        Ok(certificates) if !certificates.is_empty() => Ok(certificates),
        _ => Err(invalid(
            path,
            "certificate",
            "one or more certificates in PEM are accepted",
        )),
    }
}

fn load_private_key(path: &Path) -> Result<PrivateKeyDer<'static>, SettingsProblem> {
    let text = read_secret(path)?;
    PrivateKeyDer::from_pem_slice(text.as_bytes())
        .map_err(|_| invalid(path, "private_key", "one private key in PEM is accepted"))
}

/// Reads a file, and refuses it when its group or other users have any permission on it.
fn read_secret(path: &Path) -> Result<String, SettingsProblem> {
    let metadata = std::fs::metadata(path).map_err(|error| unreadable(path, &error))?;
    let mode = metadata.permissions().mode();
    if mode & GROUP_AND_OTHERS_MODE != 0 {
        return Err(SettingsProblem {
            file: path.display().to_string(),
            line: 1,
            field: "mode".to_owned(),
            accepted: format!("mode 0600 is required, the file has {:04o}", mode & 0o7777),
            code: ResultCode::KeyFileExposed,
        });
    }
    read(path)
}

fn read(path: &Path) -> Result<String, SettingsProblem> {
    let metadata = std::fs::metadata(path).map_err(|error| unreadable(path, &error))?;
    if !metadata.is_file() || metadata.len() > MAX_KEY_FILE_BYTES {
        let accepted = format!("a file of at most {MAX_KEY_FILE_BYTES} bytes is accepted");
        return Err(invalid(path, "file", accepted));
    }
    std::fs::read_to_string(path).map_err(|error| unreadable(path, &error))
}

fn unreadable(path: &Path, error: &std::io::Error) -> SettingsProblem {
    SettingsProblem::unreadable(&path.display().to_string(), 1, error)
}

fn invalid(path: &Path, field: &str, accepted: impl Into<String>) -> SettingsProblem {
    SettingsProblem {
        file: path.display().to_string(),
        line: 1,
        field: field.to_owned(),
        accepted: accepted.into(),
        code: ResultCode::SettingsInvalid,
    }
}

/// Returns the value, or adds the error to `problems`.
fn ok_or_push<Value>(
    result: Result<Value, SettingsProblem>,
    problems: &mut Vec<SettingsProblem>,
) -> Option<Value> {
    match result {
        Ok(value) => Some(value),
        Err(problem) => {
            problems.push(problem);
            None
        }
    }
}

/// Resolves `path` against the directory of the settings file `file`.
pub(crate) fn resolve_path(file: &Path, path: &Path) -> PathBuf {
    match file.parent() {
        Some(directory) => directory.join(path),
        None => path.to_owned(),
    }
}

fn decode_hex<const BYTES: usize>(text: &str) -> Option<[u8; BYTES]> {
    if text.len() != 2 * BYTES || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; BYTES];
    for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let digits = std::str::from_utf8(digits).ok()?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(bytes)
}
