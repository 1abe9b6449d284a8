//! One attempt at a routed request: sends it to an upstream and classifies the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderMap;
use hyper::header::TRANSFER_ENCODING;
use hyper::http;

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_retry::Progress;
use crate::gateway_retry::can_move;
use coordination::choice::Choice;
use coordination::demand::Demand;
use coordination::load::told::Told;
use coordination::local_state::InFlight;
use coordination::retry;
use coordination::version_history::CANCEL_MARGIN_MS;
use platform::answer::AnswerHead;
use platform::caller;
use platform::caller::ForwardedHeaders;
use state::routing::Kind;
use state::time::Instant;
use transport::clock::Clock;
use transport::connection_pool;
use transport::connection_pool::PooledConnection;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::read_limit;

/// Timeout of a connection attempt to an upstream; within a region it takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection that may carry a non-idempotent request. Such a request cannot
/// be sent again if the upstream closes the idle connection at the moment of sending, so this limit
/// is lower than [`IDLE_LIMIT`].
const NON_IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest idle time of a connection that carries idempotent requests.
const IDLE_LIMIT: Duration = Duration::from_millis(4_000);
/// Time between two checks whether the upstream has become unresponsive.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Counts a request as in flight at its upstream until the guard is dropped.
pub struct InFlightGuard {
    clock: Clock,
    gateway: Arc<Gateway>,
    /// Handle with which the dispatcher records the events of the request.
    pub handle: InFlight,
}

impl InFlightGuard {
    /// Returns the gateway whose dispatcher counts the request.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut dispatcher = self.gateway.dispatcher();
        dispatcher.record_end(&self.handle);
        let service = self.handle.service();
        let tells_load = dispatcher.tells_load(service);
        drop(dispatcher);
        if tells_load {
            let now = self.clock.now();
            let held_ms = self.handle.short_held_ms(now);
            self.gateway.short_desk.record_end(now, service, held_ms);
        }
    }
}

/// Result of an attempt.
pub enum Attempt {
    /// The upstream sent the head of a valid answer.
    Answered(Box<UpstreamAnswer>),
    /// No valid answer arrived.
    Failed {
        /// Whether the upstream may have run the request.
        may_have_run: bool,
        /// Cause of the failure.
        reason: retry::Reason,
    },
    /// The upstream refused the request without running it.
    Rejected {
        /// Load that the upstream told with the refusal, if any.
        told: Option<Told>,
        /// Time for which the request was at the upstream, in milliseconds.
        held_ms: u64,
    },
}

/// The answer of an upstream whose head has arrived and whose body is still to be read.
pub struct UpstreamAnswer {
    /// Upstream of the request, and the grounds for choosing it.
    pub choice: Choice,
    answer_head: AnswerHead,
    connection: PooledConnection,
    response: Response<read_limit::Body>,
    /// Time at which the attempt began.
    pub sent_at: Instant,
    /// Counts the request as in flight at the upstream.
    pub in_flight: InFlightGuard,
}

impl UpstreamAnswer {
    /// Returns the head of the response to the caller.
    pub fn response_head(&self) -> http::response::Parts {
        let mut response = Response::new(());
        *response.status_mut() = self.response.status();
        *response.headers_mut() = caller::answer_headers(self.response.headers());
        response.into_parts().0
    }

    /// Returns the body, its connection, how long the connection may stay open idle afterwards (if
    /// at all), and the guard of the request in flight.
    pub fn into_stream(
        self,
    ) -> (
        read_limit::Body,
        PooledConnection,
        Option<Duration>,
        InFlightGuard,
    ) {
        let idle_limit = idle_limit(&self.answer_head);
        (
            self.response.into_body(),
            self.connection,
            idle_limit,
            self.in_flight,
        )
    }

    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns whether the body has neither a length nor chunks, so that it looks complete wherever
    /// its connection ends. An empty one is taken for broken off: engines and services answer with
    /// at least one event or byte.
    pub fn is_cut_if_empty(&self) -> bool {
        let headers = self.response.headers();
        self.response.status() == StatusCode::OK
            && !headers.contains_key(CONTENT_LENGTH)
            && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns whether the answer is a successful stream of events.
    pub fn is_stream(&self, routed: &RoutedRequest) -> bool {
        routed.route.kind == Kind::Stream && self.response.status().is_success()
    }

    /// Returns whether another upstream may resume the stream. A stream with a `Content-Length`
    /// cannot be resumed, since the resumed part might not have the promised length.
    pub fn is_resumable(&self, routed: &RoutedRequest) -> bool {
        let counted = self.response.headers().contains_key(CONTENT_LENGTH);
        routed.route.resumable && !counted
    }
}

/// Sends a request to the chosen upstream, and returns the result once the head of the answer has
/// arrived or the attempt has failed.
pub async fn attempt(
    context: &Context,
    gateway: &Arc<Gateway>,
    routed: &RoutedRequest,
    progress: &Progress,
    demand: &Demand,
    choice: &Choice,
) -> Attempt {
    let started_at = context.clock.now();
    let headers =
        caller::request_headers(&routed.headers, &upstream_headers(routed, choice, demand));
    let Some(request) = upstream_request(routed, headers) else {
        return Attempt::Rejected {
            told: None,
            held_ms: 0,
        };
    };
    let handle = gateway.dispatcher().record_sent(started_at, choice, demand);
    let mut in_flight = InFlightGuard {
        clock: context.clock,
        gateway: gateway.clone(),
        handle,
    };
    let address = choice.upstream.address;
    let sending = gateway
        .connection_pool
        .send(address, request, connection_limits(routed));
    let sent = tokio::select! {
        sent = sending => sent,
        reason = wait_for_abandonment(context, routed, progress, choice, &in_flight) => {
            if reason == retry::Reason::Idle {
                gateway.dispatcher().record_failure(context.clock.now(), &in_flight.handle);
            }
            return Attempt::Failed { may_have_run: true, reason };
        }
    };
    let now = context.clock.now();
    let (response, connection) = match sent {
        Err(error) => {
            gateway.dispatcher().record_failure(now, &in_flight.handle);
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
    let answer_head = AnswerHead::decode(response.status(), response.headers());
    if !is_final(response.status()) {
        gateway.dispatcher().record_failure(now, &in_flight.handle);
        return Attempt::Failed {
            may_have_run: true,
            reason: retry::Reason::Format,
        };
    }
    record_hold(context, choice, &answer_head, &in_flight);
    // An upstream may write an earlier answer once more on a kept connection.
    let is_unnamed = answer_head.request_id.is_none() && connection.is_reused();
    if is_unnamed || answer_head.is_foreign(&routed.request_head.request_id) {
        return Attempt::Failed {
            may_have_run: true,
            reason: retry::Reason::Crossed,
        };
    }
    let mut dispatcher = gateway.dispatcher();
    dispatcher.record_answer_head(now, &mut in_flight.handle);
    if let Some(told) = answer_head.load {
        dispatcher.record_told(&in_flight.handle, told);
    }
    if let Some((model, version)) = demand.model.as_ref().zip(answer_head.weights) {
        dispatcher.record_weights(&in_flight.handle, model.clone(), version);
    }
    if answer_head.not_run {
        dispatcher.record_rejected(now, &in_flight.handle, answer_head.load);
        return Attempt::Rejected {
            told: answer_head.load,
            held_ms: now.since(started_at),
        };
    }
    if !answer_head.stamped {
        dispatcher.record_failure(now, &in_flight.handle);
        return Attempt::Failed {
            may_have_run: true,
            reason: retry::Reason::Format,
        };
    }
    dispatcher.record_accepted(now, &mut in_flight.handle, answer_head.load);
    if response.status().is_success() {
        dispatcher.record_prefill(now, &mut in_flight.handle);
    }
    drop(dispatcher);
    Attempt::Answered(Box::new(UpstreamAnswer {
        choice: choice.clone(),
        answer_head,
        connection,
        response,
        sent_at: started_at,
        in_flight,
    }))
}

/// Records that the upstream asks for no further requests, for good or for a time, if its answer
/// says so. An answer to another request, or one that is not accepted, still comes from the
/// upstream, and so does one that does not say whether the request ran.
fn record_hold(
    context: &Context,
    choice: &Choice,
    answer_head: &AnswerHead,
    in_flight: &InFlightGuard,
) {
    let now = context.clock.now();
    let (leaves, pauses) = {
        let mut dispatcher = in_flight.gateway.dispatcher();
        let pause = |pause_ms| dispatcher.record_pause(now, &in_flight.handle, pause_ms);
        let pauses = answer_head.pause_ms.is_some_and(pause);
        let leaves = answer_head.leaving && dispatcher.record_leaving(now, &in_flight.handle);
        (leaves, pauses)
    };
    for (begins, reason) in [(leaves, "leaving"), (pauses, "paused")] {
        if begins {
            metrics::counter!(metric::UPSTREAM_HOLDS, "reason" => reason).increment(1);
            let details = slog::o!(
                "upstream" => choice.upstream.id.clone(),
                "service" => choice.upstream.service.clone(),
                "reason" => reason,
                "pause_ms" => answer_head.pause_ms.filter(|_| reason == "paused"),
            );
            event::emit(&context.log, Event::UpstreamHeld, details);
        }
    }
}

/// Returns the time limits of the connection that a request uses.
pub fn connection_limits(routed: &RoutedRequest) -> connection_pool::Limits {
    connection_pool::Limits {
        connect_timeout: CONNECT_TIMEOUT,
        max_idle: match routed.route.is_repeatable() {
            false => NON_IDEMPOTENT_IDLE_LIMIT,
            true => IDLE_LIMIT,
        },
    }
}

/// Waits until the attempt should be abandoned: the deadline has passed, the weights of the
/// upstream are about to expire or, for an idempotent request, the upstream is unresponsive and
/// another one can take the request.
async fn wait_for_abandonment(
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
        tokio::time::sleep(STALL_CHECK_INTERVAL.min(Duration::from_millis(left))).await;
        let now = context.clock.now();
        if are_weights_expiring(now, in_flight.gateway(), routed, choice) {
            return retry::Reason::OldWeights;
        }
        let is_unresponsive = in_flight
            .gateway
            .dispatcher()
            .is_unresponsive(now, &in_flight.handle);
        let (gateway, upstream) = (in_flight.gateway(), &choice.upstream.id);
        if is_unresponsive
            && routed.route.is_repeatable()
            && can_move(context, gateway, routed, progress, upstream)
        {
            return retry::Reason::Idle;
        }
    }
}

/// Returns whether the weights of the chosen upstream are about to expire. A request that waits
/// there must not begin on them any more.
fn are_weights_expiring(
    now: Instant,
    gateway: &Gateway,
    routed: &RoutedRequest,
    choice: &Choice,
) -> bool {
    let model = routed.request_head.model.as_ref();
    let expiry = model
        .zip(choice.weights)
        .and_then(|(model, weights)| gateway.versions().expiry(model, weights));
    expiry.is_some_and(|expiry| expiry <= now + CANCEL_MARGIN_MS)
}

/// Returns the request to the upstream, or none if its URI cannot be parsed.
fn upstream_request(
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

/// Returns the values of the headers that this host sets on the request to the upstream.
fn upstream_headers(routed: &RoutedRequest, choice: &Choice, demand: &Demand) -> ForwardedHeaders {
    let workspace = routed.workspace.as_ref();
    let salt = choice.weights.map(|version| match &demand.cache_scope {
        None => format!("w{version}"),
        Some(scope) => format!("w{version}{scope}"),
    });
    ForwardedHeaders {
        expect_upstream: choice.upstream.id.clone(),
        expect_weights: choice.weights,
        fetch_from: choice.fetch_from,
        left_ms: demand.left_ms,
        rank: choice.rank,
        resume_after: routed.resume_after,
        salt,
        save_to: choice.save_to,
        workspace: workspace.map(|workspace| workspace.name.clone()),
    }
}

/// Returns whether HTTP knows the status as that of a final answer. A switch of protocols that
/// nobody asked for is none.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns how long the connection may stay open idle after the answer, if at all.
fn idle_limit(answer_head: &AnswerHead) -> Option<Duration> {
    let stated = answer_head.keep_alive_s.map(Duration::from_secs);
    let idle = stated.map_or(IDLE_LIMIT, |stated| (stated * 4 / 5).min(IDLE_LIMIT));
    (!answer_head.closes).then_some(idle)
}
