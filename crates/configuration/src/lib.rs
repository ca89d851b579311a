//! Settings files, profiles and services, and how a change of them spreads.

mod replica;
mod watcher;

pub use replica::{
    MAX_VALUE_BYTES, Object, Outcome, PROFILE_KIND, REPLICA_BUCKETS, Replica, SERVICE_KIND,
    bucket_of, state_hash,
};
pub use watcher::{
    MAX_DIRECTORY_PEERS, SLOTS_PER_DOMAIN, SlotRead, SlotState, SlotWrite, WATCHER_SLOT_KIND,
    WatcherAction, WatcherClaims, WatcherEvent, WatcherMachine, WatcherSlotValue, slot_name,
};
