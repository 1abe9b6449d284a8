//! One streamed request as a caller sends it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::json;
use tokio::time::timeout;

use crate::client::connector;
use crate::credential::Credential;
use crate::mix::Draw;
use crate::route;
use protocol::header as own;
use protocol::refusal;
use protocol::refusal::Reason;
use transport::sse::Decoder;
use transport::sse::Item;

const DONE: &str = "[DONE]";
const EVENT_LIMIT_BYTES: usize = 1 << 20;
const GRACE: Duration = Duration::from_secs(10);
const REFUSAL_LIMIT_BYTES: usize = 1 << 20;

/// Tells how a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Means that the connection was lost or silent after the request was sent.
    Broken,
    /// Means that the answer ended without its end mark.
    Cut,
    /// Means that the answer came whole.
    Done,
    /// Means that the daemon refused the request, or broke off its answer, and said why.
    Refused(Reason),
    /// Means that no listed address took a connection.
    Unreachable,
}

/// Tells what a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Counts the prompt tokens that the engine had cached, where the answer tells.
    pub cached_tokens: Option<u64>,
    /// Tells how the request ended.
    pub end: End,
    /// Gives the time to the first token, in microseconds.
    pub first_us: Option<u64>,
    /// Gives the times between tokens, in microseconds.
    pub gaps_us: Vec<u64>,
    /// Counts the prompt tokens, where the answer tells.
    pub prompt_tokens: Option<u64>,
    /// Counts the tokens of the answer.
    pub tokens: u64,
}

/// Sends requests over connections that it keeps.
#[derive(Clone, Debug)]
pub struct Caller {
    deadline_ms: u64,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    model: String,
}

#[derive(Debug, Deserialize)]
struct Piece {
    #[serde(default)]
    choices: Vec<protocol::completion::Choice>,
    error: Option<refusal::Refusal>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: Option<u64>,
    prompt_tokens: Option<u64>,
    prompt_tokens_details: Option<Details>,
}

#[derive(Debug, Deserialize)]
struct Details {
    cached_tokens: Option<u64>,
}

#[derive(Debug)]
struct Reader {
    decoder: Decoder,
    last: Option<Instant>,
    outcome: Outcome,
    sent: Instant,
}

impl Caller {
    /// Returns a caller of `model` that names `deadline_ms` with each request.
    pub fn new(model: impl Into<String>, deadline_ms: u64) -> Self {
        Self {
            deadline_ms,
            http: legacy::Client::builder(TokioExecutor::new()).build(connector()),
            model: model.into(),
        }
    }

    /// Sends `draw` to the first of `addresses` that takes a connection.
    pub async fn call(
        &self,
        addresses: &[SocketAddr],
        credential: &Credential,
        draw: &Draw,
    ) -> Outcome {
        let mut reader = Reader::new();
        let limit = Duration::from_millis(self.deadline_ms) + GRACE;
        let exchange = self.exchange(addresses, credential, draw, &mut reader);
        let end = timeout(limit, exchange).await.unwrap_or(End::Broken);
        reader.outcome.end = end;
        reader.outcome
    }

    async fn exchange(
        &self,
        addresses: &[SocketAddr],
        credential: &Credential,
        draw: &Draw,
        reader: &mut Reader,
    ) -> End {
        for address in addresses {
            let request = self.request(*address, credential, draw);
            match self.http.request(request).await {
                Ok(response) if response.status().is_success() => {
                    return reader.read(response).await;
                }
                Ok(response) => return refused(response).await,
                Err(error) if error.is_connect() => (),
                Err(_) => return End::Broken,
            }
        }
        End::Unreachable
    }

    fn request(
        &self,
        address: SocketAddr,
        credential: &Credential,
        draw: &Draw,
    ) -> Request<Full<Bytes>> {
        let body = json!({
            "max_tokens": draw.work.answer_tokens,
            "model": self.model,
            "prompt": draw.prompt,
            "stream": true,
            "stream_options": {"include_usage": true},
        });
        Request::post(format!("http://{address}{}", route::COMPLETIONS))
            .header(header::AUTHORIZATION, credential.header())
            .header(header::CONTENT_TYPE, "application/json")
            .header(own::DEADLINE, self.deadline_ms)
            .header(own::RANK, draw.work.rank.to_string())
            .body(Full::new(body.to_string().into()))
            .expect("the parts of the request are valid")
    }
}

async fn refused(response: Response<Incoming>) -> End {
    let body = Limited::new(response.into_body(), REFUSAL_LIMIT_BYTES);
    let Ok(body) = body.collect().await else {
        return End::Broken;
    };
    match serde_json::from_slice::<refusal::RefusalBody>(&body.to_bytes()) {
        Ok(body) => End::Refused(body.error.reason),
        Err(_) => End::Broken,
    }
}

impl Reader {
    fn new() -> Self {
        Self {
            decoder: Decoder::new(EVENT_LIMIT_BYTES),
            last: None,
            outcome: Outcome {
                cached_tokens: None,
                end: End::Broken,
                first_us: None,
                gaps_us: Vec::new(),
                prompt_tokens: None,
                tokens: 0,
            },
            sent: Instant::now(),
        }
    }

    async fn read(&mut self, response: Response<Incoming>) -> End {
        let mut body = response.into_body();
        let mut items = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return End::Broken;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if self.decoder.push(&data, &mut items).is_err() {
                return End::Cut;
            }
            let end = items.drain(..).find_map(|item| self.item(&item));
            if let Some(end) = end {
                return end;
            }
        }
        End::Cut
    }

    fn item(&mut self, item: &Item) -> Option<End> {
        match item {
            Item::Comment => None,
            Item::Data(data) => self.event(data),
        }
    }

    fn event(&mut self, data: &str) -> Option<End> {
        if data == DONE {
            return Some(End::Done);
        }
        let Ok(piece) = serde_json::from_str::<Piece>(data) else {
            return Some(End::Cut);
        };
        if let Some(refusal) = piece.error {
            return Some(End::Refused(refusal.reason));
        }
        if piece.choices.iter().any(has_text) {
            self.token();
        }
        if let Some(usage) = piece.usage {
            self.usage(usage);
        }
        None
    }

    fn token(&mut self) {
        let now = Instant::now();
        let micros = |from: Instant| now.duration_since(from).as_micros() as u64;
        match self.last {
            Some(last) => self.outcome.gaps_us.push(micros(last)),
            None => self.outcome.first_us = Some(micros(self.sent)),
        }
        self.last = Some(now);
        self.outcome.tokens += 1;
    }

    fn usage(&mut self, usage: Usage) {
        let details = usage.prompt_tokens_details;
        self.outcome.cached_tokens = details.and_then(|details| details.cached_tokens);
        self.outcome.prompt_tokens = usage.prompt_tokens;
        if let Some(tokens) = usage.completion_tokens {
            self.outcome.tokens = tokens;
        }
    }
}

fn has_text(choice: &protocol::completion::Choice) -> bool {
    choice.text.as_ref().is_some_and(|text| !text.is_empty())
}
