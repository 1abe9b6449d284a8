//! Streamed answers of the fake engine.

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

/// One attempt at a request, from its queueing to the end of its stream.
struct Attempt {
    request: engine::Request,
    cancelled: watch::Receiver<bool>,
    /// Keys of the whole blocks of the prompt, in order.
    chain: Vec<BlockKey>,
    /// Offset at which the answer ends.
    end_offset: u64,
    /// Incarnation that accepted the attempt; prefill stops once the engine has another one.
    incarnation: Incarnation,
    /// Offset of the next token.
    next_offset: u64,
    /// Slot of the attempt, once it has one.
    permit: Option<Permit>,
    permit_wait: BoxFuture<'static, Permit>,
    /// Time at which the work of the current stage is done.
    stage_ready_at: Instant,
    shared: Arc<Shared>,
    stage: Stage,
    /// Usage to send with the next piece.
    usage: Option<Usage>,
}

/// What an attempt does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Sends one token after another.
    Decode,
    /// Sends nothing more.
    Done,
    /// Sends the end marker.
    EndMarker,
    /// Computes the prompt block with this index.
    Prefill(usize),
    /// Waits for a slot.
    Waiting,
}

/// Queues `request` and returns the response that streams its answer.
pub(crate) fn open(shared: &Arc<Shared>, request: engine::Request) -> Result<Response<Body>, Code> {
    let attempt = Attempt::new(shared, request)?;
    let stream = stream::unfold(attempt, |mut attempt| async move {
        let frame = attempt.step().await;
        frame.map(|frame| (frame, attempt))
    });
    let response = Response::builder().header("content-type", "text/event-stream");
    let body = StreamBody::new(stream).boxed_unsync();
    Ok(response
        .body(body)
        .expect("a response with one header is valid"))
}

impl Attempt {
    fn new(shared: &Arc<Shared>, request: engine::Request) -> Result<Self, Code> {
        let resume = request.resume.clone().unwrap_or_default();
        let chain = block_chain(shared, &request);
        let mut inner = shared.lock();
        inner.last_request = Some(request.clone());
        let state = &inner.state;
        if state.loading.is_some() {
            return Err(Code::Loading);
        }
        if request.model != state.model {
            return Err(Code::UnknownModel);
        }
        if resume != expected_resume(state, &request.prompt, resume.offset) {
            return Err(Code::BadRequest);
        }
        if shared.slots.waiting() >= shared.options.queue_limit {
            return Err(Code::Full);
        }
        let incarnation = state.incarnation;
        let (cancel, cancelled) = watch::channel(false);
        inner.cancel_senders.insert(request.id.clone(), cancel);
        *inner.pending_prefill.at_priority(request.priority) += chain.len() as u64;
        let end_offset = request.max_tokens.min(shared.options.max_answer_tokens);
        let slots = shared.slots.clone();
        let priority = request.priority;
        Ok(Self {
            request,
            cancelled,
            chain,
            end_offset,
            incarnation,
            next_offset: resume.offset,
            permit: None,
            permit_wait: async move { slots.acquire(priority).await }.boxed(),
            stage_ready_at: Instant::now(),
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
                shared.wait_while_frozen().await;
                self.advance().await
            };
            let step = tokio::select! {
                biased;
                Ok(_) = cancelled.wait_for(|c| *c) => Step::Cancelled,
                step = advance => step,
                () = tokio::time::sleep(heartbeat) => Step::Heartbeat,
            };
            match step {
                Step::Advanced => {}
                Step::Cancelled => break self.finish(Finish::Cancelled),
                Step::Disconnect => return Some(Err(Disconnect)),
                Step::Done => return None,
                Step::Heartbeat => {
                    self.shared.wait_while_frozen().await;
                    break ": heartbeat\n\n".to_owned();
                }
                Step::Send(text) => break text,
                Step::Stall => std::future::pending().await,
            }
        };
        Some(Ok(Frame::data(Bytes::from(text))))
    }

    async fn advance(&mut self) -> Step {
        match self.stage {
            Stage::Waiting => self.start().await,
            Stage::Prefill(index) => self.prefill(index).await,
            Stage::Decode => self.decode().await,
            Stage::EndMarker => {
                self.stage = Stage::Done;
                Step::Send(format!("data: {}\n\n", engine::DONE_MARKER))
            }
            Stage::Done => Step::Done,
        }
    }

    async fn start(&mut self) -> Step {
        self.permit = Some((&mut self.permit_wait).await);
        let (cached, poisoned) = {
            let mut inner = self.shared.lock();
            inner.counts.started_prompts += 1;
            let cached = inner.cache.match_prefix(&self.chain);
            *inner.pending_prefill.at_priority(self.request.priority) -= cached as u64;
            self.usage = Some(Usage {
                cached_blocks: cached as u64,
                prompt_blocks: self.chain.len() as u64,
            });
            let marker = inner.faults.poison.as_ref();
            let poisoned = marker.is_some_and(|m| self.request.prompt.contains(m));
            (cached, poisoned)
        };
        self.enter_stage(Stage::Prefill(cached));
        if poisoned {
            Arc::clone(&self.shared).crash();
            return Step::Stall;
        }
        self.shared.record_load();
        Step::Advanced
    }

    fn enter_stage(&mut self, stage: Stage) {
        let options = &self.shared.options;
        let time = match stage {
            Stage::Prefill(_) => options.prefill_time,
            Stage::Decode => options.token_time,
            Stage::Done | Stage::EndMarker | Stage::Waiting => Duration::ZERO,
        };
        self.stage_ready_at = Instant::now() + time;
        self.stage = stage;
    }

    async fn prefill(&mut self, index: usize) -> Step {
        if index >= self.chain.len() {
            self.enter_stage(Stage::Decode);
            return Step::Advanced;
        }
        tokio::time::sleep_until(self.stage_ready_at).await;
        let mut inner = self.shared.lock();
        if inner.state.incarnation != self.incarnation {
            return Step::Stall;
        }
        inner.cache.store(&self.chain[..=index]);
        inner.counts.prefilled_blocks += 1;
        *inner.pending_prefill.at_priority(self.request.priority) -= 1;
        drop(inner);
        self.enter_stage(Stage::Prefill(index + 1));
        Step::Advanced
    }

    async fn decode(&mut self) -> Step {
        if self.next_offset >= self.end_offset {
            if self.shared.lock().faults.omit_end {
                self.stage = Stage::Done;
                return Step::Done;
            }
            let at_token_limit = self.end_offset >= self.request.max_tokens;
            let finish = if at_token_limit {
                Finish::Length
            } else {
                Finish::Stop
            };
            return Step::Send(self.finish(finish));
        }
        tokio::time::sleep_until(self.stage_ready_at).await;
        self.enter_stage(Stage::Decode);
        let offset = self.next_offset;
        let mut inner = self.shared.lock();
        let faults = &mut inner.faults;
        if faults.disconnect_at.take_if(|at| *at == offset).is_some() {
            return Step::Disconnect;
        }
        if faults.stall_at.take_if(|at| *at == offset).is_some() {
            return Step::Stall;
        }
        let skip = faults.skip_at.take_if(|at| *at == offset).is_some();
        let repeat = faults.repeat_at.take_if(|at| *at == offset).is_some();
        drop(inner);
        if !repeat {
            self.next_offset += 1;
        }
        if skip {
            return Step::Advanced;
        }
        Step::Send(self.encode_piece(offset, 1, None))
    }

    fn finish(&mut self, finish: Finish) -> String {
        self.stage = Stage::EndMarker;
        self.permit = None;
        self.encode_piece(self.next_offset, 0, Some(finish))
    }

    fn encode_piece(&mut self, offset: u64, tokens: u64, finish: Option<Finish>) -> String {
        let inner = self.shared.lock();
        let state = &inner.state;
        let prompt = &self.request.prompt;
        let (model, version) = (&state.model, &state.version);
        let id = match inner.faults.wrong_id {
            false => self.request.id.clone(),
            true => format!("not-{}", self.request.id),
        };
        let piece = Piece {
            finish,
            id,
            offset,
            text: answer_text(model, version, prompt, offset, offset + tokens),
            tokens,
            usage: self.usage.take(),
        };
        let text = serde_json::to_string(&piece).expect("a piece serializes to JSON");
        format!("data: {text}\n\n")
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.permit = None;
        let mut inner = self.shared.lock();
        inner.cancel_senders.remove(&self.request.id);
        let uncomputed = match self.stage {
            Stage::Waiting => self.chain.len(),
            Stage::Prefill(index) => self.chain.len() - index.min(self.chain.len()),
            Stage::Decode | Stage::Done | Stage::EndMarker => 0,
        };
        *inner.pending_prefill.at_priority(self.request.priority) -= uncomputed as u64;
        if self.stage != Stage::Done {
            inner.counts.stopped_attempts += 1;
        }
    }
}

/// Outcome of one step of an attempt.
enum Step {
    /// The attempt advanced without output.
    Advanced,
    /// The attempt was cancelled.
    Cancelled,
    /// The connection has to be closed.
    Disconnect,
    /// The body is complete.
    Done,
    /// No output was due within the heartbeat interval.
    Heartbeat,
    /// This text has to be sent.
    Send(String),
    /// Nothing is sent any more, and the connection stays open.
    Stall,
}

/// Returns the only resume point at `offset` that the engine accepts for `prompt`.
fn expected_resume(state: &engine::State, prompt: &str, offset: u64) -> Resume {
    let text = answer_text(&state.model, &state.version, prompt, 0, offset);
    Resume { offset, text }
}

/// Returns the keys of the blocks of the prompt, or none when the caller uses another block size.
fn block_chain(shared: &Shared, request: &engine::Request) -> Vec<BlockKey> {
    if request.cache.block_bytes != shared.options.block_bytes {
        return Vec::new();
    }
    let content_hashes = shared.content_hashes(&request.cache.salt, &request.prompt);
    let pairs = request.cache.blocks.iter().zip(content_hashes);
    pairs
        .map(|(hash, content)| BlockKey {
            content,
            hash: *hash,
        })
        .collect()
}
