//! Forms the group of voters, promotes learners and replaces voters that lost their disk; see
//! [`coordination::voters`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use coordination::voters;
use coordination::voters::HostFolder;
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
/// Pause between two changes, and between two attempts to promote a learner. The repair of a voter
/// takes three changes, and another host may be lost soon.
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
    pub async fn run(self) {
        let mut pause = PERIOD;
        loop {
            tokio::time::sleep(pause).await;
            pause = PERIOD;
            let status = self.status.borrow().clone();
            if !status.works {
                continue;
            }
            if status.config.members.is_empty() {
                self.found().await;
            } else if status.leads {
                let has_learner = status.config.members.values().any(|m| !m.votes);
                if self.repair(&status).await || has_learner {
                    pause = REPAIR_PERIOD;
                }
            }
        }
    }

    /// Makes the first step that the group accepts, and returns whether there was one.
    async fn repair(&self, status: &Status) -> bool {
        for step in self.steps(status).await {
            let count = step.len();
            for (index, change) in step.into_iter().enumerate() {
                match self.change(change).await {
                    Ok(()) => {}
                    // Another step may be possible, such as when a learner is behind.
                    Err(Rejection::Change) if index == 0 => break,
                    Err(_) => return index > 0,
                }
                if index + 1 == count {
                    return true;
                }
            }
        }
        false
    }

    /// Has the group make a change, and returns once it is committed.
    async fn change(&self, change: Change) -> Result<(), Rejection> {
        let (reply, replied) = oneshot::channel();
        let _ = self.calls.send(Call::Change(change, reply));
        let replied = tokio::time::timeout(CHANGE_LIMIT, replied).await;
        replied
            .unwrap_or(Ok(Err(Rejection::Unknown)))
            .unwrap_or(Err(Rejection::Ended))
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

    /// Returns the steps that bring the members closer to the folders that hosts have.
    async fn steps(&self, status: &Status) -> Vec<Vec<Change>> {
        let members = &status.config.members;
        let view = self.view.borrow().clone();
        let removable = voters::removable_voter(&status.config, &view, self.target)
            .or_else(|| voters::removable_learner(&status.config, &view));
        let mut hosts: BTreeMap<String, SocketAddr> = members
            .values()
            .map(|member| (member.name.clone(), member.address))
            .collect();
        if members.len() < self.voters.len() {
            let listed = self.voters.iter();
            hosts.extend(listed.map(|voter| (voter.name.clone(), voter.address)));
        }
        hosts.extend(voters::replacement_hosts(
            &status.config,
            &view,
            self.target,
        ));
        hosts.remove(&self.name);
        let folders = hosts.into_iter().map(|(name, address)| async move {
            let folder = self.folder(address).await?;
            self.fitting(status, name, address, &folder)
        });
        let folders = futures::future::join_all(folders).await;
        let folders: Vec<HostFolder> = folders.into_iter().flatten().collect();
        voters::steps(&status.config, &folders, removable)
    }

    /// Returns the folder of a host, unless it belongs to another host or another group.
    fn fitting(
        &self,
        status: &Status,
        name: String,
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
            let details = slog::o!("host" => name);
            event::emit(&self.log, Event::VoterForeign, details);
            return None;
        }
        Some(HostFolder {
            address,
            identity: folder.identity,
            name,
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
