//! A burst of long requests while the workers are slow.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::desk::Worker;
use crate::fleet::Fleet;
use crate::platform;
use crate::platform::Operator;
use crate::record::Record;
use crate::web;

/// `max_body_bytes` of the configuration, which callers stay within.
const BODY_BYTES: usize = 4 << 20;
/// `memory_mb` of a machine that serves callers, of the smaller deployment.
const MEMORY_MB: u64 = 110;
/// Callers that send at the same time, usually and in the burst, which is 2.5 times as many.
const USUAL: usize = 16;
const BURST: usize = 40;
/// Time that a worker takes for a request.
const WORK: Duration = Duration::from_millis(3_000);

/// Sends long requests to one gateway at once, and judges the memory that its process took.
pub fn run(folder: PathBuf, record: &Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(folder, 3, 2)?;
    let mut entries = Vec::new();
    for number in 0..3 {
        let id = format!("i-{number}");
        let address = fleet.outside(210 + number, 9000);
        entries.push(platform::entry(&id, "desk", address, 64, ""));
        let worker = Worker {
            id,
            record: record.clone(),
            work: WORK,
        };
        worker.serve(address)?;
    }
    platform::serve_list(fleet.outside(200, 8784), entries)?;
    for number in 0..fleet.machines.len() {
        fleet.start(number, true)?;
    }
    let mut operator = Operator::new(record.clone());
    let limit = Duration::from_secs(20);
    if !operator.replace(&fleet, 1, &configuration(), limit)
        || !platform::wait_until_ready(&fleet, record, limit)
    {
        return Err(io::Error::other("the fleet does not start"));
    }
    thread::sleep(Duration::from_secs(4));
    let front = fleet.gateways()[0].front();
    let process = fleet.process(fleet.gateway(0));
    record.line(format!("memory before: {} MB", peak_mb(process)?));
    let count = if trouble { BURST } else { USUAL };
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for number in 0..count {
        let (body, statuses, record) = (body.clone(), statuses.clone(), record.clone());
        callers.push(thread::spawn(move || {
            let id = format!("q-{number}");
            let headers = [
                ("host", "h.example"),
                ("x-request-id", id.as_str()),
                ("x-deadline-ms", "12000"),
                ("authorization", "Bearer key-1"),
            ];
            let limit = Duration::from_secs(12);
            let answer = web::call(front, "POST", "/draft/a", &headers, &body, limit);
            let told = platform::told(&answer);
            record.line(format!("{id}: {told}"));
            if let Ok(mut statuses) = statuses.lock() {
                statuses.push(told);
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let peak = peak_mb(process)?;
    let statuses = statuses.lock();
    let statuses = statuses.map_err(|_| io::Error::other("a caller failed"))?;
    let served = statuses.iter().filter(|told| *told == "200").count();
    record.line(format!(
        "served: {served} of {count}; most memory of front-1: {peak} MB of {MEMORY_MB} MB"
    ));
    Ok(peak <= MEMORY_MB)
}

/// Returns the most memory that a process has had, in MB.
fn peak_mb(process: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let words = peak.and_then(|peak| peak.split_whitespace().next());
    let kilobytes: Option<u64> = words.and_then(|word| word.parse().ok());
    let missing = || io::Error::other("the process does not tell its memory");
    kilobytes.map(|count| count / 1_024).ok_or_else(missing)
}

fn configuration() -> String {
    include_str!("tables/draft.json").replace("@VERSION@", "1")
}
