//! Guards the settings of processes for opaque flows, and the templates in `deploy/` from which the
//! platform generates them.

use std::path::Path;

use googletest::prelude::*;
use hawthorntide_configuration::{HandOffRule, LogFormat, LogOutput, Settings, check_settings};
use hawthorntide_types::{DurationMs, ResultCode};

const BALANCER: &str = r#"{
  "role": "balancer", "flows": "opaque", "failure_domain": "a",
  "data_address": "10.1.0.10:8172", "ready_address": "10.1.0.10:8167",
  "peer_address": "10.1.0.10:7720", "metrics_address": "10.1.0.10:7721",
  "seed_addresses": ["10.2.0.40:8166"], "store_address": "10.200.1.7:8169",
  "drain_limit_ms": 5000, "log": { "format": "json", "output": "stdout" }
}"#;

const AGENT: &str = r#"{
  "role": "agent", "flows": "opaque", "failure_domain": "a", "service": "stockd",
  "upstream_address": "10.1.0.12:8165", "upstream_output_address": "10.1.0.12:8162",
  "heartbeat_address": "10.1.0.12:8166", "ready_address": "10.1.0.12:8167",
  "data_address": "10.1.0.12:8172", "peer_address": "10.1.0.12:7720",
  "store_address": "10.200.1.7:8169", "heartbeat_ms": 770, "flow_idle_ms": 60000
}"#;

#[gtest]
fn balancer_settings_are_read() {
    let Ok(Settings::OpaqueBalancer(settings)) = check_settings(BALANCER, "balancer.jsonc") else {
        panic!("the settings are refused");
    };
    expect_that!(settings.data_address.port(), eq(8172));
    expect_that!(settings.drain_limit_ms, eq(DurationMs(5_000)));
    expect_that!(settings.process.peer_address.port(), eq(7720));
    expect_that!(
        settings.process.metrics_address.map(|it| it.port()),
        some(eq(7721))
    );
    expect_that!(settings.process.seed_addresses.len(), eq(1));
    expect_false!(settings.has_evacuations);
    expect_that!(settings.cold_start, none());
    expect_that!(settings.process.log.format, eq(LogFormat::Json));
    expect_that!(settings.process.log.output, eq(LogOutput::Stdout));
}

#[gtest]
fn agent_settings_are_read() {
    let Ok(Settings::OpaqueAgent(settings)) = check_settings(AGENT, "agent.jsonc") else {
        panic!("the settings are refused");
    };
    expect_that!(settings.service.as_str(), eq("stockd"));
    expect_that!(settings.heartbeat_ms, eq(DurationMs(770)));
    expect_that!(settings.hand_off, eq(HandOffRule::FirstFree));
    expect_false!(settings.refuses_when_full);
    expect_that!(
        settings.process.seed_addresses.len(),
        eq(0),
        "seeds may be absent"
    );
    expect_that!(settings.process.log.output, eq(LogOutput::Stderr));
}

// Guards against invalid values that are accepted, and problems that name another field.
#[gtest]
fn invalid_values_are_reported_with_their_field() {
    for (text, field) in [
        (BALANCER.replace("\"opaque\"", "\"tcp\""), "flows"),
        (BALANCER.replace("5000", "0"), "drain_limit_ms"),
        (
            BALANCER.replace("\"log\"", "\"evacuations\": \"yes\", \"log\""),
            "evacuations",
        ),
        (BALANCER.replace("10.1.0.10:7720", "7720"), "peer_address"),
        (BALANCER.replace("\"stdout\"", "\"file\""), "log.output"),
        (
            BALANCER.replace(
                "\"log\"",
                "\"cold_start\": { \"excess\": -1, \"slack\": 5 }, \"log\"",
            ),
            "cold_start.excess",
        ),
        (
            BALANCER.replace("\"log\"", "\"cold_start\": { \"excess\": 1.5 }, \"log\""),
            "cold_start.slack",
        ),
        (AGENT.replace("770", "0"), "heartbeat_ms"),
        (AGENT.replace("\"stockd\"", "\"\""), "service"),
        (
            AGENT.replace("770", "770, \"hand_off\": \"random\""),
            "hand_off",
        ),
        (
            AGENT.replace("770", "770, \"refuse_when_full\": 1"),
            "refuse_when_full",
        ),
        (
            AGENT.replace("10.1.0.12:8162", "0.0.0.0:8162"),
            "upstream_output_address",
        ),
        (
            AGENT.replace("\"flow_idle_ms\"", "\"idle\""),
            "flow_idle_ms",
        ),
    ] {
        let problems = check_settings(&text, "file.jsonc").unwrap_err();
        expect_that!(problems[0].code, eq(ResultCode::SettingsInvalid));
        expect_that!(
            problems.iter().any(|it| it.field == field),
            eq(true),
            "{problems:?}"
        );
    }
}

/// Renders a template like the platform does; supports only what the templates in `deploy/` use.
fn render(template: &str, has_bounds: bool) -> String {
    let mut template = template.to_owned();
    for name in ["bounds.evacuateMs", "bounds.coldExcess"] {
        let (start, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        template = match (template.split_once(&start), template.split_once(&end)) {
            (Some((before, _)), Some((_, after))) if !has_bounds => format!("{before}{after}"),
            _ => template.replace(&start, "").replace(&end, ""),
        };
    }
    let seeds = "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}";
    let mut text = template.replace(seeds, "\"10.1.0.10:8166\",\"10.2.0.40:8166\"");
    for (name, value) in [
        ("zone", "bole"),
        ("ip", "10.1.0.12"),
        ("service", "huvo11a"),
        ("app", "10.1.0.12:8165"),
        ("heartbeatMs", "770"),
        ("internalPorts.0", "7720"),
        ("internalPorts.1", "7721"),
        ("listen.dataAddr", "10.1.0.12:8172"),
        ("listen.outbound", "10.1.0.12:8162"),
        ("listen.ready", "10.1.0.12:8167"),
        ("listen.control", "10.1.0.12:8166"),
        ("platform.addr", "10.200.1.7:8169"),
        ("bounds.coldExcess", "1.5"),
        ("bounds.coldSlack", "5"),
    ] {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

// Guards against templates that render to settings which the processes refuse.
#[gtest]
fn templates_render_to_valid_settings() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for (name, has_bounds) in [
        ("balancer.jsonc", false),
        ("balancer.jsonc", true),
        ("agent.jsonc", false),
    ] {
        let template = std::fs::read_to_string(deploy.join(name)).unwrap();
        let text = render(&template, has_bounds);
        expect_that!(text, not(contains_substring("{{")));
        let settings = check_settings(&text, name);
        expect_that!(settings.is_ok(), eq(true), "{name}: {settings:?}");
        if let Ok(Settings::OpaqueBalancer(settings)) = settings {
            expect_that!(settings.has_evacuations, eq(has_bounds));
            expect_that!(settings.cold_start.is_some(), eq(has_bounds));
        }
    }
}
