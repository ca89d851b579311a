//! Client of the platform store.

mod budget;
mod client;
mod cursor;
mod dialect;
mod era;
mod object;
mod part;
mod protocol;
mod write;

pub use client::{ObjectStore, StoreError, StoreOptions};
pub use cursor::{WatchCursor, WatchStep};
pub use dialect::{
    Collection, CollectionChanges, CollectionListing, Freshness, ListPage, NextPage, StoreDialect,
    StoreMethod, StoreRequest, WatchPage,
};
pub use era::EraReceiver;
pub use object::{
    Listing, MAX_VALUE_BYTES, ObjectKey, ObjectKind, StoredObject, WatchResult, WriteId,
};
pub use part::{AnswerText, SkippedObject};
pub use protocol::{
    ConflictBody, ERA_HEADER, ListBody, ObjectApi, ObjectBody, PutBody, REVISION_GONE_STATUS,
    VersionBody, WatchBody, list_path, object_path, watch_path,
};
pub use write::{Removal, WriteOutcome};
