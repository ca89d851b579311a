//! Command `explain`: joins the logs of processes around one request or flow.

use std::path::Path;

use hawthorntide_types::ResultCode;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::cli::ExplainArguments;
use crate::failure::Failure;
use crate::output::{OutputFormat, Table, print_json};

/// Texts of lines that tell a change of what a process believes.
const STATE_CHANGES: [&str; 12] = [
    "relay: Process started.",
    "relay: Balancer stops.",
    "relay: Balancer drained.",
    "relay: Agent stops.",
    "relay: Status changed.",
    "relay: Process silent.",
    "relay: Upstream looked at.",
    "relay: Configuration read.",
    "relay: Configuration not read",
    "relay: Directory not read",
    "relay: Directory entry in place.",
    "relay: History of the store gone",
];

/// Line of a log as the processes write it.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    text: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// Line that belongs to the explanation.
#[derive(Debug, Serialize)]
struct Explained {
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
        let message = format!("no line of the logs names {:?}", arguments.subject);
        return Err(Failure::new(ResultCode::NotFound, message));
    }
    match format {
        OutputFormat::Json => print_json(&explained)?,
        OutputFormat::Table => table(&explained).print()?,
    }
    Ok(ResultCode::Ok)
}

/// Reads a log; lines that are no JSON of a process are passed over.
fn read(path: &Path, lines: &mut Vec<Explained>) -> Result<(), Failure> {
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
        lines.push(Explained {
            time_ms: time_ms(&line.timestamp).unwrap_or_default(),
            time: line.timestamp,
            file: file.clone(),
            text: line.text,
            inputs: line.kv,
        });
    }
    Ok(())
}

/// Keeps the lines of the flow of `subject` and the changes of state around them.
fn explain(subject: &str, around_ms: u64, lines: Vec<Explained>) -> Vec<Explained> {
    let of = |line: &Explained, name: &str| {
        let value = line.inputs.get(name);
        value.and_then(Value::as_str).map(ToOwned::to_owned)
    };
    let requested = lines
        .iter()
        .filter(|line| of(line, "request").as_deref() == Some(subject));
    let mut flows: Vec<_> = requested.filter_map(|line| of(line, "flow")).collect();
    flows.push(subject.to_owned());
    let is_of_flow = |line: &Explained| of(line, "flow").is_some_and(|flow| flows.contains(&flow));
    let times = lines.iter().filter(|line| is_of_flow(line));
    let times: Vec<i64> = times.map(|line| line.time_ms).collect();
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        return Vec::new();
    };
    let around = i64::try_from(around_ms).unwrap_or(i64::MAX);
    let window = first.saturating_sub(around)..=last.saturating_add(around);
    let is_change = |line: &Explained| {
        let is_known = |text: &&str| line.text.starts_with(*text);
        window.contains(&line.time_ms) && STATE_CHANGES.iter().any(is_known)
    };
    lines
        .into_iter()
        .filter(|line| is_of_flow(line) || is_change(line))
        .collect()
}

fn table(lines: &[Explained]) -> Table {
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

/// Returns a time stamp such as `2026-12-04 08:50:03.449378 +00:00` in milliseconds.
fn time_ms(stamp: &str) -> Option<i64> {
    let (date, time) = stamp.split_once(' ')?;
    let mut date = date.splitn(3, '-').map(str::parse::<i64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let mut time = time.split(' ').next()?.splitn(3, ':');
    let hours: i64 = time.next()?.parse().ok()?;
    let minutes: i64 = time.next()?.parse().ok()?;
    let seconds: f64 = time.next()?.parse().ok()?;
    // Months begin in March, so that the leap day is the last day of a year.
    let (year, month) = if month > 2 {
        (year, month - 3)
    } else {
        (year - 1, month + 9)
    };
    let days = 365 * year + year / 4 - year / 100 + year / 400 + (153 * month + 2) / 5 + day;
    Some((days * 24 + hours) * 3_600_000 + minutes * 60_000 + (seconds * 1_000.0) as i64)
}
