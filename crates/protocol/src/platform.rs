//! The HTTP contract for the platform's list of upstream hosts.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::Error as _;

use crate::json;
use crate::json::Scanner;

/// Path of the list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Name of the list of hosts in its object.
const LIST: &[u8] = br#""hosts""#;

/// The hosts, as of the time when the platform made the list.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// Number of the list; a later list has a greater number.
    pub edition: u64,
    /// Why the first malformed entry could not be decoded.
    #[serde(skip)]
    pub error: Option<String>,
    /// The hosts whose entries could be decoded.
    pub hosts: Vec<Host>,
    /// Number of entries that could not be decoded and are left out; any of them may stand for a
    /// host that seems to be missing.
    #[serde(skip)]
    pub malformed: usize,
}

/// A host of the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// IP address of the host.
    pub address: IpAddr,
    /// Whether the host is about to stop.
    pub standing: Standing,
}

/// Standing of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The host is about to stop.
    Leaving,
    /// The host runs.
    Live,
}

impl HostList {
    /// Decodes a list; a malformed entry is counted and left out, and the others are kept.
    ///
    /// Where an entry has damaged the brackets or strings of the list, every entry that can still
    /// be recognized is kept.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are not the JSON of a list.
    pub fn decode(bytes: impl AsRef<[u8]>) -> Result<Self, serde_json::Error> {
        let mut list = Self::default();
        let edition = list.read(bytes.as_ref());
        let edition =
            edition.ok_or_else(|| serde_json::Error::custom("malformed list of hosts"))?;
        list.edition = serde_json::from_slice(edition)?;
        Ok(list)
    }

    /// Returns the standing of the host at `address`, if it is listed.
    pub fn standing(&self, address: IpAddr) -> Option<Standing> {
        let host = self.hosts.iter().find(|host| host.address == address);
        host.map(|host| host.standing)
    }

    fn add(&mut self, entry: &[u8]) {
        match serde_json::from_slice(entry) {
            Err(error) => {
                self.malformed += 1;
                self.error.get_or_insert_with(|| error.to_string());
            }
            Ok(host) => self.hosts.push(host),
        }
    }

    /// Adds the entries and returns the bytes of the edition; returns none if the list has no end.
    fn read<'a>(&mut self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let mut scanner = Scanner::new(bytes, 0);
        scanner.pass(b'{').then_some(())?;
        let mut edition = None;
        let start =
            scanner.fields(LIST, |name, value| note_edition(&mut edition, name, value))??;
        let split = scanner.entries(|entry| self.add(entry));
        let tail = split.and_then(|()| read_tail(scanner));
        let tail = tail.or_else(|| {
            *self = Self {
                error: Some("the list is not JSON".to_owned()),
                malformed: 1,
                ..Self::default()
            };
            json::recover::<Host, _>(bytes, start, |entry| self.add(entry), read_tail)
        });
        tail?.or(edition)
    }
}

/// Reads the fields behind the list up to the end of the text, and returns the edition if it is
/// among them; returns none if they are malformed.
fn read_tail(mut scanner: Scanner<'_>) -> Option<Option<&[u8]>> {
    let mut edition = None;
    scanner.tail(LIST, |name, value| note_edition(&mut edition, name, value))?;
    Some(edition)
}

fn note_edition<'a>(edition: &mut Option<&'a [u8]>, name: &[u8], value: &'a [u8]) {
    if name == br#""edition""# {
        *edition = Some(value);
    }
}
