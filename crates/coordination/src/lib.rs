//! Decides: replicated log, leases, membership, placement, admission, retries and roll-outs.
//!
//! Everything here is a step function: it takes the time and an event and returns typed effects.

pub mod gossip;
pub mod host;
pub mod lease;
pub mod machine;
pub mod membership;
pub mod roster;
pub mod rumor;
pub mod view;
