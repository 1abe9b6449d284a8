//! The settings of a daemon, read once and passed down.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use slog::Level;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::ini::Error;
use crate::ini::File;
use crate::ini::Section;
use state::cell::is_name;
use transport::log::Format;

const ADDRESS: &str = "an IP address and port such as 192.0.2.1:8000";
/// Connections that an address takes if no setting says otherwise.
const CONNECTIONS: u64 = 4_096;
const HASH: &str = "64 hexadecimal digits";
const LEAST_BODY_BYTES: u64 = 1 << 10;
const LEAST_HEADER_BYTES: u64 = 8 << 10;
const MOST_BYTES: u64 = 1 << 30;
const NAME: &str = "a name of 1 to 64 letters, digits, dots, dashes and underscores";

/// Lists every section and key that a settings file may hold.
pub const SECTIONS: &[Section] = &[
    Section {
        keys: &["data", "failure_domain", "fleet", "name", "region", "roles"],
        name: "daemon",
    },
    Section {
        keys: &[
            "address_lifetime_ms",
            "advertise",
            "bodies_limit_bytes",
            "body_limit_bytes",
            "body_timeout_ms",
            "connections",
            "drain_limit_ms",
            "header_limit_bytes",
            "header_timeout_ms",
            "listen",
            "write_timeout_ms",
        ],
        name: "entry",
    },
    Section {
        keys: &[
            "callers",
            "control",
            "freshness_ms",
            "list",
            "readiness",
            "retry_percent",
            "retry_slack",
            "upstream_connections",
            "weights_limit_ms",
        ],
        name: "gateway",
    },
    Section {
        keys: &["form", "level"],
        name: "log",
    },
    Section {
        keys: &["key_hash"],
        name: "operator",
    },
    Section {
        keys: &[
            "advertise",
            "key",
            "listen",
            "previous_key",
            "seed_port",
            "seeds",
        ],
        name: "peer",
    },
    Section {
        keys: &["address"],
        name: "platform",
    },
    Section {
        keys: &["found", "members", "seeds", "tolerate"],
        name: "voters",
    },
];

/// Names a role that a daemon plays.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Owns upstreams and places requests on them.
    Broker,
    /// Terminates callers.
    Entry,
    /// Keeps the replicated log on its disk.
    Voter,
}

/// Holds the settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Holds the folder of the daemon's own files, if it has a disk.
    pub data: Option<PathBuf>,
    /// Holds the settings of the entry role.
    pub entry: Option<Entry>,
    /// Names the failure domain of the host.
    pub failure_domain: String,
    /// Names the fleet.
    pub fleet: String,
    /// Tells whether the first voters may found a group.
    pub found: bool,
    /// Holds the settings of routed services, where the daemon has a part in them.
    pub gateway: Option<Gateway>,
    /// Holds the settings of the log.
    pub log: Log,
    /// Names the host.
    pub name: String,
    /// Holds the BLAKE3 hash of the operators' key, in hexadecimal digits.
    pub operator_key_hash: Option<String>,
    /// Holds the settings of the connections between daemons.
    pub peer: Option<Peer>,
    /// Holds the address of the platform's list of upstream hosts.
    pub platform: Option<SocketAddr>,
    /// Names the region of the host.
    pub region: String,
    /// Holds the roles that the daemon plays.
    pub roles: BTreeSet<Role>,
    /// Gives how many voters may be lost at once, where the group should grow to bear it.
    pub tolerate: Option<usize>,
    /// Lists the first voters of the fleet.
    pub voters: Vec<Voter>,
}

/// Holds the settings of the entry role.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Tells how long callers may keep an address.
    pub address_lifetime: Duration,
    /// Holds the address that callers are told, if not the one bound.
    pub advertise: Option<SocketAddr>,
    /// Bounds the bodies of all requests held at once, in bytes.
    pub bodies_limit: usize,
    /// Bounds the body of a request, in bytes.
    pub body_limit: usize,
    /// Bounds the time in which a request's body must arrive.
    pub body_timeout: Duration,
    /// Bounds the open connections of callers.
    pub connections: usize,
    /// Bounds the time that a drain may take.
    pub drain_limit: Duration,
    /// Bounds the header of a request, in bytes.
    pub header_limit: usize,
    /// Bounds the time in which a request's header must arrive.
    pub header_timeout: Duration,
    /// Holds the address to bind.
    pub listen: SocketAddr,
    /// Bounds the time for which a caller may take nothing of an answer.
    pub write_timeout: Duration,
}

/// Holds the settings of routed services.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Holds the address to bind for callers of routed services.
    pub callers: Option<SocketAddr>,
    /// Holds the address to bind for operators and for callers that ask where to connect.
    pub control: Vec<SocketAddr>,
    /// Bounds the age of a table by which requests are judged.
    pub freshness: Duration,
    /// Holds the address of the platform's list of upstreams.
    pub list: Option<SocketAddr>,
    /// Holds the address to bind for checks whether the host takes callers.
    pub readiness: Option<SocketAddr>,
    /// Gives the retries that all hosts together may add to a service's requests, in percent.
    pub retry_percent: u64,
    /// Gives the retries that all hosts together may make beside that share.
    pub retry_slack: u64,
    /// Bounds the open connections to upstreams above which none is kept idle.
    pub upstream_connections: usize,
    /// Bounds the time after which no request may begin on weights older than those named.
    pub weights_limit: Duration,
}

/// Holds the settings of the log.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Holds the form of the lines.
    pub form: Format,
    /// Holds the least severity that is written.
    pub level: Level,
}

/// Holds the settings of the connections between daemons.
#[derive(Clone)]
pub struct Peer {
    /// Holds the address that other daemons are told, if not the one bound.
    pub advertise: Option<SocketAddr>,
    /// Holds the key of the fleet.
    pub key: [u8; 32],
    /// Holds the address to bind.
    pub listen: SocketAddr,
    /// Holds the key that was in use before, while keys are rotated.
    pub previous_key: Option<[u8; 32]>,
    /// Lists the daemons to ask first.
    pub seeds: Vec<SocketAddr>,
}

impl std::fmt::Debug for Peer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peer")
            .field("advertise", &self.advertise)
            .field("listen", &self.listen)
            .field("seeds", &self.seeds)
            .finish_non_exhaustive()
    }
}

/// Names one of the first voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Voter {
    /// Holds its address for other daemons.
    pub address: SocketAddr,
    /// Names its host.
    pub name: String,
}

impl FromStr for Voter {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (name, address) = text.split_once('@').ok_or(())?;
        if !is_name(name) {
            return Err(());
        }
        Ok(Self {
            address: address.parse().map_err(drop)?,
            name: name.to_owned(),
        })
    }
}

impl Settings {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with file, section, key and what would be accepted.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, Error> {
        Self::checked(&File::read(path, SECTIONS)?)
    }

    /// Reads settings from `text`, as if it stood in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with file, section, key and what would be accepted.
    pub fn parse(path: impl Into<PathBuf>, text: impl AsRef<str>) -> Result<Self, Error> {
        Self::checked(&File::parse(path, text, SECTIONS)?)
    }

    /// Returns whether the daemon plays `role`.
    pub fn plays(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Returns how many voters the group should have.
    pub fn voter_target(&self) -> usize {
        let tolerated = self.tolerate.map(|lost| 2 * lost + 1);
        tolerated.unwrap_or(self.voters.len())
    }

    fn checked(file: &File) -> Result<Self, Error> {
        let settings = Self {
            data: file.get("daemon", "data").map(PathBuf::from),
            entry: entry(file)?,
            failure_domain: file.required("daemon", "failure_domain", NAME, name)?,
            fleet: file.required("daemon", "fleet", NAME, name)?,
            found: file.optional("voters", "found", true, "true or false", flag)?,
            gateway: gateway(file)?,
            log: log(file)?,
            name: file.required("daemon", "name", NAME, name)?,
            operator_key_hash: file.optional("operator", "key_hash", None, HASH, |text| {
                key(text).map(|_| Some(text.to_ascii_lowercase()))
            })?,
            peer: peer(file)?,
            platform: file.optional("platform", "address", None, ADDRESS, some_address)?,
            region: file.optional("daemon", "region", "default".to_owned(), NAME, name)?,
            roles: file.required(
                "daemon",
                "roles",
                "a list of broker, entry and voter",
                roles,
            )?,
            tolerate: tolerate(file)?,
            voters: voters(file)?,
        };
        settings.agree(file)?;
        Ok(settings)
    }

    fn agree(&self, file: &File) -> Result<(), Error> {
        let entry = self.plays(Role::Entry);
        if entry != file.has("entry") {
            let reason = "section [entry] and role `entry` go together; keep both or neither";
            return Err(file.clash("daemon", "roles", reason));
        }
        if self.plays(Role::Voter) && self.data.is_none() {
            let reason = "role `voter` needs a disk; give a data folder or drop the role";
            return Err(file.clash("daemon", "data", reason));
        }
        let alone = self.voters.is_empty() && self.peer.is_none();
        let listed = self.voters.iter().any(|voter| voter.name == self.name);
        if listed && !self.plays(Role::Voter) {
            let reason = "this host is listed; add role `voter` or take it off the list";
            return Err(file.clash("voters", "members", reason));
        }
        if !alone && self.peer.is_none() {
            let reason = "a fleet of several hosts needs section [peer] with listen and key";
            return Err(file.clash("voters", "members", reason));
        }
        let names = self.voters.iter().map(|voter| &voter.name);
        if names.collect::<BTreeSet<_>>().len() != self.voters.len() {
            let reason = "a name stands twice; name each voter once";
            return Err(file.clash("voters", "members", reason));
        }
        Ok(())
    }
}

fn entry(file: &File) -> Result<Option<Entry>, Error> {
    if !file.has("entry") {
        return Ok(None);
    }
    let millis = |key, default| {
        let accepted = "milliseconds from 1 to 86400000";
        let value = file.optional("entry", key, default, accepted, number(1, 86_400_000))?;
        Ok(Duration::from_millis(value))
    };
    let size = |key, default, least| {
        let accepted = format!("a whole number from {least} to {MOST_BYTES}");
        let parse = number(least, MOST_BYTES);
        Ok(file.optional("entry", key, default, &accepted, parse)? as usize)
    };
    Ok(Some(Entry {
        address_lifetime: millis("address_lifetime_ms", 10_000)?,
        advertise: file.optional("entry", "advertise", None, ADDRESS, some_address)?,
        bodies_limit: size("bodies_limit_bytes", 256 << 20, LEAST_BODY_BYTES)?,
        body_limit: size("body_limit_bytes", 16 << 20, LEAST_BODY_BYTES)?,
        body_timeout: millis("body_timeout_ms", 30_000)?,
        connections: connections(file, "entry", "connections", CONNECTIONS)?,
        drain_limit: millis("drain_limit_ms", 600_000)?,
        header_limit: size("header_limit_bytes", 64 << 10, LEAST_HEADER_BYTES)?,
        header_timeout: millis("header_timeout_ms", 10_000)?,
        listen: file.required("entry", "listen", ADDRESS, |text| text.parse().ok())?,
        write_timeout: millis("write_timeout_ms", 30_000)?,
    }))
}

fn connections(
    file: &File,
    section: &'static str,
    key: &'static str,
    default: u64,
) -> Result<usize, Error> {
    let accepted = "a whole number from 1 to 1000000";
    let count = file.optional(section, key, default, accepted, number(1, 1_000_000))?;
    Ok(count as usize)
}

fn gateway(file: &File) -> Result<Option<Gateway>, Error> {
    if !file.has("gateway") {
        return Ok(None);
    }
    let address = |key| file.optional("gateway", key, None, ADDRESS, some_address);
    let count = |key, default, most| {
        let accepted = format!("a number from 0 to {most}");
        file.optional("gateway", key, default, &accepted, limit(0, most))
    };
    let own = connections(file, "entry", "connections", CONNECTIONS)? as u64;
    let accepted = "milliseconds from 1 to 86400000";
    let millis = |key, default| {
        file.optional("gateway", key, default, accepted, limit(1, 86_400_000))
            .map(Duration::from_millis)
    };
    Ok(Some(Gateway {
        callers: address("callers")?,
        control: file.optional(
            "gateway",
            "control",
            Vec::new(),
            "a list of addresses",
            list,
        )?,
        freshness: millis("freshness_ms", 4_000)?,
        list: address("list")?,
        readiness: address("readiness")?,
        retry_percent: count("retry_percent", 20, 100)?,
        retry_slack: count("retry_slack", 50, 1_000_000)?,
        upstream_connections: connections(file, "gateway", "upstream_connections", own)?,
        weights_limit: millis("weights_limit_ms", 60_000)?,
    }))
}

fn log(file: &File) -> Result<Log, Error> {
    Ok(Log {
        form: file.optional("log", "form", Format::Human, "human or json", |text| {
            text.parse().ok()
        })?,
        level: file.optional(
            "log",
            "level",
            Level::Info,
            "critical, error, warning, info, debug or trace",
            |text| text.parse().ok(),
        )?,
    })
}

fn peer(file: &File) -> Result<Option<Peer>, Error> {
    if !file.has("peer") {
        return Ok(None);
    }
    let accepted = "a port from 1 to 65535";
    let port = |text: &str| number(1, 65_535)(text).map(|port| Some(port as u16));
    let port = file.optional("peer", "seed_port", None, accepted, port)?;
    let seeds: Vec<SocketAddr> =
        file.optional("peer", "seeds", Vec::new(), "a list of addresses", list)?;
    let seeds = seeds.into_iter().map(|mut seed| {
        seed.set_port(port.unwrap_or(seed.port()));
        seed
    });
    Ok(Some(Peer {
        advertise: file.optional("peer", "advertise", None, ADDRESS, some_address)?,
        key: file.required("peer", "key", HASH, key)?,
        listen: file.required("peer", "listen", ADDRESS, |text| text.parse().ok())?,
        previous_key: file.optional("peer", "previous_key", None, HASH, |text| {
            key(text).map(Some)
        })?,
        seeds: seeds.collect(),
    }))
}

/// Returns the first voters: those listed, or the daemons at the seeds, named by their IP numbers.
fn voters(file: &File) -> Result<Vec<Voter>, Error> {
    let accepted = "a list such as a@192.0.2.1:7000, b@192.0.2.2:7000";
    let listed: Vec<Voter> = file.optional("voters", "members", Vec::new(), accepted, list)?;
    if !file.optional("voters", "seeds", false, "true or false", flag)? {
        return Ok(listed);
    }
    if !listed.is_empty() {
        let reason = "the seeds are the first voters; drop the list or `seeds`";
        return Err(file.clash("voters", "members", reason));
    }
    let mut seeds = peer(file)?.map(|peer| peer.seeds).unwrap_or_default();
    seeds.sort();
    let named = seeds.into_iter().map(|address| Voter {
        address,
        name: address.ip().to_string(),
    });
    Ok(named.collect())
}

fn tolerate(file: &File) -> Result<Option<usize>, Error> {
    let accepted = "a whole number from 0 to 3";
    let parse = |text: &str| number(0, 3)(text).map(|lost| Some(lost as usize));
    file.optional("voters", "tolerate", None, accepted, parse)
}

fn flag(text: &str) -> Option<bool> {
    text.parse().ok()
}

fn key(text: &str) -> Option<[u8; 32]> {
    let hash = blake3::Hash::from_hex(text).ok()?;
    Some(*hash.as_bytes())
}

fn list<T: FromStr>(text: &str) -> Option<Vec<T>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().ok())
        .collect()
}

fn name(text: &str) -> Option<String> {
    is_name(text).then(|| text.to_owned())
}

fn number(least: u64, most: u64) -> impl Fn(&str) -> Option<u64> {
    move |text| {
        let number = text.parse().ok()?;
        (least..=most).contains(&number).then_some(number)
    }
}

/// Reads a limit that may have a fraction, which is cut off: half a retry is none.
fn limit(least: u64, most: u64) -> impl Fn(&str) -> Option<u64> {
    move |text| {
        let limit: f64 = text.parse().ok()?;
        // Without this, words such as `inf` would pass.
        let is_plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let whole = (is_plain && limit < most as f64 + 1.0).then_some(limit as u64)?;
        (least..=most).contains(&whole).then_some(whole)
    }
}

fn roles(text: &str) -> Option<BTreeSet<Role>> {
    let roles: BTreeSet<Role> = list(text)?.into_iter().collect();
    (!roles.is_empty()).then_some(roles)
}

fn some_address(text: &str) -> Option<Option<SocketAddr>> {
    text.parse().ok().map(Some)
}
