//! Starts the voter of a host, if it has one, and what reaches the others.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use error_stack::Report;
use error_stack::ResultExt;
use slog::Logger;
use thiserror::Error;
use tokio::runtime;
use tokio::sync::watch;

use crate::keeper;
use crate::pool::Pool;
use crate::settings::Role;
use crate::settings::Settings;
use crate::voter::Handle;
use crate::voter::Local;
use crate::voter_call::Call;
use crate::voter_call::Status;
use crate::voter_disk;
use crate::voter_duty::Duty;
use crate::voter_duty::Parts;
use crate::voter_route::Routes;
use crate::voter_upkeep::Upkeep;
use coordination::quorum::Member;
use coordination::quorum::MemberId;
use coordination::raft::Raft;
use coordination::raft_entry::Recovered;
use coordination::raft_settings;
use coordination::view::View;
use transport::channel;
use transport::clock::Clock;
use transport::disk;
use transport::event;
use transport::event::Event;
use transport::raft_store::RaftStore;

const RING_CALLS: usize = 4_096;

/// Tells which part of the voter could not start.
#[derive(Clone, Copy, Debug, Error)]
pub enum Start {
    /// Reports the data folder.
    #[error("the voter's data folder cannot be used")]
    Folder,
    /// Reports the log's newest snapshot.
    #[error("the voter's snapshot cannot be read")]
    Snapshot,
    /// Reports a thread.
    #[error("a thread cannot be started")]
    Thread,
}

/// Starts the voter of this host, if it has one, and what reaches the others.
///
/// # Errors
///
/// Returns an error that names the part that could not start.
pub fn start(
    settings: &Settings,
    own: SocketAddr,
    pool: Option<Pool>,
    clock: Clock,
    log: &Logger,
) -> Result<Handle, Report<Start>> {
    let keeper = keeper::start(settings.data.as_deref(), log.clone());
    let keeper = keeper.change_context(Start::Folder)?;
    let alone = settings.voters.is_empty() && !settings.plays(Role::Voter);
    let votes = alone || settings.plays(Role::Voter);
    let mut handle = Handle {
        local: None,
        name: settings.name.clone(),
        offers: keeper.offers,
        own,
        pool,
        table: keeper.table,
        voters: settings.voters.iter().map(|voter| voter.address).collect(),
    };
    if votes {
        handle.local = Some(local(settings, &handle, clock, log)?);
    }
    Ok(handle)
}

fn local(
    settings: &Settings,
    handle: &Handle,
    clock: Clock,
    log: &Logger,
) -> Result<Local, Report<Start>> {
    let folder = settings.data.as_ref().map(|data| data.join("log"));
    let store = folder.map(|folder| open(folder, log)).transpose()?;
    let fresh = MemberId(rand::random());
    let identity = store.as_ref().map_or(fresh, RaftStore::identity);
    let recovered = store.as_ref().map(RaftStore::recovered).cloned();
    let recovered = recovered.unwrap_or_default();
    let empty = recovered == Recovered::default();
    let raft_settings = raft_settings::Settings::default();
    let seed = rand::random();
    let raft = Raft::new(identity, raft_settings, seed, clock.now(), recovered);
    let (calls, receiver) = channel::bounded(RING_CALLS);
    let disk = voter_disk::start(store, calls.clone(), log.clone());
    let (publish, status) = watch::channel(Status::default());
    let runtime = runtime::Handle::current();
    let duty = Duty::new(Parts {
        calls: receiver,
        clock,
        disk: disk.change_context(Start::Thread)?,
        log: log.clone(),
        raft,
        routes: Routes::new(handle.own, handle.pool.clone(), runtime),
        status: publish,
        tables: handle.offers.clone(),
    });
    let duty = duty.change_context(Start::Snapshot)?;
    let thread = thread::Builder::new().name("voter".to_owned());
    let spawned: io::Result<_> = thread.spawn(move || duty.run());
    spawned.change_context(Start::Thread)?;
    if settings.voters.is_empty() && empty {
        let _ = calls.send(Call::Bootstrap(Member {
            address: handle.own,
            name: settings.name.clone(),
            votes: true,
        }));
    }
    Ok(Local { calls, status })
}

/// Keeps the group of voters up from now on, where this host has a voter that belongs to one.
pub fn keep_up(
    settings: &Settings,
    handle: &Handle,
    view: watch::Receiver<Arc<View>>,
    log: &Logger,
) {
    let local = handle.local.as_ref().zip(handle.pool.as_ref());
    let Some((local, pool)) = local.filter(|_| !settings.voters.is_empty()) else {
        return;
    };
    let upkeep = Upkeep {
        calls: local.calls.clone(),
        founded: handle.table.borrow().revision() > 0 || !settings.found,
        log: log.clone(),
        name: settings.name.clone(),
        pool: pool.clone(),
        status: local.status.clone(),
        target: settings.voter_target(),
        view,
        voters: settings.voters.clone(),
    };
    tokio::spawn(upkeep.run());
}

fn open(
    folder: std::path::PathBuf,
    log: &Logger,
) -> Result<RaftStore<disk::Folder>, Report<Start>> {
    let locked = disk::Folder::open(folder).change_context(Start::Folder)?;
    let opened = RaftStore::open(locked, MemberId(rand::random()));
    let (store, report) = opened.change_context(Start::Folder)?;
    if report.torn_tail {
        event::emit(log, Event::LogTorn, slog::o!());
    }
    let details = slog::o!(
        "entries" => report.entries,
        "identity" => store.identity().to_string(),
    );
    event::emit(log, Event::VoterStarted, details);
    Ok(store)
}
