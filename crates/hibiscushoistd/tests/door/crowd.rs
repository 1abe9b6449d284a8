//! Crowds of callers that stay within the limits of a request, and still do not behave.

use std::io;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::BODY_BYTES;
use super::CONNECTIONS;
use super::Door;
use super::HEADER_BYTES;

/// Callers of a crowd, more than the daemon takes connections.
const CALLERS: usize = CONNECTIONS * 3 / 2;
/// Times that a caller connects again after its connection was closed.
const RETURNS: usize = 5;
/// Requests that are sent ahead over one connection.
const AHEAD: usize = 4_000;
/// Length of a small piece of a body, in bytes.
const PIECE_BYTES: usize = 1 << 10;
/// Bytes of a body that stops just short; a few of them fill the bound on all bodies.
const SHORT_BYTES: usize = BODY_BYTES / 2;
/// Length of a chunk of a body, in bytes.
const CHUNK_BYTES: usize = 64;
/// Pause after each byte of a slow caller.
const SLOW_PAUSE: Duration = Duration::from_millis(250);
/// Size of the receive buffer of a caller that reads slowly or not at all.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// What a crowd does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Sends many requests ahead and reads no answer.
    Ahead,
    /// Sends a body in short chunks, and stops before its last one.
    Chunks,
    /// Sends a header of very many short fields, and stops before the end of its body.
    Fields,
    /// Stops in the middle of a header.
    HalfHeader,
    /// Sends bodies far over the limit, with a length and in chunks.
    Long,
    /// Sends a body in one piece, and stops one byte before its end.
    Short,
    /// Reads its answers a byte at a time.
    SlowReader,
    /// Sends a body a byte at a time.
    SlowSender,
    /// Sends a body in small pieces, and stops one byte before its end.
    SmallPieces,
    /// Sends whole bodies in one piece.
    Whole,
}

/// Callers that stay until this is dropped.
pub struct Crowd(#[allow(dead_code)] JoinSet<()>);

impl Crowd {
    /// Sends a crowd to a door.
    pub fn start(kind: Kind, door: &Door) -> Self {
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let door = door.clone();
            callers.spawn(async move {
                for _ in 0..RETURNS {
                    let _ = misbehave(kind, &door, number).await;
                }
            });
        }
        Self(callers)
    }
}

/// Sends what the kind asks for, and stays until the daemon closes the connection.
async fn misbehave(kind: Kind, door: &Door, number: usize) -> io::Result<()> {
    let stream = match kind {
        Kind::Ahead | Kind::SlowReader => {
            let socket = TcpSocket::new_v4()?;
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
            socket.connect(door.address).await?
        }
        _ => TcpStream::connect(door.address).await?,
    };
    let (mut reader, mut writer) = stream.into_split();
    let reading = async {
        let mut byte = [0];
        match kind {
            Kind::Ahead => std::future::pending().await,
            Kind::SlowReader => {
                while reader.read(&mut byte).await? > 0 {
                    tokio::time::sleep(SLOW_PAUSE).await;
                }
            }
            _ => {
                tokio::io::copy(&mut reader, &mut tokio::io::sink()).await?;
            }
        }
        Ok(())
    };
    let writing = async {
        send(kind, door, number, &mut writer).await?;
        std::future::pending().await
    };
    tokio::select! {
        ended = reading => ended,
        ended = writing => ended,
    }
}

async fn send(
    kind: Kind,
    door: &Door,
    number: usize,
    writer: &mut (impl AsyncWriteExt + Unpin),
) -> io::Result<()> {
    let counted = |length: usize| head(door, &format!("content-length: {length}\r\n"));
    let body = vec![b'x'; BODY_BYTES - 1];
    match kind {
        Kind::Ahead | Kind::SlowReader => {
            let request = door.repeated.as_bytes();
            for _ in 0..AHEAD {
                writer.write_all(request).await?;
            }
        }
        Kind::Chunks => {
            writer.write_all(&chunked(door)).await?;
            let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
            for _ in 0..BODY_BYTES / CHUNK_BYTES - 1 {
                writer.write_all(chunk.as_bytes()).await?;
            }
        }
        Kind::Fields => {
            let fields = fields(HEADER_BYTES - counted(BODY_BYTES).len());
            let length = format!("{fields}content-length: {BODY_BYTES}\r\n");
            writer.write_all(&head(door, &length)).await?;
        }
        Kind::HalfHeader => {
            let whole = head(door, &format!("x: {}", "y".repeat(HEADER_BYTES / 2)));
            writer.write_all(&whole[..whole.len() - 4]).await?;
        }
        Kind::Long if number.is_multiple_of(2) => {
            writer.write_all(&counted(64 * BODY_BYTES)).await?;
            loop {
                writer.write_all(&body).await?;
            }
        }
        Kind::Long => {
            writer.write_all(&chunked(door)).await?;
            loop {
                let size = format!("{:x}\r\n", body.len());
                writer.write_all(size.as_bytes()).await?;
                writer.write_all(&body).await?;
                writer.write_all(b"\r\n").await?;
            }
        }
        Kind::Short => {
            let sent = &body[..SHORT_BYTES];
            let begun = counted(SHORT_BYTES + 1);
            writer.write_all(&[&begun, sent].concat()).await?;
        }
        Kind::SlowSender => {
            writer.write_all(&counted(BODY_BYTES)).await?;
            writer.write_all(&body[..BODY_BYTES / 2]).await?;
            loop {
                writer.write_all(b"x").await?;
                tokio::time::sleep(SLOW_PAUSE).await;
            }
        }
        Kind::SmallPieces => {
            writer.write_all(&counted(BODY_BYTES)).await?;
            for piece in body.chunks(PIECE_BYTES) {
                writer.write_all(piece).await?;
                tokio::task::yield_now().await;
            }
        }
        Kind::Whole => {
            writer
                .write_all(&[counted(body.len()), body].concat())
                .await?;
        }
    }
    Ok(())
}

/// Length of a field of [`fields`], in bytes.
const FIELD_BYTES: usize = "a000:\r\n".len();

/// Returns different header fields with as many bytes together at most.
pub fn fields(bytes: usize) -> String {
    let field = |number| format!("a{number:03x}:\r\n");
    (0..bytes / FIELD_BYTES).map(field).collect()
}

fn chunked(door: &Door) -> Vec<u8> {
    head(door, "transfer-encoding: chunked\r\n")
}

fn head(door: &Door, fields: &str) -> Vec<u8> {
    let (path, headers) = (door.path, &door.headers);
    format!("POST {path} HTTP/1.1\r\n{headers}{fields}\r\n").into_bytes()
}
