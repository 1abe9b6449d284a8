//! A planned stop of a gateway while callers use open connections to a slow plain service.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::desk::Worker;
use crate::fleet::Fleet;
use crate::platform;
use crate::platform::Operator;
use crate::record::Record;
use crate::web;

/// Time that a worker takes for a request; the route and the caller wait for six seconds.
const WORK: Duration = Duration::from_millis(5_000);
/// Times after the signal at which a caller sends its next request over its open connection, in
/// milliseconds. Callers use an address for three times `ttl_s`, which is 1.5.
const SENT_MS: [u64; 8] = [500, 1_500, 2_500, 3_050, 3_150, 3_250, 3_350, 3_420];
/// Requests sent later than this after the signal are not excused, in milliseconds.
const EXCUSED_MS: u64 = 3_000;
/// `grace_s` of the pages.
const GRACE: Duration = Duration::from_secs(8);

/// What became of a request.
struct Outcome {
    answered: String,
    is_cut: bool,
    sent_ms: u64,
}

/// Stops a gateway with SIGTERM and judges the requests that it took afterwards.
pub fn planned_stop(folder: PathBuf, record: &Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(folder, 3, 2)?;
    let mut entries = Vec::new();
    for number in 0..3 {
        let id = format!("i-{number}");
        let address = fleet.outside(210 + number, 9000);
        entries.push(platform::entry(&id, "desk", address, 6, ""));
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
    let stopped = fleet.gateway(0);
    let front = fleet.machines[stopped].front();
    // A request for a path that no route has shows that each connection works; it runs nowhere.
    let mut channels = Vec::new();
    for number in 0..SENT_MS.len() {
        let mut stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        let request = request(&format!("warm-{number}"), "GET", "/none/a");
        stream.write_all(&request)?;
        let answer = web::read_answer(&mut stream, Instant::now() + limit)?;
        record.line(format!("warm-{number}: {}", answer.status()));
        channels.push(stream);
    }
    let signalled = Instant::now();
    if trouble {
        fleet.signal(stopped, "TERM");
        record.line("front-1 gets SIGTERM");
    }
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (number, stream) in channels.into_iter().enumerate() {
        let (record, outcomes) = (record.clone(), outcomes.clone());
        callers.push(thread::spawn(move || {
            let outcome = ask(stream, number, signalled, &record);
            if let Ok(mut outcomes) = outcomes.lock() {
                outcomes.push(outcome);
            }
        }));
    }
    thread::sleep(GRACE.saturating_sub(signalled.elapsed()));
    record.line(format!(
        "after grace_s: front-1 has ended: {}",
        fleet.has_ended(stopped)
    ));
    for caller in callers {
        let _ = caller.join();
    }
    let outcomes = outcomes.lock();
    let outcomes = outcomes.map_err(|_| io::Error::other("a caller failed"))?;
    let late = outcomes.iter().filter(|o| o.sent_ms > EXCUSED_MS);
    let cut = late.filter(|outcome| outcome.is_cut).count();
    for outcome in outcomes.iter() {
        record.line(format!(
            "sent {} ms after the signal: {}",
            outcome.sent_ms, outcome.answered
        ));
    }
    record.line(format!(
        "sent more than {EXCUSED_MS} ms after the signal, passed on and cut: {cut}"
    ));
    Ok(cut == 0)
}

/// Sends one order at its time and waits for its answer.
fn ask(mut stream: TcpStream, number: usize, signalled: Instant, record: &Record) -> Outcome {
    let sent_ms = SENT_MS[number];
    thread::sleep(Duration::from_millis(sent_ms).saturating_sub(signalled.elapsed()));
    let id = format!("q-{number}");
    let request = request(&id, "POST", "/order/a");
    record.line(format!("{id} is sent over an open connection"));
    let until = Instant::now() + Duration::from_millis(6_500);
    let answer = stream
        .write_all(&request)
        .and_then(|()| web::read_answer(&mut stream, until));
    record.line(format!("{id}: {}", platform::told(&answer)));
    Outcome {
        answered: platform::told(&answer),
        is_cut: !answer.is_ok_and(|message| message.whole),
        sent_ms,
    }
}

fn request(id: &str, method: &str, path: &str) -> Vec<u8> {
    let headers = [
        ("host", "h.example"),
        ("x-request-id", id),
        ("x-deadline-ms", "6000"),
        ("authorization", "Bearer key-1"),
    ];
    let body: &[u8] = if method == "POST" { b"one hold" } else { b"" };
    web::encode_request(method, path, &headers, body)
}

fn configuration() -> String {
    include_str!("tables/order.json").replace("@VERSION@", "1")
}
