//! A small installation on loopback addresses: daemons as processes of their own, each at an
//! address like that of a machine, with the settings templates of the deploy file.

use std::collections::hash_map::RandomState;
use std::env;
use std::fs;
use std::fs::File;
use std::hash::BuildHasher;
use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::wire;
use crate::wire::Message;

pub const CALLERS: u16 = 8782;
pub const CONTROL: u16 = 8783;
pub const READINESS: u16 = 8789;
const DIRECTORY: u16 = 8780;
const LIST: u16 = 8784;
const PEER: u16 = 7340;
const WORKER: u16 = 8080;
/// Last number of the address of the first steward, gateway, worker and of the list.
const STEWARDS: u8 = 11;
const GATEWAYS: u8 = 31;
const WORKERS: u8 = 51;
const PLATFORM: u8 = 90;
/// Number of networks that are tried.
const NETWORKS: usize = 20;
const PROGRAM: &str = "target/release/hibiscushoistd";

/// Which role of the deploy file a machine runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    Gateway,
    Steward,
}

/// One machine with its process.
pub struct Machine {
    pub ip: Ipv4Addr,
    pub role: Role,
    pub process: Option<Child>,
}

/// The installation; its processes and its folder go with it.
pub struct Lab {
    folder: PathBuf,
    pub machines: Vec<Machine>,
    network: [u8; 2],
    record: File,
    started: Instant,
}

impl Lab {
    /// Returns an installation whose machines have not started; the list and the workers answer.
    pub fn new(record: &str, stewards: u8, gateways: u8) -> io::Result<Self> {
        if !PathBuf::from(PROGRAM).exists() {
            return Err(io::Error::other(format!("{PROGRAM} is not built")));
        }
        let network = free_network()?;
        let folder = env::temp_dir().join(format!("review-lab-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let mut lab = Self {
            folder,
            machines: Vec::new(),
            network,
            record: File::create(record)?,
            started: Instant::now(),
        };
        let machine = |ip, role| Machine {
            ip,
            role,
            process: None,
        };
        for number in 0..stewards {
            let ip = lab.ip(STEWARDS + number);
            lab.machines.push(machine(ip, Role::Steward));
        }
        for number in 0..gateways {
            let ip = lab.ip(GATEWAYS + number);
            lab.machines.push(machine(ip, Role::Gateway));
        }
        let worker = SocketAddr::from((lab.ip(WORKERS), WORKER));
        let entry = format!(
            r#"{{"service":"desk","address":"{worker}","zone":"z-a","version":"v1","slots":6,"#
        );
        let rest = r#""state":"ready","cold_remaining_ms":0,"id":"i-desk","born":1700000000000}"#;
        let list = format!(r#"{{"instances":[{entry}{rest}],"next":null}}"#);
        let address = SocketAddr::from((lab.ip(PLATFORM), LIST));
        wire::serve(address, move |_| wire::json(&list))?;
        Ok(lab)
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], last)
    }

    /// Writes a line to the record.
    pub fn note(&mut self, line: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} s  {}", line.as_ref());
        println!("{line}");
        let _ = writeln!(self.record, "{line}");
    }

    /// Returns the addresses of the machines with a role.
    pub fn of(&self, role: Role) -> Vec<Ipv4Addr> {
        let machines = self.machines.iter().filter(|machine| machine.role == role);
        machines.map(|machine| machine.ip).collect()
    }

    /// Adds a machine that runs a steward, at an address that none had before.
    pub fn add_steward(&mut self) -> Ipv4Addr {
        let stewards = self.of(Role::Steward).len();
        let ip = self.ip(STEWARDS + stewards as u8);
        self.machines.push(Machine {
            ip,
            role: Role::Steward,
            process: None,
        });
        ip
    }

    fn data(&self, ip: Ipv4Addr) -> PathBuf {
        self.folder.join(format!("data-{ip}"))
    }

    /// Returns the settings of a machine: the template of its role, filled in.
    fn settings(&self, ip: Ipv4Addr, role: Role, bootstrap: bool) -> io::Result<String> {
        let template = match role {
            Role::Gateway => "deploy/gateway.ini",
            Role::Steward => "deploy/steward.ini",
        };
        let seeds = self.of(Role::Steward).into_iter().take(3);
        let seeds: Vec<String> = seeds.map(|seed| format!("{seed}:{CONTROL}")).collect();
        let values = [
            ("bootstrap", bootstrap.to_string()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.retry_slack", "56".to_owned()),
            ("bounds.version_ms", "15000".to_owned()),
            ("cloud.address", format!("{}:{LIST}", self.ip(PLATFORM))),
            ("data_dir", self.data(ip).display().to_string()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("internal_ports.0", PEER.to_string()),
            ("ip", ip.to_string()),
            ("listen.control", format!("{ip}:{CONTROL}")),
            ("listen.directory", format!("{ip}:{DIRECTORY}")),
            ("listen.front", format!("{ip}:{CALLERS}")),
            ("listen.ready", format!("{ip}:{READINESS}")),
            ("region", "qc-east".to_owned()),
            ("seeds", seeds.join(",")),
            ("zone", format!("z-{}", ip.octets()[3])),
        ];
        let mut text = fs::read_to_string(template)?;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        match text.contains("{{") {
            false => Ok(text),
            true => Err(io::Error::other("a template asks for more than is known")),
        }
    }

    /// Starts the process of a machine; `bootstrap` is that of its settings.
    pub fn start(&mut self, ip: Ipv4Addr, bootstrap: bool) -> io::Result<()> {
        let role = self.machine(ip)?.role;
        let settings = self.folder.join(format!("{ip}.ini"));
        fs::write(&settings, self.settings(ip, role, bootstrap)?)?;
        fs::create_dir_all(self.data(ip))?;
        let log = File::create(self.folder.join(format!("{ip}.log")))?;
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(settings).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        self.machine(ip)?.process = Some(command.spawn()?);
        Ok(())
    }

    pub fn machine(&mut self, ip: Ipv4Addr) -> io::Result<&mut Machine> {
        let found = self.machines.iter_mut().find(|machine| machine.ip == ip);
        found.ok_or_else(|| io::Error::other("no such machine"))
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, ip: Ipv4Addr) -> io::Result<()> {
        if let Some(mut process) = self.machine(ip)?.process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }

    /// Stops the process of a machine for good, so that nothing answers at its address any more, as
    /// when a machine is taken away. The signal to kill would have connections refused at once.
    pub fn silence(&mut self, ip: Ipv4Addr) -> io::Result<()> {
        if let Some(process) = &self.machine(ip)?.process {
            let id = process.id().to_string();
            Command::new("kill").args(["-STOP", &id]).status()?;
        }
        Ok(())
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&mut self, ip: Ipv4Addr) -> io::Result<()> {
        fs::remove_dir_all(self.data(ip))
    }

    /// Returns the memory of a machine's process in bytes; 0 if it does not run.
    pub fn memory_bytes(&mut self, ip: Ipv4Addr) -> u64 {
        let process = self.machine(ip).ok().and_then(|m| m.process.as_ref());
        let Some(id) = process.map(Child::id) else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// Returns how many descriptors a machine's process has open; 0 if it does not run.
    pub fn descriptors(&mut self, ip: Ipv4Addr) -> usize {
        let process = self.machine(ip).ok().and_then(|m| m.process.as_ref());
        let folder = process.map(|process| format!("/proc/{}/fd", process.id()));
        let listed = folder.and_then(|folder| fs::read_dir(folder).ok());
        listed.map_or(0, Iterator::count)
    }

    /// Sends the first configuration to the stewards in turn, until one acknowledges it. Returns
    /// that steward, or none if `limit` passes.
    pub fn configure(&mut self, limit: Duration) -> Option<Ipv4Addr> {
        let stewards = self.of(Role::Steward);
        let until = Instant::now() + limit;
        let mut pause = Duration::from_millis(100);
        for ip in stewards.into_iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            let address = SocketAddr::from((ip, CONTROL));
            let request = "POST /hibiscushoist/config/replace";
            let headers = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let answer = wire::call(address, request, &headers, &configuration(), limit);
            let status = answer.as_ref().map_or(0, Message::status);
            self.note(format!("operator: version 7 to {ip}: {}", shown(status)));
            if status == 200 {
                return Some(ip);
            }
            thread::sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_secs(1));
        }
        None
    }
}

impl Lab {
    /// Sends one order as an ordinary caller does, and returns the status; 0 without an answer.
    pub fn order(&mut self, ip: Ipv4Addr, id: &str) -> u16 {
        let address = SocketAddr::from((ip, CALLERS));
        let headers = [
            ("Host", "desk.example"),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", "600"),
            ("Authorization", "Bearer key-1"),
        ];
        let request = "POST /orders/1";
        let answer = wire::call(address, request, &headers, "{}", Duration::from_secs(1));
        let status = answer.as_ref().map_or(0, Message::status);
        self.note(format!("caller: order {id} to {ip}: {}", shown(status)));
        status
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut process) = machine.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        match env::var("KEEP") {
            Ok(_) => println!("logs stay in {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns a network in which no other installation runs; its worker has begun to serve there.
fn free_network() -> io::Result<[u8; 2]> {
    for _ in 0..NETWORKS {
        let random = RandomState::new().hash_one(process::id()).to_le_bytes();
        let network = [random[0].max(1), random[1]];
        let ip = Ipv4Addr::new(127, network[0], network[1], WORKERS);
        match wire::serve(SocketAddr::from((ip, WORKER)), wire::worker) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
            Ok(()) => return Ok(network),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Returns a status for the record.
pub fn shown(status: u16) -> String {
    match status {
        0 => "no answer".to_owned(),
        status => status.to_string(),
    }
}

/// Returns the operator's configuration: one route for orders, and one workspace.
fn configuration() -> String {
    let route = concat!(
        r#"{"name":"r-orders","host":"desk.example","path_prefix":"/orders/","#,
        r#""kind":"non_idempotent","timeout_ms":600,"latency_goal_ms":100,"priority":2,"#,
        r#""service":"desk","max_attempts":1,"public":false,"sticky":false,"#,
        r#""resumable":false,"gap_target_ms":400}"#,
    );
    let service = concat!(
        r#"{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","#,
        r#""tls":false}"#,
    );
    let limits = concat!(
        r#"{"max_header_bytes":16384,"max_body_bytes":4194304,"#,
        r#""header_timeout_ms":3000,"idle_timeout_ms":15000}"#,
    );
    let holders = concat!(
        "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"],",
        r#""priority":1,"isolated":false}]"#,
    );
    format!(
        r#"{{"version":7,"routes":[{route}],"services":[{service}],"limits":{limits},{holders}}}"#
    )
}
