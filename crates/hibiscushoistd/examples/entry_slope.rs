//! Measures what a daemon costs: processor time when idle, for each upstream that it follows, per
//! request, per KiB of prompt and per streamed token, and memory per open stream.
//!
//! One daemon with every role runs beside stand-in engines and callers, each on threads of their
//! own, so that the kernel's count of each thread's processor time tells them apart.
//!
//! `cargo run --release -p hibiscushoistd --example entry_slope`

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use fakes::engine::Engine;
use fakes::engine::Options;
use hibiscushoistd::auth;
use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use transport::log;

const CALLER: &str = "caller";
const CALLERS: usize = 64;
const ENGINE: &str = "engine";
const ENGINES: usize = 4;
const IDLE: Duration = Duration::from_secs(5);
const KEY: &str = "workspace-key";
const KIB: usize = 1 << 10;
const MORE_ENGINES: usize = 8;
const NANOS_PER_MICRO: f64 = 1e3;
const OPEN_STREAMS: usize = 400;
const OPERATOR_KEY: &str = "operator-key";
const REQUESTS: usize = 2000;
const SETTLE: Duration = Duration::from_secs(1);
const SLOTS: usize = 2000;
const SMALL_PROMPT: usize = KIB;
const TOKEN_TIME: Duration = Duration::from_millis(4);

/// Describes the requests of one run.
#[derive(Clone, Copy, Debug)]
struct Run {
    prompt_bytes: usize,
    requests: usize,
    tokens: usize,
}

struct Bench {
    callers: Runtime,
    daemon: Daemon,
    _daemons: Runtime,
    engines: Vec<Engine>,
    stand_ins: Runtime,
}

fn main() {
    let mut bench = Bench::start();
    let alone = bench.idle();
    bench.follow(ENGINES);
    let few = bench.idle();
    bench.follow(MORE_ENGINES);
    let many = bench.idle();
    bench.drive(Run {
        prompt_bytes: SMALL_PROMPT,
        requests: CALLERS,
        tokens: 8,
    });
    let stream = bench.open_streams();
    let short = bench.drive(Run {
        prompt_bytes: SMALL_PROMPT,
        requests: REQUESTS,
        tokens: 2,
    });
    let long = bench.drive(Run {
        prompt_bytes: SMALL_PROMPT,
        requests: REQUESTS / 4,
        tokens: 402,
    });
    let wide = bench.drive(Run {
        prompt_bytes: SMALL_PROMPT + 256 * KIB,
        requests: REQUESTS / 4,
        tokens: 2,
    });
    let each = (many - few) / MORE_ENGINES as f64;
    println!(
        "idle, no upstream           {:8.3} % of a core",
        alone * 100.0
    );
    println!(
        "idle, {ENGINES} upstreams           {:8.3} % of a core",
        few * 100.0
    );
    println!(
        "each upstream more          {:8.3} % of a core",
        each * 100.0
    );
    println!("request of 1 KiB, 2 tokens  {short:8.1} us");
    println!(
        "each token more             {:8.2} us",
        (long - short) / 400.0
    );
    println!(
        "each KiB of prompt more     {:8.2} us",
        (wide - short) / 256.0
    );
    println!("each open stream            {stream:8.1} KiB, callers and stand-ins included");
    println!("resident, all in one        {:8.0} KiB", resident_kib());
}

impl Bench {
    fn start() -> Self {
        let daemons = runtime("daemon", 2);
        let callers = runtime(CALLER, 1);
        let daemon = daemons.block_on(daemon());
        callers.block_on(fill(daemon.address()));
        Self {
            callers,
            daemon,
            _daemons: daemons,
            engines: Vec::new(),
            stand_ins: runtime(ENGINE, 1),
        }
    }

    /// Starts `count` more stand-ins and adds them to the table.
    fn follow(&mut self, count: usize) {
        let known = self.engines.len();
        self.engines.extend(self.stand_ins.block_on(engines(count)));
        let address = self.daemon.address();
        self.callers.block_on(async {
            for (index, engine) in self.engines.iter().enumerate().skip(known) {
                let cells = BTreeMap::from([
                    ("address", engine.address().to_string()),
                    ("limit", SLOTS.to_string()),
                    ("model", "m".to_owned()),
                    ("type", "engine".to_owned()),
                ]);
                add(address, "upstreams", &format!("u{index}"), json!(cells)).await;
            }
        });
        std::thread::sleep(SETTLE);
    }

    /// Returns the daemon's processor time per request, in microseconds.
    fn drive(&self, run: Run) -> f64 {
        let before = daemon_nanos();
        let address = self.daemon.address();
        let whole = self.callers.block_on(async {
            let mut tasks = JoinSet::new();
            for caller in 0..CALLERS {
                tasks.spawn(call(address, run, caller));
            }
            tasks.join_all().await.into_iter().sum::<usize>()
        });
        let spent = daemon_nanos() - before;
        let asked = run.requests / CALLERS * CALLERS;
        assert_eq!(whole, asked, "every answer must be whole: {run:?}");
        spent as f64 / NANOS_PER_MICRO / asked as f64
    }

    /// Returns the share of a core that the daemon takes without requests.
    fn idle(&self) -> f64 {
        let (before, start) = (daemon_nanos(), Instant::now());
        std::thread::sleep(IDLE);
        (daemon_nanos() - before) as f64 / start.elapsed().as_nanos() as f64
    }

    /// Returns the memory that each open stream adds to the process, in KiB.
    fn open_streams(&self) -> f64 {
        let before = resident_kib();
        let address = self.daemon.address();
        let run = Run {
            prompt_bytes: 16 * KIB,
            requests: 1,
            tokens: 100_000,
        };
        let streams = self.callers.block_on(async {
            let mut streams = Vec::new();
            for caller in 0..OPEN_STREAMS {
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all(&request(run, caller, 0)).await.unwrap();
                let read = stream.read(&mut [0; KIB]).await.unwrap();
                assert!(read > 0, "each stream must begin");
                streams.push(stream);
            }
            streams
        });
        let added = resident_kib() - before;
        drop(streams);
        added / OPEN_STREAMS as f64
    }
}

fn runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .unwrap()
}

async fn engines(count: usize) -> Vec<Engine> {
    let mut engines = Vec::new();
    for _ in 0..count {
        let options = Options {
            cache_blocks: 100_000,
            prefill_time: Duration::ZERO,
            slots: SLOTS,
            token_time: TOKEN_TIME,
            ..Options::default()
        };
        engines.push(Engine::start(options).await.unwrap());
    }
    engines
}

async fn daemon() -> Daemon {
    let text = format!(
        "[daemon]\nname = a\nfleet = slope\nfailure_domain = one\nroles = broker, entry\n\
         [entry]\nlisten = 127.0.0.1:0\naddress_lifetime_ms = 1\n\
         [operator]\nkey_hash = {}\n",
        auth::hash(OPERATOR_KEY),
    );
    let settings = Settings::parse("slope.ini", text).unwrap();
    Daemon::start(settings, log::discard()).await.unwrap()
}

async fn fill(address: SocketAddr) {
    let workspace = json!({"key_hash": auth::hash(KEY)});
    add(address, "workspaces", "w", workspace).await;
    add(address, "models", "m", json!({"version": "v1"})).await;
}

async fn add(address: SocketAddr, sheet: &str, row: &str, cells: Value) {
    let edit = json!({
        "action": {"add": cells},
        "author": "slope",
        "if_revision": 0,
        "key": format!("{sheet}-{row}"),
        "name": {"row": row, "sheet": sheet},
    });
    let request = post("/admin/edits", OPERATOR_KEY, &edit);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&request).await.unwrap();
    let mut answer = vec![0; 4 * KIB];
    let read = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Sends a share of the run's requests over one connection and returns how many came whole.
async fn call(address: SocketAddr, run: Run, caller: usize) -> usize {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let mut whole = 0;
    for number in 0..run.requests / CALLERS {
        stream
            .write_all(&request(run, caller, number))
            .await
            .unwrap();
        if finished(&mut stream).await {
            whole += 1;
        }
    }
    whole
}

/// Reads one answer and returns whether its end mark came.
async fn finished(stream: &mut TcpStream) -> bool {
    const END: &[u8] = b"\r\n0\r\n\r\n";
    let (mut tail, mut ended) = (Vec::new(), false);
    let mut buffer = vec![0; 64 * KIB];
    loop {
        let read = stream.read(&mut buffer).await.unwrap();
        tail.extend_from_slice(&buffer[..read]);
        let refused = tail.starts_with(b"HTTP/1.1 ") && !tail.starts_with(b"HTTP/1.1 200");
        assert!(!refused, "{}", String::from_utf8_lossy(&tail));
        ended |= tail.windows(6).any(|part| part == b"[DONE]");
        if read == 0 || tail.ends_with(END) {
            return ended;
        }
        tail.drain(..tail.len().saturating_sub(32));
    }
}

fn request(run: Run, caller: usize, number: usize) -> Vec<u8> {
    let head = format!("caller {caller} request {number} ");
    let filler = "word ".repeat(run.prompt_bytes / 5);
    let body = json!({
        "max_tokens": run.tokens,
        "model": "m",
        "prompt": head + &filler,
        "stream": true,
    });
    post("/v1/completions", KEY, &body)
}

fn post(path: &str, key: &str, body: &Value) -> Vec<u8> {
    let body = body.to_string();
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns the processor time of all threads but those of callers and stand-ins, in nanoseconds.
fn daemon_nanos() -> u64 {
    let mut nanos = 0;
    for task in fs::read_dir("/proc/self/task").unwrap() {
        let path = task.unwrap().path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        let other = [CALLER, ENGINE, "entry_slope"];
        if other.iter().any(|other| name.starts_with(other)) {
            continue;
        }
        let spent = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let first = spent.split_whitespace().next();
        nanos += first.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    }
    nanos
}

fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap()
}
