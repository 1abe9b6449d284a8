//! Forms the group of voters, promotes learners and replaces voters that lost their disk; see
//! [`coordination::voters`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::Logger;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::pool::Pool;
use crate::settings;
use crate::voter_call::Call;
use crate::voter_call::Status;
use coordination::quorum::Change;
use coordination::quorum::Member;
use coordination::view::View;
use coordination::voters::Health;
use coordination::voters::HostFolder;
use coordination::voters::Plan;
use protocol::voter::DataFolder;
use protocol::voter::Rejection;
use transport::channel;
use transport::event;
use transport::event::Event;
use transport::peer::Client;

/// Time for an answer over the connection that is kept to a host. It may be one to a process that
/// ended without a word, which shows only later.
const ASK_LIMIT: Duration = Duration::from_millis(250);
/// Time for an answer over a new connection.
const ASK_AGAIN_LIMIT: Duration = Duration::from_millis(1_000);
const CHANGE_LIMIT: Duration = Duration::from_secs(5);
const PERIOD: Duration = Duration::from_millis(500);
/// Pause between two changes, between two attempts to promote a learner, and between two looks at
/// what has changed. The repair of a voter takes three changes, and another host may be lost soon.
const REPAIR_PERIOD: Duration = Duration::from_millis(50);

/// Collects what the upkeep needs.
pub struct Upkeep {
    /// Asks the duty.
    pub calls: channel::Sender<Call>,
    /// Tells whether this host has seen a table, which means that a group exists.
    pub founded: bool,
    /// Receives events.
    pub log: Logger,
    /// Names this host.
    pub name: String,
    /// Holds the connections.
    pub pool: Pool,
    /// Shows the voter of this host.
    pub status: watch::Receiver<Status>,
    /// Gives how many voters the group should have.
    pub target: usize,
    /// Shows the fleet.
    pub view: watch::Receiver<Arc<View>>,
    /// Lists the first voters.
    pub voters: Vec<settings::Voter>,
}

impl Upkeep {
    /// Keeps the group up for ever.
    pub async fn run(mut self) {
        loop {
            let status = self.status.borrow().clone();
            if status.works && status.config.members.is_empty() {
                self.found().await;
            }
            let pause = match status.works && status.leads {
                false => PERIOD,
                true => self.repair(&status).await,
            };
            let plan = self.plan(&self.status.borrow());
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.outdated(plan) => {}
            }
        }
    }

    /// Makes the first step that the group accepts, and returns the pause until the next one.
    async fn repair(&mut self, status: &Status) -> Duration {
        let asked_at = Instant::now();
        let plan = self.plan(status);
        let steps = tokio::select! {
            steps = self.steps(status, &plan) => steps,
            () = self.outdated(plan.clone()) => return Duration::ZERO,
        };
        let asked = asked_at.elapsed();
        for step in steps {
            let count = step.len();
            for (index, change) in step.into_iter().enumerate() {
                match self.change(change, status.term, asked).await {
                    Ok(()) => {}
                    // Another step may be possible, such as when a learner is behind.
                    Err(Rejection::Change) if index == 0 => break,
                    Err(_) if index == 0 => return PERIOD,
                    Err(_) => return REPAIR_PERIOD,
                }
                if index + 1 == count {
                    return REPAIR_PERIOD;
                }
            }
        }
        match status.config.members.values().any(|m| !m.votes) {
            false => PERIOD,
            true => REPAIR_PERIOD,
        }
    }

    /// Has the group make a change, and returns once it is committed or this voter no longer leads.
    async fn change(
        &mut self,
        change: Change,
        term: u64,
        asked: Duration,
    ) -> Result<(), Rejection> {
        let (reply, replied) = oneshot::channel();
        let begun = Instant::now();
        let _ = self.calls.send(Call::Change(change.clone(), reply));
        let deposed = self
            .status
            .wait_for(|status| !status.leads || status.term != term);
        let result = tokio::select! {
            replied = replied => replied.unwrap_or(Err(Rejection::Ended)),
            _ = deposed => Err(Rejection::Unknown),
            () = tokio::time::sleep(CHANGE_LIMIT) => Err(Rejection::Unknown),
        };
        if result != Err(Rejection::Change) {
            let outcome: &'static str = result.err().map_or("made", Into::into);
            let details = slog::o!(
                "asked_ms" => asked.as_millis() as u64,
                "change" => format!("{change:?}"),
                "result" => outcome,
                "took_ms" => begun.elapsed().as_millis() as u64,
            );
            event::emit(&self.log, Event::MemberChanged, details);
        }
        result
    }

    /// Returns what is to be found out before the members are changed.
    fn plan(&self, status: &Status) -> Plan {
        let view = self.view.borrow().clone();
        let health = Health {
            config: &status.config,
            silences: &status.silences,
            target: self.target,
            view: &view,
        };
        let listed = match status.config.members.len() < self.voters.len() {
            false => &[],
            true => self.voters.as_slice(),
        };
        health.plan(listed.iter().map(|v| (v.name.clone(), v.address)))
    }

    /// Returns once another plan than `plan` fits what this voter knows.
    async fn outdated(&self, plan: Plan) {
        loop {
            tokio::time::sleep(REPAIR_PERIOD).await;
            if self.plan(&self.status.borrow()) != plan {
                return;
            }
        }
    }

    /// Founds the group from the first listed voter, once all of them answer with an empty folder.
    async fn found(&self) {
        let first = self.voters.first().filter(|first| first.name == self.name);
        let Some(first) = first.filter(|_| !self.founded) else {
            return;
        };
        for other in self.voters.iter().filter(|v| v.name != self.name) {
            match self.folder(other.address).await {
                Some(folder) if folder.group.is_none() => {}
                _ => return,
            }
        }
        let _ = self.calls.send(Call::Bootstrap(Member {
            address: first.address,
            name: first.name.clone(),
            votes: true,
        }));
    }

    /// Asks the hosts of a plan for their folders, and returns the steps that the answers allow as
    /// soon as there are any.
    async fn steps(&self, status: &Status, plan: &Plan) -> Vec<Vec<Change>> {
        let questions = plan.questions.iter();
        let questions = questions.map(|(name, question)| async move {
            let folder = self.folder(question.address).await;
            let folder = folder.and_then(|f| self.fitting(status, name, question.address, &f));
            (name.clone(), folder)
        });
        let mut questions: FuturesUnordered<_> = questions.collect();
        let mut answers = BTreeMap::new();
        loop {
            let steps = plan.steps(&status.config, &answers).unwrap_or_default();
            if !steps.is_empty() {
                return steps;
            }
            match questions.next().await {
                None => return Vec::new(),
                Some(answer) => answers.extend([answer]),
            }
        }
    }

    /// Returns the folder of a host, unless it belongs to another host or another group.
    fn fitting(
        &self,
        status: &Status,
        name: &str,
        address: SocketAddr,
        folder: &DataFolder,
    ) -> Option<HostFolder> {
        if folder.name != name {
            return None;
        }
        if folder
            .group
            .is_some_and(|group| group != status.config.group)
        {
            let details = slog::o!("host" => name.to_owned());
            event::emit(&self.log, Event::VoterForeign, details);
            return None;
        }
        Some(HostFolder {
            address,
            identity: folder.identity,
            name: name.to_owned(),
        })
    }

    async fn folder(&self, address: SocketAddr) -> Option<DataFolder> {
        let ask = async |client: Client, limit| {
            let call = client.call(limit, |peer, context| async move {
                peer.data_folder(context).await
            });
            tokio::time::timeout(limit, call).await.ok()?.ok().flatten()
        };
        let folder = ask(self.pool.client(address, None), ASK_LIMIT).await;
        match folder {
            None => ask(self.pool.new_client(address), ASK_AGAIN_LIMIT).await,
            folder => folder,
        }
    }
}
