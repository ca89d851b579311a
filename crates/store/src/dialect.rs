//! How calls of the store look on the wire.

use std::fmt::Debug;

use hawthorntide_types::{DurationMs, Version};

use crate::client::StoreError;
use crate::object::ObjectKey;
use crate::protocol::ObjectBody;

/// Objects that are listed and watched together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Collection {
    /// Objects of the system itself.
    Own,
    /// What operators write for the system to read.
    Configuration,
}

/// How recent a listing is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It has every change that was acknowledged before.
    Current,
    /// It may miss the last seconds; costs less.
    MayBeStale,
}

/// Method of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMethod {
    /// Reads.
    Get,
    /// Creates.
    Post,
    /// Replaces.
    Put,
    /// Removes.
    Delete,
}

/// One call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRequest {
    /// Method.
    pub method: StoreMethod,
    /// Path with its query.
    pub path: String,
    /// Version that the object must have, for a header.
    pub if_match: Option<Version>,
    /// Body in JSON.
    pub body: Option<String>,
}

impl StoreRequest {
    /// Makes a call that reads `path`.
    pub const fn get(path: String) -> Self {
        Self {
            method: StoreMethod::Get,
            path,
            if_match: None,
            body: None,
        }
    }
}

/// Part of a listing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListPage {
    /// Revision of the store.
    pub revision: Version,
    /// Objects.
    pub objects: Vec<ObjectBody>,
    /// Where the next page continues, if there is one.
    pub next: Option<String>,
}

/// Changes that a watch returns.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchPage {
    /// Revision from which the next watch continues.
    pub revision: Version,
    /// Changes in the order in which they were made.
    pub changes: Vec<ObjectBody>,
    /// Names of objects that do not exist any more.
    pub removed: Vec<String>,
}

/// Form of the calls of one kind of store.
///
/// Bodies are those of successful answers; statuses mean the same in all of them: 404 for an object
/// that does not exist, 409 for a condition that does not hold, 410 for history that is gone, 429
/// and 503 for calls that were not carried out.
pub trait StoreDialect: Debug + Send + Sync {
    /// Returns the call that lists a collection from behind `after`.
    fn list(
        &self,
        collection: Collection,
        after: Option<&str>,
        freshness: Freshness,
    ) -> StoreRequest;

    /// Returns the call that waits for changes of a collection.
    fn watch(&self, collection: Collection, from: Version, wait: DurationMs) -> StoreRequest;

    /// Returns the call that reads an object.
    fn read(&self, key: &ObjectKey) -> StoreRequest;

    /// Returns the call that writes an object that has the version `expected`.
    fn write(&self, key: &ObjectKey, value: String, expected: Version) -> StoreRequest;

    /// Returns the call that removes an object that has the version `expected`, if the store can.
    fn remove(&self, key: &ObjectKey, expected: Version) -> Option<StoreRequest>;

    /// Reads the answer to `list`.
    fn list_answer(&self, collection: Collection, body: &[u8]) -> Result<ListPage, StoreError>;

    /// Reads the answer to `watch`.
    fn watch_answer(&self, collection: Collection, body: &[u8]) -> Result<WatchPage, StoreError>;

    /// Reads the answer to `read`.
    fn read_answer(&self, body: &[u8]) -> Result<ObjectBody, StoreError>;

    /// Reads the answer to a write that took effect.
    fn write_answer(&self, body: &[u8]) -> Result<Version, StoreError>;

    /// Reads the answer to a write whose condition does not hold; the object may be absent.
    fn conflict_answer(&self, body: &[u8]) -> Result<Option<ObjectBody>, StoreError>;
}
