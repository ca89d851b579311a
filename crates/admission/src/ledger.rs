//! Request ledger: the state and outcome of the requests of each session, for at-most-once
//! execution.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use displaydoc::Display;
use hawthorntide_types::{DurationMs, Epoch, Ran, ResultCode, Sequence, SessionId, TimeMs};
use thiserror::Error;

use crate::hash::FixedState;

/// Length of the sequence window of a session; older sequences are forgotten.
const SEQUENCE_WINDOW: u64 = 64;
/// Flag of the state of a sequence that has ended; the other bits hold the result code.
const ENDED_FLAG: u8 = 0x80;
/// Memory counted for each stored answer in addition to its payload, so that empty answers count
/// too.
const ANSWER_OVERHEAD_BYTES: usize = 96;
/// Sessions checked in one attempt to evict one, so that a flood of connections to a full ledger
/// stays cheap. The next attempt continues where this one stopped.
const MAX_EVICTION_CHECKS: usize = 64;
/// Stale entries that the eviction order may hold, in addition to one per stored answer, before
/// they are removed.
const MAX_STALE_ANSWER_ENTRIES: usize = 1024;
/// State of a sequence that has not arrived.
const NOT_SEEN: u8 = 0;
/// State of a request that was accepted but not yet dispatched to the upstream.
const QUEUED: u8 = 1;
/// State of a request that was dispatched to the upstream.
const DISPATCHED: u8 = 2;

/// Memory and time limits of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Maximum number of sessions.
    pub sessions: usize,
    /// Maximum memory of stored answers, in bytes.
    pub answer_bytes: usize,
    /// Idle time after which a session without connections is removed.
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
    pub code: ResultCode,
    /// Complete answer, or `None` if there is none or it was evicted in favour of later ones.
    pub answer: Option<Bytes>,
}

/// How to treat an arriving request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// It is new and must be run.
    Run,
    /// It is a duplicate of a request in progress; the call of the first copy gets the answer.
    InProgress,
    /// It is a duplicate of a request that ended with this outcome.
    Done(Outcome),
    /// It may have been reported as not run with this code, and must never run.
    Fenced(ResultCode),
    /// The ledger holds no state for it. It may have run before, so it must not run.
    Unknown(ResultCode),
}

/// Whether a request was fenced, so that it may be reported as not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceResult {
    /// The request can never run.
    Fenced,
    /// The request was dispatched, has ended or is unknown; "not run" must not be reported.
    TooLate,
}

/// Why a session was not opened.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum OpenError {
    /// the session identifier is already in use
    InUse,
    /// the ledger is full and no session without connections or open requests was found
    Full,
}

/// Number and memory of stored answers.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerMemory {
    count: usize,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Session {
    /// Highest sequence that has arrived; the window ends with it.
    highest: u64,
    /// States of the sequences in the window, each at the index of its sequence modulo the length.
    states: [u8; SEQUENCE_WINDOW as usize],
    answers: VecDeque<(u64, Bytes)>,
    connections: u32,
    last_used: TimeMs,
}

/// Request ledger of all sessions that this process of the agent has granted.
#[derive(Clone, Debug)]
pub struct Ledger {
    epoch: Epoch,
    limits: LedgerLimits,
    sessions: HashMap<SessionId, Box<Session>, FixedState>,
    /// Time of the next idle check of each session, ascending except for entries that an eviction
    /// attempt moved to the back.
    idle_checks: VecDeque<(TimeMs, SessionId)>,
    /// Stored answers in eviction order, oldest first. Entries become stale when an answer leaves
    /// the sequence window of its session.
    answer_order: VecDeque<(SessionId, u64)>,
    answer_count: usize,
    answer_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger; `epoch` identifies this process of the agent.
    pub fn new(epoch: Epoch, limits: LedgerLimits) -> Self {
        Self {
            epoch,
            limits,
            sessions: HashMap::default(),
            idle_checks: VecDeque::new(),
            answer_order: VecDeque::new(),
            answer_count: 0,
            answer_bytes: 0,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the memory of stored answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Opens `session` for a new connection. The caller draws the identifier at random from all
    /// 64-bit numbers and never reuses it within an epoch.
    pub fn open(&mut self, now: TimeMs, session: SessionId) -> Result<(), OpenError> {
        if self.sessions.contains_key(&session) {
            return Err(OpenError::InUse);
        }
        if self.sessions.len() >= self.limits.sessions {
            self.evict_idle()?;
        }
        let state = Session {
            highest: 0,
            states: [NOT_SEEN; SEQUENCE_WINDOW as usize],
            answers: VecDeque::new(),
            connections: 1,
            last_used: now,
        };
        self.sessions.insert(session, Box::new(state));
        self.idle_checks
            .push_back((now + self.limits.idle_ms, session));
        Ok(())
    }

    /// Attaches another connection to `session`; returns whether the session exists.
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

    /// Detaches a connection of `session` that has ended.
    pub fn detach(&mut self, now: TimeMs, session: SessionId) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.connections = state.connections.saturating_sub(1);
            state.last_used = now;
        }
    }

    /// Registers an arriving request. Returns `Disposition::Run` at most once per sequence.
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
            let freed = state.advance_to(sequence.get());
            // `subtract_answers` borrows all of `self`, and `state` still borrows `self.sessions`.
            self.answer_count -= freed.count;
            self.answer_bytes -= freed.bytes;
        }
        let Some(index) = state.index_of(sequence.get()) else {
            return Disposition::Unknown(ResultCode::UnknownTooOld);
        };
        match state.states[index] {
            NOT_SEEN => {
                state.states[index] = QUEUED;
                Disposition::Run
            }
            QUEUED | DISPATCHED => Disposition::InProgress,
            ended => state.disposition(sequence.get(), ended),
        }
    }

    /// Marks a request as dispatched. It may be sent to the upstream only if this returns `true`.
    pub fn mark_dispatched(&mut self, session: SessionId, sequence: Sequence) -> bool {
        self.transition(session, sequence, QUEUED, DISPATCHED)
    }

    /// Records the outcome of a dispatched request. Returns `false` for any later outcome.
    pub fn finish(&mut self, session: SessionId, sequence: Sequence, outcome: Outcome) -> bool {
        debug_assert_ne!(
            outcome.code.ran(),
            Ran::No,
            "a request that was not run has no outcome"
        );
        let ended = ENDED_FLAG | outcome.code.number();
        if !self.transition(session, sequence, DISPATCHED, ended) {
            return false;
        }
        if let Some(answer) = outcome.answer {
            self.store_answer(session, sequence.get(), answer);
        }
        true
    }

    /// Fences a request that is not dispatched yet, so that it may be reported as not run with
    /// `code`.
    pub fn fence(
        &mut self,
        session: SessionId,
        sequence: Sequence,
        code: ResultCode,
    ) -> FenceResult {
        debug_assert_eq!(
            code.ran(),
            Ran::No,
            "a request is fenced with a not-run code"
        );
        self.fence_from(session, sequence, QUEUED, code)
    }

    /// Fences a dispatched request that certainly was not started: the upstream reported so, or no
    /// connection to it was established.
    pub fn fence_unstarted(
        &mut self,
        session: SessionId,
        sequence: Sequence,
        code: ResultCode,
    ) -> FenceResult {
        debug_assert_eq!(
            code.ran(),
            Ran::No,
            "a request is fenced with a not-run code"
        );
        self.fence_from(session, sequence, DISPATCHED, code)
    }

    /// Removes sessions that exceeded the idle time; to be called about once a second.
    pub fn expire(&mut self, now: TimeMs) {
        while let Some(&(due, session)) = self.idle_checks.front() {
            if due > now {
                return;
            }
            self.idle_checks.pop_front();
            self.check_idle(now, session);
        }
    }

    fn check_idle(&mut self, now: TimeMs, session: SessionId) {
        let Some(state) = self.sessions.get(&session) else {
            return;
        };
        let is_idle = now.since(state.last_used) >= self.limits.idle_ms;
        if is_idle && state.is_evictable() {
            self.remove(session);
            return;
        }
        self.idle_checks
            .push_back((now + self.limits.idle_ms, session));
    }

    /// Removes one session without connections and without requests in progress.
    fn evict_idle(&mut self) -> Result<(), OpenError> {
        for _ in 0..MAX_EVICTION_CHECKS {
            let Some((due, session)) = self.idle_checks.pop_front() else {
                break;
            };
            let Some(state) = self.sessions.get(&session) else {
                continue;
            };
            if state.is_evictable() {
                self.remove(session);
                return Ok(());
            }
            self.idle_checks.push_back((due, session));
        }
        Err(OpenError::Full)
    }

    fn remove(&mut self, session: SessionId) {
        if let Some(state) = self.sessions.remove(&session) {
            self.subtract_answers(state.answer_memory());
        }
    }

    fn subtract_answers(&mut self, freed: AnswerMemory) {
        self.answer_count -= freed.count;
        self.answer_bytes -= freed.bytes;
    }

    fn transition(&mut self, session: SessionId, sequence: Sequence, from: u8, to: u8) -> bool {
        let Some(state) = self.sessions.get_mut(&session) else {
            return false;
        };
        let Some(index) = state.index_of(sequence.get()) else {
            return false;
        };
        if state.states[index] != from {
            return false;
        }
        state.states[index] = to;
        true
    }

    fn fence_from(
        &mut self,
        session: SessionId,
        sequence: Sequence,
        from: u8,
        code: ResultCode,
    ) -> FenceResult {
        if self.transition(session, sequence, from, ENDED_FLAG | code.number()) {
            return FenceResult::Fenced;
        }
        FenceResult::TooLate
    }

    fn store_answer(&mut self, session: SessionId, sequence: u64, answer: Bytes) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        self.answer_count += 1;
        self.answer_bytes += answer.len() + ANSWER_OVERHEAD_BYTES;
        state.answers.push_back((sequence, answer));
        self.answer_order.push_back((session, sequence));
        self.evict_oldest_answers();
        self.remove_stale_entries();
    }

    fn evict_oldest_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some((session, sequence)) = self.answer_order.pop_front() else {
                return;
            };
            let Some(state) = self.sessions.get_mut(&session) else {
                continue;
            };
            let freed = state.drop_answer(sequence);
            self.subtract_answers(freed);
        }
    }

    /// Removes the entries of answers that are no longer stored, once there are many.
    fn remove_stale_entries(&mut self) {
        if self.answer_order.len() < 2 * self.answer_count + MAX_STALE_ANSWER_ENTRIES {
            return;
        }
        let sessions = &self.sessions;
        let is_stored = |(session, sequence): &(SessionId, u64)| {
            let state = sessions.get(session);
            state.is_some_and(|state| state.answer_index(*sequence).is_some())
        };
        self.answer_order.retain(is_stored);
    }
}

impl Session {
    /// Returns the index of the state of `sequence`, if it is within the window.
    fn index_of(&self, sequence: u64) -> Option<usize> {
        let is_inside = sequence <= self.highest && self.highest - sequence < SEQUENCE_WINDOW;
        is_inside.then_some((sequence % SEQUENCE_WINDOW) as usize)
    }

    /// Advances the window to end at `highest`; returns the memory of the answers that left it.
    fn advance_to(&mut self, highest: u64) -> AnswerMemory {
        let steps = (highest - self.highest).min(SEQUENCE_WINDOW);
        for sequence in highest - steps + 1..=highest {
            self.states[(sequence % SEQUENCE_WINDOW) as usize] = NOT_SEEN;
        }
        self.highest = highest;
        let before = self.answer_memory();
        self.answers
            .retain(|(sequence, _)| highest - sequence < SEQUENCE_WINDOW);
        let after = self.answer_memory();
        AnswerMemory {
            count: before.count - after.count,
            bytes: before.bytes - after.bytes,
        }
    }

    fn disposition(&self, sequence: u64, state: u8) -> Disposition {
        let Ok(code) = ResultCode::try_from(state & !ENDED_FLAG) else {
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

    fn is_evictable(&self) -> bool {
        let is_open = |state: &u8| matches!(*state, QUEUED | DISPATCHED);
        self.connections == 0 && !self.states.iter().any(is_open)
    }

    fn answer_index(&self, sequence: u64) -> Option<usize> {
        self.answers
            .iter()
            .position(|(stored, _)| *stored == sequence)
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
