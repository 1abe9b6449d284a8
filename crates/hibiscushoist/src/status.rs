//! The command `status`.

use std::io::Write;

use error_stack::Report;

use crate::arguments::Arguments;
use crate::error::Error;
use crate::grid::Grid;
use crate::grid::or_dash;
use crate::table::json;
use crate::write;
use protocol::operator::Status;

/// Prints how a daemon sees itself and its fleet.
///
/// # Errors
///
/// Returns an error when no server answers or the key is refused.
pub async fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |_| ())?;
    arguments.words(
        0..=0,
        "status [--server ADDRESS] [--key-file FILE] [--json]",
    )?;
    let client = arguments.client()?;
    let status = client.get::<Status>("/admin/status").await?;
    if arguments.json() {
        return write(out, &json(&status));
    }
    write(out, &text(&status))
}

/// Returns the status as text for a terminal.
pub fn text(status: &Status) -> String {
    let mut text = format!(
        "host {} in {}, {}, version {}, up {} s\ntable revision {}, leader {}\n",
        status.host,
        status.failure_domain,
        status.roles.join(" "),
        status.version,
        status.uptime_ms / 1000,
        status.revision,
        or_dash(status.leader.as_ref()),
    );
    if let Some(drain) = &status.drain {
        text.push_str(&format!(
            "draining for {} s, {} requests still run\n",
            drain.since_ms / 1000,
            drain.in_flight
        ));
    }
    for part in [hosts(status), upstreams(status), counters(status)] {
        text.push('\n');
        text.push_str(&part);
    }
    text
}

fn counters(status: &Status) -> String {
    let mut grid = Grid::new(&["counter", "value"]);
    for (name, value) in &status.counters {
        grid.push([name.clone(), value.to_string()]);
    }
    grid.text()
}

fn hosts(status: &Status) -> String {
    let mut grid = Grid::new(&["host", "failure domain", "standing", "address", "roles"]);
    for host in &status.hosts {
        grid.push([
            host.name.clone(),
            host.failure_domain.clone(),
            host.standing.clone(),
            or_dash(host.address.as_ref()),
            host.roles.join(" "),
        ]);
    }
    grid.text()
}

fn upstreams(status: &Status) -> String {
    let headings = [
        "upstream",
        "address",
        "standing",
        "in flight",
        "queued",
        "version",
        "owner",
    ];
    let mut grid = Grid::new(&headings);
    for upstream in &status.upstreams {
        grid.push([
            upstream.name.clone(),
            upstream.address.clone(),
            upstream.standing.clone(),
            upstream.in_flight.to_string(),
            upstream.queued.to_string(),
            or_dash(upstream.version.as_ref()),
            or_dash(upstream.owner.as_ref()),
        ]);
    }
    grid.text()
}
