//! Plays a case of the review: starts the daemons and the stand-ins, and judges what was seen.

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

mod desk;
mod engine;
mod fleet;
mod isolation;
mod planned_stop;
mod platform;
mod poison;
mod record;
mod steward_disks;
mod web;

use record::Record;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("use: stand_ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::new(&PathBuf::from(folder)) else {
        return ExitCode::from(2);
    };
    let scratch = env::temp_dir().join(format!("review-{}", std::process::id()));
    let result = fs::create_dir_all(&scratch).and_then(|()| {
        let scratch = scratch.clone();
        match case.as_str() {
            "isolation" => isolation::isolation_change(scratch, &record, trouble),
            "planned-stop" => planned_stop::planned_stop(scratch, &record, trouble),
            "poison" => poison::deadly_request(scratch, &record, trouble),
            "two-losses" => steward_disks::two_losses(scratch, &record, trouble),
            _ => Err(std::io::Error::other("no such case")),
        }
    });
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&scratch);
    }
    match result {
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
        Ok(held) => {
            record.line(match held {
                false => "the rule is broken",
                true => "the rule holds",
            });
            ExitCode::from(u8::from(!held))
        }
    }
}
