//! Runs the hibiscushoist daemon.

use std::env;
use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

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

/// Gives the time between two looks at whether the settings file has changed; a platform that
/// replaces it need not send a signal.
const LOOK: Duration = Duration::from_secs(5);

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
            runtime.block_on(serve(settings, &path))
        }
        Command::Version => {
            println!("hibiscushoistd {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn serve(settings: Settings, path: &Path) -> Result<ExitCode, Report<Error>> {
    let log = log::root(settings.log.form, settings.log.level);
    let mut terminate = signal(SignalKind::terminate()).change_context(Error::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Start)?;
    let mut hangup = signal(SignalKind::hangup()).change_context(Error::Start)?;
    let mut text = fs::read(path).unwrap_or_default();
    let mut daemon = Daemon::start(settings, log)
        .await
        .change_context(Error::Start)?;
    loop {
        tokio::select! {
            _ = interrupt.recv() => break,
            _ = terminate.recv() => break,
            _ = hangup.recv() => {}
            () = tokio::time::sleep(LOOK) => {}
        }
        let now = fs::read(path).unwrap_or_default();
        if now != text {
            text = now;
            match Settings::read(path) {
                Err(fault) => daemon.refuse_settings(fault.to_string()),
                Ok(settings) => daemon.reload(&settings),
            }
        }
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
