//! Assigns upstreams and prompts to shards, and shards to brokers.
//!
//! Upstreams are grouped into shards of up to [`UPSTREAMS_PER_SHARD`], so that a broker has many to
//! choose from: a small fleet has one shard, and cost per broker stays level as a fleet grows. Each
//! host works all of it out from its own view and table.

use std::collections::BTreeSet;

use crate::host::Role;
use crate::rendezvous;
use crate::view::Member;
use crate::view::View;
use state::column::Column;
use state::ident::BlockHash;
use state::row::Row;
use state::sheet::Sheet;
use state::table::Table;

/// Upstreams per shard, on average, above which the fleet gets another shard.
pub const UPSTREAMS_PER_SHARD: usize = 140;

/// Number of a shard.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Shard(pub u16);

/// Returns the number of shards for the upstreams of a table.
pub fn count(table: &Table) -> u16 {
    let engines = table.sheet(Sheet::Upstreams).filter(|(_, r)| is_engine(r));
    let shards = engines.count().div_ceil(UPSTREAMS_PER_SHARD).max(1);
    u16::try_from(shards).unwrap_or(u16::MAX)
}

/// Returns the shard of an upstream.
pub fn of_upstream(name: impl AsRef<str>, shards: u16) -> Shard {
    highest_ranked(name.as_ref().as_bytes(), shards)
}

/// Returns the shard that places requests whose prompt starts with the block `root`.
pub fn of_prompt(root: BlockHash, shards: u16) -> Shard {
    highest_ranked(&root.0.to_le_bytes(), shards)
}

/// Iterates over the brokers that own shards.
///
/// A suspected broker is included, so that a short pause moves no shard. A draining one is not: it
/// hands its shards over at once.
pub fn brokers(view: &View) -> impl Iterator<Item = &Member> {
    view.present(Role::Broker)
        .filter(|member| member.record.takes_work())
}

/// Returns the broker that owns a shard, if any broker takes work.
pub fn owner(view: &View, shard: Shard) -> Option<&Member> {
    let key = name(shard);
    let score = |member: &&Member| rendezvous::score(key.as_bytes(), &member.record.host);
    brokers(view).max_by_key(score)
}

/// Returns the upstreams that this host owns. KV stores belong to every shard, so every
/// host that owns a shard owns them.
pub fn owned(view: &View, table: &Table) -> BTreeSet<String> {
    let shards = count(table);
    let is_owned = |shard: Shard| owner(view, shard).is_some_and(|m| m.record.host == view.me);
    let owned: Vec<bool> = (0..shards).map(|number| is_owned(Shard(number))).collect();
    let owns_any = owned.contains(&true);
    table
        .sheet(Sheet::Upstreams)
        .filter(|(name, row)| match is_engine(row) {
            true => owned[usize::from(of_upstream(name, shards).0)],
            false => owns_any,
        })
        .map(|(name, _)| name.to_owned())
        .collect()
}

/// Returns the shard that ranks highest for a key by rendezvous hashing.
fn highest_ranked(key: &[u8], shards: u16) -> Shard {
    let score = |number: &u16| rendezvous::score(key, &name(Shard(*number)));
    Shard((0..shards).max_by_key(score).unwrap_or(0))
}

fn is_engine(row: &Row) -> bool {
    row.text(Column::Type) == Some("engine")
}

/// Returns the name of a shard, as rendezvous hashing uses it.
fn name(shard: Shard) -> String {
    format!("shard {}", shard.0)
}
