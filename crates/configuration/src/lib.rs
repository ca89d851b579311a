//! Settings files, profiles and services, and how a change of them spreads.

mod replica;

pub use replica::{
    MAX_VALUE_BYTES, Object, Outcome, PROFILE_KIND, REPLICA_BUCKETS, Replica, SERVICE_KIND,
    bucket_of, state_hash,
};
