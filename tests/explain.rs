//! Guards the command `explain` on the logs of three failed requests.

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

/// Returns the events that the command shows.
fn explain(subject: &str, arguments: &[&str]) -> (Option<i32>, Vec<String>) {
    let output = Command::new(env!("CARGO_BIN_EXE_hawthorntide"))
        .args(["--output", "json", "explain", subject])
        .args(arguments)
        .args(logs())
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

// Refused at opening: the upstreams of the service all drain.
#[gtest]
fn a_flow_refused_at_opening_leads_to_the_state_of_the_agents() {
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

// Went silent: the request's identifier leads to its flow, and that to the agent that was paused.
#[gtest]
fn a_silent_flow_leads_from_its_request_to_the_silent_process() {
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

// Dropped route: the version that removed it is in the same log.
#[gtest]
fn a_flow_of_a_dropped_route_leads_to_the_configuration() {
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
fn a_subject_that_no_log_names_is_an_error() {
    let (code, events) = explain("no-such-request", &[]);
    expect_that!(code, some(eq(53)));
    expect_that!(events.len(), eq(0));
}
