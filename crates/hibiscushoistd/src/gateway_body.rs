//! Response body that forwards a stream from an upstream to a caller frame by frame, without
//! resumption.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context as Task;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Sleep;

use crate::context::Context;
use crate::gateway_answer_log::AnswerLog;
use crate::gateway_answer_log::Outcome;
use crate::gateway_attempt::InFlightGuard;
use crate::gateway_attempt::UpstreamAnswer;
use crate::gateway_crash::Exposure;
use state::time::Instant;
use transport::connection_pool::PooledConnection;

/// The body of an upstream's answer, as it is forwarded to the caller.
pub struct ForwardedBody {
    answer_log: AnswerLog,
    context: Arc<Context>,
    body: Incoming,
    connection: Option<(PooledConnection, Option<Duration>)>,
    began_at: Instant,
    deadline_timer: Pin<Box<Sleep>>,
    exposure: Exposure,
    has_data: bool,
    in_flight: InFlightGuard,
}

impl ForwardedBody {
    /// Returns the body of `answered`; reading it fails with a timeout after `deadline`. The answer
    /// counts for or against the parts of `exposure`.
    pub fn new(
        context: &Arc<Context>,
        answered: UpstreamAnswer,
        deadline: Instant,
        answer_log: AnswerLog,
        exposure: Exposure,
    ) -> Self {
        let now = context.clock.now();
        let left = deadline.since(now);
        let (body, connection, idle_limit, in_flight) = answered.into_stream();
        Self {
            answer_log,
            context: context.clone(),
            body,
            connection: Some((connection, idle_limit)),
            began_at: now,
            deadline_timer: Box::pin(tokio::time::sleep(Duration::from_millis(left))),
            exposure,
            has_data: false,
            in_flight,
        }
    }

    /// Checks in the background whether the engine crashed.
    fn check_for_crash(&self, streamed_ms: u64) {
        let (context, exposure) = (self.context.clone(), self.exposure.clone());
        let gateway = self.in_flight.gateway().clone();
        tokio::spawn(async move {
            exposure.record_break(&context, &gateway, streamed_ms).await;
        });
    }

    /// Records that the body is complete, and keeps the connection for later requests.
    fn complete(&mut self) {
        self.answer_log.set_outcome(Outcome::Whole);
        match self.has_data {
            false => self.check_for_crash(0),
            true => self
                .exposure
                .record_whole(&self.context, self.in_flight.gateway()),
        }
        if let Some((connection, Some(idle))) = self.connection.take() {
            tokio::spawn(connection.release(idle));
        }
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Task<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.deadline_timer.poll_unpin(task).is_ready() {
            self.answer_log.set_outcome(Outcome::Deadline);
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        match Pin::new(&mut self.body).poll_frame(task) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                let now = self.context.clock.now();
                let gateway = self.in_flight.gateway().clone();
                gateway
                    .dispatcher()
                    .record_failure(now, &self.in_flight.handle);
                self.answer_log.set_outcome(Outcome::Cut);
                self.check_for_crash(now.since(self.began_at));
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                let now = self.context.clock.now();
                let gateway = self.in_flight.gateway().clone();
                gateway
                    .dispatcher()
                    .record_byte(now, &self.in_flight.handle);
                self.has_data |= frame.is_data();
                if self.body.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
