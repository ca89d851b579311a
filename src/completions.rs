//! Command `completions`: prints the completion script of a shell.

use clap::CommandFactory;
use hawthorntide_types::ResultCode;

use crate::cli::{Cli, CompletionsArguments};

pub(crate) fn run(arguments: &CompletionsArguments) -> ResultCode {
    let mut command = Cli::command();
    let mut text = Vec::new();
    clap_complete::generate(arguments.shell, &mut command, "hawthorntide", &mut text);
    let _ = crate::output::print_text(String::from_utf8_lossy(&text).trim_end());
    ResultCode::Ok
}
