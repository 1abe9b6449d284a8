//! Host fixtures for the tests of membership and gossip.

use std::net::SocketAddr;

use coordination::host::Load;
use coordination::host::Profile;
use coordination::host::Role;

/// Returns the name of the host with this index.
pub fn name(index: usize) -> String {
    format!("host-{index:03}")
}

/// Returns the peer address of the host with this index.
pub fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).unwrap();
    let [high, low] = index.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

/// Returns the profile of the host with this index, in one of `domains` failure domains.
pub fn profile(index: usize, domains: usize) -> Profile {
    let mut entry = address(index);
    entry.set_port(8000);
    Profile {
        domain: format!("domain-{}", index % domains),
        draining: false,
        gateway: None,
        entry: Some(entry),
        load: Load::Normal,
        peer: address(index),
        region: "quebec".to_owned(),
        roles: [Role::Broker, Role::Entry].into_iter().collect(),
    }
}
