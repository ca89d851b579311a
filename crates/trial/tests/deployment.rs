//! Tests of the deployment file, the parsing of events and the report.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use hawthorntide_trial::{Deployment, EventName, Promise, TrialEvent, TrialReport};

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    std::fs::read_to_string(path.join(name)).expect("the example exists")
}

fn problems_of(text: &str) -> Vec<String> {
    let problems = Deployment::parse(text, "trial.jsonc").expect_err("the file is refused");
    problems.iter().map(ToString::to_string).collect()
}

/// Guards against example deployments whose sizes differ from those in the design document.
#[gtest]
fn examples_have_the_sizes_of_the_deployments() {
    for (name, slots) in [("kerval.jsonc", 2), ("addis.jsonc", 7)] {
        let deployment = Deployment::parse(&example(name), name).expect("the example is valid");
        let counts: Vec<_> = deployment
            .services
            .iter()
            .map(hawthorntide_trial::ServiceEntry::upstream_count)
            .collect();
        expect_that!(counts, eq(&vec![7, 3]));
        for service in &deployment.services {
            expect_that!(service.connections_per_upstream, eq(2000));
            let groups = service.upstreams.iter();
            expect_that!(
                groups.clone().all(|group| group.slots.get() == slots),
                eq(true)
            );
        }
    }
}

/// Guards against silently ignoring misspelled fields.
#[gtest]
fn unknown_field_is_refused_with_file_and_place() {
    let text = example("kerval.jsonc").replace("\"slots\"", "\"slot\"");
    let problems = problems_of(&text);
    expect_that!(problems[0], contains_substring("trial.jsonc"));
    expect_that!(problems[0], contains_substring("slot"));
}

/// Guards against references to undefined names, and against reporting only the first of them.
#[gtest]
fn unknown_names_are_refused_together() {
    let text = example("kerval.jsonc")
        .replace(
            "\"failure_domain\": \"bzh-brs\"",
            "\"failure_domain\": \"nowhere\"",
        )
        .replace("\"profile\": \"stock-day\"", "\"profile\": \"missing\"");
    let problems = problems_of(&text);
    expect_that!(problems, contains(contains_substring("nowhere")));
    expect_that!(
        problems,
        contains(contains_substring("services.stockd.profile"))
    );
}

/// Guards against deployments that would exhaust the memory of the host.
#[gtest]
fn too_many_connections_are_refused() {
    let text = example("kerval.jsonc").replace(
        "\"connections_per_upstream\": 2000",
        "\"connections_per_upstream\": 4000000",
    );
    expect_that!(problems_of(&text), contains(contains_substring("40000")));
}

/// Guards against parsing an event with the wrong name or time, and against accepting malformed
/// events.
#[gtest]
fn events_are_read_by_name_and_seconds() {
    for name in EventName::ALL {
        let event: TrialEvent = format!("{name}@2.5").parse().expect("the name is known");
        expect_that!(event.name, eq(name));
        expect_that!(event.at, eq(Duration::from_millis(2500)));
    }
    for text in [
        "",
        "balancer-stop",
        "balancer-stop@-1",
        "unknown@1",
        "balancer-stop@x",
    ] {
        expect_that!(text.parse::<TrialEvent>(), err(anything()));
    }
}

/// Guards against reporting a value that was not measured as zero or as a broken promise.
#[gtest]
fn missing_measures_are_null_and_break_nothing() {
    let report = TrialReport::default();
    expect_that!(report.broken_promises(), is_empty());
    let json = serde_json::to_value(&report).expect("a report is JSON");
    expect_that!(json["run_twice"], eq(&serde_json::Value::Null));
}

/// Guards against missing a broken promise, which would leave the exit status at zero.
#[gtest]
fn broken_promises_are_found() {
    let report = TrialReport {
        broken_flows: Some(1),
        run_twice: Some(2),
        last_new_work_after_drain_ms: Some(3001),
        config_in_force_ms_max: Some(4000),
        ..TrialReport::default()
    };
    let expected = vec![
        Promise::OpenStreams,
        Promise::AtMostOnce,
        Promise::NoWorkAfterDrain,
    ];
    expect_that!(report.broken_promises(), eq(&expected));
}
