//! Frames between daemons: limited in size, authenticated, ordered and bound to one direction.

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

/// Maximum size of a frame with its tag, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Separates the tags of frames from other uses of a key.
const FRAME_PURPOSE: &str = "frame";

/// Reason why a connection between daemons broke.
#[derive(Debug, Error)]
pub enum Error {
    /// A message cannot be encoded, or a frame does not decode to a message.
    #[error("cannot encode or decode a message between peers: {0}")]
    Encoding(#[from] postcard::Error),
    /// The connection failed, or a frame exceeds [`MAX_FRAME_BYTES`].
    #[error("the connection to a peer failed: {0}")]
    Io(#[from] io::Error),
    /// A frame was changed, replayed, left out or forged.
    #[error("frame {frame_number} from a peer is not authentic; the connection is closed")]
    NotAuthentic {
        /// Number of frames received before it.
        frame_number: u64,
    },
}

/// Returns the codec that splits a stream of bytes into frames of at most `limit` bytes.
pub fn length_codec(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit)
        .new_codec()
}

/// Shared counter of the frames received on a connection.
#[derive(Clone, Debug, Default)]
pub struct FrameCounter {
    received: Arc<AtomicU64>,
}

impl FrameCounter {
    /// Returns the number of frames received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Codec of one end of a connection, which tags outbound frames and verifies inbound ones.
///
/// Each tag covers the number of the frame, so that a replayed or missing frame is detected.
#[derive(Debug)]
pub struct Codec<Out, In> {
    frame_counter: FrameCounter,
    inbound: Key,
    length_codec: LengthDelimitedCodec,
    messages: PhantomData<fn(Out) -> In>,
    outbound: Key,
    received: u64,
    sent: u64,
}

impl<Out, In> Codec<Out, In> {
    /// Returns a codec that verifies frames with `inbound` and tags them with `outbound`.
    pub fn new(inbound: Key, outbound: Key) -> Self {
        Self {
            frame_counter: FrameCounter::default(),
            inbound,
            length_codec: length_codec(MAX_FRAME_BYTES),
            messages: PhantomData,
            outbound,
            received: 0,
            sent: 0,
        }
    }

    /// Returns the counter of frames received on this connection.
    pub fn frame_counter(&self) -> FrameCounter {
        self.frame_counter.clone()
    }
}

impl<Out, In: DeserializeOwned> Decoder for Codec<Out, In> {
    type Error = Error;
    type Item = In;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<In>, Error> {
        let Some(frame) = self.length_codec.decode(bytes)? else {
            return Ok(None);
        };
        let frame_number = self.received;
        let Some((tag, body)) = frame.split_first_chunk::<TAG_BYTES>() else {
            return Err(Error::NotAuthentic { frame_number });
        };
        let expected = self
            .inbound
            .tag(FRAME_PURPOSE, &[&frame_number.to_le_bytes(), body]);
        if Tag(*tag) != expected {
            return Err(Error::NotAuthentic { frame_number });
        }
        self.received += 1;
        self.frame_counter.received.fetch_add(1, Ordering::Relaxed);
        metrics::counter!(metric::PEER_RECEIVED_BYTES).increment(frame.len() as u64);
        Ok(Some(postcard::from_bytes(body)?))
    }
}

impl<Out: Serialize, In> Encoder<Out> for Codec<Out, In> {
    type Error = Error;

    fn encode(&mut self, message: Out, bytes: &mut BytesMut) -> Result<(), Error> {
        let body = postcard::to_stdvec(&message)?;
        let frame_number = self.sent.to_le_bytes();
        let Tag(tag) = self.outbound.tag(FRAME_PURPOSE, &[&frame_number, &body]);
        let mut frame = BytesMut::with_capacity(TAG_BYTES + body.len());
        frame.extend_from_slice(&tag);
        frame.extend_from_slice(&body);
        metrics::counter!(metric::PEER_SENT_BYTES).increment(frame.len() as u64);
        self.length_codec.encode(Bytes::from(frame), bytes)?;
        self.sent += 1;
        Ok(())
    }
}
