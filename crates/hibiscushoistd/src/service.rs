//! Answers calls to plain services.
//!
//! A call that may be repeated is made again within the retry budget. Any other needs an
//! idempotency key and runs as an order, at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

use crate::answer::Failure;
use crate::auth;
use crate::caller;
use crate::context::Context;
use crate::order;
use crate::request::Request;
use crate::respond;
use coordination::order::Refusal;
use coordination::order::Reply;
use coordination::retry;
use protocol::header;
use protocol::platform::HostList;
use protocol::platform::Standing;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use state::column::Column;
use state::ident::Digest;
use state::ledger;
use state::ledger::CallKey;
use state::sheet::Sheet;
use state::table::Table;
use state::time::Instant;
use transport::http::Body;
use transport::service::Answer;
use transport::service::Call;
use transport::service::PreparedCall;
use transport::upstream::Error;
use transport::upstream::Limits;

/// Starts the path of every call to a plain service.
pub const PREFIX: &str = "/v1/services/";

const DEFAULT_DEADLINE: u64 = 30_000;
const LONGEST_DEADLINE: u64 = 86_400_000;
const LONGEST_KEY: usize = 256;
const SERVICE: &str = "service";
const SERVING: &str = "serving";
const LIMITS: Limits = Limits {
    body_limit: 4 << 20,
    connect_timeout: Duration::from_millis(1_000),
    head_timeout: Duration::from_secs(86_400),
    idle_timeout: Duration::from_secs(30),
};

/// Answers a call to a plain service.
pub fn answer(context: Arc<Context>, mut request: Request) -> BoxFuture<'static, Response<Body>> {
    async move {
        let id = request.id.clone();
        let mut response = match plan(&context, &mut request).await {
            Err(reason) => caller::refuse(&id, reason),
            Ok(plan) => plan
                .run(context)
                .await
                .unwrap_or_else(|f| caller::fail(&id, f)),
        };
        respond::name(&mut response, &id);
        response
    }
    .boxed()
}

/// Holds a checked call.
struct Plan {
    call: Call,
    deadline: Instant,
    key: Option<CallKey>,
    upstreams: Vec<Upstream>,
    workspace: String,
}

#[derive(Clone, Debug)]
struct Upstream {
    address: SocketAddr,
    name: String,
}

async fn plan(context: &Context, request: &mut Request) -> Result<Plan, Reason> {
    let table = context.table();
    let workspace = auth::workspace(&request.headers, &table).ok_or(Reason::Unauthorized)?;
    let entry = context.settings.entry.as_ref().ok_or(Reason::UnknownPath)?;
    let now = context.clock.now();
    let whole = request.uri.path_and_query().map_or("", |p| p.as_str());
    let (name, path) = split(whole).ok_or(Reason::UnknownPath)?;
    let listing = context.platform.borrow().clone();
    let upstreams = upstreams(&table, &listing, &name)?;
    let deadline = now + deadline(&table, request)?;
    let repeatable = is_repeatable(&table, request)?;
    let key = match request.header(header::IDEMPOTENCY_KEY) {
        _ if repeatable => None,
        None => return Err(Reason::KeyMissing),
        Some(key) if (1..=LONGEST_KEY).contains(&key.len()) => Some(CallKey {
            idempotency: format!("{name}/{key}"),
            workspace: workspace.clone(),
        }),
        Some(_) => return Err(Reason::BadRequest),
    };
    let content_type = request.header(CONTENT_TYPE.as_str()).unwrap_or_default();
    let content_type = content_type.to_owned();
    let body = request.read(entry.body_limit, entry.body_timeout).await?;
    let order = key.as_ref().map(|key| key.idempotency.clone());
    Ok(Plan {
        call: Call {
            attempt: 0,
            body,
            content_type,
            method: request.method.to_string(),
            order_id: order.unwrap_or_else(|| request.id.clone()),
            path,
        },
        deadline,
        key,
        upstreams,
        workspace,
    })
}

impl Plan {
    async fn run(self, context: Arc<Context>) -> Result<Response<Body>, Failure> {
        match self.key.clone() {
            None => self.repeat(&context).await,
            Some(key) => self.order(context, key).await,
        }
    }

    /// Runs the call as an order, which goes on to its end when the caller leaves.
    async fn order(self, context: Arc<Context>, key: CallKey) -> Result<Response<Body>, Failure> {
        let method = self.call.method.as_bytes();
        let path = self.call.path.as_bytes();
        let ask = order::Ask {
            addresses: self.upstreams.iter().map(|u| u.address).collect(),
            deadline: self.deadline,
            digest: Digest::of(&[method, path, &self.call.body]),
            call: self.call,
            key,
            limits: LIMITS,
        };
        let guard = context.enter();
        let run = tokio::spawn(async move {
            let reply = order::run(context, ask).await;
            drop(guard);
            reply
        });
        match run.await {
            Err(_) => Err(refused(Refusal::Unknown)),
            Ok(Reply::Answer { replayed, response }) => Ok(told(response, replayed)),
            Ok(Reply::Refused(refusal)) => Err(refused(refusal)),
        }
    }

    async fn repeat(self, context: &Context) -> Result<Response<Body>, Failure> {
        let mut not_run = NotRun::True;
        for attempt in 1.. {
            let upstream = &self.upstreams[(attempt as usize - 1) % self.upstreams.len()];
            let name = &upstream.name;
            context.health.sent(&self.workspace, name, attempt == 1);
            let left = self.deadline.since(context.clock.now());
            let sent =
                tokio::time::timeout(Duration::from_millis(left), self.send(upstream.address));
            let error = match sent.await {
                Err(_) => {
                    context.health.failed(name, retry::Reason::Idle);
                    not_run = NotRun::Unknown;
                    return Err(failure(Reason::Deadline, not_run));
                }
                Ok(Ok(answer)) => {
                    context.health.succeeded(name);
                    return Ok(passed_on(answer));
                }
                Ok(Err(error)) => error,
            };
            if error.not_run() != NotRun::True {
                not_run = NotRun::Unknown;
            }
            let reason = reason(&error);
            context.health.failed(name, reason);
            let failed = retry::Failure {
                attempt,
                deadline: self.deadline,
                idempotent: true,
                may_have_run: error.not_run() != NotRun::True,
                upstream: name.clone(),
                workspace: self.workspace.clone(),
            };
            match context.health.again(reason, &failed) {
                Err(retry::Denial::Deadline) => return Err(failure(Reason::Deadline, not_run)),
                Err(retry::Denial::UpstreamBudget | retry::Denial::WorkspaceBudget) => {
                    return Err(failure(Reason::RetryBudget, not_run));
                }
                Err(_) => return Err(failure(Reason::UpstreamFailed, not_run)),
                Ok(pause) => tokio::time::sleep(Duration::from_millis(pause)).await,
            }
        }
        Err(failure(Reason::UpstreamFailed, not_run))
    }

    async fn send(&self, address: SocketAddr) -> Result<Answer, Error> {
        let prepared = PreparedCall::open(address, self.call.clone(), LIMITS).await?;
        prepared.send().await
    }
}

fn deadline(table: &Table, request: &Request) -> Result<u64, Reason> {
    if let Some(text) = request.header(header::DEADLINE) {
        let millis: u64 = text.parse().map_err(|_| Reason::BadRequest)?;
        let fits = (1..=LONGEST_DEADLINE).contains(&millis);
        return fits.then_some(millis).ok_or(Reason::BadRequest);
    }
    let kind = request.header(header::KIND).unwrap_or_default();
    let kind = table.get(Sheet::Kinds, kind);
    let cell = kind.and_then(|row| row.number(Column::Deadline));
    Ok(cell.unwrap_or(DEFAULT_DEADLINE))
}

fn is_repeatable(table: &Table, request: &Request) -> Result<bool, Reason> {
    let reads = matches!(request.method, Method::GET | Method::HEAD);
    let Some(kind) = request.header(header::KIND) else {
        return Ok(reads);
    };
    let kind = table.get(Sheet::Kinds, kind).ok_or(Reason::BadRequest)?;
    Ok(kind.flag(Column::Idempotent).unwrap_or(reads))
}

fn failure(reason: Reason, not_run: NotRun) -> Failure {
    Failure {
        not_run,
        reason,
        retry_after_ms: None,
    }
}

fn passed_on(answer: Answer) -> Response<Body> {
    response(answer.status, &answer.content_type, answer.body)
}

fn reason(error: &Error) -> retry::Reason {
    match error {
        Error::BodyTooLong { .. } | Error::Format { .. } => retry::Reason::Format,
        Error::Connect { .. } | Error::ConnectTimeout { .. } => retry::Reason::Connect,
        Error::Disconnected { .. } => retry::Reason::Cut,
        Error::InactivityTimeout { .. } => retry::Reason::Idle,
        Error::Mismatch { .. } => retry::Reason::Mismatch,
        Error::Refused { .. } => retry::Reason::Refused,
        Error::Status { .. } => retry::Reason::Status,
    }
}

fn refused(refusal: Refusal) -> Failure {
    let reason = match refusal {
        Refusal::Declined => Reason::UpstreamFailed,
        Refusal::Late => Reason::Deadline,
        Refusal::LedgerFull => Reason::Overloaded,
        Refusal::LedgerLost => Reason::QuorumAway,
        Refusal::Mismatch => Reason::KeyReused,
        Refusal::Old => Reason::KeyExpired,
        Refusal::Running => Reason::KeyRunning,
        Refusal::Unknown => Reason::OutcomeUnknown,
        Refusal::Unreachable => Reason::NoUpstream,
    };
    let not_run = match refusal.is_not_run() {
        false => NotRun::Unknown,
        true => NotRun::True,
    };
    failure(reason, not_run)
}

fn response(status: u16, content_type: &str, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

/// Splits the path of a call into the service's name and the path that the service sees.
fn split(whole: &str) -> Option<(String, String)> {
    let rest = whole.strip_prefix(PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = match path.starts_with('/') {
        false => format!("/{path}"),
        true => path.to_owned(),
    };
    (!name.is_empty()).then(|| (name.to_owned(), path))
}

fn told(answer: ledger::Response, replayed: bool) -> Response<Body> {
    let body = Bytes::from(answer.body);
    let mut response = response(answer.status, &answer.content_type, body);
    let replayed = HeaderValue::from_static(if replayed { "true" } else { "false" });
    response.headers_mut().insert(header::REPLAYED, replayed);
    response
}

/// Lists the upstreams of the service that take work, from a random one on.
fn upstreams(table: &Table, listing: &HostList, name: &str) -> Result<Vec<Upstream>, Reason> {
    let rows = table.sheet(Sheet::Upstreams).filter(|(_, row)| {
        row.text(Column::Type) == Some(SERVICE) && row.text(Column::Service) == Some(name)
    });
    let rows: Vec<_> = rows.collect();
    if rows.is_empty() {
        return Err(Reason::UnknownService);
    }
    let serving = rows.into_iter().filter_map(|(name, row)| {
        let serves = row.text(Column::Standing).unwrap_or(SERVING) == SERVING;
        let address = row.address(Column::Address).filter(|_| serves)?;
        let leaves = listing.standing(address.ip()) == Some(Standing::Leaving);
        if leaves {
            return None;
        }
        let name = name.to_owned();
        Some(Upstream { address, name })
    });
    let mut serving: Vec<_> = serving.collect();
    if serving.is_empty() {
        return Err(Reason::NoUpstream);
    }
    let first = rand::random::<u32>() as usize % serving.len();
    serving.rotate_left(first);
    Ok(serving)
}
