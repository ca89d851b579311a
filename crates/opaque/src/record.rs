//! Record of an upstream's open flows in the platform store, which outlives the agent.
//!
//! A power loss ends an upstream and its agent at once. A caller that is idle between two requests
//! would notice only by its next request, which is lost with the flow and must not be retried unless
//! it is idempotent. The restarted agent therefore reads the record and resets these flows as soon
//! as it knows that the upstream has a new incarnation.

use std::cmp::Ordering;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::DurationMs;
use serde::{Deserialize, Serialize};

/// Minimum time between two writes of the record. Flows that open after the last write are not
/// reset after a power loss.
const MIN_INTERVAL_MS: DurationMs = DurationMs(4_000);

/// Maximum time between two writes: half of the time for which idle flows are kept open.
const MAX_INTERVAL_MS: DurationMs = DurationMs(30_000);

/// Target for the writes per second of all agents together, since each write costs money. Large
/// deployments exceed it because of `MAX_INTERVAL_MS`: 5,900 agents write 200 records a second,
/// half of what the smallest store accepts.
const RECORDS_PER_SECOND: u64 = 8;

/// Limit on the flows in a record, which keeps it below the size limit of objects in the platform
/// store.
pub const MAX_RECORDED_FLOWS: usize = 8_000;

/// One run of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamIncarnation {
    /// Name of the upstream during this run.
    pub id: String,
    /// Start time, in milliseconds of the upstream's clock.
    pub born_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedFlow {
    pub flow: FlowKey,
    /// Sequence number that the caller was to acknowledge next when the record was written.
    pub acknowledged: u32,
}

/// Open flows of one incarnation of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowRecord {
    #[serde(rename = "life")]
    pub incarnation: UpstreamIncarnation,
    /// The upstream was draining. Without the field it may have been: the agent then waits for a heartbeat
    /// before it takes new flows.
    #[serde(default = "may_drain")]
    pub is_draining: bool,
    pub flows: Vec<RecordedFlow>,
}

const fn may_drain() -> bool {
    true
}

/// Flow record of the agent's previous incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) enum PreviousRecord {
    #[default]
    NotRead,
    /// Read; the upstream has not reported its current incarnation yet.
    Pending(FlowRecord),
    /// Handled or absent; this process may overwrite it.
    Resolved,
}

impl PreviousRecord {
    /// Returns whether the upstream was draining when the record was written, and has not reported its
    /// current state yet.
    pub(crate) fn is_draining(&self) -> bool {
        matches!(self, Self::Pending(record) if record.is_draining)
    }
}

impl UpstreamIncarnation {
    /// Returns the order of two incarnations, or `None` if it is unknown.
    pub(crate) fn compare(&self, other: &Self) -> Option<Ordering> {
        match self.born_ms.cmp(&other.born_ms) {
            Ordering::Equal if self.id == other.id => Some(Ordering::Equal),
            // Different names with the same start time cannot be ordered.
            Ordering::Equal => None,
            order => Some(order),
        }
    }
}

/// Returns the time between two writes of one agent in a deployment with `agents` agents.
pub(crate) fn record_interval_ms(agents: usize) -> DurationMs {
    let shared_ms = agents as u64 * 1_000 / RECORDS_PER_SECOND;
    DurationMs(shared_ms.clamp(MIN_INTERVAL_MS.get(), MAX_INTERVAL_MS.get()))
}
