//! A fleet of real daemons on loopback addresses.

#![allow(dead_code)]

pub mod load;

use std::collections::BTreeSet;
use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use hibiscushoistd::auth;

/// Bounds how long a connection may be idle and still be used again; hosts tell 8 s.
pub const IDLE: Duration = Duration::from_secs(8);
/// Bounds every wait; only a hang meets it.
pub const LIMIT: Duration = Duration::from_secs(60);
/// Gives the lifetime of addresses in the tests.
pub const LIFETIME: Duration = Duration::from_millis(1_000);
pub const OPERATOR_KEY: &str = "operator-key";
pub const WORKSPACE_KEY: &str = "maps-key";

const DOMAINS: usize = 3;
pub const POLL: Duration = Duration::from_millis(20);
/// Parts the address before a host from its own, whose ports are free until the host starts.
const BEFORE: u8 = 100;
/// Counts the hosts without a disk, the last ones.
pub const DISKLESS: usize = 2;
/// Counts the voters, the first hosts.
pub const VOTERS: usize = 3;

static FLEETS: AtomicU8 = AtomicU8::new(0);

/// Holds one daemon's process and addresses.
pub struct Host {
    advertised: SocketAddr,
    child: Option<Child>,
    pub entry: SocketAddr,
    pub name: String,
    peer: SocketAddr,
    settings: PathBuf,
}

/// Runs daemons until it is dropped.
pub struct Fleet {
    client: Client<HttpConnector, Full<Bytes>>,
    folder: TempDir,
    pub hosts: Vec<Host>,
    /// Counts the hosts that can vote, the first ones.
    voter_hosts: usize,
}

impl Fleet {
    /// Starts `count` daemons in three failure domains and waits until each knows all.
    pub async fn start(count: usize) -> Self {
        let mut fleet = Self::prepare(count);
        for place in 0..count {
            fleet.spawn(place);
        }
        fleet.settle().await;
        fleet
    }

    /// Writes the settings of `count` daemons without starting any.
    pub fn prepare(count: usize) -> Self {
        Self::prepare_voters(count, VOTERS)
    }

    /// Writes the settings of `count` daemons, of which the first `voter_hosts` can vote and the
    /// first [`VOTERS`] found the group, without starting any.
    pub fn prepare_voters(count: usize, voter_hosts: usize) -> Self {
        let folder = TempDir::new().expect("a folder can be made");
        let network = FLEETS.fetch_add(1, Ordering::SeqCst);
        let [high, low] = (process::id() as u16).to_be_bytes();
        let low = low.wrapping_add(network.wrapping_mul(16));
        let bind = |place: usize| {
            let ip = Ipv4Addr::new(127, high | 128, low, place as u8 + 1);
            TcpListener::bind((ip, 0)).expect("a port is free")
        };
        let entries: Vec<TcpListener> = (0..count).map(bind).collect();
        let peers: Vec<TcpListener> = (0..count).map(bind).collect();
        let address = |listener: &TcpListener| listener.local_addr().expect("it is bound");
        let hosts = (0..count).map(|place| Host {
            advertised: address(&peers[place]),
            child: None,
            entry: address(&entries[place]),
            name: format!("h{place}"),
            peer: address(&peers[place]),
            settings: folder.path().join(format!("h{place}.ini")),
        });
        let hosts: Vec<Host> = hosts.collect();
        let fleet = Self {
            client: Client::builder(TokioExecutor::new())
                .pool_idle_timeout(IDLE)
                .build_http(),
            folder,
            hosts,
            voter_hosts,
        };
        fleet.write();
        fleet
    }

    /// Returns a listener to which the peers of a host connect in its place from now on, and the
    /// address that the host listens on.
    pub fn stand_before(&mut self, place: usize) -> (TcpListener, SocketAddr) {
        let host = &mut self.hosts[place];
        let [network @ .., last] = match host.peer.ip() {
            IpAddr::V4(ip) => ip.octets(),
            IpAddr::V6(_) => panic!("hosts listen on IPv4"),
        };
        let [first, second, third] = network;
        let ip = Ipv4Addr::new(first, second, third, last + BEFORE);
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        host.advertised = listener.local_addr().expect("it is bound");
        let peer = host.peer;
        self.write();
        (listener, peer)
    }

    fn write(&self) {
        for place in 0..self.hosts.len() {
            let text = self.settings(place);
            fs::write(&self.hosts[place].settings, text).expect("settings can be written");
        }
    }

    fn settings(&self, place: usize) -> String {
        let host = &self.hosts[place];
        let voters = self.hosts.iter().take(VOTERS);
        let seeds = self.hosts.iter().map(|h| h.advertised.to_string());
        let members = voters.map(|h| format!("{}@{}", h.name, h.advertised));
        let data = self.folder.path().join(&host.name);
        let roles = match place < self.voter_hosts {
            false => "broker, entry",
            true => "broker, entry, voter",
        };
        let data = match place < self.hosts.len() - DISKLESS.min(self.hosts.len() - 1) {
            false => String::new(),
            true => format!("data = {}\n", data.display()),
        };
        format!(
            "[daemon]\nname = {}\nfleet = test\nfailure_domain = d{}\nroles = {roles}\n{data}\
             [entry]\nlisten = {}\naddress_lifetime_ms = {}\ndrain_limit_ms = 30000\n\
             [log]\nform = json\n\
             [operator]\nkey_hash = {}\n\
             [peer]\nlisten = {}\nadvertise = {}\nkey = {}\nseeds = {}\n\
             [voters]\nmembers = {}\n",
            host.name,
            place % DOMAINS,
            host.entry,
            LIFETIME.as_millis(),
            auth::hash(OPERATOR_KEY),
            host.peer,
            host.advertised,
            "5a".repeat(32),
            seeds.collect::<Vec<_>>().join(", "),
            members.collect::<Vec<_>>().join(", "),
        )
    }

    /// Starts the process of one host.
    pub fn spawn(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        let log = self.folder.path().join(format!("{}.log", host.name));
        let log = fs::OpenOptions::new().append(true).create(true).open(log);
        let child = Command::new(program())
            .arg("--settings")
            .arg(&host.settings)
            .stderr(Stdio::inherit())
            .stdout(log.expect("the log can be opened"))
            .spawn();
        host.child = Some(child.expect("the daemon can be started"));
    }

    /// Sends a signal to one host.
    pub fn signal(&self, place: usize, signal: Signal) {
        let child = self.hosts[place].child.as_ref();
        let id = child.expect("the daemon runs").id() as i32;
        let pid = Pid::from_raw(id).expect("the process has a number");
        kill_process(pid, signal).expect("the signal can be sent");
    }

    /// Hands over the process of a host, which then counts as one that does not run.
    pub fn release(&mut self, place: usize) -> Option<Child> {
        self.hosts[place].child.take()
    }

    /// Kills one host without a warning.
    pub fn kill(&mut self, place: usize) {
        let mut child = self.hosts[place].child.take().expect("the daemon runs");
        child.kill().expect("the daemon can be killed");
        child.wait().expect("the daemon ends");
    }

    /// Waits until a host that was told to end has ended.
    pub async fn wait(&mut self, place: usize) -> ExitStatus {
        let mut child = self.hosts[place].child.take().expect("the daemon runs");
        let start = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("the daemon can be watched") {
                return status;
            }
            assert!(start.elapsed() < LIMIT, "host {place} does not end");
            tokio::time::sleep(POLL).await;
        }
    }

    /// Lists the places of the hosts whose process runs.
    pub fn running(&self) -> Vec<usize> {
        let places = 0..self.hosts.len();
        places.filter(|p| self.hosts[*p].child.is_some()).collect()
    }

    /// Returns the process number of a host.
    pub fn id(&self, place: usize) -> u32 {
        self.hosts[place]
            .child
            .as_ref()
            .expect("the daemon runs")
            .id()
    }

    /// Waits until every running host holds all running hosts to be live, and none other.
    pub async fn settle(&self) {
        let running = self.running();
        let names = running.iter().map(|p| self.hosts[*p].name.as_str());
        let expected: BTreeSet<&str> = names.collect();
        for place in &running {
            self.until(*place, |hosts| {
                let present = hosts
                    .iter()
                    .filter(|(_, s)| !["dead", "left"].contains(&&**s));
                let live = hosts.iter().filter(|(_, standing)| standing == "live");
                let live: BTreeSet<&str> = live.map(|(name, _)| name.as_str()).collect();
                live == expected && present.count() == expected.len()
            })
            .await;
        }
    }

    /// Waits until what a host holds of all hosts fulfils `done`; returns how long it took.
    pub async fn until(
        &self,
        place: usize,
        done: impl Fn(&[(String, String)]) -> bool,
    ) -> Duration {
        let start = Instant::now();
        let mut seen = Vec::new();
        while start.elapsed() < LIMIT {
            seen = self.standings(place).await;
            if done(&seen) {
                return start.elapsed();
            }
            tokio::time::sleep(POLL).await;
        }
        let logs: Vec<String> = (0..self.hosts.len()).map(|p| self.log(p)).collect();
        panic!("host {place} still sees {seen:?}\n{}", logs.join("\n"));
    }

    /// Waits until every running host but `place` holds it to be of one of `standings`.
    pub async fn until_held(&self, place: usize, standings: &[&str]) -> Duration {
        let start = Instant::now();
        let name = &self.hosts[place].name;
        for observer in self.running().into_iter().filter(|p| *p != place) {
            self.until(observer, |hosts| {
                let found = hosts.iter().find(|(host, _)| host == name);
                found.is_some_and(|(_, standing)| standings.contains(&standing.as_str()))
            })
            .await;
        }
        start.elapsed()
    }

    /// Returns what a host holds of all hosts; nothing while it does not answer.
    pub async fn standings(&self, place: usize) -> Vec<(String, String)> {
        let Some(status) = self.get(place, "/admin/status").await else {
            return Vec::new();
        };
        let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
        let text = |host: &Value, key: &str| host[key].as_str().unwrap_or_default().to_owned();
        let pair = |host: &Value| (text(host, "name"), text(host, "standing"));
        hosts.iter().map(pair).collect()
    }

    /// Returns the log of a host.
    pub fn log(&self, place: usize) -> String {
        let path = self.folder.path().join(format!("h{place}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the addresses that a host tells the holder of a key.
    pub async fn addresses(&self, place: usize, key: &str) -> Vec<SocketAddr> {
        let body = self.text(place, "/v1/addresses", key).await;
        let listing: Value = serde_json::from_str(&body.expect("the host answers")).unwrap();
        serde_json::from_value(listing["addresses"].clone()).unwrap()
    }

    /// Asks a host for JSON as the operator.
    pub async fn get(&self, place: usize, path: &str) -> Option<Value> {
        let body = self.text(place, path, OPERATOR_KEY).await?;
        serde_json::from_str(&body).ok()
    }

    /// Asks a host for text under a key.
    pub async fn text(&self, place: usize, path: &str, key: &str) -> Option<String> {
        let uri = format!("http://{}{path}", self.hosts[place].entry);
        let request = Request::get(uri)
            .header("authorization", format!("Bearer {key}"))
            .body(Full::default())
            .expect("the request is good");
        let answer = async {
            let response = self.client.request(request).await.ok()?;
            let body = response.into_body().collect().await.ok()?;
            String::from_utf8(body.to_bytes().to_vec()).ok()
        };
        tokio::time::timeout(Duration::from_secs(2), answer)
            .await
            .ok()?
    }

    /// Adds a row to the table.
    pub async fn add(&self, sheet: &str, row: &str, cells: Value) {
        self.edit(sheet, row, 0, json!({"add": cells})).await;
    }

    /// Changes a row of the table through any running host; `from` is the row's revision.
    pub async fn edit(&self, sheet: &str, row: &str, from: u64, action: Value) {
        let edit = json!({
            "action": action,
            "author": "test",
            "if_revision": from,
            "key": format!("{sheet}-{row}-{from}"),
            "name": {"row": row, "sheet": sheet},
        });
        let start = Instant::now();
        let mut answer = String::new();
        while start.elapsed() < LIMIT {
            for place in self.running() {
                let (status, body) = self.post(place, &edit).await;
                if status == 200 {
                    return;
                }
                answer = body;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the edit is not accepted: {answer}");
    }

    /// Waits until every running host has the newest table of any.
    pub async fn until_spread(&self) {
        let mut newest = 0;
        for place in self.running() {
            newest = newest.max(self.revision(place).await);
        }
        let start = Instant::now();
        for place in self.running() {
            while self.revision(place).await < newest {
                assert!(start.elapsed() < LIMIT, "host {place} lacks the table");
                tokio::time::sleep(POLL).await;
            }
        }
    }

    /// Returns the revision of a row.
    pub async fn row(&self, sheet: &str, row: &str) -> u64 {
        let table = self
            .get(self.running()[0], "/admin/table")
            .await
            .unwrap_or_default();
        let rows = table["rows"].as_array().cloned().unwrap_or_default();
        let found = rows.iter().find(|r| r["sheet"] == sheet && r["row"] == row);
        found.expect("the row is there")["revision"]
            .as_u64()
            .unwrap_or_default()
    }

    /// Returns the place of the host that gave an order last.
    pub fn controller(&self) -> usize {
        let ordered = |place: &usize| self.log(*place).contains("rollout_ordered");
        self.running()
            .into_iter()
            .find(ordered)
            .expect("a host gave an order")
    }

    async fn revision(&self, place: usize) -> u64 {
        let status = self.get(place, "/admin/status").await.unwrap_or_default();
        status["revision"].as_u64().unwrap_or_default()
    }

    async fn post(&self, place: usize, edit: &Value) -> (u16, String) {
        let uri = format!("http://{}/admin/edits", self.hosts[place].entry);
        let request = Request::post(uri)
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(Full::from(edit.to_string()))
            .expect("the request is good");
        let Ok(response) = self.client.request(request).await else {
            return (0, "no answer".to_owned());
        };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.hosts.iter_mut().filter_map(|host| host.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the daemon's program: the one that cargo built for a test, or the neighbour of an
/// example.
fn program() -> PathBuf {
    match option_env!("CARGO_BIN_EXE_hibiscushoistd") {
        None => {
            let example = std::env::current_exe().expect("the program has a path");
            let folder = example.ancestors().nth(2).expect("examples have a folder");
            folder.join("hibiscushoistd")
        }
        Some(path) => PathBuf::from(path),
    }
}
