//! Answers requests for completions, streamed or whole.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::answer::Failure;
use crate::answer::Part;
use crate::auth;
use crate::caller;
use crate::context::Context;
use crate::context::Guard;
use crate::job::Job;
use crate::job::Setting;
use crate::job::Shape;
use crate::request::Request;
use crate::respond;
use crate::stream as relay;
use protocol::completion::Choice;
use protocol::completion::Completion;
use protocol::completion::Delta;
use protocol::completion::Message;
use protocol::refusal;
use protocol::refusal::Reason;
use transport::http::Body;

const COMMENT: &[u8] = b": heartbeat\n\n";
const END_MARK: &str = "data: [DONE]\n\n";
const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
/// Gives the time without text after which a streamed answer gets a comment.
const HEARTBEAT: Duration = Duration::from_secs(5);
const NO_STORE: HeaderValue = HeaderValue::from_static("no-store");

/// Answers a conversation.
pub fn chat(context: Arc<Context>, request: Request) -> BoxFuture<'static, Response<Body>> {
    complete(context, request, Shape::Chat).boxed()
}

/// Continues a prompt.
pub fn plain(context: Arc<Context>, request: Request) -> BoxFuture<'static, Response<Body>> {
    complete(context, request, Shape::Plain).boxed()
}

async fn complete(context: Arc<Context>, mut request: Request, shape: Shape) -> Response<Body> {
    let mut guard = context.enter();
    let job = match read(&context, &mut request, shape).await {
        Err(reason) => return caller::refuse(&request.id, reason),
        Ok(job) => job,
    };
    guard.hold(request.share);
    let form = Form::of(&job);
    let streamed = job.request.stream;
    let mut parts = relay::start(context, job);
    let first = parts.recv().await;
    let mut response = match first.unwrap_or_else(cut) {
        Part::Failed(failure) => return caller::fail(&form.id, failure),
        first if streamed => form.stream(first, parts, guard),
        first => form.whole(first, parts).await,
    };
    respond::name(&mut response, &form.id);
    response
}

async fn read(context: &Context, request: &mut Request, shape: Shape) -> Result<Job, Reason> {
    let table = context.table();
    let workspace = auth::workspace(&request.headers, &table).ok_or(Reason::Unauthorized)?;
    let entry = context.settings.entry.as_ref().ok_or(Reason::UnknownPath)?;
    let body = request.read(entry.body_limit, entry.body_timeout).await?;
    let setting = Setting {
        domain: &context.settings.failure_domain,
        now: context.clock.now(),
        table: &table,
        workspace: &workspace,
    };
    Job::read(request, &body, shape, setting)
}

fn cut() -> Part {
    Part::Failed(Failure {
        not_run: refusal::NotRun::Unknown,
        reason: Reason::AnswerCut,
        retry_after_ms: None,
    })
}

/// Writes parts in the form that the caller asked for.
#[derive(Clone, Debug)]
struct Form {
    id: String,
    model: String,
    shape: Shape,
}

impl Form {
    fn of(job: &Job) -> Self {
        Self {
            id: job.id.clone(),
            model: job.request.model.clone(),
            shape: job.shape,
        }
    }

    fn answer(&self, object: &str, choice: Choice) -> Completion {
        Completion {
            choices: vec![choice],
            id: self.id.clone(),
            model: self.model.clone(),
            object: object.to_owned(),
            usage: None,
        }
    }

    fn piece(&self, text: String, finish_reason: Option<String>) -> Completion {
        let choice = Choice {
            finish_reason,
            ..Choice::default()
        };
        match self.shape {
            Shape::Chat => {
                let delta = Some(Delta { content: text });
                self.answer("chat.completion.chunk", Choice { delta, ..choice })
            }
            Shape::Plain => {
                let text = Some(text);
                self.answer("text_completion", Choice { text, ..choice })
            }
        }
    }

    fn event(&self, part: Part) -> Bytes {
        match part {
            Part::End { finish, usage } => {
                let mut last = self.piece(String::new(), Some(finish));
                last.usage = Some(usage);
                Bytes::from(data(&last) + END_MARK)
            }
            Part::Failed(failure) => {
                let error = caller::refusal(&self.id, failure);
                caller::count(&error);
                Bytes::from(data(&refusal::RefusalBody { error }))
            }
            Part::Text(text) => Bytes::from(data(&self.piece(text, None))),
        }
    }

    fn stream(&self, first: Part, parts: mpsc::Receiver<Part>, guard: Guard) -> Response<Body> {
        let form = self.clone();
        let parts = stream::unfold((Some(first), parts, guard), move |state| {
            let form = form.clone();
            async move {
                let (first, mut parts, guard) = state;
                let part = match first {
                    None => timeout(HEARTBEAT, parts.recv()).await,
                    part => Ok(part),
                };
                let event = match part {
                    Err(_) => Bytes::from_static(COMMENT),
                    Ok(part) => form.event(part?),
                };
                let frame: Result<_, Infallible> = Ok(Frame::data(event));
                Some((frame, (None, parts, guard)))
            }
        });
        let body = StreamBody::new(parts).map_err(|never| -> io::Error { match never {} });
        let mut response = Response::new(Body::new(body));
        let headers = response.headers_mut();
        headers.insert(CACHE_CONTROL, NO_STORE);
        headers.insert(CONTENT_TYPE, EVENT_STREAM);
        response
    }

    async fn whole(&self, first: Part, mut parts: mpsc::Receiver<Part>) -> Response<Body> {
        let mut text = String::new();
        let mut next = Some(first);
        loop {
            match next.unwrap_or_else(cut) {
                Part::End { finish, usage } => {
                    let mut answer = self.full(text, finish);
                    answer.usage = Some(usage);
                    return respond::json(200, &answer);
                }
                Part::Failed(failure) => return caller::fail(&self.id, failure),
                Part::Text(more) => text.push_str(&more),
            }
            next = parts.recv().await;
        }
    }

    fn full(&self, text: String, finish: String) -> Completion {
        let choice = Choice {
            finish_reason: Some(finish),
            ..Choice::default()
        };
        match self.shape {
            Shape::Chat => {
                let message = Some(Message {
                    content: text,
                    role: "assistant".to_owned(),
                });
                self.answer("chat.completion", Choice { message, ..choice })
            }
            Shape::Plain => {
                let text = Some(text);
                self.answer("text_completion", Choice { text, ..choice })
            }
        }
    }
}

fn data(value: &impl serde::Serialize) -> String {
    let json = serde_json::to_string(value).unwrap_or_default();
    format!("data: {json}\n\n")
}
