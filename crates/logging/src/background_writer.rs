//! Thread that writes lines, so that their sender never waits for who reads them.

use std::io::{ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use log::Level;
use metrics::counter;

use crate::pending::{LostLines, PendingLines};

/// The thread formats a line now and then; all else is on the heap.
const STACK_BYTES: usize = 128 * 1024;

/// Pause before the next attempt to write to a full output that does not block.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Limit on the wait at the end of the process. Together with the longest drain it is shorter than the time
/// after which the platform kills a process that it stops.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// An output that has accepted nothing for this long is not waited for at the end of the process. VMs with a
/// tenth of a core may not run the thread for a tenth of a second.
const STALL_LIMIT: Duration = Duration::from_millis(250);

/// Writes lines to an output on a thread of its own. Lines that have no room while the output accepts
/// nothing are lost, and counted in a line once it accepts lines again.
#[derive(Debug)]
pub struct BackgroundWriter {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// There are lines to write, or the writer is closed.
    work_added: Condvar,
    /// A flush may be complete.
    work_done: Condvar,
}

#[derive(Debug)]
struct State {
    pending: PendingLines,
    /// The thread waits for lines.
    is_idle: bool,
    is_flushing: bool,
    is_closed: bool,
    /// When the output last accepted lines or, if none waited for it, the first one was added.
    progress_at: Instant,
}

impl BackgroundWriter {
    /// Starts the thread. `notice` formats the line that tells how many lines were lost.
    pub fn spawn(
        output: impl Write + Send + 'static,
        notice: impl Fn(&LostLines) -> Vec<u8> + Send + 'static,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                pending: PendingLines::default(),
                is_idle: false,
                is_flushing: false,
                is_closed: false,
                progress_at: Instant::now(),
            }),
            work_added: Condvar::new(),
            work_done: Condvar::new(),
        });
        let thread_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || thread_shared.run(output, notice))?;
        Ok(Self { shared })
    }

    /// Adds a line, which includes its line break. Never waits for the output.
    pub fn push(&self, level: Level, line: &[u8]) {
        let mut state = self.shared.state();
        if state.is_idle && state.pending.is_empty() {
            state.progress_at = Instant::now();
        }
        if !state.pending.push(level, line) {
            count(&LostLines::of_line(level));
        }
        if std::mem::take(&mut state.is_idle) {
            self.shared.work_added.notify_one();
        }
    }

    /// Waits until all lines are written, as long as the output accepts some. Returns whether they are.
    pub fn flush(&self) -> bool {
        let deadline = Instant::now() + FLUSH_LIMIT;
        let mut state = self.shared.state();
        while !(state.is_idle && state.pending.is_empty()) {
            let end = deadline.min(state.progress_at + STALL_LIMIT);
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state.is_flushing = true;
            let waited = self.shared.work_done.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

impl Drop for BackgroundWriter {
    /// Ends the thread once it has written what waits.
    fn drop(&mut self) {
        self.shared.state().is_closed = true;
        self.shared.work_added.notify_one();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut output: impl Write, notice: impl Fn(&LostLines) -> Vec<u8>) {
        let mut batch = PendingLines::default();
        while self.take_batch(&mut batch) {
            let lost = batch.take_lost();
            let unwritten = self.write_batch(&batch, &mut output);
            let is_noticed = lost.is_none()
                || (unwritten.is_none() && self.write(&notice(&lost), &mut output).is_ok());
            count(&unwritten);
            let mut state = self.state();
            state.pending.add_lost(&unwritten);
            if !is_noticed {
                state.pending.add_lost(&lost);
            }
            drop(state);
            batch.clear();
        }
    }

    /// Waits for lines and takes all of them; returns false if the writer is closed and none are left.
    fn take_batch(&self, batch: &mut PendingLines) -> bool {
        let mut state = self.state();
        while state.pending.is_empty() {
            if state.is_closed {
                return false;
            }
            state.is_idle = true;
            if std::mem::take(&mut state.is_flushing) {
                self.work_done.notify_all();
            }
            let waited = self.work_added.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        state.is_idle = false;
        state.progress_at = Instant::now();
        std::mem::swap(&mut state.pending, batch);
        true
    }

    /// Writes the lines of the batch; returns the number of those that the output did not take.
    fn write_batch(&self, batch: &PendingLines, output: &mut impl Write) -> LostLines {
        for piece in batch.pieces() {
            if self.write(piece.bytes, output).is_err() {
                return batch.count_from(piece.first_line);
            }
        }
        LostLines::default()
    }

    fn write(&self, mut bytes: &[u8], output: &mut impl Write) -> std::io::Result<()> {
        while !bytes.is_empty() {
            match output.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => {
                    bytes = &bytes[written..];
                    self.state().progress_at = Instant::now();
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(RETRY_INTERVAL);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Adds lost lines to the metrics.
fn count(lost: &LostLines) {
    let levels = [
        ("error", lost.errors),
        ("warning", lost.warnings),
        ("other", lost.others),
    ];
    for (level, lines) in levels {
        if lines > 0 {
            counter!("hawthorntide_log_lost_lines_total", "level" => level).increment(lines);
        }
    }
}
