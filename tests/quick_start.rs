//! Runs all commands of the quick start page in the order of the page.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::Command;

use googletest::prelude::*;

/// Address used in the page and its settings files.
const PAGE_ADDRESS: &str = "127.0.0.1";
/// Time limit for all commands of the page, in seconds.
const MAX_SECONDS: &str = "90";

/// Joins the `sh` code blocks of the page.
fn commands(page: &str) -> String {
    let blocks = page.split("```").skip(1).step_by(2);
    blocks
        .filter_map(|block| block.strip_prefix("sh\n"))
        .collect()
}

/// Loopback address derived from the process id, so that concurrent test runs do not share ports.
fn process_address() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + a % 100, b, c.max(2))
}

fn copy_example(from: &Path, to: &Path, address: &str) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_none_or(|it| it != "jsonc") {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        let text = text.replace(PAGE_ADDRESS, address);
        std::fs::write(to.join(path.file_name().unwrap()), text).unwrap();
    }
}

// Guards against a page whose commands fail or print something else than the page says.
#[gtest]
fn every_command_of_the_page_works() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/quick-start.md")).unwrap();
    let address = process_address().to_string();
    let directory =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("quick-start-{address}"));
    copy_example(&root.join("examples/quick-start"), &directory, &address);
    let script = commands(&page).replace(PAGE_ADDRESS, &address);
    expect_that!(script.lines().count(), ge(20));
    // The script stops at the first failed command and kills its background processes on exit.
    let script = format!("set -eux\ntrap 'kill $(jobs -p) 2> /dev/null || true' EXIT\n{script}");
    let binary = Path::new(env!("CARGO_BIN_EXE_hawthorntide"));
    let path = std::env::var("PATH").unwrap();
    let path = format!("{}:{path}", binary.parent().unwrap().display());
    let output = Command::new("timeout")
        .args(["--kill-after", "5", MAX_SECONDS, "bash", "-c", &script])
        .current_dir(&directory)
        .env("PATH", path)
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    std::fs::remove_dir_all(&directory).unwrap();
    expect_that!(output.status.code(), some(eq(0)), "{stdout}\n{stderr}");
    expect_that!(stdout, contains_regex("catalogue +2 +day"));
    expect_that!(stdout, contains_regex("0 ok, 1000 bytes"));
    expect_that!(stdout, contains_regex(r"0 ok +\d+ +\d+ ms"));
    expect_that!(stdout, contains_substring("\"queue_wait_ms\": 2000"));
    expect_that!(stdout, contains_substring("is gone"));
    expect_that!(stderr, contains_substring("balancer: Keys renewed."));
    let renewed = stderr
        .matches("agent: Keys and certificate renewed.")
        .count();
    expect_that!(renewed, eq(2), "{stderr}");
}
