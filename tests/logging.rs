//! Checks the format, level and rate limit of the log.
//!
//! The log is written to the standard error of the process, so each test runs this test binary
//! again as a child process.

#[path = "../src/failure.rs"]
mod failure;
#[path = "../src/logging.rs"]
mod logging;

use std::process::Command;

use googletest::prelude::*;
use hawthorntide_admin::{log_level, set_log_level};
use hawthorntide_configuration::{LogFormat, LogLevel, LogOutput, LogSettings};

const CHILD: &str = "LOGGING_CHILD";

/// Runs the test `writer` in a child process and returns its log lines.
fn log_of(child: &str) -> Vec<String> {
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "writer", "--nocapture"])
        .env(CHILD, child)
        .output()
        .unwrap();
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
    let _log = logging::start(settings).unwrap();
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
