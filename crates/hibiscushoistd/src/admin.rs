//! Answers operators under `/admin/`.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Response;
use serde::de::DeserializeOwned;

use crate::auth;
use crate::context::Context;
use crate::request::Request;
use crate::respond;
use crate::status;
use crate::voter;
use protocol::operator::Failure;
use protocol::operator::FailureKind;
use protocol::operator::TableView;
use protocol::voter::VoterChange;
use state::edit::Edit;
use state::table;
use transport::event;
use transport::event::Event;
use transport::http::Body;

const EDIT_LIMIT_BYTES: usize = 64 << 10;
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const WATCH_LIMIT: Duration = Duration::from_secs(20);

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
        return Err(failed(FailureKind::Unauthorized, message));
    }
    let path = request.uri.path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(2).collect();
    match (request.method.as_str(), parts.as_slice()) {
        ("GET", ["explain", id]) => explain(context, id),
        ("GET", ["history"]) => history(context, after(&request)?).await,
        ("GET", ["status"]) => Ok(respond::json(200, &status::of(context))),
        ("GET", ["table"]) => Ok(respond::json(200, &TableView::of(&context.table()))),
        ("GET", ["voters"]) => match context.voter.voters().await {
            Err(error) => Err(refused(context, &error)),
            Ok(voters) => Ok(respond::json(200, &voters)),
        },
        ("GET", ["watch"]) => watch(context, after(&request)?).await,
        ("POST", ["edits"]) => edit(context, request).await,
        ("POST", ["voters"]) => member(context, request).await,
        _ => Err(failed(FailureKind::Unknown, "no such path")),
    }
}

fn after(request: &Request) -> Result<u64, Failure> {
    let query = request.uri.query().unwrap_or_default();
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="));
    let after = after.map_or(Ok(0), str::parse);
    after.map_err(|_| failed(FailureKind::BadRequest, "`after` takes a revision"))
}

async fn edit(context: &Context, request: Request) -> Answer {
    let edit: Edit = body(request).await?;
    match context.voter.edit(edit).await {
        Err(error) => Err(refused(context, &error)),
        Ok(receipt) => Ok(respond::json(200, &receipt)),
    }
}

async fn member(context: &Context, request: Request) -> Answer {
    let ask: VoterChange = body(request).await?;
    match context.voter.member(ask).await {
        Err(error) => Err(refused(context, &error)),
        Ok(()) => Ok(respond::json(200, &context.voter.voters().await.ok())),
    }
}

async fn history(context: &Context, after: u64) -> Answer {
    match context.voter.history(after).await {
        Err(error) => Err(refused(context, &error)),
        Ok(history) => Ok(respond::json(200, &history)),
    }
}

async fn watch(context: &Context, after: u64) -> Answer {
    let mut table = context.voter.table();
    let newer = table.wait_for(|table| table.revision() > after);
    let _ = tokio::time::timeout(WATCH_LIMIT, newer).await;
    history(context, after).await
}

async fn body<T: DeserializeOwned>(mut request: Request) -> Result<T, Failure> {
    let malformed = |message: String| failed(FailureKind::BadRequest, message);
    let body = request
        .read(EDIT_LIMIT_BYTES, READ_TIMEOUT)
        .await
        .map_err(|reason| malformed(format!("the body cannot be read: {reason}")))?;
    serde_json::from_slice(&body)
        .map_err(|error| malformed(format!("the body is not what this path takes: {error}")))
}

fn failed(kind: FailureKind, message: impl Into<String>) -> Failure {
    Failure {
        kind,
        message: message.into(),
    }
}

fn explain(context: &Context, id: &str) -> Answer {
    let message = "no request of that identifier is kept here";
    let missing = || failed(FailureKind::Unknown, message);
    let explanation = context.journal.get(id).ok_or_else(missing)?;
    Ok(respond::json(200, &explanation))
}

fn refused(context: &Context, error: &voter::Error) -> Failure {
    let kind = match error {
        voter::Error::Refused(table::Error::Conflict { .. }) => FailureKind::Conflict,
        voter::Error::Refused(table::Error::ReusedKey { .. }) => FailureKind::KeyReused,
        voter::Error::Refused(table::Error::UnknownRow { .. }) => FailureKind::Unknown,
        voter::Error::Refused(_) => FailureKind::BadRequest,
        voter::Error::QuorumAway(_) => FailureKind::QuorumAway,
        voter::Error::Answer | voter::Error::Unanswered => FailureKind::OutcomeUnknown,
    };
    let details = slog::o!("kind" => kind.to_string(), "error" => error.to_string());
    event::emit(&context.log, Event::EditRefused, details);
    failed(kind, error.to_string())
}
