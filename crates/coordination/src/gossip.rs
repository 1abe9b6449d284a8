//! Messages, events and effects of the failure detector.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::host::Load;
use crate::host::Record;
use crate::host::Version;

/// Identifies a call that this host made, until it is answered or failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Identifies a call that another host made to this one, until this host answers it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct InboundCallId(pub u64);

/// The purpose of a message, and what it carries for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Reply: the probed host is up.
    Ack,
    /// Reply: a host that was probed on behalf of the caller did not answer.
    Nack,
    /// Direct probe; the receiver replies with [`Body::Ack`].
    Probe,
    /// Full exchange of records: carries all records of the sender, and the reply carries all of
    /// the receiver.
    PushPull(Vec<Record>),
    /// Indirect probe: asks the receiver to probe another host.
    Relay {
        /// Address of the host to probe.
        address: SocketAddr,
        /// Name of the host to probe.
        host: String,
    },
}

/// A message between two failure detectors, with recent changes piggybacked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Purpose of the message.
    pub body: Body,
    /// Digest of the sender's records of all present hosts.
    pub digest: u64,
    /// Name of the sender.
    pub from: String,
    /// Recently changed records.
    pub updates: Vec<Record>,
    /// Version of the sender's own record.
    pub version: Version,
}

/// An input of the failure detector.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call of this host was answered.
    Answered(CallId, Message),
    /// Another host called and waits for an answer.
    Called(InboundCallId, Message),
    /// This host starts to drain: it accepts no new work.
    Drain,
    /// A call of this host failed.
    Failed(CallId),
    /// This host is about to shut down and leaves the fleet.
    Leave,
    /// The load of this host changed.
    Load(Load),
    /// The seed addresses changed.
    Seeds(Vec<SocketAddr>),
    /// Time has passed; due every [`crate::membership::TICK_MS`].
    Tick,
}

/// An action that the failure detector requests.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a call of another host.
    Answer(InboundCallId, Message),
    /// Call a host.
    Call {
        /// Address of the host.
        address: SocketAddr,
        /// Identifies the call in its answer.
        call: CallId,
        /// Name of the host; `None` for a seed whose name is unknown.
        host: Option<String>,
        /// Message to send.
        message: Message,
    },
    /// Report a change of the view.
    Changed(Change),
}

/// A change in this host's view of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A suspected host refuted the suspicion in time.
    Cleared(String),
    /// A host was declared dead.
    Died(String),
    /// A host began to drain.
    Draining(String),
    /// No other host answers this one.
    Isolated,
    /// A host was seen for the first time, or returned after it was dead or had left.
    Joined(String),
    /// A host announced that it shuts down.
    Left(String),
    /// A host answers other hosts, but no longer this one.
    LinkCut(String),
    /// A host answers this one directly again.
    LinkMended(String),
    /// The load of a host changed.
    LoadChanged(String),
    /// Another process, at this address, uses the name of this host.
    NameTaken(SocketAddr),
    /// This process did not run for that many milliseconds.
    Paused(u64),
    /// A host runs a new process.
    Restarted(String),
    /// Other hosts answer this one again after it was isolated.
    Reunited,
    /// A host does not answer probes.
    Suspected(String),
}
