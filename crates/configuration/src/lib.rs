//! Settings files, checks of profiles and services, the replica of the platform store's objects, and
//! the state machine that elects watchers of the store.

mod agent_settings;
mod balancer_settings;
mod document;
mod key_file;
mod lost;
mod object_check;
mod opaque_settings;
mod problem;
mod replica;
mod section;
mod settings;
mod watcher;

pub use agent_settings::AgentSettings;
pub use balancer_settings::{BalancerSettings, IngressSettings, Team, TeamServices};
pub use key_file::{KeyFiles, Keys, TlsFiles, TlsMaterial};
pub use lost::{LostObject, lost_objects};
pub use object_check::{Catalog, check_profile, check_service, check_service_file};
pub use opaque_settings::{
    ColdStartSettings, HandOffRule, OpaqueAgentSettings, OpaqueBalancerSettings,
    OpaqueProcessSettings,
};
pub use problem::SettingsProblem;
pub use replica::{
    ApplyOutcome, MAX_VALUE_BYTES, Object, PROFILE_KIND, REPLICA_BUCKETS, Replica, SERVICE_KIND,
    bucket_of, state_hash,
};
pub use settings::{
    LogFormat, LogLevel, LogOutput, LogSettings, Settings, check_settings, load_settings,
};
pub use watcher::{
    MAX_DIRECTORY_PEERS, SLOTS_PER_DOMAIN, SlotRead, SlotState, SlotWrite, WATCHER_SLOT_KIND,
    WatcherAction, WatcherClaims, WatcherEvent, WatcherMachine, WatcherSlotValue, slot_name,
};
