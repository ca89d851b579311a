//! Guards against metrics missing from the metrics page, and against listed metrics that do not
//! exist.

use std::collections::BTreeSet;
use std::path::Path;

use googletest::prelude::*;

const PREFIX: &str = "hawthorntide_";
const SUFFIXES: [&str; 5] = ["_total", "_ms", "_flows", "_requests", "_version"];

/// Adds the metric names in `text` that are enclosed in `quote`.
fn add_names(text: &str, quote: char, names: &mut BTreeSet<String>) {
    for part in text.split(quote) {
        let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
        let is_metric = SUFFIXES.iter().any(|suffix| part.ends_with(suffix));
        if part.starts_with(PREFIX) && is_metric && part.chars().all(is_name) {
            names.insert(part.to_owned());
        }
    }
}

fn add_names_of_sources(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            add_names_of_sources(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            add_names(&std::fs::read_to_string(&path).unwrap(), '"', names);
        }
    }
}

#[gtest]
fn the_page_lists_the_metrics_of_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut in_code = BTreeSet::new();
    for entry in std::fs::read_dir(root.join("crates")).unwrap() {
        add_names_of_sources(&entry.unwrap().path().join("src"), &mut in_code);
    }
    let mut on_page = BTreeSet::new();
    let page = std::fs::read_to_string(root.join("docs/metrics.md")).unwrap();
    add_names(&page, '`', &mut on_page);
    expect_that!(in_code.is_empty(), eq(false));
    expect_that!(on_page, eq(&in_code));
}
