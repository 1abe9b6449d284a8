//! Cases: a crowd of callers takes more memory than the machine has, and the platform kills the
//! process for it.
//!
//! Rule: Fault. On two machines or more, processes end three times in the day.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::crowd::Crowd;
use crate::deployment::CALLER;
use crate::deployment::Daemon;
use crate::deployment::Deployment;
use crate::record::Record;

/// Ends of a process in one day from which they are a fault.
const ENDS: usize = 3;
/// Machines on which that must happen: a tenth of those in use and two at least; half of the core.
const MACHINES: usize = 2;
/// Time after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time for which one crowd stays.
const STAY: Duration = Duration::from_secs(6);
/// Time within which a process that was started again has to answer.
const START_LIMIT: Duration = Duration::from_secs(10);

/// What a crowd does to a daemon.
struct Press {
    /// Bytes that each channel sends.
    bytes: Vec<u8>,
    /// Channels to one daemon.
    channels: usize,
    /// Memory of the machine, in KB.
    most_kb: u64,
    /// Port that the crowd connects to.
    port: u16,
}

/// Lets a crowd send 4 MB each to the address where callers ask where to connect.
pub fn core_memory_exceeded(record: &Record, trouble: bool) -> Verdict {
    let head = "POST /hibiscushoist/config/replace HTTP/1.1\r\nHost: a\r\n\
                Content-Length: 4194304\r\n\r\n";
    let mut bytes = head.as_bytes().to_vec();
    bytes.resize(head.len() + 4_194_000, b' ');
    let press = Press {
        bytes,
        channels: 80,
        most_kb: 256 << 10,
        port: 8780,
    };
    run(record, trouble, &press, |deployment| {
        deployment.stewards.iter_mut().take(MACHINES).collect()
    })
}

/// Lets a crowd send requests with very many short fields, whose bodies stop just short of their
/// end, to the address of callers.
pub fn front_memory_exceeded(record: &Record, trouble: bool) -> Verdict {
    let fields = "a:\r\n".repeat(200);
    let head = format!(
        "POST /read/x HTTP/1.1\r\n{CALLER}X-Request-Id: 9c41d07be2a35f68\r\n{fields}\
         Content-Length: 100\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + 99, b'x');
    let press = Press {
        bytes,
        channels: 3_000,
        most_kb: 110 << 10,
        port: 8782,
    };
    run(record, trouble, &press, |deployment| {
        deployment.gateways.iter_mut().collect()
    })
}

/// Sends the crowd to each of the daemons that `choose` returns, and counts how often they end.
fn run(
    record: &Record,
    trouble: bool,
    press: &Press,
    choose: impl FnOnce(&mut Deployment) -> Vec<&mut Daemon>,
) -> Verdict {
    let mut deployment = match Deployment::prepare(MACHINES) {
        Err(error) => return Verdict::Unfit(error.to_string()),
        Ok(deployment) => deployment,
    };
    let started = deployment.start(record).map_err(|error| error.to_string());
    if let Err(reason) = started.and_then(|()| deployment.configure(record)) {
        return Verdict::Unfit(reason);
    }
    for (number, gateway) in deployment.gateways.iter().enumerate() {
        match gateway.call(number, START_LIMIT) {
            Ok(200) => record.line(&format!("{} serves an ordinary request", gateway.ip)),
            other => return Verdict::Unfit(format!("an ordinary request got {other:?}")),
        }
    }
    let mut faults = 0;
    for daemon in choose(&mut deployment) {
        let mut ends = 0;
        for _ in 0..ENDS {
            match round(record, trouble, press, daemon) {
                Err(error) => return Verdict::Unfit(error.to_string()),
                Ok(ended) => ends += usize::from(ended),
            }
        }
        record.line(&format!("{} ended {ends} times", daemon.ip));
        faults += usize::from(ends >= ENDS);
    }
    match faults >= MACHINES {
        false => Verdict::Held,
        true => Verdict::Broken,
    }
}

/// Lets one crowd come to a daemon, and returns whether the process ended or was killed because it
/// took more memory than its machine has. It is started again then.
fn round(record: &Record, trouble: bool, press: &Press, daemon: &mut Daemon) -> io::Result<bool> {
    let before_kb = daemon.memory_kb();
    let began = Instant::now();
    let mut peak_kb = 0;
    let channels = if trouble { press.channels } else { 0 };
    let bytes = press.bytes.clone();
    let mut crowd = Crowd::open(daemon.address(press.port), channels, bytes);
    let mut sent = 0;
    while began.elapsed() < STAY && peak_kb <= press.most_kb {
        sent += crowd.send(Duration::from_millis(200), || {
            peak_kb = peak_kb.max(daemon.memory_kb());
            peak_kb > press.most_kb
        });
        peak_kb = peak_kb.max(daemon.memory_kb());
        if daemon.has_ended() {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let ended = daemon.has_ended() || peak_kb > press.most_kb;
    record.line(&format!(
        "{}: {} channels sent {sent} bytes; memory {before_kb} KB before, {peak_kb} KB at most, \
         {} KB allowed",
        daemon.ip,
        crowd.len(),
        press.most_kb
    ));
    if ended {
        daemon.kill();
        record.line(&format!("{} is killed for its memory", daemon.ip));
        drop(crowd);
        thread::sleep(RESTART_DELAY);
        daemon.start(false)?;
        wait(daemon)?;
        record.line(&format!("{} runs again", daemon.ip));
    }
    Ok(ended)
}

/// Waits until a daemon that was started again takes calls.
fn wait(daemon: &Daemon) -> io::Result<()> {
    let end = Instant::now() + START_LIMIT;
    while std::net::TcpStream::connect(daemon.address(7341)).is_err() {
        if Instant::now() > end {
            return Err(io::ErrorKind::TimedOut.into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
