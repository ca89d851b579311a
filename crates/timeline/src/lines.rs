//! Timelines as JSON Lines, one event per line.

use std::io::{BufRead, Write};

use crate::TimedEvent;

/// Error while reading a timeline.
#[derive(Debug)]
pub enum LineError {
    Read(std::io::Error),
    Malformed {
        /// Line number, starting at 1.
        line: usize,
        reason: serde_json::Error,
    },
}

impl std::fmt::Display for LineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Read(error) => write!(f, "cannot read the timeline: {error}"),
            Self::Malformed { line, reason } => {
                write!(f, "line {line} is not a valid event: {reason}")
            }
        }
    }
}

impl std::error::Error for LineError {}

/// Writes one line per event.
pub fn write_lines(events: &[TimedEvent], writer: &mut impl Write) -> std::io::Result<()> {
    for event in events {
        serde_json::to_writer(&mut *writer, event)?;
        writer.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads one event per line; empty lines are skipped.
pub fn read_lines(reader: impl BufRead) -> Result<Vec<TimedEvent>, LineError> {
    let mut events = Vec::new();
    for (index, line) in reader.lines().enumerate() {
        let line = line.map_err(LineError::Read)?;
        if line.is_empty() {
            continue;
        }
        let event = serde_json::from_str(&line).map_err(|reason| LineError::Malformed {
            line: index + 1,
            reason,
        })?;
        events.push(event);
    }
    Ok(events)
}
