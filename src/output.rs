//! Output of the commands: tables for humans and JSON for programs, colours only on terminals.

use std::fmt::Write as _;
use std::io::{IsTerminal, Write};

use clap::ValueEnum;
use hawthorntide_logging::{BackgroundWriter, StandardStream};
use hawthorntide_types::ResultCode;
use log::Level;
use serde::Serialize;

use crate::failure::Failure;

const BOLD: &str = "\x1b[1m";
const RED: &str = "\x1b[31m";
const RESET: &str = "\x1b[0m";

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Aligned columns.
    #[default]
    Table,
    /// A single JSON value.
    Json,
}

/// Table with a header line and aligned columns.
#[derive(Debug)]
pub(crate) struct Table {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&'static str]) -> Self {
        Self {
            header: header.to_vec(),
            rows: Vec::new(),
        }
    }

    pub(crate) fn row(&mut self, cells: &[&dyn ToString]) {
        self.rows
            .push(cells.iter().map(|cell| cell.to_string()).collect());
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.header.iter().map(|cell| cell.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }

    /// Prints the table with every column but the last padded.
    pub(crate) fn print(&self) -> Result<(), Failure> {
        let widths = self.widths();
        let is_terminal = std::io::stdout().is_terminal() && wants_colour();
        let header: Vec<String> = self.header.iter().map(|&cell| cell.to_owned()).collect();
        let header = line(&header, &widths);
        if is_terminal {
            print_text(&format!("{BOLD}{header}{RESET}"))?;
        } else {
            print_text(&header)?;
        }
        for row in &self.rows {
            print_text(&line(row, &widths))?;
        }
        Ok(())
    }
}

/// Prints one line. A reader that has closed the pipe, such as `head`, is not an error.
pub(crate) fn print_text(text: &str) -> Result<(), Failure> {
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(Failure::new(ResultCode::Failure, error))
        }
        _ => Ok(()),
    }
}

pub(crate) fn print_json(value: &impl Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::new(ResultCode::Failure, error))?;
    print_text(&text)
}

pub(crate) fn print_failure(failure: &Failure) {
    // There is nowhere else to report that standard error is closed.
    let _ = std::io::stderr().write_all(failure_line(failure).as_bytes());
}

/// Prints the failure of a process that serves. It has to end although nobody reads standard error, so that
/// it is started again.
pub(crate) fn print_failure_without_waiting(failure: &Failure) {
    // There is nowhere else to report that no thread can be started.
    if let Ok(writer) = BackgroundWriter::spawn(StandardStream::Error, |_| Vec::new()) {
        writer.push(Level::Error, failure_line(failure).as_bytes());
        writer.flush();
    }
}

fn failure_line(failure: &Failure) -> String {
    if std::io::stderr().is_terminal() && wants_colour() {
        format!("{RED}hawthorntide:{RESET} {failure}\n")
    } else {
        format!("hawthorntide: {failure}\n")
    }
}

fn wants_colour() -> bool {
    std::env::var_os("NO_COLOR").is_none_or(|value| value.is_empty())
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let mut line = String::new();
    for (index, (cell, &width)) in cells.iter().zip(widths).enumerate() {
        if index + 1 == cells.len() {
            line.push_str(cell);
        } else {
            let _ = write!(line, "{cell:<width$}  ");
        }
    }
    line.trim_end().to_owned()
}
