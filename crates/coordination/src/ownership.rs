//! Which broker owns an upstream.
//!
//! Each host works it out from its own view. A suspected broker keeps what it owns, so that a short
//! pause moves nothing; a draining one hands over at once.

use crate::host::Role;
use crate::rendezvous;
use crate::view::Member;
use crate::view::View;

/// Returns the broker that owns `upstream`, if any broker takes work.
pub fn owner(view: &View, upstream: impl AsRef<str>) -> Option<&Member> {
    let key = upstream.as_ref().as_bytes();
    let score = |member: &&Member| rendezvous::score(key, &member.record.host);
    brokers(view).max_by_key(score)
}

/// Returns whether this host owns `upstream`.
pub fn is_mine(view: &View, upstream: impl AsRef<str>) -> bool {
    owner(view, upstream).is_some_and(|member| member.record.host == view.me)
}

/// Iterates over the brokers that own upstreams.
pub fn brokers(view: &View) -> impl Iterator<Item = &Member> {
    view.present(Role::Broker)
        .filter(|member| member.record.takes_work())
}
