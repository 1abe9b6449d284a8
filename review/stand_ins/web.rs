//! A small HTTP/1.1 client and server on blocking sockets.

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

/// A request or an answer: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(found, _)| found == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request over a connection of its own and reads the whole answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.write_all(&encode_request(method, path, headers, body))?;
    read_answer(&mut stream, until)
}

/// Encodes a request; a `host` header is part of `headers` where one is wanted.
pub fn encode_request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if headers.iter().all(|(name, _)| *name != "host") {
        head.push_str("host: control\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Reads an answer until its end as framed, or the end of the connection.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> io::Result<Message> {
    let mut buffer = Vec::new();
    let mut message = read_head(stream, &mut buffer, until)?;
    if message.header("transfer-encoding").is_some() {
        message.whole = read_chunks(stream, &mut buffer, until, &mut message.body)?;
    } else if let Some(length) = content_length(&message) {
        message.whole = fill(stream, &mut buffer, length, until)?;
        buffer.truncate(length);
        message.body = buffer;
    } else {
        // Without a length the end of the connection ends the body; a reset breaks it off.
        message.whole = loop {
            match fill_some(stream, &mut buffer, until) {
                Ok(0) => break true,
                Ok(_) => {}
                Err(_) => break false,
            }
        };
        message.body = buffer;
    }
    Ok(message)
}

/// Reads a request with its body; returns none at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let until = Instant::now() + Duration::from_secs(120);
    let mut message = read_head(stream, buffer, until).ok()?;
    let length = content_length(&message).unwrap_or_default();
    message.whole = fill(stream, buffer, length, until).ok()?;
    let rest = buffer.split_off(length.min(buffer.len()));
    message.body = std::mem::replace(buffer, rest);
    Some(message)
}

/// Serves `address`: `answer` gets each request with its connection, and returns whether the
/// connection stays open.
pub fn serve<F>(address: SocketAddr, answer: F) -> io::Result<()>
where
    F: Fn(&mut TcpStream, Message) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut buffer) {
                    if !answer(&mut stream, request) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Encodes an answer whose body has a length.
pub fn encode_answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn content_length(message: &Message) -> Option<usize> {
    message.header("content-length")?.trim().parse().ok()
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Instant) -> io::Result<Message> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        if fill_some(stream, buffer, until)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Ok(Message {
        first_line,
        headers: headers.collect(),
        ..Message::default()
    })
}

fn read_chunks(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Instant,
    body: &mut Vec<u8>,
) -> io::Result<bool> {
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(2).position(|two| two == b"\r\n") {
                break end;
            }
            match fill_some(stream, buffer, until) {
                Ok(0) | Err(_) => return Ok(false),
                Ok(_) => {}
            }
        };
        let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if !fill(stream, buffer, end + 2 + size + 2, until)? {
            return Ok(false);
        }
        body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return Ok(true);
        }
    }
}

/// Reads until the buffer holds `length` bytes; returns false if the connection ends before.
fn fill(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
    until: Instant,
) -> io::Result<bool> {
    while buffer.len() < length {
        match fill_some(stream, buffer, until) {
            Ok(0) | Err(_) => return Ok(false),
            Ok(_) => {}
        }
    }
    Ok(true)
}

fn fill_some(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Instant) -> io::Result<usize> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))?;
    let mut bytes = [0; 16 << 10];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count)
}
