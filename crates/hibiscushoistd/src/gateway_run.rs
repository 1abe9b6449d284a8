//! Sends a routed request to one upstream after another until one answers or none may be tried.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use slog::Logger;

use crate::answer::Failure;
use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::Routed;
use crate::gateway::later;
use crate::gateway_body;
use crate::outlook::Known;
use coordination::dispatch::Choice;
use coordination::dispatch::Demand;
use coordination::dispatch::Refusal;
use coordination::dispatch::Run;
use coordination::retry;
use platform::answer::Facts;
use platform::caller;
use platform::caller::Forward;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use state::routing::Kind;
use transport::event;
use transport::event::Event;
use transport::http::Body;
use transport::lane;
use transport::lane::Lane;
use transport::metric;

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
/// Gives when a caller should return at the earliest after no engine had room, in milliseconds; a
/// burst is over or read within seconds.
const BUSY_MS: u64 = 1_000;
/// Gives the time over which callers return after no engine had room, in milliseconds.
const BUSY_SPREAD_MS: u64 = 1_500;
/// Gives the time between two looks at whether an engine has room.
const ROOM_LOOK: Duration = Duration::from_millis(20);
/// Gives how long a request waits for room, as a multiple of the time in which its answer should
/// begin; callers leave at four times that, and reading takes about one.
const WAIT_GOALS: u64 = 1;
/// Bounds the upstreams that may reject a request without running it.
const REJECTIONS: u32 = 3;
/// Gives when a caller should return after every upstream rejected its request, in milliseconds.
const REJECTED_MS: u64 = 400;
/// Gives the length from which a shared prompt is worth sending to the engine that has read it, in
/// tokens; shorter ones are read within a step of a batch.
const SHARED_TOKENS: u64 = 1_024;
/// Bounds an answer that is read whole before it is passed on, in bytes; longer ones pass through.
const WHOLE_BYTES: usize = 1 << 20;

/// Keeps a request noted as under way until it is dropped.
pub struct Underway {
    gateway: Arc<Gateway>,
    /// Names the request to the dispatch.
    pub run: Run,
}

impl Underway {
    /// Returns what has seen the request.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }
}

impl Drop for Underway {
    fn drop(&mut self) {
        self.gateway.dispatch().ended(&self.run);
    }
}

/// Tells how an attempt went.
enum Attempt {
    /// Means that the upstream answered for the request.
    Answered(Box<Answered>),
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

struct Answered {
    facts: Facts,
    lane: Lane,
    response: Response<Incoming>,
    underway: Underway,
}

/// Holds what the attempts at one request have come to.
#[derive(Default)]
struct Progress {
    attempts: u32,
    may_have_run: bool,
    rejections: u32,
    tried: Vec<String>,
}

/// Sends a request until an upstream answers.
///
/// # Errors
///
/// Returns why no answer came and whether the request may have run.
pub async fn run(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: Routed,
) -> Result<Response<Body>, Failure> {
    let mut progress = Progress::default();
    let now = context.clock.now();
    gateway
        .retries()
        .first(now, routed.service.clone(), routed.service.clone());
    loop {
        let (demand, choice) = match place(context, gateway, &routed, &progress).await {
            Err(refusal) => return Err(refused(&context.log, &routed, &progress, refusal)),
            Ok(placed) => placed,
        };
        let sent = attempt(context, gateway, &routed, &demand, &choice).await;
        let failed = match sent {
            Attempt::Answered(answered) => {
                if answered.response.status().is_server_error() {
                    let run = &answered.underway.run;
                    gateway.dispatch().failed(context.clock.now(), run);
                    if repeats(context, gateway, &routed, &mut progress, &choice) {
                        continue;
                    }
                }
                match finish(context, &routed, *answered).await {
                    Ok(response) => return Ok(response),
                    Err(reason) => (true, reason),
                }
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
        let (may_have_run, reason) = failed;
        progress.may_have_run |= may_have_run;
        progress.attempts += u32::from(may_have_run);
        progress.tried.push(choice.upstream.id.clone());
        note(context, &routed, &choice, reason, may_have_run);
        again(context, gateway, &routed, &progress, reason)?;
    }
}

/// Returns whether a request that an upstream ran and failed is tried at another; where it is not,
/// the caller gets the upstream's own answer.
fn repeats(
    context: &Context,
    gateway: &Gateway,
    routed: &Routed,
    progress: &mut Progress,
    choice: &Choice,
) -> bool {
    let reason = retry::Reason::Status;
    progress.may_have_run = true;
    progress.attempts += 1;
    progress.tried.push(choice.upstream.id.clone());
    note(context, routed, choice, reason, true);
    routed.route.is_repeatable() && again(context, gateway, routed, progress, reason).is_ok()
}

/// Returns nothing where the request may be tried again.
fn again(
    context: &Context,
    gateway: &Gateway,
    routed: &Routed,
    progress: &Progress,
    reason: retry::Reason,
) -> Result<(), Failure> {
    let ended = failure(routed, context, progress);
    if progress.attempts >= routed.route.attempts || progress.rejections >= REJECTIONS {
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
    let asked = gateway.retries().ask(context.clock.now(), &ask);
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

fn failure(routed: &Routed, context: &Context, progress: &Progress) -> Failure {
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

fn refused(log: &Logger, routed: &Routed, progress: &Progress, refusal: Refusal) -> Failure {
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
        Refusal::None => later(Reason::NoUpstream, REJECTED_MS),
        Refusal::Busy | Refusal::TooLate => {
            let spread = rand::random_range(0..=BUSY_SPREAD_MS);
            later(Reason::Overloaded, BUSY_MS + spread)
        }
    }
}

fn note(
    context: &Context,
    routed: &Routed,
    choice: &Choice,
    reason: retry::Reason,
    may_have_run: bool,
) {
    let details = slog::o!(
        "request" => routed.facts.id.clone(),
        "service" => routed.service.clone(),
        "upstream" => choice.upstream.id.clone(),
        "reason" => reason.to_string(),
        "may_have_run" => may_have_run,
        "left_ms" => routed.left_ms(context.clock.now()),
    );
    event::emit(&context.log, Event::AttemptFailed, details);
}

/// Waits until an engine has room for a request, but only for as long as an answer is still worth
/// having, and returns where it goes.
async fn place(
    context: &Context,
    gateway: &Gateway,
    routed: &Routed,
    progress: &Progress,
) -> Result<(Demand, Choice), Refusal> {
    loop {
        let demand = demand(context, gateway, routed, progress);
        match choose(context, gateway, &demand) {
            Err(Refusal::Busy) if waits(context, routed) => tokio::time::sleep(ROOM_LOOK).await,
            Err(refusal) => return Err(refusal),
            Ok(choice) => return Ok((demand, choice)),
        }
    }
}

/// Returns whether a request may wait for room any longer.
fn waits(context: &Context, routed: &Routed) -> bool {
    let waited = context.clock.now().since(routed.arrived);
    waited < routed.route.goal_ms * WAIT_GOALS
}

fn demand(context: &Context, gateway: &Gateway, routed: &Routed, progress: &Progress) -> Demand {
    let known = gateway.outlook.watch().borrow().clone();
    let service = known.index.service(&routed.service);
    let engine = service.is_some_and(|service| service.engine);
    let model = routed.facts.model.clone().filter(|_| engine);
    let newest = model.as_ref().and_then(|model| known.weights.get(model));
    let now = context.clock.now();
    let waited = now.since(routed.arrived);
    Demand {
        domain: context.settings.failure_domain.clone(),
        draw: rand::random(),
        late: waited >= routed.route.goal_ms,
        left_ms: routed.left_ms(now),
        newest: newest.copied().unwrap_or_default(),
        model,
        prompt_tokens: routed.facts.prompt_tokens,
        service: routed.service.clone(),
        shared: shared(routed),
        store: store(&known, &context.settings.failure_domain),
        tried: progress.tried.clone(),
        wall: routed
            .workspace
            .as_ref()
            .filter(|workspace| workspace.isolated)
            .map(|workspace| workspace.name.clone()),
    }
}

/// Returns the store of cached prompts, one in this host's failure domain first.
fn store(known: &Known, domain: &str) -> Option<SocketAddr> {
    let services = known.index.table().services.iter();
    let stores = services.filter_map(|service| service.store.as_ref());
    let best = stores.max_by_key(|store| store.domain == domain);
    best.map(|store| store.address)
}

/// Returns the last part of the prompt that other requests share and the tokens up to its end; the
/// very last part belongs to the request itself.
fn shared(routed: &Routed) -> Option<(String, u64)> {
    let parts = &routed.facts.parts;
    let (_, shared) = parts.split_last()?;
    let last = shared.last()?;
    let tokens = shared.iter().map(|part| part.tokens).sum();
    (tokens >= SHARED_TOKENS).then(|| (last.id.clone(), tokens))
}

fn choose(context: &Context, gateway: &Gateway, demand: &Demand) -> Result<Choice, Refusal> {
    let known = gateway.outlook.watch().borrow().clone();
    let now = context.clock.now();
    gateway.dispatch().choose(now, &known.fleet, demand)
}

async fn attempt(
    context: &Context,
    gateway: &Arc<Gateway>,
    routed: &Routed,
    demand: &Demand,
    choice: &Choice,
) -> Attempt {
    let now = context.clock.now();
    let headers = caller::forwarded(&routed.headers, &forward(routed, choice, demand.left_ms));
    let Some(request) = request(routed, headers) else {
        return Attempt::Rejected;
    };
    let run = gateway.dispatch().sent(now, choice, demand);
    let mut underway = Underway {
        gateway: gateway.clone(),
        run,
    };
    let limits = lane::Limits {
        connect: CONNECT,
        idle: match routed.route.is_repeatable() {
            false => IDLE_ORDER,
            true => IDLE,
        },
    };
    let sending = gateway.lanes.send(choice.upstream.address, request, limits);
    let sent = tokio::select! {
        sent = sending => sent,
        reason = given_up(context, routed, &underway) => {
            if reason == retry::Reason::Idle {
                gateway.dispatch().failed(context.clock.now(), &underway.run);
            }
            return Attempt::Failed { may_have_run: true, reason };
        }
    };
    let now = context.clock.now();
    let (response, lane) = match sent {
        Err(error) => {
            gateway.dispatch().failed(now, &underway.run);
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
    let mut dispatch = gateway.dispatch();
    dispatch.answered(now, &mut underway.run);
    if let Some((model, version)) = demand.model.as_ref().zip(facts.weights) {
        dispatch.learned(&underway.run, model.clone(), version);
    }
    if facts.not_run {
        dispatch.refused(now, &underway.run);
        return Attempt::Rejected;
    }
    if !facts.stamped {
        dispatch.failed(now, &underway.run);
        return Attempt::Failed {
            may_have_run: true,
            reason: retry::Reason::Format,
        };
    }
    drop(dispatch);
    Attempt::Answered(Box::new(Answered {
        facts,
        lane,
        response,
        underway,
    }))
}

/// Returns once the caller's time has passed or, for a request that may run again, the upstream
/// has fallen silent.
async fn given_up(context: &Context, routed: &Routed, underway: &Underway) -> retry::Reason {
    loop {
        let left = routed.left_ms(context.clock.now());
        if left == 0 {
            return retry::Reason::Idle;
        }
        tokio::time::sleep(LOOK.min(Duration::from_millis(left))).await;
        let now = context.clock.now();
        let silent = underway.gateway.dispatch().is_silent(now, &underway.run);
        if silent && routed.route.is_repeatable() {
            return retry::Reason::Idle;
        }
    }
}

fn request(routed: &Routed, headers: HeaderMap) -> Option<hyper::Request<lane::Body>> {
    let mut request = hyper::Request::new(Full::new(routed.body.clone()));
    *request.method_mut() = routed.method.clone();
    let path = routed.uri.path_and_query()?.as_str();
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

fn forward(routed: &Routed, choice: &Choice, left_ms: u64) -> Forward {
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
        fetch: choice.fetch,
        left_ms,
        rank: None,
        resume_after: routed.facts.resumed_after,
        salt,
        save: choice.save,
        workspace: workspace.map(|workspace| workspace.name.clone()),
    }
}

/// Passes an answer on; an answer that is read whole first may still fail.
async fn finish(
    context: &Arc<Context>,
    routed: &Routed,
    answered: Answered,
) -> Result<Response<Body>, retry::Reason> {
    let Answered {
        facts,
        lane,
        response,
        underway,
    } = answered;
    let status = response.status();
    if !status.is_server_error() {
        underway.gateway.dispatch().succeeded(&underway.run);
    }
    let keep = keep(&facts);
    let (mut head, body) = response.into_parts();
    head.headers = caller::returned(&head.headers);
    if routed.route.kind == Kind::Stream && status.is_success() {
        let body = gateway_body::Pass::new(context, body, lane, keep, underway, routed.deadline);
        return Ok(Response::from_parts(head, Body::new(body)));
    }
    let left = Duration::from_millis(routed.left_ms(context.clock.now()));
    let collected = Limited::new(body, WHOLE_BYTES).collect();
    let whole: Bytes = match tokio::time::timeout(left, collected).await {
        Err(_) => return Err(retry::Reason::Idle),
        Ok(Err(_)) => return Err(retry::Reason::Cut),
        Ok(Ok(whole)) => whole.to_bytes(),
    };
    if let Some(idle) = keep {
        tokio::spawn(lane.keep(idle));
    }
    let body = Full::new(whole).map_err(|never| match never {});
    Ok(Response::from_parts(head, Body::new(body)))
}

/// Returns how long the connection may be kept after the answer, if at all.
fn keep(facts: &Facts) -> Option<Duration> {
    let stated = facts.keep_alive_s.map(Duration::from_secs);
    let idle = stated.map_or(IDLE, |stated| (stated * 4 / 5).min(IDLE));
    (!facts.last).then_some(idle)
}
