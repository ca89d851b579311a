//! Checksum of an answer; callers use it to detect answers that are truncated or mixed up with others.

/// Incremental checksum: the first eight bytes of a BLAKE3 hash, big-endian.
#[derive(Clone, Debug, Default)]
pub struct Checksum(blake3::Hasher);

impl Checksum {
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the checksum of all bytes added so far; more can be added afterwards.
    pub fn value(&self) -> u64 {
        let hash = self.0.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_be_bytes(first)
    }
}
