//! Sends a routed request to one upstream and judges the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderMap;
use hyper::http;

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_retry::Progress;
use crate::gateway_retry::may_move;
use coordination::choice::Choice;
use coordination::demand::Demand;
use coordination::dispatch::InFlight;
use coordination::retry;
use platform::answer::Facts;
use platform::caller;
use platform::caller::Forward;
use state::routing::Kind;
use state::time::Instant;
use transport::connection_pool;
use transport::connection_pool::PooledConnection;

/// Bounds the time to connect to an upstream; a connection within a region takes a few
/// milliseconds.
const CONNECT: Duration = Duration::from_millis(400);
/// Bounds the idle time of a connection that carries an order, which cannot be sent again when the
/// upstream closes the connection at that moment.
const IDLE_ORDER: Duration = Duration::from_millis(1_500);
/// Bounds the idle time of a connection that carries other requests.
const IDLE: Duration = Duration::from_millis(4_000);
/// Gives the time between two looks at whether the upstream has fallen silent.
const LOOK: Duration = Duration::from_millis(100);

/// Keeps a request noted as under way until it is dropped.
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    /// Names the request to the dispatch.
    pub run: InFlight,
}

impl InFlightGuard {
    /// Returns what has seen the request.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway.dispatcher().record_end(&self.run);
    }
}

/// Tells how an attempt went.
pub enum Attempt {
    /// Means that the upstream answered for the request.
    Answered(Box<UpstreamAnswer>),
    /// Means that no answer came that counts.
    Failed {
        /// Tells whether the request may have run.
        may_have_run: bool,
        /// Tells why.
        reason: retry::Reason,
    },
    /// Means that the upstream did not run the request.
    Rejected,
}

/// Holds the answer of an upstream whose body is still to come.
pub struct UpstreamAnswer {
    /// Tells where the request went and what that was chosen by.
    pub choice: Choice,
    facts: Facts,
    connection: PooledConnection,
    response: Response<Incoming>,
    /// Gives when the request was sent.
    pub sent: Instant,
    /// Keeps the request noted as under way.
    pub in_flight: InFlightGuard,
}

impl UpstreamAnswer {
    /// Returns the head of the answer as the caller gets it.
    pub fn returned_head(&self) -> http::response::Parts {
        let mut response = Response::new(());
        *response.status_mut() = self.response.status();
        *response.headers_mut() = caller::returned(self.response.headers());
        response.into_parts().0
    }

    /// Returns the body with its connection, how long that may be kept, and the request under way.
    pub fn into_stream(self) -> (Incoming, PooledConnection, Option<Duration>, InFlightGuard) {
        let keep = keep(&self.facts);
        (
            self.response.into_body(),
            self.connection,
            keep,
            self.in_flight,
        )
    }

    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(&self, routed: &RoutedRequest) -> bool {
        routed.route.kind == Kind::Stream && self.response.status().is_success()
    }

    /// Returns whether the stream may go on at another upstream; one of a stated length may not,
    /// since its bytes are counted.
    pub fn is_resumable(&self, routed: &RoutedRequest) -> bool {
        let counted = self.response.headers().contains_key(CONTENT_LENGTH);
        routed.route.resumable && !counted
    }
}

/// Sends a request to the upstream that was chosen, and returns how that went once the head of an
/// answer is there.
pub async fn attempt(
    context: &Context,
    gateway: &Arc<Gateway>,
    routed: &RoutedRequest,
    progress: &Progress,
    demand: &Demand,
    choice: &Choice,
) -> Attempt {
    let begun = context.clock.now();
    let headers = caller::forwarded(&routed.headers, &forward(routed, choice, demand.left_ms));
    let Some(request) = request(routed, headers) else {
        return Attempt::Rejected;
    };
    let run = gateway.dispatcher().record_sent(begun, choice, demand);
    let mut in_flight = InFlightGuard {
        gateway: gateway.clone(),
        run,
    };
    let address = choice.upstream.address;
    let sending = gateway
        .connection_pool
        .send(address, request, limits(routed));
    let sent = tokio::select! {
        sent = sending => sent,
        reason = given_up(context, routed, progress, choice, &in_flight) => {
            if reason == retry::Reason::Idle {
                gateway.dispatcher().record_failure(context.clock.now(), &in_flight.run);
            }
            return Attempt::Failed { may_have_run: true, reason };
        }
    };
    let now = context.clock.now();
    let (response, connection) = match sent {
        Err(error) => {
            gateway.dispatcher().record_failure(now, &in_flight.run);
            let reason = match error.not_sent() {
                false => retry::Reason::Cut,
                true => retry::Reason::Connect,
            };
            let may_have_run = !error.not_sent();
            return Attempt::Failed {
                may_have_run,
                reason,
            };
        }
        Ok(sent) => sent,
    };
    let facts = Facts::read(response.status(), response.headers());
    if facts.is_foreign(&routed.facts.id) {
        return Attempt::Failed {
            may_have_run: true,
            reason: retry::Reason::Crossed,
        };
    }
    let mut dispatcher = gateway.dispatcher();
    dispatcher.record_answer_head(now, &mut in_flight.run);
    if let Some((model, version)) = demand.model.as_ref().zip(facts.weights) {
        dispatcher.record_weights(&in_flight.run, model.clone(), version);
    }
    if facts.not_run {
        dispatcher.record_refusal(now, &in_flight.run);
        return Attempt::Rejected;
    }
    if !facts.stamped {
        dispatcher.record_failure(now, &in_flight.run);
        return Attempt::Failed {
            may_have_run: true,
            reason: retry::Reason::Format,
        };
    }
    if response.status().is_success() {
        dispatcher.record_prefill(now, &mut in_flight.run);
    }
    drop(dispatcher);
    Attempt::Answered(Box::new(UpstreamAnswer {
        choice: choice.clone(),
        facts,
        connection,
        response,
        sent: begun,
        in_flight,
    }))
}

/// Returns the bounds of a request's connection.
pub fn limits(routed: &RoutedRequest) -> connection_pool::Limits {
    connection_pool::Limits {
        connect_timeout: CONNECT,
        max_idle: match routed.route.is_repeatable() {
            false => IDLE_ORDER,
            true => IDLE,
        },
    }
}

/// Returns once the caller's time has passed or, for a request that may run again, the upstream
/// has fallen silent and another takes it.
async fn given_up(
    context: &Context,
    routed: &RoutedRequest,
    progress: &Progress,
    choice: &Choice,
    in_flight: &InFlightGuard,
) -> retry::Reason {
    loop {
        let left = routed.left_ms(context.clock.now());
        if left == 0 {
            return retry::Reason::Idle;
        }
        tokio::time::sleep(LOOK.min(Duration::from_millis(left))).await;
        let now = context.clock.now();
        let silent = in_flight
            .gateway
            .dispatcher()
            .is_unresponsive(now, &in_flight.run);
        let (gateway, upstream) = (in_flight.gateway(), &choice.upstream.id);
        if silent
            && routed.route.is_repeatable()
            && may_move(context, gateway, routed, progress, upstream)
        {
            return retry::Reason::Idle;
        }
    }
}

fn request(
    routed: &RoutedRequest,
    headers: HeaderMap,
) -> Option<hyper::Request<connection_pool::Body>> {
    let mut request = hyper::Request::new(Full::new(routed.body.clone()));
    *request.method_mut() = routed.method.clone();
    let path = routed.uri.path_and_query()?.as_str();
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

fn forward(routed: &RoutedRequest, choice: &Choice, left_ms: u64) -> Forward {
    let workspace = routed.workspace.as_ref();
    let salt = choice.weights.map(|version| {
        let isolated = workspace.filter(|workspace| workspace.isolated);
        match isolated {
            None => format!("w{version}"),
            Some(workspace) => format!("w{version}-{}", workspace.name),
        }
    });
    Forward {
        expect_upstream: choice.upstream.id.clone(),
        expect_weights: choice.weights,
        fetch: choice.fetch_from,
        left_ms,
        rank: choice.rank,
        resume_after: routed.resume_after,
        salt,
        save: choice.save_to,
        workspace: workspace.map(|workspace| workspace.name.clone()),
    }
}

/// Returns how long the connection may be kept after the answer, if at all.
fn keep(facts: &Facts) -> Option<Duration> {
    let stated = facts.keep_alive_s.map(Duration::from_secs);
    let idle = stated.map_or(IDLE, |stated| (stated * 4 / 5).min(IDLE));
    (!facts.last).then_some(idle)
}
