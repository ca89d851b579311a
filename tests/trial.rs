//! Checks the command `trial` and the promises that do not depend on the speed of the host.
//!
//! No check compares a duration with a limit, so the results are the same on a slow host.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use googletest::prelude::*;
use hawthorntide_types::ResultCode;
use serde_json::Value;

/// Duration of the measurement.
const SECONDS: &str = "4";
/// Counts that must be zero whatever events are injected and however slow the host is.
const ALWAYS_ZERO: [&str; 5] = [
    "misdelivered_packets",
    "run_twice",
    "not_run_but_run",
    "answers_incomplete",
    "broken_flows",
];
/// Keys present in every report.
const KEYS: [&str; 17] = [
    "flows_opened",
    "broken_flows",
    "flows_lost_to_kills",
    "misdelivered_packets",
    "imbalance",
    "flooding_service",
    "goodput_kept_percent",
    "reservations",
    "run_twice",
    "not_run_but_run",
    "unknown",
    "answers_incomplete",
    "config_in_force_ms_max",
    "config_reverted",
    "last_new_work_after_drain_ms",
    "control_bytes_per_second_max",
    "broken_promises",
];
/// Promises whose limit is a duration. A host that stalls for seconds can break them, so these
/// tests allow it.
const TIMED_PROMISES: [&str; 2] = [
    "a draining upstream gets no new work after 3 s",
    "an accepted change is in force everywhere within 4 s",
];

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

fn trial(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hawthorntide"))
        .arg("trial")
        .args(arguments)
        .output()
        .expect("the binary can be run")
}

/// Runs a trial with `events`, makes the checks that apply to any events and returns the report.
fn report(name: &str, events: &[&str]) -> Value {
    let report = std::env::temp_dir().join(format!("trial-{}-{name}.json", std::process::id()));
    let deployment = file("tests/data/small.jsonc");
    let mut arguments = vec![
        deployment.to_str().expect("the path is text"),
        "--seconds",
        SECONDS,
        "--report",
        report.to_str().expect("the path is text"),
    ];
    for event in events {
        arguments.extend(["--event", event]);
    }
    let output = trial(&arguments);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let text = std::fs::read_to_string(&report).unwrap_or_else(|_| panic!("no report: {errors}"));
    std::fs::remove_file(&report).expect("the report was read");
    let report: Value = serde_json::from_str(&text).expect("the report is JSON");
    for key in ALWAYS_ZERO {
        expect_that!(report[key].as_u64(), some(eq(0)), "{key}: {errors}");
    }
    let answered = report["answered"].as_u64();
    expect_that!(answered, some(gt(0)), "nothing was answered: {errors}");
    let broken = report["broken_promises"].as_array().expect("is a list");
    let is_timed = |promise: &Value| TIMED_PROMISES.contains(&promise.as_str().unwrap_or(""));
    expect_that!(broken.iter().all(is_timed), eq(true), "{broken:?}");
    let code = if broken.is_empty() {
        ResultCode::Ok
    } else {
        ResultCode::PromiseBroken
    };
    let status = output.status.code();
    expect_that!(status, some(eq(i32::from(code.number()))), "{errors}");
    report
}

/// Guards against a report that lacks a key or contains a value that was not measured.
#[gtest]
fn trial_without_events_reports_all_keys_and_only_measured_values() {
    let report = report("calm", &[]);
    for key in KEYS {
        expect_that!(report.get(key), some(anything()), "{key}");
    }
    for key in [
        "flooding_service",
        "last_new_work_after_drain_ms",
        "config_in_force_ms_max",
        "config_reverted",
    ] {
        expect_that!(report[key].is_null(), eq(true), "{key}");
    }
    expect_that!(report["flows_lost_to_kills"].as_u64(), some(eq(0)));
    expect_that!(report["goodput_kept_percent"]["pages"].is_null(), eq(true));
}

/// Guards against flows that break when a balancer shuts down.
#[gtest]
fn balancer_stop_breaks_no_flow() {
    report("balancer-stop", &["balancer-stop@1"]);
}

/// Guards against flows that depend on a single balancer.
#[gtest]
fn balancer_kill_breaks_no_flow() {
    report("balancer-kill", &["balancer-kill@1"]);
}

/// Guards against a new balancer that forwards packets of open flows to other upstreams.
#[gtest]
fn balancer_join_breaks_no_flow() {
    report("balancer-join", &["balancer-join@1", "balancer-join@2"]);
}

/// Guards against a balancer that forwards with stale state after a pause.
#[gtest]
fn paused_balancer_breaks_no_flow() {
    report("pause-balancer", &["pause-balancer@1"]);
}

/// Guards against an upstream drain that breaks streams.
#[gtest]
fn upstream_drain_breaks_no_flow() {
    let report = report("upstream-drain", &["upstream-drain@1"]);
    expect_that!(report["last_new_work_after_drain_ms"].is_u64(), eq(true));
}

/// Guards against counting the flows of a killed upstream as broken, or not at all.
#[gtest]
fn upstream_kill_loses_only_its_own_flows() {
    let report = report("upstream-kill", &["upstream-kill@1"]);
    expect_that!(report["flows_lost_to_kills"].as_u64(), some(gt(0)));
}

/// Guards against a new upstream that receives packets of open flows.
#[gtest]
fn upstream_join_breaks_no_flow() {
    report("upstream-join", &["upstream-join@1", "upstream-join@1.5"]);
}

/// Guards against planned changes that break flows only in combination.
#[gtest]
fn planned_changes_together_break_no_flow() {
    let events = [
        "balancer-stop@1",
        "upstream-drain@1",
        "upstream-join@1",
        "balancer-join@1",
        "profile-change@1",
    ];
    report("together", &events);
}

/// Guards against requests that depend on the platform store, and against a change that is reverted
/// after an outage of the store.
#[gtest]
fn store_outage_breaks_no_flow_and_reverts_no_change() {
    let events = [
        "profile-change@0.5",
        "platform-down@1",
        "profile-change@1.5",
        "platform-up@2.5",
    ];
    let report = report("platform", &events);
    expect_that!(report["config_reverted"].as_u64(), some(eq(0)));
}

/// Guards against a change that is reverted, or is not in force, after the store lost it and came back
/// from a copy.
#[gtest]
fn restored_store_reverts_no_change() {
    let events = [
        "profile-change@0.3",
        "platform-copy@0.8",
        "profile-change@1.1",
        "platform-restore@1.6",
        "profile-change@2.2",
    ];
    let report = report("restore", &events);
    expect_that!(report["config_reverted"].as_u64(), some(eq(0)));
}

/// Guards against a change that is lost, applied twice or reverted when the store is slow or its
/// answers are lost.
#[gtest]
fn slow_store_with_lost_answers_reverts_no_change() {
    let events = ["lost-answers@0.5", "profile-change@1", "platform-slow@2"];
    let report = report("store", &events);
    expect_that!(report["config_reverted"].as_u64(), some(eq(0)));
}

/// Guards against attributing a flood to another service, or not reporting it.
#[gtest]
fn floods_name_the_flooding_service() {
    for (event, service) in [("flood-least@1", "orders"), ("flood-most@1", "orders")] {
        let report = report("flood", &[event]);
        expect_that!(report["flooding_service"].as_str(), some(eq(service)));
    }
}

/// Guards against losing flows whose path drops all packets.
#[gtest]
fn silent_flows_continue_on_another_port() {
    let report = report("silent-flows", &["silent-flows@0.5"]);
    expect_that!(report["silent_flows"].as_u64(), some(gt(0)));
}

/// Guards against starting a trial with an unknown event or without a deployment file.
#[gtest]
fn wrong_arguments_are_refused_before_anything_starts() {
    let deployment = file("tests/data/small.jsonc");
    let deployment = deployment.to_str().expect("the path is text");
    let output = trial(&[deployment, "--event", "balancer-pause@1"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(errors, contains_substring("pause-balancer"));
    let output = trial(&["tests/data/missing.jsonc"]);
    let code = i32::from(ResultCode::SettingsInvalid.number());
    expect_that!(output.status.code(), some(eq(code)));
}
