//! Accepts routed requests from callers: finds the route and the workspace of a request, and
//! refuses what cannot be sent to an upstream.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::Uri;
use hyper::header::RETRY_AFTER;

use crate::answer::Failure;
use crate::answer_buffer::AnswerBuffer;
use crate::budget::Share;
use crate::caller as responses;
use crate::charger;
use crate::charger::Charger;
use crate::charger::Cost;
use crate::context::Context;
use crate::gateway_crash::CrashChecks;
use crate::gateway_retry;
use crate::request::Request;
use crate::routing_snapshot;
use crate::routing_snapshot::Snapshot;
use coordination::allotment::kind::Kind;
use coordination::dispatch::Dispatcher;
use coordination::host::Role;
use coordination::outage::Outage;
use coordination::part_evidence::PartMonitor;
use coordination::retry::Policy;
use coordination::retry::RetryBudgets;
use coordination::version_history::VersionHistory;
use platform::caller;
use platform::caller::RequestHead;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use state::ident::Digest;
use state::routing::Route;
use state::routing::Target;
use state::routing::Workspace;
use state::time::Instant;
use transport::connection_pool::ConnectionPool;
use transport::event;
use transport::event::Event;
use transport::http::Body;

/// `Retry-After` of a request that came after this host lost the leader, or whose route has no
/// service, in milliseconds: time to try another host, and for a newer table to arrive.
const NO_ROUTING_RETRY_AFTER_MS: u64 = 500;
/// `Retry-After` of a request that could outlast a draining host, in milliseconds: time to ask for
/// the addresses of the other hosts.
const DRAINING_RETRY_AFTER_MS: u64 = 100;
/// Units of the retry budget per retry.
const BUDGET_UNITS_PER_RETRY: u64 = 1_000;
/// Share of the fleet's retry budget that the hosts use, in percent. The rest is a reserve for
/// requests that callers count later than this host.
const USED_BUDGET_PERCENT: u64 = 80;

/// State that all routed requests of this host share.
pub struct Gateway {
    /// Buffer of the answers that are read as a whole before they are forwarded.
    pub answer_buffer: AnswerBuffer,
    /// Charges requests to the allotments of their workspaces.
    pub charger: Charger,
    /// Choice of upstreams, with what this host observed of them.
    pub dispatcher: Mutex<Dispatcher>,
    /// Connections to upstreams.
    pub connection_pool: ConnectionPool,
    /// Checks whether engines that broke off an answer still run.
    pub crash_checks: CrashChecks,
    /// Evidence on prompt parts that crash engines, and their quarantines.
    pub part_monitor: Mutex<PartMonitor>,
    /// Access to the latest routing snapshot.
    pub routing: routing_snapshot::Handle,
    /// Budgets that limit attempts after the first one, by service.
    pub retry_budgets: Mutex<RetryBudgets>,
    /// Weights versions, with the time at which each of them expires.
    versions: Mutex<VersionHistory>,
}

impl Gateway {
    /// Returns a gateway without observations.
    pub fn new(
        routing: routing_snapshot::Handle,
        versions: VersionHistory,
        charger: Charger,
        connection_pool: ConnectionPool,
    ) -> Self {
        Self {
            answer_buffer: AnswerBuffer::default(),
            charger,
            dispatcher: Mutex::new(Dispatcher::new(rand::random())),
            connection_pool,
            crash_checks: CrashChecks::default(),
            part_monitor: Mutex::new(PartMonitor::new(rand::random())),
            routing,
            retry_budgets: Mutex::new(RetryBudgets::new(
                host_retry_policy(0, 0, 1),
                rand::random(),
            )),
            versions: Mutex::new(versions),
        }
    }

    /// Locks the dispatcher; ignores that another thread panicked while holding the lock.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the evidence on prompt parts; ignores that another thread panicked while holding the
    /// lock.
    pub fn part_monitor(&self) -> MutexGuard<'_, PartMonitor> {
        self.part_monitor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry budgets; ignores that another thread panicked while holding the lock.
    pub fn retry_budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        self.retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the weights versions; ignores that another thread panicked while holding the lock.
    pub fn versions(&self) -> MutexGuard<'_, VersionHistory> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adapts connections, observations and retry budgets to every change of the upstreams and of
    /// the hosts, until the task is dropped.
    pub async fn follow(self: Arc<Self>, context: Arc<Context>) {
        let mut snapshot = self.routing.subscribe();
        let mut view = context.member.view();
        loop {
            tokio::select! {
                changed = snapshot.changed() => if changed.is_err() { return; },
                changed = view.changed() => if changed.is_err() { return; },
            }
            let fleet = snapshot.borrow_and_update().fleet.clone();
            self.dispatcher().sync(&fleet);
            let addresses: Vec<_> = fleet.upstreams.iter().map(|u| u.address).collect();
            self.connection_pool.retain(&addresses);
            let member_view = view.borrow_and_update().clone();
            let hosts = member_view.present(Role::Entry).filter(accepts_callers);
            let hosts = hosts.count().max(1) as u64;
            if let Some(settings) = &context.settings.gateway {
                let policy = host_retry_policy(settings.retry_percent, settings.retry_slack, hosts);
                self.retry_budgets().set_policy(policy);
            }
        }
    }
}

/// Returns whether a host accepts routed requests.
fn accepts_callers(member: &&coordination::view::Member) -> bool {
    member.record.profile.gateway.is_some()
}

/// Returns the retry policy of one host, so that all hosts together stay within the fleet's budget.
fn host_retry_policy(percent: u64, slack: u64, hosts: u64) -> Policy {
    Policy {
        attempt_limit: u32::MAX,
        initial_backoff_ms: 0,
        max_backoff_ms: 0,
        burst: (slack * USED_BUDGET_PERCENT / 100 / hosts).max(1),
        deposit_per_attempt: percent * USED_BUDGET_PERCENT * BUDGET_UNITS_PER_RETRY / 10_000,
        refill_per_s: 0,
    }
}

/// A request whose route and workspace are known and whose body is read.
pub struct RoutedRequest {
    /// Time of arrival.
    pub arrived: Instant,
    /// Whole body.
    pub body: Bytes,
    /// What each run costs, if the workspace has an allotment.
    pub cost: Option<Cost>,
    /// Time at which the answer is broken off.
    pub deadline: Instant,
    /// Digest of all that makes another request the same one: method, path, caller, parts of the
    /// prompt and body.
    pub digest: Digest,
    /// Decoded headers.
    pub request_head: RequestHead,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// HTTP method.
    pub method: Method,
    /// ID of the last event that the caller received, if this resumes a stream.
    pub resume_after: Option<u64>,
    /// Route of the table that matches the request.
    pub route: Route,
    /// Service whose upstreams may run the request, one of the route's targets.
    pub service: String,
    /// Bytes of the body within what this host may hold.
    pub share: Share,
    /// Path and query.
    pub uri: Uri,
    /// Workspace of the caller's key, unless the table has no workspaces or the route is public.
    pub workspace: Option<Workspace>,
}

impl RoutedRequest {
    /// Returns the time until the deadline, in milliseconds.
    pub fn left_ms(&self, now: Instant) -> u64 {
        self.deadline.since(now)
    }
}

/// Answers a routed request with the response of an upstream, or with a refusal.
pub fn answer(context: Arc<Context>, request: Request) -> BoxFuture<'static, Response<Body>> {
    async move {
        let Some(gateway) = context.gateway.clone() else {
            return responses::refuse(&request.id, Reason::UnknownPath);
        };
        let request_head = RequestHead::decode(&request.headers);
        let id = request_head.request_id.clone();
        match accept(&context, &gateway, request, request_head).await {
            Err(failure) => failure_response(&id, failure),
            Ok(routed) => match gateway_retry::run(&context, &gateway, routed).await {
                Err(failure) => failure_response(&id, failure),
                Ok(response) => response,
            },
        }
    }
    .boxed()
}

/// Finds the route, the workspace and the service of a request, and reads its body.
async fn accept(
    context: &Context,
    gateway: &Gateway,
    mut request: Request,
    request_head: RequestHead,
) -> Result<RoutedRequest, Failure> {
    let arrived = context.clock.now();
    let snapshot = gateway.routing.fresh(context).ok_or_else(|| {
        let age = gateway.routing.age_ms(context);
        let details = slog::o!("request" => request_head.request_id.clone(), "age_ms" => age);
        event::emit(&context.log, Event::OutlookStale, details);
        // A host that lost the leader may be the only one that is partitioned, so another host is
        // worth a quick try. A host that never reached a leader probably started together with the
        // others, and its callers back off as in an outage.
        let after = match age {
            None => Outage::new(Instant::default()).retry_after_ms(arrived, rand::random()),
            Some(_) => NO_ROUTING_RETRY_AFTER_MS,
        };
        retryable_failure(Reason::QuorumAway, after)
    })?;
    let route = snapshot.index.route(&request_head.host, request.uri.path());
    let route = route
        .cloned()
        .ok_or(Failure::before_run(Reason::UnknownPath))?;
    let workspace = workspace(&snapshot, &route, &request_head)?;
    let service = pick_service(&route.targets, rand::random());
    let service = service
        .ok_or(retryable_failure(
            Reason::NoUpstream,
            NO_ROUTING_RETRY_AFTER_MS,
        ))?
        .to_owned();
    let time_limit_ms = request_head
        .deadline_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    if !context.takes(time_limit_ms) {
        return Err(retryable_failure(Reason::Draining, DRAINING_RETRY_AFTER_MS));
    }
    let cost = cost(&request_head, &route, workspace.as_ref());
    if let Some(cost) = &cost {
        let admitted = gateway.charger.admit(cost);
        admitted.map_err(uncharged_failure)?;
    }
    let deadline = arrived + time_limit_ms;
    let entry = context.settings.entry.as_ref();
    let limit = entry.map_or(0, |entry| entry.body_limit);
    let time_limit = Duration::from_millis(time_limit_ms);
    let time_limit = entry.map_or(time_limit, |entry| entry.body_timeout.min(time_limit));
    let body = request
        .read(limit, time_limit)
        .await
        .map_err(Failure::before_run)?;
    let uri = request.uri.to_string();
    let mut content = vec![
        request.method.as_str().as_bytes(),
        uri.as_bytes(),
        workspace.as_ref().map_or(&[], |w| w.name.as_bytes()),
        &body,
    ];
    content.extend(request_head.parts.iter().map(|part| part.id.as_bytes()));
    let digest = Digest::of(&content);
    Ok(RoutedRequest {
        arrived,
        body,
        cost,
        deadline,
        digest,
        resume_after: request_head.resumed_after,
        request_head,
        headers: request.headers,
        method: request.method,
        route,
        service,
        share: request.share,
        uri: request.uri,
        workspace,
    })
}

/// Returns the workspace that the caller's key belongs to, or none if the route needs no key.
fn workspace(
    snapshot: &Snapshot,
    route: &Route,
    request_head: &RequestHead,
) -> Result<Option<Workspace>, Failure> {
    if snapshot.index.table().workspaces.is_empty() || route.public {
        return Ok(None);
    }
    let key = request_head.key.as_ref();
    let found = key.and_then(|key| snapshot.index.workspace(key));
    match found {
        None => Err(Failure::before_run(Reason::Unauthorized)),
        Some(workspace) => Ok(Some(workspace.clone())),
    }
}

/// Returns what a run of a request costs, if its workspace has an allotment.
fn cost(request_head: &RequestHead, route: &Route, workspace: Option<&Workspace>) -> Option<Cost> {
    let workspace = workspace?;
    let allotment = workspace.allotment?;
    let tokens = request_head.prompt_tokens + request_head.answer_tokens;
    Some(Cost {
        kind: Kind::of(route.rank, tokens),
        request: request_head.request_id.clone(),
        units: allotment.cost(tokens),
        workspace: workspace.name.clone(),
    })
}

/// Picks a service at random, in proportion to the weights.
fn pick_service(targets: &[Target], random: u64) -> Option<&str> {
    let sum: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut offset = random.checked_rem(sum)?;
    for target in targets {
        let weight = u64::from(target.weight);
        if offset < weight {
            return Some(&target.service);
        }
        offset -= weight;
    }
    None
}

/// Returns the failure of a request that did not run and may be retried after `retry_after_ms`.
pub fn retryable_failure(reason: Reason, retry_after_ms: u64) -> Failure {
    Failure {
        not_run: NotRun::True,
        reason,
        retry_after_ms: Some(retry_after_ms),
    }
}

/// Returns the failure of a request that is not charged and did not run.
pub fn uncharged_failure(refusal: charger::Refusal) -> Failure {
    match refusal {
        charger::Refusal::Spent { retry_after_ms } => {
            retryable_failure(Reason::AllotmentSpent, retry_after_ms)
        }
        charger::Refusal::Unanswered => {
            retryable_failure(Reason::QuorumAway, NO_ROUTING_RETRY_AFTER_MS)
        }
    }
}

/// Returns the response for a failure, with a `Retry-After` header if the failure has a delay.
fn failure_response(id: &str, failure: Failure) -> Response<Body> {
    let mut response = responses::fail(id, failure);
    if let Some(after) = failure.retry_after_ms {
        let value = caller::retry_after(after);
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
