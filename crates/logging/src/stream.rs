//! Standard streams without the locks of the standard library.

use std::io::Write;

use rustix::stdio::{stderr, stdout};

/// Standard stream of the process. Writes hold no lock, so that one that waits blocks nobody else.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StandardStream {
    Output,
    Error,
}

impl Write for StandardStream {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let descriptor = match self {
            Self::Output => stdout(),
            Self::Error => stderr(),
        };
        Ok(rustix::io::write(descriptor, bytes)?)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
