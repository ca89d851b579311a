//! Calls of the platform store with deadlines and retries.

mod removal;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use hawthorntide_types::{DurationMs, Version};
use reqwest::header::CONTENT_TYPE;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};

use crate::budget::RetryBudget;
use crate::dialect::{
    Collection, Freshness, ListPage, StoreDialect, StoreMethod, StoreRequest, WatchPage,
};
use crate::object::{Listing, MAX_VALUE_BYTES, ObjectKey, StoredObject, Watched, WriteId};
use crate::protocol::{ObjectApi, ObjectBody, REVISION_GONE_STATUS, open, seal};
use crate::write::WriteOutcome;

/// Time that a watch may take beyond its wait.
const WATCH_MARGIN_MS: u64 = 1000;

/// Deadlines of the calls of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreOptions {
    /// Longest time of one call with all its retries and its reading back.
    pub deadline_ms: DurationMs,
    /// Longest time of one attempt.
    pub attempt_ms: DurationMs,
    /// Seed of the jitter between retries.
    pub seed: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            deadline_ms: DurationMs(2500),
            attempt_ms: DurationMs(800),
            seed: rand::random(),
        }
    }
}

/// Failure of a read or a watch.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StoreError {
    /// the store did not answer in time
    Unavailable,
    /// the store refused the call because of its call limit
    Limited,
    /// the revision is older than the history of the store; list again
    RevisionGone,
    /// the answer of the store cannot be read
    Malformed,
}

impl std::error::Error for StoreError {}

/// Client of the platform store.
#[derive(Debug)]
pub struct ObjectStore {
    client: Client,
    base: String,
    dialect: Arc<dyn StoreDialect>,
    options: StoreOptions,
    budget: Mutex<RetryBudget>,
}

/// Failure of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Attempt {
    /// The store certainly did nothing.
    Refused(StoreError),
    /// The store may have done it.
    Lost,
    /// Trying again gives the same.
    Final(StoreError),
}

impl Attempt {
    const fn error(self) -> StoreError {
        match self {
            Self::Refused(error) | Self::Final(error) => error,
            Self::Lost => StoreError::Unavailable,
        }
    }
}

/// Answer to one conditional write.
enum PutAnswer {
    Accepted(Version),
    Conflict(Option<StoredObject>),
}

impl ObjectStore {
    /// Prepares calls of the store at `address`; nothing is sent yet.
    pub fn open(address: SocketAddr, options: StoreOptions) -> Result<Self, StoreError> {
        Self::open_with(address, options, Arc::new(ObjectApi))
    }

    /// Prepares calls of a store that speaks `dialect`.
    pub fn open_with(
        address: SocketAddr,
        options: StoreOptions,
        dialect: Arc<dyn StoreDialect>,
    ) -> Result<Self, StoreError> {
        let builder = Client::builder().no_proxy().tcp_nodelay(true);
        let client = builder.build().map_err(|_| StoreError::Unavailable)?;
        Ok(Self {
            client,
            base: format!("http://{address}"),
            dialect,
            options,
            budget: Mutex::new(RetryBudget::new(options.seed)),
        })
    }

    /// Reads an object; a deleted one is returned as a tombstone.
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        self.get_until(key, self.deadline()).await
    }

    /// Reads all objects and tombstones of the system.
    pub async fn list(&self) -> Result<Listing, StoreError> {
        let page = self
            .list_collection(Collection::Own, Freshness::Current)
            .await?;
        Ok(Listing {
            revision: page.revision,
            objects: open_known(page.objects),
        })
    }

    /// Reads all objects of a collection as they lie in the store.
    ///
    /// A watch continues from the revision of the first page, so that it misses no change that was
    /// made between two pages.
    pub async fn list_collection(
        &self,
        collection: Collection,
        freshness: Freshness,
    ) -> Result<ListPage, StoreError> {
        let deadline = self.deadline();
        let mut listing = self
            .list_page(collection, None, freshness, deadline)
            .await?;
        while let Some(after) = listing.next.take() {
            let page = self
                .list_page(collection, Some(&after), freshness, deadline)
                .await?;
            listing.objects.extend(page.objects);
            listing.next = page.next;
        }
        Ok(listing)
    }

    async fn list_page(
        &self,
        collection: Collection,
        after: Option<&str>,
        freshness: Freshness,
        deadline: Instant,
    ) -> Result<ListPage, StoreError> {
        let call = self.dialect.list(collection, after, freshness);
        let response = self.read(|| self.request(&call), deadline).await?;
        let body = body_of(response, deadline).await?;
        self.dialect.list_answer(collection, &body)
    }

    /// Waits up to `wait` for changes after `from`; one attempt, since the caller watches again anyway.
    pub async fn watch(&self, from: Version, wait: DurationMs) -> Result<Watched, StoreError> {
        let page = self.watch_collection(Collection::Own, from, wait).await?;
        Ok(Watched {
            revision: page.revision,
            objects: open_known(page.changes),
        })
    }

    /// Like [`watch`](Self::watch), for the objects of a collection as they lie in the store.
    pub async fn watch_collection(
        &self,
        collection: Collection,
        from: Version,
        wait: DurationMs,
    ) -> Result<WatchPage, StoreError> {
        let call = self.dialect.watch(collection, from, wait);
        let margin = Duration::from_millis(wait.get().saturating_add(WATCH_MARGIN_MS));
        let deadline = Instant::now() + margin;
        let response = send(self.request(&call), deadline).await;
        let body = body_of(response.map_err(Attempt::error)?, deadline).await?;
        self.dialect.watch_answer(collection, &body)
    }

    /// Writes `value` if the object still has the version `expected`; `Version::NONE` creates it.
    pub async fn put_if(
        &self,
        key: &ObjectKey,
        value: &serde_json::Value,
        expected: Version,
    ) -> WriteOutcome {
        self.write(key, Some(value), expected, WriteId::random())
            .await
    }

    /// Like [`put_if`](Self::put_if), with a write id that the caller chose and can ask for later.
    pub async fn put_if_with_id(
        &self,
        key: &ObjectKey,
        value: &serde_json::Value,
        expected: Version,
        write_id: WriteId,
    ) -> WriteOutcome {
        self.write(key, Some(value), expected, write_id).await
    }

    /// Deletes the object if it still has the version `expected`; a tombstone stays.
    pub async fn delete_if(&self, key: &ObjectKey, expected: Version) -> WriteOutcome {
        self.write(key, None, expected, WriteId::random()).await
    }

    /// Like [`delete_if`](Self::delete_if), with a write id that the caller chose and can ask for later.
    pub async fn delete_if_with_id(
        &self,
        key: &ObjectKey,
        expected: Version,
        write_id: WriteId,
    ) -> WriteOutcome {
        self.write(key, None, expected, write_id).await
    }

    /// Asks again for the outcome of a write on top of `expected` that stayed open.
    ///
    /// An object that still has the version `expected` leaves the write open: the store may get it yet.
    pub async fn outcome_of(
        &self,
        key: &ObjectKey,
        expected: Version,
        write_id: WriteId,
    ) -> WriteOutcome {
        let deadline = self.deadline();
        let Ok(current) = self.get_until(key, deadline).await else {
            return WriteOutcome::Open { write_id };
        };
        if version_of(current.as_ref()) == expected {
            return WriteOutcome::Open { write_id };
        }
        self.resolve(key, expected, current, write_id, deadline)
            .await
    }

    async fn write(
        &self,
        key: &ObjectKey,
        value: Option<&serde_json::Value>,
        mut expected: Version,
        write_id: WriteId,
    ) -> WriteOutcome {
        let deadline = self.deadline();
        // The last attempt's worth of time is kept for reading back.
        let write_deadline = deadline - Duration::from(self.options.attempt_ms);
        let sealed = seal(value, &write_id);
        if sealed.len() > MAX_VALUE_BYTES {
            return WriteOutcome::NotAccepted;
        }
        self.budget().earn();
        let mut was_lost = false;
        for attempt in 0.. {
            match self.put_once(key, &sealed, expected, write_deadline).await {
                Ok(PutAnswer::Accepted(version)) => return WriteOutcome::Accepted(version),
                Ok(PutAnswer::Conflict(theirs)) => {
                    if let Some(version) = accepted_by(theirs.as_ref(), &write_id) {
                        return WriteOutcome::Accepted(version);
                    }
                    if let Some(tombstone) = replaceable(theirs.as_ref(), expected, was_lost) {
                        expected = tombstone;
                        continue;
                    }
                    if !was_lost {
                        return WriteOutcome::Conflict { theirs };
                    }
                    return self
                        .resolve(key, expected, theirs, write_id, deadline)
                        .await;
                }
                Err(Attempt::Lost) => was_lost = true,
                Err(Attempt::Refused(_)) => {}
                Err(Attempt::Final(_)) => break,
            }
            if !self.may_retry(attempt, write_deadline).await {
                break;
            }
        }
        if was_lost {
            return self.read_back(key, expected, write_id, deadline).await;
        }
        WriteOutcome::NotAccepted
    }

    /// Looks whether a write whose response was lost took effect.
    async fn read_back(
        &self,
        key: &ObjectKey,
        expected: Version,
        write_id: WriteId,
        deadline: Instant,
    ) -> WriteOutcome {
        let Ok(current) = self.get_once(key, deadline).await else {
            return WriteOutcome::Open { write_id };
        };
        if version_of(current.as_ref()) == expected {
            return WriteOutcome::Open { write_id };
        }
        self.resolve(key, expected, current, write_id, deadline)
            .await
    }

    /// Decides the outcome of a lost write when the object has moved past `expected`.
    ///
    /// The object may have been changed again on top of the lost write, so its present write id alone
    /// does not tell. The history since `expected` does, if the store still has all of it.
    async fn resolve(
        &self,
        key: &ObjectKey,
        expected: Version,
        current: Option<StoredObject>,
        write_id: WriteId,
        deadline: Instant,
    ) -> WriteOutcome {
        if let Some(version) = accepted_by(current.as_ref(), &write_id) {
            return WriteOutcome::Accepted(version);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let history = timeout_at(deadline, self.watch(expected, DurationMs(0))).await;
        let Ok(Ok(history)) = history else {
            log::warn!("store: Outcome of write {write_id} on {key} stays open, {left:?} left");
            return WriteOutcome::Open { write_id };
        };
        let versions = history.objects.iter().filter(|object| object.key == *key);
        let mut is_complete = false;
        for object in versions {
            if let Some(version) = accepted_by(Some(object), &write_id) {
                return WriteOutcome::Accepted(version);
            }
            is_complete |= object.version == version_of(current.as_ref());
        }
        if is_complete {
            return WriteOutcome::Conflict { theirs: current };
        }
        WriteOutcome::Open { write_id }
    }

    async fn put_once(
        &self,
        key: &ObjectKey,
        sealed: &str,
        expected: Version,
        deadline: Instant,
    ) -> Result<PutAnswer, Attempt> {
        let call = self.dialect.write(key, sealed.to_owned(), expected);
        let deadline = self.attempt_deadline(deadline);
        let response = send_any(self.request(&call), deadline).await?;
        let status = response.status();
        if status.is_success() {
            let body = body_of(response, deadline).await;
            let body = body.map_err(|_| Attempt::Lost)?;
            let version = self.dialect.write_answer(&body);
            return Ok(PutAnswer::Accepted(version.map_err(|_| Attempt::Lost)?));
        }
        match status {
            StatusCode::CONFLICT => {
                let body = body_of(response, deadline).await;
                let body = body.map_err(|_| Attempt::Lost)?;
                let current = self.dialect.conflict_answer(&body);
                let current = current.map_err(|_| Attempt::Lost)?;
                Ok(PutAnswer::Conflict(
                    current.and_then(|current| open(current).ok()),
                ))
            }
            // The object that was to be replaced does not exist.
            StatusCode::NOT_FOUND => Ok(PutAnswer::Conflict(None)),
            status => Err(failure(status)),
        }
    }

    async fn get_until(
        &self,
        key: &ObjectKey,
        deadline: Instant,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.budget().earn();
        for attempt in 0.. {
            match self.get_once(key, deadline).await {
                Ok(object) => return Ok(object),
                Err(Attempt::Final(error)) => return Err(error),
                Err(error) if !self.may_retry(attempt, deadline).await => {
                    return Err(error.error());
                }
                Err(_) => {}
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn get_once(
        &self,
        key: &ObjectKey,
        deadline: Instant,
    ) -> Result<Option<StoredObject>, Attempt> {
        let call = self.dialect.read(key);
        let deadline = self.attempt_deadline(deadline);
        let response = send_any(self.request(&call), deadline).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => {
                let body = body_of(response, deadline).await;
                let body = body.map_err(|_| Attempt::Lost)?;
                let object = self.dialect.read_answer(&body);
                let object = object.map_err(|_| Attempt::Lost)?;
                let object = open(object);
                Ok(Some(
                    object.map_err(|_| Attempt::Final(StoreError::Malformed))?,
                ))
            }
            status => Err(failure(status)),
        }
    }

    async fn read(
        &self,
        request: impl Fn() -> RequestBuilder,
        deadline: Instant,
    ) -> Result<Response, StoreError> {
        self.budget().earn();
        for attempt in 0.. {
            match send(request(), self.attempt_deadline(deadline)).await {
                Ok(response) => return Ok(response),
                Err(Attempt::Final(error)) => return Err(error),
                Err(error) if !self.may_retry(attempt, deadline).await => {
                    return Err(error.error());
                }
                Err(_) => {}
            }
        }
        Err(StoreError::Unavailable)
    }

    fn request(&self, call: &StoreRequest) -> RequestBuilder {
        let url = format!("{}{}", self.base, call.path);
        let mut request = match call.method {
            StoreMethod::Get => self.client.get(url),
            StoreMethod::Post => self.client.post(url),
            StoreMethod::Put => self.client.put(url),
            StoreMethod::Delete => self.client.delete(url),
        };
        if let Some(version) = call.if_match {
            request = request.header("if-match", version.get());
        }
        if let Some(body) = &call.body {
            request = request.header(CONTENT_TYPE, "application/json");
            request = request.body(body.clone());
        }
        request
    }

    /// Pauses before a retry; returns false when the budget or the time is used up.
    async fn may_retry(&self, attempt: u32, deadline: Instant) -> bool {
        let pause = self.budget().take(attempt);
        let Some(pause) = pause else {
            return false;
        };
        if Instant::now() + pause >= deadline {
            return false;
        }
        sleep(pause).await;
        true
    }

    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from(self.options.deadline_ms)
    }

    fn attempt_deadline(&self, deadline: Instant) -> Instant {
        deadline.min(Instant::now() + Duration::from(self.options.attempt_ms))
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send(request: RequestBuilder, deadline: Instant) -> Result<Response, Attempt> {
    let response = send_any(request, deadline).await?;
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    Err(failure(response.status()))
}

async fn send_any(request: RequestBuilder, deadline: Instant) -> Result<Response, Attempt> {
    match timeout_at(deadline, request.send()).await {
        Ok(Ok(response)) => {
            count_call(response.status().as_u16().to_string());
            Ok(response)
        }
        // Nothing was sent when the connection was not made.
        Ok(Err(error)) if error.is_connect() => {
            count_call("unreachable".to_owned());
            Err(Attempt::Refused(StoreError::Unavailable))
        }
        Ok(Err(_)) | Err(_) => {
            count_call("lost".to_owned());
            Err(Attempt::Lost)
        }
    }
}

fn count_call(outcome: String) {
    metrics::counter!("hawthorntide_store_calls_total", "outcome" => outcome).increment(1);
}

async fn body_of(response: Response, deadline: Instant) -> Result<Vec<u8>, StoreError> {
    match timeout_at(deadline, response.bytes()).await {
        Ok(Ok(body)) => Ok(body.to_vec()),
        Ok(Err(_)) | Err(_) => Err(StoreError::Unavailable),
    }
}

/// Classifies a status; only statuses by which the store states that it did nothing count as refused.
fn failure(status: StatusCode) -> Attempt {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Attempt::Refused(StoreError::Unavailable),
        StatusCode::TOO_MANY_REQUESTS => Attempt::Refused(StoreError::Limited),
        status if status.as_u16() == REVISION_GONE_STATUS => {
            Attempt::Final(StoreError::RevisionGone)
        }
        status if status.is_client_error() => Attempt::Final(StoreError::Malformed),
        _ => Attempt::Lost,
    }
}

/// Keeps the objects that this release knows; others may belong to other programs.
fn open_known(bodies: Vec<ObjectBody>) -> Vec<StoredObject> {
    bodies
        .into_iter()
        .filter_map(|body| open(body).ok())
        .collect()
}

fn version_of(object: Option<&StoredObject>) -> Version {
    object.map_or(Version::NONE, |object| object.version)
}

fn accepted_by(object: Option<&StoredObject>, write_id: &WriteId) -> Option<Version> {
    let object = object?;
    (object.write_id.as_ref() == Some(write_id)).then_some(object.version)
}

/// Returns the version of a tombstone that a creation may replace.
///
/// After a lost attempt the tombstone may be the deletion of what this write made.
fn replaceable(
    theirs: Option<&StoredObject>,
    expected: Version,
    was_lost: bool,
) -> Option<Version> {
    let theirs = theirs?;
    (expected == Version::NONE && theirs.is_deleted && !was_lost).then_some(theirs.version)
}
