//! Lines that wait to be written.

use log::Level;

/// Limit on the lines that wait, in bytes. The smallest VMs have 64 MB, and the batch that is being written
/// takes as much again.
pub const MAX_PENDING_BYTES: usize = 128 * 1024;

/// Room for lines below the level of warnings. The rest is for warnings and errors, which tell more of what
/// went wrong while nobody read the log.
const ROOM_FOR_ALL_BYTES: usize = MAX_PENDING_BYTES / 2;

/// Room for warnings, and lines below. The rest is for errors.
const ROOM_FOR_WARNINGS_BYTES: usize = MAX_PENDING_BYTES * 3 / 4;

/// Writes of up to this size to a pipe are not mixed with those of other processes (`PIPE_BUF`).
const ATOMIC_WRITE_BYTES: usize = 4096;

/// Buffers above this size are released when they are empty.
const KEPT_CAPACITY_BYTES: usize = 16 * 1024;

/// Number of lines that were lost, by level.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LostLines {
    pub errors: u64,
    pub warnings: u64,
    /// Lines below the level of warnings.
    pub others: u64,
}

/// Lines in the order in which they were logged, limited in size. Lines without room are lost: the earlier
/// ones, which lead to what went wrong, are kept.
#[derive(Clone, Debug, Default)]
pub struct PendingLines {
    bytes: Vec<u8>,
    lines: Vec<Line>,
    lost: LostLines,
}

#[derive(Clone, Copy, Debug)]
struct Line {
    level: Level,
    size_bytes: usize,
}

/// Whole lines that are written at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Piece<'a> {
    pub(crate) bytes: &'a [u8],
    /// Index of the first line.
    pub(crate) first_line: usize,
}

impl LostLines {
    /// Number of lines of all levels.
    pub const fn total(&self) -> u64 {
        self.errors + self.warnings + self.others
    }

    pub(crate) const fn is_none(&self) -> bool {
        self.total() == 0
    }

    pub(crate) const fn of_line(level: Level) -> Self {
        let (errors, warnings, others) = match level {
            Level::Error => (1, 0, 0),
            Level::Warn => (0, 1, 0),
            Level::Info | Level::Debug | Level::Trace => (0, 0, 1),
        };
        Self {
            errors,
            warnings,
            others,
        }
    }

    pub(crate) const fn add(&mut self, other: &Self) {
        self.errors += other.errors;
        self.warnings += other.warnings;
        self.others += other.others;
    }
}

impl PendingLines {
    /// Adds a line, which includes its line break. Returns false if there is no room: the line is lost.
    pub fn push(&mut self, level: Level, line: &[u8]) -> bool {
        let room_bytes = match level {
            Level::Error => MAX_PENDING_BYTES,
            Level::Warn => ROOM_FOR_WARNINGS_BYTES,
            Level::Info | Level::Debug | Level::Trace => ROOM_FOR_ALL_BYTES,
        };
        if self.bytes.len() + line.len() > room_bytes {
            self.lost.add(&LostLines::of_line(level));
            return false;
        }
        self.bytes.extend_from_slice(line);
        self.lines.push(Line {
            level,
            size_bytes: line.len(),
        });
        true
    }

    /// Counts lines that were lost after they had been taken.
    pub(crate) const fn add_lost(&mut self, lost: &LostLines) {
        self.lost.add(lost);
    }

    /// Returns the number of lost lines since the last call.
    pub fn take_lost(&mut self) -> LostLines {
        std::mem::take(&mut self.lost)
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.bytes.clear();
        self.lines.clear();
        self.bytes.shrink_to(KEPT_CAPACITY_BYTES);
        self.lines
            .shrink_to(KEPT_CAPACITY_BYTES / size_of::<Line>());
    }

    /// Returns the lines as pieces, each of at most `ATOMIC_WRITE_BYTES` or a single longer line.
    pub(crate) fn pieces(&self) -> impl Iterator<Item = Piece<'_>> {
        let mut next_line = 0;
        let mut start = 0;
        std::iter::from_fn(move || {
            let first_line = next_line;
            let mut end = start;
            while let Some(line) = self.lines.get(next_line) {
                if next_line > first_line && end + line.size_bytes - start > ATOMIC_WRITE_BYTES {
                    break;
                }
                end += line.size_bytes;
                next_line += 1;
            }
            let bytes = &self.bytes[start..end];
            start = end;
            (next_line > first_line).then_some(Piece { bytes, first_line })
        })
    }

    /// Counts the lines from the index `first_line` on.
    pub(crate) fn count_from(&self, first_line: usize) -> LostLines {
        let mut counts = LostLines::default();
        for line in &self.lines[first_line..] {
            counts.add(&LostLines::of_line(line.level));
        }
        counts
    }
}
