//! Hash map for keys that an attacker cannot choose.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Map keyed by identifiers or addresses of cluster members and services.
///
/// The keys come from authenticated messages, so hash flooding is not a threat. The
/// collision-resistant hash of the standard library would take a quarter of the time of a routing
/// decision.
pub(crate) type IdMap<K, V> = HashMap<K, V, BuildHasherDefault<IdHasher>>;

/// Fast, non-cryptographic multiplicative hash.
#[derive(Default)]
pub(crate) struct IdHasher(u64);

impl IdHasher {
    fn add(&mut self, word: u64) {
        /// Fractional part of the golden ratio, made odd.
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        self.0 = (self.0.rotate_left(5) ^ word).wrapping_mul(MULTIPLIER);
    }
}

impl Hasher for IdHasher {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(size_of::<u64>()) {
            let mut word = [0; size_of::<u64>()];
            word[..chunk.len()].copy_from_slice(chunk);
            self.add(u64::from_le_bytes(word));
        }
    }

    fn write_u16(&mut self, number: u16) {
        self.add(u64::from(number));
    }

    fn write_u32(&mut self, number: u32) {
        self.add(u64::from(number));
    }

    fn write_u64(&mut self, number: u64) {
        self.add(number);
    }

    fn write_usize(&mut self, number: usize) {
        self.add(number as u64);
    }

    /// Rotates the high bits, which depend on all bits of the input, to the low end, from which
    /// `HashMap` takes the bucket.
    fn finish(&self) -> u64 {
        /// 26 bits select among 67 million buckets, more than any map here has.
        const ROTATION: u32 = 26;
        self.0.rotate_left(ROTATION)
    }
}
