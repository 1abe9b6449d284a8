//! The operators' command line.

use std::env;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = env::args().skip(1).collect();
    match hibiscushoist::run(arguments, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprint!("{}", hibiscushoist::error::text(&report));
            report.current_context().exit().into()
        }
    }
}
