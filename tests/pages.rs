//! Checks that pages generated from the code are current.

use std::fmt::Write;

use googletest::prelude::*;
use hawthorntide_types::{Ran, ResultCode, Retry};

const RESULT_CODES: &str = "docs/result-codes.md";

fn result_codes_page() -> String {
    let mut page = "# Result codes

Requests, commands, the administration API and dropped packets share one table of numbered codes. The numbers are
stable across releases. A command exits with its code.

*Ran* tells whether the work behind a code was run: `no` means that it was not run and never will be. *Retry* tells
whether sending the same request again makes sense: `idempotent` means only for idempotent work.

This page is made from the code: `UPDATE_PAGES=1 cargo test --test pages` writes it.

| code | name | ran | retry | meaning |
| --- | --- | --- | --- | --- |
"
    .to_owned();
    for code in ResultCode::ALL {
        let ran = match code.ran() {
            Ran::Yes => "yes",
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::NotApplicable => "",
        };
        let retry = match code.retry() {
            Retry::Yes => "yes",
            Retry::IdempotentOnly => "idempotent",
            Retry::No => "no",
        };
        let (number, name, meaning) = (code.number(), code.name(), code.meaning());
        writeln!(page, "| {number} | {name} | {ran} | {retry} | {meaning} |").unwrap();
    }
    page
}

// Guards against a page of result codes that differs from the code.
#[gtest]
fn the_page_of_result_codes_is_current() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(RESULT_CODES);
    let page = result_codes_page();
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(&path, &page).unwrap();
    }
    let written = std::fs::read_to_string(path).unwrap();
    expect_that!(written, eq(&page));
}
