//! Answers operators under `/admin/`.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Response;

use crate::auth;
use crate::context::Context;
use crate::request::Request;
use crate::respond;
use crate::status;
use crate::voter;
use protocol::operator::Failure;
use protocol::operator::Kind;
use protocol::operator::Listing;
use state::edit::Edit;
use state::table;
use transport::event;
use transport::event::Event;
use transport::http::Body;

const EDIT_LIMIT_BYTES: usize = 64 << 10;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

type Answer = Result<Response<Body>, Failure>;

/// Answers any request under `/admin/`.
pub fn answer(context: Arc<Context>, request: Request) -> BoxFuture<'static, Response<Body>> {
    async move {
        let id = request.id.clone();
        let mut response = match route(&context, request).await {
            Err(failure) => respond::failure(failure),
            Ok(response) => response,
        };
        respond::name(&mut response, &id);
        response
    }
    .boxed()
}

async fn route(context: &Context, request: Request) -> Answer {
    let expected = context.settings.operator_key_hash.as_deref();
    if !expected.is_some_and(|hash| auth::is_operator(&request.headers, hash)) {
        let message = "the operators' key is missing or wrong";
        return Err(failed(Kind::Unauthorized, message));
    }
    let path = request.uri.path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(2).collect();
    match (request.method.as_str(), parts.as_slice()) {
        ("GET", ["explain", id]) => explain(context, id),
        ("GET", ["status"]) => Ok(respond::json(200, &status::of(context))),
        ("GET", ["table"]) => Ok(respond::json(200, &Listing::of(&context.table()))),
        ("POST", ["edits"]) => edit(context, request).await,
        _ => Err(failed(Kind::Unknown, "no such path")),
    }
}

async fn edit(context: &Context, mut request: Request) -> Answer {
    let malformed = |message: String| failed(Kind::BadRequest, message);
    let body = request
        .read(EDIT_LIMIT_BYTES, READ_TIMEOUT)
        .await
        .map_err(|reason| malformed(format!("the edit cannot be read: {reason}")))?;
    let edit: Edit = serde_json::from_slice(&body)
        .map_err(|error| malformed(format!("the body is no edit: {error}")))?;
    match context.voter.edit(edit).await {
        Err(error) => Err(refused(context, &error)),
        Ok(receipt) => Ok(respond::json(200, &receipt)),
    }
}

fn failed(kind: Kind, message: impl Into<String>) -> Failure {
    Failure {
        kind,
        message: message.into(),
    }
}

fn explain(context: &Context, id: &str) -> Answer {
    let message = "no request of that identifier is kept here";
    let missing = || failed(Kind::Unknown, message);
    let explanation = context.journal.get(id).ok_or_else(missing)?;
    Ok(respond::json(200, &explanation))
}

fn refused(context: &Context, error: &voter::Error) -> Failure {
    let kind = match error {
        voter::Error::Refused(table::Error::Conflict { .. }) => Kind::Conflict,
        voter::Error::Refused(table::Error::Unknown { .. }) => Kind::Unknown,
        voter::Error::Refused(_) => Kind::BadRequest,
        voter::Error::Ring(_) => Kind::QuorumAway,
        voter::Error::Log(_) | voter::Error::Unanswered => Kind::OutcomeUnknown,
    };
    let details = slog::o!("kind" => kind.to_string(), "error" => error.to_string());
    event::emit(&context.log, Event::EditRefused, details);
    failed(kind, error.to_string())
}
