//! Starts the project's daemons as the deploy file says, on loopback addresses, with filled
//! templates, and ends them.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::SystemTime;

/// Ports of each machine; every machine has an address of its own.
const CONTROL: u16 = 8783;
const DIRECTORY: u16 = 8780;
const FRONT: u16 = 8782;
const READY: u16 = 8789;
const INTERNAL: u16 = 7340;
const OWN: u16 = 7341;

/// A machine of the fleet, with one process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Option<Child>,
    is_steward: bool,
}

impl Machine {
    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL)
    }

    pub fn front(&self) -> SocketAddr {
        self.at(FRONT)
    }

    pub fn ready(&self) -> SocketAddr {
        self.at(READY)
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

/// Three stewards and some gateways.
pub struct Fleet {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    network: [u8; 2],
    stewards: usize,
}

impl Fleet {
    /// Prepares the machines; nothing is started yet.
    pub fn new(folder: PathBuf, stewards: usize, gateways: usize) -> io::Result<Self> {
        let network = free_network()?;
        let mut machines = Vec::new();
        for number in 0..stewards + gateways {
            let is_steward = number < stewards;
            machines.push(Machine {
                name: match is_steward {
                    false => format!("front-{}", number - stewards + 1),
                    true => format!("core-{}", number + 1),
                },
                ip: Ipv4Addr::new(127, network[0], network[1], 10 + number as u8),
                child: None,
                is_steward,
            });
        }
        Ok(Self {
            machines,
            folder,
            network,
            stewards,
        })
    }

    /// Returns an address of the fleet's network for a stand-in.
    pub fn outside(&self, last: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network[0], self.network[1], last);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    pub fn stewards(&self) -> &[Machine] {
        &self.machines[..self.stewards]
    }

    pub fn gateways(&self) -> &[Machine] {
        &self.machines[self.stewards..]
    }

    /// Returns the position of a gateway among all machines.
    pub fn gateway(&self, number: usize) -> usize {
        self.stewards + number
    }

    /// Starts the process of a machine; `bootstrap` is true at the first start of all only.
    pub fn start(&mut self, number: usize, bootstrap: bool) -> io::Result<()> {
        let seeds = self.stewards().iter().map(|s| s.control().to_string());
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let list = self.outside(200, 8784);
        let machine = &self.machines[number];
        let data = self.data(number);
        let fields = [
            ("ip", machine.ip.to_string()),
            ("zone", format!("a{}", number % 3)),
            ("region", "r".to_owned()),
            ("data_dir", data.display().to_string()),
            ("listen.control", machine.control().to_string()),
            ("listen.directory", machine.at(DIRECTORY).to_string()),
            ("listen.front", machine.front().to_string()),
            ("listen.ready", machine.ready().to_string()),
            ("cloud.address", list.to_string()),
            ("bounds.version_ms", "15000".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.retry_slack", "56".to_owned()),
            ("internal_ports.0", INTERNAL.to_string()),
            ("seeds", seeds),
            ("bootstrap", bootstrap.to_string()),
            ("fault_tolerance.machines", "1".to_owned()),
        ];
        let template = match machine.is_steward {
            false => "deploy/gateway.ini",
            true => "deploy/steward.ini",
        };
        let mut text = fs::read_to_string(template)?;
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let settings = self.folder.join(format!("{}.conf", machine.name));
        fs::write(&settings, text)?;
        if machine.is_steward {
            fs::create_dir_all(&data)?;
        }
        let log = self.log_path(number);
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new("target/release/hibiscushoistd")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.machines[number].child = Some(child);
        Ok(())
    }

    /// Kills the process of a machine at once.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.machines[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process of a machine, such as `TERM`.
    pub fn signal(&self, number: usize, name: &str) {
        if let Some(child) = &self.machines[number].child {
            let mut kill = Command::new("kill");
            let _ = kill
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Kills the process of a machine and empties its disk.
    pub fn lose_disk(&mut self, number: usize) -> io::Result<()> {
        self.kill(number);
        fs::remove_dir_all(self.data(number))
    }

    /// Returns whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, number: usize) -> bool {
        let child = self.machines[number].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn log_path(&self, number: usize) -> PathBuf {
        self.folder
            .join(format!("{}.log", self.machines[number].name))
    }

    fn data(&self, number: usize) -> PathBuf {
        self.folder
            .join(format!("data-{}", self.machines[number].name))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..self.machines.len() {
            self.kill(number);
        }
    }
}

/// Returns the second and third byte of loopback addresses on which nothing listens.
fn free_network() -> io::Result<[u8; 2]> {
    let mut seed = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(1, |time| time.as_nanos() as u64)
        ^ u64::from(std::process::id()) << 20;
    for _ in 0..50 {
        seed = seed
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let network = [(seed >> 33) as u8, (seed >> 41) as u8];
        let free = (10..20).all(|last| {
            let ip = Ipv4Addr::new(127, network[0], network[1], last);
            [CONTROL, DIRECTORY, FRONT, READY, INTERNAL, OWN]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if free && network[0] > 0 {
            return Ok(network);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
