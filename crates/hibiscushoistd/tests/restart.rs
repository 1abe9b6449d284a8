//! Real daemons that are killed without warning and started again.

use std::collections::BTreeMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
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
use serde_json::Value;
use serde_json::json;

use fakes::service::Fault;
use fakes::service::Service;
use hibiscushoistd::auth;

const KEY: &str = "operator-key";
const LOG_LINES: usize = 12;
const LIMIT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(50);

/// Counts the fleets of this process.
static FLEETS: AtomicU8 = AtomicU8::new(0);

struct Host {
    child: Option<Child>,
    data: PathBuf,
    entry: SocketAddr,
    settings: PathBuf,
}

/// Holds daemons of which the first `voters` keep the log.
struct Fleet {
    client: Client<HttpConnector, Full<Bytes>>,
    folder: PathBuf,
    hosts: Vec<Host>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns addresses of this fleet's own, which no outgoing connection takes meanwhile.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let network = FLEETS.fetch_add(1, Ordering::SeqCst);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let low = low.wrapping_add(network.wrapping_mul(16));
    let bind = |place: usize| {
        let ip = Ipv4Addr::new(127, high & 127, low, place as u8 + 2);
        TcpListener::bind((ip, 0)).expect("a port is free")
    };
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("it is bound");
    listeners.iter().map(address).collect()
}

impl Fleet {
    fn start(name: &str, voters: usize, entries: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("{name}_{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder is made");
        let count = voters + entries;
        let addresses = free_addresses(2 * count);
        let (peers, listens) = addresses.split_at(count);
        let members = peers[..voters].iter().enumerate();
        let members: Vec<String> = members.map(|(n, peer)| format!("h{n}@{peer}")).collect();
        let members = members.join(", ");
        let mut fleet = Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            folder: folder.clone(),
            hosts: Vec::new(),
        };
        for number in 0..count {
            let data = folder.join(format!("data{number}"));
            let roles = match number < voters {
                false => "broker, entry",
                true => "broker, entry, voter",
            };
            let text = format!(
                "[daemon]\nname = h{number}\nfleet = test\nfailure_domain = one\n\
                 roles = {roles}\ndata = {}\n\
                 [entry]\nlisten = {}\naddress_lifetime_ms = 1\n\
                 [operator]\nkey_hash = {}\n\
                 [peer]\nlisten = {}\nkey = {}\nseeds = {}\n\
                 [voters]\nmembers = {members}\n",
                data.display(),
                listens[number],
                auth::hash(KEY),
                peers[number],
                "ab".repeat(32),
                peers[0],
            );
            let settings = folder.join(format!("h{number}.ini"));
            fs::write(&settings, text).expect("the settings are written");
            fleet.hosts.push(Host {
                child: None,
                data,
                entry: listens[number],
                settings,
            });
            fleet.launch(number);
        }
        fleet
    }

    fn launch(&mut self, host: usize) {
        let log = self.folder.join(format!("h{host}.log"));
        let log = fs::File::options().append(true).create(true).open(log);
        let child = Command::new(env!("CARGO_BIN_EXE_hibiscushoistd"))
            .arg("--settings")
            .arg(&self.hosts[host].settings)
            .stdin(Stdio::null())
            .stderr(Stdio::inherit())
            .stdout(log.expect("the log opens"))
            .spawn();
        self.hosts[host].child = Some(child.expect("the daemon starts"));
    }

    fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.hosts[host].child.take() {
            child.kill().expect("the daemon is killed");
            child.wait().expect("the daemon is gone");
        }
    }

    fn lose_disk(&mut self, host: usize) {
        self.kill(host);
        fs::remove_dir_all(&self.hosts[host].data).expect("the folder goes");
        self.launch(host);
    }

    async fn call(&self, host: usize, path: &str, body: Option<&Value>) -> Option<(u16, Value)> {
        let uri = format!("http://{}{path}", self.hosts[host].entry);
        let method = match body {
            None => "GET",
            Some(_) => "POST",
        };
        let bytes = body.map(ToString::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::from(bytes))
            .expect("the request is good");
        let call = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, serde_json::from_slice(&body).ok()?))
        };
        tokio::time::timeout(Duration::from_secs(10), call)
            .await
            .ok()?
    }

    /// Sends an order and returns the status and, of a refusal, the reason.
    async fn order(&self, host: usize, name: &str) -> Option<(u16, String)> {
        let uri = format!(
            "http://{}/v1/services/booking/spots",
            self.hosts[host].entry
        );
        let request = Request::post(uri)
            .header("authorization", format!("Bearer {KEY}"))
            .header("idempotency-key", name)
            .header("x-deadline-ms", "2000")
            .body(Full::from(name.to_owned()))
            .expect("the request is good");
        let call = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            let body: Value = serde_json::from_slice(&body).ok()?;
            let reason = body["error"]["reason"].as_str().unwrap_or_default();
            Some((status, reason.to_owned()))
        };
        tokio::time::timeout(Duration::from_secs(10), call)
            .await
            .ok()?
    }

    /// Sends an edit to one host after another until one says that it is accepted.
    async fn edit(&self, first: usize, edit: &Value) -> u64 {
        let end = Instant::now() + LIMIT;
        let mut host = first;
        while Instant::now() < end {
            let answer = self
                .call(host % self.hosts.len(), "/admin/edits", Some(edit))
                .await;
            match answer {
                Some((200, receipt)) => return receipt["revision"].as_u64().expect("a number"),
                Some((status @ (400 | 409), body)) => panic!("refused: {status} {body}"),
                _ => tokio::time::sleep(PAUSE).await,
            }
            host += 1;
        }
        panic!(
            "no host accepted the edit; the logs end with\n{}",
            self.logs()
        );
    }

    /// Returns the last lines of each host's log.
    fn logs(&self) -> String {
        let log = |host: usize| {
            let path = self.folder.join(format!("h{host}.log"));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(LOG_LINES).collect();
            format!("h{host}:\n{}\n", lines.join("\n"))
        };
        (0..self.hosts.len()).map(log).collect()
    }

    /// Waits until `holds` does of what a host answers.
    async fn wait(&self, host: usize, path: &str, holds: impl Fn(&Value) -> bool) -> Value {
        let end = Instant::now() + LIMIT;
        let mut last = None;
        while Instant::now() < end {
            last = self.call(host, path, None).await;
            if let Some((200, body)) = &last
                && holds(body)
            {
                return body.clone();
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("h{host} {path}: {last:?}");
    }

    /// Returns the data folders that stand for a host among the voters.
    async fn identities(&self, host: usize) -> Vec<String> {
        let body = self
            .wait(self.hosts.len() - 1, "/admin/voters", |_| true)
            .await;
        let voters = body["voters"].as_array().expect("voters");
        let own = voters.iter().filter(|v| v["name"] == format!("h{host}"));
        own.map(|voter| voter["identity"].to_string()).collect()
    }

    async fn leader(&self) -> usize {
        let status = |body: &Value| body["leader"].is_string();
        let host = self.hosts.iter().position(|host| host.child.is_some());
        let body = self
            .wait(host.expect("one runs"), "/admin/voters", status)
            .await;
        let name = body["leader"].as_str().expect("a name")[1..].parse();
        name.expect("the number of a host")
    }

    async fn agree(&self, revision: u64, rows: &BTreeMap<String, u64>) {
        for host in 0..self.hosts.len() {
            let newest = |body: &Value| body["revision"].as_u64() >= Some(revision);
            let table = self.wait(host, "/admin/table", newest).await;
            assert_eq!(table["revision"], revision, "h{host}");
            let found = table["rows"].as_array().expect("rows").iter().map(|row| {
                let name = row["row"].as_str().expect("a name").to_owned();
                (name, row["revision"].as_u64().expect("a number"))
            });
            assert_eq!(found.collect::<BTreeMap<_, _>>(), *rows, "h{host}");
        }
    }
}

fn add(number: u64) -> Value {
    json!({
        "action": {"add": {"rank": "urgent"}},
        "author": "test",
        "if_revision": 0,
        "key": format!("add-{number}"),
        "name": {"row": format!("k{number}"), "sheet": "kinds"},
    })
}

/// Returns whether the group is founded; before that it has too few voters to lose one.
fn has_three_voters(body: &Value) -> bool {
    let voters = body["voters"].as_array();
    voters.is_some_and(|v| v.len() == 3 && v.iter().all(|v| v["standing"] == "voter"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_edits_outlive_kills_of_all_and_are_in_force_everywhere() {
    let mut fleet = Fleet::start("restart_all", 3, 1);
    let mut rows = BTreeMap::new();
    let mut revision = 0;
    for number in 0..120 {
        if number == 39 {
            fleet.wait(3, "/admin/voters", has_three_voters).await;
        }
        if number == 40 {
            let leader = fleet.leader().await;
            fleet.kill(leader);
        }
        if number == 80 {
            for host in 0..3 {
                if fleet.hosts[host].child.is_none() {
                    fleet.launch(host);
                }
            }
        }
        revision = fleet.edit(number as usize, &add(number)).await;
        rows.insert(format!("k{number}"), revision);
    }
    assert_eq!(revision, 120);
    fleet.agree(revision, &rows).await;
    for host in 0..4 {
        fleet.kill(host);
    }
    for host in [3, 2, 0, 1] {
        fleet.launch(host);
    }
    assert_eq!(fleet.edit(3, &add(7)).await, 8);
    revision = fleet.edit(3, &add(120)).await;
    rows.insert("k120".to_owned(), revision);
    assert_eq!(revision, 121);
    fleet.agree(revision, &rows).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_serve_their_table_with_the_quorum_away_and_refuse_edits() {
    let mut fleet = Fleet::start("quorum_away", 3, 1);
    let revision = fleet.edit(0, &add(0)).await;
    let rows = BTreeMap::from([("k0".to_owned(), revision)]);
    fleet.agree(revision, &rows).await;
    for host in 0..4 {
        fleet.kill(host);
    }
    fleet.launch(3);
    fleet.launch(1);
    for host in [1, 3] {
        let table = fleet.wait(host, "/admin/table", |_| true).await;
        assert_eq!(table["revision"], revision);
    }
    let refused = fleet.call(3, "/admin/edits", Some(&add(1))).await;
    let (status, _) = refused.expect("the host answers");
    assert!([503, 504].contains(&status), "{status}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_disk_lost_right_after_the_repair_of_the_first_loses_nothing() {
    let mut fleet = Fleet::start("second_loss", 3, 1);
    let mut rows = BTreeMap::new();
    let mut revision = 0;
    for round in 0..3 {
        for number in 10 * round..10 * (round + 1) {
            revision = fleet.edit(number as usize, &add(number)).await;
            rows.insert(format!("k{number}"), revision);
        }
        fleet.wait(3, "/admin/voters", has_three_voters).await;
        let victim = match round {
            0 => fleet.leader().await,
            _ => round as usize,
        };
        let before = fleet.identities(victim).await;
        fleet.lose_disk(victim);
        let end = Instant::now() + LIMIT;
        while fleet.identities(victim).await == before {
            assert!(Instant::now() < end, "the voter was not replaced");
            tokio::time::sleep(PAUSE).await;
        }
        fleet.wait(3, "/admin/voters", has_three_voters).await;
    }
    assert_eq!(revision, 30);
    fleet.agree(revision, &rows).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_sent_through_all_hosts_while_hosts_are_killed_run_at_most_once() {
    const ORDERS: u64 = 24;
    let mut fleet = Fleet::start("orders", 3, 1);
    let service = Service::start(([127, 0, 7, 1], 0).into()).await.unwrap();
    let rows = [
        ("workspaces", json!({"key_hash": auth::hash(KEY)})),
        (
            "upstreams",
            json!({
                "address": service.address().to_string(),
                "service": "booking",
                "type": "service",
            }),
        ),
    ];
    let mut revision = 0;
    for (sheet, cells) in rows {
        let edit = json!({
            "action": {"add": cells},
            "author": "test",
            "if_revision": 0,
            "key": format!("add-{sheet}"),
            "name": {"row": "a", "sheet": sheet},
        });
        revision = fleet.edit(0, &edit).await;
    }
    for host in 0..4 {
        let newest = |body: &Value| body["revision"].as_u64() >= Some(revision);
        fleet.wait(host, "/admin/table", newest).await;
    }
    for round in 0..ORDERS {
        service.set_fault(match round % 3 {
            0 => Fault::LosesAnswer,
            _ => Fault::None,
        });
        let name = format!("o{round}");
        let victim = round as usize % 4;
        let sent = futures::future::join_all((0..4).map(|host| fleet.order(host, &name)));
        let killed = tokio::time::sleep(Duration::from_millis(round));
        tokio::select! {
            _ = sent => {}
            () = killed => {}
        }
        fleet.kill(victim);
        fleet.launch(victim);
        fleet.leader().await;
    }
    service.set_fault(Fault::None);
    let mut unknown = 0;
    let end = Instant::now() + LIMIT;
    for round in 0..ORDERS {
        let name = format!("o{round}");
        loop {
            assert!(Instant::now() < end, "{name} is not settled");
            match fleet.order(round as usize % 4, &name).await {
                Some((200, _)) => {
                    let runs = service.runs();
                    assert_eq!(runs.get(&format!("booking/{name}")), Some(&1));
                    break;
                }
                Some((_, reason)) if reason == "outcome_unknown" => {
                    unknown += 1;
                    break;
                }
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
    }
    println!("orders: {ORDERS}, of which the outcome of {unknown} is unknown");
    let runs = service.runs();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
