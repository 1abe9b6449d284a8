//! Reaches the voters from any daemon: the one of this host, or another host's that leads.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::follow::Follower;
use crate::pool::Pool;
use crate::voter_call::Call;
use crate::voter_call::Reading;
use crate::voter_call::Reply;
use crate::voter_call::Status;
use coordination::lease;
use coordination::quorum::Change;
use coordination::quorum::Member;
use coordination::quorum::MemberId;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use coordination::view::View;
use protocol::operator::History;
use protocol::operator::Voters;
use protocol::voter::DataFolder;
use protocol::voter::MessageBatch;
use protocol::voter::Rejection;
use protocol::voter::TableUpdate;
use protocol::voter::VoterChange;
use state::edit::Edit;
use state::edit::Receipt;
use state::ledger;
use state::routing;
use state::table;
use state::table::Table;
use transport::channel;
use transport::metric;
use transport::peer;

const ARRIVAL_LIMIT: Duration = Duration::from_secs(2);
const CALL_LIMIT: Duration = Duration::from_millis(2_000);
const LIMIT: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which a host without a table keeps another one that has none. The other may have to ask
/// several hosts before it serves callers, and this one may be asking it in turn.
const FIRST_SPREAD_WAIT: Duration = Duration::from_millis(100);
const SPREAD_WAIT: Duration = Duration::from_secs(4);

/// Tells why the voters did not take a command.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports an answer to something else.
    #[error("the voters answered something else")]
    Answer,
    /// Reports that no voter took the command; it took no effect.
    #[error("the voters cannot agree at the moment: {0}")]
    QuorumAway(Rejection),
    /// Reports an edit that the table refuses.
    #[error("{0}")]
    Refused(#[from] table::Error),
    /// Reports that no answer came in time; the outcome is unknown.
    #[error("no voter answered in time; the outcome is unknown")]
    Unanswered,
}

#[derive(Clone)]
pub(crate) struct Local {
    pub(crate) calls: channel::Sender<Call>,
    pub(crate) status: watch::Receiver<Status>,
}

/// Reaches the voters.
#[derive(Clone)]
pub struct Handle {
    pub(crate) local: Option<Local>,
    pub(crate) name: String,
    pub(crate) offers: channel::Sender<Arc<Table>>,
    pub(crate) own: SocketAddr,
    pub(crate) pool: Option<Pool>,
    pub(crate) table: watch::Receiver<Arc<Table>>,
    pub(crate) voters: Vec<SocketAddr>,
}

impl Handle {
    /// Has `edit` accepted and in force on this host, or learns why not.
    ///
    /// # Errors
    ///
    /// Returns the table's refusal, or why the voters could not be reached.
    pub async fn edit(&self, edit: Edit) -> Result<Receipt, Error> {
        let Answer::Edit(result) = self.propose(Command::Edit(edit)).await? else {
            return Err(Error::Answer);
        };
        let receipt = result?;
        let mut table = self.table.clone();
        let arrived = table.wait_for(|table| table.revision() >= receipt.revision);
        let _ = tokio::time::timeout(ARRIVAL_LIMIT, arrived).await;
        Ok(receipt)
    }

    /// Has the ledger record that a call is about to be sent.
    ///
    /// # Errors
    ///
    /// Returns why the voters could not be reached.
    pub async fn begin(&self, intent: ledger::Intent) -> Result<ledger::Decision, Error> {
        match self.propose(Command::Begin(intent)).await? {
            Answer::Begin(decision) => Ok(decision),
            _ => Err(Error::Answer),
        }
    }

    /// Has the ledger record how a call ended.
    ///
    /// # Errors
    ///
    /// Returns why the voters could not be reached.
    pub async fn finish(&self, report: ledger::Report) -> Result<ledger::Settlement, Error> {
        match self.propose(Command::Finish(report)).await? {
            Answer::Finish(settlement) => Ok(settlement),
            _ => Err(Error::Answer),
        }
    }

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// Returns why the voters could not be reached.
    pub async fn lease(&self, ask: lease::Request) -> Result<lease::Answer, Error> {
        match self.propose(Command::Lease(ask)).await? {
            Answer::Lease(answer) => Ok(answer),
            _ => Err(Error::Answer),
        }
    }

    /// Has a routed table come into force unless one as new is, and returns the version in force.
    ///
    /// # Errors
    ///
    /// Returns why the voters could not be reached.
    pub async fn route(
        &self,
        source: Arc<String>,
        table: Arc<routing::Table>,
    ) -> Result<u64, Error> {
        match self.propose(Command::Route { source, table }).await? {
            Answer::Route(version) => Ok(version),
            _ => Err(Error::Answer),
        }
    }

    /// Names the weights version that engines of `model` should have, and returns the newest.
    ///
    /// # Errors
    ///
    /// Returns why the voters could not be reached.
    pub async fn name_weights(&self, model: String, version: u64) -> Result<u64, Error> {
        match self.propose(Command::Weights { model, version }).await? {
            Answer::Weights(version) => Ok(version),
            _ => Err(Error::Answer),
        }
    }

    /// Returns the operator's text of the routed table, under everything acknowledged before.
    ///
    /// # Errors
    ///
    /// Returns why no voter that leads could be reached.
    pub async fn source(&self) -> Result<Arc<String>, Error> {
        self.reach(|target| self.send_source(target)).await
    }

    /// Changes the voters.
    ///
    /// # Errors
    ///
    /// Returns why the voters did not take the change, or that the outcome is unknown.
    pub async fn member(&self, ask: VoterChange) -> Result<(), Error> {
        self.reach(|target| self.send_member(target, ask.clone()))
            .await
    }

    /// Shows the voters, as this host's voter or another host's sees them.
    ///
    /// # Errors
    ///
    /// Returns why no voter could be reached.
    pub async fn voters(&self) -> Result<Voters, Error> {
        self.reach(|target| self.send_voters(target)).await
    }

    /// Returns the edits after a revision, as this host's voter or another host's knows them.
    ///
    /// # Errors
    ///
    /// Returns why no voter could be reached.
    pub async fn history(&self, after: u64) -> Result<History, Error> {
        self.reach(|target| self.send_history(target, after)).await
    }

    /// Returns the state under everything acknowledged before; only the voter that leads can.
    ///
    /// # Errors
    ///
    /// Returns why this host's voter cannot tell.
    pub async fn read_here(&self) -> Result<Reading, Rejection> {
        self.ask(Call::Read).await
    }

    /// Returns the edits after a revision, as this host's voter knows them.
    ///
    /// # Errors
    ///
    /// Returns an error on a host without a working voter.
    pub async fn history_here(&self, after: u64) -> Result<History, Rejection> {
        self.ask(|reply| Call::History(after, reply)).await
    }

    /// Has this host's voter change the voters, if it leads.
    ///
    /// # Errors
    ///
    /// Returns why it did not.
    pub async fn member_here(&self, ask: VoterChange) -> Result<(), Rejection> {
        let status = self.status().ok_or(Rejection::Ended)?;
        if !status.leads {
            return Err(Rejection::NotLeader(status.leader));
        }
        for change in self.changes(&status, ask).await? {
            self.ask(|reply| Call::Change(change, reply)).await?;
        }
        Ok(())
    }

    /// Shows the voters, as this host's voter sees them.
    pub fn voters_here(&self) -> Option<Voters> {
        self.status().map(|status| status.voters())
    }

    /// Has this host's voter replicate a command, if it leads.
    ///
    /// # Errors
    ///
    /// Returns why it did not, or that the outcome is not known here.
    pub async fn propose_here(&self, command: Command) -> Result<Answer, Rejection> {
        self.ask(|reply| Call::Propose(command, reply)).await
    }

    /// Takes messages of other voters.
    pub fn replicate(&self, packet: MessageBatch) {
        if let Some(local) = &self.local
            && local.calls.send(Call::Packet(packet)).is_err()
        {
            metrics::counter!(metric::LOG_DROPS).increment(1);
        }
    }

    /// Returns what this host's voter's data folder is.
    pub fn folder(&self) -> Option<DataFolder> {
        let status = self.status()?;
        let group = Some(status.config.group);
        Some(DataFolder {
            group: group.filter(|group| *group != MemberId::default()),
            identity: status.identity,
            name: self.name.clone(),
        })
    }

    /// Returns what a daemon at revision `after` lacks, once there is something or after a while.
    pub async fn spread(&self, after: u64) -> TableUpdate {
        let mut table = self.table.clone();
        let newer = table.wait_for(|table| table.revision() > after);
        let wait = match after == 0 && self.local.is_none() {
            false => SPREAD_WAIT,
            true => FIRST_SPREAD_WAIT,
        };
        let newer = tokio::time::timeout(wait, newer).await;
        let Ok(Ok(newer)) = newer.map(|newer| newer.map(|table| table.clone())) else {
            return TableUpdate::UpToDate;
        };
        match self.ask(|reply| Call::Spread(after, reply)).await {
            Err(_) | Ok(TableUpdate::UpToDate) => TableUpdate::WholeTable(newer),
            Ok(spread) => spread,
        }
    }

    /// Returns what this host's voter shows of itself, if it works.
    pub fn status(&self) -> Option<Status> {
        let local = self.local.as_ref()?;
        Some(local.status.borrow().clone()).filter(|status| status.works)
    }

    /// Returns the table in force and its later versions.
    pub fn table(&self) -> watch::Receiver<Arc<Table>> {
        self.table.clone()
    }

    /// Follows the table of other daemons from now on, unless this host keeps its own alone.
    pub fn follow(&self, view: watch::Receiver<Arc<View>>) {
        if let Some(pool) = self.pool.as_ref().filter(|_| !self.voters.is_empty()) {
            let follower = Follower {
                offers: self.offers.clone(),
                own: self.own,
                pool: pool.clone(),
                status: self.local.as_ref().map(|local| local.status.clone()),
                table: self.table.clone(),
                view,
                voters: self.voters.clone(),
            };
            tokio::spawn(follower.run());
        }
    }

    async fn ask<T>(&self, call: impl FnOnce(Reply<T>) -> Call) -> Result<T, Rejection> {
        let local = self.local.as_ref().ok_or(Rejection::Ended)?;
        let (reply, replied) = oneshot::channel();
        local.calls.send(call(reply)).map_err(|error| match error {
            channel::SendError::Closed => Rejection::Ended,
            channel::SendError::Full => Rejection::Backlog,
        })?;
        match tokio::time::timeout(CALL_LIMIT, replied).await {
            Ok(Ok(answer)) => answer,
            Err(_) | Ok(Err(_)) => Err(Rejection::Unknown),
        }
    }

    async fn changes(&self, status: &Status, ask: VoterChange) -> Result<Vec<Change>, Rejection> {
        let members = &status.config.members;
        match ask {
            VoterChange::Add { address, name } => {
                let pool = self.pool.as_ref().ok_or(Rejection::Change)?;
                let client = pool.client(address, None);
                let folder = client.call(CALL_LIMIT, |peer, context| async move {
                    peer.data_folder(context).await
                });
                let folder = folder.await.ok().flatten().ok_or(Rejection::Change)?;
                let foreign = folder
                    .group
                    .is_some_and(|group| group != status.config.group);
                if foreign || folder.name != name {
                    return Err(Rejection::Change);
                }
                let member = Member {
                    address,
                    name,
                    votes: false,
                };
                let new = !members.contains_key(&folder.identity);
                let add = Change::Add(folder.identity, member);
                Ok(new.then_some(add).into_iter().collect())
            }
            VoterChange::Remove { name } => {
                let named = members.iter().filter(|(_, member)| member.name == name);
                Ok(named.map(|(id, _)| Change::Remove(*id)).collect())
            }
        }
    }

    async fn propose(&self, command: Command) -> Result<Answer, Error> {
        self.reach(|target| self.send(target, command.clone()))
            .await
    }

    /// Sends to one voter after another until one that leads answers.
    async fn reach<T, F>(&self, send: impl Fn(Option<SocketAddr>) -> F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Rejection>>,
    {
        let until = Instant::now() + LIMIT;
        let mut unknown = false;
        let mut hint = None;
        let mut turn = 0;
        loop {
            let target = hint.take().or_else(|| self.target(turn));
            turn += 1;
            let rejection = match send(target).await {
                Ok(answer) => return Ok(answer),
                Err(rejection) => rejection,
            };
            let reason: &'static str = rejection.into();
            match rejection {
                Rejection::NotLeader(Some(leader)) if Some(leader) != target => {
                    hint = Some(leader);
                }
                Rejection::Unknown => unknown = true,
                _ => {}
            }
            if Instant::now() >= until {
                metrics::counter!(metric::VOTER_REFUSALS, "reason" => reason).increment(1);
                return Err(match unknown {
                    false => Error::QuorumAway(rejection),
                    true => Error::Unanswered,
                });
            }
            metrics::counter!(metric::VOTER_RETRIES, "reason" => reason).increment(1);
            if hint.is_none() {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    async fn send(
        &self,
        target: Option<SocketAddr>,
        command: Command,
    ) -> Result<Answer, Rejection> {
        let Some((pool, address)) = self.pool.as_ref().zip(target) else {
            return self.propose_here(command).await;
        };
        let client = pool.client(address, None);
        let call = client.call(CALL_LIMIT, |peer, context| async move {
            peer.propose(context, command).await
        });
        call.await.unwrap_or_else(|error| Err(unsent(&error)))
    }

    async fn send_history(
        &self,
        target: Option<SocketAddr>,
        after: u64,
    ) -> Result<History, Rejection> {
        let Some((pool, address)) = self.pool.as_ref().zip(target) else {
            return self.history_here(after).await;
        };
        let client = pool.client(address, None);
        let call = client.call(CALL_LIMIT, |peer, context| async move {
            peer.history(context, after).await
        });
        call.await.ok().flatten().ok_or(Rejection::Ended)
    }

    async fn send_member(
        &self,
        target: Option<SocketAddr>,
        ask: VoterChange,
    ) -> Result<(), Rejection> {
        let Some((pool, address)) = self.pool.as_ref().zip(target) else {
            return self.member_here(ask).await;
        };
        let client = pool.client(address, None);
        let call = client.call(CALL_LIMIT, |peer, context| async move {
            peer.change_voters(context, ask).await
        });
        call.await.unwrap_or_else(|error| Err(unsent(&error)))
    }

    async fn send_source(&self, target: Option<SocketAddr>) -> Result<Arc<String>, Rejection> {
        let Some((pool, address)) = self.pool.as_ref().zip(target) else {
            return Ok(self.read_here().await?.routed.source.clone());
        };
        let client = pool.client(address, None);
        let call = client.call(CALL_LIMIT, |peer, context| async move {
            peer.routing_source(context).await
        });
        call.await.unwrap_or_else(|error| Err(unsent(&error)))
    }

    async fn send_voters(&self, target: Option<SocketAddr>) -> Result<Voters, Rejection> {
        let Some((pool, address)) = self.pool.as_ref().zip(target) else {
            return self.voters_here().ok_or(Rejection::Ended);
        };
        let client = pool.client(address, None);
        let call = client.call(CALL_LIMIT, |peer, context| async move {
            peer.voters(context).await
        });
        call.await.ok().flatten().ok_or(Rejection::Ended)
    }

    /// Returns the address to try at a turn, or `None` for this host's voter.
    fn target(&self, turn: usize) -> Option<SocketAddr> {
        let status = self.status();
        let own = status.is_some().then_some(None);
        let others = self.voters.iter().filter(|voter| **voter != self.own);
        let members = status.iter().flat_map(|s| s.config.members.values());
        let members = members.map(|m| m.address).filter(|a| *a != self.own);
        let mut targets: Vec<Option<SocketAddr>> = own.into_iter().collect();
        targets.extend(members.map(Some));
        for other in others {
            if !targets.contains(&Some(*other)) {
                targets.push(Some(*other));
            }
        }
        match targets.is_empty() {
            false => targets[turn % targets.len()],
            true => None,
        }
    }
}

fn unsent(error: &peer::Error) -> Rejection {
    match error.not_sent() {
        false => Rejection::Unknown,
        true => Rejection::Ended,
    }
}
