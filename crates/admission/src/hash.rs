//! Hashing with a fixed seed, so that a replay of the same events gives the same result.

use std::hash::{BuildHasherDefault, DefaultHasher};

/// Hasher for keys that the agent assigns itself. It is not safe against chosen collisions.
pub(crate) type FixedState = BuildHasherDefault<DefaultHasher>;
