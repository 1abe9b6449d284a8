//! Shows a daemon as it sees itself.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use strum::IntoEnumIterator;

use crate::context::Context;
use coordination::host::Load;
use coordination::host::Role;
use coordination::host::Standing;
use coordination::shard;
use coordination::view::Member;
use protocol::operator;
use protocol::operator::Status;
use state::column::Column;
use state::row::Row;
use state::sheet::Sheet;

const COUNTER_SUFFIX: &str = "_total";

/// Returns what the daemon knows of itself and its fleet.
pub fn of(context: &Context) -> Status {
    let settings = &context.settings;
    let table = context.table();
    let view = context.view();
    let upstreams = table.sheet(Sheet::Upstreams);
    let now = context.clock.now();
    let shards = shard::count(&table);
    let drain = context.draining.borrow().then(|| operator::Drain {
        in_flight: context.in_flight.load(Ordering::SeqCst),
        since_ms: context.drain_began.get().map_or(0, |at| now.since(*at)),
    });
    Status {
        counters: counters(&context.metrics.render()),
        drain,
        failure_domain: settings.failure_domain.clone(),
        host: settings.name.clone(),
        hosts: view.hosts.iter().map(host).collect(),
        leader: context.voter.status().and_then(|voter| voter.leader_name),
        revision: table.revision(),
        roles: settings.roles.iter().map(ToString::to_string).collect(),
        upstreams: upstreams
            .map(|(name, row)| {
                let owner = shard::owner(&view, shard::of_upstream(name, shards));
                let owner = owner.map(|member| member.record.host.clone());
                upstream(context, name, row, owner)
            })
            .collect(),
        uptime_ms: context.clock.now().0,
        version: env!("CARGO_PKG_VERSION").to_owned(),
    }
}

/// Returns the counters in a Prometheus text, by name with labels.
fn counters(text: &str) -> BTreeMap<String, u64> {
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    let samples = samples.filter_map(|line| line.rsplit_once(' '));
    let counters = samples.filter(|(name, _)| is_counter(name));
    counters
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect()
}

fn is_counter(name: &str) -> bool {
    let name = name.split('{').next().unwrap_or_default();
    name.ends_with(COUNTER_SUFFIX)
}

fn host(member: &Member) -> operator::Host {
    let profile = &member.record.profile;
    let roles = Role::iter().filter(|role| profile.roles.contains(*role));
    operator::Host {
        address: profile.entry.map(|address| address.to_string()),
        failure_domain: profile.domain.clone(),
        name: member.record.host.clone(),
        roles: roles.map(|role| role.to_string()).collect(),
        standing: standing(member).to_owned(),
    }
}

fn standing(member: &Member) -> &'static str {
    let profile = &member.record.profile;
    match (member.record.standing, profile.load) {
        (Standing::Dead, _) => "dead",
        (Standing::Left, _) => "left",
        (Standing::Suspect, _) => "suspect",
        (Standing::Alive, _) if profile.draining => "leaving",
        (Standing::Alive, _) if !member.reachable => "cut",
        (Standing::Alive, Load::Busy) => "busy",
        (Standing::Alive, Load::Normal) => "live",
        (Standing::Alive, Load::Overloaded) => "overloaded",
    }
}

fn upstream(context: &Context, name: &str, row: &Row, owner: Option<String>) -> operator::Upstream {
    let address = row.address(Column::Address);
    let incarnation = context.health.incarnation(name);
    operator::Upstream {
        address: address.map(|a| a.to_string()).unwrap_or_default(),
        incarnation: incarnation.map(|i| i.0),
        name: name.to_owned(),
        owner,
        standing: row.text(Column::Standing).unwrap_or("serving").to_owned(),
        ..operator::Upstream::default()
    }
}
