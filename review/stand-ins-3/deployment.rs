//! A small deployment: stewards and gateways with the filled templates of the deploy file, the
//! platform's list, and one plain upstream.

use std::env;
use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// Program that both roles of the deploy file run.
const PROGRAM: &str = "target/release/hibiscushoistd";
/// Time within which a new deployment has to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time after which the operator asks another daemon.
pub const OPERATOR_LIMIT: Duration = Duration::from_secs(1);

/// Role of the deploy file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Serves callers.
    Gateway,
    /// Keeps the replicated log.
    Steward,
}

/// One process, which is killed when this is dropped.
pub struct Daemon {
    /// Process, while it runs.
    child: Option<Child>,
    /// Folder of the process, with its settings, its log and its disk.
    folder: PathBuf,
    /// IP address of its machine.
    pub ip: String,
    role: Role,
    /// Addresses of the seeds.
    seeds: String,
    /// Address of the platform's list.
    list: String,
}

/// All processes and stand-ins.
pub struct Deployment {
    /// Daemons that serve callers.
    pub gateways: Vec<Daemon>,
    /// Daemons that keep the replicated log.
    pub stewards: Vec<Daemon>,
    folder: PathBuf,
}

impl Deployment {
    /// Prepares a deployment whose processes do not run yet.
    pub fn prepare(gateways: usize) -> io::Result<Self> {
        let id = process::id();
        let net = format!("127.{}.{}", 64 + id % 128, id / 128 % 256);
        let folder = env::temp_dir().join(format!("review-3-{id}"));
        fs::create_dir_all(&folder)?;
        let list = format!("{net}.1:8784");
        let upstream = format!("{net}.2:8080");
        let seeds: Vec<String> = (11..14).map(|n| format!("{net}.{n}:8783")).collect();
        let daemon = |role, last: usize| Daemon {
            child: None,
            folder: folder.join(last.to_string()),
            ip: format!("{net}.{last}"),
            role,
            seeds: seeds.join(","),
            list: list.clone(),
        };
        let deployment = Self {
            gateways: (0..gateways)
                .map(|n| daemon(Role::Gateway, 21 + n))
                .collect(),
            stewards: (11..14).map(|last| daemon(Role::Steward, last)).collect(),
            folder: folder.clone(),
        };
        let entry = include_str!("list.json").replace("{upstream}", &upstream);
        http::serve(parse(&list), move |_| whole("", &entry))?;
        http::serve(parse(&upstream), |head| {
            let id = header(head, "x-request-id").unwrap_or_default();
            let proof = format!("X-Request-Id: {id}\r\nX-Server-Stamp: i-1.{id}\r\n");
            whole(&proof, &"x".repeat(800))
        })?;
        Ok(deployment)
    }

    /// Starts all processes for the first time.
    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        for daemon in self.stewards.iter_mut().chain(&mut self.gateways) {
            daemon.start(true)?;
            record.line(&format!("{} starts ({:?})", daemon.ip, daemon.role));
        }
        Ok(())
    }

    /// Sends the first configuration until a steward acknowledges it, and waits until all gateways
    /// are ready.
    pub fn configure(&self, record: &Record) -> Result<(), String> {
        let end = Instant::now() + READY_LIMIT;
        let text = configuration(1);
        let put = http::request("POST", "/hibiscushoist/config/replace", HOST, &text);
        let mut stewards = self.stewards.iter().cycle();
        loop {
            let steward = stewards.next().ok_or("no steward")?;
            let answer = http::ask(steward.address(8783), &put, OPERATOR_LIMIT);
            if answer.is_ok_and(|answer| answer.status == 200) {
                record.line(&format!("{} acknowledges configuration 1", steward.ip));
                break;
            }
            if Instant::now() > end {
                return Err("no steward acknowledges the configuration".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        for gateway in &self.gateways {
            while !gateway.is_ready() {
                if Instant::now() > end {
                    return Err(format!("{} does not get ready", gateway.ip));
                }
                thread::sleep(Duration::from_millis(50));
            }
            record.line(&format!("{} is ready", gateway.ip));
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.stewards.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Daemon {
    /// Returns an address of the machine.
    pub fn address(&self, port: u16) -> SocketAddr {
        parse(&format!("{}:{port}", self.ip))
    }

    /// Starts the process; `first` at the first start of the whole deployment.
    pub fn start(&mut self, first: bool) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let data = self.folder.join("data");
        if self.role == Role::Steward {
            fs::create_dir_all(&data)?;
        }
        let template = match self.role {
            Role::Gateway => "deploy/gateway.ini",
            Role::Steward => "deploy/steward.ini",
        };
        let bootstrap = first && self.role == Role::Steward;
        let values = [
            ("bootstrap", bootstrap.to_string()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.retry_slack", "56".to_owned()),
            ("bounds.version_ms", "15000".to_owned()),
            ("cloud.address", self.list.clone()),
            ("data_dir", data.display().to_string()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("internal_ports.0", "7340".to_owned()),
            ("ip", self.ip.clone()),
            ("listen.control", format!("{}:8783", self.ip)),
            ("listen.directory", format!("{}:8780", self.ip)),
            ("listen.front", format!("{}:8782", self.ip)),
            ("listen.ready", format!("{}:8789", self.ip)),
            ("region", "r".to_owned()),
            ("seeds", self.seeds.clone()),
            ("zone", "a".to_owned()),
        ];
        let mut text = fs::read_to_string(template)?;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let settings = self.folder.join("local.conf");
        fs::write(&settings, text)?;
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join("log"))?;
        let mut command = Command::new(PROGRAM);
        // The platform's machines have one core.
        command
            .arg("--settings")
            .arg(&settings)
            .env_clear()
            .envs(env::vars().filter(|(name, _)| name == "PATH" || name == "HOME"))
            .env("TOKIO_WORKER_THREADS", "1")
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Returns the memory that the process has taken for itself, in KB, without files.
    pub fn memory_kb(&self) -> u64 {
        let status = self.process_file("status").unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kb.unwrap_or_default()
    }

    /// Returns whether the readiness check is answered with 200, over a new channel.
    pub fn is_ready(&self) -> bool {
        let check = http::request("GET", "/hibiscushoist/readiness", HOST, "");
        let answer = http::ask(self.address(8789), &check, OPERATOR_LIMIT);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Sends one ordinary idempotent request over a new channel.
    pub fn call(&self, number: usize, limit: Duration) -> io::Result<u16> {
        let answer = http::ask(self.address(8782), &ordinary(number), limit)?;
        Ok(answer.status)
    }

    fn process_file(&self, name: &str) -> Option<String> {
        let id = self.child.as_ref()?.id();
        fs::read_to_string(format!("/proc/{id}/{name}")).ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Header of calls of the operator and the platform.
pub const HOST: &str = "Host: a\r\n";
/// Headers of callers beside the id and the length.
pub const CALLER: &str = "Host: h.example\r\nAuthorization: Bearer k1\r\nX-Deadline-Ms: 600\r\n";

/// Returns an ordinary idempotent request.
pub fn ordinary(number: usize) -> String {
    let headers = format!("{CALLER}X-Request-Id: {number:016x}\r\n");
    http::request("GET", "/read/x", &headers, "")
}

/// Returns a configuration like that of a small site.
pub fn configuration(version: u64) -> String {
    include_str!("configuration.json").replace("{version}", &version.to_string())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = fields.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}

fn parse(address: &str) -> SocketAddr {
    address.parse().expect("addresses are made here")
}

fn whole(headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
