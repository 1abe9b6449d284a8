//! Which hosts the fleet has, found out by probes and spread by gossip.

use serde::Deserialize;
use serde::Serialize;

/// Carries one message of the failure detector.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Answers a probe.
    Ack,
    /// Asks for a sign of life.
    Probe,
}
