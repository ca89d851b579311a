//! Checksum over the bytes of an answer, so that a caller notices a cut or mixed answer.

/// Running checksum; the first eight bytes of BLAKE3.
#[derive(Clone, Debug, Default)]
pub struct Checksum(blake3::Hasher);

impl Checksum {
    /// Adds bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the checksum of all bytes so far.
    pub fn value(&self) -> u64 {
        let hash = self.0.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_be_bytes(first)
    }
}
