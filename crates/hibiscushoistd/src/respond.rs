//! Builds responses.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;

use protocol::header;
use protocol::operator;
use protocol::refusal;
use protocol::refusal::Refusal;
use transport::http::Body;

const JSON: &str = "application/json";
const MILLIS_PER_SECOND: u64 = 1000;

/// Returns a response that carries `value` as JSON.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => whole(status, JSON, bytes),
        Err(_) => whole(500, JSON, Vec::new()),
    }
}

/// Returns a response that tells an operator what failed.
pub fn failure(error: operator::Failure) -> Response<Body> {
    json(error.kind.status(), &operator::FailureBody { error })
}

/// Returns a response that refuses a request; its extensions hold the reason.
pub fn refusal(refusal: Refusal) -> Response<Body> {
    let retry_after = refusal.retry_after_ms;
    let reason = refusal.reason;
    let id = refusal.request_id.clone();
    let mut response = json(reason.status(), &refusal::RefusalBody { error: refusal });
    response.extensions_mut().insert(reason);
    if let Some(millis) = retry_after {
        let seconds = millis.div_ceil(MILLIS_PER_SECOND);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    name(&mut response, &id);
    response
}

/// Puts the identifier of the request into the headers of its response.
pub fn name(response: &mut Response<Body>, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(header::REQUEST_ID, value);
    }
}

/// Returns a response whose whole body is known.
pub fn whole(status: u16, content_type: &'static str, bytes: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(bytes.into()).map_err(|never| match never {});
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
