//! Retries of a routed request: sends it to one upstream after another until one answers or the
//! retry policy forbids another attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;

use crate::answer::Failure;
use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway::retryable_failure;
use crate::gateway::uncharged_failure;
use crate::gateway_answer_log::AnswerLog;
use crate::gateway_answer_log::Outcome;
use crate::gateway_attempt::Attempt;
use crate::gateway_attempt::UpstreamAnswer;
use crate::gateway_attempt::attempt;
use crate::gateway_body;
use crate::gateway_crash;
use crate::gateway_crash::Exposure;
use crate::gateway_placement;
use crate::gateway_placement::place;
use crate::gateway_room;
use crate::gateway_stream;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::load::told::Told;
use coordination::retry;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use transport::event;
use transport::event::Event;
use transport::http::Body;
use transport::metric;
use transport::whole_body;

/// Least `Retry-After` while all engines are busy, in milliseconds; a burst ends or is prefilled
/// within seconds.
const BUSY_RETRY_AFTER_MS: u64 = 1_000;
/// Random addition to [`BUSY_RETRY_AFTER_MS`] that spreads the retries of callers, at most, in
/// milliseconds.
const BUSY_RETRY_JITTER_MS: u64 = 1_500;
/// `Retry-After` of a request that no engine can hold, in milliseconds: the time in which engines
/// may be replaced by larger ones.
const TOO_LARGE_RETRY_AFTER_MS: u64 = 60_000;
/// Number of upstreams that may reject a request without running it before it is refused.
const MAX_REJECTIONS: u32 = 3;
/// `Retry-After` of a request that every tried upstream rejected, in milliseconds.
const REJECTED_RETRY_AFTER_MS: u64 = 400;

/// Results of the attempts at one request so far.
#[derive(Clone, Default)]
pub struct Progress {
    /// Failed attempts that may have run; the route limits them.
    attempts: u32,
    /// Weights version that must generate the rest of a resumed answer.
    pub exact_weights: Option<u64>,
    /// Whether a full upstream rejected the request, so that it went back to its line.
    is_queued_again: bool,
    /// Whether a charge to the allotment is not used yet.
    is_charged: bool,
    may_have_run: bool,
    /// Attempts that an upstream rejected without running the request.
    rejections: u32,
    /// IDs of the upstreams whose attempts have failed.
    pub tried: Vec<String>,
}

impl Progress {
    /// Returns whether a full upstream has rejected the request, which keeps its place then.
    pub fn is_queued_again(&self) -> bool {
        self.is_queued_again
    }
}

/// Sends a request to one upstream after another, and returns the response to the caller. Streams
/// are forwarded as they arrive; other answers are buffered, so that one that breaks off can still
/// be retried.
///
/// # Errors
///
/// Returns why no answer came and whether the request may have run.
pub async fn run(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: RoutedRequest,
) -> Result<Response<Body>, Failure> {
    let mut progress = Progress::default();
    let now = context.clock.now();
    gateway.retry_budgets().record_first_attempt(
        now,
        routed.service.clone(),
        routed.service.clone(),
    );
    loop {
        let answered = send_until_answered(context, gateway, &routed, &mut progress).await?;
        let attempts = progress.attempts + 1;
        let mut answer_log = AnswerLog::start(context, gateway, &routed, &answered, attempts);
        if answered.is_stream(&routed) {
            return Ok(match answered.is_resumable(&routed) {
                false => forward_stream(context, &routed, answered, answer_log),
                true => {
                    gateway_stream::start(context, gateway, routed, progress, answered, answer_log)
                }
            });
        }
        let upstream = answered.choice.upstream.clone();
        match buffer_answer(context, &routed, answered).await {
            Ok(response) => {
                answer_log.set_outcome(Outcome::Whole);
                if response.status().is_success() {
                    Exposure::new(&routed, upstream.id, upstream.address)
                        .record_whole(context, gateway);
                }
                return Ok(response);
            }
            Err(reason) => {
                answer_log.set_outcome(Outcome::Cut);
                let failed_attempt = FailedAttempt {
                    address: upstream.address,
                    may_have_run: true,
                    reason,
                    streamed_ms: 0,
                    upstream: upstream.id,
                };
                detect_crash(context, gateway, &routed, &failed_attempt);
                record_failed_attempt(context, gateway, &routed, &mut progress, failed_attempt)?;
            }
        }
    }
}

/// Resumes a stream at another upstream after the events that were already forwarded, if the route
/// and the retry budget allow it.
pub async fn resume(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: &RoutedRequest,
    progress: &mut Progress,
    failed_attempt: FailedAttempt,
) -> Option<UpstreamAnswer> {
    detect_crash(context, gateway, routed, &failed_attempt);
    record_failed_attempt(context, gateway, routed, progress, failed_attempt).ok()?;
    let next = send_until_answered(context, gateway, routed, progress)
        .await
        .ok()?;
    next.is_stream(routed).then_some(next)
}

/// Returns whether a request that waits for `upstream` could be sent to another one instead. An
/// attempt whose answer may still arrive is abandoned only if so.
pub fn can_move(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
    upstream: &str,
) -> bool {
    let now = context.clock.now();
    let mut progress_after_move = progress.clone();
    progress_after_move.tried.push(upstream.to_owned());
    progress.attempts + 1 < routed.route.attempt_limit
        && gateway
            .retry_budgets()
            .can_retry(now, &routed.service, &routed.service)
        && gateway_placement::has_alternative(context, gateway, routed, &progress_after_move)
}

/// An attempt that brought no complete answer.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Whether the upstream may have run the request.
    pub may_have_run: bool,
    /// Cause of the failure.
    pub reason: retry::Reason,
    /// Time for which the answer had been streaming, in milliseconds.
    pub streamed_ms: u64,
    /// ID of the upstream.
    pub upstream: String,
}

/// Sends a request to one upstream after another until the head of an answer arrives, and gives
/// back a charge for which nothing ran.
async fn send_until_answered(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: &RoutedRequest,
    progress: &mut Progress,
) -> Result<UpstreamAnswer, Failure> {
    let answered = try_upstreams(context, gateway, routed, progress).await;
    if std::mem::take(&mut progress.is_charged)
        && let Some(cost) = &routed.cost
    {
        gateway.charger.give_back(cost);
    }
    answered
}

/// Charges the next run to the allotment of the workspace, unless an earlier charge is still unused
/// because no upstream ran the request.
async fn charge(
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &mut Progress,
) -> Result<(), Failure> {
    let Some(cost) = routed.cost.as_ref().filter(|_| !progress.is_charged) else {
        return Ok(());
    };
    let charged = gateway.charger.charge(cost).await;
    progress.is_charged = charged.is_ok();
    charged.map_err(|refusal| match progress.may_have_run {
        false => uncharged_failure(refusal),
        true => Failure {
            not_run: NotRun::Unknown,
            reason: Reason::OutcomeUnknown,
            retry_after_ms: None,
        },
    })
}

/// Sends a request to one upstream after another until the head of an answer arrives.
async fn try_upstreams(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: &RoutedRequest,
    progress: &mut Progress,
) -> Result<UpstreamAnswer, Failure> {
    loop {
        gateway_crash::admit(context, gateway, routed, progress.may_have_run)?;
        let (demand, choice) = match place(context, gateway, routed, progress).await {
            Err(refusal) => {
                return Err(placement_failure(
                    context, gateway, routed, progress, refusal,
                ));
            }
            Ok(placed) => placed,
        };
        // A part may have been quarantined while the request waited for a free engine.
        gateway_crash::admit(context, gateway, routed, progress.may_have_run)?;
        charge(gateway, routed, progress).await?;
        let (may_have_run, reason) =
            match attempt(context, gateway, routed, progress, &demand, &choice).await {
                Attempt::Answered(answered) => {
                    progress.is_charged = false;
                    if answered.status().is_server_error() {
                        let handle = &answered.in_flight.handle;
                        gateway
                            .dispatcher()
                            .record_failure(context.clock.now(), handle);
                        if retries_server_error(context, gateway, routed, progress, &choice) {
                            continue;
                        }
                    }
                    return Ok(*answered);
                }
                Attempt::Failed {
                    may_have_run,
                    reason,
                } => {
                    progress.is_charged &= !may_have_run;
                    (may_have_run, reason)
                }
                Attempt::Rejected { told, held_ms } => {
                    log_rejection(context, routed, &choice, told, held_ms);
                    let is_full = told.is_some_and(|told| told.is_full());
                    if is_full && gateway.dispatcher().has_line(&demand) {
                        progress.is_queued_again = true;
                        allow_retry(context, gateway, routed, progress, retry::Reason::Refused)?;
                        continue;
                    }
                    progress.rejections += 1;
                    (false, retry::Reason::Refused)
                }
            };
        let failed_attempt = FailedAttempt {
            address: choice.upstream.address,
            may_have_run,
            reason,
            streamed_ms: 0,
            upstream: choice.upstream.id,
        };
        detect_crash(context, gateway, routed, &failed_attempt);
        record_failed_attempt(context, gateway, routed, progress, failed_attempt)?;
    }
}

/// Checks in the background whether the upstream crashed, if an attempt ended with its connection.
/// The request goes on meanwhile.
fn detect_crash(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: &RoutedRequest,
    failed_attempt: &FailedAttempt,
) {
    if failed_attempt.reason != retry::Reason::Cut {
        return;
    }
    let (upstream, address) = (&failed_attempt.upstream, failed_attempt.address);
    let exposure = Exposure::new(routed, upstream, address);
    let (context, gateway) = (context.clone(), gateway.clone());
    let streamed_ms = failed_attempt.streamed_ms;
    tokio::spawn(async move { exposure.record_break(&context, &gateway, streamed_ms).await });
}

/// Records and logs a failed attempt. Returns the failure for the caller if no other attempt is
/// allowed.
fn record_failed_attempt(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &mut Progress,
    failed_attempt: FailedAttempt,
) -> Result<(), Failure> {
    progress.may_have_run |= failed_attempt.may_have_run;
    progress.attempts += u32::from(failed_attempt.may_have_run);
    progress.tried.push(failed_attempt.upstream.clone());
    log_failed_attempt(context, routed, &failed_attempt);
    allow_retry(context, gateway, routed, progress, failed_attempt.reason)
}

/// Records a server error of an upstream, and returns whether the request is retried; if not, the
/// caller gets the upstream's own answer.
fn retries_server_error(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &mut Progress,
    choice: &Choice,
) -> bool {
    let failed_attempt = FailedAttempt {
        address: choice.upstream.address,
        may_have_run: true,
        reason: retry::Reason::Status,
        streamed_ms: 0,
        upstream: choice.upstream.id.clone(),
    };
    let retry_allowed = record_failed_attempt(context, gateway, routed, progress, failed_attempt);
    routed.route.is_repeatable() && retry_allowed.is_ok()
}

/// Checks whether another attempt is allowed, and takes it from the retry budget. Returns the
/// failure for the caller if it is not. A request that was never sent needs no budget.
fn allow_retry(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
    reason: retry::Reason,
) -> Result<(), Failure> {
    let final_failure = || final_failure(context, gateway, routed, progress);
    if progress.attempts >= routed.route.attempt_limit || progress.rejections >= MAX_REJECTIONS {
        return Err(final_failure());
    }
    let not_sent = reason == retry::Reason::Connect;
    let retry_request = retry::Failure {
        attempt: progress.attempts + 1,
        deadline: routed.deadline,
        idempotent: routed.route.is_repeatable(),
        may_have_run: progress.may_have_run,
        upstream: routed.service.clone(),
        workspace: routed.service.clone(),
    };
    if not_sent && !progress.may_have_run && context.clock.now() < routed.deadline {
        return Ok(());
    }
    let allowed = gateway
        .retry_budgets()
        .try_retry(context.clock.now(), &retry_request);
    match allowed {
        Err(denial) => {
            let denial: &'static str = denial.into();
            metrics::counter!(metric::RETRY_DENIALS, "reason" => denial).increment(1);
            Err(final_failure())
        }
        Ok(_) => {
            let reason: &'static str = reason.into();
            metrics::counter!(metric::RETRIES, "reason" => reason).increment(1);
            Ok(())
        }
    }
}

/// Returns the failure that the caller gets if no further attempt is made.
fn final_failure(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
) -> Failure {
    if !progress.may_have_run {
        return rejected_failure(context, gateway, routed, Reason::Overloaded);
    }
    let deadline_passed = context.clock.now() >= routed.deadline;
    Failure {
        not_run: NotRun::Unknown,
        reason: match deadline_passed {
            false => Reason::OutcomeUnknown,
            true => Reason::Deadline,
        },
        retry_after_ms: None,
    }
}

/// Logs that no upstream can take a request, and returns the failure for the caller.
fn placement_failure(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
    refusal: Refusal,
) -> Failure {
    let details = slog::o!(
        "request" => routed.request_head.request_id.clone(),
        "service" => routed.service.clone(),
        "reason" => refusal.to_string(),
        "tried" => progress.tried.len(),
    );
    event::emit(&context.log, Event::RoutedRefused, details);
    if progress.may_have_run {
        return Failure {
            not_run: NotRun::Unknown,
            reason: Reason::OutcomeUnknown,
            retry_after_ms: None,
        };
    }
    match refusal {
        Refusal::NoUpstream => rejected_failure(context, gateway, routed, Reason::NoUpstream),
        Refusal::Paused => rejected_failure(context, gateway, routed, Reason::Overloaded),
        Refusal::Crowded { retry_after_ms } => {
            retryable_failure(Reason::Overloaded, retry_after_ms)
        }
        Refusal::TooLarge => retryable_failure(Reason::Overloaded, TOO_LARGE_RETRY_AFTER_MS),
        Refusal::Busy | Refusal::TooLate => {
            let jitter_ms = rand::random_range(0..=BUSY_RETRY_JITTER_MS);
            retryable_failure(Reason::Overloaded, BUSY_RETRY_AFTER_MS + jitter_ms)
        }
    }
}

/// Returns the failure of a request that no upstream ran.
fn rejected_failure(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    reason: Reason,
) -> Failure {
    let after_ms = gateway_room::retry_after_ms(context, gateway, routed);
    let after_ms = after_ms.unwrap_or(REJECTED_RETRY_AFTER_MS);
    let after_ms = gateway_placement::retry_after_ms(context, gateway, routed, after_ms);
    retryable_failure(reason, after_ms)
}

/// Logs that an upstream rejected a request.
fn log_rejection(
    context: &Context,
    routed: &RoutedRequest,
    choice: &Choice,
    told: Option<Told>,
    held_ms: u64,
) {
    let details = slog::o!(
        "request" => routed.request_head.request_id.clone(),
        "service" => routed.service.clone(),
        "upstream" => choice.upstream.id.clone(),
        "held_ms" => held_ms,
        "running" => told.map(|told| told.running),
        "waiting" => told.map(|told| told.waiting),
        "slots" => told.map(|told| told.slots),
    );
    event::emit(&context.log, Event::UpstreamRejected, details);
}

/// Logs a failed attempt.
fn log_failed_attempt(context: &Context, routed: &RoutedRequest, failed_attempt: &FailedAttempt) {
    let details = slog::o!(
        "request" => routed.request_head.request_id.clone(),
        "service" => routed.service.clone(),
        "upstream" => failed_attempt.upstream.clone(),
        "reason" => failed_attempt.reason.to_string(),
        "may_have_run" => failed_attempt.may_have_run,
        "left_ms" => routed.left_ms(context.clock.now()),
    );
    event::emit(&context.log, Event::AttemptFailed, details);
}

/// Returns the response of a stream that is forwarded as it arrives, without resumption.
fn forward_stream(
    context: &Arc<Context>,
    routed: &RoutedRequest,
    answered: UpstreamAnswer,
    answer_log: AnswerLog,
) -> Response<Body> {
    let head = answered.response_head();
    let upstream = &answered.choice.upstream;
    let exposure = Exposure::new(routed, &upstream.id, upstream.address);
    let body =
        gateway_body::ForwardedBody::new(context, answered, routed.deadline, answer_log, exposure);
    Response::from_parts(head, Body::new(body))
}

/// Buffers a whole answer before it is forwarded, so that one that breaks off can still be retried.
async fn buffer_answer(
    context: &Context,
    routed: &RoutedRequest,
    answered: UpstreamAnswer,
) -> Result<Response<Body>, retry::Reason> {
    let head = answered.response_head();
    let is_cut_if_empty = answered.is_cut_if_empty();
    let (body, connection, idle_limit, in_flight) = answered.into_stream();
    let left = Duration::from_millis(routed.left_ms(context.clock.now()));
    let answer_buffer = in_flight.gateway().answer_buffer.clone();
    let collected = answer_buffer.collect(body);
    let whole: Result<Bytes, _> = match tokio::time::timeout(left, collected).await {
        Err(_) => Err(retry::Reason::Idle),
        Ok(Err(whole_body::Error::TooLong)) => Err(retry::Reason::Format),
        Ok(Err(whole_body::Error::Broken(_))) => Err(retry::Reason::Cut),
        Ok(Ok(empty)) if empty.is_empty() && is_cut_if_empty => Err(retry::Reason::Cut),
        Ok(Ok(whole)) => Ok(whole),
    };
    let whole = whole.inspect_err(|_| {
        let now = context.clock.now();
        let gateway = in_flight.gateway();
        gateway.dispatcher().record_failure(now, &in_flight.handle);
    })?;
    if !head.status.is_server_error() {
        in_flight
            .gateway()
            .dispatcher()
            .record_success(&in_flight.handle);
    }
    if let Some(idle) = idle_limit {
        tokio::spawn(connection.release(idle));
    }
    let body = Full::new(whole).map_err(|never| match never {});
    Ok(Response::from_parts(head, Body::new(body)))
}
