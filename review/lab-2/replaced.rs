//! Two stewards are removed for good, one after the other, and each is replaced by an empty machine
//! at another address.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Given;
use crate::Verdict;
use crate::lab::CONTROL;
use crate::lab::Lab;
use crate::lab::Role;
use crate::lab::shown;
use crate::wire;
use crate::wire::Message;

/// Time from the first configuration to the first removal; the core is stable and caught up.
const CALM: Duration = Duration::from_secs(10);
/// Time from a removal until the successor starts.
const SUCCESSOR: Duration = Duration::from_millis(100);
/// Time from the start of a successor to the next removal: `catch_up_s`, and half a second more.
const CAUGHT_UP: Duration = Duration::from_millis(4_500);
/// Time until all must be back: `recover_s`, `catch_up_s` and `contact_ms` together.
const RECOVERY: Duration = Duration::from_secs(12 + 4 + 3);
/// Time for which the operator reads; at least `contact_ms`.
const READING: Duration = Duration::from_secs(10);

/// Plays the case.
pub fn stewards_replaced(given: &Given) -> io::Result<Verdict> {
    let mut lab = Lab::new(&given.record, 3, 3)?;
    let machines: Vec<_> = lab.machines.iter().map(|machine| machine.ip).collect();
    for ip in machines {
        lab.start(ip, true)?;
    }
    if lab.configure(Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(CALM);
    let stewards = lab.of(Role::Steward);
    for (round, ip) in stewards.iter().take(2).enumerate() {
        if !given.trouble {
            continue;
        }
        lab.silence(*ip)?;
        lab.note(format!("{ip} is removed for good"));
        thread::sleep(SUCCESSOR);
        let successor = lab.add_steward();
        lab.start(successor, false)?;
        lab.note(format!("{successor} takes its place, with an empty disk"));
        if round == 0 {
            thread::sleep(CAUGHT_UP);
        }
    }
    thread::sleep(RECOVERY);
    let removed = if given.trouble { 2 } else { 0 };
    let stewards = lab.of(Role::Steward);
    read_back(&mut lab, &stewards[removed..])
}

/// Reads the configuration at the stewards that run.
fn read_back(lab: &mut Lab, stewards: &[Ipv4Addr]) -> io::Result<Verdict> {
    let until = Instant::now() + READING;
    while Instant::now() < until {
        for ip in stewards {
            let address = SocketAddr::from((*ip, CONTROL));
            let request = "GET /hibiscushoist/config/get";
            let answer = wire::call(address, request, &[], "", Duration::from_secs(2));
            let status = answer.as_ref().map_or(0, Message::status);
            lab.note(format!("operator: reads at {ip}: {}", shown(status)));
            if status == 200 {
                return Ok(Verdict::Held);
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    lab.note("CONFIG: the configuration that was acknowledged cannot be read back");
    Ok(Verdict::Broken)
}
