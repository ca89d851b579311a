//! Tests of the thread that writes lines, with outputs that block, fail or write a part.

use std::io::{ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hawthorntide_logging::{BackgroundWriter, LostLines, MAX_PENDING_BYTES};
use log::Level;

const LIMIT: Duration = Duration::from_secs(10);

/// What the output does with the next write.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Behavior {
    #[default]
    Accept,
    /// Blocks until the behavior changes.
    Block,
    Fail,
    /// Is full, and does not block.
    Refuse,
}

#[derive(Debug, Default)]
struct OutputState {
    behavior: Behavior,
    text: String,
    writes: usize,
}

/// Output under the control of a test.
#[derive(Clone, Debug, Default)]
struct Output(Arc<(Mutex<OutputState>, Condvar)>);

impl Output {
    fn set(&self, behavior: Behavior) {
        self.0.0.lock().unwrap().behavior = behavior;
        self.0.1.notify_all();
    }

    /// Waits until the condition holds; returns the text that was written.
    fn wait(&self, condition: impl Fn(&OutputState) -> bool) -> String {
        let state = self.0.0.lock().unwrap();
        let waited = self
            .0
            .1
            .wait_timeout_while(state, LIMIT, |it| !condition(it));
        let (state, timeout) = waited.unwrap();
        assert!(!timeout.timed_out(), "{} bytes", state.text.len());
        state.text.clone()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut state = self.0.0.lock().unwrap();
        state.writes += 1;
        self.0.1.notify_all();
        state = self
            .0
            .1
            .wait_while(state, |it| it.behavior == Behavior::Block)
            .unwrap();
        match state.behavior {
            Behavior::Fail => return Err(ErrorKind::BrokenPipe.into()),
            Behavior::Refuse => return Err(ErrorKind::WouldBlock.into()),
            Behavior::Accept | Behavior::Block => {}
        }
        // Pipes may take a part.
        let taken = bytes.len().min(1000);
        state.text += std::str::from_utf8(&bytes[..taken]).unwrap();
        self.0.1.notify_all();
        Ok(taken)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn start() -> (BackgroundWriter, Output) {
    let output = Output::default();
    let notice = |lost: &LostLines| format!("lost {}\n", lost.total()).into_bytes();
    let writer = BackgroundWriter::spawn(output.clone(), notice).unwrap();
    (writer, output)
}

/// Flushes until all lines are written; a busy host may need more than one attempt.
fn flush(writer: &BackgroundWriter) -> bool {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        if writer.flush() {
            return true;
        }
    }
    false
}

fn push(writer: &BackgroundWriter, number: usize) {
    writer.push(Level::Info, format!("line {number}\n").as_bytes());
}

// Lines of before a planned stop that do not arrive although somebody reads, or arrive in another order.
#[gtest]
fn a_flush_writes_all_lines_in_order() {
    let (writer, output) = start();
    let expected: Vec<_> = (0..2_000).map(|number| format!("line {number}")).collect();
    for number in 0..2_000 {
        push(&writer, number);
    }
    expect_that!(flush(&writer), eq(true));
    let text = output.wait(|_| true);
    expect_that!(text.lines().collect::<Vec<_>>(), eq(&expected));
}

// Lines that are lost without a trace while the reader is away, and a sender that waits for it.
#[gtest]
fn a_blocked_output_delays_no_sender_and_lost_lines_are_reported_once() {
    let (writer, output) = start();
    output.set(Behavior::Block);
    push(&writer, 0);
    output.wait(|it| it.writes > 0);
    let sent = MAX_PENDING_BYTES / 4;
    for number in 1..sent {
        push(&writer, number);
    }
    output.set(Behavior::Accept);
    let text = output.wait(|it| it.text.contains("lost"));
    let kept = text.lines().filter(|line| line.starts_with("line")).count();
    expect_that!(kept, lt(sent));
    expect_that!(text, ends_with(format!("lost {}\n", sent - kept)));
    expect_that!(
        text,
        starts_with("line 0\nline 1\nline 2\n"),
        "the first lines are kept"
    );
    push(&writer, sent);
    expect_that!(flush(&writer), eq(true));
    let text = output.wait(|_| true);
    expect_that!(text.matches("lost").count(), eq(1));
    expect_that!(text, ends_with(format!("line {sent}\n")));
}

// A stop that waits for a reader who is away until the platform kills the process.
#[gtest]
fn a_flush_does_not_wait_for_an_output_that_accepts_nothing() {
    for behavior in [Behavior::Block, Behavior::Refuse] {
        let (writer, output) = start();
        output.set(behavior);
        push(&writer, 0);
        output.wait(|it| it.writes > 0);
        let start = Instant::now();
        for _ in 0..100 {
            expect_that!(writer.flush(), eq(false));
        }
        expect_that!(start.elapsed(), lt(Duration::from_secs(5)), "{behavior:?}");
        output.set(Behavior::Accept);
        output.wait(|it| it.text == "line 0\n");
    }
}

// Lines that a closed or full output rejects, which nobody counts, and a thread that ends with the first one.
#[gtest]
fn lines_that_the_output_rejects_are_reported_when_it_accepts_others() {
    let (writer, output) = start();
    output.set(Behavior::Fail);
    for number in 0..3 {
        push(&writer, number);
        expect_that!(flush(&writer), eq(true));
    }
    output.set(Behavior::Accept);
    push(&writer, 3);
    expect_that!(
        output.wait(|it| it.text.contains("lost")),
        eq("line 3\nlost 3\n")
    );
}
