//! Objects, change history and faults of the store.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hawthorntide_store::{ListBody, ObjectBody, WatchBody};
use hawthorntide_types::Revision;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::Instant;

use super::StoreServerOptions;
use super::fault::{CallCounts, EraHeader, StoreFaults};

/// The call limit applies to each window of this length.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    faults: watch::Sender<StoreFaults>,
    revision_sender: watch::Sender<Revision>,
    /// Notified when all open connections fall silent.
    silence_sender: watch::Sender<()>,
}

#[derive(Debug)]
pub(super) struct State {
    /// Number of restores.
    pub(super) era: u64,
    pub(super) revision: Revision,
    pub(super) counts: CallCounts,
    pub(super) lose_next_answers: u32,
    /// Sorted by kind and name, for binary search.
    objects: Vec<ObjectBody>,
    history: VecDeque<Change>,
    history_events: usize,
    window_start: Instant,
    window_calls: u32,
    random: ChaCha8Rng,
}

/// Copy of all objects and of the history of a store.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: Revision,
    objects: Vec<ObjectBody>,
    history: VecDeque<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    object: ObjectBody,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Call {
    Get,
    List,
    Put,
    Watch,
}

pub(super) enum WatchOutcome {
    Changes(WatchBody),
    /// The next change is due at this time; `None` if there is no change yet.
    WaitUntil(Option<Instant>),
    /// The requested revision is outside the history.
    Gone,
}

impl Shared {
    pub(super) fn new(options: StoreServerOptions) -> Self {
        let state = State {
            era: 0,
            revision: Revision::NONE,
            counts: CallCounts::default(),
            lose_next_answers: 0,
            objects: Vec::new(),
            history: VecDeque::new(),
            history_events: options.history_events,
            window_start: Instant::now(),
            window_calls: 0,
            random: ChaCha8Rng::seed_from_u64(options.seed),
        };
        Self {
            state: Mutex::new(state),
            faults: watch::Sender::default(),
            revision_sender: watch::Sender::new(Revision::NONE),
            silence_sender: watch::Sender::default(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn faults(&self) -> StoreFaults {
        self.faults.borrow().clone()
    }

    pub(super) fn set_faults(&self, faults: StoreFaults) {
        self.faults.send_replace(faults);
    }

    pub(super) fn watch_faults(&self) -> watch::Receiver<StoreFaults> {
        self.faults.subscribe()
    }

    pub(super) fn watch_revision(&self) -> watch::Receiver<Revision> {
        self.revision_sender.subscribe()
    }

    pub(super) fn watch_silence(&self) -> watch::Receiver<()> {
        self.silence_sender.subscribe()
    }

    pub(super) fn silence_connections(&self) {
        self.silence_sender.send_replace(());
    }

    /// Returns what answers report as the era of the store.
    pub(super) fn era_header(&self) -> Option<String> {
        match self.faults().era_header {
            EraHeader::Era => Some(self.lock().era.to_string()),
            EraHeader::Missing => None,
            EraHeader::Text(text) => Some(text),
        }
    }

    /// Wakes long-polling watches after a write or a restore.
    pub(super) fn notify_watches(&self) {
        let revision = self.lock().revision;
        self.revision_sender.send_replace(revision);
    }
}

impl State {
    /// Counts a call and returns false if it exceeds the call limit.
    pub(super) fn admit_call(&mut self, call: Call, faults: &StoreFaults) -> bool {
        if self.window_start.elapsed() >= LIMIT_WINDOW {
            self.window_start = Instant::now();
            self.window_calls = 0;
        }
        self.window_calls += 1;
        if let Some(limit) = faults.call_limit
            && self.window_calls > limit.get()
        {
            self.counts.limited += 1;
            return false;
        }
        let count = match call {
            Call::Get => &mut self.counts.get,
            Call::List => &mut self.counts.list,
            Call::Put => &mut self.counts.put,
            Call::Watch => &mut self.counts.watch,
        };
        *count += 1;
        true
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&ObjectBody> {
        let index = self.position(kind, name).ok()?;
        self.objects.get(index)
    }

    pub(super) fn list(&self) -> ListBody {
        ListBody {
            revision: self.revision,
            objects: self.objects.clone(),
        }
    }

    pub(super) fn copy(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision,
            objects: self.objects.clone(),
            history: self.history.clone(),
        }
    }

    pub(super) fn restore(&mut self, copy: &StoreCopy) {
        self.era += 1;
        self.revision = copy.revision;
        self.objects.clone_from(&copy.objects);
        self.history.clone_from(&copy.history);
    }

    /// Writes the value if the object's revision is `expected`; otherwise returns the current
    /// object.
    pub(super) fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: String,
        expected: Revision,
    ) -> Result<Revision, Option<ObjectBody>> {
        let position = self.position(kind, name);
        let current = position.ok().and_then(|index| self.objects.get(index));
        if current.map_or(Revision::NONE, |object| object.revision) != expected {
            return Err(current.cloned());
        }
        self.revision = Revision(self.revision.get() + 1);
        let object = ObjectBody {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: self.revision,
            value,
        };
        self.append_to_history(object.clone());
        match position {
            Ok(index) => self.objects[index] = object,
            Err(index) => self.objects.insert(index, object),
        }
        Ok(self.revision)
    }

    /// Returns the changes after `from` that are at least as old as the event delay.
    pub(super) fn changes_after(&self, from: Revision, faults: &StoreFaults) -> WatchOutcome {
        let oldest = self.revision.get() - self.history.len() as u64;
        if from.get() < oldest || from > self.revision {
            return WatchOutcome::Gone;
        }
        let delay = Duration::from(faults.event_delay_ms);
        let now = Instant::now();
        let after = self
            .history
            .iter()
            .skip((from.get() - oldest) as usize)
            .take_while(|change| change.at + delay <= now);
        let events: Vec<ObjectBody> = after.map(|change| change.object.clone()).collect();
        if let Some(last) = events.last() {
            return WatchOutcome::Changes(WatchBody {
                revision: last.revision,
                events,
            });
        }
        let next = self.history.get((from.get() - oldest) as usize);
        WatchOutcome::WaitUntil(next.map(|change| change.at + delay))
    }

    /// Decides whether the response to a successful write is lost. Call it once for each write, because
    /// it counts down `lose_next_answers`.
    pub(super) fn should_lose_response(&mut self, faults: &StoreFaults) -> bool {
        if self.lose_next_answers > 0 {
            self.lose_next_answers -= 1;
            return true;
        }
        let per_mille = faults.lost_answers_per_mille.get();
        per_mille > 0 && self.random.random_range(0..1000) < per_mille
    }

    fn append_to_history(&mut self, object: ObjectBody) {
        self.history.push_back(Change {
            at: Instant::now(),
            object,
        });
        if self.history.len() > self.history_events {
            self.history.pop_front();
        }
    }

    fn position(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|object| {
            (object.kind.as_str(), object.name.as_str()).cmp(&(kind, name))
        })
    }
}
