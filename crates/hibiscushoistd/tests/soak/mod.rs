//! A soak of real daemons: faults from outside in overlapping series, and what must hold meanwhile
//! as callers and upstreams see it.

mod callers;
mod proxy;
mod run;
mod schedule;

pub use run::run;
