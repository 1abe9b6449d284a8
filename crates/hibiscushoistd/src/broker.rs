//! The duty that owns upstreams: placement, load and admission.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::owner::Owner;
use crate::owner::Owners;
use crate::owner::Part;
use coordination::admission::Reason;
use coordination::admission::Refusal;
use coordination::broker::Broker;
use coordination::broker::Effect;
use coordination::broker::Event;
use coordination::broker::Grant;
use coordination::broker::PlacementId;
use coordination::broker::PlacementRequest;
use coordination::broker::ProgressReport;
use coordination::engine_load::BackupLimit;
use coordination::shard;
use coordination::view::View;
use state::table::Table;
use transport::channel;
use transport::clock::Clock;
use transport::metric;

const RING_CALLS: usize = 4096;
/// Gives the requests that a host may have on each upstream while the owner is away.
const STAND_IN_SLOTS: u32 = 4;
const THOUSANDTHS: u64 = 1_000;
const TICK: Duration = Duration::from_millis(10);

/// Tells why a request got no place.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports that the broker refused the request.
    #[error("the broker refused the request: {0:?}")]
    Refused(Refusal),
    /// Reports that the duty takes no calls.
    #[error("the broker takes no calls: {0}")]
    Ring(#[from] channel::SendError),
    /// Reports that the duty ended before it answered.
    #[error("the broker ended before it answered")]
    Unanswered,
}

type Answer = Result<Box<Grant>, Refusal>;

enum Call {
    Ask(Part, Box<PlacementRequest>, oneshot::Sender<Answer>),
    Event(Part, Box<Event>),
}

/// Reaches the brokers of this host and, through them, those of others.
#[derive(Clone)]
pub struct Handle {
    owned: watch::Receiver<Arc<BTreeSet<String>>>,
    owners: Owners,
    channel: channel::Sender<Call>,
}

impl Handle {
    /// Asks the owner for a place and waits until it gives or refuses one.
    ///
    /// # Errors
    ///
    /// Returns the broker's refusal, or why the duty could not be reached.
    pub async fn place(&self, ask: PlacementRequest) -> Result<Grant, Error> {
        let owner = self.owners.of(&ask);
        let answer = match &owner {
            Owner::Here(part) => Some(self.place_here(*part, ask.clone()).await),
            Owner::Host(host) => {
                let answer = self.owners.place(host, &ask).await;
                answer.map(|answer| answer.map_err(Error::Refused))
            }
        };
        let (owner, grant) = match answer {
            Some(answer) if !is_elsewhere(&answer) => (owner, *answer?),
            _ => {
                let grant = self.stand_in(ask.clone()).await?;
                self.owners.lost(&owner);
                (Owner::Here(Part::StandIn), grant)
            }
        };
        self.owners.remember(ask, &grant, owner);
        Ok(grant)
    }

    /// Asks a broker of this host for a place and waits until it gives or refuses one.
    ///
    /// # Errors
    ///
    /// Returns the broker's refusal, or why the duty could not be reached.
    pub async fn place_here(&self, part: Part, ask: PlacementRequest) -> Result<Box<Grant>, Error> {
        let cancel = Cancel {
            handle: self,
            part,
            placement_id: Some(ask.placement_id),
        };
        let (answer, answered) = oneshot::channel();
        self.channel.send(Call::Ask(part, Box::new(ask), answer))?;
        let answer = answered.await.map_err(|_| Error::Unanswered)?;
        cancel.disarm();
        answer.map_err(Error::Refused)
    }

    /// Tells the broker that granted a request how far it has come.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full; the broker then forgets the request by age.
    pub fn settle(&self, report: ProgressReport) -> Result<(), channel::SendError> {
        match self.owners.settle(report) {
            None => Ok(()),
            Some(part) => self.send(part, Event::Report(report)),
        }
    }

    /// Tells the broker of the upstreams that this host owns of something that happened.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full.
    pub fn feed(&self, event: Event) -> Result<(), channel::SendError> {
        self.send(Part::Own, event)
    }

    /// Returns the names of the upstreams that this host owns, and later ones.
    pub fn owned(&self) -> watch::Receiver<Arc<BTreeSet<String>>> {
        self.owned.clone()
    }

    /// Reports requests to the new owners of their upstreams, until the task is dropped.
    pub async fn follow(self) {
        let mut view = self.owners.view();
        let mut table = self.owners.table();
        loop {
            let moved = self.owners.moved();
            for (part, report) in moved.released {
                let _ = self.send(part, Event::Report(report));
            }
            for held in moved.held {
                let _ = self.feed(Event::InFlight(held));
            }
            let changed = tokio::select! {
                changed = view.changed() => changed,
                changed = table.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    async fn stand_in(&self, ask: PlacementRequest) -> Result<Grant, Error> {
        match self.place_here(Part::StandIn, ask).await {
            Err(Error::Refused(refusal)) if refusal.reason == Reason::NotOwner => {
                Err(Error::Refused(Refusal {
                    reason: Reason::NoUpstream,
                    ..refusal
                }))
            }
            answer => answer.map(|grant| *grant),
        }
    }

    fn send(&self, part: Part, event: Event) -> Result<(), channel::SendError> {
        self.channel.send(Call::Event(part, Box::new(event)))
    }
}

/// Returns whether the broker that was asked does not own the upstreams, or not yet.
fn is_elsewhere(answer: &Result<Box<Grant>, Error>) -> bool {
    matches!(answer, Err(Error::Refused(refusal)) if refusal.reason == Reason::NotOwner)
}

struct Cancel<'a> {
    handle: &'a Handle,
    part: Part,
    placement_id: Option<PlacementId>,
}

impl Cancel<'_> {
    fn disarm(mut self) {
        self.placement_id = None;
    }
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        if let Some(placement_id) = self.placement_id {
            let _ = self.handle.send(self.part, Event::Cancel(placement_id));
        }
    }
}

struct Duty {
    clock: Clock,
    owned: watch::Sender<Arc<BTreeSet<String>>>,
    own: Broker,
    resyncs: mpsc::Sender<String>,
    stand_in: Broker,
    table: watch::Receiver<Arc<Table>>,
    view: watch::Receiver<Arc<View>>,
    waiting: HashMap<PlacementId, oneshot::Sender<Answer>>,
}

/// Starts the duty, which names in `resyncs` the upstreams whose whole cache it needs.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub fn start(clock: Clock, owners: Owners, resyncs: mpsc::Sender<String>) -> io::Result<Handle> {
    let (channel, calls) = channel::bounded(RING_CALLS);
    let mut table = owners.table();
    table.mark_changed();
    let (owned, watched) = watch::channel(Arc::default());
    let mut duty = Duty {
        clock,
        owned,
        own: Broker::default(),
        resyncs,
        stand_in: Broker::default(),
        table,
        view: owners.view(),
        waiting: HashMap::new(),
    };
    duty.read();
    thread::Builder::new()
        .name("broker".to_owned())
        .spawn(move || duty.run(&calls))?;
    Ok(Handle {
        owned: watched,
        owners,
        channel,
    })
}

impl Duty {
    fn run(&mut self, calls: &channel::Receiver<Call>) {
        loop {
            let received = calls.receive(TICK);
            self.read();
            match received {
                Err(channel::ReceiveError::Closed) => return,
                Err(channel::ReceiveError::Timeout) => {
                    self.step(Part::Own, Event::Tick);
                    self.step(Part::StandIn, Event::Tick);
                }
                Ok(Call::Ask(part, ask, answer)) => {
                    self.waiting.insert(ask.placement_id, answer);
                    self.step(part, Event::Arrival(*ask));
                }
                Ok(Call::Event(part, event)) => self.step(part, *event),
            }
        }
    }

    fn answer(&mut self, placement_id: PlacementId, answer: Answer) {
        let Some(waiting) = self.waiting.remove(&placement_id) else {
            return;
        };
        let _ = waiting.send(answer);
    }

    /// Takes over a newer table or view.
    fn read(&mut self) {
        let changed = |changed: Result<bool, _>| changed.unwrap_or(false);
        if !changed(self.table.has_changed()) && !changed(self.view.has_changed()) {
            return;
        }
        let table = self.table.borrow_and_update().clone();
        let view = self.view.borrow_and_update().clone();
        let owned = shard::owned(&view, &table);
        let shards = u64::from(shard::count(&table));
        let hosts = view.hosts.len().max(1) as u64;
        let bound = BackupLimit {
            hosts: hosts as u32,
            slots: STAND_IN_SLOTS,
        };
        self.step(Part::StandIn, Event::BackupLimit(bound));
        self.step(Part::Own, Event::Share(THOUSANDTHS / shards));
        self.step(Part::StandIn, Event::Share(THOUSANDTHS / hosts));
        let event = Event::Table {
            owned: Some(owned.clone()),
            table: table.clone(),
        };
        self.step(Part::Own, event);
        self.step(Part::StandIn, Event::Table { owned: None, table });
        metrics::gauge!(metric::OWNED_UPSTREAMS).set(owned.len() as f64);
        if **self.owned.borrow() != owned {
            self.owned.send_replace(Arc::new(owned));
        }
    }

    fn step(&mut self, part: Part, event: Event) {
        if let Event::Cancel(placement_id) = event {
            self.waiting.remove(&placement_id);
        }
        let now = self.clock.now();
        let broker = match part {
            Part::Own => &mut self.own,
            Part::StandIn => &mut self.stand_in,
        };
        for effect in broker.step(now, event) {
            match effect {
                Effect::Export { .. } => {}
                Effect::Grant(grant) => self.answer(grant.placement_id, Ok(grant)),
                Effect::Refuse(refusal) => self.answer(refusal.placement_id, Err(refusal)),
                Effect::Resync { upstream } => {
                    let _ = self.resyncs.try_send(upstream);
                }
            }
        }
    }
}
