//! The streamed answers of the stand-in engine.

use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::watch;
use tokio::time::Duration;
use tokio::time::Instant;

use crate::engine::Shared;
use crate::engine::answer_text;
use crate::prefix_cache::BlockKey;
use crate::server::Body;
use crate::server::Disconnect;
use crate::slots::Permit;
use protocol::engine;
use protocol::engine::Code;
use protocol::engine::Finish;
use protocol::engine::Piece;
use protocol::engine::Resume;
use protocol::engine::Usage;
use state::ident::Incarnation;

/// Holds one attempt while it runs.
struct Run {
    asked: engine::Request,
    cancelled: watch::Receiver<bool>,
    chain: Vec<BlockKey>,
    end: u64,
    incarnation: Incarnation,
    next: u64,
    permit: Option<Permit>,
    queued: BoxFuture<'static, Permit>,
    ready: Instant,
    shared: Arc<Shared>,
    stage: Stage,
    usage: Option<Usage>,
}

/// Tells what an attempt does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Sends tokens.
    Decode,
    /// Sends nothing more.
    Done,
    /// Sends the end mark.
    Mark,
    /// Computes the block of this index.
    Prefill(usize),
    /// Waits for a slot.
    Waiting,
}

/// Opens the stream that answers `asked`.
pub(crate) fn open(shared: &Arc<Shared>, asked: engine::Request) -> Result<Response<Body>, Code> {
    let run = Run::new(shared, asked)?;
    let stream = stream::unfold(run, |mut run| async move {
        let frame = run.step().await;
        frame.map(|frame| (frame, run))
    });
    let response = Response::builder().header("content-type", "text/event-stream");
    let body = StreamBody::new(stream).boxed_unsync();
    Ok(response.body(body).expect("one header makes a response"))
}

impl Run {
    fn new(shared: &Arc<Shared>, asked: engine::Request) -> Result<Self, Code> {
        let resume = asked.resume.clone().unwrap_or_default();
        let chain = named(shared, &asked);
        let mut inner = shared.lock();
        inner.last = Some(asked.clone());
        let state = &inner.state;
        if state.loading.is_some() {
            return Err(Code::Loading);
        }
        if asked.model != state.model {
            return Err(Code::UnknownModel);
        }
        if resume != known(state, &asked.prompt, resume.offset) {
            return Err(Code::BadRequest);
        }
        if shared.slots.waiting() >= shared.options.queue_limit {
            return Err(Code::Full);
        }
        let incarnation = state.incarnation;
        let (cancel, cancelled) = watch::channel(false);
        inner.running.insert(asked.id.clone(), cancel);
        *inner.queued.of(asked.priority) += chain.len() as u64;
        let end = asked.max_tokens.min(shared.options.max_answer_tokens);
        let slots = shared.slots.clone();
        let priority = asked.priority;
        Ok(Self {
            asked,
            cancelled,
            chain,
            end,
            incarnation,
            next: resume.offset,
            permit: None,
            queued: async move { slots.acquire(priority).await }.boxed(),
            ready: Instant::now(),
            shared: Arc::clone(shared),
            stage: Stage::Waiting,
            usage: None,
        })
    }

    async fn step(&mut self) -> Option<Result<Frame<Bytes>, Disconnect>> {
        let heartbeat = self.shared.options.heartbeat;
        let text = loop {
            let mut cancelled = self.cancelled.clone();
            let shared = Arc::clone(&self.shared);
            let advance = async {
                shared.thaw().await;
                self.advance().await
            };
            let step = tokio::select! {
                biased;
                Ok(_) = cancelled.wait_for(|c| *c) => Step::Cancelled,
                step = advance => step,
                () = tokio::time::sleep(heartbeat) => Step::Heartbeat,
            };
            match step {
                Step::Again => {}
                Step::Cancelled => break self.finish(Finish::Cancelled),
                Step::Disconnect => return Some(Err(Disconnect)),
                Step::Done => return None,
                Step::Heartbeat => {
                    self.shared.thaw().await;
                    break ": heartbeat\n\n".to_owned();
                }
                Step::Send(text) => break text,
                Step::Silent => std::future::pending().await,
            }
        };
        Some(Ok(Frame::data(Bytes::from(text))))
    }

    async fn advance(&mut self) -> Step {
        match self.stage {
            Stage::Waiting => self.start().await,
            Stage::Prefill(index) => self.prefill(index).await,
            Stage::Decode => self.decode().await,
            Stage::Mark => {
                self.stage = Stage::Done;
                Step::Send(format!("data: {}\n\n", engine::DONE_MARKER))
            }
            Stage::Done => Step::Done,
        }
    }

    async fn start(&mut self) -> Step {
        self.permit = Some((&mut self.queued).await);
        let (cached, poisoned) = {
            let mut inner = self.shared.lock();
            inner.counts.started_prompts += 1;
            let cached = inner.cache.match_prefix(&self.chain);
            *inner.queued.of(self.asked.priority) -= cached as u64;
            self.usage = Some(Usage {
                cached_blocks: cached as u64,
                prompt_blocks: self.chain.len() as u64,
            });
            let marker = inner.faults.poison.as_ref();
            let poisoned = marker.is_some_and(|m| self.asked.prompt.contains(m));
            (cached, poisoned)
        };
        self.enter(Stage::Prefill(cached));
        if poisoned {
            Arc::clone(&self.shared).crash();
            return Step::Silent;
        }
        self.shared.observe();
        Step::Again
    }

    fn enter(&mut self, stage: Stage) {
        let options = &self.shared.options;
        let time = match stage {
            Stage::Prefill(_) => options.prefill_time,
            Stage::Decode => options.token_time,
            Stage::Done | Stage::Mark | Stage::Waiting => Duration::ZERO,
        };
        self.ready = Instant::now() + time;
        self.stage = stage;
    }

    async fn prefill(&mut self, index: usize) -> Step {
        if index >= self.chain.len() {
            self.enter(Stage::Decode);
            return Step::Again;
        }
        tokio::time::sleep_until(self.ready).await;
        let mut inner = self.shared.lock();
        if inner.state.incarnation != self.incarnation {
            return Step::Silent;
        }
        inner.cache.store(&self.chain[..=index]);
        inner.counts.prefilled_blocks += 1;
        *inner.queued.of(self.asked.priority) -= 1;
        drop(inner);
        self.enter(Stage::Prefill(index + 1));
        Step::Again
    }

    async fn decode(&mut self) -> Step {
        if self.next >= self.end {
            if self.shared.lock().faults.omit_end {
                self.stage = Stage::Done;
                return Step::Done;
            }
            let bounded = self.end >= self.asked.max_tokens;
            let finish = if bounded {
                Finish::Length
            } else {
                Finish::Stop
            };
            return Step::Send(self.finish(finish));
        }
        tokio::time::sleep_until(self.ready).await;
        self.enter(Stage::Decode);
        let offset = self.next;
        let mut inner = self.shared.lock();
        let faults = &mut inner.faults;
        if faults.cut_at.take_if(|at| *at == offset).is_some() {
            return Step::Disconnect;
        }
        if faults.stall_at.take_if(|at| *at == offset).is_some() {
            return Step::Silent;
        }
        let skip = faults.skip_at.take_if(|at| *at == offset).is_some();
        let repeat = faults.repeat_at.take_if(|at| *at == offset).is_some();
        drop(inner);
        if !repeat {
            self.next += 1;
        }
        if skip {
            return Step::Again;
        }
        Step::Send(self.piece(offset, 1, None))
    }

    fn finish(&mut self, finish: Finish) -> String {
        self.stage = Stage::Mark;
        self.permit = None;
        self.piece(self.next, 0, Some(finish))
    }

    fn piece(&mut self, offset: u64, tokens: u64, finish: Option<Finish>) -> String {
        let inner = self.shared.lock();
        let state = &inner.state;
        let prompt = &self.asked.prompt;
        let (model, version) = (&state.model, &state.version);
        let id = match inner.faults.wrong_id {
            false => self.asked.id.clone(),
            true => format!("not-{}", self.asked.id),
        };
        let piece = Piece {
            finish,
            id,
            offset,
            text: answer_text(model, version, prompt, offset, offset + tokens),
            tokens,
            usage: self.usage.take(),
        };
        let text = serde_json::to_string(&piece).expect("a piece is JSON");
        format!("data: {text}\n\n")
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.permit = None;
        let mut inner = self.shared.lock();
        inner.running.remove(&self.asked.id);
        let left = match self.stage {
            Stage::Waiting => self.chain.len(),
            Stage::Prefill(index) => self.chain.len() - index.min(self.chain.len()),
            Stage::Decode | Stage::Done | Stage::Mark => 0,
        };
        *inner.queued.of(self.asked.priority) -= left as u64;
        if self.stage != Stage::Done {
            inner.counts.stopped_attempts += 1;
        }
    }
}

/// Tells what came of one step.
enum Step {
    /// Means that the attempt moved on without output.
    Again,
    /// Means that the attempt was cancelled.
    Cancelled,
    /// Means that the connection is to be cut.
    Disconnect,
    /// Means that the body is over.
    Done,
    /// Means that nothing happened for a while.
    Heartbeat,
    /// Means that this text is to be sent.
    Send(String),
    /// Means that nothing is to be sent ever again.
    Silent,
}

fn known(state: &engine::State, prompt: &str, offset: u64) -> Resume {
    let text = answer_text(&state.model, &state.version, prompt, 0, offset);
    Resume { offset, text }
}

fn named(shared: &Shared, asked: &engine::Request) -> Vec<BlockKey> {
    if asked.cache.block_bytes != shared.options.block_bytes {
        return Vec::new();
    }
    let content_hashes = shared.content_hashes(&asked.cache.salt, &asked.prompt);
    let pairs = asked.cache.blocks.iter().zip(content_hashes);
    pairs
        .map(|(name, content)| BlockKey {
            content,
            name: *name,
        })
        .collect()
}
