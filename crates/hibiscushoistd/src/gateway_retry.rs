//! Sends a routed request to one upstream after another until one answers or none may be tried.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Response;
use slog::Logger;

use crate::answer::Failure;
use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway::later;
use crate::gateway_answer_log::AnswerLog;
use crate::gateway_answer_log::Outcome;
use crate::gateway_attempt::Attempt;
use crate::gateway_attempt::UpstreamAnswer;
use crate::gateway_attempt::attempt;
use crate::gateway_body;
use crate::gateway_placement;
use crate::gateway_placement::place;
use crate::gateway_stream;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::retry;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use transport::event;
use transport::event::Event;
use transport::http::Body;
use transport::metric;

/// Gives when a caller should return at the earliest after no engine had room, in milliseconds; a
/// burst is over or read within seconds.
const BUSY_MS: u64 = 1_000;
/// Gives the time over which callers return after no engine had room, in milliseconds.
const BUSY_SPREAD_MS: u64 = 1_500;
/// Bounds the upstreams that may reject a request without running it.
const REJECTIONS: u32 = 3;
/// Gives when a caller should return after every upstream rejected its request, in milliseconds.
const REJECTED_MS: u64 = 400;
/// Bounds an answer that is read whole before it is passed on, in bytes.
const WHOLE_BYTES: usize = 1 << 20;

/// Holds what the attempts at one request have come to.
#[derive(Clone, Default)]
pub struct Progress {
    attempts: u32,
    /// Gives the weights version that must make the rest of an answer.
    pub exact_weights: Option<u64>,
    may_have_run: bool,
    rejections: u32,
    /// Lists the upstreams that have failed the request.
    pub tried: Vec<String>,
}

/// Sends a request until an upstream answers.
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
        let answered = answered(context, gateway, &routed, &mut progress).await?;
        let attempts = progress.attempts + 1;
        let mut answer_log = AnswerLog::start(context, gateway, &routed, &answered, attempts);
        if answered.is_stream(&routed) {
            return Ok(match answered.is_resumable(&routed) {
                false => passed(context, &routed, answered, answer_log),
                true => {
                    gateway_stream::start(context, gateway, routed, progress, answered, answer_log)
                }
            });
        }
        let upstream = answered.choice.upstream.id.clone();
        match whole(context, &routed, answered).await {
            Ok(response) => {
                answer_log.set_outcome(Outcome::Whole);
                return Ok(response);
            }
            Err(reason) => {
                answer_log.set_outcome(Outcome::Cut);
                let failed_attempt = FailedAttempt {
                    may_have_run: true,
                    reason,
                    upstream,
                };
                failed(context, gateway, &routed, &mut progress, failed_attempt)?;
            }
        }
    }
}

/// Has a stream go on at another upstream, after the events that were passed on, where the route
/// and the budget allow it.
pub async fn resume(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: &RoutedRequest,
    progress: &mut Progress,
    failed_attempt: FailedAttempt,
) -> Option<UpstreamAnswer> {
    failed(context, gateway, routed, progress, failed_attempt).ok()?;
    let next = answered(context, gateway, routed, progress).await.ok()?;
    next.is_stream(routed).then_some(next)
}

/// Returns whether a request that waits for `upstream` could be sent to another instead; an answer
/// that may yet come is not ended for nothing.
pub fn may_move(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
    upstream: &str,
) -> bool {
    let now = context.clock.now();
    let mut moved = progress.clone();
    moved.tried.push(upstream.to_owned());
    progress.attempts + 1 < routed.route.attempt_limit
        && gateway
            .retry_budgets()
            .can_retry(now, &routed.service, &routed.service)
        && gateway_placement::is_offered(context, gateway, routed, &moved)
}

/// Describes an attempt that came to nothing.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// Tells whether the request may have run.
    pub may_have_run: bool,
    /// Tells why.
    pub reason: retry::Reason,
    /// Names the upstream.
    pub upstream: String,
}

/// Sends a request to one upstream after another until one answers for it.
async fn answered(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: &RoutedRequest,
    progress: &mut Progress,
) -> Result<UpstreamAnswer, Failure> {
    loop {
        let (demand, choice) = match place(context, gateway, routed, progress).await {
            Err(refusal) => return Err(refused(&context.log, routed, progress, refusal)),
            Ok(placed) => placed,
        };
        let (may_have_run, reason) =
            match attempt(context, gateway, routed, progress, &demand, &choice).await {
                Attempt::Answered(answered) => {
                    if answered.status().is_server_error() {
                        let run = &answered.in_flight.run;
                        gateway
                            .dispatcher()
                            .record_failure(context.clock.now(), run);
                        if repeats(context, gateway, routed, progress, &choice) {
                            continue;
                        }
                    }
                    return Ok(*answered);
                }
                Attempt::Failed {
                    may_have_run,
                    reason,
                } => (may_have_run, reason),
                Attempt::Rejected => {
                    progress.rejections += 1;
                    (false, retry::Reason::Refused)
                }
            };
        let failed_attempt = FailedAttempt {
            may_have_run,
            reason,
            upstream: choice.upstream.id,
        };
        failed(context, gateway, routed, progress, failed_attempt)?;
    }
}

/// Notes an attempt that came to nothing, and returns nothing where there may be another.
fn failed(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &mut Progress,
    failed_attempt: FailedAttempt,
) -> Result<(), Failure> {
    progress.may_have_run |= failed_attempt.may_have_run;
    progress.attempts += u32::from(failed_attempt.may_have_run);
    progress.tried.push(failed_attempt.upstream.clone());
    note(context, routed, &failed_attempt);
    again(context, gateway, routed, progress, failed_attempt.reason)
}

/// Returns whether a request that an upstream ran and failed is tried at another; where it is not,
/// the caller gets the upstream's own answer.
fn repeats(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &mut Progress,
    choice: &Choice,
) -> bool {
    let failed_attempt = FailedAttempt {
        may_have_run: true,
        reason: retry::Reason::Status,
        upstream: choice.upstream.id.clone(),
    };
    let again = failed(context, gateway, routed, progress, failed_attempt);
    routed.route.is_repeatable() && again.is_ok()
}

/// Returns nothing where the request may be tried again.
fn again(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
    reason: retry::Reason,
) -> Result<(), Failure> {
    let ended = failure(routed, context, progress);
    if progress.attempts >= routed.route.attempt_limit || progress.rejections >= REJECTIONS {
        return Err(ended);
    }
    let unsent = reason == retry::Reason::Connect;
    let ask = retry::Failure {
        attempt: progress.attempts + 1,
        deadline: routed.deadline,
        idempotent: routed.route.is_repeatable(),
        may_have_run: progress.may_have_run,
        upstream: routed.service.clone(),
        workspace: routed.service.clone(),
    };
    if unsent && !progress.may_have_run && context.clock.now() < routed.deadline {
        return Ok(());
    }
    let asked = gateway.retry_budgets().try_retry(context.clock.now(), &ask);
    match asked {
        Err(denial) => {
            let denial: &'static str = denial.into();
            metrics::counter!(metric::RETRY_DENIALS, "reason" => denial).increment(1);
            Err(ended)
        }
        Ok(_) => {
            let reason: &'static str = reason.into();
            metrics::counter!(metric::RETRIES, "reason" => reason).increment(1);
            Ok(())
        }
    }
}

fn failure(routed: &RoutedRequest, context: &Context, progress: &Progress) -> Failure {
    if !progress.may_have_run {
        return later(Reason::Overloaded, REJECTED_MS);
    }
    let late = context.clock.now() >= routed.deadline;
    Failure {
        not_run: NotRun::Unknown,
        reason: match late {
            false => Reason::OutcomeUnknown,
            true => Reason::Deadline,
        },
        retry_after_ms: None,
    }
}

fn refused(log: &Logger, routed: &RoutedRequest, progress: &Progress, refusal: Refusal) -> Failure {
    let details = slog::o!(
        "request" => routed.facts.id.clone(),
        "service" => routed.service.clone(),
        "reason" => refusal.to_string(),
        "tried" => progress.tried.len(),
    );
    event::emit(log, Event::RoutedRefused, details);
    if progress.may_have_run {
        return Failure {
            not_run: NotRun::Unknown,
            reason: Reason::OutcomeUnknown,
            retry_after_ms: None,
        };
    }
    match refusal {
        Refusal::NoUpstream => later(Reason::NoUpstream, REJECTED_MS),
        Refusal::Busy | Refusal::TooLate => {
            let spread = rand::random_range(0..=BUSY_SPREAD_MS);
            later(Reason::Overloaded, BUSY_MS + spread)
        }
    }
}

fn note(context: &Context, routed: &RoutedRequest, failed_attempt: &FailedAttempt) {
    let details = slog::o!(
        "request" => routed.facts.id.clone(),
        "service" => routed.service.clone(),
        "upstream" => failed_attempt.upstream.clone(),
        "reason" => failed_attempt.reason.to_string(),
        "may_have_run" => failed_attempt.may_have_run,
        "left_ms" => routed.left_ms(context.clock.now()),
    );
    event::emit(&context.log, Event::AttemptFailed, details);
}

/// Passes a stream on as it arrives.
fn passed(
    context: &Arc<Context>,
    routed: &RoutedRequest,
    answered: UpstreamAnswer,
    answer_log: AnswerLog,
) -> Response<Body> {
    let head = answered.returned_head();
    let gateway = answered.in_flight.gateway().clone();
    gateway.dispatcher().record_success(&answered.in_flight.run);
    let body = gateway_body::ForwardedBody::new(context, answered, routed.deadline, answer_log);
    Response::from_parts(head, Body::new(body))
}

/// Reads an answer whole before it is passed on, so that one that breaks off can still fail.
async fn whole(
    context: &Context,
    routed: &RoutedRequest,
    answered: UpstreamAnswer,
) -> Result<Response<Body>, retry::Reason> {
    let head = answered.returned_head();
    let (body, connection, keep, in_flight) = answered.into_stream();
    let left = Duration::from_millis(routed.left_ms(context.clock.now()));
    let collected = Limited::new(body, WHOLE_BYTES).collect();
    let whole: Bytes = match tokio::time::timeout(left, collected).await {
        Err(_) => return Err(retry::Reason::Idle),
        Ok(Err(_)) => return Err(retry::Reason::Cut),
        Ok(Ok(whole)) => whole.to_bytes(),
    };
    if !head.status.is_server_error() {
        in_flight
            .gateway()
            .dispatcher()
            .record_success(&in_flight.run);
    }
    if let Some(idle) = keep {
        tokio::spawn(connection.release(idle));
    }
    let body = Full::new(whole).map_err(|never| match never {});
    Ok(Response::from_parts(head, Body::new(body)))
}
