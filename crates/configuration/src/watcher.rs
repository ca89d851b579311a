//! Watcher slots: who watches the platform store for a failure domain.
//!
//! Each failure domain has two slots, each one object of the store. A holder renews its slot by
//! conditional update; every accepted write raises the version, so a holder that lost its slot
//! cannot write with the version that it held. The directory of peers is part of the slot's value
//! and is fenced in the same way.
//!
//! Only the balancers that rank first among those without a slot read the store, and only while
//! no live balancer claims the slot. The number of calls is therefore independent of the number of
//! balancers.

use std::net::SocketAddr;

use hawthorntide_types::{DurationMs, FailureDomain, NodeId, TimeMs, Version};
use serde::{Deserialize, Serialize};

/// Kind of the objects that are watcher slots.
pub const WATCHER_SLOT_KIND: &str = "watcher-slot";
/// Watcher slots of one failure domain.
pub const SLOTS_PER_DOMAIN: u32 = 2;
/// Peers that a slot names.
pub const MAX_DIRECTORY_PEERS: usize = 16;

/// Time for which a slot is held after the start of the last accepted write.
const LEASE_MS: DurationMs = DurationMs(30_000);
/// Interval of renewals. Each one wakes every watch, so it is not shorter than needed.
const RENEW_MS: DurationMs = DurationMs(10_000);
/// Interval between attempts to renew after a failure.
const RETRY_MS: DurationMs = DurationMs(2_000);
/// Time for which another process has to see the same version before it takes the slot over;
/// longer than a lease, so that the holder has stopped by then.
const LAPSE_MS: DurationMs = DurationMs(36_000);
/// Interval of reads while a slot is observed.
const OBSERVE_MS: DurationMs = DurationMs(6_000);
/// Time without a live claimant before the store is read.
const UNCLAIMED_MS: DurationMs = DurationMs(5_000);
/// Additional wait per rank among the candidates.
const RANK_MS: DurationMs = DurationMs(4_000);
/// Candidates that try; more would only add calls.
const MAX_RANK: usize = 3;
/// Time after which the answer to a call no longer counts.
const CALL_MS: DurationMs = DurationMs(10_000);

/// Value of a watcher slot in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatcherSlotValue {
    /// Balancer that holds the slot; absent when it was released.
    pub holder: Option<NodeId>,
    /// Identifies the write, so that its author knows it again when the answer was lost.
    pub token: u64,
    /// Control addresses of balancers, for processes that join.
    pub peers: Vec<SocketAddr>,
}

/// Slot as the store returned it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotState {
    /// Version of the object.
    pub version: Version,
    /// Value; `None` when it cannot be read.
    pub value: Option<WatcherSlotValue>,
}

/// Outcome of reading a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotRead {
    /// The slot exists.
    Found(SlotState),
    /// The slot was never taken; a deleted one has the version of its tombstone.
    Missing(Version),
    /// The store did not answer.
    Failed,
}

/// Outcome of writing a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotWrite {
    /// The write took effect and made this version.
    Accepted(Version),
    /// The slot had another version.
    Conflict,
    /// The write did not take effect.
    NotAccepted,
    /// The write may have taken effect.
    Unknown,
}

/// Claims that the membership shows in this balancer's failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WatcherClaims {
    /// Whether a live balancer other than this one claims the slot, by slot.
    pub is_claimed: [bool; SLOTS_PER_DOMAIN as usize],
    /// Place of this balancer among the live ones of the domain that claim no slot.
    pub rank: usize,
}

/// Input of a [`WatcherMachine`].
#[derive(Clone, Debug)]
pub enum WatcherEvent {
    /// Time passed; expected at least once a second.
    Tick,
    /// The membership changed.
    Claims(WatcherClaims),
    /// Peers for the directory changed.
    Directory(Vec<SocketAddr>),
    /// A slot was read.
    Read {
        /// Number of the call.
        call: u64,
        /// What came of it.
        outcome: SlotRead,
    },
    /// A slot was written.
    Written {
        /// Number of the call.
        call: u64,
        /// What came of it.
        outcome: SlotWrite,
    },
    /// The process stops; the slot is given up.
    Release,
}

/// Output of a [`WatcherMachine`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatcherAction {
    /// Read a slot.
    Read {
        /// Number of the call.
        call: u64,
        /// Name of the object.
        name: String,
    },
    /// Write a slot if it still has the expected version.
    Write {
        /// Number of the call.
        call: u64,
        /// Name of the object.
        name: String,
        /// Version that the object must have.
        expected: Version,
        /// New value.
        value: WatcherSlotValue,
    },
    /// The slot is held from now on: watch the store. Slots count from 1.
    Held {
        /// Slot.
        slot: u32,
        /// Version that fences writes.
        fence: Version,
    },
    /// The slot is no longer held: stop watching.
    Lost {
        /// Slot.
        slot: u32,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// No slot is held or wanted.
    Idle,
    /// A slot without a live claimant is being observed for a lapse.
    Observing(Observation),
    /// The write that takes a slot is on its way.
    Taking(PendingWrite),
    /// The slot is held.
    Holding(Tenure),
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Observation {
    slot: u32,
    seen: Option<(Version, TimeMs)>,
    call: Option<Call>,
    read_at: TimeMs,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Call {
    number: u64,
    since: TimeMs,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PendingWrite {
    slot: u32,
    call: Call,
    token: u64,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Tenure {
    slot: u32,
    version: Version,
    /// Start of the last accepted write; the lease counts from here.
    renewed_at: TimeMs,
    renew_at: TimeMs,
    renewal: Option<PendingWrite>,
    /// Token and start of a renewal whose outcome is open, and the read that resolves it.
    open: Option<(u64, TimeMs)>,
    read: Option<Call>,
}

/// Takes and renews one of the two watcher slots of a failure domain.
#[derive(Clone, Debug)]
pub struct WatcherMachine {
    node: NodeId,
    failure_domain: FailureDomain,
    state: State,
    claims: WatcherClaims,
    unclaimed_since: [Option<TimeMs>; SLOTS_PER_DOMAIN as usize],
    peers: Vec<SocketAddr>,
    next_call: u64,
    token_seed: u64,
    is_released: bool,
}

impl WatcherMachine {
    /// Creates the machine of one balancer; `token_seed` differs between runs of a process.
    pub fn new(node: NodeId, failure_domain: FailureDomain, token_seed: u64) -> Self {
        Self {
            node,
            failure_domain,
            state: State::Idle,
            claims: WatcherClaims::default(),
            unclaimed_since: [None; SLOTS_PER_DOMAIN as usize],
            peers: Vec::new(),
            next_call: 0,
            token_seed,
            is_released: false,
        }
    }

    /// Returns the slot that is held at `now`, counted from 1, and the version that fences writes.
    pub fn held(&self, now: TimeMs) -> Option<(u32, Version)> {
        match &self.state {
            State::Holding(tenure) if now.since(tenure.renewed_at) < LEASE_MS => {
                Some((tenure.slot + 1, tenure.version))
            }
            _ => None,
        }
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: TimeMs, event: WatcherEvent, out: &mut Vec<WatcherAction>) {
        // A process that was paused learns here that its lease ended before it does anything else.
        self.check_lease(now, out);
        match event {
            WatcherEvent::Tick => self.tick(now, out),
            WatcherEvent::Claims(claims) => self.set_claims(now, claims),
            WatcherEvent::Directory(mut peers) => {
                peers.truncate(MAX_DIRECTORY_PEERS);
                self.peers = peers;
            }
            WatcherEvent::Read { call, outcome } => self.take_read(now, call, outcome, out),
            WatcherEvent::Written { call, outcome } => self.take_written(now, call, outcome, out),
            WatcherEvent::Release => self.release(now, out),
        }
    }

    fn check_lease(&mut self, now: TimeMs, out: &mut Vec<WatcherAction>) {
        let State::Holding(tenure) = &self.state else {
            return;
        };
        if now.since(tenure.renewed_at) >= LEASE_MS {
            let slot = tenure.slot;
            self.lose(slot, out);
        }
    }

    fn lose(&mut self, slot: u32, out: &mut Vec<WatcherAction>) {
        self.state = State::Idle;
        self.unclaimed_since = [None; SLOTS_PER_DOMAIN as usize];
        out.push(WatcherAction::Lost { slot: slot + 1 });
    }

    fn set_claims(&mut self, now: TimeMs, claims: WatcherClaims) {
        self.claims = claims;
        for (slot, since) in self.unclaimed_since.iter_mut().enumerate() {
            if claims.is_claimed[slot] {
                *since = None;
            } else {
                since.get_or_insert(now);
            }
        }
        let is_obsolete = matches!(
            &self.state,
            State::Observing(observation) if claims.is_claimed[observation.slot as usize]
        );
        if is_obsolete {
            self.state = State::Idle;
        }
    }

    fn tick(&mut self, now: TimeMs, out: &mut Vec<WatcherAction>) {
        if self.is_released {
            return;
        }
        match self.state.clone() {
            State::Idle => self.look_for_slot(now),
            State::Taking(pending) if now.since(pending.call.since) >= CALL_MS => {
                self.observe(pending.slot, now);
            }
            State::Taking(_) => {}
            State::Observing(observation) => self.advance_observation(now, observation, out),
            State::Holding(tenure) => self.advance_tenure(now, tenure, out),
        }
        if let State::Observing(observation) = self.state.clone() {
            self.advance_observation(now, observation, out);
        }
    }

    fn look_for_slot(&mut self, now: TimeMs) {
        if self.claims.rank >= MAX_RANK {
            return;
        }
        // The first candidates begin at different slots, so that both are taken at once.
        let count = SLOTS_PER_DOMAIN as usize;
        let wait = UNCLAIMED_MS.get() + RANK_MS.get() * (self.claims.rank / count) as u64;
        let is_free = |slot: &usize| {
            self.unclaimed_since[*slot].is_some_and(|since| now.since(since).get() >= wait)
        };
        let mut order = (0..count).map(|offset| (self.claims.rank + offset) % count);
        if let Some(slot) = order.find(is_free) {
            self.observe(slot as u32, now);
        }
    }

    fn observe(&mut self, slot: u32, now: TimeMs) {
        self.state = State::Observing(Observation {
            slot,
            seen: None,
            call: None,
            read_at: now,
        });
    }

    fn advance_observation(
        &mut self,
        now: TimeMs,
        mut observation: Observation,
        out: &mut Vec<WatcherAction>,
    ) {
        if observation
            .call
            .is_some_and(|call| now.since(call.since) >= CALL_MS)
        {
            observation.call = None;
        }
        if observation.call.is_none() && now >= observation.read_at {
            observation.read_at = now + OBSERVE_MS;
            observation.call = Some(self.read(observation.slot, now, out));
        }
        self.state = State::Observing(observation);
    }

    fn advance_tenure(&mut self, now: TimeMs, mut tenure: Tenure, out: &mut Vec<WatcherAction>) {
        let is_late = |call: Call| now.since(call.since) >= CALL_MS;
        if let Some(renewal) = tenure.renewal
            && is_late(renewal.call)
        {
            tenure.renewal = None;
            tenure.open = Some((renewal.token, renewal.call.since));
            tenure.renew_at = now;
        }
        if tenure.read.is_some_and(is_late) {
            tenure.read = None;
        }
        let is_idle = tenure.renewal.is_none() && tenure.read.is_none();
        if !is_idle || now < tenure.renew_at {
            self.state = State::Holding(tenure);
            return;
        }
        tenure.renew_at = now + RETRY_MS;
        if tenure.open.is_some() {
            // An open write is read back before anything else is written.
            tenure.read = Some(self.read(tenure.slot, now, out));
        } else {
            let renewal = self.write(tenure.slot, tenure.version, Some(self.node), now, out);
            tenure.renewal = Some(renewal);
        }
        self.state = State::Holding(tenure);
    }

    fn take_read(
        &mut self,
        now: TimeMs,
        call: u64,
        outcome: SlotRead,
        out: &mut Vec<WatcherAction>,
    ) {
        match self.state.clone() {
            State::Observing(mut observation)
                if observation.call.is_some_and(|held| held.number == call) =>
            {
                observation.call = None;
                self.judge_observation(now, observation, outcome, out);
            }
            State::Holding(mut tenure) if tenure.read.is_some_and(|held| held.number == call) => {
                tenure.read = None;
                self.resolve_open(now, tenure, &outcome, out);
            }
            _ => {}
        }
    }

    fn judge_observation(
        &mut self,
        now: TimeMs,
        mut observation: Observation,
        outcome: SlotRead,
        out: &mut Vec<WatcherAction>,
    ) {
        let (version, is_free) = match outcome {
            SlotRead::Missing(version) => (version, true),
            SlotRead::Found(found) => {
                // A value that cannot be read has no holder that could renew it.
                let holder = found.value.and_then(|value| value.holder);
                // The own name comes from an earlier run or from a write whose answer was lost.
                let is_free = holder.is_none_or(|holder| holder == self.node);
                (found.version, is_free)
            }
            SlotRead::Failed => {
                self.state = State::Observing(observation);
                return;
            }
        };
        let seen = observation
            .seen
            .filter(|(seen, _)| *seen == version)
            .map_or(now, |(_, since)| since);
        observation.seen = Some((version, seen));
        if is_free || now.since(seen) >= LAPSE_MS {
            let pending = self.write(observation.slot, version, Some(self.node), now, out);
            self.state = State::Taking(pending);
            return;
        }
        self.state = State::Observing(observation);
    }

    /// Finds out whether an open renewal took effect.
    fn resolve_open(
        &mut self,
        now: TimeMs,
        mut tenure: Tenure,
        outcome: &SlotRead,
        out: &mut Vec<WatcherAction>,
    ) {
        let SlotRead::Found(found) = outcome else {
            if matches!(outcome, SlotRead::Missing(_)) {
                self.lose(tenure.slot, out);
            } else {
                self.state = State::Holding(tenure);
            }
            return;
        };
        if found.version == tenure.version {
            // Not applied so far. The next renewal raises the version, so it cannot apply later.
            tenure.open = None;
            tenure.renew_at = now;
            self.state = State::Holding(tenure);
            return;
        }
        let token = found.value.as_ref().map(|value| value.token);
        match tenure.open.take() {
            Some((written, since)) if token == Some(written) => {
                tenure.version = found.version;
                tenure.renewed_at = since;
                tenure.renew_at = now;
                self.state = State::Holding(tenure);
            }
            _ => self.lose(tenure.slot, out),
        }
    }

    fn take_written(
        &mut self,
        now: TimeMs,
        call: u64,
        outcome: SlotWrite,
        out: &mut Vec<WatcherAction>,
    ) {
        match self.state.clone() {
            State::Taking(pending) if pending.call.number == call => {
                self.take_taken(now, pending, outcome, out);
            }
            State::Holding(tenure)
                if tenure
                    .renewal
                    .is_some_and(|renewal| renewal.call.number == call) =>
            {
                self.take_renewed(now, tenure, outcome, out);
            }
            _ => {}
        }
    }

    fn take_taken(
        &mut self,
        now: TimeMs,
        pending: PendingWrite,
        outcome: SlotWrite,
        out: &mut Vec<WatcherAction>,
    ) {
        let SlotWrite::Accepted(version) = outcome else {
            // An open write is found by the next read, which then shows the own name.
            self.observe(pending.slot, now);
            if let State::Observing(observation) = &mut self.state {
                observation.read_at = now + RETRY_MS;
            }
            return;
        };
        if now.since(pending.call.since) >= LEASE_MS {
            self.observe(pending.slot, now);
            return;
        }
        self.state = State::Holding(Tenure {
            slot: pending.slot,
            version,
            renewed_at: pending.call.since,
            renew_at: pending.call.since + RENEW_MS,
            renewal: None,
            open: None,
            read: None,
        });
        out.push(WatcherAction::Held {
            slot: pending.slot + 1,
            fence: version,
        });
    }

    fn take_renewed(
        &mut self,
        now: TimeMs,
        mut tenure: Tenure,
        outcome: SlotWrite,
        out: &mut Vec<WatcherAction>,
    ) {
        let Some(renewal) = tenure.renewal.take() else {
            return;
        };
        match outcome {
            SlotWrite::Accepted(version) => {
                tenure.version = version;
                tenure.renewed_at = renewal.call.since;
                tenure.renew_at = renewal.call.since + RENEW_MS;
            }
            SlotWrite::Conflict => {
                self.lose(tenure.slot, out);
                return;
            }
            SlotWrite::NotAccepted => tenure.renew_at = now + RETRY_MS,
            SlotWrite::Unknown => {
                tenure.open = Some((renewal.token, renewal.call.since));
                tenure.renew_at = now + RETRY_MS;
            }
        }
        self.state = State::Holding(tenure);
    }

    /// Gives the slot up in the store, so that another process need not wait for the lapse.
    fn release(&mut self, now: TimeMs, out: &mut Vec<WatcherAction>) {
        self.is_released = true;
        let State::Holding(tenure) = self.state.clone() else {
            self.state = State::Idle;
            return;
        };
        self.write(tenure.slot, tenure.version, None, now, out);
        self.lose(tenure.slot, out);
    }

    fn read(&mut self, slot: u32, now: TimeMs, out: &mut Vec<WatcherAction>) -> Call {
        let call = self.call(now);
        out.push(WatcherAction::Read {
            call: call.number,
            name: slot_name(&self.failure_domain, slot),
        });
        call
    }

    fn write(
        &mut self,
        slot: u32,
        expected: Version,
        holder: Option<NodeId>,
        now: TimeMs,
        out: &mut Vec<WatcherAction>,
    ) -> PendingWrite {
        let call = self.call(now);
        let token = self.token_seed.wrapping_add(call.number);
        out.push(WatcherAction::Write {
            call: call.number,
            name: slot_name(&self.failure_domain, slot),
            expected,
            value: WatcherSlotValue {
                holder,
                token,
                peers: self.peers.clone(),
            },
        });
        PendingWrite { slot, call, token }
    }

    fn call(&mut self, now: TimeMs) -> Call {
        self.next_call += 1;
        Call {
            number: self.next_call,
            since: now,
        }
    }
}

/// Returns the name of the object of a slot, counted from 0.
pub fn slot_name(failure_domain: &FailureDomain, slot: u32) -> String {
    format!("{failure_domain}-{slot}")
}
