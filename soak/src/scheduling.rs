//! Measures how long processes under test wait for a processor.
//!
//! A host that does not run a process looks like a fault of the system: the process is silent, and others
//! take it for unreachable. The kernel's account of each process tells the two apart.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::process::Process;
use crate::record::RunRecord;

/// Waits from this length on are printed: two rounds of gossip, after which others may suspect a process.
const PRINTED_WAIT: Duration = Duration::from_millis(500);

/// Waits of the processes, by name.
#[derive(Debug, Default)]
pub(crate) struct SchedulingProbe {
    waits: BTreeMap<String, ProcessWait>,
    longest: Option<(Duration, String)>,
    /// Time of the last sample. The soak itself may not be run either.
    sampled_at: Option<Instant>,
    longest_pause: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ProcessWait {
    process_id: u32,
    total: Duration,
}

impl SchedulingProbe {
    /// Samples the processes, and prints waits since the last sample that can explain silence.
    pub(crate) fn sample<'a>(
        &mut self,
        record: &RunRecord,
        processes: impl Iterator<Item = &'a Process>,
    ) {
        let now = Instant::now();
        if let Some(sampled_at) = self.sampled_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - sampled_at);
        }
        for process in processes {
            let Some(process_id) = process.id() else {
                continue;
            };
            let Some(total) = total_wait(process_id) else {
                continue;
            };
            let sampled = ProcessWait { process_id, total };
            let last = self.waits.insert(process.name.clone(), sampled);
            let last = last.filter(|last| last.process_id == process_id);
            let waited = total.saturating_sub(last.map_or(Duration::ZERO, |last| last.total));
            if waited >= PRINTED_WAIT {
                let waited_ms = waited.as_millis();
                record.print(&format!(
                    "{} waited {waited_ms} ms for a processor",
                    process.name
                ));
            }
            if self.longest.as_ref().is_none_or(|it| waited > it.0) {
                self.longest = Some((waited, process.name.clone()));
            }
        }
    }

    /// Prints the longest wait of a process and the longest time between two samples.
    pub(crate) fn print_summary(&self, record: &RunRecord) {
        let Some((waited, name)) = &self.longest else {
            record.print("waits for a processor were not measured");
            return;
        };
        record.print(&format!(
            "longest wait for a processor: {} ms by {name}; at most {} ms between two samples",
            waited.as_millis(),
            self.longest_pause.as_millis()
        ));
    }
}

/// Returns how long the main thread of a process, which does all of its work, has waited for a processor
/// so far.
fn total_wait(process_id: u32) -> Option<Duration> {
    let account = std::fs::read_to_string(format!("/proc/{process_id}/schedstat")).ok()?;
    let waited_ns = account.split_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(waited_ns))
}
