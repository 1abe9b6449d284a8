//! Starts the duties of a daemon and ends them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use gotham::state::State;
use slog::Logger;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::broker;
use crate::context::Context;
use crate::context::Shared;
use crate::journal::Journal;
use crate::routes;
use crate::settings::Entry;
use crate::settings::Settings;
use crate::voter;
use transport::clock::Clock;
use transport::event;
use transport::event::Event;
use transport::http::Limits;
use transport::http::Server;
use transport::metric;

const POLL: Duration = Duration::from_millis(20);

/// Tells which part of a daemon could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports an address that cannot be bound.
    #[error("cannot listen on {address}; choose a free address of this host")]
    Bind {
        /// Holds the address.
        address: SocketAddr,
    },
    /// Reports a duty that could not start.
    #[error("duty `{duty}` could not start")]
    Duty {
        /// Names the duty.
        duty: &'static str,
    },
}

/// Runs a daemon until it is told to stop.
pub struct Daemon {
    context: Arc<Context>,
    drain: watch::Sender<bool>,
    server: Option<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

impl Daemon {
    /// Starts the duties that `settings` ask for.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address or the duty that could not start.
    pub async fn start(settings: Settings, log: Logger) -> Result<Self, Report<Error>> {
        let settings = Arc::new(settings);
        let voter = voter::start(settings.data.clone(), log.clone())
            .change_context(Error::Duty { duty: "voter" })?;
        let listener = match &settings.entry {
            None => None,
            Some(entry) => Some(bind(entry.listen).await?),
        };
        let (drain, draining) = watch::channel(false);
        let (stop, stopped) = watch::channel(false);
        let clock = Clock::default();
        let broker =
            broker::start(clock, voter.table()).change_context(Error::Duty { duty: "broker" })?;
        let context = Arc::new(Context {
            address: advertised(&settings, listener.as_ref()),
            broker,
            clock,
            draining,
            in_flight: Arc::new(AtomicU64::new(0)),
            journal: Journal::default(),
            log: log.clone(),
            metrics: metric::install(),
            settings: settings.clone(),
            voter,
        });
        let server = listener
            .zip(settings.entry.as_ref())
            .map(|(listener, entry)| {
                let server = server(&context, entry);
                tokio::spawn(server.run(listener, stopped))
            });
        let details = slog::o!(
            "host" => settings.name.clone(),
            "entry" => context.address.to_string(),
        );
        event::emit(&log, Event::Started, details);
        Ok(Self {
            context,
            drain,
            server,
            stop,
        })
    }

    /// Returns the address that callers are told.
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Takes the host off the list, serves on for the lifetime of addresses, ends the last request
    /// and returns whether all of them ended before the limit.
    pub async fn drain(&mut self) -> bool {
        let entry = self.context.settings.entry.as_ref();
        let lifetime = entry.map(|e| e.address_lifetime).unwrap_or_default();
        let limit = entry.map(|e| e.drain_limit).unwrap_or_default();
        event::emit(&self.context.log, Event::DrainBegun, slog::o!());
        self.drain.send_replace(true);
        tokio::time::sleep(lifetime).await;
        let ended = tokio::time::timeout(limit, self.end()).await.is_ok();
        let event = match ended {
            false => Event::DrainLimitPassed,
            true => Event::Stopped,
        };
        event::emit(&self.context.log, event, slog::o!());
        ended
    }

    /// Closes the listener and waits for the last request to end.
    pub async fn end(&mut self) {
        self.stop.send_replace(true);
        if let Some(server) = self.server.take() {
            let _ = server.await;
        }
        while self.context.in_flight.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(POLL).await;
        }
    }
}

fn advertised(settings: &Settings, listener: Option<&TcpListener>) -> SocketAddr {
    let bound = listener.and_then(|listener| listener.local_addr().ok());
    let configured = settings.entry.as_ref().and_then(|entry| entry.advertise);
    configured
        .or(bound)
        .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    let bound: io::Result<TcpListener> = TcpListener::bind(address).await;
    bound.change_context(Error::Bind { address })
}

fn server(context: &Arc<Context>, entry: &Entry) -> Server {
    let shared = Shared(context.clone());
    Server {
        limits: Limits {
            connections: entry.connections,
            header_bytes: entry.header_limit,
            header_timeout: entry.header_timeout,
        },
        log: context.log.clone(),
        prepare: Arc::new(move |state: &mut State| state.put(shared.clone())),
        router: routes::router(),
    }
}
