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
use hyper::body::SizeHint;
use tokio::time::Sleep;

use crate::context::Context;
use crate::gateway_answer_log::AnswerLog;
use crate::gateway_answer_log::Outcome;
use crate::gateway_attempt::InFlightGuard;
use crate::gateway_attempt::UpstreamAnswer;
use crate::gateway_crash::Exposure;
use protocol::event_stream::Position;
use state::time::Instant;
use transport::connection_pool::PooledConnection;
use transport::read_limit;

/// The body of an upstream's answer, as it is forwarded to the caller.
pub struct ForwardedBody {
    answer_log: AnswerLog,
    context: Arc<Context>,
    body: read_limit::Body,
    connection: Option<(PooledConnection, Option<Duration>)>,
    began_at: Instant,
    deadline_timer: Pin<Box<Sleep>>,
    exposure: Exposure,
    has_data: bool,
    is_cut_if_empty: bool,
    /// Error with which reads fail, once the upstream has broken off the body.
    error: Option<io::Error>,
    /// Whether a read has waited for the server to flush what was forwarded before the error.
    flushed: bool,
    in_flight: InFlightGuard,
    position: Position,
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
        let is_cut_if_empty = answered.is_cut_if_empty();
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
            is_cut_if_empty,
            error: None,
            flushed: false,
            in_flight,
            position: Position::default(),
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

    /// Records that the upstream broke off the body, and returns the error.
    fn cut(&mut self, error: io::Error) -> io::Error {
        let now = self.context.clock.now();
        let gateway = self.in_flight.gateway();
        gateway
            .dispatcher()
            .record_failure(now, &self.in_flight.handle);
        self.answer_log.set_outcome(Outcome::Cut);
        self.check_for_crash(now.since(self.began_at));
        error
    }

    /// Fails the read of a body that was broken off, once the server has flushed what was
    /// forwarded; it drops that when a read fails.
    fn poll_error(
        &mut self,
        task: &Task<'_>,
        error: io::Error,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.flushed {
            return Poll::Ready(Some(Err(error)));
        }
        self.flushed = true;
        self.error = Some(error);
        task.waker().wake_by_ref();
        Poll::Pending
    }

    /// Returns the part of a frame that is forwarded: all of it, unless the body ends with it
    /// inside an event or the event is too long. With such a frame, a body of known length might
    /// look complete to the caller.
    fn forwarded(&mut self, frame: Frame<Bytes>) -> Frame<Bytes> {
        let mut data = match frame.into_data() {
            Err(trailers) => return trailers,
            Ok(data) => data,
        };
        let mut whole_events_len = 0;
        for (index, byte) in data.iter().enumerate() {
            if self.position.advance(*byte) {
                whole_events_len = index + 1;
            }
        }
        let is_end = self.body.is_end_stream();
        if self.position.is_event_too_long() {
            self.error = Some(self.cut(io::ErrorKind::InvalidData.into()));
            data.truncate(whole_events_len);
        } else if is_end && self.position.is_inside_event() {
            self.error = Some(self.cut(io::ErrorKind::UnexpectedEof.into()));
            data.truncate(whole_events_len);
        } else if is_end {
            self.complete();
        }
        Frame::data(data)
    }

    /// Records that the body is complete, and keeps the connection for later requests.
    fn complete(&mut self) {
        self.answer_log.set_outcome(Outcome::Whole);
        let gateway = self.in_flight.gateway();
        gateway.dispatcher().record_success(&self.in_flight.handle);
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
        if let Some(error) = self.error.take() {
            return self.poll_error(task, error);
        }
        match Pin::new(&mut self.body).poll_frame(task) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None)
                if self.position.is_inside_event() || self.is_cut_if_empty && !self.has_data =>
            {
                let error = self.cut(io::ErrorKind::UnexpectedEof.into());
                self.poll_error(task, error)
            }
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                let error = self.cut(io::Error::other(error));
                self.poll_error(task, error)
            }
            Poll::Ready(Some(Ok(frame))) => {
                let now = self.context.clock.now();
                let gateway = self.in_flight.gateway().clone();
                gateway
                    .dispatcher()
                    .record_byte(now, &self.in_flight.handle);
                self.has_data |= frame.is_data();
                Poll::Ready(Some(Ok(self.forwarded(frame))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
