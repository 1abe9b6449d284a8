//! Stand-ins and checks of the cases 12 to 14: a small deployment of the project's own programs on
//! loopback addresses, with a platform, an upstream and callers of our own.
//!
//! The first argument names the case, the second the folder for `record.txt`. The exit code is 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod crowd;
mod deployment;
mod directory_door;
mod http;
mod memory;
mod record;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// What a case found.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run, for this reason.
    Unfit(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
        Ok(record) => record,
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "core-memory" => memory::core_memory_exceeded(&record, trouble),
        "directory-door" => directory_door::caller_replaces_configuration(&record, trouble),
        "front-memory" => memory::front_memory_exceeded(&record, trouble),
        _ => Verdict::Unfit(format!("no case `{case}`")),
    };
    match verdict {
        Verdict::Broken => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Held => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Unfit(reason) => {
            record.line(&format!("verdict: the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
