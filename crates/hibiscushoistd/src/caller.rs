//! Answers callers.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Response;

use crate::answer::Failure;
use crate::auth;
use crate::context::Context;
use crate::request::Request;
use crate::respond;
use coordination::addresses;
use coordination::addresses::Request as AddressRequest;
use protocol::address::AddressList;
use protocol::refusal::Reason;
use protocol::refusal::Refusal;
use transport::http::Body;
use transport::metric;

const TEXT: &str = "text/plain; version=0.0.4";

/// Answers which addresses a caller should use.
pub fn addresses(context: Arc<Context>, request: Request) -> BoxFuture<'static, Response<Body>> {
    async move {
        let entry = context.settings.entry.as_ref();
        let lifetime = entry
            .map(|entry| entry.address_lifetime)
            .unwrap_or_default();
        let ask = AddressRequest {
            random: rand::random(),
            prefix: request.query_text("prefix").map(str::to_owned),
            workspace: auth::workspace(&request.headers, &context.table()).unwrap_or_default(),
        };
        let listing = AddressList {
            addresses: addresses::select(&context.view(), &ask),
            lifetime_ms: lifetime.as_millis() as u64,
        };
        let mut response = respond::json(200, &listing);
        respond::name(&mut response, &request.id);
        response
    }
    .boxed()
}

/// Answers that the process runs.
pub fn health(_context: Arc<Context>, _request: Request) -> BoxFuture<'static, Response<Body>> {
    async { respond::whole(200, TEXT, "ok\n") }.boxed()
}

/// Answers the counters as Prometheus text.
pub fn metrics(context: Arc<Context>, _request: Request) -> BoxFuture<'static, Response<Body>> {
    async move { respond::whole(200, TEXT, context.metrics.render()) }.boxed()
}

/// Answers whether the daemon takes new callers.
pub fn ready(context: Arc<Context>, request: Request) -> BoxFuture<'static, Response<Body>> {
    async move {
        if *context.draining.borrow() {
            return refuse(&request.id, Reason::Draining);
        }
        respond::whole(200, TEXT, "ready\n")
    }
    .boxed()
}

/// Counts a refusal by reason.
pub fn count(refusal: &Refusal) {
    let reason: &'static str = refusal.reason.into();
    metrics::counter!(metric::REFUSALS, "reason" => reason).increment(1);
}

/// Refuses a request whose answer failed before its first part left.
pub fn fail(id: &str, failure: Failure) -> Response<Body> {
    let refusal = refusal(id, failure);
    count(&refusal);
    respond::refusal(refusal)
}

/// Refuses a request that did not run.
pub fn refuse(id: &str, reason: Reason) -> Response<Body> {
    fail(id, Failure::before_run(reason))
}

/// Returns the refusal that tells a caller of `failure`.
pub fn refusal(id: &str, failure: Failure) -> Refusal {
    Refusal {
        message: message(failure.reason).to_owned(),
        not_run: failure.not_run,
        reason: failure.reason,
        request_id: id.to_owned(),
        retry_after_ms: failure.retry_after_ms,
    }
}

/// Says in words what a reason means for the caller.
pub fn message(reason: Reason) -> &'static str {
    match reason {
        Reason::AllotmentSpent => "the workspace has used up its allotment for now",
        Reason::AnswerCut => "the answer broke off and could not be resumed; ask again",
        Reason::BadRequest => "the request is malformed",
        Reason::BodyTooLarge => "the body is longer than this daemon reads",
        Reason::CallerLimit => "this caller has too many requests in flight; wait for one to end",
        Reason::Deadline => "the deadline has passed or cannot be met",
        Reason::Draining => "this host is shutting down; use another address",
        Reason::KindLimit => "this kind of work already has too many requests in flight",
        Reason::KeyExpired => "the idempotency key is older than the ledger keeps; it cannot run",
        Reason::KeyMissing => "an order needs an idempotency-key header",
        Reason::KeyReused => "the idempotency key came before with another body",
        Reason::KeyRunning => "the same order is running at this moment; ask again for its answer",
        Reason::NoUpstream => "no upstream can take the request at the moment",
        Reason::OutcomeUnknown => "the order may or may not have run; it will not be run again",
        Reason::Overloaded => "too much work is waiting; come back later",
        Reason::PartQuarantined => {
            "this request, or a part of it, crashes upstreams and is quarantined; come back later"
        }
        Reason::Quarantined => "this request crashed upstreams and is held back",
        Reason::QuorumAway => "the voters cannot agree at the moment; come back later",
        Reason::RateLimit => "the workspace has used its tokens for now",
        Reason::RetryBudget => "the retry budget is spent; come back later",
        Reason::Unauthorized => "the workspace key is missing or wrong",
        Reason::UnknownModel => "no model of that name is in the table",
        Reason::UnknownPath => "nothing is served under that path and method",
        Reason::UnknownService => "no plain service of that name is in the table",
        Reason::UpstreamFailed => "the upstream answered with an error",
        Reason::WorkspaceLimit => "the workspace has too many requests in flight",
    }
}
