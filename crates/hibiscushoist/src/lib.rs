//! Runs the command line of hibiscushoist.

use std::io::Write;

use error_stack::Report;
use error_stack::ResultExt;
use strum::IntoEnumIterator;
use tokio::runtime;

use crate::command::Command;
use crate::error::Error;

pub mod addresses;
pub mod arguments;
pub mod caller;
pub mod change;
pub mod client;
pub mod command;
pub mod credential;
pub mod demo;
pub mod demo_bench;
pub mod edit;
pub mod error;
pub mod explain;
pub mod grid;
pub mod help;
pub mod key;
pub mod load;
pub mod mix;
pub mod progress;
pub mod report;
pub mod route;
pub mod status;
pub mod table;
pub mod tally;
pub mod voters;
pub mod watch;

/// Runs one command and writes its result to `out`.
///
/// # Errors
///
/// Returns what went wrong, with the exit code that tells it to scripts.
pub fn run(arguments: Vec<String>, out: &mut impl Write) -> Result<(), Report<Error>> {
    let runtime = runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(Error::Runtime)?;
    runtime.block_on(dispatch(arguments, out))
}

async fn dispatch(arguments: Vec<String>, out: &mut impl Write) -> Result<(), Report<Error>> {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(Error::Command { name: None }.into());
    };
    match name.as_str() {
        "--help" | "-h" => return write(out, &help::overview()),
        "--version" | "-V" => return write(out, concat!(env!("CARGO_PKG_VERSION"), "\n")),
        "help" => return explain_usage(rest, out),
        _ => (),
    }
    let command = parse(name)?;
    if rest.iter().any(|word| word == "--help" || word == "-h") {
        return write(out, help::page(command));
    }
    match command {
        Command::Addresses => addresses::run(rest, out).await,
        Command::Demo => demo::run(rest, out).await,
        Command::Explain => explain::run(rest, out).await,
        Command::Key => key::run(rest, out),
        Command::Load => load::run(rest, out).await,
        Command::Status => status::run(rest, out).await,
        Command::Table => table::run(rest, out).await,
        Command::Voters => voters::run(rest, out).await,
    }
}

fn explain_usage(rest: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    match rest.first() {
        Some(name) => write(out, help::page(parse(name)?)),
        None => write(out, &help::overview()),
    }
}

fn parse(name: &str) -> Result<Command, Report<Error>> {
    Command::iter()
        .find(|command| command.to_string() == name)
        .ok_or_else(|| {
            let name = Some(name.to_owned());
            Error::Command { name }.into()
        })
}

/// Writes `text` to `out`.
///
/// # Errors
///
/// Returns an error when the output is closed.
pub fn write(out: &mut impl Write, text: &str) -> Result<(), Report<Error>> {
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .change_context(Error::Output)
}
