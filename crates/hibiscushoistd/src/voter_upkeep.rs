//! Forms the group of voters, promotes learners and replaces voters that lost their disk.

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
use coordination::quorum::MemberId;
use coordination::view::View;
use coordination::voters;
use protocol::voter::DataFolder;
use transport::channel;
use transport::event;
use transport::event::Event;

const ASK_LIMIT: Duration = Duration::from_millis(1_000);
const CHANGE_LIMIT: Duration = Duration::from_secs(5);
const PERIOD: Duration = Duration::from_millis(500);

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
        loop {
            tokio::time::sleep(PERIOD).await;
            let status = self.status.borrow().clone();
            if !status.works {
                continue;
            }
            if status.config.members.is_empty() {
                self.found().await;
            } else if status.leads
                && let Some(change) = self.next(&status).await
            {
                let (reply, replied) = oneshot::channel();
                let _ = self.calls.send(Call::Change(change, reply));
                let _ = tokio::time::timeout(CHANGE_LIMIT, replied).await;
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

    /// Returns the next change that brings the members closer to the folders that hosts have.
    async fn next(&self, status: &Status) -> Option<Change> {
        let members = &status.config.members;
        if let Some((id, _)) = members.iter().find(|(_, member)| !member.votes) {
            return Some(Change::Promote(*id));
        }
        let view = self.view.borrow().clone();
        if let Some(gone) = voters::removable_voter(&status.config, &view, self.target) {
            return Some(Change::Remove(gone));
        }
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
        for (name, address) in hosts.into_iter().filter(|(name, _)| *name != self.name) {
            let folder = self.folder(address).await.filter(|f| f.name == name);
            let change = folder.and_then(|folder| self.fitting(status, &folder, address));
            if change.is_some() {
                return change;
            }
        }
        None
    }

    fn fitting(&self, status: &Status, folder: &DataFolder, address: SocketAddr) -> Option<Change> {
        let members = &status.config.members;
        if folder
            .group
            .is_some_and(|group| group != status.config.group)
        {
            let details = slog::o!("host" => folder.name.clone());
            event::emit(&self.log, Event::VoterForeign, details);
            return None;
        }
        if !members.contains_key(&folder.identity) {
            let name = folder.name.clone();
            let votes = false;
            let member = Member {
                address,
                name,
                votes,
            };
            return Some(Change::Add(folder.identity, member));
        }
        let lost = |(id, member): &(&MemberId, &Member)| {
            member.name == folder.name && **id != folder.identity
        };
        let lost = members.iter().find(lost);
        lost.map(|(id, _)| Change::Remove(*id))
    }

    async fn folder(&self, address: SocketAddr) -> Option<DataFolder> {
        let client = self.pool.client(address, None);
        let call = client.call(ASK_LIMIT, |peer, context| async move {
            peer.data_folder(context).await
        });
        call.await.ok().flatten()
    }
}
