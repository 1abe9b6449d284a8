//! Answers the platform's calls: operators, callers that ask where to connect, and checks.

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
use platform::configuration;
use platform::directory;
use platform::path;
use platform::weights;
use protocol::refusal::Reason;
use transport::event;
use transport::event::Event;
use transport::http::Body;

const JSON: &str = "application/json";
const TEXT: &str = "text/plain";

/// Answers operators, and callers that ask where to connect.
pub fn answer_control(
    context: Arc<Context>,
    request: Request,
) -> BoxFuture<'static, Response<Body>> {
    async move {
        let method = request.method.clone();
        match (method, request.uri.path()) {
            (Method::GET, path::ADDRESSES) => addresses(&context),
            (Method::GET, path::TABLE_READ) => table_read(&context, &request.id).await,
            (Method::POST, path::TABLE_REPLACE) => table_replace(&context, request).await,
            (Method::POST, path::WEIGHTS) => name_weights(&context, request).await,
            _ => caller::refuse(&request.id, Reason::UnknownPath),
        }
    }
    .boxed()
}

/// Answers whether this host takes callers.
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

/// Lists the hosts that take callers; those that only may be gone come in where no other is known.
fn addresses(context: &Context) -> Response<Body> {
    let view = context.view();
    let open = |standing: Standing| {
        let hosts = view.present(Role::Entry);
        let hosts = hosts.filter(move |host| host.record.standing == standing);
        let open = hosts.filter(|host| !host.record.profile.draining);
        open.filter_map(|host| host.record.profile.gateway)
            .collect::<Vec<_>>()
    };
    let mut addresses = open(Standing::Alive);
    if addresses.is_empty() {
        addresses = open(Standing::Suspect);
    }
    let lifetime = context.settings.entry.as_ref();
    let lifetime = lifetime.map_or(0, |entry| entry.address_lifetime.as_millis() as u64);
    match directory::encode(addresses, lifetime) {
        Err(_) => respond::whole(500, TEXT, ""),
        Ok(bytes) => respond::whole(200, JSON, bytes),
    }
}

async fn table_read(context: &Context, id: &str) -> Response<Body> {
    match context.voter.source().await {
        Ok(source) if !source.is_empty() => respond::whole(200, JSON, source.as_str().to_owned()),
        Ok(_) | Err(_) => caller::refuse(id, Reason::QuorumAway),
    }
}

async fn table_replace(context: &Context, mut request: Request) -> Response<Body> {
    let Some(bytes) = body(context, &mut request).await else {
        return caller::refuse(&request.id, Reason::BadRequest);
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
    let asked = table.version;
    match context.voter.route(Arc::new(source), Arc::new(table)).await {
        Err(error) => {
            let details = slog::o!("version" => asked, "error" => error.to_string());
            event::emit(&context.log, Event::RoutesUnanswered, details);
            caller::refuse(&request.id, Reason::QuorumAway)
        }
        Ok(version) => {
            let details = slog::o!("version" => asked, "in_force" => version);
            event::emit(&context.log, Event::RoutesAccepted, details);
            respond::whole(200, JSON, "{}")
        }
    }
}

async fn name_weights(context: &Context, mut request: Request) -> Response<Body> {
    let bytes = body(context, &mut request).await;
    let Some(Ok((model, version))) = bytes.map(weights::decode) else {
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

async fn body(context: &Context, request: &mut Request) -> Option<bytes::Bytes> {
    let entry = context.settings.entry.as_ref()?;
    let read = request.read(entry.body_limit, entry.body_timeout).await;
    read.ok()
}
