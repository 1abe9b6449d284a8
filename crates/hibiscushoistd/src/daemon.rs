//! Starts the duties of a daemon and ends them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use gotham::state::State;
use slog::Logger;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::allotment_desk;
use crate::assign_desk::Desk;
use crate::bodies::Bodies;
use crate::broker;
use crate::charger::Charger;
use crate::context::Context;
use crate::context::Shared;
use crate::controller;
use crate::feed;
use crate::gateway;
use crate::gateway::Gateway;
use crate::gateway_silent;
use crate::health::Health;
use crate::journal::Journal;
use crate::links::Links;
use crate::listeners::BoundAddresses;
use crate::listeners::Listeners;
use crate::load;
use crate::member;
use crate::owner::Owners;
use crate::peer;
use crate::platform;
use crate::platform_api;
use crate::routes;
use crate::routing_snapshot;
use crate::settings::Entry;
use crate::settings::Role;
use crate::settings::Settings;
use crate::steward;
use crate::suspects::Suspects;
use crate::voter;
use crate::voter_reads::Reads;
use crate::voter_start;
use coordination::drain;
use coordination::drain::Drain;
use coordination::drain::Effect;
use coordination::drain::Outcome;
use coordination::upstream_load::LoadAggregator;
use coordination::version_history::VersionHistory;
use transport::clock::Clock;
use transport::connection_pool::ConnectionPool;
use transport::event;
use transport::event::Event;
use transport::http::Limits;
use transport::http::Server;
use transport::metric;

const FAREWELL: Duration = Duration::from_millis(300);
/// Bounds the upstreams whose caches are waited for at once.
const RESYNCS: usize = 1024;
const POLL: Duration = Duration::from_millis(20);
const TABLE_WAIT: Duration = Duration::from_secs(2);

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
    bound: BoundAddresses,
    context: Arc<Context>,
    drain: watch::Sender<bool>,
    feeds: JoinHandle<()>,
    peer: SocketAddr,
    servers: Vec<JoinHandle<()>>,
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
        let listener = match &settings.entry {
            None => None,
            Some(entry) => Some(bind(entry.listen).await?),
        };
        let (drain, draining) = watch::channel(false);
        let (stop, stopped) = watch::channel(false);
        let clock = Clock::default();
        let address = advertised(&settings, listener.as_ref());
        let listeners = Listeners::open(&settings).await?;
        let bound = listeners.bound();
        let mut links = Links::open(&settings).await?;
        let voter = voter_start::start(&settings, links.address, links.pool.clone(), clock, &log)
            .change_context(Error::Duty { duty: "voter" })?;
        let options = links.membership(&settings, address, bound.callers);
        let member = member::start(options, links.pool.clone(), clock, log.clone())
            .change_context(Error::Duty { duty: "member" })?;
        let pool = links.pool.clone();
        let owners = Owners::new(voter.table(), member.view(), pool, log.clone());
        let (resync, resyncs) = mpsc::channel(RESYNCS);
        let broker =
            broker::start(clock, owners, resync).change_context(Error::Duty { duty: "broker" })?;
        tokio::spawn(broker.clone().follow());
        let (routing_updater, routing) = routing_snapshot::channel(
            settings
                .gateway
                .as_ref()
                .map(|g| g.freshness)
                .unwrap_or_default(),
        );
        let weights_limit = settings.gateway.as_ref().map(|g| g.weights_limit);
        let versions =
            VersionHistory::new(weights_limit.map_or(u64::MAX, |l| l.as_millis() as u64));
        let charger = Charger::new(
            clock,
            settings.name.clone(),
            log.clone(),
            links.pool.clone(),
            routing.clone(),
        );
        let upstream_connections = settings.gateway.as_ref().map(|g| g.upstream_connections);
        let pool = ConnectionPool::new(upstream_connections.unwrap_or_default());
        let gateway = Gateway::new(routing, versions.clone(), charger, pool);
        let gateway = bound.callers.map(|_| Arc::new(gateway));
        let suspects = Suspects::new(clock, member.clone(), links.pool.clone(), voter.table());
        let context = Arc::new(Context {
            address,
            bodies: bodies(&settings, clock),
            broker: broker.clone(),
            clock,
            drain_began: OnceLock::new(),
            draining,
            gateway: gateway.clone(),
            health: Health::new(clock),
            in_flight: Arc::new(AtomicU64::new(0)),
            journal: Journal::default(),
            log: log.clone(),
            member: member.clone(),
            metrics: metric::install(),
            pool: links.pool.clone(),
            platform: platform::start(settings.platform, log.clone()),
            settings: settings.clone(),
            suspects: suspects.clone(),
            voter: voter.clone(),
        });
        let feeds = tokio::spawn(feed::run(context.clone(), resyncs));
        let mut servers = Vec::new();
        if let Some((listener, entry)) = listener.zip(settings.entry.as_ref()) {
            let server = server(&context, entry, routes::router());
            let table = first_table(&settings, &context.voter);
            let stopped = stopped.clone();
            servers.push(tokio::spawn(async move {
                table.await;
                server.run(listener, stopped).await;
            }));
        }
        if let Some(entry) = &settings.entry {
            servers.extend(edges(&context, entry, listeners, &stopped));
        }
        if let Some(gateway) = gateway {
            tokio::spawn(routing_updater.run(context.clone()));
            let drawing = gateway.clone();
            tokio::spawn(async move { drawing.charger.run().await });
            tokio::spawn(gateway_silent::run(context.clone(), gateway.clone()));
            tokio::spawn(gateway.follow(context.clone()));
        }
        voter.follow(member.view());
        voter_start::keep_up(&settings, &voter, member.view(), &log);
        let tally: Arc<Mutex<LoadAggregator>> = Arc::default();
        let versions = Arc::new(Mutex::new(versions));
        let (publish, fleet) = watch::channel(Arc::default());
        let list = settings.gateway.as_ref().and_then(|gateway| gateway.list);
        if let Some(list) = list.filter(|_| settings.plays(Role::Voter)) {
            tokio::spawn(steward::run(
                context.clone(),
                list,
                publish,
                tally.clone(),
                versions.clone(),
            ));
        }
        let reads = Reads::start(voter.clone());
        let service = peer::Service {
            allotments: allotment_desk::Desk::new(clock, log.clone(), reads.clone()),
            broker,
            bulletin: Arc::default(),
            clock,
            desk: Desk::new(
                clock,
                fleet.clone(),
                tally.clone(),
                log.clone(),
                voter.clone(),
            ),
            evidence: Arc::default(),
            silent: Arc::default(),
            fleet,
            log: log.clone(),
            member,
            reads,
            suspects,
            tally,
            versions,
            voter,
        };
        links.serve(service, &log);
        tokio::spawn(load::watch(context.clone()));
        if settings.gateway.is_none() {
            tokio::spawn(controller::run(context.clone()));
        }
        let details = slog::o!(
            "host" => settings.name.clone(),
            "entry" => context.address.to_string(),
            "peer" => links.address.to_string(),
        );
        event::emit(&log, Event::Started, details);
        Ok(Self {
            bound,
            context,
            drain,
            feeds,
            peer: links.address,
            servers,
            stop,
        })
    }

    /// Returns the address that callers are told.
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Returns the addresses for routed services.
    pub fn bound(&self) -> &BoundAddresses {
        &self.bound
    }

    /// Returns the address that other daemons are told.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Returns what reaches the voters.
    pub fn voter(&self) -> &voter::Handle {
        &self.context.voter
    }

    /// Takes over what settings may change while the daemon runs: the daemons to ask first. The
    /// rest counts from the next start.
    pub fn reload(&self, settings: &Settings) {
        let seeds = settings.peer.as_ref().map(|peer| peer.seeds.clone());
        let seeds = seeds.unwrap_or_default();
        let details = slog::o!("seeds" => format!("{seeds:?}"));
        let taken = self.context.member.seek(seeds).is_ok();
        let event = match taken {
            false => Event::SettingsRefused,
            true => Event::SettingsReloaded,
        };
        event::emit(&self.context.log, event, details);
    }

    /// Keeps the settings in force, since those that were read have a fault.
    pub fn refuse_settings(&self, fault: String) {
        event::emit(
            &self.context.log,
            Event::SettingsRefused,
            slog::o!("fault" => fault),
        );
    }

    /// Takes the host off the list, serves on for the lifetime of addresses, ends the last request
    /// and returns how that went; `again` ends the rest at once.
    pub async fn drain(&mut self, again: impl Future<Output = ()>) -> Outcome {
        let mut drain = Drain::new(self.context.drain_limits());
        let mut event = drain::Event::Signal;
        tokio::pin!(again);
        loop {
            match drain.step(self.context.clock.now(), event) {
                None => {}
                Some(Effect::Announce) => self.announce(),
                Some(Effect::Close) => {
                    self.stop.send_replace(true);
                }
                Some(Effect::End(outcome)) => {
                    self.leave(outcome).await;
                    return outcome;
                }
            }
            event = tokio::select! {
                () = &mut again => drain::Event::Signal,
                () = tokio::time::sleep(POLL) => drain::Event::Tick {
                    in_flight: self.in_flight(),
                },
            };
        }
    }

    /// Closes the listener and waits for the last request to end.
    pub async fn end(&mut self) {
        self.stop.send_replace(true);
        while self.in_flight() > 0 {
            tokio::time::sleep(POLL).await;
        }
    }

    fn announce(&self) {
        event::emit(&self.context.log, Event::DrainBegun, slog::o!());
        let _ = self.context.drain_began.set(self.context.clock.now());
        self.drain.send_replace(true);
        let _ = self.context.member.drain();
    }

    /// Counts the requests in flight, and one more while a connection is still open.
    fn in_flight(&self) -> u64 {
        let open = self.servers.iter().any(|server| !server.is_finished());
        self.context.in_flight.load(Ordering::SeqCst) + u64::from(open)
    }

    async fn leave(&self, outcome: Outcome) {
        let event = match outcome {
            Outcome::Clean => Event::Stopped,
            Outcome::Forced | Outcome::LimitPassed => Event::DrainLimitPassed,
        };
        let in_flight = slog::o!("in_flight" => self.in_flight());
        event::emit(&self.context.log, event, in_flight);
        if self.context.pool.is_some() && self.context.member.leave().is_ok() {
            tokio::time::sleep(FAREWELL).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.feeds.abort();
    }
}

fn advertised(settings: &Settings, listener: Option<&TcpListener>) -> SocketAddr {
    let bound = listener.and_then(|listener| listener.local_addr().ok());
    let configured = settings.entry.as_ref().and_then(|entry| entry.advertise);
    configured
        .or(bound)
        .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
}

/// Binds `address`.
///
/// # Errors
///
/// Returns an error that names the address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    let bound: io::Result<TcpListener> = TcpListener::bind(address).await;
    bound.change_context(Error::Bind { address })
}

/// Waits a while for a table where the host has no disk that could hold one, so that the first
/// callers after a restart are not refused for want of it.
fn first_table(settings: &Settings, voter: &voter::Handle) -> impl Future<Output = ()> + use<> {
    let waits = settings.data.is_none() && settings.peer.is_some();
    let mut table = voter.table();
    async move {
        if waits {
            let filled = table.wait_for(|table| table.revision() > 0);
            let _ = tokio::time::timeout(TABLE_WAIT, filled).await;
        }
    }
}

/// Serves the addresses for routed services.
fn edges(
    context: &Arc<Context>,
    entry: &Entry,
    listeners: Listeners,
    stopped: &watch::Receiver<bool>,
) -> Vec<JoinHandle<()>> {
    let mut open: Vec<(TcpListener, &'static str, routes::Endpoint)> = Vec::new();
    if let Some(listener) = listeners.callers {
        open.push((listener, "routed", gateway::answer));
    }
    if let Some(listener) = listeners.readiness {
        open.push((listener, "readiness", platform_api::answer_readiness));
    }
    for listener in listeners.control {
        open.push((listener, "control", platform_api::answer_control));
    }
    let serve = |(listener, path, endpoint)| {
        let server = server(context, entry, routes::whole(path, endpoint));
        tokio::spawn(server.run(listener, stopped.clone()))
    };
    open.into_iter().map(serve).collect()
}

fn bodies(settings: &Settings, clock: Clock) -> Bodies {
    let entry = settings.entry.as_ref();
    let (bytes, limit) = entry.map_or((0, 0), |entry| (entry.bodies_limit, entry.body_limit));
    Bodies::new(bytes, limit, clock)
}

fn server<H>(context: &Arc<Context>, entry: &Entry, handler: H) -> Server<H> {
    let shared = Shared(context.clone());
    Server {
        handler,
        limits: Limits {
            max_connections: entry.connections,
            max_header_bytes: entry.header_limit,
            header_timeout: entry.header_timeout,
            write_timeout: entry.write_timeout,
        },
        log: context.log.clone(),
        prepare: Arc::new(move |state: &mut State| state.put(shared.clone())),
    }
}
