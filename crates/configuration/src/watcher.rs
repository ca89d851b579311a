//! State machine that elects the balancers of a failure domain that watch the platform store.
//!
//! Each failure domain has two watcher slots. A slot is an object of the store that a balancer holds
//! under a lease and renews by conditional writes. Every accepted write raises the object's version,
//! which serves as fencing token: a former holder's write fails because it expects an old version. The
//! slot's value also lists peers for joining processes, so that list is fenced as well.
//!
//! Only the lowest-ranked balancers without a slot read the store, and only while no live balancer claims
//! the slot. The number of store calls therefore does not grow with the number of balancers.

use std::net::SocketAddr;

use hawthorntide_types::{DurationMs, FailureDomain, NodeId, TimeMs, Version};
use serde::{Deserialize, Serialize};

/// Kind of watcher slots in the platform store.
pub const WATCHER_SLOT_KIND: &str = "watcher-slot";
pub const SLOTS_PER_DOMAIN: u32 = 2;
/// Maximum number of peers that the value of a slot lists; further ones are left out.
pub const MAX_DIRECTORY_PEERS: usize = 16;

/// Lease duration, counted from the start of the last accepted write.
const LEASE_MS: DurationMs = DurationMs(30_000);
/// Interval between lease renewals. Each renewal is an event for every watch of the store, so a shorter
/// interval would add load.
const RENEW_INTERVAL_MS: DurationMs = DurationMs(10_000);
/// Backoff after a failed renewal or acquisition.
const RETRY_DELAY_MS: DurationMs = DurationMs(2_000);
/// A slot whose version has not changed for this long may be taken over by another balancer. Longer
/// than a lease, so the former holder has stopped by then.
const TAKEOVER_MS: DurationMs = DurationMs(36_000);
/// Interval between reads of a slot under observation.
const OBSERVE_INTERVAL_MS: DurationMs = DurationMs(6_000);
/// A candidate reads a slot from the store if no live balancer has claimed it for this long.
const UNCLAIMED_MS: DurationMs = DurationMs(5_000);
/// Additional delay for each further pair of candidates, so that they do not all start at once.
const RANK_DELAY_MS: DurationMs = DurationMs(4_000);
/// Number of candidates that try to acquire a slot; more would only add store calls.
const MAX_CANDIDATES: usize = 3;
/// Timeout of a store call; a later answer is ignored.
const CALL_TIMEOUT_MS: DurationMs = DurationMs(10_000);

/// Value of a watcher slot in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatcherSlotValue {
    /// Balancer that holds the slot; `None` after a release.
    pub holder: Option<NodeId>,
    /// Identifies the write, so that its writer can recognize it when the answer was lost.
    pub token: u64,
    /// Control addresses of balancers that joining processes can contact.
    pub peers: Vec<SocketAddr>,
}

/// Version and value of a slot as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotState {
    /// Version of the slot's object.
    pub version: Version,
    /// `None` when the stored value cannot be decoded.
    pub value: Option<WatcherSlotValue>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotRead {
    Found(SlotState),
    /// The object does not exist: [`Version::NONE`], or the version of its tombstone after a delete.
    Missing(Version),
    /// The store did not answer or refused the read.
    Failed,
}

impl SlotRead {
    /// Returns the version of the slot if it is lower than `version`.
    fn version_before(&self, version: Version) -> Option<Version> {
        let read = match self {
            Self::Found(found) => found.version,
            Self::Missing(missing) => *missing,
            Self::Failed => return None,
        };
        (read < version).then_some(read)
    }
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotWrite {
    /// The write was applied and produced this version.
    Accepted(Version),
    /// The slot has another version than the expected one, as this read shows; nothing was written.
    Conflict(SlotRead),
    /// The write was not applied.
    NotAccepted,
    /// The answer was lost; the write may have been applied, or may be applied later.
    Unknown,
}

/// Claims to the watcher slots of this balancer's failure domain, as known from the membership.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WatcherClaims {
    /// For each slot, whether a live balancer other than this one claims it.
    pub is_claimed: [bool; SLOTS_PER_DOMAIN as usize],
    /// Rank of this balancer, from 0, among the live ones of the domain that claim no slot.
    pub rank: usize,
}

/// Input event of the [`WatcherMachine`].
#[derive(Clone, Debug)]
pub enum WatcherEvent {
    /// Drives all timers; send it at least once a second.
    Tick,
    /// The claims or ranks in the membership changed.
    Claims(WatcherClaims),
    /// The peers to list in the slot changed; they are stored with the next renewal.
    Directory(Vec<SocketAddr>),
    /// A [`WatcherAction::Read`] ended.
    Read {
        /// Call number from the action.
        call: u64,
        /// Result of the read.
        outcome: SlotRead,
    },
    /// A [`WatcherAction::Write`] ended.
    Written {
        /// Call number from the action.
        call: u64,
        /// Result of the write.
        outcome: SlotWrite,
    },
    /// The process stops: release the slot and acquire none again.
    Release,
}

/// Output action of the [`WatcherMachine`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatcherAction {
    /// Read a slot and report back with [`WatcherEvent::Read`].
    Read {
        /// Identifies the call in the event that answers it.
        call: u64,
        /// Name of the slot's object.
        name: String,
    },
    /// Write a slot conditionally and report back with [`WatcherEvent::Written`].
    Write {
        /// Identifies the call in the event that answers it.
        call: u64,
        /// Name of the slot's object.
        name: String,
        /// The write applies only if the object has this version.
        expected: Version,
        /// New value of the slot.
        value: WatcherSlotValue,
    },
    /// The slot was acquired: start watching the store.
    Held {
        /// Number of the slot, from 1.
        slot: u32,
        /// Fencing token: version of the slot's object.
        fence: Version,
    },
    /// The slot is no longer held: stop watching the store.
    Lost {
        /// Number of the slot, from 1.
        slot: u32,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// No slot is held or under observation.
    Idle,
    /// Reads a slot that no live balancer claims, until the slot is free or its lease has expired.
    Observing(Observation),
    /// The write that acquires a slot is in flight.
    Acquiring(PendingWrite),
    /// The slot is held under a lease.
    Holding(Lease),
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Observation {
    slot: u32,
    /// Version last read, and when it was first seen.
    seen: Option<(Version, TimeMs)>,
    /// Read in flight.
    call: Option<Call>,
    /// When the next read is due.
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
struct Lease {
    slot: u32,
    version: Version,
    /// Start of the last accepted write, from which the lease counts.
    renewed_at: TimeMs,
    /// When the next renewal, or the read that resolves an unknown one, is due.
    renew_at: TimeMs,
    /// Renewal in flight.
    renewal: Option<PendingWrite>,
    /// Token and start of a renewal whose outcome is unknown.
    unresolved: Option<(u64, TimeMs)>,
    /// Read in flight that determines the outcome of the unresolved renewal.
    read: Option<Call>,
}

/// Acquires and renews at most one watcher slot of a balancer's failure domain.
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
    /// Set when the process stops; no slot is acquired after that.
    is_released: bool,
}

impl WatcherMachine {
    /// Creates the state machine of one balancer; `token_seed` must differ between runs of the process.
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

    /// Returns the slot held at `now`, counted from 1, and its version as fencing token.
    pub fn held(&self, now: TimeMs) -> Option<(u32, Version)> {
        match &self.state {
            State::Holding(lease) if now.since(lease.renewed_at) < LEASE_MS => {
                Some((lease.slot + 1, lease.version))
            }
            _ => None,
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: TimeMs, event: WatcherEvent, out: &mut Vec<WatcherAction>) {
        // The lease may have expired while the process was paused, so it is checked before the event
        // is handled.
        self.check_lease(now, out);
        match event {
            WatcherEvent::Tick => self.tick(now, out),
            WatcherEvent::Claims(claims) => self.set_claims(now, claims),
            WatcherEvent::Directory(mut peers) => {
                peers.truncate(MAX_DIRECTORY_PEERS);
                self.peers = peers;
            }
            WatcherEvent::Read { call, outcome } => self.handle_read(now, call, outcome, out),
            WatcherEvent::Written { call, outcome } => self.handle_written(now, call, outcome, out),
            WatcherEvent::Release => self.release(now, out),
        }
    }

    /// Gives up the slot when its lease has expired.
    fn check_lease(&mut self, now: TimeMs, out: &mut Vec<WatcherAction>) {
        let State::Holding(lease) = &self.state else {
            return;
        };
        if now.since(lease.renewed_at) >= LEASE_MS {
            let slot = lease.slot;
            self.lose_slot(slot, out);
        }
    }

    fn lose_slot(&mut self, slot: u32, out: &mut Vec<WatcherAction>) {
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
            State::Acquiring(pending) if now.since(pending.call.since) >= CALL_TIMEOUT_MS => {
                self.observe(pending.slot, now);
            }
            State::Acquiring(_) => {}
            State::Observing(observation) => self.advance_observation(now, observation, out),
            State::Holding(lease) => self.advance_lease(now, lease, out),
        }
        if let State::Observing(observation) = self.state.clone() {
            self.advance_observation(now, observation, out);
        }
    }

    /// Starts to observe a slot if no live balancer has claimed it for the required time.
    fn look_for_slot(&mut self, now: TimeMs) {
        if self.claims.rank >= MAX_CANDIDATES {
            return;
        }
        // The first two candidates start at different slots, so that both slots are acquired in parallel.
        let count = SLOTS_PER_DOMAIN as usize;
        let wait = UNCLAIMED_MS.get() + RANK_DELAY_MS.get() * (self.claims.rank / count) as u64;
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
            .is_some_and(|call| now.since(call.since) >= CALL_TIMEOUT_MS)
        {
            observation.call = None;
        }
        if observation.call.is_none() && now >= observation.read_at {
            observation.read_at = now + OBSERVE_INTERVAL_MS;
            observation.call = Some(self.read(observation.slot, now, out));
        }
        self.state = State::Observing(observation);
    }

    fn advance_lease(&mut self, now: TimeMs, mut lease: Lease, out: &mut Vec<WatcherAction>) {
        let is_late = |call: Call| now.since(call.since) >= CALL_TIMEOUT_MS;
        if let Some(renewal) = lease.renewal
            && is_late(renewal.call)
        {
            lease.renewal = None;
            lease.unresolved = Some((renewal.token, renewal.call.since));
            lease.renew_at = now;
        }
        if lease.read.is_some_and(is_late) {
            lease.read = None;
        }
        let is_idle = lease.renewal.is_none() && lease.read.is_none();
        if !is_idle || now < lease.renew_at {
            self.state = State::Holding(lease);
            return;
        }
        lease.renew_at = now + RETRY_DELAY_MS;
        if lease.unresolved.is_some() {
            // The outcome of the last renewal is unknown: read the slot before the next write.
            lease.read = Some(self.read(lease.slot, now, out));
        } else {
            let renewal = self.write(lease.slot, lease.version, Some(self.node), now, out);
            lease.renewal = Some(renewal);
        }
        self.state = State::Holding(lease);
    }

    fn handle_read(
        &mut self,
        now: TimeMs,
        call: u64,
        outcome: SlotRead,
        out: &mut Vec<WatcherAction>,
    ) {
        match self.state.clone() {
            State::Observing(mut observation)
                if observation
                    .call
                    .is_some_and(|pending| pending.number == call) =>
            {
                observation.call = None;
                self.evaluate_observation(now, observation, outcome, out);
            }
            State::Holding(mut lease)
                if lease.read.is_some_and(|pending| pending.number == call) =>
            {
                lease.read = None;
                self.resolve_renewal(now, lease, &outcome, out);
            }
            _ => {}
        }
    }

    fn evaluate_observation(
        &mut self,
        now: TimeMs,
        mut observation: Observation,
        outcome: SlotRead,
        out: &mut Vec<WatcherAction>,
    ) {
        let (version, is_free) = match outcome {
            SlotRead::Missing(version) => (version, true),
            SlotRead::Found(found) => {
                // A value that cannot be decoded counts as free: no holder can renew it.
                let holder = found.value.and_then(|value| value.holder);
                // This balancer is the holder after a restart, or when the answer to its write was lost.
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
        if is_free || now.since(seen) >= TAKEOVER_MS {
            let pending = self.write(observation.slot, version, Some(self.node), now, out);
            self.state = State::Acquiring(pending);
            return;
        }
        self.state = State::Observing(observation);
    }

    /// Determines from a read whether a renewal whose outcome is unknown was applied.
    fn resolve_renewal(
        &mut self,
        now: TimeMs,
        mut lease: Lease,
        outcome: &SlotRead,
        out: &mut Vec<WatcherAction>,
    ) {
        if let Some(restored) = outcome.version_before(lease.version) {
            self.continue_after_restore(now, lease, restored);
            return;
        }
        let SlotRead::Found(found) = outcome else {
            if matches!(outcome, SlotRead::Missing(_)) {
                self.lose_slot(lease.slot, out);
            } else {
                self.state = State::Holding(lease);
            }
            return;
        };
        if found.version == lease.version {
            // The renewal was not applied. The next one raises the version, so that the delayed one can
            // no longer be applied.
            lease.unresolved = None;
            lease.renew_at = now;
            self.state = State::Holding(lease);
            return;
        }
        let token = found.value.as_ref().map(|value| value.token);
        match lease.unresolved.take() {
            Some((written, since)) if token == Some(written) => {
                lease.version = found.version;
                lease.renewed_at = since;
                lease.renew_at = now;
                self.state = State::Holding(lease);
            }
            _ => self.lose_slot(lease.slot, out),
        }
    }

    fn handle_written(
        &mut self,
        now: TimeMs,
        call: u64,
        outcome: SlotWrite,
        out: &mut Vec<WatcherAction>,
    ) {
        match self.state.clone() {
            State::Acquiring(pending) if pending.call.number == call => {
                self.handle_acquisition(now, pending, outcome, out);
            }
            State::Holding(lease)
                if lease
                    .renewal
                    .is_some_and(|renewal| renewal.call.number == call) =>
            {
                self.handle_renewal(now, lease, outcome, out);
            }
            _ => {}
        }
    }

    fn handle_acquisition(
        &mut self,
        now: TimeMs,
        pending: PendingWrite,
        outcome: SlotWrite,
        out: &mut Vec<WatcherAction>,
    ) {
        let SlotWrite::Accepted(version) = outcome else {
            // If the write was applied after all, the next read shows this balancer as holder.
            self.observe(pending.slot, now);
            if let State::Observing(observation) = &mut self.state {
                observation.read_at = now + RETRY_DELAY_MS;
            }
            return;
        };
        if now.since(pending.call.since) >= LEASE_MS {
            self.observe(pending.slot, now);
            return;
        }
        self.state = State::Holding(Lease {
            slot: pending.slot,
            version,
            renewed_at: pending.call.since,
            renew_at: pending.call.since + RENEW_INTERVAL_MS,
            renewal: None,
            unresolved: None,
            read: None,
        });
        out.push(WatcherAction::Held {
            slot: pending.slot + 1,
            fence: version,
        });
    }

    fn handle_renewal(
        &mut self,
        now: TimeMs,
        mut lease: Lease,
        outcome: SlotWrite,
        out: &mut Vec<WatcherAction>,
    ) {
        let Some(renewal) = lease.renewal.take() else {
            return;
        };
        match outcome {
            SlotWrite::Accepted(version) => {
                lease.version = version;
                lease.renewed_at = renewal.call.since;
                lease.renew_at = renewal.call.since + RENEW_INTERVAL_MS;
            }
            SlotWrite::Conflict(current) => {
                match current.version_before(lease.version) {
                    Some(restored) => self.continue_after_restore(now, lease, restored),
                    None => self.lose_slot(lease.slot, out),
                }
                return;
            }
            SlotWrite::NotAccepted => lease.renew_at = now + RETRY_DELAY_MS,
            SlotWrite::Unknown => {
                lease.unresolved = Some((renewal.token, renewal.call.since));
                lease.renew_at = now + RETRY_DELAY_MS;
            }
        }
        self.state = State::Holding(lease);
    }

    /// Keeps a slot whose object went back to the version `restored`: the store came back from a copy
    /// from before the last renewal, and no other balancer has acquired the slot since. The next
    /// renewal replaces the restored version.
    fn continue_after_restore(&mut self, now: TimeMs, mut lease: Lease, restored: Version) {
        lease.version = restored;
        lease.renew_at = now;
        lease.renewal = None;
        lease.unresolved = None;
        self.state = State::Holding(lease);
    }

    /// Clears the holder in the store, so that another balancer can acquire the slot at once.
    fn release(&mut self, now: TimeMs, out: &mut Vec<WatcherAction>) {
        self.is_released = true;
        let State::Holding(lease) = self.state.clone() else {
            self.state = State::Idle;
            return;
        };
        self.write(lease.slot, lease.version, None, now, out);
        self.lose_slot(lease.slot, out);
    }

    fn read(&mut self, slot: u32, now: TimeMs, out: &mut Vec<WatcherAction>) -> Call {
        let call = self.start_call(now);
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
        let call = self.start_call(now);
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

    fn start_call(&mut self, now: TimeMs) -> Call {
        self.next_call += 1;
        Call {
            number: self.next_call,
            since: now,
        }
    }
}

/// Name of the object of a slot; slots count from 0 here.
pub fn slot_name(failure_domain: &FailureDomain, slot: u32) -> String {
    format!("{failure_domain}-{slot}")
}
