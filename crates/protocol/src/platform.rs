//! The HTTP contract of the platform's list of upstream hosts.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

/// Names the path of the list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Lists the hosts as the platform saw them a while ago.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// Numbers the list; a later one has a greater number.
    pub edition: u64,
    /// Lists the hosts.
    pub hosts: Vec<Host>,
}

/// Lists one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Gives the host's IP number.
    pub address: IpAddr,
    /// Tells whether the host stays.
    pub standing: Standing,
}

/// Tells whether a host stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Means that it is about to end.
    Leaving,
    /// Means that it runs.
    Live,
}

impl HostList {
    /// Returns what the list says of a host, if it names it.
    pub fn standing(&self, address: IpAddr) -> Option<Standing> {
        let host = self.hosts.iter().find(|host| host.address == address);
        host.map(|host| host.standing)
    }
}
