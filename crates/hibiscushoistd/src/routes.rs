//! Maps paths to handlers.

use std::pin::Pin;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use gotham::handler::HandlerFuture;
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
use transport::http::Body;

/// Answers one request.
pub type Endpoint = fn(Arc<Context>, Request) -> BoxFuture<'static, Response<Body>>;

/// Returns the router of a daemon.
pub fn router() -> Router {
    build_simple_router(|route| {
        route.get("/healthz").to(to(caller::health));
        route.get("/metrics").to(to(caller::metrics));
        route.get("/readyz").to(to(caller::ready));
        route.get("/v1/addresses").to(to(caller::addresses));
        route.post("/v1/chat/completions").to(to(completions::chat));
        route.post("/v1/completions").to(to(completions::plain));
        route
            .request(vec![Method::GET, Method::POST], "/admin/*")
            .to(to(admin::answer));
        let methods = vec![
            Method::DELETE,
            Method::GET,
            Method::PATCH,
            Method::POST,
            Method::PUT,
        ];
        route
            .request(methods, "/v1/services/*")
            .to(to(service::answer));
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, Unknown);
        route.add_response_extender(StatusCode::NOT_FOUND, Unknown);
    })
}

fn to(
    endpoint: Endpoint,
) -> impl Fn(State) -> Pin<Box<HandlerFuture>> + Copy + Send + Sync + 'static {
    move |mut state| {
        let Shared(context) = Shared::borrow_from(&state).clone();
        let request = Request::take(&mut state);
        async move {
            let guard = context.enter();
            let draining = context.draining.clone();
            let mut response = endpoint(context, request).await;
            if *draining.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            drop(guard);
            Ok((state, response))
        }
        .boxed()
    }
}

struct Unknown;

impl ResponseExtender<Body> for Unknown {
    fn extend(&self, state: &mut State, response: &mut Response<Body>) {
        if !response.headers().contains_key(CONTENT_TYPE) {
            let request = Request::take(state);
            *response = caller::refuse(&request.id, Reason::UnknownPath);
        }
    }
}
