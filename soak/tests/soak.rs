//! Tests the soak: a short run with a fixed seed, seeds of former failures, and runs that must fail.

use std::path::PathBuf;
use std::process::{Command, Output};

use googletest::prelude::*;

const PROMISE_BROKEN: i32 = 100;

/// Run in which evacuations are in force for some seconds.
const EVACUATION_SEED: u64 = 1;
const EVACUATION_SECONDS: u64 = 10;

/// Runs that failed in the past; each entry has a comment with the cause.
const REGRESSIONS: &[Run] = &[
    // A route that was added while the store was away after a restore was not served: the watches
    // resumed at a revision of the lost history.
    Run::of_failures(306, 15),
    // The same with a route that was removed and still accepted flows.
    Run::of_failures(311, 15),
    // A removed route accepted flows at all balancers: their watches waited on connections to the store
    // that had fallen silent.
    Run {
        seed: 405,
        seconds: 15,
        mix: "configuration",
        balancers: 5,
    },
];

/// Arguments of a soak.
#[derive(Clone, Copy)]
struct Run {
    seed: u64,
    seconds: u64,
    mix: &'static str,
    balancers: u8,
}

impl Run {
    const fn of_failures(seed: u64, seconds: u64) -> Self {
        Self {
            seed,
            seconds,
            mix: "failures",
            balancers: 3,
        }
    }
}

fn soak(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hawthorntide-soak"))
        .args(arguments)
        .output()
        .unwrap()
}

/// Builds the hawthorntide binary in the directory of the soak binary and returns its path.
fn build_system() -> PathBuf {
    let soak_binary = PathBuf::from(env!("CARGO_BIN_EXE_hawthorntide-soak"));
    let binary = soak_binary.with_file_name("hawthorntide");
    let status = Command::new(env!("CARGO"))
        .args(["build", "--locked", "--quiet", "--package", "hawthorntide"])
        .status()
        .unwrap();
    assert!(status.success(), "the build of the system failed");
    binary
}

/// Runs the soak, expects that all guarantees held, and returns the output.
fn expect_no_violation(run: Run) -> String {
    let binary = build_system();
    let output = soak(&[
        "--seed",
        &run.seed.to_string(),
        "--seconds",
        &run.seconds.to_string(),
        "--mix",
        run.mix,
        "--balancers",
        &run.balancers.to_string(),
        "--binary",
        binary.to_str().unwrap(),
    ]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(output.status.code(), some(eq(0)), "{text}");
    expect_that!(text, contains_substring(" 0 promises broken"));
    text
}

// The guarantees must hold under a fixed series of faults. The report must tell silence of a process from
// a host that did not run it.
#[gtest]
fn guarantees_hold_in_short_run() {
    let text = expect_no_violation(Run::of_failures(7, 8));
    expect_that!(text, contains_substring("longest wait for a processor: "));
}

// The guarantees must hold while the platform store comes back from copies, among other faults.
#[gtest]
fn guarantees_hold_while_the_store_comes_back_from_copies() {
    let text = expect_no_violation(Run::of_failures(232, 20));
    let restores = text.matches("RestoreStore").count();
    expect_that!(restores, ge(3), "{text}");
}

// Planned work must reset no flow of a running upstream, and callers may use ports again.
#[gtest]
fn no_flow_is_reset_by_planned_work() {
    let text = expect_no_violation(Run {
        seed: 11,
        seconds: 15,
        mix: "planned",
        balancers: 3,
    });
    expect_that!(text.matches("TerminateAgent").count(), ge(3), "{text}");
}

// Nobody reads the logs of some processes during planned work: no flow of a running upstream may be reset.
#[gtest]
fn no_flow_is_reset_while_logs_are_not_read() {
    let text = expect_no_violation(Run {
        seed: 21,
        seconds: 15,
        mix: "logs",
        balancers: 3,
    });
    expect_that!(text.matches("PauseAgentLog").count(), ge(3), "{text}");
}

// Guards against flows that open in an evacuated failure domain, among other faults, and against ones that
// do not return after the evacuation. Evacuations must be in force during the run.
#[gtest]
fn no_flow_opens_in_an_evacuated_failure_domain() {
    let text = expect_no_violation(Run {
        seed: EVACUATION_SEED,
        seconds: EVACUATION_SECONDS,
        mix: "evacuations",
        balancers: 3,
    });
    expect_that!(text.matches("must be in force").count(), ge(2), "{text}");
}

// Guards against requests on open flows that get no answer while other upstreams are silent, slow or
// reset flows, and while many callers call one service.
#[gtest]
fn requests_are_answered_beside_misleading_upstreams_and_floods() {
    let text = expect_no_violation(Run {
        seed: 2,
        seconds: 15,
        mix: "overload",
        balancers: 3,
    });
    expect_that!(text, contains_substring("Flood"));
}

// Failures that the soak found in the past must not return.
#[gtest]
fn guarantees_hold_with_seeds_of_former_failures() {
    for run in REGRESSIONS {
        expect_no_violation(*run);
    }
}

// A run without working processes must not pass.
#[gtest]
fn run_fails_if_processes_do_not_start() {
    let output = soak(&["--seed", "1", "--seconds", "1", "--binary", "/bin/false"]);
    expect_that!(output.status.code(), some(eq(1)));
}

// All agents serve a service that no caller uses, so every request fails and the check of the recovery
// must report it.
#[gtest]
fn run_fails_if_no_request_is_answered() {
    let binary = build_system();
    let output = soak(&[
        "--seed",
        "1",
        "--seconds",
        "1",
        "--broken-service",
        "--binary",
        binary.to_str().unwrap(),
    ]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(output.status.code(), some(eq(PROMISE_BROKEN)), "{text}");
    expect_that!(text, contains_substring("not recovered"));
}

// Balancers that ignore evacuations must be reported, whatever the agents do.
#[gtest]
fn run_fails_if_evacuations_are_ignored() {
    let binary = build_system();
    let output = soak(&[
        "--seed",
        &EVACUATION_SEED.to_string(),
        "--seconds",
        &EVACUATION_SECONDS.to_string(),
        "--mix",
        "evacuations",
        "--ignored-evacuations",
        "--binary",
        binary.to_str().unwrap(),
    ]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(output.status.code(), some(eq(PROMISE_BROKEN)), "{text}");
    expect_that!(text, contains_substring("of evacuated domain-"));
}
