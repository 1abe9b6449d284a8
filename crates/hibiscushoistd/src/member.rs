//! The duty that knows the fleet: a thread that steps the failure detector.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use slog::Logger;
use thiserror::Error;
use tokio::runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::pool::Pool;
use coordination::gossip;
use coordination::gossip::Change;
use coordination::gossip::Effect;
use coordination::gossip::InboundCallId;
use coordination::gossip::Message;
use coordination::host::Load;
use coordination::membership;
use coordination::membership::Membership;
use coordination::view::View;
use state::time::Instant;
use transport::channel;
use transport::clock::Clock;
use transport::event;
use transport::event::Event;
use transport::metric;

const RING_CALLS: usize = 4_096;
const TICK: Duration = Duration::from_millis(membership::TICK_MS);

/// Tells why a message got no answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Reports that the duty takes no calls.
    #[error("the membership duty takes no calls: {0}")]
    Ring(#[from] channel::SendError),
    /// Reports that the duty gave no answer.
    #[error("the membership duty gave no answer")]
    Unanswered,
}

enum Call {
    Asked(Box<Message>, oneshot::Sender<Message>),
    Event(Box<gossip::Event>),
}

/// Reaches the duty.
#[derive(Clone)]
pub struct Handle {
    channel: channel::Sender<Call>,
    view: watch::Receiver<Arc<View>>,
}

impl Handle {
    /// Returns what this host knows of the fleet, and its later versions.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Tells the fleet that this host wants no new work.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full.
    pub fn drain(&self) -> Result<(), Error> {
        self.feed(gossip::Event::Drain)
    }

    /// Has other daemons asked first from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full.
    pub fn seek(&self, seeds: Vec<SocketAddr>) -> Result<(), Error> {
        self.feed(gossip::Event::Seeds(seeds))
    }

    /// Tells the fleet that this host ends.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full.
    pub fn leave(&self) -> Result<(), Error> {
        self.feed(gossip::Event::Leave)
    }

    /// Tells the fleet how loaded this host is.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full.
    pub fn load(&self, load: Load) -> Result<(), Error> {
        self.feed(gossip::Event::Load(load))
    }

    /// Hands over a message of another host and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the channel is full or the duty gave no answer.
    pub async fn gossip(&self, message: Message) -> Result<Message, Error> {
        let (answer, answered) = oneshot::channel();
        self.channel.send(Call::Asked(Box::new(message), answer))?;
        answered.await.map_err(|_| Error::Unanswered)
    }

    fn feed(&self, event: gossip::Event) -> Result<(), Error> {
        Ok(self.channel.send(Call::Event(Box::new(event)))?)
    }
}

struct Duty {
    asked: HashMap<InboundCallId, (Instant, oneshot::Sender<Message>)>,
    clock: Clock,
    detector: Membership,
    log: Logger,
    next_asked: u64,
    pool: Option<Pool>,
    publish: watch::Sender<Arc<View>>,
    channel: channel::Sender<Call>,
    runtime: runtime::Handle,
}

/// Starts the duty; without a `pool` this host knows only itself.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
///
/// # Panics
///
/// Panics outside of an asynchronous runtime.
pub fn start(
    options: membership::Options,
    pool: Option<Pool>,
    clock: Clock,
    log: Logger,
) -> io::Result<Handle> {
    let detector = Membership::new(options);
    let (publish, view) = watch::channel(Arc::new(detector.view()));
    let (sender, receiver) = channel::bounded(RING_CALLS);
    let mut duty = Duty {
        asked: HashMap::new(),
        clock,
        detector,
        log,
        next_asked: 0,
        pool,
        publish,
        channel: sender.clone(),
        runtime: runtime::Handle::current(),
    };
    thread::Builder::new()
        .name("member".to_owned())
        .spawn(move || duty.run(&receiver))?;
    Ok(Handle {
        channel: sender,
        view,
    })
}

impl Duty {
    fn run(&mut self, calls: &channel::Receiver<Call>) {
        let mut due = self.clock.now();
        loop {
            let now = self.clock.now();
            if now >= due {
                due = now + membership::TICK_MS;
                self.step(gossip::Event::Tick);
                self.forget(now);
            }
            let wait = Duration::from_millis(due.since(self.clock.now()));
            match calls.receive(wait.min(TICK)) {
                Err(channel::ReceiveError::Closed) => return,
                Err(channel::ReceiveError::Timeout) => {}
                Ok(Call::Asked(message, answer)) => self.ask(*message, answer),
                Ok(Call::Event(event)) => self.step(*event),
            }
            if self.publish.is_closed() {
                return;
            }
        }
    }

    fn ask(&mut self, message: Message, answer: oneshot::Sender<Message>) {
        let asked = InboundCallId(self.next_asked);
        self.next_asked += 1;
        self.asked.insert(asked, (self.clock.now(), answer));
        self.step(gossip::Event::Called(asked, message));
    }

    fn forget(&mut self, now: Instant) {
        let limit = 2 * membership::CALL_TIMEOUT_MS;
        self.asked.retain(|_, (since, _)| now.since(*since) < limit);
    }

    fn step(&mut self, event: gossip::Event) {
        let mut changed = matches!(
            event,
            gossip::Event::Drain | gossip::Event::Leave | gossip::Event::Load(_)
        );
        for effect in self.detector.step(self.clock.now(), event) {
            match effect {
                Effect::Answer(asked, message) => {
                    if let Some((_, answer)) = self.asked.remove(&asked) {
                        let _ = answer.send(message);
                    }
                }
                Effect::Call {
                    address,
                    call,
                    host,
                    message,
                } => self.send(address, call, host, message),
                Effect::Changed(change) => {
                    changed = true;
                    self.tell(&change);
                }
            }
        }
        if changed {
            self.publish();
        }
    }

    fn send(
        &self,
        address: SocketAddr,
        call: gossip::CallId,
        host: Option<String>,
        message: Message,
    ) {
        let Some(pool) = &self.pool else {
            return;
        };
        let client = pool.client(address, host);
        let channel = self.channel.clone();
        self.runtime.spawn(async move {
            let limit = Duration::from_millis(membership::CALL_TIMEOUT_MS);
            let answer = client
                .call(limit, |peer, context| async move {
                    peer.gossip(context, message).await
                })
                .await;
            let event = match answer {
                Err(_) => gossip::Event::Failed(call),
                Ok(message) => gossip::Event::Answered(call, message),
            };
            let _ = channel.send(Call::Event(Box::new(event)));
        });
    }

    fn publish(&self) {
        let view = self.detector.view();
        let present = |member: &&coordination::view::Member| member.record.standing.is_present();
        let hosts: Vec<SocketAddr> = view
            .hosts
            .iter()
            .filter(present)
            .map(|member| member.record.profile.peer)
            .collect();
        metrics::gauge!(metric::HOSTS).set(hosts.len() as f64);
        if let Some(pool) = &self.pool {
            pool.retain(&hosts);
        }
        self.publish.send_replace(Arc::new(view));
    }

    fn tell(&self, change: &Change) {
        let (event, subject) = described(change);
        metrics::counter!(metric::MEMBERSHIP_CHANGES, "change" => event.to_string()).increment(1);
        event::emit(&self.log, event, slog::o!("host" => subject));
    }
}

/// Returns the event that logs a change, and what it is about.
fn described(change: &Change) -> (Event, String) {
    match change {
        Change::Cleared(host) => (Event::HostCleared, host.clone()),
        Change::Died(host) => (Event::HostDied, host.clone()),
        Change::Draining(host) => (Event::HostDraining, host.clone()),
        Change::Isolated => (Event::Isolated, String::new()),
        Change::Joined(host) => (Event::HostJoined, host.clone()),
        Change::Left(host) => (Event::HostLeft, host.clone()),
        Change::LinkCut(host) => (Event::LinkCut, host.clone()),
        Change::LinkMended(host) => (Event::LinkMended, host.clone()),
        Change::LoadChanged(host) => (Event::HostLoaded, host.clone()),
        Change::NameTaken(address) => (Event::NameTaken, address.to_string()),
        Change::Paused(millis) => (Event::Paused, format!("{millis} ms")),
        Change::Restarted(host) => (Event::HostRestarted, host.clone()),
        Change::Reunited => (Event::Reunited, String::new()),
        Change::Suspected(host) => (Event::HostSuspected, host.clone()),
    }
}
