//! Fetches newer tables from other daemons and applies their revisions in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::pool::Pool;
use crate::voter_call::Status;
use coordination::host::Role;
use coordination::rotation::Outcome;
use coordination::rotation::Rotation;
use coordination::view::View;
use protocol::voter::TableUpdate;
use state::table::Table;
use transport::channel;

const CALL_LIMIT: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(250);

/// Collects what following needs.
pub struct Follower {
    /// Takes the tables.
    pub offers: channel::Sender<Arc<Table>>,
    /// Holds this host's address for peers.
    pub own: SocketAddr,
    /// Holds the connections.
    pub pool: Pool,
    /// Shows the voter of this host, if it has one.
    pub status: Option<watch::Receiver<Status>>,
    /// Shows the table in force.
    pub table: watch::Receiver<Arc<Table>>,
    /// Shows the fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// Lists the first voters.
    pub voters: Vec<SocketAddr>,
}

impl Follower {
    /// Follows for ever.
    pub async fn run(self) {
        let mut rotation = Rotation::new(rand::random::<u32>() as usize);
        loop {
            let source = rotation.source(&self.sources());
            let Some(source) = source.filter(|_| !self.has_leader()) else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            let outcome = self.fetch(source).await;
            rotation.record(outcome);
            if outcome == Outcome::NoAnswer {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Fetches what `source` has.
    async fn fetch(&self, source: SocketAddr) -> Outcome {
        let table = self.table.borrow().clone();
        let after = table.revision();
        let client = self.pool.client(source, None);
        let spread = client.call(CALL_LIMIT, |peer, context| async move {
            peer.table_update(context, after).await
        });
        let Ok(spread) = spread.await else {
            return Outcome::NoAnswer;
        };
        let newer = match spread {
            TableUpdate::Edits(edits) => {
                let mut next = (*table).clone();
                let applied = edits.iter().try_for_each(|e| next.apply(e).map(drop));
                match applied {
                    Err(_) => return Outcome::NoAnswer,
                    Ok(()) => Arc::new(next),
                }
            }
            TableUpdate::UpToDate => return Outcome::Unchanged,
            TableUpdate::WholeTable(table) => table,
        };
        let revision = newer.revision();
        if self.offers.send(newer).is_ok() {
            let mut table = self.table.clone();
            let arrived = table.wait_for(|table| table.revision() >= revision);
            let _ = tokio::time::timeout(CALL_LIMIT, arrived).await;
        }
        Outcome::Newer
    }

    fn has_leader(&self) -> bool {
        let knows = |status: &watch::Receiver<Status>| {
            let status = status.borrow();
            status.works && status.leader_name.is_some()
        };
        self.status.as_ref().is_some_and(knows)
    }

    fn sources(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let present = view.hosts.iter().filter(|m| m.record.standing.is_present());
        let hosts: Vec<_> = present.map(|member| &member.record.profile).collect();
        let voters = hosts.iter().filter(|p| p.roles.contains(Role::Voter));
        let mut sources: Vec<SocketAddr> = voters.map(|profile| profile.peer).collect();
        if sources.is_empty() {
            sources.extend(self.voters.iter().copied());
            sources.extend(hosts.iter().map(|profile| profile.peer));
        }
        sources.retain(|source| *source != self.own);
        sources
    }
}
