//! Checks the format, level and rate limit of the log.
//!
//! The log is written to the standard error of the process, so each test runs this test binary
//! again as a child process.

use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hawthorntide_admin::{log_level, set_log_level};
use hawthorntide_configuration::{LogFormat, LogLevel, LogOutput, LogSettings};
use hawthorntide_logging::Log;

const CHILD: &str = "LOGGING_CHILD";

fn child_command(child: &str) -> Command {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "writer", "--nocapture"]);
    command.env(CHILD, child);
    command
}

/// Runs the test `writer` in a child process and returns its log lines.
fn log_of(child: &str) -> Vec<String> {
    let output = child_command(child).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    text.lines().map(ToOwned::to_owned).collect()
}

// Writes the log lines of the tests below; does nothing outside a child process.
#[gtest]
fn writer() {
    let Ok(child) = std::env::var(CHILD) else {
        return;
    };
    let settings = LogSettings {
        level: LogLevel::Info,
        format: if child == "json" {
            LogFormat::Json
        } else {
            LogFormat::Text
        },
        output: LogOutput::Stderr,
        lines_per_second: 10,
    };
    let _log = Log::spawn(settings).unwrap();
    let target = "hawthorntide_balancer";
    match child.as_str() {
        "flood" => {
            for number in 0..1000 {
                log::warn!(target: target, "balancer: Packet {number} dropped.");
                log::info!(target: "hawthorntide_admin", "admin: Line {number}.");
            }
            log::error!(target: target, "balancer: Error in a flood.");
            std::thread::sleep(std::time::Duration::from_millis(1100));
            log::warn!(target: target, "balancer: Packet after the flood.");
        }
        "level" => {
            log::debug!(target: target, "balancer: Before.");
            set_log_level(LogLevel::Debug);
            log::debug!(target: target, "balancer: While {}.", log_level());
            log::debug!(target: "other_crate", "Line of a library.");
            set_log_level(LogLevel::Error);
            log::warn!(target: target, "balancer: After.");
        }
        "fill" => {
            for number in 0..10_000 {
                log::error!(target: target, "balancer: Error {number}.");
            }
        }
        "panic" => {
            let panicking = std::thread::spawn(|| panic!("something broke"));
            assert!(panicking.join().is_err());
        }
        _ => log::info!(target: target, "balancer: Started."),
    }
}

// Guards against log lines without time, level or component prefix.
#[gtest]
fn lines_are_text_or_json() {
    let text = log_of("text");
    expect_that!(
        text[0],
        matches_regex(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z INFO  balancer: Started\.")
    );
    let json: serde_json::Value = serde_json::from_str(&log_of("json")[0]).unwrap();
    expect_that!(json["level"], eq(&serde_json::json!("INFO")));
    expect_that!(json["text"], eq(&serde_json::json!("balancer: Started.")));
}

// Guards against untrusted packets that flood the log, and against errors and lines of other
// modules lost in such a flood.
#[gtest]
fn a_flood_is_limited_and_counted() {
    let lines = log_of("flood");
    let of = |part: &str| lines.iter().filter(|line| line.contains(part)).count();
    expect_that!(of("balancer: Packet"), eq(11));
    expect_that!(of("admin: Line"), eq(10));
    expect_that!(of("balancer: Error in a flood."), eq(1));
    expect_that!(
        of("990 lines of hawthorntide_balancer were suppressed."),
        eq(1)
    );
}

// Guards against ignoring a level set at run time, and against logging debug lines of libraries.
#[gtest]
fn the_level_changes_at_run_time() {
    let lines = log_of("level");
    expect_that!(lines.len(), eq(1), "{lines:?}");
    expect_that!(lines[0], contains_substring("balancer: While debug."));
}

// A panic message that is written to standard error blocks a process whose standard error nobody reads; one
// that is not logged is missing in the log.
#[gtest]
fn messages_of_panics_are_logged() {
    let lines = log_of("panic");
    expect_that!(lines[0], contains_regex("ERROR Panic: something broke"));
}

// A process that waits for the reader of its log, in the log, in a panic or at its end.
#[gtest]
fn a_full_pipe_delays_neither_lines_nor_panics_nor_the_end() {
    for child in ["fill", "panic"] {
        let (_reader, mut writer) = std::io::pipe().unwrap();
        std::io::Write::write_all(&mut writer, &vec![b'\n'; 64 * 1024]).unwrap();
        let mut process = child_command(child)
            .stdout(Stdio::null())
            .stderr(writer)
            .spawn()
            .unwrap();
        let deadline = Instant::now() + Duration::from_secs(10);
        let mut status = None;
        while status.is_none() && Instant::now() < deadline {
            status = process.try_wait().unwrap();
            sleep(Duration::from_millis(10));
        }
        let _ = process.kill();
        process.wait().unwrap();
        expect_that!(status.map(|it| it.success()), some(eq(true)), "{child}");
    }
}
