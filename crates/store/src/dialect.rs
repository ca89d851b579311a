//! Encoding of store calls, which differs between kinds of store.

use std::fmt::Debug;

use hawthorntide_types::{DurationMs, Revision, Version};

use crate::client::StoreError;
use crate::object::ObjectKey;
use crate::part::SkippedObject;
use crate::protocol::ObjectBody;

/// Objects that are listed and watched together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Collection {
    /// The load balancer's own objects.
    Own,
    /// Configuration that operators write and the load balancer reads.
    Configuration,
    /// Failure domains that operators evacuate; an object is named like its failure domain.
    Evacuations,
}

/// Consistency of a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// Contains every change acknowledged before the call.
    Current,
    /// May miss changes of the last seconds; cheaper for the store.
    MayBeStale,
}

/// HTTP method of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMethod {
    Get,
    Post,
    Put,
    Delete,
}

/// HTTP request for one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRequest {
    pub method: StoreMethod,
    /// Path and query.
    pub path: String,
    /// Revision that the object must have; sent in the `If-Match` header.
    pub if_match: Option<Revision>,
    /// JSON body.
    pub body: Option<String>,
}

impl StoreRequest {
    pub const fn get(path: String) -> Self {
        Self {
            method: StoreMethod::Get,
            path,
            if_match: None,
            body: None,
        }
    }
}

/// Objects of a collection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CollectionListing {
    /// Version from which a watch continues.
    pub position: Version,
    pub objects: Vec<ObjectBody>,
    /// The listing has all objects that can be read.
    pub is_complete: bool,
}

/// Changes of a collection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CollectionChanges {
    /// Version from which the next watch continues.
    pub position: Version,
    /// Changes in the order in which they were made.
    pub changes: Vec<ObjectBody>,
    /// Names of objects that no longer exist.
    pub removed: Vec<String>,
    /// Each change could be read.
    pub is_complete: bool,
}

/// One page of a listing, as a store answers it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListPage {
    /// Revision of the store.
    pub revision: Revision,
    pub objects: Vec<ObjectBody>,
    /// Where the listing continues.
    pub next: NextPage,
    pub skipped: Vec<SkippedObject>,
}

/// Where a listing continues after a page.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum NextPage {
    /// Nowhere: this is the last page.
    #[default]
    End,
    /// After this cursor.
    After(String),
    /// There are further pages, but no object of this page has a name that can be read.
    Unknown,
}

/// Answer of a store to one watch call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchPage {
    /// Revision from which the next watch continues.
    pub revision: Revision,
    /// Changes in the order in which they were made.
    pub changes: Vec<ObjectBody>,
    /// Names of objects that no longer exist.
    pub removed: Vec<String>,
    pub skipped: Vec<SkippedObject>,
}

/// Encodes the calls of one kind of store and decodes its answers.
///
/// The `*_answer` methods get the body of a successful answer, except for `conflict_answer`. HTTP
/// statuses mean the same in all stores: 404 for an object that does not exist, 409 for a condition
/// that does not hold, 410 for history that is no longer kept, and 429 and 503 for calls that were
/// not executed.
///
/// An object that cannot be read is skipped and named in `skipped`; it does not make an answer
/// malformed.
pub trait StoreDialect: Debug + Send + Sync {
    /// Name of the header in which every answer reports the era of the store.
    fn era_header(&self) -> &'static str;

    /// Request that lists a collection, starting after the cursor `after`.
    fn list(
        &self,
        collection: Collection,
        after: Option<&str>,
        freshness: Freshness,
    ) -> StoreRequest;

    /// Request that waits up to `wait` for changes of a collection after the revision `from`.
    fn watch(&self, collection: Collection, from: Revision, wait: DurationMs) -> StoreRequest;

    fn read(&self, key: &ObjectKey) -> StoreRequest;

    /// Request that writes an object if it has the revision `expected`.
    fn write(&self, key: &ObjectKey, value: String, expected: Revision) -> StoreRequest;

    /// Request that removes an object, without a tombstone, if it has the revision `expected`. `None`
    /// if the store cannot do this.
    fn remove(&self, key: &ObjectKey, expected: Revision) -> Option<StoreRequest>;

    fn list_answer(&self, collection: Collection, body: &[u8]) -> Result<ListPage, StoreError>;

    fn watch_answer(&self, collection: Collection, body: &[u8]) -> Result<WatchPage, StoreError>;

    fn read_answer(&self, body: &[u8]) -> Result<ObjectBody, StoreError>;

    /// Returns the new revision from the answer to a write that took effect.
    fn write_answer(&self, body: &[u8]) -> Result<Revision, StoreError>;

    /// Returns the current object from the answer to a write whose condition does not hold; `None`
    /// if the object does not exist.
    fn conflict_answer(&self, body: &[u8]) -> Result<Option<ObjectBody>, StoreError>;
}
