//! Callers that open connections and send nothing, as many as a gateway has descriptors.

use std::env;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Given;
use crate::Verdict;
use crate::lab::CALLERS;
use crate::lab::Lab;
use crate::lab::READINESS;
use crate::lab::Role;
use crate::lab::shown;
use crate::wire;

/// Processes that hold the crowd's connections, each with the descriptors of a small machine.
const HOLDERS: usize = 2;
/// Connections that each of them opens at most; it stops when one is not taken in time.
const CONNECTIONS: usize = 2_150;
/// Open descriptors of the gateway at which next to none of its 4,100 is left.
const EXHAUSTED: usize = 4_095;
/// Time between two connections of one holder, and how long it waits for one. The kernel drops
/// those that come faster than the gateway takes them, and each is tried again after a second.
const PACE: Duration = Duration::from_millis(1);
const HOLDER_PATIENCE: Duration = Duration::from_secs(5);
/// Longest time until then.
const OPENING: Duration = Duration::from_secs(14);
/// Consumers that try at the same time; the rule asks for seven.
const CONSUMERS: usize = 8;
/// `contact_ms` of the sheet.
const CONTACT: Duration = Duration::from_millis(3_000);
const TRYING: Duration = Duration::from_secs(6);
/// Time that consumers allow for a new channel, and for its first answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Plays the case.
pub fn channels_exhausted(given: &Given) -> io::Result<Verdict> {
    let mut lab = Lab::new(&given.record, 3, 1)?;
    let machines: Vec<_> = lab.machines.iter().map(|machine| machine.ip).collect();
    for ip in machines {
        lab.start(ip, true)?;
    }
    if lab.configure(Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(3));
    let gateway = lab.of(Role::Gateway)[0];
    if lab.order(gateway, "before") != 200 {
        return Ok(Verdict::NotRun);
    }
    let ready = TcpStream::connect(SocketAddr::from((gateway, READINESS)))?;
    ready.set_read_timeout(Some(PATIENCE))?;
    let mut holders = Vec::new();
    if given.trouble {
        for _ in 0..HOLDERS {
            holders.push(Holder::start(gateway)?);
        }
        let until = Instant::now() + OPENING;
        while Instant::now() < until && lab.descriptors(gateway) < EXHAUSTED {
            thread::sleep(Duration::from_millis(50));
        }
        let open = lab.descriptors(gateway);
        let mib = lab.memory_bytes(gateway) >> 20;
        lab.note(format!("{gateway}: {open} descriptors, {mib} MiB"));
    }
    let verdict = try_channels(&mut lab, gateway, &ready)?;
    drop(holders);
    thread::sleep(Duration::from_millis(500));
    lab.order(gateway, "after");
    Ok(verdict)
}

/// Has consumers open new channels again and again. The rule is broken if none was taken for
/// `contact_ms` while the gateway said that it is ready.
fn try_channels(lab: &mut Lab, gateway: Ipv4Addr, ready: &TcpStream) -> io::Result<Verdict> {
    let began = Instant::now();
    let mut refused_since = Some(began);
    let mut longest = Duration::ZERO;
    while began.elapsed() < TRYING {
        let status = readiness(ready).unwrap_or(0);
        let consumers: Vec<_> = (0..CONSUMERS)
            .map(|_| thread::spawn(move || takes_channel(gateway)))
            .collect();
        let taken = consumers.into_iter().map(|c| c.join().unwrap_or(true));
        let taken = taken.filter(|taken| *taken).count();
        let status_after = readiness(ready).unwrap_or(0);
        lab.note(format!(
            "{gateway} says {} and {}; of {CONSUMERS} new channels {taken} were taken",
            shown(status),
            shown(status_after),
        ));
        refused_since = match (taken, status, status_after) {
            (0, 200, 200) => refused_since.or(Some(Instant::now())),
            _ => None,
        };
        let span = refused_since.map_or(Duration::ZERO, |since| since.elapsed());
        longest = longest.max(span);
        thread::sleep(Duration::from_millis(100));
    }
    let millis = longest.as_millis();
    lab.note(format!("ready, and no channel taken, for {millis} ms"));
    Ok(match longest > CONTACT {
        false => Verdict::Held,
        true => Verdict::Broken,
    })
}

/// Asks over the open channel of the platform whether the gateway is ready.
fn readiness(mut channel: &TcpStream) -> io::Result<u16> {
    let request = "GET /hibiscushoist/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
    channel.write_all(request.as_bytes())?;
    Ok(wire::read(&mut BufReader::new(channel))?.status())
}

/// Returns whether a new channel is open and an order on it gets any answer, each in time.
fn takes_channel(gateway: Ipv4Addr) -> bool {
    let headers = [
        ("Host", "desk.example"),
        ("X-Request-Id", "consumer"),
        ("X-Deadline-Ms", "600"),
        ("Authorization", "Bearer key-1"),
    ];
    let address = SocketAddr::from((gateway, CALLERS));
    wire::call(address, "POST /orders/1", &headers, "{}", PATIENCE).is_ok()
}

/// A process of the crowd.
struct Holder(Child);

impl Holder {
    fn start(gateway: Ipv4Addr) -> io::Result<Self> {
        let mut command = Command::new(env::current_exe()?);
        command.arg("hold").arg(gateway.to_string());
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        Ok(Self(command.spawn()?))
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Opens connections to a gateway and keeps them until its input ends.
pub fn hold(gateway: &str) -> io::Result<Verdict> {
    let ip: Ipv4Addr = gateway.parse().map_err(io::Error::other)?;
    let address = SocketAddr::from((ip, CALLERS));
    let mut connections = Vec::new();
    while connections.len() < CONNECTIONS {
        if let Ok(connection) = TcpStream::connect_timeout(&address, HOLDER_PATIENCE) {
            connections.push(connection);
        }
        thread::sleep(PACE);
    }
    let _ = io::stdin().read(&mut [0]);
    Ok(Verdict::Held)
}
