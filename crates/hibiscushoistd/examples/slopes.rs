//! Measures what a daemon spends on the fleet at rest, for fleets of several sizes.
//!
//! Run with `cargo run --release -p hibiscushoistd --example slopes -- 8 16 32 64` after
//! `cargo build --release -p hibiscushoistd`.

#[path = "../tests/processes/mod.rs"]
mod processes;

use std::env;
use std::fs;
use std::time::Duration;
use std::time::Instant;

use processes::Fleet;
use processes::VOTERS;
use processes::WORKSPACE_KEY;

const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const QUIET: Duration = Duration::from_secs(30);
const SETTLING: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Default)]
struct Usage {
    received: f64,
    resident_kb: f64,
    seconds: f64,
    sent: f64,
}

#[tokio::main]
async fn main() {
    println!("hosts role   core %  sent B/s  received B/s  resident MB");
    for size in env::args().skip(1) {
        let size = size.parse().expect("the sizes are numbers");
        measure(size).await;
    }
}

async fn measure(size: usize) {
    let fleet = Fleet::start(size).await;
    tokio::time::sleep(SETTLING).await;
    let before = usages(&fleet).await;
    let start = Instant::now();
    tokio::time::sleep(QUIET).await;
    let after = usages(&fleet).await;
    let seconds = start.elapsed().as_secs_f64();
    let (voters, others) = (0..VOTERS, VOTERS..size);
    for (role, places) in [("voter", voters), ("other", others)] {
        let count = places.len() as f64;
        let mean = |part: fn(&Usage) -> f64| {
            let spent = places.clone().map(|p| part(&after[p]) - part(&before[p]));
            spent.sum::<f64>() / count / seconds
        };
        let resident = places.clone().map(|p| after[p].resident_kb).sum::<f64>() / count;
        println!(
            "{size:5} {role}  {:6.2}  {:8.0}  {:12.0}  {:11.1}",
            mean(|u| u.seconds) * 100.0,
            mean(|u| u.sent),
            mean(|u| u.received),
            resident / 1024.0,
        );
    }
}

async fn usages(fleet: &Fleet) -> Vec<Usage> {
    let mut usages = Vec::new();
    for place in 0..fleet.hosts.len() {
        let text = fleet.text(place, "/metrics", WORKSPACE_KEY).await;
        let text = text.unwrap_or_default();
        let (seconds, resident_kb) = process(fleet.id(place));
        usages.push(Usage {
            received: counter(&text, "hibiscushoist_peer_received_bytes_total"),
            resident_kb,
            seconds,
            sent: counter(&text, "hibiscushoist_peer_sent_bytes_total"),
        });
    }
    usages
}

fn counter(text: &str, name: &str) -> f64 {
    let mut lines = text.lines().filter(|line| line.starts_with(name));
    let value = lines.next().and_then(|line| line.rsplit(' ').next());
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// Returns the processor time, in seconds, and the resident memory of a process.
fn process(id: u32) -> (f64, f64) {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |place: usize| fields.get(place).and_then(|f| f.parse::<f64>().ok());
    let spent = ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let mut lines = status
        .lines()
        .filter_map(|line| line.strip_prefix("VmRSS:"));
    let resident = lines.next().and_then(|line| line.split_whitespace().next());
    let resident = resident.and_then(|kb| kb.parse().ok()).unwrap_or_default();
    (spent / CLOCK_TICKS_PER_SECOND, resident)
}
