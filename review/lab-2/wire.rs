//! HTTP as the stand-ins speak it: single calls of an operator or a caller, the platform's list of
//! workers, and a worker of a plain service.

use std::collections::HashMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Head and body of a message.
#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message whose body has a length; an end before its first byte is an error.
pub fn read(stream: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message::default();
    if stream.read_line(&mut message.first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.insert(name, value);
    }
    let length = message.headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(message)
}

/// Makes one call over a new connection, within `limit` for each step.
pub fn call(
    address: SocketAddr,
    request: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut text = format!("{request} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    read(&mut BufReader::new(stream))
}

/// Answers each request at `address` by `answer`, with a thread for each connection.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&Message) -> String + Clone + Send + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_connection(&stream, answer));
        }
    });
    Ok(())
}

fn serve_connection(stream: &TcpStream, answer: impl Fn(&Message) -> String) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    loop {
        let request = read(&mut reader)?;
        writer.write_all(answer(&request).as_bytes())?;
    }
}

/// Returns a response with a body of JSON.
pub fn json(body: &str) -> String {
    let length = body.len();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    format!("{head}Content-Length: {length}\r\n\r\n{body}")
}

/// Returns the answer of a worker that ran `request` for a few milliseconds.
pub fn worker(request: &Message) -> String {
    thread::sleep(Duration::from_millis(15));
    let id = request.headers.get("x-request-id").cloned();
    let id = id.unwrap_or_default();
    let body = format!("done {id}");
    let head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s.1\r\nX-Server-Load: 1,0,6\r\n";
    let length = body.len();
    format!("{head}X-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}
