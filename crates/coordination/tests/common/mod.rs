//! Hosts for the tests of the fleet.

use std::net::SocketAddr;

use coordination::host::Load;
use coordination::host::Profile;
use coordination::host::Role;

/// Names the host at a place.
pub fn name(place: usize) -> String {
    format!("host-{place:03}")
}

/// Returns the peer address of the host at a place.
pub fn address(place: usize) -> SocketAddr {
    let place = u16::try_from(place).unwrap();
    let [high, low] = place.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

/// Returns what the host at a place says of itself.
pub fn profile(place: usize, domains: usize) -> Profile {
    let mut entry = address(place);
    entry.set_port(8000);
    Profile {
        domain: format!("domain-{}", place % domains),
        draining: false,
        gateway: None,
        entry: Some(entry),
        load: Load::Normal,
        peer: address(place),
        region: "quebec".to_owned(),
        roles: [Role::Broker, Role::Entry].into_iter().collect(),
    }
}
