//! Command `codes`: prints the table of result codes.

use hawthorntide_types::ResultCode;

pub(crate) fn run() -> ResultCode {
    for code in ResultCode::ALL {
        println!(
            "{:>3}  {:<24}  {}",
            code.number(),
            code.name(),
            code.meaning()
        );
    }
    ResultCode::Ok
}
