//! A plain service: its workers answer each request after a fixed time.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::web;

/// A worker of the service.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub record: Record,
    pub work: Duration,
}

impl Worker {
    /// Serves requests at `address`.
    pub fn serve(self, address: SocketAddr) -> io::Result<()> {
        web::serve(address, move |stream, request| {
            let id = request.header("x-request-id").unwrap_or_default();
            let id = id.to_owned();
            let common = [
                ("x-request-id", id.as_str()),
                ("x-instance-id", self.id.as_str()),
                ("content-type", "text/plain"),
            ];
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let answer = web::encode_answer("421 Misdirected Request", &common, b"");
                return stream.write_all(&answer).is_ok();
            }
            let (method, path) = (request.method(), request.path());
            self.record
                .line(format!("{} runs {id}: {method} {path}", self.id));
            thread::sleep(self.work);
            let mut headers = common.to_vec();
            headers.push(("x-server-stamp", "stamp"));
            let body = format!("answer to {id}\n");
            let answer = web::encode_answer("200 OK", &headers, body.as_bytes());
            let sent = stream.write_all(&answer).is_ok();
            self.record
                .line(format!("{} has answered {id}, written {sent}", self.id));
            sent
        })
    }
}
