//! Reader of the output of a process, which can pause.

use std::fs::OpenOptions;
use std::io::{PipeReader, PipeWriter, Read, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use anyhow::Context;
use rustix::pipe::fcntl_setpipe_size;

/// Size of the pipe: a few lines, so that it fills soon.
const PIPE_BYTES: usize = 4096;

/// Interval at which a paused reader looks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Copies the output of a process to its log file; the pipe fills while it is paused. Reads what is left
/// when it is dropped.
#[derive(Debug)]
pub(crate) struct LogReader {
    /// `None` once the reader has to end.
    writer: Option<PipeWriter>,
    is_paused: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl LogReader {
    pub(crate) fn spawn(path: &Path) -> anyhow::Result<Self> {
        let log = OpenOptions::new().create(true).append(true).open(path);
        let log = log.with_context(|| path.display().to_string())?;
        let (reader, writer) = std::io::pipe()?;
        fcntl_setpipe_size(&writer, PIPE_BYTES)?;
        let is_paused = Arc::new(AtomicBool::new(false));
        let thread_is_paused = Arc::clone(&is_paused);
        let thread = spawn(move || copy(reader, log, &thread_is_paused));
        Ok(Self {
            writer: Some(writer),
            is_paused,
            thread: Some(thread),
        })
    }

    /// Returns a writer for the standard output or error of a process.
    pub(crate) fn writer(&self) -> anyhow::Result<PipeWriter> {
        let writer = self.writer.as_ref().context("the reader has ended")?;
        Ok(writer.try_clone()?)
    }

    pub(crate) fn set_paused(&self, is_paused: bool) {
        self.is_paused.store(is_paused, Ordering::Relaxed);
    }
}

impl Drop for LogReader {
    fn drop(&mut self) {
        self.set_paused(false);
        self.writer = None;
        if let Some(Err(_)) = self.thread.take().map(JoinHandle::join) {
            eprintln!("soak: a reader of a log has failed");
        }
    }
}

fn copy(mut reader: PipeReader, mut log: impl Write, is_paused: &AtomicBool) {
    let mut buffer = [0; 4096];
    loop {
        while is_paused.load(Ordering::Relaxed) {
            sleep(POLL_INTERVAL);
        }
        match reader.read(&mut buffer) {
            Ok(0) => return,
            Ok(bytes) => {
                if let Err(error) = log.write_all(&buffer[..bytes]) {
                    eprintln!("soak: cannot write the log of a process: {error}");
                }
            }
            Err(error) => {
                eprintln!("soak: cannot read the log of a process: {error}");
                return;
            }
        }
    }
}
