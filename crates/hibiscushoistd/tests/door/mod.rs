//! A real daemon on loopback addresses, with limits so low that a small crowd meets them.

pub mod crowd;

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::routed_upstream::Mode;
use crate::routed_upstream::Upstream;
use crate::routed_upstream::setup::configuration;
use crate::routed_upstream::start_list;
use hibiscushoistd::auth;

/// Longest body that the daemon reads, in bytes.
pub const BODY_BYTES: usize = 1 << 20;
/// Bound on all bodies together, in bytes.
const BODIES_BYTES: usize = 4 << 20;
/// Connections that each address of the daemon takes.
pub const CONNECTIONS: usize = 32;
/// Longest header that the daemon reads, in bytes.
pub const HEADER_BYTES: usize = 16 << 10;
/// Memory for all that a crowd does not hold directly, in bytes: stacks and the allocator's own.
const OTHER_BYTES: usize = 8 << 20;
/// Most memory that crowds may take, in KB: the bodies, a buffer in each direction for each
/// connection, and the rest.
const MOST_KB: usize = (BODIES_BYTES + 2 * CONNECTIONS * HEADER_BYTES + OTHER_BYTES) >> 10;
/// Most descriptors that a crowd may take: its connections, and as many to upstreams.
const MOST_DESCRIPTORS: usize = 2 * CONNECTIONS + 16;
/// Bounds every wait; only a hang meets it.
const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);
/// Time for which the memory must not grow before a crowd counts as arrived.
const QUIET_POLLS: usize = 12;
const OPERATOR_KEY: &str = "operator-key";
/// Length of the body of an ordinary request, in bytes.
const ORDINARY_BYTES: usize = 64 << 10;
/// Upstreams whose answers never come; together they take more requests than the crowd sends.
const SLOW_UPSTREAMS: usize = 8;

static STARTED: AtomicU8 = AtomicU8::new(0);

/// A place at which callers reach the daemon.
#[derive(Clone, Debug)]
pub struct Door {
    /// Address that the crowd connects to.
    pub address: SocketAddr,
    /// Headers that the crowd needs, each with its line end.
    pub headers: String,
    pub name: &'static str,
    /// An ordinary request that is answered with 200.
    ordinary: String,
    /// Path that the crowd posts to.
    pub path: &'static str,
    /// A request without a body that the crowd repeats.
    pub repeated: String,
}

/// The process under test, which is killed when this is dropped.
pub struct Host {
    callers: SocketAddr,
    child: Child,
    control: SocketAddr,
    entry: SocketAddr,
    _folder: TempDir,
    readiness: SocketAddr,
    start: Usage,
}

/// What the process uses, or has used at most.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    descriptors: usize,
    peak_kb: usize,
}

impl Host {
    /// Starts the daemon in front of two upstreams and waits until it serves.
    pub async fn start() -> Self {
        let mut upstreams = vec![
            Upstream::start("i-1", "desk").await,
            Upstream::start("i-2", "desk").await,
        ];
        for number in 0..SLOW_UPSTREAMS {
            let slow = Upstream::start(&format!("i-slow-{number}"), "slow").await;
            slow.set_mode(Mode::Hanging);
            upstreams.push(slow);
        }
        let list = start_list(upstreams).await;
        let [high, low] = (process::id() as u16).to_be_bytes();
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let ip = Ipv4Addr::new(127, 64 | (high & 63), low, 100 + number);
        let ports = [(); 5].map(|()| TcpListener::bind((ip, 0)).expect("a port is free"));
        let [callers, control, entry, peer, readiness] = ports.map(|l| l.local_addr().unwrap());
        let folder = TempDir::new().expect("a folder can be made");
        let text = format!(
            "[daemon]\nname = a\nfleet = test\nfailure_domain = one\n\
             roles = broker, entry, voter\ndata = {}\n\
             [entry]\nlisten = {entry}\nbodies_limit_bytes = {BODIES_BYTES}\n\
             body_limit_bytes = {BODY_BYTES}\nconnections = {CONNECTIONS}\n\
             header_limit_bytes = {HEADER_BYTES}\nheader_timeout_ms = 3000\n\
             write_timeout_ms = 3000\n\
             [gateway]\ncallers = {callers}\ncontrol = {control}\nlist = {list}\n\
             readiness = {readiness}\n\
             [operator]\nkey_hash = {}\n[peer]\nlisten = {peer}\nkey = {}\n",
            folder.path().join("data").display(),
            auth::hash(OPERATOR_KEY),
            "5a".repeat(32),
        );
        let path = folder.path().join("a.ini");
        fs::write(&path, text).expect("settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_hibiscushoistd"))
            .arg("--settings")
            .arg(&path)
            .env("MALLOC_ARENA_MAX", "2")
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon can be started");
        let mut host = Self {
            callers,
            child,
            control,
            entry,
            _folder: folder,
            readiness,
            start: Usage {
                descriptors: 0,
                peak_kb: 0,
            },
        };
        for door in host.doors().iter().rev() {
            host.serves(door).await.expect("the daemon serves in calm");
        }
        host.start = host.usage();
        host
    }

    /// Returns all doors; the one of the operator comes last.
    pub fn doors(&self) -> Vec<Door> {
        let routed = format!("authorization: Bearer k1\r\nhost: h.example\r\n{CALLER}");
        let operator = format!("authorization: Bearer {OPERATOR_KEY}\r\nhost: a\r\n");
        let read = post("/read/x", &routed, &"x".repeat(ORDINARY_BYTES));
        let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
        let door = |name, address, path, headers: &str, ordinary: &str, repeated: String| Door {
            address,
            headers: headers.to_owned(),
            name,
            ordinary: ordinary.to_owned(),
            path,
            repeated,
        };
        let read_again = format!("GET /read/x HTTP/1.1\r\n{routed}\r\n");
        let ready = get("/hibiscushoist/readiness");
        let table = table().to_string();
        let replace = post("/hibiscushoist/config/replace", "host: a\r\n", &table);
        let nowhere = get("/nowhere/x");
        let table = get("/hibiscushoist/config/get");
        let (callers, control, entry) = (self.callers, self.control, self.entry);
        let check = self.readiness;
        let replaces = "/hibiscushoist/config/replace";
        let health = get("/healthz");
        vec![
            door(
                "routed",
                callers,
                "/long-read/x",
                &routed,
                &read,
                read_again,
            ),
            door("unrouted", callers, "/nowhere/x", &routed, &read, nowhere),
            door(
                "ready",
                check,
                "/hibiscushoist/readiness",
                "host: a\r\n",
                &ready,
                ready.clone(),
            ),
            door(
                "entry",
                entry,
                "/admin/edits",
                &operator,
                &health,
                get("/metrics"),
            ),
            door("control", control, replaces, "host: a\r\n", &replace, table),
        ]
    }

    /// Returns what the process uses.
    pub fn usage(&self) -> Usage {
        let process = format!("/proc/{}", self.child.id());
        let status = fs::read_to_string(format!("{process}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        let descriptors = fs::read_dir(format!("{process}/fd")).map_or(0, Iterator::count);
        Usage {
            descriptors,
            peak_kb: kb.unwrap_or_default(),
        }
    }

    /// Waits until a crowd takes no more memory.
    pub async fn settle(&self) {
        let mut quiet = 0;
        let mut peak_kb = 0;
        let start = Instant::now();
        while quiet < QUIET_POLLS && start.elapsed() < LIMIT {
            tokio::time::sleep(POLL).await;
            let now = self.usage().peak_kb;
            quiet = match now > peak_kb {
                false => quiet + 1,
                true => 0,
            };
            peak_kb = now;
        }
    }

    /// Returns what is wrong while a crowd is still at `door`: the process ended, left its bounds
    /// or does not serve ordinary requests there or of routed callers.
    pub async fn faults(&mut self, door: &Door) -> Vec<String> {
        if let Some(status) = self.child.try_wait().expect("the daemon can be watched") {
            return vec![format!("{}: the process ended: {status}", door.name)];
        }
        let descriptors = self.usage().descriptors;
        let descriptors = descriptors.saturating_sub(self.start.descriptors);
        let served = [self.serves(door).await, self.serves(&self.doors()[0]).await];
        let kb = self.usage().peak_kb.saturating_sub(self.start.peak_kb);
        println!("{}: {kb} KB and {descriptors} descriptors more", door.name);
        let mut faults: Vec<String> = served.into_iter().filter_map(Result::err).collect();
        if descriptors > MOST_DESCRIPTORS {
            faults.push(format!("{descriptors} of {MOST_DESCRIPTORS} descriptors"));
        }
        if kb > MOST_KB {
            faults.push(format!("{kb} of {MOST_KB} KB"));
        }
        faults
            .iter()
            .map(|fault| format!("{}: {fault}", door.name))
            .collect()
    }

    /// Sends the ordinary request of a door with as many short fields as its header may have, and
    /// returns the answer.
    pub async fn ask_with_fields(&self, door: &Door) -> String {
        let (head, body) = door.ordinary.split_once("\r\n\r\n").expect("it has a head");
        let fields = crowd::fields(HEADER_BYTES - head.len() - 64);
        let request = format!("{head}\r\n{fields}\r\n{body}");
        let answer = timeout(LIMIT, ask(door.address, &request)).await;
        answer.ok().flatten().unwrap_or_default()
    }

    /// Sends the ordinary request of a door until it is answered with 200.
    async fn serves(&self, door: &Door) -> Result<(), String> {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < LIMIT {
            let left = LIMIT.saturating_sub(start.elapsed());
            match timeout(left, ask(door.address, &door.ordinary)).await {
                Ok(Some(answer)) if answer.starts_with("HTTP/1.1 200") => return Ok(()),
                Ok(answer) => last = answer.unwrap_or_default(),
                Err(_) => last = "no answer".to_owned(),
            }
            tokio::time::sleep(POLL).await;
        }
        Err(format!(
            "an ordinary {} request is not served: {last}",
            door.name
        ))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Headers of a routed request, beside host and key.
const CALLER: &str = "x-request-id: 9c41d07be2a35f68\r\n";

/// Returns a table whose long reads have upstreams of their own.
fn table() -> Value {
    let mut table = configuration(1, "k1");
    let services = table["services"].as_array_mut().expect("it has services");
    services.push(json!({"name": "slow", "health_path": "/health", "max_conns": 10}));
    let routes = table["routes"].as_array_mut().expect("it has routes");
    let long = routes
        .iter_mut()
        .find(|r| r["path_prefix"] == "/long-read/");
    long.expect("it has long reads")["service"] = json!("slow");
    table
}

/// Returns a request with a body.
fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// Sends a request over a connection of its own and returns the first bytes of the answer.
async fn ask(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = vec![0; 512];
    let length = stream.read(&mut answer).await.ok()?;
    Some(String::from_utf8_lossy(&answer[..length]).into_owned())
}
