//! Buffering of whole answers, with a bound on the bytes that all of them take at once.

use bytes::Bytes;
use hyper::body::Body;

use crate::budget::Budget;
use coordination::door::reserve::Reserve;
use transport::whole_body;
use transport::whole_body::Error;

/// Size limit of one buffered answer, in bytes.
pub const ANSWER_LIMIT_BYTES: usize = 1 << 20;
/// Bytes of each answer that need no share of the common bound. Answers of services are shorter, so
/// that those of a faulty upstream cannot crowd them out.
pub const FREE_BYTES: usize = 64 << 10;
/// Bytes beyond [`FREE_BYTES`] that all answers together may take.
pub const SHARED_BYTES: usize = 16 << 20;

/// Buffers answers within a common bound; clones share it.
#[derive(Clone, Debug)]
pub struct AnswerBuffer(Budget);

impl Default for AnswerBuffer {
    fn default() -> Self {
        Self(Budget::new(SHARED_BYTES, Reserve::none(SHARED_BYTES)))
    }
}

impl AnswerBuffer {
    /// Returns the bytes of `body`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off, or is longer than one answer may be or than the
    /// common bound leaves room for.
    pub async fn collect<B>(&self, body: B) -> Result<Bytes, Error>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut share = self.0.share();
        let mut total = 0;
        let grow = |count: usize| {
            let before = total;
            total += count;
            let shared = total.saturating_sub(before.max(FREE_BYTES));
            total <= ANSWER_LIMIT_BYTES && (shared == 0 || share.grow(shared))
        };
        whole_body::collect(body, grow).await
    }
}
