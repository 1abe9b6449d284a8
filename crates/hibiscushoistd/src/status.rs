//! Shows a daemon as it sees itself.

use std::sync::atomic::Ordering;

use crate::context::Context;
use protocol::operator;
use protocol::operator::Status;
use state::column::Column;
use state::row::Row;
use state::sheet::Sheet;

/// Returns what the daemon knows of itself and its fleet.
pub fn of(context: &Context) -> Status {
    let settings = &context.settings;
    let table = context.table();
    let upstreams = table.sheet(Sheet::Upstreams);
    let drain = context.draining.borrow().then(|| operator::Drain {
        in_flight: context.in_flight.load(Ordering::SeqCst),
        since_ms: 0,
    });
    Status {
        drain,
        failure_domain: settings.failure_domain.clone(),
        host: settings.name.clone(),
        revision: table.revision(),
        roles: settings.roles.iter().map(ToString::to_string).collect(),
        upstreams: upstreams
            .map(|(name, row)| upstream(context, name, row))
            .collect(),
        uptime_ms: context.clock.now().0,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        ..Status::default()
    }
}

fn upstream(context: &Context, name: &str, row: &Row) -> operator::Upstream {
    let address = row.address(Column::Address);
    let incarnation = context.health.incarnation(name);
    operator::Upstream {
        address: address.map(|a| a.to_string()).unwrap_or_default(),
        incarnation: incarnation.map(|i| i.0),
        name: name.to_owned(),
        standing: row.text(Column::Standing).unwrap_or("serving").to_owned(),
        ..operator::Upstream::default()
    }
}
