//! Paths and bodies of the platform's object API over HTTP.
//!
//! `GET /v1/objects` lists all objects, and `GET /v1/objects/{kind}/{name}` reads one. `PUT` on the
//! same path with `If-Match: {version}` writes it; version 0 means that the object must not exist.
//! `GET /v1/watch?from={revision}&wait_ms={wait}` waits for changes after a revision.
//!
//! The store may come back from a copy that is some seconds old. It then has lost the changes since, and
//! gives out their revisions again. The header `Store-Era` of every answer rises by one each time.

use hawthorntide_types::{DurationMs, ParseValueError, Revision, StoreEra, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::client::StoreError;
use crate::dialect::{
    Collection, Freshness, ListPage, NextPage, StoreDialect, StoreMethod, StoreRequest, WatchPage,
};
use crate::object::{ObjectKey, ObjectKind, StoredObject, WriteId};
use crate::part::{AnswerText, SkippedObject};

/// HTTP status of a watch from a revision that the store's history no longer covers.
pub const REVISION_GONE_STATUS: u16 = 410;

/// Header in which every answer reports the era of the store.
pub const ERA_HEADER: &str = "store-era";

/// Object as stored, with its value not yet decoded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectBody {
    pub kind: String,
    pub name: String,
    #[serde(rename = "version")]
    pub revision: Revision,
    /// Opaque to the store.
    pub value: String,
}

/// Answer to a listing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListBody {
    pub revision: Revision,
    /// Sorted by kind and name.
    pub objects: Vec<ObjectBody>,
}

/// Answer to a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchBody {
    /// Revision from which the next watch continues.
    pub revision: Revision,
    /// Changes in the order in which they were made.
    pub events: Vec<ObjectBody>,
}

/// `ListBody` whose objects are not decoded yet.
#[derive(Debug, Deserialize)]
struct ListParts<'a> {
    revision: Revision,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

/// `WatchBody` whose objects are not decoded yet.
#[derive(Debug, Deserialize)]
struct WatchParts<'a> {
    revision: Revision,
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct NamedBody {
    kind: String,
    name: String,
}

/// Body of a write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PutBody {
    pub value: String,
}

/// Answer to a write that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionBody {
    /// New revision of the object.
    #[serde(rename = "version")]
    pub revision: Revision,
}

/// Answer to a write whose condition does not hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConflictBody {
    /// Current object, or `None` if it does not exist.
    pub current: Option<ObjectBody>,
}

/// Stored form of a value, with the id and the era of the write that created it. An object keeps the
/// era when the store comes back from a copy, so that era and revision identify its content.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Envelope {
    write_id: WriteId,
    /// Absent in objects of earlier builds.
    #[serde(default)]
    era: StoreEra,
    #[serde(default)]
    deleted: bool,
    value: serde_json::Value,
}

/// Dialect of the object API that this module describes. The API holds only the load balancer's own
/// objects, so it ignores the collection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObjectApi;

impl StoreDialect for ObjectApi {
    fn era_header(&self) -> &'static str {
        ERA_HEADER
    }

    fn list(&self, _: Collection, _: Option<&str>, _: Freshness) -> StoreRequest {
        StoreRequest::get(list_path().to_owned())
    }

    fn watch(&self, _: Collection, from: Revision, wait: DurationMs) -> StoreRequest {
        StoreRequest::get(watch_path(from, wait))
    }

    fn read(&self, key: &ObjectKey) -> StoreRequest {
        StoreRequest::get(object_path(key))
    }

    fn write(&self, key: &ObjectKey, value: String, expected: Revision) -> StoreRequest {
        StoreRequest {
            method: StoreMethod::Put,
            path: object_path(key),
            if_match: Some(expected),
            body: serde_json::to_string(&PutBody { value }).ok(),
        }
    }

    /// Not supported: every deletion leaves a tombstone, so that watches report it.
    fn remove(&self, _: &ObjectKey, _: Revision) -> Option<StoreRequest> {
        None
    }

    fn list_answer(&self, _: Collection, body: &[u8]) -> Result<ListPage, StoreError> {
        let text = AnswerText::new(body);
        let body: ListParts<'_> = text.parse().map_err(|_| StoreError::Malformed)?;
        let (objects, skipped) = read_objects(&text, body.objects);
        Ok(ListPage {
            revision: body.revision,
            objects,
            next: NextPage::End,
            skipped,
        })
    }

    fn watch_answer(&self, _: Collection, body: &[u8]) -> Result<WatchPage, StoreError> {
        let text = AnswerText::new(body);
        let body: WatchParts<'_> = text.parse().map_err(|_| StoreError::Malformed)?;
        let (changes, skipped) = read_objects(&text, body.events);
        Ok(WatchPage {
            revision: body.revision,
            changes,
            removed: Vec::new(),
            skipped,
        })
    }

    fn read_answer(&self, body: &[u8]) -> Result<ObjectBody, StoreError> {
        parse(body)
    }

    fn write_answer(&self, body: &[u8]) -> Result<Revision, StoreError> {
        let body: VersionBody = parse(body)?;
        Ok(body.revision)
    }

    fn conflict_answer(&self, body: &[u8]) -> Result<Option<ObjectBody>, StoreError> {
        let body: ConflictBody = parse(body)?;
        Ok(body.current)
    }
}

/// Decodes the objects that can be read.
fn read_objects(
    text: &AnswerText<'_>,
    parts: Vec<&RawValue>,
) -> (Vec<ObjectBody>, Vec<SkippedObject>) {
    let mut objects = Vec::with_capacity(parts.len());
    let mut skipped = Vec::new();
    for part in parts {
        match text.parse_part(part) {
            Ok(object) => objects.push(object),
            Err(error) => {
                let named = serde_json::from_str::<NamedBody>(part.get());
                let name =
                    named.map_or_else(|_| String::new(), |it| format!("{}/{}", it.kind, it.name));
                skipped.push(SkippedObject::new(name, error));
            }
        }
    }
    (objects, skipped)
}

pub(crate) fn parse<Body: DeserializeOwned>(body: &[u8]) -> Result<Body, StoreError> {
    serde_json::from_slice(body).map_err(|_| StoreError::Malformed)
}

pub const fn list_path() -> &'static str {
    "/v1/objects"
}

pub fn object_path(key: &ObjectKey) -> String {
    format!("/v1/objects/{}/{}", key.kind, key.name)
}

pub fn watch_path(from: Revision, wait: DurationMs) -> String {
    format!("/v1/watch?from={from}&wait_ms={wait}")
}

/// Encodes `value` in an envelope; `None` makes a tombstone.
pub(crate) fn encode_value(
    value: Option<&serde_json::Value>,
    write_id: &WriteId,
    era: StoreEra,
) -> String {
    let envelope = Envelope {
        write_id: write_id.clone(),
        era,
        deleted: value.is_none(),
        value: value.cloned().unwrap_or_default(),
    };
    serde_json::to_string(&envelope).unwrap_or_default()
}

/// Decodes an object. A value without an envelope, which another program wrote, becomes a string
/// without a write id.
pub(crate) fn decode_object(body: ObjectBody) -> Result<StoredObject, ParseValueError> {
    let kind: ObjectKind = body.kind.parse()?;
    let key = ObjectKey::new(kind, &body.name)?;
    let object = match serde_json::from_str::<Envelope>(&body.value) {
        Ok(envelope) => StoredObject {
            key,
            version: Version::in_era(envelope.era, body.revision),
            write_id: Some(envelope.write_id),
            is_deleted: envelope.deleted,
            value: envelope.value,
        },
        Err(_) => StoredObject {
            key,
            version: Version::in_era(StoreEra::default(), body.revision),
            write_id: None,
            is_deleted: false,
            value: serde_json::Value::String(body.value),
        },
    };
    Ok(object)
}
