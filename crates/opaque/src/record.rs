//! Record of an upstream's flows that outlives its agent.
//!
//! A loss of power ends an upstream and its agent at once. A caller that waits between two requests
//! learns of it only with its next request, which is lost with the flow and may not be sent twice if
//! it is not idempotent. The agent that starts again reads the record and resets these flows as soon
//! as it knows that the upstream has a new life.

use std::cmp::Ordering;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::DurationMs;
use serde::{Deserialize, Serialize};

/// Least time between two records: a caller that opened its flow after the last one is not told.
const MIN_INTERVAL_MS: DurationMs = DurationMs(4_000);

/// Longest time between two records: half of the age up to which flows are kept open.
const MAX_INTERVAL_MS: DurationMs = DurationMs(30_000);

/// Records that all agents together write in a second, as long as the longest time allows: each
/// write is paid for. 5,900 agents write 200 a second, half of what the smallest store takes.
const RECORDS_PER_SECOND: u64 = 8;

/// Flows that a record keeps, so that it stays below the size of an object in the platform store.
pub const MAX_RECORDED_FLOWS: usize = 8_000;

/// Life of an upstream, from its start to its end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamIncarnation {
    /// Name that the upstream has in this life.
    pub id: String,
    /// When it started, in milliseconds of its clock.
    pub born_ms: u64,
}

/// Flow of a record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedFlow {
    /// Flow.
    pub flow: FlowKey,
    /// What its caller acknowledged next, at the time of the record.
    pub acknowledged: u32,
}

/// Open flows of one life of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowRecord {
    /// Life of the upstream that holds the flows.
    #[serde(rename = "life")]
    pub incarnation: UpstreamIncarnation,
    /// Flows.
    pub flows: Vec<RecordedFlow>,
}

/// What the agent knows of the record of the process before it.
#[derive(Clone, Debug, Default)]
pub(crate) enum EarlierRecord {
    /// It was not read yet.
    #[default]
    Unread,
    /// The upstream has not told its present life yet.
    Undecided(FlowRecord),
    /// It needs no more attention; records of this process may take its place.
    Settled,
}

impl UpstreamIncarnation {
    /// Returns whether this life began before or after `other`, if that is certain.
    pub(crate) fn compare(&self, other: &Self) -> Option<Ordering> {
        match self.born_ms.cmp(&other.born_ms) {
            Ordering::Equal if self.id == other.id => Some(Ordering::Equal),
            // Two names at one address and no times to order them.
            Ordering::Equal => None,
            order => Some(order),
        }
    }
}

/// Returns the time between two records of an agent among `agents`.
pub(crate) fn record_interval_ms(agents: usize) -> DurationMs {
    let shared_ms = agents as u64 * 1_000 / RECORDS_PER_SECOND;
    DurationMs(shared_ms.clamp(MIN_INTERVAL_MS.get(), MAX_INTERVAL_MS.get()))
}
