//! Checks upstreams that are suspected to be silent, so that no caller waits for one that does not
//! accept connections, and one that comes back gets work soon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::gateway::Gateway;
use coordination::load::silent::Change;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::reachability;

/// Time between two searches for upstreams to check.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time within which an upstream accepts a connection; within a region it takes a few milliseconds.
const CHECK_LIMIT: Duration = Duration::from_millis(400);

/// Checks upstreams until the task is dropped.
pub async fn run(context: Arc<Context>, gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let (due, suspected, changes) = {
            let mut dispatcher = gateway.dispatcher();
            let due = dispatcher.due_checks(context.clock.now());
            (
                due,
                dispatcher.suspected(),
                dispatcher.take_silent_changes(),
            )
        };
        log_changes(&context, changes);
        if due.is_empty() && suspected.is_empty() {
            continue;
        }
        let fleet = gateway.routing.latest().fleet.clone();
        for upstream in &fleet.upstreams {
            // An open connection may be broken without a sign of it.
            if suspected.contains(&upstream.id) {
                gateway.connection_pool.close_idle(upstream.address);
            }
            if due.contains(&upstream.id) {
                let (context, gateway) = (context.clone(), gateway.clone());
                tokio::spawn(check(
                    context,
                    gateway,
                    upstream.id.clone(),
                    upstream.address,
                ));
            }
        }
    }
}

/// Checks whether an upstream accepts a connection.
async fn check(context: Arc<Context>, gateway: Arc<Gateway>, id: String, address: SocketAddr) {
    let begun_at = context.clock.now();
    let accepted = reachability::accepts_connections(address, CHECK_LIMIT).await;
    let now = context.clock.now();
    gateway
        .dispatcher()
        .record_check(now, begun_at, &id, accepted);
}

/// Logs and counts the suspicions that began or ended.
fn log_changes(context: &Context, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Began(upstream, evidence) => {
                let evidence: &'static str = evidence.into();
                metrics::counter!(metric::SUSPICIONS, "evidence" => evidence).increment(1);
                let details = slog::o!("upstream" => upstream, "evidence" => evidence);
                event::emit(&context.log, Event::UpstreamSuspected, details);
            }
            Change::Ended(upstream, lasted_ms) => {
                let details = slog::o!("upstream" => upstream, "lasted_ms" => lasted_ms);
                event::emit(&context.log, Event::SuspicionEnded, details);
            }
        }
    }
}
