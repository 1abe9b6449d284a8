//! Selects the entry addresses that a caller gets, and their order.
//!
//! Each workspace has a few preferred hosts, chosen by rendezvous hashing, so that its state stays
//! on few hosts. Busy hosts rank behind others, so that a busy workspace spills over to more hosts.
//! A caller that gives a prefix gets the same first host as all callers with this prefix; any other
//! caller gets a random one of the preferred hosts. Successive addresses are in different failure
//! domains, so that every caller has a working address after the loss of one domain.

use std::net::SocketAddr;

use crate::host::Load;
use crate::host::Role;
use crate::host::Standing;
use crate::rendezvous;
use crate::view::Member;
use crate::view::View;

/// Maximum number of addresses in an answer.
pub const MAX_ADDRESSES: usize = 6;

/// Number of hosts that share the callers of one workspace.
const PREFERRED_HOSTS: usize = 4;

/// A request of a caller for addresses.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Random number that chooses the first host for a caller without a prefix.
    pub random: u64,
    /// Prefix that the caller's requests share, if the caller gave one.
    pub prefix: Option<String>,
    /// Name of the workspace.
    pub workspace: String,
}

/// Returns the addresses for a caller, the preferred one first.
pub fn select(view: &View, request: &Request) -> Vec<SocketAddr> {
    let mut candidates = candidates(view);
    let region = view.get(&view.me).map(|me| &me.record.profile.region);
    candidates.sort_by_cached_key(|member| {
        let other_region = Some(&member.record.profile.region) != region;
        let score = rendezvous::score(request.workspace.as_bytes(), &member.record.host);
        (preference_class(member), other_region, u64::MAX - score)
    });
    let first = first_index(&candidates, request);
    if let Some(first) = first {
        let member = candidates.remove(first);
        candidates.insert(0, member);
    }
    let interleaved = interleave_domains(candidates);
    let addresses = interleaved.iter().filter_map(|m| m.record.profile.entry);
    addresses.take(MAX_ADDRESSES).collect()
}

/// Returns the entries that accept new work, or the draining ones if there is no other.
fn candidates(view: &View) -> Vec<&Member> {
    let entries: Vec<&Member> = view
        .present(Role::Entry)
        .filter(|member| member.record.profile.entry.is_some())
        .collect();
    let accepts_work = |member: &&&Member| member.record.takes_work();
    let accepting: Vec<&Member> = entries.iter().filter(accepts_work).copied().collect();
    match accepting.is_empty() {
        false => accepting,
        true => entries,
    }
}

/// Returns the preference class of a host by its standing and load; lower classes come first.
fn preference_class(member: &Member) -> u8 {
    match (member.record.standing, member.record.profile.load) {
        (Standing::Alive, Load::Normal) => 0,
        (Standing::Alive, Load::Busy) => 1,
        (Standing::Alive, Load::Overloaded) => 2,
        _ => 3,
    }
}

/// Returns the index of the first host for a caller, one of the workspace's preferred hosts.
fn first_index(candidates: &[&Member], request: &Request) -> Option<usize> {
    let best = preference_class(candidates.first()?);
    let equals = candidates
        .iter()
        .filter(|m| preference_class(m) == best)
        .count();
    let preferred = &candidates[..equals.min(PREFERRED_HOSTS)];
    match &request.prefix {
        None => Some((request.random % preferred.len() as u64) as usize),
        Some(prefix) => {
            let key = format!("{}/{prefix}", request.workspace);
            let score = |m: &Member| rendezvous::score(key.as_bytes(), &m.record.host);
            (0..preferred.len()).max_by_key(|index| score(preferred[*index]))
        }
    }
}

/// Interleaves the failure domains: one host of each domain comes before the second of any.
fn interleave_domains(mut members: Vec<&Member>) -> Vec<&Member> {
    let mut interleaved = Vec::new();
    while !members.is_empty() {
        let mut domains: Vec<&str> = Vec::new();
        members.retain(|member| {
            let domain = member.record.profile.domain.as_str();
            let is_repeated = domains.contains(&domain);
            if !is_repeated {
                domains.push(domain);
                interleaved.push(*member);
            }
            is_repeated
        });
    }
    interleaved
}
