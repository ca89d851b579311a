//! Emulated operator: changes profiles and checks that every balancer applies and keeps the
//! changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthorntide_balancer::ControlHandle;
use hawthorntide_configuration::{Object, PROFILE_KIND};
use hawthorntide_store::{ObjectKey, ObjectKind, ObjectStore, WriteOutcome};
use hawthorntide_types::{DurationMs, Profile, ProfileName, Version};
use tokio_util::sync::CancellationToken;

/// Interval at which balancers are polled for the versions of their profiles.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A change that is not in force on every balancer after this time is no longer tracked. Exceeds the
/// guaranteed 4 s, so that a violation is measured.
const MAX_IN_FORCE_WAIT: Duration = Duration::from_secs(6);
/// Step by which each change raises the target delay; too small to affect the load of a trial.
const TARGET_DELAY_STEP_MS: u64 = 1;

#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeCounts {
    pub(crate) attempted: u64,
    pub(crate) accepted: u64,
    pub(crate) not_accepted: u64,
    pub(crate) open: u64,
    pub(crate) in_force: Vec<Duration>,
    pub(crate) reverted: u64,
}

#[derive(Debug)]
struct PendingChange {
    name: ProfileName,
    version: Version,
    at: Instant,
}

/// Balancer whose profile versions are polled.
#[derive(Clone, Debug)]
struct WatchedBalancer {
    address: SocketAddr,
    control: ControlHandle,
    versions_seen: BTreeMap<String, Version>,
}

#[derive(Debug, Default)]
struct State {
    counts: ChangeCounts,
    pending: Vec<PendingChange>,
    watched: Vec<WatchedBalancer>,
}

/// Writes profile changes to the platform store and passes them to one balancer.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    store: Arc<ObjectStore>,
    state: Arc<Mutex<State>>,
}

impl Operator {
    pub(crate) fn new(store: ObjectStore) -> Self {
        Self {
            store: Arc::new(store),
            state: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the set of serving balancers.
    pub(crate) fn set_balancers(&self, balancers: Vec<(SocketAddr, ControlHandle)>) {
        let mut state = self.state();
        let mut watched = std::mem::take(&mut state.watched);
        for (address, control) in balancers {
            let known = watched.iter().position(|known| known.address == address);
            state.watched.push(match known {
                Some(index) => watched.swap_remove(index),
                None => WatchedBalancer {
                    address,
                    control,
                    versions_seen: BTreeMap::new(),
                },
            });
        }
    }

    /// Changes a profile and counts the outcome.
    pub(crate) async fn change(self, mut profile: Profile) {
        self.state().counts.attempted += 1;
        let key = ObjectKey::new(ObjectKind::Profile, profile.name.as_str())
            .expect("a profile name is a valid object name");
        let Ok(stored) = self.store.get(&key).await else {
            self.state().counts.not_accepted += 1;
            return;
        };
        let expected = stored.map_or(Version::NONE, |object| object.version);
        let target_ms =
            profile.target_delay_ms.get() + TARGET_DELAY_STEP_MS * (expected.revision().get() + 1);
        profile.target_delay_ms = DurationMs(target_ms);
        let value = serde_json::to_value(&profile).expect("a profile can be serialized");
        let outcome = self.store.put_if(&key, &value, expected).await;
        let version = match outcome {
            WriteOutcome::Accepted(version) => version,
            WriteOutcome::Open { .. } => {
                self.state().counts.open += 1;
                return;
            }
            WriteOutcome::Conflict { .. } | WriteOutcome::NotAccepted => {
                self.state().counts.not_accepted += 1;
                return;
            }
        };
        let first_balancer = {
            let mut state = self.state();
            state.counts.accepted += 1;
            state.pending.push(PendingChange {
                name: profile.name.clone(),
                version,
                at: Instant::now(),
            });
            state.watched.first().map(|watched| watched.control.clone())
        };
        let Some(first_balancer) = first_balancer else {
            return;
        };
        let object = Object {
            kind: PROFILE_KIND.to_owned(),
            name: profile.name.to_string(),
            version,
            is_deleted: false,
            write_id: String::new(),
            value: value.to_string().into_bytes(),
        };
        first_balancer.apply_object(object).await;
    }

    /// Polls the versions of all balancers until `stop` is cancelled.
    pub(crate) async fn watch(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let controls: Vec<_> = {
                let state = self.state();
                let watched = state.watched.iter();
                watched.map(|watched| watched.control.clone()).collect()
            };
            let mut versions = Vec::new();
            for control in &controls {
                versions.push(profile_versions(control).await);
            }
            self.compare(versions);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn compare(&self, versions: Vec<Option<BTreeMap<String, Version>>>) {
        let mut state = self.state();
        let state = &mut *state;
        if versions.len() != state.watched.len() {
            return;
        }
        for (watched, versions) in state.watched.iter_mut().zip(&versions) {
            let Some(versions) = versions else {
                continue;
            };
            for (name, seen) in &watched.versions_seen {
                let now = versions.get(name).copied().unwrap_or(Version::NONE);
                state.counts.reverted += u64::from(now < *seen);
            }
            watched.versions_seen.clone_from(versions);
        }
        let counts = &mut state.counts;
        state.pending.retain(|change| {
            let holds = |versions: &BTreeMap<String, Version>| {
                let held = versions.get(change.name.as_str());
                held.is_some_and(|held| *held >= change.version)
            };
            let is_in_force = versions.iter().flatten().all(holds);
            let is_late = change.at.elapsed() > MAX_IN_FORCE_WAIT;
            if is_in_force || is_late {
                counts.in_force.push(change.at.elapsed());
            }
            !is_in_force && !is_late
        });
    }

    /// Returns true if every accepted change is in force on every balancer or no longer tracked.
    pub(crate) fn is_settled(&self) -> bool {
        self.state().pending.is_empty()
    }

    pub(crate) fn counts(&self) -> ChangeCounts {
        self.state().counts.clone()
    }
}

/// Versions of the profiles on a balancer; `None` if it has stopped or does not answer.
async fn profile_versions(control: &ControlHandle) -> Option<BTreeMap<String, Version>> {
    let objects = tokio::time::timeout(POLL_INTERVAL * 40, control.objects()).await;
    let objects = objects.ok()??.into_iter();
    let profiles = objects.filter(|object| object.kind == PROFILE_KIND);
    Some(
        profiles
            .map(|object| (object.name.clone(), object.version))
            .collect(),
    )
}
