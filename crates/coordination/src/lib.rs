//! Decides: replicated log, leases, membership, placement, admission, retries and roll-outs.
//!
//! Everything here is a step function: it takes the time and an event and returns typed effects.

pub mod lease;
pub mod machine;
pub mod membership;
