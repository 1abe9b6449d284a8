//! A daemon's answers, scripted, and the command line run against them.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// The operator's and the workspace's key in every test.
pub const KEY: &str = "correct-horse";

/// Tells what to do with one request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Closes the connection without an answer.
    Drop,
    /// Answers with a status and a body.
    Send(u16, String),
}

/// Records one request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Holds the authorization header.
    pub authorization: String,
    /// Holds the body.
    pub body: String,
    /// Holds the path and query.
    pub path: String,
}

#[derive(Debug, Default)]
struct Script {
    replies: HashMap<String, VecDeque<Reply>>,
    seen: Vec<Seen>,
}

/// Plays a daemon on a loopback port.
#[derive(Debug)]
pub struct Daemon {
    address: SocketAddr,
    key_file: PathBuf,
    runtime: Runtime,
    script: Arc<Mutex<Script>>,
}

impl Daemon {
    /// Starts a daemon that knows no path.
    pub fn new(name: &str) -> Self {
        let runtime = Runtime::new().unwrap();
        let script = Arc::new(Mutex::new(Script::default()));
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        runtime.spawn(accept(listener, Arc::clone(&script)));
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let key_file = folder.join(format!("{name}.key"));
        std::fs::write(&key_file, format!("{KEY}\n")).unwrap();
        Self {
            address,
            key_file,
            runtime,
            script,
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers the next request for `path` so; the last answer is given again.
    pub fn reply(self, path: &str, status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_string(body).unwrap();
        self.script(path, Reply::Send(status, body))
    }

    /// Answers the next request for `path` with this text.
    pub fn text(self, path: &str, text: &str) -> Self {
        self.script(path, Reply::Send(200, text.to_owned()))
    }

    /// Loses the next request for `path`.
    pub fn lose(self, path: &str) -> Self {
        self.script(path, Reply::Drop)
    }

    /// Runs the command line with the daemon's address and key.
    pub fn run(&self, words: &[&str]) -> Output {
        let address = self.address.to_string();
        let key_file = self.key_file.to_str().unwrap();
        let mut all = words.to_vec();
        all.extend(["--server", &address, "--key-file", key_file]);
        run(&all)
    }

    /// Returns the requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.script.lock().unwrap().seen.clone()
    }

    /// Stops answering.
    pub fn stop(self) {
        self.runtime.shutdown_background();
    }

    fn script(self, path: &str, reply: Reply) -> Self {
        let mut script = self.script.lock().unwrap();
        let replies = script.replies.entry(path.to_owned()).or_default();
        replies.push_back(reply);
        drop(script);
        self
    }
}

/// Runs the command line without any environment of the project.
pub fn run(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hibiscushoist"))
        .args(words)
        .env_remove("HIBISCUSHOIST_KEY")
        .env_remove("HIBISCUSHOIST_SERVER")
        .env("USER", "dana")
        .output()
        .unwrap()
}

/// Returns what the command wrote to standard output.
pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Returns what the command wrote to standard error.
pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

async fn accept(listener: TcpListener, script: Arc<Mutex<Script>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let script = Arc::clone(&script);
        let service = service_fn(move |request| answer(request, Arc::clone(&script)));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn answer(
    request: Request<Incoming>,
    script: Arc<Mutex<Script>>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let path = request.uri().path().to_owned();
    let seen = Seen {
        authorization: request
            .headers()
            .get("authorization")
            .map(|value| value.to_str().unwrap().to_owned())
            .unwrap_or_default(),
        path: request.uri().to_string(),
        body: String::from_utf8(request.collect().await.unwrap().to_bytes().to_vec()).unwrap(),
    };
    let mut script = script.lock().unwrap();
    script.seen.push(seen);
    let reply = match script.replies.get_mut(&path) {
        Some(replies) if replies.len() > 1 => replies.pop_front().unwrap(),
        Some(replies) => replies[0].clone(),
        None => Reply::Send(404, String::new()),
    };
    match reply {
        Reply::Drop => Err(std::io::Error::other("lost")),
        Reply::Send(status, body) => Ok(Response::builder()
            .status(status)
            .body(Full::new(body.into()))
            .unwrap()),
    }
}
