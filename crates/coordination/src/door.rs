//! What callers may make a host hold, and who yields when that runs out.

pub mod arrivals;
pub mod connections;
pub mod reserve;
