//! Cases about stewards that lose their disks.

use std::io;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::desk::Worker;
use crate::fleet::Fleet;
use crate::platform;
use crate::platform::Operator;
use crate::record::Record;
use crate::web;

/// Time for which a machine is down when its process ends.
const DOWN: Duration = Duration::from_millis(300);
/// `recover_s` of the pages.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which the operator reads back and callers ask after `recover_s`.
const JUDGED: Duration = Duration::from_secs(12);
/// Time from the moment at which the steward takes connections again to the next loss of its disk.
/// The fleet takes about one second to replace the member that a loss ended.
const AGAIN: Duration = Duration::from_millis(700);
/// How often the disk is lost again.
const TIMES: usize = 2;
/// Longest time until a steward that was started takes connections.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Has one steward lose its disk again and again, the last time as the final fault; then judges
/// whether what was acknowledged is still there and whether callers are served.
pub fn two_losses(folder: PathBuf, record: &Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(folder, 3, 2)?;
    let mut entries = Vec::new();
    for number in 0..3 {
        let id = format!("i-{number}");
        let address = fleet.outside(210 + number, 9000);
        entries.push(platform::entry(&id, "desk", address, 6, ""));
        let worker = Worker {
            id,
            record: record.clone(),
            work: Duration::from_millis(15),
        };
        worker.serve(address)?;
    }
    platform::serve_list(fleet.outside(200, 8784), entries)?;
    for number in 0..fleet.machines.len() {
        fleet.start(number, true)?;
    }
    let mut operator = Operator::new(record.clone());
    if !operator.replace(&fleet, 1, &configuration(1), Duration::from_secs(20))
        || !platform::wait_until_ready(&fleet, record, Duration::from_secs(20))
    {
        return Err(io::Error::other("the fleet does not start"));
    }
    thread::sleep(Duration::from_secs(8));
    let callers = Callers::start(&fleet, record);
    thread::sleep(Duration::from_secs(4));
    if !operator.replace(&fleet, 2, &configuration(2), Duration::from_secs(10)) {
        return Err(io::Error::other("the fleet accepts no configuration"));
    }
    let newest = 2;
    if trouble {
        lose_disk(&mut fleet, record, 1)?;
        for _ in 0..TIMES {
            thread::sleep(AGAIN);
            lose_disk(&mut fleet, record, 1)?;
        }
    }
    let (asked, served) = callers.counts();
    record.line(format!(
        "all machines are back; served so far: {served} of {asked}"
    ));
    thread::sleep(RECOVER);
    callers.reset();
    let began = Instant::now();
    let read = operator.read(&fleet, JUDGED);
    let acked = operator.replace(&fleet, 9, &configuration(9), JUDGED);
    thread::sleep(JUDGED.saturating_sub(began.elapsed()));
    let (asked, served) = callers.end();
    let version = read.as_deref().and_then(version_of);
    record.line(format!(
        "newest acknowledged: {newest}; read back: {version:?}; a later one is acknowledged: \
         {acked}; served after recover_s: {served} of {asked}"
    ));
    let kept = version.is_some_and(|version| version >= newest);
    Ok(kept && served * 4 >= asked)
}

/// Kills a steward, empties its disk and starts it again.
fn lose_disk(fleet: &mut Fleet, record: &Record, number: usize) -> io::Result<()> {
    let name = fleet.machines[number].name.clone();
    fleet.lose_disk(number)?;
    record.line(format!("{name} is killed and has lost its disk"));
    thread::sleep(DOWN);
    fleet.start(number, false)?;
    record.line(format!("{name} starts with an empty disk"));
    let control = fleet.machines[number].control();
    let until = Instant::now() + START_LIMIT;
    while TcpStream::connect(control).is_err() {
        if Instant::now() > until {
            return Err(io::Error::other("a steward does not start"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.line(format!("{name} takes connections"));
    Ok(())
}

fn version_of(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once("\"version\":")?;
    let digits = rest.trim_start().chars();
    let digits = digits.take_while(char::is_ascii_digit);
    digits.collect::<String>().parse().ok()
}

fn configuration(version: u64) -> String {
    include_str!("tables/read.json").replace("@VERSION@", &version.to_string())
}

/// Callers that ask ten times a second.
struct Callers {
    asked: Arc<AtomicUsize>,
    served: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Callers {
    fn start(fleet: &Fleet, record: &Record) -> Self {
        let fronts: Vec<_> = fleet.gateways().iter().map(|g| g.front()).collect();
        let asked = Arc::new(AtomicUsize::new(0));
        let served = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let shared = (asked.clone(), served.clone(), stop.clone());
        let record = record.clone();
        let thread = thread::spawn(move || {
            let (asked, served, stop) = shared;
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("q-{number}");
                let headers = [
                    ("host", "h.example"),
                    ("x-request-id", id.as_str()),
                    ("x-deadline-ms", "1000"),
                    ("authorization", "Bearer key-1"),
                ];
                let front = fronts[number % fronts.len()];
                let limit = Duration::from_millis(1_200);
                let answer = web::call(front, "GET", "/read/a", &headers, &[], limit);
                record.line(format!("{id}: {}", platform::told(&answer)));
                asked.fetch_add(1, Ordering::SeqCst);
                if answer.is_ok_and(|message| message.status() == 200) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
        Self {
            asked,
            served,
            stop,
            thread,
        }
    }

    fn reset(&self) {
        self.asked.store(0, Ordering::SeqCst);
        self.served.store(0, Ordering::SeqCst);
    }

    /// Returns how many requests were sent and how many of them were served.
    fn counts(&self) -> (usize, usize) {
        let load = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        (load(&self.asked), load(&self.served))
    }

    fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        let counts = self.counts();
        let _ = self.thread.join();
        counts
    }
}
