//! Detection of engines that crash under routed requests.
//!
//! One broken answer proves no crash. An engine counts as crashed if it also refuses a new
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

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_attempt::connection_limits;
use coordination::upstream;
use transport::connection_pool;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::reachability;

/// Timeout of the connection that checks whether an engine still runs; a reachable host refuses
/// within a round trip.
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

/// The parts of a prompt that are at risk of being suspected if their engine crashes.
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
    /// `streamed_ms`, and logs the crash if so.
    pub async fn record_break(&self, context: &Context, gateway: &Gateway, streamed_ms: u64) {
        if self.parts.len() < 2 || streamed_ms > SUSPECT_STREAM_MS || self.is_leaving(gateway) {
            return;
        }
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
    }

    /// Returns whether the list says that the engine leaves; it may end with answers in flight.
    fn is_leaving(&self, gateway: &Gateway) -> bool {
        let fleet = gateway.routing.latest().fleet.clone();
        let mut listed = fleet.upstreams.iter();
        let listed = listed.find(|upstream| upstream.id == self.upstream);
        listed.is_some_and(|upstream| upstream.standing == upstream::Standing::Leaving)
    }
}

/// Returns the IDs of the parts of a prompt, in order.
fn part_ids(routed: &RoutedRequest) -> Vec<String> {
    let parts = routed.request_head.parts.iter();
    parts.map(|part| part.id.clone()).collect()
}
