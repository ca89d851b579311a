//! Operator's changes of profiles, and the versions that the balancers hold afterwards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthorntide_balancer::ControlHandle;
use hawthorntide_configuration::{Object, PROFILE_KIND};
use hawthorntide_store::{ObjectKey, ObjectKind, ObjectStore, WriteOutcome};
use hawthorntide_types::{DurationMs, Profile, ProfileName, Version};
use tokio_util::sync::CancellationToken;

/// Interval at which balancers are asked for the versions that they hold.
const POLL: Duration = Duration::from_millis(25);
/// Longest wait for a change to be in force everywhere, above the promise of 4 s.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
/// Amount by which each change raises the target delay; the load of a trial does not notice it.
const CHANGE_MS: u64 = 1;

/// Outcomes of the changes of one trial.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeCounts {
    pub(crate) asked: u64,
    pub(crate) accepted: u64,
    pub(crate) not_accepted: u64,
    pub(crate) open: u64,
    pub(crate) in_force: Vec<Duration>,
    pub(crate) reverted: u64,
}

#[derive(Debug)]
struct Accepted {
    name: ProfileName,
    version: Version,
    at: Instant,
}

/// Balancer whose versions are watched.
#[derive(Clone, Debug)]
struct Watched {
    address: SocketAddr,
    control: ControlHandle,
    held: BTreeMap<String, Version>,
}

#[derive(Debug, Default)]
struct State {
    counts: ChangeCounts,
    pending: Vec<Accepted>,
    watched: Vec<Watched>,
}

/// Operator who changes profiles through the platform store and one balancer.
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

    /// Replaces the balancers that serve.
    pub(crate) fn set_balancers(&self, balancers: Vec<(SocketAddr, ControlHandle)>) {
        let mut state = self.state();
        let mut watched = std::mem::take(&mut state.watched);
        for (address, control) in balancers {
            let known = watched.iter().position(|known| known.address == address);
            state.watched.push(match known {
                Some(index) => watched.swap_remove(index),
                None => Watched {
                    address,
                    control,
                    held: BTreeMap::new(),
                },
            });
        }
    }

    /// Changes a profile; the outcome is counted.
    pub(crate) async fn change(self, mut profile: Profile) {
        self.state().counts.asked += 1;
        let key = ObjectKey::new(ObjectKind::Profile, profile.name.as_str())
            .expect("names of profiles are names of objects");
        let Ok(stored) = self.store.get(&key).await else {
            self.state().counts.not_accepted += 1;
            return;
        };
        let expected = stored.map_or(Version::NONE, |object| object.version);
        let target_ms = profile.target_delay_ms.get() + CHANGE_MS * (expected.get() + 1);
        profile.target_delay_ms = DurationMs(target_ms);
        let value = serde_json::to_value(&profile).expect("a profile is JSON");
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
        let accepting = {
            let mut state = self.state();
            state.counts.accepted += 1;
            state.pending.push(Accepted {
                name: profile.name.clone(),
                version,
                at: Instant::now(),
            });
            state.watched.first().map(|watched| watched.control.clone())
        };
        let Some(accepting) = accepting else {
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
        accepting.apply_object(object).await;
    }

    /// Watches the versions of all balancers until `stop` is cancelled.
    pub(crate) async fn watch(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let controls: Vec<_> = {
                let state = self.state();
                let watched = state.watched.iter();
                watched.map(|watched| watched.control.clone()).collect()
            };
            let mut versions = Vec::new();
            for control in &controls {
                versions.push(versions_of(control).await);
            }
            self.compare(versions);
            tokio::time::sleep(POLL).await;
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
            for (name, held) in &watched.held {
                let now = versions.get(name).copied().unwrap_or(Version::NONE);
                state.counts.reverted += u64::from(now < *held);
            }
            watched.held.clone_from(versions);
        }
        let counts = &mut state.counts;
        state.pending.retain(|change| {
            let holds = |versions: &BTreeMap<String, Version>| {
                let held = versions.get(change.name.as_str());
                held.is_some_and(|held| *held >= change.version)
            };
            let is_in_force = versions.iter().flatten().all(holds);
            let is_late = change.at.elapsed() > IN_FORCE_LIMIT;
            if is_in_force || is_late {
                counts.in_force.push(change.at.elapsed());
            }
            !is_in_force && !is_late
        });
    }

    /// Returns whether no accepted change waits for a balancer.
    pub(crate) fn is_settled(&self) -> bool {
        self.state().pending.is_empty()
    }

    pub(crate) fn counts(&self) -> ChangeCounts {
        self.state().counts.clone()
    }
}

/// Returns the versions of the profiles that a balancer holds; `None` when it has stopped.
async fn versions_of(control: &ControlHandle) -> Option<BTreeMap<String, Version>> {
    let objects = tokio::time::timeout(POLL * 40, control.objects()).await;
    let objects = objects.ok()??.into_iter();
    let profiles = objects.filter(|object| object.kind == PROFILE_KIND);
    Some(
        profiles
            .map(|object| (object.name.clone(), object.version))
            .collect(),
    )
}
