//! The command line against three daemons with stand-in engines.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use tokio::runtime::Runtime;

use crate::daemon::run;
use crate::daemon::stderr;
use crate::daemon::stdout;
use fakes::engine::Engine;
use fakes::engine::Options;
use hibiscushoistd::auth;
use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use transport::log;

const ENGINES: usize = 3;
const FLEET_KEY: &str = "00000000000000000000000000000000000000000000000000000000000000aa";
const HANG: Duration = Duration::from_secs(60);
const HOSTS: [&str; 3] = ["a", "b", "c"];

/// Holds three daemons that are all voters, and stand-ins in their table.
struct Fleet {
    addresses: Vec<SocketAddr>,
    _daemons: Vec<Daemon>,
    _engines: Vec<Engine>,
    folder: PathBuf,
    runtime: Runtime,
}

impl Fleet {
    fn start() -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("fleet");
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        for name in ["operator", "large", "small"] {
            fs::write(folder.join(name), format!("{name}-key")).unwrap();
        }
        let runtime = Runtime::new().unwrap();
        let peers = free_ports();
        let mut fleet = Self {
            addresses: Vec::new(),
            _daemons: Vec::new(),
            _engines: Vec::new(),
            folder,
            runtime,
        };
        for (host, peer) in HOSTS.iter().zip(&peers) {
            let settings = fleet.settings(host, *peer, &peers);
            let start = Daemon::start(settings, log::discard());
            let daemon = fleet.runtime.block_on(start).unwrap();
            fleet.addresses.push(daemon.address());
            fleet._daemons.push(daemon);
        }
        fleet.fill();
        fleet
    }

    fn settings(&self, host: &str, peer: SocketAddr, peers: &[SocketAddr]) -> Settings {
        let data = self.folder.join(format!("data-{host}"));
        let voters = HOSTS
            .iter()
            .zip(peers)
            .map(|(h, peer)| format!("{h}@{peer}"));
        let text = format!(
            "[daemon]\nname = {host}\nfleet = test\nfailure_domain = {host}\n\
             roles = broker, entry, voter\ndata = {}\n\
             [entry]\nlisten = 127.0.0.1:0\n\
             [operator]\nkey_hash = {}\n\
             [peer]\nlisten = {peer}\nkey = {FLEET_KEY}\nseeds = {}\n\
             [voters]\nmembers = {}\n",
            data.display(),
            auth::hash("operator-key"),
            peers[0],
            voters.collect::<Vec<_>>().join(", "),
        );
        Settings::parse("fleet.ini", text).unwrap()
    }

    fn fill(&mut self) {
        for name in ["large", "small"] {
            let hash = format!("key_hash={}", auth::hash(format!("{name}-key")));
            self.operate(&["table", "add", "workspaces", name, &hash]);
        }
        self.operate(&["table", "add", "models", "m", "version=v1"]);
        for index in 0..ENGINES {
            let engine = Engine::start(Options::default());
            let engine = self.runtime.block_on(engine).unwrap();
            let address = format!("address={}", engine.address());
            let name = format!("u{index}");
            let cells = ["type=engine", "model=m", &address];
            self.operate(&[&["table", "add", "upstreams", &name], &cells[..]].concat());
            self._engines.push(engine);
        }
        self.settle();
    }

    /// Waits until every host has the newest row in force; a host whose disk is slow takes longer.
    fn settle(&self) {
        let newest = format!("u{}", ENGINES - 1);
        let started = Instant::now();
        for address in &self.addresses {
            let address = address.to_string();
            while !self
                .ask(&["table", "get", "upstreams"], &address)
                .contains(&newest)
            {
                assert!(started.elapsed() < HANG, "{address} has no {newest}");
            }
        }
    }

    /// Waits until all hosts vote; one founds the group, and the others join one after the other.
    fn complete(&self) {
        let started = Instant::now();
        while self.voters() < HOSTS.len() {
            assert!(started.elapsed() < HANG, "{} voters", self.voters());
        }
    }

    /// Counts the voters and those that are about to vote.
    fn voters(&self) -> usize {
        let told = self.operate(&["voters", "--json"]);
        let voters: Value = serde_json::from_str(&told).unwrap();
        voters["voters"].as_array().unwrap().len()
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Runs a command as the operator until it succeeds and returns what it prints.
    fn operate(&self, words: &[&str]) -> String {
        let servers = self.addresses.iter().map(SocketAddr::to_string);
        self.ask(words, servers.collect::<Vec<_>>().join(","))
    }

    /// Runs a command against `servers` until it succeeds and returns what it prints.
    fn ask(&self, words: &[&str], servers: impl AsRef<str>) -> String {
        let key = self.path("operator");
        let all = [words, &["--server", servers.as_ref(), "--key-file", &key]].concat();
        let started = Instant::now();
        loop {
            let output = run(&all);
            if output.status.success() {
                return stdout(&output);
            }
            assert!(started.elapsed() < HANG, "{words:?}: {}", stderr(&output));
        }
    }
}

/// Returns addresses of this process's own, which no outgoing connection takes meanwhile.
fn free_ports() -> Vec<SocketAddr> {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 128, low, 1);
    let bind = |_| TcpListener::bind((ip, 0)).unwrap();
    let listeners: Vec<_> = HOSTS.iter().map(bind).collect();
    let address = |listener: &TcpListener| listener.local_addr().unwrap();
    listeners.iter().map(address).collect()
}

#[test]
fn load_is_served_whole_and_reported() {
    let fleet = Fleet::start();
    let [large, small] = ["large", "small"].map(|name| format!("{name}={}", fleet.path(name)));
    let servers = fleet.addresses.iter().map(SocketAddr::to_string);
    let servers = servers.collect::<Vec<_>>().join(",");
    let mut words = vec!["load", "--model", "m", "--json", "--server", &servers];
    words.extend(["--workspace", &large, "--workspace", &small]);
    words.extend(["--mix", "laurentides", "--seed", "5", "--scale", "2"]);
    words.extend(["--count", "60", "--rate", "60", "--duration", "30"]);
    let output = run(&words);
    assert!(output.status.success(), "{}", stderr(&output));
    let report: Value = serde_json::from_str(&stdout(&output)).unwrap();
    let total = &report["total"];
    assert_eq!(total["sent"], 60, "{report:#}");
    assert_eq!(total["done"], 60, "{report:#}");
    assert_eq!(total["first_token_ms"]["count"], 60);
    assert!(total["token_gap_ms"]["p95"].as_f64().unwrap() > 0.0);
    assert_eq!(report["ranks"].as_array().unwrap().len(), 2);
    let names = report["groups"].as_array().unwrap().iter();
    let mut names: Vec<_> = names.map(|group| group["workspace"].clone()).collect();
    names.dedup();
    assert!(names.contains(&"large".into()) && names.contains(&"small".into()));
    fleet.complete();
    assert_eq!(fleet.voters(), HOSTS.len());
    assert!(fleet.operate(&["status"]).contains("\nu2 "));
}
