//! Allotments: how much a workspace may use in a time, over all hosts together.
//!
//! The leading host holds one token bucket for each workspace with an allotment. Hosts spend from
//! leases that it lends them with each routing update, and draw directly for a request that exceeds
//! what they hold.

pub mod kind;
pub mod message;
