//! Hashing with a fixed seed, so that a replay of the same events takes the same path.

use std::hash::{BuildHasherDefault, DefaultHasher};

/// Hash state for keys that the agent numbers itself.
pub(crate) type FixedState = BuildHasherDefault<DefaultHasher>;
