//! What the failure detectors of two hosts tell each other, and what each is told and tells.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::host::Load;
use crate::host::Record;
use crate::host::Version;

/// Names a call of this host until it is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Names a call of another host until this one answers it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct InboundCallId(pub u64);

/// Tells what a message is for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Answers that the probed host is there.
    Ack,
    /// Answers that a probe for another host was not answered.
    Nack,
    /// Asks for a sign of life.
    Probe,
    /// Asks for all reports and brings all that the sender has; the answer has the same form.
    PushPull(Vec<Record>),
    /// Asks to probe another host.
    Relay {
        /// Holds the address of the host.
        address: SocketAddr,
        /// Names the host.
        host: String,
    },
}

/// Carries one message of the failure detector and what changed of late.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Tells what the message is for.
    pub body: Body,
    /// Sums up all reports of the sender about hosts that are present.
    pub digest: u64,
    /// Names the sender.
    pub from: String,
    /// Reports what changed of late.
    pub updates: Vec<Record>,
    /// Holds the version of the sender.
    pub version: Version,
}

/// Tells the failure detector what happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Brings the answer to a call of this host.
    Answered(CallId, Message),
    /// Brings a message from another host, which waits for an answer.
    Called(InboundCallId, Message),
    /// Makes this host want no new work.
    Drain,
    /// Tells that a call of this host failed.
    Failed(CallId),
    /// Makes this host say that it ends.
    Leave,
    /// Tells how loaded this host is.
    Load(Load),
    /// Replaces the addresses that are asked first.
    Seeds(Vec<SocketAddr>),
    /// Lets time pass; due every [`crate::membership::TICK_MS`].
    Tick,
}

/// Tells what to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Has a call of another host answered.
    Answer(InboundCallId, Message),
    /// Has a host called.
    Call {
        /// Holds the address of the host.
        address: SocketAddr,
        /// Names the call.
        call: CallId,
        /// Names the host, where it is known.
        host: Option<String>,
        /// Holds the message.
        message: Message,
    },
    /// Tells of a change in the view.
    Changed(Change),
}

/// Tells what changed in the view of this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Tells that a suspected host objected in time.
    Cleared(String),
    /// Tells that a host was held to be dead.
    Died(String),
    /// Tells that a host began to drain.
    Draining(String),
    /// Tells that this host hears from nobody.
    Isolated,
    /// Tells that a host was seen for the first time or again.
    Joined(String),
    /// Tells that a host said that it ends.
    Left(String),
    /// Tells that a host answers others, but not this one.
    LinkCut(String),
    /// Tells that a host answers this one again.
    LinkMended(String),
    /// Tells that the load of a host changed.
    LoadChanged(String),
    /// Tells that another host uses the name of this one.
    NameTaken(SocketAddr),
    /// Tells that this host stood still for that many milliseconds.
    Paused(u64),
    /// Tells that a host runs a new process.
    Restarted(String),
    /// Tells that this host hears from others again.
    Reunited,
    /// Tells that a host does not answer.
    Suspected(String),
}
