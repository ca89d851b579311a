//! Command `codes`: lists the result codes.

use hawthorntide_types::{Ran, ResultCode, Retry};
use serde::Serialize;

use crate::failure::Failure;
use crate::output::{OutputFormat, Table, print_json};

/// Result code with its properties, as printed in JSON.
#[derive(Serialize)]
struct CodeRow {
    code: u8,
    name: &'static str,
    ran: &'static str,
    retry: &'static str,
    meaning: &'static str,
}

pub(crate) fn run(format: OutputFormat) -> Result<ResultCode, Failure> {
    let rows: Vec<CodeRow> = ResultCode::ALL.iter().map(|code| row(*code)).collect();
    if format == OutputFormat::Json {
        print_json(&rows)?;
        return Ok(ResultCode::Ok);
    }
    let mut table = Table::new(&["CODE", "NAME", "RAN", "RETRY", "MEANING"]);
    for row in &rows {
        table.row(&[&row.code, &row.name, &row.ran, &row.retry, &row.meaning]);
    }
    table.print()?;
    Ok(ResultCode::Ok)
}

const fn row(code: ResultCode) -> CodeRow {
    CodeRow {
        code: code.number(),
        name: code.name(),
        ran: match code.ran() {
            Ran::Yes => "yes",
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::NotApplicable => "-",
        },
        retry: match code.retry() {
            Retry::Yes => "yes",
            Retry::IdempotentOnly => "idempotent",
            Retry::No => "no",
        },
        meaning: code.meaning(),
    }
}
