//! What the handlers of a daemon share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::state::StateData;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;
use tokio::sync::watch;

use crate::bodies::Bodies;
use crate::broker;
use crate::budget::Share;
use crate::gateway::Gateway;
use crate::health::Health;
use crate::journal::Journal;
use crate::member;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::suspects::Suspects;
use crate::voter;
use coordination::drain;
use coordination::view::View;
use protocol::platform::HostList;
use state::table::Table;
use state::time::Instant;
use transport::clock::Clock;

/// Bounds both times of the drain of a host without callers, in milliseconds: work that it owns is
/// handed over within a probe of the fleet's failure detector.
const HANDOVER_MS: u64 = 2_000;
/// Bounds the time until every host knows of a drain, in milliseconds; gossip takes a few probes.
const SPREAD_MS: u64 = 2_000;

/// Holds what the handlers of a daemon share.
pub struct Context {
    /// Holds the address that callers are told.
    pub address: SocketAddr,
    /// Bounds the bytes of request bodies held at once.
    pub bodies: Bodies,
    /// Places requests on upstreams.
    pub broker: broker::Handle,
    /// Reads the clock.
    pub clock: Clock,
    /// Tells when the daemon began to drain.
    pub drain_began: OnceLock<Instant>,
    /// Turns true when the daemon begins to drain.
    pub draining: watch::Receiver<bool>,
    /// Takes routed requests, where the host serves callers of routed services.
    pub gateway: Option<Arc<Gateway>>,
    /// Knows the health of upstreams.
    pub health: Health,
    /// Counts the requests in flight.
    pub in_flight: Arc<AtomicU64>,
    /// Keeps explanations.
    pub journal: Journal,
    /// Receives events.
    pub log: Logger,
    /// Reaches the duty that knows the fleet.
    pub member: member::Handle,
    /// Renders the counters.
    pub metrics: PrometheusHandle,
    /// Holds the connections to other daemons, in a fleet of several hosts.
    pub pool: Option<Pool>,
    /// Shows the platform's list of upstream hosts.
    pub platform: watch::Receiver<Arc<HostList>>,
    /// Holds the settings.
    pub settings: Arc<Settings>,
    /// Reaches the owners of requests that may crash upstreams.
    pub suspects: Suspects,
    /// Reaches the voters.
    pub voter: voter::Handle,
}

impl Context {
    /// Returns the table in force.
    pub fn table(&self) -> Arc<Table> {
        self.voter.table().borrow().clone()
    }

    /// Returns what this host knows of the fleet.
    pub fn view(&self) -> Arc<View> {
        self.member.view().borrow().clone()
    }

    /// Returns the times of a drain of this host.
    pub fn drain_limits(&self) -> drain::Limits {
        let entry = self.settings.entry.as_ref();
        let millis = |duration: Duration| duration.as_millis() as u64;
        drain::Limits {
            address_lifetime_ms: entry.map_or(HANDOVER_MS, |entry| millis(entry.address_lifetime)),
            drain_limit_ms: entry.map_or(HANDOVER_MS, |entry| millis(entry.drain_limit)),
            propagation_ms: match self.pool {
                None => 0,
                Some(_) => SPREAD_MS,
            },
        }
    }

    /// Returns whether a request is taken that may last so long, in milliseconds; see
    /// [`drain::Limits::accepts`].
    pub fn takes(&self, lasting: u64) -> bool {
        let now = self.clock.now();
        let began = self.drain_began.get();
        began.is_none_or(|at| self.drain_limits().accepts(now.since(*at), lasting))
    }

    /// Counts a request in flight until the returned guard is dropped.
    pub fn enter(&self) -> Guard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Guard {
            in_flight: self.in_flight.clone(),
            share: None,
        }
    }
}

/// Counts one request in flight while it lives.
#[derive(Debug)]
pub struct Guard {
    in_flight: Arc<AtomicU64>,
    share: Option<Share>,
}

impl Guard {
    /// Holds the bytes of the request's body as well.
    pub fn hold(&mut self, share: Share) {
        self.share = Some(share);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Carries the context through gotham's state.
#[derive(Clone, StateData)]
pub struct Shared(pub Arc<Context>);
