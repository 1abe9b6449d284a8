//! Which entry addresses a caller is told, in which order.
//!
//! A workspace has a few preferred hosts, ranked by hash, so that its state stays on few hosts.
//! Busy hosts rank behind others, so a hot workspace spills over by itself. A caller that names a
//! prefix gets the same first host as others with that prefix; any other caller gets one by lot.
//! Neighbours in the list lie in different failure domains, so that the loss of one leaves every
//! caller a working address.

use std::net::SocketAddr;

use crate::host::Load;
use crate::host::Role;
use crate::host::Standing;
use crate::rendezvous;
use crate::view::Member;
use crate::view::View;

/// Bounds the addresses in an answer.
pub const MAX_ADDRESSES: usize = 6;

const PREFERRED_HOSTS: usize = 4;

/// Describes a caller that asks for addresses.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Holds a random number, which makes the lot.
    pub random: u64,
    /// Names the prefix that the caller's requests share.
    pub prefix: Option<String>,
    /// Names the workspace.
    pub workspace: String,
}

/// Returns the addresses for a caller, the preferred one first.
pub fn select(view: &View, request: &Request) -> Vec<SocketAddr> {
    let mut candidates = candidates(view);
    let region = view.get(&view.me).map(|me| &me.record.profile.region);
    candidates.sort_by_cached_key(|member| {
        let far = Some(&member.record.profile.region) != region;
        let score = rendezvous::score(request.workspace.as_bytes(), &member.record.host);
        (class(member), far, u64::MAX - score)
    });
    let first = first(&candidates, request);
    if let Some(first) = first {
        let member = candidates.remove(first);
        candidates.insert(0, member);
    }
    let mixed = mix(candidates);
    let addresses = mixed.iter().filter_map(|m| m.record.profile.entry);
    addresses.take(MAX_ADDRESSES).collect()
}

/// Returns the entries that take work, or the draining ones where there is no other.
fn candidates(view: &View) -> Vec<&Member> {
    let entries: Vec<&Member> = view
        .present(Role::Entry)
        .filter(|member| member.record.profile.entry.is_some())
        .collect();
    let is_open = |member: &&&Member| member.record.takes_work();
    let open: Vec<&Member> = entries.iter().filter(is_open).copied().collect();
    match open.is_empty() {
        false => open,
        true => entries,
    }
}

/// Returns how far back a host stands in the list; hosts of one class are equals.
fn class(member: &Member) -> u8 {
    match (member.record.standing, member.record.profile.load) {
        (Standing::Alive, Load::Normal) => 0,
        (Standing::Alive, Load::Busy) => 1,
        (Standing::Alive, Load::Overloaded) => 2,
        _ => 3,
    }
}

/// Returns the place of the host to name first, among the workspace's preferred ones.
fn first(candidates: &[&Member], request: &Request) -> Option<usize> {
    let best = class(candidates.first()?);
    let equals = candidates.iter().filter(|m| class(m) == best).count();
    let preferred = &candidates[..equals.min(PREFERRED_HOSTS)];
    match &request.prefix {
        None => Some((request.random % preferred.len() as u64) as usize),
        Some(prefix) => {
            let key = format!("{}/{prefix}", request.workspace);
            let score = |m: &Member| rendezvous::score(key.as_bytes(), &m.record.host);
            (0..preferred.len()).max_by_key(|place| score(preferred[*place]))
        }
    }
}

/// Reorders so that a host of each failure domain comes before the second of any.
fn mix(mut members: Vec<&Member>) -> Vec<&Member> {
    let mut mixed = Vec::new();
    while !members.is_empty() {
        let mut domains: Vec<&str> = Vec::new();
        members.retain(|member| {
            let domain = member.record.profile.domain.as_str();
            let repeats = domains.contains(&domain);
            if !repeats {
                domains.push(domain);
                mixed.push(*member);
            }
            repeats
        });
    }
    mixed
}
