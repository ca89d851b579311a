//! Objects that the load balancer keeps in the platform store.

use std::str::FromStr;

use displaydoc::Display;
use hawthorntide_types::{ParseValueError, Version};
use serde::{Deserialize, Serialize};

use crate::protocol::{ObjectBody, decode_object};

/// Largest value that the platform store accepts.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_NAME_BYTES: usize = 64;
/// 128 random bits, so that collisions are negligible.
const WRITE_ID_DIGITS: usize = 32;

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
    /// In ascending order.
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
        kind.ok_or_else(|| parse_error(text, "kind of object"))
    }
}

/// {kind}/{name}
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObjectKey {
    pub kind: ObjectKind,
    /// Unique within the kind.
    pub name: String,
}

impl ObjectKey {
    /// `name` must have 1 to 64 characters out of `a-z`, `0-9`, `-`, `_` and `.`.
    pub fn new(kind: ObjectKind, name: impl AsRef<str>) -> Result<Self, ParseValueError> {
        let name = name.as_ref();
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            return Err(parse_error(name, "name of an object"));
        }
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

/// Identifies one write, so that its outcome can be determined after a lost response.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct WriteId(String);

impl WriteId {
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()))
    }

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
            return Err(parse_error(text, "write id (32 hexadecimal digits)"));
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

/// One version of an object. A deletion creates a version too, the tombstone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    pub key: ObjectKey,
    pub version: Version,
    /// Write that created this version; `None` if another program wrote the object.
    pub write_id: Option<WriteId>,
    /// Marks a tombstone.
    pub is_deleted: bool,
    /// `null` for a tombstone.
    pub value: serde_json::Value,
}

impl StoredObject {
    /// Decodes an object; `None` if its kind is unknown or its name is not valid, as may be the
    /// case for objects of other programs.
    pub fn read(body: ObjectBody) -> Option<Self> {
        decode_object(body).ok()
    }
}

/// All objects of the load balancer at one revision of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Version from which to watch for later changes.
    pub position: Version,
    /// Includes tombstones.
    pub objects: Vec<StoredObject>,
}

/// Answer to a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchResult {
    /// Version from which the next watch continues.
    pub position: Version,
    /// Changed objects in the order of the changes; empty if nothing changed during the wait.
    pub objects: Vec<StoredObject>,
}

fn parse_error(text: &str, expected: &str) -> ParseValueError {
    ParseValueError {
        text: text.chars().take(80).collect(),
        expected: expected.to_owned(),
    }
}
