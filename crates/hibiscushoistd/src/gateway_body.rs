//! Passes a stream of events from an upstream to a caller as it arrives.

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
use crate::gateway_account::Account;
use crate::gateway_account::Outcome;
use crate::gateway_attempt::Answered;
use crate::gateway_attempt::Underway;
use state::time::Instant;
use transport::lane::Lane;

/// Passes the body of an answer on.
pub struct Pass {
    account: Account,
    context: Arc<Context>,
    body: Incoming,
    end: Option<(Lane, Option<Duration>)>,
    late: Pin<Box<Sleep>>,
    underway: Underway,
}

impl Pass {
    /// Returns the body of an answer, which ends with an error at `deadline`.
    pub fn new(
        context: &Arc<Context>,
        answered: Answered,
        deadline: Instant,
        account: Account,
    ) -> Self {
        let left = deadline.since(context.clock.now());
        let (body, lane, keep, underway) = answered.into_stream();
        Self {
            account,
            context: context.clone(),
            body,
            end: Some((lane, keep)),
            late: Box::pin(tokio::time::sleep(Duration::from_millis(left))),
            underway,
        }
    }

    fn complete(&mut self) {
        self.account.end(Outcome::Whole);
        if let Some((lane, Some(idle))) = self.end.take() {
            tokio::spawn(lane.keep(idle));
        }
    }
}

impl Body for Pass {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Task<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.late.poll_unpin(task).is_ready() {
            self.account.end(Outcome::Deadline);
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
                let gateway = self.underway.gateway().clone();
                gateway.dispatch().record_failure(now, &self.underway.run);
                self.account.end(Outcome::Cut);
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                let now = self.context.clock.now();
                let gateway = self.underway.gateway().clone();
                gateway.dispatch().record_byte(now, &self.underway.run);
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
