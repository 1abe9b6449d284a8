//! Forwards a resumable stream to a caller, and resumes it at another upstream with the same
//! weights if the first one breaks off or becomes unresponsive.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_answer_log::AnswerLog;
use crate::gateway_answer_log::Outcome;
use crate::gateway_attempt::InFlightGuard;
use crate::gateway_attempt::UpstreamAnswer;
use crate::gateway_crash::Exposure;
use crate::gateway_retry;
use crate::gateway_retry::FailedAttempt;
use crate::gateway_retry::Progress;
use crate::gateway_retry::can_move;
use coordination::retry::Reason;
use protocol::event_stream::Splitter;
use transport::event;
use transport::event::Event;
use transport::http::Body;
use transport::read_limit;

/// Number of parts of an answer that are buffered for a slow caller.
const CALLER_BUFFER_PARTS: usize = 16;
/// Gap between events after which the stream may move to another upstream, as a multiple of the
/// route's limit for a gap; callers disconnect after eight times that limit.
const STALL_GAPS: u32 = 3;
/// Least gap after which the stream may move; the prefill of a long prompt can delay the other
/// requests of an engine that long.
const MIN_STALL_TIME: Duration = Duration::from_millis(1_200);
/// Time between two checks whether another upstream has to take over the stream, and can.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

type Part = Result<Frame<Bytes>, io::Error>;

/// How the stream of one upstream ended.
enum End {
    /// The upstream broke it off or stalled.
    Broken(Reason),
    /// The caller disconnected.
    Caller,
    /// The stream is complete.
    Complete,
    /// The deadline passed.
    Deadline,
}

/// Task that forwards one answer, across all upstreams that contribute to it.
struct StreamForwarder {
    answer_log: AnswerLog,
    caller: mpsc::Sender<Part>,
    context: Arc<Context>,
    gateway: Arc<Gateway>,
    routed: RoutedRequest,
    splitter: Splitter,
    deadline: Instant,
}

/// Starts to forward the stream of `answered`, and returns the response with its head.
pub fn start(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: RoutedRequest,
    progress: Progress,
    answered: UpstreamAnswer,
    answer_log: AnswerLog,
) -> Response<Body> {
    let (caller, parts) = mpsc::channel::<Part>(CALLER_BUFFER_PARTS);
    let left = Duration::from_millis(routed.left_ms(context.clock.now()));
    let head = answered.response_head();
    let forwarder = StreamForwarder {
        answer_log,
        caller,
        context: context.clone(),
        gateway: gateway.clone(),
        splitter: Splitter::new(routed.resume_after),
        routed,
        deadline: Instant::now() + left,
    };
    tokio::spawn(forwarder.run(progress, answered));
    let parts = stream::unfold(parts, |mut parts| async {
        let part = parts.recv().await?;
        if part.is_err() {
            // The server drops what it has not flushed when a read fails.
            tokio::task::yield_now().await;
        }
        Some((part, parts))
    });
    Response::from_parts(head, Body::new(StreamBody::new(parts.boxed())))
}

impl StreamForwarder {
    /// Forwards the answer until it is complete or cannot be resumed.
    async fn run(mut self, mut progress: Progress, mut answered: UpstreamAnswer) {
        let weights = answered.choice.weights;
        loop {
            let upstream = answered.choice.upstream.clone();
            progress.exact_weights = weights;
            let began_at = Instant::now();
            let reason = match self.forward_attempt(&progress, answered).await {
                End::Caller => return self.abort(Outcome::Left).await,
                End::Complete => {
                    self.answer_log.set_outcome(Outcome::Whole);
                    let exposure = Exposure::new(&self.routed, upstream.id, upstream.address);
                    let (context, gateway) = (&self.context, &self.gateway);
                    // An answer that ends with its connection looks complete after a crash too.
                    match self.splitter.last() > self.routed.resume_after {
                        false => exposure.record_break(context, gateway, 0).await,
                        true => exposure.record_whole(context, gateway),
                    }
                    return;
                }
                End::Deadline => return self.abort(Outcome::Deadline).await,
                End::Broken(reason) => reason,
            };
            self.splitter.restart();
            self.routed.resume_after = self.splitter.last();
            let streamed_ms = began_at.elapsed().as_millis();
            let failed_attempt = FailedAttempt {
                address: upstream.address,
                may_have_run: true,
                reason,
                streamed_ms: u64::try_from(streamed_ms).unwrap_or(u64::MAX),
                upstream: upstream.id,
            };
            let (context, gateway) = (&self.context, &self.gateway);
            let resumed = gateway_retry::resume(
                context,
                gateway,
                &self.routed,
                &mut progress,
                failed_attempt,
            );
            let next = tokio::select! {
                next = resumed => next,
                () = self.caller.closed() => return,
            };
            let details = slog::o!(
                "request" => self.routed.request_head.request_id.clone(),
                "reason" => reason.to_string(),
                "after" => self.routed.resume_after,
                "resumed" => next.is_some(),
            );
            event::emit(&self.context.log, Event::StreamBroken, details);
            answered = match next {
                None => return self.abort(Outcome::Cut).await,
                Some(next) => next,
            };
            self.answer_log.record_resumption(&answered);
        }
    }

    /// Breaks off the response without the final chunk, so that the answer does not look complete.
    async fn abort(&mut self, outcome: Outcome) {
        self.answer_log.set_outcome(outcome);
        let error = io::Error::from(io::ErrorKind::UnexpectedEof);
        let _ = self.caller.send(Err(error)).await;
    }

    /// Forwards the stream of one upstream, in whole events.
    async fn forward_attempt(&mut self, progress: &Progress, answered: UpstreamAnswer) -> End {
        let upstream = answered.choice.upstream.id.clone();
        let is_cut_if_empty = answered.is_cut_if_empty();
        let (mut body, connection, idle_limit, in_flight) = answered.into_stream();
        let gap = Duration::from_millis(self.routed.route.max_event_gap_ms);
        let stall_time = MIN_STALL_TIME.max(gap * STALL_GAPS);
        let mut last_byte = Instant::now();
        loop {
            let frame = tokio::select! {
                frame = next_bytes(&mut body) => frame,
                () = tokio::time::sleep(STALL_CHECK_INTERVAL) => {
                    let (context, gateway) = (&self.context, &self.gateway);
                    if !self.has_stalled(last_byte, stall_time, &in_flight) {
                        continue;
                    }
                    if !can_move(context, gateway, &self.routed, progress, &upstream) {
                        continue;
                    }
                    let now = context.clock.now();
                    gateway.dispatcher().record_failure(now, &in_flight.handle);
                    return End::Broken(Reason::Idle);
                }
                () = sleep_until(self.deadline) => return End::Deadline,
                () = self.caller.closed() => return End::Caller,
            };
            last_byte = Instant::now();
            let now = self.context.clock.now();
            let bytes = match frame {
                None if !self.looks_cut(is_cut_if_empty) => {
                    self.gateway.dispatcher().record_success(&in_flight.handle);
                    if let Some(idle) = idle_limit {
                        tokio::spawn(connection.release(idle));
                    }
                    return End::Complete;
                }
                None | Some(Err(_)) => {
                    self.gateway
                        .dispatcher()
                        .record_failure(now, &in_flight.handle);
                    return End::Broken(Reason::Cut);
                }
                Some(Ok(bytes)) => bytes,
            };
            self.gateway
                .dispatcher()
                .record_byte(now, &in_flight.handle);
            let whole = self.splitter.push(&bytes);
            if !whole.is_empty() && !self.send(whole).await {
                return End::Caller;
            }
            if self.splitter.is_event_too_long() {
                self.gateway
                    .dispatcher()
                    .record_failure(now, &in_flight.handle);
                return End::Broken(Reason::Format);
            }
        }
    }

    /// Returns whether the upstream is silent or has sent nothing for too long.
    fn has_stalled(&self, last_byte: Instant, limit: Duration, in_flight: &InFlightGuard) -> bool {
        let mut dispatcher = self.gateway.dispatcher();
        if last_byte.elapsed() < limit {
            return dispatcher.is_silent(&in_flight.handle);
        }
        dispatcher.record_stall(self.context.clock.now(), &in_flight.handle);
        true
    }

    /// Returns whether a body that ends now was broken off.
    fn looks_cut(&self, is_cut_if_empty: bool) -> bool {
        let is_empty = self.splitter.last().is_none();
        self.splitter.is_inside_event() || is_cut_if_empty && is_empty
    }

    /// Sends bytes to the caller; returns whether that succeeded before the deadline.
    async fn send(&self, bytes: Bytes) -> bool {
        tokio::select! {
            sent = self.caller.send(Ok(Frame::data(bytes))) => sent.is_ok(),
            () = sleep_until(self.deadline) => false,
        }
    }
}

/// Returns the next data frame of a body and skips trailers.
async fn next_bytes(body: &mut read_limit::Body) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Err(error) => return Some(Err(error)),
            Ok(frame) => {
                if let Ok(bytes) = frame.into_data() {
                    return Some(Ok(bytes));
                }
            }
        }
    }
}
