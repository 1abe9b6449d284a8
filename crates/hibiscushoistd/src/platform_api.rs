//! HTTP endpoints of the platform: operations on the routed table, the list of hosts that callers
//! may connect to, and readiness checks.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use hyper::Response;

use crate::caller;
use crate::context::Context;
use crate::request::Request;
use crate::respond;
use coordination::host::Role;
use coordination::host::Standing;
use platform::address_list;
use platform::configuration;
use platform::path;
use platform::weights;
use protocol::refusal::Reason;
use transport::event;
use transport::event::Event;
use transport::http::Body;

const JSON: &str = "application/json";
const TEXT: &str = "text/plain";

/// Answers requests of operators, and of callers that look up host addresses.
pub fn answer_control(
    context: Arc<Context>,
    request: Request,
) -> BoxFuture<'static, Response<Body>> {
    async move {
        let method = request.method.clone();
        match (method, request.uri.path()) {
            (Method::GET, path::ADDRESSES) => addresses(&context),
            (Method::GET, path::TABLE_READ) => read_table(&context, &request.id).await,
            (Method::POST, path::TABLE_REPLACE) => replace_table(&context, request).await,
            (Method::POST, path::WEIGHTS) => name_weights(&context, request).await,
            _ => caller::refuse(&request.id, Reason::UnknownPath),
        }
    }
    .boxed()
}

/// Answers a readiness check: the host is ready if it does not drain and has a fresh snapshot.
pub fn answer_readiness(
    context: Arc<Context>,
    request: Request,
) -> BoxFuture<'static, Response<Body>> {
    async move {
        let gateway = context.gateway.as_ref();
        let is_fresh = gateway.is_some_and(|gateway| gateway.routing.fresh(&context).is_some());
        match (*context.draining.borrow(), is_fresh) {
            (true, _) => caller::refuse(&request.id, Reason::Draining),
            (false, false) => caller::refuse(&request.id, Reason::QuorumAway),
            (false, true) => respond::whole(200, TEXT, "ready\n"),
        }
    }
    .boxed()
}

/// Returns the addresses of the hosts that accept callers; of suspected hosts only if no host is
/// alive.
fn addresses(context: &Context) -> Response<Body> {
    let view = context.view();
    let with_standing = |standing: Standing| {
        let hosts = view.present(Role::Entry);
        let hosts = hosts.filter(move |host| host.record.standing == standing);
        let accepting = hosts.filter(|host| !host.record.profile.draining);
        accepting
            .filter_map(|host| host.record.profile.gateway)
            .collect::<Vec<_>>()
    };
    let mut addresses = with_standing(Standing::Alive);
    if addresses.is_empty() {
        addresses = with_standing(Standing::Suspect);
    }
    let lifetime = context.settings.entry.as_ref();
    let lifetime = lifetime.map_or(0, |entry| entry.address_lifetime.as_millis() as u64);
    match address_list::encode(addresses, lifetime) {
        Err(_) => respond::whole(500, TEXT, ""),
        Ok(bytes) => respond::whole(200, JSON, bytes),
    }
}

/// Answers with the routed table, byte for byte as an operator sent it.
async fn read_table(context: &Context, id: &str) -> Response<Body> {
    match context.voter.source().await {
        Ok(source) if !source.is_empty() => respond::whole(200, JSON, source.as_str().to_owned()),
        Ok(_) | Err(_) => caller::refuse(id, Reason::QuorumAway),
    }
}

/// Replaces the routed table, unless the table in force has the same or a higher version.
async fn replace_table(context: &Context, mut request: Request) -> Response<Body> {
    let bytes = match read_body(context, &mut request).await {
        Err(reason) => return caller::refuse(&request.id, reason),
        Ok(bytes) => bytes,
    };
    let table = match configuration::decode(&bytes) {
        Err(error) => {
            let details = slog::o!("error" => error.to_string());
            event::emit(&context.log, Event::RoutesRefused, details);
            return caller::refuse(&request.id, Reason::BadRequest);
        }
        Ok(table) => table,
    };
    let Ok(source) = String::from_utf8(bytes.to_vec()) else {
        return caller::refuse(&request.id, Reason::BadRequest);
    };
    let requested_version = table.version;
    match context.voter.route(Arc::new(source), Arc::new(table)).await {
        Err(error) => {
            let details = slog::o!("version" => requested_version, "error" => error.to_string());
            event::emit(&context.log, Event::RoutesUnanswered, details);
            caller::refuse(&request.id, Reason::QuorumAway)
        }
        Ok(version) => {
            let details = slog::o!("version" => requested_version, "in_force" => version);
            event::emit(&context.log, Event::RoutesAccepted, details);
            respond::whole(200, JSON, "{}")
        }
    }
}

/// Sets the newest weights version of a model.
async fn name_weights(context: &Context, mut request: Request) -> Response<Body> {
    let bytes = match read_body(context, &mut request).await {
        Err(reason) => return caller::refuse(&request.id, reason),
        Ok(bytes) => bytes,
    };
    let Ok((model, version)) = weights::decode(bytes) else {
        return caller::refuse(&request.id, Reason::BadRequest);
    };
    match context.voter.name_weights(model.clone(), version).await {
        Err(_) => caller::refuse(&request.id, Reason::QuorumAway),
        Ok(newest) => {
            let details = slog::o!("model" => model, "version" => version, "newest" => newest);
            event::emit(&context.log, Event::WeightsNamed, details);
            respond::whole(200, JSON, "{}")
        }
    }
}

/// Reads the body of a request within the limits of the section `[entry]`.
async fn read_body(context: &Context, request: &mut Request) -> Result<bytes::Bytes, Reason> {
    let entry = context.settings.entry.as_ref();
    let entry = entry.ok_or(Reason::UnknownPath)?;
    request.read(entry.body_limit, entry.body_timeout).await
}
