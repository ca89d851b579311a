//! Record of a run: disturbances (injected faults and their targets), requests and violations.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Guarantees with a time limit must hold again this long after a disturbance ended.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Record of a run, shared by all tasks of the soak.
#[derive(Debug)]
pub(crate) struct RunRecord {
    started_at: Instant,
    /// The run has no faults, only planned work.
    is_planned_work: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the last disturbance ended, or `None` while it lasts. The key is the name of a process
    /// or upstream, `router` or `store`.
    disturbances: BTreeMap<String, Option<Instant>>,
    violations: Vec<String>,
    answered: u64,
    failed: u64,
    executed: BTreeSet<String>,
}

impl RunRecord {
    pub(crate) fn new(is_planned_work: bool) -> Self {
        Self {
            started_at: Instant::now(),
            is_planned_work,
            state: Mutex::default(),
        }
    }

    pub(crate) const fn is_planned_work(&self) -> bool {
        self.is_planned_work
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Prints a line with the time since the start of the run, in seconds.
    pub(crate) fn print(&self, text: &str) {
        println!("{:8.3} {text}", self.started_at.elapsed().as_secs_f64());
    }

    pub(crate) fn begin_disturbance(&self, name: &str) {
        self.state().disturbances.insert(name.to_owned(), None);
    }

    pub(crate) fn end_disturbance(&self, name: &str) {
        let now = Some(Instant::now());
        self.state().disturbances.insert(name.to_owned(), now);
    }

    /// Returns whether `name` has been undisturbed for at least `SETTLE_TIME`.
    pub(crate) fn is_undisturbed(&self, name: &str) -> bool {
        self.was_undisturbed(name, SETTLE_TIME, Instant::now())
    }

    /// Returns whether `name` had been undisturbed for at least `duration` at `time`.
    pub(crate) fn was_undisturbed(&self, name: &str, duration: Duration, time: Instant) -> bool {
        match self.state().disturbances.get(name) {
            None => true,
            Some(None) => false,
            Some(Some(ended)) => time.saturating_duration_since(*ended) >= duration,
        }
    }

    /// Returns whether a disturbance of `name` lasts.
    pub(crate) fn is_disturbed(&self, name: &str) -> bool {
        matches!(self.state().disturbances.get(name), Some(None))
    }

    /// Prints and records a violation of a guarantee; the output calls it a broken promise.
    pub(crate) fn record_violation(&self, text: String) {
        self.print(&format!("BROKEN {text}"));
        self.state().violations.push(text);
    }

    pub(crate) fn count_answered(&self) {
        self.state().answered += 1;
    }

    pub(crate) fn count_failed(&self) {
        self.state().failed += 1;
    }

    /// Returns the numbers of answered and of failed requests.
    pub(crate) fn request_totals(&self) -> (u64, u64) {
        let state = self.state();
        (state.answered, state.failed)
    }

    /// Records executed requests; each may be executed only once.
    pub(crate) fn record_executed(&self, requests: Vec<String>) {
        for request in requests {
            let is_new = self.state().executed.insert(request.clone());
            if !is_new {
                self.record_violation(format!("request {request} was executed twice"));
            }
        }
    }

    pub(crate) fn violation_count(&self) -> usize {
        self.state().violations.len()
    }
}
