//! Objects of the platform store as the system uses them.

use std::str::FromStr;

use displaydoc::Display;
use hawthorntide_types::{ParseValueError, Version};
use serde::{Deserialize, Serialize};

use crate::protocol::{ObjectBody, open};

/// Largest value that the platform store accepts.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Longest name of an object, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Digits of a write id; 128 random bits never repeat in practice.
const WRITE_ID_DIGITS: usize = 32;

/// Kind of an object.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// profile
    Profile,
    /// service
    Service,
    /// watcher-slot
    WatcherSlot,
    /// directory
    Directory,
    /// flow-record
    FlowRecord,
}

impl ObjectKind {
    /// All kinds in ascending order.
    pub const ALL: [Self; 5] = [
        Self::Profile,
        Self::Service,
        Self::WatcherSlot,
        Self::Directory,
        Self::FlowRecord,
    ];
}

impl FromStr for ObjectKind {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let kind = Self::ALL.into_iter().find(|kind| kind.to_string() == text);
        kind.ok_or_else(|| problem(text, "kind of object"))
    }
}

/// {kind}/{name}
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name within the kind.
    pub name: String,
}

impl ObjectKey {
    /// Names an object; the name may use `a-z`, `0-9`, `-`, `_` and `.`.
    pub fn new(kind: ObjectKind, name: impl AsRef<str>) -> Result<Self, ParseValueError> {
        let name = name.as_ref();
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            return Err(problem(name, "name of an object"));
        }
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

/// Identifies one attempt to change an object, so that a lost response can be resolved.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct WriteId(String);

impl WriteId {
    /// Makes a random write id.
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()))
    }

    /// Returns the write id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for WriteId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for WriteId {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != WRITE_ID_DIGITS || !text.bytes().all(is_digit) {
            return Err(problem(text, "write id (32 hexadecimal digits)"));
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for WriteId {
    type Error = ParseValueError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<WriteId> for String {
    fn from(id: WriteId) -> Self {
        id.0
    }
}

/// One version of an object; a deleted object stays as a tombstone with a version of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Kind and name.
    pub key: ObjectKey,
    /// Version of this state of the object.
    pub version: Version,
    /// Write that made this version; absent when another program wrote the object.
    pub write_id: Option<WriteId>,
    /// Whether the object was deleted.
    pub is_deleted: bool,
    /// Value; `null` for a tombstone.
    pub value: serde_json::Value,
}

impl StoredObject {
    /// Reads an object as it lies in the store; none if another program wrote it.
    pub fn read(body: ObjectBody) -> Option<Self> {
        open(body).ok()
    }
}

/// All objects at one revision of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Revision from which a watch continues.
    pub revision: Version,
    /// Objects and tombstones by key.
    pub objects: Vec<StoredObject>,
}

/// Changes after a revision, in the order in which they were made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Watched {
    /// Revision from which the next watch continues.
    pub revision: Version,
    /// Changes; empty when nothing changed during the wait.
    pub objects: Vec<StoredObject>,
}

fn problem(text: &str, expected: &str) -> ParseValueError {
    ParseValueError {
        text: text.chars().take(80).collect(),
        expected: expected.to_owned(),
    }
}
