//! Store client with deadlines and retries.

mod conditional;
mod removal;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use hawthorntide_types::{DurationMs, StoreEra, Version};
use reqwest::header::CONTENT_TYPE;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};

use crate::budget::RetryBudget;
use crate::dialect::{
    Collection, CollectionChanges, CollectionListing, Freshness, ListPage, NextPage, StoreDialect,
    StoreMethod, StoreRequest,
};
use crate::era::{EraObserver, EraReceiver};
use crate::object::{Listing, ObjectKey, StoredObject, WatchResult};
use crate::part::{SkippedObject, SkippedObjects};
use crate::protocol::{ObjectApi, ObjectBody, REVISION_GONE_STATUS, decode_object};

/// An idle connection is not used again after this time: it may have fallen silent since.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Limit of an answer whose parts keep arriving. A large listing takes some seconds over a link that is
/// full or loses packets, and would take as long in the next attempt.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreOptions {
    /// Limit of one call with all its retries until an answer starts and, after a lost response, the check
    /// of its outcome.
    pub deadline_ms: DurationMs,
    /// Limit of one attempt until its answer starts, and of the time between two parts of an answer; for
    /// a watch, counted from the end of the requested wait.
    pub attempt_ms: DurationMs,
    /// Seed of the backoff jitter.
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
    /// the store is unavailable or did not answer in time
    Unavailable,
    /// the store refused the call: its call limit is exceeded
    Limited,
    /// the store no longer has the history since this revision; list again
    RevisionGone,
    /// the store rejected the call or returned a malformed answer
    Malformed,
}

impl std::error::Error for StoreError {}

/// Client of the platform store.
///
/// Reads and conditional writes are retried within a deadline and a retry budget. A write whose
/// response was lost is looked up before its outcome is reported.
#[derive(Debug)]
pub struct ObjectStore {
    /// Replaced when a call gets no answer, so that later calls use new connections.
    client: Mutex<Client>,
    base: String,
    dialect: Arc<dyn StoreDialect>,
    options: StoreOptions,
    budget: Mutex<RetryBudget>,
    era: EraObserver,
    skipped: SkippedObjects,
}

/// Failure of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptError {
    /// The store did not execute the call.
    Refused(StoreError),
    /// The store may have executed the call.
    Ambiguous,
    /// A retry would fail in the same way.
    Final(StoreError),
}

impl AttemptError {
    const fn store_error(self) -> StoreError {
        match self {
            Self::Refused(error) | Self::Final(error) => error,
            Self::Ambiguous => StoreError::Unavailable,
        }
    }
}

/// Answer of the store, and the era that it reports.
struct Answer {
    era: StoreEra,
    response: Response,
}

impl ObjectStore {
    /// Creates a client of the object API at `address`, without connecting yet.
    pub fn open(address: SocketAddr, options: StoreOptions) -> Result<Self, StoreError> {
        Self::open_with(address, options, Arc::new(ObjectApi))
    }

    /// Like [`open`](Self::open), for a store that speaks `dialect`.
    pub fn open_with(
        address: SocketAddr,
        options: StoreOptions,
        dialect: Arc<dyn StoreDialect>,
    ) -> Result<Self, StoreError> {
        Ok(Self {
            client: Mutex::new(open_client()?),
            base: format!("http://{address}"),
            dialect,
            options,
            budget: Mutex::new(RetryBudget::new(options.seed)),
            era: EraObserver::default(),
            skipped: SkippedObjects::default(),
        })
    }

    /// Returns the era of the store that the last answer reported.
    pub fn era(&self) -> StoreEra {
        self.era.current()
    }

    /// Returns a receiver that is notified when the era of the store changes.
    pub fn watch_era(&self) -> EraReceiver {
        self.era.subscribe()
    }

    /// Reads an object; a deleted object is returned as a tombstone.
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        self.get_until(key, self.deadline()).await
    }

    /// Reads all objects and tombstones of the load balancer.
    pub async fn list(&self) -> Result<Listing, StoreError> {
        let page = self
            .list_collection(Collection::Own, Freshness::Current)
            .await?;
        if !page.is_complete {
            return Err(StoreError::Malformed);
        }
        Ok(Listing {
            position: page.position,
            objects: self.decode_known(page.objects),
        })
    }

    /// Reads all pages of a collection, without decoding the objects.
    ///
    /// The position is that of the first page, so that a watch from there does not miss changes
    /// made between two pages. Fails with [`StoreError::RevisionGone`] if the store came back from a
    /// copy between two pages. A listing that cannot be continued is returned as incomplete.
    pub async fn list_collection(
        &self,
        collection: Collection,
        freshness: Freshness,
    ) -> Result<CollectionListing, StoreError> {
        let deadline = self.deadline();
        let (era, mut page) = self
            .list_page(collection, None, freshness, deadline)
            .await?;
        let position = Version::in_era(era, page.revision);
        let mut objects = page.objects;
        while let NextPage::After(after) = page.next {
            let (page_era, next) = self
                .list_page(collection, Some(&after), freshness, deadline)
                .await?;
            if page_era != era {
                return Err(StoreError::RevisionGone);
            }
            objects.extend(next.objects);
            page.next = next.next;
        }
        Ok(CollectionListing {
            position,
            objects,
            is_complete: page.next == NextPage::End,
        })
    }

    async fn list_page(
        &self,
        collection: Collection,
        after: Option<&str>,
        freshness: Freshness,
        deadline: Instant,
    ) -> Result<(StoreEra, ListPage), StoreError> {
        let call = self.dialect.list(collection, after, freshness);
        let answer = self
            .send_with_retries(|| self.request(&call), deadline)
            .await?;
        let era = answer.era;
        let body = self.read_answer(answer.response).await?;
        let mut page = self.dialect.list_answer(collection, &body)?;
        self.skipped.report(std::mem::take(&mut page.skipped));
        Ok((era, page))
    }

    /// Waits up to `wait` for changes after `from`. Not retried, because callers watch in a loop.
    pub async fn watch(&self, from: Version, wait: DurationMs) -> Result<WatchResult, StoreError> {
        let page = self.watch_collection(Collection::Own, from, wait).await?;
        Ok(WatchResult {
            position: page.position,
            objects: self.decode_known(page.changes),
        })
    }

    /// Like [`watch`](Self::watch), for a collection and without decoding the objects.
    ///
    /// Fails with [`StoreError::RevisionGone`] if `from` belongs to another era than the answer: the
    /// store may have given out the revision again, and then reports only a part of the changes.
    pub async fn watch_collection(
        &self,
        collection: Collection,
        from: Version,
        wait: DurationMs,
    ) -> Result<CollectionChanges, StoreError> {
        let call = self.dialect.watch(collection, from.revision(), wait);
        let deadline = Instant::now() + wait.into() + self.options.attempt_ms.into();
        let answer = self.send_expecting_ok(self.request(&call), deadline).await;
        let answer = answer.map_err(AttemptError::store_error)?;
        let era = answer.era;
        let body = self.read_answer(answer.response).await?;
        let page = self.dialect.watch_answer(collection, &body)?;
        let is_complete = page.skipped.is_empty();
        self.skipped.report(page.skipped);
        // Revisions go back without notice if the store does not report its era.
        let is_same_history = era == from.era() && page.revision >= from.revision();
        if from != Version::NONE && !is_same_history {
            return Err(StoreError::RevisionGone);
        }
        Ok(CollectionChanges {
            position: Version::in_era(era, page.revision),
            changes: page.changes,
            removed: page.removed,
            is_complete,
        })
    }

    async fn get_until(
        &self,
        key: &ObjectKey,
        deadline: Instant,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.budget().deposit();
        for attempt in 0.. {
            match self.get_once(key, deadline).await {
                Ok(object) => return Ok(object),
                Err(AttemptError::Final(error)) => return Err(error),
                Err(error) if !self.wait_for_retry(attempt, deadline).await => {
                    return Err(error.store_error());
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
    ) -> Result<Option<StoredObject>, AttemptError> {
        let call = self.dialect.read(key);
        let deadline = self.attempt_deadline(deadline);
        let answer = self.send_once(self.request(&call), deadline).await?;
        let response = answer.response;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => {
                let body = self.read_answer(response).await;
                let body = body.map_err(|_| AttemptError::Ambiguous)?;
                let object = self.dialect.read_answer(&body);
                let object = object.map_err(|_| AttemptError::Ambiguous)?;
                let object = decode_object(object);
                Ok(Some(
                    object.map_err(|_| AttemptError::Final(StoreError::Malformed))?,
                ))
            }
            status => Err(attempt_error(status)),
        }
    }

    async fn send_with_retries(
        &self,
        request: impl Fn() -> RequestBuilder,
        deadline: Instant,
    ) -> Result<Answer, StoreError> {
        self.budget().deposit();
        for attempt in 0.. {
            match self
                .send_expecting_ok(request(), self.attempt_deadline(deadline))
                .await
            {
                Ok(answer) => return Ok(answer),
                Err(AttemptError::Final(error)) => return Err(error),
                Err(error) if !self.wait_for_retry(attempt, deadline).await => {
                    return Err(error.store_error());
                }
                Err(_) => {}
            }
        }
        Err(StoreError::Unavailable)
    }

    /// Decodes objects and skips those unknown to this release, which may belong to other programs.
    fn decode_known(&self, bodies: Vec<ObjectBody>) -> Vec<StoredObject> {
        let decode = |body: ObjectBody| {
            let name = format!("{}/{}", body.kind, body.name);
            let object = decode_object(body);
            object.map_err(|error| self.report_skipped(SkippedObject::new(name, error)))
        };
        let decoded = bodies.into_iter().map(decode);
        decoded.filter_map(Result::ok).collect()
    }

    /// Logs and counts an object that its reader cannot use.
    pub fn report_skipped(&self, object: SkippedObject) {
        self.skipped.report([object]);
    }

    fn request(&self, call: &StoreRequest) -> RequestBuilder {
        let url = format!("{}{}", self.base, call.path);
        let client = self.client();
        let mut request = match call.method {
            StoreMethod::Get => client.get(url),
            StoreMethod::Post => client.post(url),
            StoreMethod::Put => client.put(url),
            StoreMethod::Delete => client.delete(url),
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

    async fn send_expecting_ok(
        &self,
        request: RequestBuilder,
        deadline: Instant,
    ) -> Result<Answer, AttemptError> {
        let answer = self.send_once(request, deadline).await?;
        if answer.response.status() == StatusCode::OK {
            return Ok(answer);
        }
        Err(attempt_error(answer.response.status()))
    }

    async fn send_once(
        &self,
        request: RequestBuilder,
        deadline: Instant,
    ) -> Result<Answer, AttemptError> {
        match timeout_at(deadline, request.send()).await {
            Ok(Ok(response)) => {
                count_call(response.status().as_u16().to_string());
                let headers = response.headers();
                let era = self.era.observe(headers, self.dialect.era_header());
                Ok(Answer { era, response })
            }
            // Without a connection, nothing was sent.
            Ok(Err(error)) if error.is_connect() => {
                count_call("unreachable".to_owned());
                Err(AttemptError::Refused(StoreError::Unavailable))
            }
            lost => {
                count_call("lost".to_owned());
                let is_unanswered = lost.is_err();
                if is_unanswered {
                    self.leave_connections();
                }
                Err(AttemptError::Ambiguous)
            }
        }
    }

    /// Reads an answer for as long as its parts keep arriving.
    async fn read_answer(&self, mut response: Response) -> Result<Vec<u8>, StoreError> {
        let end = Instant::now() + MAX_ANSWER_TIME;
        let mut body = Vec::new();
        loop {
            match timeout_at(self.attempt_deadline(end), response.chunk()).await {
                Ok(Ok(Some(part))) => body.extend_from_slice(&part),
                Ok(Ok(None)) => return Ok(body),
                Ok(Err(_)) => return Err(StoreError::Unavailable),
                Err(_) => {
                    self.leave_connections();
                    return Err(StoreError::Unavailable);
                }
            }
        }
    }

    /// Makes later calls use new connections: those that were open when a call got no answer may all
    /// be silent, and each would cost the time of an attempt. Calls in flight are not affected.
    fn leave_connections(&self) {
        match open_client() {
            Ok(client) => *self.client() = client,
            Err(error) => log::warn!("store: Connections are kept after a silent call: {error}."),
        }
    }

    fn client(&self) -> MutexGuard<'_, Client> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the backoff before a retry. Returns false, without waiting, if the retry budget is
    /// exhausted or the backoff would exceed the deadline.
    async fn wait_for_retry(&self, attempt: u32, deadline: Instant) -> bool {
        let backoff = self.budget().try_withdraw(attempt);
        let Some(backoff) = backoff else {
            return false;
        };
        if Instant::now() + backoff >= deadline {
            return false;
        }
        sleep(backoff).await;
        true
    }

    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from(self.options.deadline_ms)
    }

    fn attempt_deadline(&self, deadline: Instant) -> Instant {
        deadline.min(Instant::now() + Duration::from(self.options.attempt_ms))
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn open_client() -> Result<Client, StoreError> {
    let builder = Client::builder().no_proxy().no_gzip().tcp_nodelay(true);
    let builder = builder.pool_idle_timeout(MAX_IDLE_TIME);
    builder.build().map_err(|_| StoreError::Unavailable)
}

fn count_call(outcome: String) {
    metrics::counter!("hawthorntide_store_calls_total", "outcome" => outcome).increment(1);
}

async fn read_body(response: Response, deadline: Instant) -> Result<Vec<u8>, StoreError> {
    match timeout_at(deadline, response.bytes()).await {
        Ok(Ok(body)) => Ok(body.to_vec()),
        Ok(Err(_)) | Err(_) => Err(StoreError::Unavailable),
    }
}

/// Classifies a status. Only statuses by which the store declares that it did not execute the call
/// count as refused.
fn attempt_error(status: StatusCode) -> AttemptError {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => AttemptError::Refused(StoreError::Unavailable),
        StatusCode::TOO_MANY_REQUESTS => AttemptError::Refused(StoreError::Limited),
        status if status.as_u16() == REVISION_GONE_STATUS => {
            AttemptError::Final(StoreError::RevisionGone)
        }
        status if status.is_client_error() => AttemptError::Final(StoreError::Malformed),
        _ => AttemptError::Ambiguous,
    }
}
