//! Chunked transfer of configuration objects that do not fit into one datagram.

use std::net::SocketAddr;

use hawthorntide_configuration::{MAX_VALUE_BYTES, Object, Replica};
use hawthorntide_types::{DurationMs, TimeMs, Version};
use hawthorntide_wire::control::{self, control_message::Body};

/// Value bytes per chunk; leaves room in the datagram for names and the envelope.
const CHUNK_BYTES: usize = 768;
/// Queued and running fetches. Objects beyond this limit are ignored; anti-entropy offers them
/// again.
const MAX_FETCHES: usize = 1_024;
/// Concurrent fetches; bounds the memory to this many times `MAX_VALUE_BYTES`.
const MAX_CONCURRENT_FETCHES: usize = 16;
/// An unanswered chunk request is repeated at this interval.
const RETRY_INTERVAL_MS: DurationMs = DurationMs(300);
/// A fetch is abandoned after this many unanswered requests.
const MAX_ATTEMPTS: u32 = 5;

#[derive(Clone, Debug)]
struct Fetch {
    kind: String,
    name: String,
    version: Version,
    write_id: String,
    size_bytes: usize,
    value: Vec<u8>,
    source: SocketAddr,
    requested_at: Option<TimeMs>,
    attempts: u32,
}

/// Queued and running fetches, in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetches {
    fetches: Vec<Fetch>,
}

impl Fetches {
    /// Queues a fetch from `source`, which announced an object without its value.
    pub(crate) fn enqueue(&mut self, object: &control::ConfigurationObject, source: SocketAddr) {
        let size_bytes = object.size_bytes as usize;
        if size_bytes > MAX_VALUE_BYTES {
            return;
        }
        let fetch = Fetch {
            kind: object.kind.clone(),
            name: object.name.clone(),
            version: Version(object.version),
            write_id: object.write_id.clone(),
            size_bytes,
            value: Vec::new(),
            source,
            requested_at: None,
            attempts: 0,
        };
        let is_full = self.fetches.len() >= MAX_FETCHES;
        match self.find(&object.kind, &object.name) {
            Some(held) if held.version >= fetch.version => {}
            Some(held) => *held = fetch,
            None if is_full => {}
            None => self.fetches.push(fetch),
        }
    }

    /// Returns the requests that are due and abandons fetches that are out of attempts.
    pub(crate) fn requests(&mut self, now: TimeMs) -> Vec<(SocketAddr, Body)> {
        self.fetches.retain(|fetch| {
            fetch.attempts < MAX_ATTEMPTS
                || fetch
                    .requested_at
                    .is_some_and(|at| now.since(at) < RETRY_INTERVAL_MS)
        });
        let mut requests = Vec::new();
        for fetch in self.fetches.iter_mut().take(MAX_CONCURRENT_FETCHES) {
            if fetch
                .requested_at
                .is_some_and(|at| now.since(at) < RETRY_INTERVAL_MS)
            {
                continue;
            }
            fetch.requested_at = Some(now);
            fetch.attempts += 1;
            let request = control::ChunkRequest {
                kind: fetch.kind.clone(),
                name: fetch.name.clone(),
                version: fetch.version.get(),
                offset: fetch.value.len() as u32,
            };
            requests.push((fetch.source, Body::ChunkRequest(request)));
        }
        requests
    }

    /// Appends a chunk and returns the object once it is complete.
    pub(crate) fn handle_chunk(&mut self, chunk: &control::Chunk) -> Option<Object> {
        let fetch = self.find(&chunk.kind, &chunk.name)?;
        let is_next = fetch.version.get() == chunk.version
            && fetch.value.len() == chunk.offset as usize
            && fetch.size_bytes == chunk.size_bytes as usize
            && fetch.value.len() + chunk.bytes.len() <= fetch.size_bytes;
        if !is_next || chunk.bytes.is_empty() {
            return None;
        }
        fetch.value.extend_from_slice(&chunk.bytes);
        fetch.requested_at = None;
        fetch.attempts = 0;
        if fetch.value.len() < fetch.size_bytes {
            return None;
        }
        let object = Object {
            kind: fetch.kind.clone(),
            name: fetch.name.clone(),
            version: fetch.version,
            is_deleted: false,
            write_id: fetch.write_id.clone(),
            value: std::mem::take(&mut fetch.value),
        };
        self.cancel(&object.kind, &object.name);
        Some(object)
    }

    /// Cancels the fetch of an object that was received in another way.
    pub(crate) fn cancel(&mut self, kind: &str, name: &str) {
        self.fetches
            .retain(|fetch| fetch.kind != kind || fetch.name != name);
    }

    fn find(&mut self, kind: &str, name: &str) -> Option<&mut Fetch> {
        self.fetches
            .iter_mut()
            .find(|fetch| fetch.kind == kind && fetch.name == name)
    }
}

/// Returns the requested chunk, or the newer version without its value if one is held.
pub(crate) fn answer_chunk_request(
    replica: &Replica,
    request: &control::ChunkRequest,
) -> Option<Body> {
    let object = replica.get(&request.kind, &request.name)?;
    if object.version.get() > request.version {
        let gossip = control::Gossip {
            objects: vec![object_to_wire(object, 0)],
            ..control::Gossip::default()
        };
        return Some(Body::Gossip(gossip));
    }
    let start = request.offset as usize;
    if object.version.get() != request.version || start >= object.value.len() {
        return None;
    }
    let end = object.value.len().min(start + CHUNK_BYTES);
    Some(Body::Chunk(control::Chunk {
        kind: object.kind.clone(),
        name: object.name.clone(),
        version: request.version,
        offset: request.offset,
        size_bytes: object.value.len() as u32,
        write_id: object.write_id.clone(),
        bytes: object.value[start..end].to_vec(),
    }))
}

/// Converts an object; omits a value over `max_inline_bytes`, which receivers then fetch.
pub(crate) fn object_to_wire(
    object: &Object,
    max_inline_bytes: usize,
) -> control::ConfigurationObject {
    let is_inline = object.value.len() <= max_inline_bytes;
    control::ConfigurationObject {
        kind: object.kind.clone(),
        name: object.name.clone(),
        version: object.version.get(),
        deleted: object.is_deleted,
        write_id: object.write_id.clone(),
        value: if is_inline {
            object.value.clone()
        } else {
            Vec::new()
        },
        size_bytes: if is_inline {
            0
        } else {
            object.value.len() as u32
        },
    }
}

pub(crate) fn object_from_wire(object: control::ConfigurationObject) -> Object {
    Object {
        kind: object.kind,
        name: object.name,
        version: Version(object.version),
        is_deleted: object.deleted,
        write_id: object.write_id,
        value: object.value,
    }
}
