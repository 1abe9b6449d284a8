//! Maps paths to handlers.

use std::pin::Pin;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use gotham::handler::Handler;
use gotham::handler::HandlerFuture;
use gotham::handler::NewHandler;
use gotham::hyper::Method;
use gotham::hyper::StatusCode;
use gotham::router::Router;
use gotham::router::builder::DefineSingleRoute;
use gotham::router::builder::DrawRoutes;
use gotham::router::builder::build_simple_router;
use gotham::router::response::ResponseExtender;
use gotham::state::FromState;
use gotham::state::State;
use hyper::Response;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

use crate::admin;
use crate::caller;
use crate::completions;
use crate::context::Context;
use crate::context::Shared;
use crate::request::Request;
use crate::service;
use protocol::refusal::Reason;
use transport::event;
use transport::event::Event;
use transport::http::Body;
use transport::metric;

/// Answers one request.
pub type Endpoint = fn(Arc<Context>, Request) -> BoxFuture<'static, Response<Body>>;

/// Returns the router of a daemon.
pub fn router() -> Router {
    build_simple_router(|route| {
        route.get("/healthz").to(to("health", caller::health));
        route.get("/metrics").to(to("metrics", caller::metrics));
        route.get("/readyz").to(to("ready", caller::ready));
        route
            .get("/v1/addresses")
            .to(to("addresses", caller::addresses));
        route
            .post("/v1/chat/completions")
            .to(to("chat", completions::chat));
        route
            .post("/v1/completions")
            .to(to("completions", completions::plain));
        route
            .request(vec![Method::GET, Method::POST], "/admin/*")
            .to(to("admin", admin::answer));
        let methods = vec![
            Method::DELETE,
            Method::GET,
            Method::PATCH,
            Method::POST,
            Method::PUT,
        ];
        route
            .request(methods, "/v1/services/*")
            .to(to("services", service::answer));
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, Unknown);
        route.add_response_extender(StatusCode::NOT_FOUND, Unknown);
    })
}

/// Returns a handler that has one endpoint answer every request.
pub fn whole(
    path: &'static str,
    endpoint: Endpoint,
) -> impl NewHandler<Instance = impl Handler> + Clone + 'static {
    move || Ok(to(path, endpoint))
}

fn to(
    path: &'static str,
    endpoint: Endpoint,
) -> impl Fn(State) -> Pin<Box<HandlerFuture>> + Copy + Send + Sync + 'static {
    move |mut state| {
        let Shared(context) = Shared::borrow_from(&state).clone();
        let mut request = Request::take(&mut state);
        async move {
            let guard = context.enter();
            let limit = context.settings.entry.as_ref();
            let limit = limit.map_or(0, |entry| entry.header_limit);
            let mut response = match request.hold_header(limit).await {
                Err(reason) => caller::refuse(&request.id, reason),
                Ok(()) => endpoint(context.clone(), request).await,
            };
            observe(&context, path, &response);
            if *context.draining.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            drop(guard);
            Ok((state, response))
        }
        .boxed()
    }
}

/// Counts a response by class of path and outcome, and logs a refusal.
fn observe(context: &Context, path: &'static str, response: &Response<Body>) {
    let refused = response.extensions().get::<Reason>();
    let outcome = match refused {
        None if response.status().is_success() => "served",
        None => "failed",
        Some(_) => "refused",
    };
    metrics::counter!(metric::REQUESTS, "path" => path, "outcome" => outcome).increment(1);
    if let Some(reason) = refused {
        let id = response.headers().get(protocol::header::REQUEST_ID);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let details = slog::o!("request" => id.to_owned(), "reason" => reason.to_string());
        event::emit(&context.log, Event::RequestRefused, details);
    }
}

struct Unknown;

impl ResponseExtender<Body> for Unknown {
    fn extend(&self, state: &mut State, response: &mut Response<Body>) {
        if !response.headers().contains_key(CONTENT_TYPE) {
            let Shared(context) = Shared::borrow_from(state).clone();
            let request = Request::take(state);
            *response = caller::refuse(&request.id, Reason::UnknownPath);
            observe(&context, "unknown", response);
        }
    }
}
