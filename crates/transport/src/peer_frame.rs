//! Frames between daemons: bounded, authenticated, in order and bound to one direction.

use std::io;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::metric;
use crate::peer_key::Key;
use crate::peer_key::TAG_BYTES;
use crate::peer_key::Tag;

/// Bounds a frame, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 8 << 20;

const PURPOSE: &str = "frame";

/// Tells why a connection between daemons broke.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports a frame that is no message.
    #[error("a peer's frame cannot be read: {0}")]
    Form(#[from] postcard::Error),
    /// Reports a connection that failed or a frame over the size limit.
    #[error("the connection to a peer failed: {0}")]
    Io(#[from] io::Error),
    /// Reports a frame that was changed, repeated, left out or made by someone else.
    #[error("frame {counter} from a peer is not authentic; the connection is closed")]
    Tag {
        /// Gives the number of frames before it.
        counter: u64,
    },
}

/// Returns the codec that splits a stream of bytes into bounded frames.
pub fn lengths(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit)
        .new_codec()
}

/// Counts what passed over a connection.
#[derive(Clone, Debug, Default)]
pub struct Count {
    received: Arc<AtomicU64>,
}

impl Count {
    /// Returns how many frames were received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Seals and opens the frames of one end of a connection.
#[derive(Debug)]
pub struct Codec<Out, In> {
    count: Count,
    inbound: Key,
    lengths: LengthDelimitedCodec,
    messages: PhantomData<fn(Out) -> In>,
    outbound: Key,
    received: u64,
    sent: u64,
}

impl<Out, In> Codec<Out, In> {
    /// Returns a codec that opens with `inbound` and seals with `outbound`.
    pub fn new(inbound: Key, outbound: Key) -> Self {
        Self {
            count: Count::default(),
            inbound,
            lengths: lengths(FRAME_LIMIT_BYTES),
            messages: PhantomData,
            outbound,
            received: 0,
            sent: 0,
        }
    }

    /// Returns the counts of this connection.
    pub fn count(&self) -> Count {
        self.count.clone()
    }
}

impl<Out, In: DeserializeOwned> Decoder for Codec<Out, In> {
    type Error = Error;
    type Item = In;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<In>, Error> {
        let Some(frame) = self.lengths.decode(bytes)? else {
            return Ok(None);
        };
        let counter = self.received;
        let Some((tag, body)) = frame.split_first_chunk::<TAG_BYTES>() else {
            return Err(Error::Tag { counter });
        };
        let expected = self.inbound.tag(PURPOSE, &[&counter.to_le_bytes(), body]);
        if Tag(*tag) != expected {
            return Err(Error::Tag { counter });
        }
        self.received += 1;
        self.count.received.fetch_add(1, Ordering::Relaxed);
        metrics::counter!(metric::PEER_RECEIVED_BYTES).increment(frame.len() as u64);
        Ok(Some(postcard::from_bytes(body)?))
    }
}

impl<Out: Serialize, In> Encoder<Out> for Codec<Out, In> {
    type Error = Error;

    fn encode(&mut self, message: Out, bytes: &mut BytesMut) -> Result<(), Error> {
        let body = postcard::to_stdvec(&message)?;
        let counter = self.sent.to_le_bytes();
        let Tag(tag) = self.outbound.tag(PURPOSE, &[&counter, &body]);
        let mut frame = BytesMut::with_capacity(TAG_BYTES + body.len());
        frame.extend_from_slice(&tag);
        frame.extend_from_slice(&body);
        metrics::counter!(metric::PEER_SENT_BYTES).increment(frame.len() as u64);
        self.lengths.encode(Bytes::from(frame), bytes)?;
        self.sent += 1;
        Ok(())
    }
}
