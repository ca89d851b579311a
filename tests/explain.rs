//! Tests the command `explain` on the logs of three failed requests, written by an earlier build.

use std::path::{Path, PathBuf};
use std::process::Command;

use googletest::prelude::*;

fn logs() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/explain");
    let mut files: Vec<PathBuf> = std::fs::read_dir(directory)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    files
}

fn explain(subject: &str, arguments: &[&str]) -> (Option<i32>, Vec<String>) {
    explain_files(subject, arguments, &logs())
}

/// Runs the command on `files`; returns its exit code and the lines that it prints.
fn explain_files(
    subject: &str,
    arguments: &[&str],
    files: &[PathBuf],
) -> (Option<i32>, Vec<String>) {
    let output = Command::new(env!("CARGO_BIN_EXE_hawthorntide"))
        .args(["--output", "json", "explain", subject])
        .args(arguments)
        .args(files)
        .output()
        .unwrap();
    let lines: Vec<serde_json::Value> = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let events = lines.iter().map(|line| {
        let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
        let code = line["inputs"]["code"].as_str().unwrap_or_default();
        format!("{} {} {code}", text("file"), text("text"))
            .trim_end()
            .to_owned()
    });
    (output.status.code(), events.collect())
}

// All upstreams of the service are draining, so the flow is refused when it opens.
#[gtest]
fn flow_refused_at_opening_is_explained_by_agent_states() {
    let (code, events) = explain("100.64.0.9:1041>198.18.0.1:443", &[]);
    expect_that!(code, some(eq(0)));
    expect_that!(
        events,
        elements_are![
            eq("agent-1.log relay: Status changed."),
            eq("agent-1.log relay: Status changed."),
            eq("balancer-1.log relay: Flow refused. 77 no-endpoint"),
        ]
    );
}

// The agent of a flow was paused. The request identifier leads to the flow, and the flow to the agent
// that became unreachable.
#[gtest]
fn request_without_answer_is_explained_by_unreachable_agent() {
    let (code, events) = explain("8feb97493e4d4a43", &["--around-ms", "3000"]);
    expect_that!(code, some(eq(0)));
    expect_that!(
        events,
        elements_are![
            eq("balancer-1.log relay: Opening packet placed."),
            eq("agent-2.log relay: Flow accepted."),
            eq("agent-2.log relay: Request delivered."),
            eq("balancer-1.log relay: Process silent."),
            eq("balancer-1.log relay: Flow refused. 77 no-endpoint"),
        ]
    );
}

// The route of the flow was removed; the version that removed it is in the same log.
#[gtest]
fn flow_of_removed_route_is_explained_by_configuration() {
    let (code, events) = explain("100.64.0.4:1102>198.18.0.9:443", &[]);
    expect_that!(code, some(eq(0)));
    expect_that!(
        events,
        elements_are![
            eq("balancer-1.log relay: Configuration read."),
            eq("balancer-1.log relay: Flow refused. 53 not-found"),
        ]
    );
}

#[gtest]
fn subject_missing_from_all_logs_is_an_error() {
    let (code, events) = explain("no-such-request", &[]);
    expect_that!(code, some(eq(53)));
    expect_that!(events.len(), eq(0));
}

// The previous build logged a probe of the upstream with another text than this build does.
#[gtest]
fn probe_of_upstream_is_shown_with_its_current_and_previous_text() {
    let line = |second: u8, text: &str, key_values: &str| {
        format!(
            r#"{{"timestamp": "2026-12-04 08:00:0{second}.000000 +00:00", "text": "{text}", "kv": {{{key_values}}}}}"#
        )
    };
    let log = [
        line(1, "relay: Upstream looked at.", ""),
        line(2, "relay: Flow accepted.", r#""flow": "flow-1""#),
        line(3, "relay: Upstream probed.", ""),
    ];
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("explain-probe.log");
    std::fs::write(&file, log.join("\n")).unwrap();
    let (code, events) = explain_files("flow-1", &["--around-ms", "3000"], &[file]);
    expect_that!(code, some(eq(0)));
    expect_that!(
        events,
        elements_are![
            eq("explain-probe.log relay: Upstream looked at."),
            eq("explain-probe.log relay: Flow accepted."),
            eq("explain-probe.log relay: Upstream probed."),
        ]
    );
}
