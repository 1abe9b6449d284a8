//! The duty that owns upstreams: placement, load and admission.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use coordination::admission::Refusal;
use coordination::broker::Ask;
use coordination::broker::Broker;
use coordination::broker::Effect;
use coordination::broker::Event;
use coordination::broker::Grant;
use coordination::broker::Report;
use coordination::broker::Ticket;
use state::table::Table;
use transport::clock::Clock;
use transport::ring;

const RING_CALLS: usize = 4096;
const TICK: Duration = Duration::from_millis(10);

/// Tells why a request got no place.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports that the broker refused the request.
    #[error("the broker refused the request: {0:?}")]
    Refused(Refusal),
    /// Reports that the duty takes no calls.
    #[error("the broker takes no calls: {0}")]
    Ring(#[from] ring::Error),
    /// Reports that the duty ended before it answered.
    #[error("the broker ended before it answered")]
    Unanswered,
}

type Answer = Result<Box<Grant>, Refusal>;

enum Call {
    Ask(Box<Ask>, oneshot::Sender<Answer>),
    Event(Box<Event>),
}

/// Reaches the duty.
#[derive(Clone)]
pub struct Handle {
    ring: ring::Sender<Call>,
}

impl Handle {
    /// Asks for a place and waits until the broker gives or refuses one.
    ///
    /// # Errors
    ///
    /// Returns the broker's refusal, or why the duty could not be reached.
    pub async fn place(&self, ask: Ask) -> Result<Grant, Error> {
        let cancel = Cancel {
            handle: self,
            ticket: Some(ask.ticket),
        };
        let (answer, answered) = oneshot::channel();
        self.ring.send(Call::Ask(Box::new(ask), answer))?;
        let answer = answered.await.map_err(|_| Error::Unanswered)?;
        cancel.disarm();
        answer.map(|grant| *grant).map_err(Error::Refused)
    }

    /// Tells the broker how far a granted request has come.
    ///
    /// # Errors
    ///
    /// Returns an error when the ring is full; the broker then forgets the request by age.
    pub fn settle(&self, report: Report) -> Result<(), ring::Error> {
        self.feed(Event::Report(report))
    }

    /// Tells the broker of something that happened.
    ///
    /// # Errors
    ///
    /// Returns an error when the ring is full.
    pub fn feed(&self, event: Event) -> Result<(), ring::Error> {
        self.ring.send(Call::Event(Box::new(event)))
    }
}

struct Cancel<'a> {
    handle: &'a Handle,
    ticket: Option<Ticket>,
}

impl Cancel<'_> {
    fn disarm(mut self) {
        self.ticket = None;
    }
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let _ = self.handle.feed(Event::Cancel(ticket));
        }
    }
}

struct Duty {
    broker: Broker,
    clock: Clock,
    resyncs: mpsc::Sender<String>,
    table: watch::Receiver<Arc<Table>>,
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
}

/// Starts the duty, which names in `resyncs` the upstreams whose whole cache it needs.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub fn start(
    clock: Clock,
    mut table: watch::Receiver<Arc<Table>>,
    resyncs: mpsc::Sender<String>,
) -> io::Result<Handle> {
    let (ring, calls) = ring::bounded(RING_CALLS);
    table.mark_changed();
    let mut duty = Duty {
        broker: Broker::default(),
        clock,
        resyncs,
        table,
        waiting: HashMap::new(),
    };
    thread::Builder::new()
        .name("broker".to_owned())
        .spawn(move || duty.run(&calls))?;
    Ok(Handle { ring })
}

impl Duty {
    fn run(&mut self, calls: &ring::Receiver<Call>) {
        loop {
            let received = calls.receive(TICK);
            self.read_table();
            match received {
                Err(ring::Empty::Closed) => return,
                Err(ring::Empty::Timeout) => self.step(Event::Tick),
                Ok(Call::Ask(ask, answer)) => {
                    self.waiting.insert(ask.ticket, answer);
                    self.step(Event::Ask(*ask));
                }
                Ok(Call::Event(event)) => self.step(*event),
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let _ = waiting.send(answer);
    }

    fn read_table(&mut self) {
        if !self.table.has_changed().unwrap_or(false) {
            return;
        }
        let table = self.table.borrow_and_update().clone();
        self.step(Event::Table { owned: None, table });
    }

    fn step(&mut self, event: Event) {
        if let Event::Cancel(ticket) = event {
            self.waiting.remove(&ticket);
        }
        let now = self.clock.now();
        for effect in self.broker.step(now, event) {
            match effect {
                Effect::Export { .. } => {}
                Effect::Grant(grant) => self.answer(grant.ticket, Ok(grant)),
                Effect::Refuse(refusal) => self.answer(refusal.ticket, Err(refusal)),
                Effect::Resync { upstream } => {
                    let _ = self.resyncs.try_send(upstream);
                }
            }
        }
    }
}
