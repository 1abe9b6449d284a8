//! Checks that a daemon at its most talkative writes no key, prompt or answer to its log.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use fakes::engine::Engine;
use fakes::engine::Options;
use hibiscushoistd::auth;

const EDITS: usize = 4;
const FLEET_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const HANG: Duration = Duration::from_secs(60);
const OPERATOR_KEY: &str = "key-of-the-operators";
const PROMPT: &str = "a family books the closed cove";
const WORKSPACE_KEY: &str = "key-of-a-workspace";
const WRONG_KEY: &str = "key-that-nobody-has";

struct Daemon {
    address: String,
    child: Child,
    lines: mpsc::Receiver<String>,
    log: Vec<String>,
}

impl Daemon {
    fn start(folder: &TempDir) -> Self {
        let path = folder.path().join("a.ini");
        let text = format!(
            "[daemon]\nname = a\nfleet = test\nfailure_domain = one\n\
             roles = broker, entry, voter\ndata = {}\n\
             [entry]\nlisten = 127.0.0.1:0\n[log]\nform = json\nlevel = trace\n\
             [operator]\nkey_hash = {}\n[peer]\nlisten = 127.0.0.1:0\nkey = {FLEET_KEY}\n",
            folder.path().join("data").display(),
            auth::hash(OPERATOR_KEY),
        );
        std::fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_hibiscushoistd"))
            .arg("--settings")
            .arg(path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let stdout = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            stdout
                .lines()
                .map_while(Result::ok)
                .try_for_each(|l| sender.send(l))
        });
        let mut daemon = Self {
            address: String::new(),
            child,
            lines,
            log: Vec::new(),
        };
        let started = daemon.wait_for("\"started\"");
        let started: Value = serde_json::from_str(&started).unwrap();
        daemon.address = started["entry"].as_str().unwrap().to_owned();
        daemon
    }

    fn wait_for(&mut self, part: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(HANG).expect("the line comes");
            self.log.push(line.clone());
            if line.contains(part) {
                return line;
            }
        }
    }

    async fn post(&self, path: &str, key: &str, body: &Value) -> String {
        let body = body.to_string();
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(&self.address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer
    }

    async fn add(&self, sheet: &str, row: &str, cells: Value) {
        let edit = json!({
            "action": {"add": cells},
            "author": "test",
            "if_revision": 0,
            "key": row,
            "name": {"row": row, "sheet": sheet},
        });
        let answer = self.post("/admin/edits", OPERATOR_KEY, &edit).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }

    /// Ends the process and returns its whole log.
    fn end(mut self) -> String {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.log.extend(self.lines.iter());
        self.log.join("\n")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_holds_no_secret() {
    let folder = TempDir::new().unwrap();
    let engine = Engine::start(Options::default()).await.unwrap();
    let mut daemon = Daemon::start(&folder);
    let hash = json!({"key_hash": auth::hash(WORKSPACE_KEY)});
    daemon.add("workspaces", "w", hash).await;
    daemon.add("models", "m", json!({"version": "v1"})).await;
    let address = engine.address().to_string();
    let cells = json!({"address": address, "model": "m", "type": "engine"});
    daemon.add("upstreams", "u", cells).await;
    let ask = json!({"max_tokens": 3, "model": "m", "prompt": PROMPT});
    let path = "/v1/completions";
    let answer = daemon.post(path, WORKSPACE_KEY, &ask).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    engine.crash();
    daemon.post(path, WORKSPACE_KEY, &ask).await;
    daemon.post(path, WRONG_KEY, &ask).await;
    daemon.post("/admin/edits", WRONG_KEY, &ask).await;
    daemon.post("/admin/edits", OPERATOR_KEY, &ask).await;
    daemon.add("models", "last", json!({"version": "v1"})).await;
    for _ in 0..EDITS {
        daemon.wait_for("table_applied");
    }
    let log = daemon.end();
    let text = engine.text(PROMPT, 0, 1);
    for secret in [
        FLEET_KEY,
        OPERATOR_KEY,
        PROMPT,
        text.trim(),
        WORKSPACE_KEY,
        WRONG_KEY,
    ] {
        assert!(!log.contains(secret), "the log holds `{secret}`:\n{log}");
    }
}
