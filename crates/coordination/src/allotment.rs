//! Allotments: how much a workspace may use in a time, over all hosts together.
//!
//! The leading host holds one token bucket for each workspace with an allotment. Hosts spend from
//! leases that it lends them with each routing update, and draw directly for a request that exceeds
//! what they hold.

pub mod bucket;
pub mod holder;
pub mod kind;
pub mod message;
pub mod purse;
pub mod share;
pub mod till;

/// How long a host spends its leases after the request whose answer renewed them, in milliseconds.
/// A lowered allotment binds within this time also on a host that is cut off.
pub const LEASE_MS: u64 = 2_000;
