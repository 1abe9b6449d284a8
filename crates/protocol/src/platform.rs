//! The HTTP contract for the platform's list of upstream hosts.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

/// Path of the list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// The hosts, as of the time when the platform made the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// Number of the list; a later list has a greater number.
    pub edition: u64,
    /// The hosts.
    pub hosts: Vec<Host>,
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
    /// Returns the standing of the host at `address`, if it is listed.
    pub fn standing(&self, address: IpAddr) -> Option<Standing> {
        let host = self.hosts.iter().find(|host| host.address == address);
        host.map(|host| host.standing)
    }
}
