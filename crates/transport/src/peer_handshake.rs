//! Mutual authentication of two daemons of one fleet when a connection opens.
//!
//! The client sends a hello with a tag under each of its keys, the server answers with a welcome
//! under the first key that both hold. Both derive a session key for each direction from that key
//! and the two messages.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::peer_frame;
use crate::peer_frame::Codec;
use crate::peer_key::Key;
use crate::peer_key::Keyring;
use crate::peer_key::Tag;
use protocol::peer::VERSION;

/// Maximum size of a handshake message, which is read before the peer is authenticated.
const MAX_MESSAGE_BYTES: usize = 1 << 10;
/// The purposes keep tags and session keys of different uses apart.
const HELLO_PURPOSE: &str = "hello";
const NONCE_BYTES: usize = 32;
const TO_CLIENT_PURPOSE: &str = "to client";
const TO_SERVER_PURPOSE: &str = "to server";
const WELCOME_PURPOSE: &str = "welcome";

/// Name of a daemon among its peers, and the keys that prove that it belongs to the fleet.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the host.
    pub host: String,
    /// Keys of the fleet.
    pub keys: Keyring,
}

/// Reason why a server refused an authenticated client; sent to the client.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Refusal {
    /// The client belongs to another fleet.
    #[error("the peer belongs to fleet `{expected}`, not `{found}`")]
    Fleet {
        /// Fleet of the server.
        expected: String,
        /// Fleet of the client.
        found: String,
    },
    /// The client uses another version of the peer protocol.
    #[error("the peer speaks version {expected}, not {found}")]
    Version {
        /// Protocol version of the server.
        expected: u32,
        /// Protocol version of the client.
        found: u32,
    },
}

/// Reason why a handshake failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A handshake message cannot be encoded or decoded.
    #[error("cannot encode or decode a handshake message: {0}")]
    Encoding(#[from] postcard::Error),
    /// The connection failed or was closed; a server closes it when the client has no shared key.
    #[error("the peer closed the handshake or cannot be reached: {0}")]
    Io(#[from] io::Error),
    /// The peer did not prove any key that this daemon holds.
    #[error("the peer holds no key of this fleet; compare `key` and `previous_key`")]
    NoSharedKey,
    /// The server authenticated the client and refused it.
    #[error("{0}")]
    Refused(#[from] Refusal),
    /// The handshake took longer than allowed.
    #[error("the peer did not finish the handshake within {limit:?}")]
    Timeout {
        /// Time allowed for the handshake.
        limit: Duration,
    },
}

/// First message, from the client.
#[derive(Deserialize, Serialize)]
struct Hello {
    fleet: String,
    host: String,
    nonce: [u8; NONCE_BYTES],
    version: u32,
}

/// An encoded [`Hello`] with a tag under each key of the client.
#[derive(Deserialize, Serialize)]
struct TaggedHello {
    body: Vec<u8>,
    tags: Vec<Tag>,
}

/// Answer of the server, which accepts or refuses the client.
#[derive(Deserialize, Serialize)]
struct Welcome {
    host: String,
    nonce: [u8; NONCE_BYTES],
    refusal: Option<Refusal>,
}

/// An encoded [`Welcome`], the index of the client's key that both share, and a tag under it.
#[derive(Deserialize, Serialize)]
struct TaggedWelcome {
    body: Vec<u8>,
    key_index: u8,
    tag: Tag,
}

/// Connection to an authenticated peer.
#[derive(Debug)]
pub struct Connection<Out, In> {
    /// Authenticated messages to and from the peer.
    pub frames: Framed<TcpStream, Codec<Out, In>>,
    /// Name of the host at the other end.
    pub host: String,
}

type HandshakeFrames = Framed<TcpStream, LengthDelimitedCodec>;

/// Performs the handshake on the client's side, within `limit`.
///
/// # Errors
///
/// Returns an error when the peer closes the connection, shares no key, refuses the client or takes
/// too long.
pub async fn connect<Out, In>(
    stream: TcpStream,
    identity: &Identity,
    limit: Duration,
) -> Result<Connection<Out, In>, Error>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    timeout(limit, client_handshake(stream, identity))
        .await
        .map_err(|_| Error::Timeout { limit })?
}

/// Performs the handshake on the server's side, within `limit`.
///
/// # Errors
///
/// Returns an error when the client shares no key, has another fleet or protocol version, or takes
/// too long. A client without a shared key gets no answer.
pub async fn accept<Out, In>(
    stream: TcpStream,
    identity: &Identity,
    limit: Duration,
) -> Result<Connection<Out, In>, Error>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    timeout(limit, server_handshake(stream, identity))
        .await
        .map_err(|_| Error::Timeout { limit })?
}

async fn client_handshake<Out, In>(
    stream: TcpStream,
    identity: &Identity,
) -> Result<Connection<Out, In>, Error>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    let mut frames = handshake_frames(stream)?;
    let hello = postcard::to_stdvec(&Hello {
        fleet: identity.fleet.clone(),
        host: identity.host.clone(),
        nonce: rand::random(),
        version: VERSION,
    })?;
    let keys: Vec<&Key> = identity.keys.iter().collect();
    let tags = keys
        .iter()
        .map(|key| key.tag(HELLO_PURPOSE, &[&hello]))
        .collect();
    let body = hello.clone();
    send(&mut frames, &TaggedHello { body, tags }).await?;
    let tagged: TaggedWelcome = receive(&mut frames).await?;
    let key = *keys
        .get(usize::from(tagged.key_index))
        .ok_or(Error::NoSharedKey)?;
    if key.tag(WELCOME_PURPOSE, &[&hello, &tagged.body]) != tagged.tag {
        return Err(Error::NoSharedKey);
    }
    let welcome: Welcome = postcard::from_bytes(&tagged.body)?;
    if let Some(refusal) = welcome.refusal {
        return Err(refusal.into());
    }
    let transcript = [hello.as_slice(), tagged.body.as_slice()];
    let inbound = key.derive(TO_CLIENT_PURPOSE, &transcript);
    let outbound = key.derive(TO_SERVER_PURPOSE, &transcript);
    Ok(Connection {
        frames: authenticate_frames(frames, inbound, outbound),
        host: welcome.host,
    })
}

async fn server_handshake<Out, In>(
    stream: TcpStream,
    identity: &Identity,
) -> Result<Connection<Out, In>, Error>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    let mut frames = handshake_frames(stream)?;
    let tagged: TaggedHello = receive(&mut frames).await?;
    let (index, key) = find_shared_key(&tagged, identity).ok_or(Error::NoSharedKey)?;
    let hello: Hello = postcard::from_bytes(&tagged.body)?;
    let refusal = check_compatibility(&hello, identity);
    let body = postcard::to_stdvec(&Welcome {
        host: identity.host.clone(),
        nonce: rand::random(),
        refusal: refusal.clone(),
    })?;
    let tag = key.tag(WELCOME_PURPOSE, &[&tagged.body, &body]);
    let transcript = [tagged.body.as_slice(), body.as_slice()];
    let inbound = key.derive(TO_SERVER_PURPOSE, &transcript);
    let outbound = key.derive(TO_CLIENT_PURPOSE, &transcript);
    let answer = TaggedWelcome {
        body,
        key_index: index,
        tag,
    };
    send(&mut frames, &answer).await?;
    if let Some(refusal) = refusal {
        return Err(refusal.into());
    }
    Ok(Connection {
        frames: authenticate_frames(frames, inbound, outbound),
        host: hello.host,
    })
}

/// Returns the client's first key that this daemon holds too, and its index in the hello.
fn find_shared_key<'a>(tagged: &TaggedHello, identity: &'a Identity) -> Option<(u8, &'a Key)> {
    let expected_tags: Vec<(&Key, Tag)> = identity
        .keys
        .iter()
        .map(|key| (key, key.tag(HELLO_PURPOSE, &[&tagged.body])))
        .collect();
    for (index, tag) in tagged
        .tags
        .iter()
        .take(expected_tags.len().max(2))
        .enumerate()
    {
        if let Some((key, _)) = expected_tags.iter().find(|(_, expected)| expected == tag) {
            return Some((index as u8, key));
        }
    }
    None
}

/// Returns a refusal if the client belongs to another fleet or uses another protocol version.
fn check_compatibility(hello: &Hello, identity: &Identity) -> Option<Refusal> {
    if hello.fleet != identity.fleet {
        return Some(Refusal::Fleet {
            expected: identity.fleet.clone(),
            found: hello.fleet.clone(),
        });
    }
    (hello.version != VERSION).then_some(Refusal::Version {
        expected: VERSION,
        found: hello.version,
    })
}

fn handshake_frames(stream: TcpStream) -> Result<HandshakeFrames, Error> {
    stream.set_nodelay(true)?;
    Ok(Framed::new(
        stream,
        peer_frame::length_codec(MAX_MESSAGE_BYTES),
    ))
}

async fn receive<T: DeserializeOwned>(frames: &mut HandshakeFrames) -> Result<T, Error> {
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let frame = frames.next().await.ok_or_else(closed)??;
    Ok(postcard::from_bytes(&frame)?)
}

/// Switches a connection to authenticated frames, and keeps bytes that were read already.
fn authenticate_frames<Out, In>(
    frames: HandshakeFrames,
    inbound: Key,
    outbound: Key,
) -> Framed<TcpStream, Codec<Out, In>>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    let parts = frames.into_parts();
    let mut authenticated = Framed::new(parts.io, Codec::new(inbound, outbound)).into_parts();
    authenticated.read_buf = parts.read_buf;
    Framed::from_parts(authenticated)
}

async fn send<T: Serialize>(frames: &mut HandshakeFrames, message: &T) -> Result<(), Error> {
    let frame = postcard::to_stdvec(message)?;
    frames.send(Bytes::from(frame)).await?;
    Ok(())
}
