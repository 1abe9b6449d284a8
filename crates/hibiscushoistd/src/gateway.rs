//! Takes routed requests from callers: finds route and workspace, and answers what did not run.

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
use crate::caller as answers;
use crate::context::Context;
use crate::gateway_retry;
use crate::request::Request;
use crate::routing_snapshot;
use crate::routing_snapshot::Snapshot;
use coordination::dispatch::Dispatcher;
use coordination::host::Role;
use coordination::outage::Outage;
use coordination::retry::Policy;
use coordination::retry::RetryBudgets;
use platform::caller;
use platform::caller::Facts;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use state::routing::Kind;
use state::routing::Route;
use state::routing::Target;
use state::routing::Workspace;
use state::time::Instant;
use transport::connection_pool::ConnectionPool;
use transport::event;
use transport::event::Event;
use transport::http::Body;

/// Gives how long a caller should wait when this host has lost the leader or a route has no service
/// to go to, in milliseconds: time to try another host, and for a newer table to arrive.
const MISSING_MS: u64 = 500;
/// Gives how long a caller should wait when this host ends before the answer may, in milliseconds;
/// time to ask for the addresses of the others.
const MOVED_MS: u64 = 100;
/// Counts budget in thousandths of a retry.
const RETRY: u64 = 1_000;
/// Gives the share of the fleet's retry budget that hosts use, in percent; the rest covers requests
/// that callers count later than this host.
const BUDGET_SHARE: u64 = 80;

/// Holds what routed requests share on this host.
pub struct Gateway {
    /// Chooses upstreams.
    pub dispatcher: Mutex<Dispatcher>,
    /// Holds the connections to upstreams.
    pub connection_pool: ConnectionPool,
    /// Shows what this host knows.
    pub routing: routing_snapshot::Handle,
    /// Bounds requests that go to a second upstream.
    pub retry_budgets: Mutex<RetryBudgets>,
}

impl Gateway {
    /// Returns a gateway that has sent nothing.
    pub fn new(routing: routing_snapshot::Handle) -> Self {
        Self {
            dispatcher: Mutex::new(Dispatcher::new(rand::random())),
            connection_pool: ConnectionPool::default(),
            routing,
            retry_budgets: Mutex::new(RetryBudgets::new(budget(0, 0, 1), rand::random())),
        }
    }

    /// Returns the chooser of upstreams.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the budget of retries.
    pub fn retry_budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        self.retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps connections, budgets and what was seen in step with the fleet, until the task is
    /// dropped.
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
            let seen = view.borrow_and_update().clone();
            let hosts = seen.present(Role::Entry).filter(takes_callers);
            let hosts = hosts.count().max(1) as u64;
            if let Some(settings) = &context.settings.gateway {
                let policy = budget(settings.retry_percent, settings.retry_slack, hosts);
                self.retry_budgets().set_policy(policy);
            }
        }
    }
}

fn takes_callers(member: &&coordination::view::Member) -> bool {
    member.record.profile.gateway.is_some()
}

/// Returns this host's part of the budget that all hosts share.
fn budget(percent: u64, slack: u64, hosts: u64) -> Policy {
    Policy {
        attempt_limit: u32::MAX,
        initial_backoff_ms: 0,
        max_backoff_ms: 0,
        burst: (slack * BUDGET_SHARE / 100 / hosts).max(1),
        deposit_per_attempt: percent * BUDGET_SHARE * RETRY / 10_000,
        refill_per_s: 0,
    }
}

/// Holds a routed request that may be sent.
pub struct RoutedRequest {
    /// Gives the time of its arrival.
    pub arrived: Instant,
    /// Holds the body.
    pub body: Bytes,
    /// Gives the time after which the caller gets nothing more.
    pub deadline: Instant,
    /// Holds what its headers say.
    pub facts: Facts,
    /// Holds the headers.
    pub headers: HeaderMap,
    /// Holds the method.
    pub method: Method,
    /// Gives the last event that the caller has, where a stream goes on.
    pub resume_after: Option<u64>,
    /// Holds the route.
    pub route: Route,
    /// Names the service.
    pub service: String,
    /// Holds the path and the query.
    pub uri: Uri,
    /// Holds the workspace, where the table has any and the route needs one.
    pub workspace: Option<Workspace>,
}

impl RoutedRequest {
    /// Returns the time left, in milliseconds.
    pub fn left_ms(&self, now: Instant) -> u64 {
        self.deadline.since(now)
    }
}

/// Answers a routed request.
pub fn answer(context: Arc<Context>, request: Request) -> BoxFuture<'static, Response<Body>> {
    async move {
        let Some(gateway) = context.gateway.clone() else {
            return answers::refuse(&request.id, Reason::UnknownPath);
        };
        let facts = Facts::read(&request.headers);
        let id = facts.id.clone();
        match accept(&context, &gateway, request, facts).await {
            Err(failure) => refuse(&id, failure),
            Ok(routed) => match gateway_retry::run(&context, &gateway, routed).await {
                Err(failure) => refuse(&id, failure),
                Ok(response) => response,
            },
        }
    }
    .boxed()
}

/// Finds route and workspace of a request and reads its body.
async fn accept(
    context: &Context,
    gateway: &Gateway,
    mut request: Request,
    facts: Facts,
) -> Result<RoutedRequest, Failure> {
    let arrived = context.clock.now();
    let snapshot = gateway.routing.fresh(context).ok_or_else(|| {
        let age = gateway.routing.age_ms(context);
        let details = slog::o!("request" => facts.id.clone(), "age_ms" => age);
        event::emit(&context.log, Event::OutlookStale, details);
        // A host that has lost the leader may be cut off alone; one that has never heard of it
        // started with the others.
        let after = match age {
            None => Outage::new(Instant::default()).retry_after_ms(arrived, rand::random()),
            Some(_) => MISSING_MS,
        };
        later(Reason::QuorumAway, after)
    })?;
    let route = snapshot.index.route(&facts.host, request.uri.path());
    let route = route
        .cloned()
        .ok_or(Failure::before_run(Reason::UnknownPath))?;
    let workspace = workspace(&snapshot, &route, &facts)?;
    let service = drawn(&route.targets, rand::random());
    let service = service
        .ok_or(later(Reason::NoUpstream, MISSING_MS))?
        .to_owned();
    let patience = facts
        .deadline_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    if route.kind == Kind::Stream && !context.takes(patience) {
        return Err(later(Reason::Draining, MOVED_MS));
    }
    let deadline = arrived + patience;
    let limit = context
        .settings
        .entry
        .as_ref()
        .map_or(0, |entry| entry.body_limit);
    let body = request.read(limit, Duration::from_millis(patience)).await;
    Ok(RoutedRequest {
        arrived,
        body: body.map_err(Failure::before_run)?,
        deadline,
        resume_after: facts.resumed_after,
        facts,
        headers: request.headers,
        method: request.method,
        route,
        service,
        uri: request.uri,
        workspace,
    })
}

fn workspace(
    snapshot: &Snapshot,
    route: &Route,
    facts: &Facts,
) -> Result<Option<Workspace>, Failure> {
    if snapshot.index.table().workspaces.is_empty() || route.public {
        return Ok(None);
    }
    let key = facts.key.as_ref();
    let found = key.and_then(|key| snapshot.index.workspace(key));
    match found {
        None => Err(Failure::before_run(Reason::Unauthorized)),
        Some(workspace) => Ok(Some(workspace.clone())),
    }
}

/// Returns a service by its weight.
fn drawn(targets: &[Target], draw: u64) -> Option<&str> {
    let sum: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut place = draw.checked_rem(sum)?;
    for target in targets {
        let weight = u64::from(target.weight);
        if place < weight {
            return Some(&target.service);
        }
        place -= weight;
    }
    None
}

/// Returns a failure of a request that did not run and may come back.
pub fn later(reason: Reason, retry_after_ms: u64) -> Failure {
    Failure {
        not_run: NotRun::True,
        reason,
        retry_after_ms: Some(retry_after_ms),
    }
}

fn refuse(id: &str, failure: Failure) -> Response<Body> {
    let mut response = answers::fail(id, failure);
    if let Some(after) = failure.retry_after_ms {
        let value = caller::retry_after(after);
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
