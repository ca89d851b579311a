//! Reading of answers part by part.
//!
//! Other programs write to the store, too. One object that cannot be read must not hide the others, so
//! each is decoded on its own, and what is skipped is reported.

use std::borrow::Cow;
use std::sync::{Mutex, PoisonError};

use serde::Deserialize;
use serde_json::value::RawValue;

/// Skipped objects that are logged by a process; further ones are only counted.
const MAX_LOGGED_OBJECTS: usize = 256;

/// Characters of a name or reason that are logged.
const MAX_LOGGED_CHARS: usize = 120;

/// Text of an answer whose parts are decoded one by one.
#[derive(Clone, Debug)]
pub struct AnswerText<'a> {
    /// Bytes that are not UTF-8 are replaced.
    text: Cow<'a, str>,
}

/// Object that cannot be read.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SkippedObject {
    /// Empty if the name cannot be read either.
    pub name: String,
    pub reason: String,
}

/// Logs each skipped object once, and counts all of them.
#[derive(Debug, Default)]
pub(crate) struct SkippedObjects {
    /// Sorted.
    logged: Mutex<Vec<SkippedObject>>,
}

impl<'a> AnswerText<'a> {
    pub fn new(body: &'a [u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        Self { text }
    }

    /// Decodes the answer, whose parts are `RawValue`s.
    pub fn parse<'b, Body: Deserialize<'b>>(&'b self) -> serde_json::Result<Body> {
        serde_json::from_str(&self.text)
    }

    /// Decodes a part of the answer. A part that contains bytes that are not UTF-8 cannot be read.
    pub fn parse_part<'b, Part: Deserialize<'b>>(
        &self,
        part: &'b RawValue,
    ) -> serde_json::Result<Part> {
        let has_replacements = matches!(self.text, Cow::Owned(_));
        if has_replacements && part.get().contains(char::REPLACEMENT_CHARACTER) {
            return Err(serde::de::Error::custom("bytes that are not UTF-8"));
        }
        serde_json::from_str(part.get())
    }
}

impl SkippedObject {
    pub fn new(name: impl Into<String>, reason: impl std::fmt::Display) -> Self {
        Self {
            name: name.into(),
            reason: reason.to_string(),
        }
    }
}

impl SkippedObjects {
    pub(crate) fn report(&self, skipped: impl IntoIterator<Item = SkippedObject>) {
        for object in skipped {
            metrics::counter!("hawthorntide_store_skipped_objects_total").increment(1);
            self.log_once(SkippedObject {
                name: shorten(&object.name),
                reason: shorten(&object.reason),
            });
        }
    }

    fn log_once(&self, object: SkippedObject) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        let Err(index) = logged.binary_search(&object) else {
            return;
        };
        if logged.len() >= MAX_LOGGED_OBJECTS {
            return;
        }
        log::warn!(
            "store: Object {:?} cannot be read and is ignored: {}.",
            object.name,
            object.reason
        );
        logged.insert(index, object);
        if logged.len() == MAX_LOGGED_OBJECTS {
            log::warn!("store: Further objects that cannot be read are not logged.");
        }
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
