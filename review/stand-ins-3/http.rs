//! A caller of HTTP/1.1 over a channel of its own or a kept one, and a server of fixed answers.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// An answer that arrived as a whole.
pub struct Answer {
    /// Body.
    pub body: String,
    /// Status.
    pub status: u16,
}

/// Returns a request with a length.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Sends a request over a new channel and reads the answer, all within `limit`.
pub fn ask(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Answer> {
    let began = Instant::now();
    let mut channel = TcpStream::connect_timeout(&address, limit)?;
    let left = limit.saturating_sub(began.elapsed());
    ask_over(&mut channel, request, left)
}

/// Sends a request over an open channel and reads the answer, all within `limit`.
pub fn ask_over(channel: &mut TcpStream, request: &str, limit: Duration) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    channel.set_nodelay(true)?;
    channel.set_write_timeout(Some(limit.max(Duration::from_millis(1))))?;
    channel.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        read_some(channel, &mut bytes, end)?;
    };
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|value| value.trim().parse::<usize>().ok())
        .unwrap_or_default();
    while bytes.len() < head + length {
        read_some(channel, &mut bytes, end)?;
    }
    Ok(Answer {
        body: String::from_utf8_lossy(&bytes[head..]).into_owned(),
        status,
    })
}

/// Serves every request at `address` with the answer that `answer` makes of its head, until the
/// process ends.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&str) -> String + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for channel in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_channel(channel, &*answer));
        }
    });
    Ok(())
}

fn serve_channel(mut channel: TcpStream, answer: &dyn Fn(&str) -> String) -> Option<()> {
    channel.set_nodelay(true).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        while let Some(at) = find(&bytes, b"\r\n\r\n") {
            let head: Vec<u8> = bytes.drain(..at + 4).collect();
            let head = String::from_utf8_lossy(&head).into_owned();
            channel.write_all(answer(&head).as_bytes()).ok()?;
        }
        match channel.read(&mut buffer).ok()? {
            0 => return None,
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn read_some(channel: &mut TcpStream, bytes: &mut Vec<u8>, end: Instant) -> io::Result<()> {
    let left = end.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    channel.set_read_timeout(Some(left))?;
    let mut buffer = [0; 16 << 10];
    match channel.read(&mut buffer)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            bytes.extend_from_slice(&buffer[..count]);
            Ok(())
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
