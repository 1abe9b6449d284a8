//! The mutual handshake that opens a connection between two daemons of one fleet.

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

const FRAME_LIMIT_BYTES: usize = 1 << 10;
const HELLO: &str = "hello";
const NONCE_BYTES: usize = 32;
const TO_CLIENT: &str = "to client";
const TO_SERVER: &str = "to server";
const WELCOME: &str = "welcome";

/// Names a daemon to its peers and holds what proves that it belongs to the fleet.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Names the fleet.
    pub fleet: String,
    /// Names the host.
    pub host: String,
    /// Holds the fleet's keys.
    pub keys: Keyring,
}

/// Tells a client that shares a key why it was refused.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Refusal {
    /// Reports the name of another fleet.
    #[error("the peer belongs to fleet `{expected}`, not `{found}`")]
    Fleet {
        /// Names the fleet of the server.
        expected: String,
        /// Names the fleet of the client.
        found: String,
    },
    /// Reports a daemon whose messages have another form.
    #[error("the peer speaks version {expected}, not {found}")]
    Version {
        /// Gives the version of the server.
        expected: u32,
        /// Gives the version of the client.
        found: u32,
    },
}

/// Tells why a handshake failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports a handshake message that cannot be read.
    #[error("a peer's handshake cannot be read: {0}")]
    Form(#[from] postcard::Error),
    /// Reports a connection that failed or was closed, as servers do to clients without a key.
    #[error("the peer closed the handshake or cannot be reached: {0}")]
    Io(#[from] io::Error),
    /// Reports a peer that proves no key that this daemon holds.
    #[error("the peer holds no key of this fleet; compare `key` and `previous_key`")]
    Key,
    /// Reports a refusal by a server that shares a key.
    #[error("{0}")]
    Refused(#[from] Refusal),
    /// Reports a handshake that took too long.
    #[error("the peer did not finish the handshake within {limit:?}")]
    Timeout {
        /// Gives the time allowed.
        limit: Duration,
    },
}

#[derive(Deserialize, Serialize)]
struct Hello {
    fleet: String,
    host: String,
    nonce: [u8; NONCE_BYTES],
    version: u32,
}

#[derive(Deserialize, Serialize)]
struct SignedHello {
    body: Vec<u8>,
    tags: Vec<Tag>,
}

#[derive(Deserialize, Serialize)]
struct Welcome {
    host: String,
    nonce: [u8; NONCE_BYTES],
    refusal: Option<Refusal>,
}

#[derive(Deserialize, Serialize)]
struct SignedWelcome {
    body: Vec<u8>,
    key: u8,
    tag: Tag,
}

/// Carries messages to and from a peer that has proved its key.
#[derive(Debug)]
pub struct Connection<Out, In> {
    /// Carries the messages.
    pub frames: Framed<TcpStream, Codec<Out, In>>,
    /// Names the host at the other end.
    pub host: String,
}

type Raw = Framed<TcpStream, LengthDelimitedCodec>;

/// Opens a connection as its client.
///
/// # Errors
///
/// Returns an error when the peer cannot be reached, holds no key of the fleet or refuses.
pub async fn connect<Out, In>(
    stream: TcpStream,
    identity: &Identity,
    limit: Duration,
) -> Result<Connection<Out, In>, Error>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    timeout(limit, greet(stream, identity))
        .await
        .map_err(|_| Error::Timeout { limit })?
}

/// Opens a connection as its server.
///
/// # Errors
///
/// Returns an error when the client holds no key of the fleet, names another fleet or version, or
/// takes too long. A client without a key gets no answer.
pub async fn accept<Out, In>(
    stream: TcpStream,
    identity: &Identity,
    limit: Duration,
) -> Result<Connection<Out, In>, Error>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    timeout(limit, welcome(stream, identity))
        .await
        .map_err(|_| Error::Timeout { limit })?
}

async fn greet<Out, In>(
    stream: TcpStream,
    identity: &Identity,
) -> Result<Connection<Out, In>, Error>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    let mut raw = raw(stream)?;
    let hello = postcard::to_stdvec(&Hello {
        fleet: identity.fleet.clone(),
        host: identity.host.clone(),
        nonce: rand::random(),
        version: VERSION,
    })?;
    let keys: Vec<&Key> = identity.keys.iter().collect();
    let tags = keys.iter().map(|key| key.tag(HELLO, &[&hello])).collect();
    let body = hello.clone();
    send(&mut raw, &SignedHello { body, tags }).await?;
    let signed: SignedWelcome = receive(&mut raw).await?;
    let key = *keys.get(usize::from(signed.key)).ok_or(Error::Key)?;
    if key.tag(WELCOME, &[&hello, &signed.body]) != signed.tag {
        return Err(Error::Key);
    }
    let welcome: Welcome = postcard::from_bytes(&signed.body)?;
    if let Some(refusal) = welcome.refusal {
        return Err(refusal.into());
    }
    let transcript = [hello.as_slice(), signed.body.as_slice()];
    let inbound = key.derive(TO_CLIENT, &transcript);
    let outbound = key.derive(TO_SERVER, &transcript);
    Ok(Connection {
        frames: seal(raw, inbound, outbound),
        host: welcome.host,
    })
}

async fn welcome<Out, In>(
    stream: TcpStream,
    identity: &Identity,
) -> Result<Connection<Out, In>, Error>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    let mut raw = raw(stream)?;
    let signed: SignedHello = receive(&mut raw).await?;
    let (index, key) = agree(&signed, identity).ok_or(Error::Key)?;
    let hello: Hello = postcard::from_bytes(&signed.body)?;
    let refusal = judge(&hello, identity);
    let body = postcard::to_stdvec(&Welcome {
        host: identity.host.clone(),
        nonce: rand::random(),
        refusal: refusal.clone(),
    })?;
    let tag = key.tag(WELCOME, &[&signed.body, &body]);
    let transcript = [signed.body.as_slice(), body.as_slice()];
    let inbound = key.derive(TO_SERVER, &transcript);
    let outbound = key.derive(TO_CLIENT, &transcript);
    let answer = SignedWelcome {
        body,
        key: index,
        tag,
    };
    send(&mut raw, &answer).await?;
    if let Some(refusal) = refusal {
        return Err(refusal.into());
    }
    Ok(Connection {
        frames: seal(raw, inbound, outbound),
        host: hello.host,
    })
}

fn agree<'a>(signed: &SignedHello, identity: &'a Identity) -> Option<(u8, &'a Key)> {
    let mine: Vec<(&Key, Tag)> = identity
        .keys
        .iter()
        .map(|key| (key, key.tag(HELLO, &[&signed.body])))
        .collect();
    for (index, tag) in signed.tags.iter().take(mine.len().max(2)).enumerate() {
        if let Some((key, _)) = mine.iter().find(|(_, expected)| expected == tag) {
            return Some((index as u8, key));
        }
    }
    None
}

fn judge(hello: &Hello, identity: &Identity) -> Option<Refusal> {
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

fn raw(stream: TcpStream) -> Result<Raw, Error> {
    stream.set_nodelay(true)?;
    Ok(Framed::new(stream, peer_frame::lengths(FRAME_LIMIT_BYTES)))
}

async fn receive<T: DeserializeOwned>(raw: &mut Raw) -> Result<T, Error> {
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let frame = raw.next().await.ok_or_else(closed)??;
    Ok(postcard::from_bytes(&frame)?)
}

fn seal<Out, In>(raw: Raw, inbound: Key, outbound: Key) -> Framed<TcpStream, Codec<Out, In>>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    let parts = raw.into_parts();
    let mut sealed = Framed::new(parts.io, Codec::new(inbound, outbound)).into_parts();
    sealed.read_buf = parts.read_buf;
    Framed::from_parts(sealed)
}

async fn send<T: Serialize>(raw: &mut Raw, message: &T) -> Result<(), Error> {
    let frame = postcard::to_stdvec(message)?;
    raw.send(Bytes::from(frame)).await?;
    Ok(())
}
