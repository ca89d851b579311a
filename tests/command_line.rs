//! Runs the binary and checks the output, files and exit codes of its commands.

#[path = "../crates/admin/tests/support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use googletest::prelude::*;
use hawthorntide_standins::{RouteSpec, Store};
use hawthorntide_store::{ObjectStore, StoreError, StoreOptions};
use hawthorntide_types::{DurationMs, ResultCode, Version};
use serde_json::{Value, json};

use crate::support::{PROFILE, Setup, StoreState, setup};

/// Exit code and output of one run of the binary.
#[derive(Debug)]
struct CommandResult {
    code: u8,
    stdout: String,
    stderr: String,
}

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("command-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run_with(arguments: &[&str], variables: &[(&str, String)]) -> CommandResult {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hawthorntide"));
    command.args(arguments).env_clear();
    command.envs(variables.iter().map(|(name, value)| (name, value)));
    let output = command.output().unwrap();
    CommandResult {
        code: output.status.code().unwrap() as u8,
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn run(arguments: &[&str]) -> CommandResult {
    run_with(arguments, &[])
}

/// Runs a command against the administration API as the team `ops`, on another thread so that it
/// does not block the runtime that serves the API.
async fn admin(s: &Setup, arguments: &[&str]) -> CommandResult {
    admin_as(s, "token-ops", arguments).await
}

async fn admin_as(s: &Setup, token: &str, arguments: &[&str]) -> CommandResult {
    let variables = [
        ("HAWTHORNTIDE_ADDRESS", s.server.address().to_string()),
        ("HAWTHORNTIDE_TOKEN", token.to_owned()),
    ];
    let arguments: Vec<String> = arguments.iter().map(|&it| it.to_owned()).collect();
    let run = move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        run_with(&arguments, &variables)
    };
    tokio::task::spawn_blocking(run).await.unwrap()
}

fn code(code: ResultCode) -> u8 {
    code.number()
}

// Guards against omitting a result code from the table, and against wrong codes in the JSON output.
#[gtest]
fn codes_are_printed_in_both_forms() {
    let table = run(&["codes"]);
    expect_that!(table.code, eq(0));
    expect_that!(table.stdout.lines().count(), eq(1 + ResultCode::ALL.len()));
    let json: Value = serde_json::from_str(&run(&["codes", "--output", "json"]).stdout).unwrap();
    for (row, code) in json.as_array().unwrap().iter().zip(ResultCode::ALL) {
        expect_that!(row["code"], eq(&json!(code.number())));
        expect_that!(row["name"], eq(&json!(code.name())));
    }
}

// Guards against exiting with the code of another failure after a usage error.
#[gtest]
fn invalid_command_lines_exit_with_the_usage_code() {
    for arguments in [
        &["fly"][..],
        &["check"],
        &["check", "a.jsonc", "--routes", "routes.json"],
        &["check", "a.jsonc", "--in-force", "routes.json"],
        &["check", "a.jsonc", "--store", "127.0.0.1:4001"],
        &["profile", "show", "DAY"],
        &["status", "--address", "nowhere"],
        &["status"],
    ] {
        expect_that!(
            run(arguments).code,
            eq(code(ResultCode::Usage)),
            "{arguments:?}"
        );
    }
}

// Guards against commands missing from the help, help without examples and missing completions.
#[gtest]
fn help_shows_every_command_and_examples() {
    let help = run(&["--help"]).stdout;
    for command in [
        "agent",
        "balancer",
        "call",
        "check",
        "codes",
        "completions",
        "drain",
        "emulate",
        "keys",
        "profile",
        "service",
        "status",
        "timeline",
        "trial",
    ] {
        expect_that!(help, contains_substring(format!("\n  {command} ")));
        expect_that!(run(&[command, "--help"]).code, eq(0));
    }
    for arguments in [
        &["check"][..],
        &["profile", "set"],
        &["profile", "edit"],
        &["service", "follow"],
        &["keys"],
        &["drain"],
        &["timeline"],
    ] {
        let arguments = [arguments, &["--help"]].concat();
        expect_that!(run(&arguments).stdout, contains_substring("Example"));
    }
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let completions = run(&["completions", shell]);
        expect_that!(completions.stdout, contains_substring("timeline"));
    }
}

fn balancer_settings(keys: &str) -> String {
    format!(
        r#"{{
  "role": "balancer", "cluster": "kerval", "failure_domain": "bzh-rns", "region": "bzh",
  "data_address": "127.0.0.1:4100", "control_address": "127.0.0.1:4101",
  "admin_address": "127.0.0.1:4102", "ingress": "socket", "store_address": "127.0.0.1:4001",
  "cluster_key_file": "{keys}/cluster.key",
  "connection_id_key_files": ["{keys}/connection-id-1.json"],
  "teams": [{{ "name": "ops", "token_hash_file": "{keys}/ops.token-hash", "services": ["*"] }}],
  "drain_limit_ms": 60000
}}"#
    )
}

// Guards against printing secrets or making them readable by other users, and against overwriting
// keys in a second run.
#[gtest]
fn keys_are_private_complete_and_never_overwritten() {
    let directory = TempDirectory::new("keys");
    let keys = directory.path("keys");
    let arguments = ["keys", &keys, "--service", "stockd", "--team", "ops"];
    let generated = run(&arguments);
    expect_that!(generated.code, eq(0), "{generated:?}");
    let files: Vec<&str> = generated.stdout.lines().collect();
    expect_that!(files.len(), eq(8));
    for file in &files {
        let mode = std::fs::metadata(file).unwrap().permissions().mode() & 0o777;
        let is_public = Path::new(file)
            .extension()
            .is_some_and(|it| it == "crt" || it == "token-hash");
        expect_that!(mode, eq(if is_public { 0o644 } else { 0o600 }), "{file}");
        let text = std::fs::read_to_string(file).unwrap();
        expect_that!(generated.stdout, not(contains_substring(text.trim())));
    }
    let before = std::fs::read(files[0]).unwrap();
    let again = run(&arguments);
    expect_that!(again.code, eq(code(ResultCode::Failure)));
    expect_that!(std::fs::read(files[0]).unwrap(), eq(&before));
    let settings = directory.write("balancer.jsonc", &balancer_settings("keys"));
    let checked = run(&["check", &settings]);
    expect_that!(checked.code, eq(0), "{checked:?}");
}

// Guards against accepting invalid settings, reporting problems without file, line and field, and
// printing secrets.
#[gtest]
fn check_names_every_problem_and_its_code() {
    let directory = TempDirectory::new("check");
    run(&["keys", &directory.path("keys"), "--team", "ops"]);
    let good = balancer_settings("keys");
    let bad = directory.write(
        "bad.jsonc",
        &good.replace("60000", "0").replace("kerval", "K"),
    );
    let found = run(&["check", &bad]);
    expect_that!(found.code, eq(code(ResultCode::SettingsInvalid)));
    let place = format!("{bad}:8: drain_limit_ms: 1 to 86400000 is accepted");
    expect_that!(found.stderr, contains_substring(place));
    expect_that!(found.stderr, contains_substring(":2: cluster: "));
    let unreadable = directory.write("unreadable.jsonc", "{");
    let found = run(&["check", &unreadable]);
    expect_that!(found.code, eq(code(ResultCode::SettingsUnreadable)));
    let exposed = directory.write("exposed.jsonc", &good);
    let key = directory.path("keys/cluster.key");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o644)).unwrap();
    let found = run(&["check", &exposed]);
    expect_that!(found.code, eq(code(ResultCode::KeyFileExposed)));
    let secret = std::fs::read_to_string(&key).unwrap();
    expect_that!(found.stderr, not(contains_substring(secret.trim())));
    let profile = directory.write("day.jsonc", PROFILE);
    let service = r#"{ "name": "a", "addresses": ["10.0.0.1:443"], "profile": "day" }"#;
    let service = directory.write("a.jsonc", service);
    expect_that!(run(&["check", &profile, &service]).code, eq(0));
    let night = directory.write("night.jsonc", &PROFILE.replace("\"day\"", "\"night\""));
    let missing = run(&["check", &service, &night]);
    expect_that!(missing.code, eq(code(ResultCode::SettingsInvalid)));
    let reason = "a.jsonc:1: profile: the profile day does not exist";
    expect_that!(missing.stderr, contains_substring(reason));
    let duplicate = r#"{ "name": "b", "addresses": ["10.0.0.1:443"], "profile": "day" }"#;
    let duplicate = directory.write("b.jsonc", duplicate);
    let twice = run(&["check", &profile, &service, &duplicate]);
    expect_that!(twice.stderr, contains_substring("belongs to the service a"));
}

/// Configuration of opaque flows without findings.
const ROUTES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/routes.json");

// Guards against scripts that send a wrong configuration because of the exit code, and against findings
// without their file and place.
#[gtest]
fn check_of_routes_exits_with_the_most_severe_finding() {
    let directory = TempDirectory::new("routes");
    let text = std::fs::read_to_string(ROUTES).unwrap();
    let warned = directory.write("warned.json", &text.replace("250", "4001"));
    let wrong = directory.write("wrong.json", &text.replace("safe", "save"));
    let clean = run(&["check", "--routes", ROUTES]);
    expect_that!((clean.code, clean.stdout.as_str()), eq((0, "")));
    let warning = run(&["check", "--routes", &warned]);
    expect_that!(warning.code, eq(1));
    let start = format!("{warned}:4:5: warning: route pages (198.18.0.1:443) has an objective");
    expect_that!(warning.stdout, starts_with(start));
    let error = run(&["check", "--routes", &wrong, "--output", "json"]);
    expect_that!(error.code, eq(2));
    let rows: Value = serde_json::from_str(&error.stdout).unwrap();
    let place = json!(["error", wrong, 5, 82]);
    let row = ["severity", "file", "line", "column"].map(|key| rows[0][key].clone());
    expect_that!(json!(row), eq(&place));
    let next = directory.write(
        "next.json",
        &text.replace("8,\n", "9,\n").replace("250", "200"),
    );
    let changed = run(&["check", "--routes", &next, "--in-force", ROUTES]);
    expect_that!(changed.code, eq(0));
    expect_that!(changed.stdout, contains_substring("sloMs from 250 to 200"));
    let missing = run(&["check", "--routes", ROUTES, "--in-force", "missing.json"]);
    expect_that!(missing.code, eq(code(ResultCode::SettingsUnreadable)));
}

// Guards against a comparison with nothing while the store has a configuration or does not answer.
#[gtest]
#[tokio::test]
async fn check_of_routes_compares_with_the_store() {
    let address = SocketAddr::from(([127, 60, 0, 1], 27_741));
    let check = move || run(&["check", "--routes", ROUTES, "--store", &address.to_string()]);
    let unreachable = tokio::task::spawn_blocking(check).await.unwrap();
    expect_that!(unreachable.code, eq(code(ResultCode::Unreachable)));
    let store = Store::bind(address).await.unwrap();
    let empty = tokio::task::spawn_blocking(check).await.unwrap();
    expect_that!((empty.code, empty.stdout.as_str()), eq((0, "")));
    let route = RouteSpec {
        service_address: SocketAddr::from(([198, 18, 0, 9], 443)),
        service: "stockd".to_owned(),
    };
    store.configure(8, &[route]);
    let compared = tokio::task::spawn_blocking(check).await.unwrap();
    expect_that!(compared.code, eq(2));
    let removed = "removed: route r-198.18.0.9:443 (198.18.0.9:443); its open flows end";
    for text in ["version 8 is ignored: version 8 is in force", removed] {
        expect_that!(compared.stdout, contains_substring(text));
    }
}

// Guards against starting a process with wrong settings, and against an exit code that does not tell
// why the start failed.
#[gtest]
fn process_does_not_start_with_wrong_settings() {
    let directory = TempDirectory::new("role");
    run(&["keys", &directory.path("keys"), "--team", "ops"]);
    let taken = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let text = balancer_settings("keys").replace("127.0.0.1:4100", &address);
    let settings = directory.write("balancer.jsonc", &text);
    let start = |role: &str| run(&[role, "--settings", &settings]);
    let agent = start("agent");
    expect_that!(agent.code, eq(code(ResultCode::SettingsInvalid)));
    expect_that!(agent.stderr, contains_substring("role"));
    let balancer = start("balancer");
    expect_that!(
        balancer.code,
        eq(code(ResultCode::AddressInUse)),
        "{balancer:?}"
    );
    expect_that!(balancer.stderr, contains_substring(address.as_str()));
    let key = directory.path("keys/cluster.key");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o640)).unwrap();
    let exposed = start("balancer");
    expect_that!(exposed.code, eq(code(ResultCode::KeyFileExposed)));
    expect_that!(exposed.stderr, contains_substring("cluster.key"));
}

// Guards against reporting a change of a profile that was not made, and not showing one that was.
#[gtest]
#[tokio::test]
async fn profiles_are_set_edited_shown_and_deleted() {
    let s = setup().await;
    let directory = TempDirectory::new("profile");
    let file = directory.write("day.jsonc", PROFILE);
    let set = admin(&s, &["profile", "set", &file]).await;
    expect_that!(set.code, eq(0), "{set:?}");
    expect_that!(set.stdout, eq("profile/day has version 1\n"));
    let field = "work.sheet.crowded.share_per_mille=150";
    let edit = admin(&s, &["profile", "edit", "day", field, "target_delay_ms=30"]).await;
    expect_that!(edit.code, eq(0), "{edit:?}");
    let shown = admin(&s, &["profile", "show", "day", "--output", "json"]).await;
    let shown: Value = serde_json::from_str(&shown.stdout).unwrap();
    expect_that!(shown["profile"]["target_delay_ms"], eq(&json!(30)));
    expect_that!(
        shown["profile"]["work"][1]["crowded"]["share_per_mille"],
        eq(&json!(150))
    );
    let table = admin(&s, &["profile", "show", "day"]).await.stdout;
    expect_that!(table, contains_substring("version 2, target delay 30 ms"));
    let stale = admin(&s, &["profile", "set", &file, "--version", "1"]).await;
    expect_that!(stale.code, eq(code(ResultCode::Conflict)));
    expect_that!(
        stale.stderr,
        contains_substring("Your version is 1, the current version is 2.")
    );
    for field in [
        "target_delay_ms=0",
        "work.sheet.calm=1",
        "color=red",
        "target_delay_ms",
    ] {
        let wrong = admin(&s, &["profile", "edit", "day", field]).await;
        let codes = [code(ResultCode::SettingsInvalid), code(ResultCode::Usage)];
        expect_that!(codes, contains(eq(wrong.code)), "{wrong:?}");
    }
    expect_that!(admin(&s, &["profile", "delete", "day"]).await.code, eq(0));
    let gone = admin(&s, &["profile", "show", "day"]).await;
    expect_that!(gone.code, eq(code(ResultCode::NotFound)));
}

// Guards against `--wait` succeeding although a balancer has not confirmed the change.
#[gtest]
#[tokio::test]
async fn wait_reports_balancers_that_have_not_confirmed() {
    let s = setup().await;
    let directory = TempDirectory::new("wait");
    let file = directory.write("day.jsonc", PROFILE);
    let set = admin(&s, &["profile", "set", &file, "--wait", "1"]).await;
    expect_that!(set.code, eq(code(ResultCode::NotConfirmed)));
    expect_that!(
        set.stderr,
        contains_substring("not confirmed by 127.0.0.1:2")
    );
}

// Guards against wrong exit codes after an outage, a lost answer or a refused request.
#[gtest]
#[tokio::test]
async fn outages_and_lost_answers_exit_with_their_codes() {
    let s = setup().await.with_services();
    let directory = TempDirectory::new("outage");
    let file = directory.write("day.jsonc", PROFILE);
    s.balancer.set_store(StoreState::LosesAnswers);
    let resolved = admin(&s, &["profile", "set", &file]).await;
    expect_that!(resolved.code, eq(0), "{resolved:?}");
    s.balancer.set_store(StoreState::Down);
    let refused = admin(&s, &["profile", "set", &file]).await;
    expect_that!(refused.code, eq(code(ResultCode::NotAccepted)));
    expect_that!(admin(&s, &["profile", "list"]).await.code, eq(0));
    let unreachable = run(&["status", "--address", "127.0.0.1:1"]);
    expect_that!(unreachable.code, eq(code(ResultCode::Unreachable)));
    let unknown = admin_as(&s, "token-unknown", &["status"]).await;
    expect_that!(unknown.code, eq(code(ResultCode::Unauthenticated)));
    let forbidden = ["service", "follow", "catalogue", "day"];
    let forbidden = admin_as(&s, "token-stock", &forbidden).await;
    expect_that!(forbidden.code, eq(code(ResultCode::Forbidden)));
}

// Guards against services that cannot be listed, created or switched to another profile.
#[gtest]
#[tokio::test]
async fn services_are_set_listed_and_follow_profiles() {
    let s = setup().await.with_services();
    let directory = TempDirectory::new("service");
    let night = directory.write("night.jsonc", &PROFILE.replace("\"day\"", "\"night\""));
    expect_that!(admin(&s, &["profile", "set", &night]).await.code, eq(0));
    let follow = admin(&s, &["service", "follow", "stockd", "night"]).await;
    expect_that!(follow.code, eq(0), "{follow:?}");
    let service = r#"{ "name": "new", "addresses": ["10.0.0.9:443"], "profile": "day" }"#;
    let file = directory.write("new.jsonc", service);
    expect_that!(admin(&s, &["service", "set", &file]).await.code, eq(0));
    let list = admin(&s, &["service", "list"]).await.stdout;
    expect_that!(list, contains_regex("stockd +5 +night"));
    expect_that!(list, contains_regex("new +6 +day +quic +10.0.0.9:443"));
    let one = admin(&s, &["service", "show", "new", "--output", "json"]).await;
    let one: Value = serde_json::from_str(&one.stdout).unwrap();
    expect_that!(one["version"], eq(&json!(6)));
    let missing = admin(&s, &["service", "follow", "stockd", "noon"]).await;
    expect_that!(missing.code, eq(code(ResultCode::InvalidField)));
    let followed = admin(&s, &["profile", "delete", "night"]).await;
    expect_that!(followed.code, eq(code(ResultCode::ProfileFollowed)));
}

// Guards against an emulated platform that does not serve, ignores its call limit or fails on
// SIGTERM.
#[gtest]
#[tokio::test]
async fn emulated_platform_serves_until_sigterm() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hawthorntide"));
    let arguments = [
        "emulate",
        "platform",
        "--address",
        "127.0.0.1:0",
        "--call-limit",
        "2",
    ];
    command.args(arguments).stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    let address = first.rsplit(' ').next().unwrap().parse().unwrap();
    let store = ObjectStore::open(address, StoreOptions::default()).unwrap();
    expect_that!(store.list().await.unwrap().objects, is_empty());
    expect_that!(store.list().await, ok(anything()));
    let limited = store.watch(Version(0), DurationMs(10)).await;
    expect_that!(limited, err(eq(&StoreError::Limited)));
    let id = child.id().to_string();
    Command::new("kill").args(["-TERM", &id]).status().unwrap();
    expect_that!(child.wait().unwrap().code(), some(eq(0)));
    expect_that!(lines.next().unwrap().unwrap(), eq("3 calls"));
}

// Guards against a call that never times out, and against reporting an unreadable certificate as an
// unreachable service.
#[gtest]
fn failed_calls_exit_with_their_codes() {
    let directory = TempDirectory::new("call");
    run(&["keys", &directory.path("keys")]);
    let authority = directory.path("keys/authority.crt");
    let call = |authority: &str| {
        let target = ["--address", "127.0.0.1:9", "--service", "stockd"];
        run(&[&["call", "sheet"][..], &target, &["--authority", authority]].concat())
    };
    expect_that!(call(&authority).code, eq(code(ResultCode::Unreachable)));
    let missing = call(&directory.path("missing.crt"));
    expect_that!(missing.code, eq(code(ResultCode::SettingsUnreadable)));
}

// Guards against state missing from the output, and against colours in output to files and pipes.
#[gtest]
#[tokio::test]
async fn status_timeline_and_drain_are_shown_without_colours() {
    let s = setup().await.with_services();
    let status = admin(&s, &["status"]).await;
    expect_that!(status.stdout, contains_regex("profile/day +1"));
    let events = admin(&s, &["timeline", "--event", "drain_began"]).await;
    expect_that!(events.stdout, contains_substring("drain_began"));
    expect_that!(events.stdout.lines().count(), eq(2));
    let wrong = admin(&s, &["timeline", "--event", "party"]).await;
    expect_that!(wrong.code, eq(code(ResultCode::InvalidField)));
    let drain = admin(&s, &["drain"]).await;
    expect_that!(drain.stdout, ends_with("is draining\n"));
    let still = admin(&s, &["drain", "--wait", "1"]).await;
    expect_that!(still.code, eq(code(ResultCode::NotConfirmed)));
    for run in [status, events, wrong, drain] {
        expect_that!(run.stdout + &run.stderr, not(contains_substring("\x1b")));
    }
}
