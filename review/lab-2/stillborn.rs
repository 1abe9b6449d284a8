//! The process of the first seed is killed right after the first start of all machines.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Given;
use crate::Verdict;
use crate::lab::Lab;
use crate::lab::Role;

/// Time from the start until the process is killed.
const ALIVE: Duration = Duration::from_millis(250);
/// Delay after which the platform starts it again.
const RESTART: Duration = Duration::from_millis(1_000);
/// Time for which the operator sends the first configuration: `recover_s`, `catch_up_s`,
/// `contact_ms` and `ack_ms`, and twice as long again.
const SENDING: Duration = Duration::from_secs(3 * (12 + 4 + 3 + 4));
const CALLING: Duration = Duration::from_secs(8);

/// Plays the case.
pub fn founder_killed(given: &Given) -> io::Result<Verdict> {
    let mut lab = Lab::new(&given.record, 3, 1)?;
    let machines: Vec<_> = lab.machines.iter().map(|machine| machine.ip).collect();
    for ip in machines {
        lab.start(ip, true)?;
    }
    lab.note("all machines start for the first time, with empty disks");
    let first = lab.of(Role::Steward)[0];
    if given.trouble {
        thread::sleep(ALIVE);
        lab.kill(first)?;
        lab.note(format!("the process on {first} is killed"));
        thread::sleep(RESTART);
        lab.start(first, false)?;
        lab.note(format!("{first} starts again; its disk is kept"));
    }
    let acknowledged = lab.configure(SENDING);
    let gateway = lab.of(Role::Gateway)[0];
    let mut served = 0;
    let until = Instant::now() + CALLING;
    for number in 0.. {
        if Instant::now() >= until || served >= 10 {
            break;
        }
        served += u32::from(lab.order(gateway, &format!("o-{number}")) == 200);
        thread::sleep(Duration::from_millis(250));
    }
    lab.note(format!(
        "configured by {acknowledged:?}; orders served: {served}"
    ));
    Ok(match served {
        0 => Verdict::Broken,
        _ => Verdict::Held,
    })
}
