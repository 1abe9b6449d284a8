//! Callers that begin a request and stop half-way, many at once, at gateways with the memory and
//! descriptors of a small installation.

use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Given;
use crate::Verdict;
use crate::lab::CALLERS;
use crate::lab::Lab;
use crate::lab::READINESS;
use crate::lab::Role;
use crate::wire;

/// Memory of a gateway's machine.
const MEMORY_BYTES: u64 = 110 << 20;
/// Connections of the crowd at one gateway; a machine has 4,100 descriptors.
const CROWD: usize = 2_800;
/// Bytes of a header that each of them sends; the configuration allows 16,384.
const HEADER_BYTES: usize = 16_000;
/// Ends of a process from which on a machine counts.
const ENDS: usize = 3;
/// Machines from which on the rule is broken.
const MACHINES: usize = 2;
const RESTART: Duration = Duration::from_secs(1);
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Plays the case.
pub fn headers_unfinished(given: &Given) -> io::Result<Verdict> {
    let mut lab = Lab::new(&given.record, 3, MACHINES as u8)?;
    let machines: Vec<_> = lab.machines.iter().map(|machine| machine.ip).collect();
    for ip in machines {
        lab.start(ip, true)?;
    }
    if lab.configure(Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun);
    }
    let gateways = lab.of(Role::Gateway);
    let mut ends = vec![0; gateways.len()];
    for round in 0..ENDS {
        for (ip, ends) in gateways.iter().zip(&mut ends) {
            if !is_ready(&mut lab, *ip) {
                lab.note(format!("{ip} is not ready"));
                return Ok(Verdict::NotRun);
            }
            lab.order(*ip, &format!("before-{round}"));
            let ended = match given.trouble {
                false => lab.memory_bytes(*ip) > MEMORY_BYTES,
                true => press(&mut lab, *ip)?,
            };
            if ended {
                *ends += 1;
                lab.kill(*ip)?;
                lab.note(format!("{ip}: over its memory, so the platform ends it"));
                thread::sleep(RESTART);
                lab.start(*ip, false)?;
            } else {
                lab.order(*ip, &format!("after-{round}"));
            }
        }
    }
    lab.note(format!("ends by memory over the limit: {ends:?}"));
    let counted = ends.iter().filter(|ends| **ends >= ENDS).count();
    Ok(match counted >= MACHINES {
        false => Verdict::Held,
        true => Verdict::Broken,
    })
}

/// Opens the crowd's connections one after the other. Returns whether the process went over its
/// memory meanwhile.
fn press(lab: &mut Lab, ip: Ipv4Addr) -> io::Result<bool> {
    let address = SocketAddr::from((ip, CALLERS));
    let mut header = String::from("POST /orders/1 HTTP/1.1\r\nHost: desk.example\r\n");
    let line = format!("X-Note: {}\r\n", "n".repeat(200));
    while header.len() + line.len() <= HEADER_BYTES {
        header.push_str(&line);
    }
    let mut crowd = Vec::new();
    let mut most = 0;
    for number in 1..=CROWD {
        let limit = Duration::from_secs(5);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
            lab.note(format!("{ip}: connection {number} was not accepted"));
            break;
        };
        stream.set_write_timeout(Some(limit))?;
        if stream.write_all(header.as_bytes()).is_ok() {
            crowd.push(stream);
        }
        if number % 50 == 0 {
            most = lab.memory_bytes(ip).max(most);
            if most > MEMORY_BYTES {
                break;
            }
        }
    }
    thread::sleep(Duration::from_millis(500));
    most = lab.memory_bytes(ip).max(most);
    let (open, mib) = (crowd.len(), most >> 20);
    lab.note(format!("{ip}: {open} callers stopped half-way, {mib} MiB"));
    Ok(most > MEMORY_BYTES)
}

/// Waits until a gateway says that it is ready.
fn is_ready(lab: &mut Lab, ip: Ipv4Addr) -> bool {
    let address = SocketAddr::from((ip, READINESS));
    let until = Instant::now() + READY_LIMIT;
    while Instant::now() < until {
        let request = "GET /hibiscushoist/readiness";
        let answer = wire::call(address, request, &[], "", Duration::from_secs(1));
        if answer.is_ok_and(|answer| answer.status() == 200) {
            // The list of workers follows within a read of it.
            thread::sleep(Duration::from_millis(700));
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    lab.note(format!("{ip} is not ready in time"));
    false
}
