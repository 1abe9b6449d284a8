//! Runs the hibiscushoist daemon.

use std::env;
use std::process::ExitCode;

use error_stack::Report;
use error_stack::ResultExt;
use thiserror::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use coordination::drain::Outcome;
use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::options;
use hibiscushoistd::options::Command;
use hibiscushoistd::settings::Settings;
use transport::log;

#[derive(Debug, Error)]
enum Error {
    #[error("the command line cannot be read")]
    Options,
    #[error("the settings cannot be used")]
    Settings,
    #[error("the daemon could not start")]
    Start,
}

fn main() -> ExitCode {
    match run() {
        Err(report) => {
            eprintln!("hibiscushoistd: {report:#}");
            ExitCode::FAILURE
        }
        Ok(code) => code,
    }
}

fn run() -> Result<ExitCode, Report<Error>> {
    match options::parse(env::args().skip(1)).change_context(Error::Options)? {
        Command::Check(path) => {
            Settings::read(&path).change_context(Error::Settings)?;
            println!("{}: ok", path.display());
            Ok(ExitCode::SUCCESS)
        }
        Command::Help(text) => {
            println!("{text}");
            Ok(ExitCode::SUCCESS)
        }
        Command::Serve(path) => {
            let settings = Settings::read(&path).change_context(Error::Settings)?;
            let runtime = tokio::runtime::Runtime::new().change_context(Error::Start)?;
            runtime.block_on(serve(settings))
        }
        Command::Version => {
            println!("hibiscushoistd {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn serve(settings: Settings) -> Result<ExitCode, Report<Error>> {
    let log = log::root(settings.log.form, settings.log.level);
    let mut terminate = signal(SignalKind::terminate()).change_context(Error::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Start)?;
    let mut daemon = Daemon::start(settings, log)
        .await
        .change_context(Error::Start)?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    let again = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    Ok(match daemon.drain(again).await {
        Outcome::Clean => ExitCode::SUCCESS,
        Outcome::Forced | Outcome::LimitPassed => ExitCode::FAILURE,
    })
}
