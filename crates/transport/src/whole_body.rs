//! Reads the whole body of an answer into memory.

use std::error;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

/// Reason why a body was not read to its end.
#[derive(Debug, Error)]
pub enum Error {
    /// The body broke off.
    #[error("the body broke off: {0}")]
    Broken(Box<dyn error::Error + Send + Sync>),
    /// The body is longer than allowed.
    #[error("the body is too long")]
    TooLong,
}

/// Returns the bytes of `body`. `grow` is asked for each further part, with its length in bytes,
/// whether it may be kept.
///
/// The parts are copied together: each of them keeps the whole buffer that it was read into, and a
/// body may consist of parts of a single byte.
///
/// # Errors
///
/// Returns an error if the body breaks off or `grow` forbids a part.
pub async fn collect<B>(body: B, mut grow: impl FnMut(usize) -> bool) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Broken(error.into()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !grow(data.len()) {
            return Err(Error::TooLong);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Returns the bytes of `body`, at most `limit`.
///
/// # Errors
///
/// Returns an error if the body breaks off or is longer.
pub async fn collect_limited<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let mut left = limit;
    let grow = |count: usize| {
        let rest = left.checked_sub(count);
        left = rest.unwrap_or_default();
        rest.is_some()
    };
    collect(body, grow).await
}
