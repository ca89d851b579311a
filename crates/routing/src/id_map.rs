//! Hash map for keys that only members and the configuration choose.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Map whose keys are identifiers or addresses of members and services.
///
/// These come from authenticated messages, so nobody can choose keys that collide, and the strong
/// hash of the standard library would take a quarter of the time of a routing decision.
pub(crate) type IdMap<K, V> = HashMap<K, V, BuildHasherDefault<IdHasher>>;

/// Multiplicative hash of a few words.
#[derive(Default)]
pub(crate) struct IdHasher(u64);

impl IdHasher {
    fn add(&mut self, word: u64) {
        /// Odd, from the fractional part of the golden ratio.
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

    /// The high bits of a product depend on all bits of its factors, and the map selects by the low
    /// bits of the hash.
    fn finish(&self) -> u64 {
        /// Brings the 26 highest bits, enough for any map, to the low end.
        const ROTATION: u32 = 26;
        self.0.rotate_left(ROTATION)
    }
}
