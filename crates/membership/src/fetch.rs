//! Bounded fetch of objects that are larger than a datagram, chunk by chunk.

use std::net::SocketAddr;

use hawthorntide_configuration::{MAX_VALUE_BYTES, Object, Replica};
use hawthorntide_types::{DurationMs, TimeMs, Version};
use hawthorntide_wire::control::{self, control_message::Body};

/// Value bytes of one chunk; leaves room for names and the envelope.
const CHUNK_BYTES: usize = 768;
/// Fetches that wait or run; objects beyond that are found again by anti-entropy.
const MAX_FETCHES: usize = 1_024;
/// Fetches that run at the same time; bounds memory to this many times the largest value.
const MAX_RUNNING: usize = 16;
/// Time after which a chunk is asked for again.
const RETRY_MS: DurationMs = DurationMs(300);
/// Unanswered requests after which a fetch is given up.
const MAX_TRIES: u32 = 5;

#[derive(Clone, Debug)]
struct Fetch {
    kind: String,
    name: String,
    version: Version,
    write_id: String,
    size_bytes: usize,
    value: Vec<u8>,
    source: SocketAddr,
    asked_at: Option<TimeMs>,
    tries: u32,
}

/// Objects that are being fetched.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetches {
    fetches: Vec<Fetch>,
}

impl Fetches {
    /// Notes that `source` holds a version that is too large for its message.
    pub(crate) fn notice(&mut self, notice: &control::ConfigurationObject, source: SocketAddr) {
        let size_bytes = notice.size_bytes as usize;
        if size_bytes > MAX_VALUE_BYTES {
            return;
        }
        let fetch = Fetch {
            kind: notice.kind.clone(),
            name: notice.name.clone(),
            version: Version(notice.version),
            write_id: notice.write_id.clone(),
            size_bytes,
            value: Vec::new(),
            source,
            asked_at: None,
            tries: 0,
        };
        let is_full = self.fetches.len() >= MAX_FETCHES;
        match self.find(&notice.kind, &notice.name) {
            Some(held) if held.version >= fetch.version => {}
            Some(held) => *held = fetch,
            None if is_full => {}
            None => self.fetches.push(fetch),
        }
    }

    /// Returns the requests that are due and gives up fetches without an answer.
    pub(crate) fn requests(&mut self, now: TimeMs) -> Vec<(SocketAddr, Body)> {
        self.fetches.retain(|fetch| {
            fetch.tries < MAX_TRIES || fetch.asked_at.is_some_and(|at| now.since(at) < RETRY_MS)
        });
        let mut requests = Vec::new();
        for fetch in self.fetches.iter_mut().take(MAX_RUNNING) {
            if fetch.asked_at.is_some_and(|at| now.since(at) < RETRY_MS) {
                continue;
            }
            fetch.asked_at = Some(now);
            fetch.tries += 1;
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

    /// Appends a chunk and returns the object when it is whole.
    pub(crate) fn chunk(&mut self, chunk: &control::Chunk) -> Option<Object> {
        let fetch = self.find(&chunk.kind, &chunk.name)?;
        let is_next = fetch.version.get() == chunk.version
            && fetch.value.len() == chunk.offset as usize
            && fetch.size_bytes == chunk.size_bytes as usize
            && fetch.value.len() + chunk.bytes.len() <= fetch.size_bytes;
        if !is_next || chunk.bytes.is_empty() {
            return None;
        }
        fetch.value.extend_from_slice(&chunk.bytes);
        fetch.asked_at = None;
        fetch.tries = 0;
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
        self.forget(&object.kind, &object.name);
        Some(object)
    }

    /// Drops the fetch of an object that arrived in another way.
    pub(crate) fn forget(&mut self, kind: &str, name: &str) {
        self.fetches
            .retain(|fetch| fetch.kind != kind || fetch.name != name);
    }

    fn find(&mut self, kind: &str, name: &str) -> Option<&mut Fetch> {
        self.fetches
            .iter_mut()
            .find(|fetch| fetch.kind == kind && fetch.name == name)
    }
}

/// Returns the chunk that `request` asks for, or a notice of the newer version that is held.
pub(crate) fn answer(replica: &Replica, request: &control::ChunkRequest) -> Option<Body> {
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

/// Returns the object for a message, without its value when that is over `max_inline_bytes`.
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
