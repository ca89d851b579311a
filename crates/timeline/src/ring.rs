//! Bounded ring buffers for the events of one process, and the merge across processes.

use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::{Event, HybridClock, HybridTime, ProcessName, TimedEvent};

/// Ring capacity in events; the rings of a process stay under 8 MB together.
const RING_CAPACITY: usize = 4096;

/// Number of rings over which threads are distributed, so that they rarely contend for a lock.
const RING_COUNT: usize = 16;

#[derive(Debug)]
struct Ring {
    entries: Vec<(HybridTime, Event)>,
    /// Index of the oldest entry once the ring is full.
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

/// Recent events of one process; newer ones overwrite the oldest.
#[derive(Debug)]
pub struct Timeline {
    process: ProcessName,
    clock: Arc<HybridClock>,
    rings: Vec<Mutex<Ring>>,
}

impl Timeline {
    /// Creates an empty timeline of default capacity for the process `name`, with a new clock.
    pub fn for_process(name: impl Into<String>) -> Arc<Self> {
        let clock = Arc::new(HybridClock::default());
        Arc::new(Self::new(ProcessName(name.into()), clock, RING_CAPACITY))
    }

    /// Creates a timeline of 16 rings that each keep the last `capacity` events of the threads assigned
    /// to them.
    ///
    /// # Panics
    ///
    /// Panics if `capacity` is 0.
    pub fn new(process: ProcessName, clock: Arc<HybridClock>, capacity: usize) -> Self {
        assert!(
            capacity > 0,
            "the capacity of a timeline must be at least one event"
        );
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
            rings: (0..RING_COUNT).map(ring).collect(),
        }
    }

    /// Records an event with the current time of the clock.
    pub fn record(&self, event: Event) {
        self.record_at(self.clock.now(), event);
    }

    /// Records an event with a time taken from the clock earlier.
    pub fn record_at(&self, at: HybridTime, event: Event) {
        let ring = &self.rings[ring_of_thread()];
        let mut ring = ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.push((at, event));
    }

    /// Returns the clock; messages to other processes should carry its time.
    pub const fn clock(&self) -> &Arc<HybridClock> {
        &self.clock
    }

    /// Returns the number of events lost because newer ones overwrote them.
    pub fn overwritten(&self) -> u64 {
        let rings = self.rings.iter();
        rings
            .map(|ring| {
                let ring = ring.lock().unwrap_or_else(PoisonError::into_inner);
                ring.overwritten
            })
            .sum()
    }

    /// Returns the events that are still held, in ascending order of time.
    pub fn events(&self) -> Vec<TimedEvent> {
        let mut entries = Vec::new();
        for ring in &self.rings {
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

/// Merges the events of several processes by time. A cause precedes its effect if the messages between
/// them carried the hybrid time.
pub fn merge(processes: impl IntoIterator<Item = Vec<TimedEvent>>) -> Vec<TimedEvent> {
    let mut events: Vec<_> = processes.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
    events
}

fn ring_of_thread() -> usize {
    static NEXT_RING: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static RING: Cell<usize> = Cell::new(NEXT_RING.fetch_add(1, Ordering::Relaxed) % RING_COUNT);
    }
    RING.get()
}
