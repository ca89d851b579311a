//! Bounded ring buffer of one process and the merge over processes.

use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::{Event, HybridClock, HybridTime, ProcessName, TimedEvent};

/// Events that a process keeps in each ring; all rings together stay under 8 MB.
const PROCESS_EVENTS: usize = 4096;

/// Rings that threads share; a thread nearly always finds its own ring unlocked.
const SHARDS: usize = 16;

#[derive(Debug)]
struct Ring {
    entries: Vec<(HybridTime, Event)>,
    /// Position of the oldest entry once the ring is full.
    oldest: usize,
    overwritten: u64,
    capacity: usize,
}

impl Ring {
    fn push(&mut self, entry: (HybridTime, Event)) {
        if self.entries.len() < self.capacity {
            self.entries.push(entry);
            return;
        }
        self.entries[self.oldest] = entry;
        self.oldest = (self.oldest + 1) % self.capacity;
        self.overwritten += 1;
    }
}

/// Time line of one process.
#[derive(Debug)]
pub struct Timeline {
    process: ProcessName,
    clock: Arc<HybridClock>,
    shards: Vec<Mutex<Ring>>,
}

impl Timeline {
    /// Creates an empty time line of the usual size for the process called `name`.
    pub fn for_process(name: impl Into<String>) -> Arc<Self> {
        let clock = Arc::new(HybridClock::default());
        Arc::new(Self::new(ProcessName(name.into()), clock, PROCESS_EVENTS))
    }

    /// Creates a time line that keeps the last `capacity` events of each thread group.
    ///
    /// # Panics
    ///
    /// Panics when `capacity` is 0.
    pub fn new(process: ProcessName, clock: Arc<HybridClock>, capacity: usize) -> Self {
        assert!(capacity > 0, "a time line keeps at least one event");
        let ring = |_| {
            Mutex::new(Ring {
                entries: Vec::new(),
                oldest: 0,
                overwritten: 0,
                capacity,
            })
        };
        Self {
            process,
            clock,
            shards: (0..SHARDS).map(ring).collect(),
        }
    }

    /// Records an event that happens now.
    pub fn record(&self, event: Event) {
        self.record_at(self.clock.now(), event);
    }

    /// Records an event at a time that was taken from the clock before.
    pub fn record_at(&self, at: HybridTime, event: Event) {
        let ring = &self.shards[shard_of_thread()];
        let mut ring = ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.push((at, event));
    }

    /// Returns the clock, whose time goes with messages to other processes.
    pub const fn clock(&self) -> &Arc<HybridClock> {
        &self.clock
    }

    /// Returns the number of events that newer ones replaced.
    pub fn overwritten(&self) -> u64 {
        let rings = self.shards.iter();
        rings
            .map(|ring| {
                let ring = ring.lock().unwrap_or_else(PoisonError::into_inner);
                ring.overwritten
            })
            .sum()
    }

    /// Returns the kept events in ascending order of time.
    pub fn events(&self) -> Vec<TimedEvent> {
        let mut entries = Vec::new();
        for ring in &self.shards {
            let ring = ring.lock().unwrap_or_else(PoisonError::into_inner);
            entries.extend_from_slice(&ring.entries);
        }
        entries.sort_by_key(|(at, _)| *at);
        entries
            .into_iter()
            .map(|(at, event)| TimedEvent {
                at,
                process: self.process.clone(),
                event,
            })
            .collect()
    }
}

/// Merges the events of several processes; an effect never comes before its cause as long as
/// messages carried the hybrid time.
pub fn merge(processes: impl IntoIterator<Item = Vec<TimedEvent>>) -> Vec<TimedEvent> {
    let mut events: Vec<_> = processes.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
    events
}

fn shard_of_thread() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: Cell<usize> = Cell::new(NEXT.fetch_add(1, Ordering::Relaxed) % SHARDS);
    }
    SHARD.get()
}
