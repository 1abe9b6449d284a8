//! Passes a stream that may be resumed to a caller, and has it go on at another upstream of the
//! same weights where its upstream breaks off or falls silent.

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
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_answer_log::AnswerLog;
use crate::gateway_answer_log::Outcome;
use crate::gateway_attempt::UpstreamAnswer;
use crate::gateway_retry;
use crate::gateway_retry::FailedAttempt;
use crate::gateway_retry::Progress;
use crate::gateway_retry::may_move;
use coordination::retry::Reason;
use protocol::event_stream::Splitter;
use transport::event;
use transport::event::Event;
use transport::http::Body;

/// Bounds the parts of an answer that wait for the caller.
const WAITING: usize = 16;
/// Gives the pause between events after which an upstream is left, as a multiple of the longest
/// pause that is on time; callers leave after eight times that.
const SILENT_GAPS: u32 = 3;
/// Gives the least such pause, which an engine needs to read a long prompt beside its runs.
const SILENT: Duration = Duration::from_millis(1_200);
/// Gives the time between two looks at whether a stream that pauses can go on elsewhere.
const LOOK: Duration = Duration::from_millis(200);

type Part = Result<Frame<Bytes>, io::Error>;

/// Tells how the stream of one upstream ended.
enum End {
    /// Means that the upstream did not complete it.
    Broken(Reason),
    /// Means that the caller is gone.
    Caller,
    /// Means that the stream is complete.
    Complete,
    /// Means that the caller has no time left.
    Deadline,
}

struct Pump {
    answer_log: AnswerLog,
    caller: mpsc::Sender<Part>,
    context: Arc<Context>,
    gateway: Arc<Gateway>,
    routed: RoutedRequest,
    splitter: Splitter,
    until: Instant,
}

/// Passes the stream of `answered` on, and returns the response with its head.
pub fn start(
    context: &Arc<Context>,
    gateway: &Arc<Gateway>,
    routed: RoutedRequest,
    progress: Progress,
    answered: UpstreamAnswer,
    answer_log: AnswerLog,
) -> Response<Body> {
    let (caller, parts) = mpsc::channel::<Part>(WAITING);
    let left = Duration::from_millis(routed.left_ms(context.clock.now()));
    let head = answered.returned_head();
    let pump = Pump {
        answer_log,
        caller,
        context: context.clone(),
        gateway: gateway.clone(),
        splitter: Splitter::new(routed.resume_after),
        routed,
        until: Instant::now() + left,
    };
    tokio::spawn(pump.run(progress, answered));
    let parts = stream::unfold(parts, |mut parts| async {
        let part = parts.recv().await?;
        Some((part, parts))
    });
    Response::from_parts(head, Body::new(StreamBody::new(parts.boxed())))
}

impl Pump {
    async fn run(mut self, mut progress: Progress, mut answered: UpstreamAnswer) {
        let weights = answered.choice.weights;
        loop {
            let upstream = answered.choice.upstream.id.clone();
            progress.exact_weights = weights;
            let reason = match self.pass(&progress, answered).await {
                End::Caller => return self.give_up(Outcome::Left).await,
                End::Complete => return self.answer_log.set_outcome(Outcome::Whole),
                End::Deadline => return self.give_up(Outcome::Deadline).await,
                End::Broken(reason) => reason,
            };
            self.splitter.restart();
            self.routed.resume_after = self.splitter.last();
            let failed_attempt = FailedAttempt {
                may_have_run: true,
                reason,
                upstream,
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
                "request" => self.routed.facts.id.clone(),
                "reason" => reason.to_string(),
                "after" => self.routed.resume_after,
                "resumed" => next.is_some(),
            );
            event::emit(&self.context.log, Event::StreamBroken, details);
            answered = match next {
                None => return self.give_up(Outcome::Cut).await,
                Some(next) => next,
            };
            self.answer_log.record_resumption(&answered);
        }
    }

    /// Ends the caller's connection without an end mark, so that the answer does not look complete.
    async fn give_up(&mut self, outcome: Outcome) {
        self.answer_log.set_outcome(outcome);
        let error = io::Error::from(io::ErrorKind::UnexpectedEof);
        let _ = self.caller.send(Err(error)).await;
    }

    async fn pass(&mut self, progress: &Progress, answered: UpstreamAnswer) -> End {
        let upstream = answered.choice.upstream.id.clone();
        let (mut body, connection, keep, in_flight) = answered.into_stream();
        let gap = Duration::from_millis(self.routed.route.max_event_gap_ms);
        let silent = SILENT.max(gap * SILENT_GAPS);
        let mut pause = silent;
        loop {
            let frame = tokio::select! {
                frame = next(&mut body) => frame,
                () = tokio::time::sleep(pause) => {
                    pause = LOOK;
                    let (context, gateway) = (&self.context, &self.gateway);
                    if !may_move(context, gateway, &self.routed, progress, &upstream) {
                        continue;
                    }
                    let now = context.clock.now();
                    gateway.dispatcher().record_failure(now, &in_flight.run);
                    return End::Broken(Reason::Idle);
                }
                () = sleep_until(self.until) => return End::Deadline,
                () = self.caller.closed() => return End::Caller,
            };
            pause = silent;
            let now = self.context.clock.now();
            let bytes = match frame {
                None => {
                    self.gateway.dispatcher().record_success(&in_flight.run);
                    let rest = self.splitter.finish();
                    if let Some(idle) = keep {
                        tokio::spawn(connection.release(idle));
                    }
                    return match rest.is_empty() || self.send(rest).await {
                        false => End::Caller,
                        true => End::Complete,
                    };
                }
                Some(Err(_)) => {
                    self.gateway
                        .dispatcher()
                        .record_failure(now, &in_flight.run);
                    return End::Broken(Reason::Cut);
                }
                Some(Ok(bytes)) => bytes,
            };
            self.gateway.dispatcher().record_byte(now, &in_flight.run);
            let whole = self.splitter.push(&bytes);
            if !whole.is_empty() && !self.send(whole).await {
                return End::Caller;
            }
        }
    }

    async fn send(&self, bytes: Bytes) -> bool {
        tokio::select! {
            sent = self.caller.send(Ok(Frame::data(bytes))) => sent.is_ok(),
            () = sleep_until(self.until) => false,
        }
    }
}

/// Returns the next bytes of a body.
async fn next(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
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
