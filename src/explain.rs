//! Command `explain`: shows the log lines of a request or flow, merged from the logs of all processes.

use std::path::Path;

use hawthorntide_types::ResultCode;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::cli::ExplainArguments;
use crate::failure::Failure;
use crate::output::{OutputFormat, Table, print_json};

/// Prefixes of the texts of log lines that report a state change of a process, in this build and the
/// previous one.
const STATE_CHANGES: [&str; 15] = [
    "relay: Process started.",
    "relay: Balancer stops.",
    "relay: Balancer drained.",
    "relay: Agent stops.",
    "relay: Status changed.",
    "relay: Process silent.",
    "relay: Cut off",
    "relay: No longer cut off.",
    "relay: Upstream probed.",
    // Text of the previous build for the same event.
    "relay: Upstream looked at.",
    "relay: Configuration read.",
    "relay: Configuration not read",
    "relay: Directory not read",
    "relay: Directory entry in place.",
    "relay: History of the store gone",
];

/// JSON log line of a process.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    text: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// Log line in the output of the command.
#[derive(Debug, Serialize)]
struct ExplainedLine {
    time: String,
    #[serde(skip)]
    time_ms: i64,
    file: String,
    text: String,
    inputs: Map<String, Value>,
}

pub(crate) fn run(
    arguments: &ExplainArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let mut lines = Vec::new();
    for path in &arguments.logs {
        read(path, &mut lines)?;
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    let explained = explain(&arguments.subject, arguments.around_ms, lines);
    if explained.is_empty() {
        let message = format!(
            "no log line contains the flow or request {:?}",
            arguments.subject
        );
        return Err(Failure::new(ResultCode::NotFound, message));
    }
    match format {
        OutputFormat::Json => print_json(&explained)?,
        OutputFormat::Table => table(&explained).print()?,
    }
    Ok(ResultCode::Ok)
}

/// Reads a log file; skips lines that are not JSON log lines.
fn read(path: &Path, lines: &mut Vec<ExplainedLine>) -> Result<(), Failure> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot read {}: {error}", path.display());
        Failure::new(ResultCode::Failure, message)
    })?;
    let name = path.file_name().unwrap_or_default();
    let file = name.to_string_lossy().into_owned();
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(line) = serde_json::from_str::<LogLine>(&line[start..]) else {
            continue;
        };
        lines.push(ExplainedLine {
            time_ms: time_ms(&line.timestamp).unwrap_or_default(),
            time: line.timestamp,
            file: file.clone(),
            text: line.text,
            inputs: line.kv,
        });
    }
    Ok(())
}

/// Selects the lines of one flow, and the state changes from `around_ms` before its first line to
/// `around_ms` after its last. `subject` is the flow or the identifier of one of its requests.
fn explain(subject: &str, around_ms: u64, lines: Vec<ExplainedLine>) -> Vec<ExplainedLine> {
    let input = |line: &ExplainedLine, name: &str| {
        let value = line.inputs.get(name);
        value.and_then(Value::as_str).map(ToOwned::to_owned)
    };
    let request_lines = lines
        .iter()
        .filter(|line| input(line, "request").as_deref() == Some(subject));
    let mut flows: Vec<_> = request_lines
        .filter_map(|line| input(line, "flow"))
        .collect();
    flows.push(subject.to_owned());
    let is_of_flow =
        |line: &ExplainedLine| input(line, "flow").is_some_and(|flow| flows.contains(&flow));
    let times = lines.iter().filter(|line| is_of_flow(line));
    let times: Vec<i64> = times.map(|line| line.time_ms).collect();
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        return Vec::new();
    };
    let around = i64::try_from(around_ms).unwrap_or(i64::MAX);
    let window = first.saturating_sub(around)..=last.saturating_add(around);
    let is_state_change = |line: &ExplainedLine| {
        let is_prefix = |text: &&str| line.text.starts_with(*text);
        window.contains(&line.time_ms) && STATE_CHANGES.iter().any(is_prefix)
    };
    lines
        .into_iter()
        .filter(|line| is_of_flow(line) || is_state_change(line))
        .collect()
}

fn table(lines: &[ExplainedLine]) -> Table {
    let mut table = Table::new(&["time", "log", "event", "inputs"]);
    for line in lines {
        let inputs = line.inputs.iter();
        let inputs: Vec<String> = inputs
            .filter(|(name, _)| *name != "flow")
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        table.row(&[&line.time, &line.file, &line.text, &inputs.join(" ")]);
    }
    table
}

/// Parses a timestamp such as `2026-12-04 08:50:03.449378 +00:00` to milliseconds.
fn time_ms(timestamp: &str) -> Option<i64> {
    let (date, time) = timestamp.split_once(' ')?;
    let mut date = date.splitn(3, '-').map(str::parse::<i64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let mut time = time.split(' ').next()?.splitn(3, ':');
    let hours: i64 = time.next()?.parse().ok()?;
    let minutes: i64 = time.next()?.parse().ok()?;
    let seconds: f64 = time.next()?.parse().ok()?;
    // Years start in March here, so that the leap day is the last day of a year.
    let (year, month) = if month > 2 {
        (year, month - 3)
    } else {
        (year - 1, month + 9)
    };
    let days = 365 * year + year / 4 - year / 100 + year / 400 + (153 * month + 2) / 5 + day;
    Some((days * 24 + hours) * 3_600_000 + minutes * 60_000 + (seconds * 1_000.0) as i64)
}
