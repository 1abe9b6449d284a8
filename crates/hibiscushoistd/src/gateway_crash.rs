//! Detection of upstreams that crash under routed requests, and refusal of requests that are
//! quarantined or have a quarantined part.
//!
//! One broken answer proves no crash. An upstream counts as crashed if it also refuses a new
//! connection, and no idle connection to it is open.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::Shared;
use slog::Logger;

use crate::answer::Failure;
use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway::retryable_failure;
use crate::gateway_attempt::connection_limits;
use coordination::part_quarantine::Change;
use coordination::part_quarantine::request_id;
use coordination::upstream;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use transport::connection_pool;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::reachability;

/// Timeout of the connections that check whether an upstream still runs. A reachable host refuses
/// within a round trip of the end of its process.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the result of a check holds for other requests that break off at the same engine.
const CHECK_LIFETIME: Duration = Duration::from_millis(300);
/// How long an answer may have been streaming at a crash for its parts to be suspected, in
/// milliseconds; a part that crashes engines does so when its answer begins.
const SUSPECT_STREAM_MS: u64 = 1_000;

/// Checks whether engines still run, one at a time for each address.
#[derive(Default)]
pub struct CrashChecks {
    latest: Mutex<HashMap<SocketAddr, Check>>,
}

/// A check whose result several requests share.
#[derive(Clone)]
struct Check {
    result: Shared<BoxFuture<'static, bool>>,
    started_at: Instant,
}

impl CrashChecks {
    /// Returns whether the engine at `address` refuses connections, by a check of its own or one
    /// that began lately.
    async fn is_down(&self, address: SocketAddr) -> bool {
        let check = {
            let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
            latest.retain(|_, check| check.started_at.elapsed() < CHECK_LIFETIME);
            let check = latest.entry(address).or_insert_with(|| {
                let result = reachability::refuses_connections(address, CHECK_TIMEOUT);
                Check {
                    result: result.boxed().shared(),
                    started_at: Instant::now(),
                }
            });
            check.clone()
        };
        check.result.await
    }
}

/// The request and the parts of its prompt that are at risk of being suspected if their upstream
/// crashes.
#[derive(Clone, Debug)]
pub struct Exposure {
    address: SocketAddr,
    limits: connection_pool::Limits,
    parts: Vec<String>,
    request: String,
    upstream: String,
}

impl Exposure {
    /// Returns the exposure of a request at an upstream.
    pub fn new(routed: &RoutedRequest, upstream: impl Into<String>, address: SocketAddr) -> Self {
        Self {
            address,
            limits: connection_limits(routed),
            parts: part_ids(routed),
            request: routed.request_head.request_id.clone(),
            upstream: upstream.into(),
        }
    }

    /// Checks whether the engine crashed, after it broke off an answer that had been streaming for
    /// `streamed_ms`, and records the crash if so.
    pub async fn record_break(&self, context: &Context, gateway: &Gateway, streamed_ms: u64) {
        if streamed_ms > SUSPECT_STREAM_MS || self.is_leaving(gateway) {
            return;
        }
        let broken_at = context.clock.now();
        let is_connected = || {
            let idle = gateway.connection_pool.idle_addresses(self.limits);
            idle.contains(&self.address)
        };
        if !gateway.crash_checks.is_down(self.address).await || is_connected() {
            return;
        }
        metrics::counter!(metric::CRASHES).increment(1);
        let details = slog::o!(
            "request" => self.request.clone(),
            "upstream" => self.upstream.clone(),
            "parts" => self.parts.join(","),
            "streamed_ms" => streamed_ms,
        );
        event::emit(&context.log, Event::EngineCrashed, details);
        let host = context.settings.name.clone();
        let (upstream, parts) = (self.upstream.clone(), self.parts.iter());
        gateway
            .part_monitor()
            .record_crash(broken_at, host, upstream, parts);
    }

    /// Records that the engine gave a whole answer.
    pub fn record_whole(&self, context: &Context, gateway: &Gateway) {
        let now = context.clock.now();
        let changes = gateway
            .part_monitor()
            .record_success(now, self.parts.iter());
        log_changes(&context.log, changes);
    }

    /// Returns whether the list says that the engine leaves; it may end with answers in flight.
    fn is_leaving(&self, gateway: &Gateway) -> bool {
        let fleet = gateway.routing.latest().fleet.clone();
        let mut listed = fleet.upstreams.iter();
        let listed = listed.find(|upstream| upstream.id == self.upstream);
        listed.is_some_and(|upstream| upstream.standing == upstream::Standing::Leaving)
    }
}

/// Checks whether a request is quarantined or has a quarantined part.
///
/// # Errors
///
/// Returns the failure for the caller if so; it states whether the request `may_have_run`.
pub fn admit(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    may_have_run: bool,
) -> Result<(), Failure> {
    let now = context.clock.now();
    let quarantined = {
        let mut monitor = gateway.part_monitor();
        if monitor.is_empty() {
            return Ok(());
        }
        log_changes(&context.log, monitor.judge_alone(now));
        monitor.quarantined(now, part_ids(routed))
    };
    let Some((part, left_ms)) = quarantined else {
        return Ok(());
    };
    let details = slog::o!(
        "request" => routed.request_head.request_id.clone(),
        "part" => part,
        "left_ms" => left_ms,
        "may_have_run" => may_have_run,
    );
    event::emit(&context.log, Event::PartRefused, details);
    Err(match may_have_run {
        false => retryable_failure(Reason::PartQuarantined, left_ms),
        true => Failure {
            not_run: NotRun::Unknown,
            reason: Reason::OutcomeUnknown,
            retry_after_ms: None,
        },
    })
}

/// Logs and counts changes of the quarantined parts.
pub fn log_changes(log: &Logger, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Quarantined {
                part,
                crashes,
                length_ms,
                upstreams,
                hosts,
            } => {
                metrics::counter!(metric::PART_QUARANTINES, "change" => "quarantined").increment(1);
                let details = slog::o!(
                    "part" => part,
                    "crashes" => crashes,
                    "length_ms" => length_ms,
                    "upstreams" => upstreams.join(","),
                    "hosts" => hosts.join(","),
                );
                event::emit(log, Event::PartQuarantined, details);
            }
            Change::Released(part) => {
                metrics::counter!(metric::PART_QUARANTINES, "change" => "released").increment(1);
                event::emit(log, Event::PartReleased, slog::o!("part" => part));
            }
        }
    }
}

/// Returns the IDs of the shared parts of a prompt, in order, and then that of the whole request.
fn part_ids(routed: &RoutedRequest) -> Vec<String> {
    let parts = routed.request_head.parts.split_last();
    let shared = parts.into_iter().flat_map(|(_, shared)| shared);
    let shared = shared.map(|part| part.id.clone());
    shared.chain([request_id(routed.digest)]).collect()
}
