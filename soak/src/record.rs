//! What was disturbed when, and which promises were broken.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time without disturbance after which a process keeps the promises that have a time bound.
pub(crate) const CALM: Duration = Duration::from_secs(4);

/// Record of a run, shared by all parts of the soak.
#[derive(Debug)]
pub(crate) struct Ledger {
    began: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the disturbance of a process or of the store ended, or none while it lasts.
    disturbed: BTreeMap<String, Option<Instant>>,
    broken: Vec<String>,
    answered: u64,
    failed: u64,
    ran: BTreeSet<String>,
}

impl Ledger {
    pub(crate) fn new() -> Self {
        Self {
            began: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Prints a line with the time since the begin.
    pub(crate) fn note(&self, text: &str) {
        println!("{:8.3} {text}", self.began.elapsed().as_secs_f64());
    }

    pub(crate) fn begin_disturbance(&self, name: &str) {
        self.state().disturbed.insert(name.to_owned(), None);
    }

    pub(crate) fn end_disturbance(&self, name: &str) {
        let now = Some(Instant::now());
        self.state().disturbed.insert(name.to_owned(), now);
    }

    /// Returns whether `name` has been undisturbed for long enough.
    pub(crate) fn is_calm(&self, name: &str) -> bool {
        match self.state().disturbed.get(name) {
            None => true,
            Some(None) => false,
            Some(Some(ended)) => ended.elapsed() >= CALM,
        }
    }

    /// Records a broken promise.
    pub(crate) fn broken(&self, text: String) {
        self.note(&format!("BROKEN {text}"));
        self.state().broken.push(text);
    }

    pub(crate) fn answered(&self) {
        self.state().answered += 1;
    }

    pub(crate) fn failed(&self) {
        self.state().failed += 1;
    }

    /// Returns how many requests were answered and how many were not.
    pub(crate) fn totals(&self) -> (u64, u64) {
        let state = self.state();
        (state.answered, state.failed)
    }

    /// Records requests that ran; each may run once.
    pub(crate) fn ran(&self, requests: Vec<String>) {
        for request in requests {
            let is_new = self.state().ran.insert(request.clone());
            if !is_new {
                self.broken(format!("request {request} ran twice"));
            }
        }
    }

    pub(crate) fn broken_count(&self) -> usize {
        self.state().broken.len()
    }
}
