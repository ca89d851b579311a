//! Guards the soak: a short seeded run, seeds that failed once, and runs that must fail.

use std::path::PathBuf;
use std::process::{Command, Output};

use googletest::prelude::*;

/// Exit code of a run with a broken promise.
const PROMISE_BROKEN: i32 = 100;

/// Seeds whose runs failed once, each with the seconds and the cause.
const REGRESSIONS: &[(u64, u64)] = &[];

fn soak(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hawthorntide-soak"))
        .args(arguments)
        .output()
        .unwrap()
}

/// Builds the binary of the system beside that of the soak and returns its path.
fn system() -> PathBuf {
    let own = PathBuf::from(env!("CARGO_BIN_EXE_hawthorntide-soak"));
    let binary = own.with_file_name("hawthorntide");
    let status = Command::new(env!("CARGO"))
        .args(["build", "--locked", "--quiet", "--package", "hawthorntide"])
        .status()
        .unwrap();
    assert!(status.success(), "the system does not build");
    binary
}

fn expect_kept(seed: u64, seconds: u64) {
    let binary = system();
    let (seed, seconds) = (seed.to_string(), seconds.to_string());
    let output = soak(&[
        "--seed",
        &seed,
        "--seconds",
        &seconds,
        "--binary",
        binary.to_str().unwrap(),
    ]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(output.status.code(), some(eq(0)), "{text}");
    expect_that!(text, contains_substring(" 0 promises broken"));
}

// Guards the promises under a series of faults that is the same each time.
#[gtest]
fn promises_hold_in_a_short_run() {
    expect_kept(7, 8);
}

// Guards against the return of failures that the soak found.
#[gtest]
fn promises_hold_with_seeds_that_failed_once() {
    for (seed, seconds) in REGRESSIONS {
        expect_kept(*seed, *seconds);
    }
}

// Guards against a soak that finds nothing because nothing runs.
#[gtest]
fn a_system_that_does_not_start_is_no_success() {
    let output = soak(&["--seed", "1", "--seconds", "1", "--binary", "/bin/false"]);
    expect_that!(output.status.code(), some(eq(1)));
}

// Guards against checks that cannot fail: agents that all serve another service than callers ask
// for leave every request unanswered.
#[gtest]
fn a_system_that_serves_nobody_breaks_the_promise_of_recovery() {
    let binary = system();
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
