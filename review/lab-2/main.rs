//! Plays one case of the review: starts the project's daemons with small stand-ins around them, and
//! exits with 1 if the rule of the case was broken, 0 if it held and 2 if it could not run.

mod crowd;
mod founding;
mod idle;
mod lab;
mod replaced;
mod stillborn;
mod wire;

use std::env;
use std::process::ExitCode;

/// How a case ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

/// What a case is given.
pub struct Given {
    /// Path of the record.
    pub record: String,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: lab CASE RECORD");
        return ExitCode::from(2);
    };
    let given = Given {
        record: record.clone(),
        trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match case.as_str() {
        "crowd" => crowd::headers_unfinished(&given),
        "founding" => founding::first_configuration_lost(&given),
        "hold" => idle::hold(record),
        "idle" => idle::channels_exhausted(&given),
        "replaced" => replaced::stewards_replaced(&given),
        "stillborn" => stillborn::founder_killed(&given),
        _ => Ok(Verdict::NotRun),
    };
    let verdict = verdict.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        Verdict::NotRun
    });
    println!("{case}: {verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
