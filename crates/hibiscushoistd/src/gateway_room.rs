//! Room for the short requests of this host: waits in the line of the service while all upstreams
//! are full, and rejects at once what would not be served in time.

use std::time::Duration;

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_retry::Progress;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::queue::room::REFUSAL_PAUSE_MS;
use coordination::queue::short::Supply;
use coordination::queue::ticket::Ticket;
use coordination::upstream::Fleet;
use state::time::Instant;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Waits until an upstream has room for a short request, in the order of the line. Returns whether
/// the request has waited.
///
/// # Errors
///
/// Returns the refusal of a request that would not be served in time.
pub async fn wait(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
    demand: &Demand,
) -> Result<bool, Refusal> {
    let service = demand.service.as_str();
    let desk = &gateway.short_desk;
    let held_ms = desk.held_ms(service);
    let goal_ms = routed.route.first_byte_goal_ms;
    let rank = routed.workspace.as_ref().map(|workspace| workspace.rank);
    let mut ticket = Ticket {
        arrived: routed.arrived,
        goal_ms,
        is_repeat: progress.is_queued_again(),
        late_at: routed.arrived + goal_ms.saturating_sub(held_ms),
        rank: rank.unwrap_or(routed.route.rank),
        until: routed.deadline.before(held_ms),
        workspace: routed.workspace.as_ref().map(|w| w.name.clone()),
        ..Ticket::default()
    };
    let mut has_waited = false;
    loop {
        let now = context.clock.now();
        let fleet = gateway.routing.latest().fleet.clone();
        let is_full = gateway.dispatcher().is_full(now, &fleet, demand);
        // A request that was called has had its turn.
        if !is_full && (has_waited || !desk.is_behind(now, service, &ticket)) {
            return Ok(has_waited);
        }
        let (supply, _) = gateway
            .dispatcher()
            .supply(now, &fleet, service, desk.hosts());
        let digest = routed.digest.short();
        let entered = desk.enter(now, service, ticket.clone(), digest, supply);
        let mut waiter = entered
            .map_err(|retry_after_ms| reject(context, gateway, routed, now, retry_after_ms))?;
        ticket.is_repeat = true;
        has_waited = true;
        loop {
            let now = context.clock.now();
            let left_ms = ticket.until.since(now);
            if left_ms == 0 {
                drop(waiter);
                let retry_after_ms = desk.refuse(now, service, digest, supply);
                return Err(reject(context, gateway, routed, now, retry_after_ms));
            }
            // The end of a pause brings no news.
            let pause = Duration::from_millis(left_ms.min(REFUSAL_PAUSE_MS));
            match tokio::time::timeout(pause, &mut waiter.called).await {
                Ok(_) => break,
                Err(_) => call(gateway, context.clock.now(), &fleet, service),
            }
        }
    }
}

/// Calls the requests of all services for which there is room.
pub fn call_all(gateway: &Gateway, now: Instant, fleet: &Fleet) {
    for service in gateway.short_desk.waiting_services() {
        call(gateway, now, fleet, &service);
    }
}

/// Calls as many requests of a service as this host's part of the room.
fn call(gateway: &Gateway, now: Instant, fleet: &Fleet, service: &str) {
    let desk = &gateway.short_desk;
    let hosts = desk.hosts();
    let (_, room) = gateway.dispatcher().supply(now, fleet, service, hosts);
    let part = room / hosts;
    let is_drawn = rand::random_range(0..hosts) < room % hosts;
    desk.call(now, service, part + u32::from(is_drawn));
}

/// Returns the time after which the caller of a request that upstreams rejected should come back,
/// in milliseconds, if its service has a line.
pub fn retry_after_ms(context: &Context, gateway: &Gateway, routed: &RoutedRequest) -> Option<u64> {
    let service = routed.service.as_str();
    let (now, desk) = (context.clock.now(), &gateway.short_desk);
    let snapshot = gateway.routing.latest();
    let dispatcher = gateway.dispatcher();
    let supply = dispatcher.tells_load(service).then(|| {
        let (supply, _) = dispatcher.supply(now, &snapshot.fleet, service, desk.hosts());
        supply
    });
    drop(dispatcher);
    supply.map(|supply: Supply| desk.refuse(now, service, routed.digest.short(), supply))
}

/// Logs that a request would not be served in time, and returns its refusal.
fn reject(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    now: Instant,
    retry_after_ms: u64,
) -> Refusal {
    let service = routed.service.clone();
    let waiting = gateway.short_desk.waiting(&service);
    metrics::counter!(metric::FORECAST_REJECTIONS, "service" => service.clone()).increment(1);
    let details = slog::o!(
        "request" => routed.request_head.request_id.clone(),
        "service" => service,
        "waiting" => waiting,
        "waited_ms" => now.since(routed.arrived),
        "left_ms" => routed.left_ms(now),
        "retry_after_ms" => retry_after_ms,
    );
    event::emit(&context.log, Event::ForecastRejected, details);
    Refusal::Crowded { retry_after_ms }
}
