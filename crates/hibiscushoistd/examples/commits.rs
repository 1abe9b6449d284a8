//! Measures commits by three voters of one process over loopback, each with its own folder.
//!
//! Run with `cargo run --release -p hibiscushoistd --example commits [FOLDER]`; the folder stands
//! on the disk that is measured and is removed afterwards.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use hibiscushoistd::voter;
use state::ident::Digest;
use state::ledger::CallKey;
use state::ledger::Intent;
use transport::log;

const ADDRESS: &str = "127.0.8.1";
const AT_ONCE: [u64; 5] = [1, 8, 64, 256, 1_024];
const SPAN: Duration = Duration::from_secs(4);

fn main() {
    let folder = std::env::args().nth(1).map(PathBuf::from);
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join("commits"));
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(measure(&folder));
    fs::remove_dir_all(&folder).expect("the folder goes");
}

async fn measure(folder: &Path) {
    let bind = |_| TcpListener::bind((ADDRESS, 0)).expect("a port is free");
    let listeners: Vec<TcpListener> = (0..3).map(bind).collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("it is bound");
    let addresses: Vec<SocketAddr> = listeners.iter().map(address).collect();
    drop(listeners);
    let mut daemons = Vec::new();
    for number in 0..3 {
        let settings = settings(folder, number, &addresses);
        let daemon = Daemon::start(settings, log::discard()).await;
        daemons.push(daemon.expect("the daemon starts"));
    }
    let formed = |daemon: &Daemon| {
        let status = daemon.voter().status().unwrap_or_default();
        status.config.voters().count() == 3
    };
    while !daemons.iter().all(formed) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let leads = |daemon: &&Daemon| daemon.voter().status().is_some_and(|s| s.leads);
    let leader = daemons.iter().find(leads).expect("a voter leads").voter();
    let other = daemons
        .iter()
        .find(|d| !leads(d))
        .expect("one follows")
        .voter();
    for (name, voter) in [
        ("on the leader", leader),
        ("passed on to the leader", other),
    ] {
        for at_once in AT_ONCE {
            round(name, voter, at_once).await;
        }
    }
}

async fn round(name: &str, voter: &voter::Handle, at_once: u64) {
    let began = Instant::now();
    let worker = |worker: u64| {
        let voter = voter.clone();
        let name = name.to_owned();
        tokio::spawn(async move {
            let mut times = Vec::new();
            while began.elapsed() < SPAN {
                let asked = Instant::now();
                let key = format!("{name}-{at_once}-{worker}-{}", times.len());
                voter.begin(intent(key)).await.expect("the voters agree");
                times.push(asked.elapsed().as_micros());
            }
            times
        })
    };
    let workers: Vec<_> = (0..at_once).map(worker).collect();
    let mut times = Vec::new();
    for worker in workers {
        times.extend(worker.await.expect("the worker ends"));
    }
    let rate = times.len() as f64 / began.elapsed().as_secs_f64();
    times.sort_unstable();
    let (half, most) = (times[times.len() / 2], times[times.len() * 99 / 100]);
    println!("{name}, {at_once} at once: {rate:.0} commits/s, p50 {half} us, p99 {most} us");
}

fn intent(idempotency: String) -> Intent {
    Intent {
        digest: Digest::of(&[idempotency.as_bytes()]),
        timeout_ms: 60_000,
        key: CallKey {
            idempotency,
            workspace: "workspace".to_owned(),
        },
        intent_id: rand::random(),
    }
}

fn settings(folder: &Path, number: usize, addresses: &[SocketAddr]) -> Settings {
    let members = addresses.iter().enumerate();
    let members: Vec<String> = members
        .map(|(n, address)| format!("h{n}@{address}"))
        .collect();
    let data = folder.join(number.to_string());
    let text = format!(
        "[daemon]\nname = h{number}\nfleet = test\nfailure_domain = one\nroles = voter\n\
         data = {}\n[peer]\nlisten = {}\nkey = {}\nseeds = {}\n[voters]\nmembers = {}\n",
        data.display(),
        addresses[number],
        "ab".repeat(32),
        addresses[0],
        members.join(", "),
    );
    Settings::parse("commits.ini", text).expect("the settings are good")
}
