//! The first configuration is acknowledged, and the daemon that acknowledged it loses its disk.

use std::io;
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

/// Time from the start until the operator sends its first configuration.
const LISTENING: Duration = Duration::from_millis(300);
/// Longest time until the first configuration is accepted.
const ACK_LIMIT: Duration = Duration::from_secs(25);
/// Time for which the machine is down; disruptions of this kind take up to 3 s.
const DOWN: Duration = Duration::from_millis(1_000);
/// Time until all must be back: `recover_s`, `catch_up_s` and `contact_ms` together.
const RECOVERY: Duration = Duration::from_secs(12 + 4 + 3);
/// Time for which the operator reads; at least `contact_ms`.
const READING: Duration = Duration::from_secs(8);

/// Plays the case.
pub fn first_configuration_lost(given: &Given) -> io::Result<Verdict> {
    let mut lab = Lab::new(&given.record, 3, 1)?;
    let machines: Vec<_> = lab.machines.iter().map(|machine| machine.ip).collect();
    for ip in machines {
        lab.start(ip, true)?;
    }
    lab.note("all machines start for the first time, with empty disks");
    thread::sleep(LISTENING);
    if lab.configure(ACK_LIMIT).is_none() {
        lab.note("no steward acknowledged the first configuration");
        return Ok(Verdict::NotRun);
    }
    let founder = lab.of(Role::Steward)[0];
    if given.trouble {
        lab.kill(founder)?;
        lab.wipe(founder)?;
        lab.note(format!("{founder} loses power and its disk"));
        thread::sleep(DOWN);
        lab.start(founder, false)?;
        lab.note(format!("{founder} is back, with an empty disk"));
    }
    thread::sleep(RECOVERY);
    let stewards = lab.of(Role::Steward);
    let until = Instant::now() + READING;
    while Instant::now() < until {
        for ip in &stewards {
            let address = SocketAddr::from((*ip, CONTROL));
            let request = "GET /hibiscushoist/config/get";
            let answer = wire::call(address, request, &[], "", Duration::from_secs(2));
            let status = answer.as_ref().map_or(0, Message::status);
            lab.note(format!("operator: reads at {ip}: {}", shown(status)));
            if status == 200 {
                let text = answer.map(|answer| answer.text()).unwrap_or_default();
                let is_newest = text.contains(r#""version":7"#);
                lab.note(format!("read back: version 7 is there: {is_newest}"));
                return Ok(match is_newest {
                    false => Verdict::Broken,
                    true => Verdict::Held,
                });
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    lab.note("CONFIG: the configuration that was acknowledged cannot be read back");
    Ok(Verdict::Broken)
}
