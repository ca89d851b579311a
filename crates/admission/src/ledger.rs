//! Outcomes of requests per session, for at-most-once execution.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use displaydoc::Display;
use hawthorntide_types::{DurationMs, Epoch, Ran, ResultCode, Sequence, SessionId, TimeMs};
use thiserror::Error;

use crate::hash::FixedState;

/// Sequences that a session keeps.
const WINDOW: u64 = 64;
/// Marks the state of a closed sequence; the other bits hold the result code.
const CLOSED: u8 = 0x80;
/// Memory that one kept answer needs besides its bytes; empty answers count as well.
const ANSWER_OVERHEAD_BYTES: usize = 96;
/// Sessions looked at to find an idle one for eviction, so that a flood of connections to a full
/// ledger stays cheap. The next attempt goes on where this one ended.
const EVICTION_LOOKS: usize = 64;
/// Entries of the order of kept answers that may be stale before they are swept.
const STALE_KEPT_ENTRIES: usize = 1024;
/// State of a sequence that was not seen.
const UNSEEN: u8 = 0;
/// State of a sequence that was accepted and not handed to the upstream yet.
const WAITING: u8 = 1;
/// State of a sequence that was handed to the upstream.
const HANDED_OVER: u8 = 2;

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Sessions that are kept at most.
    pub sessions: usize,
    /// Bytes of answers that are kept at most.
    pub answer_bytes: usize,
    /// Time after which a session without connection is forgotten.
    pub idle_ms: DurationMs,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            sessions: 20_000,
            answer_bytes: 16 * 1024 * 1024,
            idle_ms: DurationMs(10 * 60 * 1000),
        }
    }
}

/// Result of a request that ran or may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Result code.
    pub code: ResultCode,
    /// Whole answer, or `None` once its memory was needed for later answers.
    pub answer: Option<Bytes>,
}

/// What to do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// First time: run it.
    Run,
    /// An earlier call holds it; its answer goes to that call.
    InProgress,
    /// It ended with this outcome.
    Done(Outcome),
    /// It was reported as not run with this code and never runs.
    Fenced(ResultCode),
    /// The ledger cannot tell; it is not run.
    Unknown(ResultCode),
}

/// Whether a request may be reported as not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceResult {
    /// It never runs.
    Fenced,
    /// It was handed over, has ended, or is not known; "not run" must not be reported.
    TooLate,
}

/// Why a session was not opened.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum OpenRefused {
    /// the session identifier is in use
    Known,
    /// all sessions of the ledger are connected
    Full,
}

/// Number and memory of kept answers.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerMemory {
    count: usize,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Session {
    highest: u64,
    states: [u8; WINDOW as usize],
    answers: VecDeque<(u64, Bytes)>,
    connections: u32,
    last_used: TimeMs,
}

/// Record of the requests of all sessions that this run of the agent granted.
#[derive(Clone, Debug)]
pub struct Ledger {
    epoch: Epoch,
    limits: LedgerLimits,
    sessions: HashMap<SessionId, Box<Session>, FixedState>,
    /// Next look at each session; sorted by time.
    checks: VecDeque<(TimeMs, SessionId)>,
    /// Kept answers, oldest first; may name answers that left the window of their session.
    kept: VecDeque<(SessionId, u64)>,
    kept_count: usize,
    kept_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger of the agent's run `epoch`.
    pub fn new(epoch: Epoch, limits: LedgerLimits) -> Self {
        Self {
            epoch,
            limits,
            sessions: HashMap::default(),
            checks: VecDeque::new(),
            kept: VecDeque::new(),
            kept_count: 0,
            kept_bytes: 0,
        }
    }

    /// Returns the epoch of the sessions that this ledger holds.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the memory of kept answers.
    pub fn answer_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Opens `session` for a new connection. Identifiers are drawn from all 64-bit numbers and
    /// never used again within an epoch.
    pub fn open(&mut self, now: TimeMs, session: SessionId) -> Result<(), OpenRefused> {
        if self.sessions.contains_key(&session) {
            return Err(OpenRefused::Known);
        }
        if self.sessions.len() >= self.limits.sessions {
            self.evict_idle()?;
        }
        let state = Session {
            highest: 0,
            states: [UNSEEN; WINDOW as usize],
            answers: VecDeque::new(),
            connections: 1,
            last_used: now,
        };
        self.sessions.insert(session, Box::new(state));
        self.checks.push_back((now + self.limits.idle_ms, session));
        Ok(())
    }

    /// Attaches another connection to `session`; returns whether the ledger holds it.
    pub fn resume(&mut self, now: TimeMs, session: SessionId, epoch: Epoch) -> bool {
        if epoch != self.epoch {
            return false;
        }
        let Some(state) = self.sessions.get_mut(&session) else {
            return false;
        };
        state.connections += 1;
        state.last_used = now;
        true
    }

    /// Takes in that a connection of `session` ended.
    pub fn detach(&mut self, now: TimeMs, session: SessionId) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.connections = state.connections.saturating_sub(1);
            state.last_used = now;
        }
    }

    /// Asks what to do with a request. `Disposition::Run` is returned once per sequence.
    pub fn begin(
        &mut self,
        now: TimeMs,
        session: SessionId,
        epoch: Epoch,
        sequence: Sequence,
    ) -> Disposition {
        if epoch != self.epoch {
            return Disposition::Unknown(ResultCode::UnknownAgentGone);
        }
        let Some(state) = self.sessions.get_mut(&session) else {
            return Disposition::Unknown(ResultCode::UnknownTooOld);
        };
        state.last_used = now;
        if sequence.get() > state.highest {
            let freed = state.move_to(sequence.get());
            // The fields are named one by one because `state` borrows the sessions.
            self.kept_count -= freed.count;
            self.kept_bytes -= freed.bytes;
        }
        let Some(slot) = state.slot(sequence.get()) else {
            return Disposition::Unknown(ResultCode::UnknownTooOld);
        };
        match state.states[slot] {
            UNSEEN => {
                state.states[slot] = WAITING;
                Disposition::Run
            }
            WAITING | HANDED_OVER => Disposition::InProgress,
            closed => state.closed(sequence.get(), closed),
        }
    }

    /// Marks that the request goes to the upstream now. Only after `true` may it be handed over.
    pub fn mark_dispatched(&mut self, session: SessionId, sequence: Sequence) -> bool {
        self.change(session, sequence, WAITING, HANDED_OVER)
    }

    /// Records the outcome of a request that was handed over; the first outcome counts.
    pub fn finish(&mut self, session: SessionId, sequence: Sequence, outcome: Outcome) -> bool {
        debug_assert_ne!(
            outcome.code.ran(),
            Ran::No,
            "work that was not run has no outcome"
        );
        let closed = CLOSED | outcome.code.number();
        if !self.change(session, sequence, HANDED_OVER, closed) {
            return false;
        }
        if let Some(answer) = outcome.answer {
            self.keep(session, sequence.get(), answer);
        }
        true
    }

    /// Fences a request before it was handed over, so that `code` may be reported as not run.
    pub fn fence(
        &mut self,
        session: SessionId,
        sequence: Sequence,
        code: ResultCode,
    ) -> FenceResult {
        debug_assert_eq!(
            code.ran(),
            Ran::No,
            "only a code of work that was not run fences"
        );
        self.fence_from(session, sequence, WAITING, code)
    }

    /// Fences a request that was handed over, but of which it is certain that it was not started:
    /// the upstream said so, or no connection to it was made.
    pub fn fence_unstarted(
        &mut self,
        session: SessionId,
        sequence: Sequence,
        code: ResultCode,
    ) -> FenceResult {
        debug_assert_eq!(
            code.ran(),
            Ran::No,
            "only a code of work that was not run fences"
        );
        self.fence_from(session, sequence, HANDED_OVER, code)
    }

    /// Forgets sessions that were idle for too long; due about once a second.
    pub fn expire(&mut self, now: TimeMs) {
        while let Some(&(due, session)) = self.checks.front() {
            if due > now {
                return;
            }
            self.checks.pop_front();
            self.check_idle(now, session);
        }
    }

    fn check_idle(&mut self, now: TimeMs, session: SessionId) {
        let Some(state) = self.sessions.get(&session) else {
            return;
        };
        let is_idle = now.since(state.last_used) >= self.limits.idle_ms;
        if is_idle && state.is_removable() {
            self.remove(session);
            return;
        }
        self.checks.push_back((now + self.limits.idle_ms, session));
    }

    /// Removes a session without connection and without request in progress.
    fn evict_idle(&mut self) -> Result<(), OpenRefused> {
        for _ in 0..EVICTION_LOOKS {
            let Some((due, session)) = self.checks.pop_front() else {
                break;
            };
            let Some(state) = self.sessions.get(&session) else {
                continue;
            };
            if state.is_removable() {
                self.remove(session);
                return Ok(());
            }
            self.checks.push_back((due, session));
        }
        Err(OpenRefused::Full)
    }

    fn remove(&mut self, session: SessionId) {
        if let Some(state) = self.sessions.remove(&session) {
            self.release(state.answer_memory());
        }
    }

    fn release(&mut self, freed: AnswerMemory) {
        self.kept_count -= freed.count;
        self.kept_bytes -= freed.bytes;
    }

    fn change(&mut self, session: SessionId, sequence: Sequence, from: u8, to: u8) -> bool {
        let Some(state) = self.sessions.get_mut(&session) else {
            return false;
        };
        let Some(slot) = state.slot(sequence.get()) else {
            return false;
        };
        if state.states[slot] != from {
            return false;
        }
        state.states[slot] = to;
        true
    }

    fn fence_from(
        &mut self,
        session: SessionId,
        sequence: Sequence,
        from: u8,
        code: ResultCode,
    ) -> FenceResult {
        if self.change(session, sequence, from, CLOSED | code.number()) {
            return FenceResult::Fenced;
        }
        FenceResult::TooLate
    }

    fn keep(&mut self, session: SessionId, sequence: u64, answer: Bytes) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        self.kept_count += 1;
        self.kept_bytes += answer.len() + ANSWER_OVERHEAD_BYTES;
        state.answers.push_back((sequence, answer));
        self.kept.push_back((session, sequence));
        self.drop_oldest_answers();
        self.sweep_kept();
    }

    fn drop_oldest_answers(&mut self) {
        while self.kept_bytes > self.limits.answer_bytes {
            let Some((session, sequence)) = self.kept.pop_front() else {
                return;
            };
            let Some(state) = self.sessions.get_mut(&session) else {
                continue;
            };
            let freed = state.drop_answer(sequence);
            self.release(freed);
        }
    }

    /// Removes entries of answers that left the window of their session.
    fn sweep_kept(&mut self) {
        if self.kept.len() < 2 * self.kept_count + STALE_KEPT_ENTRIES {
            return;
        }
        let sessions = &self.sessions;
        let is_kept = |(session, sequence): &(SessionId, u64)| {
            let state = sessions.get(session);
            state.is_some_and(|state| state.answer_index(*sequence).is_some())
        };
        self.kept.retain(is_kept);
    }
}

impl Session {
    /// Returns the place of `sequence` in the window, if it is inside.
    fn slot(&self, sequence: u64) -> Option<usize> {
        let is_inside = sequence <= self.highest && self.highest - sequence < WINDOW;
        is_inside.then_some((sequence % WINDOW) as usize)
    }

    /// Moves the window so that `highest` is its newest sequence.
    fn move_to(&mut self, highest: u64) -> AnswerMemory {
        let steps = (highest - self.highest).min(WINDOW);
        for sequence in highest - steps + 1..=highest {
            self.states[(sequence % WINDOW) as usize] = UNSEEN;
        }
        self.highest = highest;
        let before = self.answer_memory();
        self.answers
            .retain(|(sequence, _)| highest - sequence < WINDOW);
        let after = self.answer_memory();
        AnswerMemory {
            count: before.count - after.count,
            bytes: before.bytes - after.bytes,
        }
    }

    fn closed(&self, sequence: u64, state: u8) -> Disposition {
        let Ok(code) = ResultCode::try_from(state & !CLOSED) else {
            return Disposition::Unknown(ResultCode::UnknownTooOld);
        };
        if code.ran() == Ran::No {
            return Disposition::Fenced(code);
        }
        let index = self.answer_index(sequence);
        Disposition::Done(Outcome {
            code,
            answer: index.map(|index| self.answers[index].1.clone()),
        })
    }

    fn is_removable(&self) -> bool {
        let is_open = |state: &u8| matches!(*state, WAITING | HANDED_OVER);
        self.connections == 0 && !self.states.iter().any(is_open)
    }

    fn answer_index(&self, sequence: u64) -> Option<usize> {
        self.answers.iter().position(|(kept, _)| *kept == sequence)
    }

    fn answer_memory(&self) -> AnswerMemory {
        let content: usize = self.answers.iter().map(|(_, answer)| answer.len()).sum();
        AnswerMemory {
            count: self.answers.len(),
            bytes: content + self.answers.len() * ANSWER_OVERHEAD_BYTES,
        }
    }

    fn drop_answer(&mut self, sequence: u64) -> AnswerMemory {
        let index = self.answer_index(sequence);
        let removed = index.and_then(|index| self.answers.remove(index));
        removed.map_or_else(AnswerMemory::default, |(_, answer)| AnswerMemory {
            count: 1,
            bytes: answer.len() + ANSWER_OVERHEAD_BYTES,
        })
    }
}
